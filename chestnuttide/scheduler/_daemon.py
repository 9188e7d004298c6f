"""The scheduler daemon: set-up, mesh messages, planned stop."""

import asyncio
import itertools
import json
import signal
import sys
import time

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import daemon
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import platform
from chestnuttide import routing
from chestnuttide.scheduler import _configuration
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _membership
from chestnuttide.scheduler import _requests
from chestnuttide.scheduler import _state
from chestnuttide.scheduler import _takeover
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

# Interval between ticks of the shards; bounds how late an expired deadline is
# detected.
TICK_S = 0.05
# Number of shard ticks for one tick of ownership, the config and the journals,
# whose timeouts are tenths of seconds or longer.
OWNERSHIP_TICKS = 2
CONFIG_TICKS = 4
JOURNAL_TICKS = 4
# Timeout of lease calls as a share of the lease's time to live. A renewal must
# fail early enough to request promises while the lease is still valid.
LEASE_TIMEOUT_SHARE = 0.2
# Idle time whose unused journal writes may be made in one burst.
JOURNAL_BURST_S = 1.0
AGENT_TIMEOUT_S = 2.0
# Time after which a patch is answered even if its outcome in the store is
# unknown. The entry waits longer, so that the caller gets this answer.
PATCH_WAIT_S = 5.0
# Limit of concurrent polls, one for each worker of the owned pools. It exceeds
# the 400 workers of four pools at the target size. Each takes some 8 KB.
MAX_SYNCS = 1024
# Number of task lease periods for which gone instances are remembered.
GONE_RETENTION_LEASES = 3
POLL_S = 0.02

LOG = telemetry.make_logger("scheduler")


def make_state(settings: settings_module.Settings) -> _state.SchedulerState:
    """Return the state of a scheduler before it connects to its peers."""
    metrics = telemetry.make_metrics()
    network = daemon.make_network(settings, "scheduler")
    incarnation = network.hello.incarnation
    times = settings.coordination
    now = time.monotonic()
    ownership = coordination.make_ownership_state(
        instance_id=settings.instance_id,
        incarnation=incarnation,
        now=now,
        settings=coordination.OwnershipSettings(promise_s=times.promise_s),
    )
    config_state = config_module.ConfigState()

    def make_store(timeout_s: float) -> platform.Store:
        return platform.make_store(
            address=settings.platform.store_address,
            timeout_s=timeout_s,
            call_counts=lambda kind: telemetry.count_store_call(metrics, kind),
            client_id=settings.instance_id,
        )

    state = _state.SchedulerState(
        settings=settings,
        metrics=metrics,
        network=network,
        store=make_store(settings.platform.store_timeout_s),
        lease_store=make_store(times.lease_ttl_s * LEASE_TIMEOUT_SHARE),
        targets=platform.make_targets(),
        agents=platform.make_worker_agent(
            timeout_s=AGENT_TIMEOUT_S, max_syncs=MAX_SYNCS
        ),
        ownership=ownership,
        run_ownership=coordination.make_ownership_filter(state=ownership),
        config=config_state,
        run_config=config_module.make_config_filter(
            config_state, patch_wait_s=PATCH_WAIT_S
        ),
        bucket=coordination.make_token_bucket(
            times.journal_writes_per_s,
            max(1.0, times.journal_writes_per_s * JOURNAL_BURST_S),
            now,
        ),
        write_ids=(
            f"{settings.instance_id}/{incarnation}/{number}"
            for number in itertools.count(1)
        ),
    )
    _connect_parts(state)
    return state


