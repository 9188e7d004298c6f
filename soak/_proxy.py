"""Loopback TCP proxy that delays, blocks or resets connections."""

import asyncio
import contextlib
import random

import attrs

CHUNK_BYTES = 65536


@attrs.define(kw_only=True)
class Proxy:
    """A proxy in front of one server.

    Attributes
    ----------
    target : str
        ``ip:port`` of the server.
    delay_s : float
        Delay of each chunk.
    silent : bool
        Whether data is held back in both directions until the fault ends.
    deaf : bool
        Whether only responses are held back; requests still pass.
    refuse : bool
        Whether new connections are reset.
    connections : set of StreamWriter
        Writers of both sides of the open connections.
    relays : set of Task
        Tasks that relay the open connections.
    faults_cleared : asyncio.Event
        Set and replaced when the faults end.
    """

    target: str
    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False
    refuse: bool = False
    connections: set[asyncio.StreamWriter] = attrs.field(factory=set)
    relays: set[asyncio.Task[None]] = attrs.field(factory=set)
    faults_cleared: asyncio.Event = attrs.field(factory=asyncio.Event)


async def serve(proxy: Proxy) -> tuple[str, asyncio.Server]:
    """Listen on loopback and return the address ``ip:port``."""

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(_relay(proxy, reader, writer))
        proxy.relays.add(task)
        task.add_done_callback(proxy.relays.discard)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}", server


def clear_faults(proxy: Proxy) -> None:
    """End all faults and let held data pass."""
    proxy.delay_s = 0.0
    proxy.silent = proxy.deaf = proxy.refuse = False
    proxy.faults_cleared.set()
    proxy.faults_cleared = asyncio.Event()


def reset_connections(
    proxy: Proxy, rng: random.Random, share: float = 1.0
) -> None:
    """Reset a share of the open connections."""
    for writer in list(proxy.connections):
        if rng.random() < share:
            writer.transport.abort()


async def close(proxy: Proxy) -> None:
    """Cancel all relays."""
    relays = list(proxy.relays)
    for task in relays:
        task.cancel()
    await asyncio.gather(*relays, return_exceptions=True)


async def _relay(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if proxy.refuse:
        writer.transport.abort()
        return
    ip, _, port = proxy.target.rpartition(":")
    try:
        upstream_reader, upstream = await asyncio.open_connection(
            ip, int(port)
        )
    except OSError:
        writer.transport.abort()
        return
    writers = {writer, upstream}
    proxy.connections |= writers
    try:
        await asyncio.gather(
            _forward(proxy, reader, upstream, from_server=False),
            _forward(proxy, upstream_reader, writer, from_server=True),
        )
    finally:
        proxy.connections -= writers
        for open_writer in writers:
            open_writer.transport.abort()


async def _forward(
    proxy: Proxy,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    from_server: bool,
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            if proxy.delay_s:
                await asyncio.sleep(proxy.delay_s)
            while proxy.silent or (from_server and proxy.deaf):
                await proxy.faults_cleared.wait()
            writer.write(chunk)
            await writer.drain()
    if from_server or writer.transport.is_closing():
        writer.close()
    else:
        # Requests sent before the client closed still reach the server.
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
