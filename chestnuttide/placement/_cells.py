"""Workers of a cell and the reservations on them."""

import math

from chestnuttide import config
from chestnuttide import model
from chestnuttide.placement import _errors
from chestnuttide.placement import _health
from chestnuttide.placement import _index
from chestnuttide.placement import _preemption
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _state


def make_cell(pool: config.PoolConfig | None = None) -> _state.Cell:
    """Return a cell without workers, with the limits of its pool."""
    return _state.Cell(limits=pool or config.PoolConfig())


def set_limits(cell: _state.Cell, pool: config.PoolConfig) -> None:
    """Apply the limits of a new configuration version."""
    cell.limits = pool
    _health.enforce_ejection_limit(cell)


def upsert_worker(
    cell: _state.Cell, instance: model.Instance, now: float
) -> None:
    """Add a worker, or update its state, location and capacity.

    A worker that is leaving or gone accepts no new work and keeps its
    reservations until they are released. A worker whose capacity shrank below
    its reservations accepts no new work either.
    """
    cell.now = max(cell.now, now)
    worker = cell.workers.get(instance.instance_id)
    if worker is None:
        worker = _add_worker(cell, instance.instance_id)
    _remove_from_counts(cell, worker)
    worker.state = instance.state
    worker.capacity = instance.capacity
    worker.data_centre = instance.data_centre
    worker.rack = instance.rack
    _add_to_counts(cell, worker)
    if instance.state is not model.InstanceState.LIVE:
        _health.clear_outcomes(cell, worker)
    _refresh(cell, worker)
    _health.enforce_ejection_limit(cell)


def remove_worker(cell: _state.Cell, worker_id: str) -> list[model.Attempt]:
    """Remove a worker; returns the attempts that had reservations on it."""
    worker = cell.workers.get(worker_id)
    if worker is None:
        return []
    attempts = list(worker.reservations)
    for attempt in attempts:
        release(cell, attempt)
    _remove_from_counts(cell, worker)
    worker.state = model.InstanceState.GONE
    _health.clear_outcomes(cell, worker)
    _refresh(cell, worker)
    del cell.workers[worker_id]
    cell.overcommitted.pop(worker_id, None)
    _health.enforce_ejection_limit(cell)
    return attempts


def worker_ids(cell: _state.Cell) -> list[str]:
    """Return the ids of all known workers, in the order they were added."""
    return list(cell.workers)


def worker_count(cell: _state.Cell) -> int:
    """Return the number of live workers."""
    return cell.live_count


def capacity_total(cell: _state.Cell) -> model.Resources:
    """Return the sum of the capacities of live workers."""
    return model.Resources(
        cpu_millis=cell.capacity_cpu,
        memory_mb=cell.capacity_memory,
        accelerators=cell.capacity_accelerators,
    )


def reserved_total(cell: _state.Cell) -> model.Resources:
    """Return the sum of all reservations that use no reclaimed capacity.

    Accelerators are included for all reservations.
    """
    return model.Resources(
        cpu_millis=cell.reserved_cpu,
        memory_mb=cell.reserved_memory,
        accelerators=cell.reserved_accelerators,
    )


def free_of(cell: _state.Cell, worker_id: str) -> model.Resources:
    """Return the free capacity of a worker.

    An amount is negative if the reservations exceed the capacity after an
    adoption or a change of capacity. Raises `WorkerUnavailableError` for
    unknown workers.
    """
    worker = _require_worker(cell, worker_id)
    return model.Resources(
        cpu_millis=worker.free_cpu,
        memory_mb=worker.free_memory,
        accelerators=worker.free_accelerators,
    )


