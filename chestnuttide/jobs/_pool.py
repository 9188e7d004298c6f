"""Message filter that makes the decisions of one pool shard."""

from chestnuttide import config
from chestnuttide.jobs import _acceptance
from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _gangs
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _placement_loop
from chestnuttide.jobs import _preemption
from chestnuttide.jobs import _recovery
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import pipes
from chestnuttide import placement
from chestnuttide import queueing


def make_pool_filter(*, state: _state.PoolState) -> pipes.Filter:
    """Return the filter that makes the decisions of one pool shard.

    Parameters
    ----------
    state : PoolState
        State of the pool, which the filter changes.

    Returns
    -------
    Filter
        Takes one input message and the time, and returns output messages. A
        call makes a bounded number of decisions. While `is_busy` returns
        True, a `Tick` should be sent soon.
    """
    _adopt_config(state, state.document)

    def run(message: object, now: float) -> list[object]:
        out: list[object] = []
        _handle(state, message, now, out)
        for kind, arguments in _timers.pop_due(state, now):
            _on_timer(state, kind, arguments, now, out)
        _recovery.settle_if_known(state, now, out)
        _outcomes.stop_closing(state, now, out)
        if isinstance(message, _messages.Tick):
            _outcomes.remove_ended(state, now)
            _preemption.relieve(state, now, out)
        _placement_loop.place(state, now, out)
        return out

    return run


def is_busy(state: _state.PoolState, now: float) -> bool:
    """Return whether there is work that another call could do immediately."""
    return bool(
        state.closing
        or (state.dirty and _attempts.may_send_starts(state))
        or (state.timers and state.timers[0][0] <= now)
    )


def next_due(state: _state.PoolState) -> float | None:
    """Return the due time of the next timer in seconds, or None."""
    return state.timers[0][0] if state.timers else None


def _handle(
    state: _state.PoolState, message: object, now: float, out: list[object]
) -> None:
    """Handle one input message."""
    match message:
        case _messages.Tick():
            pass
        case _messages.SyncReport():
            _attempts.on_sync_report(state, message, now, out)
        case _messages.SyncSent():
            _attempts.on_sync_sent(state, message, now)
        case _messages.SyncFailed():
            _attempts.on_sync_failed(state, message, now)
        case _messages.StartResult():
            _attempts.on_start_result(state, message, now, out)
        case _messages.JournalDurable():
            for token in message.tokens:
                _on_durable(state, token, now, out)
        case _messages.SubmitJob():
            _acceptance.submit(state, message, now, out)
        case _messages.CancelJob():
            _acceptance.cancel(state, message, now, out)
        case _messages.WorkersChanged():
            _recovery.on_workers_changed(state, message, now)
        case _messages.ConfigChanged():
            _adopt_config(state, message.document)
        case _messages.JournalStalled():
            _acceptance.on_stalled(state, message.stalled, out)
        case _messages.Recovered():
            _recovery.on_recovered(state, message, now, out)
        case _messages.Stopping():
            state.stopping = True
        case _:
            raise TypeError(f"The pool filter does not accept {message!r}.")


def _adopt_config(
    state: _state.PoolState, document: config.CellConfig
) -> None:
    """Apply a configuration."""
    state.document = document
    placement.set_limits(state.cell, document.pool)
    queueing.set_weights(
        state.queue,
        {name: team.weight for name, team in document.teams.items()},
    )
    for team in list(state.queue.teams):
        queueing.unblock_team(state.queue, team)
    _state.mark_capacity_changed(state)


def _on_durable(
    state: _state.PoolState, token: int, now: float, out: list[object]
) -> None:
    """Carry out the action that waited for an event to be durable."""
    match state.effects.pop(token, None):
        case ("accept", call, job_id):
            _acceptance.on_accepted(state, call, job_id, now, out)
        case ("unanswered", job_id):
            _acceptance.queue_durable_job(state, job_id)
        case ("cancel", call, job_id):
            out.append(
                _messages.JobCancelled(
                    token=call,
                    job_id=job_id,
                    state=model.JobState.CANCELLED,
                )
            )
        case ("acknowledge", worker_id, attempt):
            state.unacknowledged.pop((worker_id, attempt), None)
            out.append(
                _messages.AcknowledgeEnd(worker_id=worker_id, attempt=attempt)
            )
        case ("owner",):
            state.ready = True
            _state.mark_capacity_changed(state)


def _on_timer(
    state: _state.PoolState,
    kind: str,
    arguments: tuple,
    now: float,
    out: list[object],
) -> None:
    """Handle a due timer."""
    match kind:
        case "lapse":
            _attempts.on_lease_timer(state, *arguments, now, out)
        case "start":
            _attempts.on_start_timer(state, *arguments, now, out)
        case "stop":
            _attempts.on_stop_timer(state, *arguments, now, out)
        case "task":
            _on_task_timer(state, *arguments)
        case "gang":
            _gangs.on_backoff_timer(state, *arguments)
        case "gang_start":
            _gangs.on_start_timer(state, *arguments, now, out)
        case "wait":
            _acceptance.on_wait_timer(state, *arguments, now, out)
        case "claim":
            _preemption.on_claim_timer(state, *arguments, now)
        case "unthrottle":
            _preemption.on_unthrottle_timer(state, *arguments, out)
        case "avoid":
            worker = state.workers.get(arguments[0])
            if worker is not None:
                _state.update_availability(state, worker, now)


def _on_task_timer(state: _state.PoolState, job_id: str, index: int) -> None:
    """Requeue a task after its backoff."""
    record = state.jobs.get(job_id)
    if record is None or index not in record.delayed:
        return
    record.delayed.discard(index)
    _backlog.requeue_task(state, record, index)
