"""Fencing tokens of the calls to each incarnation of a worker.

A worker that restarts under its id accepts calls that were meant for its
former incarnation. Calls to the new one therefore carry a higher fencing
token: once it has answered one of them, it rejects all earlier calls.
"""

from chestnuttide.workloads import _state


def assign_fencing_token(
    pool: _state.Pool, worker: _state.Worker, newest: int
) -> bool:
    """Assign a token above those of the worker's other incarnations.

    Parameters
    ----------
    pool : Pool
        The pool.
    worker : Worker
        The incarnation; one that has a token keeps it.
    newest : int
        Highest fencing token that the owner may use.

    Returns
    -------
    bool
        Whether it has a token now.
    """
    if worker.fencing_token:
        return True
    known = pool.incarnations.get(worker.report.id)
    if known is None or newest <= known.last_fencing_token:
        return False
    worker.fencing_token = known.last_fencing_token = newest
    return True


def withdraw_outdated_token(pool: _state.Pool, worker: _state.Worker) -> None:
    """Withdraw a token below that of another incarnation of the worker."""
    known = pool.incarnations.get(worker.report.id)
    if known and worker.fencing_token < known.last_fencing_token:
        worker.fencing_token = 0


def is_outdated(
    pool: _state.Pool, worker: _state.Worker, fencing_token: int
) -> bool:
    """Return whether the worker may have seen a higher token of this owner."""
    known = pool.incarnations.get(worker.report.id)
    if known is None:
        return fencing_token <= pool.forgotten_fencing_token
    return fencing_token < known.last_fencing_token
