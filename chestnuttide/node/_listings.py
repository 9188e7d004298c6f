"""Listings of prefixes of the metadata store that keep what has arrived."""

import asyncio
import collections.abc

import attrs

from chestnuttide.node import _clock
from chestnuttide import platform

# Items are applied for this long before other tasks of the loop run, such as
# the renewal of the instance's lease.
SLICE_S = 0.02


@attrs.define(kw_only=True, slots=True)
class Listing:
    """The pages of a prefix that have been read.

    Attributes
    ----------
    items : list of Item
        Their items.
    revision : int
        Store revision of the first page, from which to watch; -1 before it.
    sent_at : float
        When the first page that arrived was asked for.
    complete : bool
        Whether the last page was read.
    """

    items: list[platform.Item] = attrs.field(factory=list)
    revision: int = -1
    sent_at: float = 0.0
    complete: bool = False


async def read_next_page(
    store: platform.KvStore, prefix: str, listing: Listing
) -> None:
    """Add the next page of a prefix to its listing.

    Raises
    ------
    errors.SchedulerError
        If the page did not arrive; the pages before it are kept.
    """
    after = listing.items[-1].key if listing.items else ""
    sent_at = _clock.now()
    page = await platform.read_range(store, prefix, after=after)
    if listing.revision < 0:
        listing.revision = page.store_revision
        listing.sent_at = sent_at
    listing.items.extend(page.items)
    listing.complete = not page.more


async def apply_in_slices(
    items: collections.abc.Iterable[platform.Item],
    apply: collections.abc.Callable[[platform.Item], None],
    *,
    stopped: collections.abc.Callable[[], bool],
) -> None:
    """Apply items while other tasks run in between, until stopped."""
    until = _clock.now() + SLICE_S
    for item in items:
        apply(item)
        if _clock.now() >= until:
            await asyncio.sleep(0)
            if stopped():
                return
            until = _clock.now() + SLICE_S
