"""Stand-in for a worker that enforces leases and fencing tokens."""

import asyncio
import collections.abc
import json
import random
import time

import attrs
from tornado import httputil

from standins.cloud import _http


# A worker crashes this long after it has started a deadly task.
CRASH_DELAY_S = 0.01

# Completions in one reply; the others follow once these are acknowledged.
MAX_LISTED_COMPLETIONS = 500

# Begins the tickets that a worker checks.
TICKET_PREFIX = "checked-"


def _ignore(*event: object) -> None:
    """Default of the observer callbacks."""


def _is_never_deadly(task: str) -> bool:
    return False


@attrs.define(kw_only=True)
class Run:
    """A run of a task.

    Attributes
    ----------
    started_at_s, due_at_s : float
        Times of its start and of its scheduled end.
    """

    started_at_s: float
    due_at_s: float


@attrs.define(kw_only=True)
class Worker:
    """A worker in its current incarnation.

    Attributes
    ----------
    id : str
        Worker id.
    service : str
        Service whose tasks it runs.
    capacity : dict of str to int
        Its resources, under the platform's key names.
    incarnation_ms : int
        Start time of the incarnation, by which callers tell it from others.
    run_s : float
        Duration of each run.
    fencing_token : int
        Highest fencing token seen.
    lease_expires_s : float
        Expiry of the lease that covers all runs.
    runs : dict of (str, int) to Run
        Runs in progress, by task and run number.
    highest_ended_runs : dict of str to int
        Highest run number of each task that has ended or was stopped.
    completions : list of list
        Completions not acknowledged yet, as rows of the poll reply.
    next_completion : int
        Number of the next completion.
    starts : list of (str, int)
        All runs that were started, for the tests.
    overlaps : list of str
        Tasks that were started while another run of them was in progress.
    clock_rate : float
        Rate of its clock, which may run up to 2% slow.
    clock_origin_s, born_at_s : float
        Reading of its clock at the start of the incarnation, and the
        monotonic time of that reading.
    longest_lease_s : float
        Longest lease; one that is requested for longer is cut to it.
    late_share : float
        Share of the calls that are not answered and executed later, by
        whichever incarnation then lives.
    late_delay_s : (float, float)
        Least and longest delay of these calls.
    late_rng : Random or None
        Decides which calls these are; None for no calls.
    late_calls : set of Task
        The calls that are still to be executed.
    on_start : function
        Called with each accepted start command before the run begins; one
        that is executed late has the time of its arrival as ``arrived_s``.
    on_completion : function
        Called with the task, the run number and the outcome.
    on_acknowledged : function
        Called with the task, the run number and the outcome when a completion
        is acknowledged. Completions listed before the lease last expired are
        left out.
    last_expired_completion : int
        Highest completion number when the lease was last found expired.
    silent : bool
        Whether requests get no response.
    tickets : dict of str to float
        Monotonic time at which each ticket of this incarnation expires.
    is_deadly : function
        Called with the task of each started run; returns whether the worker
        crashes under it.
    on_crash : function
        Called when it crashes under a task.
    on_call : function
        Called with a description of each call that was executed.
    """

    id: str
    service: str
    capacity: dict[str, int]
    incarnation_ms: int = 1
    run_s: float = 0.2
    fencing_token: int = 0
    lease_expires_s: float = 0.0
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    highest_ended_runs: dict[str, int] = attrs.field(factory=dict)
    completions: list[list[object]] = attrs.field(factory=list)
    next_completion: int = 1
    starts: list[tuple[str, int]] = attrs.field(factory=list)
    overlaps: list[str] = attrs.field(factory=list)
    clock_rate: float = 1.0
    clock_origin_s: float = 0.0
    born_at_s: float = 0.0
    longest_lease_s: float = 10.0
    late_share: float = 0.0
    late_delay_s: tuple[float, float] = (2.0, 12.0)
    late_rng: random.Random | None = None
    late_calls: set[asyncio.Task[None]] = attrs.field(factory=set)
    on_start: collections.abc.Callable[[dict[str, object]], None] = _ignore
    on_completion: collections.abc.Callable[[str, int, str], None] = _ignore
    on_acknowledged: collections.abc.Callable[[str, int, str], None] = _ignore
    last_expired_completion: int = 0
    silent: bool = False
    tickets: dict[str, float] = attrs.field(factory=dict)
    is_deadly: collections.abc.Callable[[str], bool] = _is_never_deadly
    on_crash: collections.abc.Callable[[], None] = _ignore
    on_call: collections.abc.Callable[[dict[str, object]], None] = _ignore


