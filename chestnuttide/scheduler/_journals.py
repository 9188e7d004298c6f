"""Runs one shard's journal and snapshots on the platform's store."""

import asyncio
import collections.abc
import time

import attrs

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import pipes
from chestnuttide import platform
from chestnuttide import telemetry

# Delay before a read of the store is retried.
STORE_RETRY_S = 0.2
# Recovery attempts before the takeover fails because the former owner keeps
# writing or the store does not answer. The shard's record is read again then.
RECOVERY_ATTEMPTS = 20

LOG = telemetry.make_logger("journal")


@attrs.define(kw_only=True, slots=True, eq=False)
class Journal:
    """The open journal of one shard.

    Attributes
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    store : Store
        The platform's store.
    bucket : TokenBucket
        Limits the journal writes of the whole instance.
    metrics : Metrics
        The daemon's metrics.
    take_snapshot : function
        Returns the state of the shard after all events appended so far.
    on_deposed : function
        Called once when another owner has written to the journal.
    state : JournalState
        State of the journal filter.
    run_journal, run_snapshots : Filter
        The filters that commit events and write snapshots.
    durable_callbacks : dict of int to function
        Called when the event with that token is durable.
    next_token : int
        Token of the next event.
    opened : asyncio.Event
        Set when the journal is fenced and sealed, or this has failed.
    fenced, sealed, closed : bool
        Progress of the journal; a closed journal ignores new events.
    conflict : bool
        Whether the former owner wrote during the takeover.
    tasks : set of asyncio.Task
        Store calls in flight.
    """

    shard: str
    epoch: int
    store: platform.Store
    bucket: coordination.TokenBucket
    metrics: telemetry.Metrics
    state: coordination.JournalState
    run_journal: pipes.Filter
    run_snapshots: pipes.Filter
    take_snapshot: collections.abc.Callable[[], bytes] = bytes
    on_deposed: collections.abc.Callable[[], None] = lambda: None
    durable_callbacks: dict[int, collections.abc.Callable[[], None]] = (
        attrs.field(factory=dict)
    )
    next_token: int = 1
    opened: asyncio.Event = attrs.field(factory=asyncio.Event)
    fenced: bool = False
    sealed: bool = False
    closed: bool = False
    conflict: bool = False
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


async def open_journal(
    *,
    shard: str,
    epoch: int,
    store: platform.Store,
    bucket: coordination.TokenBucket,
    metrics: telemetry.Metrics,
    make_write_id: collections.abc.Callable[[], str],
) -> tuple[coordination.Recovery, Journal]:
    """Recover a shard, fence its snapshots and seal its journal.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the new ownership.
    store : Store
        The platform's store.
    bucket : TokenBucket
        Limits the journal writes of the whole instance.
    metrics : Metrics
        The daemon's metrics.
    make_write_id : function
        Returns a new unique write id.

    Returns
    -------
    (Recovery, Journal)
        The former owners' stored state, and the journal for new events.

    Raises
    ------
    errors.DeposedError
        If a higher epoch has written, the former owner keeps writing, or the
        store does not answer.
    """
    for _ in range(RECOVERY_ATTEMPTS):
        recovery = await _read_all(shard, store)
        if recovery is None:
            await asyncio.sleep(STORE_RETRY_S)
            continue
        journal = _make_journal(
            shard=shard,
            epoch=epoch,
            store=store,
            bucket=bucket,
            metrics=metrics,
            make_write_id=make_write_id,
            recovery=recovery,
        )
        _feed_snapshots(journal, coordination.JournalTick())
        await journal.opened.wait()
        if journal.sealed:
            return recovery, journal
        if not journal.conflict:
            break
    raise errors.DeposedError(
        message=f"The journal of {shard} belongs to another owner.",
        remedy="Read the shard's record again.",
    )


def append(
    journal: Journal,
    event: bytes,
    on_durable: collections.abc.Callable[[], None] | None = None,
) -> None:
    """Append an event; `on_durable` is called once the event is stored."""
    if journal.closed:
        return
    token = journal.next_token
    journal.next_token += 1
    if on_durable is not None:
        journal.durable_callbacks[token] = on_durable
    _feed_journal(journal, coordination.Append(event=event, token=token))


def tick(journal: Journal) -> None:
    """Feed both filters a tick, so that they act on timeouts."""
    if not journal.closed:
        _feed_journal(journal, coordination.JournalTick())
        _feed_snapshots(journal, coordination.JournalTick())


def is_idle(journal: Journal) -> bool:
    """Return whether the journal is closed or has stored all events."""
    state = journal.state
    return journal.closed or not (state.pending or state.in_flight)


def close(journal: Journal) -> None:
    """Cancel the store calls in flight and ignore new events."""
    journal.closed = True
    journal.durable_callbacks.clear()
    for task in journal.tasks:
        task.cancel()


async def _read_all(
    shard: str, store: platform.Store
) -> coordination.Recovery | None:
    """Return the former owners' state, or None if the read must be retried."""
    try:
        snapshots = await store.list_range(coordination.snapshot_prefix(shard))
        ring = await store.list_range(coordination.ring_prefix(shard))
    except errors.StoreUnavailableError:
        return None
    manifest_key = coordination.manifest_key(shard)
    manifest = next((e for e in snapshots if e.key == manifest_key), None)
    try:
        return coordination.plan_recovery(
            shard=shard,
            manifest=None if manifest is None else _to_stored_entry(manifest),
            chunks=[
                _to_stored_entry(e) for e in snapshots if e is not manifest
            ],
            ring=[_to_stored_entry(e) for e in ring],
        )
    except errors.ProtocolError as error:
        LOG.warning("reading %s again: %s", shard, error)
        return None


