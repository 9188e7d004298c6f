"""Replay of a trace through the pool filter.

This does not simulate a cluster: commands, replies and journal commits take no
time. A worker is modelled as a table of attempts that complete after their
recorded run time; a checkpointed attempt resumes where it stopped.
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
# Time after the end of the trace during which waiting tasks may still start.
TAIL_S = 60.0


@attrs.define(kw_only=True)
class Outcome:
    """Results of a replay.

    Attributes
    ----------
    waits : dict of (str, int) to float
        Seconds from arrival to first start, for every task that started or
        was not cancelled. A task that never started waits until the end of
        the replay.
    unstarted : int
        Tasks that never started and were not cancelled.
    starts : int
        Number of task starts, including restarts.
    arrivals : dict of str to dict
        Submission event of every job.
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
class _Context:
    state: jobs.PoolState
    pool_filter: typing.Callable[[object, float], list[object]]
    workers: dict[str, _Worker]
    outcome: Outcome
    now: float = 0.0
    timers: list[tuple[float, int, typing.Callable[[], None]]] = attrs.Factory(
        list
    )
    serial: int = 0
    inbox: collections.deque[object] = attrs.Factory(collections.deque)
    remaining_s: dict[tuple[str, int], float] = attrs.Factory(dict)
    started: dict[tuple[str, int], float] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)


def make_document(header: dict[str, typing.Any]) -> config.CellConfig:
    """Return the cell configuration for replaying a trace."""
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
    """Replay a trace; deterministic for a given trace."""
    state = jobs.PoolState(
        document=make_document(trace.header), rng=random.Random(SEED)
    )
    instances = _traces.worker_instances(trace.header)
    context = _Context(
        state=state,
        pool_filter=jobs.make_pool_filter(state=state),
        workers={
            each.instance_id: _Worker(instance=each) for each in instances
        },
        outcome=Outcome(),
    )
    _process(context, jobs.WorkersChanged(instances=tuple(instances)))
    for number, worker_id in enumerate(context.workers):
        offset_s = SYNC_S * number / len(context.workers)
        _sync(context, worker_id)
        _schedule(
            context,
            offset_s,
            lambda each=worker_id: _sync_periodically(context, each),
        )
    _schedule(context, 0.0, lambda: _tick_periodically(context))
    for event in trace.events:
        _schedule(
            context,
            event["t"],
            lambda event=event: _apply_event(context, event),
        )
    end = trace.header["length_s"] + TAIL_S
    while context.timers and context.timers[0][0] <= end:
        context.now, _, call = heapq.heappop(context.timers)
        call()
    record_waits(context.outcome, context.started, context.cancelled, end)
    return context.outcome


