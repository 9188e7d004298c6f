"""Placement on workers of different speeds."""

import attrs
import pytest

from chestnuttide import workloads
from chestnuttide.workloads import _expectations
from chestnuttide.workloads.tests import _pool_fixtures

SPEEDS = {"w0": 0.5, "w1": 1.0, "w2": 1.0}


@pytest.fixture(autouse=True)
def _known_speeds(monkeypatch: pytest.MonkeyPatch) -> None:
    def expected_run_s(
        pool: workloads.Pool,
        spec: workloads.JobSpec,
        step: int,
        worker: workloads.Worker | None = None,
    ) -> float:
        speed = 1.0 if worker is None else SPEEDS[worker.report.id]
        return spec.steps[step].estimate_s / speed

    monkeypatch.setattr(_expectations, "expected_run_s", expected_run_s)


@pytest.mark.parametrize(
    ("policy", "stretch", "arrived", "expected"),
    [
        pytest.param(True, 1.5, 9.9, {"w1"}, id="tight-work-on-slow"),
        pytest.param(True, 6.0, 9.9, {"w0"}, id="spare-work-on-fast"),
        pytest.param(True, 1.5, 5.0, {"w0"}, id="late-work-on-fast"),
        pytest.param(False, 1.5, 9.9, None, id="asked-for-by-nobody"),
    ],
)
def test_slow_workers_take_what_can_bear_them(
    policy: bool, stretch: float, arrived: float, expected: set[str] | None
) -> None:
    """Guards against short work that waits for one slow task."""
    chosen = []
    for load in (policy, False):
        pool = _pool_fixtures.make_pool(3)
        pool.policy = workloads.LoadPolicy(worker_speeds=load)
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(count=4, estimate_s=1.0),
            now=arrived,
            stretch=stretch,
            latency_objective_s=0.1,
        )
        plan = workloads.make_plan(pool, now=10.0)
        assert len(plan.runs) == 4
        chosen.append({run.worker_key.partition("@")[0] for run in plan.runs})
    assert chosen[0] == (chosen[1] if expected is None else expected)


def test_slow_workers_are_used_before_work_waits() -> None:
    """Guards against work that waits while a slow worker is idle."""
    pool = _pool_fixtures.make_pool(3)
    pool.policy = workloads.LoadPolicy(worker_speeds=True)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=12, estimate_s=1.0), stretch=1.1
    )
    assert len(workloads.make_plan(pool, now=0.1).runs) == 12


def test_lasting_tasks_ignore_speeds() -> None:
    """Guards against watchers that are packed on the slowest workers."""
    pool = _pool_fixtures.make_pool(3)
    pool.policy = workloads.LoadPolicy(worker_speeds=True)
    step = _pool_fixtures.make_step(count=3)
    _pool_fixtures.submit(pool, attrs.evolve(step, lasting=True))
    plan = workloads.make_plan(pool, now=0.1)
    assert len({run.worker_key for run in plan.runs}) == 3
