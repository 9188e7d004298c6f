"""HTTP server parts shared by the stand-ins."""

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

# Listen backlog for callers that all connect at once at the peak of a test.
_BACKLOG_CONNECTIONS: typing.Final[int] = 1024

Control: typing.TypeAlias = collections.abc.Callable[
    [dict[str, typing.Any]], object
]
Evidence: typing.TypeAlias = collections.abc.Callable[
    [dict[str, str]], dict[str, typing.Any]
]


@attrs.define(kw_only=True)
class Standin:
    """A stand-in that is being served.

    Attributes
    ----------
    name : str
        Name in the paths of the control server.
    port : int
        Listening port.
    server : CountingServer
        Its HTTP server.
    control : function
        Applies the fields of a ``POST /control``.
    evidence : function
        Returns the response to ``GET /control``, given the query fields.
    close : function
        Stops the timers of the stand-in.
    """

    name: str
    port: int
    server: "CountingServer"
    control: Control
    evidence: Evidence
    close: collections.abc.Callable[[], None] = lambda: None


class CountingServer(httpserver.HTTPServer):
    """An HTTP server that tracks its open connections."""

    def initialize(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Create a server without connections."""
        super().initialize(*args, **kwargs)
        self.open_streams: set[iostream.IOStream] = set()
        self.on_open: collections.abc.Callable[[], None] = lambda: None

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Track a new connection."""
        self.open_streams.add(stream)
        self.on_open()
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Drop closed connections."""
        self.open_streams = {
            stream for stream in self.open_streams if not stream.closed()
        }
        super().on_close(server_conn)


class Handler(web.RequestHandler):
    """Base class of the stand-ins' request handlers."""

    def reply(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
    ) -> None:
        """Send a response with a body."""
        self.set_status(status)
        self.set_header("Content-Type", content_type)
        self.finish(body)

    def hang_up(self) -> None:
        """Close the connection without a response."""
        if not self._finished:
            self.detach().close()

    def compute_etag(self) -> None:
        """Send no ETag."""
        return

    def set_default_headers(self) -> None:
        """Leave out headers that callers do not need."""
        self.clear_header("Server")


class ControlHandler(Handler):
    """Handler for the observations and faults of one stand-in."""

    def initialize(self, control: Control, evidence: Evidence) -> None:
        """Store the functions of the stand-in."""
        self._control = control
        self._evidence = evidence

    def prepare(self) -> None:
        """Exclude control connections from the observations."""
        server = self.settings.get("server")
        if server is not None:
            server.open_streams.discard(self.request.connection.stream)

    def get(self) -> None:
        """Return the observations."""
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
) -> Standin:
    """Serve routes and ``/control`` on a loopback port; 0 picks a free one."""
    handler_arguments = {"control": control, "evidence": evidence}
    application = web.Application(
        [*routes, ("/control", ControlHandler, handler_arguments)],
        log_function=_log_nothing,
    )
    server = CountingServer(application)
    application.settings["server"] = server
    sockets = netutil.bind_sockets(port, HOST, backlog=_BACKLOG_CONNECTIONS)
    server.add_sockets(sockets)
    return Standin(
        name=name,
        port=sockets[0].getsockname()[1],
        server=server,
        control=control,
        evidence=evidence,
    )


def listen_control(port: int, standins: list[Standin]) -> CountingServer:
    """Serve ``/control/<name>`` for stand-ins on a separate port.

    The port stays reachable when a stand-in refuses connections.
    """
    application = web.Application(
        [
            (
                f"/control/{item.name}",
                ControlHandler,
                {"control": item.control, "evidence": item.evidence},
            )
            for item in standins
        ],
        log_function=_log_nothing,
    )
    server = CountingServer(application)
    server.add_sockets(
        netutil.bind_sockets(port, HOST, backlog=_BACKLOG_CONNECTIONS)
    )
    return server


async def close(standin: Standin) -> None:
    """Stop listening and close every connection."""
    standin.close()
    standin.server.stop()
    for stream in list(standin.server.open_streams):
        stream.close()
    await asyncio.sleep(0)


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--port",
        type=int,
        required=True,
        help="first port; 0 picks a free one",
    )
    parser.add_argument(
        "--control-port",
        type=int,
        default=0,
        help="port that serves /control/<name> for all; 0 for none",
    )
    return parser


def run(
    control_port: int,
    start: collections.abc.Callable[[], list[Standin]],
) -> None:
    """Serve until SIGTERM or SIGINT; print one JSON line when ready."""

    async def serve() -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        standins = start()
        if control_port:
            listen_control(control_port, standins)
        ready = {
            "message": "stand-in: ready",
            "ports": {item.name: item.port for item in standins},
        }
        sys.stdout.write(json.dumps(ready) + "\n")
        sys.stdout.flush()
        await stop_requested.wait()
        for item in standins:
            await close(item)

    asyncio.run(serve())


def _log_nothing(_handler: web.RequestHandler) -> None:
    return


def make_ids(first_id: str, count: int) -> list[str]:
    """Return consecutive ids that start at ``<name>-<number>``."""
    name, _dash, number = first_id.rpartition("-")
    return [f"{name}-{int(number) + offset}" for offset in range(count)]
