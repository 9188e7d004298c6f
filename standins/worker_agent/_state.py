"""State of a worker agent: running attempts, leases and recorded history.

The functions do no I/O and take the time as an argument. An attempt's end is
recorded with the time at which it was due, so the history is exact even when
the next call comes late.
"""

import json
import math
import typing

import attrs

from chestnuttide import model
from chestnuttide import platform
from chestnuttide.platform import _worker_agent_wire

# Seconds by which reported usage lags behind actual usage.
USAGE_LAG_S: typing.Final[float] = 1.0

# Run time of a task while `fail_all` is set, in seconds.
FAIL_ALL_RUN_S: typing.Final[float] = 0.01

# Remaining work at or below this many seconds counts as done, to absorb the
# rounding errors of summed floats.
_WORK_TOLERANCE_S: typing.Final[float] = 1e-6

TaskKey: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True)
class RunningAttempt:
    """A running attempt.

    Attributes
    ----------
    start : TaskStart
        The start request.
    started_at_s : float
        Start time.
    lease_expires_s : float
        Expiry of its lease, at which the worker stops it.
    work_s : float
        Run time at full speed in seconds; infinite for a service.
    fails : bool
        Whether it fails at its end.
    usage_share : float
        Share of its reserved resources that it uses.
    progress_s : float
        Work done until `progress_at_s`, in seconds at full speed.
    progress_at_s : float
        Time to which `progress_s` refers.
    share : float
        Share of its CPU time that it gets; below 1 when throttled.
    record : dict
        Its record in the history.
    """

    start: platform.TaskStart
    started_at_s: float
    lease_expires_s: float
    work_s: float
    fails: bool
    usage_share: float
    progress_s: float
    progress_at_s: float
    share: float = 1.0
    record: dict[str, typing.Any]


@attrs.define(kw_only=True)
class State:
    """State of one worker.

    Attributes
    ----------
    worker_id : str
        Instance id of the worker.
    capacity : Resources
        Resources that it offers.
    checkpoints : dict of TaskKey to float
        Progress of stopped tasks in seconds. The workers of a process share
        it, as if on network storage.
    wall_offset_s : float
        Offset from the clock of the arguments to time.time(), which the
        history uses.
    epoch : int
        Highest epoch seen.
    sequence : int
        Number of completions since the start or the last restart.
    running : dict of Attempt to RunningAttempt
        Running attempts.
    completions : dict of Attempt to AttemptReport
        Reports of ended attempts that are not acknowledged yet.
    seen_attempts : set of Attempt
        Attempts that were ever started or stopped here, so that a delayed
        start does not run one again.
    used : Resources
        Sum of the resources reserved by running attempts.
    peak : Resources
        Highest reserved amount of each resource so far.
    history : list of dict
        Start and end times of all attempts.
    faults : list of dict
        Requests that a correct scheduler never makes.
    stale_calls : int
        Number of calls with an old epoch, which a deposed owner may make.
    fail_all : bool
        Whether every started attempt fails.
    """

    worker_id: str
    capacity: model.Resources
    checkpoints: dict[TaskKey, float] = attrs.Factory(dict)
    wall_offset_s: float = 0.0
    epoch: int = 0
    sequence: int = 0
    running: dict[model.Attempt, RunningAttempt] = attrs.Factory(dict)
    completions: dict[model.Attempt, model.AttemptReport] = attrs.Factory(dict)
    seen_attempts: set[model.Attempt] = attrs.Factory(set)
    used: model.Resources = model.ZERO
    peak: model.Resources = model.ZERO
    history: list[dict[str, typing.Any]] = attrs.Factory(list)
    faults: list[dict[str, typing.Any]] = attrs.Factory(list)
    stale_calls: int = 0
    fail_all: bool = False


def advance(state: State, now: float) -> None:
    """End attempts whose work is done or whose lease has expired."""
    while True:
        due = [
            (min(_completion_time(run), run.lease_expires_s), attempt)
            for attempt, run in state.running.items()
        ]
        due = [item for item in due if item[0] <= now]
        if not due:
            return
        ended_at_s, attempt = min(due, key=lambda item: item[0])
        run = state.running[attempt]
        if _completion_time(run) <= run.lease_expires_s:
            ended = (
                model.TaskState.FAILED
                if run.fails
                else model.TaskState.SUCCEEDED
            )
        else:
            ended = model.TaskState.LAPSED
        _end_attempt(state, attempt, ended, ended_at_s)


