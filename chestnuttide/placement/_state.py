"""State of a cell: its workers, their reservations and its indexes."""

import math

import attrs

from chestnuttide import config
from chestnuttide import model
from chestnuttide.placement import _ranking

TaskKey = tuple[str, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class Reservation:
    """Resources that one attempt holds on one worker.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    worker_id : str
        Worker that it runs on.
    need : Resources
        Exact amount reserved.
    priority : int
        Importance; work of a higher priority may evict it.
    preemptible : bool
        Whether it may be evicted for more important work.
    checkpoint : bool
        Whether it is checkpointed before eviction.
    throttle : bool
        Whether its processor use may be throttled.
    urgent : bool
        Whether it is urgent work.
    reclaimed : bool
        Whether it runs on capacity that others reserved and do not use.
    started : float
        Time of the reservation, in seconds.
    expected_end : float
        Time at which it is expected to end, in seconds; infinite when it is
        not expected to end.
    samples : int
        Usage samples seen.
    used_cpu, used_memory : int
        Last reported usage; the reserved amount until the first sample.
    peak_cpu, peak_memory : float
        Slowly decaying peak of the reported usage.
    charged_cpu, charged_memory : int
        Usage that reclaiming assumes for it.
    throttle_samples : int
        Usage samples since it was throttled; -1 when it is not throttled.
    """

    attempt: model.Attempt
    worker_id: str
    need: model.Resources
    priority: int
    preemptible: bool
    checkpoint: bool
    throttle: bool
    urgent: bool
    reclaimed: bool
    started: float
    expected_end: float
    samples: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    peak_cpu: float = 0.0
    peak_memory: float = 0.0
    charged_cpu: int = 0
    charged_memory: int = 0
    throttle_samples: int = -1


@attrs.define(kw_only=True, slots=True, eq=False)
class Evictable:
    """What the preemptible attempts of one priority hold on one worker.

    Attributes
    ----------
    count : int
        Number of attempts.
    cpu_millis, memory_mb, accelerators : int
        Sum of their reservations.
    """

    count: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.define(kw_only=True, slots=True, eq=False)
class Group:
    """Workers of one shape with the same number of free accelerators.

    Attributes
    ----------
    by_cpu : Ranking
        Entries (free processors, free memory, worker id).
    by_memory : Ranking
        Entries (free memory, free processors, worker id).
    """

    by_cpu: _ranking.Ranking = attrs.field(factory=_ranking.Ranking)
    by_memory: _ranking.Ranking = attrs.field(factory=_ranking.Ranking)


@attrs.define(kw_only=True, slots=True, eq=False)
class Shape:
    """Workers of similar capacity.

    Attributes
    ----------
    members : int
        Number of workers in the index.
    cpu_millis, memory_mb : int
        Sum of their capacities; gives the scale of each dimension.
    groups : dict of int to Group
        Groups by free accelerators; no group is empty.
    order : list of int
        Keys of `groups`, ascending.
    """

    members: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    groups: dict[int, Group] = attrs.field(factory=dict)
    order: list[int] = attrs.field(factory=list)


# Accelerators of the capacity, and the magnitude (bit length) of processors
# and memory. The magnitude bounds the number of shapes in a mixed pool.
ShapeKey = tuple[int, int, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class Centre:
    """Indexed workers of one data centre.

    Attributes
    ----------
    free_cpu : int
        Sum of their free processors.
    rankings : dict of (bool, int) to Ranking
        Entries (free processors, free memory, worker id) by whether the
        worker has accelerators and how many are free; no ranking is empty.
    """

    free_cpu: int = 0
    rankings: dict[tuple[bool, int], _ranking.Ranking] = attrs.field(
        factory=dict
    )


@attrs.define(kw_only=True, slots=True, eq=False)
class Index:
    """Workers that take work, ordered by what they have free.

    Attributes
    ----------
    plain : dict of ShapeKey to Shape
        Workers without accelerators.
    accelerated : dict of ShapeKey to Shape
        Workers with accelerators.
    centres : dict of str to Centre
        The same workers by data centre.
    """

    plain: dict[ShapeKey, Shape] = attrs.field(factory=dict)
    accelerated: dict[ShapeKey, Shape] = attrs.field(factory=dict)
    centres: dict[str, Centre] = attrs.field(factory=dict)


@attrs.define(kw_only=True, slots=True, eq=False)
class Place:
    """Where a worker is found in an index.

    Attributes
    ----------
    index : Index
        The index that holds it.
    shape : ShapeKey
        Its shape.
    data_centre : str
        Its data centre.
    capacity : Resources
        Capacity that the shape's sums include.
    cpu_millis, memory_mb, accelerators : int
        Free amounts under which it is filed.
    """

    index: Index
    shape: ShapeKey
    data_centre: str
    capacity: model.Resources
    cpu_millis: int
    memory_mb: int
    accelerators: int


@attrs.define(kw_only=True, slots=True, eq=False)
class Worker:
    """One worker and what runs on it.

    Attributes
    ----------
    worker_id : str
        Instance id.
    data_centre, rack : str
        Where it stands.
    state : InstanceState
        State in the platform's list.
    capacity : Resources
        What it offers.
    reservations : dict of Attempt to Reservation
        What runs on it.
    firm_cpu, firm_memory : int
        Sum of the reservations that are not reclaimed.
    strict_cpu, strict_memory : int
        Sum of the reservations that cannot be throttled, reclaimed or not.
    pinned_memory : int
        Memory of the reservations that cannot be checkpointed.
    accelerators : int
        Accelerators of all reservations; they are never reclaimed.
    free_cpu, free_memory, free_accelerators : int
        What exact reservations may still take; negative after an excess.
    evictable : dict of int to Evictable
        Preemptible work by priority.
    charged_cpu, charged_memory : int
        Usage that reclaiming assumes for all reservations.
    used_cpu, used_memory : int
        Last reported usage of all reservations.
    place : Place or None
        Where it is indexed; None while it takes no work.
    yield_entry : Entry or None
        Where it is ranked by what it has free after all evictions.
    yield_accelerated : bool
        Whether it is ranked there among workers with accelerators.
    reclaim_entry : Entry or None
        Where it is ranked by reclaimable capacity.
    held : bool
        Whether it is held for a gang.
    suspects : dict of TaskKey to None
        Tasks that failed on it since its last success.
    ejected : bool
        Whether it is ejected by outcome.
    ejected_since, probe_at : float
        Time of the ejection, and time from which it is probed.
    probing : bool
        Whether an ejected worker is open to one probe.
    probe : Attempt or None
        The probe that runs.
    probe_task : TaskKey or None
        Task of the last probe whose outcome is not known.
    """

    worker_id: str
    data_centre: str = ""
    rack: str = ""
    state: model.InstanceState = model.InstanceState.GONE
    capacity: model.Resources = model.ZERO
    reservations: dict[model.Attempt, Reservation] = attrs.field(factory=dict)
    firm_cpu: int = 0
    firm_memory: int = 0
    strict_cpu: int = 0
    strict_memory: int = 0
    pinned_memory: int = 0
    accelerators: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    evictable: dict[int, Evictable] = attrs.field(factory=dict)
    charged_cpu: int = 0
    charged_memory: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    place: Place | None = None
    yield_entry: _ranking.Entry | None = None
    yield_accelerated: bool = False
    reclaim_entry: _ranking.Entry | None = None
    held: bool = False
    suspects: dict[TaskKey, None] = attrs.field(factory=dict)
    ejected: bool = False
    ejected_since: float = 0.0
    probe_at: float = math.inf
    probing: bool = False
    probe: model.Attempt | None = None
    probe_task: TaskKey | None = None


@attrs.frozen(kw_only=True, slots=True)
class GangPlan:
    """Workers for a gang, and when they are expected to have room.

    Attributes
    ----------
    worker_ids : tuple of str
        One worker per task, with repetition.
    starts_at : float
        Earliest time at which the gang is expected to fit, in seconds.
    expires_at : float
        Time at which a hold for this plan ends, in seconds.
    """

    worker_ids: tuple[str, ...]
    starts_at: float
    expires_at: float


@attrs.define(kw_only=True, slots=True, eq=False)
class JobOutcomes:
    """What is known about the outcomes of one job's tasks.

    Attributes
    ----------
    failed_on : dict of str to None
        Workers on which a task of the job failed.
    succeeded_on : dict of str to None
        Workers on which a task of the job succeeded.
    failed_tasks : dict of int to set of str
        Workers on which each failed task failed.
    cleared_tasks : set of int
        Failed tasks that succeeded later.
    """

    failed_on: dict[str, None] = attrs.field(factory=dict)
    succeeded_on: dict[str, None] = attrs.field(factory=dict)
    failed_tasks: dict[int, set[str]] = attrs.field(factory=dict)
    cleared_tasks: set[int] = attrs.field(factory=set)


@attrs.define(kw_only=True, slots=True, eq=False)
class Cell:
    """Workers of one pool and the exact reservations on them.

    Attributes
    ----------
    limits : PoolConfig
        Limits of the pool; those on ejection apply here.
    workers : dict of str to Worker
        All known workers.
    reservations : dict of Attempt to Reservation
        All reservations.
    open : Index
        Workers that take any work.
    held : Index
        Workers that take only work which ends before the hold starts.
    reclaimable : Ranking
        Open workers by reclaimable processors and memory, rounded down.
    yielding : dict of bool to Ranking
        Workers with preemptible work, without and with accelerators, by the
        processors and memory that they have free once all of it is evicted,
        or more.
    ends : dict of int to dict of Reservation to None
        Reservations that are not reclaimed by whole seconds of their finite
        expected end.
    racks : dict of str to dict of str to int
        Number of workers by data centre and rack.
    live : int
        Number of live workers.
    capacities : dict of Resources to int
        Number of live workers by capacity.
    capacity_cpu, capacity_memory, capacity_accelerators : int
        Sum of the capacities of live workers.
    reserved_cpu, reserved_memory, reserved_accelerators : int
        Sum of the reservations that are not reclaimed.
    preemptible : dict of int to int
        Number of workers with preemptible work, by its priority.
    hold : GangPlan or None
        The gang that workers are held for.
    hold_key : str
        Name of that gang.
    ejected : dict of str to None
        Ejected workers, in the order of ejection.
    next_probe : float
        Earliest time at which an ejected worker becomes open to a probe.
    outcomes : dict of str to JobOutcomes
        Recent outcomes by job, least recent first.
    overcommitted : dict of str to None
        Workers whose reported usage exceeds their capacity.
    now : float
        Latest time that was given.
    """

    limits: config.PoolConfig = attrs.field(factory=config.PoolConfig)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    reservations: dict[model.Attempt, Reservation] = attrs.field(factory=dict)
    open: Index = attrs.field(factory=Index)
    held: Index = attrs.field(factory=Index)
    reclaimable: _ranking.Ranking = attrs.field(factory=_ranking.Ranking)
    yielding: dict[bool, _ranking.Ranking] = attrs.field(
        factory=lambda: {
            False: _ranking.Ranking(),
            True: _ranking.Ranking(),
        }
    )
    ends: dict[int, dict[Reservation, None]] = attrs.field(factory=dict)
    racks: dict[str, dict[str, int]] = attrs.field(factory=dict)
    live: int = 0
    capacities: dict[model.Resources, int] = attrs.field(factory=dict)
    capacity_cpu: int = 0
    capacity_memory: int = 0
    capacity_accelerators: int = 0
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_accelerators: int = 0
    preemptible: dict[int, int] = attrs.field(factory=dict)
    hold: GangPlan | None = None
    hold_key: str = ""
    ejected: dict[str, None] = attrs.field(factory=dict)
    next_probe: float = math.inf
    outcomes: dict[str, JobOutcomes] = attrs.field(factory=dict)
    overcommitted: dict[str, None] = attrs.field(factory=dict)
    now: float = 0.0
