"""Placement by capacity and limits, and advisor queries."""

import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads.tests import _pool_fixtures

ADVICE = workloads.Advice(decide_s=0.9, per_worker_s=0.01, validity_s=2.0)


def _need(cpu: int) -> model.Resources:
    return model.Resources(cpu_millis=cpu, memory_mb=100)


@pytest.mark.parametrize(
    ("step", "placed"),
    [
        pytest.param({"count": 9}, 8, id="capacity"),
        pytest.param({"count": 9, "spread_limit": 1}, 2, id="spread-limit"),
        pytest.param({"count": 9, "label": "b"}, 0, id="label"),
        pytest.param({"count": 9, "gang": True}, 0, id="gang-too-wide"),
        pytest.param({"count": 8, "gang": True}, 8, id="gang-fits"),
        pytest.param(
            {"count": 9, "filler": True, "need": _need(4000)},
            9,
            id="filler-takes-no-cpu",
        ),
        pytest.param({"need": _need(4001)}, 0, id="larger-than-any-worker"),
    ],
)
def test_capacity_of_two_workers_of_four_cores(
    step: dict[str, object], placed: int
) -> None:
    """Guards against placements beyond a worker's capacity or a limit."""
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(**step))
    assert len(workloads.make_plan(pool, now=0.1).runs) == placed
    for worker in pool.workers.values():
        assert worker.used.cpu_millis <= 4000


def test_a_stopping_run_still_uses_capacity() -> None:
    """Guards against a start on capacity that a stopping run still uses."""
    pool = _pool_fixtures.make_pool(1)
    first = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(need=_need(4000))
    )
    _pool_fixtures.start_all(pool)
    workloads.cancel_job(pool, first, _pool_fixtures.UNIX_S)
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000bb"
    )
    assert not workloads.make_plan(pool, now=1.0).runs


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"listed": False}, id="not-listed"),
        pytest.param({"failed_polls": 1}, id="unresponsive"),
        pytest.param({"quarantined_until": 9.0}, id="quarantined"),
        pytest.param(
            {"last_reply_at": 0.0}, id="not-yet-polled-by-this-owner"
        ),
    ],
)
def test_unusable_workers(change: dict[str, object]) -> None:
    """Guards against starts on unusable workers."""
    pool = _pool_fixtures.make_pool(1)
    for name, value in change.items():
        setattr(pool.workers["w0@1"], name, value)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    assert not workloads.make_plan(pool, now=1.0).runs


def test_the_advisor_is_queried_before_a_start() -> None:
    """Guards against starts without a ticket or on a rejected worker."""
    pool = _pool_fixtures.make_pool(3)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), advice=ADVICE)
    plan = workloads.make_plan(pool, now=1.0)
    assert not plan.runs
    (query,) = plan.queries
    assert len(query.workers) == 3
    workloads.record_query(query)
    assert not workloads.make_plan(pool, now=1.1).queries
    workloads.record_query_result(query, {"w1": "t"}, now=2.0, retry_s=0.1)
    (run,) = workloads.make_plan(pool, now=2.1).runs
    assert (run.worker_key, run.ticket) == ("w1@1", "t")


@pytest.mark.parametrize(
    ("decide_s", "per_worker_s", "named"),
    [
        pytest.param(0.9, 0.01, 45, id="half-of-the-call"),
        pytest.param(0.02, 0.0, 100, id="no-time-per-worker"),
        pytest.param(0.0, 0.0, 100, id="no-time-at-all"),
        pytest.param(0.0, 0.01, 1, id="no-time-for-the-call"),
        pytest.param(0.02, 5e-324, 100, id="least-time-per-worker"),
        pytest.param(9e12, 1e-3, 100, id="longest-call"),
        pytest.param(0.02, 9e12, 1, id="longest-time-per-worker"),
    ],
)
def test_a_query_names_as_many_workers_as_the_policy_allows(
    decide_s: float, per_worker_s: float, named: int
) -> None:
    """Guards against a configured time of 0 that ends the planning loop.

    The planner divided by the time per worker. The division ended the
    ownership of the service, on each instance in turn.
    """
    pool = _pool_fixtures.make_pool(120)
    advice = workloads.Advice(
        decide_s=decide_s, per_worker_s=per_worker_s, validity_s=2.0
    )
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), advice=advice)
    (query,) = workloads.make_plan(pool, now=1.0).queries
    assert len(query.workers) == named


