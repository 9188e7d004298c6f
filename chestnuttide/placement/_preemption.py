"""Choice of the attempts to evict for work of a higher priority."""

import collections.abc

from chestnuttide import model
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state

# Number of workers whose victims are compared per priority. Comparing all
# workers takes tens of milliseconds at 2,500 workers.
CANDIDATE_WORKERS = 12

# Number of workers that are examined per priority, including those on which
# protected attempts leave too little to evict.
EXAMINED_WORKERS = 48

_Rank = tuple[int, int, int, int, float]


def choose_victims(
    cell: _state.Cell,
    *,
    need: model.Resources,
    priority: int,
    now: float,
    excluded: frozenset[str] | set[str],
    protected: collections.abc.Container[model.Attempt] = frozenset(),
) -> tuple[str, list[model.Attempt]] | None:
    """Return a worker and the attempts to evict there, or None.

    The list is empty if the need fits on the worker without evictions.

    Victims of the lowest priority are preferred, then the fewest, then those
    that are checkpointed, then those that are not urgent, then those that
    started last and so lose the least work. Workers are searched by ascending
    priority of the work to evict, and the search ends after
    `CANDIDATE_WORKERS` suitable workers of one priority.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        Resources that the task of higher priority needs.
    priority : int
        Priority of that task; only attempts of a lower one are evicted.
    now : float
        Time in seconds.
    excluded : set of str
        Workers not to be considered.
    protected : container of Attempt
        Attempts that must not be evicted, for example to keep the minimum
        number of replicas of a service running.
    """
    levels = sorted(level for level in cell.preemptible if level < priority)
    if not levels:
        return None
    eligible: dict[int, list[_state.Worker]] = {level: [] for level in levels}
    for worker_id in _eviction_candidates(cell, need):
        worker = cell.workers[worker_id]
        if worker.reserved_for_gang or worker.ejected or worker_id in excluded:
            continue
        level = _eviction_level(worker, levels, need)
        if level is None:
            continue
        eligible[level].append(worker)
        if len(eligible[levels[0]]) == EXAMINED_WORKERS:
            break
    for level in levels:
        best = _best_victims(
            eligible[level][:EXAMINED_WORKERS], need, level, now, protected
        )
        if best is not None:
            return best
    return None


def refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    """Rank a worker by its free capacity once all preemptible work is evicted.

    The amounts are upper bounds: evicting work on reclaimed capacity may free
    less than its reservation.
    """
    entry: _ranking.Entry | None = None
    if worker.evictable and worker.state is model.InstanceState.LIVE:
        cpu = worker.free_cpu
        memory = worker.free_memory
        for evictable in worker.evictable.values():
            cpu += evictable.cpu_millis
            memory += evictable.memory_mb
        entry = (cpu, memory, worker.worker_id)
    accelerated = worker.capacity.accelerators > 0
    if (
        entry == worker.eviction_entry
        and accelerated is worker.eviction_accelerated
    ):
        return
    if worker.eviction_entry is not None:
        _ranking.remove(
            cell.eviction_rankings[worker.eviction_accelerated],
            worker.eviction_entry,
        )
    if entry is not None:
        _ranking.insert(cell.eviction_rankings[accelerated], entry)
    worker.eviction_entry = entry
    worker.eviction_accelerated = accelerated


def _eviction_candidates(
    cell: _state.Cell, need: model.Resources
) -> collections.abc.Iterator[str]:
    """Yield the workers on which evictions may free enough capacity."""
    for accelerated in (False, True):
        if accelerated or not need.accelerators:
            for entry in _ranking.ascending(
                cell.eviction_rankings[accelerated],
                primary=need.cpu_millis,
                secondary=need.memory_mb,
            ):
                yield entry[2]


def _eviction_level(
    worker: _state.Worker, levels: list[int], need: model.Resources
) -> int | None:
    """Return the priority up to which attempts must be evicted, or None."""
    cpu = worker.free_cpu - need.cpu_millis
    memory = worker.free_memory - need.memory_mb
    accelerators = worker.free_accelerators - need.accelerators
    for level in levels:
        evictable = worker.evictable.get(level)
        if evictable is not None:
            cpu += evictable.cpu_millis
            memory += evictable.memory_mb
            accelerators += evictable.accelerators
            if cpu >= 0 and memory >= 0 and accelerators >= 0:
                return level
    return None


