"""Replay of traces under baseline placement policies.

All baselines serve jobs in arrival order, skip those that do not fit, and
ignore urgency, teams, estimates and preemption. They differ in the choice of
the worker.
"""

import bisect
import collections.abc
import heapq
import random
import typing

import attrs

from bench import _replay
from bench import _traces
from chestnuttide import model

SEED = 11
# Task lease plus margin, after which the tasks of a failed worker restart
# elsewhere; the default of the pool.
LEASE_S = 11.0


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A worker and its free capacity.

    Attributes
    ----------
    capacity, free : list of int
        Processors, memory and accelerators.
    up : bool
        Whether the worker accepts tasks.
    """

    capacity: list[int]
    free: list[int]
    up: bool = True


Need = tuple[int, int, int]
# Returns a worker with enough free capacity, or None.
Choose = collections.abc.Callable[[list[Worker], Need], Worker | None]


def make_workers(instances: list[model.Instance]) -> list[Worker]:
    """Return empty workers in the order of the instances."""
    amounts = [
        [
            each.capacity.cpu_millis,
            each.capacity.memory_mb,
            each.capacity.accelerators,
        ]
        for each in instances
    ]
    return [Worker(capacity=each, free=list(each)) for each in amounts]


def fits_on(worker: Worker, need: Need) -> bool:
    """Return whether a need fits the free capacity of a worker."""
    free = worker.free
    return (
        worker.up
        and need[0] <= free[0]
        and need[1] <= free[1]
        and need[2] <= free[2]
    )


def choose_first(workers: list[Worker], need: Need) -> Worker | None:
    """Return the first worker that fits a need."""
    return next((each for each in workers if fits_on(each, need)), None)


def choose_least_loaded(workers: list[Worker], need: Need) -> Worker | None:
    """Return the fitting worker with the lowest maximum utilization."""
    return min(
        (each for each in workers if fits_on(each, need)),
        key=load,
        default=None,
    )


def make_choose_random(rng: random.Random) -> Choose:
    """Return a policy that picks a fitting worker at random."""

    def choose(workers: list[Worker], need: Need) -> Worker | None:
        found = [each for each in workers if fits_on(each, need)]
        return rng.choice(found) if found else None

    return choose


def load(worker: Worker) -> float:
    """Return the utilization of the most used dimension."""
    return max(
        (total - free) / total
        for total, free in zip(worker.capacity, worker.free, strict=True)
        if total
    )


def make_policies() -> dict[str, Choose]:
    """Return the baselines by name."""
    return {
        "first_fit": choose_first,
        "random": make_choose_random(random.Random(SEED)),
        "least_loaded": choose_least_loaded,
    }


def reserve(worker: Worker, need: Need, sign: int = 1) -> None:
    """Reserve a need on a worker, or release it with sign -1."""
    for dimension, amount in enumerate(need):
        worker.free[dimension] -= sign * amount


def place_all(workers: list[Worker], needs: list[Need], choose: Choose) -> int:
    """Place needs in order where they fit; return the number placed."""
    placed = 0
    for need in needs:
        worker = choose(workers, need)
        if worker is not None:
            reserve(worker, need)
            placed += 1
    return placed


@attrs.define(kw_only=True, eq=False)
class _Replay:
    workers: list[Worker]
    by_id: dict[str, Worker]
    choose: Choose
    outcome: _replay.Outcome
    now: float = 0.0
    serial: int = 0
    timers: list[tuple[float, int, collections.abc.Callable[[], None]]] = (
        attrs.Factory(list)
    )
    # Arrival number, job id and indexes of the tasks that start together.
    waiting: list[tuple[int, str, tuple[int, ...]]] = attrs.Factory(list)
    running: dict[tuple[str, int], tuple[Worker, int]] = attrs.Factory(dict)
    started: dict[tuple[str, int], float] = attrs.Factory(dict)
    numbers: dict[str, int] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)


def replay(trace: _traces.Trace, choose: Choose) -> _replay.Outcome:
    """Replay a trace with a baseline policy."""
    instances = _traces.worker_instances(trace.header)
    workers = make_workers(instances)
    run = _Replay(
        workers=workers,
        by_id={
            instance.instance_id: worker
            for instance, worker in zip(instances, workers, strict=True)
        },
        choose=choose,
        outcome=_replay.Outcome(),
    )
    for event in trace.events:
        _schedule(
            run, event["t"], lambda event=event: _apply_event(run, event)
        )
    end = trace.header["length_s"] + _replay.TAIL_S
    while run.timers and run.timers[0][0] <= end:
        run.now, _, call = heapq.heappop(run.timers)
        call()
    _replay.record_waits(run.outcome, run.started, run.cancelled, end)
    return run.outcome


def _schedule(
    run: _Replay, at_s: float, call: collections.abc.Callable[[], None]
) -> None:
    run.serial += 1
    heapq.heappush(run.timers, (at_s, run.serial, call))


def _apply_event(run: _Replay, event: dict[str, typing.Any]) -> None:
    match event["event"]:
        case "submit":
            job_id = event["job"]
            run.outcome.arrivals[job_id] = event
            run.numbers[job_id] = len(run.numbers)
            indexes = range(len(event["runs"]))
            groups = [(each,) for each in indexes]
            if event["kind"] == "gang":
                groups = [tuple(indexes)]
            for group in groups:
                if not _try_start(run, job_id, group):
                    _enqueue(run, job_id, group)
        case "cancel":
            _cancel(run, event["job"])
        case "fail":
            _fail(run, run.by_id[event["worker"]], event["back_s"])


def _enqueue(run: _Replay, job_id: str, group: tuple[int, ...]) -> None:
    bisect.insort(run.waiting, (run.numbers[job_id], job_id, group))


def _need(run: _Replay, job_id: str) -> Need:
    cpu_millis, memory_mb, accelerators = run.outcome.arrivals[job_id]["need"]
    return cpu_millis, memory_mb, accelerators


def _try_start(run: _Replay, job_id: str, group: tuple[int, ...]) -> bool:
    """Start all tasks of a group, or none of them."""
    need = _need(run, job_id)
    chosen: list[Worker] = []
    for _ in group:
        worker = run.choose(run.workers, need)
        if worker is None:
            for each in chosen:
                reserve(each, need, -1)
            return False
        reserve(worker, need)
        chosen.append(worker)
    event = run.outcome.arrivals[job_id]
    for index, worker in zip(group, chosen, strict=True):
        key = job_id, index
        run.serial += 1
        run.running[key] = worker, run.serial
        run.started.setdefault(key, run.now)
        run.outcome.starts += 1
        if event["kind"] != "service":
            serial = run.serial
            _schedule(
                run,
                run.now + event["runs"][index],
                lambda key=key, serial=serial: _complete(run, key, serial),
            )
    return True


def _complete(run: _Replay, key: tuple[str, int], serial: int) -> None:
    found = run.running.get(key)
    if found is None or found[1] != serial:
        return
    del run.running[key]
    reserve(found[0], _need(run, key[0]), -1)
    _start_waiting(run)


def _start_waiting(run: _Replay) -> None:
    """Start waiting tasks in arrival order after capacity was freed."""
    unplaceable: set[tuple[Need, int]] = set()
    still_waiting = []
    for item in run.waiting:
        _number, job_id, group = item
        demand = _need(run, job_id), len(group)
        if demand in unplaceable:
            still_waiting.append(item)
        elif not _try_start(run, job_id, group):
            unplaceable.add(demand)
            still_waiting.append(item)
    run.waiting = still_waiting


def _cancel(run: _Replay, job_id: str) -> None:
    run.cancelled.add(job_id)
    run.waiting = [item for item in run.waiting if item[1] != job_id]
    freed = False
    for index in range(len(run.outcome.arrivals[job_id]["runs"])):
        found = run.running.pop((job_id, index), None)
        if found is not None:
            reserve(found[0], _need(run, job_id), -1)
            freed = True
    if freed:
        _start_waiting(run)


def _fail(run: _Replay, worker: Worker, back_s: float) -> None:
    worker.up = False
    lost = [key for key, found in run.running.items() if found[0] is worker]
    for key in lost:
        del run.running[key]
        reserve(worker, _need(run, key[0]), -1)

    def restart_tasks() -> None:
        for job_id, index in lost:
            if job_id not in run.cancelled:
                _enqueue(run, job_id, (index,))
        _start_waiting(run)

    def recover() -> None:
        worker.up = True
        _start_waiting(run)

    _schedule(run, run.now + LEASE_S, restart_tasks)
    _schedule(run, run.now + back_s, recover)
