"""Starts, polls and acknowledgements that a later incarnation executes."""

import asyncio

import pytest

from chestnuttide.node.tests import _restart_bed
from chestnuttide.node.tests import _restarting_worker

MIN_CLOCK_RATE = 0.98

# The poll that follows an unanswered start renews leases too, 0.3 s after the
# start was sent. It may take 0.4 s to arrive, and 0.1 s cover rounding.
LEASE_MARGIN_S = 0.8

# A silent worker's lease is looked at after each poll, once a second. The
# advisor, the store and the start take 0.2 s.
NOTICE_S = 1.2

# How long an owner waits for the answer to a start.
START_TIMEOUT_S = 0.3


def _has_restarted(worker: _restarting_worker.Worker) -> bool:
    return worker.life is not None and worker.life.born_ms == 3_000_000


async def _crash_under_a_start(
    bed: _restart_bed.Bed,
    *,
    origin_ms: int,
    delay_s: float,
    validity_s: float | None = None,
    duration_s: float = 9.0,
    silent_s: float = _restart_bed.SILENT_S,
) -> tuple[str, float]:
    """Crash the first worker as a start arrives, which is executed late.

    Returns
    -------
    str, float
        The task, and the time at which its start was sent.
    """
    sent_at = []

    def decide() -> _restarting_worker.Fate:
        sent_at.append(bed.world.loop.time() - _restarting_worker.HALF_TRIP_S)
        _restart_bed.crash_and_restart(
            bed, origin_ms=origin_ms, silent_s=silent_s
        )
        return _restarting_worker.Fate(answered=False, delay_s=delay_s)

    task = _restart_bed.submit(bed, 2, duration_s, validity_s=validity_s)
    _restart_bed.decide_once(bed, "start", task, decide)
    assert await _restart_bed.until(lambda: sent_at, 3.0)
    return task, sent_at[0]


async def _cut_from_the_restart_on(
    bed: _restart_bed.Bed, seconds: float
) -> None:
    worker = bed.world.workers["w0"]
    assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
    _restart_bed.cut_and_offer_another(bed, seconds=seconds)


