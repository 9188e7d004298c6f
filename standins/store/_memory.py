"""In-process implementation of the store port, without HTTP."""

import asyncio
import random
import typing

from chestnuttide import platform
from chestnuttide.platform import _store_wire
from standins.store import _calls
from standins.store import _state


def make_endpoint(state: _state.State, clock: _calls.Clock) -> _calls.Endpoint:
    """Return an endpoint for a state, with its own faults and counts."""
    return _calls.Endpoint(state=state, clock=clock, rng=random.Random(0))


def make_in_memory_store(
    state: _state.State,
    clock: _calls.Clock,
    *,
    client_id: str = "",
    timeout_s: float | None = None,
    endpoint: _calls.Endpoint | None = None,
) -> platform.Store:
    """Return the port of an in-process store.

    Parameters
    ----------
    state : State
        The store's state; several ports may share it.
    clock : function
        Returns the time in seconds, for leases and watches.
    client_id : str
        Id of the client, to which faults can be limited.
    timeout_s : float, optional
        Time limit of a call in seconds of the event loop, to which a watch
        adds its wait. None for no limit.
    endpoint : Endpoint, optional
        Endpoint from `make_endpoint` with shared faults and counts, used
        instead of `state` and `clock`.

    Returns
    -------
    Store
        The functions of the port.
    """
    served_endpoint = endpoint or make_endpoint(state, clock)

    async def call(kind: str, **fields: typing.Any) -> dict[str, typing.Any]:
        limit_s = timeout_s
        if limit_s is not None:
            limit_s += fields.get("wait_s", 0.0)
        try:
            async with asyncio.timeout(limit_s):
                return await _calls.call(
                    served_endpoint, client_id, kind, fields
                )
        except (
            _calls.RequestRefusedError,
            _calls.ResponseLostError,
            TimeoutError,
        ) as error:
            raise _store_wire.unavailable(type(error).__name__) from error

    async def get(key: str) -> platform.Entry | None:
        found = (await call("get", key=key))["entry"]
        return None if found is None else _store_wire.decode_entry(found)

    async def list_range(prefix: str) -> list[platform.Entry]:
        found = await call("range", prefix=prefix)
        return [_store_wire.decode_entry(entry) for entry in found["entries"]]

    async def write(
        key: str,
        value: bytes,
        expected_revision: int,
        write_id: str,
        lease_id: int,
    ) -> int:
        written = await call(
            "write",
            key=key,
            value=value,
            expected_revision=expected_revision,
            write_id=write_id,
            lease_id=lease_id,
        )
        return written["revision"]

    async def delete(key: str, expected_revision: int) -> None:
        await call("delete", key=key, expected_revision=expected_revision)

    async def grant_lease(ttl_s: float) -> int:
        return (await call("lease_grant", ttl_s=ttl_s))["lease_id"]

    async def renew_lease(lease_id: int) -> None:
        await call("lease_renew", lease_id=lease_id)

    async def revoke_lease(lease_id: int) -> None:
        await call("lease_revoke", lease_id=lease_id)

    async def watch(
        prefix: str, after_revision: int, wait_s: float
    ) -> platform.WatchResult:
        changed = await call(
            "watch",
            prefix=prefix,
            after_revision=after_revision,
            wait_s=wait_s,
        )
        return platform.WatchResult(
            revision=changed["revision"],
            entries=tuple(
                _store_wire.decode_entry(entry) for entry in changed["entries"]
            ),
        )

    return platform.Store(
        get=get,
        list_range=list_range,
        write=write,
        delete=delete,
        grant_lease=grant_lease,
        renew_lease=renew_lease,
        revoke_lease=revoke_lease,
        watch=watch,
    )
