"""JSON form of the shared values, for the instance list and the workers."""

import json
import typing

import cattrs

from chestnuttide import errors

_CONVERTER: typing.Final = cattrs.Converter()

_Value = typing.TypeVar("_Value")


def dump(value: object) -> bytes:
    """Return the JSON form of a value, which may hold attrs values."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def to_plain(value: object) -> typing.Any:
    """Return a value with its attrs values turned into dicts."""
    return _CONVERTER.unstructure(value)


def load(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in a body.

    Raises
    ------
    ProtocolError
        The body is no JSON object.
    """
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise malformed(str(error)) from error
    if not isinstance(fields, dict):
        raise malformed("the body is no object")
    return fields


def from_plain(plain: object, kind: type[_Value]) -> _Value:
    """Return the value of a kind in plain dicts and lists.

    Raises
    ------
    ProtocolError
        A field is missing or has another type.
    """
    try:
        return _CONVERTER.structure(plain, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise malformed(f"{error} in {kind}") from error


def malformed(reason: str) -> errors.ProtocolError:
    """Return the error for a message that cannot be decoded."""
    return errors.ProtocolError(
        message=f"A message of the platform cannot be decoded: {reason}.",
        remedy="Check the version and the address of the peer.",
    )
