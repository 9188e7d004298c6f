"""Tests of the journal against an in-memory store with injected faults."""

import asyncio
import collections.abc
import itertools
import time

import attrs
import pytest

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide.scheduler import _journals
from chestnuttide import telemetry
from standins import store as store_standin

_SHARD = "requests/layout/0"
_DEADLINE_S = 10.0


@attrs.define(kw_only=True, slots=False)
class _Harness:
    """A store with injected faults, on which owners open the journal."""

    endpoint: store_standin.Endpoint
    write_numbers: collections.abc.Iterator[int]

    async def open(
        self, epoch: int
    ) -> tuple[coordination.Recovery, _journals.Journal]:
        now = time.monotonic()
        return await _journals.open_journal(
            shard=_SHARD,
            epoch=epoch,
            store=store_standin.make_in_memory_store(
                self.endpoint.state,
                time.monotonic,
                endpoint=self.endpoint,
                timeout_s=0.2,
            ),
            bucket=coordination.make_token_bucket(1000.0, 100.0, now),
            metrics=telemetry.make_metrics(),
            make_write_id=lambda: f"{epoch}/{next(self.write_numbers)}",
        )


def _make_harness() -> _Harness:
    endpoint = store_standin.make_endpoint(
        store_standin.State(), time.monotonic
    )
    return _Harness(endpoint=endpoint, write_numbers=itertools.count())


async def _append_all(
    journal: _journals.Journal, events: list[bytes]
) -> list[bytes]:
    durable: list[bytes] = []
    for event in events:
        _journals.append(
            journal, event, lambda event=event: durable.append(event)
        )
    deadline = time.monotonic() + _DEADLINE_S
    while len(durable) < len(events) and time.monotonic() < deadline:
        _journals.tick(journal)
        await asyncio.sleep(0)
    return durable


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({}, id="event_lost_without_fault"),
        pytest.param({"drop_answers": 3}, id="lost_answers_apply_twice"),
        pytest.param(
            {"drop_answers": 0.4}, id="random_lost_answers_apply_twice"
        ),
        pytest.param({"slow_s": 0.05}, id="slow_store_reorders"),
    ],
)
def test_successor_finds_every_durable_event_once(fault: dict) -> None:
    async def scenario() -> None:
        harness = _make_harness()
        _, journal = await harness.open(1)
        store_standin.control(harness.endpoint, fault)
        events = [f"event-{each}".encode() for each in range(50)]
        durable = []
        for start in range(0, 50, 10):
            batch = events[start : start + 10]
            durable += await _append_all(journal, batch)
        assert durable == events
        store_standin.control(harness.endpoint, {"reset": True})
        recovery, _ = await harness.open(2)
        assert list(recovery.events) == events

    asyncio.run(scenario())


def test_events_wait_for_the_store() -> None:
    async def scenario() -> None:
        harness = _make_harness()
        _, journal = await harness.open(1)
        store_standin.control(harness.endpoint, {"down": True})
        waiting = asyncio.ensure_future(_append_all(journal, [b"a", b"b"]))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        store_standin.control(harness.endpoint, {"reset": True})
        assert await waiting == [b"a", b"b"]

    asyncio.run(scenario())


def test_former_owner_is_deposed_by_its_next_event() -> None:
    async def scenario() -> None:
        harness = _make_harness()
        _, former = await harness.open(1)
        deposed = []
        former.on_deposed = lambda: deposed.append(True)
        await _append_all(former, [b"before"])
        _, successor = await harness.open(2)
        durable: list[bytes] = []
        _journals.append(former, b"late", lambda: durable.append(b"late"))
        await asyncio.sleep(0.1)
        assert deposed and not durable
        assert await _append_all(successor, [b"after"]) == [b"after"]
        recovery, _ = await harness.open(3)
        assert list(recovery.events) == [b"before", b"after"]
        with pytest.raises(errors.DeposedError):
            await harness.open(1)

    asyncio.run(scenario())


def test_snapshot_replaces_events_before_the_ring_is_full() -> None:
    async def scenario() -> None:
        harness = _make_harness()
        _, journal = await harness.open(1)
        written: list[bytes] = []
        journal.take_snapshot = lambda: b"|".join(written)
        total = coordination.RING_SIZE + 50
        for number in range(total):
            event = b"%d" % number
            written.append(event)
            assert await _append_all(journal, [event]) == [event]
        recovery, _ = await harness.open(2)
        found = (recovery.snapshot or b"").split(b"|") + list(recovery.events)
        assert found == [b"%d" % number for number in range(total)]

    asyncio.run(scenario())
