"""Latency objectives of jobs, and until when a job is of worth.

A queue promises each job an objective: a multiple of the job's longest chain
of work, and a constant part. A job that ends later is worth little to its
caller, and after `WORTH_FACTOR` objectives nothing. Order and admission both
ask this module, so that both mean the same time.
"""

import collections.abc
import typing

import attrs

from chestnuttide import model
from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A job that ends after this many objectives is of no worth to its caller.
WORTH_FACTOR: typing.Final = 3.0

# A step runs in waves if it is wider than this share of the tasks that fit on
# the service's workers at once.
WAVE_SHARE: typing.Final = 0.25

# An objective includes one advisor query about this many workers a step.
ADVISED_WORKERS: typing.Final = 30


def objective_s(pool: _state.Pool, spec: _specs.JobSpec) -> float:
    """Return the latency objective of one run of a job's steps, in seconds."""
    queue = spec.queue
    return queue.stretch * chain_s(pool, spec) + queue.latency_objective_s


def chain_s(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    left: collections.abc.Collection[int] | None = None,
) -> float:
    """Return the expected length of a job's longest chain, in seconds.

    Parameters
    ----------
    pool : Pool
        The pool that runs the job.
    spec : JobSpec
        The job. Its decoder has checked that steps follow earlier ones only.
    left : collection of int or None
        Steps that have not ended; None for all.
    """
    ends_s: list[float] = []
    for number, step in enumerate(spec.steps):
        begin_s = max((ends_s[before] for before in step.after), default=0.0)
        if left is None or number in left:
            begin_s += _step_s(pool, spec, number)
        ends_s.append(begin_s)
    return max(ends_s, default=0.0)


def _step_s(pool: _state.Pool, spec: _specs.JobSpec, number: int) -> float:
    step = spec.steps[number]
    advice = spec.queue.advice
    advice_s = 0.0
    if advice is not None:
        advice_s = advice.decide_s + ADVISED_WORKERS * advice.per_worker_s
    run_s = _expectations.expected_run_s(pool, spec, number)
    if step.gang or step.count == 1:
        return advice_s + run_s
    # A pool without workers says nothing about waves.
    room = WAVE_SHARE * count_room(pool, step)
    waves = max(1.0, step.count / room) if room else 1.0
    return advice_s + waves * run_s


def count_room(pool: _state.Pool, step: _specs.StepSpec) -> int:
    """Return how many tasks of a step fit on the empty workers of a pool."""
    need = _state.allocated_need(step)
    return sum(
        count_within(worker.report.capacity, need, step.spread_limit)
        for worker in pool.workers.values()
        if worker.listed
        and (not step.label or step.label in worker.report.labels)
    )


def count_within(
    capacity: model.Resources, need: model.Resources, limit: int
) -> int:
    """Return how many tasks of a need fit within a capacity."""
    counts = [
        have // want
        for have, want in (
            (capacity.cpu_millis, need.cpu_millis),
            (capacity.memory_mb, need.memory_mb),
            (capacity.accelerators, need.accelerators),
        )
        if want
    ]
    if limit:
        counts.append(limit)
    return min(counts, default=1)


def job_objective_s(pool: _state.Pool, job: _state.Job) -> float:
    """Return a job's objective, worked out once for each job."""
    if not job.objective_s:
        job.objective_s = objective_s(pool, job.spec)
    return job.objective_s


def worth_until(pool: _state.Pool, job: _state.Job) -> float:
    """Return the monotonic time after which a job's end is of no worth."""
    return job.accepted_at + WORTH_FACTOR * job_objective_s(pool, job)


@attrs.frozen(kw_only=True, slots=True)
class LateJobs:
    """Waiting jobs that can no longer end in time.

    Attributes
    ----------
    past_worth, past_objective : frozenset of str
        Those that can no longer end within their worth, and those that can
        within their worth but not within their objective.
    """

    past_worth: frozenset[str] = frozenset()
    past_objective: frozenset[str] = frozenset()


def find_late_jobs(pool: _state.Pool, *, now: float) -> LateJobs:
    """Return the jobs that can no longer end in time, by their estimates.

    Jobs with due times or long-running tasks are left out: they are of worth
    at any time. So are all jobs if the deployment does not ask for this
    order.
    """
    if not pool.policy.objective_order:
        return LateJobs()
    past_worth = []
    past_objective = []
    for job in pool.active.values():
        if job.spec.occurrences or job.is_long_running:
            continue
        due = job.accepted_at + job_objective_s(pool, job)
        # Most jobs are far from their objective; a chain is shorter than it.
        if now < due - job.objective_s / max(1.0, job.spec.queue.stretch):
            continue
        ends_at = now + remaining_chain_s(pool, job)
        if ends_at > worth_until(pool, job):
            past_worth.append(job.spec.id)
        elif ends_at > due:
            past_objective.append(job.spec.id)
    return LateJobs(
        past_worth=frozenset(past_worth),
        past_objective=frozenset(past_objective),
    )


def remaining_chain_s(pool: _state.Pool, job: _state.Job) -> float:
    """Return the expected length of what a job has still to start.

    A step whose tasks have all started needs no more room and counts nothing,
    so the result errs on the short side.
    """
    left = {
        step for (_, step), progress in job.steps.items() if progress.waiting
    }
    return chain_s(pool, job.spec, left)
