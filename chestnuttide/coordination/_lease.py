"""A holder's view of its own lease, on its monotonic clock.

The store counts the time to live from when it handles the call, which is
after the call was sent. Counting from before the call was sent, less a margin
for different clock rates, therefore ends the holder's view first.
"""

import typing

import attrs

# Share of a duration that is given up so that two clocks whose rates differ
# by less than this agree on who is late.
CLOCK_MARGIN: typing.Final = 0.1


@attrs.frozen(kw_only=True, slots=True)
class Lease:
    """A lease as its holder may rely on it.

    Attributes
    ----------
    lease_id : int
        Id that the store gave to the lease.
    ttl_s : float
        Time to live in seconds, as the store counts it.
    valid_until : float
        Monotonic time, in seconds, from which the lease is not relied on.
    """

    lease_id: int
    ttl_s: float
    valid_until: float


def usable_until(
    sent_at: float, duration_s: float, margin: float = CLOCK_MARGIN
) -> float:
    """Return until when a duration granted by a peer may be relied on.

    Parameters
    ----------
    sent_at : float
        Monotonic time, in seconds, before the request was sent.
    duration_s : float
        Seconds that the peer granted, counted by the peer from the receipt.
    margin : float
        Share of the duration given up for clock drift.
    """
    return sent_at + duration_s * (1.0 - margin)


def renew(
    lease: Lease | None, lease_id: int, sent_at: float, ttl_s: float
) -> Lease:
    """Return the lease after a grant or renewal succeeded.

    Parameters
    ----------
    lease : Lease or None
        The lease so far.
    lease_id : int
        Id of the lease that was granted or renewed.
    sent_at : float
        Monotonic time, in seconds, before the call was sent.
    ttl_s : float
        Time to live in seconds.
    """
    until = usable_until(sent_at, ttl_s)
    if lease is not None and lease.lease_id == lease_id:
        until = max(until, lease.valid_until)
    return Lease(lease_id=lease_id, ttl_s=ttl_s, valid_until=until)


def may_act(lease: Lease | None, now: float) -> bool:
    """Return whether the holder may still act under its lease."""
    return lease is not None and now < lease.valid_until
