"""Tracks a CAS write to the store until its outcome is known.

If the answer is lost or reports a conflict, the key is read back: its write id
shows whether the write took effect. A write that has not taken effect may
still do so later. The same write is therefore sent again, and the CAS lets
only one of the two take effect.
"""

import enum
import typing

import attrs

READ_RETRY_S: typing.Final = 0.2


@attrs.frozen(kw_only=True, slots=True)
class WriteBatch:
    """Write a key by CAS.

    Attributes
    ----------
    key : str
        The key.
    expected_revision : int
        Revision that the key must have; 0 if it must be absent.
    value : bytes
        The value.
    write_id : str
        Id of the write; the same when the write is sent again.
    """

    key: str
    expected_revision: int
    value: bytes
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ReadKey:
    """Read a key and report `ReadBack`.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of the write that is being resolved.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteSucceeded:
    """A write took effect.

    Attributes
    ----------
    write_id : str
        Id of the write.
    revision : int
        The new revision of the key.
    """

    write_id: str
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class WriteConflict:
    """The key had a revision other than the write expected.

    Attributes
    ----------
    write_id : str
        Id of the write.
    """

    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteUnanswered:
    """A write, or the read that resolves it, got no answer.

    Attributes
    ----------
    write_id : str
        Id of the write.
    """

    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ReadBack:
    """The key of a write was read back.

    Attributes
    ----------
    write_id : str
        Id of the write that is being resolved.
    revision : int
        Revision of the key; 0 if it does not exist.
    entry_write_id : str
        Id of the last write of the key.
    value : bytes or None
        Value of the key; None if it does not exist.
    """

    write_id: str
    revision: int = 0
    entry_write_id: str = ""
    value: bytes | None = None


class Outcome(enum.Enum):
    """Outcome of a write, as found by reading its key back."""

    TOOK_EFFECT = enum.auto()
    SEND_AGAIN = enum.auto()
    REPLACED = enum.auto()


@attrs.define(kw_only=True)
class PendingWrite:
    """A write whose outcome is not known yet.

    Attributes
    ----------
    write : WriteBatch
        The write.
    resolving : bool
        Whether it is being resolved by reading the key back.
    next_read_at : float
        Time at which the read is repeated if it gets no answer.
    """

    write: WriteBatch
    resolving: bool = False
    next_read_at: float = float("inf")


def is_pending(pending: PendingWrite | None, write_id: str) -> bool:
    """Return whether a result belongs to the pending write."""
    return pending is not None and pending.write.write_id == write_id


def read_back(pending: PendingWrite, now: float) -> list[object]:
    """Read the key to learn the outcome of the write."""
    pending.resolving = True
    pending.next_read_at = now + READ_RETRY_S
    write = pending.write
    return [ReadKey(key=write.key, write_id=write.write_id)]


def handle_unanswered(pending: PendingWrite, now: float) -> list[object]:
    """Resolve a write that got no answer, or schedule a repeated read."""
    if pending.resolving:
        pending.next_read_at = now + READ_RETRY_S
        return []
    return read_back(pending, now)


def retry_read(pending: PendingWrite | None, now: float) -> list[object]:
    """Repeat the read if the last one got no answer in time."""
    if pending is None or not pending.resolving or now < pending.next_read_at:
        return []
    return read_back(pending, now)


def resolve(pending: PendingWrite, message: ReadBack) -> Outcome:
    """Return the outcome of the write, given the key as read back."""
    if message.entry_write_id == pending.write.write_id:
        return Outcome.TOOK_EFFECT
    if message.revision == pending.write.expected_revision:
        pending.resolving = False
        return Outcome.SEND_AGAIN
    return Outcome.REPLACED
