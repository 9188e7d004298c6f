"""The ledger of non-idempotent requests, each of which runs at most once.

A request is dispatched only after its intent is durable in the shard's
journal. A successor therefore knows every request id that may have run: with
an intent but no outcome, the outcome is unknown; without an intent, the
request never ran. An id is dropped some time after its last change, unless
the request is still in progress.
"""

import collections
import collections.abc
import enum
import typing

import attrs
import cbor2

from chestnuttide import errors

REMEMBER_S: typing.Final = 900.0

# First item of each ledger event; other journal events use other numbers.
INTENT_EVENT: typing.Final = 1
OUTCOME_EVENT: typing.Final = 2

# Status in the outcome event of a request that was refused before it ran.
NOT_RUN_STATUS: typing.Final = 0


class RequestState(enum.StrEnum):
    """State of a non-idempotent request."""

    ACCEPTED = "accepted"
    INTENT_RECORDED = "intent_recorded"
    SENT = "sent"
    ANSWERED = "answered"
    OUTCOME_UNKNOWN = "outcome_unknown"


_FINAL_STATES = frozenset(
    {RequestState.ANSWERED, RequestState.OUTCOME_UNKNOWN}
)
_CODES = {state: code for code, state in enumerate(RequestState)}
_STATES = dict(enumerate(RequestState))


@attrs.define(kw_only=True)
class LedgerEntry:
    """Ledger entry of one request id.

    Attributes
    ----------
    state : RequestState
        State of the request.
    changed_at : float
        Monotonic time, in seconds, of the last change.
    journalled : bool
        Whether an event with the id has been appended to the journal.
    token : int
        Token of the intent event in the journal; -1 if there is none.
    status : int
        HTTP status of the target's answer; 0 until it arrives.
    """

    state: RequestState
    changed_at: float
    journalled: bool = False
    token: int = -1
    status: int = 0


@attrs.define(kw_only=True)
class LedgerState:
    """Ledger of one shard.

    Attributes
    ----------
    remember_s : float
        Seconds for which an id is kept after its last change.
    entries : OrderedDict of str to LedgerEntry
        Entries by request id, the least recently changed first.
    """

    remember_s: float = REMEMBER_S
    entries: collections.OrderedDict[str, LedgerEntry] = attrs.field(
        factory=collections.OrderedDict
    )


def begin(
    ledger: LedgerState, request_id: str, now: float
) -> RequestState | None:
    """Accept a request id unless it is already in use.

    Returns
    -------
    RequestState or None
        None if the id is new and is now accepted. Otherwise the state of the
        earlier request, and the new one must not run.
    """
    expire(ledger, now)
    entry = ledger.entries.get(request_id)
    if entry is not None:
        return entry.state
    ledger.entries[request_id] = LedgerEntry(
        state=RequestState.ACCEPTED, changed_at=now
    )
    return None


def make_intent_event(
    ledger: LedgerState,
    request_ids: collections.abc.Sequence[str],
    token: int,
) -> bytes:
    """Return the event that records intents for accepted ids.

    The event must be appended to the journal immediately, because snapshots
    of the ledger contain the ids from now on.

    Parameters
    ----------
    ledger : LedgerState
        The ledger.
    request_ids : sequence of str
        Accepted ids.
    token : int
        Token with which the event is appended.
    """
    for request_id in request_ids:
        entry = _require_entry(ledger, request_id)
        entry.journalled = True
        entry.token = token
    return cbor2.dumps([INTENT_EVENT, *request_ids])


def record_intent(
    ledger: LedgerState, request_id: str, token: int, now: float
) -> bool:
    """Record that an intent is durable and return whether to send it.

    The token distinguishes the intent from that of an earlier request with
    the same id, which was refused before its intent was durable. In the
    journal a refusal follows that intent, so it does not protect this request.

    Returns
    -------
    bool
        False if the request was refused or dropped in the meantime.
    """
    entry = ledger.entries.get(request_id)
    if entry is None or entry.state is not RequestState.ACCEPTED:
        return False
    if not entry.journalled or entry.token != token:
        return False
    _set_state(ledger, request_id, entry, RequestState.INTENT_RECORDED, now)
    return True


def mark_sent(ledger: LedgerState, request_id: str, now: float) -> bool:
    """Record that a request is being sent, and return whether it may be.

    Called immediately before the first byte is passed to a connection.
    """
    entry = ledger.entries.get(request_id)
    if entry is None or entry.state is not RequestState.INTENT_RECORDED:
        return False
    _set_state(ledger, request_id, entry, RequestState.SENT, now)
    return True


def mark_unsent(ledger: LedgerState, request_id: str, now: float) -> None:
    """Record that no byte of a request was passed to a connection.

    The request may be sent again, for example to another target.
    """
    entry = ledger.entries.get(request_id)
    if entry is not None and entry.state is RequestState.SENT:
        _set_state(
            ledger, request_id, entry, RequestState.INTENT_RECORDED, now
        )


def mark_answered(
    ledger: LedgerState, request_id: str, status: int, now: float
) -> None:
    """Record the HTTP status of the target's answer."""
    entry = ledger.entries.get(request_id)
    if entry is not None and entry.state in (
        RequestState.SENT,
        RequestState.OUTCOME_UNKNOWN,
    ):
        entry.status = status
        _set_state(ledger, request_id, entry, RequestState.ANSWERED, now)


def mark_unknown(ledger: LedgerState, request_id: str, now: float) -> None:
    """Record that a sent request got no answer and may have run."""
    entry = ledger.entries.get(request_id)
    if entry is not None and entry.state is RequestState.SENT:
        _set_state(
            ledger, request_id, entry, RequestState.OUTCOME_UNKNOWN, now
        )


