import pytest

from chestnuttide import jobs
from chestnuttide.jobs.tests import _pool
from chestnuttide import model


def _events(pool: _pool.Pool) -> tuple[bytes, ...]:
    return tuple(
        item.event
        for item in _pool.filter_by_type(pool.outputs, jobs.AppendEvent)
    )


def _make_successor(pool: _pool.Pool, workers: int = 2) -> _pool.Pool:
    """Return the next owner's pool, before any of its workers reports."""
    return _pool.make_pool(
        workers=workers, events=_events(pool), reported=False
    )


def test_nothing_starts_before_the_takeover_is_durable() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    state = jobs.PoolState(document=_pool.DOCUMENT, rng=pool.state.rng)
    successor = _pool.Pool(state=state, run=jobs.make_pool_filter(state=state))
    message = jobs.Recovered(events=_events(pool))
    outputs = _pool.send(successor, message, durable=False)
    (owner,) = _pool.filter_by_type(outputs, jobs.AppendEvent)
    instances = tuple(w.instance for w in pool.state.workers.values())
    _pool.send(successor, jobs.WorkersChanged(instances=instances))
    for worker_id in ("w0", "w1"):
        _pool.sync(successor, worker_id)
    assert not _pool.advance(successor, 20.0)
    _pool.send(successor, jobs.JournalDurable(tokens=(owner.token,)))
    assert successor.starts


@pytest.mark.parametrize(
    ("reporting", "after_s"),
    [
        pytest.param(["w0", "w1"], 0.0, id="waits_after_all_have_reported"),
        pytest.param(["w0"], 14.0, id="starts_before_leases_expire"),
    ],
)
def test_recovered_tasks_wait_for_reports(
    reporting: list[str], after_s: float
) -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "old")
    _pool.confirm_starts(pool)
    successor = _make_successor(pool)
    for worker_id in reporting:
        _pool.sync(successor, worker_id)
    # A new job cannot be running anywhere, so it need not wait for reports.
    _pool.submit(successor, "new")
    started = {start.attempt.job_id for start in _pool.take_starts(successor)}
    assert started == ({"new"} if after_s else {"old", "new"})
    if after_s:
        _pool.advance(successor, after_s - 0.2)
        assert not _pool.take_starts(successor)
        _pool.advance(successor, 0.5)
        (start,) = _pool.take_starts(successor)
        assert (start.attempt.job_id, start.worker_id) == ("old", "w0")


def test_worker_gets_no_work_before_it_reports() -> None:
    pool = _pool.make_pool(reported=False)
    _pool.submit(pool, "j")
    _pool.advance(pool, 30.0)
    assert not _pool.take_starts(pool)
    _pool.sync(pool, "w1")
    assert _pool.take_starts(pool)[0].worker_id == "w1"


def test_running_attempts_are_adopted() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j", tasks=2)
    starts = _pool.confirm_starts(pool)
    successor = _make_successor(pool)
    reports = {"w0": [], "w1": []}
    for start in starts:
        reports[start.worker_id].append(_pool.report(start.attempt))
    for worker_id, worker_reports in reports.items():
        outputs = _pool.sync(successor, worker_id, *worker_reports)
        assert not _pool.filter_by_type(outputs, jobs.StopTask)
    assert not _pool.take_starts(successor)
    view = jobs.read_job(successor.state, "j", successor.now)
    assert (view.running, view.waiting) == (2, 0)


def test_attempt_numbers_of_owners_never_collide() -> None:
    # Each later owner starts the task although no worker has reported its
    # earlier attempts.
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    numbers = [start.attempt.number for start in _pool.confirm_starts(pool)]
    for _ in range(3):
        previous, pool = pool, _make_successor(pool)
        pool.outputs[:0] = _pool.filter_by_type(
            previous.outputs, jobs.AppendEvent
        )
        for worker_id in ("w0", "w1"):
            _pool.sync(pool, worker_id)
        numbers.extend(s.attempt.number for s in _pool.confirm_starts(pool))
    assert len(set(numbers)) == len(numbers) == 4
    assert numbers == sorted(numbers)


