"""Plays a stream of jobs through the planner in simulated time.

Workers, the advisor and the store answer as the platform describes them,
without faults, so that the waits of callers follow from the planner alone.
"""

import collections
import collections.abc
import heapq
import itertools
import math
import random

import attrs

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

# Time from a plan until its runs start: the record's write and the command.
START_DELAY_S = 0.015

# Share of the instances that answer long advisor queries, as in the daemon.
LONG_QUERY_S = 0.15
SHORT_INSTANCE_SHARE = 0.375

SUPERVISION_PERIOD_S = 0.1

# Longest Retry-After that a caller waits for.
PATIENCE_S = 10.0

# A few tasks run many times longer than the rest of their job.
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7


@attrs.frozen(kw_only=True)
class Stream:
    """Jobs of one queue.

    Attributes
    ----------
    name : str
        Name of the queue.
    per_s : float
        Mean arrivals a second.
    priority : int
        Priority of the queue.
    width, cpu, memory_mb : (float, float, float)
        Mean, coefficient of variation and maximum of the tasks of a job, and
        of the processors in millis and the memory of each task.
    work_s, work_spread : float
        Mean run time of a job's tasks and its coefficient of variation.
    gang_share : float
        Share of the jobs whose tasks start together.
    stretch, objective_s : float
        Latency objective as in `workloads.Queue`.
    advice : Advice
        Advisor policy.
    allowed_share : float
        Share of the workers that the advisor allows for a job.
    """

    name: str
    per_s: float
    priority: int
    width: tuple[float, float, float]
    cpu: tuple[float, float, float]
    memory_mb: tuple[float, float, float]
    work_s: float
    work_spread: float
    gang_share: float
    stretch: float
    objective_s: float
    advice: workloads.Advice
    allowed_share: float


@attrs.define(kw_only=True)
class Result:
    """What the callers of one queue get.

    Attributes
    ----------
    waits_s : list of float
        Time from each submission to the start of its last task.
    in_time, late : int
        Jobs that ended within their latency objective, and within three.
    jobs : int
        Jobs submitted.
    refused, returned, served_again : int
        Refusals, refused callers that came back when they were asked to, and
        those of them that were admitted.
    return_waits_s : list of float
        Time from the first submission of those until they were admitted.
    """

    waits_s: list[float] = attrs.field(factory=list)
    in_time: int = 0
    late: int = 0
    refused: int = 0
    returned: int = 0
    served_again: int = 0
    return_waits_s: list[float] = attrs.field(factory=list)
    jobs: int = 0

    @property
    def worth(self) -> float:
        """Mean worth of a job to its caller."""
        return (self.in_time + 0.2 * self.late) / max(1, self.jobs)

    def wait_quantile_s(self, share: float) -> float:
        """Return a quantile of the waits; infinite for jobs that wait."""
        waits = self.waits_s + [math.inf] * (self.jobs - len(self.waits_s))
        return sorted(waits)[min(len(waits) - 1, int(share * len(waits)))]


@attrs.define(kw_only=True)
class Simulation:
    """State of one play.

    Attributes
    ----------
    pool : Pool
        The pool under test.
    rng : Random
        Source of arrivals, sizes and answers.
    instances : int
        Instances that pass queries to the advisor, one at a time each.
    busy_until : list of float
        When each instance is free for its next query.
    events : list of (float, int, function)
        Heap of events to come.
    results : dict of str to Result
        Results by queue.
    now : float
        Time of the event that is being played.
    plan_due : bool
        Whether to plan once all events of this moment are played.
    work_s, longest_s : dict of str to float
        Run time of each job's tasks, and of its longest straggler.
    started : set of str
        Jobs whose tasks have all started.
    allowed_shares : dict of str to float
        Share of the workers that the advisor allows, by job.
    speeds : dict of str to float
        Speed of each worker.
    admission : AdmissionState
        What the owner remembers between admissions.
    first_sent : dict of str to float
        Time of the first submission of each refused job.
    sequence : iterator of int
        Numbers that order events of one moment, and name the jobs.
    """

    pool: workloads.Pool
    rng: random.Random
    instances: int
    busy_until: list[float] = attrs.field(factory=list)
    events: list[tuple[float, int, collections.abc.Callable[[], None]]] = (
        attrs.field(factory=list)
    )
    results: dict[str, Result] = attrs.field(factory=dict)
    now: float = 0.0
    plan_due: bool = False
    work_s: dict[str, float] = attrs.field(factory=dict)
    longest_s: dict[str, float] = attrs.field(factory=dict)
    started: set[str] = attrs.field(factory=set)
    allowed_shares: dict[str, float] = attrs.field(factory=dict)
    speeds: dict[str, float] = attrs.field(factory=dict)
    admission: workloads.AdmissionState = attrs.field(
        factory=workloads.AdmissionState
    )
    first_sent: dict[str, float] = attrs.field(factory=dict)
    sequence: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count
    )

    def at(
        self, time_s: float, event: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self.events, (time_s, next(self.sequence), event))


