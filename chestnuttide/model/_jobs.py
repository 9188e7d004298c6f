"""Jobs, their tasks and attempts to run them."""

import enum
import typing

import attrs

from chestnuttide.model import _resources


# Age at which a worker rejects a delayed start command, for example one that
# was buffered by a paused agent. Without this limit, such a start could take
# effect after the task was started elsewhere.
START_VALID_S: typing.Final = 2.0
# Maximum difference between the wall clocks of a worker and an instance.
CLOCK_SKEW_S: typing.Final = 1.0


class JobKind(enum.StrEnum):
    """How the tasks of a job are scheduled.

    A service keeps its tasks running, the tasks of a batch job run to
    completion, and a gang starts either all of its tasks at once or none.
    """

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class JobState(enum.StrEnum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.StrEnum):
    """State of an attempt, as reported by its worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen(kw_only=True, slots=True)
class Job:
    """A job as it was accepted.

    Attributes
    ----------
    job_id : str
        Id that the caller chose, unique in the cell.
    kind : JobKind
        Service, batch job or gang.
    team : str
        Team that it is charged to.
    workload_class : str
        Class of work; run times are learned per class.
    tasks : int
        Number of tasks, indexed from 0.
    resources : Resources
        Declared need of each task.
    urgent : bool
        Whether it takes precedence over work that is not urgent.
    declared_run_s : float
        Declared run time of a task, in seconds; 0 if not declared.
    wait_limit_s : float
        Seconds after which a job that has not started is refused; 0 for no
        limit.
    payload : bytes
        JSON for the worker agent that describes what each task runs.
    """

    job_id: str
    kind: JobKind
    team: str
    workload_class: str
    tasks: int
    resources: _resources.Resources
    urgent: bool = False
    declared_run_s: float = 0.0
    wait_limit_s: float = 0.0
    payload: bytes = b"{}"


@attrs.frozen(kw_only=True, slots=True)
class Attempt:
    """An attempt to run a task; at most one per task is live at any time.

    Attributes
    ----------
    job_id : str
        Id of the job that the task belongs to.
    index : int
        Index of the task in its job.
    number : int
        Number of the attempt, from 1.
    """

    job_id: str
    index: int
    number: int


@attrs.frozen(kw_only=True, slots=True)
class AttemptReport:
    """A worker's report on an attempt.

    Attributes
    ----------
    attempt : Attempt
        The reported attempt.
    state : TaskState
        State of the attempt on the worker.
    resources : Resources
        Resources that the worker has reserved for it.
    run_s : float
        Seconds since its start, or its run time once it has ended.
    usage : Resources
        Last reported usage; lags behind the actual usage.
    """

    attempt: Attempt
    state: TaskState
    resources: _resources.Resources
    run_s: float = 0.0
    usage: _resources.Resources = _resources.ZERO
