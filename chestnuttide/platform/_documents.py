"""Fields of JSON documents that other systems write, within bounds.

The functions raise errors of several classes, so callers use them in a block
of `errors.decoding`.
"""

import json
import typing

from chestnuttide import model

# Bounds of values that the users' pages do not limit. Within them, sums and
# products of values stay exact as integers and finite as numbers.
MAX_TEXT = 1000
MAX_AMOUNT = 10**9
MAX_COUNTER = 2**53
MAX_MILLISECONDS = 2**53

# Stands for the absence of a default value: the field must be there.
_REQUIRED: typing.Final = object()

Document: typing.TypeAlias = dict[str, typing.Any]


def parse_object(data: bytes) -> Document:
    """Return the JSON object in `data`."""
    return as_object(json.loads(data), "the document")


def as_object(value: object, name: str) -> Document:
    """Return a value that must be an object."""
    if not isinstance(value, dict):
        raise TypeError(f"{name} is not an object")
    return value


def read_list(document: Document, name: str) -> list[typing.Any]:
    """Return a list, empty if the field is missing or null."""
    value = document.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise TypeError(f"{name} is not a list")
    return value


def read_text(
    document: Document,
    name: str,
    *,
    default: object = _REQUIRED,
    max_length: int = MAX_TEXT,
) -> str:
    """Return a text, which is not empty unless there is a default."""
    value = document.get(name)
    # Nearly all texts take this path, which is several times as fast.
    if type(value) is str and 0 < len(value) <= max_length and value.isascii():
        return value
    value = _read(document, name, default)
    check_text(value, name, max_length=max_length)
    if not value and default is _REQUIRED:
        raise ValueError(f"{name} is empty")
    return value


def check_text(value: object, name: str, *, max_length: int) -> None:
    """Check that a value is a text that can be encoded."""
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    if len(value.encode()) > max_length:
        raise ValueError(f"{name} exceeds {max_length} bytes")


def read_integer(
    document: Document,
    name: str,
    *,
    low: int,
    high: int,
    default: object = _REQUIRED,
) -> int:
    """Return a whole number between two bounds."""
    value = document.get(name)
    if type(value) is int and low <= value <= high:
        return value
    value = _read(document, name, default)
    return check_integer(value, name, low=low, high=high)


def check_integer(value: object, name: str, *, low: int, high: int) -> int:
    """Return a value that must be a whole number between two bounds.

    Some encoders write whole numbers with a fraction of zero.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{name} is not a whole number")
    if not low <= value <= high:
        raise ValueError(f"{name} is not between {low} and {high}")
    return value


def read_number(
    document: Document,
    name: str,
    *,
    low: float = 0.0,
    high: float = MAX_MILLISECONDS,
    default: object = _REQUIRED,
) -> float:
    """Return a number between two bounds."""
    value = _read(document, name, default)
    if type(value) is not int and type(value) is not float:
        raise TypeError(f"{name} is not a number")
    # NaN compares as false.
    if not low <= value <= high:
        raise ValueError(f"{name} is not between {low:g} and {high:g}")
    return value


def read_address(document: Document, name: str) -> str:
    """Return an address of the form ``ip:port``."""
    value = read_text(document, name)
    if not model.is_address(value):
        raise ValueError(f"{name} is not of the form ip:port")
    return value


def _read(document: Document, name: str, default: object) -> object:
    value = document.get(name)
    if value is not None:
        return value
    if default is _REQUIRED:
        raise KeyError(f"{name} is missing")
    return default
