"""Learned run times and worker speeds."""

import math
import random
import statistics

import cbor2
import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _supervision
from chestnuttide.workloads import _worker_health
from chestnuttide.workloads import _worker_speeds
from chestnuttide.workloads.tests import _pool_fixtures
from chestnuttide.workloads.tests import _run_time_load

# Learning may be worse than the estimate by this much of the mean absolute
# error of the logarithm: 10% of the run time.
WORSE_BOUND = 0.1

UNEVEN = (1.82, 0.83, 0.83, 0.83) * 5


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("load", "share"),
    [
        pytest.param({}, 1.2, id="good-estimates"),
        pytest.param({"job_spread": 0.75}, 0.75, id="off-by-job"),
        pytest.param({"bias": lambda job: 10.0}, 0.15, id="lies-down-10x"),
        pytest.param({"bias": lambda job: 0.1}, 0.15, id="lies-up-10x"),
        pytest.param(
            {"bias": lambda job: 0.3 if job < 150 else 4.0},
            0.5,
            id="mean-changes",
        ),
        pytest.param(
            {"bias": lambda job: 4.0 if job < 150 else 1.0},
            0.6,
            id="mean-returns-to-estimate",
        ),
        pytest.param(
            {"bias": lambda job: 10.0 if job % 2 else 0.1},
            0.8,
            id="every-other-job-lies",
        ),
        pytest.param(
            {"bias": lambda job: 10.0 if job // 40 % 2 else 1.0},
            0.8,
            id="lies-by-turns",
        ),
        pytest.param({"tail_share": 0.3}, 1.2, id="heavy-tail"),
        pytest.param({"task_spread": 1.0}, 1.2, id="nothing-to-learn"),
        pytest.param({"slowness": UNEVEN}, 0.65, id="uneven-workers"),
        pytest.param(
            {"slowness": UNEVEN, "job_spread": 0.75},
            0.75,
            id="uneven-workers-off-by-job",
        ),
        pytest.param(
            {"slowness": UNEVEN, "job_spread": 0.75, "width": 1},
            1.1,
            id="single-tasks",
        ),
        pytest.param({"jobs": 2}, 1.3, id="few-runs"),
    ],
)
def test_learning_is_never_worse_than_the_estimate_by_more_than_its_bound(
    load: dict[str, object], share: float, seed: int
) -> None:
    """Guards against estimates that learning makes worse than they are.

    `share` is the highest share of the estimate's error that is left.
    """
    times = workloads.RunTimes()
    played = _run_time_load.play(times, _run_time_load.Load(**load), seed=seed)
    estimate = statistics.fmean(played.estimate)
    learned = statistics.fmean(played.learned)
    assert learned <= estimate + WORSE_BOUND
    assert learned <= share * estimate


def test_a_correction_is_bounded() -> None:
    """Guards against an expectation of days from one absurd run."""
    times = workloads.RunTimes()
    load = _run_time_load.Load(bias=lambda job: 1e9, jobs=200)
    _run_time_load.play(times, load)
    log = _run_times.predict_log(times, ("", "q", 0), "new", now=40.0)
    assert math.exp(log) <= _run_times.MAX_CORRECTION * 1.0001


def test_old_runs_fade() -> None:
    """Guards against a correction that outlives its cause by hours."""
    times = workloads.RunTimes()
    load = _run_time_load.Load(bias=lambda job: 8.0)
    _run_time_load.play(times, load)
    key = ("", "q", 0)
    soon = _run_times.predict_log(times, key, "a", now=60.0)
    _run_times.refresh(times, now=20_000.0)
    later = _run_times.predict_log(times, key, "b", now=20_000.0)
    assert soon > math.log(6.0)
    assert later < math.log(1.5)


def test_few_runs_fall_back_to_the_wider_kind() -> None:
    """Guards against a new step or workspace that starts from nothing."""
    times = workloads.RunTimes()
    _run_time_load.play(times, _run_time_load.Load(bias=lambda job: 5.0))
    known = _run_times.predict_log(times, ("", "q", 0), "a", now=60.0)
    of_queue = _run_times.predict_log(times, ("", "q", 7), "b", now=60.0)
    of_workspace = _run_times.predict_log(times, ("w", "q", 0), "c", now=60.0)
    assert of_workspace == pytest.approx(known, abs=0.1)
    assert of_queue == pytest.approx(known, abs=0.4)


