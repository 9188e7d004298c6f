"""All mesh connections of a daemon: accepting, dialling and reconnecting."""

import asyncio
import collections.abc
import contextlib
import random
import socket as socket_module
import typing

import attrs
import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server

from chestnuttide import errors
from chestnuttide.mesh import _codec
from chestnuttide.mesh import _connection
from chestnuttide.mesh import _messages

HANDSHAKE_TIMEOUT_S = 2.0
DIAL_TIMEOUT_S = 2.0
# Bounds of the pause before a peer is dialled again. The first is short,
# because a shard's successor must be reachable well within failover time.
REDIAL_MINIMUM_S = 0.1
REDIAL_MAXIMUM_S = 2.0


# A function that is told of a connection's begin or end.
Event: typing.TypeAlias = collections.abc.Callable[
    [_connection.Connection], None
]


@attrs.define(kw_only=True, slots=True, eq=False)
class Network:
    """State of all connections of a daemon.

    Attributes
    ----------
    hello : Hello
        What this daemon says about itself.
    codec : Codec
        Encoding of messages.
    limits : Limits
        Limits of each connection.
    rng : random.Random
        Source of the jitter of redials.
    on_message : function
        Called with the connection and each received message.
    on_connected, on_disconnected : function
        Called with a connection after its handshake and after its end.
    traffic : Traffic
        Counts over all connections.
    connections : dict of (str, str) to Connection
        Open connections by kind and instance id of the peer.
    dials : dict of str to asyncio.Task
        Running dial loops by address.
    server : websockets server or None
        Present when this daemon accepts connections.
    """

    hello: _messages.Hello
    codec: _codec.Codec
    limits: _connection.Limits
    rng: random.Random
    on_message: _connection.Handler = lambda connection, message: None
    on_connected: Event = lambda connection: None
    on_disconnected: Event = lambda connection: None
    traffic: _connection.Traffic = attrs.field(factory=_connection.Traffic)
    connections: dict[tuple[str, str], _connection.Connection] = attrs.field(
        factory=dict
    )
    dials: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    server: ws_server.Server | None = None


async def listen(network: Network, *, ip: str, port: int) -> int:
    """Accept connections and return the port that is listened on."""

    async def accept(socket: ws_server.ServerConnection) -> None:
        await _serve(network, socket)

    network.server = await ws_server.serve(
        accept,
        ip,
        port,
        compression=None,
        max_size=network.limits.frame_bytes,
        # The heartbeat message replaces the websocket's pings.
        ping_interval=None,
    )
    return next(iter(network.server.sockets)).getsockname()[1]


def set_addresses(
    network: Network, addresses: collections.abc.Collection[str]
) -> None:
    """Dial each address and stop dialling all others."""
    for address in set(network.dials) - set(addresses):
        network.dials.pop(address).cancel()
    for address in set(addresses) - set(network.dials):
        network.dials[address] = asyncio.ensure_future(
            _dial_loop(network, address)
        )


async def close(network: Network) -> None:
    """Send what is queued, close all connections and stop listening."""
    await asyncio.gather(
        *(_flush(each) for each in network.connections.values())
    )
    set_addresses(network, ())
    for connection in list(network.connections.values()):
        await connection.socket.close()
    if network.server is not None:
        network.server.close()
        await network.server.wait_closed()


def schedulers(network: Network) -> list[_connection.Connection]:
    """Return the connections to schedulers."""
    return [
        connection
        for (kind, _), connection in network.connections.items()
        if kind == "scheduler"
    ]


def send_if_possible(
    connection: _connection.Connection, message: object
) -> bool:
    """Queue a message whose loss the protocol tolerates.

    Returns
    -------
    bool
        False if the send queue was full; the loss is counted.
    """
    try:
        _connection.send(connection, message)
    except errors.MeshError:
        return False
    return True


async def _flush(connection: _connection.Connection) -> None:
    deadline = asyncio.get_running_loop().time() + HANDSHAKE_TIMEOUT_S
    while connection.queue and (asyncio.get_running_loop().time() < deadline):
        await asyncio.sleep(0.01)


async def _dial_loop(network: Network, address: str) -> None:
    pause_s = REDIAL_MINIMUM_S
    while True:
        with contextlib.suppress(
            OSError,
            TimeoutError,
            websockets.WebSocketException,
            errors.MeshError,
        ):
            socket = await ws_client.connect(
                f"ws://{address}/",
                compression=None,
                max_size=network.limits.frame_bytes,
                ping_interval=None,
                open_timeout=DIAL_TIMEOUT_S,
            )
            pause_s = REDIAL_MINIMUM_S
            await _serve(network, socket)
        await asyncio.sleep(pause_s * network.rng.uniform(0.5, 1.0))
        pause_s = min(REDIAL_MAXIMUM_S, pause_s * 2)


async def _serve(network: Network, socket: ws_connection.Connection) -> None:
    _disable_delay(socket)
    try:
        connection = await _connection.handshake(
            socket=socket,
            hello=network.hello,
            codec=network.codec,
            limits=network.limits,
            traffic=network.traffic,
            timeout_s=HANDSHAKE_TIMEOUT_S,
        )
    except errors.MeshError:
        await socket.close()
        return
    key = (connection.peer.kind, connection.peer.sender)
    former = network.connections.get(key)
    network.connections[key] = connection
    if former is not None:
        # The peer restarted or redialled; its former connection is stale.
        network.on_disconnected(former)
        await former.socket.close()
    network.on_connected(connection)
    try:
        await _connection.run(connection, network.on_message)
    finally:
        if network.connections.get(key) is connection:
            del network.connections[key]
            network.on_disconnected(connection)


def _disable_delay(socket: ws_connection.Connection) -> None:
    raw = socket.transport.get_extra_info("socket")
    raw.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
