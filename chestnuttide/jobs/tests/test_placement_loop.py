import attrs
import pytest

from chestnuttide import config
from chestnuttide import jobs
from chestnuttide.jobs.tests import _pool
from chestnuttide.jobs.tests import _simulation
from chestnuttide import model
from chestnuttide import placement


def _half_worker() -> model.Resources:
    return model.Resources(cpu_millis=2000, memory_mb=4000)


def _report_completion(
    pool: _pool.Pool,
    start: jobs.StartTask,
    state: model.TaskState = model.TaskState.SUCCEEDED,
) -> list[object]:
    """Report the completion of one attempt, and its worker's others as live.

    Returns the outputs of the pool.
    """
    reports = [
        _pool.report(attempt)
        for attempt in pool.state.workers[start.worker_id].attempts
        if attempt != start.attempt
    ]
    ended = _pool.report(start.attempt, state)
    return _pool.sync(pool, start.worker_id, ended, *reports)


def _job_ids(starts: list[jobs.StartTask]) -> list[str]:
    return [start.attempt.job_id for start in starts]


def test_quota_delays_only_its_team() -> None:
    pool = _pool.make_pool()
    _pool.submit(pool, "q", team="q", tasks=5)
    _pool.submit(pool, "a", team="a", tasks=2)
    starts = _pool.confirm_starts(pool)
    assert sorted(_job_ids(starts)) == ["a", "a", "q", "q"]
    _report_completion(
        pool, next(start for start in starts if _job_ids([start]) == ["q"])
    )
    assert _job_ids(_pool.take_starts(pool)) == ["q"]


def test_large_work_does_not_block_small_work() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "half", resources=_half_worker())
    _pool.confirm_starts(pool)
    for number in range(50):
        _pool.submit(pool, f"big{number}", resources=_pool.CAPACITY)
    _pool.submit(pool, "small")
    assert _job_ids(_pool.take_starts(pool)) == ["small"]


@pytest.mark.parametrize(
    ("short_waits", "expected"),
    [
        pytest.param(True, ["short"], id="long_work_uses_the_whole_pool"),
        pytest.param(False, ["long"], id="capacity_stays_idle"),
    ],
)
def test_long_work_is_bounded_while_short_work_waits(
    short_waits: bool, expected: list[str]
) -> None:
    pool = _pool.make_pool(workers=2)
    _pool.submit(
        pool, "long", tasks=9, declared_run_s=500.0, resources=_half_worker()
    )
    starts = _pool.confirm_starts(pool)
    assert len(starts) == 4
    # The long work has aged, so that only its share of the pool limits it.
    for _ in range(8):
        _pool.advance(pool, 9.0)
        for worker_id in ("w0", "w1"):
            reports = [
                _pool.report(start.attempt)
                for start in starts
                if start.worker_id == worker_id
            ]
            _pool.sync(pool, worker_id, *reports)
    if short_waits:
        _pool.submit(
            pool, "short", resources=_half_worker(), declared_run_s=55.0
        )
    _report_completion(pool, starts[0])
    assert _job_ids(_pool.take_starts(pool)) == expected


@pytest.mark.parametrize(
    ("changes", "evicts"),
    [
        pytest.param({"urgent": True}, True, id="urgent_job_waits"),
        pytest.param(
            {"kind": model.JobKind.SERVICE}, True, id="service_waits"
        ),
        pytest.param({}, False, id="batch_evicts_batch"),
    ],
)
def test_preemption(changes: dict[str, object], evicts: bool) -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(
        pool, "soft", workload_class="soft", resources=_half_worker(), tasks=2
    )
    starts = _pool.confirm_starts(pool)
    outputs = _pool.submit(pool, "new", resources=_pool.CAPACITY, **changes)
    stops = _pool.filter_by_type(outputs, jobs.StopTask)
    assert [stop.checkpoint for stop in stops] == [True] * 2 * evicts
    if not evicts:
        return
    # Capacity freed by the first victim stays reserved for the claim.
    _pool.submit(pool, "small")
    _report_completion(pool, starts[0], model.TaskState.STOPPED)
    assert not _pool.take_starts(pool)
    _report_completion(pool, starts[1], model.TaskState.STOPPED)
    assert _job_ids(_pool.confirm_starts(pool)) == ["new"]
    view = jobs.read_job(pool.state, "soft", pool.now)
    assert (view.state, view.waiting) == ("running", 2)


def test_preemption_keeps_minimum_of_service_running() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(
        pool,
        "web",
        kind=model.JobKind.SERVICE,
        workload_class="web",
        tasks=4,
    )
    _pool.confirm_starts(pool)
    outputs = _pool.submit(pool, "u", urgent=True, tasks=4)
    stops = _pool.filter_by_type(outputs, jobs.StopTask)
    assert sorted(stop.attempt.index for stop in stops) == [2, 3]


def test_services_are_spread_and_batch_is_packed() -> None:
    pool = _pool.make_pool(workers=4)
    _pool.submit(pool, "s", kind=model.JobKind.SERVICE, tasks=4)
    assert len({s.worker_id for s in _pool.confirm_starts(pool)}) == 4
    pool = _pool.make_pool(workers=4)
    _pool.submit(pool, "b", tasks=4)
    assert len({s.worker_id for s in _pool.confirm_starts(pool)}) == 1


