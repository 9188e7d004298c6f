"""Eviction of less important work, and the claims that wait for it."""

from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _holding
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement

# Seconds for which a claim waits for evictions; a checkpoint takes a while.
CLAIM_LIMIT_S = 30.0

# Choices of victims that are made anew because of a service's minimum.
CHOICES = 3

# Share of its processor time that a throttled attempt keeps, and the seconds
# for which it is throttled.
THROTTLE_SHARE = 0.5
THROTTLE_S = 10.0

# Seconds between two looks for overcommitted or leaving workers.
RELIEF_INTERVAL_S = 1.0

# Attempts that are moved off leaving workers per look.
MOVES_PER_LOOK = 32


def may_preempt(record: _state.JobRecord) -> bool:
    """Return whether a job's tasks evict others. Gangs wait instead."""
    return not _state.is_gang(record) and _state.priority(record) > 0


def preempt(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
) -> bool:
    """Evict less important work for the next task of a job.

    The task claims the worker: what the victims free is reserved for it as
    they end, and it starts when all of its need is reserved.

    Returns
    -------
    bool
        Whether victims were found.
    """
    victims = _choose(state, record, now)
    if victims is None:
        return False
    worker_id, attempts = victims
    index = _backlog.take_task(record)
    if index is None:
        return False
    held = _holding.begin(
        state, record, index, worker_id, now, out, claimed=True
    )
    state.claims[held.attempt] = now + CLAIM_LIMIT_S
    state.workers[worker_id].claims[held.attempt] = None
    _timers.schedule(state, now + CLAIM_LIMIT_S, "claim", held.attempt)
    for attempt in attempts:
        victim = state.attempts[attempt]
        policy = _state.class_config(state, state.jobs[attempt.job_id].job)
        _holding.stop(state, victim, now, out, checkpoint=policy.checkpoint)
    state.freed[worker_id] = None
    return True


def serve_claims(
    state: _state.PoolState, now: float, out: list[object]
) -> list[str]:
    """Reserve what was freed for the claims on it, before anything else.

    Returns
    -------
    list of str
        The workers on which room was freed.
    """
    freed = state.freed
    state.freed = {}
    for worker_id in freed:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        for attempt in list(worker.claims):
            _serve(state, worker, state.attempts[attempt], now, out)
    return list(freed)


def on_claim_timer(
    state: _state.PoolState, attempt: model.Attempt, now: float
) -> None:
    """Give up a claim whose victims did not end in time."""
    held = state.attempts.get(attempt)
    if held is not None and held.phase is _state.Phase.CLAIMED:
        _attempts.drop_claim(state, held, now)


def relieve(state: _state.PoolState, now: float, out: list[object]) -> None:
    """Throttle or evict work on overcommitted workers; empty leaving ones."""
    if now < state.relief_at:
        return
    state.relief_at = now + RELIEF_INTERVAL_S
    for relief in placement.overcommitted(state.cell):
        held = state.attempts.get(relief.attempt)
        if held is None or held.phase is not _state.Phase.RUNNING:
            continue
        if relief.action is placement.ReliefAction.THROTTLE:
            _throttle(state, held, THROTTLE_SHARE, out)
            _timers.schedule(
                state, now + THROTTLE_S, "unthrottle", held.attempt
            )
        else:
            _holding.stop(state, held, now, out, checkpoint=relief.checkpoint)
    _empty_leaving(state, now, out)


def on_unthrottle_timer(
    state: _state.PoolState, attempt: model.Attempt, out: list[object]
) -> None:
    """End the throttling of an attempt."""
    held = state.attempts.get(attempt)
    if held is not None and held.phase is _state.Phase.RUNNING:
        _throttle(state, held, 1.0, out)


def _throttle(
    state: _state.PoolState,
    held: _state.AttemptRecord,
    share: float,
    out: list[object],
) -> None:
    """Limit the processor time of an attempt."""
    placement.mark_throttled(state.cell, held.attempt, throttled=share < 1.0)
    out.append(
        _messages.ThrottleTask(
            worker_id=held.worker_id, attempt=held.attempt, share=share
        )
    )


