"""Ejection of workers because of the outcomes of their tasks.

A failure counts against the worker unless the task or its job fails on other
workers too. Such evidence often arrives after the failure, so each outcome of
a job re-evaluates the workers on which the job failed.
"""

import collections.abc
import math

from chestnuttide import model
from chestnuttide.placement import _index
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _state

# Number of jobs whose outcomes are kept; the least recently reported job is
# dropped first.
TRACKED_JOBS = 4_096

# Number of failed tasks that are kept per job.
TRACKED_TASKS = 64

# Number of workers that are kept per job. Each outcome of the job
# re-evaluates all of them, so more would make a burst of failures expensive.
TRACKED_WORKERS = 4

# Number of failed tasks that are kept per worker, as a multiple of the number
# that ejects it; some of them may turn out to be caused by their jobs.
TRACKED_FAILURES_FACTOR = 4


def record_outcome(
    cell: _state.Cell,
    *,
    worker_id: str,
    task: _state.TaskKey,
    succeeded: bool,
    now: float,
) -> None:
    """Record the outcome of a task; may eject or readmit workers.

    Parameters
    ----------
    cell : Cell
        The cell.
    worker_id : str
        Worker that ran the task; an unknown worker is ignored.
    task : tuple of str and int
        Job id and index of the task.
    succeeded : bool
        Whether it succeeded. Stopped and expired attempts are not outcomes
        and must not be recorded.
    now : float
        Time in seconds.
    """
    cell.now = max(cell.now, now)
    worker = cell.workers.get(worker_id)
    if worker is None:
        return
    job = _job_outcomes(cell, task[0])
    if succeeded:
        _record_success(cell, worker, job, task)
    else:
        _record_failure(cell, worker, job, task)
    if not succeeded:
        _update_ejection(cell, worker)
    for other_id in list(job.failed_on):
        other = cell.workers.get(other_id)
        if other is not None and other is not worker:
            _update_ejection(cell, other)


def is_ejected(cell: _state.Cell, worker_id: str) -> bool:
    """Return whether a worker is ejected, also while it runs a probe."""
    return worker_id in cell.ejected


def open_probes(cell: _state.Cell, now: float) -> None:
    """Allow one probe on each worker whose ejection time has passed."""
    cell.now = max(cell.now, now)
    if now < cell.next_probe:
        return
    cell.next_probe = math.inf
    for worker_id in list(cell.ejected):
        worker = cell.workers[worker_id]
        if worker.probing:
            continue
        if worker.probe_at <= now:
            worker.probing = True
            _reindex(cell, worker)
        else:
            cell.next_probe = min(cell.next_probe, worker.probe_at)


def record_start(worker: _state.Worker, attempt: model.Attempt) -> None:
    """Record the start of an attempt, the probe if the worker is ejected."""
    if worker.ejected and worker.probing and worker.probe is None:
        worker.probe = attempt
        worker.probe_task = (attempt.job_id, attempt.index)


def record_end(worker: _state.Worker, attempt: model.Attempt) -> None:
    """Record that an attempt no longer runs on a worker."""
    if worker.probe == attempt:
        worker.probe = None


def clear_outcomes(cell: _state.Cell, worker: _state.Worker) -> None:
    """Drop the outcomes of a worker that is no longer live."""
    worker.recent_failures.clear()
    if worker.ejected:
        _readmit(cell, worker)


def enforce_ejection_limit(cell: _state.Cell) -> None:
    """Readmit the longest-ejected workers while too many are ejected."""
    while len(cell.ejected) > ejection_limit(cell):
        _readmit(cell, cell.workers[next(iter(cell.ejected))])


def ejection_limit(cell: _state.Cell) -> int:
    """Return how many workers may be ejected at once."""
    return int(cell.live_count * cell.limits.eject_share)


def _job_outcomes(cell: _state.Cell, job_id: str) -> _state.JobOutcomes:
    job = cell.outcomes.pop(job_id, None)
    if job is None:
        job = _state.JobOutcomes()
        if len(cell.outcomes) >= TRACKED_JOBS:
            del cell.outcomes[next(iter(cell.outcomes))]
    cell.outcomes[job_id] = job
    return job