def next_end_time(state: State) -> float | None:
    """Return the next scheduled end of an attempt, or None."""
    due = min(
        (
            min(_completion_time(run), run.lease_expires_s)
            for run in state.running.values()
        ),
        default=math.inf,
    )
    return None if due == math.inf else due


def accept_epoch(state: State, epoch: int) -> bool:
    """Return whether an epoch is current, and record it if so."""
    if epoch < state.epoch:
        state.stale_calls += 1
        return False
    state.epoch = epoch
    return True


def start(
    state: State, call: _worker_agent_wire.StartCall, now: float
) -> list[platform.StartOutcome]:
    """Start attempts, each at most once."""
    advance(state, now)
    return [
        platform.StartOutcome(
            attempt=task.attempt,
            outcome=_start_attempt(state, task, call, now),
        )
        for task in call.starts
    ]


def sync(state: State, call: _worker_agent_wire.SyncCall, now: float) -> None:
    """Renew all leases and drop acknowledged completions."""
    advance(state, now)
    for run in state.running.values():
        run.lease_expires_s = now + call.lease_s
    for attempt in call.acknowledged:
        state.completions.pop(attempt, None)


def reports(state: State, now: float, known: str = "") -> platform.SyncResult:
    """Return reports of running attempts and unacknowledged completions.

    The reports are left out if their digest equals `known`.
    """
    advance(state, now)
    live = tuple(
        model.AttemptReport(
            attempt=attempt,
            state=model.TaskState.RUNNING,
            resources=run.start.resources,
            run_s=now - run.started_at_s,
            usage=_usage(run, now),
        )
        for attempt, run in state.running.items()
    )
    found = (*live, *state.completions.values())
    digest = _worker_agent_wire.digest_reports(found)
    return platform.SyncResult(
        sequence=state.sequence,
        reports=None if digest == known else found,
        digest=digest,
    )


def stop(state: State, call: _worker_agent_wire.StopCall, now: float) -> None:
    """Stop attempts, and reject delayed starts of attempts not seen yet."""
    advance(state, now)
    for attempt in call.tasks:
        state.seen_attempts.add(attempt)
        run = state.running.get(attempt)
        if run is None:
            continue
        if call.checkpoint:
            key = (attempt.job_id, attempt.index)
            state.checkpoints[key] = _progress(run, now)
        _end_attempt(state, attempt, model.TaskState.STOPPED, now)


def throttle(
    state: State, call: _worker_agent_wire.ThrottleCall, now: float
) -> None:
    """Limit attempts to a share of their CPU time."""
    advance(state, now)
    for attempt in call.tasks:
        run = state.running.get(attempt)
        if run is not None:
            run.progress_s = _progress(run, now)
            run.progress_at_s = now
            run.share = min(1.0, max(0.0, call.share))


def kill_all(state: State, now: float) -> None:
    """End all running attempts as failed."""
    advance(state, now)
    for attempt in list(state.running):
        _end_attempt(state, attempt, model.TaskState.FAILED, now)


def restart(state: State, now: float) -> None:
    """Simulate a reboot; only the recorded history is kept."""
    kill_all(state, now)
    state.completions.clear()
    state.seen_attempts.clear()
    state.epoch = 0
    state.sequence = 0


def evidence(state: State, now: float) -> dict[str, typing.Any]:
    """Return the history, the peak use and the observed faults."""
    advance(state, now)
    return {
        "worker_id": state.worker_id,
        "capacity": state.capacity,
        "used": state.used,
        "peak": state.peak,
        "epoch": state.epoch,
        "sequence": state.sequence,
        "running": len(state.running),
        "unacknowledged": len(state.completions),
        "faults": state.faults,
        "stale_calls": state.stale_calls,
        "overruns": sum(fault["fault"] == "overrun" for fault in state.faults),
        "history": state.history,
    }


