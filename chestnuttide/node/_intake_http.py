"""HTTP servers whose connections and requests pass the intake.

tornado's hooks are used: a stream that counts what it reads, and a delegate
for each request that refuses it before its body is kept.
"""

import asyncio
import collections
import collections.abc
import contextlib
import functools
import socket as socket_module

import attrs
from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from chestnuttide.node import _clock
from chestnuttide.node import _intake

# Most bytes read at once. A body is joined from such pieces.
READ_BYTES = 16_384

# Bytes read at once before it is known whether a body is chunked.
HEADER_READ_BYTES = 4096

# Bytes read in one turn of the loop on all chunked bodies and large headers of
# a port together, and on one. A chunk or header line may be as small as six
# bytes, and each costs time, so that a crowd could keep the loop from the
# store's calls.
COSTLY_TURN_BYTES = 4096
COSTLY_READ_BYTES = 2048

# A body whose last bytes came in large chunks costs little: this share of
# them was the body's. Its bytes count for less in a turn.
LARGE_CHUNKS_SHARE = 0.99
LARGE_CHUNKS_WEIGHT = 16

# Bytes that the kernel may hold for a connection.
RECEIVE_BUFFER_BYTES = 65_536

# Bytes of a refused body that are read and dropped, so that its sender finds
# the answer before the connection ends.
LINGER_BYTES = 1024 * 1024

# Limits of tornado that don't apply: it would close a connection without an
# answer, and the sweep has time limits of its own.
NO_LIMIT = 2**62
NO_TIME_LIMIT_S = 24 * 3600.0

Refusal = tuple[int, httputil.HTTPHeaders, bytes]


@attrs.define(kw_only=True, slots=True, eq=False)
class Port:
    """A listening port.

    Attributes
    ----------
    name : str
        Name on the operators' page.
    intake : Intake
        Its connections.
    handle : function
        Called with each request.
    refuse : function
        Returns the status, headers and body of a refusal.
    refresh : function
        Called before each request and each sweep; sets changed limits.
    server : HTTPServer
        The server.
    streams : dict of Caller to IOStream
        Stream of each connection.
    costly_turn : int
        Bytes that may still be read on chunked bodies and large headers in
        this turn.
    turn_planned : bool
        Whether the next turn is planned.
    waiting : deque of Future
        Chunked bodies that wait for a turn to begin in.
    closers : list of function
        Each stops listening on a socket.
    """

    name: str
    intake: _intake.Intake
    handle: collections.abc.Callable[[httputil.HTTPServerRequest], None]
    refuse: collections.abc.Callable[[_intake.Reason], Refusal]
    server: httpserver.HTTPServer
    refresh: collections.abc.Callable[[], None] = lambda: None
    streams: dict[_intake.Caller, iostream.IOStream] = attrs.field(
        factory=dict
    )
    costly_turn: int = COSTLY_TURN_BYTES
    turn_planned: bool = False
    waiting: collections.deque[asyncio.Future[None]] = attrs.field(
        factory=collections.deque
    )
    closers: list[collections.abc.Callable[[], None]] = attrs.field(
        factory=list
    )


