"""Stops of runs beside the polls that show their effect."""

import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

STOP_ANSWER_S = 0.01


def _start_moved_run(pool: workloads.Pool) -> workloads.Run:
    """Start a run whose start may have reached a new incarnation."""
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    former = pool.workers[run.worker_key]
    workloads.start_incarnation(pool, former, 2)
    return run


@pytest.mark.parametrize("poll_wait_s", [0.1, 0.5, 0.7, 2.0])
def test_a_stopped_run_that_never_started_ends_after_two_polls(
    poll_wait_s: float,
) -> None:
    """Guards against stops that are repeated as often as polls are sent.

    Each answer to a stop came after the current poll had been sent, so no
    reply counted and the run never ended (seed 7003 of the soak).
    """
    pool = _pool_fixtures.make_pool(1)
    run = _start_moved_run(pool)
    worker = pool.workers[run.worker_key]
    now = 1.0
    for _ in range(3):
        due = workloads.take_due_stops(worker, now=now)
        sent_at = now
        for each in due:
            workloads.record_stop_answer(each, worker, now=now + STOP_ANSWER_S)
        now += poll_wait_s
        _pool_fixtures.apply_reply(
            pool, worker.key, sent_at=sent_at, clock_ms=int(1000 * now)
        )
    assert not worker.runs


def test_an_unanswered_stop_is_sent_again() -> None:
    """Guards against a run that goes on because its stop was lost."""
    pool = _pool_fixtures.make_pool(1)
    run = _start_moved_run(pool)
    worker = pool.workers[run.worker_key]
    sent = [
        bool(workloads.take_due_stops(worker, now=1.0 + 0.1 * step))
        for step in range(11)
    ]
    assert sent == [step % 5 == 0 for step in range(11)]


@pytest.mark.parametrize("answered_after_move", [False, True])
def test_a_stop_answered_before_a_restart_does_not_end_the_moved_run(
    answered_after_move: bool,
) -> None:
    """Guards against a second run while the lost start can still arrive."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    run.phase = workloads.Phase.UNCERTAIN
    former = pool.workers[run.worker_key]
    if not answered_after_move:
        workloads.record_stop_answer(run, former, now=0.5)
    workloads.start_incarnation(pool, former, 2)
    workloads.end_incarnation(
        pool, former, now=1.0, now_unix_s=_pool_fixtures.UNIX_S
    )
    if answered_after_move:
        workloads.record_stop_answer(run, former, now=1.0)
    _pool_fixtures.apply_reply(pool, run.worker_key, sent_at=2.0)
    assert job.units[(0, 0, 0)].runs == [run]
    successor = pool.workers[run.worker_key]
    assert workloads.take_due_stops(successor, now=2.1) == [run]
    workloads.record_stop_answer(run, successor, now=2.2)
    _pool_fixtures.apply_reply(pool, run.worker_key, sent_at=2.3)
    assert not job.units[(0, 0, 0)].runs
