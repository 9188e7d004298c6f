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
        ``entry``, ``scheduler`` or ``node``.
    incarnation : str
        Id of this start of the daemon; each start has a new one.
    data_centre : str
        Data centre of the sender.
    """

    sender: str
    kind: str
    incarnation: str
    data_centre: str


@attrs.frozen(kw_only=True, slots=True)
class Heartbeat:
    """Periodic sign that the sender is alive.

    Attributes
    ----------
    config_version : int
        Version of the configuration in force at the sender.
    """

    config_version: int


@attrs.frozen(kw_only=True, slots=True)
class OwnedShards:
    """Complete list of shards that the sender owns, sent on each change.

    Attributes
    ----------
    shards : tuple of (str, int)
        Name and epoch of each shard.
    draining : bool
        Whether the sender is draining before it stops.
    """

    shards: tuple[tuple[str, int], ...]
    draining: bool


@attrs.frozen(kw_only=True, slots=True)
class RequestCall:
    """A caller's request, forwarded by an entry to the shard's owner.

    Attributes
    ----------
    call_id : int
        Id of the call, unique within the sending process.
    shard : str
        Shard responsible for the request.
    request_id : str
        Request id that the caller chose.
    service : str
        Service that the request is for.
    team : str
        Team whose share the request uses.
    urgent : bool
        Whether the request takes precedence over others.
    idempotent : bool
        Whether the request may run more than once.
    timeout_s : float
        Seconds until the deadline of the request.
    payload : bytes
        JSON body for the target.
    resend : bool
        Whether the entry may have sent it before, on a connection that
        has closed.
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
    """The reply to a `RequestCall`.

    Attributes
    ----------
    call_id : int
        Id of the call.
    request_id : str
        Request id that the caller chose, checked against the call.
    status : int
        HTTP status for the caller.
    content_type : str
        Media type of the body.
    body : bytes
        Complete response body for the caller.
    reason : str
        Reason of a refusal; empty for a target's response.
    run_state : str
        Whether the request ran, as far as is known.
    target : str
        Instance id of the target that responded.
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
    """Tells the owner that the caller of a request disconnected.

    Attributes
    ----------
    call_id : int
        Id of the `RequestCall`.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class RequestRead:
    """Requests the state of a non-idempotent request.

    Attributes
    ----------
    call_id : int
        Id of the call.
    shard : str
        Shard responsible for the request.
    request_id : str
        Request id that the caller chose.
    want_answer : bool
        Whether to return the stored response instead of the state.
    """

    call_id: int
    shard: str
    request_id: str
    want_answer: bool = False


@attrs.frozen(kw_only=True, slots=True)
class JobSubmit:
    """Submits a job to the owner of its pool shard.

    Attributes
    ----------
    call_id : int
        Id of the call.
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
        Whether the entry may have sent it before. If so, an equal job with
        the same id is the same submission.
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
    """Requests the state of one job or of all jobs of a pool.

    Attributes
    ----------
    call_id : int
        Id of the call.
    shard : str
        Shard of the pool.
    job_id : str
        Id of the job; empty for all jobs.
    team : str
        Team to which the list is restricted; empty for all teams.
    after : str
        Job id after which the list starts.
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
        Id of the call.
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
    """Submits a configuration patch.

    Attributes
    ----------
    call_id : int
        Id of the call.
    base : int
        Configuration version that the patch is based on.
    patch : bytes
        JSON merge patch.
    author : str
        Author of the patch.
    write_id : str
        Id of the submission; retries by the entry reuse it.
    """

    call_id: int
    base: int
    patch: bytes
    author: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ConfigRead:
    """Requests a configuration version or the version history.

    Attributes
    ----------
    call_id : int
        Id of the call.
    version : int
        Version to read; -1 for the one in force.
    history : bool
        Whether to return the list of versions instead.
    """

    call_id: int
    version: int
    history: bool


@attrs.frozen(kw_only=True, slots=True)
class StatusRead:
    """Requests a scheduler's part of the cell status.

    Attributes
    ----------
    call_id : int
        Id of the call.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class Drain:
    """Tells an instance's scheduler to hand over its shards and stop.

    Attributes
    ----------
    call_id : int
        Id of the call.
    """

    call_id: int


@attrs.frozen(kw_only=True, slots=True)
class Reply:
    """The reply to any call other than `RequestCall`.

    Attributes
    ----------
    call_id : int
        Id of the call.
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
    """Configuration patches for a peer that has an older version.

    Attributes
    ----------
    patches : tuple of (int, bytes)
        Version and stored value of each patch, in version order.
    """

    patches: tuple[tuple[int, bytes], ...]


@attrs.frozen(kw_only=True, slots=True)
class ConfigSnapshot:
    """A full configuration, for a peer too far behind to be sent patches.

    Attributes
    ----------
    version : int
        Version of the configuration.
    document : bytes
        The configuration as a JSON object.
    """

    version: int
    document: bytes


@attrs.frozen(kw_only=True, slots=True)
class ConfigFetch:
    """Requests the configuration patches after a version.

    Attributes
    ----------
    after : int
        Newest version that the sender has.
    """

    after: int


@attrs.frozen(kw_only=True, slots=True)
class SlotsFreed:
    """Reports target slots that the former owner of a shard no longer uses.

    Attributes
    ----------
    shard : str
        The shard.
    target : str
        Instance id of the target.
    count : int
        Number of slots freed.
    """

    shard: str
    target: str
    count: int


@attrs.frozen(kw_only=True, slots=True)
class TargetsLeaving:
    """Reports targets that are leaving, as far as the sender knows.

    Attributes
    ----------
    targets : tuple of str
        Their instance ids.
    """

    targets: tuple[str, ...]


# The position of a class is its tag on the wire.
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
