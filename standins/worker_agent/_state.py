"""A worker agent's state: running attempts, leases and evidence.

A pure part: the time is an argument. Every end of an attempt is dated at the
moment when it was due, so evidence is exact also when a call comes late.
"""

import json
import math
import typing

import attrs

from chestnuttide import model
from chestnuttide import platform
from chestnuttide.platform import _worker_agent_wire

# Seconds that usage lags behind what a task really uses.
USAGE_LAG_S: typing.Final[float] = 1.0

# Run time of a task on a worker that fails everything, in seconds.
FAIL_ALL_RUN_S: typing.Final[float] = 0.01

# Remainders of work below this many seconds count as done, because times are
# sums of floats.
_DONE_S: typing.Final[float] = 1e-6

TaskKey: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True)
class Running:
    """An attempt that is running.

    Attributes
    ----------
    start : TaskStart
        What was asked for.
    started : float
        Time of the start.
    lease_until : float
        Time at which the worker stops it unless renewed.
    work_s : float
        Seconds of full speed after which it ends; infinite for a service.
    fails : bool
        Whether it then ends as failed.
    usage_share : float
        Share of its resources that it uses.
    progress_s : float
        Seconds of full speed done up to `progress_at`.
    progress_at : float
        Time of `progress_s`.
    share : float
        Share of its processor time that it gets.
    record : dict
        Its entry in the history.
    """

    start: platform.TaskStart
    started: float
    lease_until: float
    work_s: float
    fails: bool
    usage_share: float
    progress_s: float
    progress_at: float
    share: float = 1.0
    record: dict[str, typing.Any]


@attrs.define(kw_only=True)
class State:
    """One worker.

    Attributes
    ----------
    worker_id : str
        Its instance id.
    capacity : Resources
        What it offers.
    checkpoints : dict of TaskKey to float
        Progress of stopped tasks in seconds, shared by the workers of a
        process, like a network disk.
    wall_offset_s : float
        Added to times for the history, which is in time.time().
    epoch : int
        Highest epoch seen.
    sequence : int
        Number of the last event.
    running : dict of Attempt to Running
        What is running.
    ended : dict of Attempt to AttemptReport
        Ended attempts that were not acknowledged.
    known : set of Attempt
        All attempts ever started or stopped here, so that a late start does
        not run one again.
    used : Resources
        Sum of the resources of what is running.
    peak : Resources
        Highest use so far, by dimension.
    history : list of dict
        Starts and ends of all attempts.
    faults : list of dict
        What a scheduler should never ask for.
    stale_calls : int
        Calls with an old epoch, which a deposed owner may make.
    fail_all : bool
        Whether everything that starts fails.
    """

    worker_id: str
    capacity: model.Resources
    checkpoints: dict[TaskKey, float] = attrs.Factory(dict)
    wall_offset_s: float = 0.0
    epoch: int = 0
    sequence: int = 0
    running: dict[model.Attempt, Running] = attrs.Factory(dict)
    ended: dict[model.Attempt, model.AttemptReport] = attrs.Factory(dict)
    known: set[model.Attempt] = attrs.Factory(set)
    used: model.Resources = model.ZERO
    peak: model.Resources = model.ZERO
    history: list[dict[str, typing.Any]] = attrs.Factory(list)
    faults: list[dict[str, typing.Any]] = attrs.Factory(list)
    stale_calls: int = 0
    fail_all: bool = False


def advance(state: State, now: float) -> None:
    """End the attempts that are done and those whose lease has lapsed."""
    while True:
        due = [
            (min(_done_at(run), run.lease_until), attempt)
            for attempt, run in state.running.items()
        ]
        due = [item for item in due if item[0] <= now]
        if not due:
            return
        when, attempt = min(due, key=lambda item: item[0])
        run = state.running[attempt]
        if _done_at(run) <= run.lease_until:
            ended = (
                model.TaskState.FAILED
                if run.fails
                else model.TaskState.SUCCEEDED
            )
        else:
            ended = model.TaskState.LAPSED
        _end(state, attempt, ended, when)


def next_event(state: State) -> float | None:
    """Return the time of the next end of an attempt, if any is due."""
    due = min(
        (
            min(_done_at(run), run.lease_until)
            for run in state.running.values()
        ),
        default=math.inf,
    )
    return None if due == math.inf else due


def accepts(state: State, epoch: int) -> bool:
    """Return whether an epoch is not too old, and remember it."""
    if epoch < state.epoch:
        state.stale_calls += 1
        return False
    state.epoch = epoch
    return True


def start(
    state: State, call: _worker_agent_wire.StartCall, now: float
) -> list[platform.StartOutcome]:
    """Start attempts, each at most once ever."""
    advance(state, now)
    return [
        platform.StartOutcome(
            attempt=task.attempt,
            outcome=_start_one(state, task, call, now),
        )
        for task in call.starts
    ]


def sync(state: State, call: _worker_agent_wire.SyncCall, now: float) -> None:
    """Renew all leases and forget acknowledged attempts."""
    advance(state, now)
    for run in state.running.values():
        run.lease_until = now + call.lease_s
    for attempt in call.acknowledged:
        state.ended.pop(attempt, None)


