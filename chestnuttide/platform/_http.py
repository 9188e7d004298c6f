"""HTTP client over libcurl that reports whether a request was sent."""

import asyncio
import collections.abc
import contextlib
import os
import select
import socket
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from chestnuttide import errors

# A peer in the cell answers a SYN within milliseconds. The limit allows one
# retransmission, which follows a lost SYN after 1 s.
CONNECT_TIMEOUT_S: typing.Final[float] = 1.5

# Idle connections older than this are closed, so that an instance that has
# handed over a shard does not keep occupying connections of its targets.
MAX_IDLE_S: typing.Final[int] = 10

# Sockets tracked per concurrent transfer. A full table drops its oldest entry,
# usually that of a connection which has been closed.
_SOCKETS_PER_CLIENT: typing.Final[int] = 4

# libcurl treats a timeout of 0 ms as no timeout.
_MIN_TIMEOUT_S: typing.Final[float] = 0.001

_USER_AGENT: typing.Final[str] = "chestnuttide"


@attrs.frozen(kw_only=True, slots=True)
class Reply:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Response headers; names are case-insensitive.
    body : bytes
        Complete body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@attrs.frozen(kw_only=True, slots=True, eq=False)
class HttpClient:
    """A libcurl client with its own connection pool.

    Attributes
    ----------
    curl : CurlAsyncHTTPClient
        The client, bound to one event loop.
    sockets : dict
        File descriptor of each connection by its local port, peer IP address
        and peer port.
    max_sockets : int
        Maximum number of entries in `sockets`.
    """

    curl: curl_httpclient.CurlAsyncHTTPClient
    sockets: dict[tuple[int, str, int], int]
    max_sockets: int


@attrs.frozen(kw_only=True, slots=True)
class _Request:
    """The arguments of `fetch` that are the same for each connection tried."""

    url: str
    method: str
    body: bytes | None
    headers: dict[str, str] | None
    may_send: collections.abc.Callable[[], bool] | None
    resend: bool
    keep_alive: bool
    stall_s: float | None


@attrs.define(kw_only=True, slots=True)
class _Transfer:
    """State of one transfer.

    Attributes
    ----------
    sent : bool
        Whether libcurl was allowed to send the request.
    withheld : bool
        Whether `may_send` returned False.
    resend_blocked : bool
        Whether libcurl was prevented from sending the request again.
    stale : bool
        Whether the peer had already closed the reused connection.
    check_error : Exception or None
        Exception that `may_send` raised.
    cancelled : bool
        Whether the transfer was cancelled.
    descriptor : int
        File descriptor of the transfer's socket; -1 until it is known.
    opened : bool
        Whether that socket was opened for the transfer.
    active_at : float
        Time of the loop at which bytes last arrived, or the request was sent.
    stalled : bool
        Whether the transfer was ended because no bytes arrived.
    chunks : list of bytes
        What has arrived of a body whose arrival is watched.
    """

    sent: bool = False
    withheld: bool = False
    resend_blocked: bool = False
    stale: bool = False
    check_error: Exception | None = None
    cancelled: bool = False
    descriptor: int = -1
    opened: bool = False
    active_at: float = 0.0
    stalled: bool = False
    chunks: list[bytes] = attrs.field(factory=list)


def make_client(
    *, max_clients: int, max_host_connections: int = 0
) -> HttpClient:
    """Return a client for `fetch`, bound to the current event loop.

    Parameters
    ----------
    max_clients : int
        Maximum number of concurrent transfers. Further transfers are queued
        without a timeout, so this must exceed the number that is ever started
        at once.
    max_host_connections : int
        Maximum number of connections to one address; 0 for no limit.

    Returns
    -------
    HttpClient
        A client with its own connection pool.
    """
    curl = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=max_clients
    )
    multi = curl._multi
    # By default libcurl caches four connections per running transfer and
    # closes the others, even if their peer is in frequent use.
    multi.setopt(pycurl.M_MAXCONNECTS, max_clients)
    multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
    return HttpClient(
        curl=curl,
        sockets={},
        max_sockets=_SOCKETS_PER_CLIENT * max_clients,
    )


