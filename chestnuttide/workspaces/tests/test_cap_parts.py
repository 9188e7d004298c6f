"""Which parts of a cap a service's owner gives to others."""

import cbor2
import pytest

from chestnuttide import errors
from chestnuttide import workspaces


def _demand(
    use: int = 0, head: int = 0, waiting: int = 0, waiting_s: float = 0.0
) -> workspaces.Demand:
    return workspaces.Demand(
        use=(use,) * 3,
        head=(head,) * 3,
        waiting=(max(head, waiting),) * 3,
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
    row = {name: (part,) * 3 for name, part in held.items()}
    decision = workspaces.decide("a", row, demands)
    assert sum(gift[0] for gift in decision.gifts.values()) == given
    assert decision.bound == (bound,) * 3
    after = workspaces.give(
        workspaces.CapParts(rows={"w": row}), "a", {"w": decision.gifts}
    )
    total = sum(part[0] for part in after.rows["w"].values())
    assert total == sum(held.values())


def test_resources_are_given_apart() -> None:
    """One service may use the processors of a cap, one the accelerators."""
    row = {"a": (500, 500, 500), "b": (500, 500, 500)}
    demands = {
        "a": workspaces.Demand(use=(450, 100, 0), waiting=(400, 0, 0)),
        "b": workspaces.Demand(
            use=(50, 100, 450), head=(10, 0, 400), waiting=(10, 0, 400)
        ),
    }
    decision = workspaces.decide("a", row, demands)
    assert decision.gifts == {"b": (0, 0, 500)}


def test_rows_are_created_once_and_evenly() -> None:
    """A row that exists is never split anew: its parts may be in use."""
    parts = workspaces.CapParts(rows={"v": {"a": (1000, 1000, 1000)}})
    created = workspaces.create_rows(parts, ["v", "w"], ["c", "a", "b"])
    assert created.rows["v"] == parts.rows["v"]
    assert created.rows["w"] == {
        "a": (334,) * 3,
        "b": (333,) * 3,
        "c": (333,) * 3,
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
    ],
)
def test_unreadable_records_are_refused(value: bytes) -> None:
    """A record that is not whole must never allow anything."""
    with (
        pytest.raises(errors.ProtocolError),
        errors.decoding("The record", "Repair it."),
    ):
        workspaces.decode_parts(value, 1)


def test_later_releases_may_append_fields() -> None:
    """Owners of this release read records of the next one."""
    value = cbor2.dumps([2, [["w", [["a", 1, 2, 3, "new"]]]], "new"])
    parts = workspaces.decode_parts(value, 1)
    assert parts.rows == {"w": {"a": (1, 2, 3)}}