def _to_stored_entry(entry: platform.Entry) -> coordination.StoredEntry:
    return coordination.StoredEntry(
        key=entry.key, value=entry.value or b"", revision=entry.revision
    )


def _make_journal(
    *,
    shard: str,
    epoch: int,
    store: platform.Store,
    bucket: coordination.TokenBucket,
    metrics: telemetry.Metrics,
    make_write_id: collections.abc.Callable[[], str],
    recovery: coordination.Recovery,
) -> Journal:
    journal_state = coordination.make_journal_state(
        shard=shard,
        epoch=epoch,
        recovery=recovery,
        make_write_id=make_write_id,
    )
    snapshot_state = coordination.make_snapshot_state(
        shard=shard,
        epoch=epoch,
        recovery=recovery,
        make_write_id=make_write_id,
    )
    return Journal(
        shard=shard,
        epoch=epoch,
        store=store,
        bucket=bucket,
        metrics=metrics,
        state=journal_state,
        run_journal=coordination.make_journal_filter(state=journal_state),
        run_snapshots=coordination.make_snapshot_filter(state=snapshot_state),
    )


def _feed_journal(journal: Journal, message: object) -> None:
    if journal.closed:
        return
    outputs = journal.run_journal(message, time.monotonic())
    for output in outputs:
        _carry_out(journal, output, _feed_journal)


def _feed_snapshots(journal: Journal, message: object) -> None:
    if journal.closed:
        return
    outputs = journal.run_snapshots(message, time.monotonic())
    for output in outputs:
        _carry_out(journal, output, _feed_snapshots)


_Feed = collections.abc.Callable[[Journal, object], None]


def _carry_out(journal: Journal, output: object, feed: _Feed) -> None:
    match output:
        case coordination.WriteBatch():
            _start_task(journal, _write(journal, output, feed))
        case coordination.ReadKey():
            _start_task(journal, _read(journal, output, feed))
        case coordination.BudgetWanted():
            _start_task(journal, _grant_write_budget(journal))
        case coordination.Durable():
            for token in output.tokens:
                notify = journal.durable_callbacks.pop(token, None)
                if notify is not None:
                    notify()
        case coordination.SnapshotDue():
            snapshot = coordination.SnapshotTaken(data=journal.take_snapshot())
            _feed_journal(journal, snapshot)
        case coordination.SnapshotReady():
            _feed_snapshots(journal, output)
        case coordination.SnapshotWritten():
            _feed_journal(journal, output)
        case coordination.Fenced():
            journal.fenced = True
            _feed_journal(journal, coordination.JournalTick())
        case coordination.Sealed():
            journal.sealed = True
            journal.opened.set()
        case coordination.SealConflict() | coordination.ManifestConflict():
            journal.conflict = True
            _abort(journal)
        case coordination.Deposed():
            _abort(journal)


def _abort(journal: Journal) -> None:
    if journal.closed:
        return
    journal.closed = True
    was_open = journal.opened.is_set()
    journal.opened.set()
    if was_open:
        journal.on_deposed()


def _start_task(
    journal: Journal, coroutine: collections.abc.Coroutine[None, None, None]
) -> None:
    task = asyncio.ensure_future(coroutine)
    journal.tasks.add(task)
    task.add_done_callback(journal.tasks.discard)


async def _grant_write_budget(journal: Journal) -> None:
    """Wait for the instance's token bucket to permit a journal write."""
    while not coordination.take_tokens(journal.bucket, time.monotonic()):
        await asyncio.sleep(
            coordination.token_wait_s(journal.bucket, time.monotonic())
        )
    _feed_journal(journal, coordination.WriteBudget())


async def _write(
    journal: Journal, batch: coordination.WriteBatch, feed: _Feed
) -> None:
    try:
        revision = await journal.store.write(
            batch.key, batch.value, batch.expected_revision, batch.write_id, 0
        )
    except errors.RevisionConflictError:
        feed(journal, coordination.WriteConflict(write_id=batch.write_id))
    except errors.StoreUnavailableError:
        telemetry.count_retry(
            journal.metrics, errors.RetryReason.STORE_ANSWER_LOST
        )
        feed(journal, coordination.WriteUnanswered(write_id=batch.write_id))
    else:
        feed(
            journal,
            coordination.WriteSucceeded(
                write_id=batch.write_id, revision=revision
            ),
        )


async def _read(
    journal: Journal, wanted: coordination.ReadKey, feed: _Feed
) -> None:
    try:
        entry = await journal.store.get(wanted.key)
    except errors.StoreUnavailableError:
        feed(journal, coordination.WriteUnanswered(write_id=wanted.write_id))
        return
    if entry is None:
        feed(journal, coordination.ReadBack(write_id=wanted.write_id))
        return
    feed(
        journal,
        coordination.ReadBack(
            write_id=wanted.write_id,
            revision=entry.revision,
            entry_write_id=entry.write_id,
            value=entry.value,
        ),
    )