def play(
    streams: collections.abc.Sequence[Stream],
    *,
    workers: int,
    capacity: model.Resources,
    racks: int,
    instances: int,
    seconds: float,
    rate: collections.abc.Callable[[float], float],
    seed: int,
    policy: workloads.LoadPolicy = workloads.LoadPolicy(),
    speeds: collections.abc.Sequence[float] = (1.0,),
) -> Simulation:
    """Submit the streams' jobs for some seconds, and play on until they end.

    Parameters
    ----------
    streams : sequence of Stream
        The queues.
    workers, capacity, racks : int, Resources, int
        The service's workers, the capacity of each, and their racks.
    instances : int
        Instances of the cell.
    seconds : float
        Length of the arrivals.
    rate : function
        Factor of the arrival rates at a time.
    seed : int
        Seed of the play.
    policy : LoadPolicy
        Decisions under load that are on.
    speeds : sequence of float
        Speeds of the workers, in turn.
    """
    pool = workloads.Pool(
        service="workshop",
        limits=workloads.TimeLimits(lease_s=2.5),
        policy=policy,
    )
    for number in range(workers):
        _add_worker(pool, number, capacity, rack=f"r{number % racks}")
    simulation = Simulation(
        pool=pool,
        rng=random.Random(seed),
        instances=instances,
        busy_until=[0.0] * instances,
        speeds=dict(zip(pool.workers, itertools.cycle(speeds))),
    )
    for stream in streams:
        simulation.results[stream.name] = Result()
        _schedule_arrivals(simulation, stream, seconds, rate)
    _supervise(simulation)
    while simulation.events and simulation.now < 4 * seconds:
        simulation.now, _, event = heapq.heappop(simulation.events)
        event()
        if simulation.plan_due and (
            not simulation.events or simulation.events[0][0] > simulation.now
        ):
            simulation.plan_due = False
            _plan(simulation)
        if simulation.now > seconds and not pool.active:
            break
    return simulation


def _add_worker(
    pool: workloads.Pool, number: int, capacity: model.Resources, *, rack: str
) -> None:
    worker = _pool_fixtures.add_worker(pool, f"w{number}", rack=rack)
    worker.report = attrs.evolve(worker.report, capacity=capacity)


def _draw(
    rng: random.Random, size: tuple[float, float, float], least: float
) -> float:
    """Draw from a log-normal distribution that is cut at its maximum."""
    mean, spread, most = size
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(most, max(least, value))


def _schedule_arrivals(
    simulation: Simulation,
    stream: Stream,
    seconds: float,
    rate: collections.abc.Callable[[float], float],
) -> None:
    time_s = 0.0
    while True:
        time_s += simulation.rng.expovariate(
            stream.per_s * max(0.05, rate(time_s))
        )
        if time_s >= seconds:
            return
        simulation.at(time_s, lambda: _submit(simulation, stream))


def _submit(simulation: Simulation, stream: Stream) -> None:
    rng = simulation.rng
    job_id = f"{next(simulation.sequence):016x}"
    work_s = _draw(rng, (stream.work_s, stream.work_spread, 45.0), 0.1)
    step = workloads.StepSpec(
        count=round(_draw(rng, stream.width, 1)),
        need=model.Resources(
            cpu_millis=round(_draw(rng, stream.cpu, 500)),
            memory_mb=round(_draw(rng, stream.memory_mb, 100)),
        ),
        estimate_s=work_s * rng.uniform(0.5, 1.5),
        gang=rng.random() < stream.gang_share,
    )
    spec = _pool_fixtures.make_spec(
        step,
        job_id=job_id,
        name=stream.name,
        priority=stream.priority,
        stretch=stream.stretch,
        latency_objective_s=stream.objective_s,
        advice=stream.advice,
    )
    simulation.work_s[job_id] = work_s
    simulation.allowed_shares[job_id] = stream.allowed_share
    simulation.results[stream.name].jobs += 1
    _hand_in(simulation, spec)


def _hand_in(simulation: Simulation, spec: workloads.JobSpec) -> None:
    """Submit a job; its caller comes back once if it is asked to in time."""
    result = simulation.results[spec.queue.name]
    first = simulation.first_sent.get(spec.id)
    result.returned += first is not None
    if simulation.pool.policy.admission:
        verdict = workloads.decide_admission(
            simulation.pool,
            simulation.admission,
            spec,
            now=simulation.now,
            advisors=simulation.instances,
        )
        if not verdict.admitted:
            result.refused += 1
            if first is None and verdict.retry_after_s <= PATIENCE_S:
                simulation.first_sent[spec.id] = simulation.now
                simulation.at(
                    simulation.now + verdict.retry_after_s,
                    lambda: _hand_in(simulation, spec),
                )
            return
    if first is not None:
        result.served_again += 1
        result.return_waits_s.append(simulation.now - first)
    job = workloads.add_job(
        simulation.pool,
        spec,
        now=simulation.now,
        now_unix_s=_pool_fixtures.UNIX_S,
    )
    job.accepted = True
    simulation.plan_due = True


