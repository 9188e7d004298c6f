"""Calls to the store's state with faults, counts and waiting watches."""

import asyncio
import collections
import collections.abc
import random
import typing

import attrs

from standins import _faults
from standins.store import _state

# Kinds whose answers are lost when `drop_answers` names no kinds.
_DROPPED_KINDS: typing.Final[tuple[str, ...]] = ("write", "delete")

Clock: typing.TypeAlias = collections.abc.Callable[[], float]


@attrs.define(kw_only=True)
class Endpoint:
    """A store's state with its faults and counts.

    Attributes
    ----------
    state : State
        The keys and leases.
    clock : function
        Returns the time in seconds.
    rng : Random
        Draws which answers are lost.
    faults : Faults
        The faults for every client.
    client_faults : dict of str to Faults
        The faults for single clients, in addition.
    counts : Counter
        Calls by kind.
    client_counts : dict of str to Counter
        Calls by client and kind.
    failures : Counter
        Calls that were refused, held or whose answer was lost.
    waiting : int
        Watches that are waiting.
    bytes_in, bytes_out : int
        Bytes of requests and answers, with their headers.
    watch_step_s : float
        Longest sleep of a waiting watch in seconds. A given clock that jumps
        over the end of a lease or of a wait is noticed after that.
    lifted : Event
        Set and replaced when the faults change.
    """

    state: _state.State = attrs.Factory(_state.State)
    clock: Clock
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    faults: _faults.Faults = attrs.Factory(
        lambda: _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
    )
    client_faults: dict[str, _faults.Faults] = attrs.Factory(dict)
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)
    client_counts: dict[str, collections.Counter[str]] = attrs.Factory(dict)
    failures: collections.Counter[str] = attrs.Factory(collections.Counter)
    waiting: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    watch_step_s: float = 0.02
    lifted: asyncio.Event = attrs.Factory(asyncio.Event)


class Refused(Exception):
    """The store is down for this call."""


class Lost(Exception):
    """The call gets no answer."""


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults.

    Parameters
    ----------
    endpoint : Endpoint
        The store.
    fields : dict
        Fields of `Faults`. ``for_client`` (an id or a list of them) limits
        them to clients; ``reset`` first lifts all faults.
    """
    changes = dict(fields)
    if changes.pop("reset", False):
        endpoint.faults = _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
        endpoint.client_faults = {}
    clients = changes.pop("for_client", None)
    if clients is None:
        _faults.update(endpoint.faults, changes)
    else:
        for client in [clients] if isinstance(clients, str) else clients:
            _faults.update(
                endpoint.client_faults.setdefault(
                    client, _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
                ),
                changes,
            )
    endpoint.lifted.set()
    endpoint.lifted = asyncio.Event()
    for listener in list(endpoint.state.listeners):
        listener()


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return counts of calls and bytes, and the faults in force."""
    _state.expire(endpoint.state, endpoint.clock())
    return {
        "counts": dict(endpoint.counts),
        "calls": sum(endpoint.counts.values()),
        "by_client": {
            client: dict(counts)
            for client, counts in endpoint.client_counts.items()
        },
        "failures": dict(endpoint.failures),
        "waiting_watches": endpoint.waiting,
        "bytes_in": endpoint.bytes_in,
        "bytes_out": endpoint.bytes_out,
        "revision": endpoint.state.revision,
        "keys": len(endpoint.state.entries),
        "leases": len(endpoint.state.leases),
        "faults": endpoint.faults,
        "client_faults": endpoint.client_faults,
    }


async def call(
    endpoint: Endpoint, client: str, kind: str, fields: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Carry out a call under the faults in force.

    Parameters
    ----------
    endpoint : Endpoint
        The store.
    client : str
        Id of the client.
    kind : str
        Key of `_store_wire.PATHS`.
    fields : dict
        Fields of the request.

    Returns
    -------
    dict
        Fields of the answer.

    Raises
    ------
    Refused
        The store is down for this call; it had no effect.
    Lost
        The answer is lost; the call may have had an effect.
    SchedulerError
        See `_state.call`.
    """
    endpoint.counts[kind] += 1
    endpoint.client_counts.setdefault(client, collections.Counter())[kind] += 1
    key = str(fields.get("key", fields.get("prefix", "")))
    verdict = _judge(endpoint, client, kind, key)
    if verdict.hold:
        await _hold(endpoint, client, key)
    if verdict.delay_s:
        await asyncio.sleep(verdict.delay_s)
    if verdict.refuse:
        endpoint.failures["refused"] += 1
        raise Refused
    if kind == "watch":
        return await _watch(endpoint, client, fields)
    try:
        return _state.call(endpoint.state, kind, fields, endpoint.clock())
    finally:
        if verdict.drop:
            endpoint.failures["dropped"] += 1
            raise Lost


def _judge(
    endpoint: Endpoint, client: str, kind: str, key: str
) -> _faults.Verdict:
    every = [endpoint.faults]
    if client in endpoint.client_faults:
        every.append(endpoint.client_faults[client])
    return _faults.join(
        _faults.judge(faults, kind, key, endpoint.rng) for faults in every
    )


async def _hold(endpoint: Endpoint, client: str, key: str) -> typing.NoReturn:
    endpoint.failures["held"] += 1
    while _judge(endpoint, client, "", key).hold:
        await endpoint.lifted.wait()
    raise Lost


async def _watch(
    endpoint: Endpoint, client: str, fields: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    deadline = endpoint.clock() + fields["wait_s"]
    changed = asyncio.Event()
    endpoint.state.listeners.append(changed.set)
    endpoint.waiting += 1
    try:
        while True:
            changed.clear()
            answer = _state.call(
                endpoint.state, "watch", fields, endpoint.clock()
            )
            now = endpoint.clock()
            if answer["entries"] or now >= deadline:
                return answer
            verdict = _judge(endpoint, client, "", fields["prefix"])
            if verdict.hold:
                await _hold(endpoint, client, fields["prefix"])
            if verdict.refuse:
                endpoint.failures["refused"] += 1
                raise Refused
            expiry = _state.next_expiry(endpoint.state) or deadline
            step_s = min(deadline - now, expiry - now, endpoint.watch_step_s)
            try:
                async with asyncio.timeout(step_s):
                    await changed.wait()
            except TimeoutError:
                continue
    finally:
        endpoint.waiting -= 1
        endpoint.state.listeners.remove(changed.set)
