"""Replay of a trace through the pool filter.

It is no simulation of a cluster: commands, answers and journal commits take no
time. A worker here is a table of attempts that end after their recorded run
time; an attempt that was checkpointed goes on where it stopped.
"""

import collections
import heapq
import math
import random
import typing

import attrs

from bench import _traces
from chestnuttide import config
from chestnuttide import jobs
from chestnuttide import model
from chestnuttide import placement

SYNC_S = 2.0
TICK_S = 0.05
SEED = 7
# Time after the trace's end in which waiting work may still start.
TAIL_S = 60.0


@attrs.define(kw_only=True)
class Outcome:
    """What a replay recorded.

    Attributes
    ----------
    waits : dict of (str, int) to float
        Seconds from arrival to the first start of each task that was not
        cancelled; for one that never started, to the end of the replay.
    unstarted : int
        Tasks that never started and were not cancelled.
    starts : int
        All starts.
    arrivals : dict of str to dict
        The submission of each job.
    """

    waits: dict[tuple[str, int], float] = attrs.Factory(dict)
    unstarted: int = 0
    starts: int = 0
    arrivals: dict[str, dict[str, typing.Any]] = attrs.Factory(dict)


@attrs.define(kw_only=True, eq=False)
class _Worker:
    instance: model.Instance
    running: dict[model.Attempt, tuple[float, model.Resources]] = (
        attrs.Factory(dict)
    )
    ended: dict[model.Attempt, model.AttemptReport] = attrs.Factory(dict)
    down: bool = False


@attrs.define(kw_only=True, eq=False)
class _World:
    state: jobs.PoolState
    run: typing.Callable[[object, float], list[object]]
    workers: dict[str, _Worker]
    outcome: Outcome
    now: float = 0.0
    calls: list[tuple[float, int, typing.Callable[[], None]]] = attrs.Factory(
        list
    )
    serial: int = 0
    inbox: collections.deque[object] = attrs.Factory(collections.deque)
    left_s: dict[tuple[str, int], float] = attrs.Factory(dict)
    started: dict[tuple[str, int], float] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)


def make_document(header: dict[str, typing.Any]) -> config.CellConfig:
    """Return the configuration under which a trace is replayed."""
    return config.CellConfig(
        teams={
            name: config.TeamConfig(weight=weight)
            for name, weight in header["teams"].items()
        },
        workload_classes={
            "preview": config.ClassConfig(preemptible=True),
            "fulfilment": config.ClassConfig(
                preemptible=True, checkpoint=True
            ),
            "frames": config.ClassConfig(preemptible=True, checkpoint=True),
            "almanac": config.ClassConfig(spread=True, minimum_up=1),
            "orders": config.ClassConfig(spread=True, minimum_up=1),
        },
        pool=config.PoolConfig(long_run_s=20.0),
    )


def replay(trace: _traces.Trace) -> Outcome:
    """Replay a trace; equal traces give equal outcomes."""
    state = jobs.PoolState(
        document=make_document(trace.header), rng=random.Random(SEED)
    )
    instances = _traces.worker_instances(trace.header)
    world = _World(
        state=state,
        run=jobs.make_pool_filter(state=state),
        workers={
            each.instance_id: _Worker(instance=each) for each in instances
        },
        outcome=Outcome(),
    )
    _feed(world, jobs.WorkersChanged(instances=tuple(instances)))
    for number, worker_id in enumerate(world.workers):
        offset_s = SYNC_S * number / len(world.workers)
        _sync(world, worker_id)
        _at(world, offset_s, lambda each=worker_id: _sync_again(world, each))
    _at(world, 0.0, lambda: _tick(world))
    for event in trace.events:
        _at(world, event["t"], lambda event=event: _take(world, event))
    end = trace.header["length_s"] + TAIL_S
    while world.calls and world.calls[0][0] <= end:
        world.now, _, call = heapq.heappop(world.calls)
        call()
    record_waits(world.outcome, world.started, world.cancelled, end)
    return world.outcome


def record_waits(
    outcome: Outcome,
    started: dict[tuple[str, int], float],
    cancelled: set[str],
    end: float,
) -> None:
    """Fill in the waits of an outcome.

    Parameters
    ----------
    outcome : Outcome
        Has the arrivals; gets the waits.
    started : dict of (str, int) to float
        Time of the first start of each task.
    cancelled : set of str
        Cancelled jobs; their tasks that never started have no wait.
    end : float
        Time at which the replay ended.
    """
    for job_id, event in outcome.arrivals.items():
        for index in range(len(event["runs"])):
            at_s = started.get((job_id, index))
            if at_s is None:
                if job_id in cancelled:
                    continue
                outcome.unstarted += 1
                at_s = end
            outcome.waits[job_id, index] = at_s - event["t"]


def saturate(
    instances: list[model.Instance],
    submissions: list[dict[str, typing.Any]],
    header: dict[str, typing.Any],
) -> placement.Cell:
    """Submit work that never ends, all at once; return the cell."""
    state = jobs.PoolState(
        document=make_document(header), rng=random.Random(SEED)
    )
    world = _World(
        state=state,
        run=jobs.make_pool_filter(state=state),
        workers={
            each.instance_id: _Worker(instance=each) for each in instances
        },
        outcome=Outcome(),
    )
    _feed(world, jobs.WorkersChanged(instances=tuple(instances)))
    for worker_id in world.workers:
        _sync(world, worker_id)
    for event in submissions:
        endless = {**event, "runs": [math.inf] * len(event["runs"])}
        _take(world, {**endless, "event": "submit"})
    for _ in range(10):
        world.now += TICK_S
        _feed(world, jobs.Tick())
    return state.cell


