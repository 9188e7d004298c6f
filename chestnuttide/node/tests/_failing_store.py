"""A stand-in of the store on loopback whose calls fail as listed."""

import asyncio
import base64
import collections.abc
import json
import urllib.parse

import attrs

from chestnuttide.node import _session
from chestnuttide.node.tests import _session_fixtures
from chestnuttide.platform import _http

STORE_TIMEOUT_S = 0.2
PAGE_ITEMS = 2

# A watch of a slow store sends its answer in this many pieces.
PIECES = 8

# A scenario ends within this time.
LIMIT_S = 10.0


@attrs.define(kw_only=True)
class Store:
    """A store whose calls fail as listed.

    Attributes
    ----------
    failures : list of str
        What happens to each of the next watches: a status, ``reset``,
        ``silent``, ``cut`` (in the middle of the answer), ``unreadable`` or
        ``fine``.
    page_failures : list of str
        The same for the next pages.
    piece_pause_s : float
        Pause before each piece of an answer to a watch.
    revision : int
        Revision of the last change.
    items : dict of str to (int, bytes)
        Revision and value of each key.
    changes_at_failure : list of str
        Keys that are written when a watch fails.
    calls : list of str
        ``list`` with the key after which a page was read, or ``watch`` with
        the revision.
    waits : list of int
        Waiting time of each watch in milliseconds.
    closed : asyncio.Event
        Set at the end of the test.
    """

    failures: list[str] = attrs.field(factory=list)
    page_failures: list[str] = attrs.field(factory=list)
    piece_pause_s: float = 0.0
    revision: int = 0
    items: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    changes_at_failure: list[str] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)
    waits: list[int] = attrs.field(factory=list)
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)


def put(store: Store, key: str, value: bytes = b"") -> None:
    """Write a key."""
    store.revision += 1
    store.items[key] = (store.revision, value)


def _rows(store: Store, keys: list[str]) -> list[dict[str, object]]:
    return [
        {
            "key": key,
            "rev": store.items[key][0],
            "value": base64.b64encode(store.items[key][1]).decode(),
        }
        for key in keys
    ]


def _list(store: Store, query: dict[str, str]) -> dict[str, object]:
    after = query.get("after", "")
    store.calls.append(f"list {after}".strip())
    keys = [key for key in sorted(store.items) if key > after]
    return {
        "items": _rows(store, keys[:PAGE_ITEMS]),
        "hasMore": len(keys) > PAGE_ITEMS,
        "storeRevision": store.revision,
    }


async def _watch(store: Store, query: dict[str, str]) -> dict[str, object]:
    after = int(query["after"])
    loop = asyncio.get_running_loop()
    until = loop.time() + int(query["waitMs"]) / 1000
    while store.revision <= after and loop.time() < until:
        await asyncio.sleep(0.01)
    keys = [key for key, item in store.items.items() if item[0] > after]
    return {"events": _rows(store, keys), "storeRevision": store.revision}


async def _answer(
    store: Store, path: str, writer: asyncio.StreamWriter
) -> bool:
    """Answer a call; return whether the connection is kept."""
    url = urllib.parse.urlsplit(path)
    query = dict(urllib.parse.parse_qsl(url.query))
    watching = url.path == "/v1/kv-watch"
    if watching:
        store.calls.append(f"watch {query['after']}")
        store.waits.append(int(query["waitMs"]))
    failures = store.failures if watching else store.page_failures
    failure = failures.pop(0) if failures else "fine"
    if failure != "fine" and watching:
        for key in store.changes_at_failure:
            put(store, key)
        store.changes_at_failure = []
    status, body = 200, b""
    if failure == "reset":
        return False
    if failure == "silent":
        await store.closed.wait()
        return False
    if failure.isdigit():
        status = int(failure)
    elif failure == "unreadable":
        body = b"{"
    else:
        document = await _watch(store, query) if watching else None
        body = json.dumps(document or _list(store, query)).encode()
    writer.write(
        b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    )
    if failure == "cut":
        writer.write(body[: len(body) // 2])
        return False
    size = len(body) // PIECES + 1
    for start in range(0, len(body), size):
        if watching:
            await asyncio.sleep(store.piece_pause_s)
        writer.write(body[start : start + size])
        await writer.drain()
    return True


async def _serve(
    store: Store, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            if not await _answer(store, path, writer):
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


def run(
    store: Store,
    scenario: collections.abc.Callable[
        [_session.Session], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario with a session of the store."""

    async def main() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: _serve(store, reader, writer),
            "127.0.0.1",
            0,
        )
        address = server.sockets[0].getsockname()
        session = _session_fixtures.make_session(
            f"{address[0]}:{address[1]}",
            timeout_s=STORE_TIMEOUT_S,
            count=lambda kind, outcome: None,
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(session)
        finally:
            server.close()
            store.closed.set()
            # libcurl's transfers end with their connections.
            await asyncio.sleep(0.1)
            _http.close(session.store.http)

    asyncio.run(main())
