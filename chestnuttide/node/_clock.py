"""Clock for the leases and timeouts of an instance."""

import time


def now() -> float:
    """Return a steady time in seconds that includes suspension.

    The monotonic clock stops while the machine is suspended, so a lease that
    was checked against it would seem valid for too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return the seconds since the Unix epoch, which may jump."""
    return time.time()
