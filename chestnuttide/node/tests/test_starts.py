"""Starts of recorded runs beside the expiry of their worker's lease."""

import asyncio
import collections.abc

import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _start_window
from chestnuttide.node import _starts
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures


def _make_owner() -> _ownership.Ownership:
    """Return an owner of one worker, whose lease has expired while idle."""
    pool = _pool_fixtures.make_pool(1)
    (worker,) = pool.workers.values()
    now = _clock.now()
    worker.last_reply_at = now
    workloads.record_clock(worker, 1000, now)
    worker.lease_until = now - 10.0
    return _ownership.Ownership(
        service="workshop",
        fencing_token=7,
        session=None,
        store=None,
        workers_http=None,
        pool=pool,
        metrics=_metrics.make_metrics(),
        confirmed_at=now,
    )


def _plan_recorded_run(owner: _ownership.Ownership) -> workloads.Run:
    job = _pool_fixtures.submit(owner.pool, _pool_fixtures.make_step())
    (run,) = workloads.make_plan(owner.pool, now=_clock.now()).runs
    run.recorded = True
    _starts.start_recorded_runs(owner, job)
    return run


def _record_sends(
    monkeypatch: pytest.MonkeyPatch,
) -> list[tuple[str, int]]:
    """Replace the start command by one that only records what it sends."""
    sent: list[tuple[str, int]] = []

    async def start_run(
        http: object,
        worker: platform.WorkerAddress,
        *,
        task: str,
        run: int,
        may_send: collections.abc.Callable[[], bool],
        **fields: object,
    ) -> platform.CommandReply:
        await asyncio.sleep(0)
        if not may_send():
            raise errors.PlatformError(
                message="withheld", remedy="none", sent=False
            )
        sent.append((task, run))
        return platform.CommandReply(status=200, clock_ms=1000)

    monkeypatch.setattr(platform, "start_run", start_run)
    return sent


def test_the_expiry_of_an_idle_workers_lease_ends_no_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that runs on two workers at once.

    A poll loop checked the worker's old lease after the start's record was
    stored and before the start was sent. It ended the run as expired, the
    task was placed on another worker, and the first start was sent as well.
    """
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        run = _plan_recorded_run(owner)
        _polls._expire_runs(owner, worker)
        assert run in run.unit.runs
        await asyncio.gather(*owner.commands)
        assert run.phase == workloads.Phase.RUNNING
        assert sent == [(run.task, run.number)]

    asyncio.run(main())


@pytest.mark.parametrize(
    "end",
    [
        pytest.param("expired", id="expired-while-paused"),
        pytest.param("cancelled", id="cancelled"),
        pytest.param("unlisted", id="incarnation-ended"),
    ],
)
def test_a_run_that_has_ended_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """Guards against a start of a run whose task was placed again."""
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        run = _plan_recorded_run(owner)
        if end == "expired":
            worker.lease_until = _clock.now() - 0.001
            _polls._expire_runs(owner, worker)
        elif end == "cancelled":
            workloads.cancel_job(owner.pool, run.job, _clock.unix_time())
        else:
            workloads.end_incarnation(
                owner.pool, worker, now=_clock.now(), now_unix_s=0.0
            )
        await asyncio.gather(*owner.commands)
        assert not sent

    asyncio.run(main())


def _fill_window(owner: _ownership.Ownership) -> None:
    """Let the window send nothing until `_empty_window`."""
    owner.starts.in_flight["other"] = int(owner.starts.size)


def _empty_window(owner: _ownership.Ownership) -> None:
    del owner.starts.in_flight["other"]
    _starts.send_waiting_starts(owner)


def test_a_start_holds_its_lease_from_when_it_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that arrives with a lease that has run down.

    A start that waits for the window may be sent a second after its record
    was stored.
    """
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        _fill_window(owner)
        lease_until = worker.lease_until
        run = _plan_recorded_run(owner)
        _starts.start_recorded_runs(owner, run.job)
        _polls._expire_runs(owner, worker)
        await asyncio.sleep(0.05)
        assert worker.lease_until == lease_until
        assert run.phase == workloads.Phase.PLANNED and not run.deadline_ms
        assert not sent
        before = _clock.now()
        _empty_window(owner)
        await asyncio.gather(*owner.commands)
        assert sent == [(run.task, run.number)]
        assert run.start_sent_at >= before
        assert worker.lease_until >= before + 2.5

    asyncio.run(main())


def test_no_start_of_a_cancelled_job_leaves_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that runs after its cancel was applied."""
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        _fill_window(owner)
        run = _plan_recorded_run(owner)
        workloads.cancel_job(owner.pool, run.job, _clock.unix_time())
        _empty_window(owner)
        _starts.supervise(owner)
        await asyncio.gather(*owner.commands)
        assert not sent
        assert not worker.runs and not owner.starts.waiting

    asyncio.run(main())


@pytest.mark.parametrize("by", ["the-window", "the-supervision"])
@pytest.mark.parametrize(
    "reason", ["expired_ticket", "unusable_worker", "waited"]
)
def test_a_start_that_has_waited_in_vain_is_planned_anew(
    monkeypatch: pytest.MonkeyPatch, reason: str, by: str
) -> None:
    """Guards against starts that are known to be rejected or unanswered."""
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        _fill_window(owner)
        run = _plan_recorded_run(owner)
        if reason == "expired_ticket":
            _give_ticket(run, "t1", _clock.now() - 1.0)
        elif reason == "unusable_worker":
            owner.starts.waiting[run].since -= 0.2
            worker.failed_polls = 1
        else:
            owner.starts.waiting[run].since -= 1.1
        if by == "the-window":
            _empty_window(owner)
        else:
            _starts.supervise(owner)
        await asyncio.gather(*owner.commands)
        assert not sent
        assert not worker.runs and not owner.starts.waiting
        assert run.unit.state == workloads.UnitState.WAITING
        key = {"reason": f"start_{reason}"}
        assert owner.metrics.retries.get(key) == 1

    asyncio.run(main())


def _give_ticket(run: workloads.Run, ticket: str, until: float) -> None:
    run.ticket = ticket
    run.job.advice[run.unit.key[:2]] = workloads.StepAdvice(
        tickets={run.worker_key: (ticket, until)}
    )


def test_a_start_that_waits_takes_a_newer_ticket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new plan for a run whose worker is allowed again."""
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        _fill_window(owner)
        run = _plan_recorded_run(owner)
        _give_ticket(run, "new", _clock.now() + 1.0)
        run.ticket = "old"
        _empty_window(owner)
        await asyncio.gather(*owner.commands)
        assert sent and run.ticket == "new"

    asyncio.run(main())