def _choose(
    state: _state.PoolState, record: _state.JobRecord, now: float
) -> tuple[str, list[model.Attempt]] | None:
    """Choose victims that leave every service its minimum."""
    protected = set(state.ending)
    for _ in range(CHOICES):
        found = placement.choose_victims(
            state.cell,
            need=record.job.resources,
            priority=_state.priority(record),
            now=now,
            excluded=state.shut,
            protected=protected,
        )
        if found is None:
            return None
        spared = _needed_up(state, found[1])
        if not spared:
            return found
        protected.update(spared)
    return None


def _needed_up(
    state: _state.PoolState, attempts: list[model.Attempt]
) -> list[model.Attempt]:
    """Return the attempts whose end would leave a service below minimum."""
    needed = []
    stopped: dict[str, int] = {}
    for attempt in attempts:
        record = state.jobs[attempt.job_id]
        if not _state.is_service(record):
            continue
        count = stopped[attempt.job_id] = stopped.get(attempt.job_id, 0) + 1
        minimum = _state.class_config(state, record.job).minimum_up
        if _up(state, record) - count < minimum:
            needed.append(attempt)
    return needed


def _up(state: _state.PoolState, record: _state.JobRecord) -> int:
    """Return the number of a job's tasks that run."""
    return sum(
        state.attempts[attempt].phase is _state.Phase.RUNNING
        for attempt in record.live.values()
    )


def _serve(
    state: _state.PoolState,
    worker: _state.WorkerRecord,
    held: _state.AttemptRecord,
    now: float,
    out: list[object],
) -> None:
    """Reserve as much of a claim as is free; start it when that is all."""
    record = state.jobs[held.attempt.job_id]
    placement.release(state.cell, held.attempt)
    worker_id = held.worker_id
    if (
        worker.instance.state is not model.InstanceState.LIVE
        or worker_id in state.shut
        or not _attempts.may_send(state)
    ):
        _attempts.drop_claim(state, held, now)
        return
    free = placement.free_of(state.cell, worker_id)
    amount = model.Resources(
        cpu_millis=max(0, min(free.cpu_millis, held.need.cpu_millis)),
        memory_mb=max(0, min(free.memory_mb, held.need.memory_mb)),
        accelerators=max(0, min(free.accelerators, held.need.accelerators)),
    )
    whole = amount == held.need
    if whole:
        held.phase = _state.Phase.STARTING
    try:
        _holding.reserve(state, record, held, amount)
    except (
        placement.CapacityError,
        placement.WorkerUnavailableError,
    ):
        # The worker was ejected, or is over capacity in another dimension.
        held.phase = _state.Phase.CLAIMED
        if placement.is_ejected(state.cell, worker_id):
            _attempts.drop_claim(state, held, now)
        return
    if whole:
        _holding.launch(state, record, held, now, out)


def _empty_leaving(
    state: _state.PoolState, now: float, out: list[object]
) -> None:
    """Stop work on leaving workers that can go on elsewhere.

    Services move while enough of their tasks stay up, and work that can be
    checkpointed moves at once. Other work is left to end by itself.
    """
    budget = MOVES_PER_LOOK
    for worker_id in state.leaving:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        for attempt in list(worker.attempts):
            held = state.attempts[attempt]
            if held.phase is not _state.Phase.RUNNING:
                continue
            record = state.jobs[attempt.job_id]
            if _state.is_gang(record):
                continue
            policy = _state.class_config(state, record.job)
            if _state.is_service(record):
                up = _up(state, record)
                # A service of which all tasks must stay up is moved one task
                # at a time.
                minimum = min(policy.minimum_up, record.job.tasks - 1)
                if up <= minimum:
                    continue
            elif not policy.checkpoint:
                continue
            _holding.stop(state, held, now, out, checkpoint=policy.checkpoint)
            budget -= 1
            if budget == 0:
                return
