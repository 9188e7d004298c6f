"""HTTP transfers over libcurl that know whether any byte was sent."""

import asyncio
import collections.abc
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
    cancelled : bool
        Whether the caller has given the transfer up.
    """

    sent: bool = False
    withheld: bool = False
    repeated: bool = False
    cancelled: bool = False


def make_client(
    *, max_clients: int, max_host_connections: int = 0
) -> curl_httpclient.CurlAsyncHTTPClient:
    """Return a libcurl client with its own pool of connections.

    Parameters
    ----------
    max_clients : int
        Transfers at once. Further ones wait without a timeout, so this must
        exceed what the caller ever starts at once.
    max_host_connections : int
        Connections to one address; 0 for no limit.

    Returns
    -------
    CurlAsyncHTTPClient
        A client bound to the current event loop.
    """
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=max_clients
    )
    multi = client._multi
    # Without a limit of its own libcurl keeps four idle connections per
    # running transfer and closes the rest, also those of a busy peer.
    multi.setopt(pycurl.M_MAXCONNECTS, max_clients)
    multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
    return client


async def fetch(
    client: curl_httpclient.CurlAsyncHTTPClient,
    *,
    url: str,
    timeout_s: float,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    may_send: collections.abc.Callable[[], bool] | None = None,
    resend: bool = False,
    keep: bool = True,
) -> Reply:
    """Make one transfer: a POST when there is a body, else a GET.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        A client from `make_client`.
    url : str
        The whole URL.
    timeout_s : float
        Limit of the whole transfer in seconds.
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
    transfer = _Transfer()

    def before_send(*_addresses: object) -> int:
        # libcurl calls this for each request that it is about to write, also
        # on a reused connection and also when it repeats a request by
        # itself. The second call is therefore a repetition.
        if transfer.cancelled:
            return pycurl.PREREQFUNC_ABORT
        if transfer.sent and not resend:
            transfer.repeated = True
            return pycurl.PREREQFUNC_ABORT
        if may_send is not None and not may_send():
            transfer.withheld = True
            return pycurl.PREREQFUNC_ABORT
        transfer.sent = True
        return pycurl.PREREQFUNC_OK

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.PREREQFUNCTION, before_send)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.NOSIGNAL, 1)
        # Proxy settings of the environment do not apply inside the cell.
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.FORBID_REUSE, 0 if keep else 1)

    request = httpclient.HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        body=body,
        headers=headers,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        user_agent=_USER_AGENT,
        prepare_curl_callback=prepare,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except asyncio.CancelledError:
        transfer.cancelled = True
        raise
    except Exception as error:
        # Besides libcurl's errors these are errors of the request itself,
        # such as a header that cannot be encoded.
        reason = str(error)
        if transfer.withheld:
            reason = "the caller may no longer send"
        elif transfer.repeated:
            reason = "the connection was closed without a response"
        raise _failure(url, reason, sent=transfer.sent) from error
    return Reply(
        status=response.code, headers=response.headers, body=response.body
    )


def _failure(url: str, reason: str, *, sent: bool) -> errors.PlatformError:
    return errors.PlatformError(
        message=f"No response from {url}: {reason}.",
        remedy="Check that the peer is up and reachable.",
        sent=sent,
    )