async def _replace_owner(
    bed: _restart_bed.Bed,
    *,
    delay_s: float,
    after_s: float,
    stopped: bool,
    listed: bool,
) -> None:
    """Replace the owner some time after a start that is executed late.

    The next incarnation's clock starts lower, so that it takes the start for
    one that is in time.
    """
    await _restart_bed.submit_and_start(bed, 1, 9.0)
    await asyncio.sleep(3.0)
    _, sent_at = await _crash_under_a_start(
        bed, origin_ms=_restart_bed.LOWER_MS, delay_s=delay_s
    )
    if not listed:
        bed.listed.discard("w0")

    async def cut() -> None:
        await _cut_from_the_restart_on(bed, 45.0)

    _restart_bed.start_loop(bed, cut())
    await asyncio.sleep(sent_at + after_s - bed.world.loop.time())
    await _restart_bed.take_over(bed, stopped=stopped)
    await asyncio.sleep(_restart_bed.SILENT_S)


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "delay_s",
    [pytest.param(each, id=f"{each}-s-late") for each in (2.0, 6.0, 12.0)],
)
@pytest.mark.parametrize(
    "stopped",
    [pytest.param(True, id="released"), pytest.param(False, id="lost")],
)
@pytest.mark.parametrize(
    ("after_s", "listed"),
    [
        pytest.param(0.5, True, id="as-soon-as-recorded"),
        pytest.param(0.5, False, id="worker-not-listed"),
        pytest.param(1.5, True, id="a-second-later"),
    ],
)
def test_the_next_owner_knows_of_an_unanswered_start(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    delay_s: float,
    stopped: bool,
    after_s: float,
    listed: bool,
) -> None:
    """Guards against an owner that takes an unanswered start for answered."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        await _replace_owner(
            bed,
            delay_s=delay_s,
            after_s=after_s,
            stopped=stopped,
            listed=listed,
        )

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "delay_s",
    [pytest.param(each, id=f"{each}-s-late") for each in (2.0, 6.0, 12.0)],
)
@pytest.mark.parametrize(
    "stopped",
    [pytest.param(True, id="released"), pytest.param(False, id="lost")],
)
def test_an_owner_is_replaced_before_a_start_counts_as_unanswered(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    delay_s: float,
    stopped: bool,
) -> None:
    """Guards against a start whose lack of an answer nobody has recorded."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        await _replace_owner(
            bed,
            delay_s=delay_s,
            after_s=0.8 * START_TIMEOUT_S,
            stopped=stopped,
            listed=True,
        )

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@pytest.mark.parametrize(
    ("validity_s", "delay_s"),
    [
        pytest.param(2.0, 1.0, id="late-within-the-validity"),
        pytest.param(2.0, 4.0, id="late-after-the-validity"),
        pytest.param(4.0, 3.0, id="longer-validity"),
    ],
)
def test_a_ticket_of_the_former_incarnation_spares_the_wait(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    validity_s: float,
    delay_s: float,
) -> None:
    """Guards against a task that waits for a start that is rejected."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        task, sent_at = await _crash_under_a_start(
            bed, origin_ms=origin_ms, delay_s=delay_s, validity_s=validity_s
        )
        await _cut_from_the_restart_on(bed, 40.0)
        waits_s = (validity_s + longest_lease_s) / MIN_CLOCK_RATE
        until = sent_at + waits_s + LEASE_MARGIN_S + NOTICE_S
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task),
            until - bed.world.loop.time(),
        )
        (run,) = _restart_bed.runs_of(bed, task)
        assert run.worker_id == "w1"
        ((rejected, _, reason),) = bed.world.rejected
        assert rejected == task
        assert reason in ("ticket", "late")

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.ORIGINS
@_restart_bed.LEASES
@pytest.mark.parametrize(
    ("validity_s", "delay_s"),
    [
        pytest.param(2.0, 1.8, id="validity-of-2-s"),
        pytest.param(6.0, 2.0, id="validity-of-6-s"),
        pytest.param(6.0, 5.8, id="end-of-a-validity-of-6-s"),
        pytest.param(60.0, 12.0, id="validity-of-60-s"),
    ],
)
@pytest.mark.parametrize(
    "next_owner",
    [
        pytest.param("", id="same-owner"),
        pytest.param("stopped", id="released"),
        pytest.param("lost", id="lost"),
    ],
)
def test_a_ticket_of_an_incarnation_that_no_owner_knows(
    monkeypatch: pytest.MonkeyPatch,
    origin_ms: int,
    longest_lease_s: float,
    validity_s: float,
    delay_s: float,
    next_owner: str,
) -> None:
    """Guards against a ticket that is taken for one of the former one."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        await _restart_bed.wait_between_polls(bed, worker)
        _restart_bed.crash_and_restart(bed, origin_ms=origin_ms)
        assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
        cut = []

        def decide() -> _restarting_worker.Fate:
            _restart_bed.cut_and_offer_another(bed, seconds=40.0)
            cut.append(world.loop.time())
            return _restarting_worker.Fate(answered=False, delay_s=delay_s)

        task = _restart_bed.submit(bed, 2, 9.0, validity_s=validity_s)
        _restart_bed.decide_once(bed, "start", task, decide)
        assert await _restart_bed.until(lambda: cut, 3.0)
        assert not worker.life.polled
        (ticket,) = world.tickets.values()
        assert ticket.life is worker.life
        await asyncio.sleep(0.5)
        if next_owner:
            await _restart_bed.take_over(bed, stopped=next_owner == "stopped")
        await asyncio.sleep(delay_s - 0.49)
        is_late = origin_ms == _restart_bed.HIGHER_MS
        assert bool(_restart_bed.runs_of(bed, task)) != is_late

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "validity_s",
    [
        pytest.param(None, id="queue-without-advice"),
        pytest.param(60.0, id="queue-with-advice"),
    ],
)
@pytest.mark.parametrize(
    "stop_fate",
    [
        pytest.param(_restarting_worker.ANSWERED, id="stop-answered"),
        pytest.param(_restarting_worker.LOST, id="lease-of-start-expired"),
    ],
)
def test_a_start_that_is_void_is_executed_by_the_next_incarnation(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    validity_s: float | None,
    stop_fate: _restarting_worker.Fate,
) -> None:
    """Guards against a refusal that holds for one incarnation only."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        world.executes_undecidable = True
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        task = _restart_bed.submit(bed, 2, 12.0, validity_s=validity_s)

        def fate(
            kind: str,
            worker: _restarting_worker.Worker,
            call: dict[str, object],
        ) -> _restarting_worker.Fate:
            if (call.get("task"), call.get("run")) != (task, 1):
                return _restarting_worker.ANSWERED
            if kind == "stop":
                return stop_fate
            return _restarting_worker.Fate(answered=False, delay_s=6.0)

        world.fate = fate
        # The task starts anew, perhaps on the same worker.
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task), 5.0
        )
        _restart_bed.crash_and_restart(bed, origin_ms=_restart_bed.LOWER_MS)
        await _cut_from_the_restart_on(bed, 40.0)
        await asyncio.sleep(6.0)
        assert not worker.life.polled
        is_rejected = (task, 1, "ticket") in world.rejected
        assert is_rejected == (validity_s is not None)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@pytest.mark.parametrize(
    ("validity_s", "asked_after_restart"),
    [
        pytest.param(None, False, id="queue-without-advice"),
        pytest.param(60.0, False, id="ticket-of-the-former-incarnation"),
        pytest.param(60.0, True, id="ticket-of-the-next-incarnation"),
    ],
)
def test_an_acknowledgement_is_executed_after_a_later_run(
    monkeypatch: pytest.MonkeyPatch,
    validity_s: float | None,
    asked_after_restart: bool,
) -> None:
    """Guards against an end that a late acknowledgement forgets unread."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        world.executes_undecidable = True
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 12.0)
        for number in (2, 3):
            await _restart_bed.submit_and_start(bed, number, 0.2)
            await asyncio.sleep(1.5)
        taken = await _take_poll(bed)
        assert taken["acknowledged_completion"] == 2
        if not asked_after_restart:
            short = _restart_bed.submit(bed, 4, 0.3, validity_s=validity_s)
            issued = len(world.tickets)
            assert await _restart_bed.until(
                lambda: validity_s is None or len(world.tickets) > issued, 3.0
            )
        _restart_bed.crash_and_restart(
            bed, origin_ms=_restart_bed.LOWER_MS, silent_s=0.1
        )
        assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
        if asked_after_restart:
            short = _restart_bed.submit(bed, 4, 0.3, validity_s=validity_s)
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, short) or world.rejected, 1.0
        )
        # A run has ended then, and no owner has read that.
        await asyncio.sleep(0.31)
        assert not worker.life.polled
        _restarting_worker.execute_later(world, worker, "poll", taken, 0.0)
        await asyncio.sleep(0.1)
        _restart_bed.list_worker(bed, worker)

    _restart_bed.run(monkeypatch, scenario)


