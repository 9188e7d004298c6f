"""Expected run times of tasks, for placement, order and admission."""

import math

from chestnuttide.workloads import _run_observations
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state


def expected_run_s(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    step: int,
    worker: _state.Worker | None = None,
    *,
    now: float | None = None,
) -> float:
    """Return the expected run time of one task of a step, in seconds.

    It is the estimate, corrected by what ended runs have shown. No promise
    may depend on it.

    Parameters
    ----------
    pool : Pool
        The pool that runs the job.
    spec : JobSpec
        The job.
    step : int
        Number of the step.
    worker : Worker or None
        Worker that runs the task; None for a typical worker of the pool.
    now : float or None
        Monotonic time, with which old samples fade; None to take them as
        they are.
    """
    times = pool.run_times
    task = spec.steps[step]
    if times is None or task.lasting or task.filler:
        return task.estimate_s
    key = (spec.workspace, spec.queue.name, step)
    log = _run_times.predict_log(times, key, spec.id, now=now or 0.0)
    if worker is None:
        log += times.speeds.typical_log_slowness
    else:
        log += _run_observations.slowness_of(times, worker)
        if _run_observations.is_far(task, worker):
            log += times.speeds.far.log_slowness
    return task.estimate_s * math.exp(log)


def long_run_s(
    pool: _state.Pool, run: _state.Run, share: float, *, now: float
) -> float | None:
    """Return the time that a share of the tasks of a run's kind stay below.

    Returns
    -------
    float or None
        Seconds on the run's worker; None unless enough runs have ended.
    """
    times = pool.run_times
    worker = pool.workers.get(run.worker_key)
    if times is None or worker is None:
        return None
    step = run.job.spec.steps[run.unit.key[1]]
    key = _run_observations.kind_of(run)
    ratio = _run_times.upper_ratio(times, key, share, now=now)
    if ratio is None:
        return None
    log = _run_observations.slowness_of(times, worker)
    if _run_observations.is_far(step, worker):
        log += times.speeds.far.log_slowness
    return step.estimate_s * ratio * math.exp(log)
