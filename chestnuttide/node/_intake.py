"""Decisions on what callers may make an instance hold.

A port has an `Intake`: its connections, the bytes that they have sent and the
process still holds, and the bounds on both. The functions are pure but for
this state; time is an argument. `_intake_http` calls them for tornado.
"""

import collections
import collections.abc
import enum

import attrs

from chestnuttide.node import _intake_limits

# A parsed header line, with its name and its value.
HEADER_LINE_BYTES = 512

# A body that is complete exists as bytes, as a decoded job and as a record.
SERVED_BODY_FACTOR = 4

# A sender is slow under pressure if nothing has come for this time, or if it
# sends fewer bytes per second than this after this time.
STALL_S = 1.0
PRESSURE_BYTES_PER_S = 16_384

# Under pressure this share of a budget is freed at once.
FREED_SHARE = 1 / 32

# Share of the connections that may be over their bound while others leave.
LEAVING_SHARE = 1 / 8


class Phase(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    HEADERS = "headers"
    BODY = "body"
    SERVED = "served"
    REFUSED = "refused"


# Phases in which nothing of the request was stored.
_REPLACEABLE = (Phase.IDLE, Phase.HEADERS, Phase.BODY, Phase.REFUSED)


class Reason(enum.StrEnum):
    """Why a request was refused or a connection closed."""

    TOO_LARGE = "too_large"
    BUDGET_FULL = "budget_full"
    SLOW = "slow"
    LARGE = "large"
    CONNECTIONS = "connections"
    PEER_CONNECTIONS = "peer_connections"
    HEADERS_LATE = "headers_late"
    BODY_LATE = "body_late"
    IDLE = "idle"
    UNREAD = "unread"
    LINGERED = "lingered"


@attrs.define(kw_only=True, slots=True, eq=False)
class Caller:
    """A connection.

    Attributes
    ----------
    peer : str
        Address of the other end.
    leave : function
        Ends the connection for a reason. It may send a refusal.
    since : float
        Time at which the phase began, in seconds.
    progress_at : float
        Time at which bytes were last received, in seconds.
    phase : Phase
        What it is doing.
    held : int
        Bytes that count for it.
    received : int
        Bytes received in this phase.
    served : int
        Requests that were served.
    unread_since : float or None
        Time since which an answer waits to be read.
    leaving : bool
        Whether it ends after the answer that it waits for.
    """

    peer: str
    leave: collections.abc.Callable[[Reason], None]
    since: float
    progress_at: float
    phase: Phase = Phase.IDLE
    held: int = 0
    received: int = 0
    served: int = 0
    unread_since: float | None = None
    leaving: bool = False


@attrs.define(kw_only=True, slots=True, eq=False)
class Intake:
    """Connections of a port and what they hold.

    Attributes
    ----------
    limits : Limits
        Bounds of the port.
    count : function
        Called with the reason of each refusal and each end.
    callers : dict of Caller to None
        Open connections, the oldest first.
    peers : Counter
        Open connections by address.
    held, peak_held, peak_connections : int
        Bytes held now, most bytes and most connections since the start.
    reasons : Counter
        Refusals and ends by reason.
    """

    limits: _intake_limits.Limits
    count: collections.abc.Callable[[Reason], None] = lambda reason: None
    callers: dict[Caller, None] = attrs.field(factory=dict)
    peers: collections.Counter[str] = attrs.field(factory=collections.Counter)
    held: int = 0
    peak_held: int = 0
    peak_connections: int = 0
    reasons: collections.Counter[Reason] = attrs.field(
        factory=collections.Counter
    )


def add(intake: Intake, caller: Caller) -> None:
    """Take a connection; another one or this one may have to leave."""
    intake.callers[caller] = None
    intake.peers[caller.peer] += 1
    limits = intake.limits
    if len(intake.callers) > limits.connections:
        _dismiss(intake, caller, intake.callers, Reason.CONNECTIONS)
    elif intake.peers[caller.peer] > limits.connections_per_peer:
        same_peer = [
            other for other in intake.callers if other.peer == caller.peer
        ]
        _dismiss(intake, caller, same_peer, Reason.PEER_CONNECTIONS)
    intake.peak_connections = max(intake.peak_connections, len(intake.callers))


def _dismiss(
    intake: Intake,
    newest: Caller,
    callers: collections.abc.Iterable[Caller],
    reason: Reason,
) -> None:
    """Make connections leave so that their number is in its bound again."""
    callers = list(callers)
    victims = order_connections(callers, newest, newest.since)
    many = max(1, int(intake.limits.connections * FREED_SHARE))
    # Callers that have just come are about to send.
    stalled = [
        victim
        for victim in victims[:many]
        if not victim.served and newest.since - victim.progress_at >= STALL_S
    ]
    if victims:
        for victim in stalled or victims[:1]:
            dismiss(intake, victim, reason)
        return
    # All are being served. The one that was served most leaves after its
    # answer, and the newest is over the bound until then.
    leaving = sum(other.leaving for other in callers)
    staying = [
        other for other in callers if not other.leaving and other is not newest
    ]
    if leaving >= intake.limits.connections * LEAVING_SHARE or not staying:
        dismiss(intake, newest, reason)
        return
    max(staying, key=lambda other: other.served).leaving = True


def _is_replaceable(caller: Caller, now: float) -> bool:
    """Return whether nothing is lost for which the caller waits.

    Either nothing of a request was stored, or its answer is not read. An
    answer to a caller's only request never waits here; the kernel takes it.
    """
    return caller.phase in _REPLACEABLE or (
        caller.unread_since is not None
        and now - caller.unread_since >= STALL_S
    )


def order_connections(
    callers: collections.abc.Iterable[Caller], newest: Caller, now: float
) -> list[Caller]:
    """Return the connections that may leave for another, the first first.

    Those that were never served go before others, in both groups the one that
    has waited longest. A request that is being served is never cut off.
    """
    return sorted(
        (
            caller
            for caller in callers
            if caller is not newest and _is_replaceable(caller, now)
        ),
        key=lambda caller: (
            caller.served > 0,
            caller.phase == Phase.BODY,
            caller.since,
        ),
    )


def dismiss(intake: Intake, caller: Caller, reason: Reason) -> None:
    """Make a connection leave and count why."""
    note(intake, reason)
    release(intake, caller)
    caller.leave(reason)


def note(intake: Intake, reason: Reason) -> None:
    """Count a refusal or an end."""
    intake.reasons[reason] += 1
    intake.count(reason)


def remove(intake: Intake, caller: Caller) -> None:
    """Forget a connection that is closed."""
    if caller not in intake.callers:
        return
    del intake.callers[caller]
    intake.peers[caller.peer] -= 1
    if not intake.peers[caller.peer]:
        del intake.peers[caller.peer]
    release(intake, caller)


def begin(caller: Caller, phase: Phase, now: float) -> None:
    """Note that a connection is in another phase."""
    caller.phase = phase
    caller.since = now
    caller.progress_at = now
    caller.received = 0
    caller.unread_since = None


def receive(intake: Intake, caller: Caller, size: int, now: float) -> bool:
    """Note received bytes; return whether they may be kept.

    Otherwise the caller has to leave.
    """
    if caller.phase == Phase.IDLE:
        begin(caller, Phase.HEADERS, now)
    caller.progress_at = now
    caller.received += size
    return charge(intake, caller, size, now)


def charge(intake: Intake, caller: Caller, size: int, now: float) -> bool:
    """Count bytes for a connection; return whether they may be held.

    Those of one that is closed are not: nothing would release them.
    """
    if caller not in intake.callers:
        return False
    if not make_room(intake, caller, size, now):
        return False
    intake.held += size
    caller.held += size
    intake.peak_held = max(intake.peak_held, intake.held)
    return True


def release(intake: Intake, caller: Caller) -> None:
    """Forget the bytes of a connection."""
    intake.held -= caller.held
    caller.held = 0


def make_room(intake: Intake, caller: Caller, size: int, now: float) -> bool:
    """Make others leave until there is room; return whether there is."""
    budget = intake.limits.budget_bytes
    missing = intake.held + size - budget
    if missing <= 0:
        return True
    victims = choose_victims(
        intake.callers,
        caller,
        size=size,
        missing=missing,
        wanted=max(missing, int(budget * FREED_SHARE)),
        now=now,
    )
    for victim in victims:
        slow = is_slow(victim, now)
        dismiss(intake, victim, Reason.SLOW if slow else Reason.LARGE)
    return intake.held + size <= budget


def choose_victims(
    callers: collections.abc.Iterable[Caller],
    caller: Caller,
    *,
    size: int,
    missing: int,
    wanted: int,
    now: float,
) -> list[Caller]:
    """Return the connections that leave for a caller's bytes.

    Slow senders go first, the slowest before others, then those that hold
    the most. The list ends where the caller itself would be next. It is empty
    if that would not free what is missing.

    Parameters
    ----------
    callers : iterable of Caller
        All connections. Those that are being served never leave.
    caller : Caller
        The one that needs room.
    size : int
        Bytes that it needs.
    missing, wanted : int
        Bytes that have to be freed, and that are freed if possible.
    now : float
        Time in seconds.
    """

    def rank(other: Caller) -> tuple[bool, float]:
        if is_slow(other, now) and other is not caller:
            return False, pace(other, now)
        more = size if other is caller else 0
        return True, -(other.held + more)

    own_rank = rank(caller)
    freed = 0
    victims: list[Caller] = []
    for other in sorted(
        (
            other
            for other in callers
            if other.held
            and other is not caller
            and _is_replaceable(other, now)
        ),
        key=rank,
    ):
        if freed >= wanted or rank(other) >= own_rank:
            break
        freed += other.held
        victims.append(other)
    return victims if freed >= missing else []


def pace(caller: Caller, now: float) -> float:
    """Return the bytes per second that a caller has sent in its phase."""
    return caller.received / max(STALL_S, now - caller.since)


def is_slow(caller: Caller, now: float) -> bool:
    """Return whether a sender leaves before others under pressure."""
    if now - caller.since < STALL_S:
        return False
    return (
        now - caller.progress_at >= STALL_S
        or pace(caller, now) < PRESSURE_BYTES_PER_S
    )


def find_overdue(intake: Intake, now: float) -> list[tuple[Caller, Reason]]:
    """Return the connections whose time is over, and why."""
    overdue = []
    for caller in intake.callers:
        reason = _overdue_reason(intake.limits, caller, now)
        if reason is not None:
            overdue.append((caller, reason))
    return overdue


def _overdue_reason(
    limits: _intake_limits.Limits, caller: Caller, now: float
) -> Reason | None:
    age = now - caller.since
    if caller.unread_since is not None:
        if now - caller.unread_since > limits.answer_s:
            return Reason.UNREAD
    elif caller.phase == Phase.IDLE and age > limits.idle_s:
        return Reason.IDLE
    elif caller.phase == Phase.HEADERS and age > limits.header_s:
        return Reason.HEADERS_LATE
    elif caller.phase == Phase.BODY:
        due = limits.body_bytes_per_s * (age - limits.body_grace_s)
        if due > caller.received:
            return Reason.BODY_LATE
    elif caller.phase == Phase.REFUSED and age > limits.linger_s:
        return Reason.LINGERED
    return None


def discount_pause(intake: Intake, pause_s: float) -> None:
    """Don't count a time in which this process did not run."""
    for caller in intake.callers:
        caller.since += pause_s
        caller.progress_at += pause_s
        if caller.unread_since is not None:
            caller.unread_since += pause_s


def describe(name: str, intake: Intake) -> dict[str, object]:
    """Return the row of a port on the operators' page."""
    phases = collections.Counter(str(each.phase) for each in intake.callers)
    return {
        "port": name,
        "connections": len(intake.callers),
        "peak_connections": intake.peak_connections,
        "connection_limit": intake.limits.connections,
        "addresses": len(intake.peers),
        "most_from_one_address": max(intake.peers.values(), default=0),
        "held_bytes": intake.held,
        "peak_held_bytes": intake.peak_held,
        "budget_bytes": intake.limits.budget_bytes,
        "phases": dict(sorted(phases.items())),
        "reasons": {
            str(reason): number
            for reason, number in sorted(intake.reasons.items())
        },
    }
