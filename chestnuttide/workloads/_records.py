"""Stored records of jobs, and restoring a pool from them."""

import attrs
import cattrs
import cbor2

from chestnuttide import model
from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

_RECORD_VERSION = 1

_CONVERTER = cattrs.Converter()


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
            *_encode_crashes(unit),
        ]
        for unit in job.units.values()
        if unit.last_run
    ]
    return cbor2.dumps([_RECORD_VERSION, job.started, rows])


def _encode_crashes(unit: _state.Unit) -> list[list[list[object]]]:
    """Return the last column of a unit's row, which few units have."""
    if not unit.crashes:
        return []
    return [
        [
            [
                number,
                crash.worker_key,
                crash.index,
                crash.suspects,
                crash.started,
            ]
            for number, crash in unit.crashes.items()
        ]
    ]


def _decode_crashes(
    rows: list[tuple[int, str, int, int, bool]],
) -> dict[int, _state.Crash]:
    return {
        number: _state.Crash(
            worker_key=worker_key,
            index=index,
            suspects=suspects,
            started=started,
        )
        for number, worker_key, index, suspects, started in rows
    }


def apply_progress(
    pool: _state.Pool,
    job: _state.Job,
    record: bytes,
    *,
    lease_until: float,
    now: float,
    now_unix_s: float,
) -> None:
    """Restore a job's units and runs from its record.

    Each restored run is uncertain and allocates capacity of its worker until
    a poll reply shows whether it runs. A worker that is not listed gets a
    placeholder, whose lease expires at `lease_until`.
    """
    _, started, rows = cbor2.loads(record)
    job.started = started
    if started:
        job.state = job.shown_state = _state.JobState.RUNNING
    _restore_occurrences(pool, job, rows, now_unix_s)
    for row in rows:
        occurrence, step, index, state, last_run, failed, saved, runs = row[:8]
        unit = job.units[(occurrence, step, index)]
        _state.set_unit_state(job, unit, _state.UnitState(state))
        unit.last_run = last_run
        unit.failed_runs = set(failed)
        unit.failures = len(failed)
        unit.checkpoint = saved
        unit.crashes = _decode_crashes(row[8] if len(row) > 8 else [])
        _crashes.index_unit(pool, job, unit)
        for member, number, key in runs:
            worker = pool.workers.get(key)
            if worker is None:
                worker = _make_placeholder(key, lease_until)
                pool.workers[key] = worker
            run = _state.Run(
                job=job,
                unit=unit,
                index=member,
                number=number,
                worker_key=key,
                need=_state.allocated_need(job.spec.steps[step]),
                phase=_state.Phase.UNCERTAIN,
                checkpoint=saved,
                # A worker that has seen this owner's fencing token rejects
                # starts of former owners, so any poll reply is conclusive.
                deadline_ms=-1,
                on_trial=_crashes.is_suspect(unit),
                stopping=unit.state == _state.UnitState.DONE,
            )
            unit.runs.append(run)
            _state.allocate(worker, run)


def _restore_occurrences(
    pool: _state.Pool,
    job: _state.Job,
    rows: list[list[object]],
    now_unix_s: float,
) -> None:
    """Create the units of all occurrences that the record contains.

    The former owner's clock may have been ahead, so an occurrence in the
    record may not be due by this owner's clock yet.
    """
    released = max((row[0] + 1 for row in rows), default=0)
    due_s = job.spec.first_due_unix_s
    due_s += (released - 1) * job.spec.interval_s
    _lifecycle.release_due_occurrences(pool, job, max(now_unix_s, due_s))


def _make_placeholder(key: str, lease_until: float) -> _state.Worker:
    worker_id, _, born = key.rpartition("@")
    return _state.Worker(
        key=key,
        report=_specs.WorkerReport(
            id=worker_id,
            born_ms=int(born),
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
    state : str
        Final state.
    ended_unix_s : float
        End time.
    """

    queue: str
    state: str
    ended_unix_s: float


def encode_job(spec: _specs.JobSpec) -> bytes:
    """Encode the record of an accepted job."""
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(spec)])


def encode_ended_job(job: _state.Job) -> bytes:
    """Encode the record of a job that has ended."""
    ended = EndedJob(
        queue=job.spec.queue.name,
        state=str(job.state),
        ended_unix_s=job.ended_unix_s,
    )
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(ended)])


def decode_job(record: bytes) -> _specs.JobSpec | EndedJob:
    """Decode the record of an accepted or an ended job."""
    _, document = cbor2.loads(record)
    kind = EndedJob if "ended_unix_s" in document else _specs.JobSpec
    return _CONVERTER.structure(document, kind)
