"""Snapshots of a pool shard, and recovery from a snapshot and events."""

import collections.abc
import io

import attrs
import cbor2

from chestnuttide.jobs import _events
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import queueing

# Version of the snapshot layout.
LAYOUT = 1

# Jobs per part of a snapshot; encoding a part takes a few milliseconds.
PART_JOBS = 200


@attrs.define(kw_only=True)
class _Replay:
    """Clock of a replay.

    Each owner has its own monotonic clock. The replay joins them to one
    timeline, on which no time passes between two owners, so the ages that it
    yields are lower bounds.

    Attributes
    ----------
    last_at : float
        Latest time read from the current owner's clock.
    offset : float
        Added to that clock to convert it to the timeline.
    """

    last_at: float
    offset: float = 0.0


def encode_snapshot(state: _state.PoolState, now: float) -> bytes:
    """Return the durable state of a pool as a sequence of CBOR values.

    Finished tasks are stored as bitmaps. Attempts are left out, because
    workers report them to the next owner.

    Parameters
    ----------
    state : PoolState
        The pool.
    now : float
        Time in seconds.
    """
    return b"".join(snapshot_parts(state, now))


def snapshot_parts(
    state: _state.PoolState, now: float
) -> collections.abc.Iterator[bytes]:
    """Yield a snapshot in parts that take milliseconds each to encode.

    The pool may change between two parts. The snapshot then contains each job
    as it was at some time after the first part, so all events since the first
    part must be replayed on it. Replaying an event that the snapshot already
    includes is harmless.

    Parameters
    ----------
    state : PoolState
        The pool.
    now : float
        Time in seconds at the first part.
    """
    job_ids = list(state.jobs)
    yield cbor2.dumps(
        [
            LAYOUT,
            now,
            state.generation,
            queueing.dump_estimates(state.estimates),
        ]
    )
    for first in range(0, len(job_ids), PART_JOBS):
        records = []
        for job_id in job_ids[first : first + PART_JOBS]:
            record = state.jobs.get(job_id)
            if record is not None:
                records.append(_encode_record(record, now))
        yield cbor2.dumps(records)


def rebuild(
    state: _state.PoolState,
    snapshot: bytes,
    events: tuple[bytes, ...],
    now: float,
) -> None:
    """Rebuild jobs from a snapshot and the events after it.

    Replaying an event that the snapshot includes has no effect. The tasks of
    open jobs are not yet assigned to their states.
    """
    replay = None
    last_generation = -1
    if snapshot:
        stream = io.BytesIO(snapshot)
        _, at, last_generation, estimates = cbor2.load(stream)
        replay = _Replay(last_at=at)
        while stream.tell() < len(snapshot):
            for fields in cbor2.load(stream):
                record = _decode_record(fields, at)
                state.jobs[record.job.job_id] = record
        state.estimates = queueing.load_estimates(estimates)
    for event in events:
        tag, at, *fields = _events.decode(event)
        if replay is None:
            replay = _Replay(last_at=at)
        if tag == _events.OWNER:
            last_generation = max(last_generation, fields[0])
            replay.offset += replay.last_at - at
        replay.last_at = at
        last_generation = max(last_generation, 0)
        _apply(state, tag, fields, at + replay.offset)
    state.generation = last_generation + 1
    if replay is None:
        return
    clock_shift = now - (replay.last_at + replay.offset)
    ended = []
    for record in state.jobs.values():
        record.entered_at += clock_shift
        if _state.is_open(record):
            record.settled = False
            state.waiting_tasks += record.job.tasks - record.done_count
        else:
            record.ended_at = min(now, record.ended_at + clock_shift)
            ended.append((record.ended_at, record.job.job_id))
    state.ended.extend(sorted(ended))


def _encode_record(record: _state.JobRecord, now: float) -> list[object]:
    """Return the durable fields of a job."""
    is_open = _state.is_open(record)
    return [
        _events.encode_job(record.job),
        record.state.value,
        record.reason,
        now - record.entered_at,
        0.0 if is_open else now - record.ended_at,
        bytes(record.done.rstrip(b"\0")) if is_open else b"",
        record.done_count,
        record.failed_on,
        {
            index: record.numbers[index]
            for index in record.failed_on
            if index in record.numbers
        },
    ]


def _decode_record(fields: list, at: float) -> _state.JobRecord:
    """Return the job that `_encode_record` encoded."""
    job, job_state, reason, age_s, ended_s, done, count, failed_on, numbers = (
        fields
    )
    record = _state.JobRecord(
        job=_events.decode_job(job),
        entered_at=at - age_s,
        reason=reason,
        durable=True,
        done=bytearray(done),
        done_count=count,
        failed_on=failed_on,
        numbers=numbers,
    )
    record.state = model.JobState(job_state)
    if not _state.is_open(record):
        record.ended_at = at - ended_s
    return record


def _apply(state: _state.PoolState, tag: str, fields: list, at: float) -> None:
    """Apply one event to the jobs."""
    if tag == _events.ACCEPTED:
        job = _events.decode_job(fields[0])
        if job.job_id not in state.jobs:
            state.jobs[job.job_id] = _state.JobRecord(
                job=job, entered_at=at, durable=True
            )
        return
    if tag == _events.OWNER:
        return
    record = state.jobs.get(fields[0])
    if record is None or not _state.is_open(record):
        return
    if tag == _events.CANCELLED:
        _end_job(record, model.JobState.CANCELLED, "cancelled", at)
    elif tag == _events.JOB_STARTED:
        record.state = model.JobState.RUNNING
    elif tag == _events.JOB_ENDED:
        _end_job(record, model.JobState(fields[1]), fields[2], at)
    elif tag == _events.TASK_ENDED:
        _apply_task_end(record, fields)


def _end_job(
    record: _state.JobRecord,
    job_state: model.JobState,
    reason: str,
    at: float,
) -> None:
    """Record the end of a job."""
    record.state = job_state
    record.reason = reason
    record.ended_at = at
    record.numbers = {}
    record.failed_on = {}


def _apply_task_end(record: _state.JobRecord, fields: list) -> None:
    """Record the completion of an attempt unless it is already known."""
    _, index, number, result, worker_id = fields
    if _state.is_done(record, index) or (
        number <= record.numbers.get(index, 0)
        and result != model.TaskState.SUCCEEDED
    ):
        return
    record.numbers[index] = max(number, record.numbers.get(index, 0))
    if _state.is_service(record):
        return
    if result == model.TaskState.SUCCEEDED:
        _state.set_done(record, index)
    elif result == model.TaskState.FAILED:
        _outcomes.record_failure(record, index, worker_id)
