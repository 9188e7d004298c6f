"""Input and output messages of the pool filter."""

import enum

import attrs

from chestnuttide import config
from chestnuttide import errors
from chestnuttide import model


class StartOutcome(enum.StrEnum):
    """Outcome of sending a start to a worker.

    ``EXPIRED``: this start and all earlier starts of the attempt arrived too
    late to take effect.
    ``UNANSWERED``: the worker may have received the start.
    ``UNSENT``: the worker certainly did not receive the start.
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
        Identifies the call in the answer.
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
        Identifies the call in the answer.
    job_id : str
        The job.
    """

    token: object
    job_id: str


@attrs.frozen(kw_only=True, slots=True)
class WorkersChanged:
    """Workers of the pool changed in the instance list.

    Attributes
    ----------
    instances : tuple of Instance
        The changed workers; instances of other kinds are ignored.
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
        All live attempts, and the completions that are not acknowledged.
    sent_at : float
        Time in seconds at which the sync was sent.
    """

    worker_id: str
    reports: tuple[model.AttemptReport, ...]
    sent_at: float


@attrs.frozen(kw_only=True, slots=True)
class SyncFailed:
    """A sync was not answered.

    Attributes
    ----------
    worker_id : str
        The worker.
    sent_at : float
        Time in seconds at which the sync was sent.
    received : bool
        Whether the worker may have received it, which would renew its leases.
    """

    worker_id: str
    sent_at: float
    received: bool = True


@attrs.frozen(kw_only=True, slots=True)
class StartResult:
    """The outcome of one start is known; follows each `StartTask`.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    outcome : StartOutcome
        Outcome of the start.
    sent_at : float
        Time in seconds at which the start was sent.
    """

    worker_id: str
    attempt: model.Attempt
    outcome: StartOutcome
    sent_at: float


@attrs.frozen(kw_only=True, slots=True)
class JournalDurable:
    """Journal events are durable.

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
        Whether commits have stopped; new jobs are refused while they have.
    """

    stalled: bool


@attrs.frozen(kw_only=True, slots=True)
class ConfigChanged:
    """A new configuration version is in force.

    Attributes
    ----------
    document : CellConfig
        The complete configuration.
    """

    document: config.CellConfig


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class Stopping:
    """The shard is being handed over; it accepts and starts nothing new."""


@attrs.frozen(kw_only=True, slots=True)
class Recovered:
    """The shard has been taken over by this process.

    Attributes
    ----------
    snapshot : bytes
        Last snapshot; empty if there is none.
    events : tuple of bytes
        Events after the snapshot, oldest first.
    clean : bool
        Whether the previous owner handed the shard over cleanly.
    """

    snapshot: bytes = b""
    events: tuple[bytes, ...] = ()
    clean: bool = False


@attrs.frozen(kw_only=True, slots=True)
class StartTask:
    """Send a start command to the worker.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    resources : Resources
        Resources that the worker reserves.
    payload : bytes
        JSON object that describes what to run.
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
    """Send a stop command to the worker.

    Attributes
    ----------
    worker_id : str
        The worker.
    attempt : Attempt
        The attempt.
    checkpoint : bool
        Whether the worker checkpoints the attempt first.
    """

    worker_id: str
    attempt: model.Attempt
    checkpoint: bool


@attrs.frozen(kw_only=True, slots=True)
class ThrottleTask:
    """Throttle an attempt to a share of its processor time.

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
    """Acknowledge a completion to the worker in its next sync.

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
        Identifies the event in `JournalDurable`; tokens are ascending.
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
        ``cancelled``, or the final state of a job that had already ended.
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
        Reason for the retry.
    """

    reason: errors.RetryReason


@attrs.frozen(kw_only=True, slots=True)
class Refused:
    """Count a refusal.

    Attributes
    ----------
    reason : Reason
        Why the job was refused, or why it ended while waiting.
    """

    reason: errors.Reason


@attrs.frozen(kw_only=True, slots=True)
class Placed:
    """Count the first start of a task.

    Attributes
    ----------
    wait_s : float
        Seconds from the arrival of the job to the start.
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
    """A worker has seen a higher epoch, so the shard has another owner."""
