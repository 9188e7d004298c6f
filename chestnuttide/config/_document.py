"""Typed form of the cell's configuration document."""

import attrs


@attrs.frozen(kw_only=True, slots=True)
class ServiceConfig:
    """Policy of one service that answers requests.

    Attributes
    ----------
    shards : int
        Number of shards that share its targets; 1 to 64. It cannot be
        changed later. Targets and ids are spread by a hash, so a shard
        should have ten targets or more.
    request_limit_s : float
        Longest time in seconds that a target may take for one request.
    queue_limit : int
        Requests that may wait in one shard.
    max_attempts : int
        Attempts for an idempotent request, the first one included.
    retry_ratio : float
        Average number of retries allowed per request.
    hedge_after_s : float
        Seconds after which an idempotent request is sent a second time; 0
        switches hedging off.
    status_path : str
        Path at which a target reports its busy slots; empty if it has none.
    eject_failure_ratio : float
        Share of failed answers above which a target is ejected.
    eject_s : float
        Seconds for which an ejected target is left out before it is probed.
    """

    shards: int = attrs.field(
        default=1,
        validator=[attrs.validators.ge(1), attrs.validators.le(64)],
    )
    request_limit_s: float = attrs.field(
        default=10.0, validator=attrs.validators.gt(0)
    )
    queue_limit: int = attrs.field(
        default=10_000, validator=attrs.validators.ge(1)
    )
    max_attempts: int = attrs.field(
        default=3, validator=attrs.validators.ge(1)
    )
    retry_ratio: float = attrs.field(
        default=0.1, validator=attrs.validators.ge(0)
    )
    hedge_after_s: float = attrs.field(
        default=0.0, validator=attrs.validators.ge(0)
    )
    status_path: str = ""
    eject_failure_ratio: float = attrs.field(
        default=0.5,
        validator=[attrs.validators.gt(0), attrs.validators.le(1)],
    )
    eject_s: float = attrs.field(default=5.0, validator=attrs.validators.gt(0))


@attrs.frozen(kw_only=True, slots=True)
class TeamConfig:
    """Quota and share of one team.

    Attributes
    ----------
    weight : float
        Relative share of capacity among teams that have work waiting.
    cpu_millis : int
        Most CPU reserved at once, in thousandths of a core; 0 for no quota.
    memory_mb : int
        Most memory reserved at once, in MB; 0 for no quota.
    accelerators : int
        Most accelerators reserved at once; 0 for no quota.
    request_limit : int
        Most requests of the team that may wait in one shard; 0 for no
        quota.
    """

    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    cpu_millis: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    memory_mb: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    accelerators: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )
    request_limit: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )


@attrs.frozen(kw_only=True, slots=True)
class ClassConfig:
    """Policy of one workload class of jobs.

    Attributes
    ----------
    preemptible : bool
        Whether its tasks may be evicted for more important work.
    checkpoint : bool
        Whether a task is checkpointed before it is evicted.
    throttle : bool
        Whether its tasks may be throttled, so that they can run on reclaimed
        capacity.
    spread : bool
        Whether its tasks are spread over data centres and racks; otherwise
        they are packed.
    max_attempts : int
        Failed attempts on different workers after which the job fails.
    minimum_up : int
        Tasks of a service that preemption and replacement leave running.
    """

    preemptible: bool = False
    checkpoint: bool = False
    throttle: bool = False
    spread: bool = False
    max_attempts: int = attrs.field(
        default=3, validator=attrs.validators.ge(1)
    )
    minimum_up: int = attrs.field(default=0, validator=attrs.validators.ge(0))


@attrs.frozen(kw_only=True, slots=True)
class PoolConfig:
    """Limits of a pool of workers.

    Attributes
    ----------
    pools : int
        Number of worker shards in the cell; 1 to 64. Fixed once the config
        has a version.
    long_run_s : float
        Expected run time in seconds above which work counts as long.
    long_share : float
        Largest share of the pool that long work may occupy while short work
        waits.
    task_lease_s : float
        Duration in seconds of a task's lease on its worker.
    gang_reservation_s : float
        Longest time in seconds that a reservation for a gang is kept.
    eject_failures : int
        Consecutive failures of distinct tasks after which a worker is
        ejected.
    eject_s : float
        Seconds for which an ejected worker is left out before it is probed.
    eject_share : float
        Largest share of the pool that may be ejected at once.
    queue_limit : int
        Tasks that may wait in one pool.
    """

    pools: int = attrs.field(
        default=1,
        validator=[attrs.validators.ge(1), attrs.validators.le(64)],
    )
    long_run_s: float = attrs.field(
        default=60.0, validator=attrs.validators.gt(0)
    )
    long_share: float = attrs.field(
        default=0.5,
        validator=[attrs.validators.gt(0), attrs.validators.le(1)],
    )
    task_lease_s: float = attrs.field(
        default=10.0, validator=attrs.validators.ge(1)
    )
    gang_reservation_s: float = attrs.field(
        default=30.0, validator=attrs.validators.gt(0)
    )
    eject_failures: int = attrs.field(
        default=3, validator=attrs.validators.ge(1)
    )
    eject_s: float = attrs.field(
        default=30.0, validator=attrs.validators.gt(0)
    )
    eject_share: float = attrs.field(
        default=0.2,
        validator=[attrs.validators.gt(0), attrs.validators.le(1)],
    )
    queue_limit: int = attrs.field(
        default=200_000, validator=attrs.validators.ge(1)
    )


@attrs.frozen(kw_only=True, slots=True)
class CellConfig:
    """The whole configuration of a cell at one version.

    Attributes
    ----------
    services : dict of str to ServiceConfig
        Services by name.
    teams : dict of str to TeamConfig
        Teams by name.
    workload_classes : dict of str to ClassConfig
        Workload classes by name.
    pool : PoolConfig
        Limits that apply to each pool of workers.
    """

    services: dict[str, ServiceConfig] = attrs.field(factory=dict)
    teams: dict[str, TeamConfig] = attrs.field(factory=dict)
    workload_classes: dict[str, ClassConfig] = attrs.field(factory=dict)
    pool: PoolConfig = attrs.field(factory=PoolConfig)