def test_speeds_are_measured_relative_to_other_workers() -> None:
    """Guards against a slow worker that is taken for a fast one."""
    times = workloads.RunTimes()
    load = _run_time_load.Load(slowness=UNEVEN, job_spread=0.75)
    _run_time_load.play(times, load)
    slow = times.speeds.workers["w0"].log_slowness
    fast = times.speeds.workers["w1"].log_slowness
    assert math.exp(slow - fast) == pytest.approx(1.82 / 0.83, rel=0.25)
    # A new incarnation starts from its machine's speed.
    again = _worker_speeds.add_worker(
        times.speeds, "w0@2", "m0", frozenset({"a"})
    )
    assert again.log_slowness == pytest.approx(slow, abs=0.3)


def _record(
    times: _run_times.RunTimes,
    worker: int,
    *,
    now: float,
    slowness: float = 0.0,
    failed: bool = False,
    job: str = "j",
) -> None:
    pace = times.speeds.workers.get(f"w{worker}") or _worker_speeds.add_worker(
        times.speeds, f"w{worker}", f"m{worker}", frozenset()
    )
    pace.samples.append((now, slowness, 0.9))
    _worker_health.record_end(pace, job, failed=failed, now=now)


def _find(
    times: _run_times.RunTimes, now: float, usable: int = 10
) -> dict[str, str]:
    found = _worker_health.find(times, overdue={}, usable=usable, now=now)
    return {each.worker_key: each.cause for each in found}


def _play_service(
    slow: frozenset[int] = frozenset(),
    failing: frozenset[int] = frozenset(),
    workers: int = 10,
) -> _run_times.RunTimes:
    """Let each worker end six runs; a failing one fails half of them."""
    times = workloads.RunTimes()
    for number in range(6):
        for worker in range(workers):
            _record(
                times,
                worker,
                now=10.0 + number / 2,
                slowness=math.log(6.0) if worker in slow else 0.0,
                failed=worker in failing and number % 2 == 0,
                job=f"j{number}",
            )
    return times


ALL = frozenset(range(10))


@pytest.mark.parametrize(
    ("slow", "failing", "expected"),
    [
        pytest.param(frozenset(), frozenset(), {}, id="all-alike"),
        pytest.param(frozenset({3}), frozenset(), {"w3": "slow"}, id="one"),
        pytest.param(ALL, frozenset(), {}, id="all-slow-at-once"),
        pytest.param(
            frozenset(), frozenset({3}), {"w3": "fails"}, id="one-fails-half"
        ),
        pytest.param(frozenset(), ALL, {}, id="all-fail-half"),
    ],
)
def test_workers_that_differ_from_their_like_are_found(
    slow: frozenset[int], failing: frozenset[int], expected: dict[str, str]
) -> None:
    """Guards against a slow worker kept in use, and one punished for all."""
    assert _find(_play_service(slow, failing), now=12.6) == expected


def test_no_more_than_a_share_of_a_service_is_used_less() -> None:
    """Guards against a service that measurements take out of use."""
    times = _play_service(failing=frozenset({1, 2, 3, 4}))
    assert len(_find(times, now=12.6)) == 2
    assert not _find(times, now=12.6, usable=2)


def test_a_worker_is_tried_again() -> None:
    """Guards against a worker that is left idle because it is left idle."""
    times = _play_service(failing=frozenset({3}))
    (first,) = _worker_health.find(times, overdue={}, usable=10, now=12.6)
    (later,) = _worker_health.find(times, overdue={}, usable=10, now=15.0)
    assert 0 < later.penalty < first.penalty
    assert not _find(times, now=25.0)


def test_a_worker_is_slow_before_its_runs_end() -> None:
    """Guards against a stuck worker that is found when it is too late."""
    times = _play_service()
    found = _worker_health.find(
        times, overdue={"w3": [math.log(4.0)] * 6}, usable=10, now=12.6
    )
    assert [each.worker_key for each in found] == ["w3"]


def _learning_pool(count: int = 4) -> workloads.Pool:
    pool = _pool_fixtures.make_pool(count)
    pool.run_times = workloads.RunTimes()
    return pool


def _start(
    pool: workloads.Pool, number: int, now: float, **fields: object
) -> list[workloads.Run]:
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(**{"estimate_s": 1.0} | fields),
        job_id=f"{number:016x}",
        now=now,
    )
    runs = _pool_fixtures.start_all(pool, now=now)
    for run in runs:
        run.start_sent_at = now
    return runs