def crash(worker: Worker) -> None:
    """Crash a worker; it answers nothing until it is restarted."""
    if not worker.silent:
        worker.silent = True
        worker.runs.clear()
        worker.on_crash()


def restart(worker: Worker, *, clock_origin_s: float = 0.0) -> None:
    """Start the next incarnation, which knows nothing of the former one.

    Its clock starts at `clock_origin_s`.
    """
    worker.runs.clear()
    worker.highest_ended_runs.clear()
    worker.completions.clear()
    worker.next_completion = 1
    worker.last_expired_completion = 0
    worker.fencing_token = 0
    worker.tickets.clear()
    worker.clock_origin_s = worker.lease_expires_s = clock_origin_s
    worker.born_at_s = time.monotonic()
    worker.incarnation_ms += 1000
    worker.silent = False


def issue_ticket(worker: Worker, *, validity_s: float) -> str:
    """Return a ticket for starts in the worker's present incarnation."""
    now = time.monotonic()
    for ticket, until in list(worker.tickets.items()):
        if until < now:
            del worker.tickets[ticket]
    ticket = f"{TICKET_PREFIX}{worker.id}-{worker.incarnation_ms}-{now}"
    worker.tickets[ticket] = now + validity_s
    return ticket


def _is_valid_ticket(worker: Worker, ticket: str) -> bool:
    if not ticket.startswith(TICKET_PREFIX):
        return True
    return time.monotonic() <= worker.tickets.get(ticket, 0.0)


def encode_entry(worker: Worker, address: str) -> bytes:
    """Return the value of the worker's store entry."""
    return json.dumps(
        {
            "service": worker.service,
            "addr": address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": worker.capacity,
            "labels": ["a", "r1-1"],
            "born": worker.incarnation_ms,
            "seq": 1,
        }
    ).encode()


def end_due_runs(worker: Worker) -> None:
    """End runs that are due, or all runs once the lease has expired."""
    now = time.monotonic()
    if _clock_s(worker) > worker.lease_expires_s:
        worker.last_expired_completion = worker.next_completion - 1
    for key, run in list(worker.runs.items()):
        if _clock_s(worker) > worker.lease_expires_s:
            _end_run(worker, key, "lapsed")
        elif now >= run.due_at_s:
            _end_run(worker, key, "done")


def _end_run(worker: Worker, key: tuple[str, int], outcome: str) -> None:
    del worker.runs[key]
    worker.completions.append([worker.next_completion, *key, outcome, ""])
    worker.next_completion += 1
    worker.highest_ended_runs[key[0]] = max(
        worker.highest_ended_runs.get(key[0], 0), key[1]
    )
    worker.on_completion(*key, outcome)


def _clock_s(worker: Worker) -> float:
    elapsed_s = time.monotonic() - worker.born_at_s
    return worker.clock_origin_s + elapsed_s * worker.clock_rate


def _clock_ms(worker: Worker) -> int:
    return int(_clock_s(worker) * 1000)


