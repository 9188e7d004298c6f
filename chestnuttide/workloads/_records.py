"""What is stored of a job's progress, and a pool rebuilt from it."""

import attrs
import cattrs
import cbor2

from chestnuttide import model
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

_RECORD_VERSION = 1

_CONVERTER = cattrs.Converter()


def encode_progress(job: _state.Job) -> bytes:
    """Return the record of a job that has not ended."""
    rows = [
        [
            *unit.key,
            str(unit.state),
            unit.last_run,
            sorted(unit.failed_runs),
            unit.checkpoint,
            [[run.index, run.number, run.worker_key] for run in unit.runs],
        ]
        for unit in job.units.values()
        if unit.last_run
    ]
    return cbor2.dumps([_RECORD_VERSION, job.started, rows])


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

    Each restored run is uncertain and keeps its worker occupied until the
    worker's lists have decided. A worker that is not listed gets a place
    holder, whose lease ends at `lease_until`.
    """
    _, started, rows = cbor2.loads(record)
    job.started = started
    if started:
        job.state = job.shown_state = _state.JobState.RUNNING
    _release_recorded(pool, job, rows, now_unix_s)
    for row in rows:
        occurrence, step, index, state, last_run, failed, saved, runs = row
        unit = job.units[(occurrence, step, index)]
        _state.set_unit_state(job, unit, _state.UnitState(state))
        unit.last_run = last_run
        unit.failed_runs = set(failed)
        unit.failures = len(failed)
        unit.checkpoint = saved
        for member, number, key in runs:
            worker = pool.workers.get(key)
            if worker is None:
                worker = _place_holder(key, lease_until)
                pool.workers[key] = worker
            run = _state.Run(
                job=job,
                unit=unit,
                index=member,
                number=number,
                worker_key=key,
                need=_state.reserved_need(job.spec.steps[step]),
                phase=_state.Phase.UNCERTAIN,
                checkpoint=saved,
                # A former owner's start is rejected once this owner's
                # fencing token was seen, so any answer decides.
                deadline_ms=-1,
                planned_at=now,
                stopping=unit.state == _state.UnitState.DONE,
            )
            unit.runs.append(run)
            _state.occupy(worker, run)


def _release_recorded(
    pool: _state.Pool,
    job: _state.Job,
    rows: list[list[object]],
    now_unix_s: float,
) -> None:
    """Make the units of occurrences that had begun by another clock."""
    begun = max((row[0] + 1 for row in rows), default=0)
    due_s = job.spec.first_due_unix_s
    due_s += (begun - 1) * job.spec.interval_s
    _lifecycle.release_due_occurrences(pool, job, max(now_unix_s, due_s))


def _place_holder(key: str, lease_until: float) -> _state.Worker:
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
    """What remains of a job that has ended.

    Attributes
    ----------
    queue : str
        Name of its queue.
    state : str
        How it ended.
    ended_unix_s : float
        When.
    """

    queue: str
    state: str
    ended_unix_s: float


def encode_job(spec: _specs.JobSpec) -> bytes:
    """Return the record of an accepted job."""
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(spec)])


def encode_end(job: _state.Job) -> bytes:
    """Return the record that remains of a job that has ended."""
    ended = EndedJob(
        queue=job.spec.queue.name,
        state=str(job.state),
        ended_unix_s=job.ended_unix_s,
    )
    return cbor2.dumps([_RECORD_VERSION, _CONVERTER.unstructure(ended)])


def decode_job(record: bytes) -> _specs.JobSpec | EndedJob:
    """Return the job or the ended job in a record."""
    _, document = cbor2.loads(record)
    kind = EndedJob if "ended_unix_s" in document else _specs.JobSpec
    return _CONVERTER.structure(document, kind)