def test_expectations_follow_ended_runs_and_workers() -> None:
    """Guards against what is learned but never used."""
    pool = _learning_pool()
    for number in range(20):
        now = 10.0 * number + 1.0
        for run in _start(pool, number, now=now):
            _pool_fixtures.complete_run(pool, run, "done", sent_at=now + 5.0)
        workloads.refresh_run_times(pool, now=now + 6.0)
    (run,) = _start(pool, 99, now=200.0)
    worker = pool.workers[run.worker_key]
    spec = run.job.spec
    assert workloads.expected_run_s(pool, spec, 0) == pytest.approx(5, rel=0.3)
    assert workloads.expected_run_s(pool, spec, 0, worker) > 3.5
    assert _supervision._stall_limit_s(pool, run, spec.steps[0], 200.0) >= 2.0
    pool.run_times = None
    assert workloads.expected_run_s(pool, spec, 0, worker) == 1.0


@pytest.mark.parametrize("actual_s", [1.0, 40.0, 90.0])
def test_the_stall_limit_is_never_lowered(actual_s: float) -> None:
    """Guards against runs that are stopped because others were shorter."""
    pool = _learning_pool()
    for number in range(20):
        now = 20.0 * number + 1.0
        for run in _start(pool, number, now=now, estimate_s=40.0):
            _pool_fixtures.complete_run(
                pool, run, "done", sent_at=now + actual_s
            )
        workloads.refresh_run_times(pool, now=now + actual_s)
    (run,) = _start(pool, 99, now=500.0, estimate_s=40.0)
    step = run.job.spec.steps[0]
    learned = _supervision._stall_limit_s(pool, run, step, 500.0)
    pool.run_times = None
    unlearned = _supervision._stall_limit_s(pool, run, step, 500.0)
    assert learned >= unlearned
    # Quantiles are off by up to 5%.
    assert (learned > 1.1 * unlearned) == (actual_s > 80.0)


def test_a_long_kind_of_task_is_not_stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against stopped runs of a kind that takes longer than estimated.

    Each limit that is learned costs a quantile, so a supervision that asks
    for one for every run takes longer than its period.
    """
    asked = []
    long_run_s = _expectations.long_run_s

    def count(
        pool: workloads.Pool, run: workloads.Run, share: float, *, now: float
    ) -> float | None:
        asked.append(run)
        return long_run_s(pool, run, share, now=now)

    monkeypatch.setattr(_expectations, "long_run_s", count)
    pool = _learning_pool()
    for number in range(20):
        now = 20.0 * number + 1.0
        for run in _start(pool, number, now=now, estimate_s=40.0):
            _pool_fixtures.complete_run(pool, run, "done", sent_at=now + 90.0)
        workloads.refresh_run_times(pool, now=now + 90.0)
    (run,) = _start(pool, 99, now=500.0, estimate_s=40.0)
    step = run.job.spec.steps[0]
    learned_s = _supervision._stall_limit_s(pool, run, step, 500.0)
    unlearned_s = _supervision._estimated_stall_limit_s(run, step)
    asked.clear()
    for stalled_s, learning, stalled, questions in (
        (unlearned_s - 0.1, True, [], 0),
        (unlearned_s + 0.1, True, [], 1),
        (learned_s + 0.1, True, [run], 2),
        (unlearned_s + 0.1, False, [run], 3),
    ):
        if not learning:
            pool.run_times = None
        worker = pool.workers[run.worker_key]
        worker.last_reply_at = run.progress_at + stalled_s
        assert workloads.find_stalled(pool, now=500.0) == stalled
        assert len(asked) == questions


def test_long_tasks_are_learned_before_the_first_ends() -> None:
    """Guards against a queue whose long tasks look short until they end."""
    pool = _learning_pool()
    runs = [_start(pool, number, now=1.0)[0] for number in range(12)]
    workloads.refresh_run_times(pool, now=9.0)
    assert workloads.expected_run_s(pool, runs[0].job.spec, 0) >= 7.0
    new = _start(pool, 99, now=9.0)[0]
    assert workloads.expected_run_s(pool, new.job.spec, 0) > 2.0


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param(
            lambda run: setattr(run.unit, "checkpoint", "c"),
            "resumed",
            id="resumed",
        ),
        pytest.param(
            lambda run: setattr(run, "start_sent_at", 0.0),
            "start_not_seen",
            id="taken-over",
        ),
        pytest.param(
            lambda run: setattr(run, "speed_percent", 50),
            "stopped",
            id="throttled",
        ),
        pytest.param(lambda run: None, "learned", id="whole"),
    ],
)
def test_only_whole_runs_are_samples(change: object, reason: str) -> None:
    """Guards against the rest of a run that is taken for all of it."""
    pool = _learning_pool()
    (run,) = _start(pool, 1, now=0.5)
    change(run)
    _pool_fixtures.complete_run(pool, run, "done")
    assert pool.run_times.counts == {reason: 1}


def test_an_estimate_next_to_0_keeps_learning_going() -> None:
    """Guards against one caller's job that ends learning for a service."""
    pool = _learning_pool()
    for number, estimate_s in enumerate((1e-313, 1e-307)):
        _start(pool, number, now=1.0, estimate_s=estimate_s)
    workloads.refresh_run_times(pool, now=9.0)
    ratio = _run_times.MAX_CORRECTION**2
    for kind in pool.run_times.kinds.values():
        assert [each for each, _ in kind.under_way] == pytest.approx(
            [ratio, ratio]
        )