def _best_victims(
    workers: list[_state.Worker],
    need: model.Resources,
    level: int,
    now: float,
    protected: collections.abc.Container[model.Attempt],
) -> tuple[str, list[model.Attempt]] | None:
    """Return the best victims of one priority, by the first workers only."""
    best: tuple[_Rank, str, list[model.Attempt]] | None = None
    candidates = 0
    for worker in workers:
        found = _victims_on(worker, need, level, now, protected)
        if found is None:
            continue
        worker_id = worker.worker_id
        if best is None or (found[0], worker_id) < best[:2]:
            best = (found[0], worker_id, found[1])
        candidates += 1
        if candidates == CANDIDATE_WORKERS:
            break
    return None if best is None else (best[1], best[2])


def _victims_on(
    worker: _state.Worker,
    need: model.Resources,
    level: int,
    now: float,
    protected: collections.abc.Container[model.Attempt],
) -> tuple[_Rank, list[model.Attempt]] | None:
    """Return the victims on one worker and their rank; the lowest is best."""
    candidates = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.preemptible
        and reservation.priority <= level
        and reservation.attempt not in protected
    ]
    candidates.sort(key=_by_importance)
    # One greedy pass selects the attempts of lowest priority first, the other
    # the largest first; the better result is returned.
    best: tuple[_Rank, list[model.Attempt]] | None = None
    for order in (candidates, sorted(candidates, key=_by_size)):
        chosen = _select_victims(worker, need, order)
        if chosen is None:
            return None
        rank = (
            max((item.priority for item in chosen), default=0),
            len(chosen),
            sum(not item.checkpoint for item in chosen),
            sum(item.urgent for item in chosen),
            sum(now - item.started for item in chosen),
        )
        if best is None or rank < best[0]:
            best = (rank, [item.attempt for item in chosen])
    return best


def _by_importance(
    reservation: _state.Reservation,
) -> tuple[int, bool, bool, float, str, int]:
    return (
        reservation.priority,
        reservation.urgent,
        not reservation.checkpoint,
        -reservation.started,
        reservation.attempt.job_id,
        reservation.attempt.index,
    )


def _by_size(reservation: _state.Reservation) -> tuple[int, int, int]:
    need = reservation.need
    return (-need.accelerators, -need.cpu_millis, -need.memory_mb)


def _fits_after_eviction(
    worker: _state.Worker, need: model.Resources, sums: list[int]
) -> bool:
    """Return whether a need fits once the summed amounts are evicted.

    The sums are those of `_add_to_sums`.
    """
    capacity = worker.capacity
    return (
        worker.accelerators - sums[5] + need.accelerators
        <= capacity.accelerators
        and max(
            worker.guaranteed_cpu - sums[0],
            worker.unthrottleable_cpu - sums[1],
        )
        + need.cpu_millis
        <= capacity.cpu_millis
        and max(
            worker.guaranteed_memory - sums[2],
            worker.unthrottleable_memory - sums[3],
            worker.uncheckpointable_memory - sums[4],
        )
        + need.memory_mb
        <= capacity.memory_mb
    )


def _add_to_sums(
    sums: list[int], reservation: _state.Reservation, sign: int
) -> None:
    """Add a reservation to the sums that include it, or subtract it.

    The sums are, in order: guaranteed and unthrottleable processors;
    guaranteed, unthrottleable and uncheckpointable memory; accelerators. See
    `Worker`.
    """
    need = reservation.need
    cpu = sign * need.cpu_millis
    memory = sign * need.memory_mb
    if not reservation.reclaimed:
        sums[0] += cpu
        sums[2] += memory
    if not reservation.throttle:
        sums[1] += cpu
        sums[3] += memory
    if not reservation.checkpoint:
        sums[4] += memory
    sums[5] += sign * need.accelerators


def _select_victims(
    worker: _state.Worker,
    need: model.Resources,
    order: list[_state.Reservation],
) -> list[_state.Reservation] | None:
    """Select attempts in order until the need fits; drop unneeded ones."""
    sums = [0, 0, 0, 0, 0, 0]
    chosen: list[_state.Reservation] = []
    for reservation in order:
        if _fits_after_eviction(worker, need, sums):
            break
        chosen.append(reservation)
        _add_to_sums(sums, reservation, 1)
    if not _fits_after_eviction(worker, need, sums):
        return None
    # The attempt selected last made the need fit, so it is always needed.
    needed = chosen[-1:]
    for reservation in reversed(chosen[:-1]):
        _add_to_sums(sums, reservation, -1)
        if not _fits_after_eviction(worker, need, sums):
            _add_to_sums(sums, reservation, 1)
            needed.append(reservation)
    return needed
