"""Handles the runs of a worker that restarts under the same id."""

import math

import attrs

from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _fencing
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _state
from chestnuttide.workloads import _worker_index

# Lease expiry of a start that may reach a new incarnation. Starts name only
# the worker's id, which the new incarnation shares, and its clock is reset.
# Only an answered stop shows that the start will not take effect.
NEVER_EXPIRES_MS = 2**62


def ended_incarnations(
    pool: _state.Pool, worker: _state.Worker, *, polled_at: float
) -> list[_state.Worker]:
    """Return the incarnations that a worker's poll reply shows to have ended.

    Only a reply tells which incarnation lives: start times are times of day,
    which may jump back, and entries arrive late. One that the owner learned of
    after the poll was sent may be newer than the reply.
    """
    return [
        other
        for other in _worker_index.list_incarnations(pool, worker.report.id)
        if other is not worker
        and other.known_since < polled_at
        and (other.listed or other.runs)
    ]


def end_incarnation(
    pool: _state.Pool, worker: _state.Worker, *, now: float, now_unix_s: float
) -> list[_state.Run]:
    """End the runs of a former incarnation whose start may have been sent.

    Returns
    -------
    list of Run
        The ended runs.
    """
    worker.listed = False
    worker.ended_at = now
    _crashes.record_crash(pool, worker)
    lost = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED
    ]
    for run in lost:
        _lifecycle.end_run(
            pool, run, "lost", "", now=now, now_unix_s=now_unix_s
        )
    return lost


def start_incarnation(
    pool: _state.Pool, worker: _state.Worker, born_ms: int
) -> list[_state.Run]:
    """Move the runs that a new incarnation may have started over to it.

    A start may have reached the new incarnation unless its run is located in
    the former one. The run is uncertain until a poll reply of the new
    incarnation lists it, or until a stop for it is answered. The new
    incarnation gets no further runs before the store lists it, because its
    capacity may differ.

    Returns
    -------
    list of Run
        The moved runs.
    """
    _crashes.record_crash(pool, worker)
    worker.earlier_leases_until = math.inf
    report = attrs.evolve(worker.report, born_ms=born_ms)
    key = _state.worker_key(report)
    successor = pool.workers.get(key)
    if successor is None:
        successor = _state.Worker(
            key=key,
            report=report,
            lease_until=worker.lease_until,
            listed=False,
        )
        _worker_index.add_worker(pool, successor)
    successor.unlocated_lease_until = max(
        successor.unlocated_lease_until, worker.unlocated_lease_until
    )
    _fencing.withdraw_outdated_token(pool, successor)
    moved = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED and not run.located
    ]
    for run in moved:
        _state.deallocate(worker, run)
        run.worker_key = key
        run.phase = _state.Phase.UNCERTAIN
        run.stop_sent_at = run.stop_acknowledged_at = 0.0
        # Throttle commands to the former incarnation may have reached it too.
        run.sent_speed_percent = -1
        if run.deadline_ms >= 0:
            run.deadline_ms = NEVER_EXPIRES_MS
        _state.mark_changed(run.job)
        _state.allocate(successor, run)
    return moved
