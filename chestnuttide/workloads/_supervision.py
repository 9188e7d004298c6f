"""Handles stalled runs, draining workers and interference by fillers."""

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A run counts as hung if it has made no progress for this many seconds, and
# for this multiple of its average time per percent of progress.
STALL_S = 2.0
STALL_FACTOR = 6.0

# Longest time that a long-running task takes to start serving.
STARTUP_S = 4.0

# Stalled runs after which a worker is quarantined, and the duration of the
# quarantine.
QUARANTINE_STALLS = 2
STALL_QUARANTINE_S = 6.0

# Fillers are throttled while a serving task on their worker has reached this
# share of its latency target. Below the lower share their speed is raised by
# UNTHROTTLE_STEP_PERCENT at a time.
THROTTLE_FROM_SHARE = 0.85
UNTHROTTLE_BELOW_SHARE = 0.6
UNTHROTTLE_STEP_PERCENT = 10

# Margin for moving checkpointable runs off a draining worker before it
# leaves, in addition to the time that a stop takes.
EVACUATION_MARGIN_S = 0.3


def find_stalled(pool: _state.Pool, *, now: float) -> list[_state.Run]:
    """Return runs without progress on workers that answer."""
    stalled = []
    for worker in pool.workers.values():
        if worker.failed_polls or not worker.last_reply_at:
            continue
        for run in worker.runs.values():
            if _is_stalled(run, worker, now):
                stalled.append(run)
    return stalled


def _is_stalled(run: _state.Run, worker: _state.Worker, now: float) -> bool:
    if run.stopping or run.phase != _state.Phase.RUNNING:
        return False
    step = _lifecycle.step_of(run.unit, run.job)
    # Progress is only known up to the last poll reply.
    stalled_s = worker.last_reply_at - run.progress_at
    if step.lasting:
        # A throttled or slowed task is not hung; only one that never served.
        return run.percent < 100 and stalled_s > STARTUP_S
    if step.filler and run.speed_percent < 100:
        return False
    if any(each.phase != _state.Phase.RUNNING for each in run.unit.runs):
        return False
    elapsed_s = max(0.1, run.progress_at - run.confirmed_at)
    per_percent_s = elapsed_s / max(run.percent, 1.0)
    return stalled_s > max(STALL_S, STALL_FACTOR * per_percent_s)


def stop_stalled(pool: _state.Pool, run: _state.Run, *, now: float) -> None:
    """Stop a hung run, and quarantine its worker if it had several."""
    run.unit.avoided.add(run.worker_key)
    worker = pool.workers[run.worker_key]
    worker.stalls += 1
    if worker.stalls >= QUARANTINE_STALLS:
        worker.quarantined_until = now + STALL_QUARANTINE_S
    _lifecycle.stop_runs(pool, run.unit)


def evacuate(
    pool: _state.Pool, *, now: float, stop_s: float
) -> list[_state.Run]:
    """Stop the runs that should move off draining workers, and return them.

    Long-running tasks move at once. Checkpointable tasks continue until just
    before the worker leaves, in case they finish earlier.
    """
    moved = []
    for worker in pool.workers.values():
        if not worker.report.draining:
            continue
        leaves_at = worker.draining_since + worker.report.remaining_s
        for run in worker.runs.values():
            if run.stopping or run.phase != _state.Phase.RUNNING:
                continue
            step = _lifecycle.step_of(run.unit, run.job)
            stop_at = leaves_at - stop_s - EVACUATION_MARGIN_S
            if step.lasting or (step.checkpointable and now >= stop_at):
                moved.append(run)
    for run in moved:
        _lifecycle.stop_runs(pool, run.unit)
    return moved


def throttle_fillers(worker: _state.Worker) -> list[_state.Run]:
    """Throttle fillers by the latency of serving tasks on their worker.

    Returns
    -------
    list of Run
        Fillers whose new speed has to be sent to the worker.
    """
    latency_share = 0.0
    fillers = []
    for run in worker.runs.values():
        if run.phase != _state.Phase.RUNNING or run.stopping:
            continue
        step = _lifecycle.step_of(run.unit, run.job)
        if step.filler:
            fillers.append(run)
        elif step.latency_target_ms > 0:
            latency_share = max(latency_share, _latency_share(run, step))
    for run in fillers:
        if latency_share >= THROTTLE_FROM_SHARE:
            run.speed_percent = (
                run.speed_percent // 2 if latency_share < 1.0 else 0
            )
        elif latency_share < UNTHROTTLE_BELOW_SHARE:
            run.speed_percent = min(
                100, run.speed_percent + UNTHROTTLE_STEP_PERCENT
            )
    return [
        run for run in fillers if run.speed_percent != run.sent_speed_percent
    ]


def _latency_share(run: _state.Run, step: _specs.StepSpec) -> float:
    if run.percent < 100:
        return 0.0
    return run.latency_ms_or_cpu / step.latency_target_ms
