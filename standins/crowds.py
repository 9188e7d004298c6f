"""Crowds of clients that don't keep to the pages, for tests on loopback.

Each client of a crowd opens one connection, sends what its kind says, and
stays open until the crowd ends. A daemon may refuse it or close it.
"""

import asyncio
import collections.abc
import contextlib
import multiprocessing
import multiprocessing.connection
import os
import pathlib

import attrs

from standins import node_cell

# Time that one client is given for one write. A daemon that doesn't read may
# block it; the crowd goes on without it.
WRITE_TIMEOUT_S = 2.0

# Clients that send at the same time.
SENDERS = 50

PIECE_BYTES = 16_384

# How often the end of the sending is looked for.
POLL_S = 0.02

Pieces = collections.abc.Iterable[bytes]


@attrs.define(kw_only=True)
class Peak:
    """Most that a process has used.

    Attributes
    ----------
    memory_mb : float
        Peak of its resident memory, in MiB.
    files : int
        Most open descriptors that were seen.
    """

    memory_mb: float = 0.0
    files: int = 0


def head(
    *lines: str, path: str = "/layout/00000000000000aa", method: str = "POST"
) -> bytes:
    """Return the start of a request with these header lines."""
    return "\r\n".join(
        (
            f"{method} {path} HTTP/1.1",
            f"Host: {node_cell.HOST}",
            *lines,
            "",
            "",
        )
    ).encode()


def whole(size: int) -> Pieces:
    """Yield a body that is sent at once but for its last byte."""
    yield head(f"Content-Length: {size}") + b" " * (size - 1)


def in_pieces(size: int) -> Pieces:
    """Yield a body that is sent piece by piece but for its last byte."""
    yield head(f"Content-Length: {size}")
    left = size - 1
    while left:
        piece = min(PIECE_BYTES, left)
        left -= piece
        yield b" " * piece


def chunked(size: int, *, chunk: int) -> Pieces:
    """Yield a chunked body without its last chunk."""
    yield head("Transfer-Encoding: chunked")
    frame = f"{chunk:x}\r\n".encode() + b" " * chunk + b"\r\n"
    count = max(1, PIECE_BYTES // chunk)
    for _ in range(0, size, chunk * count):
        yield frame * count


def announced(size: int, *, sent: int) -> Pieces:
    """Yield a part of a body of an announced size."""
    yield head(f"Content-Length: {size}")
    for _ in range(0, sent, PIECE_BYTES):
        yield b" " * PIECE_BYTES


def endless_header(size: int) -> Pieces:
    """Yield a header without an end."""
    yield head("X-Long: 1")[:-2]
    for number in range(size // 64):
        yield f"X-{number:05}: ".encode() + b"a" * 52 + b"\r\n"


def many_headers(size: int) -> Pieces:
    """Yield a header of many short lines and no body."""
    lines = [f"a{number}:1" for number in range(size // 9)]
    yield head(*lines, "Content-Length: 100")


def silent() -> Pieces:
    """Yield nothing to send."""
    yield b""


def pipelined(count: int, *, path: str = "/layout/") -> Pieces:
    """Yield requests that are sent ahead of their answers."""
    for _ in range(0, count, 100):
        yield head(path=path, method="GET") * 100


def unread(count: int, *, path: str) -> Pieces:
    """Yield requests whose answers are not read."""
    for _ in range(count):
        yield head(path=path, method="GET")


def mesh_frame(size: int, *, sent: int) -> Pieces:
    """Yield a part of a websocket frame of an announced size."""
    yield head(
        "Upgrade: websocket",
        "Connection: Upgrade",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==",
        path="/",
        method="GET",
    )
    yield b"\x82\xff" + size.to_bytes(8) + b"\0\0\0\0"
    for _ in range(0, sent, PIECE_BYTES):
        yield b" " * PIECE_BYTES


@contextlib.asynccontextmanager
async def play(
    node: node_cell.Node,
    *,
    port: int,
    clients: int,
    make_pieces: collections.abc.Callable[[], Pieces],
) -> collections.abc.AsyncIterator[Peak]:
    """Send a crowd to a port and keep it open until the block ends.

    The block starts when all clients have sent what they can. The crowd has a
    process of its own, so that its writes don't keep the stand-ins from
    answering.
    """
    peak = Peak()
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(
        target=_run_crowd, args=(theirs, port, clients, make_pieces)
    )
    process.start()
    theirs.close()
    watch = asyncio.ensure_future(_watch(node, peak))
    try:
        # The end of the process ends the wait as well.
        while not ours.poll():
            await asyncio.sleep(POLL_S)
        ours.recv()
        yield peak
    finally:
        watch.cancel()
        measure(node, peak)
        ours.close()
        await asyncio.to_thread(process.join)


def _run_crowd(
    pipe: multiprocessing.connection.Connection,
    port: int,
    clients: int,
    make_pieces: collections.abc.Callable[[], Pieces],
) -> None:
    """Send a crowd, say so, and keep it open until the pipe ends."""
    asyncio.run(_send_crowd(pipe, port, clients, make_pieces))


async def _send_crowd(
    pipe: multiprocessing.connection.Connection,
    port: int,
    clients: int,
    make_pieces: collections.abc.Callable[[], Pieces],
) -> None:
    writers: list[asyncio.StreamWriter] = []
    senders = asyncio.Semaphore(SENDERS)

    async def send() -> None:
        async with senders:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    # The reader stops at its limit, so a client reads little.
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", port, limit=1024
                    )
                writers.append(writer)
                for piece in make_pieces():
                    async with asyncio.timeout(WRITE_TIMEOUT_S):
                        writer.write(piece)
                        await writer.drain()

    await asyncio.gather(*(send() for _ in range(clients)))
    pipe.send(None)
    with contextlib.suppress(EOFError):
        # Transports go on with what they have buffered meanwhile.
        await asyncio.to_thread(pipe.recv)
    for writer in writers:
        writer.transport.abort()


async def _watch(node: node_cell.Node, peak: Peak) -> None:
    while True:
        measure(node, peak)
        await asyncio.sleep(0.02)


def measure(node: node_cell.Node, peak: Peak) -> None:
    """Add a look at a process to its peak; does nothing after its end."""
    folder = pathlib.Path(f"/proc/{node.process.pid}")
    with contextlib.suppress(OSError):
        peak.files = max(peak.files, len(os.listdir(folder / "fd")))
        for line in (folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                peak.memory_mb = int(line.split()[1]) / 1024
