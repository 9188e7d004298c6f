"""Eviction of lower-priority work, and the claims that wait for it.

A claim is an attempt that waits on a worker until evictions free the capacity
that it needs.
"""

from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement

# Seconds for which a claim waits for evictions, which may include checkpoints.
CLAIM_LIMIT_S = 30.0

# Maximum number of searches for victims per task. A search is repeated if its
# victims would leave a service below its minimum.
MAX_VICTIM_CHOICES = 3

# Share of its processor time that a throttled attempt keeps, and the duration
# of the throttling in seconds.
THROTTLE_SHARE = 0.5
THROTTLE_S = 10.0

# Seconds between two checks for overcommitted or leaving workers.
RELIEF_INTERVAL_S = 1.0

# Maximum number of attempts moved off leaving workers per check.
MOVES_PER_ROUND = 32


def may_preempt(record: _state.JobRecord) -> bool:
    """Return whether a job's tasks may evict others; gangs only wait."""
    return not _state.is_gang(record) and _state.priority(record) > 0


def preempt(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
) -> bool:
    """Evict lower-priority work for the next task of a job.

    The task claims the worker. Capacity that the victims free is reserved for
    it as they end, and it starts once its whole need is reserved.

    Returns
    -------
    bool
        Whether victims were found.
    """
    victims = _choose_victims(state, record, now)
    if victims is None:
        return False
    worker_id, attempts = victims
    index = _backlog.pop_task(record)
    if index is None:
        return False
    attempt_record = _reservations.start_attempt(
        state, record, index, worker_id, now, out, claimed=True
    )
    state.claims[attempt_record.attempt] = now + CLAIM_LIMIT_S
    state.workers[worker_id].claims[attempt_record.attempt] = None
    _timers.schedule(
        state, now + CLAIM_LIMIT_S, "claim", attempt_record.attempt
    )
    for attempt in attempts:
        victim = state.attempts[attempt]
        policy = _state.class_config(state, state.jobs[attempt.job_id].job)
        _reservations.stop(
            state, victim, now, out, checkpoint=policy.checkpoint
        )
    state.freed[worker_id] = None
    return True


def fill_claims(
    state: _state.PoolState, now: float, out: list[object]
) -> list[str]:
    """Reserve freed capacity for claims, before other work can use it.

    Returns
    -------
    list of str
        The workers on which capacity was freed.
    """
    freed = state.freed
    state.freed = {}
    for worker_id in freed:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        for attempt in list(worker.claims):
            _fill_claim(state, worker, state.attempts[attempt], now, out)
    return list(freed)


def on_claim_timer(
    state: _state.PoolState, attempt: model.Attempt, now: float
) -> None:
    """Give up a claim that was not filled in time."""
    attempt_record = state.attempts.get(attempt)
    if (
        attempt_record is not None
        and attempt_record.phase is _state.Phase.CLAIMED
    ):
        _attempts.drop_claim(state, attempt_record, now)


def relieve(state: _state.PoolState, now: float, out: list[object]) -> None:
    """Relieve overcommitted workers, and drain leaving ones."""
    if now < state.next_relief_at:
        return
    state.next_relief_at = now + RELIEF_INTERVAL_S
    for relief in placement.relief_actions(state.cell):
        attempt_record = state.attempts.get(relief.attempt)
        if (
            attempt_record is None
            or attempt_record.phase is not _state.Phase.RUNNING
        ):
            continue
        if relief.action is placement.ReliefAction.THROTTLE:
            _throttle(state, attempt_record, THROTTLE_SHARE, out)
            _timers.schedule(
                state, now + THROTTLE_S, "unthrottle", attempt_record.attempt
            )
        else:
            _reservations.stop(
                state, attempt_record, now, out, checkpoint=relief.checkpoint
            )
    _drain_leaving(state, now, out)


def on_unthrottle_timer(
    state: _state.PoolState, attempt: model.Attempt, out: list[object]
) -> None:
    """End the throttling of an attempt."""
    attempt_record = state.attempts.get(attempt)
    if (
        attempt_record is not None
        and attempt_record.phase is _state.Phase.RUNNING
    ):
        _throttle(state, attempt_record, 1.0, out)


