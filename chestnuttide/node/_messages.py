"""Messages between the instances' daemons."""

import typing

import attrs

from chestnuttide import mesh


@attrs.frozen(kw_only=True, slots=True)
class StateRead:
    """Asks a service's owner for a job's state.

    Attributes
    ----------
    call_id : int
        Number of the call.
    service : str
        Service of the job.
    job_id : str
        Id of the job.
    """

    call_id: int
    service: str
    job_id: str


@attrs.frozen(kw_only=True, slots=True)
class StateReply:
    """The owner's reply to `StateRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    owned : bool
        Whether the replying instance owns the service.
    state : str
        State that callers may be shown; empty if the job is unknown.
    queue : str
        Queue of the job.
    workspace : str
        Workspace of the job; empty from a former release.
    """

    call_id: int
    owned: bool
    state: str
    queue: str
    workspace: str = ""


@attrs.frozen(kw_only=True, slots=True)
class PendingRead:
    """Asks a service's owner how many jobs of a queue have not started.

    Attributes
    ----------
    call_id : int
        Number of the call.
    service : str
        Service of the queue.
    queue : str
        Name of the queue.
    """

    call_id: int
    service: str
    queue: str


@attrs.frozen(kw_only=True, slots=True)
class PendingReply:
    """The owner's reply to `PendingRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    owned : bool
        Whether the replying instance owns the service.
    count : int
        Accepted jobs for which no task has started.
    """

    call_id: int
    owned: bool
    count: int


@attrs.frozen(kw_only=True, slots=True)
class AdvisorQuery:
    """Asks an instance to query the advisor.

    Attributes
    ----------
    call_id : int
        Number of the call.
    step : str
        Job, occurrence and step, joined by dots.
    workers : tuple of str
        Worker ids.
    timeout_s : float
        Timeout of the advisor's answer, in seconds.
    waits : bool
        Whether the query may wait for the instance's other ones.
    """

    call_id: int
    step: str
    workers: tuple[str, ...]
    timeout_s: float
    waits: bool = True


@attrs.frozen(kw_only=True, slots=True)
class AdvisorReply:
    """The reply to `AdvisorQuery`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    answered : bool
        Whether the advisor answered.
    tickets : tuple of (str, str)
        Worker id and ticket of each worker that may run the step.
    age_s : float
        Age of the advisor's answer, in seconds.
    busy_s : float
        Time that the instance's other calls to the advisor take, in seconds,
        if the query was rejected because of them.
    """

    call_id: int
    answered: bool
    tickets: tuple[tuple[str, str], ...]
    age_s: float = 0.0
    busy_s: float = 0.0


@attrs.frozen(kw_only=True, slots=True)
class CellRead:
    """Asks a peer for a newer configuration and the services' owners.

    Attributes
    ----------
    call_id : int
        Number of the call.
    known_version : int
        Configuration version of the sender; 0 if it has none.
    accepts_packed : bool
        Whether the sender reads ``packed_document``.
    """

    call_id: int
    known_version: int
    accepts_packed: bool = False


@attrs.frozen(kw_only=True, slots=True)
class CellReply:
    """The reply to `CellRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    document : bytes
        The operator's configuration; empty if it is not newer.
    owners : tuple of (str, str, str, int)
        Service, instance, incarnation and fencing token of each owner.
    directory : bytes
        The directory of the services that may hold jobs; empty if the sender
        does not know it.
    directory_revision : int
        Store revision of the directory.
    config_version : int
        Configuration version of the replying instance; 0 if it has none.
    confirmed_age_s : float
        Age of the last moment at which it knew that version as the newest, in
        seconds; -1 if it does not know, and from a former release.
    packed_document : bytes
        The operator's configuration in compressed form, instead of
        ``document``.
    """

    call_id: int
    document: bytes
    owners: tuple[tuple[str, str, str, int], ...]
    directory: bytes = b""
    directory_revision: int = 0
    config_version: int = 0
    confirmed_age_s: float = -1.0
    packed_document: bytes = b""


@attrs.frozen(kw_only=True, slots=True)
class JobNotice:
    """Notifies a service's owner of a job ahead of the store's watch.

    Attributes
    ----------
    service : str
        Service of the job.
    job_id : str
        Id of the job.
    value : bytes
        The job's record; empty if its cancellation was stored.
    stored : bool
        Whether its write was acknowledged. Otherwise it is in progress.
    """

    service: str
    job_id: str
    value: bytes
    stored: bool


