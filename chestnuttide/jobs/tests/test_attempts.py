import attrs
import pytest

from chestnuttide import jobs
from chestnuttide.jobs.tests import _pool
from chestnuttide import model

Outcome = jobs.StartOutcome

# A lease of 10 s and its margin of 10%.
EXPIRY_S = 11.0
# An unanswered start may take effect until it expires, and its lease starts
# only then.
UNCERTAIN_EXPIRY_S = EXPIRY_S + model.START_VALID_S + model.CLOCK_SKEW_S


@pytest.mark.parametrize(
    ("outcomes", "elsewhere_after_s"),
    [
        pytest.param(["no_capacity"], 0.0, id="refused_start_waits_for_lease"),
        pytest.param(["unsent"], 0.0, id="unsent_start_waits_for_lease"),
        pytest.param(
            ["unanswered", "no_capacity", "no_capacity"],
            UNCERTAIN_EXPIRY_S,
            id="unanswered_start_arrives_and_runs_twice",
        ),
        pytest.param(
            ["unanswered", "unsent", "unsent"],
            UNCERTAIN_EXPIRY_S,
            id="unsent_retry_hides_unanswered_start",
        ),
        pytest.param(
            ["unanswered", "unanswered", "unanswered"],
            UNCERTAIN_EXPIRY_S,
            id="expiry_counted_from_first_start",
        ),
        pytest.param(
            ["unanswered", "expired"],
            0.0,
            id="expired_start_waits_for_lease",
        ),
    ],
)
def test_start_outcomes(outcomes: list[str], elsewhere_after_s: float) -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    first = _pool.take_starts(pool)[0]
    received_at = pool.now
    starts = [first]
    for position, outcome in enumerate(outcomes):
        assert starts[-1].attempt == first.attempt
        assert starts[-1].worker_id == first.worker_id
        if outcome == "unanswered":
            received_at = pool.now
        _pool.answer_start(pool, starts[-1], Outcome(outcome))
        if position < len(outcomes) - 1:
            _pool.advance(pool, 2.1)
            starts.append(_pool.take_starts(pool)[0])
    if elsewhere_after_s:
        left_s = received_at + elsewhere_after_s - pool.now
        _pool.advance(pool, left_s - 0.2)
        assert not _pool.take_starts(pool)
        _pool.advance(pool, 1.0)
    (second,) = _pool.take_starts(pool)
    assert second.attempt.number == first.attempt.number + 1
    if not elsewhere_after_s:
        assert second.worker_id != first.worker_id


@pytest.mark.parametrize(
    ("failed", "received", "in_flight", "after_s"),
    [
        pytest.param(False, True, False, EXPIRY_S, id="expires_too_early"),
        pytest.param(
            True, True, False, EXPIRY_S + 3.0, id="received_sync_not_counted"
        ),
        pytest.param(True, False, False, EXPIRY_S, id="unsent_sync_renews"),
        pytest.param(
            False, True, True, EXPIRY_S + 3.0, id="pending_sync_not_counted"
        ),
    ],
)
def test_attempts_of_unresponsive_worker_expire(
    failed: bool, received: bool, in_flight: bool, after_s: float
) -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    (first,) = _pool.confirm_starts(pool)
    started_at = pool.now
    _pool.sync(pool, first.worker_id, _pool.report(first.attempt))
    _pool.advance(pool, 3.0)
    if in_flight:
        message = jobs.SyncSent(worker_id=first.worker_id, lease_s=10.0)
        _pool.send(pool, message)
    if failed:
        _pool.send(
            pool,
            jobs.SyncFailed(
                worker_id=first.worker_id,
                sent_at=pool.now,
                received=received,
            ),
        )
    gone = attrs.evolve(
        pool.state.workers[first.worker_id].instance,
        state=model.InstanceState.GONE,
    )
    _pool.send(pool, jobs.WorkersChanged(instances=(gone,)))
    _pool.advance(pool, started_at + after_s - 0.2 - pool.now)
    assert not _pool.take_starts(pool)
    _pool.advance(pool, 1.0)
    assert _pool.take_starts(pool)[0].worker_id != first.worker_id


def test_unresponsive_worker_is_not_synced_indefinitely() -> None:
    # Each sync that may arrive renews the leases, so a hanging worker would
    # keep its tasks indefinitely.
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    (first,) = _pool.confirm_starts(pool)
    for _ in range(40):
        if jobs.may_sync(pool.state, first.worker_id):
            _pool.send(
                pool,
                jobs.SyncFailed(worker_id=first.worker_id, sent_at=pool.now),
            )
        _pool.advance(pool, 0.5)
    assert _pool.take_starts(pool)[0].worker_id != first.worker_id
    assert jobs.may_sync(pool.state, first.worker_id)


def test_completion_is_acknowledged_only_when_durable() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    (start,) = _pool.confirm_starts(pool)
    ended = _pool.report(start.attempt, model.TaskState.SUCCEEDED)
    outputs = _pool.sync(pool, start.worker_id, ended, durable=False)
    assert not _pool.filter_by_type(outputs, jobs.AcknowledgeEnd)
    again = _pool.sync(pool, start.worker_id, ended, durable=False)
    assert not again
    tokens = tuple(
        item.token for item in _pool.filter_by_type(outputs, jobs.AppendEvent)
    )
    outputs = _pool.send(pool, jobs.JournalDurable(tokens=tokens))
    assert _pool.filter_by_type(outputs, jobs.AcknowledgeEnd)
    outputs = _pool.sync(pool, start.worker_id, ended)
    assert _pool.filter_by_type(outputs, jobs.AcknowledgeEnd)
    assert jobs.read_job(pool.state, "j", pool.now).state == "succeeded"


