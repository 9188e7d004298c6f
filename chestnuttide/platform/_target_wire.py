"""Encoding of calls to targets: HTTP with the caller's payload."""

import collections.abc
import typing
from urllib import parse

from chestnuttide.platform import _json_wire

WORK_PATH: typing.Final[str] = "/v1/work"
CONTENT_TYPE: typing.Final[str] = "application/json"
REQUEST_ID_HEADER: typing.Final[str] = "X-Request-Id"
ATTEMPT_HEADER: typing.Final[str] = "X-Attempt"
EPOCH_HEADER: typing.Final[str] = "X-Epoch"
LEAVING_HEADER: typing.Final[str] = "X-Leaving"
LEAVING_CODE: typing.Final[str] = "leaving"
DEFAULT_CONTENT_TYPE: typing.Final[str] = "application/octet-stream"

# Characters of a request id that the header contains unchanged. All others,
# such as line breaks and non-ASCII characters, are percent-encoded.
_UNQUOTED_CHARACTERS: typing.Final[str] = "!#$&'()*+,/:;=?@[]"


def encode_headers(
    request_id: str, attempt: int, epoch: int
) -> dict[str, str]:
    """Return the headers of a request to a target."""
    return {
        "Content-Type": CONTENT_TYPE,
        REQUEST_ID_HEADER: parse.quote(request_id, safe=_UNQUOTED_CHARACTERS),
        ATTEMPT_HEADER: str(attempt),
        EPOCH_HEADER: str(epoch),
    }


def decode_request_id(header: str) -> str:
    """Return the request id from the value of its header."""
    return parse.unquote(header)


def is_leaving(
    status: int, headers: collections.abc.Mapping[str, str]
) -> bool:
    """Return whether a target signals that it is leaving and ran nothing.

    All three signs are required: an overloaded target also returns 503, and
    only a request that was not run may be sent to another target.
    """
    return (
        status == 503
        and headers.get(LEAVING_HEADER) == "1"
        and headers.get("Connection", "").lower() == "close"
    )


def encode_status(slots: int, busy: int) -> bytes:
    """Return the body of a target's status response."""
    return _json_wire.dump({"slots": slots, "busy": busy})


def decode_busy(body: bytes) -> int:
    """Return the number of busy slots from a target's status response.

    Raises
    ------
    ProtocolError
        If the body is malformed.
    """
    busy = _json_wire.load(body).get("busy")
    if not isinstance(busy, int) or isinstance(busy, bool) or busy < 0:
        raise _json_wire.malformed("busy is not a number of slots")
    return busy