class _Stream(iostream.IOStream):
    """A connection whose received bytes are counted."""

    def __init__(
        self, socket: socket_module.socket, port: Port, peer: str
    ) -> None:
        now = _clock.now()
        self.port = port
        self.chunked = False
        self.last_read = 0
        self.last_delivered = 0
        self.exchange: _Exchange | None = None
        self.caller = _intake.Caller(
            peer=peer, leave=self._leave, since=now, progress_at=now
        )
        super().__init__(
            socket,
            max_buffer_size=NO_LIMIT,
            read_chunk_size=READ_BYTES,
        )

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what this turn allows and count it."""
        size = len(buf)
        weight = 1
        costly = self.chunked or (
            self.caller.phase == _intake.Phase.HEADERS
            and self.caller.received >= HEADER_READ_BYTES
        )
        if costly:
            if self.port.costly_turn <= 0:
                return None
            if self.chunked and (
                self.last_delivered >= LARGE_CHUNKS_SHARE * self.last_read > 0
            ):
                weight = LARGE_CHUNKS_WEIGHT
            else:
                size = min(size, COSTLY_READ_BYTES)
        elif self.caller.phase in (
            _intake.Phase.IDLE,
            _intake.Phase.HEADERS,
        ):
            size = min(size, HEADER_READ_BYTES)
        with memoryview(buf) as whole, whole[:size] as part:
            received = super().read_from_fd(part)
        if not received:
            return received
        if costly:
            self.last_read = received
            self.last_delivered = 0
            self.port.costly_turn -= max(1, received // weight)
            _plan_turn(self.port)
        if self.caller.phase == _intake.Phase.REFUSED:
            return received
        if not _intake.receive(
            self.port.intake, self.caller, received, _clock.now()
        ):
            # The stream is in the middle of a read.
            self.io_loop.add_callback(
                self._leave, _intake.Reason.BUDGET_FULL, noted=False
            )
        return received

    def close_fd(self) -> None:
        """Close the socket and forget the connection."""
        _intake.remove(self.port.intake, self.caller)
        self.port.streams.pop(self.caller, None)
        super().close_fd()

    def _leave(self, reason: _intake.Reason, *, noted: bool = True) -> None:
        if self.closed():
            return
        if self.caller.phase == _intake.Phase.SERVED and not noted:
            # The request was handed over while this call waited.
            return
        if not noted:
            _intake.note(self.port.intake, reason)
        exchange = self.exchange
        if exchange is not None and self.caller.phase == _intake.Phase.BODY:
            exchange.refuse(reason, linger=False)
        else:
            self.close()


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a connection, until it is handed over or refused."""

    def __init__(
        self, stream: _Stream, connection: httputil.HTTPConnection
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._request: httputil.HTTPServerRequest | None = None
        self._body = bytearray()
        self._dropped = 0
        self._written: asyncio.Future[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> asyncio.Future[None] | None:
        """Refuse a request whose size or the budget forbids it.

        A chunked body waits for a turn to begin in.
        """
        stream = self._stream
        if stream.closed():
            # tornado goes on with what it has read.
            return None
        stream.port.refresh()
        intake = stream.port.intake
        now = _clock.now()
        _intake.begin(stream.caller, _intake.Phase.BODY, now)
        stream.chunked = http1connection.is_transfer_encoding_chunked(headers)
        self._request = httputil.HTTPServerRequest(
            connection=self._connection,
            start_line=start_line,
            headers=headers,
        )
        lines = sum(1 for _ in headers.get_all())
        announced = _announced_bytes(headers)
        if announced > intake.limits.body_bytes:
            _intake.note(intake, _intake.Reason.TOO_LARGE)
            self.refuse(
                _intake.Reason.TOO_LARGE,
                linger=announced <= intake.limits.body_bytes + LINGER_BYTES
                and "Expect" not in headers,
            )
        elif not (
            _intake.charge(
                intake,
                stream.caller,
                lines * _intake.HEADER_LINE_BYTES,
                now,
            )
            and _intake.make_room(intake, stream.caller, announced, now)
        ):
            _intake.note(intake, _intake.Reason.BUDGET_FULL)
            self.refuse(_intake.Reason.BUDGET_FULL, linger=False)
        elif stream.chunked:
            return _wait_for_turn(stream.port)
        return None

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, or drop it after a refusal."""
        stream = self._stream
        stream.last_delivered += len(chunk)
        if self._written is not None:
            self._dropped += len(chunk)
            if self._dropped > LINGER_BYTES:
                stream.close()
            return
        limit = stream.port.intake.limits.body_bytes
        if len(self._body) + len(chunk) > limit:
            _intake.note(stream.port.intake, _intake.Reason.TOO_LARGE)
            self.refuse(_intake.Reason.TOO_LARGE, linger=True)
            return
        self._body += chunk

    def finish(self) -> None:
        """Hand a complete request over."""
        stream = self._stream
        if self._written is not None:
            self._end()
            return
        if stream.closed():
            # What was read before the end is not executed: no answer
            # could say so.
            return
        request = self._request
        request.body = bytes(self._body)
        self._body = bytearray()
        intake = stream.port.intake
        now = _clock.now()
        size = len(request.body) * (_intake.SERVED_BODY_FACTOR - 1)
        # One body in calm is served whatever its size.
        size = min(size, intake.limits.budget_bytes // 2)
        if not _intake.charge(intake, stream.caller, size, now):
            _intake.note(intake, _intake.Reason.BUDGET_FULL)
            self.refuse(_intake.Reason.BUDGET_FULL, linger=True)
            self._end()
            return
        stream.chunked = False
        _intake.begin(stream.caller, _intake.Phase.SERVED, now)
        stream.caller.served += 1
        stream.port.handle(request)

    def _end(self) -> None:
        """End the connection after the refusal, which says that it ends."""
        if self._written is not None:
            self._written.add_done_callback(lambda _: self._stream.close())

    def on_connection_close(self) -> None:
        """Drop what was received."""
        self._body = bytearray()

    def refuse(self, reason: _intake.Reason, *, linger: bool) -> None:
        """Answer with a refusal and end the connection.

        With `linger` the body is read and dropped first, within bounds.
        """
        stream = self._stream
        if stream.closed() or self._written is not None:
            return
        self._body = bytearray()
        _intake.release(stream.port.intake, stream.caller)
        _intake.begin(stream.caller, _intake.Phase.REFUSED, _clock.now())
        status, headers, body = stream.port.refuse(reason)
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(body))
        with contextlib.suppress(OSError, httputil.HTTPOutputError):
            self._written = self._connection.write_headers(
                httputil.ResponseStartLine("HTTP/1.1", status, ""),
                headers,
                body,
            )
            if not linger:
                self._connection.finish()


class _Delegate(httputil.HTTPServerConnectionDelegate):
    """Makes an exchange for each request."""

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        stream = request_conn.stream
        if stream.caller.leaving:
            _intake.note(stream.port.intake, _intake.Reason.CONNECTIONS)
            stream.close()
        _intake.release(stream.port.intake, stream.caller)
        _intake.begin(stream.caller, _intake.Phase.IDLE, _clock.now())
        stream.exchange = _Exchange(stream, request_conn)
        return stream.exchange


def _announced_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the announced length; tornado refuses those that are none."""
    text = headers.get("Content-Length", "").partition(",")[0].strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    # A text of many digits is too long to convert.
    return int(text) if len(text) < 20 else NO_LIMIT


def _wait_for_turn(port: Port) -> asyncio.Future[None]:
    """Return a future that ends in a turn of its own."""
    future = asyncio.get_running_loop().create_future()
    port.waiting.append(future)
    _plan_turn(port)
    return future


def _plan_turn(port: Port) -> None:
    if not port.turn_planned:
        port.turn_planned = True
        asyncio.get_running_loop().call_soon(_begin_turn, port)


def _begin_turn(port: Port) -> None:
    port.turn_planned = False
    port.costly_turn = COSTLY_TURN_BYTES
    if port.waiting:
        future = port.waiting.popleft()
        if not future.done():
            future.set_result(None)
    if port.waiting:
        _plan_turn(port)


def make_port(
    *,
    name: str,
    intake: _intake.Intake,
    header_bytes: int,
    handle: collections.abc.Callable[[httputil.HTTPServerRequest], None],
    refuse: collections.abc.Callable[[_intake.Reason], Refusal],
) -> Port:
    """Return a port that does not listen yet."""
    server = httpserver.HTTPServer(
        _Delegate(),
        chunk_size=READ_BYTES,
        max_header_size=header_bytes,
        max_body_size=NO_LIMIT,
        idle_connection_timeout=NO_TIME_LIMIT_S,
    )
    return Port(
        name=name, intake=intake, handle=handle, refuse=refuse, server=server
    )


def listen(port: Port, address: tuple[str, int]) -> None:
    """Start to take connections."""
    ip, number = address
    for socket in netutil.bind_sockets(number, address=ip):
        with contextlib.suppress(OSError):
            # Connections inherit it.
            socket.setsockopt(
                socket_module.SOL_SOCKET,
                socket_module.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES,
            )
        stop = netutil.add_accept_handler(
            socket, functools.partial(_accept, port)
        )
        port.closers += [stop, socket.close]


def _accept(
    port: Port, socket: socket_module.socket, address: tuple[str, int]
) -> None:
    stream = _Stream(socket, port, address[0])
    port.streams[stream.caller] = stream
    _intake.add(port.intake, stream.caller)
    if not stream.closed():
        port.server.handle_stream(stream, address)


def close(port: Port) -> None:
    """Take no more connections; those that are open stay."""
    for closer in port.closers:
        closer()
    port.closers.clear()


def is_leaving(request: httputil.HTTPServerRequest) -> bool:
    """Return whether a request's connection ends after its answer."""
    return request.connection.stream.caller.leaving


def may_answer(
    request: httputil.HTTPServerRequest, size: int
) -> _intake.Reason | None:
    """Count an answer's bytes; return the reason if they have no room."""
    stream = request.connection.stream
    if stream.closed() or _intake.charge(
        stream.port.intake, stream.caller, size, _clock.now()
    ):
        return None
    _intake.note(stream.port.intake, _intake.Reason.BUDGET_FULL)
    return _intake.Reason.BUDGET_FULL
