"""Gangs: all tasks at once or none, now or at an expected time."""

import collections.abc
import operator

import attrs

from chestnuttide import model
from chestnuttide.placement import _health
from chestnuttide.placement import _holds
from chestnuttide.placement import _index
from chestnuttide.placement import _scoring
from chestnuttide.placement import _state


@attrs.define(kw_only=True, slots=True, eq=False)
class _Room:
    """How many more tasks of the gang a worker takes."""

    worker_id: str
    data_centre: str
    rack: str
    left: int
    taken: int = 0


def choose_gang(
    cell: _state.Cell,
    *,
    need: model.Resources,
    count: int,
    spread: bool,
    excluded: frozenset[str] | set[str],
    now: float,
    use_hold: bool = False,
) -> list[str] | None:
    """Return one worker per task of a gang, or None if not all fit now.

    Parameters
    ----------
    cell : Cell
        The cell; no reservation is made.
    need : Resources
        What each task needs.
    count : int
        Number of tasks.
    spread : bool
        Whether they are spread over data centres, racks and workers;
        otherwise they are packed.
    excluded : set of str
        Workers that are left out.
    now : float
        Time in seconds.
    use_hold : bool
        Whether this gang owns the current hold and may use its workers.

    Returns
    -------
    list of str or None
        Worker ids with repetition, of length `count`.
    """
    _health.open_probes(cell, now)
    _holds.expire(cell, now)
    indexes = (cell.held, cell.open) if use_hold else (cell.open,)
    rooms: list[_Room] = []
    total = 0
    for worker in _fitting(cell, indexes, need, excluded):
        if (
            total >= count
            and worker.capacity.accelerators
            and not need.accelerators
        ):
            # The workers without accelerators, which come first, suffice.
            break
        left = min(
            count,
            _scoring.times_of(
                need,
                worker.free_cpu,
                worker.free_memory,
                worker.free_accelerators,
            ),
        )
        rooms.append(
            _Room(
                worker_id=worker.worker_id,
                data_centre=worker.data_centre,
                rack=worker.rack,
                left=left,
            )
        )
        total += left
        if total >= count and not spread:
            break
    if total < count:
        return None
    return _spread(rooms, count) if spread else _pack(rooms, count)


def plan_gang_reservation(
    cell: _state.Cell,
    *,
    need: model.Resources,
    count: int,
    now: float,
    limit_s: float,
    excluded: frozenset[str] | set[str] = frozenset(),
) -> _state.GangPlan | None:
    """Plan when and where a gang fits, by the expected ends of tasks.

    A task past its expected end is taken to run on beyond the limit, because
    nothing is known about its end. Few workers are preferred, since a hold
    keeps other work off them.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        What each task needs.
    count : int
        Number of tasks.
    now : float
        Time in seconds.
    limit_s : float
        Longest time in seconds until the gang starts; a hold of the plan
        expires after it.
    excluded : set of str
        Workers that are left out.

    Returns
    -------
    GangPlan or None
        None if the gang is not expected to fit within the limit.
    """
    if _scoring.gang_capacity(cell, need) < count:
        return None
    # Only workers that have room now, or get some, are looked at.
    free: dict[str, list[int]] = {}
    fits: dict[str, int] = {}
    total = 0
    for worker in _fitting(cell, (cell.held, cell.open), need, excluded):
        amounts = free[worker.worker_id] = _free_amounts(worker)
        times = min(count, _scoring.times_of(need, *amounts))
        fits[worker.worker_id] = times
        total += times
    starts_at = now
    if total < count:
        for ending in _ends(cell, now, now + limit_s):
            worker_id = ending.worker_id
            amounts = free.get(worker_id)
            if amounts is None:
                worker = cell.workers[worker_id]
                if not _may_plan(worker, need, excluded):
                    continue
                amounts = free[worker_id] = _free_amounts(worker)
                fits[worker_id] = 0
            amounts[0] += ending.need.cpu_millis
            amounts[1] += ending.need.memory_mb
            amounts[2] += ending.need.accelerators
            times = min(count, _scoring.times_of(need, *amounts))
            total += times - fits[worker_id]
            fits[worker_id] = times
            starts_at = ending.expected_end
            if total >= count:
                break
    if total < count:
        return None
    chosen: list[str] = []
    for worker_id in sorted(fits, key=lambda item: (-fits[item], item)):
        chosen.extend([worker_id] * min(fits[worker_id], count - len(chosen)))
        if len(chosen) == count:
            break
    return _state.GangPlan(
        worker_ids=tuple(chosen),
        starts_at=starts_at,
        expires_at=now + limit_s,
    )


def _fitting(
    cell: _state.Cell,
    indexes: collections.abc.Iterable[_state.Index],
    need: model.Resources,
    excluded: frozenset[str] | set[str],
) -> collections.abc.Iterator[_state.Worker]:
    """Yield workers that take several tasks; a probed one takes just one."""
    for index in indexes:
        for worker_id in _index.fitting(index, need):
            worker = cell.workers[worker_id]
            if worker_id not in excluded and not worker.ejected:
                yield worker


def _may_plan(
    worker: _state.Worker,
    need: model.Resources,
    excluded: frozenset[str] | set[str],
) -> bool:
    return (
        worker.state is model.InstanceState.LIVE
        and not worker.ejected
        and worker.worker_id not in excluded
        and model.fits(need, worker.capacity)
    )


def _free_amounts(worker: _state.Worker) -> list[int]:
    return [worker.free_cpu, worker.free_memory, worker.free_accelerators]


def _ends(
    cell: _state.Cell, now: float, until: float
) -> collections.abc.Iterator[_state.Reservation]:
    """Yield the reservations that are expected to end until a time."""
    for second in sorted(cell.ends):
        if second + 1 < now:
            continue
        if second > until:
            return
        for reservation in sorted(
            [
                item
                for item in cell.ends[second]
                if now < item.expected_end <= until
            ],
            key=operator.attrgetter("expected_end"),
        ):
            yield reservation


def _pack(rooms: list[_Room], count: int) -> list[str]:
    chosen: list[str] = []
    for room in rooms:
        chosen.extend([room.worker_id] * min(room.left, count - len(chosen)))
    return chosen


def _spread(rooms: list[_Room], count: int) -> list[str]:
    """Place task by task where the gang has fewest tasks so far."""
    centres: dict[str, dict[str, list[_Room]]] = {}
    for room in rooms:
        racks = centres.setdefault(room.data_centre, {})
        racks.setdefault(room.rack, []).append(room)
    in_centre = dict.fromkeys(centres, 0)
    in_rack = {
        (centre, rack): 0 for centre in centres for rack in centres[centre]
    }
    chosen: list[str] = []
    while len(chosen) < count:
        centre = min(centres, key=lambda item: (in_centre[item], item))
        racks = centres[centre]
        rack = min(
            racks,
            key=lambda item: (in_rack[(centre, item)], item),
        )
        room = min(racks[rack], key=lambda item: (item.taken, item.worker_id))
        chosen.append(room.worker_id)
        in_centre[centre] += 1
        in_rack[(centre, rack)] += 1
        room.taken += 1
        room.left -= 1
        if not room.left:
            racks[rack].remove(room)
            if not racks[rack]:
                del racks[rack]
                if not racks:
                    del centres[centre]
    return chosen
