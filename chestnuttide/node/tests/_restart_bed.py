"""An owner of simulated workers that restart and execute calls late."""

import asyncio
import collections
import collections.abc
import math

import attrs
import pytest

from chestnuttide.node import _commands
from chestnuttide.node import _commits
from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _starts
from chestnuttide.node import _updates
from chestnuttide.node.tests import _restarting_worker
from chestnuttide.node.tests import _virtual_time
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

# Readings of a new incarnation's clock; the former one's starts at 500 s.
LOWER_MS = 20_000
HIGHER_MS = 90_000_000

PLAN_PERIOD_S = 0.05
HEARTBEAT_S = 1.0
SILENT_S = 0.25

ORIGINS = pytest.mark.parametrize(
    "origin_ms",
    [
        pytest.param(LOWER_MS, id="clock-starts-lower"),
        pytest.param(HIGHER_MS, id="clock-starts-higher"),
    ],
)
LEASES = pytest.mark.parametrize(
    "longest_lease_s",
    [
        pytest.param(6.0, id="lease-of-6-s"),
        pytest.param(10.0, id="lease-of-10-s"),
    ],
)


@attrs.define(kw_only=True)
class Bed:
    """An owner of simulated workers.

    Attributes
    ----------
    world : World
        The workers and the store.
    owner : Ownership
        The present owner.
    listed : set of str
        Ids of the workers whose entries the store has.
    loops : set of Task
        The loops of the owners and of the workers' entries.
    disallowed : set of str
        Ids of the workers for which the advisor gives no tickets.
    start_queries : function or None
        Sends the advisor queries of a planning round; None to answer each by
        itself.
    """

    world: _restarting_worker.World
    owner: _ownership.Ownership
    listed: set[str] = attrs.field(factory=set)
    loops: set[asyncio.Task[None]] = attrs.field(factory=set)
    disallowed: set[str] = attrs.field(factory=set)
    start_queries: (
        collections.abc.Callable[
            [_ownership.Ownership, tuple[workloads.AdvisorQuery, ...]], None
        ]
        | None
    ) = None


def _make_owner(world: _restarting_worker.World) -> _ownership.Ownership:
    service = _restarting_worker.SERVICE
    token = _restarting_worker.put(world, _keys.owner(service), b"")
    return _ownership.Ownership(
        service=service,
        fencing_token=token,
        session=None,
        store=None,
        workers_http=None,
        pool=workloads.Pool(
            service=service,
            limits=workloads.TimeLimits(
                lease_s=2.5, longest_lease_s=world.longest_lease_s
            ),
        ),
        metrics=_metrics.make_metrics(),
        confirmed_at=math.inf,
        former_owner_stopped=True,
        ready=True,
    )


def _make_bed(
    loop: _virtual_time.VirtualLoop,
    monkeypatch: pytest.MonkeyPatch,
    *,
    longest_lease_s: float = 10.0,
    rate: float = 1.0,
    count: int = 2,
    born_ms: int = 2_000_000,
) -> Bed:
    """Return an owner of which the first worker is listed."""
    world = _restarting_worker.World(
        loop=loop, longest_lease_s=longest_lease_s
    )
    for number in range(count):
        _restarting_worker.add_worker(
            world, f"w{number}", cpu=2000, rate=rate, born_ms=born_ms
        )
    _restarting_worker.install(world, monkeypatch)
    bed = Bed(world=world, owner=_make_owner(world))
    _start_loops(bed, bed.owner)
    start_loop(bed, _report_workers(bed))
    list_worker(bed, world.workers["w0"])
    return bed


def start_loop(
    bed: Bed, coroutine: collections.abc.Coroutine[None, None, None]
) -> None:
    bed.loops.add(asyncio.ensure_future(coroutine))


def _start_loops(bed: Bed, owner: _ownership.Ownership) -> None:
    start_loop(bed, _commits.commit_loop(owner))
    start_loop(bed, _plan(bed, owner))


