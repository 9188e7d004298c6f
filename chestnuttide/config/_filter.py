"""The filter that accepts patches and keeps the newest version in force.

An instance has one patch in flight. Its write creates the key of the version
after the head. Whatever the store answers, the key's value decides: with our
write id the patch is accepted, with another one that version is adopted and
the patch is planned again for the next. A write that was not answered is read
back, and sent again with the same write id while the key is absent.
"""

import collections
import enum
import typing

import attrs

from chestnuttide.config import _document
from chestnuttide.config import _history
from chestnuttide.config import _messages
from chestnuttide import errors
from chestnuttide import pipes

SNAPSHOT_EVERY: typing.Final = 64

# Seconds after which a patch is answered although the store left it open.
PATCH_WAIT_S: typing.Final = 10.0

# Seconds before a store call is tried again; doubles up to the maximum.
RETRY_S: typing.Final = 0.1
RETRY_MAX_S: typing.Final = 2.0

# Seconds before missing versions are asked for again.
FETCH_S: typing.Final = 1.0

# Patches that may wait at one instance for the one in flight.
WAITING_LIMIT: typing.Final = 256

# Versions above a gap that are kept until the gap is filled.
AHEAD_LIMIT: typing.Final = 256


class _Phase(enum.Enum):
    """What the patch in flight waits for."""

    WRITING = "writing"
    READING = "reading"
    WRITE_LATER = "write_later"
    READ_LATER = "read_later"


@attrs.define(kw_only=True, slots=True)
class _InFlight:
    """The patch in flight.

    Attributes
    ----------
    submitted : SubmitPatch
        The submission.
    since : float
        When it was submitted.
    version : int
        Version whose key is written or read.
    value : bytes
        Value to write; empty while the instance only catches up.
    written : bool
        Whether a write of `version` was sent, so that it may exist.
    phase : _Phase
        What it waits for.
    retry_at : float
        When a later phase begins.
    retry_s : float
        Delay of the next retry.
    """

    submitted: _messages.SubmitPatch
    since: float
    version: int = 0
    value: bytes = b""
    written: bool = False
    phase: _Phase = _Phase.WRITING
    retry_at: float = 0.0
    retry_s: float = RETRY_S


@attrs.define(kw_only=True, slots=True)
class ConfigState:
    """State of the configuration filter.

    Attributes
    ----------
    history : History
        The head and the patches that led to it.
    cell_config : CellConfig
        The configuration in force.
    in_flight : _InFlight or None
        The patch that is being written.
    waiting : deque of (SubmitPatch, float)
        Patches that wait for it, with the times of their submission.
    ahead : dict of int to PatchEntry
        Versions above a gap.
    seen_version : int
        Newest version that a peer has named.
    fetch_at : float
        When missing versions may be asked for again.
    """

    history: _history.History = attrs.field(factory=_history.History)
    cell_config: _document.CellConfig = attrs.field(
        factory=_document.CellConfig
    )
    in_flight: _InFlight | None = None
    waiting: collections.deque[tuple[_messages.SubmitPatch, float]] = (
        attrs.field(factory=collections.deque)
    )
    ahead: dict[int, _history.PatchEntry] = attrs.field(factory=dict)
    seen_version: int = 0
    fetch_at: float = 0.0