def _at(world: _World, at_s: float, call: typing.Callable[[], None]) -> None:
    world.serial += 1
    heapq.heappush(world.calls, (at_s, world.serial, call))


def _take(world: _World, event: dict[str, typing.Any]) -> None:
    match event["event"]:
        case "submit":
            world.outcome.arrivals[event["job"]] = event
            job = _traces.to_job(event)
            _feed(world, jobs.SubmitJob(token=job.job_id, job=job))
        case "cancel":
            world.cancelled.add(event["job"])
            _feed(
                world, jobs.CancelJob(token=event["job"], job_id=event["job"])
            )
        case "fail":
            worker = world.workers[event["worker"]]
            worker.down = True
            worker.running.clear()
            worker.ended.clear()
            _list(world, worker, model.InstanceState.GONE)
            back_s = world.now + event["back_s"]
            _at(world, back_s, lambda: _return(world, worker))


def _return(world: _World, worker: _Worker) -> None:
    worker.down = False
    _list(world, worker, model.InstanceState.LIVE)


def _list(world: _World, worker: _Worker, state: model.InstanceState) -> None:
    worker.instance = attrs.evolve(worker.instance, state=state)
    _feed(world, jobs.WorkersChanged(instances=(worker.instance,)))


def _tick(world: _World) -> None:
    _feed(world, jobs.Tick())
    _at(world, world.now + TICK_S, lambda: _tick(world))


def _sync_again(world: _World, worker_id: str) -> None:
    _sync(world, worker_id)
    _at(world, world.now + SYNC_S, lambda: _sync_again(world, worker_id))


def _sync(world: _World, worker_id: str) -> None:
    worker = world.workers[worker_id]
    if not jobs.may_sync(world.state, worker_id):
        return
    lease_s = world.state.document.pool.task_lease_s
    _feed(world, jobs.SyncSent(worker_id=worker_id, lease_s=lease_s))
    if worker.down:
        _feed(world, jobs.SyncFailed(worker_id=worker_id, sent_at=world.now))
        return
    reports = [
        model.AttemptReport(
            attempt=attempt,
            state=model.TaskState.RUNNING,
            resources=need,
            run_s=world.now - started,
        )
        for attempt, (started, need) in worker.running.items()
    ]
    reports += worker.ended.values()
    _feed(
        world,
        jobs.SyncReport(
            worker_id=worker_id, reports=tuple(reports), sent_at=world.now
        ),
    )


def _feed(world: _World, message: object) -> None:
    """Feed a message and all that follows from it at the same time."""
    world.inbox.append(message)
    if len(world.inbox) > 1:
        return
    while world.inbox:
        for output in world.run(world.inbox[0], world.now):
            _carry_out(world, output)
        world.inbox.popleft()
        if not world.inbox and jobs.is_busy(world.state, world.now):
            world.inbox.append(jobs.Tick())


def _carry_out(world: _World, output: object) -> None:
    match output:
        case jobs.AppendEvent():
            world.inbox.append(jobs.JournalDurable(tokens=(output.token,)))
        case jobs.StartTask():
            _start(world, output)
        case jobs.StopTask():
            _stop(world, output)
        case jobs.AcknowledgeEnd():
            world.workers[output.worker_id].ended.pop(output.attempt, None)


def _start(world: _World, start: jobs.StartTask) -> None:
    worker = world.workers[start.worker_id]
    attempt = start.attempt
    outcome = jobs.StartOutcome.UNANSWERED
    if not worker.down:
        outcome = jobs.StartOutcome.STARTED
        key = attempt.job_id, attempt.index
        world.outcome.starts += 1
        world.started.setdefault(key, world.now)
        event = world.outcome.arrivals[attempt.job_id]
        run_s = world.left_s.get(key, event["runs"][attempt.index])
        worker.running[attempt] = world.now, start.resources
        if event["kind"] != "service" and run_s < math.inf:
            _at(
                world,
                world.now + run_s,
                lambda: _end(
                    world, worker, attempt, model.TaskState.SUCCEEDED
                ),
            )
    world.inbox.append(
        jobs.StartResult(
            worker_id=start.worker_id,
            attempt=attempt,
            outcome=outcome,
            sent_at=world.now,
        )
    )


def _stop(world: _World, stop: jobs.StopTask) -> None:
    worker = world.workers[stop.worker_id]
    if stop.attempt not in worker.running:
        return
    attempt = stop.attempt
    if stop.checkpoint:
        key = attempt.job_id, attempt.index
        event = world.outcome.arrivals[attempt.job_id]
        left_s = world.left_s.get(key, event["runs"][attempt.index])
        done_s = world.now - worker.running[attempt][0]
        world.left_s[key] = max(0.0, left_s - done_s)
    _at(
        world,
        world.now,
        lambda: _end(world, worker, attempt, model.TaskState.STOPPED),
    )


def _end(
    world: _World,
    worker: _Worker,
    attempt: model.Attempt,
    state: model.TaskState,
) -> None:
    found = worker.running.pop(attempt, None)
    if found is None:
        return
    started, need = found
    worker.ended[attempt] = model.AttemptReport(
        attempt=attempt,
        state=state,
        resources=need,
        run_s=world.now - started,
    )
    _sync(world, worker.instance.instance_id)
