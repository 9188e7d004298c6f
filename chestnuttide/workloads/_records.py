"""Stored records of jobs, and restoring a pool from them."""

import attrs
import cattrs
import cbor2

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _units
from chestnuttide.workloads import _worker_index

# Records with a summary of what is done have the later version. Others stay as
# former releases read them.
_RECORD_VERSION = 1
_SUMMARY_VERSION = 2

_RECORD_REMEDY = "Remove it, or run the release that wrote it."

_CONVERTER = cattrs.Converter(detailed_validation=False)


def encode_progress(job: _state.Job) -> bytes:
    """Encode the progress record of a job that has not ended."""
    rows = [
        [
            *unit.key,
            str(unit.state),
            unit.last_run,
            sorted(unit.failed_runs),
            unit.checkpoint,
            [[run.index, run.number, run.worker_key] for run in unit.runs],
            *_encode_rare_columns(unit),
        ]
        for unit in job.units.values()
        if unit.last_run
    ]
    summary = _encode_summary(job)
    if summary is None:
        return cbor2.dumps([_RECORD_VERSION, job.started, rows])
    return cbor2.dumps([_SUMMARY_VERSION, job.started, rows, summary])


def _encode_summary(job: _state.Job) -> list[object] | None:
    """Return what a record holds of units that are done and were dropped.

    Returns
    -------
    list or None
        The number of released occurrences, those of them that are open, and
        the dropped units of these as rows of occurrence, step and bit mask.
        None if no unit was dropped.
    """
    finished = [
        [*key, _encode_mask(progress.finished)]
        for key, progress in job.steps.items()
        if progress.finished
    ]
    if not finished and len(job.open_occurrences) == job.occurrences_due:
        return None
    return [job.occurrences_due, list(job.open_occurrences), finished]


def _encode_mask(mask: int) -> bytes:
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def estimate_progress_bytes(job: _state.Job) -> int:
    """Return roughly the size of a job's progress record, seldom too low."""
    summary = sum(
        25 + progress.finished.bit_length() // 8
        for progress in job.steps.values()
        if progress.finished
    )
    if summary or len(job.open_occurrences) < job.occurrences_due:
        summary += 10 + 9 * len(job.open_occurrences)
    return (
        20
        + summary
        + sum(
            40
            + len(unit.checkpoint)
            + 5 * len(unit.failed_runs)
            + sum(10 + len(run.worker_key) for run in unit.runs)
            + 6 * sum(run.lease_known for run in unit.runs)
            + sum(20 + len(each.worker_key) for each in unit.crashes.values())
            for unit in job.units.values()
            if unit.last_run
        )
    )


def _encode_rare_columns(unit: _state.Unit) -> list[list[list[object]]]:
    """Return the last columns of a unit's row, which few units have."""
    crashes = [
        [
            number,
            crash.worker_key,
            crash.index,
            crash.suspects,
            crash.started,
        ]
        for number, crash in unit.crashes.items()
    ]
    known_leases = [
        [run.index, run.number] for run in unit.runs if run.lease_known
    ]
    if known_leases:
        return [crashes, known_leases]
    return [crashes] if crashes else []


@attrs.frozen(kw_only=True, slots=True)
class _UnitRecord:
    """Stored progress of a unit.

    Attributes
    ----------
    key : (int, int, int)
        Occurrence, step and index.
    state : UnitState
        Progress of the unit.
    last_run : int
        Highest run number used so far.
    failed_runs : list of int
        Numbers of the failed runs.
    checkpoint : str
        Checkpoint to resume from; empty if there is none.
    runs : list of (int, int, str)
        Index, number and worker incarnation of each run.
    crashes : list of (int, str, int, int, bool)
        Run number, worker incarnation, index, suspects and whether the run
        had started, for each crash.
    known_leases : list of (int, int)
        Index and number of each run whose lease is known.
    """

    key: tuple[int, int, int]
    state: _state.UnitState
    last_run: int
    failed_runs: list[int]
    checkpoint: str
    runs: list[tuple[int, int, str]]
    crashes: list[tuple[int, str, int, int, bool]]
    known_leases: list[tuple[int, int]]


