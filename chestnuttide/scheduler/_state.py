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

    The functions are filled by the kind of shard, so that the rest of the
    daemon treats all shards alike.

    Attributes
    ----------
    name : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        Its journal.
    handle_message : function
        ``handle_message(connection, message)`` handles a mesh message.
    tick : function
        Lets the shard act on time.
    put_config : function
        ``put_config(cell_config)`` puts a config version in force.
    put_instances : function
        ``put_instances(instances)`` takes changes of the instance list.
    put_leaving : function
        ``put_leaving(target_id)`` marks a target as leaving.
    drop_connection : function
        ``drop_connection(connection)`` forgets calls of a lost connection.
    stop : function
        Dispatches and places nothing more; sends back what was not sent.
    in_flight : function
        Returns the number of dispatches that have not ended.
    residual : function
        Returns the slots in use by target, as seconds until they are free.
    waiting : function
        Returns the number of requests or tasks that wait.
    describe : function
        Returns the shard's rows of the status, by table.
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
    """Everything that the parts of the daemon share.

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
        The targets of services.
    agents : WorkerAgent
        The agents of workers.
    ownership : OwnershipState
        Leases, shard records and promises.
    run_ownership : Filter
        The pure part that decides about shards.
    config : ConfigState
        The config in force.
    run_config : Filter
        The pure part that decides about the config.
    bucket : TokenBucket
        Journal writes of this instance.
    write_ids : iterator of str
        Write ids that were never used before.
    instances : dict of str to Instance
        The platform's list.
    gone_at : dict of str to float
        Time at which a worker or target was first seen as gone.
    leaving : set of str
        Targets that are leaving according to themselves or to a peer.
    shards : dict of str to Shard
        Shards that this instance serves.
    former : dict of str to (float, Shard)
        Shards that were given up, with the time: their dispatches in flight
        still end here, and their answers are kept here.
    activations : dict of str to asyncio.Task
        Takeovers under way.
    releases : dict of str to asyncio.Task
        Handovers under way.
    early_freed_slots : dict of (str, str) to int
        Slots that a former owner freed before the shard was taken over.
    patch_calls : dict of str to (Connection, int)
        Calls that wait for a config patch, by its token.
    tasks : set of asyncio.Task
        Store and target calls under way.
    lease_id : int
        The instance's lease; 0 while it has none.
    member_revision : int
        Store revision of the member key.
    draining : bool
        Whether a planned stop has begun.
    left : bool
        Whether the lease was given back for good.
    stop : asyncio.Event
        Set to begin a planned stop.
    on_acquired, on_lost, on_should_release : function
        Called with the ownership filter's decision about a shard.
    on_leaving : function
        Called with the id of a target that says itself that it is leaving.
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
    """Run a coroutine in the background and keep hold of its task."""
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
