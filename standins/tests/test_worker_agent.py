import json
import math
import typing

import pytest

from chestnuttide import model
from chestnuttide import platform
from chestnuttide.platform import _worker_agent_wire
from standins import worker_agent
from standins.worker_agent import _state

_CAPACITY = model.Resources(cpu_millis=4000, memory_mb=1000, accelerators=1)
_SMALL = model.Resources(cpu_millis=1000, memory_mb=100)
_LARGE = model.Resources(cpu_millis=3500, memory_mb=100)
_STATE = model.TaskState


def _attempt(name: str) -> model.Attempt:
    """Return the attempt in ``<job>.<index>.<number>``."""
    job_id, index, number = name.split(".")
    return model.Attempt(job_id=job_id, index=int(index), number=int(number))


def _start(
    state: worker_agent.State,
    now: float,
    name: str,
    payload: dict[str, typing.Any] | None = None,
    resources: model.Resources = _SMALL,
    lease_s: float = 10.0,
    expires_at: float = math.inf,
) -> str:
    call = _worker_agent_wire.StartCall(
        epoch=1,
        lease_s=lease_s,
        expires_at=expires_at,
        starts=(
            platform.TaskStart(
                attempt=_attempt(name),
                resources=resources,
                payload=json.dumps(payload or {}).encode(),
            ),
        ),
    )
    return _state.start(state, call, now)[0].outcome


def _sync(
    state: worker_agent.State, now: float, *acknowledged: str
) -> dict[str, tuple[str, float]]:
    call = _worker_agent_wire.SyncCall(
        epoch=1,
        lease_s=10.0,
        acknowledged=[_attempt(name) for name in acknowledged],
        wait_s=0.0,
        after=0,
    )
    _state.sync(state, call, now)
    return {
        f"{report.attempt.job_id}.{report.attempt.index}"
        f".{report.attempt.number}": (report.state, round(report.run_s, 6))
        for report in _state.reports(state, now).reports
    }


def _stop(
    state: worker_agent.State, now: float, name: str, checkpoint: bool
) -> None:
    call = _worker_agent_wire.StopCall(
        epoch=1, checkpoint=checkpoint, tasks=[_attempt(name)]
    )
    _state.stop(state, call, now)


def _throttle(
    state: worker_agent.State, now: float, name: str, share: float
) -> None:
    call = _worker_agent_wire.ThrottleCall(
        epoch=1, share=share, tasks=[_attempt(name)]
    )
    _state.throttle(state, call, now)


# Each step is a function, the time, its arguments and the expected result.
_SCENARIOS = [
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 2.0}), "started"),
            (_sync, 1.9, (), {"j.0.1": (_STATE.RUNNING, 1.9)}),
            (_sync, 3.0, (), {"j.0.1": (_STATE.SUCCEEDED, 2.0)}),
            (_sync, 4.0, (), {"j.0.1": (_STATE.SUCCEEDED, 2.0)}),
            (_sync, 4.0, ("j.0.1",), {}),
            (_start, 5.0, ("j.0.1",), "ended"),
        ],
        id="completion_is_lost_or_attempt_runs_again",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {}), "started"),
            (_start, 0.0, ("j.0.1", {}), "running"),
            (_sync, 9.0, (), {"j.0.1": (_STATE.RUNNING, 9.0)}),
            (_sync, 18.0, (), {"j.0.1": (_STATE.RUNNING, 18.0)}),
            (_sync, 28.5, (), {"j.0.1": (_STATE.LAPSED, 28.0)}),
        ],
        id="service_outlives_its_lease_or_ends_by_itself",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 5.0}, _SMALL, 2.0), "started"),
            (_sync, 6.0, (), {"j.0.1": (_STATE.LAPSED, 2.0)}),
        ],
        id="expired_attempt_counted_as_success",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 5, "fail": True}), "started"),
            (_start, 0.0, ("j.1.1", {"fail": True}), "started"),
            (
                _start,
                0.0,
                ("j.2.1", {"run_s": 5, "fail_after_s": 1}),
                "started",
            ),
            (
                _sync,
                6.0,
                (),
                {
                    "j.0.1": (_STATE.FAILED, 5.0),
                    "j.1.1": (_STATE.FAILED, 0.0),
                    "j.2.1": (_STATE.FAILED, 1.0),
                },
            ),
        ],
        id="failure_at_wrong_time",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 1.0}, _LARGE), "started"),
            (_start, 0.5, ("j.1.1", {}, _SMALL), "no_capacity"),
            (_start, 1.0, ("j.1.1", {}, _SMALL), "started"),
        ],
        id="overrun_accepted_or_capacity_not_freed",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 4.0}), "started"),
            (_stop, 3.0, ("j.0.1", True), None),
            (_start, 5.0, ("j.0.2", {"run_s": 4.0}), "started"),
            (
                _sync,
                6.5,
                ("j.0.1",),
                {"j.0.2": (_STATE.SUCCEEDED, 1.0)},
            ),
        ],
        id="checkpoint_is_lost",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 4.0}), "started"),
            (_stop, 3.0, ("j.0.1", False), None),
            (_start, 5.0, ("j.0.2", {"run_s": 4.0}), "started"),
            (_sync, 6.5, ("j.0.1",), {"j.0.2": (_STATE.RUNNING, 1.5)}),
        ],
        id="progress_kept_without_checkpoint",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 4.0}), "started"),
            (_throttle, 2.0, ("j.0.1", 0.5), None),
            (_sync, 5.9, (), {"j.0.1": (_STATE.RUNNING, 5.9)}),
            (_sync, 6.1, (), {"j.0.1": (_STATE.SUCCEEDED, 6.0)}),
        ],
        id="throttle_does_not_slow_progress",
    ),
    pytest.param(
        [
            (_start, 0.0, ("j.0.1", {"run_s": 4.0}), "started"),
            (_throttle, 1.0, ("j.0.1", 0.0), None),
            (_sync, 9.0, (), {"j.0.1": (_STATE.RUNNING, 9.0)}),
            (_throttle, 9.0, ("j.0.1", 1.0), None),
            (_sync, 12.0, (), {"j.0.1": (_STATE.SUCCEEDED, 12.0)}),
        ],
        id="task_throttled_to_zero_never_resumes",
    ),
    pytest.param(
        [
            (_stop, 0.0, ("j.0.1", False), None),
            (_start, 1.0, ("j.0.1",), "ended"),
        ],
        id="start_delayed_until_after_its_stop_runs",
    ),
]


