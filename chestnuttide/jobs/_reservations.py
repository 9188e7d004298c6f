"""Life cycle of attempts and of the capacity that they reserve."""

import math

from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing
from chestnuttide import workspaces

# Seconds after which a stop command is sent again if the worker has not
# reported the completion.
STOP_RETRY_S = 1.0


def lease_s(state: _state.PoolState) -> float:
    """Return the length of task leases in seconds."""
    return state.document.pool.task_lease_s


def next_number(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> int:
    """Return the number of the next attempt of a task."""
    return max(
        record.numbers.get(index, 0) + 1,
        state.generation * _state.ATTEMPT_NUMBER_STRIDE + 1,
    )


def start_attempt(
    state: _state.PoolState,
    record: _state.JobRecord,
    index: int,
    worker_id: str,
    now: float,
    out: list[object],
    *,
    claimed: bool = False,
    reclaimed: bool = False,
) -> _state.AttemptRecord:
    """Reserve capacity for the next attempt of a task and start it.

    A claimed attempt reserves nothing yet and is not started. The task must
    already have been removed from the waiting tasks.
    """
    job = record.job
    attempt = model.Attempt(
        job_id=job.job_id,
        index=index,
        number=next_number(state, record, index),
    )
    attempt_record = _state.AttemptRecord(
        attempt=attempt,
        worker_id=worker_id,
        phase=_state.Phase.CLAIMED if claimed else _state.Phase.STARTING,
        need=job.resources,
        team=job.team,
        long=record.long,
        cost=record.cost,
        started_at=now,
        reclaimed=reclaimed,
    )
    if not claimed:
        reserve(state, record, attempt_record, job.resources)
    _register(state, record, attempt_record)
    queueing.charge(state.queue, job.team, attempt_record.cost)
    if not claimed:
        launch(state, record, attempt_record, now, out)
    return attempt_record


def launch(
    state: _state.PoolState,
    record: _state.JobRecord,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Send the first start of an attempt whose capacity is reserved."""
    job = record.job
    attempt = attempt_record.attempt
    attempt_record.phase = _state.Phase.STARTING
    attempt_record.started_at = now
    if attempt.index not in record.numbers:
        out.append(
            _messages.Placed(
                wait_s=now - record.entered_at,
                workload_class=job.workload_class,
                urgent=job.urgent,
            )
        )
    record.numbers[attempt.index] = attempt.number
    if record.state is model.JobState.QUEUED:
        record.state = model.JobState.RUNNING
        if job.wait_limit_s > 0:
            # Without this event, the next owner would apply the wait limit to
            # a job that has already started and whose worker has failed.
            event = _events.job_started(job.job_id, now)
            _journal.append(state, event, out)
    worker = state.workers[attempt_record.worker_id]
    worker.claims.pop(attempt, None)
    worker.attempts[attempt] = None
    state.claims.pop(attempt, None)
    send_start(state, attempt_record, out)


def reserve(
    state: _state.PoolState,
    record: _state.JobRecord,
    attempt_record: _state.AttemptRecord,
    amount: model.Resources,
) -> None:
    """Reserve resources for an attempt on its worker.

    Raises
    ------
    WorkerUnavailableError, CapacityError
        See `placement.reserve`.
    """
    policy = _state.class_config(state, record.job)
    placement.reserve(
        state.cell,
        worker_id=attempt_record.worker_id,
        attempt=attempt_record.attempt,
        need=amount,
        priority=_state.priority(record),
        preemptible=(
            attempt_record.phase is not _state.Phase.CLAIMED
            and is_preemptible(state, record, attempt_record.attempt.index)
        ),
        checkpoint=policy.checkpoint,
        throttle=policy.throttle,
        urgent=record.job.urgent,
        expected_end=attempt_record.started_at + record.run_s,
        reclaimed=attempt_record.reclaimed,
        started=attempt_record.started_at,
    )


def is_preemptible(
    state: _state.PoolState, record: _state.JobRecord, index: int
) -> bool:
    """Return whether a task may be evicted for more important work.

    Members of a gang, and the first tasks of a service up to its
    `minimum_up`, are not evicted.
    """
    policy = _state.class_config(state, record.job)
    if not policy.preemptible or record.job.urgent or _state.is_gang(record):
        return False
    return not _state.is_service(record) or index >= policy.minimum_up


def adopt(
    state: _state.PoolState,
    record: _state.JobRecord,
    worker_id: str,
    report: model.AttemptReport,
    now: float,
) -> _state.AttemptRecord:
    """Adopt an attempt that a worker reports as running."""
    policy = _state.class_config(state, record.job)
    _backlog.update_estimate(state, record)
    attempt_record = _state.AttemptRecord(
        attempt=report.attempt,
        worker_id=worker_id,
        phase=_state.Phase.RUNNING,
        need=report.resources,
        team=record.job.team,
        long=record.long,
        started_at=now - report.run_s,
        confirmed_at=now,
    )
    placement.adopt(
        state.cell,
        worker_id=worker_id,
        attempt=report.attempt,
        need=report.resources,
        priority=_state.priority(record),
        preemptible=is_preemptible(state, record, report.attempt.index),
        checkpoint=policy.checkpoint,
        throttle=policy.throttle,
        urgent=record.job.urgent,
        expected_end=attempt_record.started_at + record.run_s,
        started=attempt_record.started_at,
    )
    release_assumed(state, record, 1)
    _register(state, record, attempt_record)
    state.workers[worker_id].attempts[report.attempt] = None
    record.numbers[report.attempt.index] = report.attempt.number
    record.state = model.JobState.RUNNING
    return attempt_record


def stop_orphan(
    state: _state.PoolState,
    worker_id: str,
    report: model.AttemptReport,
    now: float,
    out: list[object],
) -> None:
    """Stop an attempt that should not run.

    Its capacity stays reserved until it has ended.
    """
    attempt = report.attempt
    if attempt in state.attempts:
        out.append(
            _messages.StopTask(
                worker_id=worker_id, attempt=attempt, checkpoint=False
            )
        )
        return
    record = state.jobs.get(attempt.job_id)
    attempt_record = _state.AttemptRecord(
        attempt=attempt,
        worker_id=worker_id,
        phase=_state.Phase.ENDING,
        need=report.resources,
        team="" if record is None else record.job.team,
        orphaned=True,
        started_at=now - report.run_s,
        confirmed_at=now,
    )
    if record is not None:
        release_assumed(state, record, 1)
    placement.adopt(
        state.cell,
        worker_id=worker_id,
        attempt=attempt,
        need=attempt_record.need,
        priority=0,
        preemptible=False,
        checkpoint=False,
        throttle=False,
        urgent=False,
        expected_end=now,
        started=attempt_record.started_at,
    )
    workspaces.acquire(state.quota, attempt_record.team, attempt_record.need)
    state.attempts[attempt] = attempt_record
    state.workers[worker_id].attempts[attempt] = None
    state.ending.add(attempt)
    send_stop(state, attempt_record, now, out)


def assume_running(
    state: _state.PoolState, record: _state.JobRecord, count: int
) -> None:
    """Charge a quota for tasks that may be running but are unreported."""
    record.assumed = count
    workspaces.acquire(
        state.quota, record.job.team, _scale(record.job.resources, count)
    )


def release_assumed(
    state: _state.PoolState, record: _state.JobRecord, count: int
) -> None:
    """Release the quota charged for tasks assumed to be running."""
    count = min(count, record.assumed)
    if count:
        record.assumed -= count
        _release_quota(
            state, record.job.team, _scale(record.job.resources, count)
        )


def send_start(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    out: list[object],
) -> None:
    """Send or resend the start of an attempt."""
    attempt_record.starts_sent += 1
    attempt_record.in_flight = True
    attempt_record.lease_s = lease_s(state)
    record = state.jobs[attempt_record.attempt.job_id]
    out.append(
        _messages.StartTask(
            worker_id=attempt_record.worker_id,
            attempt=attempt_record.attempt,
            resources=attempt_record.need,
            payload=record.job.payload,
            lease_s=attempt_record.lease_s,
        )
    )


def stop(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
    *,
    checkpoint: bool,
) -> None:
    """Tell a worker to stop an attempt whose start was sent.

    Its capacity stays reserved until the worker reports its completion or its
    lease has expired.
    """
    if attempt_record.phase is not _state.Phase.ENDING:
        attempt_record.phase = _state.Phase.ENDING
        attempt_record.checkpoint = checkpoint
        state.ending.add(attempt_record.attempt)
    send_stop(state, attempt_record, now, out)


def send_stop(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Send the stop of an ending attempt, unless one was sent recently."""
    if now < attempt_record.stop_sent_at + STOP_RETRY_S:
        return
    attempt_record.stop_sent_at = now
    out.append(
        _messages.StopTask(
            worker_id=attempt_record.worker_id,
            attempt=attempt_record.attempt,
            checkpoint=attempt_record.checkpoint,
        )
    )
    _timers.schedule(state, now + STOP_RETRY_S, "stop", attempt_record.attempt)


def release(
    state: _state.PoolState, attempt_record: _state.AttemptRecord
) -> None:
    """Release the capacity of an attempt that certainly no longer runs."""
    attempt = attempt_record.attempt
    placement.release(state.cell, attempt)
    _release_quota(state, attempt_record.team, attempt_record.need)
    if attempt_record.long:
        state.long_reserved = model.subtract(
            state.long_reserved, attempt_record.need
        )
    del state.attempts[attempt]
    state.ending.discard(attempt)
    state.claims.pop(attempt, None)
    state.freed[attempt_record.worker_id] = None
    worker = state.workers.get(attempt_record.worker_id)
    if worker is not None:
        worker.attempts.pop(attempt, None)
        worker.claims.pop(attempt, None)
    if attempt_record.orphaned:
        return
    record = state.jobs[attempt.job_id]
    del record.live[attempt.index]
    if worker is not None:
        _update_spread(record, worker.instance, -1)
    if _state.is_open(record):
        state.waiting_tasks += 1


def expires_at(
    attempt_record: _state.AttemptRecord, worker: _state.WorkerRecord | None
) -> float:
    """Return when an attempt's leases expire; infinity if unknown."""
    if (
        attempt_record.phase is _state.Phase.CLAIMED
        or attempt_record.in_flight
    ):
        return math.inf
    if worker is None:
        return attempt_record.expires_at
    return max(
        attempt_record.expires_at, worker.expires_at, worker.sync_expires_at
    )


def _register(
    state: _state.PoolState,
    record: _state.JobRecord,
    attempt_record: _state.AttemptRecord,
) -> None:
    """Add an attempt to the indexes and counts."""
    attempt = attempt_record.attempt
    state.attempts[attempt] = attempt_record
    record.live[attempt.index] = attempt
    state.waiting_tasks -= 1
    _update_spread(record, state.workers[attempt_record.worker_id].instance, 1)
    workspaces.acquire(state.quota, record.job.team, attempt_record.need)
    if attempt_record.long:
        state.long_reserved = model.add(
            state.long_reserved, attempt_record.need
        )


def _release_quota(
    state: _state.PoolState, team: str, amount: model.Resources
) -> None:
    """Release part of a team's quota, and unblock the team if possible."""
    workspaces.release(state.quota, team, amount)
    if queueing.unblock_team(state.queue, team):
        state.blocked_lanes.clear()
        state.dirty = True


def _scale(need: model.Resources, count: int) -> model.Resources:
    """Return a need multiplied by a count."""
    return model.Resources(
        cpu_millis=need.cpu_millis * count,
        memory_mb=need.memory_mb * count,
        accelerators=need.accelerators * count,
    )


def _update_spread(
    record: _state.JobRecord, instance: model.Instance, change: int
) -> None:
    """Update the numbers of live attempts by worker, rack and data centre."""
    if record.job.kind is model.JobKind.BATCH and record.job.tasks == 1:
        return
    counts = record.spread
    rack = (instance.data_centre, instance.rack)
    _adjust_count(counts.workers, instance.instance_id, change)
    _adjust_count(counts.racks, rack, change)
    _adjust_count(counts.data_centres, instance.data_centre, change)


def _adjust_count(counts: dict, key: object, change: int) -> None:
    """Change a counter, and remove it if it reaches 0."""
    count = counts.get(key, 0) + change
    if count > 0:
        counts[key] = count
    else:
        counts.pop(key, None)
