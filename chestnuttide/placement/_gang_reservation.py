"""Reservation of workers for a waiting gang; one at a time per cell."""

from chestnuttide.placement import _errors
from chestnuttide.placement import _index
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _state


def reserve_for_gang(
    cell: _state.Cell, *, plan: _state.GangPlan, key: str, now: float
) -> None:
    """Reserve the workers of a plan for one gang.

    Parameters
    ----------
    cell : Cell
        The cell.
    plan : GangPlan
        Plan of the gang; replaces an earlier one of the same gang.
    key : str
        Key of the gang, for example its job id.
    now : float
        Time in seconds.

    Raises
    ------
    GangReservationConflictError
        Workers are reserved for another gang.
    """
    expire(cell, now)
    if cell.gang_reservation is not None and cell.reserved_gang != key:
        raise _errors.GangReservationConflictError(
            message=f"Workers are reserved for gang {cell.reserved_gang}.",
            remedy="Wait until that reservation is released or expires.",
        )
    release_gang_reservation(cell)
    cell.gang_reservation = plan
    cell.reserved_gang = key
    _set_reserved(cell, plan, reserved=True)


def release_gang_reservation(cell: _state.Cell) -> str | None:
    """End the gang reservation; returns the key of its gang, or None."""
    if cell.gang_reservation is None:
        return None
    plan = cell.gang_reservation
    key = cell.reserved_gang
    cell.gang_reservation = None
    cell.reserved_gang = ""
    _set_reserved(cell, plan, reserved=False)
    return key


def reserved_gang_key(cell: _state.Cell) -> str | None:
    """Return the key of the gang that workers are reserved for, or None."""
    return None if cell.gang_reservation is None else cell.reserved_gang


def expire(cell: _state.Cell, now: float) -> None:
    """Release the gang reservation if it has expired."""
    if (
        cell.gang_reservation is not None
        and now >= cell.gang_reservation.expires_at
    ):
        release_gang_reservation(cell)


def may_backfill(
    cell: _state.Cell, *, expected_run_s: float | None, now: float
) -> bool:
    """Return whether work is expected to end before the gang starts."""
    return (
        cell.gang_reservation is not None
        and expected_run_s is not None
        and now + expected_run_s <= cell.gang_reservation.starts_at
    )


def _set_reserved(
    cell: _state.Cell, plan: _state.GangPlan, *, reserved: bool
) -> None:
    for worker_id in set(plan.worker_ids):
        worker = cell.workers.get(worker_id)
        if worker is not None and worker.reserved_for_gang is not reserved:
            worker.reserved_for_gang = reserved
            _index.refresh(cell, worker)
            _reclaim.refresh(cell, worker)
