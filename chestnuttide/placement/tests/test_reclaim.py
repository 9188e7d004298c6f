import pytest

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement import _reclaim
from chestnuttide.placement.tests import _builders as builders

_A = builders.amounts
_SIZE = _A(10_000, 10_000)


def _cell(
    samples: int = _reclaim.MIN_SAMPLES, **options: object
) -> tuple[placement.Cell, model.Attempt]:
    """Return a cell whose worker is fully reserved and one fifth used."""
    cell = builders.cell_of({"w": ("a/1", _SIZE)})
    owner = builders.reserve(cell, "w", "owner", _SIZE, **options)
    _report_usage(cell, owner, _A(2_000, 2_000), samples)
    return cell, owner


def _report_usage(
    cell: placement.Cell,
    attempt: model.Attempt,
    usage: model.Resources,
    samples: int = 1,
) -> None:
    for _ in range(samples):
        placement.record_usage(cell, attempt, usage, 1.0)


def _choose(
    cell: placement.Cell,
    need: model.Resources,
    *,
    checkpoint: bool = True,
    throttle: bool = True,
    **options: object,
) -> str | None:
    return placement.choose_reclaimed_worker(
        cell,
        need=need,
        checkpoint=checkpoint,
        throttle=throttle,
        **({"excluded": frozenset(), "now": 1.0} | options),
    )


@pytest.mark.parametrize(
    ("samples", "usage", "cpu"),
    [
        pytest.param(4, None, 0, id="reclaimed_after_too_few_samples"),
        pytest.param(5, None, 6_499, id="margin_is_missing"),
        pytest.param(5, _A(9_000, 9_000), 0, id="rising_usage_is_ignored"),
        pytest.param(5, _A(0, 0), 6_749, id="peak_is_forgotten"),
    ],
)
def test_reclaimable(
    samples: int, usage: model.Resources | None, cpu: int
) -> None:
    cell, owner = _cell(samples)
    if usage is not None:
        _report_usage(cell, owner, usage)
    reclaimable = placement.reclaimable(cell, "w")
    assert reclaimable == _A(cpu, cpu)
    assert placement.free_of(cell, "w") == model.ZERO


@pytest.mark.parametrize(
    ("owner_throttles", "checkpoint", "throttle", "memory", "expected"),
    [
        pytest.param(
            False, True, True, 500, "w", id="interruptible_work_is_refused"
        ),
        pytest.param(
            False,
            False,
            False,
            500,
            None,
            id="uninterruptible_work_is_accepted",
        ),
        pytest.param(
            False,
            True,
            False,
            500,
            None,
            id="unthrottleable_work_exceeds_capacity",
        ),
        pytest.param(
            True,
            True,
            False,
            500,
            "w",
            id="fitting_unthrottleable_work_is_refused",
        ),
        pytest.param(
            False,
            False,
            True,
            500,
            None,
            id="uncheckpointable_memory_exceeds_capacity",
        ),
        pytest.param(
            False, False, True, 0, "w", id="processors_are_not_reclaimed"
        ),
        pytest.param(
            False, True, True, 7_000, None, id="too_much_is_reclaimed"
        ),
    ],
)
def test_choose_reclaimed(
    owner_throttles: bool,
    checkpoint: bool,
    throttle: bool,
    memory: int,
    expected: str | None,
) -> None:
    cell, _owner = _cell(throttle=owner_throttles)
    need = _A(500, memory)
    kind = {"checkpoint": checkpoint, "throttle": throttle}
    assert _choose(cell, need, **kind) == expected
    assert _choose(cell, need, excluded={"w"}, **kind) is None
    if expected is None:
        with pytest.raises(placement.CapacityError):
            builders.reserve(cell, "w", "j", need, reclaimed=True, **kind)
    else:
        builders.reserve(cell, "w", "j", need, reclaimed=True, **kind)
        assert placement.reserved_total(cell) == _SIZE


@pytest.mark.parametrize(
    ("usage", "throttled", "expected"),
    [
        pytest.param(_A(4_000, 9_000), False, [], id="acts_without_need"),
        pytest.param(
            _A(9_000, 2_000),
            False,
            [("second", "throttle")],
            id="both_throttled_where_one_suffices",
        ),
        pytest.param(
            _A(10_000, 2_000),
            False,
            [("second", "throttle"), ("first", "throttle")],
            id="one_throttled_where_both_are_needed",
        ),
        pytest.param(
            _A(2_000, 9_500),
            False,
            [("second", "evict")],
            id="memory_is_throttled",
        ),
        pytest.param(
            _A(9_000, 2_000),
            True,
            [("second", "evict")],
            id="ineffective_throttling_is_repeated",
        ),
    ],
)
def test_overcommitted(
    usage: model.Resources,
    throttled: bool,
    expected: list[tuple[str, str]],
) -> None:
    cell, owner = _cell()
    reclaimed = {
        name: builders.reserve(
            cell,
            "w",
            name,
            _A(1_000, 1_000),
            reclaimed=True,
            throttle=True,
            checkpoint=True,
            started=started,
        )
        for name, started in (("first", 1.0), ("second", 2.0))
    }
    for attempt in reclaimed.values():
        _report_usage(cell, attempt, _A(1_000, 500))
    _report_usage(cell, owner, usage)
    if throttled:
        placement.mark_throttled(cell, reclaimed["second"], throttled=True)
        # Usage reported before the throttling is ignored.
        assert placement.relief_actions(cell) == []
        _report_usage(
            cell,
            reclaimed["second"],
            _A(1_000, 500),
            _reclaim.THROTTLE_SAMPLES,
        )
    assert [
        (relief.attempt.job_id, relief.action.value)
        for relief in placement.relief_actions(cell)
    ] == expected
