"""Submission and cancellation of jobs."""

import math

from chestnuttide import errors
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import workspaces


def submit(
    state: _state.PoolState,
    message: _messages.SubmitJob,
    now: float,
    out: list[object],
) -> None:
    """Refuse a job, or journal it and answer once its event is durable."""
    job = message.job
    try:
        _check_acceptable(state, job)
    except errors.RefusedError as error:
        _refuse(message.token, error, out)
        return
    record = _state.JobRecord(job=job, entered_at=now)
    state.jobs[job.job_id] = record
    state.waiting_tasks += job.tasks
    _journal.append(
        state,
        _events.accepted(job, now),
        out,
        "accept",
        message.token,
        job.job_id,
    )


def on_accepted(
    state: _state.PoolState,
    token: object,
    job_id: str,
    now: float,
    out: list[object],
) -> None:
    """Answer a submission whose event is durable, and queue its tasks."""
    out.append(_messages.JobAccepted(token=token, job_id=job_id))
    queue_durable_job(state, job_id)


def queue_durable_job(state: _state.PoolState, job_id: str) -> None:
    """Queue the tasks of a job whose event is durable."""
    record = state.jobs.get(job_id)
    if record is None:
        return
    record.durable = True
    schedule_wait_limit(state, record)
    _backlog.enqueue(state, record)


def on_stalled(
    state: _state.PoolState, stalled: bool, out: list[object]
) -> None:
    """Answer the pending submissions when the journal stops committing.

    Their events may have reached the store even though its answer is missing.
    The refusals therefore leave open whether the jobs run: a job runs once
    its event is durable.
    """
    state.stalled = stalled
    if not stalled:
        return
    for token, effect in state.effects.items():
        if effect[0] != "accept":
            continue
        _, call, job_id = effect
        state.effects[token] = ("unanswered", job_id)
        _refuse(
            call,
            errors.RefusedError(
                reason=errors.Reason.STORE_UNAVAILABLE,
                message=f"Job {job_id} is not durable yet.",
                remedy="Read the job's state later, before you retry.",
                run_state=errors.RunState.UNKNOWN,
            ),
            out,
        )


def schedule_wait_limit(
    state: _state.PoolState, record: _state.JobRecord
) -> None:
    """Schedule the expiry of a job's wait limit, if it has one."""
    if record.job.wait_limit_s > 0:
        at = record.entered_at + record.job.wait_limit_s
        _timers.schedule(state, at, "wait", record.job.job_id)


def on_wait_timer(
    state: _state.PoolState, job_id: str, now: float, out: list[object]
) -> None:
    """End a job that has not started within its wait limit."""
    record = state.jobs.get(job_id)
    if (
        record is None
        or record.state is not model.JobState.QUEUED
        or not record.settled
    ):
        return
    reason = errors.Reason.DEADLINE_EXCEEDED
    _outcomes.finish_job(
        state, record, model.JobState.FAILED, reason.value, now, out
    )
    out.append(_messages.Refused(reason=reason))


def cancel(
    state: _state.PoolState,
    message: _messages.CancelJob,
    now: float,
    out: list[object],
) -> None:
    """Cancel a job in O(1); its attempts are stopped incrementally."""
    record = state.jobs.get(message.job_id)
    if record is None:
        _refuse(
            message.token,
            errors.RefusedError(
                reason=errors.Reason.UNKNOWN_JOB,
                message=f"Job {message.job_id} is unknown.",
                remedy="Check the id; ended jobs are removed after some time.",
            ),
            out,
        )
        return
    if not _state.is_open(record) and (
        record.state is not model.JobState.CANCELLED
    ):
        out.append(
            _messages.JobCancelled(
                token=message.token,
                job_id=message.job_id,
                state=record.state,
            )
        )
        return
    _outcomes.end_job(
        state,
        record,
        model.JobState.CANCELLED,
        errors.Reason.CANCELLED.value,
        now,
    )
    # A repeated cancellation is journalled again, so that its answer, too,
    # waits until the cancellation is durable.
    _journal.append(
        state,
        _events.cancelled(message.job_id, now),
        out,
        "cancel",
        message.token,
        message.job_id,
    )


