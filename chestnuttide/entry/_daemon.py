"""The entry daemon: start, mesh peers and graceful stop."""

import asyncio
import signal
import time

import tornado.httpserver
import tornado.web

from chestnuttide import config as config_module
from chestnuttide import daemon
from chestnuttide.entry import _handlers
from chestnuttide.entry import _owners
from chestnuttide.entry import _state
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

# Calls are still accepted for this long after a stop is requested, so that the
# load balancer sees the readiness change first.
READINESS_DELAY_S = 1.0
# Interval at which a stop checks whether calls are still in flight.
STOP_POLL_S = 0.05
# A peer that has sent nothing for this many heartbeat intervals counts as
# unresponsive.
UNRESPONSIVE_HEARTBEATS = 1.5
# Bodies up to this size are read, and refused with an error code if they
# exceed the configured limit. For larger bodies only the headers are read.
MAX_READ_BODY_BYTES = 64 * 1024 * 1024

LOG = telemetry.make_logger("entry")


def make_application(state: _state.EntryState) -> tornado.web.Application:
    """Return the HTTP application of the entry."""
    shared = {"state": state}
    name = "([^/]+)"
    return tornado.web.Application(
        [
            (
                f"/v1/services/{name}/requests",
                _handlers.RequestsHandler,
                shared,
            ),
            (
                f"/v1/services/{name}/requests/{name}",
                _handlers.RequestHandler,
                shared,
            ),
            (
                f"/v1/services/{name}/requests/{name}/answer",
                _handlers.AnswerHandler,
                shared,
            ),
            ("/v1/jobs", _handlers.JobsHandler, shared),
            (f"/v1/jobs/{name}", _handlers.JobHandler, shared),
            ("/v1/config", _handlers.ConfigHandler, shared),
            ("/v1/config/history", _handlers.HistoryHandler, shared),
            ("/v1/config/patches", _handlers.PatchesHandler, shared),
            ("/v1/status", _handlers.StatusHandler, shared),
            (f"/v1/instances/{name}/drain", _handlers.DrainHandler, shared),
            ("/healthz", _handlers.HealthHandler, shared),
            ("/readyz", _handlers.ReadyHandler, shared),
        ],
        default_handler_class=_handlers.UnknownPathHandler,
        default_handler_args=shared,
        # Refusals are counted by reason; logging each one would cost more than
        # the request itself.
        log_function=lambda handler: None,
    )


def make_state(settings: settings_module.Settings) -> _state.EntryState:
    """Return the state of an entry that has no connections yet."""
    config_state = config_module.ConfigState()
    network = daemon.make_network(settings, "entry")
    state = _state.EntryState(
        settings=settings,
        metrics=telemetry.make_metrics(),
        network=network,
        config_filter=config_module.make_config_filter(config_state),
        config=config_state,
    )
    network.on_message = lambda connection, message: _handle_message(
        state, connection, message
    )
    network.on_connected = lambda connection: _handle_connected(
        state, connection
    )
    network.on_disconnected = lambda connection: _handle_disconnected(
        state, connection
    )
    return state


