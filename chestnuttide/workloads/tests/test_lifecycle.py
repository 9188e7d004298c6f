"""Completions of runs, and their effect on units and jobs."""

import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

STATES = workloads.JobState


@pytest.mark.parametrize(
    ("completions", "state", "failures"),
    [
        pytest.param(["done"], STATES.COMPLETE, 0, id="done-completes"),
        pytest.param(["failed"], STATES.RUNNING, 1, id="one-failure-retries"),
        pytest.param(
            ["failed", "failed"], STATES.FAILED, 2, id="attempt-limit-reached"
        ),
        pytest.param(
            ["stopped", "lapsed", "broken", "alone", "failed"],
            STATES.RUNNING,
            1,
            id="other-completions-use-no-attempt",
        ),
        pytest.param(
            ["failed", "done"], STATES.COMPLETE, 1, id="retry-completes"
        ),
    ],
)
def test_completions_of_one_task(
    completions: list[str], state: workloads.JobState, failures: int
) -> None:
    """Guards against runs beyond the attempt limit and missing retries."""
    pool = _pool_fixtures.make_pool()
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    for number, result in enumerate(completions, start=1):
        now = float(number)
        (run,) = _pool_fixtures.start_all(pool, now=now)
        assert run.number == number
        _pool_fixtures.complete_run(pool, run, result, sent_at=now + 0.5)
    assert job.state == state
    assert job.units[(0, 0, 0)].failures == failures
    if state in workloads.TERMINAL_STATES:
        assert not workloads.make_plan(pool, now=100.0).runs


def test_a_completion_that_is_listed_twice_counts_once() -> None:
    """Guards against attempts used up by a repeated poll reply."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    completion = _pool_fixtures.Completion(
        number=1, task=run.task, run=1, result="failed"
    )
    _pool_fixtures.apply_reply(pool, run.worker_key, ended=(completion,))
    _pool_fixtures.apply_reply(
        pool, run.worker_key, ended=(completion,), sent_at=2.0
    )
    assert job.units[(0, 0, 0)].failures == 1


def test_a_step_waits_for_all_tasks_of_its_predecessors() -> None:
    """Guards against a start before all predecessors are done."""
    pool = _pool_fixtures.make_pool()
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=2),
        _pool_fixtures.make_step(after=(0,)),
    )
    first, second = _pool_fixtures.start_all(pool)
    _pool_fixtures.complete_run(pool, first, "done")
    assert not _pool_fixtures.start_all(pool, now=1.5)
    _pool_fixtures.complete_run(pool, second, "done", sent_at=2.0)
    (last,) = _pool_fixtures.start_all(pool, now=2.5)
    assert last.unit.key == (0, 1, 0)
    _pool_fixtures.complete_run(pool, last, "done", sent_at=3.0)
    assert job.state == STATES.COMPLETE


def test_a_long_running_task_is_restarted_however_it_ends() -> None:
    """Guards against a service that stays down after its task has ended."""
    pool = _pool_fixtures.make_pool()
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step(lasting=True))
    for number, result in enumerate(("failed", "done", "failed", "lapsed")):
        now = 1.0 + number
        (run,) = _pool_fixtures.start_all(pool, now=now)
        _pool_fixtures.complete_run(pool, run, result, sent_at=now + 0.3)
    assert len(_pool_fixtures.start_all(pool, now=10.0)) == 1
    assert job.state == STATES.RUNNING


@pytest.mark.parametrize("phase", [None, *workloads.Phase])
def test_nothing_starts_after_a_cancel(
    phase: workloads.Phase | None,
) -> None:
    """Guards against starts of a cancelled job in any phase of a run."""
    pool = _pool_fixtures.make_pool()
    job = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), _pool_fixtures.make_step()
    )
    if phase is not None:
        for run in workloads.make_plan(pool, now=0.1).runs:
            run.phase = phase
    workloads.cancel_job(pool, job, _pool_fixtures.UNIX_S)
    assert job.state == STATES.CANCELLED
    left = [run for unit in job.units.values() for run in unit.runs]
    assert all(run.stopping for run in left)
    assert not any(run.phase == workloads.Phase.PLANNED for run in left)
    assert not workloads.make_plan(pool, now=1.0).runs


@pytest.mark.parametrize(
    ("step", "resumed"),
    [
        pytest.param({"checkpointable": True}, "c7", id="resumes"),
        pytest.param({}, "", id="not-checkpointable-starts-over"),
    ],
)
def test_checkpoint_of_a_stopped_run(
    step: dict[str, bool], resumed: str
) -> None:
    """Guards against lost progress and checkpoints that do not apply."""
    pool = _pool_fixtures.make_pool()
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(**step))
    (run,) = _pool_fixtures.start_all(pool)
    _pool_fixtures.complete_run(pool, run, "stopped", checkpoint="c7")
    (again,) = _pool_fixtures.start_all(pool, now=2.0)
    assert again.checkpoint == resumed


def test_a_gang_starts_again_only_when_all_members_have_ended() -> None:
    """Guards against a member running in two runs of its gang at once."""
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=4, gang=True))
    runs = _pool_fixtures.start_all(pool)
    assert {run.number for run in runs} == {1}
    _pool_fixtures.complete_run(pool, runs[0], "lapsed")
    assert all(run.stopping for run in runs[1:])
    assert not _pool_fixtures.start_all(pool, now=1.5)
    for run in runs[1:]:
        _pool_fixtures.complete_run(pool, run, "broken", sent_at=2.0)
    again = _pool_fixtures.start_all(pool, now=3.0)
    assert {run.number for run in again} == {2}
    assert len(again) == 4


def test_one_failed_gang_is_one_attempt() -> None:
    """Guards against one used-up attempt per member of a gang."""
    pool = _pool_fixtures.make_pool(2)
    job = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=3, gang=True)
    )
    runs = _pool_fixtures.start_all(pool)
    for run in runs:
        _pool_fixtures.complete_run(pool, run, "failed")
    assert job.units[(0, 0, 0)].failures == 1
    assert job.state == STATES.RUNNING


@pytest.mark.parametrize(
    ("unix_s", "due"),
    [(9.9, 0), (10.0, 1), (29.0, 2), (31.0, 3), (99.0, 3)],
)
def test_occurrences_are_released_when_due(unix_s: float, due: int) -> None:
    """Guards against an occurrence that starts before its time."""
    pool = _pool_fixtures.make_pool()
    job = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), occurrences=3
    )
    workloads.release_due_occurrences(
        pool, job, _pool_fixtures.UNIX_S + unix_s
    )
    assert len(_pool_fixtures.start_all(pool)) == due
