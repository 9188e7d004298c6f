"""Placement of tasks on the workers of a pool, preemption and reclaiming."""

from chestnuttide.placement import _cells
from chestnuttide.placement import _errors
from chestnuttide.placement import _gang_reservation
from chestnuttide.placement import _gangs
from chestnuttide.placement import _health
from chestnuttide.placement import _preemption
from chestnuttide.placement import _reclaim
from chestnuttide.placement import _scoring
from chestnuttide.placement import _state

AttemptConflictError = _errors.AttemptConflictError
CapacityError = _errors.CapacityError
Cell = _state.Cell
GangPlan = _state.GangPlan
GangReservationConflictError = _errors.GangReservationConflictError
Relief = _reclaim.Relief
ReliefAction = _reclaim.ReliefAction
Reservation = _state.Reservation
SpreadCounts = _scoring.SpreadCounts
WorkerUnavailableError = _errors.WorkerUnavailableError
adopt = _cells.adopt
attempts_on = _cells.attempts_on
capacity_total = _cells.capacity_total
choose_gang = _gangs.choose_gang
choose_reclaimed_worker = _reclaim.choose_reclaimed_worker
choose_victims = _preemption.choose_victims
choose_worker = _scoring.choose_worker
count_spread = _scoring.count_spread
count_task = _scoring.count_task
free_of = _cells.free_of
gang_capacity = _scoring.gang_capacity
is_ejected = _health.is_ejected
largest_worker_fits = _scoring.largest_worker_fits
make_cell = _cells.make_cell
mark_throttled = _reclaim.mark_throttled
plan_gang_reservation = _gangs.plan_gang_reservation
reclaimable = _reclaim.reclaimable
record_outcome = _health.record_outcome
record_usage = _reclaim.record_usage
release = _cells.release
release_gang_reservation = _gang_reservation.release_gang_reservation
relief_actions = _reclaim.relief_actions
remove_worker = _cells.remove_worker
reservation_of = _cells.reservation_of
reserve = _cells.reserve
reserve_for_gang = _gang_reservation.reserve_for_gang
reserved_gang_key = _gang_reservation.reserved_gang_key
reserved_total = _cells.reserved_total
set_limits = _cells.set_limits
upsert_worker = _cells.upsert_worker
worker_count = _cells.worker_count
worker_ids = _cells.worker_ids

__all__ = [
    "AttemptConflictError",
    "CapacityError",
    "Cell",
    "GangPlan",
    "GangReservationConflictError",
    "Relief",
    "ReliefAction",
    "Reservation",
    "SpreadCounts",
    "WorkerUnavailableError",
    "adopt",
    "attempts_on",
    "capacity_total",
    "choose_gang",
    "choose_reclaimed_worker",
    "choose_victims",
    "choose_worker",
    "count_spread",
    "count_task",
    "free_of",
    "gang_capacity",
    "is_ejected",
    "largest_worker_fits",
    "make_cell",
    "mark_throttled",
    "plan_gang_reservation",
    "reclaimable",
    "record_outcome",
    "record_usage",
    "release",
    "release_gang_reservation",
    "relief_actions",
    "remove_worker",
    "reservation_of",
    "reserve",
    "reserve_for_gang",
    "reserved_gang_key",
    "reserved_total",
    "set_limits",
    "upsert_worker",
    "worker_count",
    "worker_ids",
]
