"""State of the driver of a pool of workers."""

import asyncio
import collections.abc

import attrs

from chestnuttide import jobs
from chestnuttide import model
from chestnuttide import pipes
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _state


@attrs.define(kw_only=True, slots=True, eq=False)
class WorkerLink:
    """The conversation with one worker.

    Attributes
    ----------
    worker_id : str
        Instance id.
    address : str
        ``ip:port`` of its agent.
    task : asyncio.Task or None
        The sync loop.
    acknowledged : list of Attempt
        Ends to be acknowledged in the next sync.
    starts : list of StartTask
        Starts of this loop iteration.
    stops : list of StopTask
        Stops of this loop iteration.
    reports : tuple of AttemptReport
        What the worker reported last.
    digest : str
        Digest of `reports`; empty if there are none.
    """

    worker_id: str
    address: str
    task: asyncio.Task[None] | None = None
    acknowledged: list[model.Attempt] = attrs.field(factory=list)
    starts: list[jobs.StartTask] = attrs.field(factory=list)
    stops: list[jobs.StopTask] = attrs.field(factory=list)
    reports: tuple[model.AttemptReport, ...] = ()
    digest: str = ""


@attrs.define(kw_only=True, slots=True, eq=False)
class PoolShard:
    """A pool of workers and its calls.

    Attributes
    ----------
    daemon : SchedulerState
        The daemon's state.
    name : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        Its journal.
    pool : PoolState
        State of the pure part.
    run_pool : Filter
        The pure part.
    feed : function
        Feeds a message to the pure part and carries out what it decides.
    links : dict of str to WorkerLink
        Workers by instance id.
    starting : int
        Starts that have not ended.
    durable : list of int
        Tokens of events to be reported as durable.
    oldest_append : float
        Time at which the oldest event that is not durable was appended; 0
        if all are.
    unsaved : int
        Events that are not durable.
    stalled : bool
        Whether the journal does not commit.
    flushing : bool
        Whether the end of the loop iteration is waited for.
    continuing : bool
        Whether a step of long work is due in the next loop iteration.
    released : bool
        Whether the shard was given up.
    """

    daemon: _state.SchedulerState
    name: str
    epoch: int
    journal: _journals.Journal
    pool: jobs.PoolState
    run_pool: pipes.Filter
    feed: collections.abc.Callable[[object], None] = lambda message: None
    links: dict[str, WorkerLink] = attrs.field(factory=dict)
    starting: int = 0
    durable: list[int] = attrs.field(factory=list)
    oldest_append: float = 0.0
    unsaved: int = 0
    stalled: bool = False
    flushing: bool = False
    continuing: bool = False
    released: bool = False
