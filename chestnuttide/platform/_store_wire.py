"""Encoding of calls to the store: HTTP POST with CBOR maps."""

import typing

import cbor2

from chestnuttide import errors
from chestnuttide.platform import _ports

CONTENT_TYPE: typing.Final[str] = "application/cbor"

# Header that carries the instance id of the client.
CLIENT_HEADER: typing.Final[str] = "X-Client"

PATHS: typing.Final[dict[str, str]] = {
    "get": "/v1/get",
    "range": "/v1/range",
    "write": "/v1/write",
    "delete": "/v1/delete",
    "lease_grant": "/v1/lease/grant",
    "lease_renew": "/v1/lease/renew",
    "lease_revoke": "/v1/lease/revoke",
    "watch": "/v1/watch",
}

REVISION_CONFLICT: typing.Final[str] = "revision_conflict"
LEASE_EXPIRED: typing.Final[str] = "lease_expired"
UNAVAILABLE: typing.Final[str] = "store_unavailable"


def encode(fields: dict[str, object]) -> bytes:
    """Return the CBOR encoding of a request or a response."""
    return cbor2.dumps(fields)


def decode(body: bytes) -> dict[str, object]:
    """Return the map encoded in a body.

    Raises
    ------
    ProtocolError
        If the body is not a CBOR map.
    """
    try:
        fields = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
        raise _malformed(str(error)) from error
    if not isinstance(fields, dict):
        raise _malformed("the body is not a map")
    return fields


def encode_entry(entry: _ports.Entry) -> dict[str, object]:
    """Return an entry as a map."""
    return {
        "key": entry.key,
        "value": entry.value,
        "revision": entry.revision,
        "write_id": entry.write_id,
    }


def decode_entry(fields: dict[str, object]) -> _ports.Entry:
    """Return the entry that a map represents.

    Raises
    ------
    ProtocolError
        If a field is missing.
    """
    try:
        return _ports.Entry(
            key=fields["key"],
            value=fields["value"],
            revision=fields["revision"],
            write_id=fields["write_id"],
        )
    except (KeyError, TypeError) as error:
        raise _malformed(f"an entry lacks {error}") from error


def encode_error(error: errors.SchedulerError) -> tuple[int, bytes]:
    """Return the HTTP status and body that report an error of the store."""
    if isinstance(error, errors.RevisionConflictError):
        return 409, encode({"code": REVISION_CONFLICT})
    if isinstance(error, errors.LeaseExpiredError):
        return 404, encode({"code": LEASE_EXPIRED})
    return 503, encode({"code": UNAVAILABLE})


def decode_response(status: int, body: bytes) -> dict[str, object]:
    """Return the map in a successful response.

    Raises
    ------
    RevisionConflictError, LeaseExpiredError
        If the response reports that error.
    StoreUnavailableError
        If the status is any other than 200.
    ProtocolError
        If the body is not a CBOR map.
    """
    if status == 200:
        return decode(body)
    if status in (404, 409):
        code = decode(body).get("code")
        if code == REVISION_CONFLICT:
            raise revision_conflict()
        if code == LEASE_EXPIRED:
            raise lease_expired()
    raise unavailable(f"status {status}")


def revision_conflict() -> errors.RevisionConflictError:
    """Return the error for a failed compare-and-swap."""
    return errors.RevisionConflictError(
        message="The key does not have the expected revision.",
        remedy="Read the key again before the next write.",
    )


def lease_expired() -> errors.LeaseExpiredError:
    """Return the error for a lease that no longer exists."""
    return errors.LeaseExpiredError(
        message="The lease has expired or was revoked.",
        remedy="Request a new lease.",
    )


def unavailable(reason: str) -> errors.StoreUnavailableError:
    """Return the error for a call without a valid response."""
    return errors.StoreUnavailableError(
        message=f"The store is unavailable: {reason}.",
        remedy="Read the key back before retrying a write.",
    )


def _malformed(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        message=f"A message of the store is malformed: {reason}.",
        remedy="Check that the address is that of the store.",
    )
