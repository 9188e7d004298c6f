"""Calls to the daemons of other instances."""

import asyncio
import collections.abc
import random
import secrets

import attrs

from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide.node import _messages
from chestnuttide import telemetry

LOG = telemetry.make_logger("peers")

KIND = "node"

# A peer replies from memory within one round trip. The rest of the time allows
# for a slow machine.
CALL_TIMEOUT_S = 0.5

Handler = collections.abc.Callable[[object], collections.abc.Awaitable[object]]


@attrs.define(kw_only=True, slots=True, eq=False)
class Peers:
    """Connections to the other instances.

    Attributes
    ----------
    instance : str
        Name of this instance.
    network : Network
        The connections.
    calls : Calls
        Calls that wait for their replies.
    handlers : dict of type to function
        Coroutine function that handles each class of message.
    tasks : set of Task
        Handlers in progress.
    """

    instance: str
    network: mesh.Network
    calls: mesh.Calls
    handlers: dict[type, Handler] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


def make_peers(
    *, instance: str, data_centre: str, limits: mesh.Limits | None = None
) -> Peers:
    """Return the connections of an instance, none of which is open yet."""
    calls = mesh.Calls()
    network = mesh.Network(
        hello=mesh.Hello(
            sender=instance,
            kind=KIND,
            incarnation=secrets.token_hex(8),
            data_centre=data_centre,
        ),
        codec=mesh.make_codec(_messages.MESSAGE_CLASSES),
        limits=limits or mesh.Limits(),
        rng=random.Random(),
    )
    peers = Peers(instance=instance, network=network, calls=calls)

    def receive(connection: mesh.Connection, message: object) -> None:
        _receive(peers, connection, message)

    def disconnected(connection: mesh.Connection) -> None:
        LOG.info("Connection to peer lost.", peer=connection.peer.sender)
        mesh.fail_connection(calls, connection)

    def connected(connection: mesh.Connection) -> None:
        LOG.info(
            "Connection to peer established.", peer=connection.peer.sender
        )

    network.on_message = receive
    network.on_connected = connected
    network.on_disconnected = disconnected
    return peers


async def listen(peers: Peers, *, ip: str, ports: tuple[int, int]) -> int:
    """Listen on the first free port of a range and return the port."""
    for port in range(ports[0], ports[1] + 1):
        try:
            return await mesh.listen(peers.network, ip=ip, port=port)
        except OSError as error:
            LOG.warning("Port is in use.", port=port, error=str(error))
    raise errors.SettingsError(
        message=f"No port of {ports[0]} to {ports[1]} is free.",
        remedy="Free a port or widen mesh_ports.",
    )


def update_members(
    peers: Peers, addresses: collections.abc.Mapping[str, str]
) -> None:
    """Keep one connection to each member.

    In each pair of instances, the one whose name sorts last dials.
    """
    mesh.set_addresses(
        peers.network,
        [
            address
            for name, address in addresses.items()
            if name < peers.instance
        ],
    )


def connected_names(peers: Peers) -> list[str]:
    """Return the names of the connected instances in sorted order."""
    return sorted(name for _, name in peers.network.connections)


async def call(
    peers: Peers,
    name: str,
    make_message: collections.abc.Callable[[int], object],
    *,
    timeout_s: float = CALL_TIMEOUT_S,
) -> object:
    """Send a call to an instance and return its reply.

    Raises
    ------
    errors.PeerNotConnectedError
        If the instance is not connected. Nothing was sent.
    errors.MeshError
        If the instance does not answer in time.
    """
    connection = peers.network.connections.get((KIND, name))
    if connection is None:
        raise errors.PeerNotConnectedError(
            message=f"Instance {name} is not connected.",
            remedy="Ask another instance or the store.",
        )
    call_id, future = mesh.open_call(peers.calls, connection)
    try:
        mesh.send(connection, make_message(call_id))
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError as error:
        # The connection may be dead, and a new one may work.
        mesh.abort(connection)
        raise errors.MeshError(
            message=f"Instance {name} did not answer in {timeout_s} s.",
            remedy="Ask another instance or the store.",
        ) from error
    finally:
        mesh.close_call(peers.calls, call_id)


def notify(peers: Peers, name: str, message: object) -> None:
    """Send a message without delivery guarantee; a watch recovers its loss."""
    connection = peers.network.connections.get((KIND, name))
    if connection is not None:
        mesh.send_if_possible(connection, message)


def _receive(
    peers: Peers, connection: mesh.Connection, message: object
) -> None:
    handler = peers.handlers.get(type(message))
    if handler is None:
        if not hasattr(message, "call_id"):
            LOG.warning(
                "Peer sent an unexpected message.", kind=type(message).__name__
            )
            return
        if not mesh.resolve(peers.calls, connection, message):
            LOG.debug(
                "Reply came too late and is dropped.",
                peer=connection.peer.sender,
            )
        return
    task = asyncio.ensure_future(_handle_call(connection, handler, message))
    peers.tasks.add(task)
    task.add_done_callback(peers.tasks.discard)


async def _handle_call(
    connection: mesh.Connection, handler: Handler, message: object
) -> None:
    try:
        reply = await handler(message)
        if reply is None:
            return
        mesh.send_if_possible(connection, reply)
    except errors.SchedulerError as error:
        LOG.warning(
            "Call from a peer failed.",
            peer=connection.peer.sender,
            kind=type(message).__name__,
            error=str(error),
        )
    except Exception:
        LOG.exception(
            "Handler of a peer's message has failed.",
            peer=connection.peer.sender,
            kind=type(message).__name__,
        )
