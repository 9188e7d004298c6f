"""Starts of recorded runs beside the expiry of their worker's lease."""

import asyncio
import collections.abc

import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
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
