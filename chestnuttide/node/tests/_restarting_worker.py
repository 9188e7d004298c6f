"""Simulated workers that restart under their ids and execute calls late.

They run in virtual time behind the platform's functions, beside a store that
holds an owner's records. What they executed is kept in `World.history`.
"""

import asyncio
import collections.abc
import json
import math

import attrs
import pytest

from chestnuttide import errors
from chestnuttide.node import _keys
from chestnuttide.node.tests import _virtual_time
from chestnuttide import platform

HALF_TRIP_S = 0.0025
STORE_S = 0.005
STEP_S = 0.01
IDLE_STEP_S = 0.05

SERVICE = "workshop"


@attrs.frozen(kw_only=True)
class Fate:
    """What becomes of a call.

    Attributes
    ----------
    answered : bool
        Whether its answer arrives.
    delay_s : float
        Time after which a call without an answer is executed, by whichever
        incarnation then lives at the address; infinite for never.
    status : int
        Status with which it is refused, without any effect; 200 for none.
    """

    answered: bool = True
    delay_s: float = 0.0
    status: int = 200


ANSWERED = Fate()
UNANSWERED = Fate(answered=False)
LOST = Fate(answered=False, delay_s=math.inf)


@attrs.define(kw_only=True, eq=False)
class RunRecord:
    """A run that a worker executed.

    Attributes
    ----------
    task, run : str, int
        The task and the number of the run.
    worker_id, born_ms : str, int
        The incarnation that executed it.
    started_at, due_at, ended_at : float
        When it started, when its work ends and when it ended.
    how : str
        How it ended; empty while it runs.
    acknowledged_at : float
        When its completion was forgotten after an acknowledgement.
    """

    task: str
    run: int
    worker_id: str
    born_ms: int
    started_at: float
    due_at: float
    ended_at: float = math.inf
    how: str = ""
    acknowledged_at: float = math.inf


@attrs.define(kw_only=True, eq=False)
class Incarnation:
    """An incarnation of a worker.

    Attributes
    ----------
    born_ms : int
        Its start, as a time of day.
    born_at : float
        Its start, on the clock of the tests.
    origin_ms : int
        Reading of its own clock at its start.
    rate : float
        Rate of its own clock.
    fencing_token : int
        Highest fencing token that it has seen.
    lease_ms : float
        Expiry of its lease, on its own clock.
    runs : dict of (str, int) to RunRecord
        Runs in progress.
    ended : dict of int to RunRecord
        Completions that are not acknowledged, by number.
    next_completion : int
        Number of the next completion.
    highest_runs : dict of str to int
        Highest run of each task that has ended or was stopped.
    last_lapsed_completion : int
        Number of the last completion when its lease was last found expired;
        the end of a run up to it counts as unknown to any owner for good.
    polled : bool
        Whether it has answered a poll.
    """

    born_ms: int
    born_at: float
    origin_ms: int
    rate: float
    fencing_token: int = 0
    lease_ms: float = 0.0
    runs: dict[tuple[str, int], RunRecord] = attrs.field(factory=dict)
    ended: dict[int, RunRecord] = attrs.field(factory=dict)
    next_completion: int = 1
    highest_runs: dict[str, int] = attrs.field(factory=dict)
    last_lapsed_completion: int = 0
    polled: bool = False


