"""Reclaimed capacity: unused reservations, offered to interruptible work.

Interruptible work can be throttled or checkpointed when the owner needs its
reservation. Reported usage lags, so the usage of an attempt is estimated by a
decaying peak with a margin, and by its whole reservation until enough samples
were received.
"""

import enum

import attrs

from chestnuttide import model
from chestnuttide.placement import _errors
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state

# Number of samples before the usage estimate of an attempt may drop below its
# reservation. A task that has just started has not reached its usual usage.
MIN_SAMPLES = 5

# Factor by which the peak usage decays from one sample to the next.
PEAK_DECAY = 0.9

# Factor between peak usage and estimate, because reported usage lags.
USAGE_MARGIN = 1.25

# Share of the capacity of a worker that is never reclaimed.
HEADROOM_SHARE = 0.1

# Number of steps of the capacity to which reclaimable amounts are rounded, so
# that most usage samples do not move the worker in the ranking.
RANKING_STEPS = 32

# Number of workers that are tried per placement on reclaimed capacity. Such
# placements are optional, so a bounded search is preferred to a complete one.
CANDIDATE_WORKERS = 32

# Number of samples after which the usage of a throttled attempt counts again.
THROTTLE_SAMPLES = 2


class ReliefAction(enum.StrEnum):
    """Action that reduces the usage of a worker."""

    THROTTLE = "throttle"
    EVICT = "evict"


@attrs.frozen(kw_only=True, slots=True)
class Relief:
    """An attempt to throttle or evict on an overcommitted worker.

    Attributes
    ----------
    worker_id : str
        The overcommitted worker.
    attempt : Attempt
        The attempt to act on.
    action : ReliefAction
        Whether to throttle or evict it.
    checkpoint : bool
        Whether to checkpoint the attempt before an eviction.
    """

    worker_id: str
    attempt: model.Attempt
    action: ReliefAction
    checkpoint: bool


def record_usage(
    cell: _state.Cell,
    attempt: model.Attempt,
    usage: model.Resources,
    now: float,
) -> None:
    """Record a usage sample; samples of unknown attempts are ignored."""
    reservation = cell.reservations.get(attempt)
    if reservation is None:
        return
    worker = cell.workers[reservation.worker_id]
    cell.now = max(cell.now, now)
    reservation.samples += 1
    if reservation.throttle_samples >= 0:
        reservation.throttle_samples += 1
    reservation.peak_cpu = max(
        usage.cpu_millis, reservation.peak_cpu * PEAK_DECAY
    )
    reservation.peak_memory = max(
        usage.memory_mb, reservation.peak_memory * PEAK_DECAY
    )
    worker.used_cpu += usage.cpu_millis - reservation.used_cpu
    worker.used_memory += usage.memory_mb - reservation.used_memory
    reservation.used_cpu = usage.cpu_millis
    reservation.used_memory = usage.memory_mb
    cpu = _estimate_usage(
        reservation.need.cpu_millis, reservation.peak_cpu, reservation.samples
    )
    memory = _estimate_usage(
        reservation.need.memory_mb,
        reservation.peak_memory,
        reservation.samples,
    )
    worker.estimated_cpu += cpu - reservation.estimated_cpu
    worker.estimated_memory += memory - reservation.estimated_memory
    reservation.estimated_cpu = cpu
    reservation.estimated_memory = memory
    refresh(cell, worker)


def add_usage(worker: _state.Worker, reservation: _state.Reservation) -> None:
    """Count a new reservation in full as usage of its worker."""
    need = reservation.need
    reservation.used_cpu = reservation.estimated_cpu = need.cpu_millis
    reservation.used_memory = reservation.estimated_memory = need.memory_mb
    worker.estimated_cpu += need.cpu_millis
    worker.estimated_memory += need.memory_mb
    worker.used_cpu += need.cpu_millis
    worker.used_memory += need.memory_mb


def remove_usage(
    worker: _state.Worker, reservation: _state.Reservation
) -> None:
    """Subtract a reservation from the usage of its worker."""
    worker.estimated_cpu -= reservation.estimated_cpu
    worker.estimated_memory -= reservation.estimated_memory
    worker.used_cpu -= reservation.used_cpu
    worker.used_memory -= reservation.used_memory


def refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    """Update the ranking by reclaimable capacity and the overcommitted set."""
    capacity = worker.capacity
    worker_id = worker.worker_id
    if (
        worker.used_cpu > capacity.cpu_millis
        or worker.used_memory > capacity.memory_mb
    ):
        cell.overcommitted[worker_id] = None
    elif cell.overcommitted:
        cell.overcommitted.pop(worker_id, None)
    if (
        worker.reclaim_entry is None
        and worker.estimated_cpu >= capacity.cpu_millis
    ):
        # Common case: fully reserved, and usage is not known yet.
        return
    entry: _ranking.Entry | None = None
    if (
        worker.estimated_cpu < capacity.cpu_millis
        and worker.position is not None
        and not worker.reserved_for_gang
        and worker.reservations
    ):
        cpu, memory = _reclaimable_amounts(worker)
        cpu_step = capacity.cpu_millis // RANKING_STEPS or 1
        memory_step = capacity.memory_mb // RANKING_STEPS or 1
        cpu -= cpu % cpu_step
        memory -= memory % memory_step
        if cpu > 0:
            entry = (cpu, memory, worker_id)
    if entry == worker.reclaim_entry:
        return
    if worker.reclaim_entry is not None:
        _ranking.remove(cell.reclaimable, worker.reclaim_entry)
    if entry is not None:
        _ranking.insert(cell.reclaimable, entry)
    worker.reclaim_entry = entry


def reclaimable(cell: _state.Cell, worker_id: str) -> model.Resources:
    """Return the capacity that can be reclaimed on a worker.

    Accelerators are never reclaimed, since they are whole devices; the
    returned number is that of the free ones.
    """
    worker = cell.workers.get(worker_id)
    if worker is None or worker.position is None or worker.reserved_for_gang:
        return model.ZERO
    cpu, memory = _reclaimable_amounts(worker)
    return model.Resources(
        cpu_millis=cpu,
        memory_mb=memory,
        accelerators=worker.free_accelerators,
    )


def reclaim_obstacle(
    worker: _state.Worker,
    *,
    need: model.Resources,
    checkpoint: bool,
    throttle: bool,
) -> str:
    """Return why a need cannot use reclaimed capacity; empty if it can."""
    if not (checkpoint or throttle):
        return "the work can be neither throttled nor checkpointed"
    cpu, memory = _reclaimable_amounts(worker)
    if need.cpu_millis > cpu or need.memory_mb > memory:
        return "it exceeds the reclaimable capacity"
    if need.accelerators > worker.free_accelerators:
        return "accelerators are not reclaimed"
    if not throttle and (
        worker.unthrottleable_cpu + need.cpu_millis
        > worker.capacity.cpu_millis
        or worker.unthrottleable_memory + need.memory_mb
        > worker.capacity.memory_mb
    ):
        return "work that cannot be throttled would exceed the capacity"
    if (
        not checkpoint
        and worker.uncheckpointable_memory + need.memory_mb
        > worker.capacity.memory_mb
    ):
        return "memory that cannot be checkpointed would exceed the capacity"
    return ""


def choose_reclaimed_worker(
    cell: _state.Cell,
    *,
    need: model.Resources,
    checkpoint: bool,
    throttle: bool,
    excluded: frozenset[str] | set[str],
    now: float,
) -> str | None:
    """Return a worker with enough reclaimable capacity, or None.

    Workers with the most reclaimable processors are tried first, which spreads
    the risk of a rise in usage, and at most `CANDIDATE_WORKERS` of them.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        Resources that the work needs.
    checkpoint, throttle : bool
        Whether it can be checkpointed or throttled; at least one is required.
    excluded : set of str
        Workers not to be considered.
    now : float
        Time in seconds.
    """
    if not (checkpoint or throttle):
        return None
    tried = 0
    for _cpu, _memory, worker_id in _ranking.descending(
        cell.reclaimable,
        primary=need.cpu_millis,
        secondary=need.memory_mb,
    ):
        if worker_id in excluded:
            continue
        worker = cell.workers[worker_id]
        if not reclaim_obstacle(
            worker, need=need, checkpoint=checkpoint, throttle=throttle
        ):
            return worker_id
        tried += 1
        if tried == CANDIDATE_WORKERS:
            return None
    return None


