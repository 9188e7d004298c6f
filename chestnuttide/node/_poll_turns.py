"""Turns of an instance's polls, and the measurement of its loop's delay."""

import asyncio
import collections.abc
import contextlib

from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _poll_pacing
from chestnuttide import workloads


@contextlib.asynccontextmanager
async def take_turn(
    pacing: _poll_pacing.Pacing, worker: workloads.Worker, *, wait_s: float
) -> collections.abc.AsyncIterator[None]:
    """Wait until a poll may be sent; the body sends it."""
    if wait_s:
        busy = bool(worker.runs)
        _poll_pacing.begin_wait(pacing, busy=busy)
        try:
            yield
        finally:
            _poll_pacing.end_wait(pacing, busy=busy)
        return
    priority = _poll_pacing.Priority.KNOWN
    if worker.failed_polls:
        priority = _poll_pacing.Priority.SILENT
    elif worker.runs:
        priority = _poll_pacing.Priority.LEASED
    admitted = asyncio.Event()
    ticket = _poll_pacing.enter(pacing, priority, admitted.set)
    timer = None
    try:
        await admitted.wait()
        timer = asyncio.get_running_loop().call_later(
            _poll_pacing.hold_s(ticket),
            _poll_pacing.give_back,
            pacing,
            ticket,
        )
        yield
    finally:
        if timer is not None:
            timer.cancel()
        _poll_pacing.leave(pacing, ticket)


async def delay_loop(
    pacing: _poll_pacing.Pacing,
    owned: collections.abc.Mapping[str, _ownership.Ownership],
    metrics: _metrics.NodeMetrics,
) -> None:
    """Measure by how much the loop is late, and count busy workers."""
    pacing.next_delay_at = 0.0
    while True:
        delay_s = _poll_pacing.record_delay(pacing, _clock.now())
        metrics.loop_delay_seconds.observe({}, delay_s)
        pacing.busy_workers = sum(
            bool(worker.runs)
            for owner in owned.values()
            for worker in owner.pool.workers.values()
        )
        await asyncio.sleep(_poll_pacing.DELAY_PERIOD_S)
