"""Decides which workers an owner polls now, and how long a poll may wait.

An owner must not poll itself into an overload: after a takeover, and whenever
its polls fail because it is late itself, it sends only so many at once.
"""

import collections
import collections.abc
import enum
import heapq
import itertools

import attrs

from chestnuttide.node import _intake_limits
from chestnuttide.node import _settings

# A worker answers a poll after this time if no run has completed. On workers
# with runs, progress, latency and unresponsiveness are seen at this rate.
BUSY_POLL_WAIT_S = 0.5

# With longer waits, a worker that does not answer one poll and then answers
# the next would lose its lease of 2.5 s: two waits, the timeout of the first
# poll, the pause after it, and a tenth of the lease for delays.
MAX_BUSY_POLL_WAIT_S = 0.8

IDLE_POLL_WAIT_S = 2.0

# Timeout of a poll beyond its wait.
POLL_TIMEOUT_S = 0.4

# Polls of busy workers in a second, for each core: a fifth of its time.
POLLS_PER_CORE_S = 800.0

# A worker that comes back is seen within a second: the timeout and the pause.
MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 0.6

# Polls without a wait are sent while fewer than SLOTS of them wait for their
# reply, each of which counts for HOLD_S at most. Workers that have not
# answered before are expected to be silent again.
SLOTS = 64
HOLD_S = 0.1
SILENT_HOLD_S = 0.02

# Most polls in progress, waiting at workers and without a wait.
MAX_WAITING_POLLS = 2560
MAX_SHORT_POLLS = 256
MIN_POLLS = 64

# Descriptors for peers, the store and commands.
OTHER_SOCKETS = 200

# Period of the measurement of the loop's delay, and for how long it is kept.
DELAY_PERIOD_S = 0.05
DELAY_MEMORY_S = 5.0

# A poll was late if the owner's loop was delayed for a quarter of its timeout.
LATE_S = POLL_TIMEOUT_S / 4

# After this time of such polls, the worker counts as unresponsive.
EXCUSE_S = 2.5


class Priority(enum.IntEnum):
    """Order in which workers are polled without a wait."""

    LEASED = 0
    KNOWN = 1
    SILENT = 2


@attrs.frozen(kw_only=True, slots=True)
class Limits:
    """Bounds on an instance's polls.

    Attributes
    ----------
    waiting, short : int
        Most polls in progress that wait at their worker, and that do not.
    polls_per_s : float
        Rate above which polls of busy workers wait for longer.
    """

    waiting: int = MAX_WAITING_POLLS
    short: int = MAX_SHORT_POLLS
    polls_per_s: float = POLLS_PER_CORE_S


@attrs.define(kw_only=True, slots=True, eq=False)
class Ticket:
    """A poll without a wait, from its request until its end.

    Attributes
    ----------
    priority : Priority
        Its place in the order.
    on_admit : function
        Called once it may be sent.
    admitted : bool
        Whether it has been.
    holds : bool
        Whether it holds a slot.
    ended : bool
        Whether it has ended.
    """

    priority: Priority
    on_admit: collections.abc.Callable[[], None]
    admitted: bool = False
    holds: bool = False
    ended: bool = False


@attrs.define(kw_only=True, slots=True, eq=False)
class Pacing:
    """Polls in progress of an instance, and how late its loop is.

    Attributes
    ----------
    limits : Limits
        The bounds.
    waiting, idle_waiting : int
        Polls in progress that wait at their worker, and those of them whose
        worker had no runs.
    short, held : int
        Polls in progress that do not wait, and those of them that hold a slot.
    queue : list of (int, int, Ticket)
        Heap of the polls that wait for a slot.
    numbers : iterator of int
        Sequence of these polls.
    busy_workers : int
        Workers with runs in its services, as last counted.
    delays : deque of (float, float)
        Times at which the loop's delay was measured, and the delays.
    next_delay_at : float
        When it is due to be measured next; 0 before the first time.
    """

    limits: Limits = Limits()
    waiting: int = 0
    idle_waiting: int = 0
    short: int = 0
    held: int = 0
    queue: list[tuple[int, int, Ticket]] = attrs.field(factory=list)
    numbers: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count
    )
    busy_workers: int = 0
    delays: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    next_delay_at: float = 0.0


