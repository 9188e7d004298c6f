"""Stops of runs: which are due, and what an answer to one shows."""

from chestnuttide.workloads import _state

STOP_RETRY_S = 0.5


def take_due_stops(worker: _state.Worker, *, now: float) -> list[_state.Run]:
    """Return runs whose stop is to be sent now, and record that it is sent.

    Stops are sent again until they are answered and, for a run that the
    worker lists, until it has ended.
    """
    due = [
        run
        for run in worker.runs.values()
        if _needs_stop(run) and now - run.stop_sent_at >= STOP_RETRY_S
    ]
    for run in due:
        run.stop_sent_at = now
    return due


def _needs_stop(run: _state.Run) -> bool:
    if run.phase == _state.Phase.PLANNED:
        return False
    if run.phase == _state.Phase.UNCERTAIN:
        # Any poll reply settles a start with a negative deadline.
        wanted = run.stopping or run.deadline_ms > 0
        return wanted and not run.stop_acknowledged_at
    return run.stopping


def record_stop_answer(
    run: _state.Run, worker: _state.Worker, *, now: float
) -> None:
    """Record that a worker has answered a stop for a run.

    The first answer counts: the worker rejects the run's start from then on,
    so the next poll that is sent shows whether it runs. An answer of a former
    incarnation does not bind the one that the run was moved to.
    """
    if run.worker_key == worker.key and not run.stop_acknowledged_at:
        run.stop_acknowledged_at = now
