"""Simulated workers, network, journal and owners around the pool filter.

The workers obey the rules of the worker agents: they refuse old epochs, start
each attempt once, end attempts whose lease ran out, and report ended attempts
until they are acknowledged. They take every start, so that a start beyond
their capacity shows up as a fault of the pool.
"""

import collections.abc
import heapq
import random

import attrs

from chestnuttide import config
from chestnuttide import jobs
from chestnuttide import model
from chestnuttide import placement

HELD_UP_SHARE = 0.05
HELD_UP_S = 20.0
TIMEOUT_S = 0.5
SYNC_S = 1.0
TICK_S = 0.1


@attrs.define(kw_only=True, eq=False)
class Task:
    resources: model.Resources
    started: float
    ends: float
    result: model.TaskState
    lease_until: float


@attrs.define(kw_only=True, eq=False)
class Worker:
    instance: model.Instance
    epoch: int = 0
    tasks: dict[model.Attempt, Task] = attrs.field(factory=dict)
    ended: dict[model.Attempt, model.AttemptReport] = attrs.field(factory=dict)
    cut_until: float = 0.0
    starts_lost_until: float = 0.0
    answers_lost_until: float = 0.0
    fails_all: bool = False


@attrs.define(kw_only=True, eq=False)
class Owner:
    state: jobs.PoolState
    run: collections.abc.Callable[[object, float], list[object]]
    epoch: int
    alive: bool = True
    buffer: list[tuple[int, bytes]] = attrs.field(factory=list)
    flushing: bool = False
    acknowledged: dict[str, set] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class World:
    document: config.CellConfig
    rng: random.Random
    now: float = 100.0
    workers: dict[str, Worker] = attrs.field(factory=dict)
    owner: Owner | None = None
    epoch: int = 0
    journal: list[bytes] = attrs.field(factory=list)
    snapshot: bytes = b""
    calls: list[tuple[float, int, object]] = attrs.field(factory=list)
    serial: int = 0
    answers: dict[object, object] = attrs.field(factory=dict)
    outputs: list[object] = attrs.field(factory=list)
    submitted: dict[str, model.Job] = attrs.field(factory=dict)
    starts: int = 0
    succeeded: dict[tuple[str, int], int] = attrs.field(factory=dict)
    decide: collections.abc.Callable | None = None
    partial_since: dict[str, float] = attrs.field(factory=dict)
    longest_partial_s: float = 0.0


def make_instance(
    worker_id: str,
    capacity: model.Resources,
    state: model.InstanceState = model.InstanceState.LIVE,
) -> model.Instance:
    number = int(worker_id[1:])
    return model.Instance(
        instance_id=worker_id,
        kind=model.InstanceKind.WORKER,
        state=state,
        data_centre=f"dc{number % 2}",
        rack=f"r{number % 3}",
        address=f"127.0.0.1:{number}",
        capacity=capacity,
    )


def make_world(
    document: config.CellConfig,
    capacities: list[model.Resources],
    seed: int = 1,
) -> World:
    world = World(document=document, rng=random.Random(seed))
    for number, capacity in enumerate(capacities):
        worker_id = f"w{number}"
        world.workers[worker_id] = Worker(
            instance=make_instance(worker_id, capacity)
        )
    take_over(world)
    return world


def at(world: World, delay_s: float, call: object) -> None:
    world.serial += 1
    heapq.heappush(world.calls, (world.now + delay_s, world.serial, call))


def run_for(world: World, seconds: float) -> None:
    until = world.now + seconds
    while world.calls and world.calls[0][0] <= until:
        world.now, _, call = heapq.heappop(world.calls)
        call()
    world.now = until


def take_over(world: World) -> Owner:
    """Start a new owner; calls of the old one no longer reach it."""
    if world.owner is not None:
        world.owner.alive = False
    world.epoch += 1
    state = jobs.PoolState(
        document=world.document, rng=random.Random(world.rng.random())
    )
    owner = Owner(
        state=state,
        run=jobs.make_pool_filter(state=state),
        epoch=world.epoch,
    )
    world.owner = owner
    send(
        world,
        owner,
        jobs.Recovered(
            snapshot=world.snapshot, events=tuple(world.journal), clean=False
        ),
    )
    instances = tuple(w.instance for w in world.workers.values())
    send(world, owner, jobs.WorkersChanged(instances=instances))
    for worker_id in world.workers:
        at(
            world,
            world.rng.uniform(0.01, 0.1),
            lambda worker_id=worker_id: _sync(world, owner, worker_id),
        )
    at(world, TICK_S, lambda: _tick(world, owner))
    return owner