def record_waits(
    outcome: Outcome,
    started: dict[tuple[str, int], float],
    cancelled: set[str],
    end: float,
) -> None:
    """Compute the waits of an outcome.

    Parameters
    ----------
    outcome : Outcome
        Provides the arrivals and receives the waits.
    started : dict of (str, int) to float
        Time of the first start of each task.
    cancelled : set of str
        Cancelled jobs; tasks of these that never started get no wait.
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
    """Submit endless jobs all at once and return the resulting cell."""
    state = jobs.PoolState(
        document=make_document(header), rng=random.Random(SEED)
    )
    context = _Context(
        state=state,
        pool_filter=jobs.make_pool_filter(state=state),
        workers={
            each.instance_id: _Worker(instance=each) for each in instances
        },
        outcome=Outcome(),
    )
    _process(context, jobs.WorkersChanged(instances=tuple(instances)))
    for worker_id in context.workers:
        _sync(context, worker_id)
    for event in submissions:
        endless = {**event, "runs": [math.inf] * len(event["runs"])}
        _apply_event(context, {**endless, "event": "submit"})
    for _ in range(10):
        context.now += TICK_S
        _process(context, jobs.Tick())
    return state.cell


def _schedule(
    context: _Context, at_s: float, call: typing.Callable[[], None]
) -> None:
    context.serial += 1
    heapq.heappush(context.timers, (at_s, context.serial, call))


def _apply_event(context: _Context, event: dict[str, typing.Any]) -> None:
    match event["event"]:
        case "submit":
            context.outcome.arrivals[event["job"]] = event
            job = _traces.to_job(event)
            _process(context, jobs.SubmitJob(token=job.job_id, job=job))
        case "cancel":
            context.cancelled.add(event["job"])
            _process(
                context,
                jobs.CancelJob(token=event["job"], job_id=event["job"]),
            )
        case "fail":
            worker = context.workers[event["worker"]]
            worker.down = True
            worker.running.clear()
            worker.ended.clear()
            _set_state(context, worker, model.InstanceState.GONE)
            back_s = context.now + event["back_s"]
            _schedule(context, back_s, lambda: _recover(context, worker))


def _recover(context: _Context, worker: _Worker) -> None:
    worker.down = False
    _set_state(context, worker, model.InstanceState.LIVE)


def _set_state(
    context: _Context, worker: _Worker, state: model.InstanceState
) -> None:
    worker.instance = attrs.evolve(worker.instance, state=state)
    _process(context, jobs.WorkersChanged(instances=(worker.instance,)))


def _tick_periodically(context: _Context) -> None:
    _process(context, jobs.Tick())
    _schedule(
        context, context.now + TICK_S, lambda: _tick_periodically(context)
    )


def _sync_periodically(context: _Context, worker_id: str) -> None:
    _sync(context, worker_id)
    _schedule(
        context,
        context.now + SYNC_S,
        lambda: _sync_periodically(context, worker_id),
    )


def _sync(context: _Context, worker_id: str) -> None:
    worker = context.workers[worker_id]
    if not jobs.may_sync(context.state, worker_id):
        return
    lease_s = context.state.document.pool.task_lease_s
    _process(context, jobs.SyncSent(worker_id=worker_id, lease_s=lease_s))
    if worker.down:
        _process(
            context, jobs.SyncFailed(worker_id=worker_id, sent_at=context.now)
        )
        return
    reports = [
        model.AttemptReport(
            attempt=attempt,
            state=model.TaskState.RUNNING,
            resources=need,
            run_s=context.now - started,
        )
        for attempt, (started, need) in worker.running.items()
    ]
    reports += worker.ended.values()
    _process(
        context,
        jobs.SyncReport(
            worker_id=worker_id, reports=tuple(reports), sent_at=context.now
        ),
    )


def _process(context: _Context, message: object) -> None:
    """Process a message and, at the same time, all that it causes."""
    context.inbox.append(message)
    if len(context.inbox) > 1:
        return
    while context.inbox:
        for output in context.pool_filter(context.inbox[0], context.now):
            _execute_output(context, output)
        context.inbox.popleft()
        if not context.inbox and jobs.is_busy(context.state, context.now):
            context.inbox.append(jobs.Tick())


def _execute_output(context: _Context, output: object) -> None:
    match output:
        case jobs.AppendEvent():
            context.inbox.append(jobs.JournalDurable(tokens=(output.token,)))
        case jobs.StartTask():
            _start(context, output)
        case jobs.StopTask():
            _stop(context, output)
        case jobs.AcknowledgeEnd():
            context.workers[output.worker_id].ended.pop(output.attempt, None)


def _start(context: _Context, start: jobs.StartTask) -> None:
    worker = context.workers[start.worker_id]
    attempt = start.attempt
    outcome = jobs.StartOutcome.UNANSWERED
    if not worker.down:
        outcome = jobs.StartOutcome.STARTED
        key = attempt.job_id, attempt.index
        context.outcome.starts += 1
        context.started.setdefault(key, context.now)
        event = context.outcome.arrivals[attempt.job_id]
        run_s = context.remaining_s.get(key, event["runs"][attempt.index])
        worker.running[attempt] = context.now, start.resources
        if event["kind"] != "service" and run_s < math.inf:
            _schedule(
                context,
                context.now + run_s,
                lambda: _complete(
                    context, worker, attempt, model.TaskState.SUCCEEDED
                ),
            )
    context.inbox.append(
        jobs.StartResult(
            worker_id=start.worker_id,
            attempt=attempt,
            outcome=outcome,
            sent_at=context.now,
        )
    )


def _stop(context: _Context, stop: jobs.StopTask) -> None:
    worker = context.workers[stop.worker_id]
    if stop.attempt not in worker.running:
        return
    attempt = stop.attempt
    if stop.checkpoint:
        key = attempt.job_id, attempt.index
        event = context.outcome.arrivals[attempt.job_id]
        remaining_s = context.remaining_s.get(
            key, event["runs"][attempt.index]
        )
        done_s = context.now - worker.running[attempt][0]
        context.remaining_s[key] = max(0.0, remaining_s - done_s)
    _schedule(
        context,
        context.now,
        lambda: _complete(context, worker, attempt, model.TaskState.STOPPED),
    )


def _complete(
    context: _Context,
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
        run_s=context.now - started,
    )
    _sync(context, worker.instance.instance_id)
