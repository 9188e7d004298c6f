"""State of a service's pool: its jobs, runs and workers."""

import collections
import enum
import functools
import math
import typing

import attrs

from chestnuttide import model
from chestnuttide.workloads import _round_history
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _specs


class UnitState(enum.StrEnum):
    """Progress of a unit: a task, or all members of a gang."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"


class JobState(enum.StrEnum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES: typing.Final = frozenset(
    (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)
)


class Phase(enum.StrEnum):
    """What is known about the start of a run.

    A run is PLANNED until its record is stored, START_SENT once its start
    command may have been sent, and RUNNING once its worker has confirmed the
    start. A run whose start was not answered is UNCERTAIN until the worker's
    poll replies or its clock show whether it runs.
    """

    PLANNED = "planned"
    START_SENT = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


# A run that polls still list after this time did not crash its worker as it
# started.
PROVEN_RUN_S: typing.Final = 0.3

# Stands for the number of suspects of a crash for a unit that may have caused
# it although others are much more likely.
UNLIKELY_SUSPECTS: typing.Final = 20

UnitKey: typing.TypeAlias = tuple[int, int, int]
RunKey: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class Run:
    """An attempt to execute one task on one worker.

    Attributes
    ----------
    job : Job
        Job of the task.
    unit : Unit
        The task or the gang that it belongs to.
    index : int
        Number of the task in its step.
    number : int
        Number of the attempt; all members of a gang share it.
    worker_key : str
        Worker incarnation that runs it.
    need : Resources
        Capacity that it allocates on the worker.
    phase : Phase
        What is known about its start.
    ticket : str
        The advisor's ticket for the start.
    checkpoint : str
        Newest known checkpoint.
    start_sent_at, confirmed_at : float
        Monotonic times in seconds; 0 if not known.
    answer_clock_ms, answered_at : int, float
        Reading of the clock in the answer that accepted its start, and the
        monotonic time of that answer; 0 before.
    recorded : bool
        Whether a stored record contains the run.
    listed : bool
        Whether a poll reply of its worker incarnation has listed it.
    located : bool
        Whether no later incarnation than its worker can have started it:
        because a reply has listed it, or because its task lasts and its ticket
        was issued before the worker's latest reply. Otherwise a later
        incarnation of the same id may have, whose lease is not known unless
        the clock of its answer bounds it.
    unanswered : bool
        Whether its start was sent and had no answer that this owner knows
        of. The worker may execute such a start seconds later, also in a later
        incarnation.
    lease_known : bool
        Whether its record says that it is located and that its worker holds
        no longer lease than the owner's calls request.
    proven : bool
        Whether a poll reply has listed it `PROVEN_RUN_S` after its start,
        and its unit has not been lost in too many crashes.
    on_trial : bool
        Whether its unit was suspected of crashing workers when it was
        planned. Only other trials start beside it until it is proven.
    deadline_ms : int
        Expiry of the start's lease on the worker's clock; 0 before it is
        sent.
    percent, latency_ms_or_cpu : float
        Progress and the measured latency or processor use, as the worker
        last listed them.
    progress_at : float
        Monotonic time at which `percent` last changed, or the run was last
        seen throttled.
    slowest_percent_s : float
        Longest time that one percent has taken so far, in seconds; 0 before
        the first.
    stopping : bool
        Whether it has to be stopped.
    stop_sent_at : float
        Monotonic time of the last stop command.
    stop_acknowledged_at : float
        Monotonic time at which the worker answered a stop; 0 before.
    speed_percent : int
        Desired speed, in percent of full speed.
    sent_speed_percent : int
        Speed of the last throttle command, in percent of full speed; -1 after
        a failed one.
    """

    job: "Job"
    unit: "Unit"
    index: int
    number: int
    worker_key: str
    need: model.Resources
    phase: Phase = Phase.PLANNED
    ticket: str = ""
    checkpoint: str = ""
    start_sent_at: float = 0.0
    recorded: bool = False
    listed: bool = False
    located: bool = False
    unanswered: bool = False
    lease_known: bool = False
    proven: bool = False
    on_trial: bool = False
    confirmed_at: float = 0.0
    answer_clock_ms: int = 0
    answered_at: float = 0.0
    deadline_ms: int = 0
    percent: float = 0.0
    latency_ms_or_cpu: float = 0.0
    progress_at: float = 0.0
    slowest_percent_s: float = 0.0
    stopping: bool = False
    stop_sent_at: float = 0.0
    stop_acknowledged_at: float = 0.0
    speed_percent: int = 100
    sent_speed_percent: int = 100

    @property
    def task(self) -> str:
        """Name of the task on the worker."""
        occurrence, step, _ = self.unit.key
        return f"{self.job.spec.id}.{occurrence}.{step}.{self.index}"

    @property
    def key(self) -> RunKey:
        """Task and number, unique among all runs."""
        return (self.task, self.number)


@attrs.frozen(kw_only=True, slots=True)
class Crash:
    """A crash of a worker under a run.

    Attributes
    ----------
    worker_key : str
        The worker incarnation that crashed.
    index : int
        Number of the run's task in its step.
    suspects : int
        Number of units on the worker that are as likely to have caused the
        crash, with this one; `UNLIKELY_SUSPECTS` if others are much more
        likely, 0 if its run had been proven.
    started : bool
        Whether the run is known to have started before the crash.
    """

    worker_key: str
    index: int
    suspects: int
    started: bool = True


@attrs.define(kw_only=True, slots=True, eq=False)
class Unit:
    """A task, or all members of a gang, which start and end together.

    Attributes
    ----------
    key : (int, int, int)
        Occurrence, step and index; a gang has index 0.
    indexes : tuple of int
        Numbers of its tasks in the step.
    state : UnitState
        Progress of the unit.
    last_run : int
        Highest run number used so far.
    failures : int
        Number of failed runs.
    failed_runs : set of int
        Numbers of the failed runs.
    crashes : dict of int to Crash
        Crashes of workers under its runs, by run number.
    checkpoint : str
        Checkpoint to resume from; empty if there is none.
    runs : list of Run
        Runs that may still be executing.
    avoided : set of str
        Worker incarnations that it should not run on again, for example
        because it failed there.
    stalls : int
        Number of its attempts that this owner has stopped as stalled.
    not_before : float
        Monotonic time before which it is not planned again.
    first_started_at : float
        Monotonic time of the first confirmed run; 0 before.
    idle_since : float
        Monotonic time at which this owner learned of it, or later at which
        its last confirmed run ended.
    """

    key: UnitKey
    indexes: tuple[int, ...]
    state: UnitState = UnitState.WAITING
    last_run: int = 0
    failures: int = 0
    failed_runs: set[int] = attrs.field(factory=set)
    crashes: dict[int, Crash] = attrs.field(factory=dict)
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)
    avoided: set[str] = attrs.field(factory=set)
    stalls: int = 0
    not_before: float = 0.0
    first_started_at: float = 0.0
    idle_since: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class StepAdvice:
    """Results of advisor queries about a step.

    Attributes
    ----------
    tickets : dict of str to (str, float)
        Ticket and the monotonic time until which starts may use it, by
        worker incarnation.
    received_at : dict of str to float
        Monotonic time at which the ticket was received, by worker incarnation.
    allowed : dict of str to bool
        Whether a worker incarnation may run the step; does not change.
    in_flight : set of str
        Worker incarnations named by the query that is in flight.
    retry_at : float
        Monotonic time before which no further query is sent.
    """

    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    received_at: dict[str, float] = attrs.field(factory=dict)
    allowed: dict[str, bool] = attrs.field(factory=dict)
    in_flight: set[str] = attrs.field(factory=set)
    retry_at: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class StepProgress:
    """Units of a step in one occurrence, and their counts.

    A step may state many more units than can run. Only those exist that a
    planning round has reached and that are not done; see ``_units``.

    Attributes
    ----------
    total : int
        Number of units of the step.
    waiting, done : int
        Number of units in these states, also of those that do not exist.
    units : dict of int to Unit
        The units that exist, by index.
    created : int
        Number of units that were created so far, in the order of their
        indexes.
    finished : int
        Bit mask of the indexes of units that were done and then dropped.
    idle_since : float
        Monotonic time at which this owner learned of the step.
    reserved_since : float
        Monotonic time at which full workers were first reserved for it while
        the service was not busy; 0 before.
    done_at : float
        Monotonic time at which the last unit to end so far was done; 0 if
        this owner has seen none.
    """

    total: int
    waiting: int
    done: int = 0
    units: dict[int, Unit] = attrs.field(factory=dict)
    created: int = 0
    finished: int = 0
    idle_since: float = 0.0
    reserved_since: float = 0.0
    done_at: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class Job:
    """A job and its progress.

    Attributes
    ----------
    spec : JobSpec
        The job as it was accepted.
    state : JobState
        Current state; callers see it once it is stored.
    shown_state : JobState
        Last stored state, which callers see.
    units : dict of (int, int, int) to Unit
        Units that exist, of the open occurrences.
    steps : dict of (int, int) to StepProgress
        Progress of each step of the open occurrences, by occurrence and step;
        `set_unit_state` updates the counts.
    occurrences_due : int
        Number of occurrences that were released.
    occurrences_held : int
        Number of occurrences that are due and not released yet.
    open_occurrences : dict of int to int
        Number of units that are not done, by occurrence; those that were
        released and are not here are done.
    advice : dict of (int, int) to StepAdvice
        Results of advisor queries by occurrence and step.
    accepted_at : float
        Monotonic time at which this owner learned of it.
    accepted : bool
        Whether it is stored. Before that, advisor queries are sent but no
        run starts.
    objective_s : float
        Its latency objective in seconds; 0 until `_objectives` works it out.
    started : bool
        Whether any task has started.
    cancelled : bool
        Whether its caller has cancelled it.
    dirty : bool
        Whether its record has to be stored; see `mark_changed`.
    change, stored_change : int
        Number of its last change, and of the last change that is stored.
    ended_unix_s : float
        End time; 0 before.
    progress_revision : int
        Store revision of its progress record; 0 if there is none.
    restored : bool
        Whether its progress is that of a former owner.
    """

    spec: _specs.JobSpec
    state: JobState = JobState.QUEUED
    shown_state: JobState = JobState.QUEUED
    units: dict[UnitKey, Unit] = attrs.field(factory=dict)
    steps: dict[tuple[int, int], StepProgress] = attrs.field(factory=dict)
    occurrences_due: int = 0
    occurrences_held: int = 0
    open_occurrences: dict[int, int] = attrs.field(factory=dict)
    advice: dict[tuple[int, int], StepAdvice] = attrs.field(factory=dict)
    accepted_at: float = 0.0
    accepted: bool = False
    objective_s: float = 0.0
    started: bool = False
    cancelled: bool = False
    dirty: bool = False
    change: int = 0
    stored_change: int = 0
    ended_unix_s: float = 0.0
    progress_revision: int = 0
    restored: bool = False

    @functools.cached_property
    def is_long_running(self) -> bool:
        """Whether it has tasks that run until it is cancelled."""
        return any(step.lasting for step in self.spec.steps)


@attrs.frozen(kw_only=True, slots=True, eq=False)
class UnstoredCompletion:
    """A listed completion that no stored record contains yet.

    Attributes
    ----------
    number : int
        Number of the completion at the worker.
    job : Job
        Job of the completed run.
    change : int
        Number of the job's change that contains the completion.
    """

    number: int
    job: Job
    change: int


@attrs.define(kw_only=True, slots=True, eq=False)
class Worker:
    """An incarnation of a worker.

    Attributes
    ----------
    key : str
        The worker's id and the start time of the incarnation.
    report : WorkerReport
        The worker's entry in the store.
    runs : dict of (str, int) to Run
        Runs that allocate its capacity, until they are known to have ended.
    used : Resources
        Sum of their needs.
    requested_cpu_millis : int
        Sum of the processors that their steps request, including fillers.
    fillers, serving : int
        Number of filler runs, and of runs with a latency target.
    step_runs : dict of (str, int, int) to int
        Number of runs by job, occurrence and step.
    requested : dict of str to Resources
        What the platform sees the runs of each workspace request, including
        the processors of fillers.
    unproven_runs, trials : int
        Number of runs that are not proven, and of those among them that are
        on trial.
    kept_free_until : float
        Monotonic time until which only trials start on it.
    fencing_token : int
        Fencing token of the owner's calls to it; 0 until there is one above
        those of the calls to its former incarnations.
    last_reply_at : float
        Monotonic time of the last poll reply to this owner; 0 before the
        first.
    answered_poll_at : float
        Monotonic time at which the latest poll that it answered was sent.
    clock_ms, clock_at : int, float or None
        Reading of the worker's clock, and its monotonic time; `clock_at` is
        None before the first reading.
    lease_until : float
        Monotonic time by which its located runs have ended unless its lease
        is renewed.
    unlocated_lease_until : float
        The same for runs that may have started in a later incarnation.
    latest_deadline_ms : int
        Latest expiry of a lease that calls to it have requested, on its clock.
    earlier_leases_until : float
        Monotonic time by which all leases have expired that calls of other
        owners may have granted; infinite if this owner may have called another
        incarnation, or has called the id before it learned of this one.
    inherited_lease_until : float
        Monotonic time until which a lease may last that calls for a former
        incarnation, or of a former owner, have granted; 0 if there is none.
    ended_at : float
        Monotonic time at which it was found to have ended; 0 before that.
    awaits_job : bool
        Whether its last reply listed a completion of a job that may still
        become known.
    lists_completions : bool
        Whether its last poll reply listed completions.
    more_completions : bool
        Whether its last poll reply had no room for further ones.
    last_completion : int
        Number of the last completion that was applied to its job.
    unstored : deque of UnstoredCompletion
        Completions that may not be acknowledged yet, in sequence.
    stored_completion : int
        Number of the last completion that is stored and may be acknowledged.
    listed : bool
        Whether the store lists it.
    consecutive_failures : int
        Failed runs since the last success.
    failed_jobs : set of str
        Jobs of these runs.
    quarantined_until : float
        Monotonic time before which no new run is placed on it.
    stalls : int
        Stalled runs of units that had not stalled before, since the last
        success.
    draining_since : float
        Monotonic time at which it was first seen draining; 0 before.
    failed_polls : int
        Failed polls since the last reply.
    late_polls : int
        Polls since the last reply that failed while the owner was late itself.
        They do not count against the worker, but may have reached it.
    known_since : float
        Monotonic time at which this owner learned of it.
    broken_at : float
        Monotonic time at which its connection broke; 0 while it answers, and
        if it only fell silent.
    lost_at : float
        Monotonic time at which its runs were ended because it was silent; 0
        while it answers.
    refusals : int
        Starts that it has refused as unhealthy since it last accepted one.
    refuses_until : float
        Monotonic time before which no new run is placed on it because of
        these.
    penalty : float
        Penalty of its placement score, because it is slower or fails more
        runs than its like; see ``_worker_health``.
    """

    key: str
    report: _specs.WorkerReport
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    used: model.Resources = model.Resources()
    requested_cpu_millis: int = 0
    fillers: int = 0
    serving: int = 0
    step_runs: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    requested: dict[str, model.Resources] = attrs.field(factory=dict)
    unproven_runs: int = 0
    trials: int = 0
    kept_free_until: float = 0.0
    fencing_token: int = 0
    last_reply_at: float = 0.0
    answered_poll_at: float = 0.0
    clock_ms: int = 0
    clock_at: float | None = None
    lease_until: float = 0.0
    unlocated_lease_until: float = 0.0
    latest_deadline_ms: int = 0
    earlier_leases_until: float = math.inf
    inherited_lease_until: float = 0.0
    ended_at: float = 0.0
    awaits_job: bool = False
    lists_completions: bool = False
    more_completions: bool = False
    last_completion: int = 0
    unstored: collections.deque[UnstoredCompletion] = attrs.field(
        factory=collections.deque
    )
    stored_completion: int = 0
    listed: bool = True
    consecutive_failures: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: float = 0.0
    stalls: int = 0
    draining_since: float = 0.0
    failed_polls: int = 0
    late_polls: int = 0
    known_since: float = 0.0
    broken_at: float = 0.0
    lost_at: float = 0.0
    refusals: int = 0
    refuses_until: float = 0.0
    penalty: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class Incarnations:
    """The incarnations of one worker.

    Attributes
    ----------
    workers : dict of str to Worker
        Those that the pool has, by key.
    last_fencing_token : int
        Highest fencing token of calls to any of them.
    entry_revision : int
        Store revision of the last applied entry.
    """

    workers: dict[str, Worker] = attrs.field(factory=dict)
    last_fencing_token: int = 0
    entry_revision: int = 0


@attrs.frozen(kw_only=True, slots=True)
class TimeLimits:
    """Time limits of the deployment, in seconds.

    Attributes
    ----------
    lease_s : float
        Lease that each start and each poll requests.
    longest_lease_s : float
        Longest lease that a worker grants, on its clock.
    early_s : float
        How long before its due time an occurrence may start.
    stop_s : float
        Longest time that a stop takes.
    entry_expiry_s : float
        Silence after which the store has removed the entry of a dead worker.
    """

    lease_s: float = 6.0
    longest_lease_s: float = 10.0
    early_s: float = 0.25
    stop_s: float = 0.9
    entry_expiry_s: float = 6.0


@attrs.frozen(kw_only=True, slots=True)
class LoadPolicy:
    """Which decisions under load a deployment asks for.

    Attributes
    ----------
    objective_order : bool
        Whether jobs are ordered by their whole latency objective, those that
        can no longer be of worth behind all others.
    admission : bool
        Whether a job that cannot end while it is of worth is refused.
    worker_speeds : bool
        Whether placement takes a worker's speed into account.
    """

    objective_order: bool = False
    admission: bool = False
    worker_speeds: bool = False


@attrs.define(kw_only=True, slots=True, eq=False)
class Pool:
    """Jobs and workers of a service, as its owner schedules them.

    Attributes
    ----------
    service : str
        Name of the service.
    limits : TimeLimits
        Time limits of the deployment.
    policy : LoadPolicy
        Which decisions under load the deployment asks for.
    jobs : dict of str to Job
        Jobs by id, including ended ones while callers may query them.
    workers : dict of str to Worker
        Worker incarnations by key.
    incarnations : dict of str to Incarnations
        The same by worker id; see ``_worker_index``.
    renewals : dict of str to float
        Monotonic time of the last call that renews leases, by worker id.
    former_calls_until : float
        Monotonic time until which a former owner may have sent calls.
    forgotten_fencing_token : int
        Highest fencing token of calls to workers that the pool no longer has.
    active : dict of str to Job
        Jobs that are not in a terminal state.
    top_priority : int
        Priority of the service's most urgent queue.
    unknown_runs : dict of str to set of (str, int)
        Listed runs that belong to no known job, by worker incarnation. They
        have to be stopped. Their need is unknown, so no new runs are placed
        on their workers.
    awaited_progress : dict of str to (int, bytes)
        Revision and value of each progress record whose job is not known yet,
        by job id.
    unanswered_starts : dict of str to set of (str, int)
        Runs whose start was not answered before their lease expired, by
        worker id. A later incarnation could still execute the start.
    crashed_units : dict of (str, (int, int, int)) to (Job, Unit)
        Units under whose runs workers have crashed, by job and unit.
    run_times : RunTimes or None
        Learned run times and worker speeds; None if estimates are used as
        they are.
    capped_units : set of Unit
        Units that the last planning round put off because of the caps of
        their workspaces.
    over_share : set of str
        Workspaces that were over their share of all capacity then.
    value_bytes : int
        Largest value that the store takes.
    full_records : set of str
        Jobs of which no further task started then, because their records
        are nearly as large as that.
    rounds : RoundHistory
        What planning rounds have left behind, for reports.
    """

    service: str
    limits: TimeLimits
    policy: LoadPolicy = LoadPolicy()
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    incarnations: dict[str, Incarnations] = attrs.field(factory=dict)
    renewals: dict[str, float] = attrs.field(factory=dict)
    former_calls_until: float = -math.inf
    forgotten_fencing_token: int = 0
    active: dict[str, Job] = attrs.field(factory=dict)
    top_priority: int = 0
    unknown_runs: dict[str, set[RunKey]] = attrs.field(factory=dict)
    awaited_progress: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    unanswered_starts: dict[str, set[RunKey]] = attrs.field(factory=dict)
    crashed_units: dict[tuple[str, UnitKey], tuple[Job, Unit]] = attrs.field(
        factory=dict
    )
    run_times: _run_times.RunTimes | None = None
    capped_units: set[Unit] = attrs.field(factory=set)
    over_share: set[str] = attrs.field(factory=set)
    value_bytes: int = 1_048_576
    full_records: set[str] = attrs.field(factory=set)
    rounds: _round_history.RoundHistory = attrs.field(
        factory=_round_history.RoundHistory
    )


def worker_key(report: _specs.WorkerReport) -> str:
    """Return the key of the worker incarnation that a report describes."""
    return f"{report.id}@{report.born_ms}"


def mark_changed(job: Job) -> None:
    """Record that a job has changed and its record has to be stored."""
    job.dirty = True
    job.change += 1


def set_unit_state(job: Job, unit: Unit, state: UnitState) -> None:
    """Set a unit's state and update the counts of its step."""
    progress = job.steps[unit.key[:2]]
    progress.waiting += (state == UnitState.WAITING) - (
        unit.state == UnitState.WAITING
    )
    done = (state == UnitState.DONE) - (unit.state == UnitState.DONE)
    progress.done += done
    job.open_occurrences[unit.key[0]] -= done
    unit.state = state


