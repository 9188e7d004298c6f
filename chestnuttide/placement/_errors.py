"""Errors of the placement state."""

from chestnuttide import errors


class CapacityError(errors.SchedulerError):
    """A reservation would exceed what its worker can still take."""

    code = "capacity_exceeded"


class WorkerUnavailableError(errors.SchedulerError):
    """The worker is unknown, leaving, gone, ejected or over capacity."""

    code = "worker_unavailable"


class AttemptConflictError(errors.SchedulerError):
    """The attempt already holds a reservation."""

    code = "attempt_conflict"


class HoldConflictError(errors.SchedulerError):
    """The cell already holds workers for another gang."""

    code = "hold_conflict"
