"""Sorted lists in blocks that know the largest secondary value per block.

A `Ranking` answers "the smallest primary value of at least x whose secondary
value is at least y" exactly in O(sqrt n). A plain sorted list has to walk
past every entry that has enough of the primary dimension and too little of
the secondary one, which is the whole list in a full cell.
"""

import bisect
import collections.abc

import attrs

# A block is split at twice this length. Lookups walk one block and the list
# of blocks, so the best length is near the square root of the worker count.
BLOCK_LENGTH = 32

Entry = tuple[int, int, str]


@attrs.define(kw_only=True, slots=True, eq=False)
class Ranking:
    """Entries ``(primary, secondary, worker id)`` in ascending order.

    Attributes
    ----------
    blocks : list of list of Entry
        The entries, in order; no block is empty.
    lasts : list of Entry
        Last entry of each block.
    tops : list of int
        Largest secondary value in each block.
    """

    blocks: list[list[Entry]] = attrs.field(factory=list)
    lasts: list[Entry] = attrs.field(factory=list)
    tops: list[int] = attrs.field(factory=list)


def insert(ranking: Ranking, entry: Entry) -> None:
    """Add an entry."""
    blocks = ranking.blocks
    if not blocks:
        blocks.append([entry])
        ranking.lasts.append(entry)
        ranking.tops.append(entry[1])
        return
    at = bisect.bisect_left(ranking.lasts, entry)
    if at == len(blocks):
        at -= 1
        blocks[at].append(entry)
        ranking.lasts[at] = entry
    else:
        bisect.insort(blocks[at], entry)
    if entry[1] > ranking.tops[at]:
        ranking.tops[at] = entry[1]
    if len(blocks[at]) >= 2 * BLOCK_LENGTH:
        _split(ranking, at)


def remove(ranking: Ranking, entry: Entry) -> None:
    """Remove an entry that the ranking holds."""
    at = bisect.bisect_left(ranking.lasts, entry)
    block = ranking.blocks[at]
    position = bisect.bisect_left(block, entry)
    if block[position] != entry:
        raise KeyError(entry)
    del block[position]
    if not block:
        del ranking.blocks[at]
        del ranking.lasts[at]
        del ranking.tops[at]
        return
    ranking.lasts[at] = block[-1]
    if entry[1] == ranking.tops[at]:
        ranking.tops[at] = max([item[1] for item in block])


def replace(ranking: Ranking, old: Entry, new: Entry) -> None:
    """Replace an entry that the ranking holds by another."""
    lasts = ranking.lasts
    tops = ranking.tops
    blocks = ranking.blocks
    at = bisect.bisect_left(lasts, old)
    to = bisect.bisect_left(lasts, new)
    block = blocks[at]
    if (
        len(block) < 2
        or to == len(blocks)
        or len(blocks[to]) >= 2 * BLOCK_LENGTH - 1
    ):
        remove(ranking, old)
        insert(ranking, new)
        return
    position = bisect.bisect_left(block, old)
    if block[position] != old:
        raise KeyError(old)
    del block[position]
    target = blocks[to]
    bisect.insort(target, new)
    lasts[at] = block[-1]
    if old[1] == tops[at]:
        tops[at] = max([item[1] for item in block])
    if new[1] > tops[to]:
        tops[to] = new[1]


def first_fit(
    ranking: Ranking,
    *,
    primary: int,
    secondary: int,
    excluded: collections.abc.Container[str],
) -> Entry | None:
    """Return the least entry with at least both values, or None."""
    start = (primary, secondary)
    blocks = ranking.blocks
    tops = ranking.tops
    at = bisect.bisect_left(ranking.lasts, start)
    count = len(blocks)
    if at == count:
        return None
    if tops[at] >= secondary:
        block = blocks[at]
        for position in range(bisect.bisect_left(block, start), len(block)):
            entry = block[position]
            if entry[1] >= secondary and entry[2] not in excluded:
                return entry
    for later in range(at + 1, count):
        if tops[later] >= secondary:
            for entry in blocks[later]:
                if entry[1] >= secondary and entry[2] not in excluded:
                    return entry
    return None


def ascending(
    ranking: Ranking, *, primary: int, secondary: int
) -> collections.abc.Iterator[Entry]:
    """Yield the entries with at least both values, least first."""
    start = (primary, secondary)
    at = bisect.bisect_left(ranking.lasts, start)
    for later in range(at, len(ranking.blocks)):
        if ranking.tops[later] >= secondary:
            for entry in ranking.blocks[later]:
                if entry[0] >= primary and entry[1] >= secondary:
                    yield entry


def descending(
    ranking: Ranking, *, primary: int, secondary: int
) -> collections.abc.Iterator[Entry]:
    """Yield the entries with at least both values, greatest first."""
    for at in range(len(ranking.blocks) - 1, -1, -1):
        if ranking.lasts[at][0] < primary:
            return
        if ranking.tops[at] >= secondary:
            for entry in reversed(ranking.blocks[at]):
                if entry[0] < primary:
                    return
                if entry[1] >= secondary:
                    yield entry


def _split(ranking: Ranking, at: int) -> None:
    block = ranking.blocks[at]
    upper = block[BLOCK_LENGTH:]
    del block[BLOCK_LENGTH:]
    ranking.blocks.insert(at + 1, upper)
    ranking.lasts.insert(at, block[-1])
    ranking.tops[at] = max([entry[1] for entry in block])
    ranking.tops.insert(at + 1, max([entry[1] for entry in upper]))
