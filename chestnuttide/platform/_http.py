"""HTTP transfers over libcurl that know whether any byte was sent."""

import asyncio
import collections.abc
import select
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from chestnuttide import errors

# A peer within the cell answers a SYN within a few milliseconds; the limit
# leaves room for one retransmission of a lost SYN after 1 s.
CONNECT_TIMEOUT_S: typing.Final[float] = 1.5

# Idle connections are closed after this time, so that an instance that has
# handed over a shard does not keep using up its targets' connections.
MAX_IDLE_S: typing.Final[int] = 10

# Sockets that a client remembers per transfer that it may run at once. Of
# those of closed connections the oldest are forgotten first.
_SOCKETS_PER_CLIENT: typing.Final[int] = 4

# libcurl reads a timeout of 0 ms as "no timeout".
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
        Headers, with case-insensitive names.
    body : bytes
        The whole body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@attrs.frozen(kw_only=True, slots=True, eq=False)
class HttpClient:
    """A libcurl client with its own pool of connections.

    Attributes
    ----------
    curl : CurlAsyncHTTPClient
        The client, bound to one event loop.
    sockets : dict
        File descriptors of connections by local port and peer.
    max_sockets : int
        Descriptors to remember.
    """

    curl: curl_httpclient.CurlAsyncHTTPClient
    sockets: dict[tuple[int, str, int], int]
    max_sockets: int


@attrs.frozen(kw_only=True, slots=True)
class _Call:
    """The arguments of `fetch` that hold for every connection it tries."""

    url: str
    method: str
    body: bytes | None
    headers: dict[str, str] | None
    may_send: collections.abc.Callable[[], bool] | None
    resend: bool
    keep: bool


@attrs.define(kw_only=True, slots=True)
class _Transfer:
    """Progress of one transfer.

    Attributes
    ----------
    sent : bool
        Whether libcurl was allowed to send.
    withheld : bool
        Whether `may_send` returned False.
    repeated : bool
        Whether libcurl was kept from sending the request again.
    stale : bool
        Whether the peer had closed the reused connection before.
    fault : Exception or None
        What `may_send` raised.
    cancelled : bool
        Whether the caller has given the transfer up.
    descriptor : int
        File descriptor of the socket opened for it; -1 when libcurl reuses a
        connection.
    """

    sent: bool = False
    withheld: bool = False
    repeated: bool = False
    stale: bool = False
    fault: Exception | None = None
    cancelled: bool = False
    descriptor: int = -1


def make_client(
    *, max_clients: int, max_host_connections: int = 0
) -> HttpClient:
    """Return a client for `fetch`, bound to the current event loop.

    Parameters
    ----------
    max_clients : int
        Transfers at once. Further ones wait without a timeout, so this must
        exceed what the caller ever starts at once.
    max_host_connections : int
        Connections to one address; 0 for no limit.

    Returns
    -------
    HttpClient
        A client with its own pool of connections.
    """
    curl = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=max_clients
    )
    multi = curl._multi
    # Without a limit of its own libcurl keeps four idle connections per
    # running transfer and closes the rest, also those of a busy peer.
    multi.setopt(pycurl.M_MAXCONNECTS, max_clients)
    multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
    return HttpClient(
        curl=curl,
        sockets={},
        max_sockets=_SOCKETS_PER_CLIENT * max_clients,
    )


def close(client: HttpClient) -> None:
    """Close a client and its connections; no transfer may be running."""
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
    keep: bool = True,
) -> Reply:
    """Make one transfer: by default a POST with a body, else a GET.

    Parameters
    ----------
    client : HttpClient
        A client from `make_client`.
    url : str
        The whole URL.
    timeout_s : float
        Limit of the whole transfer in seconds.
    method : str, optional
        Method, if it is not the default.
    body : bytes, optional
        Body to post.
    headers : dict of str to str, optional
        Further headers.
    may_send : function, optional
        Called when the connection stands and nothing was sent; nothing is
        sent when it returns False.
    resend : bool
        Whether libcurl may send the request once more on a new connection
        when a reused one was closed without a response.
    keep : bool
        Whether the connection may be reused afterwards.

    Returns
    -------
    Reply
        The response, whatever its status.

    Raises
    ------
    PlatformError
        No complete response came; `sent` tells whether any byte may have
        left.
    """
    if timeout_s < _MIN_TIMEOUT_S:
        raise _failure(url, "the deadline has passed", sent=False)
    call = _Call(
        url=url,
        method=method or ("GET" if body is None else "POST"),
        body=body,
        headers=headers,
        may_send=may_send,
        resend=resend,
        keep=keep,
    )
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    transfer = _Transfer()
    try:
        return await _transfer(client, call, transfer, timeout_s, fresh=False)
    except errors.PlatformError:
        remaining_s = deadline - loop.time()
        if not transfer.stale or remaining_s < _MIN_TIMEOUT_S:
            raise
    # Nothing was sent, so a new connection is safe for every request.
    return await _transfer(client, call, _Transfer(), remaining_s, fresh=True)


