"""A loopback proxy that delays, resets, silences or half-cuts connections."""

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
        Time by which each chunk is held back.
    silent : bool
        Whether nothing passes in either direction; it passes afterwards.
    deaf : bool
        Whether answers are held back while calls still arrive.
    refuse : bool
        Whether new connections are reset.
    connections : set of StreamWriter
        Open ends, for resets.
    relays : set of Task
        Relays under way.
    changed : asyncio.Event
        Set and replaced when a fault ends.
    """

    target: str
    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False
    refuse: bool = False
    connections: set[asyncio.StreamWriter] = attrs.field(factory=set)
    relays: set[asyncio.Task[None]] = attrs.field(factory=set)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


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


def heal(proxy: Proxy) -> None:
    """End all faults; what was held back passes now."""
    proxy.delay_s = 0.0
    proxy.silent = proxy.deaf = proxy.refuse = False
    proxy.changed.set()
    proxy.changed = asyncio.Event()


def reset(proxy: Proxy, rng: random.Random, share: float = 1.0) -> None:
    """Reset a share of the open connections."""
    for writer in list(proxy.connections):
        if rng.random() < share:
            writer.transport.abort()


async def close(proxy: Proxy) -> None:
    """End all relays."""
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
    ends = {writer, upstream}
    proxy.connections |= ends
    try:
        await asyncio.gather(
            _pump(proxy, reader, upstream, answers=False),
            _pump(proxy, upstream_reader, writer, answers=True),
        )
    finally:
        proxy.connections -= ends
        for end in ends:
            end.transport.abort()


async def _pump(
    proxy: Proxy,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    answers: bool,
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            if proxy.delay_s:
                await asyncio.sleep(proxy.delay_s)
            while proxy.silent or (answers and proxy.deaf):
                await proxy.changed.wait()
            writer.write(chunk)
            await writer.drain()
    if answers or writer.transport.is_closing():
        writer.close()
    else:
        # A caller that closes does not undo what it has sent.
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
