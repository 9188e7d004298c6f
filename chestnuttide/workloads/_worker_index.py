"""Worker incarnations of a pool, by key and by worker id."""

from chestnuttide.workloads import _state


def add_worker(pool: _state.Pool, worker: _state.Worker) -> None:
    """Add a worker incarnation to the pool."""
    pool.workers[worker.key] = worker
    known = pool.incarnations.get(worker.report.id)
    if known is None:
        known = pool.incarnations[worker.report.id] = _state.Incarnations(
            last_fencing_token=pool.forgotten_fencing_token
        )
    known.workers[worker.key] = worker


def remove_worker(pool: _state.Pool, worker: _state.Worker) -> None:
    """Remove a worker incarnation from the pool, if it is there."""
    if pool.workers.pop(worker.key, None) is None:
        return
    known = pool.incarnations[worker.report.id]
    del known.workers[worker.key]
    if not known.workers:
        del pool.incarnations[worker.report.id]
        # The worker may be listed again, in the same incarnation or a later.
        pool.forgotten_fencing_token = max(
            pool.forgotten_fencing_token, known.last_fencing_token
        )


def list_incarnations(
    pool: _state.Pool, worker_id: str
) -> list[_state.Worker]:
    """Return the incarnations of a worker that the pool has."""
    known = pool.incarnations.get(worker_id)
    return [] if known is None else list(known.workers.values())


def is_old_entry(pool: _state.Pool, worker_id: str, revision: int) -> bool:
    """Return whether a newer entry of a worker has been applied."""
    known = pool.incarnations.get(worker_id)
    return known is not None and revision < known.entry_revision


def record_entry(pool: _state.Pool, worker_id: str, revision: int) -> None:
    """Record the revision of a worker's entry that has been applied."""
    known = pool.incarnations.get(worker_id)
    if known is not None:
        known.entry_revision = revision
