"""Handling of the ends of attempts and jobs."""

from chestnuttide import errors
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Backoff before a failed task, an ended task of a service, or an aborted gang
# is restarted.
BACKOFF_BASE_S = 0.5
BACKOFF_LIMIT_S = 30.0

# Run time in seconds after which a service's task counts as stable, so that
# its earlier failures no longer lengthen the backoff.
STABLE_RUN_S = 60.0

# Total number of failures of a task after which its job fails, as a multiple
# of the allowed attempts. It applies even if the failures happened on fewer
# different workers, because a small pool may have no other worker.
TOTAL_FAILURES_FACTOR = 2

# Ended jobs can be read for this many seconds, up to this number of jobs.
ENDED_RETENTION_S = 900.0
ENDED_RETENTION_COUNT = 20_000

# Attempts of ended jobs that are told to stop per call.
STOPS_PER_CALL = 256

TASK_FAILED = errors.RetryReason.TASK_FAILED.value


def end_job(
    state: _state.PoolState,
    record: _state.JobRecord,
    job_state: model.JobState,
    reason: str,
    now: float,
) -> None:
    """End a job in memory; its attempts are stopped by `stop_closing`."""
    if not _state.is_open(record):
        return
    job_id = record.job.job_id
    state.waiting_tasks -= (
        record.job.tasks - record.done_count - len(record.live)
    )
    record.state = job_state
    record.reason = reason
    record.ended_at = now
    record.waiting = {}
    record.delayed = set()
    record.numbers = {}
    record.failed_on = {}
    queueing.cancel(state.queue, job_id)
    if placement.reserved_gang_key(state.cell) == job_id:
        placement.release_gang_reservation(state.cell)
        _state.mark_capacity_changed(state)
    if record.live:
        state.closing.append(job_id)
    state.ended.append((now, job_id))


def finish_job(
    state: _state.PoolState,
    record: _state.JobRecord,
    job_state: model.JobState,
    reason: str,
    now: float,
    out: list[object],
) -> None:
    """End a job and journal its end."""
    end_job(state, record, job_state, reason, now)
    event = _events.job_ended(record.job.job_id, job_state, reason, now)
    _journal.append(state, event, out)


def stop_closing(
    state: _state.PoolState, now: float, out: list[object]
) -> None:
    """Stop a bounded number of attempts of ended jobs."""
    budget = STOPS_PER_CALL
    while state.closing and budget > 0:
        record = state.jobs.get(state.closing[0])
        attempts = [] if record is None else list(record.live.values())
        for attempt in attempts:
            attempt_record = state.attempts[attempt]
            if attempt_record.phase is _state.Phase.CLAIMED:
                _reservations.release(state, attempt_record)
            elif attempt_record.phase is not _state.Phase.ENDING:
                _reservations.stop(
                    state, attempt_record, now, out, checkpoint=False
                )
            else:
                continue
            budget -= 1
            if budget == 0:
                return
        state.closing.popleft()


def remove_ended(state: _state.PoolState, now: float) -> None:
    """Remove ended jobs that are too old or too many."""
    for _ in range(min(len(state.ended), STOPS_PER_CALL)):
        ended_at, job_id = state.ended[0]
        if (
            ended_at + ENDED_RETENTION_S > now
            and len(state.ended) <= ENDED_RETENTION_COUNT
        ):
            return
        state.ended.popleft()
        record = state.jobs[job_id]
        if record.live:
            # The capacity of its attempts is still reserved.
            state.ended.append((now, job_id))
        else:
            del state.jobs[job_id]


def on_attempt_ended(
    state: _state.PoolState,
    record: _state.JobRecord,
    report: model.AttemptReport,
    worker_id: str,
    now: float,
    out: list[object],
    *,
    stop_requested: bool,
) -> None:
    """Decide how a task continues after its attempt ended or expired.

    Parameters
    ----------
    state : PoolState
        The pool.
    record : JobRecord
        The job of the task. The attempt must already be released, and the
        task must neither wait nor be in backoff.
    report : AttemptReport
        Outcome of the attempt.
    worker_id : str
        Worker that ran the attempt.
    now : float
        Time in seconds.
    out : list
        Output messages of this call.
    stop_requested : bool
        Whether the attempt had been told to stop.
    """
    if not _state.is_open(record):
        return
    index = report.attempt.index
    succeeded = report.state is model.TaskState.SUCCEEDED
    failed = report.state is model.TaskState.FAILED and not stop_requested
    if succeeded or failed:
        ejected = placement.is_ejected(state.cell, worker_id)
        placement.record_outcome(
            state.cell,
            worker_id=worker_id,
            task=(record.job.job_id, index),
            succeeded=succeeded,
            now=now,
        )
        if ejected != placement.is_ejected(state.cell, worker_id):
            _state.mark_capacity_changed(state)
    if _state.is_service(record):
        _restart_service_task(
            state,
            record,
            report,
            worker_id,
            now,
            out,
            stop_requested=stop_requested,
        )
        return
    if succeeded:
        _record_success(state, record, report, now, out)
        return
    if failed:
        if _fails_job(state, record, index, worker_id):
            finish_job(
                state, record, model.JobState.FAILED, TASK_FAILED, now, out
            )
            return
        out.append(_messages.Retried(reason=errors.RetryReason.TASK_FAILED))
    else:
        out.append(
            _messages.Retried(reason=_retry_reason(report, stop_requested))
        )
    if _state.is_gang(record):
        record.waiting[index] = None
        if record.settled:
            abort_gang(state, record, now, out)
    elif failed:
        failures = sum(record.failed_on[index].values())
        delay_task(state, record, index, failures, now)
    else:
        _backlog.requeue_task(state, record, index)


