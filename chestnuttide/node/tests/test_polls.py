"""Polls of many workers by an owner whose processor is small."""

import asyncio
import collections
import collections.abc
import math

import attrs
import pytest

from chestnuttide import errors
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _poll_pacing
from chestnuttide.node import _poll_turns
from chestnuttide.node import _polls
from chestnuttide.node.tests import _virtual_time
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads import _state
from chestnuttide.workloads.tests import _pool_fixtures

ROUND_TRIP_S = 0.005

# Processor time of a poll on a small instance; half of it is for sending.
POLL_COST_S = 0.0005

# The former owner's leases at the start of the polls.
FORMER_LEASE_S = 0.8


@attrs.define(kw_only=True)
class _Bed:
    """Simulated workers of one owner.

    Attributes
    ----------
    loop : VirtualLoop
        The owner's loop.
    owner : Ownership
        Their owner.
    silent : set of str
        Ids of workers that do not answer.
    polls : dict of str to list of float
        Times at which each was polled.
    waits : list of float
        Waits of all polls.
    replied_at : dict of str to float
        Time of the first reply of each that answers.
    leases : dict of str to float
        When the lease of each ends that has one.
    lapsed : set of str
        Those whose lease ended.
    blamed : set of str
        Those that answer and were counted as unresponsive.
    running, most : int
        Polls in progress, and the most at once.
    watch : Task or None
        Measures the loop's delay.
    """

    loop: _virtual_time.VirtualLoop
    owner: _ownership.Ownership
    silent: set[str]
    polls: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    waits: list[float] = attrs.field(factory=list)
    replied_at: dict[str, float] = attrs.field(factory=dict)
    leases: dict[str, float] = attrs.field(factory=dict)
    lapsed: set[str] = attrs.field(factory=set)
    blamed: set[str] = attrs.field(factory=set)
    running: int = 0
    most: int = 0
    watch: asyncio.Task[None] | None = None


async def _answer(
    bed: _Bed,
    worker: platform.WorkerAddress,
    *,
    deadline_ms: int | None,
    wait_s: float,
    timeout_s: float,
) -> platform.PollReply:
    loop = bed.loop
    sent_at = loop.time()
    bed.polls[worker.id].append(sent_at)
    bed.waits.append(wait_s)
    loop.spend(POLL_COST_S / 2)
    due_at = sent_at + wait_s + timeout_s
    if worker.id in bed.silent:
        await asyncio.sleep(max(0.0, due_at - loop.time()))
    else:
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if worker.id in bed.leases:
            if loop.time() > bed.leases[worker.id]:
                bed.lapsed.add(worker.id)
            if deadline_ms is not None:
                bed.leases[worker.id] = deadline_ms / 1000
        await asyncio.sleep(wait_s + ROUND_TRIP_S / 2)
    loop.spend(POLL_COST_S / 2)
    if loop.time() >= due_at:
        # libcurl ends a transfer in time even if its reply has arrived.
        raise errors.PlatformError(message="timeout", remedy="none", sent=True)
    bed.replied_at.setdefault(worker.id, loop.time())
    known = bed.owner.pool.workers[f"{worker.id}@1"]
    return platform.PollReply(
        clock_ms=int(loop.time() * 1000),
        born_ms=1,
        running=tuple(
            platform.RunReport(
                task=run.task,
                run=run.number,
                checkpoint="",
                percent=1,
                latency_ms_or_cpu=0,
            )
            for run in known.runs.values()
        ),
        ended=(),
    )


