"""JSON encoding of attrs classes, shared by the other wire modules."""

import json
import typing

import cattrs

from chestnuttide import errors

_CONVERTER: typing.Final = cattrs.Converter()

_Value = typing.TypeVar("_Value")


def dump(value: object) -> bytes:
    """Return the JSON encoding of a value that may contain attrs objects."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def to_plain(value: object) -> typing.Any:
    """Return a value with its attrs objects converted to dicts."""
    return _CONVERTER.unstructure(value)


def load(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object encoded in a body.

    Raises
    ------
    ProtocolError
        If the body is not a JSON object.
    """
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise malformed(str(error)) from error
    if not isinstance(fields, dict):
        raise malformed("the body is not an object")
    return fields


def from_plain(plain: object, kind: type[_Value]) -> _Value:
    """Return the value of a type that plain dicts and lists represent.

    Raises
    ------
    ProtocolError
        If a field is missing or has the wrong type.
    """
    try:
        return _CONVERTER.structure(plain, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise malformed(f"{error} in {kind}") from error


def malformed(reason: str) -> errors.ProtocolError:
    """Return the error for a malformed message."""
    return errors.ProtocolError(
        message=f"A message of the platform is malformed: {reason}.",
        remedy="Check the version and address of the peer.",
    )