async def _take_poll(bed: _restart_bed.Bed) -> dict[str, object]:
    """Return the next poll, which no worker gets for now."""
    taken: list[dict[str, object]] = []

    def take(
        kind: str,
        worker: _restarting_worker.Worker,
        call: dict[str, object],
    ) -> _restarting_worker.Fate:
        if kind == "poll" and not taken:
            taken.append(call)
            return _restarting_worker.LOST
        return _restarting_worker.ANSWERED

    bed.world.fate = take
    assert await _restart_bed.until(lambda: taken, 3.0)
    return taken[0]


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "validity_s",
    [
        pytest.param(None, id="queue-without-advice"),
        pytest.param(2.0, id="queue-with-advice"),
    ],
)
@pytest.mark.parametrize(
    "start_fate",
    [
        pytest.param(_restarting_worker.ANSWERED, id="start-answered"),
        pytest.param(_restarting_worker.UNANSWERED, id="start-unanswered"),
    ],
)
def test_a_late_poll_renews_the_lease_of_an_unknown_incarnation(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    validity_s: float | None,
    start_fate: _restarting_worker.Fate,
) -> None:
    """Guards against a lease that a call grants long after it was sent."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        world = bed.world
        worker = world.workers["w0"]
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        taken = await _take_poll(bed)
        assert taken["deadline_ms"] is not None
        _restarting_worker.execute_later(world, worker, "poll", taken, 5.0)
        _restart_bed.crash_and_restart(
            bed, origin_ms=_restart_bed.LOWER_MS, silent_s=0.1
        )
        assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
        task = _restart_bed.submit(bed, 2, 18.0, validity_s=validity_s)
        _restart_bed.decide_once(bed, "start", task, lambda: start_fate)
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task), 3.0
        )
        # Its answer is on its way.
        await asyncio.sleep(2 * _restarting_worker.HALF_TRIP_S)
        assert not worker.life.polled
        _restart_bed.cut_and_offer_another(bed, seconds=40.0)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "delay_s", [pytest.param(each, id=f"{each}-s-late") for each in (2.0, 5.0)]
)
@pytest.mark.parametrize(
    "validity_s",
    [
        pytest.param(None, id="queue-without-advice"),
        pytest.param(2.0, id="queue-with-advice"),
    ],
)
def test_an_unanswered_start_renews_the_lease_of_other_runs(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    delay_s: float,
    validity_s: float | None,
) -> None:
    """Guards against a wait that only the run of that start keeps."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await asyncio.sleep(3.0)
        await _crash_under_a_start(
            bed,
            origin_ms=_restart_bed.LOWER_MS,
            delay_s=delay_s,
            duration_s=1.0,
            silent_s=0.05,
        )
        assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
        task = _restart_bed.submit(bed, 3, 18.0, validity_s=validity_s)
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task), 3.0
        )
        # Its answer is on its way.
        await asyncio.sleep(2 * _restarting_worker.HALF_TRIP_S)
        assert not worker.life.polled
        _restart_bed.cut_and_offer_another(bed, seconds=40.0)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