@pytest.mark.parametrize("steps", _SCENARIOS)
def test_attempts(steps: list[tuple]) -> None:
    state = worker_agent.State(worker_id="w", capacity=_CAPACITY)
    for function, now, arguments, expected in steps:
        assert function(state, now, *arguments) == expected, (function, now)


def test_overruns_and_peak_are_recorded() -> None:
    """Guards against scenarios that pass although a worker is overloaded."""
    state = worker_agent.State(worker_id="w", capacity=_CAPACITY)
    _start(state, 0.0, "j.0.1", {"run_s": 1.0}, _LARGE)
    _start(state, 0.0, "j.1.1", {}, _SMALL)
    _start(state, 2.0, "j.2.1", {}, _SMALL)
    _start(state, 2.0, "j.2.2", {}, _SMALL)
    evidence = _state.evidence(state, 3.0)
    assert evidence["overruns"] == 1
    assert [fault["fault"] for fault in evidence["faults"]] == [
        "overrun",
        "double_run",
    ]
    assert evidence["peak"] == model.Resources(cpu_millis=3500, memory_mb=200)
    assert evidence["used"] == model.add(_SMALL, _SMALL)


def test_reported_usage_lags() -> None:
    """Guards against tests of reclaiming that know usage without delay."""
    state = worker_agent.State(worker_id="w", capacity=_CAPACITY)
    _start(state, 0.0, "j.0.1", {"usage_share": 0.5})
    usage = [
        _state.reports(state, now).reports[0].usage.cpu_millis
        for now in (0.5, 2.0)
    ]
    assert usage == [1000, 500]


def _history(worker_id: str, *runs: tuple) -> dict[str, typing.Any]:
    return {
        "worker_id": worker_id,
        "history": [
            {
                "job_id": job_id,
                "index": 0,
                "number": number,
                "start": start,
                "end": end,
            }
            for job_id, number, start, end in runs
        ],
    }


@pytest.mark.parametrize(
    ("first", "second", "overlaps_s"),
    [
        pytest.param(
            [("j", 1, 0, 5)],
            [("j", 2, 5, 9)],
            [],
            id="successive_runs_counted",
        ),
        pytest.param(
            [("j", 1, 0, 5)], [("j", 2, 4, 9)], [1], id="overlap_missed"
        ),
        pytest.param(
            [("j", 1, 0, None)],
            [("j", 2, 4, None)],
            [None],
            id="overlap_of_live_runs_missed",
        ),
        pytest.param(
            [("j", 1, 0, 9), ("j", 2, 1, 2)],
            [("j", 3, 5, 7)],
            [1, 2],
            id="overlap_with_run_before_last_missed",
        ),
        pytest.param(
            [("j", 1, 0, 5)], [("k", 1, 0, 5)], [], id="other_job_counted"
        ),
    ],
)
def test_find_double_runs(
    first: list[tuple], second: list[tuple], overlaps_s: list[float | None]
) -> None:
    overlaps = worker_agent.find_double_runs(
        [_history("a", *first), _history("b", *second)]
    )
    assert [overlap["overlap_s"] for overlap in overlaps] == overlaps_s


def test_expired_start_is_refused() -> None:
    """Guards against a start that is read from a buffer after a pause."""
    state = worker_agent.State(worker_id="w", capacity=_CAPACITY)
    wall = 100.0 + state.wall_offset_s
    assert _start(state, 100.0, "j.0.1", expires_at=wall - 1) == "expired"
    assert _start(state, 100.0, "j.0.1", expires_at=wall + 1) == "started"
    assert _start(state, 103.0, "j.0.1", expires_at=wall - 1) == "running"


def test_reports_are_left_out_until_they_change() -> None:
    """Guards against an owner that misses a start or a completion."""
    state = worker_agent.State(worker_id="w", capacity=_CAPACITY)
    _start(state, 1.0, "j.0.1", {"run_s": 5})
    first = _state.reports(state, 1.0)
    assert first.reports
    assert _state.reports(state, 2.0, first.digest).reports is None
    _start(state, 2.0, "j.1.1", {"run_s": 5})
    second = _state.reports(state, 2.0, first.digest)
    assert len(second.reports) == 2
    third = _state.reports(state, 6.5, second.digest)
    assert [each.state for each in third.reports].count("succeeded") == 1
    _sync(state, 6.6, "j.0.1")
    assert len(_state.reports(state, 6.6, third.digest).reports) == 1
