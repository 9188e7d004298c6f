"""Tests of journal and snapshots on a store that delays or loses answers."""

import random

import attrs
import cbor2
import hypothesis
from hypothesis import strategies

from chestnuttide import coordination
from chestnuttide import errors

RING_SIZE = 16
SHARD = "workers/main"
# Calls are answered in random order, so a snapshot of many chunks is slow.
SETTLE_ROUNDS = 400


@attrs.define(kw_only=True)
class Owner:
    epoch: int
    base: list
    events: list
    journal: object
    snapshots: object
    alive: bool = True
    sealed: bool = False
    fenced: bool = False


@attrs.define(kw_only=True)
class World:
    rng: random.Random
    loss: float
    keys: dict = attrs.field(factory=dict)
    revision: int = 0
    calls: list = attrs.field(factory=list)
    owners: list = attrs.field(factory=list)
    durable: list = attrs.field(factory=list)
    sealed_bases: dict = attrs.field(factory=dict)
    now: float = 0.0
    number: int = 0
    epoch: int = 0
    snapshots: int = 0


def _number(world: World) -> int:
    world.number += 1
    return world.number


def _entries(world: World, prefix: str) -> list:
    return [
        coordination.StoredEntry(key=key, value=value, revision=revision)
        for key, (value, revision, _) in world.keys.items()
        if key.startswith(prefix)
    ]


def _recover(world: World, between: int) -> coordination.Recovery | None:
    """Read the shard's keys, running `between` steps after each read."""
    key = coordination.manifest_key(SHARD)
    found = [one for one in _entries(world, key) if one.key == key]
    _run(world, between)
    chunks = [
        one
        for one in _entries(world, coordination.snapshot_prefix(SHARD))
        if one.key != key
    ]
    _run(world, between)
    ring = _entries(world, coordination.ring_prefix(SHARD))
    try:
        return coordination.plan_recovery(
            shard=SHARD,
            manifest=found[0] if found else None,
            chunks=chunks,
            ring=ring,
            ring_size=RING_SIZE,
        )
    except errors.ProtocolError:
        return None


def _events(recovery: coordination.Recovery) -> list:
    before = cbor2.loads(recovery.snapshot) if recovery.snapshot else []
    events = [cbor2.loads(one) for one in recovery.events]
    return [tuple(one) for one in [*before, *events]]


def _take_over(world: World, epoch: int, between: int) -> None:
    recovery = None
    for _ in range(20):
        recovery = _recover(world, between)
        if recovery is not None:
            break
    if recovery is None:
        recovery = _recover(world, 0)
    assert recovery is not None, "the keys of an idle shard are inconsistent"
    if recovery.last_epoch > epoch:
        return
    common = {
        "shard": SHARD,
        "epoch": epoch,
        "recovery": recovery,
        "make_write_id": lambda: f"w{_number(world)}",
    }
    journal = coordination.make_journal_state(
        ring_size=RING_SIZE, max_batch_bytes=60, **common
    )
    snapshots = coordination.make_snapshot_state(max_chunk_bytes=40, **common)
    events = _events(recovery)
    owner = Owner(
        epoch=epoch,
        base=list(events),
        events=events,
        journal=coordination.make_journal_filter(state=journal),
        snapshots=coordination.make_snapshot_filter(state=snapshots),
    )
    world.owners.append(owner)
    _feed(world, owner, owner.journal, coordination.JournalTick())
    _feed(world, owner, owner.snapshots, coordination.JournalTick())


def _feed(world: World, owner: Owner, run: object, message: object) -> None:
    if not owner.alive:
        return
    for output in run(message, world.now):
        if isinstance(output, (coordination.WriteBatch, coordination.ReadKey)):
            world.calls.append((owner, run, output))
        elif isinstance(output, coordination.BudgetWanted):
            _feed(world, owner, run, coordination.WriteBudget())
        elif isinstance(output, coordination.Durable):
            world.durable.extend(output.tokens)
        elif isinstance(output, coordination.Sealed):
            owner.sealed = True
            world.sealed_bases[owner.epoch] = owner.base
        elif isinstance(output, coordination.Fenced):
            owner.fenced = True
        elif isinstance(output, coordination.SnapshotDue):
            data = cbor2.dumps(owner.events)
            _feed(
                world,
                owner,
                owner.journal,
                coordination.SnapshotTaken(data=data),
            )
        elif isinstance(output, coordination.SnapshotReady):
            _feed(world, owner, owner.snapshots, output)
        elif isinstance(output, coordination.SnapshotWritten):
            world.snapshots += 1
            _feed(world, owner, owner.journal, output)
        else:
            # Deposed, or the keys changed after they were read.
            owner.alive = False
            if not isinstance(output, coordination.Deposed):
                _take_over(world, owner.epoch, 0)


