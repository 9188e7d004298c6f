"""Starts, polls and hand-overs under stalls, silent workers and stops."""

import asyncio
import collections.abc

import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _start_window
from chestnuttide.node.tests import _virtual_time
from chestnuttide.node.tests import test_handover
from chestnuttide.node.tests import test_polls
from chestnuttide.node.tests import test_start_window
from chestnuttide.node.tests import test_starts
from chestnuttide import platform
from chestnuttide import workloads


@pytest.mark.parametrize(
    "stall_s", [pytest.param(s, id=f"{s}-s") for s in (1.0, 2.5, 4.0)]
)
def test_starts_with_tickets_go_on_after_a_stall(
    monkeypatch: pytest.MonkeyPatch, stall_s: float
) -> None:
    """Guards against a mean time of answers that outlasts all tickets.

    No start is sent then, so that no answer ever corrects it.
    """
    sent = test_starts._record_sends(monkeypatch)

    async def main() -> None:
        owner = test_starts._make_owner()
        # All answers that were due while the process did not run.
        for _ in range(40):
            _start_window.record_answer(owner.starts, "w", stall_s)
        test_starts._fill_window(owner)
        run = test_starts._plan_recorded_run(owner)
        test_starts._give_ticket(run, "t", _clock.now() + 2.0 - 0.15)
        test_starts._empty_window(owner)
        await asyncio.gather(*owner.commands)
        assert sent

    asyncio.run(main())


def test_the_ticket_that_was_checked_is_the_one_that_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an expired ticket that is sent beside a valid one."""
    sent: list[str] = []

    async def start_run(
        http: object,
        worker: platform.WorkerAddress,
        *,
        ticket: str,
        may_send: collections.abc.Callable[[], bool],
        **fields: object,
    ) -> platform.CommandReply:
        # A connection is being made.
        await asyncio.sleep(0.1)
        if not may_send():
            raise errors.PlatformError(
                message="withheld", remedy="none", sent=False
            )
        sent.append(ticket)
        return platform.CommandReply(status=200, clock_ms=1000)

    monkeypatch.setattr(platform, "start_run", start_run)

    async def main() -> None:
        owner = test_starts._make_owner()
        test_starts._fill_window(owner)
        run = test_starts._plan_recorded_run(owner)
        test_starts._give_ticket(run, "old", _clock.now() + 0.05)
        test_starts._empty_window(owner)
        await asyncio.sleep(0.06)
        (advice,) = run.job.advice.values()
        advice.tickets[run.worker_key] = ("new", _clock.now() + 2.0)
        await asyncio.gather(*owner.commands)
        assert "old" not in sent

    asyncio.run(main())


def test_silent_workers_leave_the_window_to_others() -> None:
    """Guards against two silent workers that stop all starts of a service."""
    window = _start_window.StartWindow()
    job = test_start_window._make_jobs()["batch"]
    names = ["silent-a"] * 8 + ["silent-b"] * 8 + [f"w{n}" for n in range(50)]
    for number, name in enumerate(names):
        run = test_start_window._make_run(job, number)
        run.worker_key = name
        _start_window.add(window, run, now=0.0)
    sent: list[tuple[float, str]] = []
    answered_at: list[float] = []
    now = 0.0
    while now < 3.0:
        while (start := _start_window.take_next(window)) is not None:
            _start_window.record_sent(window, start.run.worker_key)
            sent.append((now, start.run.worker_key))
        now = round(now + 0.005, 3)
        for at, key in list(sent):
            if key.startswith("w"):
                _start_window.record_answer(window, key, 0.005)
                answered_at.append(now)
            elif now - at < 0.3:
                continue
            else:
                _start_window.record_unanswered(
                    window, key, sent_at=at, now=now
                )
            _start_window.record_end(window, key)
            sent.remove((at, key))
        if now == 0.3:
            # More work arrives while the first starts go unanswered.
            for number in range(100, 150):
                run = test_start_window._make_run(job, number)
                run.worker_key = f"w{number}"
                _start_window.add(window, run, now=now)
    later = sorted(answered_at)[50:]
    assert later[-1] <= 0.6


@pytest.mark.parametrize("stall_s", [0.0, 0.05, 0.1])
def test_a_worker_whose_runs_lapsed_gets_no_others(
    monkeypatch: pytest.MonkeyPatch, stall_s: float
) -> None:
    """Guards against tasks that start again on the worker that lost them."""

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = test_polls._make_bed(
            loop, monkeypatch, workers=20, busy=20, silent=0
        )
        test_polls._start_polls(bed)
        await test_polls._go_on(bed, 10.0)
        dead, *_ = bed.owner.pool.workers.values()
        bed.silent.add(dead.report.id)
        until = loop.time() + 6.0
        usable_s = 0.0
        while loop.time() < until:
            before = loop.time()
            await asyncio.sleep(0.05)
            loop.spend(stall_s)
            if workloads.is_usable(dead, loop.time()) and not dead.runs:
                usable_s += loop.time() - before
        assert not dead.runs
        assert usable_s == 0.0

    _virtual_time.run(monkeypatch, main)


def test_a_service_is_not_handed_back_to_one_that_stops() -> None:
    """Guards against a service that goes back to an instance that stops."""
    owner = test_handover._make_owner(
        {"a": test_handover.SMALL, "b": test_handover.LARGE}
    )
    test_handover._note_loss_by_successor(owner)
    assert not test_handover._find(owner, ready_since=test_handover.NOW - 2.2)
