"""Simulation of workers, network, journal and owners around a pool filter.

The workers follow the rules of the worker agents. They reject old epochs,
start each attempt at most once, end attempts whose leases have expired, and
report completions until they are acknowledged. They accept every start, so
that a start that exceeds their capacity is detected as a fault of the pool.
"""

import collections.abc
import heapq
import random

import attrs

from chestnuttide import config
from chestnuttide import jobs
from chestnuttide import model
from chestnuttide import placement

DELAYED_START_SHARE = 0.05
MAX_START_DELAY_S = 20.0
TIMEOUT_S = 0.5
SYNC_S = 1.0
TICK_S = 0.1


@attrs.define(kw_only=True, eq=False)
class Task:
    resources: model.Resources
    started_at: float
    ends_at: float
    result: model.TaskState
    lease_expires_at: float


@attrs.define(kw_only=True, eq=False)
class Worker:
    instance: model.Instance
    epoch: int = 0
    tasks: dict[model.Attempt, Task] = attrs.field(factory=dict)
    ended: dict[model.Attempt, model.AttemptReport] = attrs.field(factory=dict)
    partitioned_until: float = 0.0
    starts_lost_until: float = 0.0
    answers_lost_until: float = 0.0
    fails_all: bool = False


@attrs.define(kw_only=True, eq=False)
class Owner:
    state: jobs.PoolState
    run: collections.abc.Callable[[object, float], list[object]]
    epoch: int
    alive: bool = True
    buffer: list[tuple[int, bytes]] = attrs.field(factory=list)
    flushing: bool = False
    acknowledged: dict[str, set] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class Simulation:
    document: config.CellConfig
    rng: random.Random
    now: float = 100.0
    workers: dict[str, Worker] = attrs.field(factory=dict)
    owner: Owner | None = None
    epoch: int = 0
    journal: list[bytes] = attrs.field(factory=list)
    snapshot: bytes = b""
    scheduled_calls: list[tuple[float, int, object]] = attrs.field(
        factory=list
    )
    call_serial: int = 0
    answers: dict[object, object] = attrs.field(factory=dict)
    outputs: list[object] = attrs.field(factory=list)
    submitted: dict[str, model.Job] = attrs.field(factory=dict)
    starts: int = 0
    succeeded: dict[tuple[str, int], int] = attrs.field(factory=dict)
    decide: collections.abc.Callable | None = None
    partial_since: dict[str, float] = attrs.field(factory=dict)
    longest_partial_s: float = 0.0


def make_instance(
    worker_id: str,
    capacity: model.Resources,
    state: model.InstanceState = model.InstanceState.LIVE,
) -> model.Instance:
    number = int(worker_id[1:])
    return model.Instance(
        instance_id=worker_id,
        kind=model.InstanceKind.WORKER,
        state=state,
        data_centre=f"dc{number % 2}",
        rack=f"r{number % 3}",
        address=f"127.0.0.1:{number}",
        capacity=capacity,
    )


def make_simulation(
    document: config.CellConfig,
    capacities: list[model.Resources],
    seed: int = 1,
) -> Simulation:
    simulation = Simulation(document=document, rng=random.Random(seed))
    for number, capacity in enumerate(capacities):
        worker_id = f"w{number}"
        simulation.workers[worker_id] = Worker(
            instance=make_instance(worker_id, capacity)
        )
    take_over(simulation)
    return simulation


def call_later(simulation: Simulation, delay_s: float, call: object) -> None:
    simulation.call_serial += 1
    heapq.heappush(
        simulation.scheduled_calls,
        (simulation.now + delay_s, simulation.call_serial, call),
    )


def run_for(simulation: Simulation, seconds: float) -> None:
    until = simulation.now + seconds
    while (
        simulation.scheduled_calls
        and simulation.scheduled_calls[0][0] <= until
    ):
        simulation.now, _, call = heapq.heappop(simulation.scheduled_calls)
        call()
    simulation.now = until


def take_over(simulation: Simulation) -> Owner:
    """Start a new owner, and cut the old one off from all messages."""
    if simulation.owner is not None:
        simulation.owner.alive = False
    simulation.epoch += 1
    state = jobs.PoolState(
        document=simulation.document,
        rng=random.Random(simulation.rng.random()),
    )
    owner = Owner(
        state=state,
        run=jobs.make_pool_filter(state=state),
        epoch=simulation.epoch,
    )
    simulation.owner = owner
    send(
        simulation,
        owner,
        jobs.Recovered(
            snapshot=simulation.snapshot,
            events=tuple(simulation.journal),
            clean=False,
        ),
    )
    instances = tuple(w.instance for w in simulation.workers.values())
    send(simulation, owner, jobs.WorkersChanged(instances=instances))
    for worker_id in simulation.workers:
        call_later(
            simulation,
            simulation.rng.uniform(0.01, 0.1),
            lambda worker_id=worker_id: _sync(simulation, owner, worker_id),
        )
    call_later(simulation, TICK_S, lambda: _tick(simulation, owner))
    return owner


