"""The clock of all leases and timeouts of an instance."""

import time


def now() -> float:
    """Return seconds that also count while the machine is suspended.

    The steady clock stands still during a suspension, and a lease that was
    checked on it would seem valid for too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return the time of day in seconds since 1970, which may jump."""
    return time.time()