def reserve(
    cell: _state.Cell,
    *,
    worker_id: str,
    attempt: model.Attempt,
    need: model.Resources,
    priority: int,
    preemptible: bool,
    checkpoint: bool,
    throttle: bool,
    urgent: bool,
    expected_end: float,
    reclaimed: bool = False,
    started: float | None = None,
) -> None:
    """Reserve resources on a worker for an attempt.

    Parameters
    ----------
    cell : Cell
        The cell.
    worker_id : str
        Worker that will run the attempt.
    attempt : Attempt
        The attempt.
    need : Resources
        Amount to reserve.
    priority : int
        Priority; work of a higher priority may evict it.
    preemptible, checkpoint, throttle, urgent : bool
        See `Reservation`.
    expected_end : float
        Time in seconds at which it is expected to end; infinite for
        long-running work.
    reclaimed : bool
        Whether it uses capacity that is reserved by others but unused.
    started : float, optional
        Start time in seconds; by default the latest time known to the cell.

    Raises
    ------
    WorkerUnavailableError
        The worker is unknown or accepts no new work.
    AttemptConflictError
        The attempt already has a reservation.
    CapacityError
        The free or reclaimable capacity of the worker is less than the need.
    """
    worker = _require_worker(cell, worker_id)
    if worker.position is None:
        raise _errors.WorkerUnavailableError(
            message=f"Worker {worker_id} takes no new work.",
            remedy="Choose another worker.",
        )
    if attempt in cell.reservations:
        raise _errors.AttemptConflictError(
            message=f"{attempt} already has a reservation.",
            remedy="Release it first, or use the next attempt number.",
        )
    if reclaimed:
        _reclaim.require_reclaimable(
            worker, need=need, checkpoint=checkpoint, throttle=throttle
        )
    elif (
        need.cpu_millis > worker.free_cpu
        or need.memory_mb > worker.free_memory
        or need.accelerators > worker.free_accelerators
    ):
        raise _errors.CapacityError(
            message=(
                f"Worker {worker_id} has too little free capacity for {need}."
            ),
            remedy="Choose another worker.",
        )
    _add_reservation(
        cell,
        worker,
        _state.Reservation(
            attempt=attempt,
            worker_id=worker_id,
            need=need,
            priority=priority,
            preemptible=preemptible,
            checkpoint=checkpoint,
            throttle=throttle,
            urgent=urgent,
            reclaimed=reclaimed,
            started=cell.now if started is None else started,
            expected_end=expected_end,
        ),
    )


def adopt(
    cell: _state.Cell,
    *,
    worker_id: str,
    attempt: model.Attempt,
    need: model.Resources,
    priority: int,
    preemptible: bool,
    checkpoint: bool,
    throttle: bool,
    urgent: bool,
    expected_end: float,
    started: float,
    reclaimed: bool = False,
) -> None:
    """Reserve for an attempt that a worker reports, even beyond its capacity.

    The parameters are those of `reserve`. An unknown worker is added without
    capacity, so it accepts no new work until the instance list names it.
    Adopting an attempt again on the same worker replaces its reservation; on
    another worker it raises `AttemptConflictError`.
    """
    existing = cell.reservations.get(attempt)
    if existing is not None:
        if existing.worker_id != worker_id:
            raise _errors.AttemptConflictError(
                message=(
                    f"{attempt} is reserved on {existing.worker_id} and"
                    f" reported by {worker_id}."
                ),
                remedy="Stop it on the worker that reported it last.",
            )
        release(cell, attempt)
    worker = cell.workers.get(worker_id)
    if worker is None:
        worker = _add_worker(cell, worker_id)
    _add_reservation(
        cell,
        worker,
        _state.Reservation(
            attempt=attempt,
            worker_id=worker_id,
            need=need,
            priority=priority,
            preemptible=preemptible,
            checkpoint=checkpoint,
            throttle=throttle,
            urgent=urgent,
            reclaimed=reclaimed,
            started=started,
            expected_end=expected_end,
        ),
    )


def release(cell: _state.Cell, attempt: model.Attempt) -> str | None:
    """Release an attempt's reservation.

    Returns the id of its worker, or None if it has no reservation.
    """
    reservation = cell.reservations.pop(attempt, None)
    if reservation is None:
        return None
    worker = cell.workers[reservation.worker_id]
    del worker.reservations[attempt]
    _update_sums(cell, worker, reservation, -1)
    _reclaim.remove_usage(worker, reservation)
    if worker.ejected:
        _health.record_end(worker, attempt)
    _refresh(cell, worker)
    return worker.worker_id


def attempts_on(cell: _state.Cell, worker_id: str) -> list[model.Attempt]:
    """Return the attempts on a worker; none for an unknown worker."""
    worker = cell.workers.get(worker_id)
    return [] if worker is None else list(worker.reservations)


def reservation_of(
    cell: _state.Cell, attempt: model.Attempt
) -> _state.Reservation | None:
    """Return the reservation of an attempt, or None."""
    return cell.reservations.get(attempt)


