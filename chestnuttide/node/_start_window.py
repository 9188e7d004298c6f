"""Window of the starts that an owner has in flight, and those that wait.

A start that is sent while the owner's link or processor is full is answered
too late, costs further calls and is sent again. The window finds out how many
starts the owner can have in flight: it grows with each answer and shrinks
after a start that was not answered in time. The others wait here, where they
hold no lease yet and can be dropped.
"""

import collections
import collections.abc
import heapq
import typing

import attrs

from chestnuttide import workloads

# Bounds of the window, and its first size. While answers take a few
# milliseconds, the smallest one still bears hundreds of starts a second, and
# it doubles with each round trip.
MIN_STARTS: typing.Final = 2
FIRST_STARTS: typing.Final = 64
MAX_STARTS: typing.Final = 512

SHRINK_FACTOR: typing.Final = 0.5

# After answers faster than `FAST_ANSWER_S` the window doubles each round
# trip; after slower ones it grows by one, and by less after those that take
# longer than `SLOW_ANSWER_S`, which is half of a command's timeout.
FAST_ANSWER_S: typing.Final = 0.03
SLOW_ANSWER_S: typing.Final = 0.15
SLOW_GROWTH: typing.Final = 0.1

# An answer counts with this time at least.
LEAST_ANSWER_S: typing.Final = 0.005

# An answer counts with a command's timeout at most: one that was due while the
# process did not run says nothing about the next ones.
LONGEST_ANSWER_S: typing.Final = 0.3

# Weight of the newest answer in the mean time of answers.
LATENCY_WEIGHT: typing.Final = 0.1

# Starts in flight to one worker. The client has four connections to each, of
# which its poll takes one, and the timeout of a request that waits for a
# connection runs already.
MAX_WORKER_STARTS: typing.Final = 3

# A worker that left a start unanswered gets one start at a time for this long.
# While so few workers do, the window is not what keeps them from answering.
SILENT_S: typing.Final = 1.5
MAX_SILENT_WORKERS: typing.Final = 4

# What was true when a run was planned is looked at again after this time.
SHORT_WAIT_S: typing.Final = 0.1

# A start that has waited for this long is planned anew, maybe elsewhere.
MAX_WAIT_S: typing.Final = 1.0

# Planning takes no new runs while more starts wait than are sent in this time.
BACKLOG_S: typing.Final = 0.25

# An owner is behind while this many starts were unanswered within this time.
BEHIND_STARTS: typing.Final = 8
BEHIND_S: typing.Final = 1.0

SHRINK_LOG_PERIOD_S: typing.Final = 3.0


@attrs.define(kw_only=True, slots=True, eq=False)
class WaitingStart:
    """A recorded run whose start waits.

    Attributes
    ----------
    run : Run
        The run, still in `Phase.PLANNED`.
    turn : tuple
        Its place in the order of urgency, unique.
    since : float
        Monotonic time at which it began to wait.
    put_off : bool
        Whether it was counted as put off.
    """

    run: workloads.Run
    turn: tuple[int, ...]
    since: float
    put_off: bool = False


@attrs.define(kw_only=True, slots=True, eq=False)
class StartWindow:
    """Starts of an owner that are in flight or wait.

    Attributes
    ----------
    size : float
        How many starts may be in flight.
    in_flight : Counter of str
        Starts in flight, by worker incarnation.
    waiting : dict of Run to WaitingStart
        Starts that wait.
    confirming : set of Run
        Runs whose worker is polled before their start waits again.
    shrunk_at : float
        Monotonic time at which the window last shrank.
    latency_s : float
        Mean time of the latest answers, in seconds; one that was not answered
        counts with the time that was waited for it.
    silent : dict of str to float
        When each worker last left a start unanswered, by incarnation.
    unanswered_at : deque of float
        Monotonic times of the latest unanswered starts.
    logged_at : float
        Monotonic time of the last log line about a smaller window.
    """

    size: float = FIRST_STARTS
    in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    waiting: dict[workloads.Run, WaitingStart] = attrs.field(factory=dict)
    confirming: set[workloads.Run] = attrs.field(factory=set)
    shrunk_at: float = 0.0
    latency_s: float = 0.0
    silent: dict[str, float] = attrs.field(factory=dict)
    unanswered_at: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=BEHIND_STARTS)
    )
    logged_at: float = 0.0
    _ready: list[tuple[tuple[int, ...], workloads.Run]] = attrs.field(
        factory=list
    )
    _parked: dict[str, list[tuple[tuple[int, ...], workloads.Run]]] = (
        attrs.field(factory=dict)
    )
    _last_turn: int = 0


def add(window: StartWindow, run: workloads.Run, *, now: float) -> None:
    """Let a start wait for its turn, unless it waits already."""
    if run in window.waiting or run in window.confirming:
        return
    window._last_turn += 1
    turn = (
        not run.job.is_long_running,
        run.job.spec.queue.priority,
        window._last_turn,
    )
    window.waiting[run] = WaitingStart(run=run, turn=turn, since=now)
    heapq.heappush(window._ready, (turn, run))


