"""State of the store: keys, revisions, leases and changes.

The functions do no I/O. The response to a call depends only on the state, the
call and the time, which is an argument.
"""

import collections
import collections.abc
import typing

import attrs
import sortedcontainers

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _store_wire

# Largest value that the platform's store accepts.
MAX_VALUE_BYTES: typing.Final[int] = 1_000_000

# Number of deletions kept for watches; older ones are dropped.
MAX_TOMBSTONES: typing.Final[int] = 100_000

Fields: typing.TypeAlias = dict[str, typing.Any]


@attrs.define(kw_only=True)
class Lease:
    """A lease and the keys attached to it.

    Attributes
    ----------
    ttl_s : float
        Time from a renewal to the expiry, in seconds.
    expires_at_s : float
        Time at which it expires.
    keys : set of str
        Keys that are deleted when the lease ends.
    """

    ttl_s: float
    expires_at_s: float
    keys: set[str] = attrs.Factory(set)


@attrs.define(kw_only=True)
class State:
    """State of the whole store.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    entries : SortedDict of str to Entry
        Entries of the present keys.
    leases : dict of int to Lease
        Leases in force, by id.
    key_leases : dict of str to int
        Lease id of each key that is attached to a lease.
    next_lease_id : int
        Id of the next lease.
    changes : SortedDict of int to Entry
        Last change of each key, by revision; a deletion has no value.
    last_revisions : dict of str to int
        Revision of the last change of each key in `changes`.
    tombstones : deque of int
        Revisions of deletions, oldest first.
    listeners : list of functions
        Functions called after each change.
    """

    revision: int = 0
    entries: sortedcontainers.SortedDict = attrs.Factory(
        sortedcontainers.SortedDict
    )
    leases: dict[int, Lease] = attrs.Factory(dict)
    key_leases: dict[str, int] = attrs.Factory(dict)
    next_lease_id: int = 1
    changes: sortedcontainers.SortedDict = attrs.Factory(
        sortedcontainers.SortedDict
    )
    last_revisions: dict[str, int] = attrs.Factory(dict)
    tombstones: collections.deque[int] = attrs.Factory(collections.deque)
    listeners: list[collections.abc.Callable[[], None]] = attrs.Factory(list)


def expire(state: State, now: float) -> None:
    """Remove expired leases and delete their keys."""
    due = sorted(
        (lease.expires_at_s, lease_id)
        for lease_id, lease in state.leases.items()
        if lease.expires_at_s <= now
    )
    for _expires, lease_id in due:
        _remove_lease(state, lease_id)


def next_expiry(state: State) -> float | None:
    """Return the time of the next lease expiry, or None."""
    return min(
        (lease.expires_at_s for lease in state.leases.values()), default=None
    )


def call(state: State, kind: str, fields: Fields, now: float) -> Fields:
    """Execute a call and return the response.

    Parameters
    ----------
    state : State
        State of the store, which is modified.
    kind : str
        Key of `_store_wire.PATHS`.
    fields : dict
        Fields of the request.
    now : float
        Time in seconds.

    Returns
    -------
    dict
        Fields of the response. A watch returns the changes so far and does
        not wait.

    Raises
    ------
    RevisionConflictError, LeaseExpiredError
        See `platform.Store`.
    ProtocolError
        A field is missing or has a value that the store does not accept.
    """
    expire(state, now)
    try:
        return _CALLS[kind](state, fields, now)
    except KeyError as error:
        raise _invalid(f"{kind} lacks field {error}") from error


def changes_after(state: State, prefix: str, after: int) -> Fields:
    """Return the last change of each key with a prefix after a revision."""
    return {
        "revision": state.revision,
        "entries": [
            _store_wire.encode_entry(state.changes[revision])
            for revision in state.changes.irange(
                minimum=after, inclusive=(False, True)
            )
            if state.changes[revision].key.startswith(prefix)
        ],
    }


def _get(state: State, fields: Fields, _now: float) -> Fields:
    entry = state.entries.get(fields["key"])
    return {"entry": entry and _store_wire.encode_entry(entry)}


