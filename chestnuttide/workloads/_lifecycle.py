"""Life cycle of jobs and units, from acceptance to completion."""

from chestnuttide.workloads import _run_observations
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _units

# Delay before a failed unit is planned again. Without it, a worker on which
# everything fails could use up the unit's attempts before it is quarantined.
RETRY_DELAY_S = 0.05

# Delay before a failed long-running task is restarted.
LONG_RUNNING_RETRY_DELAY_S = 0.2

# Consecutive failures, of at least two jobs, after which a worker is
# quarantined, and the duration of the quarantine.
QUARANTINE_FAILURES = 3
FAILURE_QUARANTINE_S = 6.0


def add_job(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    *,
    now: float,
    now_unix_s: float,
) -> _state.Job:
    """Add a stored job to the pool."""
    job = _state.Job(spec=spec, accepted_at=now)
    pool.jobs[spec.id] = job
    pool.active[spec.id] = job
    _units.release_due_occurrences(pool, job, now_unix_s)
    return job


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
    # Dropping the last run of a unit that is done drops the unit.
    for unit in list(job.units.values()):
        stop_runs(pool, unit)


def stop_runs(
    pool: _state.Pool, unit: _state.Unit, *, except_number: int | None = None
) -> None:
    """Mark a unit's runs for stopping, and drop those still only planned."""
    for run in list(unit.runs):
        if run.number == except_number:
            continue
        if run.phase == _state.Phase.PLANNED:
            drop_run(pool, run)
        else:
            run.stopping = True


def drop_run(pool: _state.Pool, run: _state.Run) -> None:
    """Remove a run that has ended or is known never to have started."""
    worker = pool.workers.get(run.worker_key)
    if worker is not None:
        _state.deallocate(worker, run)
    if run in run.unit.runs:
        run.unit.runs.remove(run)
        if run.unit.state == _state.UnitState.DONE:
            _units.drop_done(run.job, run.unit)


def end_run(
    pool: _state.Pool,
    run: _state.Run,
    result: str,
    checkpoint: str,
    *,
    now: float,
    now_unix_s: float,
) -> None:
    """Apply the completion of a run to its unit and its job.

    Parameters
    ----------
    pool : Pool
        The pool.
    run : Run
        The run.
    result : str
        How the run ended, as the worker reports it; ``never`` for a run that
        did not start, and ``lost`` for one that its worker no longer runs or
        whose worker is gone.
    checkpoint : str
        Checkpoint saved at the end; empty if there is none.
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
    _run_observations.record_end(pool, run, result, now=now)
    checkpoint = checkpoint or run.checkpoint
    if checkpoint and step.checkpointable:
        unit.checkpoint = checkpoint
    if result == "done" and not step.lasting:
        _state.set_unit_state(job, unit, _state.UnitState.DONE)
        job.steps[unit.key[:2]].done_at = now
        stop_runs(pool, unit, except_number=run.number if step.gang else None)
        _units.drop_done(job, unit)
        _complete_if_done(pool, job, now_unix_s)
        return
    if result == "failed":
        _record_failure(pool, run, now=now)
        limit = job.spec.queue.attempt_limit
        if not step.lasting and unit.failures >= limit:
            fail_unit(pool, job, unit, now_unix_s)
            return
    if step.gang:
        # A gang cannot continue without one of its members.
        stop_runs(pool, unit)
    if run.phase == _state.Phase.RUNNING:
        unit.idle_since = now
    if not unit.runs:
        _state.set_unit_state(job, unit, _state.UnitState.WAITING)


def fail_unit(
    pool: _state.Pool,
    job: _state.Job,
    unit: _state.Unit,
    now_unix_s: float,
) -> None:
    """End a unit that is not tried again as failed, and its job with it."""
    _state.set_unit_state(job, unit, _state.UnitState.FAILED)
    _end_job(pool, job, _state.JobState.FAILED, now_unix_s)


def _record_failure(pool: _state.Pool, run: _state.Run, *, now: float) -> None:
    unit = run.unit
    long_running = step_of(unit, run.job).lasting
    if run.number not in unit.failed_runs:
        if long_running:
            # It has no limit of attempts, and may fail for weeks.
            unit.failed_runs.clear()
        unit.failed_runs.add(run.number)
        unit.failures += 1
    unit.avoided.intersection_update(pool.workers)
    unit.avoided.add(run.worker_key)
    unit.not_before = now + (
        LONG_RUNNING_RETRY_DELAY_S if long_running else RETRY_DELAY_S
    )
    worker = pool.workers.get(run.worker_key)
    if worker is None:
        return
    worker.consecutive_failures += 1
    worker.failed_jobs.add(run.job.spec.id)
    if (
        worker.consecutive_failures >= QUARANTINE_FAILURES
        and len(worker.failed_jobs) > 1
    ):
        worker.quarantined_until = now + FAILURE_QUARANTINE_S


def record_success(worker: _state.Worker) -> None:
    """Clear a worker's failures and its quarantine after a success."""
    worker.consecutive_failures = 0
    worker.failed_jobs.clear()
    worker.stalls = 0
    worker.quarantined_until = 0.0


def _complete_if_done(
    pool: _state.Pool, job: _state.Job, now_unix_s: float
) -> None:
    if job.occurrences_due < max(1, job.spec.occurrences):
        return
    if not any(job.open_occurrences.values()):
        _end_job(pool, job, _state.JobState.COMPLETE, now_unix_s)
