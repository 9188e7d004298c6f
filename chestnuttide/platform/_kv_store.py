"""Client of the platform's metadata store: calls and their encoding."""

import base64
import collections.abc
import contextlib
import json
import time
import urllib.parse

import attrs

from chestnuttide import errors
from chestnuttide.platform import _documents
from chestnuttide.platform import _http

# The store accepts at most 32 entries in one transaction.
MAX_TRANSACTION_ENTRIES = 32

# A page of a listing has up to 1 MB, and a watch returns all changes at once.
# Such an answer may take this long while its bytes keep arriving, as over a
# link that others fill, too.
LARGE_ANSWER_TIMEOUT_S = 20.0

# Responses that blame the transaction itself, as for a value above the store's
# limit: nothing was changed, and the same transaction never succeeds. With any
# other unexpected status, it may have taken effect.
_REJECTED_STATUSES = frozenset({400, 413, 422})


@attrs.frozen(kw_only=True, slots=True)
class Item:
    """A key with its value, or the removal of the key.

    Attributes
    ----------
    key : str
        Key, at most 200 bytes.
    value : bytes
        Value; empty for a removal.
    revision : int
        Store revision of the last change to the key.
    removed : bool
        Whether the key was removed by that change.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    removed: bool = False


@attrs.frozen(kw_only=True, slots=True)
class Page:
    """One page of a range read.

    Attributes
    ----------
    items : tuple of Item
        Items sorted by key.
    more : bool
        Whether there are further items after the last one.
    store_revision : int
        Store revision at which the page was read.
    """

    items: tuple[Item, ...]
    more: bool
    store_revision: int


@attrs.frozen(kw_only=True, slots=True)
class Changes:
    """Items returned by a watch or by `read_all`.

    Attributes
    ----------
    items : tuple of Item
        Changes sorted by revision; from `read_all`, items sorted by key.
    store_revision : int
        Store revision from which to continue watching.
    """

    items: tuple[Item, ...]
    store_revision: int


@attrs.frozen(kw_only=True, slots=True)
class Transaction:
    """Changes that the store applies atomically.

    Attributes
    ----------
    expect : dict of str to int
        Expected revision of each key; 0 if the key must not exist.
    put : dict of str to bytes
        Values to write.
    put_leased : dict of str to bytes
        Values to write that are removed when `lease` expires.
    remove : tuple of str
        Keys to remove.
    lease : int
        Lease to which the keys in `put_leased` are attached.
    """

    expect: dict[str, int] = attrs.field(factory=dict)
    put: dict[str, bytes] = attrs.field(factory=dict)
    put_leased: dict[str, bytes] = attrs.field(factory=dict)
    remove: tuple[str, ...] = ()
    lease: int = 0


class StoreRefusedError(errors.StoreUnavailableError):
    """The call was not sent or got 429 or 503; the store did nothing."""

    code = "store_refused"


class TransactionRejectedError(errors.SchedulerError):
    """The store never accepts this transaction; nothing was changed."""

    code = "transaction_rejected"


class ConditionError(errors.RevisionConflictError):
    """An expected revision did not match; nothing was changed.

    Parameters
    ----------
    items : tuple of Item
        Current items of those expected keys that exist.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(
            message="A key does not have the expected revision.",
            remedy="Read the key again and rebuild the transaction.",
        )
        self.items = items


class HistoryLostError(errors.SchedulerError):
    """The store has discarded the history after the watched revision."""

    code = "history_lost"


class UnreadableChangesError(errors.StoreUnavailableError):
    """The store has answered a watch with something that cannot be read."""