@pytest.mark.parametrize(
    ("newer_started", "state", "job_state"),
    [
        pytest.param(False, "succeeded", "succeeded", id="success_is_lost"),
        pytest.param(
            False, "failed", "running", id="failure_after_expiry_counts"
        ),
        pytest.param(
            True, "succeeded", "running", id="superseded_attempt_counts"
        ),
    ],
)
def test_late_completion_of_expired_attempt(
    newer_started: bool, state: str, job_state: str
) -> None:
    pool = _pool.make_pool(workers=2 if newer_started else 1)
    _pool.submit(pool, "j")
    (first,) = _pool.confirm_starts(pool)
    for _ in range(2):
        _pool.send(
            pool,
            jobs.SyncFailed(
                worker_id=first.worker_id, sent_at=pool.now, received=False
            ),
        )
    _pool.advance(pool, EXPIRY_S + 1.0)
    assert len(_pool.confirm_starts(pool)) == newer_started
    completion = _pool.report(first.attempt, model.TaskState(state))
    outputs = _pool.sync(pool, first.worker_id, completion)
    assert _pool.filter_by_type(outputs, jobs.AcknowledgeEnd)
    assert jobs.read_job(pool.state, "j", pool.now).state == job_state


@pytest.mark.parametrize(
    ("job_id", "index", "number"),
    [
        pytest.param(
            "unknown", 0, 1, id="attempt_of_unknown_job_keeps_running"
        ),
        pytest.param("j", 0, 9, id="second_attempt_keeps_running"),
        pytest.param("j", 5, 1, id="index_out_of_range_keeps_running"),
    ],
)
def test_reports_of_unknown_attempts(
    job_id: str, index: int, number: int
) -> None:
    pool = _pool.make_pool(workers=2)
    _pool.submit(pool, "j")
    (start,) = _pool.confirm_starts(pool)
    other = "w1" if start.worker_id == "w0" else "w0"
    attempt = model.Attempt(job_id=job_id, index=index, number=number)
    whole = _pool.report(attempt, resources=_pool.CAPACITY)
    outputs = _pool.sync(pool, other, whole)
    (stop,) = _pool.filter_by_type(outputs, jobs.StopTask)
    assert (stop.worker_id, stop.attempt) == (other, attempt)
    # Its capacity stays reserved until it has ended.
    _pool.submit(pool, "big", resources=_pool.CAPACITY)
    assert not _pool.take_starts(pool)
    _pool.sync(pool, other, _pool.report(attempt, model.TaskState.STOPPED))
    assert [item.attempt.job_id for item in pool.starts] == ["big"]


def test_task_lost_by_restarted_worker_is_restarted() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    (start,) = _pool.confirm_starts(pool)
    pool.now += 0.1
    _pool.sync(pool, start.worker_id)
    assert len(_pool.take_starts(pool)) == 1


def test_failing_task_fails_its_job_on_three_workers() -> None:
    pool = _pool.make_pool(workers=4)
    _pool.submit(pool, "j", tasks=2)
    failed_on = set()
    starts = _pool.confirm_starts(pool)
    other = next(s for s in starts if s.attempt.index == 1)
    start = next(s for s in starts if s.attempt.index == 0)
    for attempts in (1, 2, 3):
        failed_on.add(start.worker_id)
        reports = [_pool.report(start.attempt, model.TaskState.FAILED)]
        if other.worker_id == start.worker_id:
            reports.append(_pool.report(other.attempt))
        outputs = _pool.sync(pool, start.worker_id, *reports)
        assert len(failed_on) == attempts, "retried on the same worker"
        if attempts < 3:
            _pool.advance(pool, 3.0)
            (start,) = _pool.confirm_starts(pool)
    view = jobs.read_job(pool.state, "j", pool.now)
    assert (view.state, view.reason) == ("failed", "task_failed")
    stops = _pool.filter_by_type(outputs, jobs.StopTask)
    assert [stop.attempt for stop in stops] == [other.attempt]


def test_service_task_restarts_with_increasing_backoff() -> None:
    pool = _pool.make_pool(workers=4)
    _pool.submit(
        pool, "s", kind=model.JobKind.SERVICE, workload_class="web", tasks=1
    )
    waits = []
    for _ in range(4):
        (start,) = _pool.confirm_starts(pool)
        ended = _pool.report(start.attempt, model.TaskState.FAILED)
        _pool.sync(pool, start.worker_id, ended)
        started_at = pool.now
        while not pool.starts:
            _pool.advance(pool, 0.1)
        waits.append(pool.now - started_at)
    assert waits[-1] > 2.0 * waits[0] > 0.0


def test_stale_epoch_stops_all_starts() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "j")
    (start,) = _pool.take_starts(pool)
    outputs = _pool.answer_start(pool, start, Outcome.STALE_EPOCH)
    assert _pool.filter_by_type(outputs, jobs.Deposed)
    outputs = _pool.submit(pool, "k") + _pool.advance(pool, 20.0)
    assert not _pool.filter_by_type(outputs, jobs.StartTask)
