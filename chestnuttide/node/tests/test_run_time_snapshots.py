"""Snapshots of learned run times in the store."""

import asyncio
import functools

import pytest

from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _run_time_snapshots
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from chestnuttide.workloads.tests import _run_time_load
from standins import cloud

SERVICE = "workshop"
KEY = _keys.run_times(SERVICE)


def _make_owner(
    address: str, token: int, *, learns: bool = True
) -> _ownership.Ownership:
    metrics = _metrics.make_metrics()
    pool = _pool_fixtures.make_pool(2)
    pool.run_times = workloads.RunTimes() if learns else None
    owner = _ownership.Ownership(
        service=SERVICE,
        fencing_token=token,
        session=None,
        store=platform.KvStore(
            http=platform.make_client(max_clients=10),
            address=address,
            timeout_s=0.7,
            count=_metrics.store_counter(metrics),
        ),
        workers_http=None,
        pool=pool,
        metrics=metrics,
    )
    owner.confirmed_at = asyncio.get_running_loop().time()
    return owner


async def _run_loop(owner: _ownership.Ownership, seconds: float) -> None:
    task = asyncio.ensure_future(_run_time_snapshots.snapshot_loop(owner))
    await asyncio.sleep(seconds)
    # A loop that returns or fails would end the ownership.
    assert not task.done()
    task.cancel()


@pytest.mark.parametrize(
    ("token_change", "stored"),
    [
        pytest.param(0, True, id="owner"),
        pytest.param(-1, False, id="deposed"),
    ],
)
def test_a_successor_starts_from_the_snapshot(
    token_change: int, stored: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a takeover that forgets what its service has shown."""
    monkeypatch.setattr(_run_time_snapshots, "SNAPSHOT_PERIOD_S", 0.05)

    async def play() -> None:
        store = cloud.Store()
        address, server = cloud.serve(
            functools.partial(cloud.handle_store_request, store)
        )
        cloud.put(store, _keys.owner(SERVICE), b"me")
        token = store.revision + token_change
        owner = _make_owner(address, token)
        load = _run_time_load.Load(bias=lambda job: 5.0)
        await _run_loop(owner, 0.2)
        assert KEY not in store.keys
        _run_time_load.play(owner.pool.run_times, load)
        task = asyncio.ensure_future(_run_time_snapshots.snapshot_loop(owner))
        await asyncio.sleep(0.15)
        owner.pool.run_times.samples += 1
        await asyncio.sleep(0.3)
        task.cancel()
        assert (KEY in store.keys) == stored
        successor = _make_owner(address, token)
        await _run_loop(successor, 0.2)
        assert bool(successor.pool.run_times.kinds) == stored
        server.stop()

    asyncio.run(play())


def test_an_odd_snapshot_is_left_out() -> None:
    """Guards against an owner that cannot start beside an odd value."""

    async def play() -> None:
        owner = _make_owner("127.0.0.1:1", 1)
        times = owner.pool.run_times
        _run_time_snapshots.apply_snapshot(owner, times, b"\x81" * 5000)
        assert not times.kinds
        text = owner.metrics.unreadable.get({"kind": "run_times"})
        assert text == 1

    asyncio.run(play())


def test_a_service_that_does_not_learn_calls_no_store() -> None:
    """Guards against calls for a deployment that asks for none."""

    async def play() -> None:
        owner = _make_owner("127.0.0.1:1", 1, learns=False)
        await _run_loop(owner, 0.1)
        _run_time_snapshots.supervise(owner, 10.0)
        assert not owner.store.failing_since

    asyncio.run(play())
