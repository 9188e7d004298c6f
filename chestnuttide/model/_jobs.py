"""Jobs, their tasks and the attempts to run them."""

import enum
import typing

import attrs

from chestnuttide.model import _resources


# Seconds after which a worker refuses a start that was held up on its way, for
# example in the buffer of an agent that was paused. Without this limit such a
# start could take effect after its task was started elsewhere.
START_VALID_S: typing.Final = 2.0
# Largest difference between the wall clocks of a worker and an instance.
CLOCK_SKEW_S: typing.Final = 1.0


class JobKind(enum.StrEnum):
    """How the tasks of a job are placed.

    A service keeps its tasks up, batch work ends, and a gang starts all of its
    tasks at once or none.
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
    """State of one attempt, as its worker reports it."""

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
        The caller's id, unique in the cell.
    kind : JobKind
        Service, batch work or gang.
    team : str
        Team that is charged for it.
    workload_class : str
        Class whose run times are learned together.
    tasks : int
        Number of tasks, indexed from 0.
    resources : Resources
        What each task needs, as declared.
    urgent : bool
        Whether it goes before work that is not urgent.
    declared_run_s : float
        Declared run time of a task in seconds; 0 when not declared.
    wait_limit_s : float
        Seconds after which a job that has not started is refused; 0 for no
        limit.
    payload : bytes
        JSON for the worker agent; says what each task runs.
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
    """One attempt to run one task; at most one per task is ever live.

    Attributes
    ----------
    job_id : str
        Job of the task.
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
    """What a worker says about one attempt.

    Attributes
    ----------
    attempt : Attempt
        The attempt in question.
    state : TaskState
        Its state on the worker.
    resources : Resources
        What the worker reserved for it.
    run_s : float
        Seconds since its start, or its run time once ended.
    usage : Resources
        Last reported usage; lags behind the truth.
    """

    attempt: Attempt
    state: TaskState
    resources: _resources.Resources
    run_s: float = 0.0
    usage: _resources.Resources = _resources.ZERO
