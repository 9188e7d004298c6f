"""Loops of an owner."""

import pytest

from chestnuttide.node import _owner


@pytest.mark.parametrize(
    ("planned_s", "pause_s"),
    [
        pytest.param(0.005, 0.005, id="short-round"),
        pytest.param(0.02, 0.02, id="many-jobs"),
        pytest.param(0.09, 0.09, id="small-instance"),
        pytest.param(0.2, 0.2, id="many-workers"),
        pytest.param(0.3, 0.3, id="many-workers-on-a-small-instance"),
        pytest.param(30.0, 0.5, id="process-was-paused"),
    ],
)
def test_planning_leaves_as_much_time_as_it_takes(
    planned_s: float, pause_s: float
) -> None:
    """Guards against rounds that leave no time for polls and the lease."""
    assert _owner.plan_pause_s(planned_s) == pause_s
