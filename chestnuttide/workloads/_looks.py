"""What a worker's lists and answers say about its runs."""

import typing

import attrs

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# The worker's clock may be 2% slow, so its lease may last that much longer.
CLOCK_DRIFT = 0.98

# Added to the computed end of a silent worker's lease, for rounding.
LAPSE_MARGIN_S = 0.1


class RunRow(typing.Protocol):
    """A listed run; see ``platform.RunRow``."""

    task: str
    run: int
    checkpoint: str
    percent: float
    measure: float


class EndRow(typing.Protocol):
    """A listed end; see ``platform.EndRow``."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@attrs.frozen(kw_only=True, slots=True)
class Observation:
    """A worker's lists with the times of the call.

    Attributes
    ----------
    clock_ms : int
        The worker's clock in the answer.
    running : tuple of RunRow
        All that runs.
    ended : tuple of EndRow
        Ends that are not yet acknowledged.
    sent_at, received_at : float
        Monotonic times of the call.
    """

    clock_ms: int
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]
    sent_at: float
    received_at: float


def note_clock(
    worker: _state.Worker, clock_ms: int, received_at: float
) -> None:
    """Remember the worker's clock, unless a newer value is known."""
    if clock_ms >= worker.clock_ms:
        worker.clock_ms = clock_ms
        worker.clock_at = received_at


def lease_deadline_ms(
    worker: _state.Worker, *, now: float, lease_s: float
) -> int | None:
    """Return a lease's end on the worker's clock; None if it is unknown."""
    if worker.clock_at is None:
        return None
    return worker.clock_ms + int((now - worker.clock_at + lease_s) * 1000)


def hold_deadline_ms(
    worker: _state.Worker, *, now: float, lease_s: float
) -> int | None:
    """Return the lease that a look at a worker asks for, or None.

    An unanswered look may have extended the lease. While a worker is silent,
    looks ask for none, so that the lease runs out and its runs can go on
    elsewhere.
    """
    if not worker.runs or worker.failed_looks:
        return None
    return lease_deadline_ms(worker, now=now, lease_s=lease_s)


def note_stored(worker: _state.Worker) -> None:
    """Find the last end whose job is stored as it was with that end."""
    unstored = worker.unstored
    while unstored and unstored[0].job.stored_change >= unstored[0].change:
        unstored.popleft()
    worker.stored_end = (
        unstored[0].number - 1 if unstored else worker.highest_end
    )


def is_finished(worker: _state.Worker) -> bool:
    """Return whether a worker can be forgotten.

    The store may lose the entry of a live worker and list it again. Ends that
    are not stored yet are remembered until then, or the next look would take
    them as nobody's and acknowledge them.
    """
    return not worker.listed and not worker.runs and not worker.unstored


def acknowledged_end(worker: _state.Worker) -> int:
    """Return the number up to which a look may acknowledge ends.

    A worker that did not answer may have started again, and then counts its
    ends anew; what was stored of the former lifetime says nothing of them.
    """
    return 0 if worker.failed_looks else worker.stored_end


def note_grant(worker: _state.Worker, deadline_ms: int, *, now: float) -> None:
    """Remember that an order with this lease may have been executed."""
    ahead_s = (deadline_ms - worker.clock_ms) / 1000
    until = worker.clock_at + ahead_s / CLOCK_DRIFT + LAPSE_MARGIN_S
    worker.lease_until = max(worker.lease_until, until, now)


def apply_look(
    pool: _state.Pool,
    worker: _state.Worker,
    look: Observation,
    *,
    now_unix_s: float,
) -> list[tuple[_state.Run, str]]:
    """Apply a worker's lists to the pool.

    Returns
    -------
    list of (Run, str)
        Runs that have ended, with how; for the log.
    """
    now = look.received_at
    note_clock(worker, look.clock_ms, now)
    worker.seen_at = now
    ends: list[tuple[_state.Run, str]] = []

    def end(run: _state.Run, how: str, checkpoint: str) -> None:
        if how == "done":
            _lifecycle.note_success(worker)
        ends.append((run, how))
        _lifecycle.end_run(
            pool, run, how, checkpoint, now=now, now_unix_s=now_unix_s
        )

    ended_keys = set()
    for row in look.ended:
        ended_keys.add((row.task, row.run))
        if row.number <= worker.highest_end:
            continue
        worker.highest_end = row.number
        run = worker.runs.get((row.task, row.run))
        if run is not None:
            end(run, row.how, row.checkpoint)
            worker.unstored.append(
                _state.UnstoredEnd(
                    number=row.number, job=run.job, change=run.job.change
                )
            )
    listed = {(row.task, row.run): row for row in look.running}
    for key, row in listed.items():
        run = worker.runs.get(key)
        if run is not None:
            _note_running(run, row, now)
    for run in list(worker.runs.values()):
        if run.key in listed or run.key in ended_keys:
            continue
        how = _absence(run, look)
        if how:
            end(run, how, "")
    _note_unknown(pool, worker, listed, ended_keys)
    note_stored(worker)
    return ends