async def _plan(bed: Bed, owner: _ownership.Ownership) -> None:
    while not owner.deposed.is_set():
        now = asyncio.get_running_loop().time()
        if not owner.stopping:
            _plan_round(bed, owner, now)
        _polls.expire_silent_leases(owner)
        _starts.supervise(owner)
        workloads.settle_crashes(owner.pool, now=now, now_unix_s=now)
        for worker in owner.pool.workers.values():
            _commands.send_due_stops(owner, worker)
        await asyncio.sleep(PLAN_PERIOD_S)


def _plan_round(bed: Bed, owner: _ownership.Ownership, now: float) -> None:
    plan = workloads.make_plan(owner.pool, now=now)
    if plan.runs:
        _ownership.request_commit(owner, urgent=True)
    if bed.start_queries is not None:
        bed.start_queries(owner, plan.queries)
        return
    for query in plan.queries:
        workloads.record_query(query)
        start_loop(bed, _query_advisor(bed, query))


async def _query_advisor(bed: Bed, query: workloads.AdvisorQuery) -> None:
    await asyncio.sleep(query.duration_s)
    step = f"{query.job.spec.id}.{query.occurrence}.{query.step}"
    tickets = issue_tickets(
        bed, step, (worker.report.id for worker in query.workers)
    )
    workloads.record_query_result(
        query, tickets, now=bed.world.loop.time(), retry_s=0.2
    )


def issue_tickets(
    bed: Bed, step: str, worker_ids: collections.abc.Iterable[str]
) -> dict[str, str]:
    """Issue tickets for the incarnations of allowed workers that live now."""
    return {
        worker_id: _restarting_worker.issue_ticket(
            bed.world, bed.world.workers[worker_id], step
        )
        for worker_id in worker_ids
        if worker_id not in bed.disallowed
    }


async def _report_workers(bed: Bed) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for worker in bed.world.workers.values():
            if worker.life is not None and worker.id in bed.listed:
                list_worker(bed, worker)


def list_worker(bed: Bed, worker: _restarting_worker.Worker) -> None:
    """Apply a worker's entry, which the store lists from now on."""
    bed.listed.add(worker.id)
    entry = _restarting_worker.make_entry(worker)
    _updates.apply_worker_entry(bed.owner, entry)


def submit(
    bed: Bed,
    number: int,
    duration_s: float,
    *,
    validity_s: float | None = None,
    advice: workloads.Advice | None = None,
    lasting: bool = False,
) -> str:
    """Submit a job of one task, and return the task's name.

    Its queue has advice if its tickets have a validity, or as given.
    """
    if validity_s is not None:
        advice = workloads.Advice(
            decide_s=0.02, per_worker_s=0.0, validity_s=validity_s
        )
    spec = _pool_fixtures.make_spec(
        _pool_fixtures.make_step(lasting=lasting),
        job_id=f"{number:016x}",
        advice=advice,
    )
    if advice is not None:
        bed.world.validity_s[f"{spec.id}.0.0"] = advice.validity_s
    key = _keys.job(bed.owner.service, spec.id)
    _restarting_worker.put(bed.world, key, workloads.encode_job(spec))
    _updates.apply_job(bed.owner, bed.world.items[key])
    task = f"{spec.id}.0.0.0"
    bed.world.durations[task] = duration_s
    return task


async def take_over(bed: Bed, *, stopped: bool) -> None:
    """Replace the owner by one that reads the records."""
    bed.owner.deposed.set()
    owner = _make_owner(bed.world)
    owner.former_owner_stopped = stopped
    owner.session = bed.owner.session
    _updates.record_former_owner(owner)
    bed.owner = owner
    await asyncio.sleep(_restarting_worker.STORE_S)
    for worker in bed.world.workers.values():
        if worker.id in bed.listed and worker.life is not None:
            list_worker(bed, worker)
    items = list(bed.world.items.values())
    _updates.apply_work_items(owner, items)
    for item in items:
        if item.key.startswith(_keys.progress(owner.service)):
            _updates.apply_progress(owner, item)
    for worker in list(owner.pool.workers.values()):
        _polls.ensure_poll_loop(owner, worker)
    _start_loops(bed, owner)