@attrs.frozen(kw_only=True, eq=False)
class Ticket:
    """The advisor's ticket for the tasks of a step.

    Attributes
    ----------
    step : str
        The step.
    life : Incarnation or None
        The incarnation that accepts it; None if the worker was down.
    issued_at : float
        When it was issued.
    """

    step: str
    life: Incarnation | None
    issued_at: float


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A worker, whichever incarnation of it lives.

    Attributes
    ----------
    id, address : str
        Its id, and the address at which its incarnation is reached.
    cpu : int
        Its processors, in thousandths.
    life : Incarnation or None
        The incarnation that lives.
    cut_until : float
        Until when no call reaches it and no answer leaves it.
    calls : int
        Calls that it is executing.
    """

    id: str
    address: str
    cpu: int
    life: Incarnation | None = None
    cut_until: float = 0.0
    calls: int = 0


def answer_all(kind: str, worker: Worker, call: dict[str, object]) -> Fate:
    """Let all calls be answered."""
    return ANSWERED


@attrs.define(kw_only=True, eq=False)
class World:
    """Workers, the store, and what has happened.

    Attributes
    ----------
    loop : VirtualLoop
        The loop.
    longest_lease_s : float
        Longest lease of the workers.
    workers : dict of str to Worker
        Workers by id.
    foreign : set of str
        Addresses at which another worker answers.
    durations : dict of str to float
        Durations of the runs of each task; others take a second.
    history : list of RunRecord
        All runs that were executed.
    fate : function
        ``fate(kind, worker, call)`` decides about each call as it arrives.
    items : dict of str to Item
        Items of the store.
    revision : int
        The store's revision.
    late : set of Task
        Calls that are executed later.
    stopped : set of (str, int)
        Runs of which a stop was acknowledged.
    validity_s : dict of str to float
        Validity of the tickets of each step that needs one.
    tickets : dict of str to Ticket
        Tickets that were issued.
    rejected : list of (str, int, str)
        Task, run and reason of each start that a worker rejected.
    executes_undecidable : bool
        Whether late calls are executed after which no owner could keep a task
        to one run; see `_is_undecidable`.
    """

    loop: _virtual_time.VirtualLoop
    longest_lease_s: float
    workers: dict[str, Worker] = attrs.field(factory=dict)
    foreign: set[str] = attrs.field(factory=set)
    durations: dict[str, float] = attrs.field(factory=dict)
    history: list[RunRecord] = attrs.field(factory=list)
    fate: collections.abc.Callable[[str, Worker, dict[str, object]], Fate] = (
        answer_all
    )
    items: dict[str, platform.Item] = attrs.field(factory=dict)
    revision: int = 100
    late: set[asyncio.Task[None]] = attrs.field(factory=set)
    stopped: set[tuple[str, int]] = attrs.field(factory=set)
    validity_s: dict[str, float] = attrs.field(factory=dict)
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    rejected: list[tuple[str, int, str]] = attrs.field(factory=list)
    executes_undecidable: bool = False


def add_worker(
    world: World,
    worker_id: str,
    *,
    cpu: int = 1000,
    born_ms: int = 1_000_000,
    origin_ms: int = 500_000,
    rate: float = 1.0,
) -> Worker:
    """Add a worker with its first incarnation."""
    worker = Worker(
        id=worker_id,
        address=f"127.0.0.1:{len(world.workers) + 1}",
        cpu=cpu,
    )
    worker.life = Incarnation(
        born_ms=born_ms,
        born_at=world.loop.time(),
        origin_ms=origin_ms,
        rate=rate,
    )
    world.workers[worker_id] = worker
    return worker


def crash(world: World, worker: Worker) -> None:
    """End an incarnation with all that it runs and knows."""
    life = worker.life
    if life is None:
        return
    settle(world, life)
    for record in life.runs.values():
        record.ended_at, record.how = world.loop.time(), "crashed"
    # A poll that waits in it may settle it once more.
    life.runs.clear()
    worker.life = None


def fail_runs(world: World, worker: Worker) -> None:
    """End the runs of a worker, which tells of them as failed."""
    settle(world, worker.life)
    for record in list(worker.life.runs.values()):
        _end(worker.life, record, world.loop.time(), "failed")


async def restart(
    world: World,
    worker: Worker,
    *,
    silent_s: float,
    born_ms: int,
    origin_ms: int,
    rate: float = 1.0,
) -> None:
    """Restart a worker; calls that arrive meanwhile reach its new life."""
    crash(world, worker)
    await asyncio.sleep(silent_s)
    # Another restart may have ended meanwhile.
    crash(world, worker)
    worker.life = Incarnation(
        born_ms=born_ms,
        born_at=world.loop.time(),
        origin_ms=origin_ms,
        rate=rate,
    )


def cut(world: World, worker: Worker, seconds: float) -> None:
    """Keep calls from a worker, and its answers from their callers."""
    worker.cut_until = world.loop.time() + seconds


def issue_ticket(world: World, worker: Worker, step: str) -> str:
    """Issue a ticket for the worker's present incarnation."""
    name = f"t{len(world.tickets)}"
    world.tickets[name] = Ticket(
        step=step, life=worker.life, issued_at=world.loop.time()
    )
    return name