def test_a_fault_in_learning_leaves_no_penalty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a penalty that stays while learning is set aside."""

    def fail(*arguments: object, **keywords: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(_worker_health, "find", fail)
    pool = _learning_pool()
    worker = next(iter(pool.workers.values()))
    worker.penalty = 1.0
    with pytest.raises(ZeroDivisionError):
        workloads.refresh_run_times(pool, now=9.0)
    assert worker.penalty == 0.0


def test_a_slow_worker_gets_its_work_last() -> None:
    """Guards against findings that placement does not see."""
    pool = _learning_pool()
    worker = next(iter(pool.workers.values()))
    worker.penalty = 1.0
    runs = _start(pool, 1, now=0.5, count=3)
    assert worker.key not in {run.worker_key for run in runs}


def test_a_snapshot_holds_what_was_learned() -> None:
    """Guards against a successor that learns other times than it reads."""
    times = workloads.RunTimes()
    load = _run_time_load.Load(bias=lambda job: 5.0, slowness=UNEVEN)
    _run_time_load.play(times, load)
    value = workloads.encode_run_times(times, now=70.0)
    assert len(value) < 8_000
    successor = workloads.RunTimes()
    stored = workloads.decode_run_times(value, now=1070.0)
    workloads.adopt_snapshot(successor, stored, now=1070.0)
    key = ("", "q", 0)
    assert _run_times.predict_log(
        successor, key, "a", now=1070.0
    ) == pytest.approx(
        _run_times.predict_log(times, key, "a", now=70.0), abs=0.1
    )
    assert successor.speeds.machines["m0"].log_slowness == pytest.approx(
        times.speeds.machines["m0"].log_slowness, abs=0.01
    )


def test_a_snapshot_is_bounded() -> None:
    """Guards against a value that grows with routes and machines."""
    times = workloads.RunTimes()
    rng = random.Random(1)
    for number in range(3000):
        _run_times.record_sample(
            times,
            _run_times.Sample(
                key=("", f"queue-{number % 1400}" * 8, 0),
                job_id=f"j{number}",
                ratio=rng.lognormvariate(0, 2),
                width=1,
                worker_key=f"w{number}",
                machine=f"machine-{number}" * 4,
                labels=frozenset(),
                log_slowness=0.0,
                far=False,
                now=float(number),
            ),
        )
    value = workloads.encode_run_times(times, now=3000.0)
    assert len(value) <= 32_768
    assert workloads.decode_run_times(value, now=0.0).kinds


def test_a_snapshot_holds_the_first_task_of_the_widest_step() -> None:
    """Guards against one kind that makes the whole snapshot unreadable."""
    times = workloads.RunTimes()
    _run_times.record_sample(
        times,
        _run_times.Sample(
            key=("", "q", 0),
            job_id="j",
            ratio=2.0,
            width=20_000,
            worker_key="",
            machine="",
            labels=frozenset(),
            log_slowness=0.0,
            far=False,
            now=1.0,
        ),
    )
    value = workloads.encode_run_times(times, now=1.0)
    assert workloads.decode_run_times(value, now=1.0).kinds


def _snapshot(samples: float, weight: float) -> bytes:
    """Return a snapshot of one kind with one bucket."""
    kind = ["", "q", 0, 0.0, 1, [0.0, 0.0, 0.0], samples, {0: weight}]
    return cbor2.dumps([1, [kind], [], [0.0, 0.0]])


def test_a_snapshot_of_one_kind_is_read() -> None:
    """Guards against odd snapshots that are refused for another cause."""
    assert workloads.decode_run_times(_snapshot(1.0, 1), now=0.0).kinds


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff" * 40, id="no-cbor"),
        pytest.param(b"\x84\x01\x80\x80\x82\x19\xff\xff\x00", id="bounds"),
        pytest.param(
            b"\x84\x01\x80\x80\x82\xf9\x7e\x00\x00", id="not-a-number"
        ),
        pytest.param(b"\x84\x01\x81\x80\x80\x82\x00\x00", id="short-row"),
        pytest.param(b"\x00" * 40_000, id="too-long"),
        pytest.param(_snapshot(1.0, 5e-320), id="weights-next-to-0"),
        pytest.param(_snapshot(5e-320, 1), id="samples-next-to-0"),
    ],
)
def test_an_odd_snapshot_is_one_error(value: bytes) -> None:
    """Guards against a snapshot that ends an ownership."""
    with pytest.raises(errors.ProtocolError):
        workloads.decode_run_times(value, now=0.0)


def test_a_gang_says_nothing_about_one_worker() -> None:
    """Guards against a worker blamed for the slowest member of its gang."""
    pool = _learning_pool()
    runs = _start(pool, 1, now=0.5, count=2, gang=True)
    assert len(runs) == 2
    _pool_fixtures.complete_run(pool, runs[0], "done")
    assert pool.run_times.counts["learned"] == 1
    assert not pool.run_times.speeds.machines


def test_work_off_its_data_is_told_apart_from_a_slow_worker() -> None:
    """Guards against speeds that depend on where data lies."""
    pool = _learning_pool(0)
    for number in range(6):
        rack = "r1-1" if number < 3 else "r1-2"
        _pool_fixtures.add_worker(pool, f"w{number}", rack=rack)
    need = model.Resources(cpu_millis=4000, memory_mb=100)
    for number in range(30):
        now = 20.0 * number
        runs = _start(
            pool, number, now=now, count=6, need=need, data_rack="r1-1"
        )
        for run in runs:
            far = pool.workers[run.worker_key].report.rack != "r1-1"
            _pool_fixtures.complete_run(
                pool, run, "done", sent_at=now + (3.0 if far else 1.0)
            )
        workloads.refresh_run_times(pool, now=now + 4.0)
    times = pool.run_times
    assert math.exp(times.speeds.far.log_slowness) == pytest.approx(
        3.0, rel=0.25
    )
    assert all(
        abs(speed.log_slowness) < 0.3
        for speed in times.speeds.machines.values()
    )


def test_operators_see_kinds_and_workers() -> None:
    """Guards against learning that nobody can check."""
    pool = _learning_pool()
    for number in range(12):
        now = 10.0 * number + 1.0
        for run in _start(pool, number, now=now, count=3):
            _pool_fixtures.complete_run(pool, run, "done", sent_at=now + 5.0)
        workloads.refresh_run_times(pool, now=now + 6.0)
    rows = workloads.list_run_times(pool, now=130.0)
    kind = next(row for row in rows if row.get("step") == 0)
    assert kind["runs"] == 36
    assert kind["median_by_estimate"] == pytest.approx(5.0, rel=0.1)
    assert kind["off_by"]["estimate"] > 2 * kind["off_by"]["job"]
    workers = [row for row in rows if "worker" in row]
    assert {row["penalty"] for row in workers} == {0.0}
    pool.run_times = None
    assert not workloads.list_run_times(pool, now=130.0)


def test_a_fault_in_learning_costs_no_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a worker that counts as silent for a wrong sample."""

    def fail(*arguments: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(_run_times, "record_sample", fail)
    pool = _learning_pool()
    (run,) = _start(pool, 1, now=0.5)
    _pool_fixtures.complete_run(pool, run, "done")
    assert run.job.state == workloads.JobState.COMPLETE
    assert pool.run_times.counts["fault"] == 1
