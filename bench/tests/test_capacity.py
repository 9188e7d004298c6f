import pytest

from bench import capacity


def test_page_is_up_to_date() -> None:
    """Guards against a page that does not match the committed figures."""
    assert capacity.main(["--check"]) == 0, "run python -m bench.capacity"


@pytest.mark.parametrize(
    ("points", "line"),
    [
        pytest.param(
            [[1, 2], [3, 6]], (0, 2), id="line_through_two_points_misses_them"
        ),
        pytest.param(
            [[3, 5], [8, 5], [24, 5]], (5, 0), id="constant_points_get_a_slope"
        ),
        pytest.param(
            [[0, 0], [1, 2], [2, 1]],
            (0.5, 0.5),
            id="scattered_points_are_not_averaged",
        ),
    ],
)
def test_fit_line(points: list, line: tuple) -> None:
    assert capacity.fit_line(points) == pytest.approx(line)


def test_missed_limit_states_the_excess() -> None:
    figures = {
        f"{name}_24": {"points": [[3, 1], [8, 1], [24, 1]]}
        for name, *_ in capacity.LIMITS
    }
    figures["control_cpu_percent_24"] = {"points": [[0, 0], [75, 5.7]]}
    rows = capacity.make_control_table(figures, capacity.Target())
    assert "missed by 2 " in rows[2]
    assert all("met" in row for row in rows[3:])
