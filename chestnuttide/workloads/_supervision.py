"""Handles priorities, stalled runs, draining workers and fillers."""

import collections.abc
import math

from chestnuttide.workloads import _expectations
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _run_observations
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A run counts as hung if it has made no progress for this many seconds, for
# this share of its task's estimate, and for this multiple of the time that a
# percent of it has taken. Workers list whole percents, and a task may take 13
# times its estimate: 6.5 times on a slow worker, and twice that far from its
# data.
STALL_S = 2.0
STALL_ESTIMATE_SHARE = 0.15
STALL_FACTOR = 6.0

# Share of the runs of a learned kind that take less than the time that stands
# for the estimate where it is longer.
STALL_LEARNED_SHARE = 0.9

# The limit doubles with each run of the unit that was stopped, as estimates
# may be wrong by any factor. This is the highest power of two.
MAX_STALL_DOUBLINGS = 12

# Longest time that a long-running task takes to start serving.
STARTUP_S = 4.0

# Stalled runs after which a worker is quarantined, and the duration of the
# quarantine. A unit that has stalled on one worker may be slow by itself, so
# its further stalls do not count.
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


def update_top_priority(
    pool: _state.Pool, configured: collections.abc.Iterable[int]
) -> None:
    """Update the priority that the reserve for urgent work is kept for.

    A waiting job counts with the priority it was accepted with: its queue may
    since have moved to another service or have left the configuration.

    Parameters
    ----------
    pool : Pool
        The pool.
    configured : iterable of int
        Priorities of the queues that name the pool's service.
    """
    waiting = (
        job.spec.queue.priority
        for job in pool.active.values()
        if any(progress.waiting for progress in job.steps.values())
    )
    pool.top_priority = min((*configured, *waiting), default=0)


def find_stalled(pool: _state.Pool, *, now: float) -> list[_state.Run]:
    """Return runs without progress on workers that answer."""
    stalled = []
    for worker in pool.workers.values():
        if worker.failed_polls or not worker.last_reply_at:
            continue
        for run in worker.runs.values():
            if _is_stalled(pool, run, worker, now):
                stalled.append(run)
    return stalled


def _is_stalled(
    pool: _state.Pool, run: _state.Run, worker: _state.Worker, now: float
) -> bool:
    if run.stopping or run.phase != _state.Phase.RUNNING:
        return False
    step = _lifecycle.step_of(run.unit, run.job)
    if any(each.phase != _state.Phase.RUNNING for each in run.unit.runs):
        return False
    # A gang works only once its last member has started. Progress is only
    # known up to the last poll reply.
    since = max(
        _last_progress_at(run), *(each.confirmed_at for each in run.unit.runs)
    )
    stalled_s = worker.last_reply_at - since
    if step.lasting:
        # A throttled or slowed task is not hung; only one that never served.
        limit_s = STARTUP_S if run.percent < 100 else math.inf
    elif step.filler and run.speed_percent < 100:
        limit_s = math.inf
    else:
        limit_s = _estimated_stall_limit_s(run, step)
    factor = 2 ** min(run.unit.stalls, MAX_STALL_DOUBLINGS)
    if stalled_s <= limit_s * factor:
        return False
    if step.lasting:
        return True
    # A learned limit costs a quantile, and few runs get this far.
    return stalled_s > _stall_limit_s(pool, run, step, now) * factor


def _last_progress_at(run: _state.Run) -> float:
    """Return when a run, or those that it waits for, last made progress.

    A member of a gang that has done its work waits for the others.
    """
    if run.percent < 100:
        return run.progress_at
    return max(each.progress_at for each in run.unit.runs)


def _stall_limit_s(
    pool: _state.Pool, run: _state.Run, step: _specs.StepSpec, now: float
) -> float:
    """Return for how long a run may make no progress, in seconds.

    A learned kind raises the limit of tasks that take longer than estimated.
    It never lowers it, as a run that is stopped too soon is work lost.
    """
    learned_s = _expectations.long_run_s(
        pool, run, STALL_LEARNED_SHARE, now=now
    )
    return max(
        _estimated_stall_limit_s(run, step),
        STALL_ESTIMATE_SHARE * (learned_s or 0.0),
    )


def _estimated_stall_limit_s(run: _state.Run, step: _specs.StepSpec) -> float:
    elapsed_s = run.progress_at - run.confirmed_at
    average_percent_s = elapsed_s / max(run.percent, 1.0)
    return max(
        STALL_S,
        STALL_ESTIMATE_SHARE * step.estimate_s,
        STALL_FACTOR * max(average_percent_s, run.slowest_percent_s),
    )


def stop_stalled(pool: _state.Pool, run: _state.Run, *, now: float) -> None:
    """Stop a hung run, and quarantine its worker if it had several."""
    unit = run.unit
    unit.avoided.add(run.worker_key)
    worker = pool.workers[run.worker_key]
    if not unit.stalls:
        worker.stalls += 1
        _run_observations.record_stall(pool, run, worker, now=now)
        if worker.stalls >= QUARANTINE_STALLS:
            worker.quarantined_until = now + STALL_QUARANTINE_S
    if not run.stopping:
        # Several members of a gang may stall at once.
        unit.stalls += 1
    _lifecycle.stop_runs(pool, unit)


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
