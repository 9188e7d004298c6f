"""The platform's metadata store: calls, formats and names of its fields."""

import base64
import collections.abc
import json
import time
import urllib.parse

import attrs

from chestnuttide import errors
from chestnuttide.platform import _http

# The store's page: at most 32 entries in one transaction.
MAX_TRANSACTION_ENTRIES = 32


@attrs.frozen(kw_only=True, slots=True)
class Item:
    """One key of the store, or its removal.

    Attributes
    ----------
    key : str
        Name, at most 200 bytes.
    value : bytes
        Content; empty for a removal.
    revision : int
        Revision of the store at the last change of this key.
    removed : bool
        Whether the key was removed at that revision.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    removed: bool = False


@attrs.frozen(kw_only=True, slots=True)
class Page:
    """A part of a listing.

    Attributes
    ----------
    items : tuple of Item
        Items in order of their keys.
    more : bool
        Whether further items follow the last one.
    store_revision : int
        Revision of the store when the page was read.
    """

    items: tuple[Item, ...]
    more: bool
    store_revision: int


@attrs.frozen(kw_only=True, slots=True)
class Changes:
    """What a watch has returned.

    Attributes
    ----------
    items : tuple of Item
        Changes in order of their revisions.
    store_revision : int
        Revision to continue from.
    """

    items: tuple[Item, ...]
    store_revision: int


@attrs.frozen(kw_only=True, slots=True)
class Transaction:
    """Changes that the store makes all or not at all.

    Attributes
    ----------
    expect : dict of str to int
        Revision that each key must have; 0 if it must not exist.
    put : dict of str to bytes
        New values.
    put_leased : dict of str to bytes
        New values that end with `lease`.
    remove : tuple of str
        Keys to remove.
    lease : int
        Lease of the keys in `put_leased`.
    """

    expect: dict[str, int] = attrs.field(factory=dict)
    put: dict[str, bytes] = attrs.field(factory=dict)
    put_leased: dict[str, bytes] = attrs.field(factory=dict)
    remove: tuple[str, ...] = ()
    lease: int = 0


class StoreRefusedError(errors.StoreUnavailableError):
    """The store refused a call with 429 or 503 and has done nothing."""

    code = "store_refused"


class ConditionError(errors.RevisionConflictError):
    """A transaction's expectation does not hold; nothing was changed.

    Parameters
    ----------
    items : tuple of Item
        Current state of the expected keys that exist.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(
            message="A key has another revision than expected.",
            remedy="Read the key again and decide anew.",
        )
        self.items = items


class HistoryLostError(errors.SchedulerError):
    """The store no longer has the history after the watch's revision."""

    code = "history_lost"


@attrs.define(kw_only=True, slots=True, eq=False)
class KvStore:
    """Connection to the store.

    Attributes
    ----------
    http : HttpClient
        Client of the calls.
    address : str
        ``ip:port`` of the store.
    timeout_s : float
        Limit of a call in seconds; a watch has its wait in addition.
    count : function
        Called with the kind and the outcome of each call.
    failing_since : float
        Monotonic time of the first failure since the last good answer; 0
        while the store answers.
    answered_at : float
        Monotonic time of the last good answer.
    silent : bool
        Whether the last failure was a call without an answer.
    """

    http: _http.HttpClient
    address: str
    timeout_s: float
    count: collections.abc.Callable[[str, str], None]
    failing_since: float = 0.0
    answered_at: float = 0.0
    silent: bool = False


async def read(store: KvStore, key: str) -> Item | None:
    """Return the current item, or None; linearizable."""
    reply = await _call(
        store, "get", "/v1/kv-key?" + urllib.parse.urlencode({"key": key})
    )
    return None if reply.status == 404 else _item(_document(reply))


async def read_range(store: KvStore, prefix: str, *, after: str = "") -> Page:
    """Return one page of the items whose key begins with a prefix."""
    query = {"prefix": prefix}
    if after:
        query["after"] = after
    document = _document(
        await _call(
            store, "range", "/v1/kv-range?" + urllib.parse.urlencode(query)
        )
    )
    return Page(
        items=tuple(_item(each) for each in document["items"]),
        more=bool(document.get("hasMore")),
        store_revision=document["storeRevision"],
    )


async def read_all(store: KvStore, prefix: str) -> Changes:
    """Return all items of a prefix, with a revision to watch from.

    The pages are no snapshot, so the revision is that of the first page:
    later changes are seen by the watch, some of them for the second time.
    """
    page = await read_range(store, prefix)
    first_revision = page.store_revision
    items = list(page.items)
    while page.more and page.items:
        page = await read_range(store, prefix, after=page.items[-1].key)
        items.extend(page.items)
    return Changes(items=tuple(items), store_revision=first_revision)