def take_snapshot(world: World) -> None:
    """Store a snapshot and drop the events that it covers."""
    owner = world.owner
    if owner is None or not owner.alive or owner.buffer:
        return
    world.snapshot = jobs.encode_snapshot(owner.state, world.now)
    world.journal.clear()


def crash_worker(world: World, worker_id: str) -> None:
    """Lose all tasks of a worker, which comes back at once."""
    worker = world.workers[worker_id]
    worker.tasks.clear()
    worker.ended.clear()


def remove_worker(world: World, worker_id: str) -> None:
    """Let a worker go for good."""
    crash_worker(world, worker_id)
    worker = world.workers[worker_id]
    worker.cut_until = float("inf")
    worker.instance = attrs.evolve(
        worker.instance, state=model.InstanceState.GONE
    )
    send(world, world.owner, jobs.WorkersChanged(instances=(worker.instance,)))


def submit(world: World, job: model.Job) -> None:
    world.submitted[job.job_id] = job
    send(world, world.owner, jobs.SubmitJob(token=job.job_id, job=job))


def cancel(world: World, job_id: str) -> None:
    send(
        world,
        world.owner,
        jobs.CancelJob(token=("cancel", job_id), job_id=job_id),
    )


def read(world: World, job_id: str) -> jobs.JobView | None:
    return jobs.read_job(world.owner.state, job_id, world.now)


def live_attempts(world: World) -> list[model.Attempt]:
    found = []
    for worker in world.workers.values():
        expire(world, worker)
        found.extend(worker.tasks)
    return found


def send(world: World, owner: Owner, message: object) -> None:
    if not owner.alive:
        return
    for output in owner.run(message, world.now):
        world.outputs.append(output)
        _carry_out(world, owner, output)


def expire(world: World, worker: Worker) -> None:
    """End the tasks that are over or whose lease ran out."""
    for attempt, task in list(worker.tasks.items()):
        over = min(task.ends, task.lease_until)
        if over <= world.now:
            result = task.result
            if task.lease_until < task.ends:
                result = model.TaskState.LAPSED
            _end(world, worker, attempt, result, over)


