"""Worker incarnations of a pool, by key and by worker id."""

from chestnuttide.workloads import _state


def add_worker(pool: _state.Pool, worker: _state.Worker) -> None:
    """Add a worker incarnation to the pool."""
    pool.workers[worker.key] = worker
    known = pool.incarnations.setdefault(worker.report.id, {})
    known[worker.key] = worker


def remove_worker(pool: _state.Pool, worker: _state.Worker) -> None:
    """Remove a worker incarnation from the pool, if it is there."""
    if pool.workers.pop(worker.key, None) is None:
        return
    known = pool.incarnations[worker.report.id]
    del known[worker.key]
    if not known:
        del pool.incarnations[worker.report.id]


def list_incarnations(
    pool: _state.Pool, worker_id: str
) -> list[_state.Worker]:
    """Return the incarnations of a worker that the pool has."""
    return list(pool.incarnations.get(worker_id, {}).values())
