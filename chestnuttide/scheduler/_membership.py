"""Runs the ownership filter: lease, member key, shard records, voters.

All keys share one prefix, so that a single watch reports every change.
"""

import asyncio
import time

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import platform
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

CELL_PREFIX = "cell/"
# Longer waits save store calls: each watch counts as one.
WATCH_WAIT_S = 20.0
STORE_RETRY_S = 0.2
# Delay before a restarted instance retries to create its member key, which
# exists until the lease of its former incarnation expires.
MEMBER_RETRY_S = 0.2

LOG = telemetry.make_logger("membership")


async def keep_lease(state: _state.SchedulerState) -> None:
    """Keep the instance's lease and member key alive until `leave`."""
    while not state.left:
        if state.lease_id == 0:
            await _join(state)
        else:
            await _renew(state)
        await asyncio.sleep(state.settings.coordination.lease_renew_s)


async def watch_cell(state: _state.SchedulerState) -> None:
    """Read records, members and voters after every change; never returns."""
    revision = 0
    while True:
        try:
            await _read_cell(state)
            result = await state.store.watch(
                CELL_PREFIX, revision, WATCH_WAIT_S
            )
            revision = result.revision
        except errors.StoreUnavailableError:
            await asyncio.sleep(STORE_RETRY_S)


def feed(state: _state.SchedulerState, message: object) -> None:
    """Feed a message to the ownership filter and carry out its outputs."""
    for output in state.run_ownership(message, time.monotonic()):
        _carry_out(state, output)


async def announce_leaving(state: _state.SchedulerState) -> None:
    """Mark this instance as leaving in its member key."""
    if not state.lease_id:
        return
    hello = state.network.hello
    member = coordination.Member(
        instance_id=hello.sender, incarnation=hello.incarnation, leaving=True
    )
    try:
        state.member_revision = await state.store.write(
            _member_key(state),
            coordination.encode_member(member),
            state.member_revision,
            next(state.write_ids),
            state.lease_id,
        )
    except errors.SchedulerError as error:
        LOG.warning("could not announce the stop: %s", error)


async def leave(state: _state.SchedulerState) -> None:
    """Revoke the lease, which deletes the member key."""
    state.left = True
    if not state.lease_id:
        return
    try:
        await state.lease_store.revoke_lease(state.lease_id)
    except errors.SchedulerError as error:
        LOG.warning("could not revoke the lease: %s", error)


def feed_ownership_message(
    state: _state.SchedulerState, message: object
) -> bool:
    """Feed a message to the ownership filter if it is one of its protocol.

    Returns
    -------
    bool
        Whether the message belongs to the ownership protocol.
    """
    if not isinstance(
        message,
        coordination.PromiseRequest
        | coordination.PromiseReply
        | coordination.ConsentRequest
        | coordination.ConsentReply
        | coordination.VotersProposal
        | coordination.VotersAck,
    ):
        return False
    feed(state, message)
    return True


def update_peers(state: _state.SchedulerState) -> None:
    """Feed the ownership filter the ids of the connected schedulers."""
    peers = frozenset(
        each.peer.sender for each in mesh.schedulers(state.network)
    )
    feed(state, coordination.PeersConnected(ids=peers))


def _member_key(state: _state.SchedulerState) -> str:
    return CELL_PREFIX + coordination.member_key(state.settings.instance_id)


async def _join(state: _state.SchedulerState) -> None:
    """Acquire a lease and create the member key attached to it.

    The key is created only if it is absent, so a restarted instance waits
    until the lease of its former incarnation has expired.
    """
    ttl_s = state.settings.coordination.lease_ttl_s
    hello = state.network.hello
    member = coordination.Member(
        instance_id=hello.sender,
        incarnation=hello.incarnation,
        leaving=state.draining,
    )
    sent_at = time.monotonic()
    lease_id = 0
    try:
        lease_id = await state.lease_store.grant_lease(ttl_s)
        state.member_revision = await state.lease_store.write(
            _member_key(state),
            coordination.encode_member(member),
            0,
            next(state.write_ids),
            lease_id,
        )
    except errors.StoreUnavailableError:
        feed(state, coordination.StoreReachable(reachable=False))
        await _abandon_lease(state, lease_id)
        return
    except (errors.RevisionConflictError, errors.LeaseExpiredError):
        feed(state, coordination.StoreReachable(reachable=True))
        await _abandon_lease(state, lease_id)
        await asyncio.sleep(MEMBER_RETRY_S)
        return
    state.lease_id = lease_id
    LOG.info("joined", lease_id=lease_id)
    feed(
        state,
        coordination.LeaseRenewed(
            sent_at=sent_at, ttl_s=ttl_s, lease_id=lease_id
        ),
    )


async def _abandon_lease(state: _state.SchedulerState, lease_id: int) -> None:
    if not lease_id:
        return
    try:
        await state.lease_store.revoke_lease(lease_id)
    except errors.SchedulerError:
        # The lease expires after its time to live.
        return