async def _transfer(
    client: HttpClient,
    call: _Call,
    transfer: _Transfer,
    timeout_s: float,
    *,
    fresh: bool,
) -> Reply:
    def after_open(descriptor: int, _purpose: int) -> int:
        transfer.descriptor = descriptor
        return pycurl.SOCKOPT_OK

    def before_send(
        peer_ip: str, _local_ip: str, peer_port: int, local_port: int
    ) -> int:
        # libcurl calls this for each request that it is about to write, also
        # on a reused connection and also when it repeats a request by
        # itself. A call after a send is therefore a repetition.
        if transfer.cancelled:
            return pycurl.PREREQFUNC_ABORT
        if transfer.sent and not call.resend:
            transfer.repeated = True
            return pycurl.PREREQFUNC_ABORT
        key = (local_port, peer_ip, peer_port)
        if transfer.descriptor >= 0:
            _remember(client, key, transfer.descriptor)
        elif _is_closed(client.sockets.get(key)):
            transfer.stale = True
            return pycurl.PREREQFUNC_ABORT
        try:
            allowed = call.may_send is None or call.may_send()
        except Exception as error:
            # libcurl cannot pass an exception on; it would wait until the
            # connect timeout.
            transfer.fault = error
            return pycurl.PREREQFUNC_ABORT
        if not allowed:
            transfer.withheld = True
            return pycurl.PREREQFUNC_ABORT
        transfer.sent = True
        return pycurl.PREREQFUNC_OK

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.SOCKOPTFUNCTION, after_open)
        curl.setopt(pycurl.PREREQFUNCTION, before_send)
        # Keeps libcurl from two sigaction calls around each step. TCP_NODELAY
        # and HTTP/1.1 are its defaults for http.
        curl.setopt(pycurl.NOSIGNAL, 1)
        # Proxy settings of the environment do not apply inside the cell.
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        if fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if not call.keep:
            curl.setopt(pycurl.FORBID_REUSE, 1)

    request = httpclient.HTTPRequest(
        call.url,
        method=call.method,
        body=call.body,
        headers=call.headers,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        user_agent=_USER_AGENT,
        prepare_curl_callback=prepare,
    )
    try:
        response = await client.curl.fetch(request, raise_error=False)
    except asyncio.CancelledError:
        transfer.cancelled = True
        raise
    except Exception as error:
        # Besides libcurl's errors these are errors of the request itself,
        # such as a header that cannot be encoded.
        reason = str(error)
        if transfer.withheld:
            reason = "the caller may no longer send"
        elif transfer.fault is not None:
            reason = f"the check before the send failed: {transfer.fault!r}"
        elif transfer.repeated:
            reason = "the connection was closed without a response"
        raise _failure(call.url, reason, sent=transfer.sent) from error
    return Reply(
        status=response.code, headers=response.headers, body=response.body
    )


def _remember(
    client: HttpClient, key: tuple[int, str, int], descriptor: int
) -> None:
    client.sockets.pop(key, None)
    client.sockets[key] = descriptor
    if len(client.sockets) > client.max_sockets:
        del client.sockets[next(iter(client.sockets))]


def _is_closed(descriptor: int | None) -> bool:
    """Return whether an idle connection was closed by its peer.

    libcurl itself checks a connection only when it was idle for a second. On
    an idle connection anything that can be read is the close or the rest of
    an earlier answer, and both make it unusable.
    """
    if descriptor is None:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def _failure(url: str, reason: str, *, sent: bool) -> errors.PlatformError:
    return errors.PlatformError(
        message=f"No response from {url}: {reason}.",
        remedy="Check that the peer is up and reachable.",
        sent=sent,
    )
