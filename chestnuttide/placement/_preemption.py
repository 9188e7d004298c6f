"""Choice of attempts to evict for more important work."""

import collections.abc

from chestnuttide import model
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state

# Workers that are compared in detail per priority. Comparing all of them
# takes tens of milliseconds at 2,500 workers.
CANDIDATES = 12

# Workers that are examined in detail per priority, including those on which
# protected attempts leave too little to evict.
EXAMINED = 48

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

    The least important attempts come first, then the fewest, then those that
    are checkpointed, then those that started last and so lose least work.
    Workers are searched by ascending priority of what they have to evict, and
    the search ends after `CANDIDATES` workers of one priority that would do.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        What the more important task needs.
    priority : int
        Its priority; only attempts of lower priority are evicted.
    now : float
        Time in seconds.
    excluded : set of str
        Workers that are left out.
    protected : container of Attempt
        Attempts that are not evicted, for example to keep the minimum number
        of a service's replicas up.
    """
    levels = sorted(level for level in cell.preemptible if level < priority)
    if not levels:
        return None
    suited: dict[int, list[_state.Worker]] = {level: [] for level in levels}
    for worker_id in _yielding(cell, need):
        worker = cell.workers[worker_id]
        if worker.held or worker.ejected or worker_id in excluded:
            continue
        level = _level_of(worker, levels, need)
        if level is None:
            continue
        suited[level].append(worker)
        if len(suited[levels[0]]) == EXAMINED:
            break
    for level in levels:
        best = _best_on(suited[level][:EXAMINED], need, level, now, protected)
        if best is not None:
            return best
    return None


def refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    """File a worker under what it has free once it evicts all it may.

    The amounts are upper bounds: evicting lent work may free less than its
    reservation.
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
    if entry == worker.yield_entry and accelerated is worker.yield_accelerated:
        return
    if worker.yield_entry is not None:
        _ranking.remove(
            cell.yielding[worker.yield_accelerated], worker.yield_entry
        )
    if entry is not None:
        _ranking.insert(cell.yielding[accelerated], entry)
    worker.yield_entry = entry
    worker.yield_accelerated = accelerated


def _yielding(
    cell: _state.Cell, need: model.Resources
) -> collections.abc.Iterator[str]:
    """Yield the workers whose evictions may make enough room."""
    for accelerated in (False, True):
        if accelerated or not need.accelerators:
            for entry in _ranking.ascending(
                cell.yielding[accelerated],
                primary=need.cpu_millis,
                secondary=need.memory_mb,
            ):
                yield entry[2]


def _level_of(
    worker: _state.Worker, levels: list[int], need: model.Resources
) -> int | None:
    """Return the priority up to which evictions may make enough room."""
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


def _best_on(
    workers: list[_state.Worker],
    need: model.Resources,
    level: int,
    now: float,
    protected: collections.abc.Container[model.Attempt],
) -> tuple[str, list[model.Attempt]] | None:
    """Return the best victims of one priority on the first few workers."""
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
        if candidates == CANDIDATES:
            break
    return None if best is None else (best[1], best[2])


def _victims_on(
    worker: _state.Worker,
    need: model.Resources,
    level: int,
    now: float,
    protected: collections.abc.Container[model.Attempt],
) -> tuple[_Rank, list[model.Attempt]] | None:
    """Return the victims on one worker and their rank; least is best."""
    candidates = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.preemptible
        and reservation.priority <= level
        and reservation.attempt not in protected
    ]
    candidates.sort(key=_loss)
    # One greedy pass takes the least important attempts, the other the
    # largest ones; the better result is kept.
    best: tuple[_Rank, list[model.Attempt]] | None = None
    for order in (candidates, sorted(candidates, key=_largest)):
        chosen = _take(worker, need, order)
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


def _loss(
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


def _largest(reservation: _state.Reservation) -> tuple[int, int, int]:
    need = reservation.need
    return (-need.accelerators, -need.cpu_millis, -need.memory_mb)


def _fits_after(
    worker: _state.Worker, need: model.Resources, sums: list[int]
) -> bool:
    """Return whether a need fits once the summed amounts are evicted.

    The sums are those of `_count`.
    """
    capacity = worker.capacity
    return (
        worker.accelerators - sums[5] + need.accelerators
        <= capacity.accelerators
        and max(worker.firm_cpu - sums[0], worker.strict_cpu - sums[1])
        + need.cpu_millis
        <= capacity.cpu_millis
        and max(
            worker.firm_memory - sums[2],
            worker.strict_memory - sums[3],
            worker.pinned_memory - sums[4],
        )
        + need.memory_mb
        <= capacity.memory_mb
    )


def _count(
    sums: list[int], reservation: _state.Reservation, sign: int
) -> None:
    """Add or take a reservation to or from the sums that include it.

    The sums are firm and strict processors, firm, strict and pinned memory,
    and accelerators; see `Worker`.
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


def _take(
    worker: _state.Worker,
    need: model.Resources,
    order: list[_state.Reservation],
) -> list[_state.Reservation] | None:
    """Take attempts in order until the need fits, then drop spare ones."""
    sums = [0, 0, 0, 0, 0, 0]
    chosen: list[_state.Reservation] = []
    for reservation in order:
        if _fits_after(worker, need, sums):
            break
        chosen.append(reservation)
        _count(sums, reservation, 1)
    if not _fits_after(worker, need, sums):
        return None
    # The last one taken made the need fit, so it is never spare.
    kept = chosen[-1:]
    for reservation in reversed(chosen[:-1]):
        _count(sums, reservation, -1)
        if not _fits_after(worker, need, sums):
            _count(sums, reservation, 1)
            kept.append(reservation)
    return kept
