"""Free capacity of workers, expected waiting times and placement scores."""

import math

import attrs

from chestnuttide import model
from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _objectives
from chestnuttide.workloads import _pace
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _trials
from chestnuttide import workspaces

# Runs of long-running tasks and of the most urgent queue that are planned in a
# round beyond the limit of an owner with many waiting starts.
URGENT_STARTS = 16

# Share of the service's processors that is reserved for its most urgent queue
# while the service is busy, so that its work starts at once at the peak. The
# reserve is not tied to a worker: the same share of each worker would leave
# room for fewer large tasks. While less than BUSY_SHARE of the processors is
# in use, all work has to start, so nothing is reserved.
URGENT_RESERVE_SHARE = 0.15
BUSY_SHARE = 0.5

# Small urgent tasks are spread over the workers of a service, so that they do
# not depend on one worker, while less than this share of it is in use.
CROWDED_SHARE = 0.2

# Weights of a candidate's score, in units of a worker's whole capacity.
FILLER_BESIDE_SERVING_WEIGHT = 4.0
SERVING_BESIDE_FILLER_WEIGHT = 2.0
STEP_CROWDING_WEIGHT = 0.3
REMOTE_DATA_WEIGHT = 1.0
FAILURE_WEIGHT = 0.5
OVERCOMMIT_WEIGHT = 3.0

# Tasks that take at least this share of a worker are packed, so that other
# workers stay empty enough for tasks of this size.
LARGE_TASK_SHARE = 0.25

# Least expected time of a run that has not reported progress yet.
MIN_RUN_S = 0.5


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Demand:
    """Requirements of each task of a step.

    Attributes
    ----------
    spec : StepSpec
        The step.
    step_runs_key : (str, int, int)
        Job, occurrence and number of the step; a key of `Worker.step_runs`.
    cpu_millis, memory_mb, accelerators : int
        Capacity that a task allocates.
    urgent : bool
        Whether it may use the processors that are reserved for urgent work.
    spread : bool
        Whether small tasks are spread over workers instead of packed.
    pace : Pace or None
        How much slower than typical a worker may be; None if placement does
        not take speeds into account.
    """

    spec: _specs.StepSpec
    step_runs_key: tuple[str, int, int]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    urgent: bool
    spread: bool
    pace: _pace.Pace | None = None


@attrs.define(kw_only=True, slots=True)
class CapacityView:
    """Free capacity as one planning round sees it.

    Attributes
    ----------
    pool : Pool
        The pool.
    now : float
        Time of the round.
    top_priority : int
        Priority of the service's most urgent queue.
    workers : dict of str to Worker
        Workers on which new runs may be placed, by key.
    busy : bool
        Whether at least `BUSY_SHARE` of the service's processors is in use.
    crowded : bool
        Whether at least `CROWDED_SHARE` of them is in use.
    spare_cpu_millis : float
        Processors that less urgent work may still take in this round.
    reserved : dict of str to Resources
        Capacity reserved for more urgent steps of the round, by worker.
    holders : dict of str to set of str
        Ids of the jobs for which it is reserved, by worker.
    reserving_priorities : set of int
        Priorities of the queues for which full workers are reserved.
    trials : TrialView
        Workers for trials of suspected units.
    caps : Round or None
        Caps and shares of workspaces; None if there are no workspaces.
    capped_units : set of Unit
        Units that are put off because of a cap.
    past_worth, past_objective : frozenset of str
        Jobs that can no longer end within their worth, and those that can no
        longer end within their objective; empty unless the deployment asks
        for this order.
    relative_run_times : dict of (str, bool) to float
        Run times on workers, see `_pace.Pace`.
    full_records : set of str
        Jobs of which no further task starts, because their records are full.
    starts_left : float
        Runs that may still be planned while starts wait to be sent; less than
        0 once urgent work has taken more.
    """

    pool: _state.Pool
    now: float
    top_priority: int
    workers: dict[str, _state.Worker]
    trials: _trials.TrialView
    past_worth: frozenset[str] = frozenset()
    past_objective: frozenset[str] = frozenset()
    relative_run_times: dict[tuple[str, bool], float] = attrs.field(
        factory=dict
    )
    busy: bool = False
    crowded: bool = False
    spare_cpu_millis: float = math.inf
    reserved: dict[str, model.Resources] = attrs.field(factory=dict)
    holders: dict[str, set[str]] = attrs.field(factory=dict)
    reserving_priorities: set[int] = attrs.field(factory=set)
    caps: workspaces.Round | None = None
    capped_units: set[_state.Unit] = attrs.field(factory=set)
    full_records: set[str] = attrs.field(factory=set)
    starts_left: float = math.inf


