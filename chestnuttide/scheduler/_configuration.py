"""Runs the config filter: store calls, peers, operators' patches."""

import asyncio
import json
import time

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import daemon
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide.scheduler import _membership
from chestnuttide.scheduler import _requests
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

# Only the first schedulers in the ranking for this key watch the store; the
# others get new versions from them over the mesh.
WATCH_RANK_KEY = "config"
WATCHERS = 2
WATCH_WAIT_S = 20.0
STORE_RETRY_S = 0.5

LOG = telemetry.make_logger("config")


def feed(state: _state.SchedulerState, message: object) -> None:
    """Feed a message to the config filter and carry out its outputs."""
    for output in state.run_config(message, time.monotonic()):
        _carry_out(state, output)


def submit_patch(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: mesh.PatchSubmit,
) -> None:
    """Feed an operator's patch to the config filter."""
    token = f"{connection.peer.incarnation}/{message.call_id}"
    state.patch_calls[token] = (connection, message.call_id)
    feed(
        state,
        config_module.SubmitPatch(
            token=token,
            base=message.base,
            patch=json.loads(message.patch),
            author=message.author,
            write_id=message.write_id,
        ),
    )


def reply_to_read(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: mesh.ConfigRead,
) -> None:
    """Reply with a version of the config document or with its history."""
    history = state.config.history
    try:
        if message.history:
            document: object = {
                "head": history.version,
                "patches": [
                    {
                        "version": each.version,
                        "base": each.base,
                        "author": each.author,
                        "patch": each.patch,
                    }
                    for each in history.recent
                ],
            }
        else:
            version = (
                history.version if message.version < 0 else message.version
            )
            document = {
                "version": version,
                "document": config_module.document_at(history, version),
            }
    except errors.RefusedError as error:
        telemetry.count_refusal(state.metrics, error.reason)
        reply = _requests.make_refusal_reply(message.call_id, error)
    else:
        reply = _make_reply(message.call_id, document)
    mesh.send_if_possible(connection, reply)


def reply_to_fetch(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: mesh.ConfigFetch,
) -> None:
    """Send a peer the config versions that it lacks."""
    history = state.config.history
    if message.after >= history.version:
        return
    entries = config_module.entries_after(history, message.after)
    if entries is None:
        answer: object = mesh.ConfigSnapshot(
            version=history.version,
            document=json.dumps(history.document).encode(),
        )
    else:
        answer = daemon.to_patches_message(entries)
    mesh.send_if_possible(connection, answer)


async def load(state: _state.SchedulerState) -> None:
    """Read the config from the store when the daemon starts."""
    while True:
        try:
            await _load_snapshot(state)
            await _load_patches(state)
        except errors.StoreUnavailableError:
            # A peer may send the config over the mesh in the meantime.
            await asyncio.sleep(STORE_RETRY_S)
        else:
            return


async def watch(state: _state.SchedulerState) -> None:
    """Watch the store whenever this instance is a watcher; never returns."""
    revision = 0
    while True:
        if not _is_watcher(state):
            await asyncio.sleep(STORE_RETRY_S)
            continue
        try:
            if revision == 0:
                revision = await _load_patches(state)
            result = await state.store.watch(
                config_module.PATCH_KEY_PREFIX, revision, WATCH_WAIT_S
            )
        except errors.StoreUnavailableError:
            await asyncio.sleep(STORE_RETRY_S)
            continue
        revision = result.revision
        entries = tuple(
            config_module.decode_entry(
                config_module.version_of_key(each.key), each.value
            )
            for each in result.entries
            if each.value is not None
        )
        if entries:
            feed(
                state,
                config_module.PatchesReceived(
                    entries=entries, from_store=True
                ),
            )


def _is_watcher(state: _state.SchedulerState) -> bool:
    members = [each.peer.sender for each in mesh.schedulers(state.network)]
    members.append(state.settings.instance_id)
    ranked = coordination.top_members(WATCH_RANK_KEY, members, WATCHERS)
    return state.settings.instance_id in ranked


async def _load_snapshot(state: _state.SchedulerState) -> None:
    manifest = await state.store.get(config_module.SNAPSHOT_KEY)
    if manifest is None or manifest.value is None:
        return
    _, keys = config_module.decode_manifest(manifest.value)
    chunks = [await state.store.get(key) for key in keys]
    try:
        snapshot = config_module.decode_snapshot(
            manifest.value, [each.value for each in chunks if each]
        )
    except errors.ProtocolError as error:
        LOG.warning("ignoring an unreadable snapshot: %s", error)
        return
    feed(state, config_module.SnapshotReceived(snapshot=snapshot))


async def _load_patches(state: _state.SchedulerState) -> int:
    """Read the versions after the current one; return the last revision."""
    revision = 0
    while True:
        version = state.config.history.version
        found = await state.store.list_range(
            config_module.entry_prefix(version + 1)
        )
        entries = tuple(
            config_module.decode_entry(
                config_module.version_of_key(each.key), each.value
            )
            for each in found
        )
        revision = max([revision, *(each.revision for each in found)])
        if entries:
            feed(state, config_module.PatchesReceived(entries=entries))
        if state.config.history.version == version:
            return revision