def _record_success(
    cell: _state.Cell,
    worker: _state.Worker,
    job: _state.JobOutcomes,
    task: _state.TaskKey,
) -> None:
    if not worker.ejected:
        worker.recent_failures.clear()
    if len(job.succeeded_on) < TRACKED_WORKERS:
        job.succeeded_on[worker.worker_id] = None
    if task[1] in job.failed_tasks:
        job.recovered_tasks.add(task[1])
    if worker.ejected and worker.probing and worker.probe_task == task:
        worker.recent_failures.clear()
        _readmit(cell, worker)


def _record_failure(
    cell: _state.Cell,
    worker: _state.Worker,
    job: _state.JobOutcomes,
    task: _state.TaskKey,
) -> None:
    worker_id = worker.worker_id
    worker.recent_failures.pop(task, None)
    worker.recent_failures[task] = None
    if (
        len(worker.recent_failures)
        > TRACKED_FAILURES_FACTOR * cell.limits.eject_failures
    ):
        del worker.recent_failures[next(iter(worker.recent_failures))]
    if len(job.failed_on) < TRACKED_WORKERS:
        job.failed_on[worker_id] = None
    if task[1] in job.failed_tasks:
        job.failed_tasks[task[1]].add(worker_id)
    elif len(job.failed_tasks) < TRACKED_TASKS:
        job.failed_tasks[task[1]] = {worker_id}
    if worker.ejected and worker.probing and worker.probe_task == task:
        worker.probe_task = None
        if _is_worker_fault(cell, worker_id, task):
            worker.probing = False
            worker.probe_at = cell.now + cell.limits.eject_s
            cell.next_probe = min(cell.next_probe, worker.probe_at)
            _reindex(cell, worker)


def _is_worker_fault(
    cell: _state.Cell, worker_id: str, task: _state.TaskKey
) -> bool:
    """Return whether the failure of a task is attributed to its worker."""
    job = cell.outcomes.get(task[0])
    if job is None or task[1] in job.recovered_tasks:
        return True
    if _failed_elsewhere(cell, worker_id, job.failed_tasks.get(task[1], ())):
        return False
    if any(other != worker_id for other in job.succeeded_on):
        return True
    return not _failed_elsewhere(cell, worker_id, job.failed_on)


def _failed_elsewhere(
    cell: _state.Cell,
    worker_id: str,
    failed_on: collections.abc.Iterable[str],
) -> bool:
    """Return whether `failed_on` names another worker that is not ejected."""
    return any(
        other != worker_id and other not in cell.ejected for other in failed_on
    )


def _update_ejection(cell: _state.Cell, worker: _state.Worker) -> None:
    """Eject or readmit a worker by the failures attributed to it."""
    threshold = cell.limits.eject_failures
    if len(worker.recent_failures) < threshold:
        return
    faults = 0
    for task in worker.recent_failures:
        if _is_worker_fault(cell, worker.worker_id, task):
            faults += 1
            if faults == threshold:
                break
    if worker.ejected:
        if faults < threshold:
            _readmit(cell, worker)
    elif (
        faults >= threshold
        and worker.state is model.InstanceState.LIVE
        and len(cell.ejected) < ejection_limit(cell)
    ):
        worker.ejected = True
        worker.ejected_since = cell.now
        worker.probe_at = cell.now + cell.limits.eject_s
        cell.ejected[worker.worker_id] = None
        cell.next_probe = min(cell.next_probe, worker.probe_at)
        _reindex(cell, worker)


def _readmit(cell: _state.Cell, worker: _state.Worker) -> None:
    worker.ejected = False
    worker.probing = False
    worker.probe = None
    worker.probe_task = None
    worker.probe_at = math.inf
    cell.ejected.pop(worker.worker_id, None)
    _reindex(cell, worker)


def _reindex(cell: _state.Cell, worker: _state.Worker) -> None:
    _index.refresh(cell, worker)
    _reclaim.refresh(cell, worker)
