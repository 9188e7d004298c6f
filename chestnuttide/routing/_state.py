"""State of the routing of one shard."""

import collections
import enum

import attrs

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide.routing import _targets

# Answers to non-idempotent requests are kept for an entry whose connection
# broke before the answer arrived.
KEPT_ANSWERS = 4096
KEPT_ANSWER_BYTES = 8 * 1024 * 1024


class CallState(enum.Enum):
    """Where a call stands."""

    RECORDING = enum.auto()
    QUEUED = enum.auto()
    DISPATCHED = enum.auto()
    ANSWERED = enum.auto()


@attrs.define(kw_only=True, slots=True)
class Call:
    """A request that was accepted.

    Attributes
    ----------
    call : int
        Number under which the answer is expected.
    request : Request
        The request.
    entered_at : float
        Monotonic time of its arrival, in seconds.
    state : CallState
        Where it stands.
    attempts : int
        Dispatches so far.
    tried : frozenset of str
        Targets that were tried.
    live : int
        Dispatches that have not ended.
    maybe_ran : bool
        Whether a byte of it may have reached a target.
    kept : bool
        Whether another call for its id was told that it is in progress, so
        that it goes on although its own caller is gone.
    """

    call: int
    request: model.Request
    entered_at: float
    state: CallState = CallState.QUEUED
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    live: int = 0
    maybe_ran: bool = False
    kept: bool = False


@attrs.frozen(kw_only=True, slots=True)
class DispatchRecord:
    """A dispatch that has not ended.

    Attributes
    ----------
    call : Call
        The call it belongs to.
    target_id : str
        The target.
    """

    call: Call
    target_id: str


@attrs.define(kw_only=True, slots=True)
class BusyQuery:
    """A question to a target about its slots.

    Attributes
    ----------
    next_at : float
        Time of the next question, in seconds.
    minimum_in_use : int
        Fewest slots that this owner used since the question was asked.
    waiting : bool
        Whether the answer is outstanding.
    """

    next_at: float = 0.0
    minimum_in_use: int = 0
    waiting: bool = False


@attrs.define(kw_only=True, slots=True)
class RouterState:
    """State of the routing of one shard, owned by one instance.

    Attributes
    ----------
    shard : str
        Name of the shard.
    policy : ServiceConfig
        Policy of the service.
    teams : dict of str to TeamConfig
        All teams.
    ledger : LedgerState
        Ids of non-idempotent requests.
    store_grace_s : float
        Seconds that a request waits for its intent to become durable.
    unaccounted_until : float
        Targets seen first before this time may still run requests of a
        former owner that did not release the shard.
    residual : dict of str to list of float
        Times at which the former owner's slots are free, by target.
    queue : FairQueue
        Requests that wait for a slot.
    pool : TargetPool
        Targets and their slots.
    budget : RetryBudget
        Retries that may be made.
    calls : dict of int to Call
        Calls that are not answered.
    calls_by_id : dict of str to Call
        Calls of non-idempotent requests by request id.
    dispatches : dict of int to DispatchRecord
        Dispatches that have not ended.
    next_dispatch : int
        Number of the next dispatch.
    deadlines : list of (float, int)
        Heap of deadlines and call numbers.
    recordings : list of (float, int)
        Heap of times at which the wait for an intent ends.
    hedges : list of (float, int)
        Heap of times at which a dispatch is doubled.
    queries : dict of str to BusyQuery
        Questions to targets about slots of unknown use.
    answers : OrderedDict of str to Answer
        Recent answers to non-idempotent requests, oldest first.
    answer_bytes : int
        Bytes of the bodies of `answers`.
    handing_over : bool
        Whether nothing more may be dispatched.
    """

    shard: str
    policy: config_module.ServiceConfig
    teams: dict[str, config_module.TeamConfig]
    ledger: coordination.LedgerState
    store_grace_s: float
    unaccounted_until: float = 0.0
    residual: dict[str, list[float]] = attrs.field(factory=dict)
    queue: queueing.FairQueue = attrs.field(
        default=attrs.Factory(
            lambda self: queueing.FairQueue(limit=self.policy.queue_limit),
            takes_self=True,
        )
    )
    pool: _targets.TargetPool = attrs.field(factory=_targets.TargetPool)
    budget: queueing.RetryBudget = attrs.field(
        default=attrs.Factory(
            lambda self: queueing.RetryBudget(ratio=self.policy.retry_ratio),
            takes_self=True,
        )
    )
    calls: dict[int, Call] = attrs.field(factory=dict)
    calls_by_id: dict[str, Call] = attrs.field(factory=dict)
    dispatches: dict[int, DispatchRecord] = attrs.field(factory=dict)
    next_dispatch: int = 1
    deadlines: list[tuple[float, int]] = attrs.field(factory=list)
    recordings: list[tuple[float, int]] = attrs.field(factory=list)
    hedges: list[tuple[float, int]] = attrs.field(factory=list)
    queries: dict[str, BusyQuery] = attrs.field(factory=dict)
    answers: collections.OrderedDict[str, model.Answer] = attrs.field(
        factory=collections.OrderedDict
    )
    answer_bytes: int = 0
    handing_over: bool = False


def keep_answer(state: RouterState, answer: model.Answer) -> None:
    """Keep the answer to a non-idempotent request, within the bounds."""
    former = state.answers.pop(answer.request_id, None)
    if former is not None:
        state.answer_bytes -= len(former.body)
    state.answers[answer.request_id] = answer
    state.answer_bytes += len(answer.body)
    while (
        len(state.answers) > KEPT_ANSWERS
        or state.answer_bytes > KEPT_ANSWER_BYTES
    ):
        _, oldest = state.answers.popitem(last=False)
        state.answer_bytes -= len(oldest.body)


def make_item(call: Call) -> queueing.QueueItem:
    """Return the queue item of a call."""
    return queueing.QueueItem(
        key=str(call.call),
        team=call.request.team,
        urgent=call.request.urgent,
        entered_at=call.entered_at,
        deadline=call.request.deadline,
    )