async def run(settings: settings_module.Settings) -> None:
    """Serve until SIGTERM, SIGINT or a drain, then stop gracefully."""
    state = make_state(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, state.stop.set)
    await mesh.listen(
        state.network,
        ip=settings.advertise_ip,
        port=settings.scheduler.mesh_port,
    )
    server = daemon.serve_metrics(
        state.metrics,
        ip=settings.advertise_ip,
        port=settings.scheduler.metrics_port,
    )
    LOG.info("listening on port %d", settings.scheduler.mesh_port)
    loops = [
        asyncio.ensure_future(each)
        for each in (
            _membership.keep_lease(state),
            _membership.watch_cell(state),
            _load_and_watch_config(state),
            daemon.poll_instances(
                settings,
                "",
                lambda instances: _apply_instances(state, instances),
            ),
            _tick(state),
            _send_heartbeats(state),
        )
    ]
    stop = asyncio.ensure_future(state.stop.wait())
    done, _ = await asyncio.wait(
        [stop, *loops], return_when=asyncio.FIRST_COMPLETED
    )
    for each in done - {stop}:
        # The loops never return, so one has failed. After the exit another
        # instance takes over.
        LOG.critical("a loop has failed", exc_info=each.exception())
        sys.exit(1)
    await _stop(state)
    for each in loops:
        each.cancel()
    server.stop()
    await mesh.close(state.network)
    LOG.info("stopped")


def _connect_parts(state: _state.SchedulerState) -> None:
    """Set the callbacks between the network, ownership and shards."""
    network = state.network
    network.on_message = lambda connection, message: _handle_safely(
        state, connection, message
    )
    network.on_connected = lambda connection: _on_connected(state, connection)
    network.on_disconnected = lambda connection: _on_disconnected(
        state, connection
    )
    state.on_acquired = lambda message: _takeover.start_takeover(
        state, message
    )
    state.on_lost = lambda message: _takeover.stop_serving(state, message)
    state.on_should_release = lambda message: _takeover.start_handover(
        state, message
    )
    state.on_leaving = lambda target_id: _mark_leaving(
        state, (target_id,), broadcast=True
    )
    state.broadcast = lambda message: _broadcast(state, message)


async def _load_and_watch_config(state: _state.SchedulerState) -> None:
    await _configuration.load(state)
    await _configuration.watch(state)


async def _tick(state: _state.SchedulerState) -> None:
    for tick_number in itertools.count():
        await asyncio.sleep(TICK_S)
        if tick_number % OWNERSHIP_TICKS == 0:
            _membership.feed(state, coordination.Tick())
        if tick_number % CONFIG_TICKS == 0:
            _configuration.feed(state, config_module.Tick())
        for shard in list(state.shards.values()):
            if tick_number % JOURNAL_TICKS == 0:
                _journals.tick(shard.journal)
            shard.tick()


async def _send_heartbeats(state: _state.SchedulerState) -> None:
    counted = mesh.Traffic()
    while True:
        heartbeat = mesh.Heartbeat(config_version=state.config.history.version)
        _broadcast_all(state, heartbeat)
        _update_gauges(state)
        _discard_gone_instances(state)
        _takeover.discard_former_shards(state)
        daemon.count_traffic(state.metrics, state.network.traffic, counted)
        await asyncio.sleep(state.settings.mesh.heartbeat_s)


def _update_gauges(state: _state.SchedulerState) -> None:
    for shard in state.shards.values():
        state.metrics.queue_length.set({"queue": shard.name}, shard.waiting())


def _discard_gone_instances(state: _state.SchedulerState) -> None:
    """Discard gone workers and targets whose leases must have expired.

    Until then a takeover needs them to wait for their leases.
    """
    oldest = time.monotonic() - GONE_RETENTION_LEASES * (
        state.config.cell_config.pool.task_lease_s
    )
    for instance_id, gone_at in list(state.gone_at.items()):
        if gone_at < oldest:
            del state.gone_at[instance_id]
            state.instances.pop(instance_id, None)


def _broadcast(state: _state.SchedulerState, message: object) -> None:
    for connection in mesh.schedulers(state.network):
        mesh.send_if_possible(connection, message)


def _broadcast_all(state: _state.SchedulerState, message: object) -> None:
    for connection in state.network.connections.values():
        mesh.send_if_possible(connection, message)


