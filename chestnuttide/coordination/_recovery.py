"""Recovery of a shard from its snapshot and its journal."""

import collections.abc

import attrs
import xxhash

from chestnuttide.coordination import _journal
from chestnuttide.coordination import _snapshots
from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class StoredEntry:
    """A key of the store as read for recovery.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value.
    revision : int
        Its revision.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class Recovery:
    """State from which a successor continues.

    Attributes
    ----------
    snapshot : bytes or None
        The last snapshot; None if there is none.
    events : tuple of bytes
        The events after the snapshot, oldest first.
    next_seq : int
        Number of the next batch, which becomes the seal.
    last_epoch : int
        Highest epoch in the journal and the manifest; 0 if both are absent.
    manifest : Manifest
        The manifest in effect.
    ring_revisions : dict of int to int
        Revision of each written slot of the ring.
    snapshot_revisions : dict of str to int
        Revision of each snapshot key.
    """

    snapshot: bytes | None
    events: tuple[bytes, ...]
    next_seq: int
    last_epoch: int
    manifest: _snapshots.Manifest
    ring_revisions: dict[int, int]
    snapshot_revisions: dict[str, int]


def plan_recovery(
    *,
    shard: str,
    manifest: StoredEntry | None,
    chunks: collections.abc.Iterable[StoredEntry],
    ring: collections.abc.Iterable[StoredEntry],
    ring_size: int = _journal.RING_SIZE,
) -> Recovery:
    """Return the state from which a successor continues.

    The manifest must be read first, then the chunks, then the ring. If a
    snapshot is completed in between, either this fails or the older snapshot
    is still usable.

    Parameters
    ----------
    shard : str
        Name of the shard.
    manifest : StoredEntry or None
        The manifest's key; None if it does not exist.
    chunks : iterable of StoredEntry
        All other keys below `snapshot_prefix`.
    ring : iterable of StoredEntry
        All keys below `ring_prefix`.
    ring_size : int
        Number of slots of the ring.

    Raises
    ------
    errors.ProtocolError
        If the keys are inconsistent, for example because the former owner
        was still writing. They must then be read again.
    """
    stored = list(chunks)
    current = _snapshots.Manifest(epoch=0)
    snapshot_revisions = {one.key: one.revision for one in stored}
    if manifest is not None:
        current = _snapshots.decode_manifest(manifest.value)
        snapshot_revisions[manifest.key] = manifest.revision
    snapshot = _join_chunks(shard, current, stored)
    prefix = _journal.ring_prefix(shard)
    ring_revisions: dict[int, int] = {}
    batches: list[tuple[int, int, list[bytes]]] = []
    for one in ring:
        slot = int(one.key.removeprefix(prefix))
        ring_revisions[slot] = one.revision
        batch = _journal.decode_batch(one.value)
        if batch[0] % ring_size != slot:
            raise _inconsistent("A batch is in the wrong slot of the journal.")
        if batch[0] >= current.base_seq:
            batches.append(batch)
    batches.sort(key=lambda batch: batch[0])
    events: list[bytes] = []
    next_seq = current.base_seq
    last_epoch = 0
    for seq, epoch, batch_events in batches:
        if seq != next_seq:
            raise _inconsistent("A batch is missing in the journal.")
        if epoch < last_epoch:
            raise _inconsistent(
                "A batch of an older epoch follows a newer one."
            )
        last_epoch = epoch
        events.extend(batch_events)
        next_seq += 1
    return Recovery(
        snapshot=snapshot,
        events=tuple(events),
        next_seq=next_seq,
        last_epoch=max(last_epoch, current.epoch),
        manifest=current,
        ring_revisions=ring_revisions,
        snapshot_revisions=snapshot_revisions,
    )


def make_journal_state(
    *,
    shard: str,
    epoch: int,
    recovery: Recovery,
    make_write_id: collections.abc.Callable[[], str],
    ring_size: int = _journal.RING_SIZE,
    max_batch_bytes: int = _journal.MAX_BATCH_BYTES,
) -> _journal.JournalState:
    """Return the journal state of a successor that has not sealed yet.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    recovery : Recovery
        The recovered state.
    make_write_id : function
        Returns a write id that was never used before.
    ring_size, max_batch_bytes : int
        See `JournalState`.

    Raises
    ------
    errors.DeposedError
        If the journal already holds a batch of a higher epoch.
    """
    if recovery.last_epoch > epoch:
        raise errors.DeposedError(
            message=f"The journal of {shard} contains a higher epoch.",
            remedy="Read the shard's record again.",
        )
    return _journal.JournalState(
        shard=shard,
        epoch=epoch,
        next_seq=recovery.next_seq,
        base_seq=recovery.manifest.base_seq,
        revisions=dict(recovery.ring_revisions),
        make_write_id=make_write_id,
        ring_size=ring_size,
        max_batch_bytes=max_batch_bytes,
    )


def make_snapshot_state(
    *,
    shard: str,
    epoch: int,
    recovery: Recovery,
    make_write_id: collections.abc.Callable[[], str],
    max_chunk_bytes: int = _snapshots.MAX_CHUNK_BYTES,
) -> _snapshots.SnapshotState:
    """Return the snapshot state of a successor that has not fenced yet.

    Parameters
    ----------
    shard, epoch, recovery, make_write_id
        See `make_journal_state`.
    max_chunk_bytes : int
        See `SnapshotState`.
    """
    return _snapshots.SnapshotState(
        shard=shard,
        epoch=epoch,
        manifest=recovery.manifest,
        revisions=dict(recovery.snapshot_revisions),
        make_write_id=make_write_id,
        max_chunk_bytes=max_chunk_bytes,
    )


def _join_chunks(
    shard: str,
    manifest: _snapshots.Manifest,
    chunks: list[StoredEntry],
) -> bytes | None:
    if not manifest.base_seq and not manifest.chunks:
        return None
    values = {one.key: one.value for one in chunks}
    keys = [
        _snapshots.chunk_key(shard, manifest.generation, index)
        for index in range(manifest.chunks)
    ]
    if not all(key in values for key in keys):
        raise _inconsistent("A chunk of the snapshot is missing.")
    data = b"".join(_snapshots.decode_chunk(values[key])[1] for key in keys)
    if xxhash.xxh64_intdigest(data) != manifest.checksum:
        raise _inconsistent("The snapshot does not match its checksum.")
    return data


def _inconsistent(message: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        message=message, remedy="Read the shard's keys again."
    )
