"""HTTP client for entry instances."""

import json
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from chestnuttide.cli import _api
from chestnuttide.cli import _exits

CONNECT_TIMEOUT_S: typing.Final = 2.0

_FIRST_ERROR_STATUS: typing.Final = 400

# No connection was made, so the call can safely be sent to another entry.
_CONNECT_ERRORS: typing.Final = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
)


@attrs.frozen(kw_only=True, slots=True)
class Reply:
    """HTTP response of an entry.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Value of the Content-Type header.
    body : bytes
        The complete response body.
    """

    status: int
    content_type: str
    body: bytes


async def call(
    entries: tuple[str, ...],
    method: str,
    path: str,
    timeout_s: float,
    body: object = None,
) -> Reply:
    """Send a call to the first entry that accepts a connection.

    Parameters
    ----------
    entries : tuple of str
        Addresses ``ip:port``, tried in this order.
    method, path : str
        HTTP method and path.
    timeout_s : float
        Timeout in seconds of a call to one entry.
    body : object, optional
        JSON value to send.

    Raises
    ------
    CommandError
        No entry accepts a connection, the connection was lost, or no
        response arrived in time.
    """
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    try:
        for entry in entries:
            request = httpclient.HTTPRequest(
                f"http://{entry}{path}",
                method=method,
                body=None if body is None else json.dumps(body),
                headers={"Content-Type": "application/json"},
                connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
                request_timeout=timeout_s,
                allow_nonstandard_methods=True,
                follow_redirects=False,
            )
            try:
                response = await client.fetch(request, raise_error=False)
            except curl_httpclient.CurlError as error:
                response_error = error
            else:
                response_error = response.error
            if not isinstance(response_error, curl_httpclient.CurlError):
                return Reply(
                    status=response.code,
                    content_type=response.headers.get("Content-Type", ""),
                    body=response.body or b"",
                )
            if not _is_connect_error(response_error):
                raise _make_lost_call_error(entry, response_error, timeout_s)
    finally:
        client.close()
    raise _exits.unreachable_error(
        f"No connection to {', '.join(entries)}.",
        "Check the address, or name another entry with --entry.",
    )


def decode(reply: Reply) -> typing.Any:
    """Return the JSON object in a response.

    Raises
    ------
    CommandError
        The response is a refusal, or it is not a JSON object.
    """
    raise_refusal(reply)
    try:
        value = json.loads(reply.body)
    except ValueError:
        value = None
    if not isinstance(value, dict) or reply.status >= _FIRST_ERROR_STATUS:
        raise _exits.unreachable_error(
            f"The response with status {reply.status} is not from an entry.",
            "Check that --entry is the HTTP address of an entry instance.",
        )
    return value


def raise_refusal(reply: Reply) -> None:
    """Raise CommandError if a response is a refusal with an error code."""
    if reply.status < _FIRST_ERROR_STATUS:
        return
    try:
        body = json.loads(reply.body)
        error = body[_api.ERROR]
        code, message = error[_api.CODE], error[_api.MESSAGE]
        remedy = error.get(_api.REMEDY, "")
    except (ValueError, TypeError, KeyError, AttributeError):
        return
    raise _exits.CommandError(
        message=message,
        remedy=remedy,
        exit_code=_exits.EXIT_REFUSED,
        code=code,
        body=body,
    )


def _is_connect_error(error: curl_httpclient.CurlError) -> bool:
    # curl has one code for all timeouts; only the message identifies a
    # connection timeout.
    return error.errno in _CONNECT_ERRORS or (
        error.errno == pycurl.E_OPERATION_TIMEDOUT
        and "onnection time" in str(error)
    )


def _make_lost_call_error(
    entry: str, error: curl_httpclient.CurlError, timeout_s: float
) -> _exits.CommandError:
    remedy = "The call may have taken effect; check before repeating it."
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return _exits.timeout_error(
            f"{entry} did not respond within {timeout_s:g} s.", remedy
        )
    return _exits.unreachable_error(
        f"The connection to {entry} was lost: {error.message}.", remedy
    )
