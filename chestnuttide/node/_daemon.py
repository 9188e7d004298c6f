"""The daemon of an instance: setup, start, reload and graceful shutdown."""

import asyncio
import collections.abc
import functools
import gc
import json
import secrets
import signal

import attrs
from tornado import httputil

from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide.node import _access
from chestnuttide.node import _admission
from chestnuttide.node import _advisor_queries
from chestnuttide.node import _cap_pages
from chestnuttide.node import _cap_record
from chestnuttide.node import _cap_reports
from chestnuttide.node import _claims
from chestnuttide.node import _clock
from chestnuttide.node import _configuration
from chestnuttide.node import _directory
from chestnuttide.node import _intake_http
from chestnuttide.node import _intake_sweep
from chestnuttide.node import _lookups
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _poll_turns
from chestnuttide.node import _ports
from chestnuttide.node import _release
from chestnuttide.node import _responses
from chestnuttide.node import _send_window
from chestnuttide.node import _session
from chestnuttide.node import _set_aside
from chestnuttide.node import _settings
from chestnuttide.node import _submission
from chestnuttide.node import _updates
from chestnuttide.node import _worker_clients
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("daemon")

# The store answers within milliseconds, but at times 60 times as slowly.
STORE_TIMEOUT_S = 0.7

# Concurrent transfers.
MAX_STORE_TRANSFERS = 100

# The store removes the entry of a dead worker after three heartbeats of
# silence. The fourth covers the watch and a store that is slow.
ENTRY_EXPIRY_HEARTBEATS = 4

# Paths of the operators' pages on the metrics port.
ADMISSION_PATH = "/admission"
SET_ASIDE_PATH = "/set-aside"
DIRECTORY_PATH = "/directory"
WORKSPACES_PATH = "/workspaces"
INTAKE_PATH = "/intake"
RUN_TIMES_PATH = "/run-times"

# What workspaces use of their caps, and why the job ``?job=ID`` waits.
WORKSPACE_USE_PATH = "/workspace-use"
WAITING_PATH = "/waiting"

CLAIM_PERIOD_S = 0.1
RESTART_PAUSE_S = 0.2

# The balancer takes an instance out of rotation after two failed checks, which
# it makes once a second. New connections arrive until then.
ROTATION_PERIOD_S = 2.6

# Time reserved between the last response and SIGKILL.
STOP_MARGIN_S = 0.5

# Time to send a response once it is determined.
RESPONSE_MARGIN_S = 0.2


@attrs.define(kw_only=True, slots=True, eq=False)
class Daemon:
    """State of a running daemon.

    Attributes
    ----------
    session : Session
        The instance's view of the cell.
    context : ApiContext
        State of the handlers of callers' requests.
    owned : dict of str to Ownership
        Services that this instance owns.
    workers : WorkerClients
        Clients of the workers.
    metrics : NodeMetrics
        Counters and histograms.
    tasks : set of Task
        Background loops.
    """

    session: _session.Session
    context: _responses.ApiContext
    owned: dict[str, _ownership.Ownership]
    workers: _worker_clients.WorkerClients
    metrics: _metrics.NodeMetrics
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


async def run(
    settings: _settings.NodeSettings, metrics: _metrics.NodeMetrics
) -> None:
    """Serve until SIGTERM."""
    daemon = await _make_daemon(settings, metrics)
    # Modules and setup objects live until the process exits. Freezing them
    # makes the collector scan only objects that were created later.
    gc.freeze()
    ports = _listen(daemon, settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings)
    session = daemon.session
    for make_loop in (
        _session.keep_lease,
        _session.follow_cell,
        _configuration.follow_config,
        _configuration.ask_peers,
    ):
        _supervise(
            daemon, make_loop.__name__, functools.partial(make_loop, session)
        )
    _supervise(daemon, "claim", functools.partial(_claim_loop, daemon))
    measure = functools.partial(
        _poll_turns.delay_loop, daemon.workers.pacing, daemon.owned, metrics
    )
    _supervise(daemon, "delay", measure)
    _supervise(daemon, "sweep", functools.partial(_intake_sweep.sweep, ports))
    LOG.info(
        "Started.",
        address=session.address,
        incarnation=session.incarnation,
        data_centre=settings.data_centre,
    )
    await stop.wait()
    await _stop(daemon, ports, settings)