def runs_of(bed: Bed, task: str) -> list[_restarting_worker.RunRecord]:
    return [run for run in bed.world.history if run.task == task]


async def until(
    condition: collections.abc.Callable[[], object], within_s: float
) -> bool:
    """Wait for a condition; return whether it came true in time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    while not condition():
        if loop.time() >= until:
            return False
        await asyncio.sleep(0.001)
    return True


async def submit_and_start(bed: Bed, number: int, duration_s: float) -> str:
    task = submit(bed, number, duration_s)
    assert await until(lambda: runs_of(bed, task), 20.0)
    return task


async def wait_between_polls(
    bed: Bed, worker: _restarting_worker.Worker
) -> None:
    """Wait until a reply has left, and before the next poll arrives."""
    assert await until(lambda: worker.calls, 3.0)
    assert await until(lambda: not worker.calls, 3.0)


async def _check_to_the_end(bed: Bed, within_s: float = 90.0) -> None:
    """Check that each task runs to its end, and never beside another run.

    A task under which two workers have crashed may be given up.
    """
    tasks = set(bed.world.durations)
    until = bed.world.loop.time() + within_s
    while bed.world.loop.time() < until:
        await asyncio.sleep(0.5)
        faults = _restarting_worker.find_faults(bed.world)
        assert not faults
        if not _list_unfinished(bed, tasks):
            break
    # A repetition would start within the longest wait for a silent worker.
    await asyncio.sleep(30.0)
    assert not _restarting_worker.find_faults(bed.world)
    assert not _list_unfinished(bed, tasks)


def _list_unfinished(bed: Bed, tasks: set[str]) -> set[str]:
    done = _restarting_worker.list_done(bed.world)
    crashes = collections.Counter(
        run.task for run in bed.world.history if run.how == "crashed"
    )
    return {task for task in tasks - done if crashes[task] < 2}


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: collections.abc.Callable[
        [Bed], collections.abc.Coroutine[None, None, None]
    ],
    *,
    to_the_end: bool = True,
    **fields: object,
) -> None:
    """Run a scenario and check what the workers saw.

    Tasks that last have no end to wait for.
    """

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = _make_bed(loop, monkeypatch, **fields)
        await scenario(bed)
        if to_the_end:
            await _check_to_the_end(bed)
        assert not _restarting_worker.find_faults(bed.world)

    _virtual_time.run(monkeypatch, main)


async def restart_between_polls(
    bed: Bed, *, origin_ms: int, rate: float
) -> None:
    worker = bed.world.workers["w0"]
    await wait_between_polls(bed, worker)
    await _restarting_worker.restart(
        bed.world,
        worker,
        silent_s=SILENT_S,
        born_ms=3_000_000,
        origin_ms=origin_ms,
        rate=rate,
    )


def cut_and_offer_another(bed: Bed, seconds: float = 14.0) -> None:
    workers = bed.world.workers
    _restarting_worker.cut(bed.world, workers["w0"], seconds)
    list_worker(bed, workers["w1"])


def decide_once(
    bed: Bed,
    kind: str,
    task: str,
    decide: collections.abc.Callable[[], _restarting_worker.Fate],
) -> None:
    """Let a function decide about the first call of a kind for a task."""
    open_calls = [kind]

    def fate(
        kind: str,
        worker: _restarting_worker.Worker,
        call: dict[str, object],
    ) -> _restarting_worker.Fate:
        if kind in open_calls and call.get("task", "") == task:
            open_calls.clear()
            return decide()
        return _restarting_worker.ANSWERED

    bed.world.fate = fate


def crash_and_restart(
    bed: Bed, *, origin_ms: int, silent_s: float = SILENT_S
) -> None:
    """Crash the first worker at once, and restart it after a silence."""
    _restarting_worker.crash(bed.world, bed.world.workers["w0"])
    start_loop(
        bed,
        _restarting_worker.restart(
            bed.world,
            bed.world.workers["w0"],
            silent_s=silent_s,
            born_ms=3_000_000,
            origin_ms=origin_ms,
        ),
    )
