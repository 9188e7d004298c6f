"""The window of starts in flight, against owners of a fixed speed."""

import collections.abc
import heapq

import attrs
import pytest

from chestnuttide import model
from chestnuttide.node import _start_window
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

TIMEOUT_S = 0.3
RETRY_S = 0.25
PLAN_PERIOD_S = 0.02
WORKERS = 100
URGENT_STARTS = 16

# Calls that an unanswered start costs besides: today a poll, a stop and a
# poll, with the window a stop at most.
CALLS_BEFORE = 3
CALLS = 1


@attrs.define(kw_only=True)
class _Outcome:
    """What a simulated owner has done.

    Attributes
    ----------
    answered : list of (float, float, Run)
        Time, latency and run of each answered start.
    unanswered : list of float
        Times of unanswered starts.
    most_waiting : int
        Largest number of starts that waited.
    """

    answered: list[tuple[float, float, workloads.Run]] = attrs.field(
        factory=list
    )
    unanswered: list[float] = attrs.field(factory=list)
    most_waiting: int = 0


def _make_jobs() -> dict[str, workloads.Job]:
    pool = _pool_fixtures.make_pool(1)
    return {
        "batch": _pool_fixtures.submit(
            pool, _pool_fixtures.make_step(), priority=3, job_id="0" * 16
        ),
        "urgent": _pool_fixtures.submit(
            pool, _pool_fixtures.make_step(), priority=0, job_id="1" * 16
        ),
        "lasting": _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(lasting=True),
            priority=3,
            job_id="2" * 16,
        ),
    }


def _make_run(job: workloads.Job, number: int) -> workloads.Run:
    return workloads.Run(
        job=job,
        unit=next(iter(job.units.values())),
        index=0,
        number=number,
        worker_key=f"w{number % WORKERS}",
        need=model.Resources(),
    )


def _play(
    demand: list[tuple[float, str]],
    service_s: collections.abc.Callable[[float], float],
    *,
    until_s: float,
    window: _start_window.StartWindow | None,
    parallel: bool = False,
) -> _Outcome:
    """Play an owner that carries its commands out one after another.

    Parameters
    ----------
    demand : list of (float, str)
        When tasks become ready to start, and of which job.
    service_s : function of float
        Time that a command takes, by the time at which it is sent.
    until_s : float
        End of the play.
    window : StartWindow or None
        The window; None for an owner that sends everything at once.
    parallel : bool
        Whether commands don't wait for each other.
    """
    jobs, outcome = _make_jobs(), _Outcome()
    ready: list[tuple[str, int]] = []
    sent: dict[workloads.Run, float] = {}
    events: list[tuple[float, int, str, object]] = []
    free_at, count = 0.0, 0

    def push(at: float, kind: str, what: object) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (at, count, kind, what))

    def call(now: float) -> float:
        nonlocal free_at
        free_at = max(free_at, now) + service_s(now)
        return now + service_s(now) if parallel else free_at

    def send(run: workloads.Run, now: float) -> None:
        sent[run] = now
        done_at = call(now)
        if done_at - now <= TIMEOUT_S:
            push(done_at, "answer", run)
        else:
            push(now + TIMEOUT_S, "timeout", run)

    def plan(now: float) -> None:
        while ready:
            if window is not None:
                room = _start_window.room(window, planned=len(window.waiting))
                if room <= (0 if ready[0][0] == "batch" else -URGENT_STARTS):
                    break
            name, number = ready.pop(0)
            run = _make_run(jobs[name], number)
            if window is None:
                send(run, now)
            else:
                _start_window.add(window, run, now=now)

    def pump(now: float) -> None:
        if window is None:
            return
        while (start := _start_window.take_next(window)) is not None:
            _start_window.record_sent(window, start.run.worker_key)
            send(start.run, now)
        waiting = len(window.waiting)
        outcome.most_waiting = max(outcome.most_waiting, waiting)

    for number, (at, name) in enumerate(demand):
        push(at, "ready", (name, number))
    push(0.0, "plan", None)
    while events and events[0][0] <= until_s:
        now, _, kind, what = heapq.heappop(events)
        if kind == "ready":
            ready.append(what)
            ready.sort(key=lambda task: task[0] == "batch")
        elif kind == "plan":
            plan(now)
            push(now + PLAN_PERIOD_S, "plan", None)
        else:
            latency_s = now - sent[what]
            if kind == "answer":
                outcome.answered.append((now, latency_s, what))
            else:
                outcome.unanswered.append(now)
                name = next(n for n, job in jobs.items() if job is what.job)
                push(now + RETRY_S, "ready", (name, what.number))
                for _ in range(CALLS_BEFORE if window is None else CALLS):
                    call(now)
            if window is not None:
                if kind == "answer":
                    _start_window.record_answer(
                        window, what.worker_key, latency_s
                    )
                else:
                    _start_window.record_unanswered(
                        window,
                        what.worker_key,
                        sent_at=sent[what],
                        now=now,
                    )
                _start_window.record_end(window, what.worker_key)
        pump(now)
    return outcome


