"""Placement loop, which starts waiting tasks in the order of the queue."""

from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _gangs
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _preemption
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing
from chestnuttide import workspaces

# Tasks of one job that are started before the queue's order is evaluated
# again.
MAX_BURST_TASKS = 4

# Searches for victims per call; each search compares many workers.
PREEMPTIONS_PER_CALL = 4

# Seconds after which blocked lanes are retried even if no capacity was freed,
# for example because an ejected worker may be probed.
REFRESH_S = 0.25

# Result of `_try_job` for a job whose team has reached its quota.
_QUOTA_BLOCKED = -1


def place(state: _state.PoolState, now: float, out: list[object]) -> None:
    """Start waiting tasks, up to the maximum number of decisions per call."""
    if not _attempts.may_send_starts(state):
        return
    if now >= state.refreshed_at + REFRESH_S:
        state.refreshed_at = now
        if state.queue.items:
            _state.mark_capacity_changed(state)
    freed = _preemption.fill_claims(state, now, out)
    unblocked = _backlog.unblock_lanes(state, freed)
    if not state.dirty:
        return
    budget = state.decisions_per_call
    preemptions = [PREEMPTIONS_PER_CALL]
    while budget > 0:
        skipped = state.blocked_lanes.keys() | _long_lanes_to_skip(state)
        heads = queueing.candidates(state.queue, 1, skipped_lanes=skipped)
        if not heads:
            state.dirty = False
            return
        decided = _try_job(state, heads[0], now, out, preemptions)
        budget -= max(1, decided)
        if not decided:
            _backlog.block_lane(state, state.jobs[heads[0].key])
        elif unblocked:
            _backlog.reblock_lanes(state, unblocked, freed)


def _long_lanes_to_skip(state: _state.PoolState) -> set[str]:
    """Return the lanes of long work that must wait for short work.

    All lanes of long work must wait while long work uses its whole share of
    the pool and some short work is waiting that its quota does not block.
    """
    reserved_share = _backlog.share(state, state.long_reserved)
    if reserved_share < state.document.pool.long_share:
        return set()
    lanes = {lane for _, lane in state.queue.bands if _backlog.is_long(lane)}
    if lanes and queueing.candidates(state.queue, 1, skipped_lanes=lanes):
        return lanes
    return set()


def _try_job(
    state: _state.PoolState,
    item: queueing.QueueItem,
    now: float,
    out: list[object],
    preemptions: list[int],
) -> int:
    """Start tasks of one job.

    Returns
    -------
    int
        Number of tasks started; 0 if none fits; negative if the team has
        reached its quota and was blocked in the queue.
    """
    record = state.jobs[item.key]
    if _state.is_gang(record):
        if not _within_quota(state, record, _gangs.need_of(record)):
            return _QUOTA_BLOCKED
        return _gangs.place(
            state, record, _excluded(state, record, None), now, out
        )
    started = 0
    while started < MAX_BURST_TASKS and _state.pending(record):
        if not _within_quota(state, record, record.job.resources):
            started = started or _QUOTA_BLOCKED
            break
        if not _try_task(state, record, now, out, preemptions):
            break
        started += 1
    _backlog.dequeue_if_empty(state, record)
    return started


def _try_task(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
    preemptions: list[int],
) -> bool:
    """Start the next task of a job, or evict other work to make room for it.

    Returns
    -------
    bool
        Whether a decision was made; False if the task fits nowhere.
    """
    job = record.job
    need = job.resources
    failed_on = _next_failures(record)
    policy = _state.class_config(state, job)
    spread = policy.spread or _state.is_service(record)
    excluded = _excluded(state, record, failed_on)
    worker_id = placement.choose_worker(
        state.cell,
        need=need,
        spread=spread,
        spread_counts=record.spread if spread else None,
        excluded=excluded,
        now=now,
        expected_run_s=record.run_s,
    )
    reclaimed = False
    if worker_id is None and state.overcommit and not job.urgent:
        worker_id = placement.choose_reclaimed_worker(
            state.cell,
            need=need,
            checkpoint=policy.checkpoint,
            throttle=policy.throttle,
            excluded=excluded,
            now=now,
        )
        reclaimed = worker_id is not None
        if reclaimed and not state.workers[worker_id].allows_overcommit:
            worker_id = None
    if worker_id is not None:
        index = _backlog.pop_task(record)
        if index is not None:
            _reservations.start_attempt(
                state,
                record,
                index,
                worker_id,
                now,
                out,
                reclaimed=reclaimed,
            )
        return True
    if _preemption.may_preempt(record) and preemptions[0] > 0:
        preemptions[0] -= 1
        if _preemption.preempt(state, record, now, out):
            return True
    if failed_on:
        # The task avoids workers that other work in its lane may use, so the
        # lane must not be blocked.
        index = _backlog.pop_task(record)
        if index is not None:
            _outcomes.delay_task(state, record, index, 1, now)
        return True
    return False


def _within_quota(
    state: _state.PoolState,
    record: _state.JobRecord,
    need: model.Resources,
) -> bool:
    """Return whether a quota allows a need; block the team if it does not."""
    team = record.job.team
    limits = _state.team_config(state, team)
    if workspaces.allows(state.quota, team, limits, need):
        return True
    queueing.block_team(state.queue, team)
    return False


def _next_failures(record: _state.JobRecord) -> dict[str, int]:
    """Return the workers on which the next task has failed."""
    if not record.failed_on or not record.waiting:
        return {}
    if _state.is_service(record):
        return {}
    return record.failed_on.get(next(iter(record.waiting)), {})


def _excluded(
    state: _state.PoolState,
    record: _state.JobRecord,
    failed_on: dict[str, int] | None,
) -> set[str]:
    """Return the workers that a job's next task, or a gang, must not use."""
    if failed_on is None:
        avoided = {
            worker_id
            for failures in record.failed_on.values()
            for worker_id in failures
        }
    else:
        avoided = set(failed_on)
    if not avoided or not _fits_elsewhere(state, record, avoided):
        return state.unavailable_workers
    return state.unavailable_workers | avoided


def _fits_elsewhere(
    state: _state.PoolState,
    record: _state.JobRecord,
    avoided: set[str],
) -> bool:
    """Return whether the work would fit if some workers were avoided.

    A small pool may have no other worker. There, a task is retried on a
    worker on which it has failed.
    """
    count = _state.pending(record) if _state.is_gang(record) else 1
    need = record.job.resources
    for worker_id, worker in state.workers.items():
        if (
            worker_id not in avoided
            and worker.instance.state is model.InstanceState.LIVE
            and worker.reported
            and worker.failures < _state.MAX_SYNC_FAILURES
            and not placement.is_ejected(state.cell, worker_id)
        ):
            count -= _fit_count(need, worker.instance.capacity)
            if count <= 0:
                return True
    return False


def _fit_count(need: model.Resources, capacity: model.Resources) -> int:
    """Return how many times a need fits into a capacity."""
    count = min(
        capacity.cpu_millis // need.cpu_millis,
        capacity.memory_mb // need.memory_mb,
    )
    if need.accelerators:
        count = min(count, capacity.accelerators // need.accelerators)
    return count
