"""One caller at a real daemon: what is served, and how it is refused."""

import asyncio
import collections.abc
import functools
import pathlib
import signal
import socket

import pytest

from chestnuttide.node import _dispatch
from chestnuttide.node import _intake
from chestnuttide.node import _intake_http
from chestnuttide.node import _metrics
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide.node.tests import test_intake
from standins import crowds
from standins import node_cell

BODY_BYTES = 262_144
JOB = node_cell.make_job()
LARGEST = JOB + b" " * (BODY_BYTES - len(JOB))
TOO_LARGE = LARGEST + b" "
ANSWER_TIMEOUT_S = 60.0

CHUNKED = "Transfer-Encoding: chunked"


def chunks(body: bytes, size: int) -> crowds.Pieces:
    """Yield a chunked request of chunks of this size."""
    yield crowds.head(CHUNKED)
    for start in range(0, len(body), size):
        part = body[start : start + size]
        yield f"{len(part):x}\r\n".encode() + part + b"\r\n"
    yield b"0\r\n\r\n"


def pieces(body: bytes, size: int) -> crowds.Pieces:
    """Yield a request of an announced length piece by piece."""
    yield crowds.head(f"Content-Length: {len(body)}")
    for start in range(0, len(body), size):
        yield body[start : start + size]


async def ask(
    node: node_cell.Node, sent: crowds.Pieces
) -> tuple[int, dict[str, str], bool]:
    """Return the status, the headers, and whether the connection ended."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.caller_port
        )
        for piece in sent:
            writer.write(piece)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().splitlines()
        headers = dict(
            line.lower().split(": ", 1) for line in head[1:] if line
        )
        await reader.readexactly(int(headers["content-length"]))
        ended = False
        if headers.get("connection") == "close":
            ended = await reader.read() == b""
        writer.close()
        return int(head[0].split()[1]), headers, ended


@pytest.mark.parametrize(
    ("make_pieces", "status"),
    [
        pytest.param(
            functools.partial(pieces, LARGEST, BODY_BYTES), 200, id="whole"
        ),
        pytest.param(
            functools.partial(pieces, LARGEST, 1000), 200, id="in-pieces"
        ),
        pytest.param(
            functools.partial(chunks, LARGEST, 65_536), 200, id="large-chunks"
        ),
        pytest.param(
            functools.partial(chunks, LARGEST, 4), 200, id="tiny-chunks"
        ),
        pytest.param(
            functools.partial(pieces, TOO_LARGE, 1000),
            413,
            id="one-byte-too-large",
        ),
        pytest.param(
            functools.partial(chunks, TOO_LARGE, 65_536),
            413,
            id="chunks-too-large",
        ),
        pytest.param(
            lambda: [crowds.head("Content-Length: 99999999999999999999999")],
            413,
            id="announced-far-over",
        ),
    ],
)
def test_one_caller_in_calm(
    make_pieces: collections.abc.Callable[[], crowds.Pieces],
    status: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against legal requests that are refused, and lost refusals.

    The machine is the smallest that the settings allow.
    """

    async def main() -> None:
        async with node_cell.run_cell(
            tmp_path,
            nodes=1,
            workers=1,
            capacity={"memory_mb": 96, "max_files": 400},
            max_body_bytes=BODY_BYTES,
        ) as cell:
            answer, _, ended = await ask(cell.nodes[0], make_pieces())
            assert answer == status
            assert ended == (status != 200)

    asyncio.run(main())


@pytest.mark.parametrize(
    "make_pieces",
    [
        pytest.param(
            lambda: [crowds.head("Content-Length: 90000000")], id="announced"
        ),
        pytest.param(
            # It fits, but not with the job and the record made from it.
            functools.partial(pieces, b" " * 3_500_000, 65_536),
            id="complete",
        ),
    ],
)
def test_a_refusal_for_lack_of_room_says_when_to_come_back(
    make_pieces: collections.abc.Callable[[], crowds.Pieces],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against callers that are cut off without a word.

    The body limit is over the whole budget, so there is never room.
    """

    async def main() -> None:
        async with node_cell.run_cell(
            tmp_path,
            nodes=1,
            workers=1,
            capacity={"memory_mb": 96, "max_files": 400},
            max_body_bytes=100_000_000,
        ) as cell:
            answer, headers, ended = await ask(cell.nodes[0], make_pieces())
            assert (answer, headers["retry-after"], ended) == (503, "1", True)

    asyncio.run(main())


def test_a_stop_waits_for_no_stalled_caller(tmp_path: pathlib.Path) -> None:
    """Guards against open connections that keep a daemon from its end."""

    async def main() -> None:
        async with node_cell.run_cell(tmp_path, nodes=1, workers=1) as cell:
            node = cell.nodes[0]
            async with crowds.play(
                node,
                port=node.caller_port,
                clients=20,
                make_pieces=functools.partial(crowds.whole, 1000),
            ):
                node.process.send_signal(signal.SIGTERM)
                await node_cell.wait_until(
                    lambda: node.process.poll() is not None,
                    limit_s=ANSWER_TIMEOUT_S,
                )
            assert node.process.returncode == 0

    asyncio.run(main())


@pytest.mark.parametrize("leaving", [False, True])
def test_a_caller_that_leaves_is_told_with_its_answer(leaving: bool) -> None:
    """Guards against a next request that meets a closed connection."""

    async def main() -> None:
        session = _session.Session(
            settings=None,
            store=None,
            peers=None,
            count_unreadable=lambda kind: None,
        )
        context = _responses.ApiContext(
            session=session, owned={}, metrics=_metrics.make_metrics()
        )
        port = _intake_http.make_port(
            name="callers",
            intake=test_intake.make_intake(),
            header_bytes=4096,
            handle=_dispatch.make_callback(context),
            refuse=functools.partial(_dispatch.refuse_unread, context),
        )
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        _intake_http._accept(port, ours, ("127.0.0.1", 1))
        (caller,) = port.intake.callers
        reader, writer = await asyncio.open_connection(sock=theirs)
        caller.leaving = leaving
        writer.write(crowds.head(method="GET"))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            assert (b"\r\nconnection: close\r\n" in head) is leaving
            if leaving:
                await reader.read()
                assert caller not in port.intake.callers
        assert port.intake.reasons == (
            {_intake.Reason.CONNECTIONS: 1} if leaving else {}
        )
        writer.close()

    asyncio.run(main())
