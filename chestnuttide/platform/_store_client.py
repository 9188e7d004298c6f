"""Client of the platform's key-value store."""

import collections.abc
import typing

from chestnuttide import errors
from chestnuttide.platform import _http
from chestnuttide.platform import _ports
from chestnuttide.platform import _store_wire

# An instance keeps a few watches open, and its other calls are short.
MAX_CLIENTS: typing.Final[int] = 128

# libcurl may resend these calls if a reused connection turns out to be closed.
# A resent write would fail its own compare-and-swap.
_RESENDABLE: typing.Final[frozenset[str]] = frozenset(
    {"get", "range", "watch"}
)

CallCounts: typing.TypeAlias = (
    dict[str, int] | collections.abc.Callable[[str], object]
)


def make_store(
    *,
    address: str,
    timeout_s: float,
    call_counts: CallCounts,
    client_id: str = "",
    http_client: _http.HttpClient | None = None,
) -> _ports.Store:
    """Return a client for the store at an address.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_s : float
        Timeout of a call in seconds; a watch adds its wait time.
    call_counts : dict of str to int, or function
        Counts the calls by kind: either a dict of counters or a function
        called with the kind. Kinds are the keys of `_store_wire.PATHS`.
    client_id : str
        Instance id, sent in the ``X-Client`` header.
    http_client : HttpClient, optional
        Client to use instead of a new one.

    Returns
    -------
    Store
        The client. A timeout, a closed connection or a malformed response
        raises `errors.StoreUnavailableError`.
    """
    client = http_client or _http.make_client(max_clients=MAX_CLIENTS)
    count_call = _make_counter(call_counts)
    headers = {"Content-Type": _store_wire.CONTENT_TYPE}
    if client_id:
        headers[_store_wire.CLIENT_HEADER] = client_id

    async def call(
        kind: str, fields: dict[str, object], wait_s: float = 0.0
    ) -> dict[str, object]:
        count_call(kind)
        try:
            reply = await _http.fetch(
                client,
                url=f"http://{address}{_store_wire.PATHS[kind]}",
                timeout_s=timeout_s + wait_s,
                body=_store_wire.encode(fields),
                headers=headers,
                resend=kind in _RESENDABLE,
            )
            return _store_wire.decode_response(reply.status, reply.body)
        except (errors.PlatformError, errors.ProtocolError) as error:
            raise _store_wire.unavailable(error.message) from error

    async def get(key: str) -> _ports.Entry | None:
        fields = (await call("get", {"key": key}))["entry"]
        return None if fields is None else _store_wire.decode_entry(fields)

    async def list_range(prefix: str) -> list[_ports.Entry]:
        response = await call("range", {"prefix": prefix})
        return [
            _store_wire.decode_entry(entry) for entry in response["entries"]
        ]

    async def write(
        key: str,
        value: bytes,
        expected_revision: int,
        write_id: str,
        lease_id: int,
    ) -> int:
        response = await call(
            "write",
            {
                "key": key,
                "value": value,
                "expected_revision": expected_revision,
                "write_id": write_id,
                "lease_id": lease_id,
            },
        )
        return response["revision"]

    async def delete(key: str, expected_revision: int) -> None:
        await call(
            "delete", {"key": key, "expected_revision": expected_revision}
        )

    async def grant_lease(ttl_s: float) -> int:
        return (await call("lease_grant", {"ttl_s": ttl_s}))["lease_id"]

    async def renew_lease(lease_id: int) -> None:
        await call("lease_renew", {"lease_id": lease_id})

    async def revoke_lease(lease_id: int) -> None:
        await call("lease_revoke", {"lease_id": lease_id})

    async def watch(
        prefix: str, after_revision: int, wait_s: float
    ) -> _ports.WatchResult:
        response = await call(
            "watch",
            {
                "prefix": prefix,
                "after_revision": after_revision,
                "wait_s": wait_s,
            },
            wait_s,
        )
        return _ports.WatchResult(
            revision=response["revision"],
            entries=tuple(
                _store_wire.decode_entry(entry)
                for entry in response["entries"]
            ),
        )

    return _ports.Store(
        get=get,
        list_range=list_range,
        write=write,
        delete=delete,
        grant_lease=grant_lease,
        renew_lease=renew_lease,
        revoke_lease=revoke_lease,
        watch=watch,
    )


def _make_counter(
    call_counts: CallCounts,
) -> collections.abc.Callable[[str], object]:
    if not isinstance(call_counts, dict):
        return call_counts

    def count(kind: str) -> None:
        call_counts[kind] = call_counts.get(kind, 0) + 1

    return count
