"""Ejection of workers by the outcomes of their tasks.

A failure counts against the worker unless the task or its job fails on other
workers too. What speaks for a job's own fault often arrives after the
failure, so the workers concerned are judged again on each outcome.
"""

import collections.abc
import math

from chestnuttide import model
from chestnuttide.placement import _index
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _state

# Jobs whose outcomes are remembered; the least recent one is dropped first.
REMEMBERED_JOBS = 4_096

# Failed tasks that are remembered per job.
REMEMBERED_TASKS = 64

# Workers that are remembered per job. Each outcome of the job judges all of
# them, so more would make a burst of failures costly.
REMEMBERED_WORKERS = 4

# Failed tasks that are remembered per worker, as a multiple of those that
# eject it; the rest may turn out to be the jobs' own fault.
SUSPECTS_FACTOR = 4


def record_outcome(
    cell: _state.Cell,
    *,
    worker_id: str,
    task: _state.TaskKey,
    succeeded: bool,
    now: float,
) -> None:
    """Record how a task ended on a worker; may eject or readmit workers.

    Parameters
    ----------
    cell : Cell
        The cell.
    worker_id : str
        Worker that ran the task; an unknown one is ignored.
    task : tuple of str and int
        Job id and index of the task.
    succeeded : bool
        Whether it succeeded. Do not report stopped or lapsed attempts.
    now : float
        Time in seconds.
    """
    cell.now = max(cell.now, now)
    worker = cell.workers.get(worker_id)
    if worker is None:
        return
    job = _remember(cell, task[0])
    if succeeded:
        _note_success(cell, worker, job, task)
    else:
        _note_failure(cell, worker, job, task)
    if not succeeded:
        _judge(cell, worker)
    for other_id in list(job.failed_on):
        other = cell.workers.get(other_id)
        if other is not None and other is not worker:
            _judge(cell, other)


def is_ejected(cell: _state.Cell, worker_id: str) -> bool:
    """Return whether a worker is ejected; one that is probed still is."""
    return worker_id in cell.ejected


def open_probes(cell: _state.Cell, now: float) -> None:
    """Open the ejected workers whose time is over to one task each."""
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
            _file(cell, worker)
        else:
            cell.next_probe = min(cell.next_probe, worker.probe_at)


def note_start(worker: _state.Worker, attempt: model.Attempt) -> None:
    """Note that an attempt starts on a worker, as its probe if ejected."""
    if worker.ejected and worker.probing and worker.probe is None:
        worker.probe = attempt
        worker.probe_task = (attempt.job_id, attempt.index)


def note_end(worker: _state.Worker, attempt: model.Attempt) -> None:
    """Note that an attempt no longer runs on a worker."""
    if worker.probe == attempt:
        worker.probe = None


def forget(cell: _state.Cell, worker: _state.Worker) -> None:
    """Forget the outcomes of a worker that is no longer live."""
    worker.suspects.clear()
    if worker.ejected:
        _readmit(cell, worker)


def enforce_share(cell: _state.Cell) -> None:
    """Readmit the workers ejected longest while too many are ejected."""
    while len(cell.ejected) > allowed(cell):
        _readmit(cell, cell.workers[next(iter(cell.ejected))])


def allowed(cell: _state.Cell) -> int:
    """Return how many workers may be ejected at once."""
    return int(cell.live * cell.limits.eject_share)


def _remember(cell: _state.Cell, job_id: str) -> _state.JobOutcomes:
    job = cell.outcomes.pop(job_id, None)
    if job is None:
        job = _state.JobOutcomes()
        if len(cell.outcomes) >= REMEMBERED_JOBS:
            del cell.outcomes[next(iter(cell.outcomes))]
    cell.outcomes[job_id] = job
    return job


def _note_success(
    cell: _state.Cell,
    worker: _state.Worker,
    job: _state.JobOutcomes,
    task: _state.TaskKey,
) -> None:
    if not worker.ejected:
        worker.suspects.clear()
    if len(job.succeeded_on) < REMEMBERED_WORKERS:
        job.succeeded_on[worker.worker_id] = None
    if task[1] in job.failed_tasks:
        job.cleared_tasks.add(task[1])
    if worker.ejected and worker.probing and worker.probe_task == task:
        worker.suspects.clear()
        _readmit(cell, worker)


def _note_failure(
    cell: _state.Cell,
    worker: _state.Worker,
    job: _state.JobOutcomes,
    task: _state.TaskKey,
) -> None:
    worker_id = worker.worker_id
    worker.suspects.pop(task, None)
    worker.suspects[task] = None
    if len(worker.suspects) > SUSPECTS_FACTOR * cell.limits.eject_failures:
        del worker.suspects[next(iter(worker.suspects))]
    if len(job.failed_on) < REMEMBERED_WORKERS:
        job.failed_on[worker_id] = None
    if task[1] in job.failed_tasks:
        job.failed_tasks[task[1]].add(worker_id)
    elif len(job.failed_tasks) < REMEMBERED_TASKS:
        job.failed_tasks[task[1]] = {worker_id}
    if worker.ejected and worker.probing and worker.probe_task == task:
        worker.probe_task = None
        if _blames(cell, worker_id, task):
            worker.probing = False
            worker.probe_at = cell.now + cell.limits.eject_s
            cell.next_probe = min(cell.next_probe, worker.probe_at)
            _file(cell, worker)


def _blames(cell: _state.Cell, worker_id: str, task: _state.TaskKey) -> bool:
    """Return whether a task's failure speaks against its worker."""
    job = cell.outcomes.get(task[0])
    if job is None or task[1] in job.cleared_tasks:
        return True
    if _others(cell, worker_id, job.failed_tasks.get(task[1], ())):
        return False
    if any(other != worker_id for other in job.succeeded_on):
        return True
    return not _others(cell, worker_id, job.failed_on)


def _others(
    cell: _state.Cell,
    worker_id: str,
    failed_on: collections.abc.Iterable[str],
) -> bool:
    """Return whether work failed on another worker that is not ejected."""
    return any(
        other != worker_id and other not in cell.ejected for other in failed_on
    )


def _judge(cell: _state.Cell, worker: _state.Worker) -> None:
    """Eject or readmit a worker by the failures that speak against it."""
    needed = cell.limits.eject_failures
    if len(worker.suspects) < needed:
        return
    blamed = 0
    for task in worker.suspects:
        if _blames(cell, worker.worker_id, task):
            blamed += 1
            if blamed == needed:
                break
    if worker.ejected:
        if blamed < needed:
            _readmit(cell, worker)
    elif (
        blamed >= needed
        and worker.state is model.InstanceState.LIVE
        and len(cell.ejected) < allowed(cell)
    ):
        worker.ejected = True
        worker.ejected_since = cell.now
        worker.probe_at = cell.now + cell.limits.eject_s
        cell.ejected[worker.worker_id] = None
        cell.next_probe = min(cell.next_probe, worker.probe_at)
        _file(cell, worker)


def _readmit(cell: _state.Cell, worker: _state.Worker) -> None:
    worker.ejected = False
    worker.probing = False
    worker.probe = None
    worker.probe_task = None
    worker.probe_at = math.inf
    cell.ejected.pop(worker.worker_id, None)
    _file(cell, worker)


def _file(cell: _state.Cell, worker: _state.Worker) -> None:
    _index.refresh(cell, worker)
    _reclaim.refresh(cell, worker)
