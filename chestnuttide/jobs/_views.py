"""Read-only views of a pool and its jobs."""

import attrs

from chestnuttide.jobs import _state
from chestnuttide import model
from chestnuttide import placement

# Default number of jobs per page of a listing.
PAGE_JOBS = 500


@attrs.frozen(kw_only=True, slots=True)
class JobView:
    """Job as presented to callers.

    Attributes
    ----------
    job : Job
        The job as accepted.
    state : JobState
        Current state.
    reason : str
        Code of the reason for its end; empty otherwise.
    waited_s : float
        Seconds from its arrival until now, or until its end.
    done, running, waiting : int
        Numbers of tasks that succeeded, are live, or wait.
    workers : dict of str to int
        Number of live attempts by worker.
    """

    job: model.Job
    state: model.JobState
    reason: str
    waited_s: float
    done: int
    running: int
    waiting: int
    workers: dict[str, int]


@attrs.frozen(kw_only=True, slots=True)
class PoolView:
    """Statistics of a pool.

    Attributes
    ----------
    jobs : int
        Number of known jobs, including ended ones.
    waiting_tasks : int
        Number of tasks of open jobs that are neither live nor done.
    live_attempts : int
        Number of attempts that may be live.
    workers : int
        Number of live workers.
    shut_workers : int
        Number of workers that receive no new work.
    capacity, reserved : Resources
        Capacity of the live workers, and the part that is reserved.
    settled : bool
        Whether the states of recovered jobs' tasks are known.
    """

    jobs: int
    waiting_tasks: int
    live_attempts: int
    workers: int
    shut_workers: int
    capacity: model.Resources
    reserved: model.Resources
    settled: bool


def read_job(
    state: _state.PoolState, job_id: str, now: float
) -> JobView | None:
    """Return a job, or None if it is unknown or not yet durable."""
    record = state.jobs.get(job_id)
    if record is None or not record.durable:
        return None
    return _view(state, record, now)


def list_jobs(
    state: _state.PoolState,
    now: float,
    *,
    team: str = "",
    after: str = "",
    limit: int = PAGE_JOBS,
) -> list[JobView]:
    """Return a page of jobs, ordered by id.

    Parameters
    ----------
    state : PoolState
        The pool.
    now : float
        Time in seconds.
    team : str
        Team whose jobs are listed; empty for all.
    after : str
        Id after which the page starts.
    limit : int
        Maximum number of jobs to return.
    """
    chosen = sorted(
        job_id
        for job_id, record in state.jobs.items()
        if job_id > after
        and record.durable
        and (not team or record.job.team == team)
    )
    return [_view(state, state.jobs[job_id], now) for job_id in chosen[:limit]]


def read_pool(state: _state.PoolState) -> PoolView:
    """Return statistics of the pool."""
    return PoolView(
        jobs=len(state.jobs),
        waiting_tasks=state.waiting_tasks,
        live_attempts=len(state.attempts),
        workers=placement.worker_count(state.cell),
        shut_workers=len(state.unavailable_workers),
        capacity=placement.capacity_total(state.cell),
        reserved=placement.reserved_total(state.cell),
        settled=state.settled,
    )


def _view(
    state: _state.PoolState, record: _state.JobRecord, now: float
) -> JobView:
    """Return the view of a job."""
    workers: dict[str, int] = {}
    for attempt in record.live.values():
        worker_id = state.attempts[attempt].worker_id
        workers[worker_id] = workers.get(worker_id, 0) + 1
    is_open = _state.is_open(record)
    waiting = record.job.tasks - record.done_count - len(record.live)
    return JobView(
        job=record.job,
        state=record.state,
        reason=record.reason,
        waited_s=min(now, record.ended_at) - record.entered_at,
        done=record.done_count,
        running=len(record.live),
        waiting=waiting if is_open else 0,
        workers=workers,
    )
