"""Brute-force recomputations that the property tests compare a cell with."""

import collections
import math

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement import _state

_Amounts = tuple[int, int, int]


def sum_needs(
    reservations: list[placement.Reservation],
) -> _Amounts:
    return (
        sum(item.need.cpu_millis for item in reservations),
        sum(item.need.memory_mb for item in reservations),
        sum(item.need.accelerators for item in reservations),
    )


def within(amounts: _Amounts, capacity: model.Resources) -> bool:
    return model.fits(
        model.Resources(
            cpu_millis=amounts[0],
            memory_mb=amounts[1],
            accelerators=amounts[2],
        ),
        capacity,
    )


def is_within_capacity(worker: _state.Worker) -> bool:
    """Return whether each sum of reservations is within the capacity."""
    reservations = list(worker.reservations.values())
    guaranteed = [item for item in reservations if not item.reclaimed]
    unthrottleable = [item for item in reservations if not item.throttle]
    uncheckpointable = [item for item in reservations if not item.checkpoint]
    return (
        within(sum_needs(guaranteed), worker.capacity)
        and within(sum_needs(unthrottleable), worker.capacity)
        and sum_needs(uncheckpointable)[1] <= worker.capacity.memory_mb
        and sum_needs(reservations)[2] <= worker.capacity.accelerators
    )


def free_of(worker: _state.Worker) -> _Amounts:
    reservations = list(worker.reservations.values())
    guaranteed = sum_needs(
        [item for item in reservations if not item.reclaimed]
    )
    unthrottleable = sum_needs(
        [item for item in reservations if not item.throttle]
    )
    uncheckpointable = sum_needs(
        [item for item in reservations if not item.checkpoint]
    )
    capacity = worker.capacity
    return (
        capacity.cpu_millis - max(guaranteed[0], unthrottleable[0]),
        capacity.memory_mb
        - max(guaranteed[1], unthrottleable[1], uncheckpointable[1]),
        capacity.accelerators - sum_needs(reservations)[2],
    )


def fits_on(
    worker: _state.Worker, need: model.Resources, *, gang: bool = False
) -> bool:
    """Return, computed afresh, whether the need fits on the worker now."""
    if worker.state is not model.InstanceState.LIVE:
        return False
    if worker.ejected and (
        gang or not worker.probing or worker.probe is not None
    ):
        return False
    cpu, memory, accelerators = free_of(worker)
    return (
        min(cpu, memory, accelerators) >= 0
        and need.cpu_millis <= cpu
        and need.memory_mb <= memory
        and need.accelerators <= accelerators
    )


def fit_count_on(
    worker: _state.Worker, need: model.Resources, free: _Amounts
) -> int:
    """Count how many times a need fits, one by one."""
    count = 0
    while all(
        (count + 1) * part <= left
        for part, left in zip(
            (need.cpu_millis, need.memory_mb, need.accelerators),
            free,
            strict=True,
        )
    ):
        count += 1
    return count


def earliest_fit(
    cell: placement.Cell, need: model.Resources, count: int, now: float
) -> float | None:
    """Return when a gang is expected to fit, trying each expected end."""
    ends = sorted(
        {
            item.expected_end
            for item in cell.reservations.values()
            if now < item.expected_end < math.inf and not item.reclaimed
        }
    )
    for moment in [now, *ends]:
        total = 0
        for worker in cell.workers.values():
            if (
                worker.state is not model.InstanceState.LIVE
                or worker.ejected
                or not model.fits(need, worker.capacity)
            ):
                continue
            ended = sum_needs(
                [
                    item
                    for item in worker.reservations.values()
                    if now < item.expected_end <= moment and not item.reclaimed
                ]
            )
            free = tuple(
                left + more
                for left, more in zip(free_of(worker), ended, strict=True)
            )
            if min(free) >= 0:
                total += fit_count_on(worker, need, free)
        if total >= count:
            return moment
    return None


def _entries(
    index: _state.Index,
) -> collections.Counter[tuple[str, bool, int, int, int]]:
    """Count index entries by worker, accelerator flag and free amounts."""
    found: collections.Counter = collections.Counter()
    for accelerated, shapes in (
        (False, index.unaccelerated),
        (True, index.accelerated),
    ):
        for shape in shapes.values():
            assert shape.group_keys == sorted(shape.groups)
            for free, group in shape.groups.items():
                by_cpu = [
                    entry for block in group.by_cpu.blocks for entry in block
                ]
                by_memory = [
                    (cpu, memory, worker_id)
                    for block in group.by_memory.blocks
                    for memory, cpu, worker_id in block
                ]
                assert by_cpu
                assert by_cpu == sorted(by_memory)
                found.update(
                    (worker_id, accelerated, cpu, memory, free)
                    for cpu, memory, worker_id in by_cpu
                )
    return found