def _throttle(
    state: _state.PoolState,
    attempt_record: _state.AttemptRecord,
    share: float,
    out: list[object],
) -> None:
    """Throttle an attempt to a share of its processor time."""
    placement.mark_throttled(
        state.cell, attempt_record.attempt, throttled=share < 1.0
    )
    out.append(
        _messages.ThrottleTask(
            worker_id=attempt_record.worker_id,
            attempt=attempt_record.attempt,
            share=share,
        )
    )


def _choose_victims(
    state: _state.PoolState, record: _state.JobRecord, now: float
) -> tuple[str, list[model.Attempt]] | None:
    """Choose victims without leaving any service below its minimum."""
    protected = set(state.ending)
    for _ in range(MAX_VICTIM_CHOICES):
        found = placement.choose_victims(
            state.cell,
            need=record.job.resources,
            priority=_state.priority(record),
            now=now,
            excluded=state.unavailable_workers,
            protected=protected,
        )
        if found is None:
            return None
        spared = _needed_for_minimum(state, found[1])
        if not spared:
            return found
        protected.update(spared)
    return None


def _needed_for_minimum(
    state: _state.PoolState, attempts: list[model.Attempt]
) -> list[model.Attempt]:
    """Return the attempts that a service needs to stay at its minimum."""
    needed = []
    stopped: dict[str, int] = {}
    for attempt in attempts:
        record = state.jobs[attempt.job_id]
        if not _state.is_service(record):
            continue
        count = stopped[attempt.job_id] = stopped.get(attempt.job_id, 0) + 1
        minimum = _state.class_config(state, record.job).minimum_up
        if _running_count(state, record) - count < minimum:
            needed.append(attempt)
    return needed


def _running_count(state: _state.PoolState, record: _state.JobRecord) -> int:
    """Return the number of running tasks of a job."""
    return sum(
        state.attempts[attempt].phase is _state.Phase.RUNNING
        for attempt in record.live.values()
    )


def _fill_claim(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    attempt_record: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Reserve free capacity for a claim, and start it once it is complete."""
    record = state.jobs[attempt_record.attempt.job_id]
    placement.release(state.cell, attempt_record.attempt)
    worker_id = attempt_record.worker_id
    if (
        worker.instance.state is not model.InstanceState.LIVE
        or worker_id in state.unavailable_workers
        or not _attempts.may_send_starts(state)
    ):
        _attempts.drop_claim(state, attempt_record, now)
        return
    free = placement.free_of(state.cell, worker_id)
    amount = model.Resources(
        cpu_millis=max(
            0, min(free.cpu_millis, attempt_record.need.cpu_millis)
        ),
        memory_mb=max(0, min(free.memory_mb, attempt_record.need.memory_mb)),
        accelerators=max(
            0, min(free.accelerators, attempt_record.need.accelerators)
        ),
    )
    complete = amount == attempt_record.need
    if complete:
        attempt_record.phase = _state.Phase.STARTING
    try:
        _reservations.reserve(state, record, attempt_record, amount)
    except (
        placement.CapacityError,
        placement.WorkerUnavailableError,
    ):
        # The worker was ejected, or another dimension exceeds its capacity.
        attempt_record.phase = _state.Phase.CLAIMED
        if placement.is_ejected(state.cell, worker_id):
            _attempts.drop_claim(state, attempt_record, now)
        return
    if complete:
        _reservations.launch(state, record, attempt_record, now, out)


def _drain_leaving(
    state: _state.PoolState, now: float, out: list[object]
) -> None:
    """Stop work on leaving workers that can continue elsewhere.

    Tasks of a service are moved while enough of its other tasks are running.
    Work that can be checkpointed is moved immediately. Other work runs to its
    end.
    """
    budget = MOVES_PER_ROUND
    for worker_id in state.leaving:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        for attempt in list(worker.attempts):
            attempt_record = state.attempts[attempt]
            if attempt_record.phase is not _state.Phase.RUNNING:
                continue
            record = state.jobs[attempt.job_id]
            if _state.is_gang(record):
                continue
            policy = _state.class_config(state, record.job)
            if _state.is_service(record):
                running = _running_count(state, record)
                # If all tasks of a service must stay up, they are moved one
                # at a time.
                minimum = min(policy.minimum_up, record.job.tasks - 1)
                if running <= minimum:
                    continue
            elif not policy.checkpoint:
                continue
            _reservations.stop(
                state, attempt_record, now, out, checkpoint=policy.checkpoint
            )
            budget -= 1
            if budget == 0:
                return
