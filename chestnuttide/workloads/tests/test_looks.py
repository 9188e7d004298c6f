"""Doubt about a run: unanswered starts, silence and lost workers."""

import attrs
import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _world


def _uncertain(pool: workloads.Pool) -> workloads.Run:
    _world.submit(pool, _world.make_step())
    (run,) = workloads.make_plan(pool, now=0.1).runs
    run.phase = workloads.Phase.UNCERTAIN
    run.deadline_ms = 5000
    return run


@pytest.mark.parametrize(
    ("clock_ms", "stop_acknowledged_at", "sent_at", "listed", "again"),
    [
        pytest.param(4999, 0.0, 1.0, False, False, id="may-still-begin"),
        pytest.param(5001, 0.0, 1.0, False, True, id="lease-has-passed"),
        pytest.param(2000, 0.5, 1.0, False, True, id="stop-was-answered"),
        pytest.param(2000, 1.5, 1.0, False, False, id="look-before-stop"),
        pytest.param(5001, 0.0, 1.0, True, False, id="it-runs"),
    ],
)
def test_an_unanswered_start(
    clock_ms: int,
    stop_acknowledged_at: float,
    sent_at: float,
    listed: bool,
    again: bool,
) -> None:
    """Guards against a second run while a late start may still begin."""
    pool = _world.make_pool(1)
    run = _uncertain(pool)
    run.stop_acknowledged_at = stop_acknowledged_at
    rows = (_world.Row(task=run.task, run=1),) if listed else ()
    _world.look(
        pool,
        run.worker_key,
        running=rows,
        sent_at=sent_at,
        clock_ms=clock_ms,
    )
    assert bool(workloads.make_plan(pool, now=3.0).runs) == again
    if listed:
        assert run.phase == workloads.Phase.RUNNING


@pytest.mark.parametrize(
    ("sent_at", "lost"),
    [
        pytest.param(0.05, False, id="look-overtaken-by-the-start"),
        pytest.param(0.2, True, id="look-after-the-start"),
    ],
)
def test_a_confirmed_run_that_is_not_listed(
    sent_at: float, lost: bool
) -> None:
    """Guards against a second run because answers overtook each other."""
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step())
    (run,) = _world.start_all(pool, now=0.1)
    ends = _world.look(pool, run.worker_key, sent_at=sent_at)
    assert bool(ends) == lost


@pytest.mark.parametrize(
    ("now", "lapsed"),
    [
        # Granted at 0.5 for 2.5 s on a clock that is 2% slow since 0, so it
        # ends at 3.0 / 0.98 = 3.06, and 0.1 s are added.
        pytest.param(3.0, False, id="before-the-lease"),
        pytest.param(3.1, False, id="within-the-drift"),
        pytest.param(3.7, True, id="after-drift-and-margin"),
    ],
)
def test_a_silent_worker_lapses_after_its_lease(
    now: float, lapsed: bool
) -> None:
    """Guards against a second run while a cut worker may still run it."""
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step())
    (run,) = _world.start_all(pool)
    worker = pool.workers[run.worker_key]
    deadline = workloads.lease_deadline_ms(
        worker, now=0.5, lease_s=_world.LEASE_S
    )
    assert deadline == 4000
    workloads.note_grant(worker, deadline, now=0.5)
    runs = workloads.lapse_silent_worker(
        pool, worker, now=now, now_unix_s=_world.UNIX_S
    )
    assert bool(runs) == lapsed


@pytest.mark.parametrize(
    ("failed_looks", "extended"),
    [
        pytest.param(0, True, id="answers"),
        pytest.param(1, False, id="silent"),
    ],
)
def test_looks_extend_the_lease_of_workers_that_answer(
    failed_looks: int, extended: bool
) -> None:
    """Guards against a dead worker whose runs never lapse.

    Found by hunts: mix --seed 511913586748 of gnomon-coop and mix --seed
    992292016307 of voicecast, LOST at the end of the day.
    """
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step())
    _world.start_all(pool)
    worker = pool.workers["w0@1"]
    worker.failed_looks = failed_looks
    deadline = workloads.hold_deadline_ms(
        worker, now=1.0, lease_s=_world.LEASE_S
    )
    assert (deadline is not None) == extended


