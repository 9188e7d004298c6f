"""What workers say about attempts: starts, reports, and leases that lapse."""

import math

from chestnuttide import errors
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _holding
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Starts sent to one worker for one attempt before its lease is waited for.
START_TRIES = 3

# Delays in seconds between these starts.
START_RETRY_BASE_S = 0.2
START_RETRY_LIMIT_S = 2.0

# Seconds for which a worker that refused or missed a start gets no new work.
AVOID_S = 1.0

# Syncs in a row that a silent worker may have received, after which it is
# sent none until its attempts have lapsed. Each of them renews the leases if
# it does arrive, so going on would keep its tasks from starting elsewhere.
SYNC_DOUBTS = 3

# Seconds until leases are checked again while an answer is awaited.
LAPSE_RETRY_S = 0.5

_CONFIRMING = frozenset(
    {
        _messages.StartOutcome.STARTED,
        _messages.StartOutcome.RUNNING,
        _messages.StartOutcome.ENDED,
    }
)


def may_sync(state: _state.PoolState, worker_id: str) -> bool:
    """Return whether a worker may be sent a sync now.

    It is False for a worker that did not answer several syncs which it may
    have received, until its attempts have lapsed.
    """
    worker = state.workers.get(worker_id)
    if worker is None:
        return False
    return worker.doubts < SYNC_DOUBTS or not worker.attempts


def on_start_result(
    state: _state.PoolState,
    message: _messages.StartResult,
    now: float,
    out: list[object],
) -> None:
    """Handle the outcome of a start."""
    outcome = message.outcome
    if outcome is _messages.StartOutcome.STALE_EPOCH:
        depose(state, out)
        return
    held = state.attempts.get(message.attempt)
    if held is None or held.worker_id != message.worker_id:
        if outcome is not _messages.StartOutcome.UNSENT:
            out.append(
                _messages.StopTask(
                    worker_id=message.worker_id,
                    attempt=message.attempt,
                    checkpoint=False,
                )
            )
        return
    held.in_flight = False
    if outcome in _CONFIRMING or (
        outcome is _messages.StartOutcome.UNANSWERED
    ):
        held.expires_at = max(
            held.expires_at,
            message.sent_at
            + _start_doubt_s(outcome)
            + held.lease_s * _state.LEASE_MARGIN,
        )
        worker = state.workers.get(held.worker_id)
        if worker is not None:
            watch_leases(state, worker)
    if outcome in _CONFIRMING:
        _confirm(held, now)
        return
    _avoid(state, held, now)
    if outcome is _messages.StartOutcome.UNANSWERED:
        held.in_doubt = True
        _retry_start(
            state, held, errors.RetryReason.START_UNANSWERED, now, out
        )
    elif held.in_doubt and outcome is not _messages.StartOutcome.EXPIRED:
        # An earlier start may still arrive, so this answer proves nothing.
        _retry_start(state, held, errors.RetryReason.CONNECT_FAILED, now, out)
    else:
        if outcome is _messages.StartOutcome.NO_CAPACITY and held.reclaimed:
            state.workers[held.worker_id].allows_overcommit = False
        _not_started(state, held, now, out)


def on_start_timer(
    state: _state.PoolState,
    attempt: model.Attempt,
    now: float,
    out: list[object],
) -> None:
    """Send a start that was not answered again, to the same worker."""
    held = state.attempts.get(attempt)
    if (
        held is not None
        and held.phase is _state.Phase.STARTING
        and not held.in_flight
        and may_send(state)
    ):
        _holding.send_start(state, held, out)


def on_stop_timer(
    state: _state.PoolState,
    attempt: model.Attempt,
    now: float,
    out: list[object],
) -> None:
    """Send a stop again whose end was not reported."""
    held = state.attempts.get(attempt)
    if held is not None and held.phase is _state.Phase.ENDING:
        _holding.send_stop(state, held, now, out)


def may_send(state: _state.PoolState) -> bool:
    """Return whether starts may be sent."""
    return state.ready and not state.stopping and not state.deposed


def depose(state: _state.PoolState, out: list[object]) -> None:
    """Start nothing any more, because the shard has another owner."""
    if not state.deposed:
        state.deposed = True
        out.append(_messages.Deposed())


def on_sync_sent(
    state: _state.PoolState, message: _messages.SyncSent, now: float
) -> None:
    """Note that a sync is on its way, which may renew leases."""
    worker = state.workers.get(message.worker_id)
    if worker is not None:
        worker.sync_lease_s = message.lease_s
        worker.sync_expires_at = now + message.lease_s * _state.LEASE_MARGIN


def on_sync_failed(
    state: _state.PoolState, message: _messages.SyncFailed, now: float
) -> None:
    """Note that a worker did not answer."""
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return
    worker.failures += 1
    if message.received:
        worker.doubts += 1
        _renew(state, worker, message.sent_at)
    worker.sync_expires_at = -math.inf
    _state.update_shut(state, worker, now)
    watch_leases(state, worker)


