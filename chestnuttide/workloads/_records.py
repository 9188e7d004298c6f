"""Stored records of jobs, and restoring a pool from them."""

import attrs
import cattrs
import cbor2

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _worker_index

_RECORD_VERSION = 1

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
    return cbor2.dumps([_RECORD_VERSION, job.started, rows])


def estimate_progress_bytes(job: _state.Job) -> int:
    """Return roughly the size of a job's progress record, seldom too low."""
    return 20 + sum(
        40
        + len(unit.checkpoint)
        + 5 * len(unit.failed_runs)
        + sum(10 + len(run.worker_key) for run in unit.runs)
        + 6 * sum(run.lease_known for run in unit.runs)
        + sum(20 + len(each.worker_key) for each in unit.crashes.values())
        for unit in job.units.values()
        if unit.last_run
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


def _decode_progress(
    spec: _specs.JobSpec, record: bytes
) -> tuple[bool, list[_UnitRecord]]:
    """Return whether a job has started, and the progress of its units.

    Raises
    ------
    errors.ProtocolError
        If the record cannot be read or does not fit the job.
    """
    with errors.decoding(
        f"The progress record of job {spec.id}", _RECORD_REMEDY
    ):
        _, started, rows = cbor2.loads(record)
        units = [_decode_unit(spec, row) for row in rows]
    return bool(started), units


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
    if not 0 <= step < len(spec.steps):
        raise ValueError(f"there is no step {step}")
    units = 1 if spec.steps[step].gang else spec.steps[step].count
    if not 0 <= index < units:
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
    started, units = _decode_progress(job.spec, record)
    job.started = started
    if started:
        job.state = job.shown_state = _state.JobState.RUNNING
    _restore_occurrences(pool, job, units, now_unix_s)
    for stored in units:
        unit = job.units[stored.key]
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


def _restore_occurrences(
    pool: _state.Pool,
    job: _state.Job,
    units: list[_UnitRecord],
    now_unix_s: float,
) -> None:
    """Create the units of all occurrences that the record contains.

    The former owner's clock may have been ahead, so an occurrence in the
    record may not be due by this owner's clock yet.
    """
    released = max((unit.key[0] + 1 for unit in units), default=0)
    due_s = job.spec.first_due_unix_s
    due_s += (released - 1) * job.spec.interval_s
    _lifecycle.release_due_occurrences(pool, job, max(now_unix_s, due_s))


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