@pytest.mark.parametrize(
    "with_snapshot",
    [
        pytest.param(False, id="state_is_lost_from_events"),
        pytest.param(True, id="state_is_lost_from_snapshot"),
    ],
)
def test_durable_state_survives_takeover(with_snapshot: bool) -> None:
    pool = _pool.make_pool(workers=4)
    _pool.submit(pool, "part", tasks=9)
    _pool.submit(pool, "cancelled")
    _pool.submit(pool, "fails")
    starts = _pool.confirm_starts(pool)
    ends = {("part", 3): "succeeded", ("part", 8): "succeeded"}
    ends[("fails", 0)] = "failed"
    for worker_id in pool.state.workers:
        reports = [
            _pool.report(
                start.attempt,
                model.TaskState(
                    ends.get(
                        (start.attempt.job_id, start.attempt.index),
                        "running",
                    )
                ),
            )
            for start in starts
            if start.worker_id == worker_id
        ]
        _pool.sync(pool, worker_id, *reports)
    _pool.send(pool, jobs.CancelJob(token=1, job_id="cancelled"))
    if with_snapshot:
        snapshot = jobs.encode_snapshot(pool.state, pool.now)
        successor = _pool.make_pool(
            workers=4, snapshot=snapshot, reported=False
        )
    else:
        successor = _make_successor(pool, workers=4)
    assert jobs.read_job(successor.state, "part", successor.now).done == 2
    view = jobs.read_job(successor.state, "cancelled", successor.now)
    assert view.state == "cancelled"
    failed_on = successor.state.jobs["fails"].failed_on
    assert failed_on == pool.state.jobs["fails"].failed_on != {}
    _pool.advance(successor, 12.0)
    for worker_id in ("w0", "w1", "w2", "w3"):
        _pool.sync(successor, worker_id)
    _pool.advance(successor, 1.0)
    indexes = sorted(
        start.attempt.index
        for start in _pool.take_starts(successor)
        if start.attempt.job_id == "part"
    )
    assert indexes == [0, 1, 2, 4, 5, 6, 7]


def test_snapshot_is_compact() -> None:
    pool = _pool.make_pool()
    for number in range(500):
        _pool.submit(pool, f"job-{number:06}", tasks=2)
    snapshot = jobs.encode_snapshot(pool.state, pool.now)
    assert len(snapshot) < 120 * 500


def test_snapshot_in_parts_while_the_pool_changes() -> None:
    pool = _pool.make_pool()
    for number in range(500):
        _pool.submit(pool, f"job-{number:06}")
    parts = jobs.snapshot_parts(pool.state, pool.now)
    snapshot = next(parts) + next(parts)
    pool.outputs.clear()
    for number in (0, 499):
        message = jobs.CancelJob(token=1, job_id=f"job-{number:06}")
        _pool.send(pool, message)
    _pool.submit(pool, "new")
    snapshot += b"".join(parts)
    successor = _pool.make_pool(events=_events(pool), snapshot=snapshot)
    views = jobs.list_jobs(successor.state, successor.now, limit=1000)
    states = {view.job.job_id: view.state.value for view in views}
    assert len(states) == 501
    assert states["job-000000"] == states["job-000499"] == "cancelled"
    assert "new" in states


def test_wait_limit_continues_across_takeover() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "full", resources=_pool.CAPACITY)
    (start,) = _pool.confirm_starts(pool)
    _pool.submit(pool, "j", wait_limit_s=20.0)
    full = _pool.report(start.attempt, resources=_pool.CAPACITY)
    for _ in range(3):
        pool.now += 5.0
        _pool.sync(pool, "w0", full)
    _pool.submit(pool, "later")
    successor = _make_successor(pool, workers=1)
    _pool.sync(successor, "w0", full)
    successor.now += 4.0
    _pool.sync(successor, "w0", full)
    _pool.send(successor, jobs.Tick())
    assert jobs.read_job(successor.state, "j", successor.now).state == "queued"
    successor.now += 2.0
    _pool.send(successor, jobs.Tick())
    assert jobs.read_job(successor.state, "j", successor.now).state == "failed"


def test_quota_includes_unreported_work_after_takeover() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "old", team="q", tasks=2)
    (first, second) = _pool.confirm_starts(pool)
    successor = _make_successor(pool)
    other = "w1" if first.worker_id == "w0" else "w0"
    _pool.sync(successor, other)
    _pool.submit(successor, "new", team="q")
    assert not _pool.take_starts(successor)
    reports = [_pool.report(item.attempt) for item in (first, second)]
    _pool.sync(successor, first.worker_id, *reports)
    assert not _pool.take_starts(successor)
    done = _pool.report(first.attempt, model.TaskState.SUCCEEDED)
    _pool.sync(successor, first.worker_id, done, reports[1])
    assert [s.attempt.job_id for s in _pool.take_starts(successor)] == ["new"]


def test_incomplete_gang_is_stopped_after_takeover() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "g", kind=model.JobKind.GANG, tasks=8)
    starts = _pool.confirm_starts(pool)
    successor = _make_successor(pool)
    _pool.sync(successor, "w1")
    reports = [
        _pool.report(start.attempt)
        for start in starts
        if start.worker_id == "w0"
    ]
    outputs = _pool.sync(successor, "w0", *reports)
    assert (
        len(_pool.filter_by_type(outputs, jobs.StopTask)) == len(reports) == 4
    )
    assert not _pool.take_starts(successor)


def test_job_list_is_paged_by_id_and_filtered_by_team() -> None:
    pool = _pool.make_pool()
    for number in range(5):
        team = "a" if number % 2 else "q"
        _pool.submit(pool, f"j{number}", team=team)
    views = jobs.list_jobs(pool.state, pool.now, after="j0", limit=2)
    assert [view.job.job_id for view in views] == ["j1", "j2"]
    views = jobs.list_jobs(pool.state, pool.now, team="q")
    assert [view.job.job_id for view in views] == ["j0", "j2", "j4"]
    assert jobs.read_pool(pool.state).live_attempts == 4
