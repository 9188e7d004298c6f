"""Admission of jobs, the return of refused ones, and its estimates."""

import attrs
import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads import _admission
from chestnuttide.workloads.tests import _pool_fixtures

# A task of this step fills a worker for a second.
STEP = _pool_fixtures.make_step(
    estimate_s=1.0, need=model.Resources(cpu_millis=4000, memory_mb=100)
)


def _make_pool(waiting: int, **queue: object) -> workloads.Pool:
    """Return a pool of two workers, behind jobs that wait for both."""
    pool = _pool_fixtures.make_pool(2)
    pool.policy = workloads.LoadPolicy(objective_order=True, admission=True)
    for number in range(waiting):
        _pool_fixtures.submit(
            pool,
            attrs.evolve(STEP, count=2),
            job_id=f"{number:016x}",
            now=0.0,
            stretch=100.0,
            **queue,
        )
    return pool


def _decide(
    pool: workloads.Pool,
    state: workloads.AdmissionState,
    *,
    job_id: str = "ffffffffffff0000",
    now: float = 0.0,
    step: workloads.StepSpec = STEP,
    share: float = 1.0,
    stretch: float = 1.0,
    **fields: object,
) -> workloads.AdmissionVerdict:
    # An objective behind that of the waiting jobs puts a job behind them.
    spec = _pool_fixtures.make_spec(
        step, job_id=job_id, stretch=stretch, priority=9, **fields
    )
    return workloads.decide_admission(pool, state, spec, now=now, share=share)


@pytest.mark.parametrize(
    ("waiting", "fields", "reason"),
    [
        pytest.param(0, {}, "room", id="refused-by-an-idle-service"),
        pytest.param(2, {}, "room", id="refused-though-still-of-worth"),
        pytest.param(3, {}, "no_room_in_time", id="stored-to-be-late"),
        pytest.param(2, {"share": 0.5}, "no_room_in_time", id="share-ignored"),
        pytest.param(
            3, {"stretch": 2.0}, "room", id="refused-though-it-can-wait"
        ),
        pytest.param(9, {"job_id": f"{1:016x}"}, "known", id="repeat-refused"),
        pytest.param(9, {"occurrences": 3}, "any_time", id="schedule-refused"),
        pytest.param(
            9,
            {"step": attrs.evolve(STEP, lasting=True)},
            "any_time",
            id="watcher-refused",
        ),
        pytest.param(
            9,
            {"step": attrs.evolve(STEP, label="no-such")},
            "no_worker",
            id="hopeless-job-hidden-by-a-refusal",
        ),
    ],
)
def test_only_jobs_that_cannot_be_of_worth_are_refused(
    waiting: int, fields: dict[str, object], reason: str
) -> None:
    """Guards against refusals that help nobody."""
    verdict = _decide(
        _make_pool(waiting), workloads.AdmissionState(), **fields
    )
    assert verdict.reason == reason
    assert verdict.admitted == (reason != "no_room_in_time")
    assert (verdict.retry_after_s > 0) == (not verdict.admitted)


def test_an_id_that_may_be_stored_is_not_refused() -> None:
    """Guards against "never runs" for a job whose write is late."""
    pool = _make_pool(9)
    state = workloads.AdmissionState()
    workloads.remember_doubtful(state, "ffffffffffff0000", 0.0)
    assert _decide(pool, state, now=5.0).reason == "known"
    later = 1.0 + _admission.DOUBT_S
    workloads.observe_admissions(pool, state, later)
    assert not state.doubtful


def test_refused_callers_are_spread_and_come_first_when_they_return() -> None:
    """Guards against a herd of returns, and a lottery among them."""
    pool = _make_pool(4)
    state = workloads.AdmissionState()
    delays = [
        _decide(pool, state, job_id=f"{0xA000 + number * 97:016x}")
        for number in range(24)
    ]
    assert all(not each.admitted for each in delays)
    assert len({each.retry_after_s for each in delays}) >= 5
    # Two of the four jobs have ended when the first caller is back.
    for job_id in (f"{0:016x}", f"{1:016x}"):
        workloads.cancel_job(pool, pool.jobs[job_id], 0.0)
    now = float(delays[0].retry_after_s)
    new = _decide(pool, state, job_id="00000000000bbbbb", now=now)
    back = _decide(pool, state, job_id=f"{0xA000:016x}", now=now)
    assert back.admitted
    assert not new.admitted
    assert (state.returned, state.served_again) == (1, 1)
    workloads.observe_admissions(pool, state, now + 100)
    assert not state.returns


@pytest.mark.parametrize(
    ("waited_s", "low", "high"),
    [
        pytest.param(0.0, 0.5, 0.99, id="waits-overrated"),
        pytest.param(9.0, 1.01, 2.0, id="waits-underrated"),
    ],
)
def test_estimates_follow_what_came_of_admitted_jobs(
    waited_s: float, low: float, high: float
) -> None:
    """Guards against an error of the estimate that refuses for ever."""
    pool = _make_pool(2)
    state = workloads.AdmissionState()
    for number in range(40):
        job_id = f"{0xB000 + number:016x}"
        assert _decide(pool, state, job_id=job_id, stretch=9.0).admitted
        job = _pool_fixtures.submit(pool, STEP, job_id=job_id)
        job.started = True
        state.followed[job_id] = (state.followed[job_id][0], 0.0)
        workloads.observe_admissions(pool, state, waited_s)
        workloads.cancel_job(pool, job, 0.0)
    assert low <= state.correction <= high
    workloads.observe_admissions(pool, state, waited_s + 100)
    assert state.correction == pytest.approx(1.0, abs=0.01)


def test_what_is_remembered_is_bounded() -> None:
    """Guards against memory that grows with refused callers."""
    pool = _make_pool(50)
    state = workloads.AdmissionState()
    for number in range(_admission.MAX_RETURNS + 50):
        _decide(pool, state, job_id=f"{number + 99:016x}")
        workloads.remember_doubtful(state, f"x{number}", 0.0)
    assert len(state.returns) <= _admission.MAX_RETURNS
    assert len(state.doubtful) <= _admission.MAX_DOUBTFUL
    row = workloads.describe_admission(pool, state, 0.0)
    assert row["refused"] == _admission.MAX_RETURNS + 50
