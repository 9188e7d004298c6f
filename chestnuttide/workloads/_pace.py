"""Placement on workers of different speeds.

A step is over when its slowest task is. Work whose objective leaves no room
for a slow worker goes to a faster one; work that has time to spare takes the
slow ones, so that the fast ones stay free for work that needs them.
"""

import typing

import attrs

from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _objectives
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A step is tight if workers that take this much longer than a typical one, as
# a share of its run time, would cost more than half of what it may lose. Its
# tasks differ, and the longest decides.
SLOWDOWN: typing.Final = 0.6
SPARE_SHARE: typing.Final = 0.5

# Weights of a worker's relative run time in its score, in units of a worker's
# whole capacity: for a tight step more than any other part of the score, for
# others less than packing.
TIGHT_WEIGHT: typing.Final = 2.0
SPARE_WEIGHT: typing.Final = 0.25

# Relative run times beyond this say nothing about placement: such a worker is
# not slow but failing.
MAX_RELATIVE: typing.Final = 4.0


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Pace:
    """How fast a step has to run.

    Attributes
    ----------
    pool : Pool
        The pool that runs it.
    spec : JobSpec
        The job.
    step : int
        Number of the step.
    typical_s : float
        Expected run time of a task on a typical worker, in seconds.
    tight : bool
        Whether a slow worker would cost the job its objective.
    relative : dict of (str, bool) to float
        Run times by that on a typical worker, by worker and whether the
        step's data is elsewhere; a planning round's steps share them.
    """

    pool: _state.Pool
    spec: _specs.JobSpec
    step: int
    typical_s: float
    tight: bool
    relative: dict[tuple[str, bool], float]


def make_pace(
    pool: _state.Pool,
    job: _state.Job,
    step_key: tuple[int, int],
    relative: dict[tuple[str, bool], float],
    *,
    now: float,
) -> Pace | None:
    """Return how fast a step has to run.

    Returns
    -------
    Pace or None
        None for tasks that run until their job is cancelled, for fillers, for
        jobs with due times, and where speeds are not taken into account.
    """
    step = job.spec.steps[step_key[1]]
    if not pool.policy.worker_speeds or step.lasting or step.filler:
        return None
    if job.spec.occurrences:
        return None
    typical_s = _expectations.expected_run_s(pool, job.spec, step_key[1])
    if typical_s <= 0:
        return None
    due = job.accepted_at + _objectives.job_objective_s(pool, job)
    spare_s = due - now - _objectives.remaining_chain_s(pool, job)
    steps = sum(1 for each in job.steps.values() if each.waiting)
    # A job that is late already may take a slow worker: to its caller the
    # difference is small, and jobs in time need the fast ones more.
    bearable_s = SPARE_SHARE * spare_s / max(1, steps)
    return Pace(
        pool=pool,
        spec=job.spec,
        step=step_key[1],
        typical_s=typical_s,
        tight=0 <= bearable_s < SLOWDOWN * typical_s,
        relative=relative,
    )


def relative_run_s(pace: Pace, worker: _state.Worker) -> float:
    """Return a task's expected time on a worker by that on a typical one."""
    rack = pace.spec.steps[pace.step].data_rack
    key = (worker.key, bool(rack) and rack != worker.report.rack)
    relative = pace.relative.get(key)
    if relative is None:
        here_s = _expectations.expected_run_s(
            pace.pool, pace.spec, pace.step, worker
        )
        relative = min(MAX_RELATIVE, here_s / pace.typical_s)
        pace.relative[key] = relative
    return relative


def score(pace: Pace, worker: _state.Worker) -> float:
    """Return what a worker's speed adds to its score; lowest wins."""
    excess = relative_run_s(pace, worker) - 1.0
    return TIGHT_WEIGHT * excess if pace.tight else -SPARE_WEIGHT * excess