def make_config_filter(
    state: ConfigState | None = None, patch_wait_s: float = PATCH_WAIT_S
) -> pipes.Filter:
    """Return the filter of one instance's configuration.

    Parameters
    ----------
    state : ConfigState, optional
        The state, which the filter changes; a new one by default.
    patch_wait_s : float
        Seconds after which a patch is answered although the store left it
        open.

    Returns
    -------
    Filter
        Takes `SubmitPatch`, `WriteSucceeded`, `WriteConflict`,
        `WriteUnanswered`, `ReadBack`, `ReadUnanswered`, `PatchesReceived`,
        `SnapshotReceived`, `VersionSeen` and `Tick`. Returns `ReadKey`,
        `WritePatch`, `PatchAccepted`, `PatchRefused`, `ConfigAdopted`,
        `ConfigUnreadable`, `FetchMissing`, `Broadcast` and `WriteSnapshot`.
        Any other message raises TypeError.
    """
    current = state if state is not None else ConfigState()
    handlers = {
        _messages.SubmitPatch: _on_submit,
        _messages.WriteSucceeded: _on_write_succeeded,
        _messages.WriteConflict: _on_write_open,
        _messages.WriteUnanswered: _on_write_open,
        _messages.ReadBack: _on_read_back,
        _messages.ReadUnanswered: _on_read_unanswered,
        _messages.PatchesReceived: _on_patches,
        _messages.SnapshotReceived: _on_snapshot,
        _messages.VersionSeen: _on_version_seen,
    }

    def run(message: object, now: float) -> list[object]:
        out: list[object] = []
        before = current.history.version
        if isinstance(message, _messages.Tick):
            _on_tick(current, now, patch_wait_s, out)
        else:
            handler = handlers.get(type(message))
            if handler is None:
                raise TypeError(f"config: unexpected message {message!r}")
            handler(current, message, now, out)
        _adopt_ahead(current)
        _settle(current, now, out)
        _start_next(current, now, out)
        if current.history.version > before:
            # In force first, so that an accepted patch is in force at this
            # instance when its author hears of it.
            out[:0] = _put_in_force(current)
        _fetch_missing(current, now, out)
        return out

    return run


def _on_submit(
    state: ConfigState,
    message: _messages.SubmitPatch,
    now: float,
    out: list[object],
) -> None:
    if len(state.waiting) >= WAITING_LIMIT:
        error = errors.RefusedError(
            reason=errors.Reason.QUEUE_FULL,
            message=f"{WAITING_LIMIT} patches wait at this instance.",
            remedy="Submit the patch again later.",
        )
        out.append(_messages.PatchRefused(token=message.token, error=error))
        return
    state.waiting.append((message, now))


def _on_write_succeeded(
    state: ConfigState,
    message: _messages.WriteSucceeded,
    now: float,
    out: list[object],
) -> None:
    flight = _match_write(state, message)
    if flight is None:
        return
    entry = _history.decode_entry(flight.version, flight.value)
    if entry.version == state.history.version + 1:
        state.history = _history.adopt(state.history, entry)
    else:
        # A snapshot took the head past this version.
        _decide(state, flight, entry, now, out)


def _on_write_open(
    state: ConfigState,
    message: _messages.WriteConflict | _messages.WriteUnanswered,
    now: float,
    out: list[object],
) -> None:
    """Read the key, because a lost earlier write may have created it."""
    flight = _match_write(state, message)
    if flight is not None and flight.phase is _Phase.WRITING:
        _read(flight, out)


def _on_read_back(
    state: ConfigState,
    message: _messages.ReadBack,
    now: float,
    out: list[object],
) -> None:
    version = _history.version_of_key(message.key)
    flight = state.in_flight
    awaited = (
        flight is not None
        and flight.version == version
        and flight.phase is _Phase.READING
    )
    if message.value is None:
        if awaited:
            _on_absent(state, flight, now, out)
        return
    try:
        entry = _history.decode_entry(version, message.value)
    except errors.ProtocolError as error:
        out.append(_messages.ConfigUnreadable(version=version, error=error))
        if awaited:
            _refuse_in_flight(
                state,
                errors.RefusedError(
                    reason=errors.Reason.INTERNAL,
                    message=f"Stored version {version} cannot be decoded.",
                    remedy="Find out who wrote it.",
                ),
                out,
            )
        return
    if version == state.history.version + 1:
        state.history = _history.adopt(state.history, entry)
    elif awaited and version <= state.history.version:
        # A snapshot took the head past this version, so `_settle` does not
        # find its patch in the history.
        _decide(state, flight, entry, now, out)


def _on_absent(
    state: ConfigState, flight: _InFlight, now: float, out: list[object]
) -> None:
    if flight.value:
        _retry(flight, _Phase.WRITE_LATER, now)
        return
    # The instance was catching up; the store knows no later version.
    try:
        _history.plan_patch(
            state.history,
            base=flight.submitted.base,
            patch=flight.submitted.patch,
            author=flight.submitted.author,
            write_id=flight.submitted.write_id,
        )
    except errors.RefusedError as error:
        _refuse_in_flight(state, error, out)