def reports(state: State, now: float, known: str = "") -> platform.SyncResult:
    """Return the live attempts and the ended ones not acknowledged.

    They are left out if their digest is `known`.
    """
    advance(state, now)
    live = tuple(
        model.AttemptReport(
            attempt=attempt,
            state=model.TaskState.RUNNING,
            resources=run.start.resources,
            run_s=now - run.started,
            usage=_usage(run, now),
        )
        for attempt, run in state.running.items()
    )
    found = (*live, *state.ended.values())
    digest = _worker_agent_wire.digest_reports(found)
    return platform.SyncResult(
        sequence=state.sequence,
        reports=None if digest == known else found,
        digest=digest,
    )


def stop(state: State, call: _worker_agent_wire.StopCall, now: float) -> None:
    """Stop attempts; one that never started here will not start later."""
    advance(state, now)
    for attempt in call.tasks:
        state.known.add(attempt)
        run = state.running.get(attempt)
        if run is None:
            continue
        if call.checkpoint:
            key = (attempt.job_id, attempt.index)
            state.checkpoints[key] = _progress(run, now)
        _end(state, attempt, model.TaskState.STOPPED, now)


def throttle(
    state: State, call: _worker_agent_wire.ThrottleCall, now: float
) -> None:
    """Limit attempts to a share of their processor time."""
    advance(state, now)
    for attempt in call.tasks:
        run = state.running.get(attempt)
        if run is not None:
            run.progress_s = _progress(run, now)
            run.progress_at = now
            run.share = min(1.0, max(0.0, call.share))


def kill_all(state: State, now: float) -> None:
    """End everything that is running as failed."""
    advance(state, now)
    for attempt in list(state.running):
        _end(state, attempt, model.TaskState.FAILED, now)


def restart(state: State, now: float) -> None:
    """Lose everything but the evidence, as a rebooted worker does."""
    kill_all(state, now)
    state.ended.clear()
    state.known.clear()
    state.epoch = 0
    state.sequence = 0


def evidence(state: State, now: float) -> dict[str, typing.Any]:
    """Return faults, history and peak of use."""
    advance(state, now)
    return {
        "worker_id": state.worker_id,
        "capacity": state.capacity,
        "used": state.used,
        "peak": state.peak,
        "epoch": state.epoch,
        "sequence": state.sequence,
        "running": len(state.running),
        "unacknowledged": len(state.ended),
        "faults": state.faults,
        "stale_calls": state.stale_calls,
        "overruns": sum(fault["fault"] == "overrun" for fault in state.faults),
        "history": state.history,
    }


def _start_one(
    state: State,
    task: platform.TaskStart,
    call: _worker_agent_wire.StartCall,
    now: float,
) -> str:
    attempt = task.attempt
    if attempt in state.running:
        return "running"
    if attempt in state.known:
        return "ended"
    if now + state.wall_offset_s > call.expires_at:
        return "expired"
    twins = [
        other.number
        for other in state.running
        if (other.job_id, other.index) == (attempt.job_id, attempt.index)
    ]
    if twins:
        state.faults.append(
            {"fault": "double_run", "attempt": attempt, "live": twins}
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
    work_s, fails, usage_share = _plan(state, task.payload)
    record = {
        "job_id": attempt.job_id,
        "index": attempt.index,
        "number": attempt.number,
        "start": now + state.wall_offset_s,
        "end": None,
        "state": model.TaskState.RUNNING,
    }
    key = (attempt.job_id, attempt.index)
    state.running[attempt] = Running(
        start=task,
        started=now,
        lease_until=now + call.lease_s,
        work_s=work_s,
        fails=fails,
        usage_share=usage_share,
        progress_s=state.checkpoints.get(key, 0.0),
        progress_at=now,
        record=record,
    )
    state.known.add(attempt)
    state.history.append(record)
    state.used = model.add(state.used, task.resources)
    state.peak = model.Resources(
        cpu_millis=max(state.peak.cpu_millis, state.used.cpu_millis),
        memory_mb=max(state.peak.memory_mb, state.used.memory_mb),
        accelerators=max(state.peak.accelerators, state.used.accelerators),
    )
    return "started"


def _plan(state: State, payload: bytes) -> tuple[float, bool, float]:
    """Return the work, whether it fails, and the share of use.

    A task with a payload that it cannot use fails at once, as a program
    with wrong arguments does.
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


def _progress(run: Running, now: float) -> float:
    return run.progress_s + (now - run.progress_at) * run.share


def _done_at(run: Running) -> float:
    remaining = run.work_s - run.progress_s
    if remaining <= _DONE_S:
        return run.progress_at
    return (
        run.progress_at + remaining / run.share if run.share > 0 else math.inf
    )


def _end(
    state: State,
    attempt: model.Attempt,
    ended: model.TaskState,
    when: float,
) -> None:
    run = state.running.pop(attempt)
    state.used = model.subtract(state.used, run.start.resources)
    run.record["end"] = when + state.wall_offset_s
    run.record["state"] = ended
    if ended == model.TaskState.SUCCEEDED:
        state.checkpoints.pop((attempt.job_id, attempt.index), None)
    state.sequence += 1
    state.ended[attempt] = model.AttemptReport(
        attempt=attempt,
        state=ended,
        resources=run.start.resources,
        run_s=when - run.started,
        usage=_usage(run, when),
    )


def _usage(run: Running, now: float) -> model.Resources:
    """Return the usage that shows, which is the reservation at first."""
    if now - run.started < USAGE_LAG_S:
        return run.start.resources
    need, share = run.start.resources, run.usage_share
    return model.Resources(
        cpu_millis=round(need.cpu_millis * share * run.share),
        memory_mb=round(need.memory_mb * share),
        accelerators=need.accelerators,
    )