@attrs.frozen(kw_only=True, slots=True)
class _ProgressRecord:
    """Stored progress of a job.

    Attributes
    ----------
    started : bool
        Whether any task has started.
    units : list of _UnitRecord
        Units that have started.
    released : int
        Number of occurrences that were released.
    open_occurrences : list of int
        Those that are not done, and perhaps some that are.
    finished : dict of (int, int) to int
        Bit masks of the units that are done and have no `_UnitRecord`, by
        occurrence and step.
    """

    started: bool
    units: list[_UnitRecord]
    released: int
    open_occurrences: list[int]
    finished: dict[tuple[int, int], int]


def _decode_progress(spec: _specs.JobSpec, record: bytes) -> _ProgressRecord:
    """Return the stored progress of a job.

    Raises
    ------
    errors.ProtocolError
        If the record cannot be read or does not fit the job.
    """
    with errors.decoding(
        f"The progress record of job {spec.id}", _RECORD_REMEDY
    ):
        _, started, rows, *summary = cbor2.loads(record)
        units = [_decode_unit(spec, row) for row in rows]
        # Former releases kept each unit that had started.
        released = max((unit.key[0] + 1 for unit in units), default=0)
        open_occurrences = list(range(released))
        finished: dict[tuple[int, int], int] = {}
        if summary:
            released, open_occurrences, finished = _decode_summary(
                spec, summary[0]
            )
        known = set(open_occurrences)
        for unit in units:
            occurrence, step, index = unit.key
            if occurrence not in known:
                raise ValueError(f"occurrence {occurrence} is not open")
            if finished.get((occurrence, step), 0) >> index & 1:
                raise ValueError(f"unit {unit.key} is finished")
    return _ProgressRecord(
        started=bool(started),
        units=units,
        released=released,
        open_occurrences=open_occurrences,
        finished=finished,
    )


def _decode_summary(
    spec: _specs.JobSpec, summary: list[object]
) -> tuple[int, list[int], dict[tuple[int, int], int]]:
    released, open_occurrences, rows = _CONVERTER.structure(
        summary, tuple[int, list[int], list[tuple[int, int, bytes]]]
    )
    if not 0 <= released <= max(1, spec.occurrences):
        raise ValueError(f"{released} occurrences cannot be released")
    for occurrence in open_occurrences:
        if not 0 <= occurrence < released:
            raise ValueError(f"occurrence {occurrence} is not released")
    finished = {}
    for occurrence, step, mask in rows:
        if occurrence not in open_occurrences:
            raise ValueError(f"occurrence {occurrence} is not open")
        finished[(occurrence, step)] = value = int.from_bytes(mask, "little")
        if value.bit_length() > _count_units(spec, step):
            raise ValueError(f"step {step} has fewer units")
    return released, open_occurrences, finished


def _count_units(spec: _specs.JobSpec, step: int) -> int:
    if not 0 <= step < len(spec.steps):
        raise ValueError(f"there is no step {step}")
    return 1 if spec.steps[step].gang else spec.steps[step].count


def _decode_unit(spec: _specs.JobSpec, row: list[object]) -> _UnitRecord:
    occurrence, step, index, state, last_run, failed, saved, runs = row[:8]
    unit = _CONVERTER.structure(
        {
            "key": (occurrence, step, index),
            "state": state,
            "last_run": last_run,
            "failed_runs": failed,
            "checkpoint": saved,
            "runs": runs,
            # Few units have these columns.
            "crashes": row[8] if len(row) > 8 else [],
            "known_leases": row[9] if len(row) > 9 else [],
        },
        _UnitRecord,
    )
    occurrence, step, index = unit.key
    if not 0 <= occurrence < max(1, spec.occurrences):
        raise ValueError(f"there is no occurrence {occurrence}")
    if not 0 <= index < _count_units(spec, step):
        raise ValueError(f"there is no unit {index} in step {step}")
    for _, _, key in unit.runs:
        _split_worker_key(key)
    return unit


def _split_worker_key(key: str) -> tuple[str, int]:
    """Return the id of a worker and the start time of its incarnation."""
    worker_id, _, born_ms = key.rpartition("@")
    return worker_id, int(born_ms)


