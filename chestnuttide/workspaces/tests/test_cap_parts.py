"""Which parts of a cap a service's owner gives to others."""

import cbor2
import pytest

from chestnuttide import errors
from chestnuttide import workspaces


T = workspaces.THOUSANDTH


def _parts(*values: int) -> workspaces.Parts:
    """Return parts from thousandths."""
    cpu, memory, accelerators = (value * T for value in values)
    return cpu, memory, accelerators


def _demand(
    use: int = 0, head: int = 0, waiting: int = 0, waiting_s: float = 0.0
) -> workspaces.Demand:
    return workspaces.Demand(
        use=_parts(*(use,) * 3),
        head=_parts(*(head,) * 3),
        waiting=_parts(*(max(head, waiting),) * 3),
        waiting_s=waiting_s,
    )


@pytest.mark.parametrize(
    ("held", "demands", "given", "bound"),
    [
        pytest.param(
            {"a": 500, "b": 500},
            {"a": _demand(100), "b": _demand(500)},
            0,
            1000,
            id="nobody-waits",
        ),
        pytest.param(
            {"a": 500, "b": 500},
            {"a": _demand(100), "b": _demand(500, 100, 200)},
            375,
            1000,
            id="idle-part-with-headroom",
        ),
        pytest.param(
            {"a": 1000},
            {"a": _demand(0), "b": _demand(0, 1)},
            1000,
            1000,
            id="all-to-the-only-one-that-wants",
        ),
        pytest.param(
            {"a": 1000},
            {"a": _demand(1000), "b": _demand(0, 30, 500, 1.0)},
            0,
            659,
            id="full-giver-starts-nothing-over-its-target",
        ),
        pytest.param(
            {"a": 1000},
            {"a": _demand(900, 10, 500), "b": _demand(0, 30, 500, 1.0)},
            100,
            659,
            id="gives-what-becomes-free",
        ),
        pytest.param(
            {"a": 700, "b": 300},
            {
                "a": _demand(300, 400, 400, 1.0),
                "b": _demand(0, 400, 400, 0.5),
            },
            0,
            1000,
            id="oldest-gang-keeps-its-room",
        ),
        pytest.param(
            {"a": 700, "b": 300},
            {
                "a": _demand(300, 400, 400, 0.5),
                "b": _demand(0, 400, 400, 1.0),
            },
            100,
            600,
            id="oldest-gang-gets-its-room",
        ),
        pytest.param(
            {"a": 636, "b": 364},
            {
                "a": _demand(300, 400, 400, 13.0),
                "b": _demand(0, 400, 400, 13.0),
            },
            0,
            1000,
            id="window-of-the-oldest-is-over",
        ),
        pytest.param(
            {"a": 500, "b": 500},
            {"a": _demand(100)},
            0,
            1000,
            id="other-owner-is-not-known",
        ),
        pytest.param(
            {"a": 500, "b": 100, "c": 400},
            {"a": _demand(0), "b": _demand(100, 100, 100)},
            233,
            1000,
            id="unknown-third-keeps-what-it-holds",
        ),
        pytest.param(
            {"a": 1000},
            {"a": _demand(1200), "b": _demand(0, 100)},
            0,
            909,
            id="use-above-a-lowered-cap",
        ),
    ],
)
def test_decision(
    held: dict[str, int],
    demands: dict[str, workspaces.Demand],
    given: int,
    bound: int,
) -> None:
    """Idle parts go where something waits; a shortage is split by demand."""
    row = {name: _parts(*(part,) * 3) for name, part in held.items()}
    decision = workspaces.decide("a", row, demands)
    assert sum(gift[0] for gift in decision.gifts.values()) // T == given
    assert workspaces.thousandths(decision.bound) == (bound,) * 3
    after = workspaces.give(
        workspaces.CapParts(rows={"w": row}), "a", {"w": decision.gifts}
    )
    total = sum(part[0] for part in after.rows["w"].values())
    assert total == sum(held.values()) * T


def test_resources_are_given_apart() -> None:
    """One service may use the processors of a cap, one the accelerators."""
    row = {"a": _parts(500, 500, 500), "b": _parts(500, 500, 500)}
    demands = {
        "a": workspaces.Demand(
            use=_parts(450, 100, 0), waiting=_parts(400, 0, 0)
        ),
        "b": workspaces.Demand(
            use=_parts(50, 100, 450),
            head=_parts(10, 0, 400),
            waiting=_parts(10, 0, 400),
        ),
    }
    decision = workspaces.decide("a", row, demands)
    assert decision.gifts == {"b": _parts(0, 0, 500)}


def test_rows_are_created_once_and_evenly() -> None:
    """A row that exists is never split anew: its parts may be in use."""
    parts = workspaces.CapParts(rows={"v": {"a": _parts(1000, 1000, 1000)}})
    created = workspaces.create_rows(parts, ["v", "w"], ["c", "a", "b"])
    assert created.rows["v"] == parts.rows["v"]
    assert created.rows["w"] == {
        "a": _parts(334, 334, 334),
        "b": _parts(333, 333, 333),
        "c": _parts(333, 333, 333),
    }
    again = workspaces.decode_parts(workspaces.encode_parts(created), 7)
    assert (again.rows, again.revision) == (created.rows, 7)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff", id="not-cbor"),
        pytest.param(cbor2.dumps([1]), id="no-rows"),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", 600, 0, 0], ["b", 500, 0, 0]]]]]),
            id="more-than-a-cap",
        ),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", -1, 0, 0]]]]]), id="negative"
        ),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", 0.5, 0, 0]]]]]), id="fraction"
        ),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", 1, 2, 3, [T, 0, 0]]]]]]),
            id="rest-above-a-thousandth",
        ),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", 1, 2, 3, [0, -1, 0]]]]]]),
            id="negative-rest",
        ),
        pytest.param(
            cbor2.dumps([1, [["w", [["a", 1, 2, 3, [0, 0]]]]]]),
            id="rest-of-two-resources",
        ),
        pytest.param(
            cbor2.dumps(
                [1, [["w", [["a", 600, 0, 0, [1, 0, 0]], ["b", 400, 0, 0]]]]]
            ),
            id="more-than-a-cap-by-the-rest",
        ),
    ],
)
def test_unreadable_records_are_refused(value: bytes) -> None:
    """A record that is not whole must never allow anything."""
    with (
        pytest.raises(errors.ProtocolError),
        errors.decoding("The record", "Repair it."),
    ):
        workspaces.decode_parts(value, 1)


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        pytest.param([1, 2, 3], _parts(1, 2, 3), id="former-release"),
        pytest.param(
            [1, 2, 3, [4, 0, 5]],
            (T + 4, 2 * T, 3 * T + 5),
            id="this-release",
        ),
        pytest.param(
            [1, 2, 3, [0, 0, 0], "new"], _parts(1, 2, 3), id="later-release"
        ),
    ],
)
def test_records_of_other_releases(
    held: list[object], expected: workspaces.Parts
) -> None:
    """Guards against a record that stops owners while releases mix."""
    value = cbor2.dumps([2, [["w", [["a", *held]]]], "new"])
    parts = workspaces.decode_parts(value, 1)
    assert parts.rows == {"w": {"a": expected}}


def test_a_former_release_reads_thousandths() -> None:
    """Guards against a former release that allows more than its part."""
    parts = workspaces.CapParts(rows={"w": {"a": (T + 4, 2 * T, 3 * T - 1)}})
    _, rows = cbor2.loads(workspaces.encode_parts(parts))
    assert rows == [["w", [["a", 1, 2, 2, [4, 0, T - 1]]]]]