def refuse(ledger: LedgerState, request_id: str) -> bool:
    """Drop a request that was not sent and will not be.

    Returns
    -------
    bool
        Whether its intent is in the journal. If so, an outcome event with
        `NOT_RUN_STATUS` must be appended; without it, a successor treats the
        outcome as unknown.

    Raises
    ------
    errors.ProtocolError
        If the request was sent.
    """
    entry = _require_entry(ledger, request_id)
    if entry.state not in (
        RequestState.ACCEPTED,
        RequestState.INTENT_RECORDED,
    ):
        raise errors.ProtocolError(
            message=f"Request {request_id} was sent and cannot be refused.",
            remedy="Report its outcome as unknown.",
        )
    del ledger.entries[request_id]
    return entry.journalled


def make_outcome_event(
    outcomes: collections.abc.Iterable[tuple[str, int]],
) -> bytes:
    """Return the event that records outcomes.

    Parameters
    ----------
    outcomes : iterable of (str, int)
        Ids with the HTTP status of their answer, or `NOT_RUN_STATUS`.
    """
    items: list[object] = [OUTCOME_EVENT]
    for request_id, status in outcomes:
        items.extend((request_id, status))
    return cbor2.dumps(items)


def state_of(
    ledger: LedgerState, request_id: str, now: float
) -> LedgerEntry | None:
    """Return the entry of a request id, or None."""
    expire(ledger, now)
    return ledger.entries.get(request_id)


def expire(ledger: LedgerState, now: float) -> None:
    """Drop ids that have expired, in amortized constant time per id."""
    entries = ledger.entries
    while entries:
        request_id, entry = next(iter(entries.items()))
        if now < entry.changed_at + ledger.remember_s:
            return
        if entry.state in _FINAL_STATES:
            del entries[request_id]
        else:
            # An id must not be dropped while its request may still run.
            entry.changed_at = now
            entries.move_to_end(request_id)


def encode_ledger(ledger: LedgerState, now: float) -> bytes:
    """Return the encoded ledger for a snapshot.

    Ids whose intent was not appended to the journal are omitted, because
    their requests were not sent.
    """
    expire(ledger, now)
    return cbor2.dumps(
        [
            [
                request_id,
                _CODES[entry.state],
                entry.status,
                round(now - entry.changed_at, 3),
            ]
            for request_id, entry in ledger.entries.items()
            if entry.journalled
        ]
    )


def recover_ledger(
    snapshot: bytes | None,
    events: collections.abc.Iterable[bytes],
    now: float,
    remember_s: float = REMEMBER_S,
) -> LedgerState:
    """Return the ledger that a successor recovers.

    Parameters
    ----------
    snapshot : bytes or None
        From `encode_ledger`.
    events : iterable of bytes
        Journal events after the snapshot; those that are not ledger events
        are skipped. Their age is unknown, so the time for which their ids are
        kept starts at `now`.
    now : float
        Monotonic time in seconds.
    remember_s : float
        Seconds for which an id is kept after its last change.

    Raises
    ------
    errors.ProtocolError
        If the snapshot or an event is malformed.
    """
    ledger = LedgerState(remember_s=remember_s)
    if snapshot is not None:
        try:
            for request_id, code, status, age_s in cbor2.loads(snapshot):
                ledger.entries[request_id] = LedgerEntry(
                    state=_STATES[code],
                    changed_at=now - age_s,
                    journalled=True,
                    status=status,
                )
        except (
            cbor2.CBORDecodeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise _malformed() from error
    for event in events:
        _apply_event(ledger, event, now)
    for request_id, entry in list(ledger.entries.items()):
        if entry.state not in _FINAL_STATES:
            _set_state(
                ledger, request_id, entry, RequestState.OUTCOME_UNKNOWN, now
            )
    return ledger


def _apply_event(ledger: LedgerState, event: bytes, now: float) -> None:
    try:
        items = cbor2.loads(event)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise _malformed() from error
    if not isinstance(items, list) or not items:
        return
    if items[0] == INTENT_EVENT:
        for request_id in items[1:]:
            ledger.entries[request_id] = LedgerEntry(
                state=RequestState.INTENT_RECORDED,
                changed_at=now,
                journalled=True,
            )
            ledger.entries.move_to_end(request_id)
    elif items[0] == OUTCOME_EVENT:
        for request_id, status in zip(items[1::2], items[2::2], strict=True):
            if status == NOT_RUN_STATUS:
                ledger.entries.pop(request_id, None)
                continue
            ledger.entries[request_id] = LedgerEntry(
                state=RequestState.ANSWERED,
                changed_at=now,
                journalled=True,
                status=status,
            )
            ledger.entries.move_to_end(request_id)


def _require_entry(ledger: LedgerState, request_id: str) -> LedgerEntry:
    entry = ledger.entries.get(request_id)
    if entry is None:
        raise errors.ProtocolError(
            message=f"Request {request_id} is not in the ledger.",
            remedy="Call begin_request first.",
        )
    return entry


def _set_state(
    ledger: LedgerState,
    request_id: str,
    entry: LedgerEntry,
    state: RequestState,
    now: float,
) -> None:
    entry.state = state
    entry.changed_at = now
    ledger.entries.move_to_end(request_id)


def _malformed() -> errors.ProtocolError:
    return errors.ProtocolError(
        message="The ledger cannot be decoded.",
        remedy="Check which versions of the program use this store.",
    )
