"""Start outcomes, worker reports and lease expiry of attempts."""

import math

from chestnuttide import errors
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Maximum number of starts sent for one attempt. After the last one, the
# attempt is given up when its lease expires.
MAX_START_SENDS = 3

# Delays in seconds between these starts.
START_RETRY_BASE_S = 0.2
START_RETRY_LIMIT_S = 2.0

# Seconds for which a worker receives no new work after it refused a start or
# did not answer one.
AVOID_S = 1.0

# Number of consecutive syncs that an unresponsive worker may have received,
# after which it is sent none until the leases of its attempts have expired.
# Each sync that does arrive renews the leases, so further syncs would keep
# its tasks from starting elsewhere.
MAX_UNCERTAIN_SYNCS = 3

# Seconds until leases are checked again while an answer is pending.
LEASE_CHECK_RETRY_S = 0.5

_CONFIRMING = frozenset(
    {
        _messages.StartOutcome.STARTED,
        _messages.StartOutcome.RUNNING,
        _messages.StartOutcome.ENDED,
    }
)


def may_sync(state: _state.PoolState, worker_id: str) -> bool:
    """Return whether a worker may be sent a sync now.

    An unresponsive worker that may have received several syncs is sent no
    more of them until the leases of its attempts have expired.
    """
    worker = state.workers.get(worker_id)
    if worker is None:
        return False
    return (
        worker.uncertain_failures < MAX_UNCERTAIN_SYNCS or not worker.attempts
    )


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
    attempt_record = state.attempts.get(message.attempt)
    if attempt_record is None or attempt_record.worker_id != message.worker_id:
        if outcome is not _messages.StartOutcome.UNSENT:
            out.append(
                _messages.StopTask(
                    worker_id=message.worker_id,
                    attempt=message.attempt,
                    checkpoint=False,
                )
            )
        return
    attempt_record.in_flight = False
    if outcome in _CONFIRMING or (
        outcome is _messages.StartOutcome.UNANSWERED
    ):
        attempt_record.expires_at = max(
            attempt_record.expires_at,
            message.sent_at
            + _late_start_s(outcome)
            + attempt_record.lease_s * _state.LEASE_MARGIN_RATIO,
        )
        worker = state.workers.get(attempt_record.worker_id)
        if worker is not None:
            schedule_lease_check(state, worker)
    if outcome in _CONFIRMING:
        _confirm(attempt_record, now)
        return
    _avoid_worker(state, attempt_record, now)
    if outcome is _messages.StartOutcome.UNANSWERED:
        attempt_record.in_doubt = True
        _retry_start(
            state,
            attempt_record,
            errors.RetryReason.START_UNANSWERED,
            now,
            out,
        )
    elif (
        attempt_record.in_doubt
        and outcome is not _messages.StartOutcome.EXPIRED
    ):
        # An earlier start may still arrive, so this outcome does not show
        # that the attempt will not run.
        _retry_start(
            state, attempt_record, errors.RetryReason.CONNECT_FAILED, now, out
        )
    else:
        if (
            outcome is _messages.StartOutcome.NO_CAPACITY
            and attempt_record.reclaimed
        ):
            state.workers[attempt_record.worker_id].allows_overcommit = False
        _release_unstarted(state, attempt_record, now, out)


def on_start_timer(
    state: _state.PoolState,
    attempt: model.Attempt,
    now: float,
    out: list[object],
) -> None:
    """Resend an unconfirmed start to the same worker."""
    attempt_record = state.attempts.get(attempt)
    if (
        attempt_record is not None
        and attempt_record.phase is _state.Phase.STARTING
        and not attempt_record.in_flight
        and may_send_starts(state)
    ):
        _reservations.send_start(state, attempt_record, out)


def on_stop_timer(
    state: _state.PoolState,
    attempt: model.Attempt,
    now: float,
    out: list[object],
) -> None:
    """Resend a stop command if the attempt has not ended."""
    attempt_record = state.attempts.get(attempt)
    if (
        attempt_record is not None
        and attempt_record.phase is _state.Phase.ENDING
    ):
        _reservations.send_stop(state, attempt_record, now, out)


