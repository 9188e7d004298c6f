"""Watches of prefixes of the metadata store."""

import asyncio
import collections.abc

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("session")

# A watch without changes returns after this time. A dead connection is only
# detected then, and a config has to be in force within 2 s of its
# acknowledgement.
WATCH_WAIT_S = 1.2

# Pauses after a failed call to the store.
RETRY_MINIMUM_S = 0.1
RETRY_MAXIMUM_S = 0.5

OnAnswer = collections.abc.Callable[[float, bool], None]


async def watch_prefix(
    store: platform.KvStore,
    prefix: str,
    *,
    on_list: collections.abc.Callable[[tuple[platform.Item, ...]], None],
    on_item: collections.abc.Callable[[platform.Item], None],
    on_working: collections.abc.Callable[[bool], None],
    pause_s: float = 0.0,
    wait_s: float = WATCH_WAIT_S,
    on_answer: OnAnswer = lambda sent_at, empty: None,
    revision: int = -1,
) -> None:
    """Report the items under a prefix and all later changes until cancelled.

    Parameters
    ----------
    store : KvStore
        The store.
    prefix : str
        Prefix of the keys.
    on_list : function
        Called with all items after each listing.
    on_item : function
        Called with each change.
    on_working : function
        Called after each call to the store with whether it succeeded.
    pause_s : float
        Pause before the next watch, in which changes accumulate.
    wait_s : float
        Time after which a watch without changes returns.
    on_answer : function
        ``on_answer(sent_at, empty)`` is called after each answered call and
        its changes, with when it was sent and whether it was a watch without
        changes.
    """
    retry_s = RETRY_MINIMUM_S
    while True:
        sent_at = _clock.now()
        try:
            if revision < 0:
                listed = await platform.read_all(store, prefix)
                on_list(listed.items)
                revision = listed.store_revision
                on_answer(sent_at, False)
            else:
                changes = await platform.watch_keys(
                    store,
                    prefix,
                    after_revision=revision,
                    wait_s=wait_s,
                )
                for item in changes.items:
                    on_item(item)
                on_answer(sent_at, not changes.items)
                revision = max(revision, changes.store_revision)
                await asyncio.sleep(pause_s)
            retry_s = RETRY_MINIMUM_S
            on_working(True)
        except platform.HistoryLostError:
            LOG.info(
                "Store no longer has the watched revision; listing again.",
                prefix=prefix,
            )
            revision = -1
        except errors.SchedulerError as error:
            on_working(False)
            LOG.debug("Watch failed.", prefix=prefix, error=str(error))
            # A new listing also shows changes that a broken watch has missed.
            revision = -1
            await asyncio.sleep(retry_s)
            retry_s = min(RETRY_MAXIMUM_S, retry_s * 2)
