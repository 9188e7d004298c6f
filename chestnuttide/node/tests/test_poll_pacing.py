"""Which workers are polled now, and for how long polls wait."""

import pytest

from chestnuttide.node import _poll_pacing
from chestnuttide.node import _settings

LEASE_S = 2.5

Priority = _poll_pacing.Priority


def _enter(
    pacing: _poll_pacing.Pacing,
    sent: list[str],
    name: str,
    priority: Priority = Priority.KNOWN,
) -> _poll_pacing.Ticket:
    return _poll_pacing.enter(pacing, priority, lambda: sent.append(name))


def test_polls_are_sent_in_the_order_of_priority() -> None:
    """Guards against leases that end while idle workers are polled."""
    pacing = _poll_pacing.Pacing(limits=_poll_pacing.Limits(short=1))
    sent: list[str] = []
    tickets = {
        name: _enter(pacing, sent, name, priority)
        for name, priority in (
            ("first", Priority.SILENT),
            ("silent", Priority.SILENT),
            ("known", Priority.KNOWN),
            ("known-later", Priority.KNOWN),
            ("leased", Priority.LEASED),
        )
    }
    for name in ("first", "leased", "known", "known-later", "silent"):
        assert sent[-1] == name
        _poll_pacing.leave(pacing, tickets[name])
    assert (pacing.short, pacing.held, pacing.queue) == (0, 0, [])


@pytest.mark.parametrize(
    ("end", "next_is_sent", "short"),
    [
        pytest.param("none", False, _poll_pacing.SLOTS, id="in-progress"),
        pytest.param(
            "give_back", True, _poll_pacing.SLOTS + 1, id="held-long-enough"
        ),
        pytest.param("leave", True, _poll_pacing.SLOTS, id="answered"),
        pytest.param("both", True, _poll_pacing.SLOTS, id="held-and-answered"),
    ],
)
def test_slots_are_given_back_once(
    end: str, next_is_sent: bool, short: int
) -> None:
    """Guards against silent workers that hold up all others.

    And against slots that are given back twice, which leave no bound.
    """
    pacing = _poll_pacing.Pacing()
    sent: list[str] = []
    tickets = [
        _enter(pacing, sent, f"{number}")
        for number in range(_poll_pacing.SLOTS)
    ]
    _enter(pacing, sent, "next")
    if end in ("give_back", "both"):
        _poll_pacing.give_back(pacing, tickets[0])
        _poll_pacing.give_back(pacing, tickets[0])
    if end in ("leave", "both"):
        _poll_pacing.leave(pacing, tickets[0])
        _poll_pacing.leave(pacing, tickets[0])
    assert ("next" in sent) == next_is_sent
    assert pacing.short == short
    assert pacing.held == _poll_pacing.SLOTS


def test_polls_in_progress_stay_within_the_clients_transfers() -> None:
    """Guards against polls that are queued in the client without a timeout."""
    pacing = _poll_pacing.Pacing(limits=_poll_pacing.Limits(short=100))
    sent: list[str] = []
    for number in range(1000):
        ticket = _enter(pacing, sent, f"{number}")
        _poll_pacing.give_back(pacing, ticket)
    assert len(sent) == pacing.short == 100


def test_a_poll_that_is_cancelled_before_it_is_sent_takes_no_slot() -> None:
    """Guards against slots that are lost with the loops that wait."""
    pacing = _poll_pacing.Pacing(limits=_poll_pacing.Limits(short=1))
    sent: list[str] = []
    running = _enter(pacing, sent, "running")
    _poll_pacing.leave(pacing, _enter(pacing, sent, "cancelled"))
    _enter(pacing, sent, "next")
    _poll_pacing.leave(pacing, running)
    assert sent == ["running", "next"]


