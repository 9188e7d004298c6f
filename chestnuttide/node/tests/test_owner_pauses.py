"""Pauses of the owner's planning."""

import pytest

from chestnuttide.node import _owner


@pytest.mark.parametrize("planned_s", [0.005, 0.02, 0.09, 0.2])
def test_planning_leaves_half_of_the_processor(planned_s: float) -> None:
    """Guards against planning that keeps commands and polls waiting.

    A round of any length was followed by a pause of 50 ms at most.
    """
    assert _owner.plan_pause_s(planned_s) >= planned_s


def test_a_long_round_does_not_end_planning() -> None:
    """Guards against a pause for as long as a process was stopped."""
    assert _owner.plan_pause_s(30.0) <= 0.25
