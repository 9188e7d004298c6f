"""Membership of an instance while calls to the store are executed late."""

import asyncio
import collections.abc
import functools

import attrs
import pytest
from tornado import httputil

from chestnuttide.node import _keys
from chestnuttide.node import _session
from chestnuttide.node.tests import _session_fixtures
from chestnuttide.platform import _http
from standins import cloud

INSTANCE = "a"
LEASE_S = 0.6
STORE_TIMEOUT_S = 0.15


@attrs.define(kw_only=True, eq=False)
class _LateStore:
    """A store that leaves the first transaction unanswered.

    Attributes
    ----------
    store : Store
        What it stores.
    held : list of function
        Executes the transaction that was left unanswered.
    transactions : int
        Number of transactions that have arrived.
    """

    store: cloud.Store = attrs.field(factory=cloud.Store)
    held: list[
        collections.abc.Callable[[], collections.abc.Awaitable[object]]
    ] = attrs.field(factory=list)
    transactions: int = 0


async def _handle(
    late: _LateStore,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> tuple[int, dict[str, object]] | None:
    execute = functools.partial(
        cloud.handle_store_request, late.store, request, body
    )
    if request.path.endswith("/kv-txn"):
        late.transactions += 1
        if late.transactions == 1:
            late.held.append(execute)
            return None
    return await execute()


def _run(
    late: _LateStore,
    scenario: collections.abc.Callable[
        [_session.Session], collections.abc.Awaitable[None]
    ],
) -> None:
    async def main() -> None:
        address, server = cloud.serve(functools.partial(_handle, late))
        session = _session_fixtures.make_session(
            address,
            timeout_s=STORE_TIMEOUT_S,
            count=lambda kind, outcome: None,
        )
        session.address = "127.0.0.1:9"
        keeping = asyncio.ensure_future(_session.keep_lease(session))
        try:
            async with asyncio.timeout(10.0):
                await scenario(session)
        finally:
            keeping.cancel()
            await asyncio.gather(keeping, return_exceptions=True)
            server.stop()
            # libcurl's transfers end with their connections.
            await server.close_all_connections()
            await asyncio.sleep(0.1)
            _http.close(session.store.http)

    asyncio.run(main())


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    "executed",
    [
        pytest.param("never", id="never"),
        pytest.param("before-next", id="before-the-next-write"),
        pytest.param("after-next", id="after-the-next-write"),
        pytest.param("after-lease", id="after-its-lease"),
    ],
)
@pytest.mark.parametrize(
    "former", [pytest.param(False, id="first"), pytest.param(True, id="back")]
)
def test_an_instance_stays_a_member_after_a_late_write(
    former: bool, executed: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member key that ends with the lease of a late write.

    An instance that is back finds the key of its former process.
    """
    monkeypatch.setattr(_session, "LEASE_TTL_S", LEASE_S)
    late = _LateStore()
    key = _keys.member(INSTANCE)
    if former:
        cloud.put(late.store, key, b"former process")

    async def scenario(session: _session.Session) -> None:
        await _until(lambda: bool(late.held))
        (execute,) = late.held
        if executed == "before-next":
            await execute()
        await _until(lambda: bool(session.lease))
        if executed == "after-next":
            await execute()
        await asyncio.sleep(2 * LEASE_S)
        if executed == "after-lease":
            await execute()
            await asyncio.sleep(2 * LEASE_S)
        cloud.expire_leases(late.store)
        assert session.lease in late.store.leases
        assert late.store.keys[key].lease == session.lease

    _run(late, scenario)
