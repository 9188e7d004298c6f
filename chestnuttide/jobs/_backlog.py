"""Jobs with tasks to start, and their place in the queue."""

import math

from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Lanes of the queue. Work that needs accelerators, gangs and long work are
# lanes of their own, so that one of them that finds no room does not hide the
# others.
LONG_LANES = frozenset({"long", "long_accelerated", "long_gang"})

# Run time in seconds for which a team is charged at most when a task starts.
# Services do not end, and a wrong estimate must not shut a team out.
MAX_CHARGED_S = 600.0

# Smallest charge for a task, so that its team moves on.
MIN_COST = 1e-6


def expectation(
    state: _state.PoolState, job: model.Job
) -> queueing.Expectation:
    """Return the expected run time of a task; infinite for services."""
    if job.kind is model.JobKind.SERVICE:
        return queueing.Expectation(
            median_s=math.inf, p90_s=math.inf, learned=False
        )
    return queueing.expect(
        state.estimates, job.workload_class, job.declared_run_s
    )


def cost(
    state: _state.PoolState, need: model.Resources, run_s: float
) -> float:
    """Return the share of the pool times the seconds that work takes."""
    return max(share(state, need) * min(run_s, MAX_CHARGED_S), MIN_COST)


def share(state: _state.PoolState, amount: model.Resources) -> float:
    """Return the largest share of the pool over the dimensions."""
    total = placement.capacity_total(state.cell)
    return max(
        amount.cpu_millis / max(total.cpu_millis, 1),
        amount.memory_mb / max(total.memory_mb, 1),
        amount.accelerators / max(total.accelerators, 1),
    )


def enqueue(state: _state.PoolState, record: _state.JobRecord) -> None:
    """Queue a job that has tasks to start, unless it is queued."""
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
    expected_s = expectation(state, job).median_s
    record.lane = lane(state, record, expected_s)
    tasks = _state.pending(record) if _state.is_gang(record) else 1
    queueing.push(
        state.queue,
        queueing.QueueItem(
            key=job.job_id,
            team=job.team,
            urgent=job.urgent,
            cost=cost(state, job.resources, expected_s) * tasks,
            workload_class=job.workload_class,
            expected_s=0.0 if _state.is_service(record) else expected_s,
            entered_at=record.entered_at,
            lane=record.lane,
        ),
        forced=True,
    )
    state.dirty = True


def lane(
    state: _state.PoolState, record: _state.JobRecord, expected_s: float
) -> str:
    """Return the lane of a job. Urgent work and services are never long."""
    job = record.job
    long = (
        not job.urgent
        and not _state.is_service(record)
        and expected_s > state.document.pool.long_run_s
    )
    length = "long" if long else "short"
    if _state.is_gang(record):
        return f"{length}_gang"
    if job.resources.accelerators:
        return f"{length}_accelerated"
    return length


def wait_again(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> None:
    """Let a task wait for its next start."""
    record.waiting[index] = None
    enqueue(state, record)


def take_task(record: _state.JobRecord) -> int | None:
    """Take the next task that waits; tasks that ran before come first."""
    if record.waiting:
        index = next(iter(record.waiting))
        del record.waiting[index]
        return index
    if record.fresh < record.job.tasks:
        record.fresh += 1
        return record.fresh - 1
    return None


def withdraw_task(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> None:
    """Take a given task out of wherever it waits."""
    record.waiting.pop(index, None)
    record.delayed.discard(index)
    if not record.settled:
        return
    if index >= record.fresh:
        for other in range(record.fresh, index):
            record.waiting[other] = None
        record.fresh = index + 1
    leave_if_empty(state, record)


def leave_if_empty(state: _state.PoolState, record: _state.JobRecord) -> None:
    """Take a job without tasks to start out of the queue."""
    if not _state.pending(record):
        queueing.cancel(state.queue, record.job.job_id)
