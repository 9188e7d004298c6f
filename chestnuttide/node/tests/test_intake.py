"""Tests of the decisions on what callers may make an instance hold."""

import pytest

from chestnuttide.node import _intake
from chestnuttide.node import _intake_limits
from chestnuttide.node import _settings

BUDGET = 1000
NOW = 100.0


def make_intake(**limits: float) -> _intake.Intake:
    defaults = {
        "budget_bytes": BUDGET,
        "connections": 4,
        "connections_per_peer": 4,
        "body_bytes": 400,
        "header_s": 15.0,
        "idle_s": 120.0,
        "body_grace_s": 30.0,
        "body_bytes_per_s": 4096.0,
        "answer_s": 30.0,
    }
    return _intake.Intake(limits=_intake_limits.Limits(**(defaults | limits)))


def make_caller(
    intake: _intake.Intake,
    left: list[tuple[str, str]],
    name: str,
    *,
    phase: str = "body",
    age: float = 0.5,
    quiet: float = 0.0,
    received: int = 0,
    held: int = 0,
    **fields: object,
) -> _intake.Caller:
    """Add a connection whose phase began `age` seconds ago."""
    caller = _intake.Caller(
        peer=name,
        leave=lambda reason: left.append((name, str(reason))),
        since=NOW - age,
        progress_at=NOW - quiet,
        **fields,
    )
    _intake.add(intake, caller)
    caller.phase = _intake.Phase(phase)
    caller.received = received
    caller.held = held
    intake.held += held
    return caller


@pytest.mark.parametrize(
    ("others", "size", "kept", "left"),
    [
        pytest.param([{"held": 900}], 100, True, [], id="room-is-left"),
        pytest.param(
            [
                {"held": 500, "received": 500},
                {"held": 500, "age": 9.0, "quiet": 9.0, "received": 500},
            ],
            100,
            True,
            [("1", "slow")],
            id="stalled-leaves-before-as-large",
        ),
        pytest.param(
            [
                {"held": 500, "age": 9.0, "received": 900},
                {"held": 500, "age": 9.0, "received": 500},
            ],
            100,
            True,
            [("1", "slow")],
            id="slowest-leaves-first",
        ),
        pytest.param(
            [{"held": 600}, {"held": 400}],
            100,
            True,
            [("0", "large")],
            id="largest-leaves-if-none-is-slow",
        ),
        pytest.param(
            [{"held": 500}, {"held": 500}],
            501,
            False,
            [],
            id="largest-is-the-one-that-asks",
        ),
        pytest.param(
            [{"held": 1000, "phase": "served", "age": 9.0, "quiet": 9.0}],
            100,
            False,
            [],
            id="served-request-never-leaves",
        ),
        pytest.param(
            [
                {"held": 200},
                {"held": 800, "phase": "served", "age": 9.0},
            ],
            300,
            False,
            [],
            id="nobody-leaves-in-vain",
        ),
        pytest.param(
            [
                {
                    "held": 1000,
                    "phase": "served",
                    "unread_since": NOW - 2.0,
                    "age": 9.0,
                }
            ],
            100,
            True,
            [("0", "slow")],
            id="unread-answer-leaves",
        ),
    ],
)
def test_room_is_made_for_bytes(
    others: list[dict[str, object]],
    size: int,
    kept: bool,
    left: list[tuple[str, str]],
) -> None:
    """Guards against a full budget that costs the wrong callers."""
    intake = make_intake()
    ended: list[tuple[str, str]] = []
    for number, fields in enumerate(others):
        make_caller(intake, ended, str(number), **fields)
    caller = make_caller(intake, ended, "new")
    assert _intake.charge(intake, caller, size, NOW) is kept
    assert ended == left
    assert intake.held <= BUDGET
    assert intake.held == sum(each.held for each in intake.callers)


