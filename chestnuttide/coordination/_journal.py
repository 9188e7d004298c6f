"""The journal of one shard: events that are committed in batches by CAS.

Batch number `seq` goes to slot ``seq % ring_size`` of a ring of store keys.
Its CAS expects the revision that the slot had when this owner took over or
last wrote the slot. Only one write is in flight at a time, so each batch is
written after the previous one. A successor seals the journal by writing the
next slot with its own epoch. If the former owner writes that slot too, the
later of the two writes fails. Hence no event of an older epoch follows the
seal.

`_cas_writes` resolves a write whose answer is lost.
"""

import collections
import collections.abc
import math
import typing

import attrs
import cbor2

from chestnuttide.coordination import _cas_writes
from chestnuttide import errors
from chestnuttide import pipes

RING_SIZE: typing.Final = 1024
# Half of the store's limit of 1 MB for a value; the rest allows for encoding.
MAX_BATCH_BYTES: typing.Final = 512_000
# Upper bound of the bytes that CBOR adds to each event of a batch.
EVENT_OVERHEAD_BYTES: typing.Final = 9
# Share of the ring after which a snapshot is due. The rest takes the batches
# that are written until the snapshot is complete.
SNAPSHOT_SHARE: typing.Final = 0.5
# Share of the ring that is reserved for seals, because each successor that
# fails before its first snapshot uses one slot.
SEAL_RESERVE_SHARE: typing.Final = 0.125


@attrs.frozen(kw_only=True, slots=True)
class JournalTick:
    """Time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class Append:
    """Append an event to the journal.

    Attributes
    ----------
    event : bytes
        The encoded event; at most `MAX_BATCH_BYTES` minus the overhead.
    token : int
        Number that identifies the event in `Durable`.
    """

    event: bytes
    token: int


@attrs.frozen(kw_only=True, slots=True)
class WriteBudget:
    """Permission for writes, in answer to `BudgetWanted`.

    Attributes
    ----------
    tokens : int
        Number of writes.
    """

    tokens: int = 1


@attrs.frozen(kw_only=True, slots=True)
class SnapshotTaken:
    """The driver's answer to `SnapshotDue`.

    Attributes
    ----------
    data : bytes
        The state after all events appended so far.
    """

    data: bytes


@attrs.frozen(kw_only=True, slots=True)
class SnapshotWritten:
    """The manifest of a snapshot was written.

    Attributes
    ----------
    base_seq : int
        First batch that the snapshot does not cover.
    """

    base_seq: int


@attrs.frozen(kw_only=True, slots=True)
class BudgetWanted:
    """A write is waiting for a token from the instance's token bucket."""


@attrs.frozen(kw_only=True, slots=True)
class Durable:
    """Events are committed to the store.

    Attributes
    ----------
    tokens : tuple of int
        Tokens of the events, in order.
    """

    tokens: tuple[int, ...]


@attrs.frozen(kw_only=True, slots=True)
class Sealed:
    """The seal of this owner's epoch is committed to the store.

    Attributes
    ----------
    epoch : int
        The epoch.
    """

    epoch: int


@attrs.frozen(kw_only=True, slots=True)
class SealConflict:
    """Another write took the seal's slot; recover the shard again."""


@attrs.frozen(kw_only=True, slots=True)
class SnapshotDue:
    """Take a snapshot and report `SnapshotTaken` before the next `Append`."""


@attrs.frozen(kw_only=True, slots=True)
class SnapshotReady:
    """All events that a snapshot contains are durable; write it.

    Attributes
    ----------
    data : bytes
        The snapshot.
    base_seq : int
        First batch that it does not cover.
    """

    data: bytes
    base_seq: int


@attrs.frozen(kw_only=True, slots=True)
class Deposed:
    """Another owner has written, so this one must stop acting."""


@attrs.define(kw_only=True)
class SnapshotMark:
    """Position of a snapshot among the pending events.

    Attributes
    ----------
    data : bytes
        The snapshot.
    """

    data: bytes


@attrs.define(kw_only=True)
class InFlight:
    """The batch in flight.

    Attributes
    ----------
    pending : PendingWrite
        The write.
    slot : int
        Slot of the ring.
    tokens : tuple of int
        Tokens of the batch's events.
    """

    pending: _cas_writes.PendingWrite
    slot: int
    tokens: tuple[int, ...]