def make_view(
    pool: _state.Pool,
    workers: list[_state.Worker],
    *,
    now: float,
    caps: workspaces.Round | None = None,
) -> CapacityView:
    """Return the free capacity at the start of a planning round."""
    used, capacity = cpu_use(pool)
    busy = used >= BUSY_SHARE * capacity
    spare = (1.0 - URGENT_RESERVE_SHARE) * capacity - used
    late = _objectives.find_late_jobs(pool, now=now)
    return CapacityView(
        pool=pool,
        now=now,
        top_priority=pool.top_priority,
        workers={each.key: each for each in workers},
        trials=_trials.make_trial_view(pool, workers, busy=busy, now=now),
        past_worth=late.past_worth,
        past_objective=late.past_objective,
        busy=busy,
        crowded=used >= CROWDED_SHARE * capacity,
        spare_cpu_millis=spare if busy else math.inf,
        caps=caps,
    )


def cpu_use(pool: _state.Pool) -> tuple[int, int]:
    """Return the processors in use and all of the workers that are listed.

    Returns
    -------
    int, int
        Thousandths of a processor.
    """
    listed = [each for each in pool.workers.values() if each.listed]
    return (
        sum(each.used.cpu_millis for each in listed),
        sum(each.report.capacity.cpu_millis for each in listed),
    )


def may_plan_starts(view: CapacityView, job: _state.Job) -> bool:
    """Return whether a job's runs may be planned while starts wait."""
    queue = job.spec.queue
    urgent = job.is_long_running or queue.priority == view.top_priority
    return view.starts_left > (-URGENT_STARTS if urgent else 0)


def allocate(
    view: CapacityView, worker: _state.Worker, run: _state.Run
) -> None:
    """Allocate the capacity of a run that is planned in this round."""
    _state.allocate(worker, run)
    view.spare_cpu_millis -= run.need.cpu_millis
    view.starts_left -= 1
    workspace = run.job.spec.workspace
    if view.caps is not None and workspace:
        need = _lifecycle.step_of(run.unit, run.job).need
        workspaces.acquire(view.caps.usage, workspace, need)


def deallocate(
    view: CapacityView, worker: _state.Worker, run: _state.Run
) -> None:
    """Free the capacity of a run that is dropped again in this round."""
    _state.deallocate(worker, run)
    view.spare_cpu_millis += run.need.cpu_millis
    view.starts_left += 1
    workspace = run.job.spec.workspace
    if view.caps is not None and workspace:
        need = _lifecycle.step_of(run.unit, run.job).need
        workspaces.release(view.caps.usage, workspace, need)


def may_use_processors(view: CapacityView, demand: Demand) -> bool:
    """Return whether a task leaves the reserve for urgent work free."""
    return demand.urgent or view.spare_cpu_millis >= demand.cpu_millis


def is_within_cap(
    view: CapacityView, job: _state.Job, unit: _state.Unit, demand: Demand
) -> bool:
    """Return whether a unit may start under its workspace's cap.

    One that may not is recorded as put off.
    """
    if view.caps is None or not job.spec.workspace:
        return True
    if workspaces.may_start(
        view.caps,
        job.spec.workspace,
        demand.spec.need,
        len(unit.indexes),
        (job.spec.id, unit.key),
    ):
        return True
    view.capped_units.add(unit)
    return False