def allocate(worker: Worker, run: Run) -> None:
    """Allocate the capacity that a run needs on its worker."""
    if run.key not in worker.runs:
        worker.runs[run.key] = run
        worker.used = model.add(worker.used, run.need)
        _count_run(worker, run, 1)


def deallocate(worker: Worker, run: Run) -> None:
    """Free the capacity of a run that is known to have ended."""
    if worker.runs.pop(run.key, None) is not None:
        worker.used = model.subtract(worker.used, run.need)
        _count_run(worker, run, -1)


def prove_run(worker: Worker, run: Run) -> None:
    """Record that a run did not crash its worker as it started."""
    if not run.proven:
        worker.unproven_runs -= 1
        worker.trials -= run.on_trial
        run.proven = True


def _count_run(worker: Worker, run: Run, change: int) -> None:
    if not run.proven:
        worker.unproven_runs += change
        worker.trials += change * run.on_trial
    occurrence, number, _ = run.unit.key
    step = run.job.spec.steps[number]
    worker.requested_cpu_millis += change * step.need.cpu_millis
    worker.fillers += change * step.filler
    worker.serving += change * (step.latency_target_ms > 0)
    key = (run.job.spec.id, occurrence, number)
    count = worker.step_runs.get(key, 0) + change
    if count:
        worker.step_runs[key] = count
    else:
        del worker.step_runs[key]
    if run.job.spec.workspace:
        _count_request(worker, run.job.spec.workspace, step.need, change)


