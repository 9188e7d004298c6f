"""Stand-in for the platform's key-value store."""

import asyncio
import base64
import time

import attrs
from tornado import httputil

from standins.cloud import _http

MAX_TRANSACTION_ENTRIES = 32


@attrs.define(kw_only=True)
class Key:
    """A key of the store.

    Attributes
    ----------
    value : bytes
        Value of the key.
    revision, created : int
        Revisions of its last change and of its creation.
    lease : int
        Lease that it is attached to; 0 for none.
    """

    value: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.define(kw_only=True)
class Store:
    """State of the store.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    keys : dict of str to Key
        The present keys.
    history : list of (int, str)
        Revision and key of each change.
    compacted_revision : int
        Revision up to which the history is compacted.
    leases : dict of int to (float, float)
        Expiry and time to live of each lease, in seconds.
    refusal_status : int
        Status returned for every request; 0 for normal service, -1 to leave
        requests unanswered.
    dropped_responses : int
        Number of next transactions to apply without a response.
    commit_delay_s : float
        Delay before transactions without a response take effect.
    changed : asyncio.Event
        Set and replaced at each change.
    """

    revision: int = 1
    keys: dict[str, Key] = attrs.field(factory=dict)
    history: list[tuple[int, str]] = attrs.field(factory=list)
    compacted_revision: int = 0
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    refusal_status: int = 0
    dropped_responses: int = 0
    commit_delay_s: float = 0.0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


def put(store: Store, key: str, value: bytes, *, lease: int = 0) -> None:
    """Write a key, as the operator and the workers do."""
    store.revision += 1
    _write(store, key, value, lease)
    _notify_watches(store)


def remove(store: Store, key: str) -> None:
    """Remove a key, as it happens to the entry of a dead worker."""
    store.revision += 1
    _remove(store, key)
    _notify_watches(store)


def expire_leases(store: Store) -> None:
    """Remove expired leases and the keys attached to them."""
    now = time.monotonic()
    for lease, (expires_s, _) in list(store.leases.items()):
        if expires_s < now:
            _remove_lease(store, lease)


def _remove_lease(store: Store, lease: int) -> None:
    del store.leases[lease]
    keys = [key for key, item in store.keys.items() if item.lease == lease]
    store.revision += 1
    for key in keys:
        _remove(store, key)
    _notify_watches(store)


def _write(store: Store, key: str, value: bytes, lease: int) -> None:
    previous = store.keys.get(key)
    store.keys[key] = Key(
        value=value,
        revision=store.revision,
        created=previous.created if previous else store.revision,
        lease=lease,
    )
    store.history.append((store.revision, key))


def _remove(store: Store, key: str) -> None:
    if store.keys.pop(key, None) is not None:
        store.history.append((store.revision, key))


def _notify_watches(store: Store) -> None:
    store.changed.set()
    store.changed = asyncio.Event()


def _encode_key(
    store: Store, key: str, revision: int = 0
) -> dict[str, object]:
    item = store.keys.get(key)
    if item is None:
        return {"key": key, "rev": revision, "deleted": True}
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


async def handle_store_request(
    store: Store,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> _http.Answer:
    """Answer a request to the store."""
    if store.refusal_status < 0:
        return None
    if store.refusal_status:
        return store.refusal_status, {}
    expire_leases(store)
    query = {
        name: values[0].decode() for name, values in request.arguments.items()
    }
    _, _, name = request.path.rpartition("/v1/")
    name, _, argument = name.partition("/")
    if name == "kv-key":
        if query["key"] not in store.keys:
            return 404, {}
        encoded = _encode_key(store, query["key"])
        return 200, {**encoded, "storeRevision": store.revision}
    if name == "kv-range":
        return 200, {
            "items": [
                _encode_key(store, key)
                for key in sorted(store.keys)
                if key.startswith(query["prefix"])
            ],
            "hasMore": False,
            "storeRevision": store.revision,
        }
    if name == "kv-watch":
        return await _watch(store, query)
    if name == "kv-txn":
        if store.dropped_responses:
            store.dropped_responses -= 1
            await asyncio.sleep(store.commit_delay_s)
            _transact(store, body)
            return None
        return _transact(store, body)
    return _answer_lease(store, name, argument, body)


def _answer_lease(
    store: Store, name: str, argument: str, body: dict[str, object]
) -> _http.Answer:
    now = time.monotonic()
    if name == "kv-lease":
        lease = len(store.history) + len(store.leases) + 1000
        while lease in store.leases:
            lease += 1
        ttl_s = body["ttlMs"] / 1000
        store.leases[lease] = (now + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
    lease = int(argument)
    if lease not in store.leases:
        return 404, {}
    if name == "kv-keep":
        ttl_s = store.leases[lease][1]
        store.leases[lease] = (now + ttl_s, ttl_s)
    else:
        _remove_lease(store, lease)
    return 200, {}


async def _watch(store: Store, query: dict[str, str]) -> _http.Answer:
    after = int(query["after"])
    deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
    while True:
        if after < store.compacted_revision:
            return 410, {}
        newest = {
            key: revision
            for revision, key in store.history
            if revision > after and key.startswith(query["prefix"])
        }
        if newest or time.monotonic() >= deadline_s:
            events = [
                _encode_key(store, key, revision)
                for key, revision in sorted(
                    newest.items(), key=lambda pair: pair[1]
                )
            ]
            return 200, {"events": events, "storeRevision": store.revision}
        try:
            async with asyncio.timeout(0.1):
                await store.changed.wait()
        except TimeoutError:
            expire_leases(store)


def _transact(store: Store, body: dict[str, object]) -> _http.Answer:
    if sum(map(len, body.values())) > MAX_TRANSACTION_ENTRIES:
        return 400, {}
    for row in body["expect"]:
        item = store.keys.get(row["key"])
        if (item.revision if item else 0) != row["rev"]:
            items = [
                _encode_key(store, each["key"])
                for each in body["expect"]
                if each["key"] in store.keys
            ]
            return 412, {"items": items}
    leases = {row.get("lease", 0) for row in body["puts"]} - {0}
    if leases - store.leases.keys():
        return 404, {}
    store.revision += 1
    for row in body["puts"]:
        value = base64.b64decode(row["value"])
        _write(store, row["key"], value, row.get("lease", 0))
    for key in body["remove"]:
        _remove(store, key)
    _notify_watches(store)
    return 200, {"rev": store.revision}
