"""Calls to the store's state, with faults, call counts and watches."""

import asyncio
import collections
import collections.abc
import random
import typing

import attrs

from standins import _faults
from standins.store import _state

# Kinds of calls whose responses `drop_answers` drops by default.
_DROPPED_KINDS: typing.Final[tuple[str, ...]] = ("write", "delete")

Clock: typing.TypeAlias = collections.abc.Callable[[], float]


@attrs.define(kw_only=True)
class Endpoint:
    """A store's state with its faults and call counts.

    Attributes
    ----------
    state : State
        The keys and leases.
    clock : function
        Returns the time in seconds.
    rng : Random
        Decides which responses are dropped.
    faults : Faults
        Active faults for all clients.
    client_faults : dict of str to Faults
        Additional faults by client id.
    counts : Counter
        Number of calls by kind.
    client_counts : dict of str to Counter
        Number of calls by client and kind.
    failures : Counter
        Number of calls that were refused, held or lost their response.
    waiting : int
        Number of waiting watches.
    bytes_in, bytes_out : int
        Bytes of requests and responses, including headers.
    watch_poll_s : float
        Longest sleep of a waiting watch in seconds. A jump of `clock` past a
        lease's expiry or a wait's deadline is noticed after this time.
    faults_changed : Event
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
    watch_poll_s: float = 0.02
    faults_changed: asyncio.Event = attrs.Factory(asyncio.Event)


class RequestRefusedError(Exception):
    """The store refused the call."""


class ResponseLostError(Exception):
    """The call gets no response."""


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults of the store.

    Parameters
    ----------
    endpoint : Endpoint
        The store.
    fields : dict
        Fields of `Faults`. ``for_client`` (an id or a list of ids) limits
        them to these clients; ``reset`` first clears all faults.
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
    endpoint.faults_changed.set()
    endpoint.faults_changed = asyncio.Event()
    for listener in list(endpoint.state.listeners):
        listener()


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return counts of calls and bytes, and the active faults."""
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
    """Execute a call, subject to the active faults.

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
        Fields of the response.

    Raises
    ------
    RequestRefusedError
        The store refused the call, which had no effect.
    ResponseLostError
        The response is lost; the call may have taken effect.
    SchedulerError
        See `_state.call`.
    """
    endpoint.counts[kind] += 1
    endpoint.client_counts.setdefault(client, collections.Counter())[kind] += 1
    key = str(fields.get("key", fields.get("prefix", "")))
    call_faults = _draw_call_faults(endpoint, client, kind, key)
    if call_faults.block:
        await _block_until_cleared(endpoint, client, key)
    if call_faults.delay_s:
        await asyncio.sleep(call_faults.delay_s)
    if call_faults.refuse:
        endpoint.failures["refused"] += 1
        raise RequestRefusedError
    if kind == "watch":
        return await _watch(endpoint, client, fields)
    try:
        return _state.call(endpoint.state, kind, fields, endpoint.clock())
    finally:
        if call_faults.drop_response:
            endpoint.failures["dropped"] += 1
            raise ResponseLostError


def _draw_call_faults(
    endpoint: Endpoint, client: str, kind: str, key: str
) -> _faults.CallFaults:
    applicable = [endpoint.faults]
    if client in endpoint.client_faults:
        applicable.append(endpoint.client_faults[client])
    return _faults.merge(
        _faults.draw_call_faults(faults, kind, key, endpoint.rng)
        for faults in applicable
    )


async def _block_until_cleared(
    endpoint: Endpoint, client: str, key: str
) -> typing.NoReturn:
    endpoint.failures["held"] += 1
    while _draw_call_faults(endpoint, client, "", key).block:
        await endpoint.faults_changed.wait()
    raise ResponseLostError


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
            call_faults = _draw_call_faults(
                endpoint, client, "", fields["prefix"]
            )
            if call_faults.block:
                await _block_until_cleared(endpoint, client, fields["prefix"])
            if call_faults.refuse:
                endpoint.failures["refused"] += 1
                raise RequestRefusedError
            expiry = _state.next_expiry(endpoint.state) or deadline
            sleep_s = min(deadline - now, expiry - now, endpoint.watch_poll_s)
            try:
                async with asyncio.timeout(sleep_s):
                    await changed.wait()
            except TimeoutError:
                continue
    finally:
        endpoint.waiting -= 1
        endpoint.state.listeners.remove(changed.set)
