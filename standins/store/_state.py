"""The store's state: keys, revisions, leases and changes.

A pure part: the time is an argument, and the answer to a call follows from
the state, the call and the time.
"""

import collections
import collections.abc
import typing

import attrs
import sortedcontainers

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _store_wire

# Largest value of the platform's store, in bytes.
MAX_VALUE_BYTES: typing.Final[int] = 1_000_000

# Deleted keys that a watch can still report; older ones are forgotten.
MAX_TOMBSTONES: typing.Final[int] = 100_000

Fields: typing.TypeAlias = dict[str, typing.Any]


@attrs.define(kw_only=True)
class Lease:
    """A lease and the keys attached to it.

    Attributes
    ----------
    ttl_s : float
        Seconds from a renewal to the expiry.
    expires : float
        Time of the expiry.
    keys : set of str
        Keys that are deleted with the lease.
    """

    ttl_s: float
    expires: float
    keys: set[str] = attrs.Factory(set)


@attrs.define(kw_only=True)
class State:
    """The whole store.

    Attributes
    ----------
    revision : int
        Number of the last change.
    entries : SortedDict of str to Entry
        The live keys.
    leases : dict of int to Lease
        The live leases.
    key_leases : dict of str to int
        Lease of each attached key.
    next_lease_id : int
        Id of the next lease.
    changes : SortedDict of int to Entry
        Last change of each key by revision; a deleted key has no value.
    changed_at : dict of str to int
        Revision of each key in `changes`.
    tombstones : deque of int
        Revisions of deletions, oldest first.
    listeners : list of functions
        Called after each change.
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
    changed_at: dict[str, int] = attrs.Factory(dict)
    tombstones: collections.deque[int] = attrs.Factory(collections.deque)
    listeners: list[collections.abc.Callable[[], None]] = attrs.Factory(list)


def expire(state: State, now: float) -> None:
    """Delete the keys of the leases that have expired."""
    due = sorted(
        (lease.expires, lease_id)
        for lease_id, lease in state.leases.items()
        if lease.expires <= now
    )
    for _expires, lease_id in due:
        _end_lease(state, lease_id)


def next_expiry(state: State) -> float | None:
    """Return the time of the next expiry of a lease, if there is any."""
    return min(
        (lease.expires for lease in state.leases.values()), default=None
    )


def call(state: State, kind: str, fields: Fields, now: float) -> Fields:
    """Carry out a call and return its answer.

    Parameters
    ----------
    state : State
        The store, which is changed.
    kind : str
        Key of `_store_wire.PATHS`.
    fields : dict
        The fields of the request.
    now : float
        Time in seconds.

    Returns
    -------
    dict
        The fields of the answer. A watch answers with the changes so far.

    Raises
    ------
    RevisionConflictError, LeaseExpiredError
        See the port.
    ProtocolError
        A field is missing or has a value that the store does not take.
    """
    expire(state, now)
    try:
        return _CALLS[kind](state, fields, now)
    except KeyError as error:
        raise _invalid(f"{kind} lacks {error}") from error


def changes_after(state: State, prefix: str, after: int) -> Fields:
    """Return the last change of each key below a prefix after a revision."""
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
        raise _invalid(f"the value of {key} is not 0 to 1 MB of bytes")
    if lease_id and lease_id not in state.leases:
        raise _store_wire.lease_expired()
    _check_revision(state, key, fields["expected_revision"])
    _detach(state, key)
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
    _record(state, entry)
    return {"revision": entry.revision}


def _delete(state: State, fields: Fields, _now: float) -> Fields:
    key = fields["key"]
    _check_revision(state, key, fields["expected_revision"])
    if key in state.entries:
        _remove(state, key)
    return {}


def _grant(state: State, fields: Fields, now: float) -> Fields:
    ttl_s = fields["ttl_s"]
    if not ttl_s > 0:
        raise _invalid("ttl_s is not above 0")
    lease_id = state.next_lease_id
    state.next_lease_id += 1
    state.leases[lease_id] = Lease(ttl_s=ttl_s, expires=now + ttl_s)
    return {"lease_id": lease_id}


def _renew(state: State, fields: Fields, now: float) -> Fields:
    lease = state.leases.get(fields["lease_id"])
    if lease is None:
        raise _store_wire.lease_expired()
    lease.expires = now + lease.ttl_s
    return {"lease_id": fields["lease_id"]}


def _revoke(state: State, fields: Fields, _now: float) -> Fields:
    if fields["lease_id"] in state.leases:
        _end_lease(state, fields["lease_id"])
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


def _end_lease(state: State, lease_id: int) -> None:
    for key in sorted(state.leases.pop(lease_id).keys):
        _remove(state, key)


def _remove(state: State, key: str) -> None:
    _detach(state, key)
    removed = state.entries.pop(key)
    state.tombstones.append(state.revision + 1)
    _record(
        state,
        platform.Entry(
            key=key,
            value=None,
            revision=state.revision + 1,
            write_id=removed.write_id,
        ),
    )
    if len(state.tombstones) > MAX_TOMBSTONES:
        oldest = state.tombstones.popleft()
        forgotten = state.changes.pop(oldest, None)
        if forgotten is not None:
            del state.changed_at[forgotten.key]


def _detach(state: State, key: str) -> None:
    lease_id = state.key_leases.pop(key, 0)
    if lease_id in state.leases:
        state.leases[lease_id].keys.discard(key)


def _record(state: State, entry: platform.Entry) -> None:
    state.revision = entry.revision
    state.changes.pop(state.changed_at.get(entry.key), None)
    state.changes[entry.revision] = entry
    state.changed_at[entry.key] = entry.revision
    for listener in list(state.listeners):
        listener()


def _invalid(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        message=f"The store does not take this call: {reason}.",
        remedy="See the table of the store's calls in docs/design.md.",
    )
