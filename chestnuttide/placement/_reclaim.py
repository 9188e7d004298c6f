"""Capacity that is reserved and not used, lent to work that can yield it.

Reported usage lags, so each attempt is charged the decaying peak of its usage
with a margin, and its whole reservation until enough samples are in.
"""

import enum

import attrs

from chestnuttide import model
from chestnuttide.placement import _errors
from chestnuttide.placement import _ranking
from chestnuttide.placement import _state

# Samples before an attempt's usage counts for less than its reservation. A
# task that has just started has not reached its usual usage yet.
MIN_SAMPLES = 5

# Share of the peak that is kept from one sample to the next.
PEAK_DECAY = 0.9

# Usage is charged with this factor, because it lags behind the truth.
USAGE_MARGIN = 1.25

# Share of a worker's capacity that is never lent.
HEADROOM_SHARE = 0.1

# Lent amounts are filed in steps of this share of the capacity, so that most
# usage samples do not move the worker in the ranking.
FILED_STEPS = 32

# Workers that are tried for one piece of reclaimed work. Lending is optional,
# so a bounded search is preferred to a complete one.
CANDIDATES = 32

# Samples after which a throttled attempt's usage is trusted again.
THROTTLE_SAMPLES = 2


class ReliefAction(enum.StrEnum):
    """What brings the usage of a worker down."""

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
        The attempt that yields.
    action : ReliefAction
        Whether it is throttled or evicted.
    checkpoint : bool
        Whether an evicted attempt is checkpointed first.
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
    cpu = _charge(
        reservation.need.cpu_millis, reservation.peak_cpu, reservation.samples
    )
    memory = _charge(
        reservation.need.memory_mb,
        reservation.peak_memory,
        reservation.samples,
    )
    worker.charged_cpu += cpu - reservation.charged_cpu
    worker.charged_memory += memory - reservation.charged_memory
    reservation.charged_cpu = cpu
    reservation.charged_memory = memory
    refresh(cell, worker)


def add_charge(worker: _state.Worker, reservation: _state.Reservation) -> None:
    """Charge a new reservation with its whole amount."""
    need = reservation.need
    reservation.used_cpu = reservation.charged_cpu = need.cpu_millis
    reservation.used_memory = reservation.charged_memory = need.memory_mb
    worker.charged_cpu += need.cpu_millis
    worker.charged_memory += need.memory_mb
    worker.used_cpu += need.cpu_millis
    worker.used_memory += need.memory_mb


def drop_charge(
    worker: _state.Worker, reservation: _state.Reservation
) -> None:
    """Take back what a reservation was charged."""
    worker.charged_cpu -= reservation.charged_cpu
    worker.charged_memory -= reservation.charged_memory
    worker.used_cpu -= reservation.used_cpu
    worker.used_memory -= reservation.used_memory


def refresh(cell: _state.Cell, worker: _state.Worker) -> None:
    """File a worker under what it can lend, and note whether it is over."""
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
        and worker.charged_cpu >= capacity.cpu_millis
    ):
        # The usual case: reserved in full, and usage not known yet.
        return
    entry: _ranking.Entry | None = None
    if (
        worker.charged_cpu < capacity.cpu_millis
        and worker.place is not None
        and not worker.held
        and worker.reservations
    ):
        cpu, memory = _lendable(worker)
        cpu_step = capacity.cpu_millis // FILED_STEPS or 1
        memory_step = capacity.memory_mb // FILED_STEPS or 1
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
    """Return what a worker can lend beyond its exact reservations.

    Accelerators are whole devices and are never lent; their number is that of
    the free ones.
    """
    worker = cell.workers.get(worker_id)
    if worker is None or worker.place is None or worker.held:
        return model.ZERO
    cpu, memory = _lendable(worker)
    return model.Resources(
        cpu_millis=cpu,
        memory_mb=memory,
        accelerators=worker.free_accelerators,
    )


