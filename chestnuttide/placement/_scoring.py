"""Choice of the worker for one task."""

import collections.abc

import attrs

from chestnuttide import model
from chestnuttide.placement import _health
from chestnuttide.placement import _holds
from chestnuttide.placement import _index
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state


@attrs.define(kw_only=True, slots=True)
class SpreadCounts:
    """How many tasks of one job run in each place.

    Attributes
    ----------
    workers : dict of str to int
        Tasks by worker.
    racks : dict of (str, str) to int
        Tasks by data centre and rack.
    data_centres : dict of str to int
        Tasks by data centre.
    """

    workers: dict[str, int] = attrs.field(factory=dict)
    racks: dict[tuple[str, str], int] = attrs.field(factory=dict)
    data_centres: dict[str, int] = attrs.field(factory=dict)


def count_spread(
    cell: _state.Cell, worker_ids: collections.abc.Iterable[str]
) -> SpreadCounts:
    """Return the counts of a job with one task on each listed worker.

    A worker that runs several tasks is listed several times.
    """
    counts = SpreadCounts()
    for worker_id in worker_ids:
        count_task(cell, counts, worker_id)
    return counts


def count_task(
    cell: _state.Cell, counts: SpreadCounts, worker_id: str
) -> None:
    """Add one task on a worker to the counts; ignores unknown workers."""
    worker = cell.workers.get(worker_id)
    if worker is None:
        return
    rack = (worker.data_centre, worker.rack)
    counts.workers[worker_id] = counts.workers.get(worker_id, 0) + 1
    counts.racks[rack] = counts.racks.get(rack, 0) + 1
    counts.data_centres[worker.data_centre] = (
        counts.data_centres.get(worker.data_centre, 0) + 1
    )


def choose_worker(
    cell: _state.Cell,
    *,
    need: model.Resources,
    spread: bool,
    spread_counts: SpreadCounts | None,
    excluded: frozenset[str] | set[str],
    now: float,
    expected_run_s: float | None = None,
) -> str | None:
    """Return the worker for one task, or None if it fits nowhere now.

    Packed work goes where it leaves least of its binding dimension. Spread
    work goes to the data centre, then the rack, then the worker with the
    fewest tasks of the job, and among equals to where most is free; within a
    data centre, workers with accelerators come last for work without them.

    Parameters
    ----------
    cell : Cell
        The cell; no reservation is made.
    need : Resources
        What the task needs.
    spread : bool
        Whether the job's tasks are spread; otherwise they are packed.
    spread_counts : SpreadCounts or None
        Where the job's tasks run; None for nowhere.
    excluded : set of str
        Workers that are left out.
    now : float
        Time in seconds.
    expected_run_s : float, optional
        Expected run time in seconds. Workers held for a gang are considered
        only if the task ends before the gang is expected to start.
    """
    _health.open_probes(cell, now)
    _holds.expire(cell, now)
    counts = (spread_counts or SpreadCounts()) if spread else None
    found = _choose_in(
        cell, cell.open, need=need, counts=counts, excluded=excluded
    )
    if found is None and _holds.may_backfill(
        cell, expected_run_s=expected_run_s, now=now
    ):
        found = _choose_in(
            cell, cell.held, need=need, counts=counts, excluded=excluded
        )
    return found


def largest_worker_fits(cell: _state.Cell, need: model.Resources) -> bool:
    """Return whether some live worker could hold the need when empty."""
    return gang_capacity(cell, need) > 0


def gang_capacity(cell: _state.Cell, need: model.Resources) -> int:
    """Return how many tasks of a need the live workers hold when empty."""
    return sum(
        count * times(need, capacity)
        for capacity, count in cell.capacities.items()
    )


# What `times` gives for a need of nothing, which fits without limit.
UNLIMITED = 1 << 30


def times(need: model.Resources, free: model.Resources) -> int:
    """Return how often a need fits into a free amount."""
    return times_of(need, free.cpu_millis, free.memory_mb, free.accelerators)


def times_of(
    need: model.Resources, cpu: int, memory: int, accelerators: int
) -> int:
    """Return how often a need fits into separate free amounts."""
    if cpu < 0 or memory < 0 or accelerators < 0:
        return 0
    count = UNLIMITED
    if need.cpu_millis:
        count = cpu // need.cpu_millis
    if need.memory_mb:
        count = min(count, memory // need.memory_mb)
    if need.accelerators:
        count = min(count, accelerators // need.accelerators)
    return count


def _choose_in(
    cell: _state.Cell,
    index: _state.Index,
    *,
    need: model.Resources,
    counts: SpreadCounts | None,
    excluded: frozenset[str] | set[str],
) -> str | None:
    if counts is None:
        return _index.best_fit(index, need=need, excluded=excluded)
    in_centres = counts.data_centres
    order = [
        (in_centres.get(name, 0), -centre.free_cpu, name)
        for name, centre in index.centres.items()
    ]
    order.sort()
    for position, (_count, _free, name) in enumerate(order):
        # A full cell is recognised without a look at each data centre.
        if position == 1 and (
            _index.best_fit(index, need=need, excluded=excluded) is None
        ):
            return None
        found = _least_loaded(
            cell,
            name,
            index.centres[name],
            need=need,
            counts=counts,
            excluded=excluded,
        )
        if found is not None:
            return found
    return None


def _least_loaded(
    cell: _state.Cell,
    name: str,
    centre: _state.Centre,
    *,
    need: model.Resources,
    counts: SpreadCounts,
    excluded: frozenset[str] | set[str],
) -> str | None:
    """Return the best worker of a data centre for spread work."""
    floor = _rack_floor(cell, name, counts)
    in_racks = counts.racks
    workers = cell.workers
    for accelerated in (False, True):
        best: tuple[int, int, int, int, str] | None = None
        for (has, free), ranking in centre.rankings.items():
            if has is not accelerated or free < need.accelerators:
                continue
            for cpu, _memory, worker_id in _ranking.descending(
                ranking,
                primary=need.cpu_millis,
                secondary=need.memory_mb,
            ):
                if worker_id in excluded:
                    continue
                in_rack = in_racks.get((name, workers[worker_id].rack), 0)
                if best is not None and in_rack > best[0]:
                    continue
                rank = (
                    in_rack,
                    counts.workers.get(worker_id, 0),
                    free - need.accelerators,
                    -cpu,
                    worker_id,
                )
                if best is None or rank < best:
                    best = rank
                # No later entry can have fewer tasks, or more free.
                if in_rack <= floor and not rank[1]:
                    break
        if best is not None:
            return best[-1]
    return None


def _rack_floor(cell: _state.Cell, name: str, counts: SpreadCounts) -> int:
    """Return a lower bound of the job's tasks in a rack of a centre."""
    racks = cell.racks[name]
    if counts.data_centres.get(name, 0) < len(racks):
        # Some rack has no task of the job.
        return 0
    return min(counts.racks.get((name, rack), 0) for rack in racks)
