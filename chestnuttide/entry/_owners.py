"""Tracks which scheduler owns each shard, as reported by the schedulers."""

import asyncio

import attrs

from chestnuttide import mesh


@attrs.define(kw_only=True, slots=True)
class Owners:
    """Known owners of the shards.

    Attributes
    ----------
    by_shard : dict of str to (int, Connection)
        Epoch and connection of the owner, by shard.
    draining : set of str
        Instance ids of schedulers that are draining.
    changed : asyncio.Event
        Set on each change and replaced by a new event, so that every waiter
        wakes once.
    """

    by_shard: dict[str, tuple[int, mesh.Connection]] = attrs.field(
        factory=dict
    )
    draining: set[str] = attrs.field(factory=set)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


def update_owned_shards(
    owners: Owners, connection: mesh.Connection, message: mesh.OwnedShards
) -> list[mesh.Connection]:
    """Update the owners from a scheduler's complete list of owned shards.

    The higher epoch wins, because a former owner that has not yet noticed
    that it lost a shard may still list it.

    Returns
    -------
    list of Connection
        Connections to other schedulers that were the known owners of a shard
        in the list.
    """
    former = []
    reported = dict(message.shards)
    for shard, (_, owner) in list(owners.by_shard.items()):
        if owner is connection and shard not in reported:
            del owners.by_shard[shard]
    for shard, epoch in reported.items():
        known = owners.by_shard.get(shard)
        if known is None or epoch >= known[0]:
            if known is not None and known[1] is not connection:
                former.append(known[1])
            owners.by_shard[shard] = (epoch, connection)
    if message.draining:
        owners.draining.add(connection.peer.sender)
    else:
        owners.draining.discard(connection.peer.sender)
    _notify(owners)
    return former


def drop_connection(owners: Owners, connection: mesh.Connection) -> None:
    """Remove the shards of a scheduler whose connection has closed."""
    for shard, (_, owner) in list(owners.by_shard.items()):
        if owner is connection:
            del owners.by_shard[shard]
    # A drained scheduler stays marked as draining until it restarts, so that
    # the entry on its instance does not become ready again.
    _notify(owners)


def find_owner(owners: Owners, shard: str) -> mesh.Connection | None:
    """Return the connection to a shard's owner, or None if unknown."""
    known = owners.by_shard.get(shard)
    return None if known is None else known[1]


async def wait_for_change(owners: Owners, timeout_s: float) -> None:
    """Wait up to `timeout_s` seconds for an ownership change."""
    event = owners.changed
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


def _notify(owners: Owners) -> None:
    event, owners.changed = owners.changed, asyncio.Event()
    event.set()
