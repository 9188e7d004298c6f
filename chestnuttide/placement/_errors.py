"""Errors of the placement state."""

from chestnuttide import errors


class CapacityError(errors.SchedulerError):
    """A reservation would exceed the free capacity of its worker."""

    code = "capacity_exceeded"


class WorkerUnavailableError(errors.SchedulerError):
    """The worker is unknown, leaving, gone, ejected or over capacity."""

    code = "worker_unavailable"


class AttemptConflictError(errors.SchedulerError):
    """The attempt already has a reservation."""

    code = "attempt_conflict"


class GangReservationConflictError(errors.SchedulerError):
    """The cell already reserves workers for another gang."""

    code = "hold_conflict"
