"""Work that waits for room, as admission counts it."""

import collections.abc

import attrs

from chestnuttide import model
from chestnuttide.workloads import _advisor_queries
from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _objectives
from chestnuttide.workloads import _planning
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state


@attrs.frozen(kw_only=True, slots=True)
class Waiting:
    """Work of a step that waits to start.

    Attributes
    ----------
    priority : int
        Priority of its queue.
    late : bool
        Whether its job can no longer meet its objective.
    due : float
        Monotonic time of its job's objective.
    label : str
        Label that its workers must have.
    cpu_s, memory_s, accelerator_s : float
        Resources times expected seconds, in units of `Resources`.
    advice_s : float
        Time of the advisor's calls that it still needs, in seconds.
    """

    priority: int
    late: bool
    due: float
    label: str
    cpu_s: float
    memory_s: float
    accelerator_s: float
    advice_s: float


def list_waiting(
    pool: _state.Pool,
    competes: collections.abc.Callable[[_state.Job], bool] | None,
    *,
    now: float,
) -> tuple[Waiting, ...]:
    """Return the waiting work that can still be of worth.

    Parameters
    ----------
    pool : Pool
        The pool.
    competes : function or None
        Whether a job takes room of the share in question; None for all.
    now : float
        Monotonic time.
    """
    found = _objectives.find_late_jobs(pool, now=now)
    return tuple(
        waiting
        for job in pool.active.values()
        if job.spec.id not in found.past_worth
        and (competes is None or competes(job))
        for waiting in _waiting_of(
            pool, job, late=job.spec.id in found.past_objective
        )
    )


def find_room(
    pool: _state.Pool, spec: _specs.JobSpec, now: float
) -> model.Resources | None:
    """Return the resources of the workers that may run each of its steps.

    Returns
    -------
    Resources or None
        None if a step fits on no worker. Work that lasts takes its part.
    """
    rooms = []
    for step in spec.steps:
        need = _state.allocated_need(step)
        sums = [0, 0, 0]
        for worker in pool.workers.values():
            capacity = worker.report.capacity
            if not _planning.is_usable(worker, now):
                continue
            if step.label and step.label not in worker.report.labels:
                continue
            if not _objectives.count_within(capacity, need, 0):
                continue
            sums[0] += capacity.cpu_millis
            sums[1] += capacity.memory_mb
            sums[2] += capacity.accelerators
        if not sums[0]:
            return None
        rooms.append(sums)
    return model.Resources(
        cpu_millis=min(sums[0] for sums in rooms),
        memory_mb=min(sums[1] for sums in rooms),
        accelerators=min(sums[2] for sums in rooms),
    )


def _waiting_of(
    pool: _state.Pool, job: _state.Job, *, late: bool
) -> collections.abc.Iterator[Waiting]:
    due = job.accepted_at + _objectives.job_objective_s(pool, job)
    for key, progress in job.steps.items():
        step = job.spec.steps[key[1]]
        if not progress.waiting or step.lasting or step.filler:
            continue
        tasks = progress.waiting * (step.count if step.gang else 1)
        yield _waiting_step(
            pool,
            job.spec,
            key[1],
            tasks=tasks,
            late=late,
            due=due,
            advised=key in job.advice and bool(job.advice[key].tickets),
        )


def _waiting_step(
    pool: _state.Pool,
    spec: _specs.JobSpec,
    number: int,
    *,
    tasks: int,
    late: bool,
    due: float,
    advised: bool,
) -> Waiting:
    step = spec.steps[number]
    need = _state.allocated_need(step)
    task_s = tasks * _expectations.expected_run_s(pool, spec, number)
    advice = spec.queue.advice
    advice_s = 0.0
    if advice is not None and not advised:
        advice_s = _advisor_queries.call_duration_s(
            advice, _objectives.ADVISED_WORKERS
        )
    return Waiting(
        priority=spec.queue.priority,
        late=late,
        due=due,
        label=step.label,
        cpu_s=task_s * need.cpu_millis,
        memory_s=task_s * need.memory_mb,
        accelerator_s=task_s * need.accelerators,
        advice_s=advice_s,
    )


def make_work(
    pool: _state.Pool, spec: _specs.JobSpec, *, due: float
) -> Waiting:
    """Return the work of a whole job as one entry of the backlog."""
    steps = [
        _waiting_step(
            pool,
            spec,
            number,
            tasks=step.count,
            late=False,
            due=due,
            advised=False,
        )
        for number, step in enumerate(spec.steps)
    ]
    return Waiting(
        priority=spec.queue.priority,
        late=False,
        due=due,
        label=steps[0].label,
        cpu_s=sum(each.cpu_s for each in steps),
        memory_s=sum(each.memory_s for each in steps),
        accelerator_s=sum(each.accelerator_s for each in steps),
        advice_s=sum(each.advice_s for each in steps),
    )