def _note_running(run: _state.Run, row: RunRow, now: float) -> None:
    run.listed = True
    if run.phase != _state.Phase.RUNNING:
        run.phase = _state.Phase.RUNNING
        run.confirmed_at = now
        run.progress_at = now
        run.job.started = True
        run.unit.first_started_at = run.unit.first_started_at or now
        if run.job.state == _state.JobState.QUEUED:
            run.job.state = _state.JobState.RUNNING
    if row.percent != run.percent:
        run.percent = row.percent
        run.progress_at = now
    run.measure = row.measure
    if row.checkpoint and row.checkpoint != run.checkpoint:
        run.checkpoint = row.checkpoint


def _absence(run: _state.Run, look: Observation) -> str:
    """Return the end that an unlisted run has come to, or nothing.

    A look that was sent after the confirmation would list the run. An
    unanswered start cannot take effect once the worker's clock has passed
    its lease, nor after a new owner's fencing token has been seen.
    """
    if run.phase == _state.Phase.RUNNING:
        return "lost" if look.sent_at > run.confirmed_at else ""
    if run.phase == _state.Phase.UNCERTAIN:
        rejected = 0 < run.stop_acknowledged_at < look.sent_at
        if rejected or look.clock_ms > run.deadline_ms:
            return "never"
    return ""


def _note_unknown(
    pool: _state.Pool,
    worker: _state.Worker,
    listed: dict[_state.RunKey, RunRow],
    ended_keys: set[_state.RunKey],
) -> None:
    unknown = {
        key
        for key in listed
        if key not in worker.runs and key not in ended_keys
    }
    if unknown:
        pool.unknown_runs[worker.key] = unknown
    else:
        pool.unknown_runs.pop(worker.key, None)


def confirm_start(run: _state.Run, *, now: float) -> None:
    """Note that the worker has accepted a run's start."""
    if run.phase in (_state.Phase.ORDERED, _state.Phase.UNCERTAIN):
        run.phase = _state.Phase.RUNNING
        run.confirmed_at = now
        run.progress_at = now
        run.job.started = True
        run.unit.first_started_at = run.unit.first_started_at or now
        if run.job.state == _state.JobState.QUEUED:
            run.job.state = _state.JobState.RUNNING


def lapse_silent_worker(
    pool: _state.Pool,
    worker: _state.Worker,
    *,
    now: float,
    now_unix_s: float,
) -> list[_state.Run]:
    """End the runs of a worker whose lease has run out in silence."""
    if not worker.runs or now < worker.lease_until:
        return []
    lapsed = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED
    ]
    for run in lapsed:
        if run.phase != _state.Phase.RUNNING:
            pool.unanswered_starts.setdefault(worker.report.id, set()).add(
                run.key
            )
        _lifecycle.end_run(
            pool, run, "lost", "", now=now, now_unix_s=now_unix_s
        )
    return lapsed


def update_worker(
    pool: _state.Pool,
    report: _specs.WorkerReport,
    *,
    now: float,
    lease_until: float,
) -> _state.Worker:
    """Take a worker's entry into the pool; a new lifetime is a new worker."""
    key = _state.worker_key(report)
    worker = pool.workers.get(key)
    if worker is None:
        worker = _state.Worker(key=key, report=report, lease_until=lease_until)
        pool.workers[key] = worker
    worker.report = report
    worker.listed = True
    if not report.draining:
        worker.draining_since = 0.0
    elif not worker.draining_since:
        worker.draining_since = now
    return worker
