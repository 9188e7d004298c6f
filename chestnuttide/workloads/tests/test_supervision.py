"""Stalled runs, draining workers and interference by fillers."""

import collections.abc
import math

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
    ("percents", "progress_at", "stalled"),
    [
        pytest.param((100, 80), (1.0, 5.5), (), id="others-go-on"),
        pytest.param((100, 100), (1.0, 5.5), (), id="all-have-just-ended"),
        pytest.param((100, 80), (1.0, 2.0), (0, 1), id="others-hang"),
        pytest.param((50, 100), (2.0, 5.5), (0,), id="one-hangs-below"),
        pytest.param((100, 100), (1.0, 2.0), (0, 1), id="all-hang-at-the-end"),
    ],
)
def test_a_member_of_a_gang_waits_for_the_others(
    percents: tuple[int, ...],
    progress_at: tuple[float, ...],
    stalled: tuple[int, ...],
) -> None:
    """Guards against gangs that are stopped just before they end.

    A member that has done its work stays at 100 percent until all have.
    """
    pool = _pool_fixtures.make_pool(len(percents))
    step = _pool_fixtures.make_step(count=len(percents), gang=True)
    _pool_fixtures.submit(pool, step)
    runs = _pool_fixtures.start_all(pool, now=0.5)
    for run, percent, at in zip(runs, percents, progress_at, strict=True):
        run.percent = percent
        run.progress_at = at
    for worker in pool.workers.values():
        worker.last_reply_at = 6.0
    found = workloads.find_stalled(pool, now=6.0)
    assert {run.index for run in found} == set(stalled)


POLL_S = 0.5
CONFIRMED_AT_S = 0.1


def _percent_after(
    work_s: float, *, at_start: float = 0.0, hung_s: float
) -> collections.abc.Callable[[float], int]:
    """Return the whole percent that a worker lists, by time since start."""

    def percent(elapsed_s: float) -> int:
        worked_s = min(elapsed_s, hung_s)
        return math.floor(min(100.0, at_start + 100.0 * worked_s / work_s))

    return percent


def _poll_until_stalled(
    pool: workloads.Pool,
    runs: collections.abc.Sequence[workloads.Run],
    percent: collections.abc.Callable[[float], int],
    *,
    until_s: float,
) -> float:
    """Poll the worker of some runs; return when one counts as stalled.

    The result is in seconds since the start, infinite for never.
    """
    started_at = max(run.confirmed_at for run in runs)
    elapsed_s = 0.0
    while elapsed_s < until_s:
        elapsed_s += POLL_S
        rows = tuple(
            _pool_fixtures.RunReport(
                task=run.task, run=run.number, percent=percent(elapsed_s)
            )
            for run in runs
        )
        _pool_fixtures.apply_reply(
            pool,
            runs[0].worker_key,
            running=rows,
            sent_at=started_at + elapsed_s,
        )
        if workloads.find_stalled(pool, now=started_at + elapsed_s):
            return elapsed_s
    return math.inf


@pytest.mark.parametrize(
    ("estimate_s", "work_s", "at_start"),
    [
        pytest.param(0.0, 150.0, 0, id="no-estimate"),
        pytest.param(40.0, 260.0, 0, id="six-times-the-estimate"),
        pytest.param(40.0, 520.0, 0, id="slow-and-far-from-its-data"),
        pytest.param(40.0, 260.0, 41, id="resumed-from-a-checkpoint"),
        pytest.param(600.0, 600.0, 0, id="ten-minutes"),
        pytest.param(600.0, 600.0, 41, id="ten-minutes-resumed"),
        pytest.param(3600.0, 3600.0, 0, id="an-hour"),
        pytest.param(3600.0, 36000.0, 0, id="an-hour-takes-ten"),
    ],
)
def test_a_long_task_is_not_stopped(
    estimate_s: float, work_s: float, at_start: int
) -> None:
    """Guards against long tasks that are stopped again and again.

    Workers list whole percents. Before the first, a task was given 2 s
    whatever its estimate, so one of 260 s never ended.
    """
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(estimate_s=estimate_s)
    )
    runs = _pool_fixtures.start_all(pool, now=CONFIRMED_AT_S)
    percent = _percent_after(work_s, at_start=at_start, hung_s=math.inf)
    stalled_s = _poll_until_stalled(pool, runs, percent, until_s=work_s / 4)
    assert stalled_s == math.inf


