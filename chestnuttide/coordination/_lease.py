"""Validity of a store lease by the holder's own monotonic clock.

The store counts the time to live from when it handles the call. The holder
counts from before it sends the call and subtracts a margin for clock drift,
so it regards the lease as expired before the store does.
"""

import typing

import attrs

# Share subtracted from a granted duration. Two clocks whose rates differ by
# less than this agree on which side expires first.
CLOCK_MARGIN: typing.Final = 0.1


@attrs.frozen(kw_only=True, slots=True)
class Lease:
    """A lease as seen by its holder.

    Attributes
    ----------
    lease_id : int
        Id that the store gave to the lease.
    ttl_s : float
        Time to live in seconds, as the store counts it.
    valid_until : float
        Monotonic time, in seconds, at which the holder treats it as expired.
    """

    lease_id: int
    ttl_s: float
    valid_until: float


def usable_until(
    sent_at: float, duration_s: float, margin: float = CLOCK_MARGIN
) -> float:
    """Return the time until which a duration granted by a peer is usable.

    Parameters
    ----------
    sent_at : float
        Monotonic time, in seconds, before the request was sent.
    duration_s : float
        Seconds that the peer granted and counts from receiving the request.
    margin : float
        Share of the duration subtracted for clock drift.
    """
    return sent_at + duration_s * (1.0 - margin)


def renew(
    lease: Lease | None, lease_id: int, sent_at: float, ttl_s: float
) -> Lease:
    """Return the lease after a grant or renewal succeeded.

    Parameters
    ----------
    lease : Lease or None
        The lease before the call.
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
