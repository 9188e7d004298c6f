"""Accepted jobs, their steps and queue policies, and worker reports."""

import attrs

from chestnuttide import model


@attrs.frozen(kw_only=True, slots=True)
class Advice:
    """Duration of advisor queries for a queue, and validity of their tickets.

    Attributes
    ----------
    decide_s, per_worker_s : float
        Base duration of a query, and the time that each named worker adds,
        in seconds.
    validity_s : float
        Validity of a ticket, in seconds.
    """

    decide_s: float
    per_worker_s: float
    validity_s: float


@attrs.frozen(kw_only=True, slots=True)
class Workspace:
    """A configured workspace: a customer whose jobs share one allowance.

    Attributes
    ----------
    name : str
        Name of the workspace.
    weight : float
        Its share relative to other workspaces when all capacity is in use.
    cap : Resources
        What it may have running over all services; 0 in a dimension means
        no limit.
    """

    name: str
    weight: float = 1.0
    cap: model.Resources = model.ZERO


@attrs.frozen(kw_only=True, slots=True)
class Queue:
    """A configured queue and its policy.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host header and path prefix that select it.
    service : str
        Service whose workers run its tasks.
    priority : int
        Lower numbers are more urgent; 0 is the most urgent.
    attempt_limit : int
        Failed runs of one task after which its job fails.
    stretch : float
        Latency objective as a multiple of the job's critical path.
    latency_objective_s : float
        Constant part of the latency objective, in seconds.
    advice : Advice or None
        Advisor policy; None if starts need no ticket of the advisor.
    public : bool
        Whether its calls need no key and its jobs belong to no workspace.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    latency_objective_s: float = 0.0
    advice: Advice | None = None
    public: bool = False


@attrs.frozen(kw_only=True, slots=True)
class StepSpec:
    """A group of equal tasks that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task needs.
    estimate_s : float
        Rough estimate of a task's run time in seconds.
    after : tuple of int
        Steps that must be done first.
    checkpointable, gang, speculative, lasting, filler : bool
        Whether tasks save checkpoints, must all run at the same time, may
        run as parallel copies, run until the job is cancelled, and use only
        processor time that other tasks leave idle.
    same_rack : bool
        Whether all tasks should run in one rack.
    label : str
        Label that a worker must have; empty for any worker.
    data_rack : str
        Rack that holds the input data; empty for no preference.
    spread_limit : int
        Maximum number of the step's tasks on one worker; 0 for no limit.
    image : str
        Image that the tasks run.
    latency_target_ms : float
        Tail latency that a long-running task must stay below; 0 for none.
    unavailable_limit : int
        Maximum number of tasks that the scheduler may make unavailable at
        once; -1 for no limit.
    """

    count: int
    need: model.Resources = model.Resources()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    speculative: bool = False
    lasting: bool = False
    filler: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    image: str = ""
    latency_target_ms: float = 0.0
    unavailable_limit: int = -1


@attrs.frozen(kw_only=True, slots=True)
class JobSpec:
    """A job as it was accepted.

    Attributes
    ----------
    id : str
        Id that the caller chose.
    queue : Queue
        The queue and its policy when the job was accepted.
    payload : str
        Text that is passed to each task.
    steps : tuple of StepSpec
        Steps of the job; at least one.
    accepted_unix_s : float
        Time of acceptance by the accepting instance's clock.
    occurrences : int
        How often the steps run; 0 for a job that runs once, without a due
        time.
    first_due_unix_s, interval_s : float
        Due time of the first occurrence, and the interval between
        occurrences.
    workspace : str
        Workspace whose key submitted it; empty for a public queue and for a
        deployment without workspaces.
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_unix_s: float = 0.0
    occurrences: int = 0
    first_due_unix_s: float = 0.0
    interval_s: float = 0.0
    workspace: str = ""


@attrs.frozen(kw_only=True, slots=True)
class WorkerReport:
    """A worker's description of itself.

    Attributes
    ----------
    id : str
        Id of the worker.
    born_ms : int
        Start time of this incarnation; changes when the worker restarts.
    service : str
        Service that it belongs to.
    address : str
        Address as ``ip:port``.
    data_centre : str
        Data centre of the worker.
    capacity : Resources
        Total resources that it offers.
    labels : frozenset of str
        Labels for its kind and its rack.
    rack : str
        The label that names its rack; empty if none does.
    draining : bool
        Whether it is about to leave.
    remaining_s : float
        Minimum time until it leaves while it is draining, in seconds.
    """

    id: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    capacity: model.Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    remaining_s: float = 0.0
