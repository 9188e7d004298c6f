"""Slots of the targets of one shard, and selection of a target.

Only the owner of a shard uses the slots of its targets, so its count is exact
except for requests of a former owner and requests whose connection broke.
Their slots are called unaccounted and count as occupied until they are known
to be free.
"""

import collections
import heapq

import attrs

from chestnuttide import config as config_module
from chestnuttide import model

# Weight of the newest outcome in the moving average of failures.
OUTCOME_WEIGHT = 0.2
# Outcomes before a target may be ejected; with fewer, the failure ratio means
# little.
MINIMUM_OUTCOMES = 5
# Largest share of a shard's targets that may be ejected at once, so that the
# load of the ejected targets does not overload the others.
MAXIMUM_EJECTED_SHARE = 0.2


@attrs.define(kw_only=True, slots=True)
class Target:
    """State of one target.

    Attributes
    ----------
    target_id : str
        Instance id.
    address : str
        ``ip:port`` of its HTTP server.
    slots : int
        Requests that it may run at once; at most its connection limit.
    leaving : bool
        Whether it is leaving or gone and gets no new requests.
    gone : bool
        Whether the platform lists it as gone.
    in_use : int
        Slots used by requests of this owner.
    unaccounted : list of float
        Heap of the times from which unaccounted slots count as free.
    failure_ratio : float
        Moving average of the share of failed outcomes, 0 to 1.
    outcomes : int
        Outcomes since the last ejection.
    ejected_until : float
        Time from which an ejected target may be probed; 0 when not ejected.
    probing : bool
        Whether a probe request is in flight.
    bucket : int
        Key of its bucket in the pool, the number of free slots; 0 if it is
        in no bucket.
    """

    target_id: str
    address: str
    slots: int
    leaving: bool = False
    gone: bool = False
    in_use: int = 0
    unaccounted: list[float] = attrs.field(factory=list)
    failure_ratio: float = 0.0
    outcomes: int = 0
    ejected_until: float = 0.0
    probing: bool = False
    bucket: int = 0


@attrs.define(kw_only=True, slots=True)
class TargetPool:
    """All targets of one shard.

    Attributes
    ----------
    targets : dict of str to Target
        Targets by instance id; a leaving one stays until the platform lists
        it as gone and its slots are free.
    buckets : dict of int to OrderedDict
        Ids of the available targets by number of free slots, least recently
        updated first.
    free_slots : int
        Sum of the free slots of the available targets.
    """

    targets: dict[str, Target] = attrs.field(factory=dict)
    buckets: dict[int, collections.OrderedDict[str, None]] = attrs.field(
        factory=dict
    )
    free_slots: int = 0


def update_target(
    pool: TargetPool,
    instance: model.Instance,
    *,
    unaccounted_until: float,
    now: float,
) -> bool:
    """Apply a change of the instance list to one target.

    Parameters
    ----------
    pool : TargetPool
        The shard's targets.
    instance : Instance
        The target as the platform lists it.
    unaccounted_until : float
        Time until which all slots of a new target count as occupied.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the target is new.
    """
    target = pool.targets.get(instance.instance_id)
    is_new = target is None
    if target is None:
        if instance.state is not model.InstanceState.LIVE:
            return False
        target = Target(
            target_id=instance.instance_id,
            address=instance.address,
            slots=_usable_slots(instance),
        )
        pool.targets[target.target_id] = target
        if unaccounted_until > now:
            target.unaccounted = [unaccounted_until] * target.slots
    target.address = instance.address
    target.slots = _usable_slots(instance)
    # A target that reported that it is leaving stays so until the platform
    # lists it as gone, because the list lags behind the target's report.
    target.leaving = target.leaving or (
        instance.state is not model.InstanceState.LIVE
    )
    target.gone = instance.state is model.InstanceState.GONE
    _reindex(pool, target)
    _remove_if_idle(pool, target)
    return is_new


def mark_leaving(pool: TargetPool, target_id: str) -> bool:
    """Stop dispatching to a target; return whether its state changed."""
    target = pool.targets.get(target_id)
    if target is None or target.leaving:
        return False
    target.leaving = True
    _reindex(pool, target)
    return True


def acquire_slot(
    pool: TargetPool, *, excluded: frozenset[str] = frozenset()
) -> Target | None:
    """Acquire a slot of the target with the most free slots.

    Parameters
    ----------
    pool : TargetPool
        The shard's targets.
    excluded : frozenset of str
        Ids of targets to skip.

    Returns
    -------
    Target or None
        The target, or None if no slot is free.
    """
    for free in sorted(pool.buckets, reverse=True):
        for target_id in pool.buckets[free]:
            if target_id in excluded:
                continue
            target = pool.targets[target_id]
            target.in_use += 1
            if target.ejected_until:
                target.probing = True
            _reindex(pool, target)
            return target
    return None


