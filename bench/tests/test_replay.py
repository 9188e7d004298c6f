import functools
import math
import random

import pytest

from bench import _baselines
from bench import _policies
from bench import _replay
from bench import _traces

_NAMES = [each.name for each in _traces.DEPLOYMENTS]


@pytest.mark.parametrize("deployment", _traces.DEPLOYMENTS, ids=_NAMES)
def test_committed_trace_equals_the_generator(
    deployment: _traces.Deployment,
) -> None:
    # A committed trace that the generator cannot reproduce cannot be verified
    # or varied.
    made = _traces.to_text(_traces.generate(deployment, _traces.SEED))
    assert made == _traces.read_text(deployment.name)


@pytest.mark.parametrize("name", _NAMES)
def test_trace_has_the_specified_load(name: str) -> None:
    trace = _traces.load(name)
    start, end = trace.header["crest_s"]
    submits = [each for each in trace.events if each["event"] == "submit"]
    inside = sum(start <= each["t"] < end for each in submits) / (end - start)
    before = sum(0 < each["t"] < start for each in submits) / start
    assert inside > 3 * before
    tasks = sum(len(each["runs"]) for each in submits if not each["urgent"])
    slow = sum(len(each["slow"]) for each in submits)
    assert 0.02 < slow / tasks < 0.04
    for each in submits:
        need, used = each["need"][0], each["used"][0]
        assert need <= 4.01 * used
        assert used <= 4.01 * need
    kinds = {each["kind"] for each in submits}
    assert kinds == {"service", "batch", "gang"}
    assert len({each["team"] for each in submits}) >= 5
    urgent = sum(
        each["urgent"] and start <= each["t"] < end for each in submits
    )
    assert urgent >= 100
    cancels = sum(each["event"] == "cancel" for each in trace.events)
    assert cancels == _traces.BURST_JOBS
    times = [each["t"] for each in trace.events]
    assert times == sorted(times)


def _shorten(trace: _traces.Trace, until_s: float) -> _traces.Trace:
    header = {**trace.header, "length_s": until_s}
    events = [each for each in trace.events if each["t"] < until_s]
    return _traces.Trace(header=header, events=events)


def _submit(
    job: str, at_s: float, runs: list[float], **fields: object
) -> dict:
    return {
        "t": at_s,
        "event": "submit",
        "job": job,
        "class": "preview",
        "kind": "batch",
        "team": "looms",
        "urgent": False,
        "need": [1000, 100, 0],
        "used": [1000, 100],
        "declared_s": 1.0,
        "runs": runs,
        "slow": [],
        **fields,
    }


def _trace(events: list[dict], cores: int = 1, workers: int = 1) -> object:
    header = {
        "name": "small",
        "length_s": 10.0,
        "crest_s": [0.0, 10.0],
        "teams": {"looms": 1.0},
        "workers": [
            {
                "id": f"w-{n}",
                "data_centre": "dc-1",
                "rack": "r-1",
                "cpu_millis": 1000 * cores,
                "memory_mb": 1000,
                "accelerators": 0,
            }
            for n in range(workers)
        ],
    }
    return _traces.Trace(header=header, events=events)


@functools.cache
def _first_minute() -> _traces.Trace:
    return _shorten(_traces.load("karoo"), 130.0)


@pytest.mark.parametrize("policy", ["ours", *_baselines.make_policies()])
def test_replay_is_deterministic(policy: str) -> None:
    # Without determinism, figures of two versions are not comparable.
    def run() -> _replay.Outcome:
        if policy == "ours":
            return _replay.replay(_first_minute())
        choose = _baselines.make_policies()[policy]
        return _baselines.replay(_first_minute(), choose)

    first, second = run(), run()
    assert first.waits == second.waits
    assert first.starts == second.starts
    assert len(first.waits) > 500


_FIRST = _submit("first", 0.0, [2.0])
_SECOND = _submit("second", 1.0, [2.0])
_URGENT = _submit("urgent", 1.5, [1.0], urgent=True)
_GANG = _submit("gang", 1.0, [1.0, 1.0], kind="gang")
_CANCEL = {"t": 1.2, "event": "cancel", "job": "second"}
_FAIL = {"t": 1.0, "event": "fail", "worker": "w-0", "back_s": 3.0}


