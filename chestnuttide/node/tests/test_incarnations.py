"""Owners of workers that restart under their ids, beside late calls."""

import asyncio
import random

import pytest

from chestnuttide.node import _updates
from chestnuttide.node.tests import _restart_bed
from chestnuttide.node.tests import _restarting_worker

CUT_AFTER_S = 0.6

_RATES = pytest.mark.parametrize(
    "rate",
    [pytest.param(0.98, id="slow-clock"), pytest.param(1.0, id="exact-clock")],
)


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@_RATES
@pytest.mark.parametrize(
    ("entry_after_s", "cut_after_s"),
    [
        pytest.param(0.05, CUT_AFTER_S, id="entry-before-the-poll-reply"),
        pytest.param(0.55, 0.9, id="entry-after-the-poll-reply"),
    ],
)
def test_a_restart_between_two_polls_starts_no_task_twice(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    rate: float,
    entry_after_s: float,
    cut_after_s: float,
) -> None:
    """Guards against leases that last longer in another incarnation."""

    # Issue 45: the next poll carries a deadline on the former one's clock.
    async def scenario(bed: _restart_bed.Bed) -> None:
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        bed.listed.clear()
        await _restart_bed.restart_between_polls(
            bed, origin_ms=origin_ms, rate=rate
        )
        _restart_bed.submit(bed, 2, 9.0)
        await asyncio.sleep(entry_after_s)
        _restart_bed.list_worker(bed, bed.world.workers["w0"])
        await asyncio.sleep(cut_after_s - entry_after_s)
        _restart_bed.cut_and_offer_another(bed)

    _restart_bed.run(
        monkeypatch, scenario, longest_lease_s=longest_lease_s, rate=rate
    )


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@pytest.mark.parametrize(
    "cut_after_s",
    [
        pytest.param(0.01, id="cut-before-any-poll"),
        pytest.param(1.2, id="cut-after-a-poll"),
    ],
)
def test_a_start_that_another_incarnation_answers(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    cut_after_s: float,
) -> None:
    """Guards against a start that is kept under the former one's lease."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)

        def decide() -> _restarting_worker.Fate:
            _restart_bed.crash_and_restart(bed, origin_ms=origin_ms)
            return _restarting_worker.ANSWERED

        second = _restart_bed.submit(bed, 2, 9.0)
        _restart_bed.decide_once(bed, "start", second, decide)
        assert await _restart_bed.until(
            lambda: worker.life and worker.life.born_ms == 3_000_000, 3.0
        )
        await asyncio.sleep(0.05)
        _restart_bed.list_worker(bed, worker)
        await asyncio.sleep(cut_after_s)
        _restart_bed.cut_and_offer_another(bed)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@pytest.mark.parametrize(
    "delay_s",
    [pytest.param(each, id=f"{each}-s-late") for each in (2.0, 6.0, 12.0)],
)
def test_an_unanswered_start_is_executed_by_another_incarnation(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    delay_s: float,
) -> None:
    """Guards against a task that starts elsewhere before a late start."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)

        def decide() -> _restarting_worker.Fate:
            _restart_bed.crash_and_restart(bed, origin_ms=origin_ms)
            return _restarting_worker.Fate(answered=False, delay_s=delay_s)

        second = _restart_bed.submit(bed, 2, 9.0)
        _restart_bed.decide_once(bed, "start", second, decide)
        assert await _restart_bed.until(
            lambda: worker.life and worker.life.born_ms == 3_000_000, 3.0
        )
        _restart_bed.cut_and_offer_another(bed, seconds=24.0)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.ORIGINS