def mark_throttled(
    cell: _state.Cell, attempt: model.Attempt, *, throttled: bool
) -> None:
    """Record that an attempt was throttled, or no longer is."""
    reservation = cell.reservations.get(attempt)
    if reservation is not None:
        reservation.throttle_samples = 0 if throttled else -1


def relief_actions(cell: _state.Cell) -> list[Relief]:
    """Return the attempts to throttle or evict, in the order to act on them.

    They run on workers whose reported usage exceeds the capacity. Work on
    reclaimed capacity comes first, then work that uses more than it reserved.
    Processor usage is reduced by throttling, memory usage only by eviction. An
    attempt is evicted if it was throttled and its worker is still over
    capacity.
    """
    reliefs: list[Relief] = []
    for worker_id in cell.overcommitted:
        _append_reliefs(cell.workers[worker_id], reliefs)
    return reliefs


def require_reclaimable(
    worker: _state.Worker,
    *,
    need: model.Resources,
    checkpoint: bool,
    throttle: bool,
) -> None:
    """Raise `CapacityError` if a need cannot use reclaimed capacity."""
    obstacle = reclaim_obstacle(
        worker, need=need, checkpoint=checkpoint, throttle=throttle
    )
    if obstacle:
        raise _errors.CapacityError(
            message=(
                f"Worker {worker.worker_id} cannot reclaim capacity for"
                f" {need}: {obstacle}."
            ),
            remedy="Choose another worker.",
        )


def _estimate_usage(need: int, peak: float, samples: int) -> int:
    if samples < MIN_SAMPLES:
        return max(need, int(peak))
    if peak > need:
        return int(peak * USAGE_MARGIN)
    return min(need, int(peak * USAGE_MARGIN) + 1)


def _reclaimable_amounts(worker: _state.Worker) -> tuple[int, int]:
    """Return the processors and memory that can be reclaimed on a worker."""
    capacity = worker.capacity
    cpu = int(capacity.cpu_millis * (1 - HEADROOM_SHARE))
    memory = int(capacity.memory_mb * (1 - HEADROOM_SHARE))
    return (
        max(0, cpu - worker.estimated_cpu),
        max(0, memory - worker.estimated_memory),
    )


def _append_reliefs(worker: _state.Worker, reliefs: list[Relief]) -> None:
    over_cpu = worker.used_cpu - worker.capacity.cpu_millis
    over_memory = worker.used_memory - worker.capacity.memory_mb
    # The usage of a throttled attempt is ignored until it is reported anew.
    for reservation in worker.reservations.values():
        if 0 <= reservation.throttle_samples < THROTTLE_SAMPLES:
            over_cpu -= reservation.used_cpu
    candidates = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.reclaimed
        or reservation.used_cpu > reservation.need.cpu_millis
        or reservation.used_memory > reservation.need.memory_mb
    ]
    candidates.sort(
        key=lambda item: (
            not item.reclaimed,
            item.priority,
            item.urgent,
            -item.started,
            item.attempt.job_id,
            item.attempt.index,
        )
    )
    for reservation in candidates:
        if over_cpu <= 0 and over_memory <= 0:
            return
        action = _relief_action(reservation, over_cpu, over_memory)
        if action is None:
            continue
        if action is ReliefAction.EVICT:
            over_memory -= reservation.used_memory
        if not 0 <= reservation.throttle_samples < THROTTLE_SAMPLES:
            over_cpu -= reservation.used_cpu
        reliefs.append(
            Relief(
                worker_id=worker.worker_id,
                attempt=reservation.attempt,
                action=action,
                checkpoint=reservation.checkpoint,
            )
        )


def _relief_action(
    reservation: _state.Reservation, over_cpu: int, over_memory: int
) -> ReliefAction | None:
    may_evict = (
        reservation.reclaimed
        or reservation.checkpoint
        or reservation.preemptible
    )
    if over_memory > 0 and may_evict and reservation.used_memory > 0:
        return ReliefAction.EVICT
    if over_cpu <= 0 or reservation.used_cpu <= 0:
        return None
    if reservation.throttle and reservation.throttle_samples < 0:
        return ReliefAction.THROTTLE
    if 0 <= reservation.throttle_samples < THROTTLE_SAMPLES:
        return None
    return ReliefAction.EVICT if may_evict else None
