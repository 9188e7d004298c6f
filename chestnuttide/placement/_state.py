"""State of a cell: its workers, their reservations and its indexes."""

import math

import attrs

from chestnuttide import config
from chestnuttide import model
from chestnuttide.placement import _ranking

TaskKey = tuple[str, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class Reservation:
    """Resources reserved for one attempt on one worker.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    worker_id : str
        Worker that it runs on.
    need : Resources
        Exact amount reserved.
    priority : int
        Priority; work of a higher priority may evict it.
    preemptible : bool
        Whether it may be evicted for work of a higher priority.
    checkpoint : bool
        Whether it is checkpointed before eviction.
    throttle : bool
        Whether its processor usage may be throttled.
    urgent : bool
        Whether its job is urgent.
    reclaimed : bool
        Whether it runs on capacity that is reserved by others but unused.
    started : float
        Time of the reservation, in seconds.
    expected_end : float
        Time at which it is expected to end, in seconds; infinite for
        long-running work.
    samples : int
        Number of usage samples received.
    used_cpu, used_memory : int
        Last reported usage; the reserved amount until the first sample.
    peak_cpu, peak_memory : float
        Decaying peak of the reported usage.
    estimated_cpu, estimated_memory : int
        Conservative usage estimate that reclaiming relies on.
    throttle_samples : int
        Usage samples since it was throttled; -1 while it is not throttled.
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
    estimated_cpu: int = 0
    estimated_memory: int = 0
    throttle_samples: int = -1


@attrs.define(kw_only=True, slots=True, eq=False)
class EvictableTotals:
    """Totals of the preemptible attempts of one priority on one worker.

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
    """Workers of one shape that have equally many free accelerators.

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
        Number of workers of this shape in the index.
    cpu_millis, memory_mb : int
        Sum of their capacities; the scale to which each dimension is
        normalised.
    groups : dict of int to Group
        Groups by free accelerators; no group is empty.
    group_keys : list of int
        Keys of `groups`, ascending.
    """

    members: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    groups: dict[int, Group] = attrs.field(factory=dict)
    group_keys: list[int] = attrs.field(factory=list)


# Number of accelerators, and the bit lengths of the processor and memory
# capacities. Bit lengths bound the number of shapes in a heterogeneous pool.
ShapeKey = tuple[int, int, int]


@attrs.define(kw_only=True, slots=True, eq=False)
class DataCentreIndex:
    """Indexed workers of one data centre.

    Attributes
    ----------
    free_cpu : int
        Sum of their free processors.
    rankings : dict of (bool, int) to Ranking
        Entries (free processors, free memory, worker id). The key tells
        whether the workers have accelerators, and how many are free. No
        ranking is empty.
    """

    free_cpu: int = 0
    rankings: dict[tuple[bool, int], _ranking.Ranking] = attrs.field(
        factory=dict
    )


@attrs.define(kw_only=True, slots=True, eq=False)
class Index:
    """Workers that accept work, ordered by their free capacity.

    Attributes
    ----------
    unaccelerated : dict of ShapeKey to Shape
        Workers without accelerators.
    accelerated : dict of ShapeKey to Shape
        Workers with accelerators.
    centres : dict of str to DataCentreIndex
        The same workers by data centre.
    """

    unaccelerated: dict[ShapeKey, Shape] = attrs.field(factory=dict)
    accelerated: dict[ShapeKey, Shape] = attrs.field(factory=dict)
    centres: dict[str, DataCentreIndex] = attrs.field(factory=dict)


@attrs.define(kw_only=True, slots=True, eq=False)
class IndexPosition:
    """Position of a worker in an index.

    Attributes
    ----------
    index : Index
        The index that contains it.
    shape : ShapeKey
        Its shape.
    data_centre : str
        Its data centre.
    capacity : Resources
        Capacity that is included in the sums of the shape.
    cpu_millis, memory_mb, accelerators : int
        Free amounts by which it is indexed.
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
    """One worker and the reservations on it.

    Attributes
    ----------
    worker_id : str
        Instance id.
    data_centre, rack : str
        Its location.
    state : InstanceState
        State in the instance list of the platform.
    capacity : Resources
        Its total resources.
    reservations : dict of Attempt to Reservation
        Reservations by attempt.
    guaranteed_cpu, guaranteed_memory : int
        Sum of the reservations that do not use reclaimed capacity.
    unthrottleable_cpu, unthrottleable_memory : int
        Sum of the reservations that cannot be throttled, whether or not they
        use reclaimed capacity.
    uncheckpointable_memory : int
        Memory of the reservations that cannot be checkpointed, whether or
        not they use reclaimed capacity.
    accelerators : int
        Accelerators of all reservations; accelerators are never reclaimed.
    free_cpu, free_memory, free_accelerators : int
        Capacity still available to guaranteed reservations; negative while
        the reservations exceed the capacity.
    evictable : dict of int to EvictableTotals
        Totals of the preemptible attempts by priority.
    estimated_cpu, estimated_memory : int
        Sum of the usage estimates of all reservations.
    used_cpu, used_memory : int
        Sum of the last reported usage of all reservations.
    position : IndexPosition or None
        Its position in an index; None while it accepts no work.
    eviction_entry : Entry or None
        Its entry in `Cell.eviction_rankings`.
    eviction_accelerated : bool
        Whether that entry is in the ranking of workers with accelerators.
    reclaim_entry : Entry or None
        Its entry in `Cell.reclaimable`.
    reserved_for_gang : bool
        Whether it is reserved for a gang.
    recent_failures : dict of TaskKey to None
        Tasks that failed on it since its last success.
    ejected : bool
        Whether it is ejected because of the outcomes of its tasks.
    ejected_since, probe_at : float
        Time of the ejection, and time from which it may run a probe.
    probing : bool
        Whether it is ejected and may run one probe.
    probe : Attempt or None
        The running probe.
    probe_task : TaskKey or None
        Task of the last probe whose outcome is still unknown.
    """

    worker_id: str
    data_centre: str = ""
    rack: str = ""
    state: model.InstanceState = model.InstanceState.GONE
    capacity: model.Resources = model.ZERO
    reservations: dict[model.Attempt, Reservation] = attrs.field(factory=dict)
    guaranteed_cpu: int = 0
    guaranteed_memory: int = 0
    unthrottleable_cpu: int = 0
    unthrottleable_memory: int = 0
    uncheckpointable_memory: int = 0
    accelerators: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    evictable: dict[int, EvictableTotals] = attrs.field(factory=dict)
    estimated_cpu: int = 0
    estimated_memory: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    position: IndexPosition | None = None
    eviction_entry: _ranking.Entry | None = None
    eviction_accelerated: bool = False
    reclaim_entry: _ranking.Entry | None = None
    reserved_for_gang: bool = False
    recent_failures: dict[TaskKey, None] = attrs.field(factory=dict)
    ejected: bool = False
    ejected_since: float = 0.0
    probe_at: float = math.inf
    probing: bool = False
    probe: model.Attempt | None = None
    probe_task: TaskKey | None = None


@attrs.frozen(kw_only=True, slots=True)
class GangPlan:
    """Workers for a gang, and when they are expected to have capacity for it.

    Attributes
    ----------
    worker_ids : tuple of str
        One worker per task; a worker may occur several times.
    starts_at : float
        Earliest time at which the gang is expected to fit, in seconds.
    expires_at : float
        Time at which a reservation by this plan expires, in seconds.
    """

    worker_ids: tuple[str, ...]
    starts_at: float
    expires_at: float


@attrs.define(kw_only=True, slots=True, eq=False)
class JobOutcomes:
    """Outcomes of the tasks of one job.

    Attributes
    ----------
    failed_on : dict of str to None
        Workers on which a task of the job failed.
    succeeded_on : dict of str to None
        Workers on which a task of the job succeeded.
    failed_tasks : dict of int to set of str
        Workers on which each failed task failed.
    recovered_tasks : set of int
        Failed tasks that succeeded on a later attempt.
    """

    failed_on: dict[str, None] = attrs.field(factory=dict)
    succeeded_on: dict[str, None] = attrs.field(factory=dict)
    failed_tasks: dict[int, set[str]] = attrs.field(factory=dict)
    recovered_tasks: set[int] = attrs.field(factory=set)


@attrs.define(kw_only=True, slots=True, eq=False)
class Cell:
    """Workers of one pool and the reservations on them.

    Attributes
    ----------
    limits : PoolConfig
        Limits of the pool; only those on ejection are used here.
    workers : dict of str to Worker
        All known workers.
    reservations : dict of Attempt to Reservation
        All reservations.
    open_index : Index
        Workers that accept any work.
    reserved_index : Index
        Workers reserved for a gang; they accept only work that is expected
        to end before the gang starts.
    reclaimable : Ranking
        Workers of `open_index` by reclaimable processors and memory, rounded
        down.
    eviction_rankings : dict of bool to Ranking
        Workers with preemptible work, by an upper bound of the processors
        and memory that are free once all of it is evicted. The key tells
        whether the workers have accelerators.
    expected_ends : dict of int to dict of Reservation to None
        Reservations with a finite expected end that do not use reclaimed
        capacity, by the whole second of that end.
    racks : dict of str to dict of str to int
        Number of workers by data centre and rack.
    live_count : int
        Number of live workers.
    capacities : dict of Resources to int
        Number of live workers by capacity.
    capacity_cpu, capacity_memory, capacity_accelerators : int
        Sum of the capacities of live workers.
    reserved_cpu, reserved_memory, reserved_accelerators : int
        Sum of the reservations that do not use reclaimed capacity;
        accelerators of all reservations.
    preemptible : dict of int to int
        Number of workers with preemptible work, by the priority of that work.
    gang_reservation : GangPlan or None
        Plan of the gang that workers are reserved for.
    reserved_gang : str
        Key of that gang, empty if there is none.
    ejected : dict of str to None
        Ejected workers, in the order of ejection.
    next_probe : float
        Earliest time at which an ejected worker may run a probe.
    outcomes : dict of str to JobOutcomes
        Outcomes of recently reported jobs, least recently reported first.
    overcommitted : dict of str to None
        Workers whose reported usage exceeds their capacity.
    now : float
        Latest time passed to a function of this package, in seconds.
    """

    limits: config.PoolConfig = attrs.field(factory=config.PoolConfig)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    reservations: dict[model.Attempt, Reservation] = attrs.field(factory=dict)
    open_index: Index = attrs.field(factory=Index)
    reserved_index: Index = attrs.field(factory=Index)
    reclaimable: _ranking.Ranking = attrs.field(factory=_ranking.Ranking)
    eviction_rankings: dict[bool, _ranking.Ranking] = attrs.field(
        factory=lambda: {
            False: _ranking.Ranking(),
            True: _ranking.Ranking(),
        }
    )
    expected_ends: dict[int, dict[Reservation, None]] = attrs.field(
        factory=dict
    )
    racks: dict[str, dict[str, int]] = attrs.field(factory=dict)
    live_count: int = 0
    capacities: dict[model.Resources, int] = attrs.field(factory=dict)
    capacity_cpu: int = 0
    capacity_memory: int = 0
    capacity_accelerators: int = 0
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_accelerators: int = 0
    preemptible: dict[int, int] = attrs.field(factory=dict)
    gang_reservation: GangPlan | None = None
    reserved_gang: str = ""
    ejected: dict[str, None] = attrs.field(factory=dict)
    next_probe: float = math.inf
    outcomes: dict[str, JobOutcomes] = attrs.field(factory=dict)
    overcommitted: dict[str, None] = attrs.field(factory=dict)
    now: float = 0.0