def test_a_worker_runs_what_no_job_knows() -> None:
    """Guards against a run that nobody stops, or counts, after a takeover.

    A job that ended just before has no record of its runs, which are still
    being stopped and take room of an unknown size.
    """
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step())
    _world.look(pool, "w0@1", running=(_world.Row(task="x.0.0.0", run=3),))
    assert pool.unknown_runs == {"w0@1": {("x.0.0.0", 3)}}
    assert not workloads.make_plan(pool, now=2.0).runs
    _world.look(pool, "w0@1", sent_at=2.0)
    assert workloads.make_plan(pool, now=3.0).runs


@pytest.mark.parametrize(
    ("listed", "state"),
    [
        pytest.param("running", workloads.UnitState.ACTIVE, id="runs"),
        pytest.param("done", workloads.UnitState.DONE, id="has-ended"),
        pytest.param("", workloads.UnitState.WAITING, id="never-began"),
    ],
)
def test_a_successor_decides_by_the_workers_lists(
    listed: str, state: workloads.UnitState
) -> None:
    """Guards against a second run of what the former owner had started."""
    former = _world.make_pool(1)
    job = _world.submit(former, _world.make_step())
    (run,) = _world.start_all(former)
    record = workloads.encode_progress(job)
    pool = _world.make_pool(1)
    job = _world.submit(pool, _world.make_step())
    workloads.apply_progress(
        pool,
        job,
        record,
        lease_until=20.0,
        now=5.0,
        now_unix_s=_world.UNIX_S,
    )
    assert not workloads.make_plan(pool, now=5.0).runs
    row = _world.Row(task=run.task, run=1)
    end = _world.End(number=1, task=run.task, run=1, how="done")
    _world.look(
        pool,
        "w0@1",
        running=(row,) if listed == "running" else (),
        ended=(end,) if listed == "done" else (),
        sent_at=5.1,
    )
    assert job.units[(0, 0, 0)].state == state
    for again in workloads.make_plan(pool, now=6.0).runs:
        assert again.number == 2


def test_a_successor_waits_for_a_worker_that_it_cannot_reach() -> None:
    """Guards against a second run of what an unlisted worker may run."""
    former = _world.make_pool(1)
    job = _world.submit(former, _world.make_step())
    _world.start_all(former)
    record = workloads.encode_progress(job)
    pool = _world.make_pool(0)
    _world.add_worker(pool, "other")
    job = _world.submit(pool, _world.make_step())
    workloads.apply_progress(
        pool,
        job,
        record,
        lease_until=20.0,
        now=5.0,
        now_unix_s=_world.UNIX_S,
    )
    holder = pool.workers["w0@1"]
    assert not workloads.lapse_silent_worker(
        pool, holder, now=19.9, now_unix_s=_world.UNIX_S
    )
    assert not workloads.make_plan(pool, now=19.9).runs
    workloads.lapse_silent_worker(
        pool, holder, now=20.1, now_unix_s=_world.UNIX_S
    )
    (run,) = workloads.make_plan(pool, now=20.2).runs
    assert (run.number, run.worker_key) == (2, "other@1")


@pytest.mark.parametrize(
    ("listed", "seen", "state"),
    [
        pytest.param(True, "", workloads.UnitState.WAITING, id="ran-before"),
        pytest.param(
            False, "runs", workloads.UnitState.ACTIVE, id="reached-the-new-one"
        ),
        pytest.param(
            False, "absent", workloads.UnitState.ACTIVE, id="may-still-arrive"
        ),
        pytest.param(
            False, "rejected", workloads.UnitState.WAITING, id="never-will"
        ),
    ],
)
def test_a_start_across_a_restart_of_its_worker(
    listed: bool, seen: str, state: workloads.UnitState
) -> None:
    """Guards against a second run of a task that the new lifetime runs.

    The worker has started again under its id between the choice of the
    worker and the start; seed 1014 of the soak found two runs at once.
    """
    pool = _world.make_pool(1)
    job = _world.submit(pool, _world.make_step())
    (run,) = _world.start_all(pool)
    former = pool.workers["w0@1"]
    if listed:
        row = _world.Row(task=run.task, run=run.number)
        _world.look(pool, "w0@1", running=(row,))
    handed = workloads.begin_lifetime(pool, former, 2)
    workloads.end_lifetime(pool, former, now=2.0, now_unix_s=_world.UNIX_S)
    assert bool(handed) is not listed
    if seen == "rejected":
        run.stop_acknowledged_at = 2.5
    if seen:
        row = _world.Row(task=run.task, run=run.number)
        running = (row,) if seen == "runs" else ()
        _world.look(pool, "w0@2", running=running, sent_at=3.0)
    (unit,) = job.units.values()
    assert unit.state == state
    assert len(unit.runs) == (state == workloads.UnitState.ACTIVE)


