"""Accepts, opens and reopens the mesh connections of a daemon."""

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
# Bounds of the delay before a peer is dialled again. The first delay is short
# because a shard's new owner must be reachable well within the failover time.
REDIAL_DELAY_MIN_S = 0.1
REDIAL_DELAY_MAX_S = 2.0


# Called when a connection opens or closes.
ConnectionCallback: typing.TypeAlias = collections.abc.Callable[
    [_connection.Connection], None
]


@attrs.define(kw_only=True, slots=True, eq=False)
class Network:
    """State of the mesh connections of a daemon.

    Attributes
    ----------
    hello : Hello
        Identity that this daemon sends in each handshake.
    codec : Codec
        Encodes and decodes the messages.
    limits : Limits
        Limits that apply to each connection.
    rng : random.Random
        Random generator for the jitter of redial delays.
    on_message : function
        Called with the connection and the message for each message
        received.
    on_connected, on_disconnected : function
        Called with a connection after its handshake and after it closes.
    traffic : Traffic
        Traffic counters over all connections.
    connections : dict of (str, str) to Connection
        Open connections, by kind and instance id of the peer.
    dial_tasks : dict of str to asyncio.Task
        Tasks that keep a connection open, by address.
    server : websockets server or None
        The server, if this daemon accepts connections.
    unknown : dict of connection to int
        Accepted connections without a handshake, the oldest first, and the
        bytes that each has sent.
    """

    hello: _messages.Hello
    codec: _codec.Codec
    limits: _connection.Limits
    rng: random.Random
    on_message: _connection.Handler = lambda connection, message: None
    on_connected: ConnectionCallback = lambda connection: None
    on_disconnected: ConnectionCallback = lambda connection: None
    traffic: _connection.Traffic = attrs.field(factory=_connection.Traffic)
    connections: dict[tuple[str, str], _connection.Connection] = attrs.field(
        factory=dict
    )
    dial_tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    server: ws_server.Server | None = None
    unknown: dict[ws_server.ServerConnection, int] = attrs.field(factory=dict)


class _Accepted(ws_server.ServerConnection):
    """An accepted connection, known from its first byte on."""

    network: Network

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; the oldest unknown one may have to end."""
        super().connection_made(transport)
        unknown = self.network.unknown
        unknown[self] = 0
        if len(unknown) > self.network.limits.unknown_peers:
            _end_unknown(self.network, next(iter(unknown)))

    def data_received(self, data: bytes) -> None:
        """Count what the peer sends before its `Hello`."""
        unknown = self.network.unknown
        if self in unknown:
            unknown[self] += len(data)
            if sum(unknown.values()) > self.network.limits.unknown_bytes:
                _end_unknown(self.network, max(unknown, key=unknown.get))
        if not self.transport.is_closing():
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.network.unknown.pop(self, None)
        super().connection_lost(exc)


def _end_unknown(
    network: Network, connection: ws_server.ServerConnection
) -> None:
    del network.unknown[connection]
    connection.transport.abort()
    network.traffic.unknown_ended += 1


async def listen(network: Network, *, ip: str, port: int) -> int:
    """Start accepting connections and return the listening port."""

    async def accept(socket: ws_server.ServerConnection) -> None:
        await _run_connection(network, socket)

    def create(
        *arguments: object, **options: object
    ) -> ws_server.ServerConnection:
        connection = _Accepted(*arguments, **options)
        connection.network = network
        return connection

    network.server = await ws_server.serve(
        accept,
        ip,
        port,
        compression=None,
        create_connection=create,
        open_timeout=HANDSHAKE_TIMEOUT_S,
        max_size=network.limits.hello_bytes,
        # The mesh sends its own heartbeats in place of websocket pings.
        ping_interval=None,
    )
    return next(iter(network.server.sockets)).getsockname()[1]


def set_addresses(
    network: Network, addresses: collections.abc.Collection[str]
) -> None:
    """Keep connections to these addresses and stop dialling all others."""
    for address in set(network.dial_tasks) - set(addresses):
        network.dial_tasks.pop(address).cancel()
    for address in set(addresses) - set(network.dial_tasks):
        network.dial_tasks[address] = asyncio.ensure_future(
            _dial_loop(network, address)
        )


async def flush(network: Network, *, timeout_s: float) -> None:
    """Wait until the queued messages are sent, for `timeout_s` at most."""
    await asyncio.gather(
        *(_flush(each, timeout_s) for each in network.connections.values())
    )


async def close(network: Network) -> None:
    """Flush the send queues, close all connections and stop listening."""
    await flush(network, timeout_s=HANDSHAKE_TIMEOUT_S)
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
    """Queue a message that may be lost.

    Returns
    -------
    bool
        False if the send queue was full; the refusal is counted.
    """
    try:
        _connection.send(connection, message)
    except errors.MeshError:
        return False
    return True


async def _flush(connection: _connection.Connection, timeout_s: float) -> None:
    deadline = asyncio.get_running_loop().time() + timeout_s
    while connection.queue and (asyncio.get_running_loop().time() < deadline):
        await asyncio.sleep(0.01)


async def _dial_loop(network: Network, address: str) -> None:
    delay_s = REDIAL_DELAY_MIN_S
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
            delay_s = REDIAL_DELAY_MIN_S
            await _run_connection(network, socket)
        await asyncio.sleep(delay_s * network.rng.uniform(0.5, 1.0))
        delay_s = min(REDIAL_DELAY_MAX_S, delay_s * 2)


async def _run_connection(
    network: Network, socket: ws_connection.Connection
) -> None:
    _disable_nagle(socket)
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
    network.unknown.pop(socket, None)
    key = (connection.peer.kind, connection.peer.sender)
    stale = network.connections.get(key)
    network.connections[key] = connection
    if stale is not None:
        # The peer restarted or redialled, so its old connection is stale.
        network.on_disconnected(stale)
        await stale.socket.close()
    network.on_connected(connection)
    try:
        await _connection.run(connection, network.on_message)
    finally:
        if network.connections.get(key) is connection:
            del network.connections[key]
            network.on_disconnected(connection)


def _disable_nagle(socket: ws_connection.Connection) -> None:
    raw_socket = socket.transport.get_extra_info("socket")
    raw_socket.setsockopt(
        socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1
    )
