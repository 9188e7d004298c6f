"""State that an instance keeps for a service it owns."""

import asyncio
import collections.abc

import attrs

from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import workloads

# An owner that has had no confirmation from the store for this long sends no
# more commands. Until then it renews the leases of its runs, so that work
# continues through a short outage of the store.
AUTHORITY_S = 5.0

# Lease of runs on their workers. It outlasts a takeover: the expiry of the
# owner's lease, the reads, and the first poll. With a shorter lease, the work
# of a dead worker would be placed again sooner.
RUN_LEASE_S = 2.5


@attrs.define(kw_only=True, slots=True, eq=False)
class Ownership:
    """State of the owner of a service.

    Attributes
    ----------
    service : str
        The service.
    fencing_token : int
        Fencing token that it sends with its commands.
    session : Session
        The instance's membership and its view of the cell.
    store : KvStore
        The store.
    workers_http : HttpClient
        Client of the workers.
    pool : Pool
        Workers and jobs that decisions are based on.
    metrics : Metrics
        Counters and histograms.
    confirmed_at : float
        Send time of the last call to the store that confirmed the ownership.
    deposed : asyncio.Event
        Set when another instance may have taken over.
    commit_requested : asyncio.Event
        Set when records have changed and have to be stored.
    commit_urgent : bool
        Whether a start or a caller waits for the next commit.
    commit_rounds : set of Task
        Commit rounds in progress.
    jobs_in_commit : set of str
        Ids of live jobs whose progress is being stored.
    store_latency_s : float
        Time that the store took for the last answered commit, in seconds.
    committed : asyncio.Event
        Set after each commit and replaced by a new event.
    plan_requested : asyncio.Event
        Set when planning may place work.
    poll_loops : dict of str to Task
        Poll loop of each worker incarnation.
    commands : set of Task
        Commands in progress.
    advisor_queries : set of str
        Instances that have an advisor query in progress.
    waiting_queries : tuple of AdvisorQuery
        Queries of the last planning round that wait for an instance.
    obsolete_keys : list of str
        Keys of records that can be removed from the store.
    unreadable_keys : set of str
        Keys of the jobs that are left out, because one of their records
        cannot be read.
    waiting_reported_at : float
        Monotonic time at which waiting tasks were last reported.
    ready : bool
        Whether the takeover is complete.
    releasing : bool
        Whether a peer is being asked to release the ownership; no command is
        sent meanwhile.
    former_owner_stopped : bool
        Whether the former owner sent its last command before this ownership
        started.
    stopping : bool
        Whether no new run is planned because the instance is shutting down.
    """

    service: str
    fencing_token: int
    session: _session.Session
    store: platform.KvStore
    workers_http: platform.HttpClient
    pool: workloads.Pool
    metrics: _metrics.NodeMetrics
    confirmed_at: float = 0.0
    deposed: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_urgent: bool = False
    commit_rounds: set[asyncio.Task[None]] = attrs.field(factory=set)
    jobs_in_commit: set[str] = attrs.field(factory=set)
    store_latency_s: float = 0.0
    committed: asyncio.Event = attrs.field(factory=asyncio.Event)
    plan_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    poll_loops: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    commands: set[asyncio.Task[None]] = attrs.field(factory=set)
    advisor_queries: set[str] = attrs.field(factory=set)
    waiting_queries: tuple[workloads.AdvisorQuery, ...] = ()
    obsolete_keys: list[str] = attrs.field(factory=list)
    unreadable_keys: set[str] = attrs.field(factory=set)
    waiting_reported_at: float = 0.0
    ready: bool = False
    releasing: bool = False
    former_owner_stopped: bool = False
    stopping: bool = False


def may_send_commands(owner: Ownership) -> bool:
    """Return whether a command may be sent now.

    This is checked right before each send, so that a process that was paused
    sends nothing based on an outdated ownership.
    """
    return (
        not owner.deposed.is_set()
        and not owner.releasing
        and _clock.now() - owner.confirmed_at < AUTHORITY_S
    )


def request_commit(owner: Ownership, *, urgent: bool) -> None:
    """Request that changed records are stored soon."""
    owner.commit_urgent = owner.commit_urgent or urgent
    owner.commit_requested.set()


def start_command(
    owner: Ownership, command: collections.abc.Coroutine[None, None, None]
) -> None:
    """Run a command in the background and keep a reference to its task."""
    task = asyncio.ensure_future(command)
    owner.commands.add(task)
    task.add_done_callback(owner.commands.discard)
