"""The entry daemon: wiring, peers, planned stop."""

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

# After a stop is asked for, calls are still accepted for this long, so that
# the balancer sees the readiness change first.
READINESS_NOTICE_S = 1.0
POLL_S = 0.05
# A peer that has sent nothing for this many heartbeats is taken for paused.
SILENT_HEARTBEATS = 1.5
# Bodies up to this size are read, and refused with a code if they are larger
# than the settings allow; of larger ones only the headers are read.
MAX_READ_BYTES = 64 * 1024 * 1024

LOG = telemetry.make_logger("entry")


def make_application(state: _state.EntryState) -> tornado.web.Application:
    """Return the HTTP interface of the entry."""
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
        # Refusals are counted by reason; a log line for each would cost more
        # than the request.
        log_function=lambda handler: None,
    )


def make_state(settings: settings_module.Settings) -> _state.EntryState:
    """Return the state of an entry that is not connected yet."""
    config_state = config_module.ConfigState()
    network = daemon.make_network(settings, "entry")
    state = _state.EntryState(
        settings=settings,
        metrics=telemetry.make_metrics(),
        network=network,
        config_filter=config_module.make_config_filter(config_state),
        config=config_state,
    )
    network.on_message = lambda connection, message: _take_message(
        state, connection, message
    )
    network.on_connected = lambda connection: _connected(state, connection)
    network.on_disconnected = lambda connection: _disconnected(
        state, connection
    )
    return state


async def run(settings: settings_module.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    state = make_state(settings)
    server = tornado.httpserver.HTTPServer(
        make_application(state),
        max_body_size=MAX_READ_BYTES,
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    tasks = [
        asyncio.ensure_future(_poll_instances(state)),
        asyncio.ensure_future(_tick(state)),
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
    """Answer all calls in flight before the daemon ends."""
    LOG.info("stopping")
    state.stopping = True
    await asyncio.sleep(READINESS_NOTICE_S)
    server.stop()
    deadline = time.monotonic() + state.settings.coordination.stop_grace_s
    while state.in_flight and time.monotonic() < deadline:
        await asyncio.sleep(POLL_S)
    if state.in_flight:
        LOG.warning("stop cut off %d calls", state.in_flight)
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

    def take_changes(instances: tuple[model.Instance, ...]) -> None:
        daemon.update_addresses(addresses, instances)
        mesh.set_addresses(state.network, set(addresses.values()))

    await daemon.poll_instances(
        settings, model.InstanceKind.ENTRY.value, take_changes
    )


async def _tick(state: _state.EntryState) -> None:
    """Send heartbeats and keep the metrics and the config up to date."""
    counted = mesh.Traffic()
    while True:
        await asyncio.sleep(state.settings.mesh.heartbeat_s)
        _run_config(state, config_module.Tick())
        heartbeat = mesh.Heartbeat(config_version=state.config.history.version)
        for connection in mesh.schedulers(state.network):
            mesh.send_if_possible(connection, heartbeat)
        daemon.count_traffic(state.metrics, state.network.traffic, counted)
        state.metrics.mesh_dropped.set(
            {"reason": "unmatched"}, state.calls.unmatched
        )


def _connected(state: _state.EntryState, connection: mesh.Connection) -> None:
    LOG.info("connected to scheduler %s", connection.peer.sender)
    mesh.send_if_possible(
        connection,
        mesh.ConfigFetch(after=state.config.history.version),
    )


def _disconnected(
    state: _state.EntryState, connection: mesh.Connection
) -> None:
    LOG.info("lost scheduler %s", connection.peer.sender)
    _owners.drop_connection(state.owners, connection)
    mesh.fail_connection(state.calls, connection)


def _take_message(
    state: _state.EntryState, connection: mesh.Connection, message: object
) -> None:
    match message:
        case mesh.RequestReply() | mesh.Reply():
            mesh.resolve(state.calls, connection, message)
        case mesh.OwnedShards():
            for former in _owners.take_owned(
                state.owners, connection, message
            ):
                _abort_if_silent(state, former)
        case _:
            config_message = daemon.to_config_message(message)
            if config_message is not None:
                _run_config(state, config_message, connection)


def _abort_if_silent(
    state: _state.EntryState, former: mesh.Connection
) -> None:
    """End the connection to a former owner that is paused or unreachable.

    Its calls then go to the new owner instead of waiting for their deadlines.
    A former owner that hands over still sends heartbeats, and answers what it
    has in flight.
    """
    silent_s = time.monotonic() - former.received_at
    if silent_s > SILENT_HEARTBEATS * state.settings.mesh.heartbeat_s:
        LOG.warning("scheduler %s is silent", former.peer.sender)
        mesh.abort(former)


def _run_config(
    state: _state.EntryState,
    message: object,
    connection: mesh.Connection | None = None,
) -> None:
    """Feed the config filter; an entry asks schedulers, not the store."""
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