def take_snapshot(simulation: Simulation) -> None:
    """Store a snapshot, and delete the events that it includes."""
    owner = simulation.owner
    if owner is None or not owner.alive or owner.buffer:
        return
    simulation.snapshot = jobs.encode_snapshot(owner.state, simulation.now)
    simulation.journal.clear()


def crash_worker(simulation: Simulation, worker_id: str) -> None:
    """Restart a worker immediately, so that it loses all its tasks."""
    worker = simulation.workers[worker_id]
    worker.tasks.clear()
    worker.ended.clear()


def remove_worker(simulation: Simulation, worker_id: str) -> None:
    """Remove a worker permanently."""
    crash_worker(simulation, worker_id)
    worker = simulation.workers[worker_id]
    worker.partitioned_until = float("inf")
    worker.instance = attrs.evolve(
        worker.instance, state=model.InstanceState.GONE
    )
    send(
        simulation,
        simulation.owner,
        jobs.WorkersChanged(instances=(worker.instance,)),
    )


def submit(simulation: Simulation, job: model.Job) -> None:
    simulation.submitted[job.job_id] = job
    send(
        simulation, simulation.owner, jobs.SubmitJob(token=job.job_id, job=job)
    )


def cancel(simulation: Simulation, job_id: str) -> None:
    send(
        simulation,
        simulation.owner,
        jobs.CancelJob(token=("cancel", job_id), job_id=job_id),
    )


def read(simulation: Simulation, job_id: str) -> jobs.JobView | None:
    return jobs.read_job(simulation.owner.state, job_id, simulation.now)


def live_attempts(simulation: Simulation) -> list[model.Attempt]:
    found = []
    for worker in simulation.workers.values():
        expire(simulation, worker)
        found.extend(worker.tasks)
    return found


def send(simulation: Simulation, owner: Owner, message: object) -> None:
    if not owner.alive:
        return
    for output in owner.run(message, simulation.now):
        simulation.outputs.append(output)
        _execute(simulation, owner, output)


def expire(simulation: Simulation, worker: Worker) -> None:
    """End the tasks that are finished or whose leases have expired."""
    for attempt, task in list(worker.tasks.items()):
        ended_at = min(task.ends_at, task.lease_expires_at)
        if ended_at <= simulation.now:
            result = task.result
            if task.lease_expires_at < task.ends_at:
                result = model.TaskState.LAPSED
            _end(simulation, worker, attempt, result, ended_at)


