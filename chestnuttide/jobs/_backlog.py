"""Jobs with tasks to start, and their lanes in the queue."""

import collections.abc
import math

from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Maximum run time in seconds that a team is charged for when a task starts.
# Services never end, and a wrong estimate must not starve a team.
MAX_CHARGED_S = 600.0

# Number of significant bits of a need that distinguish lanes. Needs in one
# lane differ by at most an eighth, and a pool has a few dozen lanes.
LANE_BITS = 3

# Longest run time in seconds that distinguishes lanes.
LONGEST_RUN_S = 1e5

# Smallest charge for a task. Each start must advance its team in the order.
MIN_COST = 1e-6


def expected_run(
    state: _state.PoolState, job: model.Job
) -> queueing.RunTimeEstimate:
    """Return the expected run time of a task; infinity for services."""
    if job.kind is model.JobKind.SERVICE:
        return queueing.RunTimeEstimate(
            median_s=math.inf, p90_s=math.inf, learned=False
        )
    return queueing.estimate_run_time(
        state.estimates, job.workload_class, job.declared_run_s
    )


def cost(
    state: _state.PoolState, need: model.Resources, run_s: float
) -> float:
    """Return the cost of work: its share of the pool times its run time."""
    return max(share(state, need) * min(run_s, MAX_CHARGED_S), MIN_COST)


def share(state: _state.PoolState, amount: model.Resources) -> float:
    """Return the largest share of the pool over all resource dimensions."""
    total = placement.capacity_total(state.cell)
    return max(
        amount.cpu_millis / max(total.cpu_millis, 1),
        amount.memory_mb / max(total.memory_mb, 1),
        amount.accelerators / max(total.accelerators, 1),
    )


def enqueue(state: _state.PoolState, record: _state.JobRecord) -> None:
    """Queue a job that has tasks to start, unless it is already queued."""
    job = record.job
    if (
        job.job_id in state.queue.items
        or not _state.is_open(record)
        or not record.durable
        or not record.settled
        or not _state.pending(record)
    ):
        return
    if _state.is_gang(record) and (
        record.aborting or record.live or record.delayed
    ):
        return
    expected_s = update_estimate(state, record)
    tasks = _state.pending(record) if _state.is_gang(record) else 1
    queueing.push(
        state.queue,
        queueing.QueueItem(
            key=job.job_id,
            team=job.team,
            urgent=job.urgent,
            cost=record.cost * tasks,
            workload_class=job.workload_class,
            expected_s=0.0 if _state.is_service(record) else expected_s,
            entered_at=record.entered_at,
            lane=record.lane,
        ),
        forced=True,
    )
    state.dirty = True


def update_estimate(
    state: _state.PoolState, record: _state.JobRecord
) -> float:
    """Update a job's estimated run time, cost and lane.

    Work of similar need, priority and run time shares a lane of the queue. If
    the head of a lane fits nowhere, hardly anything else in the lane does, so
    the whole lane is skipped and does not block other lanes. Urgent work and
    services never count as long.

    Returns
    -------
    float
        Expected run time in seconds; infinity for services.
    """
    job = record.job
    need = job.resources
    expected = expected_run(state, job)
    record.run_s = expected.p90_s
    record.cost = cost(state, need, expected.median_s)
    record.long = (
        not job.urgent
        and not _state.is_service(record)
        and expected.median_s > state.document.pool.long_run_s
    )
    length = "long" if record.long else "short"
    count = _state.pending(record) if _state.is_gang(record) else 0
    floor = _floor_need(need)
    magnitude = (
        0
        if expected.p90_s < 1
        else int(math.log10(min(expected.p90_s, LONGEST_RUN_S))) + 1
    )
    record.lane = (
        f"{length}/{_state.priority(record)}/{count}/{magnitude}"
        f"/{floor.accelerators}/{floor.cpu_millis}/{floor.memory_mb}"
    )
    return expected.median_s


def is_long(lane: str) -> bool:
    """Return whether a lane contains long work."""
    return lane.startswith("long/")


def block_lane(state: _state.PoolState, record: _state.JobRecord) -> None:
    """Skip the lane of a job that fits nowhere, until capacity is freed."""
    state.blocked_lanes[record.lane] = _floor_need(record.job.resources)


def unblock_lanes(
    state: _state.PoolState, worker_ids: collections.abc.Iterable[str]
) -> dict[str, model.Resources]:
    """Unblock the lanes that may fit workers on which capacity was freed.

    Returns
    -------
    dict of str to Resources
        The unblocked lanes, each with a lower bound of the needs in it.
    """
    free_capacities = _free_capacities(state, worker_ids)
    if not free_capacities:
        return {}
    unblocked = {
        lane: need
        for lane, need in state.blocked_lanes.items()
        if any(model.fits(need, free) for free in free_capacities)
    }
    for lane in unblocked:
        del state.blocked_lanes[lane]
        state.dirty = True
    return unblocked


def reblock_lanes(
    state: _state.PoolState,
    unblocked: dict[str, model.Resources],
    worker_ids: collections.abc.Iterable[str],
) -> None:
    """Block lanes again if other tasks have since used the freed capacity.

    Parameters
    ----------
    state : PoolState
        The pool.
    unblocked : dict of str to Resources
        Result of `unblock_lanes`; lanes that are blocked again are removed.
    worker_ids : iterable of str
        The workers on which capacity was freed.
    """
    free_capacities = _free_capacities(state, worker_ids)
    for lane, need in list(unblocked.items()):
        if not any(model.fits(need, free) for free in free_capacities):
            del unblocked[lane]
            state.blocked_lanes[lane] = need


def _free_capacities(
    state: _state.PoolState, worker_ids: collections.abc.Iterable[str]
) -> list[model.Resources]:
    return [
        placement.free_of(state.cell, worker_id)
        for worker_id in worker_ids
        if worker_id not in state.unavailable_workers
        and worker_id in state.workers
    ]


def requeue_task(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> None:
    """Put a task back among the waiting ones."""
    record.waiting[index] = None
    enqueue(state, record)


def pop_task(record: _state.JobRecord) -> int | None:
    """Remove and return the next waiting task; restarts come first."""
    if record.waiting:
        index = next(iter(record.waiting))
        del record.waiting[index]
        return index
    if record.first_unstarted < record.job.tasks:
        record.first_unstarted += 1
        return record.first_unstarted - 1
    return None


def withdraw_task(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> None:
    """Remove a given task from the tasks that wait or are in backoff."""
    record.waiting.pop(index, None)
    record.delayed.discard(index)
    if not record.settled:
        return
    if index >= record.first_unstarted:
        for other in range(record.first_unstarted, index):
            record.waiting[other] = None
        record.first_unstarted = index + 1
    dequeue_if_empty(state, record)


def dequeue_if_empty(
    state: _state.PoolState, record: _state.JobRecord
) -> None:
    """Remove a job from the queue if it has no tasks to start."""
    if not _state.pending(record):
        queueing.cancel(state.queue, record.job.job_id)


def _floor_need(need: model.Resources) -> model.Resources:
    """Return a need rounded down as it is in the name of its lane."""
    return model.Resources(
        cpu_millis=_floor(need.cpu_millis),
        memory_mb=_floor(need.memory_mb),
        accelerators=need.accelerators,
    )


def _floor(amount: int) -> int:
    """Return an amount rounded down to its most significant bits."""
    shift = max(0, amount.bit_length() - LANE_BITS)
    return amount >> shift << shift
