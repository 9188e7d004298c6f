"""Stalled runs, draining workers and interference by fillers."""

import attrs
import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures


@pytest.mark.parametrize(
    ("progress_at", "percent", "last_reply_at", "stalled"),
    [
        pytest.param(1.0, 50, 2.5, False, id="recent-progress"),
        pytest.param(1.0, 50, 3.5, True, id="no-progress"),
        pytest.param(1.0, 50, 2.0, False, id="poll-reply-is-old"),
        pytest.param(10.0, 10, 13.0, False, id="slow-progress"),
    ],
)
def test_stalled_runs(
    progress_at: float, percent: float, last_reply_at: float, stalled: bool
) -> None:
    """Guards against hung tasks that run on and slow ones that are stopped."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool, now=0.5)
    run.progress_at = progress_at
    run.percent = percent
    pool.workers[run.worker_key].last_reply_at = last_reply_at
    assert bool(workloads.find_stalled(pool, now=99.0)) == stalled


@pytest.mark.parametrize(
    ("step", "now", "moves"),
    [
        pytest.param({"lasting": True}, 1.0, True, id="long-running"),
        pytest.param({"checkpointable": True}, 1.0, False, id="time-left"),
        pytest.param({"checkpointable": True}, 9.0, True, id="about-to-leave"),
        pytest.param({}, 9.0, False, id="not-checkpointable"),
    ],
)
def test_runs_on_a_draining_worker(
    step: dict[str, bool], now: float, moves: bool
) -> None:
    """Guards against work that is lost when a worker leaves."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(**step))
    (run,) = _pool_fixtures.start_all(pool)
    worker = pool.workers[run.worker_key]
    workloads.update_worker(
        pool,
        attrs.evolve(worker.report, draining=True, remaining_s=9.5),
        now=0.5,
        lease_until=0.0,
    )
    assert bool(workloads.evacuate(pool, now=now, stop_s=0.9)) == moves
    assert run.stopping == moves


@pytest.mark.parametrize(
    ("tail_ms", "speed_percent"),
    [
        pytest.param(50, 100, id="well-below-target"),
        pytest.param(90, 50, id="close-to-target"),
        pytest.param(120, 0, id="over-target"),
    ],
)
def test_fillers_are_throttled_by_the_latency_of_serving_tasks(
    tail_ms: float, speed_percent: int
) -> None:
    """Guards against fillers that keep a serving task over its target."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(lasting=True, latency_target_ms=100.0)
    )
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(filler=True), job_id="00000000000000bb"
    )
    serving, filler = _pool_fixtures.start_all(pool)
    serving.percent, serving.latency_ms_or_cpu = 100, tail_ms
    workloads.throttle_fillers(pool.workers["w0@1"])
    assert filler.speed_percent == speed_percent
