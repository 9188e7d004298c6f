"""Simulated instances through which an owner queries the advisor.

The real queries of an owner run against them. The advisor answers one call at
a time for each instance, in order, also calls whose caller no longer waits.
"""

import asyncio
import collections.abc
import types

import attrs
import pytest

from chestnuttide import errors
from chestnuttide.node import _advisor_queries
from chestnuttide.node import _commits
from chestnuttide.node import _daemon
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node.tests import _restart_bed
from chestnuttide.node.tests import _restarting_worker
from chestnuttide import platform
from chestnuttide import workloads


@attrs.define(kw_only=True, eq=False)
class Instance:
    """An instance.

    Attributes
    ----------
    name : str
        Its name.
    leaving : bool
        Whether it has been told to stop.
    gone : asyncio.Event
        Set once its connections are closed.
    advisor : Lock
        Held while the advisor handles a call of it.
    calls : AdvisorCalls
        Its calls to the advisor as it knows them.
    """

    name: str
    leaving: bool = False
    gone: asyncio.Event = attrs.field(factory=asyncio.Event)
    advisor: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    calls: _advisor_queries.AdvisorCalls = attrs.field(
        factory=_advisor_queries.AdvisorCalls
    )


@attrs.frozen(kw_only=True)
class Query:
    """An advisor query that an owner has sent, and what became of it.

    Attributes
    ----------
    sent_at, ended_at : float
        When it was sent, and when its sender learned of its end.
    name : str
        The instance that was asked.
    workers : int
        Number of workers that it named.
    outcome : str
        ``answered``, or why it was not.
    """

    sent_at: float
    ended_at: float
    name: str
    workers: int
    outcome: str


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The instances.

    Attributes
    ----------
    bed : Bed
        Owner and workers.
    advice : Advice
        Policy that tells how long the advisor takes.
    instances : dict of str to Instance
        All instances by name.
    members : set of str
        Names of the members.
    queries : list of Query
        Queries that have ended.
    calls : set of Task
        Calls to the advisor.
    """

    bed: _restart_bed.Bed
    advice: workloads.Advice
    instances: dict[str, Instance]
    members: set[str]
    queries: list[Query] = attrs.field(factory=list)
    calls: set[asyncio.Task[object]] = attrs.field(factory=set)


def install(
    bed: _restart_bed.Bed,
    monkeypatch: pytest.MonkeyPatch,
    *,
    count: int,
    advice: workloads.Advice,
) -> Fleet:
    """Let the queries of a bed's owners go through instances."""
    names = [f"i{number:03}" for number in range(count)]
    fleet = Fleet(
        bed=bed,
        advice=advice,
        instances={name: Instance(name=name) for name in names},
        members=set(names),
    )

    def connected_names(peers: types.SimpleNamespace) -> list[str]:
        return [
            name
            for name, instance in fleet.instances.items()
            if name != peers.instance and not instance.gone.is_set()
        ]

    async def call(
        peers: types.SimpleNamespace,
        name: str,
        make_message: collections.abc.Callable[[int], object],
        *,
        timeout_s: float,
    ) -> object:
        return await _call(fleet, name, make_message(1), timeout_s)

    async def query_advisor(
        http: Instance,
        address: str,
        *,
        step: str,
        workers: tuple[str, ...],
        timeout_s: float,
    ) -> platform.Tickets:
        return await _query_advisor(fleet, http, step, workers, timeout_s)

    monkeypatch.setattr(_peers, "connected_names", connected_names)
    monkeypatch.setattr(_peers, "call", call)
    monkeypatch.setattr(platform, "query_advisor", query_advisor)
    bed.start_queries = _advisor_queries.start_queries
    _place_owner(fleet, bed.owner, names[0])
    return fleet


def _place_owner(fleet: Fleet, owner: _ownership.Ownership, name: str) -> None:
    async def answer(message: _messages.AdvisorQuery) -> object:
        return await _answer(fleet, fleet.instances[name], message)

    owner.session = types.SimpleNamespace(
        settings=types.SimpleNamespace(instance=name),
        members=fleet.members,
        peers=types.SimpleNamespace(
            instance=name, handlers={_messages.AdvisorQuery: answer}
        ),
    )