def make_demand(
    view: CapacityView, job: _state.Job, step_key: tuple[int, int]
) -> Demand:
    """Return the requirements of each task of a step."""
    spec = job.spec.steps[step_key[1]]
    need = _state.allocated_need(spec)
    urgent = spec.lasting or (
        job.spec.queue.priority <= view.top_priority
        and job.spec.id not in view.past_worth
    )
    return Demand(
        spec=spec,
        step_runs_key=(job.spec.id, *step_key),
        cpu_millis=need.cpu_millis,
        memory_mb=need.memory_mb,
        accelerators=need.accelerators,
        urgent=urgent,
        # One small task on each worker would leave too little room for large
        # ones everywhere.
        spread=urgent and not view.crowded,
        pace=_pace.make_pace(
            view.pool, job, step_key, view.relative_run_times, now=view.now
        ),
    )


def reserve_capacity(
    view: CapacityView,
    worker: _state.Worker,
    need: model.Resources,
    job_id: str,
) -> None:
    """Reserve capacity against less urgent steps for the rest of a round."""
    view.holders.setdefault(worker.key, set()).add(job_id)
    reserved = view.reserved.get(worker.key, model.ZERO)
    view.reserved[worker.key] = model.add(reserved, need)


def reserve_worker(
    view: CapacityView, worker: _state.Worker, job_id: str
) -> None:
    """Reserve a whole worker against less urgent steps for the round."""
    view.holders.setdefault(worker.key, set()).add(job_id)
    view.reserved[worker.key] = worker.report.capacity


def can_ever_run(worker: _state.Worker, demand: Demand) -> bool:
    """Return whether a worker could run a task of a step when empty."""
    capacity = worker.report.capacity
    label = demand.spec.label
    return (
        demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
        and (not label or label in worker.report.labels)
    )


def count_fitting_tasks(
    view: CapacityView, worker: _state.Worker, demand: Demand
) -> int:
    """Return how many more tasks of a step fit on a worker now."""
    if _trials.is_closed(view.trials, worker):
        return 0
    capacity, used = worker.report.capacity, worker.used
    cpu = capacity.cpu_millis - used.cpu_millis
    memory = capacity.memory_mb - used.memory_mb
    accelerators = capacity.accelerators - used.accelerators
    reserved = view.reserved.get(worker.key)
    if reserved is not None:
        cpu -= reserved.cpu_millis
        memory -= reserved.memory_mb
        accelerators -= reserved.accelerators
    if not may_use_processors(view, demand):
        return 0
    fitting = _count_tasks_within(demand, cpu, memory, accelerators)
    if fitting and demand.spec.spread_limit:
        taken = worker.step_runs.get(demand.step_runs_key, 0)
        fitting = min(fitting, demand.spec.spread_limit - taken)
    return max(0, fitting)


def count_fitting_tasks_if_empty(worker: _state.Worker, demand: Demand) -> int:
    """Return how many tasks of a step fit on an otherwise empty worker."""
    capacity = worker.report.capacity
    fitting = _count_tasks_within(
        demand,
        capacity.cpu_millis,
        capacity.memory_mb,
        capacity.accelerators,
    )
    return min(fitting, demand.spec.spread_limit or fitting)


