"""Input and output messages of the routing filter of one shard."""

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
        Number by which the answer is matched to the caller.
    request : Request
        The request.
    resend : bool
        Whether the entry sends it again after losing its connection to the
        owner, so that a known id does not count as a duplicate.
    """

    call: int
    request: model.Request
    resend: bool = False


@attrs.frozen(kw_only=True, slots=True)
class CancelCall:
    """The caller is no longer waiting.

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
        Token of the intent event.
    """

    call: int
    token: int


@attrs.frozen(kw_only=True, slots=True)
class TargetResult:
    """A complete answer of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of `body`.
    body : bytes
        The whole body.
    leaving : bool
        Whether the target refused the request because it is leaving.
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
        The answer; None if none arrived.
    sent : bool
        Whether any byte may have reached the target.
    lease_lost : bool
        Whether it was not sent because the owner had lost its lease.
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
    """A target has reported how many of its slots are in use.

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
        Number of slots that have become free.
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
    """Make the intent to run a request durable, then report `IntentRecorded`.

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
        Longest time in seconds to wait for the target's answer.
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
        Path of its status endpoint.
    """

    target_id: str
    address: str
    path: str


@attrs.frozen(kw_only=True, slots=True)
class LeavingLearned:
    """A target has reported that it is leaving; notify the peers.

    Attributes
    ----------
    target_id : str
        Instance id of the target.
    """

    target_id: str


@attrs.frozen(kw_only=True, slots=True)
class Retried:
    """A request is retried; count it by reason.

    Attributes
    ----------
    reason : RetryReason
        Cause of the retry.
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
        Time that it waited for a slot.
    urgent : bool
        Whether it is urgent.
    """

    seconds: float
    urgent: bool