def close(client: HttpClient) -> None:
    """Close a client and its connections; no transfer may be in progress."""
    client.curl.close()


async def fetch(
    client: HttpClient,
    *,
    url: str,
    timeout_s: float,
    method: str = "",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    may_send: collections.abc.Callable[[], bool] | None = None,
    resend: bool = False,
    keep_alive: bool = True,
    stall_s: float | None = None,
) -> Reply:
    """Send a request; the default method is POST with a body, else GET.

    Parameters
    ----------
    client : HttpClient
        Client from `make_client`.
    url : str
        Absolute URL.
    timeout_s : float
        Timeout of the whole transfer in seconds.
    method : str, optional
        HTTP method, if not the default.
    body : bytes, optional
        Request body.
    headers : dict of str to str, optional
        Additional headers.
    may_send : function, optional
        Called when the connection is established and before anything is
        sent; if it returns False, the request is not sent.
    resend : bool
        Whether libcurl may send the request again on a new connection if a
        reused one was closed without a response.
    keep_alive : bool
        Whether the connection may be reused afterwards.
    stall_s : float, optional
        Longest time without a further byte of the response, in seconds. With
        it, `timeout_s` may be so long that a large body arrives over a slow
        link.

    Returns
    -------
    Reply
        The response, with any status.

    Raises
    ------
    PlatformError
        If no complete response arrived; `sent` tells whether any part of the
        request may have been sent.
    """
    if timeout_s < _MIN_TIMEOUT_S:
        raise _make_error(url, "the deadline has passed", sent=False)
    request = _Request(
        url=url,
        method=method or ("GET" if body is None else "POST"),
        body=body,
        headers=headers,
        may_send=may_send,
        resend=resend,
        keep_alive=keep_alive,
        stall_s=stall_s,
    )
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    transfer = _Transfer()
    try:
        return await _transfer(
            client, request, transfer, timeout_s, new_connection=False
        )
    except errors.PlatformError:
        remaining_s = deadline - loop.time()
        if not transfer.stale or remaining_s < _MIN_TIMEOUT_S:
            raise
    # Nothing was sent, so any request is safe to retry on a new connection.
    return await _transfer(
        client, request, _Transfer(), remaining_s, new_connection=True
    )