def _make_reply(call_id: int, document: object) -> mesh.Reply:
    return mesh.Reply(
        call_id=call_id,
        status=200,
        reason="",
        body=json.dumps(document).encode(),
    )


def _carry_out(state: _state.SchedulerState, output: object) -> None:
    match output:
        case config_module.ReadKey():
            _state.start_task(state, _read(state, output))
        case config_module.WritePatch():
            _state.start_task(state, _write(state, output))
        case config_module.PatchAccepted():
            _answer(state, output.token, {"version": output.version})
        case config_module.PatchRefused():
            _refuse(state, output)
        case config_module.ConfigAdopted():
            _apply_config(state, output)
        case config_module.ConfigUnreadable():
            LOG.error(
                "version %d is unusable: %s", output.version, output.error
            )
        case config_module.FetchMissing():
            _fetch_missing(state, output)
        case config_module.Broadcast():
            message = daemon.to_patches_message(output.entries)
            for connection in state.network.connections.values():
                mesh.send_if_possible(connection, message)
        case config_module.WriteSnapshot():
            _state.start_task(state, _write_snapshot(state, output))


def _answer(
    state: _state.SchedulerState, token: str, document: object
) -> None:
    call = state.patch_calls.pop(token, None)
    if call is not None:
        connection, call_id = call
        mesh.send_if_possible(connection, _make_reply(call_id, document))


def _refuse(
    state: _state.SchedulerState, output: config_module.PatchRefused
) -> None:
    telemetry.count_refusal(state.metrics, output.error.reason)
    call = state.patch_calls.pop(output.token, None)
    if call is not None:
        connection, call_id = call
        mesh.send_if_possible(
            connection,
            _requests.make_refusal_reply(call_id, output.error),
        )


def _apply_config(
    state: _state.SchedulerState, output: config_module.ConfigAdopted
) -> None:
    LOG.info("version %d is in force", output.version)
    state.metrics.config_version.set({}, output.version)
    cell = output.cell_config
    desired = set(model.pool_shards(cell.pool.pools))
    for name, service in cell.services.items():
        desired |= set(model.service_shards(name, service.shards))
    for shard in list(state.shards.values()):
        shard.put_config(cell)
    _membership.feed(
        state, coordination.DesiredShards(shards=frozenset(desired))
    )


def _fetch_missing(
    state: _state.SchedulerState, output: config_module.FetchMissing
) -> None:
    peers = mesh.schedulers(state.network)
    fetch = mesh.ConfigFetch(after=output.after_version)
    for connection in peers:
        mesh.send_if_possible(connection, fetch)
    if not peers:
        _state.start_task(state, load(state))


async def _read(
    state: _state.SchedulerState, output: config_module.ReadKey
) -> None:
    try:
        entry = await state.store.get(output.key)
    except errors.StoreUnavailableError:
        feed(state, config_module.ReadUnanswered(key=output.key))
        return
    value = None if entry is None else entry.value
    feed(state, config_module.ReadBack(key=output.key, value=value))


async def _write(
    state: _state.SchedulerState, output: config_module.WritePatch
) -> None:
    key, write_id = output.key, output.write_id
    try:
        await state.store.write(key, output.value, 0, write_id, 0)
    except errors.RevisionConflictError:
        telemetry.count_retry(state.metrics, errors.RetryReason.CAS_CONFLICT)
        feed(state, config_module.WriteConflict(key=key, write_id=write_id))
    except errors.StoreUnavailableError:
        telemetry.count_retry(
            state.metrics, errors.RetryReason.STORE_ANSWER_LOST
        )
        feed(state, config_module.WriteUnanswered(key=key, write_id=write_id))
    else:
        feed(state, config_module.WriteSucceeded(key=key, write_id=write_id))


async def _write_snapshot(
    state: _state.SchedulerState, output: config_module.WriteSnapshot
) -> None:
    """Store a snapshot. It only speeds up starts, so failures are logged."""
    snapshot = output.snapshot
    try:
        former = await state.store.get(snapshot.manifest_key)
        if former is not None and former.value is not None:
            version, _ = config_module.decode_manifest(former.value)
            if version >= snapshot.version:
                return
        for key, value in snapshot.chunks:
            await state.store.write(key, value, 0, next(state.write_ids), 0)
        await state.store.write(
            snapshot.manifest_key,
            snapshot.manifest,
            0 if former is None else former.revision,
            next(state.write_ids),
            0,
        )
        if output.obsolete_prefix:
            for each in await state.store.list_range(output.obsolete_prefix):
                await state.store.delete(each.key, each.revision)
    except errors.SchedulerError as error:
        LOG.warning("the snapshot was not written: %s", error)