def on_sync_report(
    state: _state.PoolState,
    message: _messages.SyncReport,
    now: float,
    out: list[object],
) -> None:
    """Compare what a worker reports with what is known."""
    worker = state.workers.get(message.worker_id)
    if worker is None or message.sent_at < state.recovered_at:
        return
    _renew(state, worker, message.sent_at)
    worker.sync_expires_at = -math.inf
    worker.failures = 0
    worker.doubts = 0
    worker.reported = True
    matched = 0
    for report in message.reports:
        matched += _on_report(state, worker, report, now, out)
    if matched < len(worker.attempts):
        _lose_unreported(state, worker, message, now, out)
    state.unreported.discard(message.worker_id)
    _state.update_shut(state, worker, now)
    watch_leases(state, worker)


def _lose_unreported(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    message: _messages.SyncReport,
    now: float,
    out: list[object],
) -> None:
    """Give up the attempts that a worker should report and does not."""
    seen = {report.attempt for report in message.reports}
    for attempt in list(worker.attempts):
        if attempt in seen:
            continue
        held = state.attempts[attempt]
        # Either it was confirmed before this sync, so the worker has lost it,
        # for example in a restart. Or the lease of its last start had
        # expired before this sync, so it does not run if it ever did.
        if held.confirmed_at < message.sent_at or (
            not held.in_flight and held.expires_at <= message.sent_at
        ):
            _lose(state, held, now, out)


def watch_leases(state: _state.PoolState, worker: _state.WorkerRecord) -> None:
    """Schedule the check of a worker's leases, unless one is scheduled."""
    if worker.lapse_timer or not worker.attempts:
        return
    at = min(
        _holding.expires_at(state.attempts[attempt], worker)
        for attempt in worker.attempts
    )
    if at == math.inf:
        at = max(worker.expires_at, state.recovered_at) + LAPSE_RETRY_S
    worker.lapse_timer = True
    _timers.schedule(state, at, "lapse", worker.instance.instance_id)


def on_lapse_timer(
    state: _state.PoolState,
    worker_id: str,
    now: float,
    out: list[object],
) -> None:
    """Give up the attempts of a worker whose leases have expired."""
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.lapse_timer = False
    earliest = math.inf
    for attempt in list(worker.attempts):
        held = state.attempts.get(attempt)
        if held is None:
            continue
        at = _holding.expires_at(held, worker)
        if at <= now:
            _lose(state, held, now, out)
        else:
            earliest = min(earliest, at)
    if worker.attempts:
        if earliest == math.inf:
            earliest = now + LAPSE_RETRY_S
        worker.lapse_timer = True
        _timers.schedule(state, earliest, "lapse", worker_id)
    remove_if_gone(state, worker)


def remove_if_gone(
    state: _state.PoolState, worker: _state.WorkerRecord
) -> None:
    """Forget a worker that is gone and holds nothing any more."""
    worker_id = worker.instance.instance_id
    if (
        worker.instance.state is model.InstanceState.GONE
        and not worker.attempts
        and not worker.claims
        and worker_id not in state.unreported
    ):
        placement.remove_worker(state.cell, worker_id)
        state.workers.pop(worker_id, None)
        state.shut.discard(worker_id)
        state.leaving.pop(worker_id, None)


def drop_claim(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    now: float,
) -> None:
    """Give up an attempt that waits for evictions; its task waits again."""
    record = state.jobs[held.attempt.job_id]
    _holding.release(state, held)
    # The number was never sent to a worker, but it is not used again.
    if _state.is_open(record):
        _backlog.wait_again(state, record, held.attempt.index)


def _start_doubt_s(outcome: _messages.StartOutcome) -> float:
    """Return how long after its sending a start may still take effect."""
    if outcome is _messages.StartOutcome.UNANSWERED:
        return model.START_VALID_S + model.CLOCK_SKEW_S
    return 0.0


def _renew(
    state: _state.PoolState, worker: _state.WorkerRecord, sent_at: float
) -> None:
    """Note that a worker may have received a sync that was sent then."""
    lease_s = max(worker.sync_lease_s, _holding.lease_s(state))
    worker.expires_at = max(
        worker.expires_at, sent_at + lease_s * _state.LEASE_MARGIN
    )


def _confirm(held: _state.AttemptRecord, now: float) -> None:
    """Note that a worker knows an attempt."""
    held.confirmed_at = min(held.confirmed_at, now)
    held.in_doubt = False
    if held.phase is _state.Phase.STARTING:
        held.phase = _state.Phase.RUNNING


def _avoid(
    state: _state.PoolState, held: _state.AttemptRecord, now: float
) -> None:
    """Keep new work off a worker for a while."""
    worker = state.workers.get(held.worker_id)
    if worker is not None:
        worker.avoided_until = now + AVOID_S
        _state.update_shut(state, worker, now)
        _timers.schedule(state, now + AVOID_S, "avoid", held.worker_id)