def _make_bed(
    loop: _virtual_time.VirtualLoop,
    monkeypatch: pytest.MonkeyPatch,
    *,
    workers: int,
    busy: int,
    silent: int,
    limits: _poll_pacing.Limits = _poll_pacing.Limits(),
) -> _Bed:
    """Return an owner that has just taken over; the last workers are busy.

    Every fifth worker is silent, if any is.
    """
    pool = _pool_fixtures.make_pool(workers)
    for worker in pool.workers.values():
        worker.last_reply_at = 0.0
        worker.clock_at = None
        worker.clock_ms = 0
    owner = _ownership.Ownership(
        service="workshop",
        fencing_token=7,
        session=None,
        store=None,
        workers_http=None,
        pool=pool,
        metrics=_metrics.make_metrics(),
        confirmed_at=math.inf,
        pacing=_poll_pacing.Pacing(limits=limits),
    )
    names = [worker.report.id for worker in pool.workers.values()]
    bed = _Bed(loop=loop, owner=owner, silent=set(names[::5][:silent]))
    if busy:
        _add_runs(bed, busy)

    async def poll_worker(
        http: object,
        worker: platform.WorkerAddress,
        *,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
        **fields: object,
    ) -> platform.PollReply:
        bed.running += 1
        bed.most = max(bed.most, bed.running)
        try:
            return await _answer(
                bed,
                worker,
                deadline_ms=deadline_ms,
                wait_s=wait_s,
                timeout_s=timeout_s,
            )
        finally:
            bed.running -= 1

    monkeypatch.setattr(platform, "poll_worker", poll_worker)
    return bed


def _add_runs(bed: _Bed, busy: int) -> None:
    pool = bed.owner.pool
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=busy))
    workers = [
        worker
        for worker in pool.workers.values()
        if worker.report.id not in bed.silent
    ]
    _pool_fixtures.create_all_units(job)
    for worker, unit in zip(workers[-busy:], job.units.values(), strict=True):
        run = _state.Run(
            job=job,
            unit=unit,
            index=0,
            number=1,
            worker_key=worker.key,
            need=job.spec.steps[0].need,
            phase=workloads.Phase.UNCERTAIN,
        )
        _state.set_unit_state(job, unit, _state.UnitState.ACTIVE)
        unit.runs.append(run)
        _state.allocate(worker, run)
        worker.lease_until = bed.loop.time() + 7.5
        bed.leases[worker.report.id] = bed.loop.time() + FORMER_LEASE_S


def _start_polls(bed: _Bed) -> None:
    owner = bed.owner
    bed.watch = asyncio.ensure_future(
        _poll_turns.delay_loop(
            owner.pacing, {"workshop": owner}, owner.metrics
        )
    )
    for worker in list(owner.pool.workers.values()):
        _polls.ensure_poll_loop(owner, worker)


async def _go_on(bed: _Bed, seconds: float) -> None:
    owner = bed.owner
    until = bed.loop.time() + seconds
    while bed.loop.time() < until:
        await asyncio.sleep(0.05)
        bed.blamed.update(
            worker.report.id
            for worker in owner.pool.workers.values()
            if worker.failed_polls and worker.report.id not in bed.silent
        )


@pytest.mark.parametrize(
    ("workers", "busy", "silent", "within_s"),
    [
        pytest.param(176, 100, 0, 0.3, id="ordinary-size"),
        pytest.param(717, 200, 0, 1.0, id="grown-site"),
        pytest.param(717, 500, 143, 1.5, id="a-fifth-silent"),
        pytest.param(2500, 250, 0, 2.5, id="target-size"),
        pytest.param(2500, 250, 500, 3.0, id="target-size-a-fifth-silent"),
    ],
)
def test_a_takeover_polls_all_workers_without_blaming_them(
    monkeypatch: pytest.MonkeyPatch,
    workers: int,
    busy: int,
    silent: int,
    within_s: float,
) -> None:
    """Guards against owners that poll themselves into an overload.

    All polls of a takeover were sent at once, took longer than their timeout
    and were sent again, so that most workers never became usable and the
    leases of their runs ended.
    """

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = _make_bed(
            loop, monkeypatch, workers=workers, busy=busy, silent=silent
        )
        started_at = loop.time()
        _start_polls(bed)
        await _go_on(bed, 8.0)
        answering = workers - silent
        late = answering - sum(
            at <= started_at + within_s for at in bed.replied_at.values()
        )
        assert (len(bed.blamed), len(bed.lapsed), late) == (0, 0, 0)
        assert bed.most <= _poll_pacing.max_polls(bed.owner.pacing)

    _virtual_time.run(monkeypatch, main)