def _is_valid_ticket(
    world: World, life: Incarnation, call: dict[str, object]
) -> bool:
    """Return whether a start has a valid ticket or needs none.

    The validity passes on the worker's own clock.
    """
    step = call["task"].rpartition(".")[0]
    if step not in world.validity_s:
        return True
    ticket = world.tickets.get(call["ticket"])
    if ticket is None or ticket.step != step or ticket.life is not life:
        return False
    age_s = (world.loop.time() - ticket.issued_at) * life.rate
    return age_s <= world.validity_s[step]


def make_entry(worker: Worker) -> platform.Item:
    """Return the worker's entry in the store."""
    value = {
        "service": SERVICE,
        "addr": worker.address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": worker.life.born_ms,
        "capacity": {"cpu": worker.cpu, "memMb": 8000, "gpu": 0},
        "labels": ["a", "r1-1"],
    }
    return platform.Item(
        key=f"{_keys.WORKERS}{worker.id}", value=json.dumps(value).encode()
    )


def read_clock_ms(world: World, life: Incarnation) -> int:
    """Return the reading of an incarnation's clock."""
    elapsed_s = world.loop.time() - life.born_at
    return life.origin_ms + int(elapsed_s * 1000 * life.rate)


def settle(world: World, life: Incarnation) -> None:
    """End the runs that are due, and all once the lease has expired."""
    now = world.loop.time()
    lease_s = (life.lease_ms - life.origin_ms) / 1000 / life.rate
    expires_at = life.born_at + lease_s
    for record in sorted(life.runs.values(), key=lambda run: run.due_at):
        if record.due_at <= min(now, expires_at):
            _end(life, record, record.due_at, "done")
        elif expires_at < now:
            _end(life, record, max(expires_at, record.started_at), "lapsed")
    if expires_at < now:
        life.last_lapsed_completion = life.next_completion - 1


def _end(
    life: Incarnation, record: RunRecord, ended_at: float, how: str
) -> None:
    del life.runs[(record.task, record.run)]
    record.ended_at, record.how = ended_at, how
    life.ended[life.next_completion] = record
    life.next_completion += 1
    _raise_highest_run(life, record.task, record.run)


def _raise_highest_run(life: Incarnation, task: str, run: int) -> None:
    life.highest_runs[task] = max(life.highest_runs.get(task, 0), run)


def _execute(
    world: World,
    worker: Worker,
    life: Incarnation,
    kind: str,
    call: dict[str, object],
) -> tuple[int, str]:
    """Execute a call, and return its status and the reason of a rejection."""
    settle(world, life)
    acknowledged = call.get("acknowledged_completion", 0)
    if call["fencing_token"] < life.fencing_token:
        return 409, "fence"
    life.fencing_token = call["fencing_token"]
    clock_ms = read_clock_ms(world, life)
    deadline_ms = call.get("deadline_ms")
    if deadline_ms is not None:
        longest_ms = clock_ms + world.longest_lease_s * 1000
        life.lease_ms = max(life.lease_ms, min(deadline_ms, longest_ms))
    for number in [each for each in life.ended if each <= acknowledged]:
        record = life.ended.pop(number)
        if number > life.last_lapsed_completion:
            record.acknowledged_at = world.loop.time()
    if kind == "start":
        reason = _start(world, worker, life, call, late=deadline_ms < clock_ms)
        if reason:
            world.rejected.append((call["task"], call["run"], reason))
        return (409, reason) if reason else (200, "")
    if kind == "stop":
        task, run = call["task"], call["run"]
        if (task, run) in life.runs:
            _end(life, life.runs[(task, run)], world.loop.time(), "stopped")
        _raise_highest_run(life, task, run)
    return 200, ""


