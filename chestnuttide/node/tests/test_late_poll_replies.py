"""Poll replies that arrive after those of a later incarnation."""

import asyncio
import math

import attrs
import pytest

from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures


def _reply(born_ms: int, *runs: workloads.Run) -> platform.PollReply:
    return platform.PollReply(
        clock_ms=5000 * born_ms,
        born_ms=born_ms,
        running=tuple(
            platform.RunReport(
                task=run.task,
                run=run.number,
                checkpoint="",
                percent=1,
                latency_ms_or_cpu=0,
            )
            for run in runs
        ),
        ended=(),
    )


@pytest.mark.parametrize(
    "learned_from",
    [
        pytest.param("poll", id="learned-from-a-poll"),
        pytest.param("entry", id="learned-from-its-entry"),
    ],
)
def test_a_late_reply_of_a_former_incarnation_ends_no_later_one(
    monkeypatch: pytest.MonkeyPatch, learned_from: str
) -> None:
    """Guards against a second run while the living incarnation runs the first.

    Responses on different connections may overtake each other, and a start
    that was not answered polls its worker beside the poll loop.
    """
    replies: list[asyncio.Future[platform.PollReply]] = []

    async def poll_worker(
        http: object, worker: platform.WorkerAddress, **fields: object
    ) -> platform.PollReply:
        replies.append(asyncio.get_running_loop().create_future())
        return await replies[-1]

    async def stop_run(*args: object, **fields: object) -> object:
        return platform.CommandReply(status=200, clock_ms=1)

    monkeypatch.setattr(platform, "poll_worker", poll_worker)
    monkeypatch.setattr(platform, "stop_run", stop_run)

    async def poll(
        owner: _ownership.Ownership, worker: workloads.Worker
    ) -> "asyncio.Task[_polls.Outcome]":
        task = asyncio.ensure_future(
            _polls.poll_worker(owner, worker, wait_s=0.1)
        )
        await asyncio.sleep(0.01)
        return task

    async def main() -> None:
        pool = _pool_fixtures.make_pool(1)
        (former,) = pool.workers.values()
        owner = _ownership.Ownership(
            service="workshop",
            fencing_token=7,
            session=None,
            store=None,
            workers_http=None,
            pool=pool,
            metrics=_metrics.make_metrics(),
            confirmed_at=math.inf,
        )
        former.fencing_token = 7
        late = await poll(owner, former)
        report = attrs.evolve(former.report, born_ms=2)
        if learned_from == "poll":
            answered = await poll(owner, former)
            replies[1].set_result(_reply(2))
            assert await answered == _polls.Outcome.RESTARTED
        living = workloads.update_worker(
            pool, report, now=_clock.now(), lease_until=0.0
        )
        assert workloads.assign_fencing_token(pool, living, 8)
        answered = await poll(owner, living)
        replies[-1].set_result(_reply(2))
        await answered
        _pool_fixtures.submit(pool, _pool_fixtures.make_step())
        (run,) = _pool_fixtures.start_all(pool, now=_clock.now())
        answered = await poll(owner, living)
        replies[-1].set_result(_reply(2, run))
        await answered
        assert run.located
        replies[0].set_result(_reply(1))
        await late
        assert living.listed
        assert run.unit.runs == [run]
        assert run.worker_key == living.key
        for task in owner.poll_loops.values():
            task.cancel()

    asyncio.run(main())