def _steady(rate: float, until_s: float) -> list[tuple[float, str]]:
    return [(n / rate, "batch") for n in range(int(rate * until_s))]


# Time of a command, tasks a second, and when the commands that were sent
# before the window shrank have been carried out.
SATURATED = [
    pytest.param(0.005, 400, 2.0, id="200-a-second-asked-for-400"),
    pytest.param(0.01, 200, 3.0, id="100-a-second-asked-for-200"),
    pytest.param(0.01, 1000, 3.0, id="100-a-second-asked-for-1000"),
    pytest.param(0.02, 200, 6.0, id="50-a-second-asked-for-200"),
]


@pytest.mark.parametrize(("service_s", "rate", "from_s"), SATURATED)
def test_a_saturated_owner_gets_nearly_all_starts_answered(
    service_s: float, rate: float, from_s: float
) -> None:
    """Guards against an owner that stays behind by work of its own making."""
    window = _start_window.StartWindow()
    outcome = _play(
        _steady(rate, 20.0), lambda now: service_s, until_s=20.0, window=window
    )
    late = [at for at in outcome.unanswered if at > from_s]
    answered = [at for at, _, _ in outcome.answered if at > from_s]
    assert len(late) <= 0.03 * len(answered)
    assert len(answered) >= 0.9 * (20.0 - from_s) / service_s
    assert outcome.most_waiting <= 2 * _start_window.MAX_STARTS


@pytest.mark.parametrize(("service_s", "rate", "from_s"), SATURATED)
def test_without_a_window_the_owner_stays_behind(
    service_s: float, rate: float, from_s: float
) -> None:
    """Guards against a simulation that does not show the fault."""
    outcome = _play(
        _steady(rate, 8.0), lambda now: service_s, until_s=8.0, window=None
    )
    answered = [at for at, _, _ in outcome.answered if at > from_s]
    assert len(answered) < 0.1 * (8.0 - from_s) / service_s


@pytest.mark.parametrize("name", ["urgent", "lasting"])
def test_urgent_starts_go_before_those_that_wait(name: str) -> None:
    """Guards against a lasting task that waits behind a crowd of others."""
    window = _start_window.StartWindow()
    demand = _steady(400, 10.0)
    demand += [(4.0 + 0.1 * n, name) for n in range(40)]
    outcome = _play(demand, lambda now: 0.01, until_s=12.0, window=window)
    waits = [
        at - (4.0 + 0.1 * (run.number - 4000))
        for at, _, run in outcome.answered
        if run.number >= 4000
    ]
    assert len(waits) == 40
    assert max(waits) < 2 * TIMEOUT_S


@pytest.mark.parametrize("after_s", [0.001, 0.005])
def test_the_owner_recovers_quickly_once_the_load_is_gone(
    after_s: float,
) -> None:
    """Guards against a small window that outlasts its cause."""
    window = _start_window.StartWindow()
    outcome = _play(
        _steady(200, 15.0),
        lambda now: 0.02 if now < 10.0 else after_s,
        until_s=15.0,
        window=window,
    )
    late = [at for at in outcome.unanswered if at > 11.0]
    answered = [at for at, _, _ in outcome.answered if 10.0 < at <= 13.0]
    backlog = 10.0 * 200 - sum(at <= 10.0 for at, _, _ in outcome.answered)
    assert not late
    assert len(answered) >= min(0.9 * 3.0 / after_s, 0.95 * (backlog + 600))


