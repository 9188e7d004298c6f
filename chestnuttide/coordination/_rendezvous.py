"""Rendezvous hashing, which assigns keys to members.

Every instance computes the same ranking from the same members. When a member
leaves, only the keys for which it ranked first move.
"""

import collections.abc

import xxhash


def rank(key: str, members: collections.abc.Iterable[str]) -> list[str]:
    """Return the members in order of preference for a key.

    Parameters
    ----------
    key : str
        The key, for example the name of a shard.
    members : iterable of str
        Ids of the members, in any order; duplicates are ignored.

    Returns
    -------
    list of str
        All members, most preferred first.
    """
    return sorted(set(members), key=lambda one: _order(key, one))


def preferred(key: str, members: collections.abc.Iterable[str]) -> str | None:
    """Return the preferred member for a key, or None if there are none."""
    return min(set(members), key=lambda one: _order(key, one), default=None)


def top(
    key: str, members: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Return the `count` most preferred members for a key, best first."""
    return rank(key, members)[:count]


def _order(key: str, member: str) -> tuple[int, str]:
    # The length distinguishes ("ab", "c") from ("a", "bc").
    text = f"{len(key)}:{key}{member}"
    return (-xxhash.xxh64_intdigest(text.encode()), member)