def test_workers_beyond_the_longest_query_are_queried_next() -> None:
    """Guards against workers that count as rejected without being named.

    A query named all workers that the policy had time for. The advisor takes
    100, and the others counted as not allowed for as long as the job lasted.
    """
    pool = _pool_fixtures.make_pool(120)
    advice = workloads.Advice(
        decide_s=20.0, per_worker_s=0.001, validity_s=2.0
    )
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), advice=advice)
    named: set[str] = set()
    for now in (1.0, 2.0):
        (query,) = workloads.make_plan(pool, now=now).queries
        assert len(query.workers) <= 100
        named.update(worker.key for worker in query.workers)
        workloads.record_query(query)
        workloads.record_query_result(query, {}, now=now, retry_s=0.1)
    assert named == pool.workers.keys()


@pytest.mark.parametrize(
    ("validity_s", "waited_s", "starts"),
    [
        pytest.param(2.0, 1.8, True, id="usual"),
        pytest.param(2.0, 1.9, False, id="expires-before-the-start"),
        pytest.param(0.1, 0.04, True, id="shorter-than-the-margin"),
        pytest.param(0.1, 0.06, False, id="half-of-a-short-one"),
        pytest.param(0.0, 0.0, False, id="none"),
    ],
)
def test_the_time_in_which_a_ticket_is_used(
    validity_s: float, waited_s: float, starts: bool
) -> None:
    """Guards against jobs that never start on a queue of short validity."""
    pool = _pool_fixtures.make_pool(1)
    advice = workloads.Advice(
        decide_s=0.02, per_worker_s=0.01, validity_s=validity_s
    )
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), advice=advice)
    (query,) = workloads.make_plan(pool, now=1.0).queries
    workloads.record_query(query)
    workloads.record_query_result(query, {"w0": "t"}, now=2.0, retry_s=0.1)
    plan = workloads.make_plan(pool, now=2.0 + waited_s)
    assert bool(plan.runs) == starts


def test_an_expired_ticket_is_not_used() -> None:
    """Guards against starts that workers reject for an expired ticket."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), advice=ADVICE)
    (query,) = workloads.make_plan(pool, now=1.0).queries
    workloads.record_query(query)
    workloads.record_query_result(query, {"w0": "t"}, now=2.0, retry_s=0.1)
    plan = workloads.make_plan(pool, now=3.95)
    assert not plan.runs
    assert [each.report.id for each in plan.queries[0].workers] == ["w0"]


def test_runs_of_a_job_that_is_not_stored_stay_planned() -> None:
    """Guards against planned runs that are lost when a job is stored."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    job.accepted = False
    (run,) = workloads.make_plan(pool, now=1.0).runs
    assert run.phase == workloads.Phase.PLANNED


def test_a_large_task_is_not_overtaken_by_less_urgent_ones() -> None:
    """Guards against large tasks that are starved by small ones."""
    pool = _pool_fixtures.make_pool(1)
    pool.top_priority = 1
    small = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=2),
        job_id="00000000000000b1",
        priority=2,
    )
    runs = _pool_fixtures.start_all(pool)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000)),
        job_id="00000000000000b2",
        priority=1,
    )
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000b3", priority=2
    )
    assert not workloads.make_plan(pool, now=1.0).runs
    for run in runs:
        _pool_fixtures.complete_run(pool, run, "done")
    assert small.state == workloads.JobState.COMPLETE
    (run,) = workloads.make_plan(pool, now=2.0).runs
    assert run.job.spec.id == "00000000000000b2"