async def _query_advisor(
    fleet: Fleet,
    instance: Instance,
    step: str,
    workers: tuple[str, ...],
    timeout_s: float,
) -> platform.Tickets:
    async def handle() -> platform.Tickets:
        async with instance.advisor:
            await asyncio.sleep(
                fleet.advice.decide_s
                + fleet.advice.per_worker_s * len(workers)
            )
        return platform.Tickets(
            by_worker=_restart_bed.issue_tickets(fleet.bed, step, workers)
        )

    call = _keep(fleet, handle())
    done, _ = await asyncio.wait({call}, timeout=timeout_s)
    if not done:
        raise errors.PlatformError(message="timeout", remedy="none", sent=True)
    return call.result()


async def _answer(
    fleet: Fleet, instance: Instance, message: _messages.AdvisorQuery
) -> object:
    sent_at = fleet.bed.world.loop.time()
    reply = await _advisor_queries.answer_query(
        instance, "advisor", message, instance.calls
    )
    if not instance.gone.is_set():
        outcome = "answered" if reply.answered else "timeout"
        if reply.busy_s:
            outcome = "busy"
        _record(fleet, instance, message, sent_at, outcome)
    return reply


async def _call(
    fleet: Fleet, name: str, message: object, timeout_s: float
) -> object:
    instance = fleet.instances[name]
    if instance.gone.is_set():
        raise errors.PeerNotConnectedError(message="gone", remedy="none")
    sent_at = fleet.bed.world.loop.time()
    answer = _keep(fleet, _answer(fleet, instance, message))
    gone = _keep(fleet, instance.gone.wait())
    await asyncio.wait(
        {answer, gone},
        timeout=timeout_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    gone.cancel()
    if answer.done():
        return answer.result()
    outcome = "lost with its peer" if instance.gone.is_set() else "no reply"
    _record(fleet, instance, message, sent_at, outcome)
    raise errors.MeshError(message=outcome, remedy="none")


def _keep(
    fleet: Fleet, coroutine: collections.abc.Coroutine[None, None, object]
) -> asyncio.Task[object]:
    task = asyncio.ensure_future(coroutine)
    fleet.calls.add(task)
    task.add_done_callback(fleet.calls.discard)
    return task


def _record(
    fleet: Fleet,
    instance: Instance,
    message: _messages.AdvisorQuery,
    sent_at: float,
    outcome: str,
) -> None:
    fleet.queries.append(
        Query(
            sent_at=sent_at,
            ended_at=fleet.bed.world.loop.time(),
            name=instance.name,
            workers=len(message.workers),
            outcome=outcome,
        )
    )


def staying(fleet: Fleet) -> list[str]:
    """Return the instances that have not been told to stop, in order."""
    return [each.name for each in fleet.instances.values() if not each.leaving]


def owner_name(fleet: Fleet) -> str:
    return fleet.bed.owner.session.settings.instance


def stop(fleet: Fleet, name: str) -> None:
    """Tell an instance to stop; it closes its connections some time later.

    It ends its membership before, which the watch shows to the others.
    """
    instance = fleet.instances[name]
    instance.leaving = True
    loop = asyncio.get_running_loop()
    loop.call_later(
        2 * _restarting_worker.STORE_S, fleet.members.discard, name
    )
    loop.call_later(_daemon.ROTATION_PERIOD_S, instance.gone.set)


async def stop_owner(fleet: Fleet, successor: str) -> None:
    """Stop the owner's instance, and let another one take over."""
    former = fleet.bed.owner
    stop(fleet, owner_name(fleet))
    former.stopping = True
    await _commits.commit_all(former)
    former.deposed.set()
    await asyncio.sleep(_restarting_worker.STORE_S + _daemon.CLAIM_PERIOD_S)
    await _restart_bed.take_over(fleet.bed, stopped=True)
    _place_owner(fleet, fleet.bed.owner, successor)


def _in_order_of_choice(fleet: Fleet) -> list[str]:
    """Return the staying peers, those first that long queries go to first."""
    names = staying(fleet)
    reserved = round(_advisor_queries.SHORT_QUERY_INSTANCE_SHARE * len(names))
    short, long = names[:reserved], names[reserved:]
    if _advisor_queries.stable_hash(fleet.bed.owner.service) % 2:
        short.reverse()
        long.reverse()
    names = long + short
    return [name for name in names if name != owner_name(fleet)]


def next_choice(fleet: Fleet) -> str:
    """Return the staying peer to which a long query goes first."""
    return _in_order_of_choice(fleet)[0]


def last_choice(fleet: Fleet) -> str:
    """Return the staying peer to which a long query goes last."""
    return _in_order_of_choice(fleet)[-1]
