"""What becomes of a worker's runs when it starts again under its id."""

import attrs

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A start names the worker's id, which the new lifetime shares, and its clock
# begins anew. Only an answered stop shows that the start will not take effect.
NEVER_EXPIRES_MS = 2**62


def former_lifetimes(
    pool: _state.Pool, report: _specs.WorkerReport
) -> list[_state.Worker]:
    """Return the lifetimes that a worker's report shows to be over."""
    return [
        worker
        for worker in pool.workers.values()
        if worker.report.id == report.id
        and worker.report.born_ms < report.born_ms
        and (worker.listed or worker.runs)
    ]


def end_lifetime(
    pool: _state.Pool, worker: _state.Worker, *, now: float, now_unix_s: float
) -> list[_state.Run]:
    """End all ordered runs of a lifetime that is over; return them."""
    worker.listed = False
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


def begin_lifetime(
    pool: _state.Pool, worker: _state.Worker, born_ms: int
) -> list[_state.Run]:
    """Hand the runs that a new lifetime may have begun over to it.

    A start that no look at the former lifetime has confirmed may have reached
    the new one. It stays uncertain until a look at the new lifetime lists it,
    or a stop for it is answered. The new lifetime gets no further runs before
    the store lists it, because its capacity may differ.

    Returns
    -------
    list of Run
        The runs that were handed over.
    """
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
        pool.workers[key] = successor
    handed = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED and not run.listed
    ]
    for run in handed:
        _state.release(worker, run)
        run.worker_key = key
        run.phase = _state.Phase.UNCERTAIN
        if run.deadline_ms >= 0:
            run.deadline_ms = NEVER_EXPIRES_MS
        _state.mark_changed(run.job)
        _state.occupy(successor, run)
    return handed