def test_an_unanswered_start_is_remembered_for_the_next_lifetime() -> None:
    """Guards against a late start at a worker that has started again."""
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step())
    (run,) = workloads.make_plan(pool, now=0.1).runs
    run.phase = workloads.Phase.UNCERTAIN
    worker = pool.workers["w0@1"]
    worker.failed_looks = 3
    workloads.lapse_silent_worker(
        pool, worker, now=worker.lease_until + 1, now_unix_s=_world.UNIX_S
    )
    assert pool.unanswered_starts == {"w0": {run.key}}


def test_runs_of_an_unseen_restart_take_room_of_the_new_lifetime() -> None:
    """Guards against a worker over its capacity after a quick restart.

    Seed 1009 of the soak: starts for the former lifetime reached the new one,
    which looked empty to the owner.
    """
    pool = _world.make_pool(1)
    _world.submit(pool, _world.make_step(count=3))
    _world.start_all(pool)
    report = attrs.evolve(pool.workers["w0@1"].report, born_ms=2)
    worker = workloads.update_worker(pool, report, now=1.0, lease_until=9.0)
    (former,) = workloads.former_lifetimes(pool, report)
    workloads.begin_lifetime(pool, former, 2)
    workloads.end_lifetime(pool, former, now=1.0, now_unix_s=_world.UNIX_S)
    assert worker.used.cpu_millis == 3000
    assert workloads.former_lifetimes(pool, report) == []


@pytest.mark.parametrize(
    ("failed_looks", "acknowledged"),
    [
        pytest.param(0, 7, id="answers"),
        pytest.param(1, 0, id="may-have-started-again"),
    ],
)
def test_ends_of_a_new_lifetime_are_not_acknowledged_unseen(
    failed_looks: int, acknowledged: int
) -> None:
    """Guards against ends that are forgotten before they were read.

    Seed 1010 of the soak: a look that was meant for the former lifetime
    acknowledged the first ends of the new one, and the tasks ran again.
    """
    pool = _world.make_pool(1)
    worker = pool.workers["w0@1"]
    worker.stored_end = 7
    worker.failed_looks = failed_looks
    assert workloads.acknowledged_end(worker) == acknowledged


@pytest.mark.parametrize(
    ("stored", "acknowledged"),
    [
        pytest.param((0, 0), 0, id="nothing-stored"),
        pytest.param((1, 0), 1, id="first-job-stored"),
        pytest.param((0, 1), 0, id="only-a-later-end-stored"),
        pytest.param((1, 1), 2, id="both-stored"),
    ],
)
def test_ends_are_acknowledged_behind_what_is_stored(
    stored: tuple[int, int], acknowledged: int
) -> None:
    """Guards against done tasks that run again after a takeover.

    On scale-1 of gnomon-coop an end was acknowledged although the change of
    its job that held it was dropped for the job's end, which was not stored
    when all instances were killed.
    """
    pool = _world.make_pool(1)
    jobs = [
        _world.submit(pool, _world.make_step(count=2), job_id=f"{n:016x}")
        for n in (1, 2)
    ]
    runs = _world.start_all(pool)
    for job in jobs:
        _world.end_of(
            pool, next(run for run in runs if run.job is job), "done"
        )
    for job, is_stored in zip(jobs, stored, strict=True):
        job.stored_change = job.change if is_stored else job.change - 1
    worker = pool.workers["w0@1"]
    workloads.note_stored(worker)
    assert worker.stored_end == acknowledged


@pytest.mark.parametrize(
    ("stored", "listed", "finished"),
    [
        pytest.param(False, False, False, id="its-end-is-not-stored"),
        pytest.param(True, False, True, id="its-end-is-stored"),
        pytest.param(True, True, False, id="listed-again"),
    ],
)
def test_a_worker_is_remembered_until_its_ends_are_stored(
    stored: bool, listed: bool, finished: bool
) -> None:
    """Guards against ends that are acknowledged when a worker is back.

    Hunts on voicecast found done tasks that ran again: the store lost the
    worker's entry while the job's change was not answered yet, and the
    worker was forgotten with its end.
    """
    pool = _world.make_pool(1)
    job = _world.submit(pool, _world.make_step(count=1))
    (run,) = _world.start_all(pool)
    _world.end_of(pool, run, "done")
    worker = pool.workers["w0@1"]
    worker.listed = listed
    job.stored_change = job.change if stored else 0
    workloads.note_stored(worker)
    assert workloads.is_finished(worker) is finished