def _on_read_unanswered(
    state: ConfigState,
    message: _messages.ReadUnanswered,
    now: float,
    out: list[object],
) -> None:
    flight = state.in_flight
    if (
        flight is not None
        and flight.phase is _Phase.READING
        and _history.entry_key(flight.version) == message.key
    ):
        _retry(flight, _Phase.READ_LATER, now)


def _on_patches(
    state: ConfigState,
    message: _messages.PatchesReceived,
    now: float,
    out: list[object],
) -> None:
    fresh = tuple(
        entry
        for entry in message.entries
        if entry.version > state.history.version
        and entry.version not in state.ahead
    )
    for entry in fresh:
        state.seen_version = max(state.seen_version, entry.version)
        if len(state.ahead) < AHEAD_LIMIT or (
            entry.version == state.history.version + 1
        ):
            state.ahead[entry.version] = entry
        _adopt_ahead(state)
    if fresh and message.from_store:
        out.append(_messages.Broadcast(entries=fresh))


def _on_snapshot(
    state: ConfigState,
    message: _messages.SnapshotReceived,
    now: float,
    out: list[object],
) -> None:
    state.history = _history.adopt_snapshot(state.history, message.snapshot)


def _on_version_seen(
    state: ConfigState,
    message: _messages.VersionSeen,
    now: float,
    out: list[object],
) -> None:
    state.seen_version = max(state.seen_version, message.version)


def _on_tick(
    state: ConfigState, now: float, patch_wait_s: float, out: list[object]
) -> None:
    flight = state.in_flight
    if flight is not None:
        if now - flight.since >= patch_wait_s:
            _refuse_in_flight(state, _store_silent(flight.written), out)
        elif now >= flight.retry_at:
            if flight.phase is _Phase.WRITE_LATER:
                _write(flight, out)
            elif flight.phase is _Phase.READ_LATER:
                _read(flight, out)
    while state.waiting and now - state.waiting[0][1] >= patch_wait_s:
        submitted, _ = state.waiting.popleft()
        out.append(
            _messages.PatchRefused(
                token=submitted.token, error=_store_silent(False)
            )
        )


def _store_silent(written: bool) -> errors.RefusedError:
    if written:
        return errors.RefusedError(
            reason=errors.Reason.OUTCOME_UNKNOWN,
            message="The store did not say whether it took the patch.",
            remedy="Look for the patch in the history before a new attempt.",
            run_state=errors.RunState.UNKNOWN,
        )
    return errors.RefusedError(
        reason=errors.Reason.STORE_UNAVAILABLE,
        message="The store does not answer; the patch was not written.",
        remedy="Submit the patch again later.",
    )


def _match_write(
    state: ConfigState,
    message: (
        _messages.WriteSucceeded
        | _messages.WriteConflict
        | _messages.WriteUnanswered
    ),
) -> _InFlight | None:
    """Return the patch in flight if the message is about its write."""
    flight = state.in_flight
    if (
        flight is None
        or not flight.written
        or flight.submitted.write_id != message.write_id
        or _history.entry_key(flight.version) != message.key
    ):
        return None
    return flight


def _adopt_ahead(state: ConfigState) -> None:
    """Adopt the versions above a gap that has been filled."""
    while state.history.version + 1 in state.ahead:
        entry = state.ahead.pop(state.history.version + 1)
        state.history = _history.adopt(state.history, entry)
    if state.ahead:
        head = state.history.version
        for version in [v for v in state.ahead if v <= head]:
            del state.ahead[version]


def _settle(state: ConfigState, now: float, out: list[object]) -> None:
    """Decide the patch in flight if its version has been adopted."""
    flight = state.in_flight
    if flight is None or flight.version > state.history.version:
        return
    entry = _history.find_entry(state.history, flight.version)
    if entry is not None:
        _decide(state, flight, entry, now, out)
    elif not flight.written:
        _plan(state, flight, now, out)
    elif flight.phase is _Phase.WRITE_LATER:
        # A snapshot took the head past the version, so its key exists.
        flight.phase = _Phase.READ_LATER