async def _make_daemon(
    settings: _settings.NodeSettings, metrics: _metrics.NodeMetrics
) -> Daemon:
    peers = _peers.make_peers(
        instance=settings.instance,
        data_centre=settings.data_centre,
        limits=_ports.make_mesh_limits(settings.capacity),
    )
    store = platform.KvStore(
        http=platform.make_client(max_clients=MAX_STORE_TRANSFERS),
        address=settings.store.address,
        timeout_s=STORE_TIMEOUT_S,
        count=_metrics.store_counter(metrics),
    )
    session = _session.Session(
        settings=settings,
        store=store,
        peers=peers,
        count_unreadable=_metrics.unreadable_counter(metrics),
        incarnation=secrets.token_hex(8),
        confirmation_limit_s=_access.confirmation_limit_s(settings.bounds),
    )
    owned: dict[str, _ownership.Ownership] = {}
    context = _responses.ApiContext(
        session=session, owned=owned, metrics=metrics
    )
    daemon = Daemon(
        session=session,
        context=context,
        owned=owned,
        workers=_worker_clients.make_worker_clients(settings),
        metrics=metrics,
    )
    peers.handlers.update(_make_handlers(daemon, settings))
    port = await _peers.listen(
        peers, ip=settings.ip, ports=settings.mesh_ports
    )
    session.address = f"{settings.ip}:{port}"
    return daemon


def _make_handlers(
    daemon: Daemon, settings: _settings.NodeSettings
) -> dict[type, _peers.Handler]:
    advice_http = platform.make_client(max_clients=MAX_STORE_TRANSFERS)
    advisor_calls = _advisor_queries.AdvisorCalls()

    async def state(message: _messages.StateRead) -> object:
        return _lookups.answer_state(daemon.context, message)

    async def pending(message: _messages.PendingRead) -> object:
        return _lookups.answer_pending(daemon.context, message)

    async def advice(message: _messages.AdvisorQuery) -> object:
        return await _advisor_queries.answer_query(
            advice_http, settings.advisor or "", message, advisor_calls
        )

    async def cell(message: _messages.CellRead) -> object:
        return _configuration.answer_cell(daemon.session, message)

    async def write(message: _messages.JobWrite) -> object:
        outcome = "refused"
        if not daemon.session.store.failing_since:
            outcome = await _submission.write_job(daemon.context, message)
        return _messages.JobWriteReply(
            call_id=message.call_id, outcome=outcome
        )

    async def notice(message: _messages.JobNotice) -> None:
        _updates.apply_job_notice(daemon.owned.get(message.service), message)

    async def admission(message: _messages.AdmissionRead) -> object:
        return _admission.answer(daemon.context, message)

    async def release(message: _messages.Release) -> object:
        return await _release.release_for_peer(daemon.session, message)

    async def cap_use(message: _messages.CapUse) -> None:
        _cap_reports.receive(daemon.session.caps, message, _clock.now())

    async def cap_record(message: _messages.CapRecord) -> None:
        _cap_record.adopt_record(daemon.session, message)
        for owner in daemon.owned.values():
            owner.plan_requested.set()

    return {
        _messages.CapUse: cap_use,
        _messages.CapRecord: cap_record,
        _messages.JobNotice: notice,
        _messages.Release: release,
        _messages.AdmissionRead: admission,
        _messages.StateRead: state,
        _messages.PendingRead: pending,
        _messages.AdvisorQuery: advice,
        _messages.CellRead: cell,
        _messages.JobWrite: write,
    }


