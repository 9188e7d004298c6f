"""Index of the workers by free capacity: maintenance and best-fit lookup."""

import bisect
import collections.abc

from chestnuttide import model
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state


def takes_work(worker: _state.Worker) -> bool:
    """Return whether the worker accepts new work."""
    return (
        worker.state is model.InstanceState.LIVE
        and worker.free_cpu >= 0
        and worker.free_memory >= 0
        and worker.free_accelerators >= 0
        and (not worker.ejected or (worker.probing and worker.probe is None))
    )


def refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    """Recompute the free amounts of a worker and update its index entries.

    The reservations that cannot be throttled must fit within the capacity
    together, including those on reclaimed capacity. Memory cannot be
    throttled, so the memory of all work that cannot be checkpointed must fit
    as well.
    """
    capacity = worker.capacity
    worker.free_cpu = capacity.cpu_millis - max(
        worker.guaranteed_cpu, worker.unthrottleable_cpu
    )
    worker.free_memory = capacity.memory_mb - max(
        worker.guaranteed_memory,
        worker.unthrottleable_memory,
        worker.uncheckpointable_memory,
    )
    worker.free_accelerators = capacity.accelerators - worker.accelerators
    position = worker.position
    if not takes_work(worker):
        if position is not None:
            _remove(worker, position)
        return
    index = (
        cell.reserved_index if worker.reserved_for_gang else cell.open_index
    )
    if position is not None:
        if (
            position.index is index
            and position.capacity is capacity
            and position.data_centre == worker.data_centre
        ):
            if _update_in_place(worker, position):
                return
        _remove(worker, position)
    _insert(worker, index)


def best_fit(
    index: _state.Index,
    *,
    need: model.Resources,
    excluded: collections.abc.Container[str],
) -> str | None:
    """Return the worker with the least capacity left over, or None.

    Work that needs no accelerators is given a worker with accelerators only
    if no other worker fits, preferably one with few free accelerators.
    """
    if need.accelerators == 0:
        found = _best_fit_among(
            index.unaccelerated, need=need, excluded=excluded
        )
        if found is not None:
            return found
    return _best_fit_among(index.accelerated, need=need, excluded=excluded)


def fitting(
    index: _state.Index, need: model.Resources
) -> collections.abc.Iterator[str]:
    """Yield the workers on which the need fits, in order of preference."""
    if need.accelerators == 0:
        for key in sorted(index.unaccelerated):
            yield from _fitting_in_shape(index.unaccelerated[key], need)
    for key in sorted(index.accelerated):
        yield from _fitting_in_shape(index.accelerated[key], need)


def shape_key(capacity: model.Resources) -> _state.ShapeKey:
    """Return the shape of a worker with the given capacity."""
    return (
        capacity.accelerators,
        capacity.cpu_millis.bit_length(),
        capacity.memory_mb.bit_length(),
    )


def _cpu_binds(shape: _state.Shape, need: model.Resources) -> bool:
    """Return whether processors are the scarcer dimension for the need."""
    return (
        need.cpu_millis * shape.memory_mb >= need.memory_mb * shape.cpu_millis
    )


def _best_fit_among(
    shapes: dict[_state.ShapeKey, _state.Shape],
    *,
    need: model.Resources,
    excluded: collections.abc.Container[str],
) -> str | None:
    best: tuple[int, float, str] | None = None
    cpu = need.cpu_millis
    memory = need.memory_mb
    for shape in shapes.values():
        by_cpu = _cpu_binds(shape, need)
        for free in shape.group_keys:
            left_over = free - need.accelerators
            if left_over < 0:
                continue
            if best is not None and left_over > best[0]:
                break
            group = shape.groups[free]
            if by_cpu:
                entry = _ranking.first_fit(
                    group.by_cpu,
                    primary=cpu,
                    secondary=memory,
                    excluded=excluded,
                )
                if entry is None:
                    continue
                share = (
                    (entry[0] - cpu) * shape.members / (shape.cpu_millis or 1)
                )
            else:
                entry = _ranking.first_fit(
                    group.by_memory,
                    primary=memory,
                    secondary=cpu,
                    excluded=excluded,
                )
                if entry is None:
                    continue
                share = (
                    (entry[0] - memory)
                    * shape.members
                    / (shape.memory_mb or 1)
                )
            rank = (left_over, share, entry[2])
            if best is None or rank < best:
                best = rank
            break
    return None if best is None else best[2]


