"""Units of jobs: which occurrences are open, and which units exist.

A job may state a billion occurrences and 20,000 tasks in each. What an owner
holds of it, and visits in each planning round, follows what runs or can run
next: an occurrence is released while little of its job waits, a unit is
created once planning reaches it, and both are dropped when they are done.
"""

import collections.abc
import typing

from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# Units of an occurrence that are created at its release. Most jobs are not
# larger; the units of others are created by planning.
EAGER_UNITS: typing.Final = 20

# Units of a step that are done are dropped once there are so many of them, so
# that a unit costs a constant time on average.
KEPT_DONE_UNITS: typing.Final = 64

# No further occurrence of a job is released while so many of its tasks are
# ready and wait: its turn would come after theirs. A round visits all that
# wait.
MAX_READY_TASKS: typing.Final = 16

# An occurrence that is released later than this is part of a backlog.
OVERDUE_S: typing.Final = 10.0

# Open occurrences of a job beyond which no backlog is released while the
# service is busy. The other half of the service is left to its other callers.
MAX_BACKLOG_OCCURRENCES: typing.Final = 8


def release_due_occurrences(
    pool: _state.Pool,
    job: _state.Job,
    now_unix_s: float,
    now: float | None = None,
) -> None:
    """Open the occurrences that are due and can run next, in their order.

    Parameters
    ----------
    pool : Pool
        The pool.
    job : Job
        The job.
    now_unix_s : float
        Wall time.
    now : float or None
        Monotonic time from which the units wait; None for the time at which
        this owner learned of the job.
    """
    idle_since = job.accepted_at if now is None else now
    due = _count_due(job.spec, now_unix_s)
    ready = 0
    if job.occurrences_due < due and job.open_occurrences:
        ready = _count_ready_tasks(job)
    while job.occurrences_due < due:
        if job.open_occurrences and (
            ready >= MAX_READY_TASKS
            or (
                pool.rounds.busy
                and len(job.open_occurrences) >= MAX_BACKLOG_OCCURRENCES
                and _is_overdue(job, now_unix_s)
            )
        ):
            break
        occurrence = job.occurrences_due
        job.occurrences_due += 1
        open_occurrence(job, occurrence, idle_since=idle_since)
        ready += sum(step.count for step in job.spec.steps if not step.after)
    job.occurrences_held = due - job.occurrences_due


def _count_due(spec: _specs.JobSpec, now_unix_s: float) -> int:
    """Return how many occurrences of a job are due."""
    if not spec.occurrences:
        return 1
    elapsed_s = now_unix_s - spec.first_due_unix_s
    if elapsed_s < 0:
        return 0
    if elapsed_s >= (spec.occurrences - 1) * spec.interval_s:
        return spec.occurrences
    due = int(elapsed_s / spec.interval_s)
    # The quotient is rounded, and may be off by one either way.
    while spec.first_due_unix_s + due * spec.interval_s <= now_unix_s:
        due += 1
    while spec.first_due_unix_s + (due - 1) * spec.interval_s > now_unix_s:
        due -= 1
    return due


def _is_overdue(job: _state.Job, now_unix_s: float) -> bool:
    """Return whether the next occurrence to release is part of a backlog."""
    due = job.spec.first_due_unix_s
    due += job.occurrences_due * job.spec.interval_s
    return now_unix_s - due > OVERDUE_S


def _count_ready_tasks(job: _state.Job) -> int:
    """Return how many tasks of a job are ready and wait."""
    tasks = 0
    for key, progress in job.steps.items():
        if progress.waiting and is_step_ready(job, *key):
            step = job.spec.steps[key[1]]
            tasks += progress.waiting * (step.count if step.gang else 1)
    return tasks


def open_occurrence(
    job: _state.Job, occurrence: int, *, idle_since: float
) -> None:
    """Add the steps of an occurrence, with their first units."""
    units_left = EAGER_UNITS
    units = 0
    for number, step in enumerate(job.spec.steps):
        total = 1 if step.gang else step.count
        progress = _state.StepProgress(
            total=total, waiting=total, idle_since=idle_since
        )
        job.steps[(occurrence, number)] = progress
        for _ in range(min(units_left, total)):
            create_next_unit(job, occurrence, number)
            units_left -= 1
        units += total
    job.open_occurrences[occurrence] = units


def create_next_unit(
    job: _state.Job, occurrence: int, number: int
) -> _state.Unit | None:
    """Create the first unit of a step that never existed; None if all have."""
    progress = job.steps[(occurrence, number)]
    if progress.created == progress.total:
        return None
    index = progress.created
    progress.created += 1
    step = job.spec.steps[number]
    unit = _state.Unit(
        key=(occurrence, number, index),
        indexes=tuple(range(step.count)) if step.gang else (index,),
        idle_since=progress.idle_since,
    )
    progress.units[index] = job.units[unit.key] = unit
    return unit


