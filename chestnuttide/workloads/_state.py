"""State of one service's pool: its jobs, runs and workers."""

import collections
import enum
import typing

import attrs

from chestnuttide import model
from chestnuttide.workloads import _specs


class UnitState(enum.StrEnum):
    """Progress of a unit: a task, or all members of a gang."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"


class JobState(enum.StrEnum):
    """What callers are shown of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES: typing.Final = frozenset(
    (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)
)


class Phase(enum.StrEnum):
    """What is known about a run's start.

    A run is planned until its record is stored, ordered once its start may
    have left, and running once its worker has confirmed it. Without an answer
    it is uncertain until the worker's lists or its clock decide.
    """

    PLANNED = "planned"
    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


UnitKey: typing.TypeAlias = tuple[int, int, int]
RunKey: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class Run:
    """One member of an attempt on one worker.

    Attributes
    ----------
    job : Job
        Its job.
    unit : Unit
        Its task or gang.
    index : int
        Number of the task in its step.
    number : int
        Number of the run; all members of a gang share it.
    worker_key : str
        Lifetime of the worker that runs it.
    need : Resources
        What it takes of the worker.
    phase : Phase
        What is known about its start.
    ticket : str
        The advisor's ticket for the start.
    checkpoint : str
        Newest progress seen.
    planned_at, confirmed_at : float
        Monotonic times in seconds.
    recorded : bool
        Whether a stored record names the run.
    listed : bool
        Whether a look at its worker's lifetime has listed it.
    deadline_ms : int
        End of the start's lease on the worker's clock; 0 before it is sent.
    percent, measure : float
        As the worker listed them last.
    progress_at : float
        Monotonic time at which `percent` last changed.
    stopping : bool
        Whether it is to be stopped.
    stop_sent_at : float
        Monotonic time of the last stop order.
    stop_acknowledged_at : float
        Monotonic time at which the worker answered a stop; 0 before.
    pace_percent : int
        Share of its speed that it should have.
    paced_percent : int
        Share that the worker has confirmed.
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
    planned_at: float = 0.0
    recorded: bool = False
    listed: bool = False
    confirmed_at: float = 0.0
    deadline_ms: int = 0
    percent: float = 0.0
    measure: float = 0.0
    progress_at: float = 0.0
    stopping: bool = False
    stop_sent_at: float = 0.0
    stop_acknowledged_at: float = 0.0
    pace_percent: int = 100
    paced_percent: int = 100

    @property
    def task(self) -> str:
        """Name of the task on the worker."""
        occurrence, step, _ = self.unit.key
        return f"{self.job.spec.id}.{occurrence}.{step}.{self.index}"

    @property
    def key(self) -> RunKey:
        """Task and number, unique among all runs."""
        return (self.task, self.number)


@attrs.define(kw_only=True, slots=True, eq=False)
class Unit:
    """A task, or the members of a gang, which start and end together.

    Attributes
    ----------
    key : (int, int, int)
        Occurrence, step and index; a gang has index 0.
    indexes : tuple of int
        Tasks of the step that belong to it.
    state : UnitState
        Progress.
    last_run : int
        Highest number given to a run.
    failures : int
        Runs that ended as failed.
    failed_runs : set of int
        Their numbers.
    checkpoint : str
        Newest progress to resume from.
    runs : list of Run
        Runs whose end is not yet known.
    avoided : set of str
        Workers on which it failed.
    not_before : float
        Monotonic time before which it is not planned again.
    first_started_at : float
        Monotonic time of the first confirmed run; 0 before.
    """

    key: UnitKey
    indexes: tuple[int, ...]
    state: UnitState = UnitState.WAITING
    last_run: int = 0
    failures: int = 0
    failed_runs: set[int] = attrs.field(factory=set)
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)
    avoided: set[str] = attrs.field(factory=set)
    not_before: float = 0.0
    first_started_at: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class StepAdvice:
    """What the advisor has said about a step.

    Attributes
    ----------
    good : dict of str to (str, float)
        Ticket, and the monotonic time until which it may be used, by worker
        lifetime.
    allowed : dict of str to bool
        Whether a worker lifetime may run the step; does not change.
    asking : set of str
        Worker lifetimes of the call that is under way.
    retry_at : float
        Monotonic time before which the advisor is not asked again.
    """

    good: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    allowed: dict[str, bool] = attrs.field(factory=dict)
    asking: set[str] = attrs.field(factory=set)
    retry_at: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class StepProgress:
    """Counts of a step's units, so that a round need not look at each.

    Attributes
    ----------
    total : int
        Units of the step.
    waiting, done : int
        Units in these states.
    kept_since : float
        Monotonic time at which workers were first kept empty for it on a
        service that is not busy; 0 before.
    """

    total: int
    waiting: int
    done: int = 0
    kept_since: float = 0.0


@attrs.define(kw_only=True, slots=True, eq=False)
class Job:
    """A job and its progress.

    Attributes
    ----------
    spec : JobSpec
        As accepted.
    state : JobState
        What is decided; shown once it is stored.
    shown_state : JobState
        What callers may be shown.
    units : dict of (int, int, int) to Unit
        Units of the occurrences that are due.
    steps : dict of (int, int) to StepProgress
        Counts of units by occurrence and step; `set_unit_state` keeps them.
    occurrences_due : int
        Occurrences whose units exist.
    advice : dict of (int, int) to StepAdvice
        By occurrence and step.
    accepted_at : float
        Monotonic time at which this owner learned of it.
    accepted : bool
        Whether it is stored; until then only the advisor is asked.
    started : bool
        Whether any task has started.
    cancelled : bool
        Whether its caller has cancelled it.
    dirty : bool
        Whether its record has to be stored; see `mark_changed`.
    change, stored_change : int
        Number of its last change, and of the last one that is stored.
    ended_unix_s : float
        Time of its end; 0 before.
    progress_revision : int
        Store revision of its progress record; 0 if there is none.
    """

    spec: _specs.JobSpec
    state: JobState = JobState.QUEUED
    shown_state: JobState = JobState.QUEUED
    units: dict[UnitKey, Unit] = attrs.field(factory=dict)
    steps: dict[tuple[int, int], StepProgress] = attrs.field(factory=dict)
    occurrences_due: int = 0
    advice: dict[tuple[int, int], StepAdvice] = attrs.field(factory=dict)
    accepted_at: float = 0.0
    accepted: bool = False
    started: bool = False
    cancelled: bool = False
    dirty: bool = False
    change: int = 0
    stored_change: int = 0
    ended_unix_s: float = 0.0
    progress_revision: int = 0

    @property
    def is_lasting(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return any(step.lasting for step in self.spec.steps)


@attrs.frozen(kw_only=True, slots=True, eq=False)
class UnstoredEnd:
    """An end that a worker has listed and no stored record contains.

    Attributes
    ----------
    number : int
        Number of the end at the worker.
    job : Job
        The job of the run.
    change : int
        The job's change that contains the end.
    """

    number: int
    job: Job
    change: int


@attrs.define(kw_only=True, slots=True, eq=False)
class Worker:
    """A lifetime of a worker.

    Attributes
    ----------
    key : str
        Its id and birth.
    report : WorkerReport
        What it says about itself.
    runs : dict of (str, int) to Run
        Runs that occupy it, until their end is known.
    used : Resources
        Sum of their needs.
    wanted_cpu_millis : int
        Sum of the processors that their steps ask for, with those of fillers.
    fillers, serving : int
        Runs that use left-over processors, and runs with a latency target.
    step_runs : dict of (str, int, int) to int
        Runs of each step, by job, occurrence and step.
    seen_at : float
        Monotonic time of the last answered look; 0 before this owner's first.
    clock_ms, clock_at : int, float or None
        The worker's clock at the monotonic time `clock_at`; None before the
        first answer.
    lease_until : float
        Monotonic time by which all its runs have ended if it stays silent.
    highest_end : int
        Number of the last end that was taken over into the jobs.
    unstored : deque of UnstoredEnd
        Ends that may not be acknowledged yet, in order.
    stored_end : int
        Number of the last end that is stored, and may be acknowledged.
    listed : bool
        Whether the store lists it.
    failures_in_row : int
        Ends as failed since the last good one.
    failed_jobs : set of str
        Jobs of these ends.
    shunned_until : float
        Monotonic time before which it gets no new run.
    stalls : int
        Runs that stood still since the last good end.
    draining_since : float
        Monotonic time at which it was first seen draining; 0 before.
    failed_looks : int
        Unanswered looks since the last answer.
    """

    key: str
    report: _specs.WorkerReport
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    used: model.Resources = model.Resources()
    wanted_cpu_millis: int = 0
    fillers: int = 0
    serving: int = 0
    step_runs: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    seen_at: float = 0.0
    clock_ms: int = 0
    clock_at: float | None = None
    lease_until: float = 0.0
    highest_end: int = 0
    unstored: collections.deque[UnstoredEnd] = attrs.field(
        factory=collections.deque
    )
    stored_end: int = 0
    listed: bool = True
    failures_in_row: int = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    shunned_until: float = 0.0
    stalls: int = 0
    draining_since: float = 0.0
    failed_looks: int = 0


@attrs.frozen(kw_only=True, slots=True)
class Bounds:
    """Figures of the deployment that decisions use, in seconds.

    Attributes
    ----------
    lease_s : float
        Lease that is asked for with each start and hold.
    early_s : float
        Time by which an occurrence may start before it is due.
    stop_s : float
        Longest time that a stop takes.
    """

    lease_s: float = 6.0
    early_s: float = 0.25
    stop_s: float = 0.9


@attrs.define(kw_only=True, slots=True, eq=False)
class Pool:
    """All that the owner of a service decides about.

    Attributes
    ----------
    service : str
        The service.
    bounds : Bounds
        Figures of the deployment.
    jobs : dict of str to Job
        Jobs by id, also ended ones while callers may ask for them.
    workers : dict of str to Worker
        Worker lifetimes by key.
    active : dict of str to Job
        Jobs that are not in a terminal state.
    top_priority : int
        Priority of the service's most urgent queue.
    unknown_runs : dict of str to set of (str, int)
        Runs that workers list and no job knows, by worker; to be stopped.
        What they take is not known, so their workers get no new runs.
    unanswered_starts : dict of str to set of (str, int)
        Runs whose start was never answered before their lease ended, by the
        worker's id. A later lifetime could still execute the start.
    """

    service: str
    bounds: Bounds
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    active: dict[str, Job] = attrs.field(factory=dict)
    top_priority: int = 0
    unknown_runs: dict[str, set[RunKey]] = attrs.field(factory=dict)
    unanswered_starts: dict[str, set[RunKey]] = attrs.field(factory=dict)


def worker_key(report: _specs.WorkerReport) -> str:
    """Return the key of a worker's lifetime."""
    return f"{report.id}@{report.born_ms}"