def _start(
    world: World,
    worker: Worker,
    life: Incarnation,
    call: dict[str, object],
    *,
    late: bool,
) -> str:
    """Start a run; return the reason of a rejection, or ""."""
    task, run = call["task"], call["run"]
    if (task, run) in life.runs:
        return ""
    if run <= life.highest_runs.get(task, 0):
        return "old"
    if late:
        return "late"
    if not _is_valid_ticket(world, life, call):
        return "ticket"
    now = world.loop.time()
    record = RunRecord(
        task=task,
        run=run,
        worker_id=worker.id,
        born_ms=life.born_ms,
        started_at=now,
        due_at=now + world.durations.get(task, 1.0),
    )
    life.runs[(task, run)] = record
    world.history.append(record)
    return ""


def _is_undecidable(
    world: World, life: Incarnation, kind: str, call: dict[str, object]
) -> bool:
    """Return whether no owner could keep a task to one run after a call.

    The call forgets completions of an incarnation that has not told of them
    yet, or starts a run there whose stop a former one has acknowledged.
    """
    if life.polled or world.executes_undecidable:
        return False
    if kind == "start":
        return (call["task"], call["run"]) in world.stopped
    return bool(life.ended) and call.get("acknowledged_completion", 0) > 0


async def _execute_late(
    world: World,
    worker: Worker,
    kind: str,
    call: dict[str, object],
    delay_s: float,
) -> None:
    await asyncio.sleep(delay_s)
    life = worker.life
    if life is not None and not _is_undecidable(world, life, kind, call):
        _execute(world, worker, life, kind, call)


def execute_later(
    world: World,
    worker: Worker,
    kind: str,
    call: dict[str, object],
    delay_s: float,
) -> None:
    """Execute a call after a delay, in whichever incarnation then lives."""
    task = asyncio.ensure_future(
        _execute_late(world, worker, kind, call, delay_s)
    )
    world.late.add(task)
    task.add_done_callback(world.late.discard)


def _is_reachable(world: World, worker: Worker) -> bool:
    return worker.life is not None and world.loop.time() >= worker.cut_until


async def _call(
    world: World,
    kind: str,
    address: platform.WorkerAddress,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
    call: dict[str, object],
) -> platform.PollReply | platform.CommandReply:
    if not may_send():
        raise errors.PlatformError(
            message="withheld", remedy="none", sent=False
        )
    worker = world.workers[address.id]
    due_at = world.loop.time() + timeout_s
    reply = await _transfer(world, worker, kind, address, due_at, call)
    if reply is None or world.loop.time() >= due_at:
        await asyncio.sleep(due_at - world.loop.time())
        raise errors.PlatformError(message="timeout", remedy="none", sent=True)
    return reply


async def _transfer(
    world: World,
    worker: Worker,
    kind: str,
    address: platform.WorkerAddress,
    due_at: float,
    call: dict[str, object],
) -> platform.PollReply | platform.CommandReply | None:
    await asyncio.sleep(HALF_TRIP_S)
    if address.address in world.foreign:
        return platform.CommandReply(status=421, clock_ms=1)
    if address.address != worker.address:
        return None
    fate = world.fate(kind, worker, call)
    if not fate.answered and fate.delay_s:
        if fate.delay_s < math.inf:
            execute_later(world, worker, kind, call, fate.delay_s)
        return None
    while not _is_reachable(world, worker):
        now = world.loop.time()
        if now >= due_at:
            return None
        await asyncio.sleep(max(STEP_S, min(worker.cut_until, due_at) - now))
    life = worker.life
    if fate.status != 200:
        return platform.CommandReply(
            status=fate.status, clock_ms=read_clock_ms(world, life)
        )
    if _is_undecidable(world, life, kind, call):
        return None
    status, reason = _execute(world, worker, life, kind, call)
    worker.calls += 1
    try:
        if kind == "poll" and status == 200:
            await _wait_for_completion(world, life, call["wait_s"])
    finally:
        worker.calls -= 1
    if (
        not fate.answered
        or worker.life is not life
        or not _is_reachable(world, worker)
    ):
        return None
    if kind == "poll" and status == 200:
        life.polled = True
        reply = _make_poll_reply(world, life)
    else:
        if kind == "stop" and status == 200:
            world.stopped.add((call["task"], call["run"]))
        reply = platform.CommandReply(
            status=status, reason=reason, clock_ms=read_clock_ms(world, life)
        )
    await asyncio.sleep(HALF_TRIP_S)
    return reply


