"""State of the scheduler daemon."""

import asyncio
import collections.abc
import time

import attrs

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import pipes
from chestnuttide import platform
from chestnuttide.scheduler import _journals
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

LOG = telemetry.make_logger("scheduler")


@attrs.define(kw_only=True, slots=True, eq=False)
class Shard:
    """A shard that this instance serves.

    Request shards and pools set the functions, so that the rest of the
    daemon treats both kinds alike.

    Attributes
    ----------
    name : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        The shard's journal.
    handle_message : function
        ``handle_message(connection, message)`` handles a mesh message.
    tick : function
        Feeds the shard's filter a tick, so that it acts on timeouts.
    put_config : function
        ``put_config(cell_config)`` applies a config version.
    put_instances : function
        ``put_instances(instances)`` applies changes of the instance list.
    put_leaving : function
        ``put_leaving(target_id)`` marks a target as leaving.
    drop_connection : function
        ``drop_connection(connection)`` cancels calls of a lost connection.
    stop : function
        Ends dispatching and placing; returns queued calls unsent.
    in_flight : function
        Returns the number of dispatches that have not ended.
    residual : function
        Returns the slots in use by target, as seconds until they are free.
    waiting : function
        Returns the number of requests or tasks that wait.
    describe : function
        Returns the shard's rows of the status document, by table.
    """

    name: str
    epoch: int
    journal: _journals.Journal
    handle_message: collections.abc.Callable[[mesh.Connection, object], None]
    tick: collections.abc.Callable[[], None]
    put_config: collections.abc.Callable[[config_module.CellConfig], None]
    put_instances: collections.abc.Callable[
        [collections.abc.Sequence[model.Instance]], None
    ]
    put_leaving: collections.abc.Callable[[str], None]
    drop_connection: collections.abc.Callable[[mesh.Connection], None]
    stop: collections.abc.Callable[[], None]
    in_flight: collections.abc.Callable[[], int]
    residual: collections.abc.Callable[[], dict[str, tuple[float, ...]]]
    waiting: collections.abc.Callable[[], int]
    describe: collections.abc.Callable[[], dict[str, list[object]]]


@attrs.define(kw_only=True, slots=True, eq=False)
class SchedulerState:
    """State that the modules of the daemon share.

    Attributes
    ----------
    settings : Settings
        The instance's settings.
    metrics : Metrics
        The daemon's metrics.
    network : Network
        Mesh connections to entries and other schedulers.
    store : Store
        The platform's store.
    lease_store : Store
        The same store with a timeout short enough for lease renewals.
    targets : Targets
        Client of the services' targets.
    agents : WorkerAgent
        Client of the workers' agents.
    ownership : OwnershipState
        State of the ownership filter: leases, shard records, promises.
    run_ownership : Filter
        The filter that decides which shards this instance owns.
    config : ConfigState
        The config in force.
    run_config : Filter
        The filter that decides which config version is in force.
    bucket : TokenBucket
        Limits the journal writes of this instance.
    write_ids : iterator of str
        Yields unique write ids.
    instances : dict of str to Instance
        Instances on the platform's list, by id.
    gone_at : dict of str to float
        Time at which a worker or target was first seen as gone.
    leaving : set of str
        Targets reported as leaving by themselves, the list or a peer.
    shards : dict of str to Shard
        Shards that this instance serves.
    former : dict of str to (float, Shard)
        Shards that were released or lost, with the time. Their dispatches in
        flight end on this instance, which also keeps their answers.
    activations : dict of str to asyncio.Task
        Takeovers in progress.
    releases : dict of str to asyncio.Task
        Handovers in progress.
    early_freed_slots : dict of (str, str) to int
        Number of slots, by shard and target, that a former owner freed
        before the takeover was complete.
    patch_calls : dict of str to (Connection, int)
        Calls that submitted a config patch, by its token.
    tasks : set of asyncio.Task
        Background calls in flight.
    lease_id : int
        The instance's lease; 0 while it has none.
    member_revision : int
        Store revision of the member key.
    draining : bool
        Whether a planned stop has started.
    left : bool
        Whether the instance has left and acquires no further lease.
    stop : asyncio.Event
        Set to start a planned stop.
    on_acquired, on_lost, on_should_release : function
        Called with the ownership filter's decisions about a shard.
    on_leaving : function
        Called with the id of a target that announces that it is leaving.
    broadcast : function
        ``broadcast(message)`` sends a message to all other schedulers.
    """

    settings: settings_module.Settings
    metrics: telemetry.Metrics
    network: mesh.Network
    store: platform.Store
    lease_store: platform.Store
    targets: platform.Targets
    agents: platform.WorkerAgent
    ownership: coordination.OwnershipState
    run_ownership: pipes.Filter
    config: config_module.ConfigState
    run_config: pipes.Filter
    bucket: coordination.TokenBucket
    write_ids: collections.abc.Iterator[str]
    instances: dict[str, model.Instance] = attrs.field(factory=dict)
    gone_at: dict[str, float] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)
    shards: dict[str, Shard] = attrs.field(factory=dict)
    former: dict[str, tuple[float, Shard]] = attrs.field(factory=dict)
    activations: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    releases: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    early_freed_slots: dict[tuple[str, str], int] = attrs.field(factory=dict)
    patch_calls: dict[str, tuple[mesh.Connection, int]] = attrs.field(
        factory=dict
    )
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    lease_id: int = 0
    member_revision: int = 0
    draining: bool = False
    left: bool = False
    stop: asyncio.Event = attrs.field(factory=asyncio.Event)
    on_acquired: collections.abc.Callable[
        [coordination.ShardAcquired], None
    ] = lambda message: None
    on_lost: collections.abc.Callable[[coordination.ShardLost], None] = (
        lambda message: None
    )
    on_should_release: collections.abc.Callable[
        [coordination.ShouldRelease], None
    ] = lambda message: None
    on_leaving: collections.abc.Callable[[str], None] = lambda target: None
    broadcast: collections.abc.Callable[[object], None] = lambda message: None


def start_task(
    state: SchedulerState,
    coroutine: collections.abc.Coroutine[None, None, None],
) -> asyncio.Task[None]:
    """Run a coroutine as a background task, and log its failure."""
    task = asyncio.ensure_future(coroutine)
    state.tasks.add(task)
    task.add_done_callback(state.tasks.discard)
    task.add_done_callback(_log_failure)
    return task


def may_act(state: SchedulerState, shard: str) -> bool:
    """Return whether this instance may dispatch for a shard right now."""
    return coordination.may_act(state.ownership, shard, time.monotonic())


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        LOG.error("a background call has failed", exc_info=task.exception())
