"""Snapshots of a shard: chunks in two generations, and a manifest.

The manifest names the generation whose chunks are valid. A new snapshot first
overwrites the chunks of the other generation; the CAS of the manifest then
makes them valid. A crash in between leaves the previous snapshot in effect.
Chunks carry the writer's epoch and are also written by CAS, so a former owner
cannot overwrite a chunk of its successor.

Before it overwrites any chunk, a successor rewrites the manifest with its own
epoch (the *fence*). Otherwise a delayed manifest write of the former owner
could make a generation valid that the successor has partly overwritten.
"""

import collections
import collections.abc
import typing

import attrs
import cbor2
import xxhash

from chestnuttide.coordination import _cas_writes
from chestnuttide.coordination import _journal
from chestnuttide import errors
from chestnuttide import pipes

# Below the store's limit of 1 MB for a value.
MAX_CHUNK_BYTES: typing.Final = 512_000
MANIFEST_NAME: typing.Final = "manifest"


@attrs.frozen(kw_only=True, slots=True)
class Manifest:
    """Value of the manifest's key.

    Attributes
    ----------
    epoch : int
        Epoch of the owner that wrote it.
    generation : int
        Generation of the chunks, 0 or 1.
    chunks : int
        Number of chunks; 0 if there is no snapshot yet.
    base_seq : int
        First batch of the journal that the snapshot does not cover.
    checksum : int
        xxh64 of the whole snapshot.
    """

    epoch: int
    generation: int = 0
    chunks: int = 0
    base_seq: int = 0
    checksum: int = 0


@attrs.frozen(kw_only=True, slots=True)
class Fenced:
    """The manifest carries this owner's epoch."""


@attrs.frozen(kw_only=True, slots=True)
class ManifestConflict:
    """Another write changed the manifest; recover the shard again."""


@attrs.define(kw_only=True)
class SnapshotState:
    """State of the snapshots of one shard.

    Attributes
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    manifest : Manifest
        The manifest in effect.
    revisions : dict of str to int
        Revision of each key below ``snapshot/<shard>/``.
    make_write_id : function
        Returns a write id that was never used before.
    max_chunk_bytes : int
        Maximum size of a chunk.
    fenced : bool
        Whether the manifest carries this owner's epoch.
    deposed : bool
        Whether another owner has written the manifest.
    queue : deque of (str, bytes)
        Keys and values that remain to be written, the manifest last.
    next_manifest : Manifest or None
        The manifest that is being written.
    waiting_snapshot : SnapshotReady or None
        Snapshot to write once the manifest in flight is written.
    pending : PendingWrite or None
        The write in flight.
    """

    shard: str
    epoch: int
    manifest: Manifest
    revisions: dict[str, int]
    make_write_id: collections.abc.Callable[[], str]
    max_chunk_bytes: int = MAX_CHUNK_BYTES
    fenced: bool = False
    deposed: bool = False
    queue: collections.deque[tuple[str, bytes]] = attrs.field(
        factory=collections.deque
    )
    next_manifest: Manifest | None = None
    waiting_snapshot: _journal.SnapshotReady | None = None
    pending: _cas_writes.PendingWrite | None = None


def snapshot_prefix(shard: str) -> str:
    """Return the prefix of the keys of a shard's snapshots."""
    return f"snapshot/{shard}/"


def manifest_key(shard: str) -> str:
    """Return the store key of a shard's manifest."""
    return snapshot_prefix(shard) + MANIFEST_NAME


def chunk_key(shard: str, generation: int, index: int) -> str:
    """Return the store key of a chunk."""
    return f"{snapshot_prefix(shard)}{generation}/{index:04d}"


def encode_chunk(epoch: int, data: bytes) -> bytes:
    """Return the value of a chunk's key."""
    return cbor2.dumps([epoch, data])


def decode_chunk(value: bytes) -> tuple[int, bytes]:
    """Return the writer's epoch and the data of a chunk.

    Raises
    ------
    errors.ProtocolError
        If the value is not a chunk.
    """
    try:
        items = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise _malformed() from error
    if (
        not isinstance(items, list)
        or len(items) != 2
        or not isinstance(items[0], int)
        or not isinstance(items[1], bytes)
    ):
        raise _malformed()
    return items[0], items[1]


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the value of a manifest's key."""
    return cbor2.dumps(
        [
            manifest.epoch,
            manifest.generation,
            manifest.chunks,
            manifest.base_seq,
            manifest.checksum,
        ]
    )


def decode_manifest(value: bytes) -> Manifest:
    """Return the manifest that is encoded in its key's value.

    Raises
    ------
    errors.ProtocolError
        If the value is not a manifest.
    """
    try:
        items = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise _malformed() from error
    if (
        not isinstance(items, list)
        or len(items) != 5
        or not all(isinstance(item, int) for item in items)
    ):
        raise _malformed()
    return Manifest(
        epoch=items[0],
        generation=items[1],
        chunks=items[2],
        base_seq=items[3],
        checksum=items[4],
    )


