"""Workers whose capacity shrinks and grows while they run."""

import attrs
import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures


def _resize(pool: workloads.Pool, key: str, **amounts: int) -> None:
    """Apply a worker's report of another capacity."""
    report = pool.workers[key].report
    workloads.update_worker(
        pool,
        attrs.evolve(
            report, capacity=attrs.evolve(report.capacity, **amounts)
        ),
        now=1.0,
        lease_until=0.0,
    )


def _need(cpu: int = 0, memory: int = 0, gpu: int = 0) -> model.Resources:
    return model.Resources(cpu_millis=cpu, memory_mb=memory, accelerators=gpu)


@pytest.mark.parametrize(
    ("resized", "need", "placed"),
    [
        pytest.param({"cpu_millis": 2500}, _need(cpu=1000), 1, id="cpu"),
        pytest.param({"cpu_millis": 500}, _need(cpu=1000), 0, id="below-used"),
        pytest.param({"memory_mb": 5000}, _need(memory=2000), 1, id="memory"),
        pytest.param({"accelerators": 3}, _need(gpu=1), 2, id="accelerators"),
        pytest.param({"cpu_millis": 0}, _need(cpu=1000), 0, id="none-left"),
        pytest.param({"cpu_millis": 6000}, _need(cpu=1000), 5, id="grown"),
    ],
)
def test_only_what_fits_the_new_capacity_is_placed(
    resized: dict[str, int], need: model.Resources, placed: int
) -> None:
    """Guards against starts that bring a worker over its shrunk capacity."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(need=_need(1000, 2000, 1))
    )
    _pool_fixtures.start_all(pool)
    _resize(pool, "w0@1", **resized)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=9, need=need),
        job_id="00000000000000b1",
    )
    assert len(workloads.make_plan(pool, now=1.0).runs) == placed
    # The run that was there before goes on.
    assert pool.workers["w0@1"].used.cpu_millis >= 1000


def test_what_is_being_stopped_counts_after_the_capacity_has_shrunk() -> None:
    """Guards against starts beside runs that are not stopped yet."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=2, need=_need(2000))
    )
    runs = _pool_fixtures.start_all(pool)
    _resize(pool, "w0@1", cpu_millis=2000)
    workloads.cancel_job(pool, job, _pool_fixtures.UNIX_S)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(1000)),
        job_id="00000000000000b1",
    )
    for run in runs:
        assert not workloads.make_plan(pool, now=1.0).runs
        _pool_fixtures.complete_run(pool, run, "stopped")
    assert len(workloads.make_plan(pool, now=3.0).runs) == 1


@pytest.mark.parametrize(
    ("resized", "started"),
    [
        pytest.param({"cpu_millis": 4000}, 3, id="unchanged"),
        pytest.param({"cpu_millis": 2500}, 2, id="shrunk"),
        pytest.param({"cpu_millis": 0}, 0, id="none-left"),
        pytest.param({"memory_mb": 0}, 3, id="not-needed"),
    ],
)
def test_a_planned_run_that_no_longer_fits_is_not_started(
    resized: dict[str, int], started: int
) -> None:
    """Guards against starts on a capacity that shrank during a slow commit."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=3, need=_need(1000))
    )
    planned = workloads.make_plan(pool, now=0.5).runs
    assert len(planned) == 3
    _resize(pool, "w0@1", **resized)
    sent = 0
    for run in planned:
        if workloads.begin_start(pool, run, now=6.0) is not None:
            sent += 1
        else:
            workloads.end_run(pool, run, "never", "", now=6.0, now_unix_s=6.0)
    assert sent == started
    worker = pool.workers["w0@1"]
    assert worker.used.cpu_millis <= max(
        worker.report.capacity.cpu_millis, 1000 * started
    )
    _resize(pool, "w0@1", cpu_millis=4000, memory_mb=8000)
    assert len(workloads.make_plan(pool, now=7.0).runs) == 3 - started


def test_a_worker_that_has_shrunk_and_grown_again_is_filled_again() -> None:
    """Guards against capacity that stays unused after it has come back."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=4, need=_need(1000))
    )
    _resize(pool, "w0@1", cpu_millis=1000)
    assert len(_pool_fixtures.start_all(pool)) == 1
    _resize(pool, "w0@1", cpu_millis=4000)
    assert len(_pool_fixtures.start_all(pool, now=2.0)) == 3
