import json
import math

import pytest

from bench import _control_cost
from bench import _figures
from bench import _processes
from bench import _request_path


@pytest.mark.parametrize(
    ("values", "q", "expected"),
    [
        pytest.param(
            [3.0], 99, 3.0, id="single_value_is_not_every_percentile"
        ),
        pytest.param(range(1, 101), 99, 99, id="p99_of_100_is_the_maximum"),
        pytest.param(range(1, 102), 99, 100, id="p99_of_101_rounds_down"),
        pytest.param([2, 1], 50, 1, id="unsorted_values_give_no_median"),
        pytest.param([1, 2, 3], 100, 3, id="p100_leaves_out_the_maximum"),
        pytest.param([1, 2, 3], 0, 1, id="p0_is_below_the_minimum"),
    ],
)
def test_percentile(values: object, q: float, expected: float) -> None:
    assert _figures.percentile(values, q) == expected


def test_no_values_have_no_percentile() -> None:
    with pytest.raises(ValueError, match="no values"):
        _figures.percentile([], 50)


@pytest.mark.parametrize(
    ("ours", "target", "higher", "expected"),
    [
        pytest.param(
            1.0, None, False, "", id="figure_without_target_gets_a_verdict"
        ),
        pytest.param(1.0, 1.0, False, "met", id="limit_itself_is_missed"),
        pytest.param(1.1, 1.0, False, "missed", id="above_limit_is_met"),
        pytest.param(0.7, 0.7, True, "met", id="floor_itself_is_missed"),
        pytest.param(0.6, 0.7, True, "missed", id="below_floor_is_met"),
        pytest.param(None, 1.0, False, "missed", id="unmeasured_is_met"),
        pytest.param(math.nan, 1.0, False, "missed", id="nan_is_met"),
        pytest.param(math.inf, 1.0, False, "missed", id="infinity_is_met"),
    ],
)
def test_verdict(
    ours: float | None, target: float | None, higher: bool, expected: str
) -> None:
    figure = _figures.Figure(
        name="f", ours=ours, unit="s", target=target, higher_is_better=higher
    )
    assert _figures.verdict(figure) == expected
    document = json.loads(_figures.to_line(figure))
    assert document.get("verdict", "") == expected
    assert ("MISSED" in _figures.render(figure)) == (expected == "missed")


def test_json_lines_have_the_specified_fields() -> None:
    figure = _figures.from_samples(
        "failover_s",
        [2.0, 1.0, 4.0],
        "s",
        target=3.0,
        baselines={"other": math.inf},
    )
    document = json.loads(_figures.to_line(figure))
    assert document["name"] == "failover_s"
    assert document["ours"] == 2.0
    assert document["baselines"] == {"other": None}
    assert document["target"] == 3.0
    assert document["unit"] == "s"
    assert document["points"] == [2.0, 1.0, 4.0]
    assert document["spread"] == [1.0, 4.0]
    assert {"command", "load"} <= document.keys()


@pytest.mark.parametrize(
    ("points", "slope", "growth"),
    [
        pytest.param(
            [(1, 2), (3, 6)],
            2.0,
            1.0,
            id="linear_points_do_not_grow_by_power_1",
        ),
        pytest.param([(1, 5), (10, 5)], 0.0, 0.0, id="constant_points_grow"),
        pytest.param(
            [(1, 1), (2, 4), (4, 16)],
            36 / 7,
            2.0,
            id="quadratic_points_do_not_grow_by_power_2",
        ),
    ],
)
def test_slopes(points: list, slope: float, growth: float) -> None:
    assert _figures.slope(points) == pytest.approx(slope)
    assert _figures.growth(points) == pytest.approx(growth)


def test_cpu_time_is_parsed_after_name_with_spaces_and_parentheses() -> None:
    fields = ["S", *"0 0 0 0 0 0 0 0 0 0".split(), "150", "50", "9", "9"]
    stat = f"17 (a ) b) {' '.join(fields)}"
    assert _processes.parse_cpu_s(stat) == 200 / _processes._TICKS_PER_S


def test_metrics_are_parsed_with_and_without_labels() -> None:
    text = (
        "# HELP chestnuttide_config_version x\n"
        "chestnuttide_config_version 4\n"
        'chestnuttide_mesh_bytes_total{direction="sent"} 1.5e+3\n'
    )
    assert _processes.parse_metrics(text) == {
        ("chestnuttide_config_version", ""): 4.0,
        ("chestnuttide_mesh_bytes_total", 'direction="sent"'): 1500.0,
    }


def test_ratio_pairs_rounds_and_counts_runners_separately() -> None:
    def make_round(per_cpu_s: float) -> _request_path.Round:
        return _request_path.Round(
            per_cpu_s=per_cpu_s,
            per_cpu_s_with_runners=per_cpu_s / 2 + 100,
            latencies_s=[],
        )

    figures = _request_path.make_figures(
        {
            "ours": [make_round(50), make_round(300)],
            "bare": [make_round(100), make_round(400)],
        },
        {"ours": [0.003], "bare": [0.001]},
    )
    by_name = {each.name: each for each in figures}
    assert by_name["request_path_ratio"].points == [0.5, 0.75]
    assert by_name["request_path_ratio"].ours == 0.625
    whole = by_name["request_path_ratio_with_runners"].points
    assert whole == [round(125 / 150, 4), round(250 / 300, 4)]
    assert by_name["request_added_p99_ms"].ours == pytest.approx(2.0)


def test_control_cost_reports_worst_daemon_and_total_bytes() -> None:
    def make_cost(count: int) -> _control_cost.Cost:
        return _control_cost.Cost(
            instances=count,
            cpu_percent={"scheduler": 1.0, "entry": 0.5},
            cpu_percent_max=2.0 * count,
            rss_mb=70.0,
            mesh_bytes_per_s={"scheduler": 100.0, "entry": 700.0},
            store_bytes_per_s=500.0,
            list_bytes_per_s=200.0,
            store_calls_per_s={"lease_renew": 5.0 * count, "write": 1.0},
            load=1.0,
        )

    figures = _control_cost.make_figures([make_cost(3), make_cost(24)])
    ours = {each.name: each.ours for each in figures}
    assert ours["control_cpu_percent_24"] == 48.0
    assert ours["control_cpu_percent_slope"] == pytest.approx(2.0)
    assert ours["control_bytes_per_s_24"] == 900.0
    assert ours["store_calls_per_s_24"] == 121.0
    assert ours["store_calls_per_s_slope"] == pytest.approx(5.0)


def test_rates_omit_unchanged_counters() -> None:
    rates = _control_cost.counter_rates(
        {"get": 5, "watch": 1}, {"get": 5, "watch": 3, "write": 4}, 2.0
    )
    assert rates == {"watch": 1.0, "write": 2.0}