def check_reclaimed(
    worker: _state.Worker,
    *,
    need: model.Resources,
    checkpoint: bool,
    throttle: bool,
) -> str:
    """Return why the worker cannot lend the need; empty if it can."""
    if not (checkpoint or throttle):
        return "the work can be neither throttled nor checkpointed"
    cpu, memory = _lendable(worker)
    if need.cpu_millis > cpu or need.memory_mb > memory:
        return "it exceeds what the worker can lend"
    if need.accelerators > worker.free_accelerators:
        return "accelerators are not lent"
    if not throttle and (
        worker.strict_cpu + need.cpu_millis > worker.capacity.cpu_millis
        or worker.strict_memory + need.memory_mb > worker.capacity.memory_mb
    ):
        return "work that cannot be throttled would exceed the capacity"
    if (
        not checkpoint
        and worker.pinned_memory + need.memory_mb > worker.capacity.memory_mb
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
    """Return a worker that can lend the need, or None.

    The worker with most to lend comes first, which spreads the risk of a rise
    in usage. At most `CANDIDATES` workers are tried.

    Parameters
    ----------
    cell : Cell
        The cell; it is not changed.
    need : Resources
        What the work needs.
    checkpoint, throttle : bool
        Whether it can be checkpointed or throttled; at least one is required.
    excluded : set of str
        Workers that are left out.
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
        if not check_reclaimed(
            worker, need=need, checkpoint=checkpoint, throttle=throttle
        ):
            return worker_id
        tried += 1
        if tried == CANDIDATES:
            return None
    return None


def mark_throttled(
    cell: _state.Cell, attempt: model.Attempt, *, throttled: bool
) -> None:
    """Note that an attempt was throttled, or is no longer."""
    reservation = cell.reservations.get(attempt)
    if reservation is not None:
        reservation.throttle_samples = 0 if throttled else -1


def overcommitted(cell: _state.Cell) -> list[Relief]:
    """Return the attempts to throttle or evict, the first to act on first.

    Only workers whose reported usage exceeds their capacity are named. Work on
    reclaimed capacity yields first, then work that uses more than it reserved.
    Processors are relieved by throttling; memory only by eviction. An attempt
    that was throttled and whose worker is still over capacity is evicted.
    """
    reliefs: list[Relief] = []
    for worker_id in cell.overcommitted:
        _relieve(cell.workers[worker_id], reliefs)
    return reliefs


def require_reclaimable(
    worker: _state.Worker,
    *,
    need: model.Resources,
    checkpoint: bool,
    throttle: bool,
) -> None:
    """Raise `CapacityError` if the worker cannot lend the need."""
    fault = check_reclaimed(
        worker, need=need, checkpoint=checkpoint, throttle=throttle
    )
    if fault:
        raise _errors.CapacityError(
            message=f"Worker {worker.worker_id} cannot lend {need}: {fault}.",
            remedy="Choose another worker.",
        )


def _charge(need: int, peak: float, samples: int) -> int:
    if samples < MIN_SAMPLES:
        return max(need, int(peak))
    if peak > need:
        return int(peak * USAGE_MARGIN)
    return min(need, int(peak * USAGE_MARGIN) + 1)


def _lendable(worker: _state.Worker) -> tuple[int, int]:
    """Return processors and memory that the worker can lend."""
    capacity = worker.capacity
    cpu = int(capacity.cpu_millis * (1 - HEADROOM_SHARE))
    memory = int(capacity.memory_mb * (1 - HEADROOM_SHARE))
    return (
        max(0, cpu - worker.charged_cpu),
        max(0, memory - worker.charged_memory),
    )


def _relieve(worker: _state.Worker, reliefs: list[Relief]) -> None:
    over_cpu = worker.used_cpu - worker.capacity.cpu_millis
    over_memory = worker.used_memory - worker.capacity.memory_mb
    # The use of a throttled attempt does not count until new samples are in.
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
        action = _relief_of(reservation, over_cpu, over_memory)
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


def _relief_of(
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
