import pytest

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement.tests import _builders as builders

_A = builders.amounts


@pytest.mark.parametrize(
    ("capacities", "need", "expected"),
    [
        pytest.param(
            {"big": _A(9_000, 9_000), "near": _A(3_000, 9_000)},
            _A(2_000, 100),
            "near",
            id="large_worker_is_fragmented",
        ),
        pytest.param(
            {"cpu": _A(8_000, 2_100), "memory": _A(4_000, 8_000)},
            _A(100, 2_000),
            "cpu",
            id="scarcest_dimension_is_ignored",
        ),
        pytest.param(
            {"acc": _A(2_000, 2_000, 4), "plain": _A(9_000, 9_000)},
            _A(2_000, 2_000),
            "plain",
            id="accelerator_worker_is_wasted",
        ),
        pytest.param(
            {"acc": _A(9_000, 9_000, 4), "plain": _A(1_000, 9_000)},
            _A(2_000, 2_000),
            "acc",
            id="accelerator_worker_is_never_used",
        ),
        pytest.param(
            {"four": _A(9_000, 9_000, 4), "two": _A(9_000, 9_000, 2)},
            _A(1_000, 1_000, 2),
            "two",
            id="accelerators_are_fragmented",
        ),
        pytest.param(
            {"cpu": _A(9_000, 1_000), "memory": _A(1_000, 9_000)},
            _A(2_000, 2_000),
            None,
            id="capacities_of_two_workers_are_combined",
        ),
        pytest.param({}, model.ZERO, None, id="empty_cell_fails"),
    ],
)
def test_best_fit(
    capacities: dict[str, model.Resources],
    need: model.Resources,
    expected: str | None,
) -> None:
    cell = builders.cell_of(
        {name: ("a/1", size) for name, size in capacities.items()}
    )
    assert builders.choose(cell, need) == expected
    excluded = set(capacities)
    assert builders.choose(cell, need, excluded=excluded) is None


_SPREAD = {
    "a1x": ("a/1", _A(4_000, 4_000)),
    "a1y": ("a/1", _A(8_000, 4_000)),
    "a2": ("a/2", _A(4_000, 4_000)),
    "b1": ("b/1", _A(4_000, 4_000)),
}


@pytest.mark.parametrize(
    ("running", "need", "expected"),
    [
        pytest.param([], _A(1_000), "a1y", id="busiest_worker_is_chosen"),
        pytest.param(
            ["a1y"], _A(1_000), "b1", id="same_data_centre_is_chosen_again"
        ),
        pytest.param(
            ["a1y", "b1"], _A(1_000), "a2", id="same_rack_is_chosen_again"
        ),
        pytest.param(
            ["a1y", "b1", "a2", "b1"],
            _A(1_000),
            "a1x",
            id="same_worker_is_chosen_again",
        ),
        pytest.param(
            ["a1y"], _A(5_000), "a1y", id="full_data_centre_blocks_placement"
        ),
        pytest.param(["a1y"], _A(9_000), None, id="oversized_task_is_placed"),
    ],
)
def test_spread(
    running: list[str], need: model.Resources, expected: str | None
) -> None:
    cell = builders.cell_of(_SPREAD)
    counts = placement.count_spread(cell, running)
    assert (
        builders.choose(cell, need, spread=True, spread_counts=counts)
        == expected
    )


@pytest.mark.parametrize(
    ("need", "count"),
    [
        pytest.param(_A(4_000, 4_000), 4, id="memory_is_ignored"),
        pytest.param(_A(2_000, 1_000), 10, id="capacities_are_not_summed"),
        pytest.param(_A(8_000, 4_000), 1, id="largest_task_is_refused"),
        pytest.param(_A(8_001, 4_000), 0, id="oversized_task_waits_forever"),
        pytest.param(_A(1, 1, 1), 0, id="missing_accelerator_waits_forever"),
    ],
)
def test_capacity_of_empty_cell(need: model.Resources, count: int) -> None:
    cell = builders.cell_of(_SPREAD)
    # Running work must not affect the result.
    builders.reserve(cell, "a1y", "j", _A(8_000, 4_000))
    assert placement.largest_worker_fits(cell, need) is (count > 0)
    assert placement.gang_capacity(cell, need) == count