def _listen(
    daemon: Daemon, settings: _settings.NodeSettings
) -> list[_intake_http.Port]:
    callers, readiness, metrics = _ports.make_ports(
        daemon.context, settings, lambda request: show_metrics(request)
    )

    def show_metrics(request: httputil.HTTPServerRequest) -> None:
        if request.path in pages:
            body = json.dumps(pages[request.path]()).encode()
            _ports.write_response(request, 200, body, "application/json")
            return
        if request.path == WAITING_PATH:
            job_id = request.arguments.get("job", [b""])[0].decode("latin-1")
            rows = _cap_pages.explain_wait(daemon.owned, job_id)
            body = json.dumps(rows).encode()
            _ports.write_response(request, 200, body, "application/json")
            return
        body, content_type = telemetry.render(daemon.metrics.registry)
        _ports.write_response(request, 200, body, content_type)

    def list_set_aside() -> list[dict[str, object]]:
        return [
            item
            for owner in daemon.owned.values()
            for item in _set_aside.list_items(owner.set_aside)
        ]

    def list_directory() -> list[dict[str, object]]:
        session = daemon.session
        queues = session.config.queues if session.config is not None else ()
        return _directory.list_rows(
            session.directory,
            {(queue.service, queue.name) for queue in queues},
            {name: owner.instance for name, owner in session.owners.items()},
        )

    def list_run_times() -> list[dict[str, object]]:
        return [
            row
            for owner in daemon.owned.values()
            for row in workloads.list_run_times(owner.pool, now=_clock.now())
        ]

    ports = [callers, readiness, metrics]
    pages = {
        SET_ASIDE_PATH: list_set_aside,
        DIRECTORY_PATH: list_directory,
        ADMISSION_PATH: lambda: _admission.list_rows(daemon.owned),
        WORKSPACE_USE_PATH: functools.partial(
            _cap_pages.list_use, daemon.owned
        ),
        WORKSPACES_PATH: functools.partial(
            _configuration.list_workspaces, daemon.session
        ),
        RUN_TIMES_PATH: list_run_times,
        INTAKE_PATH: functools.partial(
            _ports.list_rows, ports, daemon.session.peers.network
        ),
    }
    for port, address in (
        (callers, _settings.split_address(settings.listen.callers)),
        (readiness, _settings.split_address(settings.listen.readiness)),
        (metrics, (settings.ip, settings.metrics_port)),
    ):
        _intake_http.listen(port, address)
    return ports


