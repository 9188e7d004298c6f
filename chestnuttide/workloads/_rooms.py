"""Room on workers: what is free, when more will be, and which fits best."""

import math

import attrs

from chestnuttide import model
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# Share of each worker's processors that only the service's most urgent queue
# may take while the service is busy, so that its work starts at once at the
# crest. With under half of the capacity in use, all work has to start.
URGENT_RESERVE = 0.15
BUSY_SHARE = 0.5

# Weights of a candidate's score; its unit is a worker's whole capacity.
FILLER_BESIDE_SERVING = 4.0
SERVING_BESIDE_FILLER = 2.0
CROWDED_STEP = 0.3
FAR_FROM_DATA = 1.0
RECENT_FAILURE = 0.5
OVERCOMMITTED = 3.0

# Tasks that take at least this share of a worker are packed, so that other
# workers keep whole rooms for tasks of their size.
LARGE_SHARE = 0.25

# A run without progress yet is expected to take at least this long.
MIN_RUN_S = 0.5


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Demand:
    """What each task of a step asks of a worker.

    Attributes
    ----------
    spec : StepSpec
        The step.
    step_runs_key : (str, int, int)
        Its job, occurrence and number.
    cpu_millis, memory_mb, accelerators : int
        What a task reserves.
    urgent : bool
        Whether it may use the processors that are kept for urgent work.
    """

    spec: _specs.StepSpec
    step_runs_key: tuple[str, int, int]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    urgent: bool


@attrs.define(kw_only=True, slots=True)
class Rooms:
    """Room as one round of planning sees it.

    Attributes
    ----------
    now : float
        Time of the round.
    top_priority : int
        Priority of the service's most urgent queue.
    workers : dict of str to Worker
        Workers that may get new runs, by key.
    busy : bool
        Whether half of the service's processors or more are in use.
    held : dict of str to Resources
        Room that more urgent steps of the round wait for, by worker.
    """

    now: float
    top_priority: int
    workers: dict[str, _state.Worker]
    busy: bool = False
    held: dict[str, model.Resources] = attrs.field(factory=dict)


def make_rooms(
    pool: _state.Pool, workers: list[_state.Worker], *, now: float
) -> Rooms:
    """Return the room at the begin of a round."""
    listed = [each for each in pool.workers.values() if each.listed]
    capacity = sum(each.report.capacity.cpu_millis for each in listed)
    used = sum(each.used.cpu_millis for each in listed)
    return Rooms(
        now=now,
        top_priority=pool.top_priority,
        workers={each.key: each for each in workers},
        busy=used >= BUSY_SHARE * capacity,
    )


def make_demand(
    rooms: Rooms, job: _state.Job, step_key: tuple[int, int]
) -> Demand:
    """Return what each task of a step asks of a worker."""
    spec = job.spec.steps[step_key[1]]
    need = _state.reserved_need(spec)
    return Demand(
        spec=spec,
        step_runs_key=(job.spec.id, *step_key),
        cpu_millis=need.cpu_millis,
        memory_mb=need.memory_mb,
        accelerators=need.accelerators,
        urgent=spec.lasting or job.spec.queue.priority <= rooms.top_priority,
    )


def hold(rooms: Rooms, worker: _state.Worker, need: model.Resources) -> None:
    """Keep room from less urgent steps for the rest of the round."""
    held = rooms.held.get(worker.key, model.ZERO)
    rooms.held[worker.key] = model.add(held, need)


def block(rooms: Rooms, worker: _state.Worker) -> None:
    """Keep a whole worker from less urgent steps for the round."""
    rooms.held[worker.key] = worker.report.capacity


def may_ever_run(worker: _state.Worker, demand: Demand) -> bool:
    """Return whether an empty worker could run a task of a step."""
    capacity = worker.report.capacity
    label = demand.spec.label
    return (
        demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
        and (not label or label in worker.report.labels)
    )


def room_for(rooms: Rooms, worker: _state.Worker, demand: Demand) -> int:
    """Return how many further tasks of a step fit a worker now."""
    capacity, used = worker.report.capacity, worker.used
    cpu = capacity.cpu_millis - used.cpu_millis
    memory = capacity.memory_mb - used.memory_mb
    accelerators = capacity.accelerators - used.accelerators
    held = rooms.held.get(worker.key)
    if held is not None:
        cpu -= held.cpu_millis
        memory -= held.memory_mb
        accelerators -= held.accelerators
    if rooms.busy and not demand.urgent:
        cpu -= int(URGENT_RESERVE * capacity.cpu_millis)
    room = _tasks_within(demand, cpu, memory, accelerators)
    if room and demand.spec.spread_limit:
        taken = worker.step_runs.get(demand.step_runs_key, 0)
        room = min(room, demand.spec.spread_limit - taken)
    return max(0, room)


