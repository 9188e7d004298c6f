"""What the pool filter takes and what it returns."""

import enum

import attrs

from chestnuttide import config
from chestnuttide import errors
from chestnuttide import model


class StartOutcome(enum.StrEnum):
    """How the sending of a start ended.

    ``EXPIRED`` means that the start came too late to take effect, and so did
    all earlier ones of the attempt.
    ``UNANSWERED`` means that the worker may have received the start,
    ``UNSENT`` that it certainly did not.
    """

    STARTED = "started"
    RUNNING = "running"
    ENDED = "ended"
    NO_CAPACITY = "no_capacity"
    EXPIRED = "expired"
    UNANSWERED = "unanswered"
    UNSENT = "unsent"
    STALE_EPOCH = "stale_epoch"


@attrs.frozen(kw_only=True, slots=True)
class SubmitJob:
    """A caller submits a job.

    Attributes
    ----------
    token : object
        Names the call in the answer.
    job : Job
        The job.
    """

    token: object
    job: model.Job


@attrs.frozen(kw_only=True, slots=True)
class CancelJob:
    """A caller cancels a job.

    Attributes
    ----------
    token : object
        Names the call in the answer.
    job_id : str
        The job.
    """

    token: object
    job_id: str


@attrs.frozen(kw_only=True, slots=True)
class WorkersChanged:
    """The instance list has changes for workers of the pool.

    Attributes
    ----------
    instances : tuple of Instance
        The workers that changed; other kinds are ignored.
    """

    instances: tuple[model.Instance, ...]


@attrs.frozen(kw_only=True, slots=True)
class SyncSent:
    """A sync is about to be sent to a worker.

    Attributes
    ----------
    worker_id : str
        The worker.
    lease_s : float
        Lease in seconds that the sync grants.
    """

    worker_id: str
    lease_s: float


@attrs.frozen(kw_only=True, slots=True)
class SyncReport:
    """A worker answered a sync.

    Attributes
    ----------
    worker_id : str
        The worker.
    reports : tuple of AttemptReport
        All live attempts, and the ended ones that are not acknowledged.
    sent_at : float
        Time in seconds at which the sync was sent.
    """

    worker_id: str
    reports: tuple[model.AttemptReport, ...]
    sent_at: float


@attrs.frozen(kw_only=True, slots=True)
class SyncFailed:
    """A sync got no answer.

    Attributes
    ----------
    worker_id : str
        The worker.
    sent_at : float
        Time in seconds at which the sync was sent.
    received : bool
        Whether the worker may have received it, which renews its leases.
    """

    worker_id: str
    sent_at: float
    received: bool = True


@attrs.frozen(kw_only=True, slots=True)
class StartResult:
    """The sending of one start ended; follows each `StartTask`.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    outcome : StartOutcome
        What is known about it.
    sent_at : float
        Time in seconds at which the start was sent.
    """

    worker_id: str
    attempt: model.Attempt
    outcome: StartOutcome
    sent_at: float


@attrs.frozen(kw_only=True, slots=True)
class JournalDurable:
    """Events are durable.

    Attributes
    ----------
    tokens : tuple of int
        Tokens of their `AppendEvent` messages.
    """

    tokens: tuple[int, ...]


@attrs.frozen(kw_only=True, slots=True)
class JournalStalled:
    """The journal stopped or resumed committing.

    Attributes
    ----------
    stalled : bool
        Whether it does not commit; new jobs are refused meanwhile.
    """

    stalled: bool


@attrs.frozen(kw_only=True, slots=True)
class ConfigChanged:
    """A new configuration version is in force.

    Attributes
    ----------
    document : CellConfig
        The whole configuration.
    """

    document: config.CellConfig


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """Time passed."""


@attrs.frozen(kw_only=True, slots=True)
class Stopping:
    """The owner hands the shard over; nothing new is accepted or started."""


@attrs.frozen(kw_only=True, slots=True)
class Recovered:
    """The shard was taken over by this process.

    Attributes
    ----------
    snapshot : bytes
        Last snapshot; empty for none.
    events : tuple of bytes
        Events after the snapshot, oldest first.
    clean : bool
        Whether the former owner handed over in order.
    """

    snapshot: bytes = b""
    events: tuple[bytes, ...] = ()
    clean: bool = False


@attrs.frozen(kw_only=True, slots=True)
class StartTask:
    """Send this start to the worker.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    resources : Resources
        What the worker reserves.
    payload : bytes
        JSON object that says what to run.
    lease_s : float
        Lease of the attempt, in seconds.
    """

    worker_id: str
    attempt: model.Attempt
    resources: model.Resources
    payload: bytes
    lease_s: float


@attrs.frozen(kw_only=True, slots=True)
class StopTask:
    """Send this stop to the worker.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    checkpoint : bool
        Whether it is checkpointed first.
    """

    worker_id: str
    attempt: model.Attempt
    checkpoint: bool


@attrs.frozen(kw_only=True, slots=True)
class ThrottleTask:
    """Limit an attempt to a share of its processor time.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    share : float
        Share of its processor time; 1 ends the throttling.
    """

    worker_id: str
    attempt: model.Attempt
    share: float


@attrs.frozen(kw_only=True, slots=True)
class AcknowledgeEnd:
    """Tell the worker in the next sync that the end is recorded.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The ended attempt.
    """

    worker_id: str
    attempt: model.Attempt


@attrs.frozen(kw_only=True, slots=True)
class AppendEvent:
    """Append an event to the shard's journal.

    Attributes
    ----------
    event : bytes
        The event.
    token : int
        Names the event in `JournalDurable`; ascending.
    """

    event: bytes
    token: int


@attrs.frozen(kw_only=True, slots=True)
class JobAccepted:
    """Answer a submission: the job is durable.

    Attributes
    ----------
    token : object
        The call.
    job_id : str
        The job.
    """

    token: object
    job_id: str


@attrs.frozen(kw_only=True, slots=True)
class JobRefused:
    """Answer a submission or cancellation with a refusal.

    Attributes
    ----------
    token : object
        The call.
    error : RefusedError
        The refusal.
    """

    token: object
    error: errors.RefusedError


@attrs.frozen(kw_only=True, slots=True)
class JobCancelled:
    """Answer a cancellation.

    Attributes
    ----------
    token : object
        The call.
    job_id : str
        The job.
    state : JobState
        ``cancelled``, or the final state of a job that had ended before.
    """

    token: object
    job_id: str
    state: model.JobState


@attrs.frozen(kw_only=True, slots=True)
class Retried:
    """Count a retry.

    Attributes
    ----------
    reason : RetryReason
        Why something is tried again.
    """

    reason: errors.RetryReason


@attrs.frozen(kw_only=True, slots=True)
class Refused:
    """Count a refusal.

    Attributes
    ----------
    reason : Reason
        Why a job was refused or gave up waiting.
    """

    reason: errors.Reason


@attrs.frozen(kw_only=True, slots=True)
class Placed:
    """Count the first start of a task.

    Attributes
    ----------
    wait_s : float
        Seconds from the job's arrival to the start.
    workload_class : str
        Class of the job.
    urgent : bool
        Whether the job is urgent.
    """

    wait_s: float
    workload_class: str
    urgent: bool


@attrs.frozen(kw_only=True, slots=True)
class Deposed:
    """A worker has seen a higher epoch; the shard has another owner."""
