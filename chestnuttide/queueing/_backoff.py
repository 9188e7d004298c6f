"""Exponential backoff with jitter."""

import random

# Number of doublings by which the delay has reached any sensible limit; keeps
# the power of two within the range of a float.
MAX_DOUBLINGS = 60


def delay_s(
    failures: int, rng: random.Random, *, base_s: float, limit_s: float
) -> float:
    """Return the delay before the next attempt.

    Parameters
    ----------
    failures : int
        Failed attempts so far, from 1.
    rng : random.Random
        Source of the jitter.
    base_s : float
        Mean delay in seconds after the first failure, unless limited.
    limit_s : float
        Longest delay in seconds.

    Returns
    -------
    float
        A delay in seconds, uniformly distributed over the upper half of the
        range up to the current maximum, so that clients that failed at the
        same time do not retry at the same time.
    """
    doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
    max_delay_s = min(base_s * 4.0 / 3.0 * 2.0**doublings, limit_s)
    return max_delay_s * (0.5 + 0.5 * rng.random())
