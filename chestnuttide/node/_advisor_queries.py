"""Queries to the policy advisor, spread over all instances.

The advisor handles one call at a time from each instance. An owner therefore
sends each query through an instance for which it has none in progress, and
which is not stopping. An instance rejects a query that would wait for a long
one, for example of a former owner.
"""

import enum
import math
import typing

import attrs
import xxhash

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("advice")

# Added to the time that a query takes according to its queue's policy, since
# it may have to wait for another owner's query.
TIMEOUT_MARGIN_S = 1.5
RETRY_S = 0.2

# The advisor answers an instance's queries in sequence, so a short query waits
# for a long one before it. All owners therefore reserve the same share of the
# instances for short queries.
LONG_QUERY_S = 0.15
SHORT_QUERY_INSTANCE_SHARE: typing.Final = 0.375

# Queries that an instance sends between two planning rounds at most: a long
# round with its pause takes 50 ms, and a short query 12 ms.
SHORT_QUERIES_PER_ROUND: typing.Final = 4

# A query that so many instances have rejected because of other queries waits
# for those of the next one.
MAX_REJECTIONS: typing.Final = 3

# Share of the instances with a long query that become free for another one
# before the next planning round at most.
FREED_SHARE: typing.Final = 0.125


class Outcome(enum.StrEnum):
    """What became of a query through an instance."""

    ANSWERED = "answered"
    ADVISOR_FAILED = "advisor_failed"
    PEER_BUSY = "peer_busy"
    PEER_FAILED = "peer_failed"


@attrs.frozen(kw_only=True, slots=True)
class _Answer:
    """Result of a query through an instance.

    Attributes
    ----------
    outcome : Outcome
        What became of it.
    tickets : dict of str to str, or None
        Ticket of each allowed worker by worker id; None without an answer.
    issued_at : float
        Monotonic time from which the tickets are valid.
    """

    outcome: Outcome
    tickets: dict[str, str] | None
    issued_at: float


@attrs.define(kw_only=True, slots=True)
class AdvisorCalls:
    """The calls to the advisor from this instance.

    Attributes
    ----------
    in_flight : int
        Number of calls that are not answered.
    busy_until : float
        Monotonic time at which they are expected to be answered.
    """

    in_flight: int = 0
    busy_until: float = 0.0


def make_query_limit(owner: _ownership.Ownership) -> workloads.QueryLimit:
    """Return how many queries can be sent before the next planning round."""
    names = _instance_names(owner)
    reserved = _reserved_count(names)
    _, long = _free_instances(owner)
    busy = max(0, len(names) - reserved - len(long))
    return workloads.QueryLimit(
        long_from_s=LONG_QUERY_S,
        short=SHORT_QUERIES_PER_ROUND * (reserved + len(long)),
        long=len(long) + max(1, math.ceil(FREED_SHARE * busy)),
    )


def start_queries(
    owner: _ownership.Ownership,
    queries: tuple[workloads.AdvisorQuery, ...],
) -> None:
    """Start the queries for which an instance is free, in the given order.

    The others wait for an instance, and are forgotten at the next call. With
    many waiting jobs, a planning round takes longer than most queries.
    """
    owner.waiting_queries = queries
    _start_waiting_queries(owner)


def _start_waiting_queries(owner: _ownership.Ownership) -> None:
    queries = [
        query
        for query in owner.waiting_queries
        if query.job.spec.id in owner.pool.active
        and workloads.is_query_open(query)
    ]
    waiting = []
    short, long = _free_instances(owner)
    any_long = any(map(_is_long, queries))
    for query in queries:
        names = long if _is_long(query) else short
        if not names and not any_long:
            names = long
        if not names:
            waiting.append(query)
            continue
        name = names.pop(0)
        workloads.record_query(query)
        owner.advisor_queries.add(name)
        _ownership.start_command(owner, _send_query(owner, query, name))
    owner.waiting_queries = tuple(waiting)


def _is_long(query: workloads.AdvisorQuery) -> bool:
    return query.duration_s > LONG_QUERY_S


def _instance_names(owner: _ownership.Ownership) -> list[str]:
    """Return the connected instances that are not stopping.

    One that stops ends its membership first. While the store is away the
    memberships of all may have ended.
    """
    session = owner.session
    own = session.settings.instance
    connected = _peers.connected_names(session.peers)
    members = [name for name in connected if name in session.members]
    return sorted({own, *(members or connected)})


def _reserved_count(names: list[str]) -> int:
    """Return how many instances answer short queries only."""
    return max(1, round(SHORT_QUERY_INSTANCE_SHARE * len(names)))


def _free_instances(
    owner: _ownership.Ownership,
) -> tuple[list[str], list[str]]:
    """Return the instances that are free for short and for long queries.

    Short ones may use an instance of either kind while no long query waits.
    """
    names = _instance_names(owner)
    reserved = _reserved_count(names)
    now = _clock.now()
    short, long = (
        [name for name in kind if name not in owner.advisor_queries]
        for kind in (names[:reserved], names[reserved:])
    )
    for kind in (short, long):
        if stable_hash(owner.service) % 2:
            # Owners that start from opposite ends seldom choose the same one.
            kind.reverse()
        kind.sort(key=lambda name: owner.avoided_advisors.get(name, 0.0) > now)
    # An instance without peers serves both kinds.
    return short, long if len(names) > 1 else short