@pytest.mark.parametrize(
    "stays_cut",
    [
        pytest.param(True, id="worker-stays-cut"),
        pytest.param(False, id="worker-is-back"),
    ],
)
def test_an_acknowledgement_for_a_former_incarnation(
    monkeypatch: pytest.MonkeyPatch, origin_ms: int, stays_cut: bool
) -> None:
    """Guards against a task that starts again after an end nobody read."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 12.0)
        for number in (2, 3):
            await _restart_bed.submit_and_start(bed, number, 0.2)
            await asyncio.sleep(1.5)
        taken: list[dict[str, object]] = []

        def take_poll(
            kind: str,
            worker: _restarting_worker.Worker,
            call: dict[str, object],
        ) -> _restarting_worker.Fate:
            if kind == "poll" and not taken:
                taken.append(call)
                return _restarting_worker.LOST
            return _restarting_worker.ANSWERED

        world.fate = take_poll
        assert await _restart_bed.until(lambda: taken, 3.0)
        assert taken[0]["acknowledged_completion"] == 2
        _restart_bed.crash_and_restart(bed, origin_ms=origin_ms)
        assert await _restart_bed.until(
            lambda: worker.life and worker.life.born_ms == 3_000_000, 3.0
        )
        _restart_bed.list_worker(bed, worker)
        assert await _restart_bed.until(lambda: worker.life.polled, 3.0)
        await asyncio.sleep(0.3)
        short = await _restart_bed.submit_and_start(bed, 4, 1.5)
        await asyncio.sleep(0.4)
        if stays_cut:
            _restart_bed.cut_and_offer_another(bed)
        else:
            _restarting_worker.cut(world, worker, 1.7)
        assert await _restart_bed.until(
            lambda: short in _restarting_worker.list_done(world), 3.0
        )
        _restarting_worker.execute_later(world, worker, "poll", taken[0], 0.2)
        await asyncio.sleep(0.5)

    _restart_bed.run(monkeypatch, scenario)


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@pytest.mark.parametrize(
    ("after_s", "stopped"),
    [
        pytest.param(-0.1, True, id="released-during-the-silence"),
        pytest.param(-0.1, False, id="lost-during-the-silence"),
        pytest.param(0.4, True, id="released-after-the-starts"),
        pytest.param(0.4, False, id="lost-after-the-starts"),
        pytest.param(0.8, True, id="released-after-the-cut"),
        pytest.param(0.8, False, id="lost-after-the-cut"),
    ],
)
def test_a_restart_between_two_polls_and_a_change_of_owner(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    after_s: float,
    stopped: bool,
) -> None:
    """Guards against an owner that assumes the leases it asks for itself."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        await _restart_bed.wait_between_polls(bed, worker)
        _restart_bed.crash_and_restart(bed, origin_ms=origin_ms)
        _restart_bed.submit(bed, 2, 9.0)

        async def change_owner() -> None:
            await asyncio.sleep(_restart_bed.SILENT_S + after_s)
            await _restart_bed.take_over(bed, stopped=stopped)

        _restart_bed.start_loop(bed, change_owner())
        await asyncio.sleep(_restart_bed.SILENT_S + 0.05)
        _restart_bed.list_worker(bed, worker)
        await asyncio.sleep(CUT_AFTER_S - 0.05)
        _restart_bed.cut_and_offer_another(bed)
        await asyncio.sleep(1.0)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.ORIGINS
