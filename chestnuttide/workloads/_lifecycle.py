"""Life of jobs and units: acceptance, due times, ends and cancellation."""

import collections.abc

from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A unit that failed is not planned again at once, so that a worker that
# fails everything does not use up its attempts before it is noticed.
RETRY_PAUSE_S = 0.05

# A lasting task that fails at once is restarted with this pause.
LASTING_RETRY_PAUSE_S = 0.2

# Failed ends in a row, of two jobs or more, after which a worker is set
# aside, and for how long.
FAILURES_TO_SHUN = 3
SHUN_S = 6.0


def add_job(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    *,
    now: float,
    now_unix_s: float,
) -> _state.Job:
    """Take a stored job into the pool."""
    job = _state.Job(spec=spec, accepted_at=now)
    pool.jobs[spec.id] = job
    pool.active[spec.id] = job
    release_due_occurrences(pool, job, now_unix_s)
    return job


def release_due_occurrences(
    pool: _state.Pool, job: _state.Job, now_unix_s: float
) -> None:
    """Make the units of each occurrence whose time has come."""
    total = max(1, job.spec.occurrences)
    while job.occurrences_due < total:
        occurrence = job.occurrences_due
        if job.spec.occurrences:
            due = job.spec.first_due_unix_s
            due += occurrence * job.spec.interval_s
            if now_unix_s < due:
                return
        job.occurrences_due += 1
        for number, step in enumerate(job.spec.steps):
            for unit in _units_of(occurrence, number, step):
                _state.add_unit(job, unit)


def _units_of(
    occurrence: int, number: int, step: _specs.StepSpec
) -> collections.abc.Iterator[_state.Unit]:
    if step.gang:
        yield _state.Unit(
            key=(occurrence, number, 0), indexes=tuple(range(step.count))
        )
        return
    for index in range(step.count):
        yield _state.Unit(key=(occurrence, number, index), indexes=(index,))


def is_step_ready(job: _state.Job, occurrence: int, number: int) -> bool:
    """Return whether all earlier steps that a step waits for are done."""
    for earlier in job.spec.steps[number].after:
        progress = job.steps[(occurrence, earlier)]
        if progress.done < progress.total:
            return False
    return True


def step_units(
    job: _state.Job, occurrence: int, number: int
) -> collections.abc.Iterator[_state.Unit]:
    """Return the units of a step of an occurrence that is due."""
    step = job.spec.steps[number]
    for index in range(1 if step.gang else step.count):
        yield job.units[(occurrence, number, index)]


def step_of(unit: _state.Unit, job: _state.Job) -> _specs.StepSpec:
    """Return the step of a unit."""
    return job.spec.steps[unit.key[1]]


def cancel_job(pool: _state.Pool, job: _state.Job, now_unix_s: float) -> None:
    """Stop all of a job's runs and end it as cancelled."""
    if job.state in _state.TERMINAL_STATES:
        return
    job.cancelled = True
    _end_job(pool, job, _state.JobState.CANCELLED, now_unix_s)


def _end_job(
    pool: _state.Pool,
    job: _state.Job,
    state: _state.JobState,
    now_unix_s: float,
) -> None:
    job.state = state
    job.ended_unix_s = now_unix_s
    _state.mark_changed(job)
    pool.active.pop(job.spec.id, None)
    for unit in job.units.values():
        stop_runs(pool, unit)


def stop_runs(
    pool: _state.Pool, unit: _state.Unit, *, but: int | None = None
) -> None:
    """Ask for the stop of a unit's runs, and drop those never ordered."""
    for run in list(unit.runs):
        if run.number == but:
            continue
        if run.phase == _state.Phase.PLANNED:
            drop_run(pool, run)
        else:
            run.stopping = True


def drop_run(pool: _state.Pool, run: _state.Run) -> None:
    """Forget a run that has ended or provably never began."""
    worker = pool.workers.get(run.worker_key)
    if worker is not None:
        _state.release(worker, run)
    if run in run.unit.runs:
        run.unit.runs.remove(run)


def end_run(
    pool: _state.Pool,
    run: _state.Run,
    how: str,
    checkpoint: str,
    *,
    now: float,
    now_unix_s: float,
) -> None:
    """Apply the end of a run to its unit and its job.

    Parameters
    ----------
    pool : Pool
        The pool.
    run : Run
        The run.
    how : str
        The worker's word for the end; ``never`` for a run that has not
        begun, and ``lost`` for one whose worker is gone.
    checkpoint : str
        Progress saved at the end; empty if there is none.
    now, now_unix_s : float
        Monotonic and wall time.
    """
    job, unit = run.job, run.unit
    step = step_of(unit, job)
    drop_run(pool, run)
    if job.state in _state.TERMINAL_STATES:
        return
    _state.mark_changed(job)
    if unit.state in (_state.UnitState.DONE, _state.UnitState.FAILED):
        return
    checkpoint = checkpoint or run.checkpoint
    if checkpoint and step.checkpointable:
        unit.checkpoint = checkpoint
    if how == "done" and not step.lasting:
        _state.set_unit_state(job, unit, _state.UnitState.DONE)
        stop_runs(pool, unit, but=run.number if step.gang else None)
        _complete_if_done(pool, job, now_unix_s)
        return
    if how == "failed":
        _note_failure(pool, run, now=now)
        limit = job.spec.queue.attempt_limit
        if not step.lasting and unit.failures >= limit:
            _state.set_unit_state(job, unit, _state.UnitState.FAILED)
            _end_job(pool, job, _state.JobState.FAILED, now_unix_s)
            return
    if step.gang:
        # A gang cannot go on without one of its members.
        stop_runs(pool, unit)
    if not unit.runs:
        _state.set_unit_state(job, unit, _state.UnitState.WAITING)


def _note_failure(pool: _state.Pool, run: _state.Run, *, now: float) -> None:
    unit = run.unit
    if run.number not in unit.failed_runs:
        unit.failed_runs.add(run.number)
        unit.failures += 1
    unit.avoided.add(run.worker_key)
    lasting = step_of(unit, run.job).lasting
    unit.not_before = now + (
        LASTING_RETRY_PAUSE_S if lasting else RETRY_PAUSE_S
    )
    worker = pool.workers.get(run.worker_key)
    if worker is None:
        return
    worker.failures_in_row += 1
    worker.failed_jobs.add(run.job.spec.id)
    if (
        worker.failures_in_row >= FAILURES_TO_SHUN
        and len(worker.failed_jobs) > 1
    ):
        worker.shunned_until = now + SHUN_S


def note_success(worker: _state.Worker) -> None:
    """Trust a worker again after a good end."""
    worker.failures_in_row = 0
    worker.failed_jobs.clear()
    worker.stalls = 0
    worker.shunned_until = 0.0


def _complete_if_done(
    pool: _state.Pool, job: _state.Job, now_unix_s: float
) -> None:
    if job.occurrences_due < max(1, job.spec.occurrences):
        return
    if all(each.done == each.total for each in job.steps.values()):
        _end_job(pool, job, _state.JobState.COMPLETE, now_unix_s)
