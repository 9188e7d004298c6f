"""What callers ask for: jobs, their steps, and the policy of their queue."""

import attrs

from chestnuttide import model


@attrs.frozen(kw_only=True, slots=True)
class Advice:
    """Cost and validity of the policy advisor's answers for a queue.

    Attributes
    ----------
    decide_s, per_worker_s : float
        Time of one call, and what each named worker adds, in seconds.
    validity_s : float
        Seconds for which a ticket may be used.
    """

    decide_s: float
    per_worker_s: float
    validity_s: float


@attrs.frozen(kw_only=True, slots=True)
class Queue:
    """A queue of the configuration and its policy.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host header and begin of the path that select it.
    service : str
        Service whose workers run its tasks.
    priority : int
        0 goes first.
    attempt_limit : int
        Failed runs of one task after which the job has failed.
    stretch : float
        Objective as a multiple of the job's longest chain of work.
    latency_objective_s : float
        Seconds that the objective allows in addition.
    advice : Advice or None
        Present if only the advisor knows which workers may run a step.
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


@attrs.frozen(kw_only=True, slots=True)
class StepSpec:
    """Tasks of one size that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task takes of its worker.
    estimate_s : float
        Rough estimate of a task's run time in seconds.
    after : tuple of int
        Steps that must be done before.
    checkpointable, gang, speculative, lasting, filler : bool
        Whether tasks save their progress, run only all together, may run as
        parallel copies, run until the job is cancelled, and use only
        processor time that other tasks leave.
    same_rack : bool
        Whether all tasks should run in one rack.
    label : str
        Label that a worker must have; empty for any.
    data_rack : str
        Rack that holds the data; empty for any.
    spread_limit : int
        Most tasks of the step on one worker; 0 for no limit.
    image : str
        What the tasks run.
    latency_target_ms : float
        Tail latency that a lasting task must stay below; 0 for none.
    unavailable_limit : int
        Tasks that the system may make unavailable at once; -1 for any.
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
        The caller's id.
    queue : Queue
        The queue's policy when the job was accepted.
    payload : str
        Text that is handed to each task.
    steps : tuple of StepSpec
        At least one.
    accepted_unix_s : float
        Time of acceptance by the accepting instance's clock.
    occurrences : int
        How often the steps run; 0 for a job without times.
    first_due_unix_s, interval_s : float
        Due time of the first occurrence and the distance of the others.
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_unix_s: float = 0.0
    occurrences: int = 0
    first_due_unix_s: float = 0.0
    interval_s: float = 0.0


@attrs.frozen(kw_only=True, slots=True)
class WorkerReport:
    """What a worker says about itself.

    Attributes
    ----------
    id : str
        Id of the worker.
    born_ms : int
        Start of this lifetime; changes when the worker restarts.
    service : str
        Service that it works for.
    address : str
        ``ip:port``.
    data_centre : str
        Data centre.
    capacity : Resources
        What it offers.
    labels : frozenset of str
        Its kind and its rack.
    rack : str
        The label that names its rack; empty if none does.
    draining : bool
        Whether it is about to leave.
    remaining_s : float
        Least time until it leaves, while it drains.
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