async def _wait_for_completion(
    world: World, life: Incarnation, wait_s: float
) -> None:
    waits_until = world.loop.time() + wait_s
    while not life.ended and world.loop.time() < waits_until:
        await asyncio.sleep(STEP_S if life.runs else IDLE_STEP_S)
        settle(world, life)


def _make_poll_reply(world: World, life: Incarnation) -> platform.PollReply:
    now = world.loop.time()
    return platform.PollReply(
        clock_ms=read_clock_ms(world, life),
        born_ms=life.born_ms,
        running=tuple(
            platform.RunReport(
                task=record.task,
                run=record.run,
                checkpoint="",
                percent=99
                * (now - record.started_at)
                / (record.due_at - record.started_at),
                latency_ms_or_cpu=0,
            )
            for record in life.runs.values()
        ),
        ended=tuple(
            platform.Completion(
                number=number,
                task=record.task,
                run=record.run,
                result=record.how,
                checkpoint="",
            )
            for number, record in sorted(life.ended.items())
        ),
    )


def install(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the platform's functions call the simulated workers and store."""

    def make(kind: str) -> collections.abc.Callable[..., object]:
        async def call_worker(
            http: object,
            worker: platform.WorkerAddress,
            *,
            timeout_s: float,
            may_send: collections.abc.Callable[[], bool],
            wait_s: float = 0.0,
            **fields: object,
        ) -> platform.PollReply | platform.CommandReply:
            return await _call(
                world,
                kind,
                worker,
                timeout_s + wait_s,
                may_send,
                {**fields, "wait_s": wait_s},
            )

        return call_worker

    async def commit(
        store: object,
        transaction: platform.Transaction,
        *,
        may_send: collections.abc.Callable[[], bool] | None = None,
    ) -> int:
        await asyncio.sleep(STORE_S / 2)
        revision = _commit(world, transaction)
        await asyncio.sleep(STORE_S / 2)
        return revision

    monkeypatch.setattr(platform, "poll_worker", make("poll"))
    monkeypatch.setattr(platform, "start_run", make("start"))
    monkeypatch.setattr(platform, "stop_run", make("stop"))
    monkeypatch.setattr(platform, "throttle_run", make("throttle"))
    monkeypatch.setattr(platform, "commit", commit)


def put(world: World, key: str, value: bytes) -> int:
    """Write an item, and return its revision."""
    world.revision += 1
    world.items[key] = platform.Item(
        key=key, value=value, revision=world.revision
    )
    return world.revision


def _commit(world: World, transaction: platform.Transaction) -> int:
    current = {
        key: world.items[key]
        for key in transaction.expect
        if key in world.items
    }
    for key, revision in transaction.expect.items():
        known = current[key].revision if key in current else 0
        if known != revision:
            raise platform.ConditionError(tuple(current.values()))
    world.revision += 1
    for key, value in transaction.put.items():
        world.items[key] = platform.Item(
            key=key, value=value, revision=world.revision
        )
    for key in transaction.remove:
        world.items.pop(key, None)
    return world.revision


def settle_all(world: World) -> None:
    """Bring the history up to now."""
    for worker in world.workers.values():
        if worker.life is not None:
            settle(world, worker.life)


def find_faults(world: World) -> list[str]:
    """Return what must not happen, whatever the workers do."""
    settle_all(world)
    faults = []
    runs = sorted(world.history, key=lambda record: record.started_at)
    for number, run in enumerate(runs):
        for earlier in runs[:number]:
            if earlier.task != run.task:
                continue
            if earlier.ended_at > run.started_at:
                faults.append(f"two runs at once: {earlier} {run}")
            elif (
                earlier.how == "done"
                and earlier.acknowledged_at <= run.started_at
            ):
                faults.append(f"started after done: {earlier} {run}")
        used = sum(
            other.worker_id == run.worker_id
            and other.started_at <= run.started_at < other.ended_at
            for other in runs
        )
        if used * 1000 > world.workers[run.worker_id].cpu:
            faults.append(f"more than the capacity: {run}")
    return faults


def list_done(world: World) -> set[str]:
    """Return the tasks of which a run has ended as done."""
    settle_all(world)
    return {run.task for run in world.history if run.how == "done"}
