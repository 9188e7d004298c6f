"""Why tasks that are ready to start wait, for operators."""

import collections
import collections.abc
import enum
import typing

from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _planning
from chestnuttide.workloads import _state
from chestnuttide.workloads import _units


class WaitReason(enum.StrEnum):
    """What a task that is ready to start waits for.

    ADVICE is a ticket of a usable worker, TRIAL a worker on which a suspected
    task may start, VERDICT the confirmation that its workers have crashed, CAP
    room under the part of its workspace's cap that the service holds, SHARE
    its turn after workspaces that are not over their share, DELAY the end of
    its pause after a failure, CAPACITY free capacity or its turn in the next
    planning round, and BACKLOG earlier occurrences of its job, or the end of
    some of the many tasks of its job that run. Tasks are counted by these,
    the `COUNTED_REASONS`.

    For a single task, `_waiting_tasks` tells more: TICKET is a ticket of a
    worker that is allowed, LENT a part of the cap that is held by a service
    whose owner is silent, WORKER a worker with room that is not usable at
    present, RESERVED room that is kept for other work, TURN the next planning
    round although there is room, RECORD the storing of its run, START the
    sending of its start, UNCERTAIN the outcome of a run on a worker that does
    not answer, SET_ASIDE its job, which is left out after a fault, and NO_RUN
    a run that is missing.
    """

    ADVICE = "advice"
    TRIAL = "trial"
    VERDICT = "verdict"
    CAP = "cap"
    SHARE = "share"
    DELAY = "delay"
    CAPACITY = "capacity"
    BACKLOG = "backlog"
    TICKET = "ticket"
    LENT = "lent"
    WORKER = "worker"
    RESERVED = "reserved"
    TURN = "turn"
    RECORD = "record"
    START = "start"
    UNCERTAIN = "uncertain"
    SET_ASIDE = "set_aside"
    NO_RUN = "no_run"


COUNTED_REASONS: typing.Final = (
    WaitReason.ADVICE,
    WaitReason.TRIAL,
    WaitReason.VERDICT,
    WaitReason.CAP,
    WaitReason.SHARE,
    WaitReason.DELAY,
    WaitReason.CAPACITY,
    WaitReason.BACKLOG,
)


def count_waiting_tasks(
    pool: _state.Pool, *, now: float
) -> collections.Counter[tuple[str, WaitReason]]:
    """Return how many tasks wait, by the queue's name and the reason."""
    return _count(pool, now, lambda job: job.spec.queue.name)


def count_by_workspace(
    pool: _state.Pool, *, now: float
) -> collections.Counter[tuple[str, WaitReason]]:
    """Return how many tasks wait, by workspace and the reason."""
    return _count(pool, now, lambda job: job.spec.workspace)


def explain_wait(
    pool: _state.Pool, job: _state.Job, *, now: float
) -> collections.Counter[WaitReason]:
    """Return how many tasks of a job wait, by the reason."""
    if job.state in _state.TERMINAL_STATES:
        return collections.Counter()
    return _count_job(pool, job, _usable_workers(pool, now), now)


def _count(
    pool: _state.Pool,
    now: float,
    name_of: collections.abc.Callable[[_state.Job], str],
) -> collections.Counter[tuple[str, WaitReason]]:
    usable = _usable_workers(pool, now)
    counts: collections.Counter[tuple[str, WaitReason]] = collections.Counter()
    for job in pool.active.values():
        name = name_of(job)
        for reason, tasks in _count_job(pool, job, usable, now).items():
            counts[(name, reason)] += tasks
    return counts


def _usable_workers(pool: _state.Pool, now: float) -> set[str]:
    return {
        key
        for key, worker in pool.workers.items()
        if _planning.is_usable(worker, now)
    }


def _count_job(
    pool: _state.Pool, job: _state.Job, usable: set[str], now: float
) -> collections.Counter[WaitReason]:
    counts: collections.Counter[WaitReason] = collections.Counter()
    for key, progress in job.steps.items():
        if not progress.waiting:
            continue
        if not _units.is_step_ready(job, *key):
            continue
        other = WaitReason.CAPACITY
        if not _has_ticket(job, key, usable, now):
            other = WaitReason.ADVICE
        elif job.spec.workspace in pool.over_share:
            other = WaitReason.SHARE
        for unit in _units.step_units(job, *key):
            if unit.state == _state.UnitState.WAITING:
                reason = _crash_reason(unit) or other
                if unit.not_before > now and reason == other:
                    reason = WaitReason.DELAY
                if unit in pool.capped_units:
                    reason = WaitReason.CAP
                counts[reason] += len(unit.indexes)
        uncreated = _units.count_uncreated_tasks(job, *key)
        if uncreated:
            full = job.spec.id in pool.full_records
            counts[WaitReason.BACKLOG if full else other] += uncreated
    if job.occurrences_held:
        tasks = sum(step.count for step in job.spec.steps)
        counts[WaitReason.BACKLOG] += job.occurrences_held * tasks
    return counts


def _crash_reason(unit: _state.Unit) -> WaitReason | None:
    if not _crashes.may_start(unit):
        return WaitReason.VERDICT
    return WaitReason.TRIAL if _crashes.is_suspect(unit) else None


def _has_ticket(
    job: _state.Job, key: tuple[int, int], usable: set[str], now: float
) -> bool:
    """Return whether a usable worker may run a step's tasks now."""
    if job.spec.queue.advice is None:
        return True
    advice = job.advice.get(key)
    return advice is not None and any(
        worker in usable and until > now
        for worker, (_, until) in advice.tickets.items()
    )