def _range(state: State, fields: Fields, _now: float) -> Fields:
    prefix = fields["prefix"]
    entries = []
    for key in state.entries.irange(minimum=prefix):
        if not key.startswith(prefix):
            break
        entries.append(_store_wire.encode_entry(state.entries[key]))
    return {"entries": entries}


def _write(state: State, fields: Fields, _now: float) -> Fields:
    key, lease_id = fields["key"], fields["lease_id"]
    value = fields["value"]
    if not isinstance(value, bytes) or len(value) > MAX_VALUE_BYTES:
        raise _invalid(
            f"the value of {key} is not a byte string of at most 1 MB"
        )
    if lease_id and lease_id not in state.leases:
        raise _store_wire.lease_expired()
    _check_revision(state, key, fields["expected_revision"])
    _detach_from_lease(state, key)
    if lease_id:
        state.leases[lease_id].keys.add(key)
        state.key_leases[key] = lease_id
    entry = platform.Entry(
        key=key,
        value=value,
        revision=state.revision + 1,
        write_id=fields["write_id"],
    )
    state.entries[key] = entry
    _record_change(state, entry)
    return {"revision": entry.revision}


def _delete(state: State, fields: Fields, _now: float) -> Fields:
    key = fields["key"]
    _check_revision(state, key, fields["expected_revision"])
    if key in state.entries:
        _remove_key(state, key)
    return {}


def _grant(state: State, fields: Fields, now: float) -> Fields:
    ttl_s = fields["ttl_s"]
    if not ttl_s > 0:
        raise _invalid("ttl_s is not greater than 0")
    lease_id = state.next_lease_id
    state.next_lease_id += 1
    state.leases[lease_id] = Lease(ttl_s=ttl_s, expires_at_s=now + ttl_s)
    return {"lease_id": lease_id}


def _renew(state: State, fields: Fields, now: float) -> Fields:
    lease = state.leases.get(fields["lease_id"])
    if lease is None:
        raise _store_wire.lease_expired()
    lease.expires_at_s = now + lease.ttl_s
    return {"lease_id": fields["lease_id"]}


def _revoke(state: State, fields: Fields, _now: float) -> Fields:
    if fields["lease_id"] in state.leases:
        _remove_lease(state, fields["lease_id"])
    return {"lease_id": fields["lease_id"]}


def _watch(state: State, fields: Fields, _now: float) -> Fields:
    return changes_after(state, fields["prefix"], fields["after_revision"])


_CALLS: typing.Final[
    dict[str, collections.abc.Callable[[State, Fields, float], Fields]]
] = {
    "get": _get,
    "range": _range,
    "write": _write,
    "delete": _delete,
    "lease_grant": _grant,
    "lease_renew": _renew,
    "lease_revoke": _revoke,
    "watch": _watch,
}


def _check_revision(state: State, key: str, expected: int) -> None:
    entry = state.entries.get(key)
    if expected != (entry.revision if entry else 0):
        raise _store_wire.revision_conflict()


def _remove_lease(state: State, lease_id: int) -> None:
    for key in sorted(state.leases.pop(lease_id).keys):
        _remove_key(state, key)


def _remove_key(state: State, key: str) -> None:
    _detach_from_lease(state, key)
    removed = state.entries.pop(key)
    state.tombstones.append(state.revision + 1)
    _record_change(
        state,
        platform.Entry(
            key=key,
            value=None,
            revision=state.revision + 1,
            write_id=removed.write_id,
        ),
    )
    if len(state.tombstones) > MAX_TOMBSTONES:
        oldest_revision = state.tombstones.popleft()
        evicted = state.changes.pop(oldest_revision, None)
        if evicted is not None:
            del state.last_revisions[evicted.key]


def _detach_from_lease(state: State, key: str) -> None:
    lease_id = state.key_leases.pop(key, 0)
    if lease_id in state.leases:
        state.leases[lease_id].keys.discard(key)


def _record_change(state: State, entry: platform.Entry) -> None:
    state.revision = entry.revision
    state.changes.pop(state.last_revisions.get(entry.key), None)
    state.changes[entry.revision] = entry
    state.last_revisions[entry.key] = entry.revision
    for listener in list(state.listeners):
        listener()


def _invalid(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        message=f"The store does not accept this call: {reason}.",
        remedy="See the table of the store's calls in docs/design.md.",
    )