def apply_progress(
    pool: _state.Pool,
    job: _state.Job,
    record: bytes,
    *,
    lease_until: float,
    unlocated_lease_until: float = 0.0,
    now: float,
    now_unix_s: float,
) -> None:
    """Restore a job's units and runs from its record.

    Each restored run is uncertain and allocates capacity of its worker until
    a poll reply shows whether it runs. A worker that is not listed gets a
    placeholder. If its worker stays silent, a run whose lease the former owner
    knew has ended by `lease_until`. The start of any other may have had no
    answer, and counts as unanswered: the former owner may have ended before it
    could record that.

    Raises
    ------
    errors.ProtocolError
        If the record cannot be read; the job is unchanged.
    """
    progress = _decode_progress(job.spec, record)
    job.started = progress.started
    if job.started:
        job.state = job.shown_state = _state.JobState.RUNNING
    _units.restore_occurrences(
        job,
        released=progress.released,
        open_occurrences=progress.open_occurrences,
        finished=progress.finished,
    )
    for stored in progress.units:
        unit = _units.ensure_unit(job, stored.key)
        _state.set_unit_state(job, unit, stored.state)
        unit.last_run = stored.last_run
        unit.failed_runs = set(stored.failed_runs)
        unit.failures = len(stored.failed_runs)
        unit.checkpoint = stored.checkpoint
        unit.crashes = {
            number: _state.Crash(
                worker_key=worker_key,
                index=index,
                suspects=suspects,
                started=crash_started,
            )
            for number, worker_key, index, suspects, crash_started in (
                stored.crashes
            )
        }
        _crashes.index_unit(pool, job, unit)
        for member, number, key in stored.runs:
            worker = pool.workers.get(key)
            if worker is None:
                worker = _make_placeholder(key, lease_until)
                _worker_index.add_worker(pool, worker)
            worker.unlocated_lease_until = max(
                worker.unlocated_lease_until, unlocated_lease_until
            )
            lease_known = (member, number) in stored.known_leases
            step = job.spec.steps[unit.key[1]]
            run = _state.Run(
                job=job,
                unit=unit,
                index=member,
                number=number,
                worker_key=key,
                need=_state.allocated_need(step),
                phase=_state.Phase.UNCERTAIN,
                checkpoint=unit.checkpoint,
                # A worker that has seen this owner's fencing token rejects
                # starts of former owners, so any poll reply is conclusive.
                deadline_ms=-1,
                located=lease_known,
                unanswered=not lease_known,
                lease_known=lease_known,
                on_trial=_crashes.is_suspect(unit),
                stopping=unit.state == _state.UnitState.DONE,
                # The former owner may have throttled it.
                sent_speed_percent=-1 if step.filler else 100,
            )
            unit.runs.append(run)
            _state.allocate(worker, run)
    _units.drop_restored(job)
    _units.release_due_occurrences(pool, job, now_unix_s)


def _make_placeholder(key: str, lease_until: float) -> _state.Worker:
    worker_id, born_ms = _split_worker_key(key)
    return _state.Worker(
        key=key,
        report=_specs.WorkerReport(
            id=worker_id,
            born_ms=born_ms,
            service="",
            address="",
            data_centre="",
            capacity=model.ZERO,
        ),
        lease_until=lease_until,
        listed=False,
    )


@attrs.frozen(kw_only=True, slots=True)
class EndedJob:
    """Record that replaces a job once it has ended.

    Attributes
    ----------
    queue : str
        Name of its queue.
    state : JobState
        Final state.
    ended_unix_s : float
        End time.
    workspace : str
        Its workspace; empty if it has none.
    """

    queue: str
    state: _state.JobState
    ended_unix_s: float
    workspace: str = ""


def encode_job(spec: _specs.JobSpec) -> bytes:
    """Encode the record of an accepted job."""
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(spec)])


def encode_ended_job(job: _state.Job) -> bytes:
    """Encode the record of a job that has ended."""
    ended = EndedJob(
        queue=job.spec.queue.name,
        state=job.state,
        ended_unix_s=job.ended_unix_s,
        workspace=job.spec.workspace,
    )
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(ended)])


def decode_job(record: bytes) -> _specs.JobSpec | EndedJob:
    """Decode the record of an accepted or an ended job.

    Raises
    ------
    errors.ProtocolError
        If the record cannot be read.
    """
    with errors.decoding("The record of a job", _RECORD_REMEDY):
        _, document = cbor2.loads(record)
        kind = EndedJob if "ended_unix_s" in document else _specs.JobSpec
        return _CONVERTER.structure(document, kind)