@pytest.mark.parametrize(
    ("estimate_s", "work_s", "hung_s", "limit_s"),
    [
        pytest.param(0.75, 0.75, 0.0, 3.0, id="short-at-its-start"),
        pytest.param(3.8, 3.8, 2.0, 5.0, id="short-at-work"),
        pytest.param(40.0, 40.0, 0.0, 7.0, id="long-at-its-start"),
        pytest.param(40.0, 40.0, 20.0, 27.0, id="long-at-work"),
    ],
)
def test_a_hung_task_is_noticed(
    estimate_s: float, work_s: float, hung_s: float, limit_s: float
) -> None:
    """Guards against limits that are so long that hung tasks hold workers."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(estimate_s=estimate_s)
    )
    runs = _pool_fixtures.start_all(pool, now=CONFIRMED_AT_S)
    percent = _percent_after(work_s, hung_s=hung_s)
    stalled_s = _poll_until_stalled(pool, runs, percent, until_s=60.0)
    assert hung_s < stalled_s <= limit_s


def test_a_task_of_any_length_is_left_to_end_at_last() -> None:
    """Guards against a task that never ends because its estimate is wrong.

    It also guards against a worker that is kept from other work, because one
    slow task was stopped there several times.
    """
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(estimate_s=1.0))
    percent = _percent_after(1000.0, hung_s=math.inf)
    now = CONFIRMED_AT_S
    for _ in range(4):
        (run,) = _pool_fixtures.start_all(pool, now=now)
        stalled_s = _poll_until_stalled(pool, [run], percent, until_s=100.0)
        if stalled_s == math.inf:
            break
        now += stalled_s + 1.0
        workloads.stop_stalled(pool, run, now=now)
        _pool_fixtures.complete_run(pool, run, "stopped", sent_at=now)
        now += 1.0
    else:
        pytest.fail("the task was stopped each time")
    assert pool.workers["w0@1"].quarantined_until == 0.0


def test_a_gang_is_not_stopped_for_the_time_it_waits_for_a_member() -> None:
    """Guards against gangs that are stopped as their last member starts."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=2, gang=True))
    first, second = _pool_fixtures.start_all(pool, now=CONFIRMED_AT_S)
    second.confirmed_at = second.progress_at = CONFIRMED_AT_S + 2.9
    percent = _percent_after(60.0, hung_s=math.inf)
    stalled_s = _poll_until_stalled(
        pool, [first, second], percent, until_s=2.5
    )
    assert stalled_s == math.inf


def test_a_filler_is_not_stopped_when_it_is_no_longer_throttled() -> None:
    """Guards against fillers that lose the work done before they waited."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(filler=True))
    (run,) = _pool_fixtures.start_all(pool, now=CONFIRMED_AT_S)
    run.speed_percent = 0
    percent = _percent_after(100.0, hung_s=0.0)
    assert _poll_until_stalled(pool, [run], percent, until_s=30) == math.inf
    run.speed_percent = 100
    assert not workloads.find_stalled(pool, now=31.0)


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


@pytest.mark.parametrize(
    ("configured", "accepted", "priority"),
    [
        pytest.param((0, 2), (), 0, id="configured-queues"),
        pytest.param((), (2, 1), 1, id="no-queue-names-the-service-any-more"),
        pytest.param((3,), (2, 1), 1, id="the-urgent-queue-has-moved"),
        pytest.param((1,), (2, 3), 1, id="configured-queue-without-jobs"),
        pytest.param((), (), 0, id="neither-queues-nor-jobs"),
    ],
)
def test_urgent_work_is_what_is_most_urgent_among_queues_and_waiting_jobs(
    configured: tuple[int, ...], accepted: tuple[int, ...], priority: int
) -> None:
    """Guards against a reserve that no job of a moved queue may use."""
    pool = _pool_fixtures.make_pool(1)
    for number, each in enumerate(accepted):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(),
            job_id=f"{number:016x}",
            priority=each,
        )
    workloads.update_top_priority(pool, configured)
    assert pool.top_priority == priority


def test_running_jobs_of_a_moved_queue_hold_no_reserve() -> None:
    """Guards against processors that stay reserved while nothing waits."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), priority=0)
    _pool_fixtures.start_all(pool)
    workloads.update_top_priority(pool, (2,))
    assert pool.top_priority == 2
