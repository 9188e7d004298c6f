"""Routing state of one shard."""

import collections
import enum

import attrs

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide.routing import _targets

# Limits of the cache of answers to non-idempotent requests. An entry whose
# connection broke before the answer arrived gets it from the cache.
MAX_CACHED_ANSWERS = 4096
MAX_CACHED_ANSWER_BYTES = 8 * 1024 * 1024


class CallState(enum.Enum):
    """Stage of a call."""

    RECORDING = enum.auto()
    QUEUED = enum.auto()
    DISPATCHED = enum.auto()
    ANSWERED = enum.auto()


@attrs.define(kw_only=True, slots=True)
class Call:
    """An accepted request.

    Attributes
    ----------
    call : int
        Number by which its answer is matched to the caller.
    request : Request
        The request.
    entered_at : float
        Monotonic time of its arrival, in seconds.
    state : CallState
        Its stage.
    attempts : int
        Number of dispatches so far.
    tried : frozenset of str
        Ids of the targets to which it was dispatched.
    dispatches_in_flight : int
        Number of dispatches that have not ended.
    may_have_run : bool
        Whether any byte of it may have reached a target.
    ignore_cancel : bool
        Whether to ignore a cancellation, because another caller was told
        that the request with this id is in progress.
    """

    call: int
    request: model.Request
    entered_at: float
    state: CallState = CallState.QUEUED
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    dispatches_in_flight: int = 0
    may_have_run: bool = False
    ignore_cancel: bool = False


@attrs.frozen(kw_only=True, slots=True)
class DispatchRecord:
    """A dispatch that has not ended.

    Attributes
    ----------
    call : Call
        The dispatched call.
    target_id : str
        Instance id of the target.
    """

    call: Call
    target_id: str


@attrs.define(kw_only=True, slots=True)
class BusyQuery:
    """Repeated query to a target about its busy slots.

    Attributes
    ----------
    next_at : float
        Monotonic time of the next query, in seconds.
    minimum_in_use : int
        Fewest slots that this owner has used since the last query.
    waiting : bool
        Whether an answer is outstanding.
    """

    next_at: float = 0.0
    minimum_in_use: int = 0
    waiting: bool = False


@attrs.define(kw_only=True, slots=True)
class RouterState:
    """Routing state of one shard; one instance owns it.

    Attributes
    ----------
    shard : str
        Name of the shard.
    policy : ServiceConfig
        Configuration of the service.
    teams : dict of str to TeamConfig
        All teams.
    ledger : LedgerState
        States of the ids of non-idempotent requests.
    store_grace_s : float
        Longest time in seconds that a request waits for its intent to
        become durable.
    unaccounted_until : float
        Until this time, newly listed targets may still be running requests
        of a former owner that did not release the shard.
    residual : dict of str to list of float
        By target, the times at which slots used by the former owner become
        free.
    queue : FairQueue
        Requests that wait for a slot.
    pool : TargetPool
        Targets and their slots.
    budget : RetryBudget
        Limit on retries and hedges.
    calls : dict of int to Call
        Unanswered calls by number.
    calls_by_id : dict of str to Call
        Unanswered calls of non-idempotent requests by request id.
    dispatches : dict of int to DispatchRecord
        Dispatches that have not ended, by number.
    next_dispatch : int
        Number of the next dispatch.
    deadlines : list of (float, int)
        Heap of deadlines and call numbers.
    intent_deadlines : list of (float, int)
        Heap of the times by which an intent must be durable, and call
        numbers.
    hedge_timers : list of (float, int)
        Heap of the times at which to hedge a dispatch, and call numbers.
    busy_queries : dict of str to BusyQuery
        Queries to targets that have unaccounted slots, by target.
    answers : OrderedDict of str to Answer
        Recent answers to non-idempotent requests, oldest first.
    answer_bytes : int
        Size of the bodies of `answers`.
    handing_over : bool
        Whether the shard is being handed over, so that nothing more may be
        dispatched.
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
    intent_deadlines: list[tuple[float, int]] = attrs.field(factory=list)
    hedge_timers: list[tuple[float, int]] = attrs.field(factory=list)
    busy_queries: dict[str, BusyQuery] = attrs.field(factory=dict)
    answers: collections.OrderedDict[str, model.Answer] = attrs.field(
        factory=collections.OrderedDict
    )
    answer_bytes: int = 0
    handing_over: bool = False


def cache_answer(state: RouterState, answer: model.Answer) -> None:
    """Cache the answer to a non-idempotent request; evict the oldest ones."""
    former = state.answers.pop(answer.request_id, None)
    if former is not None:
        state.answer_bytes -= len(former.body)
    state.answers[answer.request_id] = answer
    state.answer_bytes += len(answer.body)
    while (
        len(state.answers) > MAX_CACHED_ANSWERS
        or state.answer_bytes > MAX_CACHED_ANSWER_BYTES
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