def delay_task(
    state: _state.PoolState,
    record: _state.JobRecord,
    index: int,
    failures: int,
    now: float,
) -> None:
    """Requeue a task after a backoff."""
    record.delayed.add(index)
    delay_s = queueing.delay_s(
        failures, state.rng, base_s=BACKOFF_BASE_S, limit_s=BACKOFF_LIMIT_S
    )
    _timers.schedule(state, now + delay_s, "task", record.job.job_id, index)


def abort_gang(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
) -> None:
    """Stop a gang that cannot continue as a whole, to be requeued later.

    Tasks that succeeded stay done; the others are restarted together.
    """
    record.aborting = True
    for attempt in list(record.live.values()):
        attempt_record = state.attempts[attempt]
        if attempt_record.phase is not _state.Phase.ENDING:
            _reservations.stop(
                state, attempt_record, now, out, checkpoint=False
            )
    requeue_gang(state, record, now)


def requeue_gang(
    state: _state.PoolState, record: _state.JobRecord, now: float
) -> None:
    """Requeue an aborted gang after a backoff, once no attempt is live."""
    if (
        not record.aborting
        or record.live
        or not record.settled
        or not _state.is_open(record)
    ):
        return
    record.aborting = False
    record.restarts += 1
    record.delayed = set(record.waiting)
    record.delayed.update(range(record.first_unstarted, record.job.tasks))
    record.first_unstarted = record.job.tasks
    record.waiting = {}
    delay_s = queueing.delay_s(
        record.restarts,
        state.rng,
        base_s=BACKOFF_BASE_S,
        limit_s=BACKOFF_LIMIT_S,
    )
    _timers.schedule(state, now + delay_s, "gang", record.job.job_id)


def _record_success(
    state: _state.PoolState,
    record: _state.JobRecord,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Record the success of a task, and end its job after the last one."""
    if not _state.is_done(record, report.attempt.index):
        _state.set_done(record, report.attempt.index)
        state.waiting_tasks -= 1
    job = record.job
    if report.run_s > 0:
        queueing.record_run_time(
            state.estimates,
            job.workload_class,
            report.run_s,
            job.declared_run_s,
        )
    if record.done_count == job.tasks:
        finish_job(state, record, model.JobState.SUCCEEDED, "", now, out)
    elif _state.is_gang(record):
        requeue_gang(state, record, now)


def _restart_service_task(
    state: _state.PoolState,
    record: _state.JobRecord,
    report: model.AttemptReport,
    worker_id: str,
    now: float,
    out: list[object],
    *,
    stop_requested: bool,
) -> None:
    """Restart a service's task, with a backoff if it ended by itself."""
    index = report.attempt.index
    ended_itself = not stop_requested and report.state in (
        model.TaskState.SUCCEEDED,
        model.TaskState.FAILED,
    )
    if not ended_itself:
        out.append(
            _messages.Retried(reason=_retry_reason(report, stop_requested))
        )
        _backlog.requeue_task(state, record, index)
        return
    out.append(_messages.Retried(reason=errors.RetryReason.TASK_FAILED))
    if report.run_s >= STABLE_RUN_S:
        record.failed_on.pop(index, None)
    record_failure(record, index, worker_id)
    failures = sum(record.failed_on[index].values())
    delay_task(state, record, index, failures, now)


def _retry_reason(
    report: model.AttemptReport, stop_requested: bool
) -> errors.RetryReason:
    """Return why a task that did not fail is restarted."""
    if stop_requested and report.state is not model.TaskState.LAPSED:
        return errors.RetryReason.PREEMPTED
    return errors.RetryReason.WORKER_LOST


def _fails_job(
    state: _state.PoolState,
    record: _state.JobRecord,
    index: int,
    worker_id: str,
) -> bool:
    """Record a failure of a task, and return whether it fails the job."""
    record_failure(record, index, worker_id)
    failures = record.failed_on[index]
    limit = _state.class_config(state, record.job).max_attempts
    return (
        len(failures) >= limit
        or sum(failures.values()) >= limit * TOTAL_FAILURES_FACTOR
    )


def record_failure(
    record: _state.JobRecord, index: int, worker_id: str
) -> None:
    """Record a failure of a task on a worker."""
    failures = record.failed_on.setdefault(index, {})
    failures[worker_id] = failures.get(worker_id, 0) + 1
