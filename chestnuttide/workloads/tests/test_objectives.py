"""Latency objectives, and the order of jobs that can no longer meet them."""

import attrs
import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads import _objectives
from chestnuttide.workloads import _ordering
from chestnuttide.workloads.tests import _pool_fixtures

ORDERED = workloads.LoadPolicy(objective_order=True)


def _spec(*steps: workloads.StepSpec, **queue: object) -> workloads.JobSpec:
    fields = {"name": "q", "host": "h", "prefix": "/p/", "service": "w"}
    return workloads.JobSpec(
        id="a",
        queue=workloads.Queue(**fields, **queue),
        payload="",
        steps=steps,
    )


STEP = _pool_fixtures.make_step(estimate_s=2.0)


@pytest.mark.parametrize(
    ("spec", "expected_s"),
    [
        pytest.param(
            _spec(STEP, stretch=1.5, latency_objective_s=0.25),
            3.25,
            id="constant-part-alone",
        ),
        pytest.param(
            _spec(STEP, STEP, attrs.evolve(STEP, after=(0, 1))),
            4.0,
            id="parallel-steps-added-up",
        ),
        pytest.param(
            # Two workers of four processors: 8 tasks fit, waves of 2.
            _spec(attrs.evolve(STEP, count=6)),
            6.0,
            id="wide-step-without-waves",
        ),
        pytest.param(
            _spec(attrs.evolve(STEP, count=8, gang=True)),
            2.0,
            id="gang-in-waves",
        ),
        pytest.param(
            _spec(attrs.evolve(STEP, count=2, label="no-such"), stretch=1.5),
            3.0,
            id="division-by-no-room",
        ),
        pytest.param(
            _spec(
                STEP,
                advice=workloads.Advice(
                    decide_s=0.4, per_worker_s=0.01, validity_s=2.0
                ),
            ),
            2.7,
            id="advice-left-out",
        ),
    ],
)
def test_objective_follows_the_longest_chain(
    spec: workloads.JobSpec, expected_s: float
) -> None:
    """Guards against due times that leave out what callers are promised."""
    pool = _pool_fixtures.make_pool()
    assert _objectives.objective_s(pool, spec) == pytest.approx(expected_s)


def _order(pool: workloads.Pool, now: float) -> list[str]:
    view = _free_capacity.make_view(pool, list(pool.workers.values()), now=now)
    jobs = sorted(
        pool.active.values(), key=lambda job: _ordering.urgency(view, job)
    )
    return [job.spec.id for job in jobs]


@pytest.mark.parametrize(
    ("now", "policy", "expected"),
    [
        # Objectives: urgent 1, long 16, short 4 from 0.5 on.
        pytest.param(
            0.6, ORDERED, ["urgent", "short", "long"], id="order-of-arrival"
        ),
        pytest.param(
            2.3,
            ORDERED,
            ["short", "long", "urgent"],
            id="hopeless-job-before-others",
        ),
        pytest.param(
            3.7,
            ORDERED,
            ["long", "short", "urgent"],
            id="late-job-before-one-in-time",
        ),
        pytest.param(
            3.7,
            workloads.LoadPolicy(),
            ["urgent", "long", "short"],
            id="order-changed-unasked",
        ),
    ],
)
def test_jobs_that_cannot_end_in_time_wait_behind_others(
    now: float, policy: workloads.LoadPolicy, expected: list[str]
) -> None:
    """Guards against a backlog of lost jobs that makes all others late."""
    pool = _pool_fixtures.make_pool()
    pool.policy = policy
    for job_id, arrived, priority, stretch, run_s in (
        ("urgent", 0.0, 0, 1.0, 1.0),
        ("long", 0.0, 1, 4.0, 4.0),
        ("short", 0.5, 1, 4.0, 1.0),
    ):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(estimate_s=run_s),
            job_id=job_id,
            now=arrived,
            priority=priority,
            stretch=stretch,
        )
    assert _order(pool, now) == expected


def test_jobs_without_an_end_in_time_still_start_in_idle_room() -> None:
    """Guards against a job that is never started because it is late."""
    pool = _pool_fixtures.make_pool()
    pool.policy = ORDERED
    _pool_fixtures.submit(pool, STEP, now=0.0)
    assert len(workloads.make_plan(pool, now=100.0).runs) == 1


def test_timed_and_lasting_jobs_are_never_late() -> None:
    """Guards against a watcher or a schedule that is put behind as lost."""
    pool = _pool_fixtures.make_pool()
    pool.policy = ORDERED
    _pool_fixtures.submit(pool, attrs.evolve(STEP, lasting=True), job_id="a")
    _pool_fixtures.submit(pool, STEP, job_id="b", occurrences=2)
    assert _objectives.find_late_jobs(pool, now=1e6) == _objectives.LateJobs()


@pytest.mark.parametrize(
    ("limit", "expected"),
    [
        pytest.param(0, 4, id="capacity"),
        pytest.param(2, 2, id="spread-limit"),
    ],
)
def test_room_of_one_worker(limit: int, expected: int) -> None:
    """Guards against waves that count room a step may not use."""
    need = model.Resources(cpu_millis=1000, memory_mb=100)
    capacity = model.Resources(cpu_millis=4000, memory_mb=8000)
    assert _objectives.count_within(capacity, need, limit) == expected