def check_state(state: jobs.PoolState) -> None:
    """Check that no task is lost, and that all totals are consistent."""
    waiting = 0
    for record in state.jobs.values():
        is_open = record.state in ("queued", "running")
        if not is_open:
            continue
        waiting += record.job.tasks - record.done_count - len(record.live)
        if not record.settled:
            continue
        done = {
            index
            for index in range(record.job.tasks)
            if index < 8 * len(record.done)
            and record.done[index // 8] >> index % 8 & 1
        }
        places = [
            set(range(record.first_unstarted, record.job.tasks)),
            set(record.waiting),
            record.delayed,
            set(record.live),
            done,
        ]
        assert len(done) == record.done_count
        assert sum(len(place) for place in places) == record.job.tasks, places
        assert set().union(*places) == set(range(record.job.tasks))
        if record.durable and (places[0] or places[1]):
            queued = record.job.job_id in state.queue.items
            gang = record.job.kind is model.JobKind.GANG
            assert queued or (gang and (record.live or record.delayed))
    assert waiting == state.waiting_tasks
    team_usage = {}
    for record in state.jobs.values():
        for _ in range(record.assumed):
            team = record.job.team
            team_usage[team] = model.add(
                team_usage.get(team, model.ZERO), record.job.resources
            )
    for attempt, record in state.attempts.items():
        if not record.orphaned:
            assert state.jobs[attempt.job_id].live[attempt.index] == attempt
        team = record.team
        team_usage[team] = model.add(
            team_usage.get(team, model.ZERO), record.need
        )
        if record.phase.value != "claimed":
            reservation = placement.reservation_of(state.cell, attempt)
            assert reservation is not None
            assert reservation.need == record.need
    assert team_usage == state.quota.used


def _tick(simulation: Simulation, owner: Owner) -> None:
    if not owner.alive:
        return
    send(simulation, owner, jobs.Tick())
    check_state(owner.state)
    _track_partial_gangs(simulation)
    call_later(simulation, TICK_S, lambda: _tick(simulation, owner))


def _track_partial_gangs(simulation: Simulation) -> None:
    live: dict[str, int] = {}
    for attempt in live_attempts(simulation):
        live[attempt.job_id] = live.get(attempt.job_id, 0) + 1
    for job_id, job in simulation.submitted.items():
        if job.kind is not model.JobKind.GANG:
            continue
        done = sum(
            (job_id, index) in simulation.succeeded
            for index in range(job.tasks)
        )
        if 0 < live.get(job_id, 0) < job.tasks - done:
            since = simulation.partial_since.setdefault(job_id, simulation.now)
            simulation.longest_partial_s = max(
                simulation.longest_partial_s, simulation.now - since
            )
        else:
            simulation.partial_since.pop(job_id, None)


def _execute(simulation: Simulation, owner: Owner, output: object) -> None:
    match output:
        case jobs.StartTask():
            _send_start(simulation, owner, output)
        case jobs.StopTask():
            call_later(
                simulation,
                simulation.rng.uniform(0.001, 0.05),
                lambda: _stop(simulation, owner, output),
            )
        case jobs.AppendEvent():
            owner.buffer.append((output.token, output.event))
            if not owner.flushing:
                owner.flushing = True
                call_later(
                    simulation,
                    simulation.rng.uniform(0.005, 0.05),
                    lambda: _flush(simulation, owner),
                )
        case jobs.AcknowledgeEnd():
            owner.acknowledged.setdefault(output.worker_id, set()).add(
                output.attempt
            )
        case jobs.JobAccepted() | jobs.JobRefused() | jobs.JobCancelled():
            simulation.answers[output.token] = output


def _flush(simulation: Simulation, owner: Owner) -> None:
    owner.flushing = False
    if not owner.alive:
        return
    batch, owner.buffer = owner.buffer, []
    simulation.journal.extend(event for _, event in batch)
    tokens = tuple(token for token, _ in batch)
    send(simulation, owner, jobs.JournalDurable(tokens=tokens))


def _send_start(
    simulation: Simulation, owner: Owner, start: jobs.StartTask
) -> None:
    worker = simulation.workers[start.worker_id]
    sent_at = simulation.now

    def answer(outcome: jobs.StartOutcome) -> None:
        send(
            simulation,
            owner,
            jobs.StartResult(
                worker_id=start.worker_id,
                attempt=start.attempt,
                outcome=outcome,
                sent_at=sent_at,
            ),
        )

    def deliver() -> None:
        outcome = _start(simulation, owner, worker, start, sent_at)
        if simulation.now < max(
            worker.partitioned_until, worker.answers_lost_until
        ):
            return
        answered.append(outcome)
        call_later(simulation, 0.001, lambda: answer(outcome))

    def give_up() -> None:
        if not answered:
            answer(jobs.StartOutcome.UNANSWERED)

    answered: list[jobs.StartOutcome] = []
    lost = sent_at < max(worker.partitioned_until, worker.starts_lost_until)
    if not lost:
        # A paused agent reads starts from its socket buffer late.
        is_delayed = simulation.rng.random() < DELAYED_START_SHARE
        longest_s = MAX_START_DELAY_S if is_delayed else 0.3
        call_later(
            simulation, simulation.rng.uniform(0.001, longest_s), deliver
        )
    call_later(simulation, TIMEOUT_S, give_up)


def _start(
    simulation: Simulation,
    owner: Owner,
    worker: Worker,
    start: jobs.StartTask,
    sent_at: float,
) -> jobs.StartOutcome:
    expire(simulation, worker)
    if owner.epoch < worker.epoch:
        return jobs.StartOutcome.STALE_EPOCH
    worker.epoch = owner.epoch
    if start.attempt in worker.tasks:
        return jobs.StartOutcome.RUNNING
    if start.attempt in worker.ended:
        return jobs.StartOutcome.ENDED
    if simulation.now > sent_at + model.START_VALID_S + model.CLOCK_SKEW_S:
        return jobs.StartOutcome.EXPIRED
    run_s, result = simulation.decide(simulation, start.attempt)
    if worker.fails_all:
        run_s, result = 0.2, model.TaskState.FAILED
    _check_start(simulation, worker, start)
    simulation.starts += 1
    worker.tasks[start.attempt] = Task(
        resources=start.resources,
        started_at=simulation.now,
        ends_at=simulation.now + run_s,
        result=result,
        lease_expires_at=simulation.now + start.lease_s,
    )
    return jobs.StartOutcome.STARTED


def _check_start(
    simulation: Simulation, worker: Worker, start: jobs.StartTask
) -> None:
    """Check that a start breaks no invariant."""
    used = start.resources
    for task in worker.tasks.values():
        used = model.add(used, task.resources)
    assert model.fits(used, worker.instance.capacity), "capacity exceeded"
    team = simulation.submitted[start.attempt.job_id].team
    team_usage = start.resources
    for other in simulation.workers.values():
        expire(simulation, other)
        for attempt, task in other.tasks.items():
            assert (attempt.job_id, attempt.index) != (
                start.attempt.job_id,
                start.attempt.index,
            ), f"{attempt} and {start.attempt} run at once"
            if simulation.submitted[attempt.job_id].team == team:
                team_usage = model.add(team_usage, task.resources)
    quota = simulation.document.teams[team].cpu_millis
    assert not quota or team_usage.cpu_millis <= quota, "quota exceeded"


def _stop(simulation: Simulation, owner: Owner, stop: jobs.StopTask) -> None:
    worker = simulation.workers[stop.worker_id]
    if simulation.now < worker.partitioned_until or owner.epoch < worker.epoch:
        return
    worker.epoch = owner.epoch
    expire(simulation, worker)
    if stop.attempt in worker.tasks:
        task = worker.tasks[stop.attempt]
        if stop.checkpoint:
            task.ends_at = min(task.ends_at, simulation.now + 0.5)
            task.result = model.TaskState.STOPPED
        else:
            _end(
                simulation,
                worker,
                stop.attempt,
                model.TaskState.STOPPED,
                simulation.now,
            )


def _end(
    simulation: Simulation,
    worker: Worker,
    attempt: model.Attempt,
    result: model.TaskState,
    ended_at: float,
) -> None:
    task = worker.tasks.pop(attempt)
    if result is model.TaskState.SUCCEEDED:
        key = (attempt.job_id, attempt.index)
        simulation.succeeded[key] = simulation.succeeded.get(key, 0) + 1
    worker.ended[attempt] = model.AttemptReport(
        attempt=attempt,
        state=result,
        resources=task.resources,
        run_s=ended_at - task.started_at,
    )


def _sync(simulation: Simulation, owner: Owner, worker_id: str) -> None:
    if not owner.alive:
        return
    worker = simulation.workers[worker_id]
    call_later(
        simulation,
        SYNC_S * simulation.rng.uniform(0.8, 1.2),
        lambda: _sync(simulation, owner, worker_id),
    )
    if not jobs.may_sync(owner.state, worker_id):
        return
    sent_at = simulation.now
    lease_s = simulation.document.pool.task_lease_s
    send(
        simulation, owner, jobs.SyncSent(worker_id=worker_id, lease_s=lease_s)
    )
    acknowledged = owner.acknowledged.get(worker_id, set())
    answered: list[bool] = []

    def deliver() -> None:
        if (
            simulation.now < worker.partitioned_until
            or owner.epoch < worker.epoch
        ):
            return
        worker.epoch = owner.epoch
        expire(simulation, worker)
        for attempt in acknowledged:
            worker.ended.pop(attempt, None)
        for task in worker.tasks.values():
            task.lease_expires_at = simulation.now + lease_s
        reports = [
            model.AttemptReport(
                attempt=attempt,
                state=model.TaskState.RUNNING,
                resources=task.resources,
                run_s=simulation.now - task.started_at,
            )
            for attempt, task in worker.tasks.items()
        ]
        reports.extend(worker.ended.values())
        if simulation.now < worker.answers_lost_until:
            return
        answered.append(True)
        report = jobs.SyncReport(
            worker_id=worker_id, reports=tuple(reports), sent_at=sent_at
        )
        call_later(simulation, 0.001, lambda: done(report))

    def done(report: jobs.SyncReport) -> None:
        owner.acknowledged.pop(worker_id, None)
        send(simulation, owner, report)

    def give_up() -> None:
        if not answered:
            send(
                simulation,
                owner,
                jobs.SyncFailed(worker_id=worker_id, sent_at=sent_at),
            )

    call_later(simulation, simulation.rng.uniform(0.001, 0.05), deliver)
    call_later(simulation, TIMEOUT_S, give_up)