def _count_tasks_within(
    demand: Demand, cpu: int, memory: int, accelerators: int
) -> int:
    if (
        cpu < demand.cpu_millis
        or memory < demand.memory_mb
        or accelerators < demand.accelerators
    ):
        return 0
    fitting = demand.spec.count
    if demand.cpu_millis:
        fitting = min(fitting, cpu // demand.cpu_millis)
    if demand.memory_mb:
        fitting = min(fitting, memory // demand.memory_mb)
    if demand.accelerators:
        fitting = min(fitting, accelerators // demand.accelerators)
    return fitting


def expected_wait_s(
    view: CapacityView, worker: _state.Worker, demand: Demand
) -> float:
    """Return the expected seconds until a task of a step fits on a worker."""
    capacity, used = worker.report.capacity, worker.used
    cpu = capacity.cpu_millis - used.cpu_millis - demand.cpu_millis
    memory = capacity.memory_mb - used.memory_mb - demand.memory_mb
    accelerators = (
        capacity.accelerators - used.accelerators - demand.accelerators
    )
    if cpu >= 0 and memory >= 0 and accelerators >= 0:
        return 0.0
    ending_runs = sorted(
        (
            (expected_remaining_s(view.pool, run, view.now), run)
            for run in worker.runs.values()
        ),
        key=lambda pair: pair[0],
    )
    for wait_s, run in ending_runs:
        cpu += run.need.cpu_millis
        memory += run.need.memory_mb
        accelerators += run.need.accelerators
        if cpu >= 0 and memory >= 0 and accelerators >= 0:
            return wait_s
    return math.inf


def expected_remaining_s(
    pool: _state.Pool, run: _state.Run, now: float
) -> float:
    """Return the expected remaining run time in seconds."""
    step = _lifecycle.step_of(run.unit, run.job)
    if run.stopping:
        return 0.0
    if step.lasting:
        return math.inf
    if run.phase != _state.Phase.RUNNING or run.percent <= 0:
        return max(MIN_RUN_S, _expected_rest_s(pool, run, now))
    elapsed_s = max(0.0, run.progress_at - run.confirmed_at)
    expected_s = elapsed_s * (100.0 - run.percent) / run.percent
    return max(0.0, expected_s - (now - run.progress_at))


def _expected_rest_s(pool: _state.Pool, run: _state.Run, now: float) -> float:
    """Return the expected rest of a run without known progress."""
    expected_s = _expectations.expected_run_s(
        pool,
        run.job.spec,
        run.unit.key[1],
        pool.workers.get(run.worker_key),
        now=now,
    )
    if pool.run_times is None or run.phase != _state.Phase.RUNNING:
        return expected_s
    return expected_s - (now - run.confirmed_at)


def score(worker: _state.Worker, demand: Demand) -> float:
    """Return the placement score of a worker; the lowest score wins."""
    step = demand.spec
    capacity, used = worker.report.capacity, worker.used
    share = max(
        (worker.requested_cpu_millis + step.need.cpu_millis)
        / max(1, capacity.cpu_millis),
        (used.memory_mb + demand.memory_mb) / max(1, capacity.memory_mb),
        (used.accelerators + demand.accelerators)
        / max(1, capacity.accelerators),
    )
    total = share if _prefers_empty_workers(worker, demand) else 1.0 - share
    if share > 1.0:
        total += OVERCOMMIT_WEIGHT * (share - 1.0)
    if step.filler and worker.serving:
        total += FILLER_BESIDE_SERVING_WEIGHT
    if worker.fillers and step.latency_target_ms > 0:
        total += SERVING_BESIDE_FILLER_WEIGHT
    if step.lasting:
        taken = worker.step_runs.get(demand.step_runs_key, 0)
        total += STEP_CROWDING_WEIGHT * taken
    if step.data_rack and step.data_rack != worker.report.rack:
        total += REMOTE_DATA_WEIGHT
    if demand.pace is not None:
        total += _pace.score(demand.pace, worker)
    total += FAILURE_WEIGHT * worker.consecutive_failures
    return total + worker.penalty


def _prefers_empty_workers(worker: _state.Worker, demand: Demand) -> bool:
    """Return whether tasks are spread over workers instead of packed.

    Long-running tasks slow each other down, and small urgent tasks should not
    all depend on one worker. All other tasks are packed.
    """
    if demand.spec.lasting:
        return True
    capacity = worker.report.capacity
    return (
        demand.spread
        and demand.cpu_millis < LARGE_TASK_SHARE * capacity.cpu_millis
        and demand.memory_mb < LARGE_TASK_SHARE * capacity.memory_mb
    )
