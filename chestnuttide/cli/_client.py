"""HTTP calls to an entry instance."""

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

# No connection was made, so another entry may be asked the same thing.
_NOT_CONNECTED: typing.Final = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
)


@attrs.frozen(kw_only=True, slots=True)
class Reply:
    """What an entry answered.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of `body`.
    body : bytes
        The whole body.
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
    """Call the first entry that accepts a connection.

    Parameters
    ----------
    entries : tuple of str
        Addresses ``ip:port`` in the order in which they are tried.
    method, path : str
        HTTP method and path.
    timeout_s : float
        Seconds for the whole call.
    body : object, optional
        JSON value to send.

    Raises
    ------
    CommandError
        No entry can be reached, or the answer did not come in time.
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
            if not _is_not_connected(response_error):
                raise _lost_error(entry, response_error, timeout_s)
    finally:
        client.close()
    raise _exits.unreachable_error(
        f"No connection to {', '.join(entries)}.",
        "Check the address, or give another entry with --entry.",
    )


def decode(reply: Reply) -> typing.Any:
    """Return the JSON value of an answer.

    Raises
    ------
    CommandError
        The answer is a refusal, or it is not JSON.
    """
    raise_refusal(reply)
    try:
        value = json.loads(reply.body)
    except ValueError:
        value = None
    if not isinstance(value, dict) or reply.status >= _FIRST_ERROR_STATUS:
        raise _exits.unreachable_error(
            f"The answer with status {reply.status} is not that of an entry.",
            "Check that --entry is the HTTP address of an entry instance.",
        )
    return value


def raise_refusal(reply: Reply) -> None:
    """Raise CommandError if an answer is a refusal."""
    if reply.status < _FIRST_ERROR_STATUS:
        return
    try:
        body = json.loads(reply.body)
        refusal = body[_api.ERROR]
        code, message = refusal[_api.CODE], refusal[_api.MESSAGE]
        remedy = refusal.get(_api.REMEDY, "")
    except (ValueError, TypeError, KeyError, AttributeError):
        return
    raise _exits.CommandError(
        message=message,
        remedy=remedy,
        exit_code=_exits.EXIT_REFUSED,
        code=code,
        body=body,
    )


def _is_not_connected(error: curl_httpclient.CurlError) -> bool:
    # curl uses one code for all timeouts; only the text tells them apart.
    return error.errno in _NOT_CONNECTED or (
        error.errno == pycurl.E_OPERATION_TIMEDOUT
        and "onnection time" in str(error)
    )


def _lost_error(
    entry: str, error: curl_httpclient.CurlError, timeout_s: float
) -> _exits.CommandError:
    remedy = "The call may have taken effect; look before you repeat it."
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return _exits.timeout_error(
            f"{entry} did not answer within {timeout_s:g} s.", remedy
        )
    return _exits.unreachable_error(
        f"The connection to {entry} broke: {error.message}.", remedy
    )