# Time after which calls of others can no longer have renewed a worker's lease.
SETTLED_S = 30.0


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "validity_s",
    [
        pytest.param(None, id="queue-without-advice"),
        pytest.param(2.0, id="queue-with-advice"),
    ],
)
def test_an_answered_start_on_a_lost_worker_is_replaced_soon(
    monkeypatch: pytest.MonkeyPatch,
    longest_lease_s: float,
    validity_s: float | None,
) -> None:
    """Guards against tasks that stand still beside free workers."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        await asyncio.sleep(SETTLED_S)
        task = _restart_bed.submit(bed, 2, 9.0, validity_s=validity_s)
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task), 3.0
        )
        # Its answer is on its way, and no poll has listed the run.
        await asyncio.sleep(2 * _restarting_worker.HALF_TRIP_S)
        _restart_bed.cut_and_offer_another(bed, seconds=40.0)
        assert await _restart_bed.until(
            lambda: len(_restart_bed.runs_of(bed, task)) == 2, 4.5
        )

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)


@_restart_bed.LEASES
@pytest.mark.parametrize(
    "ahead_ms",
    [
        pytest.param(each, id=f"clock-{each}-ms-ahead")
        for each in (-4_000, -1_000, 0, 1_000, 2_400, 500_000)
    ],
)
def test_the_clock_of_an_unknown_incarnation_bounds_its_lease(
    monkeypatch: pytest.MonkeyPatch, longest_lease_s: float, ahead_ms: int
) -> None:
    """Guards against a lease that lasts longer than the owner expects."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        worker = bed.world.workers["w0"]
        await asyncio.sleep(SETTLED_S)
        await _restart_bed.submit_and_start(bed, 1, 9.0)
        await asyncio.sleep(3.0)
        await _restart_bed.wait_between_polls(bed, worker)
        clock_ms = _restarting_worker.read_clock_ms(bed.world, worker.life)
        _restart_bed.crash_and_restart(
            bed, origin_ms=clock_ms + ahead_ms, silent_s=0.1
        )
        assert await _restart_bed.until(lambda: _has_restarted(worker), 3.0)
        task = _restart_bed.submit(bed, 2, 12.0)
        await _restart_bed.until(lambda: _restart_bed.runs_of(bed, task), 1.0)
        await asyncio.sleep(2 * _restarting_worker.HALF_TRIP_S)
        _restart_bed.cut_and_offer_another(bed, seconds=40.0)

    _restart_bed.run(monkeypatch, scenario, longest_lease_s=longest_lease_s)
