"""Crowds of clients that don't keep to the pages, at one real daemon.

Nothing here depends on the machine's speed: the process lives, its memory and
descriptors stay under what its settings give it, and an ordinary job is taken
while the crowd is still open.
"""

import asyncio
import collections.abc
import functools
import pathlib

import pytest

from standins import crowds
from standins import node_cell

MEMORY_MB = 128

# Descriptors that the platform keeps for files.
FILES_FOR_FILES = 200
FEW_FILES = 512
MANY_FILES = 2048

BODY_BYTES = 262_144
FAR_OVER_BYTES = 64 * 1024 * 1024
SENT_BYTES = 16 * 1024 * 1024

# An ordinary caller sends a request again after no answer or a 503.
ATTEMPTS = 3

# Only tells a daemon that answers from one that hangs.
ANSWER_TIMEOUT_S = 60.0

CALLERS = 0
READINESS = 1
MESH = 2
METRICS = 3


def crowd(
    name: str,
    make_pieces: collections.abc.Callable[[], crowds.Pieces],
    *,
    clients: int = 400,
    files: int = MANY_FILES,
    port: int = CALLERS,
) -> object:
    return pytest.param(make_pieces, clients, files, port, id=name)


whole = functools.partial(crowds.whole, BODY_BYTES)
pieces = functools.partial(crowds.in_pieces, BODY_BYTES)
far_over = functools.partial(
    crowds.chunked, SENT_BYTES, chunk=crowds.PIECE_BYTES
)
endless_header = functools.partial(crowds.endless_header, 60_000)


@pytest.mark.parametrize(
    ("make_pieces", "clients", "files", "port"),
    [
        crowd("whole", whole),
        crowd("in-pieces", pieces),
        crowd(
            "large-chunks",
            functools.partial(crowds.chunked, BODY_BYTES, chunk=65_536),
        ),
        crowd(
            "tiny-chunks",
            functools.partial(crowds.chunked, 16_384, chunk=8),
            files=FEW_FILES,
        ),
        crowd(
            "far-over-announced",
            functools.partial(
                crowds.announced, FAR_OVER_BYTES, sent=SENT_BYTES
            ),
            clients=8,
        ),
        crowd("far-over-sent", far_over, clients=8),
        crowd("headers-without-an-end", endless_header, files=FEW_FILES),
        crowd(
            "many-short-headers",
            functools.partial(crowds.many_headers, 15_000),
        ),
        crowd("silent", crowds.silent, files=FEW_FILES),
        crowd(
            "pipelined",
            functools.partial(crowds.pipelined, 1000),
            files=FEW_FILES,
        ),
        crowd("whole-at-readiness", whole, port=READINESS),
        crowd("whole-at-metrics", whole, port=METRICS),
        crowd(
            "silent-at-readiness",
            crowds.silent,
            files=FEW_FILES,
            port=READINESS,
        ),
        crowd(
            "unread-at-metrics",
            functools.partial(crowds.unread, 100, path="/metrics"),
            files=FEW_FILES,
            port=METRICS,
        ),
        crowd("silent-at-the-mesh", crowds.silent, files=FEW_FILES, port=MESH),
        crowd(
            "large-frames-at-the-mesh",
            functools.partial(
                crowds.mesh_frame, FAR_OVER_BYTES - 1024, sent=SENT_BYTES
            ),
            clients=8,
            port=MESH,
        ),
    ],
)
def test_a_crowd_ends_no_process(
    make_pieces: collections.abc.Callable[[], crowds.Pieces],
    clients: int,
    files: int,
    port: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against clients that exhaust memory or descriptors."""

    async def main() -> None:
        async with node_cell.run_cell(
            tmp_path,
            nodes=1,
            workers=1,
            capacity={"memory_mb": MEMORY_MB, "max_files": files},
            max_body_bytes=BODY_BYTES,
        ) as cell:
            node = cell.nodes[0]
            async with crowds.play(
                node,
                port=node.caller_port + port,
                clients=clients,
                make_pieces=make_pieces,
            ) as peak:
                statuses = []
                while len(statuses) < ATTEMPTS and 200 not in statuses:
                    job_id = f"{len(statuses):016x}"
                    statuses.append(
                        await node_cell.call(
                            node_cell.url(node, job_id),
                            method="POST",
                            body=node_cell.make_job(),
                            timeout_s=ANSWER_TIMEOUT_S,
                        )
                    )
                ready = await node_cell.call(
                    f"http://127.0.0.1:{node.readiness_port}/v1/ready",
                    timeout_s=ANSWER_TIMEOUT_S,
                )
            print(peak, statuses, ready)
            assert node.process.poll() is None
            assert peak.memory_mb <= MEMORY_MB, peak
            assert peak.files <= files - FILES_FOR_FILES, peak
            assert statuses[-1] == 200
            assert ready == 200

    asyncio.run(main())