def test_an_owner_that_is_not_saturated_is_not_slowed() -> None:
    """Guards against a window that delays a burst for nothing."""
    demand = [(0.01, "batch")] * 400
    plays = [
        _play(
            demand,
            lambda now: 0.001,
            until_s=5.0,
            window=window,
            parallel=True,
        )
        for window in (None, _start_window.StartWindow())
    ]
    before, after = (
        max(at for at, _, _ in outcome.answered) for outcome in plays
    )
    assert len(plays[1].answered) == 400
    # The window doubles with each millisecond, and four starts go to each
    # worker, three of them at a time.
    assert after <= before + 0.005


def test_a_silent_worker_costs_the_others_little() -> None:
    """Guards against one worker that takes the speed from all."""
    window = _start_window.StartWindow()
    _start_window.record_sent(window, "silent")
    assert _start_window.record_unanswered(
        window, "silent", sent_at=0.0, now=0.3
    )
    _start_window.record_end(window, "silent")
    outcome = _play(
        [(0.01, "batch")] * 400,
        lambda now: 0.001,
        until_s=5.0,
        window=window,
        parallel=True,
    )
    assert len(outcome.answered) == 400
    assert max(at for at, _, _ in outcome.answered) < 0.1


@pytest.mark.parametrize(
    ("failures", "sizes"),
    [
        pytest.param([(0.0, 0.3)], [50], id="once"),
        pytest.param([(0.0, 0.3), (0.2, 0.5)], [50, 50], id="of-the-same"),
        pytest.param([(0.0, 0.3), (0.3, 0.6)], [50, 25], id="sent-since"),
        pytest.param(
            [(n * 0.3, n * 0.3 + 0.3) for n in range(6)],
            [50, 25, 12, 6, 3, 2],
            id="bounded",
        ),
    ],
)
def test_the_window_shrinks_once_a_timeout(
    failures: list[tuple[float, float]], sizes: list[int]
) -> None:
    """Guards against a window that one group of failures closes."""
    window = _start_window.StartWindow(size=200.0)
    for number in range(100):
        _start_window.record_sent(window, f"w{number}")
    seen = []
    for number, (sent_at, now) in enumerate(failures):
        _start_window.record_unanswered(
            window, f"w{number}", sent_at=sent_at, now=now
        )
        seen.append(int(window.size))
    assert seen == sizes


def test_one_worker_gets_as_many_starts_as_it_has_connections() -> None:
    """Guards against starts whose timeout runs in the client's queue."""
    window, job = _start_window.StartWindow(), _make_jobs()["batch"]
    runs = [_make_run(job, number * WORKERS) for number in range(5)]
    for run in runs:
        _start_window.add(window, run, now=0.0)
    taken = []
    while (start := _start_window.take_next(window)) is not None:
        _start_window.record_sent(window, start.run.worker_key)
        taken.append(start.run)
    assert taken == runs[:3]
    _start_window.record_end(window, runs[0].worker_key)
    assert _start_window.take_next(window).run is runs[3]


def test_a_start_waits_once() -> None:
    """Guards against a run that is sent twice.

    Each commit of its job offers it again while it waits.
    """
    window, run = (
        _start_window.StartWindow(),
        _make_run(_make_jobs()["batch"], 1),
    )
    _start_window.add(window, run, now=0.0)
    _start_window.add(window, run, now=0.1)
    assert _start_window.take_next(window).since == 0.0
    assert _start_window.take_next(window) is None


@pytest.mark.parametrize(
    ("count", "now", "behind"),
    [
        pytest.param(7, 0.5, False, id="few"),
        pytest.param(8, 0.5, True, id="many"),
        pytest.param(8, 1.5, False, id="long-ago"),
    ],
)
def test_an_owner_is_behind_after_many_unanswered_starts(
    count: int, now: float, behind: bool
) -> None:
    """Guards against a dead worker that delays the recovery of its starts."""
    window = _start_window.StartWindow()
    for number in range(count):
        _start_window.record_unanswered(
            window, f"w{number}", sent_at=0.0, now=0.3
        )
    assert _start_window.is_behind(window, now=now) is behind
