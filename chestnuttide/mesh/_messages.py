"""Messages between the daemons of the cell.

Durations are sent instead of times, because clocks differ between instances.
"""

import attrs


@attrs.frozen(kw_only=True, slots=True)
class Hello:
    """First message in each direction of a connection.

    Attributes
    ----------
    sender : str
        Instance id.
    kind : str
        ``entry`` or ``scheduler``.
    incarnation : str
        Changes with each start of the daemon.
    data_centre : str
        Data centre of the sender.
    """

    sender: str
    kind: str
    incarnation: str
    data_centre: str


@attrs.frozen(kw_only=True, slots=True)
class Heartbeat:
    """Sign of life with the versions that the sender has.

    Attributes
    ----------
    config_version : int
        Config version in force at the sender.
    """

    config_version: int


@attrs.frozen(kw_only=True, slots=True)
class OwnedShards:
    """All shards that the sender owns; sent on each change.

    Attributes
    ----------
    shards : tuple of (str, int)
        Name and epoch of each shard.
    draining : bool
        Whether the sender is about to stop.
    """

    shards: tuple[tuple[str, int], ...]
    draining: bool


@attrs.frozen(kw_only=True, slots=True)
class RequestCall:
    """A caller's request on its way from an entry to the owner.

    Attributes
    ----------
    call_id : int
        Number of the call on this connection.
    shard : str
        Shard that decides about the request.
    request_id : str
        The caller's id.
    service : str
        Service that answers it.
    team : str
        Team that is charged for it.
    urgent : bool
        Whether it goes first.
    idempotent : bool
        Whether it may run more than once.
    timeout_s : float
        Seconds until its deadline.
    payload : bytes
        JSON body for the target.
    resend : bool
        Whether the entry sent it before on a connection that ended.
    """

    call_id: int
    shard: str
    request_id: str
    service: str
    team: str
    urgent: bool
    idempotent: bool
    timeout_s: float
    payload: bytes
    resend: bool = False


@attrs.frozen(kw_only=True, slots=True)
class RequestReply:
    """The answer to a `RequestCall`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    request_id : str
        The caller's id, checked against the call.
    status : int
        HTTP status for the caller.
    content_type : str
        Media type of the body.
    body : bytes
        Whole body for the caller.
    reason : str
        Reason of a refusal; empty for a target's answer.
    run_state : str
        What is known about whether the request ran.
    target : str
        Instance id of the target that answered.
    """

    call_id: int
    request_id: str
    status: int
    content_type: str
    body: bytes
    reason: str
    run_state: str
    target: str


