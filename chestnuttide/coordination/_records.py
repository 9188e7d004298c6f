"""Store keys of shard ownership and the encoding of their values."""

import typing

import cattrs
import cbor2

from chestnuttide.coordination import _messages
from chestnuttide import errors

SHARDS_PREFIX: typing.Final = "shards/"
MEMBERS_PREFIX: typing.Final = "members/"
VOTERS_KEY: typing.Final = "voters"


def shard_key(shard: str) -> str:
    """Return the store key of a shard's record."""
    return SHARDS_PREFIX + shard


def member_key(instance_id: str) -> str:
    """Return the store key of a member."""
    return MEMBERS_PREFIX + instance_id


def encode_record(record: _messages.ShardRecord) -> bytes:
    """Return the value of a shard's key."""
    return cbor2.dumps(
        [
            record.owner,
            record.incarnation,
            record.session,
            record.epoch,
            record.state,
            {name: list(times) for name, times in record.residual.items()},
        ]
    )


def decode_record(value: bytes) -> _messages.ShardRecord:
    """Return the record encoded in the value of a shard's key.

    Raises
    ------
    errors.ProtocolError
        If the value is not a shard record.
    """
    owner, incarnation, session, epoch, state, residual = _items(value, 6)
    return _structure(
        {
            "owner": owner,
            "incarnation": incarnation,
            "session": session,
            "epoch": epoch,
            "state": state,
            "residual": residual,
        },
        _messages.ShardRecord,
    )


def encode_member(member: _messages.Member) -> bytes:
    """Return the value of a member's key."""
    return cbor2.dumps(
        [member.instance_id, member.incarnation, member.leaving]
    )


def decode_member(value: bytes) -> _messages.Member:
    """Return the member encoded in the value of a member's key.

    Raises
    ------
    errors.ProtocolError
        If the value is not a member.
    """
    instance_id, incarnation, leaving = _items(value, 3)
    return _structure(
        {
            "instance_id": instance_id,
            "incarnation": incarnation,
            "leaving": leaving,
        },
        _messages.Member,
    )


def encode_voters(write: _messages.WriteVoters) -> bytes:
    """Return the value of the voters key for a write of it."""
    return cbor2.dumps([write.version, list(write.ids), list(write.next_ids)])


def decode_voters(value: bytes | None, revision: int) -> _messages.VotersRead:
    """Return the voters encoded in the value of the voters key.

    Parameters
    ----------
    value : bytes or None
        The value; None if there is no key.
    revision : int
        Store revision of the key; ignored if there is no key.

    Raises
    ------
    errors.ProtocolError
        If the value is not a set of voters.
    """
    if value is None:
        return _messages.VotersRead(version=0, ids=(), revision=0)
    version, ids, next_ids = _items(value, 3)
    return _structure(
        {
            "version": version,
            "ids": ids,
            "revision": revision,
            "next_ids": next_ids,
        },
        _messages.VotersRead,
    )


def _items(value: bytes, count: int) -> list[object]:
    try:
        items = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise _malformed() from error
    if not isinstance(items, list) or len(items) != count:
        raise _malformed()
    return items


def _strict(value: object, kind: type) -> object:
    if kind is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, kind):
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


# The default converter would coerce any value to a string or a boolean.
_CONVERTER: typing.Final = cattrs.Converter()
for _kind in (bool, float, int, str):
    _CONVERTER.register_structure_hook(_kind, _strict)


def _structure(fields: dict[str, object], kind: type) -> typing.Any:
    try:
        return _CONVERTER.structure(fields, kind)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise _malformed() from error


def _malformed() -> errors.ProtocolError:
    return errors.ProtocolError(
        message="A coordination key in the store cannot be decoded.",
        remedy="Check which versions of the program use this store.",
    )
