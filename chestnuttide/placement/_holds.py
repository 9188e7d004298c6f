"""The one bounded reservation of workers for a gang that waits."""

from chestnuttide.placement import _errors
from chestnuttide.placement import _index
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _state


def hold(
    cell: _state.Cell, *, plan: _state.GangPlan, key: str, now: float
) -> None:
    """Hold the workers of a plan for one gang.

    Parameters
    ----------
    cell : Cell
        The cell.
    plan : GangPlan
        The plan to hold; replaces an earlier one of the same gang.
    key : str
        Name of the gang, for example its job id.
    now : float
        Time in seconds.

    Raises
    ------
    HoldConflictError
        Workers are held for another gang.
    """
    expire(cell, now)
    if cell.hold is not None and cell.hold_key != key:
        raise _errors.HoldConflictError(
            message=f"Workers are held for gang {cell.hold_key}.",
            remedy="Wait until its reservation is released or expires.",
        )
    release_hold(cell)
    cell.hold = plan
    cell.hold_key = key
    _mark(cell, plan, held=True)


def release_hold(cell: _state.Cell) -> str | None:
    """Open the held workers; returns the key of the hold, or None."""
    if cell.hold is None:
        return None
    plan = cell.hold
    key = cell.hold_key
    cell.hold = None
    cell.hold_key = ""
    _mark(cell, plan, held=False)
    return key


def held_key(cell: _state.Cell) -> str | None:
    """Return the key of the current hold, or None."""
    return None if cell.hold is None else cell.hold_key


def expire(cell: _state.Cell, now: float) -> None:
    """Release the hold when its time is over."""
    if cell.hold is not None and now >= cell.hold.expires_at:
        release_hold(cell)


def may_backfill(
    cell: _state.Cell, *, expected_run_s: float | None, now: float
) -> bool:
    """Return whether work ends before the hold needs its workers."""
    return (
        cell.hold is not None
        and expected_run_s is not None
        and now + expected_run_s <= cell.hold.starts_at
    )


def _mark(cell: _state.Cell, plan: _state.GangPlan, *, held: bool) -> None:
    for worker_id in set(plan.worker_ids):
        worker = cell.workers.get(worker_id)
        if worker is not None and worker.held is not held:
            worker.held = held
            _index.refresh(cell, worker)
            _reclaim.refresh(cell, worker)
