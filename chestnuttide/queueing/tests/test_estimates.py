import pytest

from chestnuttide import queueing


@pytest.mark.parametrize(
    ("runs", "declared", "expected_s", "learned"),
    [
        pytest.param([], 0.0, 10.0, False, id="unknown_class_fails"),
        pytest.param([], 4.0, 4.0, False, id="declared_time_is_ignored"),
        pytest.param(
            [(8.0, 4.0)] * 3,
            10.0,
            20.0,
            False,
            id="declared_time_is_not_corrected",
        ),
        pytest.param(
            [(2.0, 100.0)] * 20,
            100.0,
            2.0,
            True,
            id="declared_time_overrides_learned",
        ),
        pytest.param(
            ([(1.0, 1.0)] * 19 + [(50.0, 1.0)]) * 20,
            1.0,
            1.0,
            True,
            id="stragglers_shift_the_median",
        ),
        pytest.param(
            [(1.0, 1.0)] * 3000 + [(7.0, 1.0)] * 300,
            1.0,
            7.0,
            True,
            id="change_of_run_time_is_never_learned",
        ),
    ],
)
def test_estimated_run_time(
    runs: list[tuple[float, float]],
    declared: float,
    expected_s: float,
    learned: bool,
) -> None:
    estimates = queueing.Estimates()
    for run_s, declared_s in runs:
        queueing.record_run_time(estimates, "c", run_s, declared_s)
    estimate = queueing.estimate_run_time(estimates, "c", declared)
    assert estimate.median_s == pytest.approx(expected_s, rel=0.06)
    assert estimate.learned == learned


def test_five_percent_stragglers_do_not_shift_p90() -> None:
    estimates = queueing.Estimates()
    for number in range(1000):
        run_s = 50.0 if number % 20 == 0 else 1.0
        queueing.record_run_time(estimates, "c", run_s)
    estimate = queueing.estimate_run_time(estimates, "c")
    assert estimate.p90_s == pytest.approx(1.0, rel=0.06)