@attrs.define(kw_only=True)
class JournalState:
    """State of one shard's journal.

    Attributes
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    next_seq : int
        Number of the next batch.
    base_seq : int
        First batch that the last snapshot does not cover.
    revisions : dict of int to int
        Revision of each written slot of the ring.
    make_write_id : function
        Returns a write id that was never used before.
    ring_size : int
        Number of slots.
    max_batch_bytes : int
        Maximum size of a batch.
    sealed : bool
        Whether the seal is written.
    deposed : bool
        Whether another owner has written; this owner then writes nothing.
    budget : int
        Writes that are granted but not yet used.
    budget_requested : bool
        Whether `BudgetWanted` awaits an answer.
    snapshot_requested : bool
        Whether a snapshot is being taken or written.
    pending : deque of Append or SnapshotMark
        Events that are not yet in a batch, and snapshots among them.
    in_flight : InFlight or None
        The write in flight.
    """

    shard: str
    epoch: int
    next_seq: int
    base_seq: int
    revisions: dict[int, int]
    make_write_id: collections.abc.Callable[[], str]
    ring_size: int = RING_SIZE
    max_batch_bytes: int = MAX_BATCH_BYTES
    sealed: bool = False
    deposed: bool = False
    budget: int = 0
    budget_requested: bool = False
    snapshot_requested: bool = False
    pending: collections.deque[Append | SnapshotMark] = attrs.field(
        factory=collections.deque
    )
    in_flight: InFlight | None = None


def ring_prefix(shard: str) -> str:
    """Return the prefix of the keys of a shard's ring."""
    return f"journal/{shard}/"


def ring_key(shard: str, slot: int) -> str:
    """Return the store key of a slot of a shard's ring."""
    return f"{ring_prefix(shard)}{slot:04d}"


def encode_batch(
    seq: int, epoch: int, events: collections.abc.Sequence[bytes]
) -> bytes:
    """Return the value of a batch."""
    return cbor2.dumps([seq, epoch, list(events)])


def decode_batch(value: bytes) -> tuple[int, int, list[bytes]]:
    """Return the number, the epoch and the events of a batch.

    Raises
    ------
    errors.ProtocolError
        If the value is not a batch.
    """
    try:
        items = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise _malformed() from error
    if (
        not isinstance(items, list)
        or len(items) != 3
        or not isinstance(items[0], int)
        or not isinstance(items[1], int)
        or not isinstance(items[2], list)
        or not all(isinstance(event, bytes) for event in items[2])
    ):
        raise _malformed()
    return items[0], items[1], items[2]


def make_journal_filter(*, state: JournalState) -> pipes.Filter:
    """Return the filter that commits the events of one shard.

    The first batch is the seal, which is written immediately. Events may be
    appended only after `Sealed`; a snapshot that is due before then contains
    the recovered state.

    Parameters
    ----------
    state : JournalState
        State from `make_journal_state`; the filter changes it.

    Returns
    -------
    Filter
        Accepts `JournalTick`, `Append`, `WriteBudget`, `WriteSucceeded`,
        `WriteConflict`, `WriteUnanswered`, `ReadBack`, `SnapshotTaken` and
        `SnapshotWritten`. Returns `BudgetWanted`, `WriteBatch`, `ReadKey`,
        `Sealed`, `SealConflict`, `Durable`, `SnapshotDue`, `SnapshotReady`
        and `Deposed`. Raises `TypeError` for an unknown message.
    """

    def run(message: object, now: float) -> list[object]:
        handle = _HANDLERS.get(type(message))
        if handle is None:
            raise TypeError(f"unknown message {type(message).__name__}")
        outputs = list(handle(state, message, now))
        outputs.extend(_advance(state))
        return outputs

    return run


def _on_tick(
    state: JournalState, message: JournalTick, now: float
) -> list[object]:
    return _cas_writes.retry_read(_pending(state), now)


def _on_append(
    state: JournalState, message: Append, now: float
) -> list[object]:
    state.pending.append(message)
    return []


def _on_budget(
    state: JournalState, message: WriteBudget, now: float
) -> list[object]:
    state.budget += message.tokens
    state.budget_requested = False
    return []


def _on_succeeded(
    state: JournalState, message: _cas_writes.WriteSucceeded, now: float
) -> list[object]:
    current = state.in_flight
    if not _cas_writes.is_pending(_pending(state), message.write_id):
        return []
    return _complete_write(state, current, message.revision)


def _on_conflict(
    state: JournalState, message: _cas_writes.WriteConflict, now: float
) -> list[object]:
    pending = _pending(state)
    if not _cas_writes.is_pending(pending, message.write_id):
        return []
    # If the write was sent twice, its first copy may have caused the conflict.
    return _cas_writes.read_back(pending, now)


def _on_unanswered(
    state: JournalState, message: _cas_writes.WriteUnanswered, now: float
) -> list[object]:
    pending = _pending(state)
    if not _cas_writes.is_pending(pending, message.write_id):
        return []
    return _cas_writes.handle_unanswered(pending, now)