def _on_connected(
    state: _state.SchedulerState, connection: mesh.Connection
) -> None:
    LOG.info(
        "connected to %s %s", connection.peer.kind, connection.peer.sender
    )
    mesh.send_if_possible(connection, _takeover.owned_shards(state))
    if connection.peer.kind == "scheduler":
        if state.leaving:
            mesh.send_if_possible(
                connection,
                mesh.TargetsLeaving(targets=tuple(sorted(state.leaving))),
            )
        mesh.send_if_possible(
            connection,
            mesh.ConfigFetch(after=state.config.history.version),
        )
        _membership.update_peers(state)


def _on_disconnected(
    state: _state.SchedulerState, connection: mesh.Connection
) -> None:
    LOG.info("lost %s %s", connection.peer.kind, connection.peer.sender)
    for shard in list(state.shards.values()):
        shard.drop_connection(connection)
    if connection.peer.kind == "scheduler":
        _membership.update_peers(state)


def _handle_safely(
    state: _state.SchedulerState, connection: mesh.Connection, message: object
) -> None:
    """Handle a message without letting a failure close the connection.

    Closing it would lose all other calls on the connection.
    """
    try:
        _handle_message(state, connection, message)
    except Exception:
        LOG.exception("handling message %s failed", type(message).__name__)
        call_id = getattr(message, "call_id", None)
        if call_id is None or isinstance(message, mesh.RequestCancel):
            return
        error = errors.RefusedError(
            reason=errors.Reason.INTERNAL,
            message="The scheduler failed while handling the call.",
            remedy="Read the state of your call, and report the log line.",
            run_state=errors.RunState.UNKNOWN,
        )
        _refuse_call(state, connection, message, error)


def _handle_message(
    state: _state.SchedulerState, connection: mesh.Connection, message: object
) -> None:
    match message:
        case (
            mesh.RequestCall()
            | mesh.RequestRead()
            | mesh.JobSubmit()
            | mesh.JobRead()
            | mesh.JobCancel()
        ):
            _handle_shard_call(state, connection, message)
        case mesh.RequestCancel():
            for shard in list(state.shards.values()):
                if not model.is_pool(shard.name):
                    shard.handle_message(connection, message)
        case mesh.SlotsFreed():
            _handle_slots_freed(state, connection, message)
        case mesh.TargetsLeaving():
            _mark_leaving(state, message.targets, broadcast=False)
        case mesh.PatchSubmit():
            _configuration.submit_patch(state, connection, message)
        case mesh.ConfigRead():
            _configuration.reply_to_read(state, connection, message)
        case mesh.ConfigFetch():
            _configuration.reply_to_fetch(state, connection, message)
        case mesh.StatusRead():
            _reply_to_status(state, connection, message)
        case mesh.Drain():
            LOG.info("%s requested a drain", connection.peer.sender)
            state.stop.set()
            mesh.send_if_possible(
                connection,
                mesh.Reply(
                    call_id=message.call_id,
                    status=202,
                    reason="",
                    body=json.dumps(
                        {
                            "instance_id": state.settings.instance_id,
                            "state": "draining",
                        }
                    ).encode(),
                ),
            )
        case _:
            if not _membership.feed_ownership_message(state, message):
                config_message = daemon.to_config_message(message)
                if config_message is not None:
                    _configuration.feed(state, config_message)


def _handle_shard_call(
    state: _state.SchedulerState, connection: mesh.Connection, message: object
) -> None:
    shard = state.shards.get(message.shard)
    if shard is not None:
        shard.handle_message(connection, message)
        return
    former = state.former.get(message.shard)
    if former is not None and isinstance(message, mesh.RequestRead):
        former[1].handle_message(connection, message)
        return
    error = routing.make_error(
        errors.Reason.NOT_OWNER,
        f"Shard {message.shard} is not served here.",
    )
    _refuse_call(state, connection, message, error)


def _refuse_call(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: object,
    error: errors.RefusedError,
) -> None:
    telemetry.count_refusal(state.metrics, error.reason)
    if isinstance(message, mesh.RequestCall):
        answer = routing.make_answer(message.request_id, error)
        reply: object = _requests.make_request_reply(message.call_id, answer)
    else:
        reply = _requests.make_refusal_reply(message.call_id, error)
    mesh.send_if_possible(connection, reply)