def may_send_starts(state: _state.PoolState) -> bool:
    """Return whether starts may be sent."""
    return state.ready and not state.stopping and not state.deposed


def depose(state: _state.PoolState, out: list[object]) -> None:
    """Stop sending starts, because the shard has another owner."""
    if not state.deposed:
        state.deposed = True
        out.append(_messages.Deposed())


def on_sync_sent(
    state: _state.PoolState, message: _messages.SyncSent, now: float
) -> None:
    """Record that a sync, which may renew leases, is being sent."""
    worker = state.workers.get(message.worker_id)
    if worker is not None:
        worker.sync_lease_s = message.lease_s
        worker.sync_expires_at = (
            now + message.lease_s * _state.LEASE_MARGIN_RATIO
        )


def on_sync_failed(
    state: _state.PoolState, message: _messages.SyncFailed, now: float
) -> None:
    """Record that a worker did not answer a sync."""
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return
    worker.failures += 1
    if message.received:
        worker.uncertain_failures += 1
        _extend_lease(state, worker, message.sent_at)
    worker.sync_expires_at = -math.inf
    _state.update_availability(state, worker, now)
    schedule_lease_check(state, worker)


def on_sync_report(
    state: _state.PoolState,
    message: _messages.SyncReport,
    now: float,
    out: list[object],
) -> None:
    """Reconcile a worker's report with the state of the pool."""
    worker = state.workers.get(message.worker_id)
    if worker is None or message.sent_at < state.recovered_at:
        return
    _extend_lease(state, worker, message.sent_at)
    worker.sync_expires_at = -math.inf
    worker.failures = 0
    worker.uncertain_failures = 0
    worker.reported = True
    matched = 0
    for report in message.reports:
        matched += _on_report(state, worker, report, now, out)
    if matched < len(worker.attempts):
        _mark_unreported_lost(state, worker, message, now, out)
    state.unreported.discard(message.worker_id)
    _state.update_availability(state, worker, now)
    schedule_lease_check(state, worker)


def _mark_unreported_lost(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    message: _messages.SyncReport,
    now: float,
    out: list[object],
) -> None:
    """Give up the attempts that are missing from a worker's report."""
    seen = {report.attempt for report in message.reports}
    for attempt in list(worker.attempts):
        if attempt in seen:
            continue
        attempt_record = state.attempts[attempt]
        # The attempt is lost in two cases. If it was confirmed before this
        # sync, the worker has lost it, for example in a restart. If the lease
        # of its last start expired before this sync, it no longer runs or
        # never did.
        if attempt_record.confirmed_at < message.sent_at or (
            not attempt_record.in_flight
            and attempt_record.expires_at <= message.sent_at
        ):
            _mark_lost(state, attempt_record, now, out)


def schedule_lease_check(
    state: _state.PoolState, worker: _state.WorkerRecord
) -> None:
    """Schedule a check of a worker's leases if none is scheduled."""
    if worker.lease_check_scheduled or not worker.attempts:
        return
    check_at = min(
        _reservations.expires_at(state.attempts[attempt], worker)
        for attempt in worker.attempts
    )
    if check_at == math.inf:
        check_at = (
            max(worker.expires_at, state.recovered_at) + LEASE_CHECK_RETRY_S
        )
    worker.lease_check_scheduled = True
    _timers.schedule(state, check_at, "lapse", worker.instance.instance_id)


def on_lease_timer(
    state: _state.PoolState,
    worker_id: str,
    now: float,
    out: list[object],
) -> None:
    """Give up the attempts of a worker whose leases have expired."""
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.lease_check_scheduled = False
    earliest = math.inf
    for attempt in list(worker.attempts):
        attempt_record = state.attempts.get(attempt)
        if attempt_record is None:
            continue
        check_at = _reservations.expires_at(attempt_record, worker)
        if check_at <= now:
            _mark_lost(state, attempt_record, now, out)
        else:
            earliest = min(earliest, check_at)
    if worker.attempts:
        if earliest == math.inf:
            earliest = now + LEASE_CHECK_RETRY_S
        worker.lease_check_scheduled = True
        _timers.schedule(state, earliest, "lapse", worker_id)
    remove_if_gone(state, worker)


