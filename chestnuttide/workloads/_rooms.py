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


@attrs.define(kw_only=True, slots=True)
class Rooms:
    """Room as one round of planning sees it.

    Attributes
    ----------
    now : float
        Time of the round.
    top_priority : int
        Priority of the service's most urgent queue.
    workers : list of Worker
        Workers that may get new runs.
    busy : bool
        Whether half of the service's processors or more are in use.
    held : dict of str to Resources
        Room that more urgent steps of the round wait for, by worker.
    """

    now: float
    top_priority: int
    workers: list[_state.Worker]
    busy: bool = False
    held: dict[str, model.Resources] = attrs.field(factory=dict)


def make_rooms(
    pool: _state.Pool, workers: list[_state.Worker], *, now: float
) -> Rooms:
    """Return the room at the begin of a round."""
    capacity = sum(each.report.capacity.cpu_millis for each in workers)
    used = sum(each.used.cpu_millis for each in workers)
    return Rooms(
        now=now,
        top_priority=pool.top_priority,
        workers=workers,
        busy=used >= BUSY_SHARE * capacity,
    )


def free(
    rooms: Rooms, worker: _state.Worker, job: _state.Job
) -> model.Resources:
    """Return what a job may take of a worker now."""
    left = model.subtract(worker.report.capacity, worker.used)
    held = rooms.held.get(worker.key)
    if held is not None:
        left = model.subtract(left, held)
    if not rooms.busy or job.spec.queue.priority <= rooms.top_priority:
        return left
    kept = int(URGENT_RESERVE * worker.report.capacity.cpu_millis)
    return attrs.evolve(left, cpu_millis=left.cpu_millis - kept)


def hold(rooms: Rooms, worker: _state.Worker, need: model.Resources) -> None:
    """Keep room from less urgent steps for the rest of the round."""
    held = rooms.held.get(worker.key, model.ZERO)
    rooms.held[worker.key] = model.add(held, need)


def block(rooms: Rooms, worker: _state.Worker) -> None:
    """Keep a whole worker from less urgent steps for the round."""
    rooms.held[worker.key] = worker.report.capacity


def may_ever_run(worker: _state.Worker, step: _specs.StepSpec) -> bool:
    """Return whether an empty worker could run a task of a step."""
    return (
        not step.label or step.label in worker.report.labels
    ) and model.fits(_state.reserved_need(step), worker.report.capacity)


def count_of_step(
    worker: _state.Worker, job: _state.Job, step_key: tuple[int, int]
) -> int:
    """Return how many runs of a step a worker has."""
    return sum(
        1
        for run in worker.runs.values()
        if run.job is job and run.unit.key[:2] == step_key
    )


def room_for(
    rooms: Rooms,
    worker: _state.Worker,
    job: _state.Job,
    step_key: tuple[int, int],
) -> int:
    """Return how many further tasks of a step fit a worker now."""
    step = job.spec.steps[step_key[1]]
    need = _state.reserved_need(step)
    left = free(rooms, worker, job)
    room = step.count
    for wanted, available in (
        (need.cpu_millis, left.cpu_millis),
        (need.memory_mb, left.memory_mb),
        (need.accelerators, left.accelerators),
    ):
        if wanted:
            room = min(room, available // wanted)
    if step.spread_limit:
        taken = count_of_step(worker, job, step_key)
        room = min(room, step.spread_limit - taken)
    return max(0, room)


def wait_for_room(
    rooms: Rooms, worker: _state.Worker, step: _specs.StepSpec
) -> float:
    """Return the expected seconds until a task of a step fits a worker."""
    need = _state.reserved_need(step)
    left = model.subtract(worker.report.capacity, worker.used)
    if model.fits(need, left):
        return 0.0
    ends = sorted(
        ((_remaining_s(run, rooms.now), run) for run in worker.runs.values()),
        key=lambda pair: pair[0],
    )
    for remaining_s, run in ends:
        left = model.add(left, run.need)
        if model.fits(need, left):
            return remaining_s
    return math.inf


def _remaining_s(run: _state.Run, now: float) -> float:
    step = _lifecycle.step_of(run.unit, run.job)
    if run.stopping:
        return 0.0
    if step.lasting:
        return math.inf
    if run.phase != _state.Phase.RUNNING or run.percent <= 0:
        return max(MIN_RUN_S, step.estimate_s)
    elapsed_s = max(0.0, run.progress_at - run.confirmed_at)
    remaining_s = elapsed_s * (100.0 - run.percent) / run.percent
    return max(0.0, remaining_s - (now - run.progress_at))


def score(
    rooms: Rooms,
    worker: _state.Worker,
    job: _state.Job,
    step_key: tuple[int, int],
) -> float:
    """Return how bad a worker is for a task; the lowest is taken."""
    step = job.spec.steps[step_key[1]]
    capacity = worker.report.capacity
    cpu = step.need.cpu_millis
    filler = serving = False
    for run in worker.runs.values():
        other = _lifecycle.step_of(run.unit, run.job)
        cpu += other.need.cpu_millis
        filler = filler or other.filler
        serving = serving or other.latency_target_ms > 0
    share = max(
        cpu / max(1, capacity.cpu_millis),
        (worker.used.memory_mb + step.need.memory_mb)
        / max(1, capacity.memory_mb),
        (worker.used.accelerators + step.need.accelerators)
        / max(1, capacity.accelerators),
    )
    total = share if _is_spread(rooms, worker, job, step) else 1.0 - share
    total += OVERCOMMITTED * max(0.0, share - 1.0)
    if step.filler and serving:
        total += FILLER_BESIDE_SERVING
    if step.latency_target_ms > 0 and filler:
        total += SERVING_BESIDE_FILLER
    if step.lasting:
        total += CROWDED_STEP * count_of_step(worker, job, step_key)
    if step.data_rack and step.data_rack != worker.report.rack:
        total += FAR_FROM_DATA
    return total + RECENT_FAILURE * worker.failures_in_row


def _is_spread(
    rooms: Rooms,
    worker: _state.Worker,
    job: _state.Job,
    step: _specs.StepSpec,
) -> bool:
    """Return whether a task prefers empty workers to full ones.

    Serving tasks disturb each other, and small urgent ones should not all
    depend on one worker. The rest is packed.
    """
    if step.lasting:
        return True
    capacity = worker.report.capacity
    share = max(
        step.need.cpu_millis / max(1, capacity.cpu_millis),
        step.need.memory_mb / max(1, capacity.memory_mb),
    )
    urgent = job.spec.queue.priority <= rooms.top_priority
    return urgent and share < LARGE_SHARE