def release_slot(pool: TargetPool, target_id: str) -> None:
    """Release the slot of a request that has ended."""
    target = pool.targets[target_id]
    target.in_use -= 1
    _reindex(pool, target)
    _remove_if_idle(pool, target)


def abandon_slot(pool: TargetPool, target_id: str, *, until: float) -> None:
    """Mark the slot of a request that may still be running as unaccounted."""
    target = pool.targets[target_id]
    target.in_use -= 1
    heapq.heappush(target.unaccounted, until)
    _reindex(pool, target)


def set_unaccounted(
    pool: TargetPool, target_id: str, *, times: list[float]
) -> None:
    """Replace the times from which unaccounted slots count as free."""
    target = pool.targets.get(target_id)
    if target is None:
        return
    target.unaccounted = sorted(times)
    _reindex(pool, target)


def free_unaccounted(pool: TargetPool, target_id: str, *, count: int) -> None:
    """Free unaccounted slots that are now known to be free."""
    target = pool.targets.get(target_id)
    if target is None:
        return
    for _ in range(min(count, len(target.unaccounted))):
        heapq.heappop(target.unaccounted)
    _reindex(pool, target)


def expire(pool: TargetPool, now: float) -> None:
    """Free unaccounted slots whose time has passed and allow due probes."""
    for target in list(pool.targets.values()):
        changed = False
        while target.unaccounted and target.unaccounted[0] <= now:
            heapq.heappop(target.unaccounted)
            changed = True
        if 0 < target.ejected_until <= now and not target.probing:
            changed = True
        if changed:
            _reindex(pool, target, now=now)
            _remove_if_idle(pool, target)


def record_outcome(
    pool: TargetPool,
    target_id: str,
    *,
    succeeded: bool,
    policy: config_module.ServiceConfig,
    now: float,
) -> bool:
    """Record an outcome and eject the target if it fails too often.

    Returns
    -------
    bool
        Whether this outcome caused the ejection of the target.
    """
    target = pool.targets.get(target_id)
    if target is None:
        return False
    target.outcomes += 1
    target.failure_ratio += OUTCOME_WEIGHT * (
        (0.0 if succeeded else 1.0) - target.failure_ratio
    )
    if target.probing:
        target.probing = False
        target.ejected_until = 0.0 if succeeded else now + policy.eject_s
        target.failure_ratio = 0.0
        target.outcomes = 0
        _reindex(pool, target, now=now)
        return not succeeded
    if (
        target.ejected_until
        or target.outcomes < MINIMUM_OUTCOMES
        or target.failure_ratio <= policy.eject_failure_ratio
        or not _may_eject_another(pool)
    ):
        return False
    target.ejected_until = now + policy.eject_s
    _reindex(pool, target, now=now)
    return True


def residual(pool: TargetPool, *, until: float) -> dict[str, list[float]]:
    """Return by target the times from which its occupied slots are free.

    Parameters
    ----------
    pool : TargetPool
        The shard's targets.
    until : float
        Latest time at which the requests in flight end.
    """
    return {
        target.target_id: sorted(target.unaccounted + [until] * target.in_use)
        for target in pool.targets.values()
        if target.in_use or target.unaccounted
    }


def in_flight(pool: TargetPool) -> int:
    """Return the number of slots used by requests of this owner."""
    return sum(target.in_use for target in pool.targets.values())


def _usable_slots(instance: model.Instance) -> int:
    return min(instance.slots, instance.connections or instance.slots)


def _count_free_slots(target: Target, now: float | None) -> int:
    if target.leaving:
        return 0
    free = target.slots - target.in_use - len(target.unaccounted)
    if target.ejected_until:
        ready = now is not None and now >= target.ejected_until
        if target.probing or not ready:
            return 0
        return min(1, max(0, free))
    return max(0, free)


def _reindex(
    pool: TargetPool, target: Target, now: float | None = None
) -> None:
    free = _count_free_slots(target, now)
    if target.bucket:
        bucket = pool.buckets[target.bucket]
        bucket.pop(target.target_id, None)
        if not bucket:
            del pool.buckets[target.bucket]
    pool.free_slots += free - target.bucket
    target.bucket = free
    if free:
        pool.buckets.setdefault(free, collections.OrderedDict())[
            target.target_id
        ] = None


def _may_eject_another(pool: TargetPool) -> bool:
    usable = [each for each in pool.targets.values() if not each.leaving]
    ejected = sum(1 for each in usable if each.ejected_until)
    if len(usable) < 2:
        return False
    return ejected + 1 <= max(1, int(len(usable) * MAXIMUM_EJECTED_SHARE))


def _remove_if_idle(pool: TargetPool, target: Target) -> None:
    if target.gone and not target.in_use and not target.unaccounted:
        del pool.targets[target.target_id]
