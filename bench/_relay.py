"""A loopback TCP relay that counts the bytes of a platform stand-in."""

import asyncio
import collections.abc
import contextlib
import threading

import attrs

CHUNK_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Port and counters of a running relay.

    Attributes
    ----------
    port : int
        Port on which the relay listens.
    bytes_up, bytes_down : int
        Bytes relayed to the stand-in, and back.
    connections : int
        Connections accepted so far.
    """

    port: int = 0
    bytes_up: int = 0
    bytes_down: int = 0
    connections: int = 0


@contextlib.contextmanager
def relaying(target_port: int) -> collections.abc.Iterator[Relay]:
    """Relay connections to a loopback port in a separate thread."""
    relay = Relay()
    loop = asyncio.new_event_loop()
    ready = threading.Event()
    stop = asyncio.Event()

    async def serve() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: _connect(
                relay, target_port, reader, writer
            ),
            "127.0.0.1",
            0,
        )
        relay.port = server.sockets[0].getsockname()[1]
        ready.set()
        await stop.wait()
        server.close()
        connection_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for each in connection_tasks:
            each.cancel()
        await asyncio.gather(*connection_tasks, return_exceptions=True)

    thread = threading.Thread(
        target=lambda: loop.run_until_complete(serve()), daemon=True
    )
    thread.start()
    ready.wait()
    try:
        yield relay
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        loop.close()


async def _connect(
    relay: Relay,
    target_port: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    relay.connections += 1
    try:
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", target_port
        )
    except OSError:
        writer.close()
        return

    async def copy(
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        count: collections.abc.Callable[[int], None],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                count(len(data))
                sink.write(data)
                await sink.drain()
        sink.close()

    def count_up(size: int) -> None:
        relay.bytes_up += size

    def count_down(size: int) -> None:
        relay.bytes_down += size

    # Stopping the relay cancels this task; asyncio.start_server would log the
    # cancellation.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(
            copy(reader, up_writer, count_up),
            copy(up_reader, writer, count_down),
        )