def make_snapshot_filter(*, state: SnapshotState) -> pipes.Filter:
    """Return the filter that writes the snapshots of one shard.

    Parameters
    ----------
    state : SnapshotState
        State from `make_snapshot_state`; the filter changes it.

    Returns
    -------
    Filter
        Accepts `JournalTick` (the first writes the fence), `SnapshotReady`,
        `WriteSucceeded`, `WriteConflict`, `WriteUnanswered` and `ReadBack`.
        Returns `WriteBatch`, `ReadKey`, `Fenced`, `ManifestConflict`,
        `SnapshotWritten` (to be passed to the journal) and `Deposed`. Raises
        `TypeError` for an unknown message.
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
    state: SnapshotState, message: _journal.JournalTick, now: float
) -> list[object]:
    if not state.fenced and state.next_manifest is None:
        _queue_manifest(state, attrs.evolve(state.manifest, epoch=state.epoch))
    return _cas_writes.retry_read(state.pending, now)


def _on_ready(
    state: SnapshotState, message: _journal.SnapshotReady, now: float
) -> list[object]:
    if not state.fenced or state.next_manifest is not None:
        state.waiting_snapshot = message
        return []
    _start_snapshot(state, message)
    return []


def _start_snapshot(
    state: SnapshotState, message: _journal.SnapshotReady
) -> None:
    generation = 1 - state.manifest.generation
    size = state.max_chunk_bytes
    chunks = [
        message.data[start : start + size]
        for start in range(0, len(message.data), size)
    ]
    for index, chunk in enumerate(chunks):
        key = chunk_key(state.shard, generation, index)
        state.queue.append((key, encode_chunk(state.epoch, chunk)))
    _queue_manifest(
        state,
        Manifest(
            epoch=state.epoch,
            generation=generation,
            chunks=len(chunks),
            base_seq=message.base_seq,
            checksum=xxhash.xxh64_intdigest(message.data),
        ),
    )


def _on_succeeded(
    state: SnapshotState, message: _cas_writes.WriteSucceeded, now: float
) -> list[object]:
    pending = state.pending
    if not _cas_writes.is_pending(pending, message.write_id):
        return []
    return _complete_write(state, pending.write, message.revision)


def _on_conflict(
    state: SnapshotState, message: _cas_writes.WriteConflict, now: float
) -> list[object]:
    if not _cas_writes.is_pending(state.pending, message.write_id):
        return []
    return _cas_writes.read_back(state.pending, now)


def _on_unanswered(
    state: SnapshotState, message: _cas_writes.WriteUnanswered, now: float
) -> list[object]:
    if not _cas_writes.is_pending(state.pending, message.write_id):
        return []
    return _cas_writes.handle_unanswered(state.pending, now)


def _on_read_back(
    state: SnapshotState, message: _cas_writes.ReadBack, now: float
) -> list[object]:
    pending = state.pending
    if (
        not _cas_writes.is_pending(pending, message.write_id)
        or not pending.resolving
    ):
        return []
    match _cas_writes.resolve(pending, message):
        case _cas_writes.Outcome.TOOK_EFFECT:
            return _complete_write(state, pending.write, message.revision)
        case _cas_writes.Outcome.SEND_AGAIN:
            return [pending.write]
    state.pending = None
    key = pending.write.key
    is_chunk = key != manifest_key(state.shard)
    if is_chunk and _chunk_epoch(message.value) <= state.epoch:
        # Overwrites a chunk that a delayed write of a former owner left.
        state.revisions[key] = message.revision
        state.queue.appendleft((key, pending.write.value))
        return []
    state.deposed = True
    state.queue.clear()
    epoch = state.epoch
    if message.value is not None and not is_chunk:
        epoch = decode_manifest(message.value).epoch
    if not state.fenced and epoch <= state.epoch:
        return [ManifestConflict()]
    return [_journal.Deposed()]


_HANDLERS: dict[
    type, collections.abc.Callable[..., collections.abc.Sequence[object]]
] = {
    _journal.JournalTick: _on_tick,
    _cas_writes.ReadBack: _on_read_back,
    _journal.SnapshotReady: _on_ready,
    _cas_writes.WriteConflict: _on_conflict,
    _cas_writes.WriteSucceeded: _on_succeeded,
    _cas_writes.WriteUnanswered: _on_unanswered,
}


def _chunk_epoch(value: bytes | None) -> int:
    return 0 if value is None else decode_chunk(value)[0]


def _queue_manifest(state: SnapshotState, manifest: Manifest) -> None:
    state.next_manifest = manifest
    key = manifest_key(state.shard)
    state.queue.append((key, encode_manifest(manifest)))


def _complete_write(
    state: SnapshotState, write: _cas_writes.WriteBatch, revision: int
) -> list[object]:
    state.revisions[write.key] = revision
    state.pending = None
    if state.queue or state.next_manifest is None:
        return []
    state.manifest = state.next_manifest
    state.next_manifest = None
    outputs: list[object] = []
    if state.fenced:
        base_seq = state.manifest.base_seq
        outputs.append(_journal.SnapshotWritten(base_seq=base_seq))
    else:
        state.fenced = True
        outputs.append(Fenced())
    if state.waiting_snapshot is not None:
        _start_snapshot(state, state.waiting_snapshot)
        state.waiting_snapshot = None
    return outputs


def _advance(state: SnapshotState) -> list[object]:
    if state.deposed or state.pending is not None or not state.queue:
        return []
    key, value = state.queue.popleft()
    write = _cas_writes.WriteBatch(
        key=key,
        expected_revision=state.revisions.get(key, 0),
        value=value,
        write_id=state.make_write_id(),
    )
    state.pending = _cas_writes.PendingWrite(write=write)
    return [write]


def _malformed() -> errors.ProtocolError:
    return errors.ProtocolError(
        message="A snapshot key contains a value that cannot be decoded.",
        remedy="Check which versions of the program use this store.",
    )