def make_limits(
    capacity: _settings.CapacitySettings, intake: _settings.IntakeSettings
) -> Limits:
    """Return the bounds that follow from the instance's machine.

    Callers' connections come first. Where the other descriptors are too few
    for a waiting poll of each worker, the owner itself waits between polls.
    """
    callers = _intake_limits.make_limits(capacity, intake).connections
    free = capacity.max_files - _intake_limits.FILES_RESERVE - OTHER_SOCKETS
    polls = max(MIN_POLLS, free - callers)
    short = min(MAX_SHORT_POLLS, polls // 4)
    return Limits(
        waiting=min(MAX_WAITING_POLLS, polls - short),
        short=short,
        polls_per_s=POLLS_PER_CORE_S * capacity.cores,
    )


def enter(
    pacing: Pacing,
    priority: Priority,
    on_admit: collections.abc.Callable[[], None],
) -> Ticket:
    """Request a poll without a wait; it may be sent once `on_admit` is called.

    It ends with `leave`. Its caller calls `give_back` before, once the slot
    has been held for `hold_s`.
    """
    ticket = Ticket(priority=priority, on_admit=on_admit)
    heapq.heappush(pacing.queue, (priority, next(pacing.numbers), ticket))
    _admit(pacing)
    return ticket


def hold_s(ticket: Ticket) -> float:
    """Return for how long a poll holds its slot without a reply."""
    return SILENT_HOLD_S if ticket.priority == Priority.SILENT else HOLD_S


def give_back(pacing: Pacing, ticket: Ticket) -> None:
    """Let the next poll be sent although this one has had no reply."""
    if ticket.holds:
        ticket.holds = False
        pacing.held -= 1
        _admit(pacing)


def leave(pacing: Pacing, ticket: Ticket) -> None:
    """End a poll, also one that was not admitted."""
    if ticket.ended:
        return
    ticket.ended = True
    if ticket.admitted:
        pacing.short -= 1
        pacing.held -= ticket.holds
        ticket.holds = False
    _admit(pacing)


def _admit(pacing: Pacing) -> None:
    while (
        pacing.queue
        and pacing.held < SLOTS
        and pacing.short < pacing.limits.short
    ):
        _, _, ticket = heapq.heappop(pacing.queue)
        if ticket.ended:
            continue
        ticket.admitted = ticket.holds = True
        pacing.held += 1
        pacing.short += 1
        ticket.on_admit()


def max_polls(pacing: Pacing) -> int:
    """Return the most polls that are ever in progress."""
    return pacing.limits.waiting + pacing.limits.short


def may_wait(pacing: Pacing, *, busy: bool) -> bool:
    """Return whether one more poll may wait at its worker.

    Busy workers come first, as they answer when a run completes.
    """
    limit = pacing.limits.waiting
    if not busy and pacing.idle_waiting >= limit - pacing.busy_workers:
        return False
    return pacing.waiting < limit


def begin_wait(pacing: Pacing, *, busy: bool) -> None:
    """Count a poll that waits at its worker, until `end_wait`."""
    pacing.waiting += 1
    pacing.idle_waiting += not busy


def end_wait(pacing: Pacing, *, busy: bool) -> None:
    """End a poll that `begin_wait` has counted."""
    pacing.waiting -= 1
    pacing.idle_waiting -= not busy


def busy_wait_s(pacing: Pacing) -> float:
    """Return how long polls of workers with runs wait."""
    wait_s = pacing.busy_workers / pacing.limits.polls_per_s
    return min(max(BUSY_POLL_WAIT_S, wait_s), MAX_BUSY_POLL_WAIT_S)


def retry_pause_s(failed_polls: int) -> float:
    """Return the pause after a number of failed polls of one worker."""
    doublings = min(failed_polls, 8) - 1
    return min(MAX_RETRY_PAUSE_S, MIN_RETRY_PAUSE_S * 2**doublings)


def record_delay(pacing: Pacing, now: float) -> float:
    """Record how late the loop measures its delay; return the delay."""
    due_at = pacing.next_delay_at or now
    delay_s = max(0.0, now - due_at)
    pacing.delays.append((now, delay_s))
    while pacing.delays[0][0] < now - DELAY_MEMORY_S:
        pacing.delays.popleft()
    pacing.next_delay_at = now + DELAY_PERIOD_S
    return delay_s


def was_late(pacing: Pacing, *, sent_at: float, now: float) -> bool:
    """Return whether a poll that timed out may be one that came in late.

    Delays count within a timeout of its sending and of its end; in between,
    the worker waits.
    """
    delay_s = 0.0
    if pacing.next_delay_at:
        delay_s = max(0.0, now - pacing.next_delay_at)
    delay_s += sum(
        delay
        for at, delay in pacing.delays
        if sent_at <= at <= sent_at + POLL_TIMEOUT_S + delay
        or at >= max(sent_at, now - POLL_TIMEOUT_S)
    )
    return delay_s >= LATE_S