@pytest.mark.parametrize(
    ("trace", "waits"),
    [
        pytest.param(
            _trace([_FIRST, _SECOND]),
            {("first", 0): 0.0, ("second", 0): 1.0},
            id="task_starts_before_capacity_is_free",
        ),
        pytest.param(
            _trace([_FIRST, _SECOND, _URGENT]),
            {("first", 0): 0.0, ("second", 0): 1.0, ("urgent", 0): 2.5},
            id="baseline_prefers_urgent_task",
        ),
        pytest.param(
            _trace([_FIRST, _SECOND, _CANCEL, _URGENT]),
            {("first", 0): 0.0, ("urgent", 0): 0.5},
            id="cancelled_job_keeps_its_place_in_queue",
        ),
        pytest.param(
            _trace([_FIRST, _GANG], cores=2),
            {("first", 0): 0.0, ("gang", 0): 1.0, ("gang", 1): 1.0},
            id="gang_starts_partially",
        ),
        pytest.param(
            _trace([_submit("large", 0.0, [1.0], need=[9000, 1, 0]), _SECOND]),
            {("large", 0): 70.0, ("second", 0): 0.0},
            id="unplaceable_job_blocks_the_queue",
        ),
        pytest.param(
            _trace([_submit("long", 0.0, [5.0]), _FAIL, _SECOND]),
            {("long", 0): 0.0, ("second", 0): 3.0},
            id="failed_worker_accepts_tasks",
        ),
    ],
)
def test_baselines(trace: _traces.Trace, waits: dict) -> None:
    for choose in _baselines.make_policies().values():
        found = _baselines.replay(trace, choose).waits
        assert found == pytest.approx(waits)


def test_scheduler_starts_urgent_task_first() -> None:
    waits = _replay.replay(_trace([_FIRST, _SECOND, _URGENT])).waits
    assert waits["urgent", 0] < waits["second", 0]


def test_tasks_of_failed_worker_restart_at_most_once() -> None:
    trace = _trace([_submit("long", 0.0, [5.0]), _FAIL], workers=2)
    for choose in _baselines.make_policies().values():
        assert _baselines.replay(trace, choose).starts <= 2
    assert _replay.replay(trace).starts <= 2


def _workers(*frees: tuple[int, int]) -> list[_baselines.Worker]:
    return [
        _baselines.Worker(capacity=[10, 10, 0], free=[cpu, memory, 0])
        for cpu, memory in frees
    ]


@pytest.mark.parametrize(
    ("choose", "frees", "chosen"),
    [
        pytest.param(
            _baselines.choose_first,
            [(1, 9), (4, 4), (9, 9)],
            1,
            id="first_fit_ignores_a_dimension",
        ),
        pytest.param(
            _baselines.choose_least_loaded,
            [(10, 3), (5, 5), (4, 10)],
            1,
            id="least_loaded_compares_one_dimension_only",
        ),
        pytest.param(
            _baselines.make_choose_random(random.Random(1)),
            [(1, 1), (2, 9), (9, 1)],
            1,
            id="random_picks_a_full_worker",
        ),
        pytest.param(
            _baselines.choose_least_loaded,
            [(1, 9), (9, 1)],
            None,
            id="unplaceable_need_is_placed",
        ),
    ],
)
def test_choice(
    choose: _baselines.Choose,
    frees: list[tuple[int, int]],
    chosen: int | None,
) -> None:
    workers = _workers(*frees)
    found = choose(workers, (2, 2, 0))
    assert found is (None if chosen is None else workers[chosen])


@pytest.mark.parametrize(
    ("needs", "capacity", "expected"),
    [
        pytest.param([], [4, 4, 0], 0, id="no_needs_require_a_worker"),
        pytest.param(
            [(1, 3, 0)] * 4, [4, 4, 0], 3, id="less_demanded_dimension_decides"
        ),
        pytest.param([(4, 0, 0)], [4, 4, 0], 1, id="exact_fit_needs_two"),
        pytest.param([(1, 1, 1)] * 9, [9, 9, 2], 5, id="accelerators_ignored"),
    ],
)
def test_lower_bound(needs: list, capacity: list, expected: int) -> None:
    assert _policies.lower_bound(needs, capacity) == expected


def test_hol_ratio_covers_short_jobs_with_minimum_wait() -> None:
    def outcome(short_s: float, long_s: float) -> _replay.Outcome:
        return _replay.Outcome(
            waits={("a", 0): short_s, ("b", 0): long_s},
            arrivals={
                "a": {"class": _policies.SHORT_CLASS, "t": 0.0},
                "b": {"class": "fulfilment", "t": 0.0},
            },
        )

    assert _policies.hol_ratio(outcome(3.0, 9.0), outcome(2.0, 1.0)) == 1.5
    assert _policies.hol_ratio(outcome(0.0, 9.0), outcome(0.0, 1.0)) == 1.0


def test_only_stragglers_are_shortened() -> None:
    events = [_submit("a", 0.0, [1.0, 200.0], slow=[1])]
    even = _traces.without_stragglers(_trace(events))
    assert even.events[0]["runs"] == [1.0, 4.0]
    assert math.isclose(events[0]["runs"][1], 200.0)