def _count_request(
    worker: Worker, workspace: str, need: model.Resources, change: int
) -> None:
    used = worker.requested.get(workspace, model.ZERO)
    used = model.add(used, need) if change > 0 else model.subtract(used, need)
    if used == model.ZERO:
        worker.requested.pop(workspace, None)
    else:
        worker.requested[workspace] = used


def listed_capacity(pool: "Pool") -> model.Resources:
    """Return the capacity of the workers that the store lists."""
    reports = [each.report for each in pool.workers.values() if each.listed]
    return model.Resources(
        cpu_millis=sum(each.capacity.cpu_millis for each in reports),
        memory_mb=sum(each.capacity.memory_mb for each in reports),
        accelerators=sum(each.capacity.accelerators for each in reports),
    )


def requested_by_workspace(pool: "Pool") -> dict[str, model.Resources]:
    """Return what the runs of each workspace request in a service.

    Every run counts that may be executing: also one whose start is planned or
    was not answered, one that is being stopped, and one on a silent worker
    whose lease has not expired.
    """
    totals: dict[str, list[int]] = {}
    for worker in pool.workers.values():
        for workspace, amount in worker.requested.items():
            total = totals.setdefault(workspace, [0, 0, 0])
            total[0] += amount.cpu_millis
            total[1] += amount.memory_mb
            total[2] += amount.accelerators
    return {
        workspace: model.Resources(
            cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
        )
        for workspace, (cpu, memory, accelerators) in totals.items()
    }


def allocated_need(step: _specs.StepSpec) -> model.Resources:
    """Return the capacity that a task of a step allocates on a worker.

    Fillers use only processors that other tasks leave idle, and so allocate
    none.
    """
    if step.filler:
        return attrs.evolve(step.need, cpu_millis=0)
    return step.need