async def handle_worker_request(
    worker: Worker,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> _http.Answer:
    """Answer a command or a poll, or execute it later."""
    if worker.silent:
        return None
    expected = request.headers.get("Expect-Instance", worker.id)
    rng = worker.late_rng
    if rng is not None and rng.random() < worker.late_share:
        call = _execute_late(
            worker,
            request.path,
            expected,
            body,
            delay_s=rng.uniform(*worker.late_delay_s),
        )
        task = asyncio.ensure_future(call)
        worker.late_calls.add(task)
        task.add_done_callback(worker.late_calls.discard)
        return None
    return await _execute(worker, request.path, expected, body)


async def _execute_late(
    worker: Worker,
    path: str,
    expected: str,
    body: dict[str, object],
    *,
    delay_s: float,
) -> None:
    late = {**body, "waitMs": 0, "arrived_s": time.monotonic()}
    await asyncio.sleep(delay_s)
    if not worker.silent:
        await _execute(worker, path, expected, late)


async def _execute(
    worker: Worker, path: str, expected: str, body: dict[str, object]
) -> _http.Answer:
    """Execute a call and describe it to the observer."""
    call = {
        "unix_s": round(time.time(), 3),
        "worker": worker.id,
        "incarnation": worker.incarnation_ms,
        "clock_ms": _clock_ms(worker),
        "path": path,
        "fence": body.get("fence", 0),
        "deadline_ms": body.get("deadlineMs"),
        "seen": body.get("seenUpto"),
        "task": body.get("task", ""),
        "run": body.get("run", 0),
        "late": "arrived_s" in body,
        "lease_before_ms": int(worker.lease_expires_s * 1000),
    }
    answer = await _apply(worker, path, expected, body)
    status, document = answer or (0, {})
    call["lease_ms"] = int(worker.lease_expires_s * 1000)
    call["status"] = status
    call["reason"] = document.get("reason", "")
    call["running"] = [row[:2] for row in document.get("running", ())]
    call["ended"] = [row[:4] for row in document.get("ended", ())]
    call["answered_unix_s"] = round(time.time(), 3)
    worker.on_call(call)
    return answer


async def _apply(
    worker: Worker, path: str, expected: str, body: dict[str, object]
) -> _http.Answer:
    end_due_runs(worker)
    clock = {"clockMs": _clock_ms(worker), "born": worker.incarnation_ms}
    if expected != worker.id:
        return 421, clock
    if body.get("fence", 0) < worker.fencing_token:
        return 409, {**clock, "reason": "fence"}
    worker.fencing_token = body.get("fence", 0)
    if path == "/v1/run-start":
        return _start(worker, body, clock)
    _extend_lease(worker, body)
    if path == "/v1/hold":
        return await _poll(worker, body)
    if path == "/v1/run-stop":
        key = (body["task"], body["run"])
        if key in worker.runs:
            _end_run(worker, key, "stopped")
        previous_run = worker.highest_ended_runs.get(body["task"], 0)
        worker.highest_ended_runs[body["task"]] = max(
            previous_run, body["run"]
        )
    return 200, clock


def _extend_lease(worker: Worker, body: dict[str, object]) -> None:
    """Extend the lease by a call that is executed or answered with `old`."""
    if "deadlineMs" not in body:
        return
    longest_s = _clock_s(worker) + worker.longest_lease_s
    deadline_s = min(body["deadlineMs"] / 1000, longest_s)
    worker.lease_expires_s = max(worker.lease_expires_s, deadline_s)


def _start(
    worker: Worker, body: dict[str, object], clock: dict[str, object]
) -> _http.Answer:
    task, run = body["task"], body["run"]
    if (task, run) in worker.runs:
        _extend_lease(worker, body)
        return 200, clock
    if run <= worker.highest_ended_runs.get(task, 0):
        _extend_lease(worker, body)
        return 409, {**clock, "reason": "old"}
    if body["deadlineMs"] < clock["clockMs"]:
        return 409, {**clock, "reason": "late"}
    if not _is_valid_ticket(worker, body.get("ticket", "")):
        return 409, {**clock, "reason": "ticket"}
    _extend_lease(worker, body)
    if any(key[0] == task for key in worker.runs):
        worker.overlaps.append(task)
    worker.on_start(body)
    now = time.monotonic()
    worker.runs[(task, run)] = Run(
        started_at_s=now, due_at_s=now + worker.run_s
    )
    worker.starts.append((task, run))
    if worker.is_deadly(task):
        asyncio.get_running_loop().call_later(CRASH_DELAY_S, crash, worker)
    return 200, clock


def _percent(run: Run, now: float) -> int:
    duration_s = run.due_at_s - run.started_at_s
    return int(99 * (now - run.started_at_s) / duration_s)


async def _poll(worker: Worker, body: dict[str, object]) -> _http.Answer:
    incarnation_ms = worker.incarnation_ms
    seen = body["seenUpto"]
    for number, task, run, outcome, _ in worker.completions:
        if worker.last_expired_completion < number <= seen:
            worker.on_acknowledged(task, run, outcome)
    worker.completions = [row for row in worker.completions if row[0] > seen]
    deadline_s = time.monotonic() + body.get("waitMs", 0) / 1000
    while not worker.completions and time.monotonic() < deadline_s:
        await asyncio.sleep(0.01)
        end_due_runs(worker)
    # A former incarnation's connections are gone.
    if worker.silent or worker.incarnation_ms != incarnation_ms:
        return None
    now = time.monotonic()
    running = [
        [task, run, "", _percent(each, now), 0]
        for (task, run), each in worker.runs.items()
    ]
    return 200, {
        "clockMs": _clock_ms(worker),
        "born": worker.incarnation_ms,
        "running": running,
        "ended": worker.completions[:MAX_LISTED_COMPLETIONS],
    }