async def watch(
    store: KvStore, prefix: str, *, after_revision: int, wait_s: float
) -> Changes:
    """Return the changes after a revision, once there are any.

    Raises
    ------
    HistoryLostError
        If the store no longer has that history; list the prefix again.
    """
    query = urllib.parse.urlencode(
        {
            "prefix": prefix,
            "after": after_revision,
            "waitMs": int(wait_s * 1000),
        }
    )
    reply = await _call(
        store, "watch", f"/v1/kv-watch?{query}", extra_s=wait_s
    )
    if reply.status == 410:
        raise HistoryLostError(
            message=f"The history after {after_revision} is gone.",
            remedy="List the prefix again.",
        )
    document = _document(reply)
    return Changes(
        items=tuple(_item(each) for each in document["events"]),
        store_revision=document["storeRevision"],
    )


async def commit(
    store: KvStore,
    transaction: Transaction,
    *,
    may_send: collections.abc.Callable[[], bool] | None = None,
) -> int:
    """Execute a transaction and return its revision.

    Raises
    ------
    ConditionError
        If an expectation does not hold.
    errors.LeaseExpiredError
        If the lease has ended.
    StoreRefusedError
        If the store refused the call; nothing was done.
    errors.StoreUnavailableError
        If no answer came; the transaction may take effect later.
    """
    puts = [
        {"key": key, "value": base64.b64encode(value).decode()}
        for key, value in transaction.put.items()
    ]
    puts += [
        {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": transaction.lease,
        }
        for key, value in transaction.put_leased.items()
    ]
    body = {
        "expect": [
            {"key": key, "rev": revision}
            for key, revision in transaction.expect.items()
        ],
        "puts": puts,
        "remove": list(transaction.remove),
    }
    reply = await _call(
        store, "write", "/v1/kv-txn", body=body, may_send=may_send
    )
    if reply.status == 412:
        raise ConditionError(
            tuple(_item(each) for each in _load(reply).get("items", []))
        )
    if reply.status == 404:
        raise _lease_expired(transaction.lease)
    return int(_document(reply)["rev"])


async def grant_lease(store: KvStore, *, ttl_s: float) -> tuple[int, float]:
    """Return a new lease and its time to live in seconds."""
    document = _document(
        await _call(
            store, "lease", "/v1/kv-lease", body={"ttlMs": int(ttl_s * 1000)}
        )
    )
    return int(document["lease"]), document["ttlMs"] / 1000


async def renew_lease(store: KvStore, lease: int) -> None:
    """Restart the time to live of a lease.

    Raises
    ------
    errors.LeaseExpiredError
        If the lease has ended.
    """
    reply = await _call(store, "renew", f"/v1/kv-keep/{lease}", body={})
    if reply.status == 404:
        raise _lease_expired(lease)
    _document(reply)


async def end_lease(store: KvStore, lease: int) -> None:
    """End a lease and remove its keys."""
    await _call(
        store, "end_lease", f"/v1/kv-lease-end/{lease}", method="DELETE"
    )


async def _call(
    store: KvStore,
    kind: str,
    path: str,
    *,
    method: str = "",
    body: dict[str, object] | None = None,
    may_send: collections.abc.Callable[[], bool] | None = None,
    extra_s: float = 0.0,
) -> _http.Reply:
    try:
        reply = await _http.fetch(
            store.http,
            url=f"http://{store.address}{path}",
            timeout_s=store.timeout_s + extra_s,
            method=method,
            body=None if body is None else json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            may_send=may_send,
        )
    except errors.PlatformError as error:
        store.count(kind, "unanswered" if error.sent else "unsent")
        _note_failure(store, silent=True)
        kind_of_error = (
            errors.StoreUnavailableError if error.sent else StoreRefusedError
        )
        raise kind_of_error(
            message=f"The store did not answer: {error.message}",
            remedy="Read back what was written before repeating it.",
        ) from error
    store.count(kind, str(reply.status))
    if reply.status in (429, 503):
        _note_failure(store, silent=False)
        raise StoreRefusedError(
            message=f"The store refused a call with {reply.status}.",
            remedy="Try again later.",
        )
    store.failing_since = 0.0
    store.answered_at = time.monotonic()
    store.silent = False
    return reply


def _note_failure(store: KvStore, *, silent: bool) -> None:
    store.failing_since = store.failing_since or time.monotonic()
    store.silent = silent


def _load(reply: _http.Reply) -> dict[str, object]:
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise errors.StoreUnavailableError(
            message="The store's answer is no JSON.",
            remedy="Read back what was written before repeating it.",
        ) from error


def _document(reply: _http.Reply) -> dict[str, object]:
    if reply.status != 200:
        raise errors.StoreUnavailableError(
            message=f"The store answered {reply.status}.",
            remedy="Compare the call with the store's page.",
        )
    return _load(reply)


def _item(document: dict[str, object]) -> Item:
    return Item(
        key=document["key"],
        value=base64.b64decode(document.get("value", "")),
        revision=int(document.get("rev", 0)),
        removed=bool(document.get("deleted", False)),
    )


def _lease_expired(lease: int) -> errors.LeaseExpiredError:
    return errors.LeaseExpiredError(
        message=f"Lease {lease} has ended.",
        remedy="Take a new lease and write its keys again.",
    )
