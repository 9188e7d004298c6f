"""Messages into and out of the routing of one shard of a service."""

import attrs

from chestnuttide import config as config_module
from chestnuttide import errors
from chestnuttide import model


@attrs.frozen(kw_only=True, slots=True)
class Submit:
    """A request has arrived.

    Attributes
    ----------
    call : int
        Number under which the answer is expected.
    request : Request
        The request.
    resend : bool
        Whether the entry sends it again because its connection to the owner
        ended, so that the id was used before without being used twice.
    """

    call: int
    request: model.Request
    resend: bool = False


@attrs.frozen(kw_only=True, slots=True)
class CancelCall:
    """The caller no longer waits.

    Attributes
    ----------
    call : int
        Number of the call.
    """

    call: int


@attrs.frozen(kw_only=True, slots=True)
class IntentRecorded:
    """The intent to run a non-idempotent request is durable.

    Attributes
    ----------
    call : int
        Number of the call.
    token : int
        Token that the intent event was made with.
    """

    call: int
    token: int


@attrs.frozen(kw_only=True, slots=True)
class TargetResult:
    """A target's whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of `body`.
    body : bytes
        The whole body.
    leaving : bool
        Whether the target said that it is leaving and ran nothing.
    """

    status: int
    content_type: str
    body: bytes
    leaving: bool = False


@attrs.frozen(kw_only=True, slots=True)
class DispatchEnded:
    """A dispatch has ended.

    Attributes
    ----------
    dispatch_id : int
        Number of the dispatch.
    result : TargetResult or None
        The answer; None if there was none.
    sent : bool
        Whether any byte may have reached the target.
    lease_lost : bool
        Whether it was not sent because ownership had ended.
    """

    dispatch_id: int
    result: TargetResult | None
    sent: bool
    lease_lost: bool = False


@attrs.frozen(kw_only=True, slots=True)
class TargetsChanged:
    """The instance list has changed.

    Attributes
    ----------
    instances : tuple of Instance
        The changed targets of this shard.
    """

    instances: tuple[model.Instance, ...]


@attrs.frozen(kw_only=True, slots=True)
class TargetLeaving:
    """A peer has learned that a target is leaving.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    """

    target_id: str


@attrs.frozen(kw_only=True, slots=True)
class PolicyChanged:
    """A new config version is in force.

    Attributes
    ----------
    service : ServiceConfig
        Policy of the service.
    teams : dict of str to TeamConfig
        All teams.
    """

    service: config_module.ServiceConfig
    teams: dict[str, config_module.TeamConfig]


@attrs.frozen(kw_only=True, slots=True)
class BusyReported:
    """A target has said how many of its slots are in use.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    busy : int
        Slots in use.
    """

    target_id: str
    busy: int


@attrs.frozen(kw_only=True, slots=True)
class SlotsFreed:
    """The former owner has finished requests of this target.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    count : int
        Slots that are free now.
    """

    target_id: str
    count: int


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class HandOver:
    """The shard is about to be released: dispatch nothing more."""


@attrs.frozen(kw_only=True, slots=True)
class RecordIntent:
    """Make the intent to run a request durable, then report it.

    Attributes
    ----------
    call : int
        Number of the call.
    request_id : str
        The caller's id.
    """

    call: int
    request_id: str


@attrs.frozen(kw_only=True, slots=True)
class RecordOutcome:
    """Make the outcome of a non-idempotent request durable.

    Attributes
    ----------
    request_id : str
        The caller's id.
    status : int
        HTTP status of the target's answer, or
        `coordination.NOT_RUN_STATUS` if it was never sent.
    """

    request_id: str
    status: int


@attrs.frozen(kw_only=True, slots=True)
class Dispatch:
    """Send a request to a target, then report `DispatchEnded`.

    Attributes
    ----------
    dispatch_id : int
        Number of the dispatch.
    target_id : str
        Instance id of the target.
    address : str
        ``ip:port`` of the target.
    request_id : str
        The caller's id.
    attempt : int
        Number of the attempt, from 1.
    idempotent : bool
        Whether the request may run more than once.
    payload : bytes
        Body for the target.
    limit_s : float
        Seconds after which the target's answer is given up.
    """

    dispatch_id: int
    target_id: str
    address: str
    request_id: str
    attempt: int
    idempotent: bool
    payload: bytes
    limit_s: float


@attrs.frozen(kw_only=True, slots=True)
class AnswerCall:
    """Answer a call.

    Attributes
    ----------
    call : int
        Number of the call.
    answer : Answer
        The target's answer or a refusal.
    """

    call: int
    answer: model.Answer


@attrs.frozen(kw_only=True, slots=True)
class QueryBusy:
    """Ask a target how many of its slots are in use.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    address : str
        ``ip:port`` of the target.
    path : str
        Path of its status.
    """

    target_id: str
    address: str
    path: str


@attrs.frozen(kw_only=True, slots=True)
class LeavingLearned:
    """A target has said itself that it is leaving; tell the peers.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    """

    target_id: str


@attrs.frozen(kw_only=True, slots=True)
class Retried:
    """A request is tried again; counted by reason.

    Attributes
    ----------
    reason : RetryReason
        Why.
    """

    reason: errors.RetryReason


@attrs.frozen(kw_only=True, slots=True)
class Ejected:
    """A target was ejected.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    """

    target_id: str


@attrs.frozen(kw_only=True, slots=True)
class Waited:
    """A request was dispatched for the first time.

    Attributes
    ----------
    seconds : float
        Seconds that it waited.
    urgent : bool
        Whether it is urgent.
    """

    seconds: float
    urgent: bool