def _supervise(simulation: Simulation) -> None:
    """Report the progress of all runs and request a plan, periodically."""
    simulation.plan_due = True
    workloads.observe_admissions(
        simulation.pool, simulation.admission, simulation.now
    )
    for worker in simulation.pool.workers.values():
        for run in worker.runs.values():
            if run.phase == workloads.Phase.RUNNING:
                elapsed_s = simulation.now - run.confirmed_at
                work_s = simulation.work_s[run.job.spec.id]
                work_s /= simulation.speeds[run.worker_key]
                run.percent = min(99.0, 100.0 * elapsed_s / work_s)
                run.progress_at = simulation.now
    simulation.at(
        simulation.now + SUPERVISION_PERIOD_S, lambda: _supervise(simulation)
    )


def _plan(simulation: Simulation) -> None:
    plan = workloads.make_plan(simulation.pool, now=simulation.now)
    for run in plan.runs:
        run.phase = workloads.Phase.START_SENT
        simulation.at(
            simulation.now + START_DELAY_S,
            lambda run=run: _start(simulation, run),
        )
    for query in plan.queries:
        _send_query(simulation, query)


def _send_query(simulation: Simulation, query: workloads.AdvisorQuery) -> None:
    reserved = max(1, round(SHORT_INSTANCE_SHARE * simulation.instances))
    short = query.duration_s <= LONG_QUERY_S
    candidates = (
        range(reserved) if short else range(reserved, simulation.instances)
    )
    for instance in candidates:
        if simulation.busy_until[instance] <= simulation.now:
            break
    else:
        return
    workloads.record_query(query)
    until = simulation.now + query.duration_s + 0.003
    simulation.busy_until[instance] = until
    job_id = query.job.spec.id
    tickets = {
        worker.report.id: "t"
        for worker in query.workers
        if random.Random(f"{job_id}{worker.key}").random()
        < simulation.allowed_shares[job_id]
    }

    def answer() -> None:
        workloads.record_query_result(
            query, tickets, now=simulation.now, retry_s=0.2
        )
        simulation.plan_due = True

    simulation.at(until, answer)


def _start(simulation: Simulation, run: workloads.Run) -> None:
    if run not in run.unit.runs:
        return
    workloads.confirm_start(run, now=simulation.now)
    work_s = simulation.work_s[run.job.spec.id]
    if simulation.rng.random() < STRAGGLER_SHARE:
        work_s *= STRAGGLER_FACTOR
        simulation.longest_s[run.job.spec.id] = work_s
    run.percent = 0.0
    work_s /= simulation.speeds[run.worker_key]
    simulation.at(simulation.now + work_s, lambda: _complete(simulation, run))
    job = run.job
    if job.spec.id not in simulation.started and all(
        unit.first_started_at for unit in job.units.values()
    ):
        simulation.started.add(job.spec.id)
        result = simulation.results[job.spec.queue.name]
        result.waits_s.append(simulation.now - job.accepted_at)


def _complete(simulation: Simulation, run: workloads.Run) -> None:
    job = run.job
    was_complete = job.state == workloads.JobState.COMPLETE
    workloads.end_run(
        simulation.pool,
        run,
        "done",
        "",
        now=simulation.now,
        now_unix_s=_pool_fixtures.UNIX_S,
    )
    simulation.plan_due = True
    if was_complete or job.state != workloads.JobState.COMPLETE:
        return
    queue = job.spec.queue
    chain_s = simulation.longest_s.get(
        job.spec.id, simulation.work_s[job.spec.id]
    )
    chain_s += queue.advice.decide_s + 30 * queue.advice.per_worker_s
    objective_s = queue.stretch * chain_s + queue.latency_objective_s
    sent = simulation.first_sent.get(job.spec.id, job.accepted_at)
    objectives = (simulation.now - sent) / objective_s
    result = simulation.results[queue.name]
    result.in_time += objectives <= 1
    result.late += 1 < objectives <= 3


def summarize(simulation: Simulation) -> dict[str, collections.Counter]:
    """Return the figures of each queue, for a failing test's message."""
    return {
        name: collections.Counter(
            jobs=result.jobs,
            in_time=result.in_time,
            late=result.late,
            refused=result.refused,
            returned=result.returned,
            served_again=result.served_again,
            p50_ms=_milliseconds(result.wait_quantile_s(0.5)),
            p95_ms=_milliseconds(result.wait_quantile_s(0.95)),
        )
        for name, result in simulation.results.items()
    }


def _milliseconds(value_s: float) -> int:
    return -1 if math.isinf(value_s) else round(value_s * 1000)
