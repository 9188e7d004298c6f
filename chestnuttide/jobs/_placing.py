"""The loop that starts waiting tasks in the order of the queue."""

import collections

from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _gangs
from chestnuttide.jobs import _holding
from chestnuttide.jobs import _preemption
from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Jobs behind a head that does not fit which are tried before their lane is
# left for this call.
WINDOW = 16

# Tasks of one job started in a row before the order is looked at again.
BURST = 4

# Searches for victims per call; each compares many workers.
PREEMPTIONS_PER_CALL = 4

# Seconds after which needs that fitted nowhere are tried again even if no
# capacity was freed, for example because an ejected worker may be probed.
REFRESH_S = 0.25

# What `_try_job` returns for a job whose team is at its quota.
_BLOCKED = -1


def place(state: _state.PoolState, now: float, out: list[object]) -> None:
    """Start waiting tasks, up to the limit of decisions per call."""
    if not _attempts.may_send(state):
        return
    if now >= state.refreshed_at + REFRESH_S:
        state.refreshed_at = now
        if state.misfits or state.queue.items:
            _state.capacity_changed(state)
    _preemption.serve_claims(state, now, out)
    if not state.dirty:
        return
    budget = state.decisions_per_call
    preemptions = [PREEMPTIONS_PER_CALL]
    skipped: set[str] = set()
    while budget > 0:
        if not _backlog.LONG_LANES <= skipped and _long_must_wait(
            state, skipped
        ):
            skipped |= _backlog.LONG_LANES
        heads = queueing.candidates(state.queue, 1, skipped_lanes=skipped)
        if not heads:
            state.dirty = False
            return
        decided = _try_job(state, heads[0], now, out, preemptions)
        budget -= max(1, decided)
        if decided:
            continue
        budget -= _backfill(state, skipped, now, out, preemptions)


def _backfill(
    state: _state.PoolState,
    skipped: set[str],
    now: float,
    out: list[object],
    preemptions: list[int],
) -> int:
    """Try jobs behind the head; leave lanes in which nothing fits.

    Returns
    -------
    int
        Number of decisions.
    """
    window = queueing.candidates(state.queue, WINDOW, skipped_lanes=skipped)
    failures: collections.Counter[str] = collections.Counter()
    decisions = 0
    for position, item in enumerate(window):
        decided = 0
        if position:
            decided = _try_job(state, item, now, out, preemptions)
            decisions += max(1, decided)
        if decided:
            return decisions
        failures[item.lane] += 1
    # At least one lane has this many failures, so the loop makes progress.
    enough = max(1, len(window) // max(1, len(failures)))
    skipped.update(lane for lane, count in failures.items() if count >= enough)
    return decisions


def _long_must_wait(state: _state.PoolState, skipped: set[str]) -> bool:
    """Return whether long work holds its share while short work waits."""
    held = _backlog.share(state, state.long_held)
    if held < state.document.pool.long_share:
        return False
    return bool(
        queueing.candidates(state.queue, 1, skipped_lanes=_backlog.LONG_LANES)
    )


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
        Number of tasks started; 0 if none fits; below 0 if its team is at its
        quota and was taken out of the order.
    """
    record = state.jobs[item.key]
    if _state.is_gang(record):
        if not _within_quota(state, record, _gangs.need_of(record)):
            return _BLOCKED
        misfit = (record.job.resources, _state.pending(record), "gang")
        if misfit in state.misfits:
            return 0
        started = _gangs.place(
            state, record, _excluded(state, record, None), now, out
        )
        if not started:
            state.misfits.add(misfit)
        return started
    started = 0
    while started < BURST and _state.pending(record):
        if not _within_quota(state, record, record.job.resources):
            started = started or _BLOCKED
            break
        if not _try_task(state, record, now, out, preemptions):
            break
        started += 1
    _backlog.leave_if_empty(state, record)
    return started


def _try_task(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
    preemptions: list[int],
) -> bool:
    """Start the next task of a job, or evict other work for it."""
    job = record.job
    need = job.resources
    run_s = _backlog.expectation(state, job).p90_s
    misfit = (
        need,
        run_s if placement.held_key(state.cell) is not None else 0.0,
    )
    failed_on = _next_failures(record)
    if not failed_on and misfit in state.misfits:
        return False
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
        expected_run_s=run_s,
    )
    reclaimed = False
    if worker_id is None and state.lend and not job.urgent:
        worker_id = placement.choose_reclaimed_worker(
            state.cell,
            need=need,
            checkpoint=policy.checkpoint,
            throttle=policy.throttle,
            excluded=excluded,
            now=now,
        )
        reclaimed = worker_id is not None
        if reclaimed and not state.workers[worker_id].lends:
            worker_id = None
    if worker_id is not None:
        index = _backlog.take_task(record)
        if index is not None:
            _holding.begin(
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
    if not failed_on:
        state.misfits.add(misfit)
    return False


def _within_quota(
    state: _state.PoolState,
    record: _state.JobRecord,
    need: model.Resources,
) -> bool:
    """Return whether a team may hold more; block it in the queue if not."""
    team = record.job.team
    limits = _state.team_config(state, team)
    if queueing.allows(state.quota, team, limits, need):
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
    """Return the workers that a job's next task, or a gang, avoids."""
    if failed_on is None:
        avoided = {
            worker_id
            for failures in record.failed_on.values()
            for worker_id in failures
        }
    else:
        avoided = set(failed_on)
    if not avoided or not _fits_elsewhere(state, record, avoided):
        return state.shut
    return state.shut | avoided


def _fits_elsewhere(
    state: _state.PoolState,
    record: _state.JobRecord,
    avoided: set[str],
) -> bool:
    """Return whether the pool has room enough without some workers.

    A small pool has no other worker; there the task is tried again on one
    that it failed on.
    """
    count = _state.pending(record) if _state.is_gang(record) else 1
    need = record.job.resources
    for worker_id, worker in state.workers.items():
        if (
            worker_id not in avoided
            and worker.instance.state is model.InstanceState.LIVE
            and worker.reported
            and worker.failures < _state.MAX_FAILURES
            and not placement.is_ejected(state.cell, worker_id)
        ):
            count -= _times(need, worker.instance.capacity)
            if count <= 0:
                return True
    return False


def _times(need: model.Resources, capacity: model.Resources) -> int:
    """Return how often a need fits into a capacity."""
    count = min(
        capacity.cpu_millis // need.cpu_millis,
        capacity.memory_mb // need.memory_mb,
    )
    if need.accelerators:
        count = min(count, capacity.accelerators // need.accelerators)
    return count