def _on_read_back(
    state: JournalState, message: _cas_writes.ReadBack, now: float
) -> list[object]:
    pending = _pending(state)
    if (
        not _cas_writes.is_pending(pending, message.write_id)
        or not pending.resolving
    ):
        return []
    match _cas_writes.resolve(pending, message):
        case _cas_writes.Outcome.TOOK_EFFECT:
            return _complete_write(state, state.in_flight, message.revision)
        case _cas_writes.Outcome.SEND_AGAIN:
            return [pending.write]
    state.deposed = True
    state.in_flight = None
    if not state.sealed and _epoch_of(message.value) <= state.epoch:
        return [SealConflict()]
    return [Deposed()]


def _on_snapshot_taken(
    state: JournalState, message: SnapshotTaken, now: float
) -> list[object]:
    state.pending.append(SnapshotMark(data=message.data))
    return []


def _on_snapshot_written(
    state: JournalState, message: SnapshotWritten, now: float
) -> list[object]:
    state.base_seq = max(state.base_seq, message.base_seq)
    state.snapshot_requested = False
    return []


_HANDLERS: dict[
    type, collections.abc.Callable[..., collections.abc.Sequence[object]]
] = {
    Append: _on_append,
    JournalTick: _on_tick,
    _cas_writes.ReadBack: _on_read_back,
    SnapshotTaken: _on_snapshot_taken,
    SnapshotWritten: _on_snapshot_written,
    WriteBudget: _on_budget,
    _cas_writes.WriteConflict: _on_conflict,
    _cas_writes.WriteSucceeded: _on_succeeded,
    _cas_writes.WriteUnanswered: _on_unanswered,
}


def _pending(state: JournalState) -> _cas_writes.PendingWrite | None:
    return None if state.in_flight is None else state.in_flight.pending


def _complete_write(
    state: JournalState, current: InFlight, revision: int
) -> list[object]:
    state.revisions[current.slot] = revision
    state.in_flight = None
    state.next_seq += 1
    outputs: list[object] = []
    if not state.sealed:
        state.sealed = True
        outputs.append(Sealed(epoch=state.epoch))
    if current.tokens:
        outputs.append(Durable(tokens=current.tokens))
    return outputs


def _advance(state: JournalState) -> list[object]:
    outputs: list[object] = []
    if state.deposed or state.in_flight is not None:
        return outputs
    used = state.next_seq - state.base_seq
    # A full ring has no slot for the seal, so the recovered state is first
    # written as a snapshot, which is valid whether or not the seal succeeds.
    full = used >= state.ring_size
    while (state.sealed or full) and state.pending:
        first = state.pending[0]
        if not isinstance(first, SnapshotMark):
            break
        state.pending.popleft()
        outputs.append(SnapshotReady(data=first.data, base_seq=state.next_seq))
    due = state.sealed and used >= state.ring_size * SNAPSHOT_SHARE
    if (due or full) and not state.snapshot_requested:
        state.snapshot_requested = True
        outputs.append(SnapshotDue())
    if state.sealed and not state.pending:
        return outputs
    # Without this limit, a batch could overwrite one that no snapshot covers.
    reserved_slots = (
        math.ceil(state.ring_size * SEAL_RESERVE_SHARE) if state.sealed else 0
    )
    if used >= state.ring_size - reserved_slots:
        return outputs
    if state.budget < 1:
        if not state.budget_requested:
            state.budget_requested = True
            outputs.append(BudgetWanted())
        return outputs
    state.budget -= 1
    outputs.append(_make_batch(state))
    return outputs


def _make_batch(state: JournalState) -> _cas_writes.WriteBatch:
    events: list[bytes] = []
    tokens: list[int] = []
    size = 0
    while state.pending:
        first = state.pending[0]
        if isinstance(first, SnapshotMark):
            break
        size += len(first.event) + EVENT_OVERHEAD_BYTES
        if events and size > state.max_batch_bytes:
            break
        state.pending.popleft()
        events.append(first.event)
        tokens.append(first.token)
    slot = state.next_seq % state.ring_size
    write = _cas_writes.WriteBatch(
        key=ring_key(state.shard, slot),
        expected_revision=state.revisions.get(slot, 0),
        value=encode_batch(state.next_seq, state.epoch, events),
        write_id=state.make_write_id(),
    )
    state.in_flight = InFlight(
        pending=_cas_writes.PendingWrite(write=write),
        slot=slot,
        tokens=tuple(tokens),
    )
    return write


def _epoch_of(value: bytes | None) -> int:
    return 0 if value is None else decode_batch(value)[1]


def _malformed() -> errors.ProtocolError:
    return errors.ProtocolError(
        message="A journal slot contains a value that cannot be decoded.",
        remedy="Check which versions of the program use this store.",
    )