@pytest.mark.parametrize(
    ("former_after_s", "entry_after_s"),
    [
        pytest.param(None, 0.0, id="entry-before-the-poll-reply"),
        pytest.param(None, 0.7, id="entry-after-the-poll-reply"),
        pytest.param(0.6, 0.3, id="former-entry-after-the-poll-reply"),
    ],
)
@pytest.mark.parametrize(
    "cut_at_s",
    [
        pytest.param(None, id="reachable"),
        pytest.param(0.65, id="cut-soon"),
        pytest.param(1.6, id="cut-later"),
    ],
)
def test_a_time_of_day_that_jumped_back(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    former_after_s: float | None,
    entry_after_s: float,
    cut_at_s: float | None,
) -> None:
    """Guards against a new incarnation that is taken for the former one."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        former = _restarting_worker.make_entry(worker)
        await _restart_bed.wait_between_polls(bed, worker)
        bed.listed.clear()
        _restart_bed.submit(bed, 2, 9.0)
        await _restarting_worker.restart(
            bed.world,
            worker,
            silent_s=_restart_bed.SILENT_S,
            born_ms=1_000_000,
            origin_ms=origin_ms,
        )

        async def cut() -> None:
            if cut_at_s is not None:
                await asyncio.sleep(cut_at_s)
                _restart_bed.cut_and_offer_another(bed)

        _restart_bed.start_loop(bed, cut())
        if former_after_s is not None:
            await asyncio.sleep(former_after_s)
            _updates.apply_worker_entry(bed.owner, former)
        await asyncio.sleep(entry_after_s)
        _restart_bed.list_worker(bed, worker)
        await asyncio.sleep(1.2)

    _restart_bed.run(monkeypatch, scenario)


@pytest.mark.parametrize(
    "is_cut",
    [
        pytest.param(False, id="reachable"),
        pytest.param(True, id="cut-at-once"),
    ],
)
@pytest.mark.parametrize(
    "is_new",
    [
        pytest.param(False, id="same-incarnation"),
        pytest.param(True, id="new-incarnation"),
    ],
)
def test_a_rejection_from_a_former_address(
    monkeypatch: pytest.MonkeyPatch, is_new: bool, is_cut: bool
) -> None:
    """Guards against a 421 that ends runs at the worker's new address."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 6.0)
        await asyncio.sleep(2.0)
        _restart_bed.submit(bed, 2, 6.0)
        await _restart_bed.wait_between_polls(bed, worker)
        world.foreign.add(worker.address)
        worker.address = "127.0.0.1:9"
        if is_new:
            await _restarting_worker.restart(
                world,
                worker,
                silent_s=0.0,
                born_ms=3_000_000,
                origin_ms=_restart_bed.LOWER_MS,
            )
        # The poll is on its way to the former address.
        await asyncio.sleep(0.004)
        _restart_bed.list_worker(bed, worker)
        if is_cut:
            await asyncio.sleep(0.02)
            _restart_bed.cut_and_offer_another(bed)
            return
        await asyncio.sleep(1.0)
        _restart_bed.list_worker(bed, world.workers["w1"])
        await asyncio.sleep(8.0)
        assert not [run for run in world.history if run.how == "stopped"]

    _restart_bed.run(monkeypatch, scenario)


