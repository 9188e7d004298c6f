"""Retry budget: a share of the requests, plus a minimum rate."""

import attrs

# Limits of the accumulated credit, in seconds of the minimum rate and in
# requests, so that a quiet period does not permit a storm of retries.
FLOOR_WINDOW_S = 10.0
SHARE_WINDOW_REQUESTS = 1_000


@attrs.define(kw_only=True)
class RetryBudget:
    """Retries that may still be made.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    floor_per_s : float
        Retries per second that are allowed even without requests.
    request_credit : float
        Retries earned by requests.
    floor_credit : float
        Retries earned by the minimum rate.
    updated_at : float
        Time of the last update of `floor_credit`, in seconds.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    request_credit: float = 0.0
    floor_credit: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.floor_per_s * FLOOR_WINDOW_S, takes_self=True
        )
    )
    updated_at: float = 0.0


def record_request(budget: RetryBudget) -> None:
    """Add the credit that a first attempt of a request earns."""
    max_credit = max(1.0, SHARE_WINDOW_REQUESTS * budget.ratio)
    budget.request_credit = min(
        budget.request_credit + budget.ratio, max_credit
    )


def take_retry(budget: RetryBudget, now: float) -> bool:
    """Return whether a retry is allowed, and deduct it if so."""
    elapsed_s = max(0.0, now - budget.updated_at)
    budget.updated_at = max(budget.updated_at, now)
    budget.floor_credit = min(
        budget.floor_credit + elapsed_s * budget.floor_per_s,
        max(1.0, budget.floor_per_s * FLOOR_WINDOW_S),
    )
    if budget.request_credit >= 1.0:
        budget.request_credit -= 1.0
        return True
    if budget.floor_credit >= 1.0:
        budget.floor_credit -= 1.0
        return True
    return False