@attrs.define(kw_only=True, slots=True, eq=False)
class KvStore:
    """Connection to the metadata store.

    Attributes
    ----------
    http : HttpClient
        Client that sends the calls.
    address : str
        ``ip:port`` of the store.
    timeout_s : float
        Timeout of a call in seconds; a watch adds its wait time. It limits
        the time without a byte if the answer may be large.
    count : function
        Called with the kind and the outcome of each call, for metrics.
    failing_since : float
        Monotonic time of the first failure since the last response; 0 while
        calls succeed.
    last_response_at : float
        Monotonic time of the last response other than 429 or 503.
    unresponsive : bool
        Whether the last failure was a call without a response.
    """

    http: _http.HttpClient
    address: str
    timeout_s: float
    count: collections.abc.Callable[[str, str], None]
    failing_since: float = 0.0
    last_response_at: float = 0.0
    unresponsive: bool = False


async def read_key(store: KvStore, key: str) -> Item | None:
    """Return the item of a key or None, as a linearizable read."""
    reply = await _call(
        store, "get", "/v1/kv-key?" + urllib.parse.urlencode({"key": key})
    )
    if reply.status == 404:
        return None
    with _decoding():
        return _decode_item(_require_success(reply))


async def read_range(store: KvStore, prefix: str, *, after: str = "") -> Page:
    """Return one page of the items whose keys start with a prefix.

    The timeout of a call is the longest time without a further byte of the
    page, as its size does not depend on the link's speed.
    """
    query = {"prefix": prefix}
    if after:
        query["after"] = after
    reply = await _call(
        store,
        "range",
        "/v1/kv-range?" + urllib.parse.urlencode(query),
        may_be_large=True,
    )
    with _decoding():
        document = _require_success(reply)
        page = Page(
            items=tuple(
                map(_decode_item, _documents.read_list(document, "items"))
            ),
            more=bool(document.get("hasMore")),
            store_revision=_read_counter(document, "storeRevision"),
        )
        if page.more and not page.items:
            raise ValueError("a page without items has a next page")
        return page


async def read_all(store: KvStore, prefix: str) -> Changes:
    """Return all items under a prefix and the revision to watch from.

    The pages do not form a snapshot, so the returned revision is that of the
    first page. A watch from there returns all later changes, including some
    that the listing already contains.
    """
    page = await read_range(store, prefix)
    first_revision = page.store_revision
    items = list(page.items)
    while page.more:
        page = await read_range(store, prefix, after=page.items[-1].key)
        items.extend(page.items)
    return Changes(items=tuple(items), store_revision=first_revision)


async def watch_keys(
    store: KvStore, prefix: str, *, after_revision: int, wait_s: float
) -> Changes:
    """Wait for changes after a revision and return them.

    The wait and the timeout of a call are the longest time without a byte of
    the answer, as its size does not depend on the link's speed.

    Raises
    ------
    HistoryLostError
        If the store has discarded that history; list the prefix again.
    UnreadableChangesError
        If the answer cannot be read; the next one from there may be the same.
    """
    query = urllib.parse.urlencode(
        {
            "prefix": prefix,
            "after": after_revision,
            "waitMs": int(wait_s * 1000),
        }
    )
    reply = await _call(
        store,
        "watch",
        f"/v1/kv-watch?{query}",
        wait_s=wait_s,
        may_be_large=True,
    )
    if reply.status == 410:
        raise HistoryLostError(
            message=f"The history after {after_revision} has been discarded.",
            remedy="List the prefix again.",
        )
    with _decoding(UnreadableChangesError):
        document = _require_success(reply)
        return Changes(
            items=tuple(
                map(_decode_item, _documents.read_list(document, "events"))
            ),
            store_revision=_read_counter(document, "storeRevision"),
        )


