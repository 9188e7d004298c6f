"""Reasons for which tasks wait, as operators see them."""

import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

ADVICE = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=2.0)


@pytest.mark.parametrize(
    ("crashes", "advice", "ticket_until", "cpu", "reason"),
    [
        pytest.param([], None, 0.0, 9000, "capacity", id="too-large"),
        pytest.param([], ADVICE, 0.0, 1000, "advice", id="not-assessed"),
        pytest.param([], ADVICE, 0.5, 1000, "advice", id="ticket-expired"),
        pytest.param([], ADVICE, 2.0, 9000, "capacity", id="with-a-ticket"),
        pytest.param([2], ADVICE, 0.0, 1000, "trial", id="suspected"),
        pytest.param([1, 1], None, 0.0, 1000, "verdict", id="to-be-given-up"),
        pytest.param([20], None, 0.0, 9000, "capacity", id="unlikely-cause"),
    ],
)
def test_each_waiting_task_is_counted_under_its_reason(
    crashes: list[int],
    advice: workloads.Advice | None,
    ticket_until: float,
    cpu: int,
    reason: str,
) -> None:
    """Guards against a backlog whose cause no log line or metric tells."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(
            need=model.Resources(cpu_millis=cpu, memory_mb=100)
        ),
        _pool_fixtures.make_step(after=(0,)),
        advice=advice,
        name="queries",
    )
    unit = job.units[(0, 0, 0)]
    for number, suspects in enumerate(crashes, start=1):
        unit.crashes[number] = workloads.Crash(
            worker_key=f"gone@{number}", index=0, suspects=suspects
        )
    (key,) = pool.workers
    job.advice[(0, 0)] = workloads.StepAdvice(
        tickets={key: ("t", ticket_until)}
    )
    assert workloads.count_waiting_tasks(pool, now=1.0) == {
        ("queries", reason): 1
    }
    pool.workers[key].failed_polls = 1
    if ticket_until > 1.0:
        reason = "advice"
    assert workloads.count_waiting_tasks(pool, now=1.0) == {
        ("queries", reason): 1
    }


def test_a_task_that_pauses_after_a_failure_is_counted_apart() -> None:
    """Guards against a pause that looks like a lack of capacity."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    job.units[(0, 0, 0)].not_before = 1.2
    for now, reason in ((1.0, "delay"), (1.3, "capacity")):
        assert workloads.count_waiting_tasks(pool, now=now) == {
            ("q", reason): 1
        }