def stable_hash(text: str) -> int:
    """Return a hash that is the same in all processes."""
    return xxhash.xxh64_intdigest(text.encode())


async def _send_query(
    owner: _ownership.Ownership, query: workloads.AdvisorQuery, name: str
) -> None:
    """Send a query through an instance, or through others if it is busy."""
    rejections = 0
    while True:
        waits = rejections == MAX_REJECTIONS
        try:
            answer = await _query_through(owner, query, name, waits=waits)
        finally:
            owner.advisor_queries.discard(name)
        if answer.outcome != Outcome.PEER_BUSY:
            break
        rejections += 1
        name = _choose_another(owner, query) or name
        owner.advisor_queries.add(name)
    workloads.record_query_result(
        query,
        answer.tickets,
        now=answer.issued_at,
        # Only a failure of the advisor may concern other instances, too.
        retry_s=RETRY_S if answer.outcome == Outcome.ADVISOR_FAILED else 0.0,
        received_at=_clock.now(),
    )
    owner.plan_requested.set()
    _start_waiting_queries(owner)


def _choose_another(
    owner: _ownership.Ownership, query: workloads.AdvisorQuery
) -> str | None:
    short, long = _free_instances(owner)
    names = long if _is_long(query) else short
    return names[0] if names else None


async def _query_through(
    owner: _ownership.Ownership,
    query: workloads.AdvisorQuery,
    name: str,
    *,
    waits: bool,
) -> _Answer:
    """Send a query through an instance once.

    Parameters
    ----------
    owner : Ownership
        The ownership.
    query : AdvisorQuery
        The query.
    name : str
        The instance.
    waits : bool
        Whether it may wait for the instance's other calls to the advisor.
    """
    step = f"{query.job.spec.id}.{query.occurrence}.{query.step}"
    workers = tuple(worker.report.id for worker in query.workers)
    message = {
        "step": step,
        "workers": workers,
        "timeout_s": query.duration_s + TIMEOUT_MARGIN_S,
        "waits": waits,
    }
    tickets = None
    age_s = 0.0
    outcome = Outcome.ANSWERED
    avoided_s = query.duration_s
    sent_at = _clock.now()
    try:
        if name == owner.session.settings.instance:
            handler = owner.session.peers.handlers[_messages.AdvisorQuery]
            reply = await handler(_messages.AdvisorQuery(call_id=0, **message))
        else:
            reply = await _peers.call(
                owner.session.peers,
                name,
                lambda call_id: _messages.AdvisorQuery(
                    call_id=call_id, **message
                ),
                timeout_s=message["timeout_s"] + _peers.CALL_TIMEOUT_S,
            )
        if reply.answered:
            tickets = dict(reply.tickets)
            age_s = reply.age_s
        elif reply.busy_s:
            outcome = Outcome.PEER_BUSY
            avoided_s = reply.busy_s
        else:
            outcome = Outcome.ADVISOR_FAILED
    except errors.MeshError as error:
        outcome = Outcome.PEER_FAILED
        LOG.info(
            "Peer did not answer the advisor query.",
            step=step,
            peer=name,
            error=str(error),
        )
    now = _clock.now()
    if outcome != Outcome.ANSWERED:
        owner.metrics.retries.inc({"reason": f"advice_{outcome}"})
        owner.avoided_advisors[name] = now + avoided_s
    LOG.info(
        "Advisor query has ended.",
        job=query.job.spec.id,
        step=step,
        fence=owner.fencing_token,
        by=name,
        workers=len(workers),
        good=-1 if tickets is None else len(tickets),
        outcome=str(outcome),
        seconds=round(now - sent_at, 3),
        expected_s=round(query.duration_s, 3),
    )
    return _Answer(outcome=outcome, tickets=tickets, issued_at=now - age_s)


async def answer_query(
    http: platform.HttpClient,
    address: str,
    message: _messages.AdvisorQuery,
    calls: AdvisorCalls,
) -> _messages.AdvisorReply:
    """Query the advisor for a peer or for an owner on this instance.

    A query that is not to wait for a long one is rejected if it would.
    """
    now = _clock.now()
    busy_s = calls.busy_until - now
    if busy_s > LONG_QUERY_S and not message.waits:
        return _messages.AdvisorReply(
            call_id=message.call_id, answered=False, tickets=(), busy_s=busy_s
        )
    duration_s = message.timeout_s - TIMEOUT_MARGIN_S
    calls.busy_until = max(calls.busy_until, now) + duration_s
    calls.in_flight += 1
    try:
        tickets = await platform.query_advisor(
            http,
            address,
            step=message.step,
            workers=message.workers,
            timeout_s=message.timeout_s,
        )
    except errors.PlatformError as error:
        LOG.warning(
            "Advisor did not answer.", step=message.step, error=str(error)
        )
        return _messages.AdvisorReply(
            call_id=message.call_id, answered=False, tickets=()
        )
    finally:
        calls.in_flight -= 1
        if not calls.in_flight:
            calls.busy_until = 0.0
    return _messages.AdvisorReply(
        call_id=message.call_id,
        answered=True,
        tickets=tuple(tickets.by_worker.items()),
    )