async def run(settings: settings_module.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    state = make_state(settings)
    server = tornado.httpserver.HTTPServer(
        make_application(state),
        max_body_size=MAX_READ_BODY_BYTES,
        max_buffer_size=2 * settings.entry.max_body_bytes,
    )
    server.listen(settings.entry.http_port, address=settings.advertise_ip)
    metrics_server = daemon.serve_metrics(
        state.metrics,
        ip=settings.advertise_ip,
        port=settings.entry.metrics_port,
    )
    LOG.info("listening on port %d", settings.entry.http_port)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    tasks = [
        asyncio.ensure_future(_poll_instances(state)),
        asyncio.ensure_future(_heartbeat_loop(state)),
    ]
    await stop.wait()
    await _stop(state, server)
    for task in tasks:
        task.cancel()
    metrics_server.stop()
    await mesh.close(state.network)
    LOG.info("stopped")


async def _stop(
    state: _state.EntryState, server: tornado.httpserver.HTTPServer
) -> None:
    """Answer the calls in flight, up to a deadline, and stop the server."""
    LOG.info("stopping")
    state.stopping = True
    await asyncio.sleep(READINESS_DELAY_S)
    server.stop()
    deadline = time.monotonic() + state.settings.coordination.stop_grace_s
    while state.in_flight and time.monotonic() < deadline:
        await asyncio.sleep(STOP_POLL_S)
    if state.in_flight:
        LOG.warning("stopped with %d calls in flight", state.in_flight)
    await server.close_all_connections()


async def _poll_instances(state: _state.EntryState) -> None:
    """Keep a connection to each scheduler that the platform lists."""
    settings = state.settings
    addresses = {
        settings.instance_id: (
            f"{settings.advertise_ip}:{settings.scheduler.mesh_port}"
        )
    }
    mesh.set_addresses(state.network, set(addresses.values()))

    def handle_changes(instances: tuple[model.Instance, ...]) -> None:
        daemon.update_addresses(addresses, instances)
        mesh.set_addresses(state.network, set(addresses.values()))

    await daemon.poll_instances(
        settings, model.InstanceKind.ENTRY.value, handle_changes
    )


async def _heartbeat_loop(state: _state.EntryState) -> None:
    """Send heartbeats and update the metrics and the configuration."""
    counted = mesh.Traffic()
    while True:
        await asyncio.sleep(state.settings.mesh.heartbeat_s)
        _update_config(state, config_module.Tick())
        heartbeat = mesh.Heartbeat(config_version=state.config.history.version)
        for connection in mesh.schedulers(state.network):
            mesh.send_if_possible(connection, heartbeat)
        daemon.count_traffic(state.metrics, state.network.traffic, counted)
        state.metrics.mesh_dropped.set(
            {"reason": "unmatched"}, state.calls.unmatched
        )


def _handle_connected(
    state: _state.EntryState, connection: mesh.Connection
) -> None:
    LOG.info("connected to scheduler %s", connection.peer.sender)
    mesh.send_if_possible(
        connection,
        mesh.ConfigFetch(after=state.config.history.version),
    )


def _handle_disconnected(
    state: _state.EntryState, connection: mesh.Connection
) -> None:
    LOG.info("disconnected from scheduler %s", connection.peer.sender)
    _owners.drop_connection(state.owners, connection)
    mesh.fail_connection(state.calls, connection)


def _handle_message(
    state: _state.EntryState, connection: mesh.Connection, message: object
) -> None:
    match message:
        case mesh.RequestReply() | mesh.Reply():
            mesh.resolve(state.calls, connection, message)
        case mesh.OwnedShards():
            for former in _owners.update_owned_shards(
                state.owners, connection, message
            ):
                _abort_if_unresponsive(state, former)
        case _:
            config_message = daemon.to_config_message(message)
            if config_message is not None:
                _update_config(state, config_message, connection)


def _abort_if_unresponsive(
    state: _state.EntryState, former: mesh.Connection
) -> None:
    """Drop the connection to a former owner that is paused or unreachable.

    Its calls are then resent to the new owner instead of waiting for their
    deadlines. A former owner that handed over its shard still sends heartbeats
    and answers the calls that it has in flight.
    """
    idle_s = time.monotonic() - former.received_at
    if idle_s > UNRESPONSIVE_HEARTBEATS * state.settings.mesh.heartbeat_s:
        LOG.warning("scheduler %s is unresponsive", former.peer.sender)
        mesh.abort(former)


def _update_config(
    state: _state.EntryState,
    message: object,
    connection: mesh.Connection | None = None,
) -> None:
    """Pass a message to the configuration filter and act on its outputs.

    An entry fetches missing versions from schedulers, not from the store.
    """
    for output in state.config_filter(message, time.monotonic()):
        match output:
            case config_module.ConfigAdopted():
                state.metrics.config_version.set({}, output.version)
                LOG.info("config version %d is in force", output.version)
            case config_module.ConfigUnreadable():
                LOG.error("config version %d is unusable", output.version)
            case config_module.FetchMissing():
                peers = mesh.schedulers(state.network)
                peer = connection or (peers[0] if peers else None)
                if peer is not None:
                    mesh.send_if_possible(
                        peer, mesh.ConfigFetch(after=output.after_version)
                    )
            case _:
                pass