def check_index(cell: placement.Cell) -> None:
    """Compare both indexes with the recomputed free amounts of the workers."""
    for index, reserved in (
        (cell.open_index, False),
        (cell.reserved_index, True),
    ):
        expected: collections.Counter = collections.Counter()
        by_centre: collections.Counter = collections.Counter()
        for worker in cell.workers.values():
            if worker.reserved_for_gang is reserved and fits_on(
                worker, model.ZERO
            ):
                cpu, memory, accelerators = free_of(worker)
                accelerated = worker.capacity.accelerators > 0
                expected[
                    (worker.worker_id, accelerated, cpu, memory, accelerators)
                ] += 1
                by_centre[worker.data_centre] += cpu
        assert _entries(index) == expected
        in_centres: collections.Counter = collections.Counter()
        for name, centre in index.centres.items():
            assert centre.rankings
            for (accelerated, free), ranking in centre.rankings.items():
                for block in ranking.blocks:
                    for cpu, memory, worker_id in block:
                        assert cell.workers[worker_id].data_centre == name
                        in_centres[
                            (worker_id, accelerated, cpu, memory, free)
                        ] += 1
            assert centre.free_cpu == by_centre[name]
        assert in_centres == expected
        for shapes in (index.unaccelerated, index.accelerated):
            for key, shape in shapes.items():
                members = [
                    worker
                    for worker in cell.workers.values()
                    if worker.position is not None
                    and worker.position.index is index
                    and worker.position.shape == key
                ]
                assert shape.members == len(members) > 0
                assert shape.cpu_millis == sum(
                    worker.capacity.cpu_millis for worker in members
                )
                assert shape.memory_mb == sum(
                    worker.capacity.memory_mb for worker in members
                )


def check_sums(cell: placement.Cell) -> None:
    """Compare all running sums with the reservations."""
    live = [
        worker
        for worker in cell.workers.values()
        if worker.state is model.InstanceState.LIVE
    ]
    assert placement.worker_count(cell) == len(live)
    total = placement.capacity_total(cell)
    assert (total.cpu_millis, total.memory_mb, total.accelerators) == (
        sum(worker.capacity.cpu_millis for worker in live),
        sum(worker.capacity.memory_mb for worker in live),
        sum(worker.capacity.accelerators for worker in live),
    )
    reservations = list(cell.reservations.values())
    guaranteed = sum_needs(
        [item for item in reservations if not item.reclaimed]
    )
    reserved = placement.reserved_total(cell)
    assert (reserved.cpu_millis, reserved.memory_mb) == guaranteed[:2]
    assert reserved.accelerators == sum_needs(reservations)[2]
    ends = {item for second in cell.expected_ends.values() for item in second}
    assert ends == {
        item
        for item in reservations
        if item.expected_end < math.inf and not item.reclaimed
    }
    preemptible: collections.Counter[int] = collections.Counter()
    racks: dict[str, dict[str, int]] = {}
    for worker in cell.workers.values():
        free = placement.free_of(cell, worker.worker_id)
        assert (
            free.cpu_millis,
            free.memory_mb,
            free.accelerators,
        ) == free_of(worker)
        centre = racks.setdefault(worker.data_centre, {})
        centre[worker.rack] = centre.get(worker.rack, 0) + 1
        by_priority: dict[int, list] = {}
        for item in worker.reservations.values():
            assert cell.reservations[item.attempt] is item
            if item.preemptible:
                by_priority.setdefault(item.priority, []).append(item)
        assert {
            priority: (
                evictable.count,
                evictable.cpu_millis,
                evictable.memory_mb,
                evictable.accelerators,
            )
            for priority, evictable in worker.evictable.items()
        } == {
            priority: (len(items), *sum_needs(items))
            for priority, items in by_priority.items()
        }
        preemptible.update(by_priority.keys())
        _check_yield(cell, worker, by_priority)
        _check_usage(cell, worker)
    assert cell.racks == racks
    assert cell.preemptible == preemptible
    assert cell.capacities == collections.Counter(
        worker.capacity for worker in live
    )


def _check_yield(
    cell: placement.Cell,
    worker: _state.Worker,
    by_priority: dict[int, list[placement.Reservation]],
) -> None:
    ranked = [
        (entry[:2], accelerated)
        for accelerated, ranking in cell.eviction_rankings.items()
        for block in ranking.blocks
        for entry in block
        if entry[2] == worker.worker_id
    ]
    expected = []
    if by_priority and worker.state is model.InstanceState.LIVE:
        items = [item for items in by_priority.values() for item in items]
        cpu, memory, _accelerators = sum_needs(items)
        free = free_of(worker)
        accelerated = worker.capacity.accelerators > 0
        expected = [((free[0] + cpu, free[1] + memory), accelerated)]
    assert ranked == expected


def _check_usage(cell: placement.Cell, worker: _state.Worker) -> None:
    reservations = worker.reservations.values()
    assert worker.used_cpu == sum(item.used_cpu for item in reservations)
    assert worker.used_memory == sum(item.used_memory for item in reservations)
    assert worker.estimated_cpu == sum(
        item.estimated_cpu for item in reservations
    )
    assert worker.estimated_memory == sum(
        item.estimated_memory for item in reservations
    )
    over = (
        worker.used_cpu > worker.capacity.cpu_millis
        or worker.used_memory > worker.capacity.memory_mb
    )
    assert (worker.worker_id in cell.overcommitted) is over
    ranked = [
        entry
        for block in cell.reclaimable.blocks
        for entry in block
        if entry[2] == worker.worker_id
    ]
    expected = [] if worker.reclaim_entry is None else [worker.reclaim_entry]
    assert ranked == expected
    reclaimable = placement.reclaimable(cell, worker.worker_id)
    for entry in ranked:
        assert entry[0] <= reclaimable.cpu_millis
        assert entry[1] <= reclaimable.memory_mb


def check_health(cell: placement.Cell) -> None:
    """Check the list of ejected workers and its limit."""
    ejected = {
        worker.worker_id for worker in cell.workers.values() if worker.ejected
    }
    assert set(cell.ejected) == ejected
    assert len(ejected) <= placement.worker_count(cell) * (
        cell.limits.eject_share
    )