def room_when_empty(worker: _state.Worker, demand: Demand) -> int:
    """Return how many tasks of a step fit a worker that runs nothing else."""
    capacity = worker.report.capacity
    room = _tasks_within(
        demand,
        capacity.cpu_millis,
        capacity.memory_mb,
        capacity.accelerators,
    )
    return min(room, demand.spec.spread_limit or room)


def _tasks_within(
    demand: Demand, cpu: int, memory: int, accelerators: int
) -> int:
    if (
        cpu < demand.cpu_millis
        or memory < demand.memory_mb
        or accelerators < demand.accelerators
    ):
        return 0
    room = demand.spec.count
    if demand.cpu_millis:
        room = min(room, cpu // demand.cpu_millis)
    if demand.memory_mb:
        room = min(room, memory // demand.memory_mb)
    if demand.accelerators:
        room = min(room, accelerators // demand.accelerators)
    return room


def wait_for_room(
    rooms: Rooms, worker: _state.Worker, demand: Demand
) -> float:
    """Return the expected seconds until a task of a step fits a worker."""
    capacity, used = worker.report.capacity, worker.used
    cpu = capacity.cpu_millis - used.cpu_millis - demand.cpu_millis
    memory = capacity.memory_mb - used.memory_mb - demand.memory_mb
    accelerators = (
        capacity.accelerators - used.accelerators - demand.accelerators
    )
    if cpu >= 0 and memory >= 0 and accelerators >= 0:
        return 0.0
    ends = sorted(
        ((remaining_s(run, rooms.now), run) for run in worker.runs.values()),
        key=lambda pair: pair[0],
    )
    for wait_s, run in ends:
        cpu += run.need.cpu_millis
        memory += run.need.memory_mb
        accelerators += run.need.accelerators
        if cpu >= 0 and memory >= 0 and accelerators >= 0:
            return wait_s
    return math.inf


def remaining_s(run: _state.Run, now: float) -> float:
    """Return the expected seconds until a run ends."""
    step = _lifecycle.step_of(run.unit, run.job)
    if run.stopping:
        return 0.0
    if step.lasting:
        return math.inf
    if run.phase != _state.Phase.RUNNING or run.percent <= 0:
        return max(MIN_RUN_S, step.estimate_s)
    elapsed_s = max(0.0, run.progress_at - run.confirmed_at)
    expected_s = elapsed_s * (100.0 - run.percent) / run.percent
    return max(0.0, expected_s - (now - run.progress_at))


def score(worker: _state.Worker, demand: Demand) -> float:
    """Return how bad a worker is for a task; the lowest is taken."""
    step = demand.spec
    capacity, used = worker.report.capacity, worker.used
    share = max(
        (worker.wanted_cpu_millis + step.need.cpu_millis)
        / max(1, capacity.cpu_millis),
        (used.memory_mb + demand.memory_mb) / max(1, capacity.memory_mb),
        (used.accelerators + demand.accelerators)
        / max(1, capacity.accelerators),
    )
    total = share if _is_spread(worker, demand) else 1.0 - share
    if share > 1.0:
        total += OVERCOMMITTED * (share - 1.0)
    if step.filler and worker.serving:
        total += FILLER_BESIDE_SERVING
    if worker.fillers and step.latency_target_ms > 0:
        total += SERVING_BESIDE_FILLER
    if step.lasting:
        taken = worker.step_runs.get(demand.step_runs_key, 0)
        total += CROWDED_STEP * taken
    if step.data_rack and step.data_rack != worker.report.rack:
        total += FAR_FROM_DATA
    return total + RECENT_FAILURE * worker.failures_in_row


def _is_spread(worker: _state.Worker, demand: Demand) -> bool:
    """Return whether a task prefers empty workers to full ones.

    Serving tasks disturb each other, and small urgent ones should not all
    depend on one worker. The rest is packed.
    """
    if demand.spec.lasting:
        return True
    capacity = worker.report.capacity
    return (
        demand.urgent
        and demand.cpu_millis < LARGE_SHARE * capacity.cpu_millis
        and demand.memory_mb < LARGE_SHARE * capacity.memory_mb
    )