async def _transfer(
    client: HttpClient,
    request: _Request,
    transfer: _Transfer,
    timeout_s: float,
    *,
    new_connection: bool,
) -> Reply:
    loop = asyncio.get_running_loop()

    def on_socket_open(descriptor: int, _purpose: int) -> int:
        transfer.descriptor = descriptor
        transfer.opened = True
        return pycurl.SOCKOPT_OK

    def on_before_send(
        peer_ip: str, _local_ip: str, peer_port: int, local_port: int
    ) -> int:
        # libcurl calls this before it writes a request, also on a reused
        # connection and also when it resends the request by itself. A second
        # call that follows a permitted send is therefore a resend.
        if transfer.cancelled:
            return pycurl.PREREQFUNC_ABORT
        if transfer.sent and not request.resend:
            transfer.resend_blocked = True
            return pycurl.PREREQFUNC_ABORT
        key = (local_port, peer_ip, peer_port)
        if transfer.opened:
            _record_socket(client, key, transfer.descriptor)
        else:
            transfer.descriptor = client.sockets.get(key, -1)
            if _is_closed(transfer.descriptor):
                transfer.stale = True
                return pycurl.PREREQFUNC_ABORT
        try:
            allowed = request.may_send is None or request.may_send()
        except Exception as error:
            # An exception cannot propagate through libcurl, which would wait
            # until the connect timeout.
            transfer.check_error = error
            return pycurl.PREREQFUNC_ABORT
        if not allowed:
            transfer.withheld = True
            return pycurl.PREREQFUNC_ABORT
        transfer.sent = True
        transfer.active_at = loop.time()
        return pycurl.PREREQFUNC_OK

    def on_data(data: bytes) -> None:
        transfer.active_at = loop.time()
        transfer.chunks.append(data)

    def configure_curl(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.SOCKOPTFUNCTION, on_socket_open)
        curl.setopt(pycurl.PREREQFUNCTION, on_before_send)
        # Avoids two sigaction calls around each step of libcurl. TCP_NODELAY
        # and HTTP/1.1 are libcurl's defaults for http URLs.
        curl.setopt(pycurl.NOSIGNAL, 1)
        # Proxy settings from the environment do not apply within the cell.
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        if new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if not request.keep_alive:
            curl.setopt(pycurl.FORBID_REUSE, 1)
        if request.stall_s is not None:
            curl.setopt(pycurl.WRITEFUNCTION, on_data)

    http_request = httpclient.HTTPRequest(
        request.url,
        method=request.method,
        body=request.body,
        headers=request.headers,
        connect_timeout=min(
            CONNECT_TIMEOUT_S, timeout_s, request.stall_s or timeout_s
        ),
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        user_agent=_USER_AGENT,
        prepare_curl_callback=configure_curl,
    )
    try:
        async with _ending_stalls(transfer, request.stall_s):
            response = await client.curl.fetch(http_request, raise_error=False)
    except asyncio.CancelledError:
        transfer.cancelled = True
        raise
    except Exception as error:
        # Either an error of libcurl or an invalid request, such as a header
        # that cannot be encoded.
        reason = str(error)
        if transfer.withheld:
            reason = "sending is no longer permitted"
        elif transfer.check_error is not None:
            reason = (
                f"the check before sending failed: {transfer.check_error!r}"
            )
        elif transfer.resend_blocked:
            reason = "the connection was closed without a response"
        elif transfer.stalled:
            received = sum(map(len, transfer.chunks))
            reason = f"the response stalled after {received} bytes"
        raise _make_error(request.url, reason, sent=transfer.sent) from error
    return Reply(
        status=response.code,
        headers=response.headers,
        body=response.body or b"".join(transfer.chunks),
    )


@contextlib.asynccontextmanager
async def _ending_stalls(
    transfer: _Transfer, stall_s: float | None
) -> collections.abc.AsyncIterator[None]:
    """End a transfer that receives no bytes for `stall_s` seconds."""
    if stall_s is None:
        yield
        return
    loop = asyncio.get_running_loop()

    async def watch() -> None:
        while True:
            active_at = transfer.active_at if transfer.sent else loop.time()
            left_s = active_at + stall_s - loop.time()
            if left_s <= 0:
                break
            await asyncio.sleep(left_s)
        transfer.stalled = True
        _shut_down(transfer.descriptor)

    watcher = asyncio.ensure_future(watch())
    try:
        yield
    finally:
        watcher.cancel()


def _shut_down(descriptor: int) -> None:
    """Shut down a socket, so that libcurl ends the transfer on it."""
    if descriptor < 0:
        return
    with contextlib.suppress(OSError):
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            connection.shutdown(socket.SHUT_RDWR)


def _record_socket(
    client: HttpClient, key: tuple[int, str, int], descriptor: int
) -> None:
    client.sockets.pop(key, None)
    client.sockets[key] = descriptor
    if len(client.sockets) > client.max_sockets:
        del client.sockets[next(iter(client.sockets))]


def _is_closed(descriptor: int) -> bool:
    """Return whether the peer has closed an idle connection.

    libcurl checks a connection only after a second of idleness. Readable data
    on an idle connection is either a close or the rest of an earlier
    response; both make the connection unusable.
    """
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def _make_error(url: str, reason: str, *, sent: bool) -> errors.PlatformError:
    return errors.PlatformError(
        message=f"No response from {url}: {reason}.",
        remedy="Check that the peer is running and reachable.",
        sent=sent,
    )