def mark_changed(job: Job) -> None:
    """Note that a job's record has to be stored."""
    job.dirty = True
    job.change += 1


def add_unit(job: Job, unit: Unit) -> None:
    """Add a waiting unit to its job."""
    job.units[unit.key] = unit
    progress = job.steps.get(unit.key[:2])
    if progress is None:
        job.steps[unit.key[:2]] = StepProgress(total=1, waiting=1)
    else:
        progress.total += 1
        progress.waiting += 1


def set_unit_state(job: Job, unit: Unit, state: UnitState) -> None:
    """Change a unit's state and the counts of its step."""
    progress = job.steps[unit.key[:2]]
    progress.waiting += (state == UnitState.WAITING) - (
        unit.state == UnitState.WAITING
    )
    progress.done += (state == UnitState.DONE) - (unit.state == UnitState.DONE)
    unit.state = state


def occupy(worker: Worker, run: Run) -> None:
    """Reserve a run's need on its worker."""
    if run.key not in worker.runs:
        worker.runs[run.key] = run
        worker.used = model.add(worker.used, run.need)
        _count_run(worker, run, 1)


def release(worker: Worker, run: Run) -> None:
    """Free what a run has reserved, once it has provably ended."""
    if worker.runs.pop(run.key, None) is not None:
        worker.used = model.subtract(worker.used, run.need)
        _count_run(worker, run, -1)


def _count_run(worker: Worker, run: Run, change: int) -> None:
    occurrence, number, _ = run.unit.key
    step = run.job.spec.steps[number]
    worker.wanted_cpu_millis += change * step.need.cpu_millis
    worker.fillers += change * step.filler
    worker.serving += change * (step.latency_target_ms > 0)
    key = (run.job.spec.id, occurrence, number)
    count = worker.step_runs.get(key, 0) + change
    if count:
        worker.step_runs[key] = count
    else:
        del worker.step_runs[key]


def reserved_need(step: _specs.StepSpec) -> model.Resources:
    """Return what a task of a step takes of a worker's capacity."""
    if step.filler:
        return attrs.evolve(step.need, cpu_millis=0)
    return step.need