def remove_if_gone(
    state: _state.PoolState, worker: _state.WorkerRecord
) -> None:
    """Remove a worker that is gone and has no attempts or claims left."""
    worker_id = worker.instance.instance_id
    if (
        worker.instance.state is model.InstanceState.GONE
        and not worker.attempts
        and not worker.claims
        and worker_id not in state.unreported
    ):
        placement.remove_worker(state.cell, worker_id)
        state.workers.pop(worker_id, None)
        state.unavailable_workers.discard(worker_id)
        state.leaving.pop(worker_id, None)


def drop_claim(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    now: float,
) -> None:
    """Release an attempt that waits for evictions, and requeue its task."""
    record = state.jobs[attempt_record.attempt.job_id]
    _reservations.release(state, attempt_record)
    # The attempt number was never sent to a worker, so the next attempt of
    # the task may use it.
    if _state.is_open(record):
        _backlog.requeue_task(state, record, attempt_record.attempt.index)


def _late_start_s(outcome: _messages.StartOutcome) -> float:
    """Return for how long after it was sent a start may take effect."""
    if outcome is _messages.StartOutcome.UNANSWERED:
        return model.START_VALID_S + model.CLOCK_SKEW_S
    return 0.0


def _extend_lease(
    state: _state.PoolState, worker: _state.WorkerRecord, sent_at: float
) -> None:
    """Extend a worker's leases for a sync that it may have received."""
    lease_s = max(worker.sync_lease_s, _reservations.lease_s(state))
    worker.expires_at = max(
        worker.expires_at, sent_at + lease_s * _state.LEASE_MARGIN_RATIO
    )


def _confirm(attempt_record: _state.AttemptRecord, now: float) -> None:
    """Record that a worker has confirmed an attempt."""
    attempt_record.confirmed_at = min(attempt_record.confirmed_at, now)
    attempt_record.in_doubt = False
    if attempt_record.phase is _state.Phase.STARTING:
        attempt_record.phase = _state.Phase.RUNNING


def _avoid_worker(
    state: _state.PoolState, attempt_record: _state.AttemptRecord, now: float
) -> None:
    """Send a worker no new work for a short time."""
    worker = state.workers.get(attempt_record.worker_id)
    if worker is not None:
        worker.avoided_until = now + AVOID_S
        _state.update_availability(state, worker, now)
        _timers.schedule(
            state, now + AVOID_S, "avoid", attempt_record.worker_id
        )


def _retry_start(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    reason: errors.RetryReason,
    now: float,
    out: list[object],
) -> None:
    """Schedule another start, unless the lease must expire first."""
    if (
        attempt_record.phase is not _state.Phase.STARTING
        or attempt_record.starts_sent >= MAX_START_SENDS
    ):
        return
    out.append(_messages.Retried(reason=reason))
    delay_s = queueing.delay_s(
        attempt_record.starts_sent,
        state.rng,
        base_s=START_RETRY_BASE_S,
        limit_s=START_RETRY_LIMIT_S,
    )
    _timers.schedule(state, now + delay_s, "start", attempt_record.attempt)