def _supervise(
    daemon: Daemon,
    name: str,
    make_loop: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Run a loop in the background and restart it if it fails or returns."""

    async def keep_running() -> None:
        while not daemon.session.stopping:
            try:
                await make_loop()
            except Exception:
                LOG.exception("Background loop has failed.", loop=name)
            await asyncio.sleep(RESTART_PAUSE_S)

    daemon.tasks.add(asyncio.ensure_future(keep_running()))


async def _claim_loop(daemon: Daemon) -> None:
    """Claim services without an owner and run the ownerships gained."""
    session = daemon.session
    running: dict[str, asyncio.Task[None]] = {}
    while True:
        session.changed.clear()
        wanted = _services(session)
        for service in sorted(wanted):
            if _claims.should_claim(session, service, _clock.now()):
                await _claims.claim(session, service)
            _update_ownership(daemon, running, service)
        for service in running.keys() - wanted:
            _forget_retired_service(daemon, running, service)
        try:
            async with asyncio.timeout(CLAIM_PERIOD_S):
                await session.changed.wait()
        except TimeoutError:
            continue


def _services(session: _session.Session) -> set[str]:
    """Return the services that need an owner."""
    if session.config is None:
        return set()
    return _session.known_services(session)


def _forget_retired_service(
    daemon: Daemon, running: dict[str, asyncio.Task[None]], service: str
) -> None:
    """Drop the state of an ownership that its owner has released."""
    if not running[service].done():
        return
    del running[service]
    owned = daemon.owned.pop(service, None)
    if owned is not None:
        # If its key is still there, the service is claimed anew.
        daemon.session.failed_fencing_tokens[service] = owned.fencing_token


def _update_ownership(
    daemon: Daemon, running: dict[str, asyncio.Task[None]], service: str
) -> None:
    session = daemon.session
    owned = daemon.owned.get(service)
    gained = _claims.owns_service(session, service) and not session.stopping
    fencing_token = session.owners[service].fencing_token if gained else 0
    if owned is not None and owned.fencing_token != fencing_token:
        if not session.stopping and session.cell_known:
            owned.deposed.set()
    task = running.get(service)
    if task is not None and not task.done():
        return
    daemon.owned.pop(service, None)
    if not gained:
        return
    if session.failed_fencing_tokens.get(service) == fencing_token:
        # Tries again to replace the failed ownership.
        running[service] = asyncio.ensure_future(
            _claims.claim(session, service, replaced=fencing_token)
        )
        return
    if owned is not None and owned.fencing_token == fencing_token:
        LOG.warning(
            "Ownership has failed.", service=service, fence=fencing_token
        )
        session.failed_fencing_tokens[service] = fencing_token
        return
    _worker_clients.open_clients(daemon.workers)
    release = _claims.release_before(session, service, fencing_token)
    owner = _ownership.Ownership(
        service=service,
        fencing_token=fencing_token,
        session=session,
        store=session.store,
        workers_http=daemon.workers.commands,
        polls_http=daemon.workers.polls,
        pacing=daemon.workers.pacing,
        pool=_make_pool(session.settings, service),
        metrics=daemon.metrics,
        commit_windows=_send_window.make_windows(
            session.settings.capacity.link_mbps
        ),
        former_owner_stopped=release is not None,
        former_calls_s=release.former_calls_ms / 1000 if release else 0.0,
    )
    daemon.owned[service] = owner
    running[service] = asyncio.ensure_future(_owner.run_ownership(owner))


def _make_pool(
    settings: _settings.NodeSettings, service: str
) -> workloads.Pool:
    bounds = settings.bounds
    return workloads.Pool(
        service=service,
        run_times=workloads.RunTimes()
        if settings.learning.run_times
        else None,
        policy=workloads.LoadPolicy(
            objective_order=settings.load.objective_order,
            admission=settings.load.admission,
            worker_speeds=settings.load.worker_speeds,
        ),
        limits=workloads.TimeLimits(
            lease_s=min(
                _ownership.RUN_LEASE_S, bounds.worker_lease_max_ms / 1000
            ),
            longest_lease_s=bounds.worker_lease_max_ms / 1000,
            # Occurrences do not start early; the tolerance is left for
            # clock differences.
            early_s=0.0,
            stop_s=bounds.stop_ms / 1000,
            entry_expiry_s=ENTRY_EXPIRY_HEARTBEATS
            * bounds.worker_heartbeat_ms
            / 1000,
        ),
        value_bytes=settings.store.value_bytes,
    )


def _reload(settings: _settings.NodeSettings) -> None:
    """Check the settings file; changes take effect at the next start."""
    try:
        changed = _settings.load_settings() != settings
    except errors.SettingsError as error:
        LOG.error("Changed settings are invalid.", error=str(error))
        return
    LOG.info("Settings file was checked.", changed=changed)


async def _stop(
    daemon: Daemon,
    ports: list[_intake_http.Port],
    settings: _settings.NodeSettings,
) -> None:
    """Hand over the services, leave, and finish requests in progress.

    Peers send no more advisor queries to an instance that has left, and choose
    no successor by it. Those that they have sent are answered.
    """
    started_at = _clock.now()
    session = daemon.session
    session.stopping = True
    daemon.context.stopping = True
    limit = started_at + settings.bounds.grace_s - STOP_MARGIN_S
    daemon.context.response_deadline = limit - RESPONSE_MARGIN_S
    LOG.info("Stopping.", owned=sorted(daemon.owned))
    await asyncio.gather(
        *(_release.hand_over(owner) for owner in daemon.owned.values())
    )
    await _session.leave(session)
    await asyncio.sleep(
        max(0.0, ROTATION_PERIOD_S - (_clock.now() - started_at))
    )
    _intake_http.close(ports[0])
    peers = session.peers
    while (daemon.context.in_flight or peers.tasks) and _clock.now() < limit:
        await asyncio.sleep(CLAIM_PERIOD_S / 2)
    for task in daemon.tasks:
        task.cancel()
    await mesh.flush(peers.network, timeout_s=STOP_MARGIN_S / 2)
    LOG.info(
        "Stopped.",
        unanswered=daemon.context.in_flight,
        unanswered_peers=len(peers.tasks),
        seconds=round(_clock.now() - started_at, 2),
    )
