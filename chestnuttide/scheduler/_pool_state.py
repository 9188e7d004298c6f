"""State of a running worker pool and of the connections to its workers."""

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
    """State of the polling of one worker's agent.

    Attributes
    ----------
    worker_id : str
        Instance id.
    address : str
        ``ip:port`` of the worker's agent.
    task : asyncio.Task or None
        The poll loop.
    acknowledged : list of Attempt
        Attempts whose completion the next poll acknowledges.
    starts : list of StartTask
        Start commands to be sent at the end of this loop iteration.
    stops : list of StopTask
        Stop commands to be sent at the end of this loop iteration.
    reports : tuple of AttemptReport
        The worker's most recent reports.
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
    """A pool of workers that this instance owns.

    Attributes
    ----------
    daemon : SchedulerState
        The daemon's state.
    name : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        The shard's journal.
    pool : PoolState
        State of the pool filter.
    run_pool : Filter
        The filter that decides about jobs and placement.
    feed : function
        Feeds a message to the filter and carries out its outputs.
    links : dict of str to WorkerLink
        Workers by instance id.
    starting : int
        Number of start calls in flight.
    durable_tokens : list of int
        Tokens of durable events that the filter has not been told of yet.
    journal_progress_at : float
        Time of the last commit, or of the first append after all events
        were durable; 0 before the first append.
    pending_events : int
        Number of appended events that are not durable yet.
    stalled : bool
        Whether the journal has stopped committing.
    flush_scheduled : bool
        Whether a flush is scheduled for the next loop iteration.
    continue_scheduled : bool
        Whether another planning step is scheduled for the next loop
        iteration.
    released : bool
        Whether this instance has released the shard.
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
    durable_tokens: list[int] = attrs.field(factory=list)
    journal_progress_at: float = 0.0
    pending_events: int = 0
    stalled: bool = False
    flush_scheduled: bool = False
    continue_scheduled: bool = False
    released: bool = False