def check_state(state: jobs.PoolState) -> None:
    """Check that no task is lost and all sums agree."""
    waiting = 0
    for record in state.jobs.values():
        is_open = record.state in ("queued", "running")
        if not is_open:
            continue
        waiting += record.job.tasks - record.done_count - len(record.live)
        if not record.settled:
            continue
        done = {
            index
            for index in range(record.job.tasks)
            if index < 8 * len(record.done)
            and record.done[index // 8] >> index % 8 & 1
        }
        places = [
            set(range(record.fresh, record.job.tasks)),
            set(record.waiting),
            record.delayed,
            set(record.live),
            done,
        ]
        assert len(done) == record.done_count
        assert sum(len(place) for place in places) == record.job.tasks, places
        assert set().union(*places) == set(range(record.job.tasks))
        if record.durable and (places[0] or places[1]):
            queued = record.job.job_id in state.queue.items
            gang = record.job.kind is model.JobKind.GANG
            assert queued or (gang and (record.live or record.delayed))
    assert waiting == state.waiting_tasks
    held = {}
    for record in state.jobs.values():
        for _ in range(record.assumed):
            team = record.job.team
            held[team] = model.add(
                held.get(team, model.ZERO), record.job.resources
            )
    for attempt, record in state.attempts.items():
        if not record.stray:
            assert state.jobs[attempt.job_id].live[attempt.index] == attempt
        team = record.team
        held[team] = model.add(held.get(team, model.ZERO), record.need)
        if record.phase.value != "claimed":
            reservation = placement.reservation_of(state.cell, attempt)
            assert reservation is not None
            assert reservation.need == record.need
    assert held == state.quota.held


def _tick(world: World, owner: Owner) -> None:
    if not owner.alive:
        return
    send(world, owner, jobs.Tick())
    check_state(owner.state)
    _watch_gangs(world)
    at(world, TICK_S, lambda: _tick(world, owner))


def _watch_gangs(world: World) -> None:
    live: dict[str, int] = {}
    for attempt in live_attempts(world):
        live[attempt.job_id] = live.get(attempt.job_id, 0) + 1
    for job_id, job in world.submitted.items():
        if job.kind is not model.JobKind.GANG:
            continue
        done = sum(
            (job_id, index) in world.succeeded for index in range(job.tasks)
        )
        if 0 < live.get(job_id, 0) < job.tasks - done:
            since = world.partial_since.setdefault(job_id, world.now)
            world.longest_partial_s = max(
                world.longest_partial_s, world.now - since
            )
        else:
            world.partial_since.pop(job_id, None)


def _carry_out(world: World, owner: Owner, output: object) -> None:
    match output:
        case jobs.StartTask():
            _send_start(world, owner, output)
        case jobs.StopTask():
            at(
                world,
                world.rng.uniform(0.001, 0.05),
                lambda: _stop(world, owner, output),
            )
        case jobs.AppendEvent():
            owner.buffer.append((output.token, output.event))
            if not owner.flushing:
                owner.flushing = True
                at(
                    world,
                    world.rng.uniform(0.005, 0.05),
                    lambda: _flush(world, owner),
                )
        case jobs.AcknowledgeEnd():
            owner.acknowledged.setdefault(output.worker_id, set()).add(
                output.attempt
            )
        case jobs.JobAccepted() | jobs.JobRefused() | jobs.JobCancelled():
            world.answers[output.token] = output


def _flush(world: World, owner: Owner) -> None:
    owner.flushing = False
    if not owner.alive:
        return
    batch, owner.buffer = owner.buffer, []
    world.journal.extend(event for _, event in batch)
    tokens = tuple(token for token, _ in batch)
    send(world, owner, jobs.JournalDurable(tokens=tokens))


def _send_start(world: World, owner: Owner, start: jobs.StartTask) -> None:
    worker = world.workers[start.worker_id]
    sent_at = world.now

    def answer(outcome: jobs.StartOutcome) -> None:
        send(
            world,
            owner,
            jobs.StartResult(
                worker_id=start.worker_id,
                attempt=start.attempt,
                outcome=outcome,
                sent_at=sent_at,
            ),
        )

    def deliver() -> None:
        outcome = _start(world, owner, worker, start, sent_at)
        if world.now < max(worker.cut_until, worker.answers_lost_until):
            return
        answered.append(outcome)
        at(world, 0.001, lambda: answer(outcome))

    def give_up() -> None:
        if not answered:
            answer(jobs.StartOutcome.UNANSWERED)

    answered: list[jobs.StartOutcome] = []
    lost = sent_at < max(worker.cut_until, worker.starts_lost_until)
    if not lost:
        # An agent that was paused takes starts out of its buffer late.
        held_up = world.rng.random() < HELD_UP_SHARE
        longest_s = HELD_UP_S if held_up else 0.3
        at(world, world.rng.uniform(0.001, longest_s), deliver)
    at(world, TIMEOUT_S, give_up)


def _start(
    world: World,
    owner: Owner,
    worker: Worker,
    start: jobs.StartTask,
    sent_at: float,
) -> jobs.StartOutcome:
    expire(world, worker)
    if owner.epoch < worker.epoch:
        return jobs.StartOutcome.STALE_EPOCH
    worker.epoch = owner.epoch
    if start.attempt in worker.tasks:
        return jobs.StartOutcome.RUNNING
    if start.attempt in worker.ended:
        return jobs.StartOutcome.ENDED
    if world.now > sent_at + model.START_VALID_S + model.CLOCK_SKEW_S:
        return jobs.StartOutcome.EXPIRED
    run_s, result = world.decide(world, start.attempt)
    if worker.fails_all:
        run_s, result = 0.2, model.TaskState.FAILED
    _check_start(world, worker, start)
    world.starts += 1
    worker.tasks[start.attempt] = Task(
        resources=start.resources,
        started=world.now,
        ends=world.now + run_s,
        result=result,
        lease_until=world.now + start.lease_s,
    )
    return jobs.StartOutcome.STARTED


def _check_start(world: World, worker: Worker, start: jobs.StartTask) -> None:
    """Check that a start keeps to the guarantees."""
    used = start.resources
    for task in worker.tasks.values():
        used = model.add(used, task.resources)
    assert model.fits(used, worker.instance.capacity), "capacity exceeded"
    team = world.submitted[start.attempt.job_id].team
    held = start.resources
    for other in world.workers.values():
        expire(world, other)
        for attempt, task in other.tasks.items():
            assert (attempt.job_id, attempt.index) != (
                start.attempt.job_id,
                start.attempt.index,
            ), f"{attempt} and {start.attempt} run at once"
            if world.submitted[attempt.job_id].team == team:
                held = model.add(held, task.resources)
    quota = world.document.teams[team].cpu_millis
    assert not quota or held.cpu_millis <= quota, "quota exceeded"


def _stop(world: World, owner: Owner, stop: jobs.StopTask) -> None:
    worker = world.workers[stop.worker_id]
    if world.now < worker.cut_until or owner.epoch < worker.epoch:
        return
    worker.epoch = owner.epoch
    expire(world, worker)
    if stop.attempt in worker.tasks:
        task = worker.tasks[stop.attempt]
        if stop.checkpoint:
            task.ends = min(task.ends, world.now + 0.5)
            task.result = model.TaskState.STOPPED
        else:
            _end(
                world,
                worker,
                stop.attempt,
                model.TaskState.STOPPED,
                world.now,
            )


def _end(
    world: World,
    worker: Worker,
    attempt: model.Attempt,
    result: model.TaskState,
    over: float,
) -> None:
    task = worker.tasks.pop(attempt)
    if result is model.TaskState.SUCCEEDED:
        key = (attempt.job_id, attempt.index)
        world.succeeded[key] = world.succeeded.get(key, 0) + 1
    worker.ended[attempt] = model.AttemptReport(
        attempt=attempt,
        state=result,
        resources=task.resources,
        run_s=over - task.started,
    )


def _sync(world: World, owner: Owner, worker_id: str) -> None:
    if not owner.alive:
        return
    worker = world.workers[worker_id]
    at(
        world,
        SYNC_S * world.rng.uniform(0.8, 1.2),
        lambda: _sync(world, owner, worker_id),
    )
    if not jobs.may_sync(owner.state, worker_id):
        return
    sent_at = world.now
    lease_s = world.document.pool.task_lease_s
    send(world, owner, jobs.SyncSent(worker_id=worker_id, lease_s=lease_s))
    acknowledged = owner.acknowledged.get(worker_id, set())
    answered: list[bool] = []

    def deliver() -> None:
        if world.now < worker.cut_until or owner.epoch < worker.epoch:
            return
        worker.epoch = owner.epoch
        expire(world, worker)
        for attempt in acknowledged:
            worker.ended.pop(attempt, None)
        for task in worker.tasks.values():
            task.lease_until = world.now + lease_s
        reports = [
            model.AttemptReport(
                attempt=attempt,
                state=model.TaskState.RUNNING,
                resources=task.resources,
                run_s=world.now - task.started,
            )
            for attempt, task in worker.tasks.items()
        ]
        reports.extend(worker.ended.values())
        if world.now < worker.answers_lost_until:
            return
        answered.append(True)
        report = jobs.SyncReport(
            worker_id=worker_id, reports=tuple(reports), sent_at=sent_at
        )
        at(world, 0.001, lambda: done(report))

    def done(report: jobs.SyncReport) -> None:
        owner.acknowledged.pop(worker_id, None)
        send(world, owner, report)

    def give_up() -> None:
        if not answered:
            send(
                world,
                owner,
                jobs.SyncFailed(worker_id=worker_id, sent_at=sent_at),
            )

    at(world, world.rng.uniform(0.001, 0.05), deliver)
    at(world, TIMEOUT_S, give_up)
