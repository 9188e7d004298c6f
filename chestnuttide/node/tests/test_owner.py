"""Loops of an owner."""

import pytest

from chestnuttide.node import _owner


@pytest.mark.parametrize(
    ("planned_s", "pause_s"),
    [
        pytest.param(0.002, 0.002, id="short-round"),
        pytest.param(0.3, 0.3, id="many-workers-on-a-small-instance"),
        pytest.param(4.0, 0.5, id="process-was-paused"),
    ],
)
def test_planning_leaves_as_much_time_as_it_takes(
    planned_s: float, pause_s: float
) -> None:
    """Guards against rounds that leave no time for polls and the lease."""
    assert _owner.plan_pause_s(planned_s) == pause_s