@attrs.frozen(kw_only=True, slots=True)
class RequestCancel:
    """The caller of a request has gone away.

    Attributes
    ----------
    call_id : int
        Number of the call.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class RequestRead:
    """Asks for the state of a non-idempotent request.

    Attributes
    ----------
    call_id : int
        Number of the call.
    shard : str
        Shard that decides about the request.
    request_id : str
        The caller's id.
    want_answer : bool
        Whether the kept answer is wanted in place of the state.
    """

    call_id: int
    shard: str
    request_id: str
    want_answer: bool = False


@attrs.frozen(kw_only=True, slots=True)
class JobSubmit:
    """Submits a job to the owner of its pool.

    Attributes
    ----------
    call_id : int
        Number of the call.
    shard : str
        Shard of the pool.
    job_id, kind, team, workload_class : str
        See `model.Job`.
    tasks, cpu_millis, memory_mb, accelerators : int
        See `model.Job` and `model.Resources`.
    urgent : bool
        See `model.Job`.
    declared_run_s, wait_limit_s : float
        See `model.Job`.
    payload : bytes
        See `model.Job`.
    resend : bool
        Whether the entry may have sent it before, so that an equal job with
        the same id is this one.
    """

    call_id: int
    shard: str
    job_id: str
    kind: str
    team: str
    workload_class: str
    tasks: int
    cpu_millis: int
    memory_mb: int
    accelerators: int
    urgent: bool
    declared_run_s: float
    wait_limit_s: float
    payload: bytes
    resend: bool = False


@attrs.frozen(kw_only=True, slots=True)
class JobRead:
    """Asks for one job, or for all jobs of a pool.

    Attributes
    ----------
    call_id : int
        Number of the call.
    shard : str
        Shard of the pool.
    job_id : str
        Id of the job; empty for all.
    team : str
        Restricts a list to one team; empty for all.
    after : str
        Id after which a list begins.
    """

    call_id: int
    shard: str
    job_id: str
    team: str
    after: str = ""


@attrs.frozen(kw_only=True, slots=True)
class JobCancel:
    """Cancels a job.

    Attributes
    ----------
    call_id : int
        Number of the call.
    shard : str
        Shard of the pool.
    job_id : str
        Id of the job.
    """

    call_id: int
    shard: str
    job_id: str


@attrs.frozen(kw_only=True, slots=True)
class PatchSubmit:
    """Submits a config patch.

    Attributes
    ----------
    call_id : int
        Number of the call.
    base : int
        Version that the patch was made against.
    patch : bytes
        JSON merge patch.
    author : str
        Who submits it.
    write_id : str
        Id of the submission, the same when the entry tries it again.
    """

    call_id: int
    base: int
    patch: bytes
    author: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ConfigRead:
    """Asks for a config version, or for the history.

    Attributes
    ----------
    call_id : int
        Number of the call.
    version : int
        Version to read; -1 for the one in force.
    history : bool
        Whether the list of versions is wanted instead.
    """

    call_id: int
    version: int
    history: bool


@attrs.frozen(kw_only=True, slots=True)
class StatusRead:
    """Asks a scheduler for its part of the cell's status.

    Attributes
    ----------
    call_id : int
        Number of the call.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class Drain:
    """Asks an instance's scheduler to hand over its shards and stop.

    Attributes
    ----------
    call_id : int
        Number of the call.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class Reply:
    """The answer to any call but `RequestCall`.

    Attributes
    ----------
    call_id : int
        Number of the call.
    status : int
        HTTP status for the caller.
    reason : str
        Reason of a refusal; empty otherwise.
    body : bytes
        JSON body for the caller.
    """

    call_id: int
    status: int
    reason: str
    body: bytes


@attrs.frozen(kw_only=True, slots=True)
class ConfigPatches:
    """Config patches for a peer that has an older version.

    Attributes
    ----------
    patches : tuple of (int, bytes)
        Version and stored value of each patch, in order.
    """

    patches: tuple[tuple[int, bytes], ...]


@attrs.frozen(kw_only=True, slots=True)
class ConfigSnapshot:
    """A whole config document, for a peer that lags too far behind.

    Attributes
    ----------
    version : int
        Version of the document.
    document : bytes
        JSON object.
    """

    version: int
    document: bytes


@attrs.frozen(kw_only=True, slots=True)
class ConfigFetch:
    """Asks a peer for the config patches after a version.

    Attributes
    ----------
    after : int
        Last version that the sender has.
    """

    after: int


@attrs.frozen(kw_only=True, slots=True)
class SlotsFreed:
    """Slots that the former owner of a shard no longer uses.

    Attributes
    ----------
    shard : str
        The shard.
    target : str
        Instance id of the target.
    count : int
        Number of slots.
    """

    shard: str
    target: str
    count: int


@attrs.frozen(kw_only=True, slots=True)
class TargetsLeaving:
    """Targets that the sender knows to be leaving.

    Attributes
    ----------
    targets : tuple of str
        Their instance ids.
    """

    targets: tuple[str, ...]


MESSAGE_CLASSES: tuple[type, ...] = (
    Hello,
    Heartbeat,
    OwnedShards,
    RequestCall,
    RequestReply,
    RequestCancel,
    RequestRead,
    JobSubmit,
    JobRead,
    JobCancel,
    PatchSubmit,
    ConfigRead,
    StatusRead,
    Drain,
    Reply,
    ConfigPatches,
    ConfigSnapshot,
    ConfigFetch,
    SlotsFreed,
    TargetsLeaving,
)
