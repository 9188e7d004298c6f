"""The filter that accepts patches and keeps the newest version in force.

An instance has one patch in flight. Its write creates the key of the version
after the head. The value of that key decides the result, whatever the store
answers: if it has the write id of the patch, the patch is accepted; otherwise
the instance adopts that version and plans the patch again for the next one. A
write without an answer is read back, and repeated with the same write id while
the key is absent.
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

# Versions between two snapshots.
SNAPSHOT_EVERY: typing.Final = 64

# Seconds after which a patch that is still undecided is refused.
PATCH_WAIT_S: typing.Final = 10.0

# Seconds before a store call is retried; doubles up to the maximum.
RETRY_DELAY_S: typing.Final = 0.1
MAX_RETRY_DELAY_S: typing.Final = 2.0

# Seconds between two requests for missing versions.
FETCH_INTERVAL_S: typing.Final = 1.0

# Patches that may wait at one instance behind the one in flight.
MAX_WAITING_PATCHES: typing.Final = 256

# Versions above a gap that are buffered until the gap is filled.
MAX_BUFFERED_VERSIONS: typing.Final = 256


class _Phase(enum.Enum):
    """The call or delay that the patch in flight waits for."""

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
        Time of its submission.
    version : int
        Version whose key is written or read.
    value : bytes
        Value to write; empty if the instance only reads newer versions to
        catch up.
    written : bool
        Whether a write of `version` was sent and may have taken effect.
    phase : _Phase
        The call or delay that it waits for.
    retry_at : float
        Earliest time of a delayed call.
    retry_delay_s : float
        Delay of the next retry.
    """

    submitted: _messages.SubmitPatch
    since: float
    version: int = 0
    value: bytes = b""
    written: bool = False
    phase: _Phase = _Phase.WRITING
    retry_at: float = 0.0
    retry_delay_s: float = RETRY_DELAY_S


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
        Patches that wait behind it, with the times of their submission.
    ahead : dict of int to PatchEntry
        Buffered versions above a gap.
    seen_version : int
        Newest version known to exist.
    fetch_at : float
        Earliest time of the next request for missing versions.
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
    """Return the configuration filter of one instance.

    Parameters
    ----------
    state : ConfigState, optional
        State that the filter changes; a new one by default.
    patch_wait_s : float
        Seconds after which a patch that is still undecided is refused.

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
        _messages.WriteConflict: _on_write_unresolved,
        _messages.WriteUnanswered: _on_write_unresolved,
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
        _resolve_adopted(current, now, out)
        _start_next(current, now, out)
        if current.history.version > before:
            # These outputs go first, so that an accepted patch is in force at
            # this instance before its author is told.
            out[:0] = _activate_head(current)
        _fetch_missing(current, now, out)
        return out

    return run


def _on_submit(
    state: ConfigState,
    message: _messages.SubmitPatch,
    now: float,
    out: list[object],
) -> None:
    if len(state.waiting) >= MAX_WAITING_PATCHES:
        error = errors.RefusedError(
            reason=errors.Reason.QUEUE_FULL,
            message=(
                f"{MAX_WAITING_PATCHES} patches are waiting at this instance."
            ),
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
    in_flight = _match_write(state, message)
    if in_flight is None:
        return
    entry = _history.decode_entry(in_flight.version, in_flight.value)
    if entry.version == state.history.version + 1:
        state.history = _history.adopt(state.history, entry)
    else:
        # A snapshot has moved the head past this version.
        _resolve(state, in_flight, entry, now, out)


def _on_write_unresolved(
    state: ConfigState,
    message: _messages.WriteConflict | _messages.WriteUnanswered,
    now: float,
    out: list[object],
) -> None:
    """Read the key, which an earlier unanswered write may have created."""
    in_flight = _match_write(state, message)
    if in_flight is not None and in_flight.phase is _Phase.WRITING:
        _send_read(in_flight, out)


def _on_read_back(
    state: ConfigState,
    message: _messages.ReadBack,
    now: float,
    out: list[object],
) -> None:
    version = _history.version_of_key(message.key)
    in_flight = state.in_flight
    awaited = (
        in_flight is not None
        and in_flight.version == version
        and in_flight.phase is _Phase.READING
    )
    if message.value is None:
        if awaited:
            _on_key_absent(state, in_flight, now, out)
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
                    remedy="Find out which program wrote it.",
                ),
                out,
            )
        return
    if version == state.history.version + 1:
        state.history = _history.adopt(state.history, entry)
    elif awaited and version <= state.history.version:
        # A snapshot has moved the head past this version, so that
        # `_resolve_adopted` cannot find its patch in the history.
        _resolve(state, in_flight, entry, now, out)


def _on_key_absent(
    state: ConfigState, in_flight: _InFlight, now: float, out: list[object]
) -> None:
    if in_flight.value:
        _schedule_retry(in_flight, _Phase.WRITE_LATER, now)
        return
    # The instance was catching up and the store has no newer version.
    try:
        _history.plan_patch(
            state.history,
            base=in_flight.submitted.base,
            patch=in_flight.submitted.patch,
            author=in_flight.submitted.author,
            write_id=in_flight.submitted.write_id,
        )
    except errors.RefusedError as error:
        _refuse_in_flight(state, error, out)


def _on_read_unanswered(
    state: ConfigState,
    message: _messages.ReadUnanswered,
    now: float,
    out: list[object],
) -> None:
    in_flight = state.in_flight
    if (
        in_flight is not None
        and in_flight.phase is _Phase.READING
        and _history.entry_key(in_flight.version) == message.key
    ):
        _schedule_retry(in_flight, _Phase.READ_LATER, now)


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
        if len(state.ahead) < MAX_BUFFERED_VERSIONS or (
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
    in_flight = state.in_flight
    if in_flight is not None:
        if now - in_flight.since >= patch_wait_s:
            _refuse_in_flight(
                state, _make_timeout_error(in_flight.written), out
            )
        elif now >= in_flight.retry_at:
            if in_flight.phase is _Phase.WRITE_LATER:
                _send_write(in_flight, out)
            elif in_flight.phase is _Phase.READ_LATER:
                _send_read(in_flight, out)
    while state.waiting and now - state.waiting[0][1] >= patch_wait_s:
        submitted, _ = state.waiting.popleft()
        out.append(
            _messages.PatchRefused(
                token=submitted.token, error=_make_timeout_error(False)
            )
        )


def _make_timeout_error(written: bool) -> errors.RefusedError:
    if written:
        return errors.RefusedError(
            reason=errors.Reason.OUTCOME_UNKNOWN,
            message="The store did not confirm whether it stored the patch.",
            remedy=(
                "Look for the patch in the history before submitting it again."
            ),
            run_state=errors.RunState.UNKNOWN,
        )
    return errors.RefusedError(
        reason=errors.Reason.STORE_UNAVAILABLE,
        message="The store is not responding; the patch was not written.",
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
    in_flight = state.in_flight
    if (
        in_flight is None
        or not in_flight.written
        or in_flight.submitted.write_id != message.write_id
        or _history.entry_key(in_flight.version) != message.key
    ):
        return None
    return in_flight


def _adopt_ahead(state: ConfigState) -> None:
    """Adopt buffered versions that directly follow the head."""
    while state.history.version + 1 in state.ahead:
        entry = state.ahead.pop(state.history.version + 1)
        state.history = _history.adopt(state.history, entry)
    if state.ahead:
        head = state.history.version
        for version in [v for v in state.ahead if v <= head]:
            del state.ahead[version]


def _resolve_adopted(
    state: ConfigState, now: float, out: list[object]
) -> None:
    """Resolve the patch in flight if its version has been adopted."""
    in_flight = state.in_flight
    if in_flight is None or in_flight.version > state.history.version:
        return
    entry = _history.find_entry(state.history, in_flight.version)
    if entry is not None:
        _resolve(state, in_flight, entry, now, out)
    elif not in_flight.written:
        _plan_write(state, in_flight, now, out)
    elif in_flight.phase is _Phase.WRITE_LATER:
        # A snapshot has moved the head past the version, so its key exists.
        in_flight.phase = _Phase.READ_LATER


def _resolve(
    state: ConfigState,
    in_flight: _InFlight,
    entry: _history.PatchEntry,
    now: float,
    out: list[object],
) -> None:
    """Accept the patch in flight if the entry is its own; else replan it."""
    if entry.write_id != in_flight.submitted.write_id:
        _plan_write(state, in_flight, now, out)
        return
    state.in_flight = None
    out.append(
        _messages.PatchAccepted(
            token=in_flight.submitted.token, version=entry.version
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
        _plan_write(state, state.in_flight, now, out)


def _plan_write(
    state: ConfigState, in_flight: _InFlight, now: float, out: list[object]
) -> None:
    """Write the patch as the version after the head, or refuse it."""
    submitted = in_flight.submitted
    head = state.history.version
    in_flight.retry_at = now
    in_flight.retry_delay_s = RETRY_DELAY_S
    in_flight.written = False
    known = _history.find_write(state.history, submitted.write_id)
    if known is not None:
        # Another instance stored it as a version but its answer was lost.
        in_flight.version = known.version
        _resolve(state, in_flight, known, now, out)
        return
    if type(submitted.base) is int and submitted.base > head:
        # The author has read a version that this instance does not know yet.
        in_flight.version = head + 1
        in_flight.value = b""
        _send_read(in_flight, out)
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
    in_flight.version = planned.version
    in_flight.value = planned.value
    _send_write(in_flight, out)


def _send_write(in_flight: _InFlight, out: list[object]) -> None:
    in_flight.phase = _Phase.WRITING
    in_flight.written = True
    out.append(
        _messages.WritePatch(
            key=_history.entry_key(in_flight.version),
            value=in_flight.value,
            write_id=in_flight.submitted.write_id,
        )
    )


def _send_read(in_flight: _InFlight, out: list[object]) -> None:
    in_flight.phase = _Phase.READING
    out.append(_messages.ReadKey(key=_history.entry_key(in_flight.version)))


def _schedule_retry(in_flight: _InFlight, phase: _Phase, now: float) -> None:
    in_flight.phase = phase
    in_flight.retry_at = now + in_flight.retry_delay_s
    in_flight.retry_delay_s = min(
        2 * in_flight.retry_delay_s, MAX_RETRY_DELAY_S
    )


def _refuse_in_flight(
    state: ConfigState, error: errors.RefusedError, out: list[object]
) -> None:
    out.append(
        _messages.PatchRefused(
            token=state.in_flight.submitted.token, error=error
        )
    )
    state.in_flight = None


def _activate_head(state: ConfigState) -> list[object]:
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
    state.fetch_at = now + FETCH_INTERVAL_S
    out.append(_messages.FetchMissing(after_version=state.history.version))
