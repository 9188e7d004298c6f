"""Which scheduler owns which shard, as the schedulers tell it."""

import asyncio

import attrs

from chestnuttide import mesh


@attrs.define(kw_only=True, slots=True)
class Owners:
    """Owners of shards.

    Attributes
    ----------
    by_shard : dict of str to (int, Connection)
        Epoch and connection of the owner.
    draining : set of str
        Instance ids of schedulers that are about to stop.
    changed : asyncio.Event
        Replaced and set on each change, so that all waiters wake once.
    """

    by_shard: dict[str, tuple[int, mesh.Connection]] = attrs.field(
        factory=dict
    )
    draining: set[str] = attrs.field(factory=set)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


def take_owned(
    owners: Owners, connection: mesh.Connection, message: mesh.OwnedShards
) -> list[mesh.Connection]:
    """Take over the complete list of shards that a scheduler owns.

    A higher epoch wins, because a former owner that has not noticed its end
    may still name the shard.

    Returns
    -------
    list of Connection
        Connections to former owners that still named a shard of the list.
    """
    former = []
    told = dict(message.shards)
    for shard, (_, owner) in list(owners.by_shard.items()):
        if owner is connection and shard not in told:
            del owners.by_shard[shard]
    for shard, epoch in told.items():
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
    """Forget what a scheduler owned whose connection has ended."""
    for shard, (_, owner) in list(owners.by_shard.items()):
        if owner is connection:
            del owners.by_shard[shard]
    # A drained scheduler stays marked until it is started again, so that the
    # entry beside it does not become ready once more.
    _notify(owners)


def owner_of(owners: Owners, shard: str) -> mesh.Connection | None:
    """Return the connection to a shard's owner, if it is known."""
    known = owners.by_shard.get(shard)
    return None if known is None else known[1]


async def wait_for_change(owners: Owners, timeout_s: float) -> None:
    """Wait until an owner changes, at most `timeout_s` seconds."""
    event = owners.changed
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


def _notify(owners: Owners) -> None:
    event, owners.changed = owners.changed, asyncio.Event()
    event.set()