@pytest.mark.parametrize(
    ("used_cpu", "priority", "placed"),
    [
        pytest.param(1500, 2, 1, id="less-than-half-is-used"),
        pytest.param(2500, 2, 0, id="busy-reserves-for-urgent-work"),
        pytest.param(2500, 0, 1, id="urgent-work-uses-the-reserve"),
    ],
)
def test_capacity_for_urgent_work(
    used_cpu: int, priority: int, placed: int
) -> None:
    """Guards against urgent work that waits, and against idle workers."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(need=_need(used_cpu)))
    _pool_fixtures.start_all(pool)
    rest = 4000 - used_cpu - 100
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(rest)),
        job_id="00000000000000bb",
        priority=priority,
    )
    assert len(workloads.make_plan(pool, now=1.0).runs) == placed


def test_a_failed_unit_avoids_its_worker() -> None:
    """Guards against all attempts being used up on one faulty worker."""
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    _pool_fixtures.complete_run(pool, run, "failed")
    (again,) = _pool_fixtures.start_all(pool, now=3.0)
    assert again.worker_key != run.worker_key


def test_a_worker_that_fails_several_jobs_is_quarantined() -> None:
    """Guards against a faulty worker that attracts work as it looks idle."""
    pool = _pool_fixtures.make_pool(1)
    for number in range(3):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(),
            job_id=f"{number:016x}",
            attempt_limit=9,
        )
    for run in _pool_fixtures.start_all(pool):
        _pool_fixtures.complete_run(pool, run, "failed")
    assert not workloads.make_plan(pool, now=3.0).runs
    assert workloads.make_plan(pool, now=20.0).runs


def _answer_query(
    pool: workloads.Pool, tickets: dict[str, str], *, now: float
) -> tuple[str, ...]:
    """Answer the only query of a planning round; return its workers."""
    (query,) = workloads.make_plan(pool, now=now).queries
    workloads.record_query(query)
    workloads.record_query_result(query, tickets, now=now, retry_s=0.1)
    return tuple(worker.report.id for worker in query.workers)


def test_unassessed_workers_are_queried_when_the_allowed_are_full() -> None:
    """Guards against a task that waits for ever although workers are free.

    The first query names only a limited number of workers, and the allowed
    one is then filled by more urgent work.
    """
    pool = _pool_fixtures.make_pool(2)
    pool.workers["w1@1"].consecutive_failures = 5
    narrow = workloads.Advice(decide_s=0.1, per_worker_s=0.05, validity_s=2.0)
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(3000)),
        advice=narrow,
        priority=1,
    )
    assert _answer_query(pool, {"w0": "t"}, now=1.0) == ("w0",)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=2, need=_need(1500), label="r1-1"),
        job_id="00000000000000bb",
    )
    pool.workers["w1@1"].quarantined_until = 1.2
    workloads.make_plan(pool, now=1.1)
    (step,) = job.advice.values()
    step.tickets.clear()
    assert "w1" in _answer_query(pool, {"w1": "t"}, now=1.5)
    (run,) = workloads.make_plan(pool, now=1.6).runs
    assert run.worker_key == "w1@1"


def test_long_running_tasks_are_placed_before_urgent_ones() -> None:
    """Guards against a long-running task that stays down on a full service."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000)),
        job_id="00000000000000b1",
        priority=0,
    )
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000), lasting=True),
        job_id="00000000000000b2",
        priority=1,
    )
    (run,) = workloads.make_plan(pool, now=1.0).runs
    assert run.job.spec.id == "00000000000000b2"


@pytest.mark.parametrize(
    ("width", "placed"),
    [
        pytest.param(3, 1, id="gang-that-never-fits"),
        pytest.param(2, 0, id="gang-that-will-fit"),
    ],
)
def test_capacity_is_reserved_only_for_gangs_that_can_fit(
    width: int, placed: int
) -> None:
    """Guards against workers reserved for a gang that can never start.

    The advisor allowed a gang too few workers. A job for which it allowed
    only one of these workers waited until the end of the day.
    """
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000), lasting=True),
        job_id="00000000000000a1",
        attempt_limit=9,
    )
    _pool_fixtures.start_all(pool)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000), count=width, gang=True),
        job_id="00000000000000b1",
    )
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000b2", priority=1
    )
    assert len(workloads.make_plan(pool, now=1.0).runs) == placed


@pytest.mark.parametrize(
    ("now", "placed"),
    [
        pytest.param(1.0, 0, id="reserved-at-first"),
        pytest.param(3.5, 1, id="reservation-over"),
    ],
)
def test_reservations_on_an_idle_service_are_short(
    now: float, placed: int
) -> None:
    """Guards against work that waits although there is free capacity.

    A worker stayed reserved for a large task until the end of the day, and a
    small task for which only this worker was allowed could not start.
    """
    pool = _pool_fixtures.make_pool(3)
    for key in ("w1@1", "w2@1"):
        pool.workers[key].quarantined_until = 99.0
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000a1"
    )
    _pool_fixtures.start_all(pool)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(need=_need(4000)),
        job_id="00000000000000b1",
    )
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000b2", priority=1
    )
    workloads.make_plan(pool, now=0.9)
    assert len(workloads.make_plan(pool, now=now).runs) == placed


def _make_query_limit(
    limits: tuple[int, int] | None,
) -> workloads.QueryLimit | None:
    """Return a limit of short and of long queries."""
    if limits is None:
        return None
    short, long = limits
    return workloads.QueryLimit(long_from_s=0.15, short=short, long=long)