async def commit(
    store: KvStore,
    transaction: Transaction,
    *,
    may_send: collections.abc.Callable[[], bool] | None = None,
) -> int:
    """Execute a transaction and return the new store revision.

    Raises
    ------
    ConditionError
        If an expected revision does not match.
    errors.LeaseExpiredError
        If the lease has expired.
    StoreRefusedError
        If the store rejected the call or it was not sent; nothing changed.
    TransactionRejectedError
        If the store never accepts the transaction; nothing changed.
    errors.StoreUnavailableError
        If no valid response arrived; the transaction may still take effect.
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
        with _decoding():
            document = _documents.parse_object(reply.body)
            items = tuple(
                map(_decode_item, _documents.read_list(document, "items"))
            )
        raise ConditionError(items)
    if reply.status == 404:
        raise _lease_expired(transaction.lease)
    if reply.status in _REJECTED_STATUSES:
        raise TransactionRejectedError(
            message="The store rejected a transaction with status "
            f"{reply.status}.",
            remedy="Shorten its values or correct its keys.",
        )
    with _decoding():
        return _read_counter(_require_success(reply), "rev")


async def grant_lease(store: KvStore, *, ttl_s: float) -> tuple[int, float]:
    """Create a lease; return its id and its time to live in seconds."""
    reply = await _call(
        store, "lease", "/v1/kv-lease", body={"ttlMs": int(ttl_s * 1000)}
    )
    with _decoding():
        document = _require_success(reply)
        return (
            _read_counter(document, "lease"),
            _documents.read_number(document, "ttlMs") / 1000,
        )


async def renew_lease(store: KvStore, lease: int) -> None:
    """Renew a lease for its full time to live.

    Raises
    ------
    errors.LeaseExpiredError
        If the lease has expired.
    """
    reply = await _call(store, "renew", f"/v1/kv-keep/{lease}", body={})
    if reply.status == 404:
        raise _lease_expired(lease)
    with _decoding():
        _require_success(reply)


async def revoke_lease(store: KvStore, lease: int) -> None:
    """Revoke a lease, which removes its keys."""
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
    wait_s: float = 0.0,
    may_be_large: bool = False,
) -> _http.Reply:
    limit_s = store.timeout_s + wait_s
    try:
        reply = await _http.fetch(
            store.http,
            url=f"http://{store.address}{path}",
            timeout_s=wait_s + LARGE_ANSWER_TIMEOUT_S
            if may_be_large
            else limit_s,
            stall_s=limit_s if may_be_large else None,
            method=method,
            body=None if body is None else json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            may_send=may_send,
        )
    except errors.PlatformError as error:
        store.count(kind, "unanswered" if error.sent else "unsent")
        _record_failure(store, unanswered=True)
        error_class = (
            errors.StoreUnavailableError if error.sent else StoreRefusedError
        )
        raise error_class(
            message=f"The store did not respond: {error.message}",
            remedy="Read the written keys back before retrying.",
        ) from error
    store.count(kind, str(reply.status))
    if reply.status in (429, 503):
        _record_failure(store, unanswered=False)
        raise StoreRefusedError(
            message=f"The store rejected a call with status {reply.status}.",
            remedy="Retry later.",
        )
    store.failing_since = 0.0
    store.last_response_at = time.monotonic()
    store.unresponsive = False
    return reply


def _record_failure(store: KvStore, *, unanswered: bool) -> None:
    store.failing_since = store.failing_since or time.monotonic()
    store.unresponsive = unanswered


def _decoding(
    error_class: type[
        errors.StoreUnavailableError
    ] = errors.StoreUnavailableError,
) -> contextlib.AbstractContextManager[None]:
    return errors.decoding(
        "The store's response",
        "Read the written keys back before retrying.",
        error_class,
    )


def _require_success(reply: _http.Reply) -> _documents.Document:
    """Return the body of a successful reply, for use in `_decoding`."""
    if reply.status != 200:
        raise ValueError(f"its status is {reply.status}")
    return _documents.parse_object(reply.body)


def _decode_item(document: _documents.Document) -> Item:
    return Item(
        key=_documents.read_text(document, "key"),
        value=base64.b64decode(document.get("value") or ""),
        revision=_read_counter(document, "rev", default=0),
        removed=bool(document.get("deleted", False)),
    )


def _read_counter(
    document: _documents.Document, name: str, **default: int
) -> int:
    return _documents.read_integer(
        document, name, low=0, high=_documents.MAX_COUNTER, **default
    )


def _lease_expired(lease: int) -> errors.LeaseExpiredError:
    return errors.LeaseExpiredError(
        message=f"Lease {lease} no longer exists.",
        remedy="Create a new lease and write its keys again.",
    )