async def _renew(state: _state.SchedulerState) -> None:
    if state.left:
        return
    sent_at = time.monotonic()
    try:
        await state.lease_store.renew_lease(state.lease_id)
    except errors.StoreUnavailableError:
        _log_reachability(state, False)
        feed(state, coordination.StoreReachable(reachable=False))
        return
    except errors.LeaseExpiredError:
        if state.left:
            return
        LOG.warning("the lease has expired", lease_id=state.lease_id)
        state.lease_id = 0
        feed(state, coordination.LeaseLost())
        return
    _log_reachability(state, True)
    feed(
        state,
        coordination.LeaseRenewed(
            sent_at=sent_at,
            ttl_s=state.settings.coordination.lease_ttl_s,
            lease_id=state.lease_id,
        ),
    )


def _log_reachability(state: _state.SchedulerState, reachable: bool) -> None:
    if state.ownership.store_reachable and not reachable:
        LOG.warning(
            "the store does not answer; requesting promises from peers"
        )
    if not state.ownership.store_reachable and reachable:
        LOG.info("the store answers again")


async def _read_cell(state: _state.SchedulerState) -> None:
    """Feed the voters, the shard records and the members, in this order.

    The proof that claims are safe requires records before members.
    """
    sent_at = time.monotonic()
    entries = await state.store.list_range(CELL_PREFIX)
    shards_prefix = CELL_PREFIX + coordination.SHARDS_PREFIX
    members_prefix = CELL_PREFIX + coordination.MEMBERS_PREFIX
    records = tuple(
        coordination.ReadRecord(
            shard=entry.key.removeprefix(shards_prefix),
            record=coordination.decode_record(entry.value),
            revision=entry.revision,
        )
        for entry in entries
        if entry.key.startswith(shards_prefix)
    )
    members = tuple(
        coordination.decode_member(entry.value)
        for entry in entries
        if entry.key.startswith(members_prefix)
    )
    voters_key = CELL_PREFIX + coordination.VOTERS_KEY
    voters = next((e for e in entries if e.key == voters_key), None)
    feed(state, _to_voters(voters))
    feed(state, coordination.ShardRecordsRead(records=records))
    feed(state, coordination.MembersRead(members=members, sent_at=sent_at))


def _to_voters(entry: platform.Entry | None) -> coordination.VotersRead:
    if entry is None:
        return coordination.decode_voters(None, 0)
    return coordination.decode_voters(entry.value, entry.revision)


def _carry_out(state: _state.SchedulerState, output: object) -> None:
    match output:
        case coordination.Send():
            _send(state, output)
        case coordination.WriteShardRecord():
            _state.start_task(state, _write_record(state, output))
        case coordination.WriteVoters():
            _state.start_task(state, _write_voters(state, output))
        case coordination.ShardAcquired():
            state.on_acquired(output)
        case coordination.ShardLost():
            state.on_lost(output)
        case coordination.ShouldRelease():
            state.on_should_release(output)
        case _:
            raise TypeError(f"unknown output {type(output).__name__}")


def _send(state: _state.SchedulerState, output: coordination.Send) -> None:
    if output.to == state.settings.instance_id:
        loop = asyncio.get_running_loop()
        loop.call_soon(feed, state, output.message)
        return
    connection = state.network.connections.get(("scheduler", output.to))
    if connection is not None:
        mesh.send_if_possible(connection, output.message)


async def _write_record(
    state: _state.SchedulerState, wanted: coordination.WriteShardRecord
) -> None:
    key = CELL_PREFIX + coordination.shard_key(wanted.shard)
    value = coordination.encode_record(wanted.record)
    try:
        revision = await state.store.write(
            key, value, wanted.expected_revision, wanted.write_id, 0
        )
        result = coordination.ClaimResult(
            shard=wanted.shard,
            ok=True,
            record=wanted.record,
            revision=revision,
            write_id=wanted.write_id,
        )
    except errors.SchedulerError:
        result = await _read_record_back(state, wanted, key)
    feed(state, result)


async def _read_record_back(
    state: _state.SchedulerState,
    wanted: coordination.WriteShardRecord,
    key: str,
) -> coordination.ClaimResult:
    """Read a record to learn whether an unanswered write took effect."""
    entry = await _get_with_retries(state, key)
    if entry is None or entry.value is None:
        return coordination.ClaimResult(
            shard=wanted.shard,
            ok=False,
            record=None,
            revision=0,
            write_id=wanted.write_id,
        )
    return coordination.ClaimResult(
        shard=wanted.shard,
        ok=entry.write_id == wanted.write_id,
        record=coordination.decode_record(entry.value),
        revision=entry.revision,
        write_id=wanted.write_id,
    )


async def _write_voters(
    state: _state.SchedulerState, wanted: coordination.WriteVoters
) -> None:
    key = CELL_PREFIX + coordination.VOTERS_KEY
    try:
        await state.store.write(
            key,
            coordination.encode_voters(wanted),
            wanted.expected_revision,
            wanted.write_id,
            0,
        )
    except errors.SchedulerError as error:
        LOG.info("the voters were not written: %s", error)
    feed(state, _to_voters(await _get_with_retries(state, key)))


async def _get_with_retries(
    state: _state.SchedulerState, key: str
) -> platform.Entry | None:
    while True:
        try:
            return await state.store.get(key)
        except errors.StoreUnavailableError:
            telemetry.count_retry(
                state.metrics, errors.RetryReason.STORE_ERROR
            )
            await asyncio.sleep(STORE_RETRY_S)