def count_uncreated_tasks(
    job: _state.Job, occurrence: int, number: int
) -> int:
    """Return how many tasks of a step have no unit yet; all of them wait."""
    progress = job.steps[(occurrence, number)]
    step = job.spec.steps[number]
    left = progress.total - progress.created
    return left * (step.count if step.gang else 1)


def is_step_ready(job: _state.Job, occurrence: int, number: int) -> bool:
    """Return whether all steps that a step depends on are done."""
    for predecessor in job.spec.steps[number].after:
        progress = job.steps[(occurrence, predecessor)]
        if progress.done < progress.total:
            return False
    return True


def step_units(
    job: _state.Job, occurrence: int, number: int
) -> collections.abc.Collection[_state.Unit]:
    """Return the units of a step that exist, at least one if units wait."""
    progress = job.steps[(occurrence, number)]
    if not progress.units:
        create_next_unit(job, occurrence, number)
    return progress.units.values()


def drop_done(job: _state.Job, unit: _state.Unit) -> None:
    """Drop what is no longer needed after a unit or its last run has ended.

    The steps of a job without occurrences stay, as its callers see them.
    """
    if unit.runs:
        return
    occurrence, number, _ = unit.key
    progress = job.steps.get((occurrence, number))
    if progress is None:
        return
    if progress.done - progress.finished.bit_count() >= KEPT_DONE_UNITS:
        _drop_done_units(job, occurrence, number)
    if job.spec.occurrences and not job.open_occurrences[occurrence]:
        _close_occurrence(job, occurrence)


def _drop_done_units(job: _state.Job, occurrence: int, number: int) -> None:
    progress = job.steps[(occurrence, number)]
    for index, unit in list(progress.units.items()):
        if unit.state == _state.UnitState.DONE and not unit.runs:
            progress.finished |= 1 << index
            del progress.units[index]
            del job.units[unit.key]


def _close_occurrence(job: _state.Job, occurrence: int) -> None:
    """Drop an occurrence that is done, unless runs of it are being stopped."""
    keys = [(occurrence, number) for number in range(len(job.spec.steps))]
    if any(
        unit.runs for key in keys for unit in job.steps[key].units.values()
    ):
        return
    for key in keys:
        for unit in job.steps.pop(key).units.values():
            del job.units[unit.key]
        job.advice.pop(key, None)
    del job.open_occurrences[occurrence]


def restore_occurrences(
    job: _state.Job,
    *,
    released: int,
    open_occurrences: collections.abc.Iterable[int],
    finished: collections.abc.Mapping[tuple[int, int], int],
) -> None:
    """Replace a job's occurrences by those of a former owner.

    Parameters
    ----------
    job : Job
        The job; none of its units has runs.
    released : int
        Number of occurrences that were released.
    open_occurrences : iterable of int
        Those that are not done, and perhaps some that are.
    finished : mapping of (int, int) to int
        Bit masks of the units that are done and were dropped, by occurrence
        and step.
    """
    job.units.clear()
    job.steps.clear()
    job.open_occurrences.clear()
    job.occurrences_due = released
    for occurrence in open_occurrences:
        open_occurrence(job, occurrence, idle_since=job.accepted_at)
    for key, mask in finished.items():
        progress = job.steps[key]
        while progress.created < mask.bit_length():
            create_next_unit(job, *key)
        for index in list(progress.units):
            if mask >> index & 1:
                del progress.units[index]
                del job.units[(*key, index)]
        progress.finished = mask
        progress.done += mask.bit_count()
        progress.waiting -= mask.bit_count()
        job.open_occurrences[key[0]] -= mask.bit_count()


def ensure_unit(job: _state.Job, key: _state.UnitKey) -> _state.Unit:
    """Return a unit of an open occurrence, which is created if need be."""
    occurrence, number, index = key
    progress = job.steps[(occurrence, number)]
    while progress.created <= index:
        create_next_unit(job, occurrence, number)
    return progress.units[index]


def drop_restored(job: _state.Job) -> None:
    """Drop what a former release kept of units that are done."""
    for key, progress in list(job.steps.items()):
        if progress.done - progress.finished.bit_count() >= KEPT_DONE_UNITS:
            _drop_done_units(job, *key)
    if job.spec.occurrences:
        for occurrence, left in list(job.open_occurrences.items()):
            if not left:
                _close_occurrence(job, occurrence)
