"""Encoding of the instance list: HTTP GET with a JSON answer."""

import typing
from urllib import parse

from chestnuttide import model
from chestnuttide.platform import _json_wire
from chestnuttide.platform import _ports

PATH: typing.Final[str] = "/v1/instances"


def encode_query(after_revision: int, kind: str) -> str:
    """Return path and query of a call; an empty kind means all kinds."""
    query: dict[str, object] = {"after": after_revision}
    if kind:
        query["kind"] = str(kind)
    return f"{PATH}?{parse.urlencode(query)}"


def encode_changes(changes: _ports.InstanceChanges) -> bytes:
    """Return the body of an answer."""
    return _json_wire.dump(changes)


def decode_changes(body: bytes) -> _ports.InstanceChanges:
    """Return the changes in a body.

    Raises
    ------
    ProtocolError
        The body is malformed.
    """
    return _json_wire.from_plain(_json_wire.load(body), _ports.InstanceChanges)


def decode_instances(plain: object) -> list[model.Instance]:
    """Return the instances in a list of JSON objects.

    Raises
    ------
    ProtocolError
        The list is malformed.
    """
    return _json_wire.from_plain(plain, list[model.Instance])