def _require_worker(cell: _state.Cell, worker_id: str) -> _state.Worker:
    worker = cell.workers.get(worker_id)
    if worker is None:
        raise _errors.WorkerUnavailableError(
            message=f"Worker {worker_id} is unknown.",
            remedy="Choose a worker of the cell.",
        )
    return worker


def _add_worker(cell: _state.Cell, worker_id: str) -> _state.Worker:
    worker = cell.workers[worker_id] = _state.Worker(worker_id=worker_id)
    _add_to_counts(cell, worker)
    return worker


def _add_to_counts(cell: _state.Cell, worker: _state.Worker) -> None:
    racks = cell.racks.setdefault(worker.data_centre, {})
    racks[worker.rack] = racks.get(worker.rack, 0) + 1
    if worker.state is model.InstanceState.LIVE:
        _update_live_totals(cell, worker.capacity, 1)


def _remove_from_counts(cell: _state.Cell, worker: _state.Worker) -> None:
    racks = cell.racks[worker.data_centre]
    racks[worker.rack] -= 1
    if not racks[worker.rack]:
        del racks[worker.rack]
        if not racks:
            del cell.racks[worker.data_centre]
    if worker.state is model.InstanceState.LIVE:
        _update_live_totals(cell, worker.capacity, -1)


def _update_live_totals(
    cell: _state.Cell, capacity: model.Resources, sign: int
) -> None:
    cell.live_count += sign
    count = cell.capacities.get(capacity, 0) + sign
    if count:
        cell.capacities[capacity] = count
    else:
        del cell.capacities[capacity]
    cell.capacity_cpu += sign * capacity.cpu_millis
    cell.capacity_memory += sign * capacity.memory_mb
    cell.capacity_accelerators += sign * capacity.accelerators


def _add_reservation(
    cell: _state.Cell,
    worker: _state.Worker,
    reservation: _state.Reservation,
) -> None:
    attempt = reservation.attempt
    cell.reservations[attempt] = reservation
    worker.reservations[attempt] = reservation
    _update_sums(cell, worker, reservation, 1)
    _reclaim.add_usage(worker, reservation)
    if worker.ejected:
        _health.record_start(worker, attempt)
    _refresh(cell, worker)


def _update_sums(
    cell: _state.Cell,
    worker: _state.Worker,
    reservation: _state.Reservation,
    sign: int,
) -> None:
    """Add a reservation to all sums that include it, or subtract it."""
    need = reservation.need
    cpu = sign * need.cpu_millis
    memory = sign * need.memory_mb
    accelerators = sign * need.accelerators
    worker.accelerators += accelerators
    _update_expected_ends(cell, reservation, sign)
    cell.reserved_accelerators += accelerators
    if not reservation.reclaimed:
        worker.guaranteed_cpu += cpu
        worker.guaranteed_memory += memory
        cell.reserved_cpu += cpu
        cell.reserved_memory += memory
    if not reservation.throttle:
        worker.unthrottleable_cpu += cpu
        worker.unthrottleable_memory += memory
    if not reservation.checkpoint:
        worker.uncheckpointable_memory += memory
    if not reservation.preemptible:
        return
    priority = reservation.priority
    evictable = worker.evictable.get(priority)
    if evictable is None:
        evictable = worker.evictable[priority] = _state.EvictableTotals()
        cell.preemptible[priority] = cell.preemptible.get(priority, 0) + 1
    evictable.count += sign
    evictable.cpu_millis += cpu
    evictable.memory_mb += memory
    evictable.accelerators += accelerators
    if not evictable.count:
        del worker.evictable[priority]
        cell.preemptible[priority] -= 1
        if not cell.preemptible[priority]:
            del cell.preemptible[priority]


def _update_expected_ends(
    cell: _state.Cell, reservation: _state.Reservation, sign: int
) -> None:
    end = reservation.expected_end
    if reservation.reclaimed or end == math.inf:
        return
    second = int(end)
    if sign > 0:
        cell.expected_ends.setdefault(second, {})[reservation] = None
        return
    ends = cell.expected_ends[second]
    del ends[reservation]
    if not ends:
        del cell.expected_ends[second]


def _refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    _index.refresh(cell, worker)
    _preemption.refresh(cell, worker)
    _reclaim.refresh(cell, worker)