def _start_attempt(
    state: State,
    task: platform.TaskStart,
    call: _worker_agent_wire.StartCall,
    now: float,
) -> str:
    attempt = task.attempt
    if attempt in state.running:
        return "running"
    if attempt in state.seen_attempts:
        return "ended"
    if now + state.wall_offset_s > call.expires_at:
        return "expired"
    concurrent = [
        other.number
        for other in state.running
        if (other.job_id, other.index) == (attempt.job_id, attempt.index)
    ]
    if concurrent:
        state.faults.append(
            {"fault": "double_run", "attempt": attempt, "live": concurrent}
        )
    free = model.subtract(state.capacity, state.used)
    if not model.fits(task.resources, free):
        state.faults.append(
            {
                "fault": "overrun",
                "attempt": attempt,
                "resources": task.resources,
                "free": free,
                "time": now + state.wall_offset_s,
            }
        )
        return "no_capacity"
    work_s, fails, usage_share = _plan_run(state, task.payload)
    record = {
        "job_id": attempt.job_id,
        "index": attempt.index,
        "number": attempt.number,
        "start": now + state.wall_offset_s,
        "end": None,
        "state": model.TaskState.RUNNING,
    }
    key = (attempt.job_id, attempt.index)
    state.running[attempt] = RunningAttempt(
        start=task,
        started_at_s=now,
        lease_expires_s=now + call.lease_s,
        work_s=work_s,
        fails=fails,
        usage_share=usage_share,
        progress_s=state.checkpoints.get(key, 0.0),
        progress_at_s=now,
        record=record,
    )
    state.seen_attempts.add(attempt)
    state.history.append(record)
    state.used = model.add(state.used, task.resources)
    state.peak = model.Resources(
        cpu_millis=max(state.peak.cpu_millis, state.used.cpu_millis),
        memory_mb=max(state.peak.memory_mb, state.used.memory_mb),
        accelerators=max(state.peak.accelerators, state.used.accelerators),
    )
    return "started"


def _plan_run(state: State, payload: bytes) -> tuple[float, bool, float]:
    """Return the work in seconds, whether it fails, and its usage share.

    A task with an invalid payload fails at once, like a program with wrong
    arguments.
    """
    if state.fail_all:
        return FAIL_ALL_RUN_S, True, 1.0
    try:
        fields = json.loads(payload)
        run_s = float(fields.get("run_s", 0.0)) or math.inf
        fail_after_s = float(fields.get("fail_after_s", 0.0))
        usage_share = float(fields.get("usage_share", 1.0))
    except (AttributeError, TypeError, ValueError):
        return 0.0, True, 1.0
    if 0 < fail_after_s <= run_s:
        return fail_after_s, True, usage_share
    if fields.get("fail", False):
        return 0.0 if run_s == math.inf else run_s, True, usage_share
    return run_s, False, usage_share


def _progress(run: RunningAttempt, now: float) -> float:
    return run.progress_s + (now - run.progress_at_s) * run.share


def _completion_time(run: RunningAttempt) -> float:
    remaining = run.work_s - run.progress_s
    if remaining <= _WORK_TOLERANCE_S:
        return run.progress_at_s
    return (
        run.progress_at_s + remaining / run.share
        if run.share > 0
        else math.inf
    )


def _end_attempt(
    state: State,
    attempt: model.Attempt,
    ended: model.TaskState,
    ended_at_s: float,
) -> None:
    run = state.running.pop(attempt)
    state.used = model.subtract(state.used, run.start.resources)
    run.record["end"] = ended_at_s + state.wall_offset_s
    run.record["state"] = ended
    if ended == model.TaskState.SUCCEEDED:
        state.checkpoints.pop((attempt.job_id, attempt.index), None)
    state.sequence += 1
    state.completions[attempt] = model.AttemptReport(
        attempt=attempt,
        state=ended,
        resources=run.start.resources,
        run_s=ended_at_s - run.started_at_s,
        usage=_usage(run, ended_at_s),
    )


def _usage(run: RunningAttempt, now: float) -> model.Resources:
    """Return the reported usage, which is initially the reservation."""
    if now - run.started_at_s < USAGE_LAG_S:
        return run.start.resources
    reserved, share = run.start.resources, run.usage_share
    return model.Resources(
        cpu_millis=round(reserved.cpu_millis * share * run.share),
        memory_mb=round(reserved.memory_mb * share),
        accelerators=reserved.accelerators,
    )