@pytest.mark.parametrize(
    "outcome",
    [
        pytest.param("no_capacity", id="refused_member_leaves_others_running"),
        pytest.param("unanswered", id="lost_start_leaves_others_running"),
    ],
)
def test_gang_is_stopped_if_one_start_fails(outcome: str) -> None:
    pool = _pool.make_pool(workers=2)
    _pool.submit(pool, "g", kind=model.JobKind.GANG, tasks=8)
    starts = _pool.take_starts(pool)
    assert len(starts) == 8
    for start in starts[1:]:
        _pool.answer_start(pool, start)
    _pool.answer_start(pool, starts[0], jobs.StartOutcome(outcome))
    outputs = _pool.advance(pool, 3.2)
    stopped = {
        s.attempt for s in _pool.filter_by_type(pool.outputs, jobs.StopTask)
    }
    assert {start.attempt for start in starts[1:]} <= stopped
    for worker_id in ("w0", "w1"):
        reports = [
            _pool.report(start.attempt, model.TaskState.STOPPED)
            for start in starts
            if start.worker_id == worker_id
        ]
        _pool.sync(pool, worker_id, *reports)
    _pool.take_starts(pool)
    outputs = _pool.advance(pool, 2.0)
    again = _pool.filter_by_type(outputs, jobs.StartTask)
    assert sorted(s.attempt.index for s in again) == list(range(8))


def test_gang_is_not_starved_by_small_work() -> None:
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "small0", tasks=2, resources=_half_worker())
    running = _pool.confirm_starts(pool)
    _pool.submit(
        pool, "g", kind=model.JobKind.GANG, tasks=2, resources=_half_worker()
    )
    for number in range(1, 40):
        pool.now += 1.0
        _pool.submit(pool, f"small{number}", resources=_half_worker())
        running.extend(_pool.confirm_starts(pool))
        _report_completion(pool, running.pop(0))
        started = _pool.confirm_starts(pool)
        running.extend(started)
        if _job_ids(started) == ["g", "g"]:
            return
    pytest.fail("the gang was starved")


def test_decisions_per_call_are_bounded() -> None:
    pool = _pool.make_pool(workers=100)
    _pool.submit(pool, "j", tasks=300)
    first = len(_pool.take_starts(pool))
    assert first <= pool.state.decisions_per_call + 4
    assert jobs.is_busy(pool.state, pool.now)
    _pool.advance(pool, 2.0)
    assert first + len(_pool.take_starts(pool)) == 300
    assert not jobs.is_busy(pool.state, pool.now)


def test_reused_capacity_is_not_offered_to_every_lane(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The end of one task used to cause a search for each distinct waiting
    # need, which took several ms with a few hundred distinct needs.
    pool = _pool.make_pool(workers=1)
    _pool.submit(pool, "full", tasks=2, resources=_half_worker())
    starts = _pool.confirm_starts(pool)
    for number in range(12):
        need = model.Resources(cpu_millis=1800, memory_mb=100 << number // 2)
        _pool.submit(
            pool, f"job{number}", resources=need, urgent=number % 2 > 0
        )
    searches = []
    choose = placement.choose_worker

    def count(*args: object, **keywords: object) -> str | None:
        searches.append(keywords["need"])
        return choose(*args, **keywords)

    monkeypatch.setattr(placement, "choose_worker", count)
    _report_completion(pool, starts[0])
    assert len(_pool.take_starts(pool)) == 1
    assert len(searches) <= 2


def test_leaving_worker_gets_no_work_and_loses_services() -> None:
    pool = _pool.make_pool(workers=2)
    _pool.submit(pool, "s", kind=model.JobKind.SERVICE)
    (start,) = _pool.confirm_starts(pool)
    leaving = attrs.evolve(
        pool.state.workers[start.worker_id].instance,
        state=model.InstanceState.LEAVING,
    )
    outputs = _pool.send(pool, jobs.WorkersChanged(instances=(leaving,)))
    outputs += _pool.advance(pool, 1.5)
    assert _pool.filter_by_type(outputs, jobs.StopTask)
    _report_completion(pool, start, model.TaskState.STOPPED)
    (again,) = _pool.take_starts(pool)
    assert again.worker_id != start.worker_id


def test_overcommitted_worker_is_throttled() -> None:
    document = attrs.evolve(
        _pool.DOCUMENT,
        workload_classes={"soft": config.ClassConfig(throttle=True)},
    )
    pool = _pool.make_pool(workers=1, document=document)
    _pool.submit(pool, "j", workload_class="soft")
    (start,) = _pool.confirm_starts(pool)
    usage = model.Resources(cpu_millis=5000, memory_mb=1000)
    report = attrs.evolve(_pool.report(start.attempt), usage=usage)
    outputs = _pool.sync(pool, "w0", report) + _pool.advance(pool, 1.5)
    (throttled,) = _pool.filter_by_type(outputs, jobs.ThrottleTask)
    assert throttled.share < 1.0
    outputs = _pool.advance(pool, 10.0)
    assert _pool.filter_by_type(outputs, jobs.ThrottleTask)[0].share == 1.0


def test_gangs_start_together_despite_lost_starts() -> None:
    # If the starts of some members are lost, the others must not keep
    # running without them.
    def decide(
        simulation: _simulation.Simulation, attempt: model.Attempt
    ) -> tuple[float, model.TaskState]:
        return 6.0, model.TaskState.SUCCEEDED

    simulation = _simulation.make_simulation(
        _pool.DOCUMENT, [_pool.CAPACITY] * 4, seed=3
    )
    simulation.decide = decide
    _simulation.run_for(simulation, 1.0)
    simulation.workers["w1"].starts_lost_until = simulation.now + 4.0
    for number in range(3):
        job = _pool.make_job(f"g{number}", kind=model.JobKind.GANG, tasks=8)
        _simulation.submit(simulation, job)
    _simulation.run_for(simulation, 90.0)
    for number in range(3):
        assert _simulation.read(simulation, f"g{number}").state == "succeeded"
    assert simulation.longest_partial_s < 4.5
