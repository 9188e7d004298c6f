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

# Drift of a worker's clock that is allowed for: a lease counts as expired
# only 10% after its end.
LEASE_MARGIN_RATIO = 1.1

# Attempt numbers of each owner start in a range of their own, so that an
# attempt that an earlier owner started and nobody reported cannot share its
# number with a new one.
ATTEMPT_NUMBER_STRIDE = 1 << 20

# Syncs in a row without an answer after which a worker gets no new work.
MAX_SYNC_FAILURES = 2

_DEFAULT_CLASS = config.ClassConfig()


class Phase(enum.Enum):
    """Where an attempt stands.

    ``CLAIMED`` waits for evictions and is not sent. ``STARTING`` is sent and
    not confirmed. ``RUNNING`` is confirmed by its worker. ``ENDING`` is asked
    to stop. All of them keep their capacity reserved.
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
        Its worker.
    phase : Phase
        Where it stands.
    need : Resources
        What it holds.
    team : str
        Team that is charged; empty if it is unknown.
    stray : bool
        Whether it belongs to no task that may run, and is only stopped.
    long : bool
        Whether it counts as long work.
    cost : float
        What its team was charged.
    started_at : float
        Time of the first start.
    expires_at : float
        Time at which the lease of its last start, with margin, has expired;
        minus infinity while no start may have been received.
    lease_s : float
        Lease of the last start, in seconds.
    in_flight : bool
        Whether the outcome of a start is awaited.
    in_doubt : bool
        Whether an unanswered start may have been received.
    tries : int
        Starts sent.
    confirmed_at : float
        Time at which the worker confirmed it; infinite before.
    stop_sent_at : float
        Time of the last stop; minus infinity for none.
    checkpoint : bool
        Whether stops ask for a checkpoint.
    reclaimed : bool
        Whether it uses capacity that others do not use.
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
        Its state.
    entered_at : float
        Time of its arrival.
    reason : str
        Code of the reason for a failure; empty otherwise.
    durable : bool
        Whether its acceptance is durable.
    settled : bool
        Whether the places of its tasks are known.
    fresh : int
        Index of the first task that was never started.
    waiting : dict of int to None
        Tasks to start again, in order.
    delayed : set of int
        Tasks that wait for a backoff.
    live : dict of int to Attempt
        Attempts that may be live.
    done : bytearray
        Bitmap of the tasks that succeeded.
    done_count : int
        Number of tasks that succeeded.
    numbers : dict of int to int
        Last attempt number by task; dropped when the task is done.
    failed_on : dict of int to dict of str to int
        Failures by task and worker.
    restarts : int
        Number of times that a gang was stopped to be queued again.
    gang_serial : int
        Number of starts of a gang.
    aborting : bool
        Whether a gang is being stopped to be queued again.
    hold_after : float
        Earliest time at which workers are held for a gang again.
    spread : SpreadCounts
        Where the live attempts of spread work are.
    assumed : int
        Tasks of a recovered job that may run on workers which have not
        reported; they count against the quota of its team.
    lane : str
        Lane in the queue.
    long : bool
        Whether it counts as long work.
    cost : float
        What its team is charged for a task.
    run_s : float
        Time in seconds within which a task probably ends.
    ended_at : float
        Time of its end; infinite before.
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
        The worker as listed.
    attempts : dict of Attempt to None
        Attempts on it that may be live.
    reported : bool
        Whether it has answered a sync of this owner.
    expires_at : float
        Time at which the leases renewed by its syncs, with margin, have
        expired.
    sync_expires_at : float
        The same for the sync whose outcome is awaited.
    sync_lease_s : float
        Lease that this sync grants, in seconds.
    failures : int
        Syncs in a row without an answer.
    doubts : int
        Those of them that it may have received.
    avoided_until : float
        Time until which it gets no new work.
    allows_overcommit : bool
        Whether it takes work on reclaimed capacity.
    lapse_timer : bool
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
    """Everything that one pool shard knows.

    Attributes
    ----------
    document : CellConfig
        The configuration in force.
    rng : random.Random
        Source of jitter.
    overcommit : bool
        Whether work that can be throttled or checkpointed may run on
        capacity that others reserved and do not use.
    decisions_per_call : int
        Most placing decisions per message, which bounds the time of a call.
    cell : Cell
        Reservations on the workers.
    queue : FairQueue
        Jobs with tasks to start.
    quota : QuotaState
        What each team holds.
    estimates : Estimates
        Learned run times.
    jobs : dict of str to JobRecord
        Open jobs, and ended ones that are still readable.
    attempts : dict of Attempt to AttemptRecord
        Attempts that may be live.
    workers : dict of str to WorkerRecord
        Known workers.
    shut : set of str
        Workers that get no new work.
    waiting_tasks : int
        Tasks of open jobs that have not started.
    long_held : Resources
        What long work holds.
    ending : set of Attempt
        Attempts that are asked to stop; they are not evicted once more.
    claims : dict of Attempt to float
        Attempts that wait for evictions, and when they give up.
    freed : dict of str to None
        Workers whose reservations shrank since the last placing.
    leaving : dict of str to None
        Workers that are leaving.
    unacknowledged : dict
        Ended attempts whose end is not durable, by worker and attempt.
    effects : dict of int to tuple
        What follows when an event is durable, by token.
    next_token : int
        Token of the next event.
    timers : list of Timer
        Heap of due times.
    timer_serial : int
        Number of the next timer.
    closing : deque of str
        Ended jobs whose attempts are to be stopped.
    ended : deque of (float, str)
        Ended jobs by time.
    dirty : bool
        Whether placing may make progress.
    stuck : dict of str to Resources
        Lanes whose head fits nowhere at present, and their least need.
    refreshed_at : float
        Time at which all lanes were last tried again.
    gang_plan_at : float
        Earliest time of the next gang plan.
    relief_at : float
        Earliest time of the next look for overcommitted workers.
    generation : int
        Number of owners before this one that had work.
    ready : bool
        Whether the takeover is durable, so that starts may be sent.
    settled : bool
        Whether the tasks of recovered jobs are known.
    settle_at : float
        Time at which unreported attempts have lapsed.
    recovered_at : float
        Time of the takeover.
    unreported : set of str
        Workers whose report is awaited after a takeover.
    stalled : bool
        Whether the journal does not commit.
    stopping : bool
        Whether the shard is handed over.
    deposed : bool
        Whether another owner was noticed.
    """

    document: config.CellConfig
    rng: random.Random
    overcommit: bool = False
    decisions_per_call: int = 32
    cell: placement.Cell = attrs.field(factory=placement.make_cell)
    queue: queueing.FairQueue = attrs.field(
        factory=lambda: queueing.FairQueue(limit=1 << 62)
    )
    quota: queueing.QuotaState = attrs.field(factory=queueing.QuotaState)
    estimates: queueing.Estimates = attrs.field(factory=queueing.Estimates)
    jobs: dict[str, JobRecord] = attrs.field(factory=dict)
    attempts: dict[model.Attempt, AttemptRecord] = attrs.field(factory=dict)
    workers: dict[str, WorkerRecord] = attrs.field(factory=dict)
    unavailable: set[str] = attrs.field(factory=set)
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
    """Return the policy of a job's class; the defaults for an unknown one."""
    return state.document.workload_classes.get(
        job.workload_class, _DEFAULT_CLASS
    )


def team_config(state: PoolState, team: str) -> config.TeamConfig:
    """Return the limits of a team; the defaults for a removed one."""
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
    """Note that a task has succeeded."""
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
    """Return the priority by which work evicts other work."""
    if record.job.urgent:
        return 2
    return 1 if is_service(record) else 0


def capacity_changed(state: PoolState) -> None:
    """Note that waiting work may fit now."""
    state.dirty = True
    state.blocked_lanes.clear()


def update_availability(
    state: PoolState, worker: WorkerRecord, now: float
) -> None:
    """Open or shut a worker for new work by what is known about it."""
    worker_id = worker.instance.instance_id
    if (
        worker.reported
        and worker.failures < MAX_SYNC_FAILURES
        and now >= worker.avoided_until
    ):
        if worker_id in state.unavailable:
            state.unavailable.discard(worker_id)
            capacity_changed(state)
    else:
        state.unavailable.add(worker_id)
