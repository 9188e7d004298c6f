"""Bound on the bytes of transactions that an owner has in flight."""

import asyncio
import collections.abc
import contextlib

import attrs

from chestnuttide.node import _clock

# The longest time that a link needs for what is in flight, a fraction of the
# store's timeout: an instance may own several services, and its commands and
# the calls of others use the link, too.
LIVE_LINK_S = 0.15
ENDED_LINK_S = 0.05

# The slowest link that instances have.
SLOWEST_LINK_MBPS = 5.0

# An urgent transaction goes before others that have waited this much longer.
# Without a limit, the others might never be sent.
URGENT_LEAD_S = 1.0


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Waiter:
    rank: float
    size: int
    admitted: asyncio.Future[None]


@attrs.define(kw_only=True, slots=True, eq=False)
class SendWindow:
    """What is in flight, and what waits for it.

    Attributes
    ----------
    limit_bytes : int
        Most bytes in flight, unless a single transaction has more.
    used_bytes : int
        Bytes in flight.
    waiters : list of _Waiter
        Transactions that wait, in the sequence in which they are sent.
    """

    limit_bytes: int
    used_bytes: int = 0
    waiters: list[_Waiter] = attrs.field(factory=list)


@attrs.frozen(kw_only=True, slots=True, eq=False)
class CommitWindows:
    """Windows of an owner's commits.

    Ended jobs have their own, so that none waits for a change of its own.

    Attributes
    ----------
    live, ended : SendWindow
        Windows of the jobs that are live, and of those that have ended.
    """

    live: SendWindow
    ended: SendWindow


def make_windows(link_mbps: float = SLOWEST_LINK_MBPS) -> CommitWindows:
    """Return the windows of an owner with a link of this bandwidth."""
    bytes_per_s = link_mbps * 1e6 / 8
    return CommitWindows(
        live=SendWindow(limit_bytes=int(bytes_per_s * LIVE_LINK_S)),
        ended=SendWindow(limit_bytes=int(bytes_per_s * ENDED_LINK_S)),
    )


@contextlib.asynccontextmanager
async def hold(
    window: SendWindow, size: int, *, urgent: bool
) -> collections.abc.AsyncIterator[None]:
    """Wait until a transaction of this size may be sent, and count it.

    It does not suspend if nothing waits and the transaction fits.
    """
    if window.waiters or not _fits(window, size):
        await _wait(window, size, urgent=urgent)
    else:
        window.used_bytes += size
    try:
        yield
    finally:
        _release(window, size)


async def _wait(window: SendWindow, size: int, *, urgent: bool) -> None:
    waiter = _Waiter(
        rank=_clock.now() - URGENT_LEAD_S * urgent,
        size=size,
        admitted=asyncio.get_running_loop().create_future(),
    )
    window.waiters.append(waiter)
    window.waiters.sort(key=lambda each: each.rank)
    try:
        await waiter.admitted
    except asyncio.CancelledError:
        if waiter in window.waiters:
            window.waiters.remove(waiter)
            _admit(window)
        else:
            _release(window, size)
        raise


def _fits(window: SendWindow, size: int) -> bool:
    return (
        not window.used_bytes or window.used_bytes + size <= window.limit_bytes
    )


def _release(window: SendWindow, size: int) -> None:
    window.used_bytes -= size
    _admit(window)


def _admit(window: SendWindow) -> None:
    while window.waiters and _fits(window, window.waiters[0].size):
        waiter = window.waiters.pop(0)
        window.used_bytes += waiter.size
        if not waiter.admitted.done():
            waiter.admitted.set_result(None)