def _release_unstarted(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt that certainly never started and never will."""
    _end_attempt(
        state,
        attempt_record,
        model.AttemptReport(
            attempt=attempt_record.attempt,
            state=model.TaskState.STOPPED,
            resources=attempt_record.need,
        ),
        now,
        out,
    )


def _mark_lost(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt that has expired or that its worker has lost."""
    _end_attempt(
        state,
        attempt_record,
        model.AttemptReport(
            attempt=attempt_record.attempt,
            state=model.TaskState.LAPSED,
            resources=attempt_record.need,
        ),
        now,
        out,
    )


def _end_attempt(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Release an attempt and decide how its task continues."""
    if attempt_record.orphaned:
        _reservations.release(state, attempt_record)
        return
    record = state.jobs[attempt_record.attempt.job_id]
    stop_requested = attempt_record.phase is _state.Phase.ENDING
    _reservations.release(state, attempt_record)
    _outcomes.on_attempt_ended(
        state,
        record,
        report,
        attempt_record.worker_id,
        now,
        out,
        stop_requested=stop_requested,
    )


def _on_report(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> bool:
    """Handle a worker's report about one attempt.

    Returns
    -------
    bool
        Whether the attempt is live and was already known.
    """
    worker_id = worker.instance.instance_id
    attempt = report.attempt
    live = report.state is model.TaskState.RUNNING
    attempt_record = state.attempts.get(attempt)
    if (
        attempt_record is not None
        and attempt_record.worker_id == worker_id
        and attempt_record.phase is not _state.Phase.CLAIMED
    ):
        if live:
            _confirm(attempt_record, now)
            if report.usage is not model.ZERO:
                placement.record_usage(state.cell, attempt, report.usage, now)
            if attempt_record.phase is _state.Phase.ENDING:
                _reservations.send_stop(state, attempt_record, now, out)
            return True
        if not attempt_record.orphaned:
            _journal_completion(state, worker_id, report, now, out)
            _end_attempt(state, attempt_record, report, now, out)
            return False
        _reservations.release(state, attempt_record)
    if (worker_id, attempt) in state.unacknowledged:
        return False
    record = state.jobs.get(attempt.job_id)
    if live:
        if record is not None and _is_adoptable(record, attempt):
            _backlog.withdraw_task(state, record, attempt.index)
            _reservations.adopt(state, record, worker_id, report, now)
        else:
            _reservations.stop_orphan(state, worker_id, report, now, out)
        return False
    if record is not None and _accepts_late_completion(
        state, record, report, now
    ):
        _journal_completion(state, worker_id, report, now, out)
        record.numbers[attempt.index] = attempt.number
        _backlog.withdraw_task(state, record, attempt.index)
        _outcomes.on_attempt_ended(
            state, record, report, worker_id, now, out, stop_requested=False
        )
        return False
    out.append(_messages.AcknowledgeEnd(worker_id=worker_id, attempt=attempt))
    return False


def _is_open_task(record: _state.JobRecord, attempt: model.Attempt) -> bool:
    """Return whether a report of an unknown attempt can apply to its task."""
    return (
        _state.is_open(record)
        and record.durable
        and 0 <= attempt.index < record.job.tasks
        and not _state.is_done(record, attempt.index)
        and attempt.number >= record.numbers.get(attempt.index, 0)
    )


def _is_adoptable(record: _state.JobRecord, attempt: model.Attempt) -> bool:
    """Return whether a reported live attempt may be adopted.

    A single member of a gang may not be adopted once the states of the gang's
    tasks are known.
    """
    return (
        _is_open_task(record, attempt)
        and attempt.index not in record.live
        and not (_state.is_gang(record) and record.settled)
    )


def _accepts_late_completion(
    state: _state.PoolState,
    record: _state.JobRecord,
    report: model.AttemptReport,
    now: float,
) -> bool:
    """Return whether to accept the completion of an attempt that is not live.

    If the attempt's number is known, the attempt has expired or its
    completion was already counted. Then only a success is accepted, and only
    if no start of a newer attempt was sent.
    """
    attempt = report.attempt
    if not _is_open_task(record, attempt):
        return False
    succeeded = report.state is model.TaskState.SUCCEEDED
    live = record.live.get(attempt.index)
    if live is not None:
        attempt_record = state.attempts[live]
        if attempt_record.phase is not _state.Phase.CLAIMED or not succeeded:
            return False
        drop_claim(state, attempt_record, now)
    known = record.numbers.get(attempt.index, 0)
    if attempt.number > known:
        return True
    return succeeded and not _state.is_service(record)


def _journal_completion(
    state: _state.PoolState,
    worker_id: str,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Journal a completion, to be acknowledged once it is durable."""
    state.unacknowledged[(worker_id, report.attempt)] = None
    _journal.append(
        state,
        _events.task_ended(report, worker_id, now),
        out,
        "acknowledge",
        worker_id,
        report.attempt,
    )
