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
    """The owner's answer to `StateRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    owned : bool
        Whether the answering instance owns the service.
    state : str
        State that may be shown; empty if the job is not known.
    queue : str
        Queue of the job.
    """

    call_id: int
    owned: bool
    state: str
    queue: str


@attrs.frozen(kw_only=True, slots=True)
class PendingRead:
    """Asks a service's owner how many jobs of a queue have not begun.

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
    """The owner's answer to `PendingRead`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    owned : bool
        Whether the answering instance owns the service.
    count : int
        Accepted jobs for which no task has started.
    """

    call_id: int
    owned: bool
    count: int


@attrs.frozen(kw_only=True, slots=True)
class AdvisorQuery:
    """Asks an instance to call the advisor.

    Attributes
    ----------
    call_id : int
        Number of the call.
    step : str
        Job, occurrence and step.
    workers : tuple of str
        Worker ids.
    timeout_s : float
        Limit of the advisor's answer in seconds.
    """

    call_id: int
    step: str
    workers: tuple[str, ...]
    timeout_s: float


@attrs.frozen(kw_only=True, slots=True)
class AdvisorReply:
    """The advisor's answer.

    Attributes
    ----------
    call_id : int
        Number of the call.
    answered : bool
        Whether the advisor has answered.
    tickets : tuple of (str, str)
        Worker id and ticket of each worker that may run the step.
    age_s : float
        Seconds since the advisor's answer.
    """

    call_id: int
    answered: bool
    tickets: tuple[tuple[str, str], ...]
    age_s: float = 0.0


@attrs.frozen(kw_only=True, slots=True)
class CellRead:
    """Asks for a newer configuration and for the services' owners.

    Attributes
    ----------
    call_id : int
        Number of the call.
    known_version : int
        Version that the sender has.
    """

    call_id: int
    known_version: int


@attrs.frozen(kw_only=True, slots=True)
class CellReply:
    """What the answering instance knows of the cell.

    Attributes
    ----------
    call_id : int
        Number of the call.
    document : bytes
        The operator's configuration; empty if it is not newer.
    owners : tuple of (str, str, str, int)
        Service, instance, incarnation and fencing token of each owner.
    """

    call_id: int
    document: bytes
    owners: tuple[tuple[str, str, str, int], ...]


@attrs.frozen(kw_only=True, slots=True)
class JobNotice:
    """Tells a service's owner of a job before the store's watch does.

    Attributes
    ----------
    service : str
        Service of the job.
    job_id : str
        Id of the job.
    value : bytes
        The job's record; empty if its cancellation was stored.
    stored : bool
        Whether its write was acknowledged; before, it is under way.
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
    """

    call_id: int
    absent_keys: tuple[str, ...]
    key: str
    value: bytes


@attrs.frozen(kw_only=True, slots=True)
class JobWriteReply:
    """What became of a `JobWrite`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    outcome : str
        ``stored``, ``exists``, ``refused`` or ``unknown``.
    """

    call_id: int
    outcome: str


@attrs.frozen(kw_only=True, slots=True)
class Release:
    """Asks for the removal of the sender's own ownership from the store.

    Attributes
    ----------
    call_id : int
        Number of the call.
    service : str
        Service that is given up.
    fencing_token : int
        Fencing token of the ownership.
    """

    call_id: int
    service: str
    fencing_token: int


@attrs.frozen(kw_only=True, slots=True)
class ReleaseReply:
    """What became of a `Release`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    released : bool
        Whether the ownership is gone.
    """

    call_id: int
    released: bool


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
)
