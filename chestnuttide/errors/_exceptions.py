"""Exception classes, and the reasons for refusals and retries."""

import enum
import typing


class Reason(enum.StrEnum):
    """Why a request, job or patch was refused.

    The value is the stable code that callers and operators see, and the label
    value of the refusal counter.
    """

    MALFORMED = "malformed"
    UNKNOWN_FIELD = "unknown_field"
    INVALID_VALUE = "invalid_value"
    TOO_LARGE = "too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_REQUEST = "unknown_request"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DUPLICATE_ID = "duplicate_id"
    CANCELLED = "cancelled"
    QUEUE_FULL = "queue_full"
    MESH_QUEUE_FULL = "mesh_queue_full"
    QUOTA_EXCEEDED = "quota_exceeded"
    FITS_NOWHERE = "fits_nowhere"
    NOT_OWNER = "not_owner"
    NO_OWNER = "no_owner"
    LEASE_LOST = "lease_lost"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_INVALID = "config_invalid"
    UNKNOWN_VERSION = "unknown_version"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class RetryReason(enum.StrEnum):
    """Why something was retried; the label value of the retry counter."""

    CONNECT_FAILED = "connect_failed"
    TARGET_ERROR = "target_error"
    TARGET_LEAVING = "target_leaving"
    NOT_OWNER = "not_owner"
    NO_OWNER = "no_owner"
    CONNECTION_LOST = "connection_lost"
    START_UNANSWERED = "start_unanswered"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    PREEMPTED = "preempted"
    STORE_ANSWER_LOST = "store_answer_lost"
    STORE_ERROR = "store_error"
    CAS_CONFLICT = "cas_conflict"
    HEDGE = "hedge"


class RunState(enum.StrEnum):
    """Whether refused work ran, as far as is known."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


# HTTP status of each refusal. 409 means that the id or the version conflicts,
# 503 that the same request may be sent again later.
HTTP_STATUS: typing.Final[dict[Reason, int]] = {
    Reason.MALFORMED: 400,
    Reason.UNKNOWN_FIELD: 400,
    Reason.INVALID_VALUE: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_TEAM: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.DUPLICATE_ID: 409,
    Reason.CANCELLED: 409,
    Reason.QUEUE_FULL: 503,
    Reason.MESH_QUEUE_FULL: 503,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.FITS_NOWHERE: 422,
    Reason.NOT_OWNER: 503,
    Reason.NO_OWNER: 503,
    Reason.LEASE_LOST: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.CONFIG_CONFLICT: 409,
    Reason.CONFIG_INVALID: 422,
    Reason.UNKNOWN_VERSION: 404,
    Reason.TARGET_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.INTERNAL: 500,
}


class SchedulerError(Exception):
    """Base class of all errors of the scheduler.

    Parameters
    ----------
    message : str
        What went wrong, in one sentence.
    remedy : str
        How to resolve it, in one sentence.

    Attributes
    ----------
    code : str
        Stable code of the error class.
    """

    code: typing.ClassVar[str] = "internal"

    def __init__(self, *, message: str, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy


class RefusedError(SchedulerError):
    """A request, job or patch was refused.

    Parameters
    ----------
    reason : Reason
        Reason for the refusal.
    message, remedy : str
        See `SchedulerError`.
    run_state : RunState
        Whether the refused work ran.
    details : dict of str to object, optional
        Additional fields for the response, for example the conflicting keys.
    """

    code = "refused"

    def __init__(
        self,
        *,
        reason: Reason,
        message: str,
        remedy: str,
        run_state: RunState = RunState.NOT_RUN,
        details: dict[str, object] | None = None,
    ) -> None:
        super().__init__(message=message, remedy=remedy)
        self.reason = reason
        self.run_state = run_state
        self.details = details or {}


class SettingsError(SchedulerError):
    """The settings are invalid or cannot be applied."""

    code = "settings_invalid"


class StoreUnavailableError(SchedulerError):
    """The store did not answer; a write may or may not have taken effect."""

    code = "store_unavailable"


class RevisionConflictError(SchedulerError):
    """A compare-and-swap found a revision other than the expected one."""

    code = "revision_conflict"


class LeaseExpiredError(SchedulerError):
    """A lease is unknown to the store or has expired."""

    code = "lease_expired"


class PlatformError(SchedulerError):
    """A worker agent, a target or the instance list did not answer.

    Parameters
    ----------
    sent : bool
        Whether any byte may have reached the peer.
    """

    code = "platform_unavailable"

    def __init__(self, *, message: str, remedy: str, sent: bool) -> None:
        super().__init__(message=message, remedy=remedy)
        self.sent = sent


class MeshError(SchedulerError):
    """A mesh connection is closed or its queue is full."""

    code = "mesh_unavailable"


class PeerNotConnectedError(MeshError):
    """An instance is not connected; nothing was sent to it."""

    code = "peer_not_connected"


class ProtocolError(SchedulerError):
    """A peer sent a message that cannot be decoded."""

    code = "protocol_error"


class DeposedError(SchedulerError):
    """Another instance has taken over the shard."""

    code = "deposed"
