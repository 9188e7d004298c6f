"""State of one pool shard."""

import collections
import enum
import math
import random

import attrs

from chestnuttide import config
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing
from chestnuttide import workspaces

# Factor applied to a lease's length before it counts as expired. The extra
# 10% allows for the drift of the worker's clock.
LEASE_MARGIN_RATIO = 1.1

# Size of the range of attempt numbers that each owner allocates from. Separate
# ranges keep an attempt that an earlier owner started, but no worker reported,
# from sharing its number with a new attempt.
ATTEMPT_NUMBER_STRIDE = 1 << 20

# Consecutive unanswered syncs after which a worker receives no new work.
MAX_SYNC_FAILURES = 2

_DEFAULT_CLASS = config.ClassConfig()


class Phase(enum.Enum):
    """Phase of a live attempt.

    ``CLAIMED``: waits for evictions; no start has been sent.
    ``STARTING``: a start has been sent but not confirmed.
    ``RUNNING``: confirmed by the worker.
    ``ENDING``: the worker has been told to stop it.
    An attempt keeps its capacity reserved in every phase.
    """

    CLAIMED = "claimed"
    STARTING = "starting"
    RUNNING = "running"
    ENDING = "ending"


@attrs.define(kw_only=True, slots=True, eq=False)
class AttemptRecord:
    """One attempt that may be live.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    worker_id : str
        Worker that runs it or is meant to run it.
    phase : Phase
        Current phase.
    need : Resources
        Resources that it reserves.
    team : str
        Team that is charged; empty if unknown.
    orphaned : bool
        Whether no task can use it, so that it is only waiting to be stopped.
    long : bool
        Whether it counts as long work.
    cost : float
        Amount charged to its team.
    started_at : float
        Time of the first start.
    expires_at : float
        Time, including the margin, at which the lease of the last start
        expires; minus infinity if no start can have been received.
    lease_s : float
        Lease of the last start, in seconds.
    in_flight : bool
        Whether the outcome of a start is pending.
    in_doubt : bool
        Whether the worker may have received a start that it did not answer.
    starts_sent : int
        Number of starts sent.
    confirmed_at : float
        Time at which the worker confirmed it; infinity until then.
    stop_sent_at : float
        Time of the last stop command; minus infinity if none was sent.
    checkpoint : bool
        Whether stop commands request a checkpoint.
    reclaimed : bool
        Whether it runs on capacity that others reserved but do not use.
    """

    attempt: model.Attempt
    worker_id: str
    phase: Phase
    need: model.Resources
    team: str
    orphaned: bool = False
    long: bool = False
    cost: float = 0.0
    started_at: float = 0.0
    expires_at: float = -math.inf
    lease_s: float = 0.0
    in_flight: bool = False
    in_doubt: bool = False
    starts_sent: int = 0
    confirmed_at: float = math.inf
    stop_sent_at: float = -math.inf
    checkpoint: bool = False
    reclaimed: bool = False


@attrs.define(kw_only=True, slots=True, eq=False)
class JobRecord:
    """One job and the state of its tasks.

    Each task is in exactly one state: never started (indexes from
    `first_unstarted` on), `waiting`, `delayed`, `live` or done. The tasks of
    a recovered job are assigned to these states only once all workers have
    reported.

    Attributes
    ----------
    job : Job
        The job as accepted.
    state : JobState
        Current state.
    entered_at : float
        Time of arrival.
    reason : str
        Code of the reason for a failure; empty otherwise.
    durable : bool
        Whether its acceptance is durable.
    settled : bool
        Whether the states of its tasks are known.
    first_unstarted : int
        Index of the first task that was never started.
    waiting : dict of int to None
        Tasks to restart, in order.
    delayed : set of int
        Tasks in backoff.
    live : dict of int to Attempt
        Attempts that may be live.
    done : bytearray
        Bitmap of the tasks that succeeded.
    done_count : int
        Number of tasks that succeeded.
    numbers : dict of int to int
        Last attempt number by task; dropped when the task is done.
    failed_on : dict of int to dict of str to int
        Number of failures by task and worker.
    restarts : int
        Number of times the gang was aborted and requeued.
    gang_serial : int
        Number of times the gang was started.
    aborting : bool
        Whether the gang is being stopped in order to be requeued.
    next_reservation_at : float
        Earliest time at which workers may be reserved for the gang again.
    spread : SpreadCounts
        Numbers of live attempts by worker, rack and data centre.
    assumed : int
        Tasks of a recovered job that may be running on workers that have not
        reported yet; they count against the team's quota.
    lane : str
        Lane in the queue.
    long : bool
        Whether it counts as long work.
    cost : float
        Amount that its team is charged per task.
    run_s : float
        Time in seconds within which a task is likely to end.
    ended_at : float
        End time; infinity while the job is open.
    """

    job: model.Job
    state: model.JobState = model.JobState.QUEUED
    entered_at: float = 0.0
    reason: str = ""
    durable: bool = False
    settled: bool = True
    first_unstarted: int = 0
    waiting: dict[int, None] = attrs.field(factory=dict)
    delayed: set[int] = attrs.field(factory=set)
    live: dict[int, model.Attempt] = attrs.field(factory=dict)
    done: bytearray = attrs.field(factory=bytearray)
    done_count: int = 0
    numbers: dict[int, int] = attrs.field(factory=dict)
    failed_on: dict[int, dict[str, int]] = attrs.field(factory=dict)
    restarts: int = 0
    gang_serial: int = 0
    aborting: bool = False
    next_reservation_at: float = -math.inf
    spread: placement.SpreadCounts = attrs.field(
        factory=placement.SpreadCounts
    )
    assumed: int = 0
    lane: str = ""
    long: bool = False
    cost: float = 0.0
    run_s: float = math.inf
    ended_at: float = math.inf