def is_full(window: StartWindow) -> bool:
    """Return whether no further start may be sent now.

    Starts to a few silent workers do not count.
    """
    silent = sum(window.in_flight[key] for key in window.silent)
    counted = window.in_flight.total() - min(silent, MAX_SILENT_WORKERS)
    return counted >= int(window.size)


def take_next(window: StartWindow) -> WaitingStart | None:
    """Return the most urgent start that may be sent, which waits no more."""
    while window._ready and not is_full(window):
        turn, run = heapq.heappop(window._ready)
        if run not in window.waiting:
            continue
        limit = 1 if run.worker_key in window.silent else MAX_WORKER_STARTS
        if window.in_flight[run.worker_key] >= limit:
            parked = window._parked.setdefault(run.worker_key, [])
            heapq.heappush(parked, (turn, run))
            continue
        return window.waiting.pop(run)
    return None


def take_unsendable(
    window: StartWindow,
    find_reason: collections.abc.Callable[[WaitingStart], str],
) -> list[tuple[workloads.Run, str]]:
    """Remove the starts that have a reason not to be sent, and return both."""
    found = [
        (run, reason)
        for run, start in window.waiting.items()
        if (reason := find_reason(start))
    ]
    for run, _ in found:
        del window.waiting[run]
    return found


def count_put_off(window: StartWindow) -> int:
    """Return how many starts newly wait because the window is full."""
    if not is_full(window):
        return 0
    new = [start for start in window.waiting.values() if not start.put_off]
    for start in new:
        start.put_off = True
    return len(new)


def record_sent(window: StartWindow, worker_key: str) -> None:
    """Count a start as in flight."""
    window.in_flight[worker_key] += 1


def record_end(window: StartWindow, worker_key: str) -> None:
    """Count a start as answered or given up, whatever has become of it."""
    window.in_flight[worker_key] -= 1
    if window.in_flight[worker_key] <= 0:
        del window.in_flight[worker_key]
    for turn, run in window._parked.pop(worker_key, ()):
        heapq.heappush(window._ready, (turn, run))


def record_answer(
    window: StartWindow, worker_key: str, latency_s: float
) -> None:
    """Let the window grow after an answer in time, unless it is half empty.

    A window far above its use would send a burst at once when the owner
    becomes slow. The start counts as in flight until `record_end`.
    """
    _record_latency(window, latency_s)
    window.silent.pop(worker_key, None)
    if window.in_flight.total() < window.size / 2:
        return
    if latency_s < FAST_ANSWER_S:
        growth = 1.0
    else:
        growth = 1.0 / window.size
        if latency_s > SLOW_ANSWER_S:
            growth *= SLOW_GROWTH
    window.size = min(MAX_STARTS, window.size + growth)


def record_unanswered(
    window: StartWindow, worker_key: str, *, sent_at: float, now: float
) -> bool:
    """Shrink the window after a start that was not answered in time.

    A start that was sent before the window last shrank says nothing about its
    size now, so it shrinks once in the timeout of a command at most. It
    shrinks from what was in flight, because a larger window was not in use.

    Returns
    -------
    bool
        Whether it shrank.
    """
    _record_latency(window, now - sent_at)
    window.unanswered_at.append(now)
    window.silent = {
        key: at for key, at in window.silent.items() if now - at < SILENT_S
    }
    is_known = worker_key in window.silent
    window.silent[worker_key] = now
    if is_known and len(window.silent) <= MAX_SILENT_WORKERS:
        return False
    if sent_at < window.shrunk_at:
        return False
    used = min(window.size, window.in_flight.total())
    window.size = max(MIN_STARTS, SHRINK_FACTOR * used)
    window.shrunk_at = now
    return True


def _record_latency(window: StartWindow, latency_s: float) -> None:
    latency_s = min(LONGEST_ANSWER_S, latency_s)
    window.latency_s += LATENCY_WEIGHT * (latency_s - window.latency_s)


def is_behind(window: StartWindow, *, now: float) -> bool:
    """Return whether so many starts go unanswered that calls are saved."""
    return (
        len(window.unanswered_at) == BEHIND_STARTS
        and now - window.unanswered_at[0] < BEHIND_S
    )


def may_log_shrink(window: StartWindow, *, now: float) -> bool:
    """Return whether a log line about a smaller window is due."""
    if now - window.logged_at < SHRINK_LOG_PERIOD_S:
        return False
    window.logged_at = now
    return True


def room(window: StartWindow, *, planned: int) -> int:
    """Return how many runs planning may add to those not sent yet.

    It is less than 0 by those that were planned beyond it.
    """
    round_trips = BACKLOG_S / max(window.latency_s, LEAST_ANSWER_S)
    return int(window.size * max(1.0, round_trips)) - planned
