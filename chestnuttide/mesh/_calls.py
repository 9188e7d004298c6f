"""Matching of replies to calls by number."""

import asyncio

import attrs

from chestnuttide import errors
from chestnuttide.mesh import _connection


@attrs.define(kw_only=True, slots=True)
class Calls:
    """Calls that wait for their replies.

    Attributes
    ----------
    next_id : int
        Number of the next call; unique in this process.
    pending : dict of int to (Connection, asyncio.Future)
        Connection and future of each call that waits.
    unmatched : int
        Replies that were late or doubled, and therefore dropped.
    """

    next_id: int = 1
    pending: dict[int, tuple[_connection.Connection, asyncio.Future]] = (
        attrs.field(factory=dict)
    )
    unmatched: int = 0


def open_call(
    calls: Calls, connection: _connection.Connection
) -> tuple[int, asyncio.Future]:
    """Return the number and the future of a new call."""
    call_id = calls.next_id
    calls.next_id += 1
    future = asyncio.get_running_loop().create_future()
    calls.pending[call_id] = (connection, future)
    return call_id, future


def close_call(calls: Calls, call_id: int) -> None:
    """Forget a call; a later reply to it is counted as unmatched."""
    calls.pending.pop(call_id, None)


def resolve(
    calls: Calls, connection: _connection.Connection, reply: object
) -> bool:
    """Hand a reply to its call.

    A reply from another connection than the one the call went to is not
    taken, because call numbers are only unique per sender.

    Returns
    -------
    bool
        False if the reply was late, doubled or from another connection.
    """
    call_id = reply.call_id
    pending = calls.pending.get(call_id)
    if pending is None or pending[0] is not connection or pending[1].done():
        calls.unmatched += 1
        return False
    pending[1].set_result(reply)
    return True


def fail_connection(calls: Calls, connection: _connection.Connection) -> None:
    """Fail all calls that went to a connection that has ended."""
    for peer, future in calls.pending.values():
        if peer is connection and not future.done():
            future.set_exception(
                errors.MeshError(
                    message=f"The connection to {peer.peer.sender} ended.",
                    remedy="Send the call to the shard's next owner.",
                )
            )