@attrs.define(kw_only=True, slots=True, eq=False)
class WorkerRecord:
    """One worker of the pool.

    Attributes
    ----------
    instance : Instance
        Its entry in the instance list.
    attempts : dict of Attempt to None
        Attempts on it that may be live.
    reported : bool
        Whether it has answered a sync of this owner.
    expires_at : float
        Time, including the margin, at which the leases renewed by its syncs
        expire.
    sync_expires_at : float
        The same for the sync whose outcome is pending.
    sync_lease_s : float
        Lease that the pending sync grants, in seconds.
    failures : int
        Consecutive syncs without an answer.
    uncertain_failures : int
        Number of these syncs that it may nevertheless have received.
    avoided_until : float
        Time until which it receives no new work.
    allows_overcommit : bool
        Whether it accepts work on reclaimed capacity.
    lease_check_scheduled : bool
        Whether a check of its leases is scheduled.
    claims : dict of Attempt to None
        Attempts that wait for evictions on it.
    """

    instance: model.Instance
    attempts: dict[model.Attempt, None] = attrs.field(factory=dict)
    reported: bool = False
    expires_at: float = -math.inf
    sync_expires_at: float = -math.inf
    sync_lease_s: float = 0.0
    failures: int = 0
    uncertain_failures: int = 0
    avoided_until: float = -math.inf
    allows_overcommit: bool = True
    lease_check_scheduled: bool = False
    claims: dict[model.Attempt, None] = attrs.field(factory=dict)


Timer = tuple[float, int, str, tuple]


@attrs.define(kw_only=True, eq=False)
class PoolState:
    """In-memory state of one pool shard.

    Attributes
    ----------
    document : CellConfig
        The configuration in force.
    rng : random.Random
        Random source for jitter.
    overcommit : bool
        Whether work that can be throttled or checkpointed may run on
        capacity that others reserved but do not use.
    decisions_per_call : int
        Maximum number of placement decisions per message, which bounds the
        duration of a call.
    cell : Cell
        Reservations on the workers.
    queue : FairQueue
        Jobs with tasks to start.
    quota : QuotaState
        Resources in use by each team.
    estimates : Estimates
        Learned run times.
    jobs : dict of str to JobRecord
        Open jobs, and ended jobs that can still be read.
    attempts : dict of Attempt to AttemptRecord
        Attempts that may be live.
    workers : dict of str to WorkerRecord
        Known workers.
    unavailable_workers : set of str
        Workers that receive no new work.
    waiting_tasks : int
        Number of tasks of open jobs that are neither live nor done.
    long_reserved : Resources
        Resources that long work reserves.
    ending : set of Attempt
        Attempts that were told to stop; they are not evicted again.
    claims : dict of Attempt to float
        Attempts that wait for evictions, and the times at which they give
        up.
    freed : dict of str to None
        Workers whose reservations shrank since the last placement round.
    leaving : dict of str to None
        Workers that are leaving.
    unacknowledged : dict
        Completions that are not durable yet, by worker and attempt.
    effects : dict of int to tuple
        Actions to carry out once an event is durable, by token.
    next_token : int
        Token of the next event.
    timers : list of Timer
        Heap of timers, ordered by due time.
    timer_serial : int
        Serial number of the latest timer.
    closing : deque of str
        Ended jobs whose attempts have yet to be stopped.
    ended : deque of (float, str)
        Ended jobs with their end times, oldest first.
    dirty : bool
        Whether a placement round may make progress.
    blocked_lanes : dict of str to Resources
        Lanes whose head currently fits nowhere, with a lower bound of the
        needs in the lane.
    refreshed_at : float
        Time at which all lanes were last unblocked.
    next_gang_plan_at : float
        Earliest time of the next gang plan.
    next_relief_at : float
        Earliest time of the next check for overcommitted and leaving
        workers.
    generation : int
        Number of earlier owners that had work.
    ready : bool
        Whether the takeover is durable, so that starts may be sent.
    settled : bool
        Whether the states of recovered jobs' tasks are known.
    settle_at : float
        Time at which the leases of unreported attempts have expired.
    recovered_at : float
        Time of the takeover.
    unreported : set of str
        Workers that have yet to report after a takeover.
    stalled : bool
        Whether the journal has stopped committing.
    stopping : bool
        Whether the shard is being handed over.
    deposed : bool
        Whether the shard is known to have another owner.
    """

    document: config.CellConfig
    rng: random.Random
    overcommit: bool = False
    decisions_per_call: int = 32
    cell: placement.Cell = attrs.field(factory=placement.make_cell)
    queue: queueing.FairQueue = attrs.field(
        factory=lambda: queueing.FairQueue(limit=1 << 62)
    )
    quota: workspaces.QuotaState = attrs.field(factory=workspaces.QuotaState)
    estimates: queueing.Estimates = attrs.field(factory=queueing.Estimates)
    jobs: dict[str, JobRecord] = attrs.field(factory=dict)
    attempts: dict[model.Attempt, AttemptRecord] = attrs.field(factory=dict)
    workers: dict[str, WorkerRecord] = attrs.field(factory=dict)
    unavailable_workers: set[str] = attrs.field(factory=set)
    waiting_tasks: int = 0
    long_reserved: model.Resources = model.ZERO
    ending: set[model.Attempt] = attrs.field(factory=set)
    claims: dict[model.Attempt, float] = attrs.field(factory=dict)
    freed: dict[str, None] = attrs.field(factory=dict)
    leaving: dict[str, None] = attrs.field(factory=dict)
    unacknowledged: dict[tuple[str, model.Attempt], None] = attrs.field(
        factory=dict
    )
    effects: dict[int, tuple] = attrs.field(factory=dict)
    next_token: int = 1
    timers: list[Timer] = attrs.field(factory=list)
    timer_serial: int = 0
    closing: collections.deque[str] = attrs.field(factory=collections.deque)
    ended: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    dirty: bool = False
    blocked_lanes: dict[str, model.Resources] = attrs.field(factory=dict)
    refreshed_at: float = -math.inf
    next_gang_plan_at: float = -math.inf
    next_relief_at: float = -math.inf
    generation: int = 0
    ready: bool = True
    settled: bool = True
    settle_at: float = -math.inf
    recovered_at: float = -math.inf
    unreported: set[str] = attrs.field(factory=set)
    stalled: bool = False
    stopping: bool = False
    deposed: bool = False


