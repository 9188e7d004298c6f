"""Runs that need attention: stalls, leaving workers, interference."""

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A run whose progress stands still for this long, and for this many times
# the time that it needed for one percent before, is taken as hung.
STALL_S = 2.0
STALL_PER_PERCENT = 6.0

# A lasting task begins to serve after a short startup.
STARTUP_S = 4.0

# Stalled runs after which a worker is set aside, and for how long.
STALLS_TO_SHUN = 2
STALL_SHUN_S = 6.0

# A serving task above this share of its target has its neighbours paced
# down; below the lower share they get some speed back.
PACE_DOWN_AT = 0.85
PACE_UP_BELOW = 0.6
PACE_UP_PERCENT = 10

# A checkpoint is taken this long before a draining worker leaves.
EVACUATION_MARGIN_S = 0.3


def find_stalled(pool: _state.Pool, *, now: float) -> list[_state.Run]:
    """Return runs that no longer progress although their worker answers."""
    stalled = []
    for worker in pool.workers.values():
        if worker.failed_looks or not worker.seen_at:
            continue
        for run in worker.runs.values():
            if _is_stalled(run, worker, now):
                stalled.append(run)
    return stalled


def _is_stalled(run: _state.Run, worker: _state.Worker, now: float) -> bool:
    if run.stopping or run.phase != _state.Phase.RUNNING:
        return False
    step = _lifecycle.step_of(run.unit, run.job)
    # The lists are as old as the last look.
    silent_s = worker.seen_at - run.progress_at
    if step.lasting:
        # A paced or disturbed task is not hung; only one that never came up.
        return run.percent < 100 and silent_s > STARTUP_S
    if step.filler and run.pace_percent < 100:
        return False
    if any(each.phase != _state.Phase.RUNNING for each in run.unit.runs):
        return False
    elapsed_s = max(0.1, run.progress_at - run.confirmed_at)
    per_percent_s = elapsed_s / max(run.percent, 1.0)
    return silent_s > max(STALL_S, STALL_PER_PERCENT * per_percent_s)


def stop_stalled(pool: _state.Pool, run: _state.Run, *, now: float) -> None:
    """Stop a hung run, and set its worker aside if it has several."""
    run.unit.avoided.add(run.worker_key)
    worker = pool.workers[run.worker_key]
    worker.stalls += 1
    if worker.stalls >= STALLS_TO_SHUN:
        worker.shunned_until = now + STALL_SHUN_S
    _lifecycle.stop_runs(pool, run.unit)


def evacuate(
    pool: _state.Pool, *, now: float, stop_s: float
) -> list[_state.Run]:
    """Stop what should move away from draining workers; return the runs.

    Lasting tasks move at once. Checkpointable ones go on until just before
    the worker leaves, unless they end before.
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
            last_call = leaves_at - stop_s - EVACUATION_MARGIN_S
            if step.lasting or (step.checkpointable and now >= last_call):
                moved.append(run)
    for run in moved:
        _lifecycle.stop_runs(pool, run.unit)
    return moved


def pace_fillers(worker: _state.Worker) -> list[_state.Run]:
    """Set the speed of fillers from the latency of their neighbours.

    Returns
    -------
    list of Run
        Runs whose speed has to be sent to the worker.
    """
    load = 0.0
    fillers = []
    for run in worker.runs.values():
        if run.phase != _state.Phase.RUNNING or run.stopping:
            continue
        step = _lifecycle.step_of(run.unit, run.job)
        if step.filler:
            fillers.append(run)
        elif step.latency_target_ms > 0:
            load = max(load, _latency_share(run, step))
    for run in fillers:
        if load >= PACE_DOWN_AT:
            run.pace_percent = run.pace_percent // 2 if load < 1.0 else 0
        elif load < PACE_UP_BELOW:
            run.pace_percent = min(100, run.pace_percent + PACE_UP_PERCENT)
    return [run for run in fillers if run.pace_percent != run.paced_percent]


def _latency_share(run: _state.Run, step: _specs.StepSpec) -> float:
    if run.percent < 100:
        return 0.0
    return run.measure / step.latency_target_ms
