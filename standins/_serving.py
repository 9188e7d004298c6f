"""HTTP serving that the stand-ins share."""

import argparse
import asyncio
import collections.abc
import json
import signal
import sys
import typing

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from chestnuttide import errors
from chestnuttide.platform import _json_wire

HOST: typing.Final[str] = "127.0.0.1"

# Enough for callers that connect all at once at the peak of a test.
_BACKLOG: typing.Final[int] = 1024

Control: typing.TypeAlias = collections.abc.Callable[
    [dict[str, typing.Any]], object
]
Evidence: typing.TypeAlias = collections.abc.Callable[
    [dict[str, str]], dict[str, typing.Any]
]


@attrs.define(kw_only=True)
class Served:
    """A stand-in that is being served.

    Attributes
    ----------
    name : str
        Name in the control server's paths.
    port : int
        Port that it listens on.
    server : CountingServer
        Its HTTP server.
    control : function
        Applies the fields of a ``POST /control``.
    evidence : function
        Returns the answer to ``GET /control`` from the query's fields.
    close : function
        Stops the stand-in's own timers.
    """

    name: str
    port: int
    server: "CountingServer"
    control: Control
    evidence: Evidence
    close: collections.abc.Callable[[], None] = lambda: None


class CountingServer(httpserver.HTTPServer):
    """An HTTP server that knows its open connections."""

    def initialize(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Create a server without connections."""
        super().initialize(*args, **kwargs)
        self.open_streams: set[iostream.IOStream] = set()
        self.on_open: collections.abc.Callable[[], None] = lambda: None

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Count a new connection."""
        self.open_streams.add(stream)
        self.on_open()
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self.open_streams = {
            stream for stream in self.open_streams if not stream.closed()
        }
        super().on_close(server_conn)


class Handler(web.RequestHandler):
    """Base of the stand-ins' handlers."""

    def reply(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
    ) -> None:
        """Answer with a body."""
        self.set_status(status)
        self.set_header("Content-Type", content_type)
        self.finish(body)

    def hang_up(self) -> None:
        """Close the connection without an answer."""
        if not self._finished:
            self.detach().close()

    def compute_etag(self) -> None:
        """Send no ETag."""
        return

    def set_default_headers(self) -> None:
        """Send no headers that the callers don't need."""
        self.clear_header("Server")


class ControlHandler(Handler):
    """Evidence and faults of one stand-in."""

    def initialize(self, control: Control, evidence: Evidence) -> None:
        """Keep the functions of the stand-in."""
        self._control = control
        self._evidence = evidence

    def prepare(self) -> None:
        """Leave control connections out of the evidence."""
        server = self.settings.get("server")
        if server is not None:
            server.open_streams.discard(self.request.connection.stream)

    def get(self) -> None:
        """Return the evidence."""
        query = {
            name: self.get_query_argument(name)
            for name in self.request.query_arguments
        }
        self.reply(200, _json_wire.dump(self._evidence(query)))

    def post(self) -> None:
        """Set faults."""
        try:
            result = self._control(_json_wire.load(self.request.body))
        except (errors.SchedulerError, ValueError, TypeError) as error:
            self.reply(400, _json_wire.dump({"error": str(error)}))
            return
        self.reply(200, _json_wire.dump(result or {}))


def listen(
    *,
    name: str,
    port: int,
    routes: list[typing.Any],
    control: Control,
    evidence: Evidence,
) -> Served:
    """Serve routes and ``/control`` on a loopback port; 0 picks a free one."""
    hooks = {"control": control, "evidence": evidence}
    application = web.Application(
        [*routes, ("/control", ControlHandler, hooks)],
        log_function=_log_nothing,
    )
    server = CountingServer(application)
    application.settings["server"] = server
    sockets = netutil.bind_sockets(port, HOST, backlog=_BACKLOG)
    server.add_sockets(sockets)
    return Served(
        name=name,
        port=sockets[0].getsockname()[1],
        server=server,
        control=control,
        evidence=evidence,
    )


def listen_control(port: int, served: list[Served]) -> CountingServer:
    """Serve ``/control/<name>`` of stand-ins on a port of its own.

    It stays reachable when a stand-in refuses connections.
    """
    application = web.Application(
        [
            (
                f"/control/{item.name}",
                ControlHandler,
                {"control": item.control, "evidence": item.evidence},
            )
            for item in served
        ],
        log_function=_log_nothing,
    )
    server = CountingServer(application)
    server.add_sockets(netutil.bind_sockets(port, HOST, backlog=_BACKLOG))
    return server


async def close(served: Served) -> None:
    """Stop listening and close every connection."""
    served.close()
    served.server.stop()
    for stream in list(served.server.open_streams):
        stream.close()
    await asyncio.sleep(0)


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all stand-ins take."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--port", type=int, required=True, help="first port; 0 picks one"
    )
    parser.add_argument(
        "--control-port",
        type=int,
        default=0,
        help="port of /control/<name> for all; 0 for none",
    )
    return parser


def run(
    control_port: int,
    start: collections.abc.Callable[[], list[Served]],
) -> None:
    """Serve until SIGTERM or SIGINT; prints one JSON line when ready."""

    async def serve() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        served = start()
        if control_port:
            listen_control(control_port, served)
        ready = {
            "message": "stand-in: ready",
            "ports": {item.name: item.port for item in served},
        }
        sys.stdout.write(json.dumps(ready) + "\n")
        sys.stdout.flush()
        await stopped.wait()
        for item in served:
            await close(item)

    asyncio.run(serve())


def _log_nothing(_handler: web.RequestHandler) -> None:
    return


def make_ids(first_id: str, count: int) -> list[str]:
    """Return consecutive ids from ``<name>-<number>``."""
    name, _dash, number = first_id.rpartition("-")
    return [f"{name}-{int(number) + offset}" for offset in range(count)]
