"""State that an instance keeps for a service it owns."""

import asyncio
import collections.abc

import attrs

from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _poll_pacing
from chestnuttide.node import _send_window
from chestnuttide.node import _session
from chestnuttide.node import _set_aside
from chestnuttide.node import _start_window
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# An owner that has had no confirmation from the store for this long sends no
# more commands. Until then it renews the leases of its runs, so that work
# continues through a short outage of the store.
AUTHORITY_S = 5.0

# Lease of runs on their workers. It outlasts a takeover: the expiry of the
# owner's lease, the reads, and the first poll. With a shorter lease, the work
# of a dead worker would be placed again sooner.
RUN_LEASE_S = 2.5


def _make_register(owner: "Ownership") -> _set_aside.Register:
    return _set_aside.Register(
        service=owner.service,
        count=lambda kind: owner.metrics.set_aside.inc({"kind": kind}),
    )


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
        Client for commands to workers.
    pool : Pool
        Workers and jobs that decisions are based on.
    metrics : Metrics
        Counters and histograms.
    polls_http : HttpClient or None
        Client for polls of workers; None if it is that for commands.
    pacing : Pacing
        Which workers its instance polls now, and how late its loop is.
    confirmed_at : float
        Send time of the last call to the store that confirmed the ownership.
    newest_fencing_token : int
        Revision of the last transaction that had the ownership as a
        condition. It is above the tokens of all calls so far, and below that
        of the next owner.
    raising : Task or None
        The transaction in progress that only raises it.
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
    commit_windows : CommitWindows
        Bounds on the bytes of the commits in flight.
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
    starts : StartWindow
        Starts that are in flight or wait.
    advisor_queries : set of str
        Instances that have an advisor query in progress.
    avoided_advisors : dict of str to float
        Monotonic time until which advisor queries go through other instances
        first, by instance that has failed or rejected one.
    waiting_queries : tuple of AdvisorQuery
        Queries of the last planning round that wait for an instance.
    obsolete_keys : dict of str to int
        Keys of records that can be removed from the store, each with the
        revision that the removal expects; 0 for any.
    waiting_reported_at : float
        Monotonic time at which waiting tasks were last reported.
    waiting_checked_at : float
        Monotonic time at which the longest wait was last checked.
    long_wait_due_at : float
        Monotonic time of the next report while a task that lasts has waited
        for long; 0 while none has.
    run_times_at : float
        Monotonic time at which learned run times were last updated.
    penalised : set of str
        Worker incarnations that are used less than their like.
    ready : bool
        Whether the takeover is complete.
    releasing : bool
        Whether a peer is being asked to release the ownership; no command is
        sent meanwhile.
    former_owner_stopped : bool
        Whether the former owner sent its last command before this ownership
        started.
    former_calls_s : float
        Time from the start of this ownership for which owners before one that
        has stopped may send commands, in seconds.
    stopping : bool
        Whether no new run is planned because the service is handed over.
    hand_over_lock : Lock
        Held while the service is handed over.
    set_aside : Register
        Items that are left out, because handling them has failed.
    caps : CapState
        Caps and shares of workspaces.
    admission : AdmissionState
        What admission remembers between jobs.
    """

    service: str
    fencing_token: int
    session: _session.Session
    store: platform.KvStore
    workers_http: platform.HttpClient
    pool: workloads.Pool
    metrics: _metrics.NodeMetrics
    polls_http: platform.HttpClient | None = None
    pacing: _poll_pacing.Pacing = attrs.field(factory=_poll_pacing.Pacing)
    confirmed_at: float = 0.0
    newest_fencing_token: int = attrs.field(
        default=attrs.Factory(lambda self: self.fencing_token, takes_self=True)
    )
    raising: asyncio.Task[None] | None = None
    deposed: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_urgent: bool = False
    commit_rounds: set[asyncio.Task[None]] = attrs.field(factory=set)
    jobs_in_commit: set[str] = attrs.field(factory=set)
    commit_windows: _send_window.CommitWindows = attrs.field(
        factory=_send_window.make_windows
    )
    store_latency_s: float = 0.0
    committed: asyncio.Event = attrs.field(factory=asyncio.Event)
    plan_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    poll_loops: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    commands: set[asyncio.Task[None]] = attrs.field(factory=set)
    starts: _start_window.StartWindow = attrs.field(
        factory=_start_window.StartWindow
    )
    advisor_queries: set[str] = attrs.field(factory=set)
    avoided_advisors: dict[str, float] = attrs.field(factory=dict)
    waiting_queries: tuple[workloads.AdvisorQuery, ...] = ()
    obsolete_keys: dict[str, int] = attrs.field(factory=dict)
    waiting_reported_at: float = 0.0
    waiting_checked_at: float = 0.0
    long_wait_due_at: float = 0.0
    run_times_at: float = 0.0
    penalised: set[str] = attrs.field(factory=set)
    ready: bool = False
    releasing: bool = False
    former_owner_stopped: bool = False
    former_calls_s: float = 0.0
    stopping: bool = False
    hand_over_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    set_aside: _set_aside.Register = attrs.field(
        default=attrs.Factory(_make_register, takes_self=True)
    )
    caps: _cap_state.CapState = attrs.field(factory=_cap_state.CapState)
    admission: workloads.AdmissionState = attrs.field(
        factory=workloads.AdmissionState
    )


def former_authority_s(owner: Ownership) -> float:
    """Return for how long former owners may send commands, in seconds.

    It counts from the start of the ownership.
    """
    return owner.former_calls_s if owner.former_owner_stopped else AUTHORITY_S


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

    def end(task: asyncio.Task[None]) -> None:
        owner.commands.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                "Command has failed.",
                service=owner.service,
                exc_info=task.exception(),
            )

    task.add_done_callback(end)


def find_live_job(owner: Ownership, job_id: str) -> workloads.Job | None:
    """Return a job that has not ended, also one that is set aside."""
    job = owner.pool.jobs.get(job_id)
    if job is None or job.state in workloads.TERMINAL_STATES:
        return None
    return job


def list_live_jobs(owner: Ownership) -> list[workloads.Job]:
    """Return the jobs that have not ended, also those that are set aside."""
    set_aside = (
        find_live_job(owner, name)
        for kind, name in owner.set_aside.items
        if kind == _set_aside.Kind.JOB
    )
    return [
        *owner.pool.active.values(),
        *(
            job
            for job in set_aside
            if job is not None and job.spec.id not in owner.pool.active
        ),
    ]


def set_job_aside(
    owner: Ownership, job: workloads.Job, error: Exception
) -> None:
    """Neither plan nor store a job for a time, after either has failed.

    Its runs go on, and polls apply their completions.
    """
    job_id = job.spec.id

    def readmit() -> None:
        if find_live_job(owner, job_id) is job:
            owner.pool.active[job_id] = job
            owner.plan_requested.set()
        if job.dirty:
            request_commit(owner, urgent=False)

    owner.pool.active.pop(job_id, None)
    _set_aside.add(
        owner.set_aside, _set_aside.Kind.JOB, job_id, error, readmit
    )