def _execute(world: World, call: object) -> object:
    value, revision, write_id = world.keys.get(call.key, (None, 0, ""))
    if isinstance(call, coordination.ReadKey):
        return coordination.ReadBack(
            write_id=call.write_id,
            revision=revision,
            entry_write_id=write_id,
            value=value,
        )
    if revision != call.expected_revision:
        return coordination.WriteConflict(write_id=call.write_id)
    world.revision += 1
    world.keys[call.key] = (call.value, world.revision, call.write_id)
    return coordination.WriteSucceeded(
        write_id=call.write_id, revision=world.revision
    )


def _append(world: World, owner: Owner) -> None:
    if owner.alive and owner.sealed:
        token = _number(world)
        event = (owner.epoch, token)
        owner.events.append(event)
        message = coordination.Append(event=cbor2.dumps(event), token=token)
        _feed(world, owner, owner.journal, message)


def _run(world: World, steps: int) -> None:
    rng = world.rng
    for _ in range(steps):
        world.now += 0.1
        if rng.random() < 0.5 and world.owners:
            # Former owners that were not told of the takeover also go on.
            _append(world, rng.choice(world.owners[-3:]))
        if rng.random() < 0.2 and world.owners:
            owner = rng.choice(world.owners[-3:])
            for run in (owner.journal, owner.snapshots):
                _feed(world, owner, run, coordination.JournalTick())
        if not world.calls:
            continue
        place = rng.randrange(len(world.calls))
        owner, run, call = world.calls[place]
        lost = coordination.WriteUnanswered(write_id=call.write_id)
        if rng.random() < world.loss:
            # The call times out but may still reach the store.
            _feed(world, owner, run, lost)
            continue
        del world.calls[place]
        answer = _execute(world, call)
        if rng.random() < world.loss:
            answer = lost
        _feed(world, owner, run, answer)


def _check(world: World) -> list:
    recovery = _recover(world, 0)
    assert recovery is not None, "the shard cannot be recovered"
    events = _events(recovery)
    tokens = [token for _, token in events]
    assert len(set(tokens)) == len(tokens), "an event is applied twice"
    assert set(world.durable) <= set(tokens), "a durable event is lost"
    # The store contains the seal of an epoch before the owner is told.
    for epoch, base in world.sealed_bases.items():
        assert events[: len(base)] == base
        assert all(one[0] >= epoch for one in events[len(base) :]), (
            "an event of an old epoch follows the seal"
        )
    return events


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    loss=strategies.sampled_from([0.0, 0.1, 0.3]),
    spans=strategies.lists(
        strategies.sampled_from([3, 10, 40, 150]), min_size=1, max_size=6
    ),
    between=strategies.sampled_from([0, 2, 8]),
)
def test_durable_events_survive_and_old_epochs_end_at_the_seal(
    seed: int, loss: float, spans: list[int], between: int
) -> None:
    """Guards against lost, doubled and late events across owners."""
    world = World(rng=random.Random(seed), loss=loss)
    for span in spans:
        world.epoch += 1
        _take_over(world, world.epoch, between)
        _run(world, span)
        _check(world)
    # Without further faults the owner of the last epoch seals and commits; a
    # former owner may still try to recover after it.
    world.loss = 0.0
    for _ in range(SETTLE_ROUNDS):
        _run(world, 5)
        owners = [one for one in world.owners if one.epoch == world.epoch]
        if owners[-1].alive and owners[-1].sealed:
            events = _check(world)
            if any(epoch == world.epoch for epoch, _ in events):
                return
    raise AssertionError("the last owner commits nothing")


def test_snapshots_keep_a_small_ring_going() -> None:
    """Guards against a ring that fills up, and checks the simulation."""
    world = World(rng=random.Random(5), loss=0.05)
    _take_over(world, 1, 0)
    _run(world, 3000)
    events = _check(world)
    assert world.snapshots > 20
    assert len(events) > 500