def test_a_ticket_that_expires_before_the_send_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts that are rejected for an expired ticket.

    A start may wait in the client until a connection is made.
    """
    sent = _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        run = _plan_recorded_run(owner)
        _give_ticket(run, "t1", _clock.now() - 1.0)
        await asyncio.gather(*owner.commands)
        assert not sent
        assert run.unit.state == workloads.UnitState.WAITING

    asyncio.run(main())


@pytest.mark.parametrize(
    ("behind", "listed", "calls"),
    [
        pytest.param(False, False, ["poll", "stop", "poll"], id="as-before"),
        pytest.param(True, True, [], id="listed-meanwhile"),
        pytest.param(True, False, ["stop", "poll"], id="not-listed"),
        pytest.param(True, None, ["poll", "stop", "poll"], id="not-polled"),
    ],
)
def test_an_owner_that_is_behind_saves_calls(
    monkeypatch: pytest.MonkeyPatch,
    behind: bool,
    listed: bool | None,
    calls: list[str],
) -> None:
    """Guards against an owner that stays behind by work of its own making.

    Each unanswered start cost a poll, a stop and a poll, and the stop ended
    runs whose start was only late.
    """
    made: list[str] = []

    async def poll(
        owner: _ownership.Ownership, worker: workloads.Worker, *, wait_s: float
    ) -> bool:
        made.append("poll")
        return True

    async def stop(
        owner: _ownership.Ownership,
        worker: workloads.Worker,
        run: workloads.Run,
    ) -> None:
        made.append("stop")
        run.stop_acknowledged_at = _clock.now()

    monkeypatch.setattr(_polls, "poll_worker", poll)
    monkeypatch.setattr(_commands, "stop_run_on_worker", stop)
    monkeypatch.setattr(_starts, "SETTLE_S", 0.1)

    async def main() -> None:
        owner = _make_owner()
        (worker,) = owner.pool.workers.values()
        _fill_window(owner)
        run = _plan_recorded_run(owner)
        run.phase = workloads.Phase.UNCERTAIN
        run.deadline_ms = 5000
        now = _clock.now()
        worker.last_reply_at = now - 0.1
        if behind:
            owner.starts.unanswered_at.extend([now] * 8)
        resolving = asyncio.ensure_future(
            _starts._resolve_unanswered_start(owner, worker, run)
        )
        await asyncio.sleep(0.05)
        if behind:
            assert not made
            # The supervision sends no stop meanwhile.
            assert not workloads.take_due_stops(worker, now=_clock.now())
        if listed:
            run.phase = workloads.Phase.RUNNING
        if listed is not None:
            worker.last_reply_at = _clock.now()
        await resolving
        assert made == calls

    asyncio.run(main())


def test_an_unanswered_start_shrinks_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an owner that goes on as before when it is behind."""

    async def start_run(*args: object, **fields: object) -> None:
        await asyncio.sleep(_commands.COMMAND_TIMEOUT_S)
        raise errors.PlatformError(message="late", remedy="none", sent=False)

    monkeypatch.setattr(platform, "start_run", start_run)

    async def main() -> None:
        owner = _make_owner()
        size = owner.starts.size
        _plan_recorded_run(owner)
        assert owner.starts.in_flight.total() == 1
        await asyncio.gather(*owner.commands)
        assert owner.starts.size == _start_window.MIN_STARTS < size
        assert not owner.starts.in_flight

    asyncio.run(main())


@pytest.mark.parametrize(
    ("sent", "left"),
    [
        pytest.param(0, 0, id="no-member-was-sent"),
        pytest.param(1, 2, id="a-member-was-sent"),
    ],
)
def test_a_gang_that_has_begun_to_start_is_not_planned_anew(
    monkeypatch: pytest.MonkeyPatch, sent: int, left: int
) -> None:
    """Guards against a gang that starts over because one member waited."""
    _record_sends(monkeypatch)

    async def main() -> None:
        owner = _make_owner()
        _fill_window(owner)
        job = _pool_fixtures.submit(
            owner.pool, _pool_fixtures.make_step(count=3, gang=True)
        )
        runs = workloads.make_plan(owner.pool, now=_clock.now()).runs
        for run in runs:
            run.recorded = True
        owner.starts.in_flight["other"] -= sent
        _starts.start_recorded_runs(owner, job)
        owner.starts.in_flight["other"] += sent
        for start in owner.starts.waiting.values():
            start.since -= 1.1
        _starts.supervise(owner)
        assert len(owner.starts.waiting) == left
        await asyncio.gather(*owner.commands)

    asyncio.run(main())