@pytest.mark.parametrize(
    ("limits", "queried"),
    [
        pytest.param(None, [2, 3, 4], id="no-limit"),
        pytest.param((2, 0), [2, 3], id="most-urgent-first"),
        pytest.param((0, 9), [], id="none"),
    ],
)
def test_a_plan_selects_as_many_queries_as_can_be_sent(
    limits: tuple[int, int] | None, queried: list[int]
) -> None:
    """Guards against rounds that spend their time on queries never sent.

    With 1,100 waiting tasks a round took 45 ms, and the owner's commands and
    queries waited for it.
    """
    pool = _pool_fixtures.make_pool(2)
    advice = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=2)
    for priority in (4, 2, 3):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(),
            job_id=f"{priority:016x}",
            priority=priority,
            advice=advice,
        )
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(), priority=5)
    plan = workloads.make_plan(
        pool, now=1.0, query_limit=_make_query_limit(limits)
    )
    assert [query.job.spec.queue.priority for query in plan.queries] == queried
    assert len(plan.runs) == 1


@pytest.mark.parametrize(
    ("limits", "queried"),
    [
        pytest.param((1, 3), 4, id="both-kinds"),
        pytest.param((1, 0), 1, id="long-ones-leave-short-ones-theirs"),
        pytest.param((0, 2), 2, id="short-ones-leave-long-ones-theirs"),
    ],
)
def test_long_and_short_queries_have_limits_of_their_own(
    limits: tuple[int, int], queried: int
) -> None:
    """Guards against lasting tasks that keep urgent steps without advice."""
    pool = _pool_fixtures.make_pool(2)
    for number in range(6):
        advice = workloads.Advice(
            decide_s=(0.02, 0.7)[number % 2], per_worker_s=0.0, validity_s=2
        )
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(),
            job_id=f"{number:016x}",
            advice=advice,
        )
    plan = workloads.make_plan(
        pool, now=1.0, query_limit=_make_query_limit(limits)
    )
    assert len(plan.queries) == queried


def test_a_round_scores_no_worker_for_a_query_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rounds whose time is steps that wait times workers."""
    pool = _pool_fixtures.make_pool(50)
    for number in range(10):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(),
            job_id=f"{number:016x}",
            advice=ADVICE,
        )
    plan = workloads.make_plan(pool, now=1.0)
    assert len(plan.queries) == 10
    for query in plan.queries:
        workloads.record_query(query)
    scored = []
    monkeypatch.setattr(
        _free_capacity, "score", lambda *args: scored.append(args)
    )
    assert not workloads.make_plan(pool, now=1.1).queries
    assert not scored


@pytest.mark.parametrize(
    ("max_runs", "planned"),
    [
        pytest.param(
            None, {"lasting": 20, "urgent": 20, "batch": 20}, id="no-limit"
        ),
        pytest.param(
            50, {"lasting": 20, "urgent": 20, "batch": 10}, id="some-room"
        ),
        pytest.param(0, {"lasting": 16}, id="no-room"),
        pytest.param(-10, {"lasting": 6}, id="beyond-the-limit"),
        pytest.param(-16, {}, id="urgent-work-has-used-its-bound"),
    ],
)
def test_no_more_runs_are_planned_than_can_be_sent(
    max_runs: int | None, planned: dict[str, int]
) -> None:
    """Guards against starts that wait until their tickets expire.

    An owner that is behind planned as many runs as there was capacity for.
    """
    pool = _pool_fixtures.make_pool(2, cpu=64000)
    pool.top_priority = 0
    for number, (name, priority) in enumerate(
        [("batch", 2), ("urgent", 0), ("lasting", 2)]
    ):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(count=20, lasting=name == "lasting"),
            job_id=f"{number:016x}",
            name=name,
            priority=priority,
        )
    plan = workloads.make_plan(pool, now=0.1, max_runs=max_runs)
    names = [run.job.spec.queue.name for run in plan.runs]
    assert {name: names.count(name) for name in set(names)} == planned


def test_a_gang_is_planned_whole_or_not_at_all() -> None:
    """Guards against a part of a gang that waits for its other members."""
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=8, gang=True))
    assert not workloads.make_plan(pool, now=0.1, max_runs=-16).runs
    assert len(workloads.make_plan(pool, now=0.1, max_runs=1).runs) == 8
