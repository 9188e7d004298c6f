"""Choice of the worker for a single task, packed or spread."""

import collections.abc

import attrs

from chestnuttide import model
from chestnuttide.placement import _gang_reservation
from chestnuttide.placement import _health
from chestnuttide.placement import _index
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state


@attrs.define(kw_only=True, slots=True)
class SpreadCounts:
    """Number of tasks of one job per worker, rack and data centre.

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
    """Return the counts of a job with one task per listed worker.

    A worker that runs several tasks is listed several times.
    """
    counts = SpreadCounts()
    for worker_id in worker_ids:
        count_task(cell, counts, worker_id)
    return counts


def count_task(
    cell: _state.Cell, counts: SpreadCounts, worker_id: str
) -> None:
    """Count one task on a worker; unknown workers are ignored."""
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
    """Return the worker for one task, or None if no worker has the capacity.

    Packed work is placed where it leaves the least of its scarcest dimension.
    Spread work is placed in the data centre, then the rack, then on the
    worker with the fewest tasks of the job; ties go to the data
    centre with the most free processors, and to the worker with the fewest
    accelerators left and then the most free processors. Within a data centre,
    work that needs no accelerators gets a worker with accelerators only if no
    other fits.

    Parameters
    ----------
    cell : Cell
        The cell; nothing is reserved.
    need : Resources
        Resources that the task needs.
    spread : bool
        Whether the tasks of the job are spread; otherwise they are packed.
    spread_counts : SpreadCounts or None
        Running tasks of the job; None if there are none.
    excluded : set of str
        Workers not to be considered.
    now : float
        Time in seconds.
    expected_run_s : float, optional
        Expected run time in seconds. Workers reserved for a gang are
        considered only if the task ends before the gang is expected to start.
    """
    _health.open_probes(cell, now)
    _gang_reservation.expire(cell, now)
    counts = (spread_counts or SpreadCounts()) if spread else None
    found = _choose_from_index(
        cell, cell.open_index, need=need, counts=counts, excluded=excluded
    )
    if found is None and _gang_reservation.may_backfill(
        cell, expected_run_s=expected_run_s, now=now
    ):
        found = _choose_from_index(
            cell,
            cell.reserved_index,
            need=need,
            counts=counts,
            excluded=excluded,
        )
    return found


def largest_worker_fits(cell: _state.Cell, need: model.Resources) -> bool:
    """Return whether the need fits on some live worker when it is empty."""
    return gang_capacity(cell, need) > 0


def gang_capacity(cell: _state.Cell, need: model.Resources) -> int:
    """Return how many tasks of a need fit on the live workers when empty."""
    return sum(
        count * fit_count(need, capacity)
        for capacity, count in cell.capacities.items()
    )


# Result of `fit_count` for an empty need, which fits any number of times.
UNLIMITED = 1 << 30


def fit_count(need: model.Resources, free: model.Resources) -> int:
    """Return how many times a need fits into free resources."""
    return fit_count_of(
        need, free.cpu_millis, free.memory_mb, free.accelerators
    )


def fit_count_of(
    need: model.Resources, cpu: int, memory: int, accelerators: int
) -> int:
    """Return how many times a need fits into the given free amounts."""
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


def _choose_from_index(
    cell: _state.Cell,
    index: _state.Index,
    *,
    need: model.Resources,
    counts: SpreadCounts | None,
    excluded: frozenset[str] | set[str],
) -> str | None:
    if counts is None:
        return _index.best_fit(index, need=need, excluded=excluded)
    tasks_by_centre = counts.data_centres
    order = [
        (tasks_by_centre.get(name, 0), -centre.free_cpu, name)
        for name, centre in index.centres.items()
    ]
    order.sort()
    for position, (_count, _free, name) in enumerate(order):
        # Detects a full cell without searching every data centre.
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
    centre: _state.DataCentreIndex,
    *,
    need: model.Resources,
    counts: SpreadCounts,
    excluded: frozenset[str] | set[str],
) -> str | None:
    """Return the best worker of a data centre for spread work."""
    min_in_rack = _min_rack_tasks(cell, name, counts)
    tasks_by_rack = counts.racks
    workers = cell.workers
    for accelerated in (False, True):
        best: tuple[int, int, int, int, str] | None = None
        for (has_accelerators, free), ranking in centre.rankings.items():
            if has_accelerators is not accelerated or free < need.accelerators:
                continue
            for cpu, _memory, worker_id in _ranking.descending(
                ranking,
                primary=need.cpu_millis,
                secondary=need.memory_mb,
            ):
                if worker_id in excluded:
                    continue
                in_rack = tasks_by_rack.get((name, workers[worker_id].rack), 0)
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
                # No later entry has fewer tasks or more free processors.
                if in_rack <= min_in_rack and not rank[1]:
                    break
        if best is not None:
            return best[-1]
    return None


def _min_rack_tasks(cell: _state.Cell, name: str, counts: SpreadCounts) -> int:
    """Return a lower bound of the job's tasks per rack of a data centre."""
    racks = cell.racks[name]
    if counts.data_centres.get(name, 0) < len(racks):
        # At least one rack runs no task of the job.
        return 0
    return min(counts.racks.get((name, rack), 0) for rack in racks)