def class_config(state: PoolState, job: model.Job) -> config.ClassConfig:
    """Return the policy of a job's class, or the default policy."""
    return state.document.workload_classes.get(
        job.workload_class, _DEFAULT_CLASS
    )


def team_config(state: PoolState, team: str) -> config.TeamConfig:
    """Return the limits of a team, or the defaults if it was removed."""
    return state.document.teams.get(team) or config.TeamConfig()


def is_open(record: JobRecord) -> bool:
    """Return whether a job has not ended."""
    return record.state in (model.JobState.QUEUED, model.JobState.RUNNING)


def is_service(record: JobRecord) -> bool:
    """Return whether a job is a service."""
    return record.job.kind is model.JobKind.SERVICE


def is_gang(record: JobRecord) -> bool:
    """Return whether a job is a gang."""
    return record.job.kind is model.JobKind.GANG


def is_done(record: JobRecord, index: int) -> bool:
    """Return whether a task has succeeded."""
    position, bit = divmod(index, 8)
    return position < len(record.done) and bool(
        record.done[position] >> bit & 1
    )


def set_done(record: JobRecord, index: int) -> None:
    """Record that a task has succeeded."""
    if is_done(record, index):
        return
    position, bit = divmod(index, 8)
    if position >= len(record.done):
        record.done.extend(bytes(position + 1 - len(record.done)))
    record.done[position] |= 1 << bit
    record.done_count += 1
    record.numbers.pop(index, None)
    record.failed_on.pop(index, None)


def pending(record: JobRecord) -> int:
    """Return the number of tasks that could start now."""
    return record.job.tasks - record.first_unstarted + len(record.waiting)


def priority(record: JobRecord) -> int:
    """Return the priority that decides which work may evict which."""
    if record.job.urgent:
        return 2
    return 1 if is_service(record) else 0


def mark_capacity_changed(state: PoolState) -> None:
    """Unblock all lanes, because waiting work may fit now."""
    state.dirty = True
    state.blocked_lanes.clear()


def update_availability(
    state: PoolState, worker: WorkerRecord, now: float
) -> None:
    """Update whether a worker may receive new work."""
    worker_id = worker.instance.instance_id
    if (
        worker.reported
        and worker.failures < MAX_SYNC_FAILURES
        and now >= worker.avoided_until
    ):
        if worker_id in state.unavailable_workers:
            state.unavailable_workers.discard(worker_id)
            mark_capacity_changed(state)
    else:
        state.unavailable_workers.add(worker_id)
