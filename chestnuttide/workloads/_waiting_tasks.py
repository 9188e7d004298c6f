"""Which tasks wait longest, and what each of them waits for.

A report covers few tasks and is made every few seconds, so it works out again
what a planning round decides without a record.
"""

import collections
import collections.abc
import functools
import heapq
import typing

import attrs

from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _poll_replies
from chestnuttide.workloads import _room
from chestnuttide.workloads import _round_history
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _units
from chestnuttide.workloads import _waiting

# Wait after which a task that does not last is reported. The platform treats
# work that waits for so long although there is free capacity as lost.
LONG_WAIT_S: typing.Final = 3.0

# Tasks in a report: as many that last, and as many others.
MAX_REPORTED: typing.Final = 20

_Reason: typing.TypeAlias = tuple[_waiting.WaitReason, str]


@attrs.frozen(kw_only=True, slots=True)
class CapWait:
    """What is known of a cap for which tasks of a workspace wait.

    Attributes
    ----------
    head_key : object
        The unit that waits first, see `workspaces.PutOff`; None for none.
    silent : str
        Parts that services hold whose owners are silent; empty for none.
    parts : str
        Parts of the cap that the service may use.
    """

    head_key: object = None
    silent: str = ""
    parts: str = ""


@attrs.frozen(kw_only=True, slots=True)
class WaitingTask:
    """A task that waits.

    Attributes
    ----------
    task : str
        Name of the task; of the first member of a gang.
    seconds : float
        Time since it is ready to start and has no run that is known to run.
    reason : WaitReason
        What it waits for.
    detail : str
        What that follows from.
    later_starts : int
        Starts that were planned since, of jobs accepted later; see
        `_round_history.count_later_starts`.
    """

    task: str
    seconds: float
    reason: _waiting.WaitReason
    detail: str
    later_starts: int


@attrs.frozen(kw_only=True, slots=True)
class WaitingTasks:
    """The tasks that wait longest: those that last, and others."""

    lasting: tuple[WaitingTask, ...]
    others: tuple[WaitingTask, ...]


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Idle:
    """A unit without a run that is known to run."""

    job: _state.Job
    unit: _state.Unit
    since: float

    @property
    def step(self) -> _specs.StepSpec:
        """The unit's step."""
        return _lifecycle.step_of(self.unit, self.job)


def list_waiting_tasks(
    pool: _state.Pool,
    jobs: collections.abc.Iterable[_state.Job],
    *,
    now: float,
    caps: collections.abc.Mapping[str, CapWait] | None = None,
    min_wait_s: float = LONG_WAIT_S,
) -> WaitingTasks:
    """Return what the tasks that wait longest wait for.

    Parameters
    ----------
    pool : Pool
        The pool.
    jobs : iterable of Job
        Jobs that have not ended, also those that are set aside.
    now : float
        Monotonic time.
    caps : mapping of str to CapWait or None
        What is known of the caps of workspaces, by name.
    min_wait_s : float
        Shortest wait of a task that does not last, in seconds.
    """
    lasting, others = [], []
    for idle in _list_idle(pool, jobs, now):
        if idle.step.lasting:
            lasting.append(idle)
        elif now - idle.since >= min_wait_s:
            others.append(idle)
    workers = _room.list_workers(pool, now)
    explain = functools.partial(_explain, pool, workers, caps or {}, now)
    return WaitingTasks(
        lasting=tuple(map(explain, _take_longest(lasting))),
        others=tuple(map(explain, _take_longest(others))),
    )


def longest_lasting_wait_s(
    pool: _state.Pool,
    jobs: collections.abc.Iterable[_state.Job],
    *,
    now: float,
) -> float:
    """Return how long the tasks that last have waited at most."""
    waits = (
        now - idle.since
        for idle in _list_idle(
            pool, (job for job in jobs if job.is_long_running), now
        )
        if idle.step.lasting
    )
    return max(waits, default=0.0)


def _take_longest(idle: list[_Idle]) -> list[_Idle]:
    longest = _order(idle)
    return _order([*longest, *_create_alike(longest)])


def _order(idle: list[_Idle]) -> list[_Idle]:
    return heapq.nsmallest(MAX_REPORTED, idle, key=lambda each: each.since)


def _create_alike(longest: list[_Idle]) -> list[_Idle]:
    """Create units that have waited for as long as others of their steps."""
    # Units without a run so far have all waited since their step was ready.
    steps = {
        (each.job.spec.id, *each.unit.key[:2]): each
        for each in longest
        if not each.unit.last_run
    }
    created = []
    for (_, *key), idle in steps.items():
        while len(idle.job.steps[tuple(key)].units) < MAX_REPORTED:
            unit = _units.create_next_unit(idle.job, *key)
            if unit is None:
                break
            created.append(attrs.evolve(idle, unit=unit))
    return created