@pytest.mark.parametrize(
    ("workers", "stall_s"),
    [
        pytest.param(176, 0.6, id="longer-than-a-timeout"),
        pytest.param(717, 1.0, id="grown-site"),
        pytest.param(2500, 0.6, id="target-size"),
    ],
)
def test_a_late_owner_blames_no_worker(
    monkeypatch: pytest.MonkeyPatch, workers: int, stall_s: float
) -> None:
    """Guards against owners that take their own delay for silence.

    Workers that count as unresponsive get no work, and polls do not renew
    their leases.
    """

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        busy = workers // 10
        bed = _make_bed(
            loop, monkeypatch, workers=workers, busy=busy, silent=0
        )
        _start_polls(bed)
        await _go_on(bed, 6.0)
        for _ in range(3):
            loop.spend(stall_s)
            await _go_on(bed, 3.03)
        assert (len(bed.blamed), len(bed.lapsed)) == (0, 0)

    _virtual_time.run(monkeypatch, main)


@pytest.mark.parametrize(
    "stall_s",
    [
        pytest.param(0.0, id="owner-in-time"),
        pytest.param(0.15, id="owner-always-late"),
    ],
)
def test_runs_on_a_dead_worker_are_lost_by_a_late_owner_too(
    monkeypatch: pytest.MonkeyPatch, stall_s: float
) -> None:
    """Guards against a late owner that renews a dead worker's lease for ever.

    Its runs would never be started elsewhere.
    """

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = _make_bed(loop, monkeypatch, workers=20, busy=20, silent=0)
        _start_polls(bed)
        await _go_on(bed, 3.0)
        dead, *others = bed.owner.pool.workers.values()
        bed.silent.add(dead.report.id)
        died_at = loop.time()
        while loop.time() < died_at + 6.0:
            await _go_on(bed, 0.1)
            loop.spend(stall_s)
        assert not dead.runs
        assert dead.failed_polls
        assert all(worker.runs for worker in others)
        assert not bed.blamed

    _virtual_time.run(monkeypatch, main)


@pytest.mark.parametrize(
    "workers", [pytest.param(n, id=f"{n}-workers") for n in (20, 717)]
)
def test_silent_workers_are_polled_seldom_and_seen_soon_again(
    monkeypatch: pytest.MonkeyPatch, workers: int
) -> None:
    """Guards against polls that are sent more often because they fail."""

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = _make_bed(
            loop, monkeypatch, workers=workers, busy=0, silent=workers // 5
        )
        _start_polls(bed)
        await _go_on(bed, 10.0)
        back = set(bed.silent)
        rates = [len(bed.polls[each]) / 10.0 for each in back]
        usual = [
            len(times) / 10.0
            for name, times in bed.polls.items()
            if name not in back
        ]
        assert max(rates) <= 2.5 * min(usual)
        assert max(rates) <= 1 / _poll_pacing.BUSY_POLL_WAIT_S
        bed.silent.clear()
        returned_at = loop.time()
        await _go_on(bed, 2.0)
        assert back <= bed.replied_at.keys()
        assert all(bed.replied_at[each] < returned_at + 1.05 for each in back)

    _virtual_time.run(monkeypatch, main)


def test_few_descriptors_leave_room_for_the_polls_of_all_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against polls that are queued in the client until leases end."""

    async def main(loop: _virtual_time.VirtualLoop) -> None:
        bed = _make_bed(
            loop,
            monkeypatch,
            workers=717,
            busy=500,
            silent=0,
            limits=_poll_pacing.Limits(waiting=200, short=64),
        )
        _start_polls(bed)
        await _go_on(bed, 10.0)
        assert bed.most <= _poll_pacing.max_polls(bed.owner.pacing) == 264
        assert (len(bed.blamed), len(bed.lapsed)) == (0, 0)
        assert len(bed.replied_at) == 717

    _virtual_time.run(monkeypatch, main)