@pytest.mark.parametrize(
    ("others", "left", "leaving"),
    [
        pytest.param(
            [
                {"phase": "idle", "age": 9.0, "served": 3},
                {"phase": "idle", "age": 2.0},
                {"phase": "idle", "age": 5.0},
                {"phase": "body", "age": 9.0},
            ],
            [("2", "connections")],
            [],
            id="longest-without-a-request",
        ),
        pytest.param(
            [
                {"phase": "idle", "age": 2.0, "served": 3},
                {"phase": "idle", "age": 5.0, "served": 1},
                {"phase": "served"},
                {"phase": "served"},
            ],
            [("1", "connections")],
            [],
            id="longest-idle-of-those-served",
        ),
        pytest.param(
            [{"phase": "served", "served": each} for each in (1, 7, 2, 1)],
            [],
            ["1"],
            id="most-served-leaves-after-its-answer",
        ),
        pytest.param(
            [
                {"phase": "served", "leaving": True},
                {"phase": "served"},
                {"phase": "served"},
                {"phase": "served"},
            ],
            [("new", "connections")],
            ["0"],
            id="newest-if-others-are-leaving",
        ),
    ],
)
def test_a_connection_over_the_bound_has_another_leave(
    others: list[dict[str, object]],
    left: list[tuple[str, str]],
    leaving: list[str],
) -> None:
    """Guards against silent connections that keep others out."""
    intake = make_intake()
    ended: list[tuple[str, str]] = []
    for number, fields in enumerate(others):
        make_caller(intake, ended, str(number), **fields)
    make_caller(intake, ended, "new", phase="idle", age=0.0)
    assert ended == left
    assert [each.peer for each in intake.callers if each.leaving] == leaving


def test_a_closed_connection_holds_nothing() -> None:
    """Guards against bytes that are counted after their release."""
    intake = make_intake()
    caller = make_caller(intake, [], "0", held=300)
    _intake.remove(intake, caller)
    assert not _intake.charge(intake, caller, 100, NOW)
    assert intake.held == 0


@pytest.mark.parametrize(
    ("quiet", "count"),
    [
        pytest.param(0.5, 1, id="just-come"),
        pytest.param(2.0, 2, id="stalled"),
    ],
)
def test_many_leave_at_once_only_if_they_have_stalled(
    quiet: float, count: int
) -> None:
    """A burst of ordinary callers must not end those who just came."""
    intake = make_intake(connections=64, connections_per_peer=64)
    ended: list[tuple[str, str]] = []
    for number in range(64):
        make_caller(intake, ended, str(number), age=quiet, quiet=quiet)
    make_caller(intake, ended, "new", phase="idle", age=0.0)
    assert len(ended) == count


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        pytest.param({"phase": "idle", "age": 119.0}, None, id="idle"),
        pytest.param({"phase": "idle", "age": 121.0}, "idle", id="too-idle"),
        pytest.param({"phase": "headers", "age": 14.0}, None, id="headers"),
        pytest.param(
            {"phase": "headers", "age": 16.0},
            "headers_late",
            id="headers-late",
        ),
        pytest.param(
            {"phase": "body", "age": 29.0}, None, id="body-in-its-grace"
        ),
        pytest.param(
            {"phase": "body", "age": 90.0, "received": 262_144},
            None,
            id="body-at-its-rate",
        ),
        pytest.param(
            {"phase": "body", "age": 90.0, "received": 200_000},
            "body_late",
            id="body-under-its-rate",
        ),
        pytest.param(
            {"phase": "served", "age": 900.0}, None, id="served-for-long"
        ),
        pytest.param(
            {"phase": "served", "unread_since": NOW - 31.0},
            "unread",
            id="answer-not-read",
        ),
        pytest.param(
            {"phase": "refused", "age": 3.0}, "lingered", id="refused"
        ),
    ],
)
def test_time_limits(fields: dict[str, object], reason: str | None) -> None:
    """Guards against connections that stay for ever, or end too early."""
    intake = make_intake()
    caller = make_caller(intake, [], "a", **fields)
    overdue = _intake.find_overdue(intake, NOW)
    assert overdue == ([(caller, reason)] if reason else [])
    # A process that did not run can't blame its callers.
    _intake.discount_pause(intake, 120.0)
    assert _intake.find_overdue(intake, NOW) == []


@pytest.mark.parametrize(
    ("memory_mb", "max_files", "budget_mb", "connections"),
    [
        pytest.param(96, 400, 4, 100, id="least"),
        pytest.param(160, 1638, 16, 512, id="smallest-machine"),
        pytest.param(160, 3075, 16, 512, id="small-machine"),
        pytest.param(300, 4100, 51, 1632, id="common-machine"),
        pytest.param(552, 8192, 114, 3648, id="large-machine"),
    ],
)
def test_limits_follow_from_the_machine(
    memory_mb: float, max_files: int, budget_mb: int, connections: int
) -> None:
    """Guards against bounds that a machine's memory can't hold."""
    limits = _intake_limits.make_limits(
        _settings.CapacitySettings(memory_mb=memory_mb, max_files=max_files),
        _settings.IntakeSettings(),
    )
    assert limits.budget_bytes == budget_mb * _intake_limits.MEBIBYTE
    assert limits.connections == connections
    assert limits.connections <= (max_files - 200) / 2
