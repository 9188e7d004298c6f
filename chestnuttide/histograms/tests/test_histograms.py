"""Histograms with decaying weights and lower bounds."""

import pytest

from chestnuttide import histograms


def _make(*values: float) -> histograms.Histogram:
    histogram = histograms.Histogram()
    for value in values:
        histograms.add_sample(histogram, value)
    return histogram


@pytest.mark.parametrize(
    ("ended", "under_way", "median"),
    [
        pytest.param([1, 1, 1, 1], [], 1.0, id="ended-only"),
        pytest.param([1, 1, 1, 1], [0.5] * 9, 1.0, id="bounds-below"),
        pytest.param([1, 1, 8, 8, 8], [2.0] * 6, 8.0, id="bounds-between"),
        pytest.param([1, 1], [5.0] * 9, 5.0, id="most-beyond"),
        pytest.param([], [2.0, 3.0, 9.0], 3.0, id="none-ended"),
    ],
)
def test_runs_under_way_count_towards_longer_ones(
    ended: list[float], under_way: list[float], median: float
) -> None:
    """Guards against long tasks that are learned only once they end."""
    (value,) = histograms.quantiles(
        _make(*ended), (0.5,), lower_bounds=[(each, 1.0) for each in under_way]
    )
    assert value == pytest.approx(median, rel=0.06)


def test_samples_that_share_a_weight_count_as_one() -> None:
    """Guards against a job of many tasks that outweighs all others."""
    histogram = _make(1, 1, 1)
    for _ in range(100):
        histograms.add_sample(histogram, 50.0, weight=0.01)
    assert histogram.samples == pytest.approx(4.0)
    assert histograms.quantiles(histogram, (0.5,))[0] == pytest.approx(1.0)


def test_a_histogram_survives_its_dump() -> None:
    """Guards against a snapshot that changes quantiles."""
    histogram = _make(1, 2, 3, 4, 50)
    loaded = histograms.load_histogram(histograms.dump_histogram(histogram))
    shares = (0.1, 0.5, 0.9)
    assert histograms.quantiles(loaded, shares) == pytest.approx(
        histograms.quantiles(histogram, shares)
    )
