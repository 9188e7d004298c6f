import random

import pytest

from chestnuttide import config
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide import workspaces


@pytest.mark.parametrize(
    ("limits", "amount", "allowed"),
    [
        pytest.param({}, (9, 9, 9), True, id="zero_is_taken_as_a_limit"),
        pytest.param(
            {"cpu_millis": 10},
            (5, 0, 0),
            True,
            id="amount_at_the_limit_is_refused",
        ),
        pytest.param({"cpu_millis": 10}, (6, 0, 0), False, id="cpu_unchecked"),
        pytest.param(
            {"memory_mb": 10}, (0, 6, 0), False, id="memory_unchecked"
        ),
        pytest.param(
            {"accelerators": 10}, (0, 0, 6), False, id="accelerators_unchecked"
        ),
    ],
)
def test_quota(
    limits: dict[str, int], amount: tuple[int, int, int], allowed: bool
) -> None:
    quota = workspaces.QuotaState()
    used = model.Resources(cpu_millis=5, memory_mb=5, accelerators=5)
    need = model.Resources(
        cpu_millis=amount[0], memory_mb=amount[1], accelerators=amount[2]
    )
    team = config.TeamConfig(**limits)
    workspaces.acquire(quota, "a", used)
    assert workspaces.allows(quota, "a", team, need) == allowed
    assert workspaces.could_ever_allow(team, need)
    workspaces.release(quota, "a", used)
    assert not quota.used
    assert workspaces.allows(quota, "a", team, need)


@pytest.mark.parametrize(
    ("requests", "tries", "seconds", "expected"),
    [
        pytest.param(0, 100, 0.0, 10, id="minimum_rate_is_missing"),
        pytest.param(200, 100, 0.0, 30, id="share_of_requests_is_missing"),
        pytest.param(10**5, 1000, 0.0, 110, id="quiet_period_accumulates"),
        pytest.param(0, 100, 5.5, 15, id="minimum_rate_is_not_refilled"),
    ],
)
def test_retry_budget(
    requests: int, tries: int, seconds: float, expected: int
) -> None:
    budget = queueing.RetryBudget(ratio=0.1, floor_per_s=1.0)
    for _ in range(requests):
        queueing.record_request(budget)
    allowed = 0
    for number in range(tries):
        now = seconds * number / max(1, tries - 1)
        allowed += queueing.take_retry(budget, now)
    assert allowed == expected


@pytest.mark.parametrize(
    ("failures", "low_s", "high_s"),
    [
        pytest.param(1, 0.66, 1.34, id="first_delay_is_off"),
        pytest.param(3, 2.6, 5.4, id="no_doubling"),
        pytest.param(10_000, 5.0, 10.0, id="no_limit_or_overflow"),
    ],
)
def test_backoff(failures: int, low_s: float, high_s: float) -> None:
    rng = random.Random(1)
    delays = [
        queueing.delay_s(failures, rng, base_s=1.0, limit_s=10.0)
        for _ in range(100)
    ]
    assert low_s <= min(delays) <= max(delays) <= high_s
    assert len(set(delays)) == 100
