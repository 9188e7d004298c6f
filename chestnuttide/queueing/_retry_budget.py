"""A limit on retries as a share of the requests, plus a floor."""

import attrs

# Retries saved up at most, in seconds of the floor and in requests of the
# share, so that a quiet period does not pay for a storm of retries.
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
        Retries per second allowed without any request.
    from_requests : float
        Retries earned by requests.
    from_floor : float
        Retries earned by time.
    updated_at : float
        Time up to which the floor is counted, in seconds.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    from_requests: float = 0.0
    from_floor: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.floor_per_s * FLOOR_WINDOW_S, takes_self=True
        )
    )
    updated_at: float = 0.0


def record_request(budget: RetryBudget) -> None:
    """Earn the share of a retry that one first attempt is worth."""
    most = max(1.0, SHARE_WINDOW_REQUESTS * budget.ratio)
    budget.from_requests = min(budget.from_requests + budget.ratio, most)


def take_retry(budget: RetryBudget, now: float) -> bool:
    """Return whether a retry is allowed, and count it if so."""
    elapsed_s = max(0.0, now - budget.updated_at)
    budget.updated_at = max(budget.updated_at, now)
    budget.from_floor = min(
        budget.from_floor + elapsed_s * budget.floor_per_s,
        max(1.0, budget.floor_per_s * FLOOR_WINDOW_S),
    )
    if budget.from_requests >= 1.0:
        budget.from_requests -= 1.0
        return True
    if budget.from_floor >= 1.0:
        budget.from_floor -= 1.0
        return True
    return False
