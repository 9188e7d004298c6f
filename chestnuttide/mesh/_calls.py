"""Matches replies to calls by call id."""

import asyncio

import attrs

from chestnuttide import errors
from chestnuttide.mesh import _connection


@attrs.define(kw_only=True, slots=True)
class Calls:
    """Calls that are awaiting a reply.

    Attributes
    ----------
    next_id : int
        Id of the next call; unique within this process.
    pending : dict of int to (Connection, asyncio.Future)
        Connection and future of each pending call, by call id.
    unmatched : int
        Number of replies dropped because they matched no pending call.
    """

    next_id: int = 1
    pending: dict[int, tuple[_connection.Connection, asyncio.Future]] = (
        attrs.field(factory=dict)
    )
    unmatched: int = 0


def open_call(
    calls: Calls, connection: _connection.Connection
) -> tuple[int, asyncio.Future]:
    """Register a new call and return its id and future."""
    call_id = calls.next_id
    calls.next_id += 1
    future = asyncio.get_running_loop().create_future()
    calls.pending[call_id] = (connection, future)
    return call_id, future


def close_call(calls: Calls, call_id: int) -> None:
    """Remove a call; a later reply to it is counted as unmatched."""
    calls.pending.pop(call_id, None)


def resolve(
    calls: Calls, connection: _connection.Connection, reply: object
) -> bool:
    """Complete the call that a reply belongs to.

    Call ids are unique only per sender, so a reply that arrives on a
    connection other than the one used for the call is dropped.

    Returns
    -------
    bool
        False if the reply was late, a duplicate or from another
        connection.
    """
    call_id = reply.call_id
    pending = calls.pending.get(call_id)
    if pending is None or pending[0] is not connection or pending[1].done():
        calls.unmatched += 1
        return False
    pending[1].set_result(reply)
    return True


def fail_connection(calls: Calls, connection: _connection.Connection) -> None:
    """Fail all pending calls on a connection that has closed."""
    for called, future in calls.pending.values():
        if called is connection and not future.done():
            future.set_exception(
                errors.MeshError(
                    message=f"The connection to {called.peer.sender} closed.",
                    remedy="Send the call to the shard's new owner.",
                )
            )