def _list_idle(
    pool: _state.Pool, jobs: collections.abc.Iterable[_state.Job], now: float
) -> collections.abc.Iterator[_Idle]:
    for job in jobs:
        for key, progress in job.steps.items():
            if progress.done == progress.total:
                continue
            if not _units.is_step_ready(job, *key):
                continue
            ready_at = max(
                (
                    job.steps[(key[0], each)].done_at
                    for each in job.spec.steps[key[1]].after
                ),
                default=0.0,
            )
            for unit in _units.step_units(job, *key):
                since = _find_idle_since(pool, unit)
                if since is not None:
                    since = min(now, max(since, ready_at))
                    yield _Idle(job=job, unit=unit, since=since)


def _find_idle_since(pool: _state.Pool, unit: _state.Unit) -> float | None:
    """Return since when a unit has no run that is known to run, or None."""
    if unit.state == _state.UnitState.WAITING:
        return unit.idle_since
    if unit.state != _state.UnitState.ACTIVE:
        return None
    if not unit.runs:
        return unit.idle_since
    answered = []
    for run in unit.runs:
        if run.phase != _state.Phase.RUNNING:
            return unit.idle_since
        worker = pool.workers.get(run.worker_key)
        if worker is None:
            return run.confirmed_at
        if worker.failed_polls or not worker.listed:
            answered.append(max(worker.last_reply_at, run.confirmed_at))
    return min(answered, default=None)


def _explain(
    pool: _state.Pool,
    workers: _room.Workers,
    caps: collections.abc.Mapping[str, CapWait],
    now: float,
    idle: _Idle,
) -> WaitingTask:
    job, unit = idle.job, idle.unit
    if job.spec.id not in pool.active:
        reason, detail = (
            _waiting.WaitReason.SET_ASIDE,
            "its job is set aside after a fault",
        )
    elif unit.state == _state.UnitState.ACTIVE:
        reason, detail = _explain_active(pool, job, unit, now)
    else:
        reason, detail = _explain_waiting(pool, workers, caps, now, idle)
    occurrence, number, _ = unit.key
    return WaitingTask(
        task=f"{job.spec.id}.{occurrence}.{number}.{unit.indexes[0]}",
        seconds=round(now - idle.since, 2),
        reason=reason,
        detail=detail,
        later_starts=_round_history.count_later_starts(
            pool.rounds,
            since=idle.since,
            accepted_unix_s=job.spec.accepted_unix_s,
        ),
    )


def _explain_active(
    pool: _state.Pool, job: _state.Job, unit: _state.Unit, now: float
) -> _Reason:
    """Return why a unit with planned or started runs does not run."""
    reasons = _waiting.WaitReason
    run = next(
        (each for each in unit.runs if each.phase != _state.Phase.RUNNING),
        None,
    )
    if run is None:
        run = next(
            (each for each in unit.runs if _is_silent(pool, each)), None
        )
    if run is None:
        return reasons.NO_RUN, "active without a run"
    name = f"run {run.number} on {run.worker_key}"
    if run.phase == _state.Phase.PLANNED:
        if not job.accepted:
            return reasons.RECORD, f"{name}: its job is not stored"
        if not run.recorded:
            return reasons.RECORD, f"{name}: its record is not stored"
        return reasons.START, f"{name}: recorded, start not sent"
    worker = pool.workers.get(run.worker_key)
    if worker is None:
        return reasons.UNCERTAIN, f"{name}: the worker is unknown"
    what = f"start sent {now - run.start_sent_at:.2f} s ago, no answer"
    if run.phase == _state.Phase.RUNNING:
        what = "worker silent"
    elif not run.start_sent_at:
        what = "started by a former owner, not listed yet"
    polled = f"last reply {now - worker.last_reply_at:.2f} s ago"
    if not worker.last_reply_at:
        polled = "no reply yet"
    lease_s = _poll_replies.lease_end(worker, run) - now
    return (
        reasons.UNCERTAIN,
        f"{name}: {what}; {polled}; its lease runs for {lease_s:.2f} s",
    )


def _is_silent(pool: _state.Pool, run: _state.Run) -> bool:
    worker = pool.workers.get(run.worker_key)
    return worker is None or worker.failed_polls > 0 or not worker.listed


def _explain_waiting(
    pool: _state.Pool,
    workers: _room.Workers,
    caps: collections.abc.Mapping[str, CapWait],
    now: float,
    idle: _Idle,
) -> _Reason:
    """Return why a unit without runs is not planned."""
    reasons, unit = _waiting.WaitReason, idle.unit
    if not _crashes.may_start(unit):
        return reasons.VERDICT, f"{len(unit.crashes)} crashes"
    if unit.not_before > now:
        return reasons.DELAY, f"for {unit.not_before - now:.2f} s"
    if not workers.usable_count:
        return reasons.WORKER, f"none is usable: {workers.unusable_counts}"
    if unit in pool.capped_units:
        return _explain_cap(idle, caps)
    reason, detail = _explain_advice(pool, workers, now, idle)
    if _crashes.is_suspect(unit):
        risk = _crashes.trial_risk(unit)
        return (
            reasons.TRIAL,
            f"risk {risk:.2f} after {len(unit.crashes)} crashes;"
            f" {reason}: {detail}",
        )
    return reason, detail


