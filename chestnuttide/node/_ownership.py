"""State of an instance's ownership of one service."""

import asyncio
import collections.abc

import attrs

from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import workloads

# An owner that has not heard from the store for this long sends no more
# orders. Until then it keeps the workers' leases alive, so that work goes on
# through a short outage of the store.
AUTHORITY_S = 5.0

# Lease of runs at their workers. It outlasts a takeover: the owner's lease,
# the reads, and the first hold. A shorter one would return the work of a
# dead worker sooner.
RUN_LEASE_S = 2.5


@attrs.define(kw_only=True, slots=True, eq=False)
class Ownership:
    """All that the owner of a service needs.

    Attributes
    ----------
    service : str
        The service.
    fence : int
        Fencing token of its orders.
    session : Session
        The instance's presence in the store.
    store : KvStore
        The store.
    workers_http : HttpClient
        Client of the workers.
    pool : Pool
        The decisions' state.
    metrics : Metrics
        Counters and histograms.
    confirmed_at : float
        Time at which a call was sent that showed the ownership.
    deposed : asyncio.Event
        Set when another instance may have taken over.
    commit_wanted : asyncio.Event
        Set when a record has to be stored.
    commit_urgent : bool
        Whether a start or an answer waits for the next commit.
    rounds : set of Task
        Rounds of commits under way.
    storing : set of str
        Live jobs whose progress is being stored.
    answer_s : float
        Time that the store took for its last answered commit.
    committed : asyncio.Event
        Set after each commit, and replaced.
    plan_wanted : asyncio.Event
        Set when something can be placed.
    hold_loops : dict of str to Task
        Loop of each worker lifetime.
    orders : set of Task
        Orders under way.
    advisors_busy : dict of str to int
        Calls to the advisor under way, by instance.
    removals : list of str
        Keys of jobs whose state need not be kept any longer.
    ready : bool
        Whether the takeover is complete.
    releasing : bool
        Whether a peer is asked to end the ownership; nothing is ordered.
    former_stopped : bool
        Whether the former owner had stopped ordering before this one began.
    stopping : bool
        Whether no new run is planned because the instance leaves.
    """

    service: str
    fence: int
    session: _session.Session
    store: platform.KvStore
    workers_http: platform.HttpClient
    pool: workloads.Pool
    metrics: _metrics.NodeMetrics
    confirmed_at: float = 0.0
    deposed: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_urgent: bool = False
    rounds: set[asyncio.Task[None]] = attrs.field(factory=set)
    storing: set[str] = attrs.field(factory=set)
    answer_s: float = 0.0
    committed: asyncio.Event = attrs.field(factory=asyncio.Event)
    plan_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    hold_loops: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    orders: set[asyncio.Task[None]] = attrs.field(factory=set)
    advisors_busy: dict[str, int] = attrs.field(factory=dict)
    removals: list[str] = attrs.field(factory=list)
    ready: bool = False
    releasing: bool = False
    former_stopped: bool = False
    stopping: bool = False


def may_order(owner: Ownership) -> bool:
    """Return whether an order may leave now.

    Checked right before each send, so that a process that was paused sends
    nothing on an old belief.
    """
    return (
        not owner.deposed.is_set()
        and not owner.releasing
        and _clock.now() - owner.confirmed_at < AUTHORITY_S
    )


def want_commit(owner: Ownership, *, urgent: bool) -> None:
    """Have the changed records stored soon."""
    owner.commit_urgent = owner.commit_urgent or urgent
    owner.commit_wanted.set()


def start_order(
    owner: Ownership, order: collections.abc.Coroutine[None, None, None]
) -> None:
    """Run an order in the background until it or the ownership ends."""
    task = asyncio.ensure_future(order)
    owner.orders.add(task)
    task.add_done_callback(owner.orders.discard)