def _refuse(
    token: object, error: errors.RefusedError, out: list[object]
) -> None:
    """Refuse a call and count the refusal."""
    out.append(_messages.JobRefused(token=token, error=error))
    out.append(_messages.Refused(reason=error.reason))


def _check_acceptable(state: _state.PoolState, job: model.Job) -> None:
    """Raise an error if a job cannot be accepted."""
    if state.stopping or state.deposed:
        raise errors.RefusedError(
            reason=errors.Reason.NOT_OWNER,
            message="This instance is handing the pool over.",
            remedy="Send the job to the pool's new owner.",
        )
    _check_values(job)
    known = state.jobs.get(job.job_id)
    if known is not None:
        raise errors.RefusedError(
            reason=errors.Reason.DUPLICATE_ID,
            message=f"Job id {job.job_id} is in use.",
            remedy="Read the job's state, or use a new id.",
            details={
                "state": known.state.value,
                "reason": known.reason,
                "same": known.job == job,
            },
        )
    if job.team not in state.document.teams:
        raise errors.RefusedError(
            reason=errors.Reason.UNKNOWN_TEAM,
            message=f"Team {job.team} is not configured.",
            remedy="Add the team to the configuration.",
        )
    _check_size(state, job)
    if state.stalled:
        raise errors.RefusedError(
            reason=errors.Reason.STORE_UNAVAILABLE,
            message="The job cannot be made durable at the moment.",
            remedy="Submit it again later.",
        )
    limit = state.document.pool.queue_limit
    if state.waiting_tasks + job.tasks > limit:
        raise errors.RefusedError(
            reason=errors.Reason.QUEUE_FULL,
            message=f"With this job, more than {limit} tasks would wait.",
            remedy="Submit it again later, or raise pool.queue_limit.",
        )


def _check_values(job: model.Job) -> None:
    """Raise an error if fields of a job are out of range."""
    need = job.resources
    faults = {
        "id": not job.job_id,
        "tasks": job.tasks < 1,
        "resources.cpu_millis": need.cpu_millis < 1,
        "resources.memory_mb": need.memory_mb < 1,
        "resources.accelerators": need.accelerators < 0,
        "declared_run_s": not _is_duration(job.declared_run_s),
        "wait_limit_s": not _is_duration(job.wait_limit_s),
    }
    wrong = [name for name, fault in faults.items() if fault]
    if wrong:
        raise errors.RefusedError(
            reason=errors.Reason.INVALID_VALUE,
            message=f"Values out of range: {', '.join(wrong)}.",
            remedy="Use at least one task, one millicore and one megabyte.",
            details={"fields": wrong},
        )


def _is_duration(value: float) -> bool:
    """Return whether a duration in seconds is finite and not negative."""
    return math.isfinite(value) and value >= 0


def _check_size(state: _state.PoolState, job: model.Job) -> None:
    """Raise an error if a job is too large to ever run."""
    count = job.tasks if job.kind is model.JobKind.GANG else 1
    need = job.resources
    together = model.Resources(
        cpu_millis=need.cpu_millis * count,
        memory_mb=need.memory_mb * count,
        accelerators=need.accelerators * count,
    )
    limits = _state.team_config(state, job.team)
    if not workspaces.could_ever_allow(limits, together):
        raise errors.RefusedError(
            reason=errors.Reason.QUOTA_EXCEEDED,
            message=f"The job exceeds the whole quota of team {job.team}.",
            remedy="Submit smaller tasks, or raise the team's quota.",
        )
    # The capacity of the pool is unknown until the instance list arrives.
    if (
        placement.worker_count(state.cell)
        and placement.gang_capacity(state.cell, need) < count
    ):
        raise errors.RefusedError(
            reason=errors.Reason.FITS_NOWHERE,
            message="The job does not fit the workers of the pool.",
            remedy="Declare smaller tasks, or add larger workers.",
        )