def _decide(
    state: ConfigState,
    flight: _InFlight,
    entry: _history.PatchEntry,
    now: float,
    out: list[object],
) -> None:
    """Accept the patch in flight if the entry is its own, else plan anew."""
    if entry.write_id != flight.submitted.write_id:
        _plan(state, flight, now, out)
        return
    state.in_flight = None
    out.append(
        _messages.PatchAccepted(
            token=flight.submitted.token, version=entry.version
        )
    )
    out.append(_messages.Broadcast(entries=(entry,)))
    known = _history.oldest_version(state.history) <= entry.version
    if entry.version % SNAPSHOT_EVERY == 0 and known:
        out.append(_make_snapshot(state.history, entry.version))


def _make_snapshot(
    history: _history.History, version: int
) -> _messages.WriteSnapshot:
    obsolete = version - 2 * SNAPSHOT_EVERY
    snapshot = _history.Snapshot(
        version=version, document=_history.document_at(history, version)
    )
    return _messages.WriteSnapshot(
        snapshot=_history.encode_snapshot(snapshot),
        obsolete_prefix=(
            _history.snapshot_prefix(obsolete) if obsolete > 0 else ""
        ),
    )


def _start_next(state: ConfigState, now: float, out: list[object]) -> None:
    while state.in_flight is None and state.waiting:
        submitted, since = state.waiting.popleft()
        state.in_flight = _InFlight(submitted=submitted, since=since)
        _plan(state, state.in_flight, now, out)


def _plan(
    state: ConfigState, flight: _InFlight, now: float, out: list[object]
) -> None:
    """Write the patch as the version after the head, or refuse it."""
    submitted = flight.submitted
    head = state.history.version
    flight.retry_at = now
    flight.retry_s = RETRY_S
    flight.written = False
    known = _history.find_write(state.history, submitted.write_id)
    if known is not None:
        # Another instance made it a version before its answer was lost.
        flight.version = known.version
        _decide(state, flight, known, now, out)
        return
    if type(submitted.base) is int and submitted.base > head:
        # The author read a version that this instance has not heard of yet.
        flight.version = head + 1
        flight.value = b""
        _read(flight, out)
        return
    try:
        planned = _history.plan_patch(
            state.history,
            base=submitted.base,
            patch=submitted.patch,
            author=submitted.author,
            write_id=submitted.write_id,
        )
    except errors.RefusedError as error:
        _refuse_in_flight(state, error, out)
        return
    flight.version = planned.version
    flight.value = planned.value
    _write(flight, out)


def _write(flight: _InFlight, out: list[object]) -> None:
    flight.phase = _Phase.WRITING
    flight.written = True
    out.append(
        _messages.WritePatch(
            key=_history.entry_key(flight.version),
            value=flight.value,
            write_id=flight.submitted.write_id,
        )
    )


def _read(flight: _InFlight, out: list[object]) -> None:
    flight.phase = _Phase.READING
    out.append(_messages.ReadKey(key=_history.entry_key(flight.version)))


def _retry(flight: _InFlight, phase: _Phase, now: float) -> None:
    flight.phase = phase
    flight.retry_at = now + flight.retry_s
    flight.retry_s = min(2 * flight.retry_s, RETRY_MAX_S)


def _refuse_in_flight(
    state: ConfigState, error: errors.RefusedError, out: list[object]
) -> None:
    out.append(
        _messages.PatchRefused(
            token=state.in_flight.submitted.token, error=error
        )
    )
    state.in_flight = None


def _put_in_force(state: ConfigState) -> list[object]:
    version = state.history.version
    try:
        state.cell_config = _history.structure(state.history.document)
    except errors.RefusedError as error:
        return [_messages.ConfigUnreadable(version=version, error=error)]
    return [
        _messages.ConfigAdopted(version=version, cell_config=state.cell_config)
    ]


def _fetch_missing(state: ConfigState, now: float, out: list[object]) -> None:
    if state.seen_version <= state.history.version or now < state.fetch_at:
        return
    state.fetch_at = now + FETCH_S
    out.append(_messages.FetchMissing(after_version=state.history.version))
