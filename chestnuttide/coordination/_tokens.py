"""A token bucket, which limits for example the store writes of an instance."""

import attrs


@attrs.define(kw_only=True)
class TokenBucket:
    """State of a token bucket.

    Attributes
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens in the bucket.
    tokens : float
        Tokens in the bucket at `updated_at`.
    updated_at : float
        Monotonic time, in seconds, of the last update.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float


def make_bucket(rate_per_s: float, burst: float, now: float) -> TokenBucket:
    """Return a full bucket.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second; greater than 0.
    burst : float
        Maximum number of tokens in the bucket; at least 1.
    now : float
        Monotonic time in seconds.
    """
    return TokenBucket(
        rate_per_s=rate_per_s, burst=burst, tokens=burst, updated_at=now
    )


def take(bucket: TokenBucket, now: float, count: float = 1.0) -> bool:
    """Take `count` tokens if available, and return whether they were."""
    _refill(bucket, now)
    if bucket.tokens < count:
        return False
    bucket.tokens -= count
    return True


def wait_s(bucket: TokenBucket, now: float, count: float = 1.0) -> float:
    """Return the seconds until `count` tokens are available, or 0."""
    _refill(bucket, now)
    return max(0.0, (count - bucket.tokens) / bucket.rate_per_s)


def _refill(bucket: TokenBucket, now: float) -> None:
    elapsed_s = max(0.0, now - bucket.updated_at)
    bucket.tokens = min(
        bucket.burst, bucket.tokens + elapsed_s * bucket.rate_per_s
    )
    bucket.updated_at = max(bucket.updated_at, now)
