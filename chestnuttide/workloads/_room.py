"""Which workers have room for a task between planning rounds, for reports."""

import collections
import collections.abc
import typing

import attrs

from chestnuttide import model
from chestnuttide.workloads import _planning
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _trials

# Need and label of a task.
_Shape: typing.TypeAlias = tuple[model.Resources, str]

# Jobs that are named in a report as holders of reserved room.
_MAX_HOLDERS = 3


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Fitting:
    """Workers with room for a task.

    Attributes
    ----------
    unusable : list of Worker
        Those on which no run may be placed at present.
    usable : list of Worker
        Those on which runs may be placed.
    unkept : list of Worker
        Those among them that are not kept for trials.
    free : list of Worker
        Those among them where the room is not reserved.
    """

    unusable: list[_state.Worker]
    usable: list[_state.Worker]
    unkept: list[_state.Worker]
    free: list[_state.Worker]


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Row:
    """A worker with its free capacity, without and with what is reserved."""

    worker: _state.Worker
    room: model.Resources
    unreserved: model.Resources
    is_usable: bool
    is_kept: bool


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Workers:
    """Listed workers, as a report considers them.

    Attributes
    ----------
    rows : dict of str to _Row
        The workers by key.
    usable_count : int
        Number of those on which new runs may be placed.
    unusable_counts : str
        Number of the others by the cause.
    sole_holders : dict of str to str
        Job for which alone room is reserved, by worker.
    suited, fitting : dict of (Resources, str) to int or Fitting
        What the report has worked out, by need and label.
    """

    rows: dict[str, _Row]
    usable_count: int
    unusable_counts: str
    sole_holders: dict[str, str]
    suited: dict[_Shape, int] = attrs.field(factory=dict)
    fitting: dict[_Shape, Fitting] = attrs.field(factory=dict)


def list_workers(pool: _state.Pool, now: float) -> Workers:
    """Return all listed workers."""
    rows: dict[str, _Row] = {}
    unusable = []
    for worker in pool.workers.values():
        if not worker.listed:
            continue
        cause = _unusable_cause(pool, worker, now)
        if cause:
            unusable.append(worker)
        room = model.subtract(worker.report.capacity, worker.used)
        reserved = pool.rounds.reserved.get(worker.key)
        rows[worker.key] = _Row(
            worker=worker,
            room=room,
            unreserved=model.subtract(room, reserved) if reserved else room,
            is_usable=not cause,
            is_kept=_trials.is_taken(worker, now),
        )
    return Workers(
        rows=rows,
        usable_count=len(rows) - len(unusable),
        unusable_counts=count_unusable(pool, unusable, now),
        sole_holders={
            key: next(iter(jobs))
            for key, jobs in pool.rounds.holders.items()
            if len(jobs) == 1
        },
    )


def choose(workers: Workers, keys: collections.abc.Iterable[str]) -> Workers:
    """Return the workers with some keys."""
    rows = {key: workers.rows[key] for key in keys if key in workers.rows}
    return Workers(
        rows=rows,
        usable_count=sum(row.is_usable for row in rows.values()),
        unusable_counts=workers.unusable_counts,
        sole_holders=workers.sole_holders,
    )


def _unusable_cause(
    pool: _state.Pool, worker: _state.Worker, now: float
) -> str:
    """Return why no run may be placed on a worker; "" if one may."""
    if worker.key in pool.unknown_runs:
        return "unknown runs"
    if _planning.is_usable(worker, now):
        return ""
    if worker.report.draining:
        return "draining"
    if worker.failed_polls:
        return "silent"
    if not worker.last_reply_at:
        return "not polled"
    return "quarantined"


def count_unusable(
    pool: _state.Pool,
    workers: collections.abc.Iterable[_state.Worker],
    now: float,
) -> str:
    """Return how many workers are not usable, by the cause."""
    counts = collections.Counter(
        _unusable_cause(pool, worker, now) for worker in workers
    )
    return ", ".join(f"{count} {cause}" for cause, count in counts.items())


def find_fitting(
    workers: Workers,
    step: _specs.StepSpec,
    step_runs_key: tuple[str, int, int],
) -> Fitting:
    """Return the workers with room for a task of a step."""
    shape = _state.allocated_need(step), step.label
    fitting = workers.fitting.get(shape)
    if fitting is None:
        fitting = workers.fitting[shape] = _find_fitting(workers, *shape)
    if not step.spread_limit:
        return fitting

    def takes_more(worker: _state.Worker) -> bool:
        return worker.step_runs.get(step_runs_key, 0) < step.spread_limit

    return Fitting(
        unusable=list(filter(takes_more, fitting.unusable)),
        usable=list(filter(takes_more, fitting.usable)),
        unkept=list(filter(takes_more, fitting.unkept)),
        free=list(filter(takes_more, fitting.free)),
    )


def _find_fitting(
    workers: Workers, need: model.Resources, label: str
) -> Fitting:
    rows = [
        row
        for row in workers.rows.values()
        if model.fits(need, row.room)
        and (not label or label in row.worker.report.labels)
    ]
    usable = [row for row in rows if row.is_usable]
    unkept = [row for row in usable if not row.is_kept]
    return Fitting(
        unusable=[row.worker for row in rows if not row.is_usable],
        usable=[row.worker for row in usable],
        unkept=[row.worker for row in unkept],
        free=[
            row.worker for row in unkept if model.fits(need, row.unreserved)
        ],
    )


def count_suited(workers: Workers, step: _specs.StepSpec) -> int:
    """Return how many usable workers could run a task when empty."""
    shape = need, label = _state.allocated_need(step), step.label
    if shape not in workers.suited:
        workers.suited[shape] = sum(
            row.is_usable
            and model.fits(need, row.worker.report.capacity)
            and (not label or label in row.worker.report.labels)
            for row in workers.rows.values()
        )
    return workers.suited[shape]


def find_free(
    workers: Workers, fitting: Fitting, job_id: str
) -> list[_state.Worker]:
    """Return the workers whose room is not reserved for other jobs."""
    if fitting.free:
        return fitting.free
    return [
        worker
        for worker in fitting.unkept
        if workers.sole_holders.get(worker.key) == job_id
    ]


def list_holders(
    pool: _state.Pool, workers: collections.abc.Iterable[_state.Worker]
) -> str:
    """Return some of the jobs for which room of workers is reserved."""
    holders: set[str] = set()
    for worker in workers:
        holders |= pool.rounds.holders.get(worker.key, set())
        if len(holders) > _MAX_HOLDERS:
            break
    names = sorted(holders)
    more = ", ..." if len(names) > _MAX_HOLDERS else ""
    return ", ".join(names[:_MAX_HOLDERS]) + more


def count_members(worker: _state.Worker, step: _specs.StepSpec) -> int:
    """Return how many tasks of a step have room on a worker."""
    need, capacity = _state.allocated_need(step), worker.report.capacity
    counts = [step.count]
    if step.spread_limit:
        counts.append(step.spread_limit)
    for wanted, whole, used in (
        (need.cpu_millis, capacity.cpu_millis, worker.used.cpu_millis),
        (need.memory_mb, capacity.memory_mb, worker.used.memory_mb),
        (need.accelerators, capacity.accelerators, worker.used.accelerators),
    ):
        if wanted:
            counts.append((whole - used) // wanted)
    return min(counts)
