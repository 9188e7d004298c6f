"""What a planning round may start under a workspace's cap."""

import pytest

from chestnuttide import model
from chestnuttide import workspaces


def _cpu(millis: int, accelerators: int = 0) -> model.Resources:
    return model.Resources(cpu_millis=millis, accelerators=accelerators)


def _round(
    used: model.Resources,
    *,
    parts: workspaces.Parts = (1000, 1000, 1000),
    cap: model.Resources = _cpu(1000, 8),
    keeping: bool = False,
) -> workspaces.Round:
    round_ = workspaces.Round(
        allowances={
            "w": workspaces.Allowance(
                cap=cap,
                limit=workspaces.limit_of(
                    cap,
                    tuple(part * workspaces.THOUSANDTH for part in parts),
                ),
                keeping=keeping,
            )
        }
    )
    workspaces.acquire(round_.usage, "w", used)
    return round_


@pytest.mark.parametrize(
    ("used", "parts", "need", "count", "expected"),
    [
        pytest.param(_cpu(0), (1000,) * 3, _cpu(1000), 1, True, id="all"),
        pytest.param(_cpu(1), (1000,) * 3, _cpu(1000), 1, False, id="over"),
        pytest.param(_cpu(0), (499,) * 3, _cpu(500), 1, False, id="part"),
        pytest.param(_cpu(0), (0, 0, 0), _cpu(1), 1, False, id="no-part"),
        pytest.param(
            _cpu(0), (1000, 0, 0), _cpu(9), 1, True, id="other-parts-unused"
        ),
        pytest.param(
            _cpu(0), (1000, 0, 499), _cpu(9, 4), 1, False, id="accelerators"
        ),
        pytest.param(
            _cpu(0), (1000,) * 3, _cpu(501), 2, True, id="gang-a-bit-over-cap"
        ),
        pytest.param(
            _cpu(1), (1000,) * 3, _cpu(501), 2, False, id="beside-another-run"
        ),
        pytest.param(
            _cpu(0), (1000,) * 3, _cpu(501), 3, False, id="gang-over-cap"
        ),
        pytest.param(
            _cpu(0), (1000,) * 3, _cpu(100), 11, True, id="within-overshoot"
        ),
        pytest.param(
            _cpu(0), (1000,) * 3, _cpu(50), 23, False, id="over-overshoot"
        ),
        pytest.param(
            _cpu(1),
            (1000,) * 3,
            _cpu(100),
            11,
            False,
            id="overshoot-not-alone",
        ),
        pytest.param(
            _cpu(0), (999,) * 3, _cpu(100), 11, False, id="overshoot-of-a-part"
        ),
        pytest.param(
            _cpu(0), (1000,) * 3, _cpu(5000), 1, True, id="task-over-cap"
        ),
        pytest.param(
            _cpu(0), (999,) * 3, _cpu(5000), 1, False, id="of-a-part"
        ),
        pytest.param(
            _cpu(0, 9), (1000,) * 3, _cpu(1), 1, False, id="cap-was-lowered"
        ),
    ],
)
def test_only_what_fits_the_part_starts(
    used: model.Resources,
    parts: workspaces.Parts,
    need: model.Resources,
    count: int,
    expected: bool,
) -> None:
    """A start must not bring a workspace above its part of the cap."""
    round_ = _round(used, parts=parts)
    assert workspaces.may_start(round_, "w", need, count, "u") is expected
    assert ("w" in round_.put_off) is not expected


def test_workspaces_without_cap_start_all() -> None:
    """Jobs without a workspace and dimensions without a cap have no limit."""
    round_ = _round(_cpu(0), cap=_cpu(0, 2))
    assert workspaces.may_start(round_, "", _cpu(9999, 99), 1, "u")
    assert workspaces.may_start(round_, "x", _cpu(9999, 99), 1, "u")
    assert workspaces.may_start(round_, "w", _cpu(9999, 2), 1, "u")


@pytest.mark.parametrize("keeping", [False, True])
def test_small_units_pass_a_gang_only_outside_its_window(
    keeping: bool,
) -> None:
    """A gang must not starve behind small units of its own workspace."""
    round_ = _round(_cpu(600), keeping=keeping)
    assert not workspaces.may_start(round_, "w", _cpu(100), 5, "gang")
    small = workspaces.may_start(round_, "w", _cpu(100), 1, "small")
    assert small is not keeping
    assert round_.put_off["w"].head == _cpu(500)
    assert round_.put_off["w"].head_key == "gang"


@pytest.mark.parametrize(
    ("used", "waiting_s", "expected"),
    [
        pytest.param(500, 1.9, False, id="short-wait"),
        pytest.param(500, 2.0, True, id="half-used"),
        pytest.param(499, 5.0, False, id="less-than-half-used"),
        pytest.param(900, 12.0, False, id="window-is-over"),
        pytest.param(900, 22.0, True, id="next-window"),
    ],
)
def test_room_is_kept_within_bounds(
    used: int, waiting_s: float, expected: bool
) -> None:
    """A unit that never fits must not hold room idle for ever."""
    assert (
        workspaces.keeps_room(_cpu(1000, 8), _cpu(used), waiting_s) is expected
    )


@pytest.mark.parametrize("amount", [0, 1, 333, 334, 999, 1000])
def test_parts_for_an_amount_allow_it(amount: int) -> None:
    """Rounding must not leave an owner just short of what it was given."""
    cap = _cpu(1000, 7)
    need = _cpu(amount, amount * 7 // 1000)
    limit = workspaces.limit_of(cap, workspaces.parts_for(cap, need))
    assert model.fits(need, limit)
