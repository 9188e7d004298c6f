import attrs
import pytest

from chestnuttide import errors
from chestnuttide import jobs
from chestnuttide.jobs.tests import _pool
from chestnuttide import model

Reason = errors.Reason


def _need(cpu: int, memory: int = 1000, acc: int = 0) -> dict[str, object]:
    return {
        "resources": model.Resources(
            cpu_millis=cpu, memory_mb=memory, accelerators=acc
        )
    }


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        pytest.param(
            _need(0), Reason.INVALID_VALUE, id="zero_cpu_is_accepted"
        ),
        pytest.param(
            _need(-1), Reason.INVALID_VALUE, id="negative_cpu_is_accepted"
        ),
        pytest.param(
            _need(1, 0), Reason.INVALID_VALUE, id="zero_memory_is_accepted"
        ),
        pytest.param(
            _need(1, 1, -1),
            Reason.INVALID_VALUE,
            id="negative_accelerators_accepted",
        ),
        pytest.param(
            {"tasks": 0},
            Reason.INVALID_VALUE,
            id="job_without_tasks_is_accepted",
        ),
        pytest.param(
            {"wait_limit_s": -1.0},
            Reason.INVALID_VALUE,
            id="negative_wait_limit_is_accepted",
        ),
        pytest.param(
            {"declared_run_s": float("nan")},
            Reason.INVALID_VALUE,
            id="nan_corrupts_queue_order",
        ),
        pytest.param(
            {"job_id": ""}, Reason.INVALID_VALUE, id="empty_id_is_accepted"
        ),
        pytest.param(
            {"team": "x"}, Reason.UNKNOWN_TEAM, id="unknown_team_is_accepted"
        ),
        pytest.param(
            _need(4001), Reason.FITS_NOWHERE, id="too_large_task_waits_forever"
        ),
        pytest.param(
            {"kind": model.JobKind.GANG, "tasks": 9},
            Reason.FITS_NOWHERE,
            id="gang_larger_than_pool_waits_forever",
        ),
        pytest.param(
            {"team": "q"} | _need(2001),
            Reason.QUOTA_EXCEEDED,
            id="task_above_quota_waits_forever",
        ),
        pytest.param(
            {"tasks": 1001}, Reason.QUEUE_FULL, id="queue_grows_without_bound"
        ),
        pytest.param(
            {"job_id": "known"},
            Reason.DUPLICATE_ID,
            id="resubmitted_job_runs_twice",
        ),
        pytest.param(
            {"job_id": "known", "tasks": 2},
            Reason.DUPLICATE_ID,
            id="job_is_replaced_by_another_with_its_id",
        ),
    ],
)
def test_refusals(changes: dict[str, object], reason: errors.Reason) -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "known")
    outputs = _pool.submit(pool, **({"job_id": "new"} | changes))
    (refused,) = _pool.filter_by_type(outputs, jobs.JobRefused)
    assert refused.error.reason == reason
    assert refused.error.run_state == errors.RunState.NOT_RUN
    assert _pool.filter_by_type(outputs, jobs.Refused)[0].reason == reason
    assert not _pool.filter_by_type(outputs, jobs.AppendEvent)
    if reason == Reason.DUPLICATE_ID:
        assert refused.error.details["state"] == "running"


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        pytest.param(
            jobs.JournalStalled(stalled=True),
            Reason.STORE_UNAVAILABLE,
            id="accepted_while_journal_stalls",
        ),
        pytest.param(
            jobs.Stopping(), Reason.NOT_OWNER, id="accepted_during_handover"
        ),
    ],
)
def test_refused_while_pool_cannot_accept(
    message: object, reason: errors.Reason
) -> None:
    pool = _pool.make_pool()
    _pool.send(pool, message)
    outputs = _pool.submit(pool, "j")
    assert (
        _pool.filter_by_type(outputs, jobs.JobRefused)[0].error.reason
        == reason
    )


def test_job_is_neither_answered_nor_started_before_it_is_durable() -> None:
    pool = _pool.make_pool()
    message = jobs.SubmitJob(token=7, job=_pool.make_job("j"))
    (append,) = _pool.send(pool, message, durable=False)
    assert not _pool.advance(pool, 1.0)
    outputs = _pool.send(pool, jobs.JournalDurable(tokens=(append.token,)))
    assert outputs[0] == jobs.JobAccepted(token=7, job_id="j")
    assert _pool.filter_by_type(outputs, jobs.StartTask)


def test_wait_limit_does_not_end_running_job() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "runs", wait_limit_s=2.0, **_need(4000))
    _pool.confirm_starts(pool)
    _pool.submit(pool, "waits", wait_limit_s=2.0)
    outputs = _pool.advance(pool, 3.0)
    refused = _pool.filter_by_type(outputs, jobs.Refused)
    assert [item.reason for item in refused] == [Reason.DEADLINE_EXCEEDED]
    view = jobs.read_job(pool.state, "waits", pool.now)
    assert (view.state, view.reason) == ("failed", "deadline_exceeded")
    assert jobs.read_job(pool.state, "runs", pool.now).state == "running"


def test_ten_thousand_cancellations_append_one_event_each() -> None:
    pool = _pool.make_pool(workers=1)
    document = pool.state.document
    _pool.submit(pool, "full", **_need(4000))
    _pool.confirm_starts(pool)
    pool.state.document = attrs.evolve(
        document,
        pool=attrs.evolve(document.pool, queue_limit=20_000),
    )
    for number in range(10_000):
        _pool.submit(pool, f"j{number}")
    for number in range(10_000):
        message = jobs.CancelJob(token=number, job_id=f"j{number}")
        outputs = _pool.send(pool, message)
        assert [type(output) for output in outputs] == [
            jobs.AppendEvent,
            jobs.JobCancelled,
        ]
    assert not pool.state.queue.items
    assert pool.state.waiting_tasks == 0


def test_cancelled_attempts_reserve_capacity_until_they_end() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "first", **_need(4000))
    (start,) = _pool.confirm_starts(pool)
    outputs = _pool.send(pool, jobs.CancelJob(token=1, job_id="first"))
    assert _pool.filter_by_type(outputs, jobs.StopTask)
    _pool.submit(pool, "second", **_need(4000))
    assert not _pool.take_starts(pool)
    stopped = _pool.report(start.attempt, model.TaskState.STOPPED)
    _pool.sync(pool, start.worker_id, stopped)
    assert [item.attempt.job_id for item in pool.starts] == ["second"]


@pytest.mark.parametrize(
    ("job_id", "kind"),
    [
        pytest.param(
            "unknown", jobs.JobRefused, id="unknown_job_is_cancelled"
        ),
        pytest.param(
            "known", jobs.JobCancelled, id="repeated_cancellation_is_refused"
        ),
    ],
)
def test_cancel_answers(job_id: str, kind: type) -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "known")
    _pool.send(pool, jobs.CancelJob(token=1, job_id="known"))
    outputs = _pool.send(pool, jobs.CancelJob(token=2, job_id=job_id))
    assert _pool.filter_by_type(outputs, kind)[0].token == 2


def test_ended_jobs_are_removed_after_retention() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "full", **_need(4000))
    _pool.submit(pool, "j", wait_limit_s=1.0)
    _pool.advance(pool, 2.0)
    assert jobs.read_job(pool.state, "j", pool.now) is not None
    pool.now += 1000.0
    _pool.send(pool, jobs.Tick())
    assert jobs.read_job(pool.state, "j", pool.now) is None