def _retry_start(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    reason: errors.RetryReason,
    now: float,
    out: list[object],
) -> None:
    """Schedule another start, or wait until the lease has expired."""
    if held.phase is not _state.Phase.STARTING or held.tries >= START_TRIES:
        return
    out.append(_messages.Retried(reason=reason))
    delay_s = queueing.delay_s(
        held.tries,
        state.rng,
        base_s=START_RETRY_BASE_S,
        limit_s=START_RETRY_LIMIT_S,
    )
    _timers.schedule(state, now + delay_s, "start", held.attempt)


def _not_started(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt that certainly did not and will not run."""
    _end(
        state,
        held,
        model.AttemptReport(
            attempt=held.attempt,
            state=model.TaskState.STOPPED,
            resources=held.need,
        ),
        now,
        out,
    )


def _lose(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt that has lapsed or is lost by its worker."""
    _end(
        state,
        held,
        model.AttemptReport(
            attempt=held.attempt,
            state=model.TaskState.LAPSED,
            resources=held.need,
        ),
        now,
        out,
    )


def _end(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt and let its task go on."""
    if held.stray:
        _holding.release(state, held)
        return
    record = state.jobs[held.attempt.job_id]
    asked = held.phase is _state.Phase.ENDING
    _holding.release(state, held)
    _outcomes.attempt_over(
        state, record, report, held.worker_id, now, out, asked=asked
    )


def _on_report(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> bool:
    """Handle what a worker reports about one attempt.

    Returns
    -------
    bool
        Whether it is a live attempt that was known.
    """
    worker_id = worker.instance.instance_id
    attempt = report.attempt
    live = report.state is model.TaskState.RUNNING
    held = state.attempts.get(attempt)
    if (
        held is not None
        and held.worker_id == worker_id
        and held.phase is not _state.Phase.CLAIMED
    ):
        if live:
            _confirm(held, now)
            if report.usage is not model.ZERO:
                placement.record_usage(state.cell, attempt, report.usage, now)
            if held.phase is _state.Phase.ENDING:
                _holding.send_stop(state, held, now, out)
            return True
        if not held.stray:
            _journal_end(state, worker_id, report, now, out)
            _end(state, held, report, now, out)
            return False
        _holding.release(state, held)
    if (worker_id, attempt) in state.unacknowledged:
        return False
    record = state.jobs.get(attempt.job_id)
    if live:
        if record is not None and _is_adoptable(record, attempt):
            _backlog.withdraw_task(state, record, attempt.index)
            _holding.adopt(state, record, worker_id, report, now)
        else:
            _holding.hold_stray(state, worker_id, report, now, out)
        return False
    if record is not None and _counts_late(state, record, report, now):
        _journal_end(state, worker_id, report, now, out)
        record.numbers[attempt.index] = attempt.number
        _backlog.withdraw_task(state, record, attempt.index)
        _outcomes.attempt_over(
            state, record, report, worker_id, now, out, asked=False
        )
        return False
    out.append(_messages.AcknowledgeEnd(worker_id=worker_id, attempt=attempt))
    return False


def _is_open_task(record: _state.JobRecord, attempt: model.Attempt) -> bool:
    """Return whether a task may take in an attempt that was not known."""
    return (
        _state.is_open(record)
        and record.durable
        and 0 <= attempt.index < record.job.tasks
        and not _state.is_done(record, attempt.index)
        and attempt.number >= record.numbers.get(attempt.index, 0)
    )


def _is_adoptable(record: _state.JobRecord, attempt: model.Attempt) -> bool:
    """Return whether a reported live attempt is taken over.

    A lone member of a gang is not, once the gang's members are known.
    """
    return (
        _is_open_task(record, attempt)
        and attempt.index not in record.live
        and not (_state.is_gang(record) and record.settled)
    )


def _counts_late(
    state: _state.PoolState,
    record: _state.JobRecord,
    report: model.AttemptReport,
    now: float,
) -> bool:
    """Return whether the end of an attempt that is not live counts.

    An attempt whose number is known has lapsed, or its end was counted
    before; then only a late success counts, and only while no newer attempt
    was sent.
    """
    attempt = report.attempt
    if not _is_open_task(record, attempt):
        return False
    succeeded = report.state is model.TaskState.SUCCEEDED
    live = record.live.get(attempt.index)
    if live is not None:
        held = state.attempts[live]
        if held.phase is not _state.Phase.CLAIMED or not succeeded:
            return False
        drop_claim(state, held, now)
    known = record.numbers.get(attempt.index, 0)
    if attempt.number > known:
        return True
    return succeeded and not _state.is_service(record)


def _journal_end(
    state: _state.PoolState,
    worker_id: str,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Journal an end; it is acknowledged to the worker once durable."""
    state.unacknowledged[(worker_id, report.attempt)] = None
    _journal.append(
        state,
        _events.task_ended(report, worker_id, now),
        out,
        "acknowledge",
        worker_id,
        report.attempt,
    )
