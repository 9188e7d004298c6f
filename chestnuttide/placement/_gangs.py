"""Placement of gangs: all tasks at once, now or at an expected time."""

import collections.abc
import operator

import attrs

from chestnuttide import model
from chestnuttide.placement import _gang_reservation
from chestnuttide.placement import _health
from chestnuttide.placement import _index
from chestnuttide.placement import _scoring
from chestnuttide.placement import _state


@attrs.define(kw_only=True, slots=True, eq=False)
class _WorkerSlots:
    """Number of further tasks of the gang that fit on a worker."""

    worker_id: str
    data_centre: str
    rack: str
    free_slots: int
    assigned: int = 0


def choose_gang(
    cell: _state.Cell,
    *,
    need: model.Resources,
    count: int,
    spread: bool,
    excluded: frozenset[str] | set[str],
    now: float,
    use_reservation: bool = False,
) -> list[str] | None:
    """Return one worker per task of a gang, or None if not all fit now.

    Parameters
    ----------
    cell : Cell
        The cell; nothing is reserved.
    need : Resources
        Resources that each task needs.
    count : int
        Number of tasks.
    spread : bool
        Whether the tasks are spread over data centres, racks and workers;
        otherwise they are packed.
    excluded : set of str
        Workers not to be considered.
    now : float
        Time in seconds.
    use_reservation : bool
        Whether workers are reserved for this gang, so that it may use them.

    Returns
    -------
    list of str or None
        One worker id per task; an id may occur several times.
    """
    _health.open_probes(cell, now)
    _gang_reservation.expire(cell, now)
    indexes = (
        (cell.reserved_index, cell.open_index)
        if use_reservation
        else (cell.open_index,)
    )
    candidates: list[_WorkerSlots] = []
    total = 0
    for worker in _fitting(cell, indexes, need, excluded):
        if (
            total >= count
            and worker.capacity.accelerators
            and not need.accelerators
        ):
            # Workers without accelerators come first, and they suffice.
            break
        free_slots = min(
            count,
            _scoring.fit_count_of(
                need,
                worker.free_cpu,
                worker.free_memory,
                worker.free_accelerators,
            ),
        )
        candidates.append(
            _WorkerSlots(
                worker_id=worker.worker_id,
                data_centre=worker.data_centre,
                rack=worker.rack,
                free_slots=free_slots,
            )
        )
        total += free_slots
        if total >= count and not spread:
            break
    if total < count:
        return None
    return _spread(candidates, count) if spread else _pack(candidates, count)


def plan_gang_reservation(
    cell: _state.Cell,
    *,
    need: model.Resources,
    count: int,
    now: float,
    limit_s: float,
    excluded: frozenset[str] | set[str] = frozenset(),
) -> _state.GangPlan | None:
    """Plan when and where a gang will fit, by the expected ends of tasks.

    A task past its expected end is assumed to run beyond the limit, because
    nothing is known about its end. Plans with few workers are preferred,
    since a reservation keeps other work off them.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        Resources that each task needs.
    count : int
        Number of tasks.
    now : float
        Time in seconds.
    limit_s : float
        Latest start of the gang, in seconds from now; a reservation by the
        plan expires at that time.
    excluded : set of str
        Workers not to be considered.

    Returns
    -------
    GangPlan or None
        None if the gang is not expected to fit within the limit.
    """
    if _scoring.gang_capacity(cell, need) < count:
        return None
    # Only workers that have free capacity, or whose tasks end, are examined.
    free: dict[str, list[int]] = {}
    fit_counts: dict[str, int] = {}
    total = 0
    for worker in _fitting(
        cell, (cell.reserved_index, cell.open_index), need, excluded
    ):
        amounts = free[worker.worker_id] = _free_amounts(worker)
        fit_count = min(count, _scoring.fit_count_of(need, *amounts))
        fit_counts[worker.worker_id] = fit_count
        total += fit_count
    starts_at = now
    if total < count:
        for reservation in _expected_ends(cell, now, now + limit_s):
            worker_id = reservation.worker_id
            amounts = free.get(worker_id)
            if amounts is None:
                worker = cell.workers[worker_id]
                if not _is_eligible(worker, need, excluded):
                    continue
                amounts = free[worker_id] = _free_amounts(worker)
                fit_counts[worker_id] = 0
            amounts[0] += reservation.need.cpu_millis
            amounts[1] += reservation.need.memory_mb
            amounts[2] += reservation.need.accelerators
            fit_count = min(count, _scoring.fit_count_of(need, *amounts))
            total += fit_count - fit_counts[worker_id]
            fit_counts[worker_id] = fit_count
            starts_at = reservation.expected_end
            if total >= count:
                break
    if total < count:
        return None
    chosen: list[str] = []
    for worker_id in sorted(
        fit_counts, key=lambda item: (-fit_counts[item], item)
    ):
        chosen.extend(
            [worker_id] * min(fit_counts[worker_id], count - len(chosen))
        )
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
    """Yield the workers that fit the need, without ejected ones.

    An ejected worker may run one probe, but not several tasks of a gang.
    """
    for index in indexes:
        for worker_id in _index.fitting(index, need):
            worker = cell.workers[worker_id]
            if worker_id not in excluded and not worker.ejected:
                yield worker


def _is_eligible(
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


def _expected_ends(
    cell: _state.Cell, now: float, until: float
) -> collections.abc.Iterator[_state.Reservation]:
    """Yield the reservations expected to end by a given time, in order."""
    for second in sorted(cell.expected_ends):
        if second + 1 < now:
            continue
        if second > until:
            return
        for reservation in sorted(
            [
                item
                for item in cell.expected_ends[second]
                if now < item.expected_end <= until
            ],
            key=operator.attrgetter("expected_end"),
        ):
            yield reservation


def _pack(candidates: list[_WorkerSlots], count: int) -> list[str]:
    chosen: list[str] = []
    for candidate in candidates:
        chosen.extend(
            [candidate.worker_id]
            * min(candidate.free_slots, count - len(chosen))
        )
    return chosen


def _spread(candidates: list[_WorkerSlots], count: int) -> list[str]:
    """Place each task where the gang has the fewest tasks so far."""
    centres: dict[str, dict[str, list[_WorkerSlots]]] = {}
    for candidate in candidates:
        racks = centres.setdefault(candidate.data_centre, {})
        racks.setdefault(candidate.rack, []).append(candidate)
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
        candidate = min(
            racks[rack], key=lambda item: (item.assigned, item.worker_id)
        )
        chosen.append(candidate.worker_id)
        in_centre[centre] += 1
        in_rack[(centre, rack)] += 1
        candidate.assigned += 1
        candidate.free_slots -= 1
        if not candidate.free_slots:
            racks[rack].remove(candidate)
            if not racks[rack]:
                del racks[rack]
                if not racks:
                    del centres[centre]
    return chosen
