import collections

import pytest

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement.tests import _builders as builders

_A = builders.amounts
_WORKERS = {
    "a1x": ("a/1", _A(4_000, 4_000)),
    "a1y": ("a/1", _A(4_000, 4_000)),
    "a2": ("a/2", _A(4_000, 4_000)),
    "b1": ("b/1", _A(4_000, 4_000)),
}


@pytest.mark.parametrize(
    ("count", "spread", "expected"),
    [
        pytest.param(4, False, [4], id="packed_gang_is_scattered"),
        pytest.param(6, False, [2, 4], id="second_worker_is_missed"),
        pytest.param(4, True, [1, 1, 2], id="spread_gang_is_packed"),
        pytest.param(
            16, True, [4, 4, 4, 4], id="spread_over_full_capacity_is_refused"
        ),
        pytest.param(17, False, None, id="part_of_a_gang_is_placed"),
        pytest.param(17, True, None, id="part_of_a_spread_gang_is_placed"),
    ],
)
def test_choose_gang(
    count: int, spread: bool, expected: list[int] | None
) -> None:
    cell = builders.cell_of(_WORKERS)
    chosen = placement.choose_gang(
        cell,
        need=_A(1_000, 1_000),
        count=count,
        spread=spread,
        excluded=frozenset(),
        now=0.0,
    )
    if expected is None:
        assert chosen is None
    else:
        assert sorted(collections.Counter(chosen).values()) == expected
    assert placement.reserved_total(cell) == model.ZERO


def _busy_cell() -> placement.Cell:
    """Return a full cell; its tasks end at 10.5, 20, 30 and never."""
    cell = builders.cell_of(_WORKERS)
    for name, end in (
        ("a1x", 10.5),
        ("a1y", 20.0),
        ("a2", 30.0),
        ("b1", float("inf")),
    ):
        builders.reserve(cell, name, name, _A(4_000), expected_end=end)
    return cell


@pytest.mark.parametrize(
    ("count", "now", "limit_s", "starts_at"),
    [
        pytest.param(1, 0.0, 30.0, 10.5, id="first_expected_end_is_missed"),
        pytest.param(1, 10.25, 30.0, 10.5, id="end_in_this_second_is_missed"),
        pytest.param(5, 0.0, 30.0, 20.0, id="freed_capacity_is_not_summed"),
        pytest.param(12, 0.0, 30.0, 30.0, id="end_at_the_limit_is_missed"),
        pytest.param(9, 0.0, 29.0, None, id="limit_is_ignored"),
        pytest.param(13, 0.0, 99.0, None, id="service_is_assumed_to_end"),
        pytest.param(9, 15.0, 99.0, None, id="overdue_task_is_assumed_to_end"),
        pytest.param(8, 15.0, 99.0, 30.0, id="later_ends_are_missed"),
    ],
)
def test_plan(
    count: int, now: float, limit_s: float, starts_at: float | None
) -> None:
    plan = placement.plan_gang_reservation(
        _busy_cell(),
        need=_A(1_000, 1_000),
        count=count,
        now=now,
        limit_s=limit_s,
    )
    if starts_at is None:
        assert plan is None
    else:
        assert plan.starts_at == starts_at
        assert len(plan.worker_ids) == count
        assert "b1" not in plan.worker_ids
        assert plan.expires_at == now + limit_s


@pytest.mark.parametrize(
    ("run_s", "now", "expected"),
    [
        pytest.param(None, 0.0, None, id="unknown_run_time_delays_gang"),
        pytest.param(10.5, 0.0, None, id="long_task_delays_gang"),
        pytest.param(10.0, 0.0, "a1x", id="backfill_is_refused"),
        pytest.param(10.0, 1.0, None, id="late_backfill_delays_gang"),
        pytest.param(None, 30.0, "a1x", id="reservation_outlives_its_limit"),
    ],
)
def test_backfill(
    run_s: float | None, now: float, expected: str | None
) -> None:
    cell = builders.cell_of({"a1x": ("a/1", _A(4_000, 4_000))})
    builders.reserve(cell, "a1x", "short", _A(1_000), expected_end=10.0)
    plan = placement.plan_gang_reservation(
        cell, need=_A(2_000), count=2, now=0.0, limit_s=30.0
    )
    placement.reserve_for_gang(cell, plan=plan, key="gang", now=0.0)
    assert (
        builders.choose(cell, _A(1_000), now=now, expected_run_s=run_s)
        == expected
    )


# Guards against two gang reservations at once, a gang that cannot use its own
# reservation, and workers that stay reserved after its release.
def test_gang_reservation_is_exclusive() -> None:
    cell = _busy_cell()
    options = {"need": _A(1_000, 1_000), "count": 1, "now": 0.0}
    plan = placement.plan_gang_reservation(cell, limit_s=30.0, **options)
    placement.reserve_for_gang(cell, plan=plan, key="gang", now=0.0)
    with pytest.raises(placement.GangReservationConflictError):
        placement.reserve_for_gang(cell, plan=plan, key="other", now=0.0)
    placement.reserve_for_gang(cell, plan=plan, key="gang", now=0.0)
    placement.release(cell, builders.attempt("a1x"))
    options |= {"spread": False, "excluded": frozenset()}
    assert placement.choose_gang(cell, **options) is None
    assert placement.choose_gang(cell, use_reservation=True, **options) == [
        "a1x"
    ]
    assert builders.choose(cell, _A(1_000)) is None
    assert placement.release_gang_reservation(cell) == "gang"
    assert placement.reserved_gang_key(cell) is None
    assert builders.choose(cell, _A(1_000)) == "a1x"