def _handle_slots_freed(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: mesh.SlotsFreed,
) -> None:
    shard = state.shards.get(message.shard)
    if shard is not None:
        shard.handle_message(connection, message)
    elif message.shard in state.activations:
        key = (message.shard, message.target)
        state.early_freed_slots[key] = (
            state.early_freed_slots.get(key, 0) + message.count
        )


def _mark_leaving(
    state: _state.SchedulerState, targets: tuple[str, ...], *, broadcast: bool
) -> None:
    new_targets = tuple(each for each in targets if each not in state.leaving)
    if not new_targets:
        return
    state.leaving.update(new_targets)
    for shard in list(state.shards.values()):
        for target_id in new_targets:
            shard.put_leaving(target_id)
    if broadcast:
        _broadcast(state, mesh.TargetsLeaving(targets=new_targets))


def _apply_instances(
    state: _state.SchedulerState, instances: tuple[model.Instance, ...]
) -> None:
    leaving_ids = []
    for each in instances:
        state.instances[each.instance_id] = each
        state.gone_at.pop(each.instance_id, None)
        if each.state is model.InstanceState.GONE:
            state.leaving.discard(each.instance_id)
            if each.kind is not model.InstanceKind.ENTRY:
                state.gone_at[each.instance_id] = time.monotonic()
        elif (
            each.kind is model.InstanceKind.TARGET
            and each.state is model.InstanceState.LEAVING
        ):
            leaving_ids.append(each.instance_id)
    for shard in list(state.shards.values()):
        shard.put_instances(instances)
    # Instances read the list at different times; the first one to see a
    # leaving target informs the others.
    _mark_leaving(state, tuple(leaving_ids), broadcast=True)
    if any(each.kind is model.InstanceKind.ENTRY for each in instances):
        _update_schedulers(state)


def _update_schedulers(state: _state.SchedulerState) -> None:
    """Connect to schedulers with higher ids; the others connect here."""
    own = state.settings.instance_id
    addresses: dict[str, str] = {}
    daemon.update_addresses(addresses, tuple(state.instances.values()))
    mesh.set_addresses(
        state.network,
        {
            address
            for instance_id, address in addresses.items()
            if instance_id > own
        },
    )
    gone = frozenset(
        each.instance_id
        for each in state.instances.values()
        if each.kind is model.InstanceKind.ENTRY
        and each.state is model.InstanceState.GONE
    )
    _membership.feed(state, coordination.InstancesGone(ids=gone))


def _reply_to_status(
    state: _state.SchedulerState,
    connection: mesh.Connection,
    message: mesh.StatusRead,
) -> None:
    status: dict[str, list[object]] = {
        "instances": [
            {
                "instance_id": state.settings.instance_id,
                "data_centre": state.settings.data_centre,
                "state": "draining" if state.draining else "live",
                "config_version": state.config.history.version,
            }
        ],
        "shards": [],
        "workers": [],
        "queues": [],
    }
    for shard in state.shards.values():
        status["shards"].append(
            {
                "shard": shard.name,
                "owner": state.settings.instance_id,
                "epoch": shard.epoch,
            }
        )
        for table, rows in shard.describe().items():
            status[table] += rows
    mesh.send_if_possible(
        connection,
        mesh.Reply(
            call_id=message.call_id,
            status=200,
            reason="",
            body=json.dumps(status).encode(),
        ),
    )


async def _stop(state: _state.SchedulerState) -> None:
    """Hand over all shards and wait for the dispatches in flight."""
    LOG.info("stopping")
    state.draining = True
    deadline = time.monotonic() + state.settings.coordination.stop_grace_s
    served = list(state.shards.values())
    await _membership.announce_leaving(state)
    _membership.feed(state, coordination.Drain())
    _takeover.announce_shards(state)
    while time.monotonic() < deadline:
        in_flight = sum(shard.in_flight() for shard in served)
        owned = state.ownership.held
        if not in_flight and not owned and not state.releases:
            break
        await asyncio.sleep(POLL_S)
    else:
        LOG.warning("the stop was cut short by stop_grace_s")
    await _membership.leave(state)