@attrs.frozen(kw_only=True, slots=True)
class JobWrite:
    """Asks an instance that reaches the store to write for the sender.

    Attributes
    ----------
    call_id : int
        Number of the call.
    absent_keys : tuple of str
        Keys that must not exist.
    key : str
        Key to write.
    value : bytes
        Its value.
    service, queue : str
        Service and queue of the job; empty from a former release.
    """

    call_id: int
    absent_keys: tuple[str, ...]
    key: str
    value: bytes
    service: str = ""
    queue: str = ""


@attrs.frozen(kw_only=True, slots=True)
class JobWriteReply:
    """The reply to `JobWrite`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    outcome : str
        ``stored``, ``exists``, ``foreign``, ``refused`` or ``unknown``.
    """

    call_id: int
    outcome: str


@attrs.frozen(kw_only=True, slots=True)
class Release:
    """Asks a peer to remove the sender's ownership from the store.

    Attributes
    ----------
    call_id : int
        Number of the call.
    service : str
        Service to release.
    fencing_token : int
        Fencing token of the ownership.
    former_calls_ms : int
        Time for which owners before the sender may still send commands, in
        milliseconds.
    """

    call_id: int
    service: str
    fencing_token: int
    former_calls_ms: int = 0


@attrs.frozen(kw_only=True, slots=True)
class ReleaseReply:
    """The reply to `Release`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    released : bool
        Whether the ownership no longer exists.
    """

    call_id: int
    released: bool


@attrs.frozen(kw_only=True, slots=True)
class CapUse:
    """Tells the owners of other services what workspaces use and wait for.

    Attributes
    ----------
    service : str
        Service of the sending owner.
    fencing_token : int
        Its fencing token.
    capacity : tuple of int
        Processors in thousandths of a core, memory in megabytes, and
        accelerators of the service's workers.
    rows : tuple of (str, int, int, int, int, int, int, int, int, int, int)
        Workspace; what its runs use, what its most urgent unit that waits for
        its cap needs, and what all those units need, in the three units of
        `capacity`; and how long that unit has waited, in milliseconds.
    """

    service: str
    fencing_token: int
    capacity: tuple[int, ...]
    rows: tuple[tuple[str | int, ...], ...]


@attrs.frozen(kw_only=True, slots=True)
class CapRecord:
    """Tells owners of a change of the caps' parts ahead of the watch.

    Attributes
    ----------
    value : bytes
        Value of the record's key.
    revision : int
        Store revision of the value.
    """

    value: bytes
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class AdmissionRead:
    """Asks a service's owner whether a job is to be stored.

    It stands for a `JobNotice` if the job is admitted.

    Attributes
    ----------
    call_id : int
        Number of the call.
    service : str
        Service of the job.
    job_id : str
        Id of the job.
    value : bytes
        The job's record.
    """

    call_id: int
    service: str
    job_id: str
    value: bytes


@attrs.frozen(kw_only=True, slots=True)
class AdmissionReply:
    """The owner's reply to `AdmissionRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    owned : bool
        Whether the replying instance owns the service.
    admitted : bool
        Whether the job is to be stored.
    reason : str
        Reason of the decision.
    wait_s, chain_s, worth_s : float
        Expected wait and length of the job, and the time after which its end
        is of no worth, in seconds.
    retry_after_s : int
        Delay after which there will be room, in seconds; 0 if admitted.
    """

    call_id: int
    owned: bool
    admitted: bool = True
    reason: str = ""
    wait_s: float = 0.0
    chain_s: float = 0.0
    worth_s: float = 0.0
    retry_after_s: int = 0


MESSAGE_CLASSES: typing.Final[tuple[type, ...]] = (
    mesh.Hello,
    StateRead,
    StateReply,
    PendingRead,
    PendingReply,
    AdvisorQuery,
    AdvisorReply,
    CellRead,
    CellReply,
    JobNotice,
    JobWrite,
    JobWriteReply,
    Release,
    ReleaseReply,
    CapUse,
    CapRecord,
    AdmissionRead,
    AdmissionReply,
)
