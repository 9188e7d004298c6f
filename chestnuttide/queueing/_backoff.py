"""Exponential backoff with jitter."""

import random

# Doublings after which the delay is surely at any sensible limit; keeps the
# power of two within the range of a float.
MAX_DOUBLINGS = 60


def delay_s(
    failures: int, rng: random.Random, *, base_s: float, limit_s: float
) -> float:
    """Return the delay before the next try.

    Parameters
    ----------
    failures : int
        Failed tries so far, from 1.
    rng : random.Random
        Source of the jitter.
    base_s : float
        Mean delay in seconds after the first failure.
    limit_s : float
        Longest delay in seconds.

    Returns
    -------
    float
        A delay in seconds, evenly spread over the upper half of the doubled
        base, so that clients that failed together do not return together.
    """
    doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
    longest_s = min(base_s * 4.0 / 3.0 * 2.0**doublings, limit_s)
    return longest_s * (0.5 + 0.5 * rng.random())