def _explain_cap(
    idle: _Idle, caps: collections.abc.Mapping[str, CapWait]
) -> _Reason:
    cap = caps.get(idle.job.spec.workspace, CapWait())
    if cap.silent:
        return _waiting.WaitReason.LENT, cap.silent
    detail = f"may use {cap.parts} thousandths"
    key = (idle.job.spec.id, idle.unit.key)
    if cap.head_key is not None and cap.head_key != key:
        detail += f"; behind {cap.head_key}"
    return _waiting.WaitReason.CAP, detail


def _explain_advice(
    pool: _state.Pool, workers: _room.Workers, now: float, idle: _Idle
) -> _Reason:
    """Return what a unit waits for: advice, a ticket or room."""
    reasons, job, step = _waiting.WaitReason, idle.job, idle.step
    find_room = functools.partial(_find_room, pool, now, idle)
    if job.spec.queue.advice is None:
        return find_room(workers)
    advice = job.advice.get(idle.unit.key[:2], _state.StepAdvice())
    asked = "no query in flight"
    if advice.in_flight:
        asked = f"query about {len(advice.in_flight)} workers in flight"
    elif advice.retry_at > now:
        asked = f"query failed, next in {advice.retry_at - now:.2f} s"
    asked += f", {len(advice.allowed)} workers assessed"
    allowed = [key for key, good in advice.allowed.items() if good]
    valid = [key for key, (_, until) in advice.tickets.items() if until > now]
    for keys, what in ((valid, "with a ticket"), (allowed, "allowed")):
        chosen = _room.choose(workers, keys)
        if not keys or (what == "with a ticket" and not chosen.usable_count):
            continue
        reason, detail = find_room(chosen)
        if reason == reasons.TURN and what == "allowed":
            return reasons.TICKET, f"{detail}; {asked}"
        return reason, f"{len(keys)} workers {what}: {detail}; {asked}"
    if advice.tickets:
        return reasons.TICKET, f"expired; {asked}"
    suited = _room.count_suited(workers, step)
    if not suited and not advice.in_flight:
        return reasons.CAPACITY, f"of {workers.usable_count} none is suited"
    if advice.allowed:
        return reasons.ADVICE, f"none is allowed; {asked}"
    return reasons.ADVICE, f"of {suited} suited workers; {asked}"


def _find_room(
    pool: _state.Pool, now: float, idle: _Idle, workers: _room.Workers
) -> _Reason:
    """Return why a unit does not start on any of some workers."""
    reasons, job, step = _waiting.WaitReason, idle.job, idle.step
    need = _state.allocated_need(step)
    fitting = _room.find_fitting(
        workers, step, (job.spec.id, *idle.unit.key[:2])
    )
    if not fitting.usable:
        if fitting.unusable:
            causes = _room.count_unusable(pool, fitting.unusable, now)
            return reasons.WORKER, f"room on unusable workers: {causes}"
        detail = (
            f"of {workers.usable_count} usable workers"
            f" {_room.count_suited(workers, step)} are suited, none has room"
        )
        workspace = job.spec.workspace
        if workspace in pool.over_share:
            return reasons.SHARE, f"{workspace} is over its share; {detail}"
        return reasons.CAPACITY, detail
    if _crashes.is_suspect(idle.unit):
        return reasons.TURN, f"{len(fitting.usable)} workers have room"
    if not fitting.unkept:
        return reasons.RESERVED, "room only on workers kept for trials"
    free = _room.find_free(workers, fitting, job.spec.id)
    if not free:
        holders = _room.list_holders(pool, fitting.unkept)
        return (
            reasons.RESERVED,
            f"room on {len(fitting.unkept)} workers is reserved for {holders}",
        )
    members = 1
    if step.gang:
        members = sum(_room.count_members(each, step) for each in free)
    if members < len(idle.unit.indexes):
        return (
            reasons.CAPACITY,
            f"room for {members} of {len(idle.unit.indexes)} members",
        )
    if (
        not step.lasting
        and job.spec.queue.priority > pool.top_priority
        and pool.rounds.spare_cpu_millis < need.cpu_millis
    ):
        return reasons.RESERVED, "processors are kept for urgent work"
    planned_s = now - pool.rounds.planned_at
    return (
        reasons.TURN,
        f"{len(free)} workers have room; last round {planned_s:.2f} s ago",
    )
