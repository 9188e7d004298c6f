"""HTTP server with JSON bodies for the stand-ins."""

import asyncio
import collections.abc
import json
import typing

from tornado import httpserver
from tornado import httputil
from tornado import netutil

# A status and a body; None leaves the request unanswered.
Answer: typing.TypeAlias = tuple[int, dict[str, object]] | None
Handler: typing.TypeAlias = collections.abc.Callable[
    [httputil.HTTPServerRequest, dict[str, object]],
    collections.abc.Awaitable[Answer],
]


def serve(handler: Handler, *, port: int = 0) -> tuple[str, object]:
    """Serve a handler on loopback.

    Returns
    -------
    (str, HTTPServer)
        The address ``ip:port``, and the running server.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def answer(request: httputil.HTTPServerRequest) -> None:
        body = json.loads(request.body) if request.body else {}
        answered = await handler(request, body)
        if answered is None:
            return
        status, document = answered
        payload = json.dumps(document).encode()
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, ""),
            httputil.HTTPHeaders({"Content-Length": str(len(payload))}),
            payload,
        )
        request.connection.finish()

    def callback(request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(answer(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = httpserver.HTTPServer(callback)
    (socket,) = netutil.bind_sockets(port, "127.0.0.1")
    server.add_socket(socket)
    return f"127.0.0.1:{socket.getsockname()[1]}", server
