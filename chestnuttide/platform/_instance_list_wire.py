"""Encoding of calls to the instance list: HTTP GET that returns JSON."""

import typing
from urllib import parse

from chestnuttide import model
from chestnuttide.platform import _json_wire
from chestnuttide.platform import _ports

PATH: typing.Final[str] = "/v1/instances"


def encode_query(after_revision: int, kind: str) -> str:
    """Return the path and query of a call; an empty kind means all kinds."""
    query: dict[str, object] = {"after": after_revision}
    if kind:
        query["kind"] = str(kind)
    return f"{PATH}?{parse.urlencode(query)}"


def encode_changes(changes: _ports.InstanceChanges) -> bytes:
    """Return the body of a response."""
    return _json_wire.dump(changes)


def decode_changes(body: bytes) -> _ports.InstanceChanges:
    """Return the changes encoded in a body.

    Raises
    ------
    ProtocolError
        If the body is malformed.
    """
    return _json_wire.from_plain(_json_wire.load(body), _ports.InstanceChanges)


def decode_instances(plain: object) -> list[model.Instance]:
    """Return the instances in a list of JSON objects.

    Raises
    ------
    ProtocolError
        If the list is malformed.
    """
    return _json_wire.from_plain(plain, list[model.Instance])