@_RATES
@_restart_bed.LEASES
@pytest.mark.parametrize(
    "is_restarted",
    [
        pytest.param(False, id="first-incarnation"),
        pytest.param(True, id="long-after-a-restart"),
    ],
)
def test_a_silent_worker_is_replaced_soon(
    monkeypatch: pytest.MonkeyPatch,
    rate: float,
    longest_lease_s: float,
    is_restarted: bool,
) -> None:
    """Guards against tasks that wait for long though nothing has restarted."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        if is_restarted:
            await _restart_bed.restart_between_polls(
                bed, origin_ms=_restart_bed.LOWER_MS, rate=rate
            )
            _restart_bed.list_worker(bed, bed.world.workers["w0"])
            await asyncio.sleep(30.0)
        task = await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(2.0)
        _restart_bed.cut_and_offer_another(bed, seconds=30.0)
        assert await _restart_bed.until(
            lambda: (
                {run.worker_id for run in _restart_bed.runs_of(bed, task)}
                == {"w0", "w1"}
            ),
            3.5,
        )

    _restart_bed.run(
        monkeypatch, scenario, longest_lease_s=longest_lease_s, rate=rate
    )


def _decide_at_random(
    bed: _restart_bed.Bed,
    rng: random.Random,
    until: float,
    *,
    crash_rng: random.Random | None = None,
) -> None:
    """Let a tenth of the calls go unanswered; half of these are late.

    With `crash_rng`, a sixth of the starts are late and crash their worker.
    """

    def fate(
        kind: str,
        worker: _restarting_worker.Worker,
        call: dict[str, object],
    ) -> _restarting_worker.Fate:
        if (
            crash_rng is not None
            and kind == "start"
            and bed.world.loop.time() < until
            and crash_rng.random() < 1 / 6
        ):
            _restart_bed.start_loop(
                bed, _restart_and_cut(bed, worker, crash_rng)
            )
            return _restarting_worker.Fate(
                answered=False, delay_s=crash_rng.uniform(1.0, 12.0)
            )
        draw = rng.random()
        if draw >= 0.1 or bed.world.loop.time() >= until:
            return _restarting_worker.ANSWERED
        if draw >= 0.05:
            return _restarting_worker.UNANSWERED
        return _restarting_worker.Fate(
            answered=False, delay_s=rng.uniform(2.0, 12.0)
        )

    bed.world.fate = fate


async def _restart_and_cut(
    bed: _restart_bed.Bed,
    worker: _restarting_worker.Worker,
    rng: random.Random,
) -> None:
    await _restarting_worker.restart(
        bed.world,
        worker,
        silent_s=rng.uniform(0.1, 0.4),
        born_ms=rng.randrange(1_000_000, 9_000_000),
        origin_ms=_restart_bed.LOWER_MS,
    )
    _restarting_worker.cut(bed.world, worker, rng.uniform(8.0, 20.0))


async def _disturb(
    bed: _restart_bed.Bed,
    worker: _restarting_worker.Worker,
    rng: random.Random,
) -> None:
    """Restart a worker, and often cut it soon afterwards."""
    if rng.random() < 0.5:
        await _restart_bed.until(lambda: worker.calls, 1.0)
        await _restart_bed.until(lambda: not worker.calls, 3.0)
    bed.listed.discard(worker.id)
    await _restarting_worker.restart(
        bed.world,
        worker,
        silent_s=rng.uniform(0.1, 0.6),
        born_ms=rng.randrange(1_000_000, 9_000_000),
        origin_ms=rng.choice((_restart_bed.LOWER_MS, _restart_bed.HIGHER_MS)),
        rate=rng.choice((0.98, 1.0)),
    )
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    if worker.life is None:
        # A start has crashed it anew.
        return
    _restart_bed.list_worker(bed, worker)
    if rng.random() < 0.6:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        _restarting_worker.cut(bed.world, worker, rng.uniform(2.0, 10.0))


async def _change_owners(
    bed: _restart_bed.Bed, rng: random.Random, until: float
) -> None:
    while bed.world.loop.time() < until:
        await asyncio.sleep(rng.uniform(2.0, 8.0))
        await _restart_bed.take_over(bed, stopped=rng.random() < 0.5)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("validities_s", "changes_owner", "crashes_at_starts"),
    [
        pytest.param((None,), False, False, id="one-owner"),
        pytest.param((None,), True, False, id="owners-change"),
        pytest.param((None, 2.0, 20.0), False, False, id="queues-with-advice"),
        pytest.param((None, 2.0, 20.0), False, True, id="crashes-at-starts"),
    ],
)
def test_restarts_cuts_and_late_calls(
    monkeypatch: pytest.MonkeyPatch,
    validities_s: tuple[float | None, ...],
    changes_owner: bool,
    crashes_at_starts: bool,
    seed: int,
) -> None:
    """Guards against orders of events that no other test names."""
    rng = random.Random(seed)
    # The other variants draw the same events.
    variant_rng = random.Random(seed + 1000)

    async def scenario(bed: _restart_bed.Bed) -> None:
        workers = list(bed.world.workers.values())
        for worker in workers:
            _restart_bed.list_worker(bed, worker)
        until = bed.world.loop.time() + 40.0
        _decide_at_random(
            bed,
            rng,
            until,
            crash_rng=variant_rng if crashes_at_starts else None,
        )
        if changes_owner:
            _restart_bed.start_loop(
                bed, _change_owners(bed, variant_rng, until)
            )
        number = 0
        for _ in range(10):
            for _ in range(rng.randrange(1, 4)):
                number += 1
                _restart_bed.submit(
                    bed,
                    number,
                    rng.choice((0.2, 1.0, 4.0, 8.0)),
                    validity_s=variant_rng.choice(validities_s),
                )
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            await _disturb(bed, rng.choice(workers), rng)
        bed.world.fate = _restarting_worker.answer_all

    _restart_bed.run(monkeypatch, scenario, count=4)
