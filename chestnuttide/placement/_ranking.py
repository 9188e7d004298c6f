"""Sorted lists split into blocks that store their largest secondary value.

A `Ranking` finds the entry with the smallest primary value of at least x
whose secondary value is at least y in O(sqrt n). A plain sorted list would be
scanned past every entry that has enough of the primary dimension but too
little of the secondary one, which is the whole list in a full cell.
"""

import bisect
import collections.abc

import attrs

# Number of entries; a block is split at twice this length. Lookups scan one
# block and the list of blocks, so the optimum is near the square root of the
# number of workers.
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
    last_entries: list[Entry] = attrs.field(factory=list)
    max_secondaries: list[int] = attrs.field(factory=list)


def insert(ranking: Ranking, entry: Entry) -> None:
    """Add an entry."""
    blocks = ranking.blocks
    if not blocks:
        blocks.append([entry])
        ranking.last_entries.append(entry)
        ranking.max_secondaries.append(entry[1])
        return
    block_index = bisect.bisect_left(ranking.last_entries, entry)
    if block_index == len(blocks):
        block_index -= 1
        blocks[block_index].append(entry)
        ranking.last_entries[block_index] = entry
    else:
        bisect.insort(blocks[block_index], entry)
    if entry[1] > ranking.max_secondaries[block_index]:
        ranking.max_secondaries[block_index] = entry[1]
    if len(blocks[block_index]) >= 2 * BLOCK_LENGTH:
        _split(ranking, block_index)


def remove(ranking: Ranking, entry: Entry) -> None:
    """Remove an entry, which must be in the ranking."""
    block_index = bisect.bisect_left(ranking.last_entries, entry)
    block = ranking.blocks[block_index]
    position = bisect.bisect_left(block, entry)
    if block[position] != entry:
        raise KeyError(entry)
    del block[position]
    if not block:
        del ranking.blocks[block_index]
        del ranking.last_entries[block_index]
        del ranking.max_secondaries[block_index]
        return
    ranking.last_entries[block_index] = block[-1]
    if entry[1] == ranking.max_secondaries[block_index]:
        ranking.max_secondaries[block_index] = max([item[1] for item in block])


def replace(ranking: Ranking, old: Entry, new: Entry) -> None:
    """Replace an entry, which must be in the ranking, by another."""
    last_entries = ranking.last_entries
    max_secondaries = ranking.max_secondaries
    blocks = ranking.blocks
    block_index = bisect.bisect_left(last_entries, old)
    new_block_index = bisect.bisect_left(last_entries, new)
    block = blocks[block_index]
    if (
        len(block) < 2
        or new_block_index == len(blocks)
        or len(blocks[new_block_index]) >= 2 * BLOCK_LENGTH - 1
    ):
        remove(ranking, old)
        insert(ranking, new)
        return
    position = bisect.bisect_left(block, old)
    if block[position] != old:
        raise KeyError(old)
    del block[position]
    new_block = blocks[new_block_index]
    bisect.insort(new_block, new)
    last_entries[block_index] = block[-1]
    if old[1] == max_secondaries[block_index]:
        max_secondaries[block_index] = max([item[1] for item in block])
    if new[1] > max_secondaries[new_block_index]:
        max_secondaries[new_block_index] = new[1]


def first_fit(
    ranking: Ranking,
    *,
    primary: int,
    secondary: int,
    excluded: collections.abc.Container[str],
) -> Entry | None:
    """Return the smallest entry with at least both values, or None."""
    start = (primary, secondary)
    blocks = ranking.blocks
    max_secondaries = ranking.max_secondaries
    block_index = bisect.bisect_left(ranking.last_entries, start)
    count = len(blocks)
    if block_index == count:
        return None
    if max_secondaries[block_index] >= secondary:
        block = blocks[block_index]
        for position in range(bisect.bisect_left(block, start), len(block)):
            entry = block[position]
            if entry[1] >= secondary and entry[2] not in excluded:
                return entry
    for later_index in range(block_index + 1, count):
        if max_secondaries[later_index] >= secondary:
            for entry in blocks[later_index]:
                if entry[1] >= secondary and entry[2] not in excluded:
                    return entry
    return None


def ascending(
    ranking: Ranking, *, primary: int, secondary: int
) -> collections.abc.Iterator[Entry]:
    """Yield the entries with at least both values, smallest first."""
    start = (primary, secondary)
    block_index = bisect.bisect_left(ranking.last_entries, start)
    for later_index in range(block_index, len(ranking.blocks)):
        if ranking.max_secondaries[later_index] >= secondary:
            for entry in ranking.blocks[later_index]:
                if entry[0] >= primary and entry[1] >= secondary:
                    yield entry


def descending(
    ranking: Ranking, *, primary: int, secondary: int
) -> collections.abc.Iterator[Entry]:
    """Yield the entries with at least both values, largest first."""
    for block_index in range(len(ranking.blocks) - 1, -1, -1):
        if ranking.last_entries[block_index][0] < primary:
            return
        if ranking.max_secondaries[block_index] >= secondary:
            for entry in reversed(ranking.blocks[block_index]):
                if entry[0] < primary:
                    return
                if entry[1] >= secondary:
                    yield entry


def _split(ranking: Ranking, block_index: int) -> None:
    block = ranking.blocks[block_index]
    upper = block[BLOCK_LENGTH:]
    del block[BLOCK_LENGTH:]
    ranking.blocks.insert(block_index + 1, upper)
    ranking.last_entries.insert(block_index, block[-1])
    ranking.max_secondaries[block_index] = max([entry[1] for entry in block])
    ranking.max_secondaries.insert(
        block_index + 1, max([entry[1] for entry in upper])
    )
