import math

import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide import errors
from chestnuttide import queueing


def _item(key: str, **changes: object) -> queueing.QueueItem:
    fields: dict[str, object] = {"key": key, "team": "a"} | changes
    return queueing.QueueItem(**fields)


def _drain(queue: queueing.FairQueue) -> list[str]:
    order = []
    while (item := queueing.pop(queue)) is not None:
        order.append(item.key)
    return order


@pytest.mark.parametrize(
    ("items", "weights", "expected"),
    [
        pytest.param(
            [_item("1"), _item("2", urgent=True)],
            {},
            ["2", "1"],
            id="urgent_item_waits_behind_others",
        ),
        pytest.param(
            [_item("1"), _item("2"), _item("3", team="b")],
            {},
            ["1", "3", "2"],
            id="one_team_is_served_twice_in_a_row",
        ),
        pytest.param(
            [_item(f"a{n}") for n in range(4)]
            + [_item(f"b{n}", team="b") for n in range(2)],
            {"a": 2.0},
            ["a0", "b0", "a1", "a2", "b1", "a3"],
            id="weight_is_ignored",
        ),
        pytest.param(
            [_item("1", expected_s=50.0), _item("2", expected_s=1.0)],
            {},
            ["2", "1"],
            id="short_item_waits_behind_long_item",
        ),
        pytest.param(
            [
                _item("1", expected_s=9999.0),
                _item("2", expected_s=1.0, entered_at=200.0),
            ],
            {},
            ["1", "2"],
            id="long_item_starves_behind_later_short_items",
        ),
    ],
)
def test_order(
    items: list[queueing.QueueItem],
    weights: dict[str, float],
    expected: list[str],
) -> None:
    queue = queueing.FairQueue(limit=100)
    queueing.set_weights(queue, weights)
    for item in items:
        queueing.push(queue, item)
    window = [item.key for item in queueing.candidates(queue, 100)]
    assert window == expected
    assert _drain(queue) == expected


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        pytest.param(
            (1, 0), errors.Reason.QUEUE_FULL, id="queue_is_unbounded"
        ),
        pytest.param(
            (9, 1), errors.Reason.QUOTA_EXCEEDED, id="team_is_unbounded"
        ),
    ],
)
def test_limits(limits: tuple[int, int], reason: errors.Reason) -> None:
    queue = queueing.FairQueue(limit=limits[0])
    queueing.push(queue, _item("1"))
    with pytest.raises(errors.RefusedError) as caught:
        queueing.push(queue, _item("2"), team_limit=limits[1])
    assert caught.value.reason == reason
    queueing.push(queue, _item("2"), forced=True)
    assert len(queue.items) == 2


def test_blocked_team_does_not_hide_others() -> None:
    queue = queueing.FairQueue(limit=100)
    for number in range(50):
        queueing.push(queue, _item(f"a{number}"))
    queueing.push(queue, _item("b", team="b"))
    queueing.block_team(queue, "a")
    assert [item.key for item in queueing.candidates(queue, 1)] == ["b"]
    queueing.push(queue, _item("c"))
    queueing.unblock_team(queue, "a")
    assert len(queueing.candidates(queue, 100)) == 52


def test_blocked_lane_does_not_hide_others() -> None:
    queue = queueing.FairQueue(limit=1000)
    for number in range(500):
        queueing.push(queue, _item(f"l{number}", lane="long"))
    queueing.push(queue, _item("s", lane="short", entered_at=9.0))
    window = queueing.candidates(queue, 1, skipped_lanes={"long"})
    assert [item.key for item in window] == ["s"]


def test_idle_team_accumulates_no_claim() -> None:
    queue = queueing.FairQueue(limit=1000)
    queueing.push(queue, _item("b", team="b"))
    queueing.pop(queue)
    for number in range(100):
        queueing.push(queue, _item(f"a{number:02}"))
    for _ in range(50):
        queueing.pop(queue)
    for number in range(10):
        queueing.push(queue, _item(f"b{number}", team="b"))
    first = [queueing.pop(queue).team for _ in range(10)]
    assert first.count("a") >= 4


def test_cancelled_items_do_not_accumulate_as_tombstones() -> None:
    queue = queueing.FairQueue(limit=100_000)
    for number in range(10_001):
        queueing.push(queue, _item(str(number), deadline=100.0 + number))
    for number in range(10_000):
        queueing.cancel(queue, str(number))
    assert queueing.peek(queue).key == "10000"
    assert len(queue.deadlines) < 100
    assert queueing.expire(queue, math.inf)[0].key == "10000"
    assert not queue.items


def test_only_due_items_expire() -> None:
    queue = queueing.FairQueue(limit=10)
    for key, deadline in (("1", 5.0), ("2", 3.0), ("3", math.inf)):
        queueing.push(queue, _item(key, deadline=deadline))
    queueing.cancel(queue, "2")
    queueing.push(queue, _item("2", deadline=9.0))
    assert [item.key for item in queueing.expire(queue, 5.0)] == ["1"]
    assert _drain(queue) == ["3", "2"]


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["push", "pop", "cancel", "block", "unblock", "expire"]
            ),
            strategies.integers(0, 3),
            strategies.integers(0, 12),
        ),
        max_size=80,
    )
)
def test_no_item_is_lost_or_served_twice(
    steps: list[tuple[str, int, int]],
) -> None:
    queue = queueing.FairQueue(limit=1000)
    waiting: dict[str, queueing.QueueItem] = {}
    blocked: set[str] = set()
    for now, (step, team_number, number) in enumerate(steps):
        team, key = f"t{team_number}", f"k{number}"
        if step == "push" and key not in waiting:
            item = _item(
                key,
                team=team,
                urgent=number % 4 == 0,
                expected_s=float(number),
                entered_at=float(now),
                deadline=now + number * 3.0 if number % 3 else math.inf,
                lane=str(number % 2),
            )
            waiting[key] = item
            queueing.push(queue, item)
        elif step == "pop":
            popped = queueing.pop(queue)
            unblocked = {
                name for name, i in waiting.items() if i.team not in blocked
            }
            assert (popped is None) == (not unblocked)
            if popped is not None:
                assert popped.key in unblocked
                assert popped.urgent or not any(
                    waiting[name].urgent for name in unblocked
                )
                del waiting[popped.key]
        elif step == "cancel":
            assert queueing.cancel(queue, key) == waiting.pop(key, None)
        elif step == "block":
            queueing.block_team(queue, team)
            blocked.add(team)
        elif step == "unblock":
            queueing.unblock_team(queue, team)
            blocked.discard(team)
        elif step == "expire":
            due = {n for n, i in waiting.items() if i.deadline <= now}
            assert {i.key for i in queueing.expire(queue, now)} == due
            for name in due:
                del waiting[name]
        unblocked_keys = {
            name for name, i in waiting.items() if i.team not in blocked
        }
        window = [item.key for item in queueing.candidates(queue, 1000)]
        assert sorted(window) == sorted(unblocked_keys)
        assert sum(queue.lane_counts.values()) == len(waiting)
