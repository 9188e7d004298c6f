"""Watches of prefixes of the metadata store."""

import asyncio
import collections.abc
import random

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _listings
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("session")

# A watch without changes returns after this time. A dead connection is only
# detected then, and a config has to be in force within 2 s of its
# acknowledgement.
WATCH_WAIT_S = 1.2

# The watch after a failed one returns after this time, so that an instance
# soon knows that it has missed nothing.
CATCH_UP_WAIT_S = 0.05

# Longest pauses after a failed call to the store.
RETRY_MINIMUM_S = 0.1
RETRY_MAXIMUM_S = 0.5

OnList = collections.abc.Callable[
    [tuple[platform.Item, ...]], collections.abc.Awaitable[None]
]
OnAnswer = collections.abc.Callable[[float, bool, float], None]


def retry_pause_s(retry_s: float, drawn: float) -> float:
    """Return a pause of half to all of `retry_s`; `drawn` is from 0 to 1."""
    return retry_s * (1.0 + drawn) / 2


async def watch_prefix(
    store: platform.KvStore,
    prefix: str,
    *,
    on_list: OnList,
    on_item: collections.abc.Callable[[platform.Item], None],
    on_working: collections.abc.Callable[[bool], None],
    pause_s: float = 0.0,
    wait_s: float = WATCH_WAIT_S,
    on_answer: OnAnswer = lambda sent_at, empty, waited_s: None,
    on_revision: collections.abc.Callable[[int], None] = lambda revision: None,
    revision: int = -1,
    draw: collections.abc.Callable[[], float] = random.random,
) -> None:
    """Report the items under a prefix and all later changes until cancelled.

    A watch from a known revision misses nothing, so a failed one is repeated.
    The prefix is listed again only if the store has discarded its history or
    gave an answer that cannot be read.

    Parameters
    ----------
    store : KvStore
        The store.
    prefix : str
        Prefix of the keys.
    on_list : function
        Called with all items after each listing; may let other tasks run.
    on_item : function
        Called with each change.
    on_working : function
        Called with True after each listing and each watch, and with False
        after each failed call.
    pause_s : float
        Pause before the next watch, in which changes accumulate.
    wait_s : float
        Time after which a watch without changes returns.
    on_answer : function
        ``on_answer(sent_at, empty, waited_s)`` is called after each answered
        call and its changes, with when it was sent, whether it was a watch
        without changes, and after which time such a watch returns.
    on_revision : function
        Called after each answered call with the store revision up to which
        all changes have been reported.
    revision : int
        Store revision to watch from; -1 to list the items first.
    draw : function
        Returns a random number from 0 to 1 for each pause after a failure.
    """
    retry_s = RETRY_MINIMUM_S
    next_wait_s = wait_s
    listing = _listings.Listing()
    while True:
        sent_at = _clock.now()
        try:
            if revision < 0:
                await _listings.read_next_page(store, prefix, listing)
                if not listing.complete:
                    continue
                await on_list(tuple(listing.items))
                revision = listing.revision
                on_revision(revision)
                on_answer(listing.sent_at, False, 0.0)
                listing = _listings.Listing()
            else:
                changes = await platform.watch_keys(
                    store,
                    prefix,
                    after_revision=revision,
                    wait_s=next_wait_s,
                )
                for item in changes.items:
                    on_item(item)
                on_answer(sent_at, not changes.items, next_wait_s)
                revision = max(revision, changes.store_revision)
                on_revision(revision)
                await asyncio.sleep(pause_s)
                # A listing alone may be followed by a refused watch again.
                retry_s = RETRY_MINIMUM_S
            next_wait_s = wait_s
            on_working(True)
            continue
        except platform.HistoryLostError:
            LOG.info(
                "Store no longer has the watched revision; listing again.",
                prefix=prefix,
            )
            revision = -1
        except errors.SchedulerError as error:
            on_working(False)
            LOG.debug("Watch failed.", prefix=prefix, error=str(error))
            if isinstance(error, platform.UnreadableChangesError):
                revision = -1
            next_wait_s = min(wait_s, CATCH_UP_WAIT_S)
        # All instances fail at once; their next calls are spread.
        await asyncio.sleep(retry_pause_s(retry_s, draw()))
        retry_s = min(RETRY_MAXIMUM_S, retry_s * 2)
