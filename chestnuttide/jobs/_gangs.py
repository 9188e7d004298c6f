"""Gangs, whose tasks start all at once or not at all.

Workers are reserved for at most one gang at a time.
"""

from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement
from chestnuttide import queueing

# Seconds within which all members of a gang must be confirmed.
GANG_START_S = 3.0

# Minimum seconds between two plans of a reservation. A plan examines the
# expected end times of all attempts, which is too expensive for each decision.
PLAN_INTERVAL_S = 1.0


def need_of(record: _state.JobRecord) -> model.Resources:
    """Return the total need of a gang's tasks that are yet to start."""
    need = record.job.resources
    count = _state.pending(record)
    return model.Resources(
        cpu_millis=need.cpu_millis * count,
        memory_mb=need.memory_mb * count,
        accelerators=need.accelerators * count,
    )


def place(
    state: _state.PoolState,
    record: _state.JobRecord,
    excluded: set[str],
    now: float,
    out: list[object],
) -> int:
    """Start a whole gang if it fits now.

    Returns
    -------
    int
        Number of tasks started; 0 when the gang does not fit.
    """
    job = record.job
    count = _state.pending(record)
    worker_ids = placement.choose_gang(
        state.cell,
        need=job.resources,
        count=count,
        spread=_state.class_config(state, job).spread,
        excluded=excluded,
        now=now,
        use_reservation=placement.reserved_gang_key(state.cell) == job.job_id,
    )
    if worker_ids is None:
        _reserve(state, record, excluded, now)
        return 0
    queueing.cancel(state.queue, job.job_id)
    if placement.reserved_gang_key(state.cell) == job.job_id:
        placement.release_gang_reservation(state.cell)
    record.gang_serial += 1
    for worker_id in worker_ids:
        index = _backlog.pop_task(record)
        if index is not None:
            _reservations.start_attempt(
                state, record, index, worker_id, now, out
            )
    _timers.schedule(
        state,
        now + GANG_START_S,
        "gang_start",
        job.job_id,
        record.gang_serial,
    )
    return count


def on_start_timer(
    state: _state.PoolState,
    job_id: str,
    serial: int,
    now: float,
    out: list[object],
) -> None:
    """Abort a gang if some members were not confirmed in time."""
    record = state.jobs.get(job_id)
    if (
        record is None
        or record.gang_serial != serial
        or not _state.is_open(record)
    ):
        return
    if any(
        state.attempts[attempt].phase is _state.Phase.STARTING
        for attempt in record.live.values()
    ):
        _outcomes.abort_gang(state, record, now, out)


def on_backoff_timer(state: _state.PoolState, job_id: str) -> None:
    """Queue a gang again after its backoff."""
    record = state.jobs.get(job_id)
    if record is None or not _state.is_open(record):
        return
    for index in sorted(record.delayed):
        record.waiting[index] = None
    record.delayed = set()
    _backlog.enqueue(state, record)


def _reserve(
    state: _state.PoolState,
    record: _state.JobRecord,
    excluded: set[str],
    now: float,
) -> None:
    """Reserve workers for a gang, unless another gang has a reservation."""
    if (
        placement.reserved_gang_key(state.cell) is not None
        or now < state.next_gang_plan_at
        or now < record.next_reservation_at
    ):
        return
    limit_s = state.document.pool.gang_reservation_s
    state.next_gang_plan_at = now + PLAN_INTERVAL_S
    plan = placement.plan_gang_reservation(
        state.cell,
        need=record.job.resources,
        count=_state.pending(record),
        now=now,
        limit_s=limit_s,
        excluded=excluded,
    )
    if plan is None:
        return
    placement.reserve_for_gang(
        state.cell, plan=plan, key=record.job.job_id, now=now
    )
    # If this reservation does not help, other gangs may reserve before this
    # gang does so again.
    record.next_reservation_at = now + 2 * limit_s