@pytest.mark.parametrize(
    ("busy", "cores", "wait_s"),
    [
        pytest.param(0, 0.4, 0.5, id="idle"),
        pytest.param(150, 0.4, 0.5, id="ordinary-size"),
        pytest.param(200, 0.4, 0.625, id="longer"),
        pytest.param(717, 0.4, 0.8, id="longest"),
        pytest.param(717, 2.15, 0.5, id="large-instance"),
    ],
)
def test_waits_grow_with_the_number_of_busy_workers(
    busy: int, cores: float, wait_s: float
) -> None:
    """Guards against polls that take most of a small instance's time."""
    limits = _poll_pacing.make_limits(
        _settings.CapacitySettings(core_share=cores),
        _settings.IntakeSettings(),
    )
    pacing = _poll_pacing.Pacing(limits=limits, busy_workers=busy)
    assert _poll_pacing.busy_wait_s(pacing) == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ("busy_workers", "idle", "may_wait"),
    [
        pytest.param(0, 100, (True, True), id="room"),
        pytest.param(0, 545, (False, False), id="full"),
        pytest.param(500, 44, (True, True), id="room-beside-the-busy"),
        pytest.param(500, 45, (True, False), id="kept-for-the-busy"),
    ],
)
def test_busy_workers_wait_first(
    busy_workers: int, idle: int, may_wait: tuple[bool, bool]
) -> None:
    """Guards against completions that are seen late for lack of transfers."""
    pacing = _poll_pacing.Pacing(
        limits=_poll_pacing.Limits(waiting=545), busy_workers=busy_workers
    )
    for _ in range(idle):
        _poll_pacing.begin_wait(pacing, busy=False)
    assert may_wait == (
        _poll_pacing.may_wait(pacing, busy=True),
        _poll_pacing.may_wait(pacing, busy=False),
    )


def test_a_lease_outlasts_a_poll_that_is_not_answered() -> None:
    """Guards against runs that end because one poll was lost.

    The lease is renewed by the poll after the one that is tried again.
    """
    renewed_after_s = (
        2 * _poll_pacing.MAX_BUSY_POLL_WAIT_S
        + _poll_pacing.POLL_TIMEOUT_S
        + _poll_pacing.retry_pause_s(1)
    )
    assert renewed_after_s <= 0.9 * LEASE_S


@pytest.mark.parametrize(
    ("failed_polls", "pause_s"),
    [(1, 0.25), (2, 0.5), (3, 0.6), (1_000_000, 0.6)],
)
def test_pauses_grow_up_to_a_second_between_polls(
    failed_polls: int, pause_s: float
) -> None:
    """Guards against silent workers that are polled as often as others."""
    assert _poll_pacing.retry_pause_s(failed_polls) == pause_s
    assert pause_s + _poll_pacing.POLL_TIMEOUT_S <= 1.0


@pytest.mark.parametrize(
    ("memory_mb", "max_files", "waiting", "short"),
    [
        pytest.param(160.0, 4100, 2560, 256, id="target-size"),
        pytest.param(160.0, 1638, 545, 181, id="few-descriptors"),
        pytest.param(160.0, 300, 48, 16, id="very-few-descriptors"),
    ],
)
def test_polls_leave_descriptors_to_callers(
    memory_mb: float, max_files: int, waiting: int, short: int
) -> None:
    """Guards against connections that fail for lack of descriptors."""
    limits = _poll_pacing.make_limits(
        _settings.CapacitySettings(memory_mb=memory_mb, max_files=max_files),
        _settings.IntakeSettings(),
    )
    assert (limits.waiting, limits.short) == (waiting, short)


@pytest.mark.parametrize(
    ("measured", "sent_at", "now", "late"),
    [
        pytest.param((), 1.0, 1.4, False, id="not-measured"),
        pytest.param((1.0, 1.05, 1.1, 1.38), 1.0, 1.4, True, id="late"),
        pytest.param((1.0, 1.05, 1.1), 1.0, 1.4, True, id="late-until-now"),
        pytest.param(
            tuple(1.0 + 0.05 * step for step in range(9)),
            1.0,
            1.4,
            False,
            id="in-time",
        ),
        pytest.param(
            (0.5, 0.9, *(0.95 + 0.05 * step for step in range(10))),
            1.0,
            1.4,
            False,
            id="late-before",
        ),
        pytest.param(
            (
                1.0,
                1.05,
                *(1.1 + 0.05 * step for step in range(10)),
                *(2.0 + 0.05 * step for step in range(29)),
            ),
            1.0,
            3.4,
            False,
            id="late-while-the-worker-waits",
        ),
    ],
)
def test_a_poll_is_late_only_with_its_owner(
    measured: tuple[float, ...], sent_at: float, now: float, late: bool
) -> None:
    """Guards against dead workers that are excused by any delay."""
    pacing = _poll_pacing.Pacing()
    for at in measured:
        _poll_pacing.record_delay(pacing, at)
    assert _poll_pacing.was_late(pacing, sent_at=sent_at, now=now) == late