def _fitting_in_shape(
    shape: _state.Shape, need: model.Resources
) -> collections.abc.Iterator[str]:
    by_cpu = _cpu_binds(shape, need)
    for free in shape.group_keys:
        if free < need.accelerators:
            continue
        group = shape.groups[free]
        if by_cpu:
            entries = _ranking.ascending(
                group.by_cpu,
                primary=need.cpu_millis,
                secondary=need.memory_mb,
            )
        else:
            entries = _ranking.ascending(
                group.by_memory,
                primary=need.memory_mb,
                secondary=need.cpu_millis,
            )
        for entry in entries:
            yield entry[2]


def _update_in_place(
    worker: _state.Worker, position: _state.IndexPosition
) -> bool:
    """Update the entries of a worker whose group is unchanged.

    Returns False, without a change, if the worker belongs to another group.
    """
    accelerators = position.accelerators
    if worker.free_accelerators != accelerators:
        return False
    old_cpu = position.cpu_millis
    old_memory = position.memory_mb
    cpu = worker.free_cpu
    memory = worker.free_memory
    if cpu == old_cpu and memory == old_memory:
        return True
    worker_id = worker.worker_id
    index = position.index
    accelerated = position.capacity.accelerators > 0
    shapes = index.accelerated if accelerated else index.unaccelerated
    group = shapes[position.shape].groups[accelerators]
    old = (old_cpu, old_memory, worker_id)
    new = (cpu, memory, worker_id)
    _ranking.replace(group.by_cpu, old, new)
    _ranking.replace(
        group.by_memory,
        (old_memory, old_cpu, worker_id),
        (memory, cpu, worker_id),
    )
    centre = index.centres[position.data_centre]
    centre.free_cpu += cpu - old_cpu
    _ranking.replace(centre.rankings[(accelerated, accelerators)], old, new)
    position.cpu_millis = cpu
    position.memory_mb = memory
    return True


def _insert(worker: _state.Worker, index: _state.Index) -> None:
    capacity = worker.capacity
    key = shape_key(capacity)
    worker_id = worker.worker_id
    cpu = worker.free_cpu
    memory = worker.free_memory
    accelerators = worker.free_accelerators
    worker.position = _state.IndexPosition(
        index=index,
        shape=key,
        data_centre=worker.data_centre,
        capacity=capacity,
        cpu_millis=cpu,
        memory_mb=memory,
        accelerators=accelerators,
    )
    accelerated = capacity.accelerators > 0
    shapes = index.accelerated if accelerated else index.unaccelerated
    shape = shapes.get(key)
    if shape is None:
        shape = shapes[key] = _state.Shape()
    shape.members += 1
    shape.cpu_millis += capacity.cpu_millis
    shape.memory_mb += capacity.memory_mb
    group = shape.groups.get(accelerators)
    if group is None:
        group = shape.groups[accelerators] = _state.Group()
        bisect.insort(shape.group_keys, accelerators)
    _ranking.insert(group.by_cpu, (cpu, memory, worker_id))
    _ranking.insert(group.by_memory, (memory, cpu, worker_id))
    centre = index.centres.get(worker.data_centre)
    if centre is None:
        centre = index.centres[worker.data_centre] = _state.DataCentreIndex()
    centre.free_cpu += cpu
    ranking = centre.rankings.get((accelerated, accelerators))
    if ranking is None:
        ranking = _ranking.Ranking()
        centre.rankings[(accelerated, accelerators)] = ranking
    _ranking.insert(ranking, (cpu, memory, worker_id))


def _remove(worker: _state.Worker, position: _state.IndexPosition) -> None:
    index = position.index
    worker_id = worker.worker_id
    cpu = position.cpu_millis
    memory = position.memory_mb
    accelerators = position.accelerators
    accelerated = position.capacity.accelerators > 0
    shapes = index.accelerated if accelerated else index.unaccelerated
    shape = shapes[position.shape]
    group = shape.groups[accelerators]
    _ranking.remove(group.by_cpu, (cpu, memory, worker_id))
    _ranking.remove(group.by_memory, (memory, cpu, worker_id))
    if not group.by_cpu.blocks:
        del shape.groups[accelerators]
        shape.group_keys.remove(accelerators)
    shape.members -= 1
    shape.cpu_millis -= position.capacity.cpu_millis
    shape.memory_mb -= position.capacity.memory_mb
    if not shape.members:
        del shapes[position.shape]
    centre = index.centres[position.data_centre]
    centre.free_cpu -= cpu
    ranking = centre.rankings[(accelerated, accelerators)]
    _ranking.remove(ranking, (cpu, memory, worker_id))
    if not ranking.blocks:
        del centre.rankings[(accelerated, accelerators)]
        if not centre.rankings:
            del index.centres[position.data_centre]
    worker.position = None
