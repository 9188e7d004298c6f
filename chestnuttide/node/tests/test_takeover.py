"""Takeovers whose listings are large for the link or break off."""

import asyncio
import base64
import collections.abc
import json
import urllib.parse

import attrs
import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _session
from chestnuttide.node import _takeover
from chestnuttide.node import _updates
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import platform
from chestnuttide.platform import _http
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

SERVICE = "layout"
FENCE = 7
STORE_TIMEOUT_S = 0.2

# The store sends a page in this many pieces, with a pause before each.
PIECES = 8
PAGE_ITEMS = 100

# A takeover by a store that sends 3 pages of 8 pieces takes 2.4 s.
TAKEOVER_LIMIT_S = 15.0


@attrs.define(kw_only=True)
class _SlowStore:
    """A store whose pages arrive slowly.

    Attributes
    ----------
    workers : int
        Number of worker entries.
    piece_pause_s : float
        Pause before each piece of a page of workers.
    broken_pages : list of str
        Keys after which a page is cut off in its middle, once each.
    stalled_pages : list of str
        Keys after which a page stops arriving in its middle, once each.
    pages : list of str
        Key after which each page of workers was read.
    closed : asyncio.Event
        Set at the end of the test.
    """

    workers: int = 0
    piece_pause_s: float = 0.0
    broken_pages: list[str] = attrs.field(factory=list)
    stalled_pages: list[str] = attrs.field(factory=list)
    pages: list[str] = attrs.field(factory=list)
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)


def _entry(number: int) -> dict[str, object]:
    value = json.dumps(
        {
            "service": SERVICE,
            "addr": "127.0.0.1:9",
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
            "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0},
            "labels": [],
        }
    )
    return {
        "key": f"servers/i-{number:04d}",
        "value": base64.b64encode(value.encode()).decode(),
        "rev": 5,
        "created": 5,
        "lease": 0,
    }


def _answer(store: _SlowStore, path: str) -> dict[str, object] | None:
    url = urllib.parse.urlsplit(path)
    query = dict(urllib.parse.parse_qsl(url.query))
    if url.path == "/v1/kv-key":
        return {"key": query["key"], "value": "", "rev": FENCE}
    if url.path == "/v1/kv-watch":
        return None
    if query["prefix"] != "servers/":
        return {"items": [], "hasMore": False, "storeRevision": 9}
    after = query.get("after", "")
    store.pages.append(after)
    first = int(after.rpartition("-")[2]) + 1 if after else 0
    numbers = range(first, min(store.workers, first + PAGE_ITEMS))
    return {
        "items": [_entry(number) for number in numbers],
        "hasMore": numbers.stop < store.workers,
        "storeRevision": 9,
    }


async def _handle(
    store: _SlowStore,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            document = _answer(store, path)
            if document is None:
                await store.closed.wait()
                return
            body = json.dumps(document).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            is_page = bool(document.get("items"))
            after = store.pages[-1] if is_page else ""
            size = len(body) // PIECES + 1
            for start in range(0, len(body), size):
                if is_page:
                    await asyncio.sleep(store.piece_pause_s)
                if is_page and start and after in store.broken_pages:
                    store.broken_pages.remove(after)
                    return
                if is_page and start and after in store.stalled_pages:
                    store.stalled_pages.remove(after)
                    await store.closed.wait()
                    return
                writer.write(body[start : start + size])
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


def _run(
    store: _SlowStore,
    scenario: collections.abc.Callable[
        [_session.Session], collections.abc.Awaitable[None]
    ],
) -> None:
    async def main() -> None:
        server = await asyncio.start_server(
            lambda reader, writer: _handle(store, reader, writer),
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
            await scenario(session)
        finally:
            server.close()
            store.closed.set()
            # libcurl's transfers end with their connections.
            await asyncio.sleep(0.1)
            _http.close(session.store.http)

    asyncio.run(main())


def _make_owner(session: _session.Session) -> _ownership.Ownership:
    return _ownership.Ownership(
        service=SERVICE,
        fencing_token=FENCE,
        session=session,
        store=session.store,
        workers_http=session.store.http,
        pool=workloads.Pool(
            service=SERVICE,
            limits=workloads.TimeLimits(
                lease_s=2.5, early_s=0.0, stop_s=0.5, entry_expiry_s=6.0
            ),
        ),
        metrics=_metrics.make_metrics(),
    )


async def _take_over(
    session: _session.Session,
) -> _ownership.Ownership:
    owner = _make_owner(session)
    running = asyncio.ensure_future(_owner.run_ownership(owner))
    try:
        async with asyncio.timeout(TAKEOVER_LIMIT_S):
            while not owner.ready:
                await asyncio.sleep(0.01)
    finally:
        owner.deposed.set()
        await running
    return owner


@pytest.mark.parametrize(
    ("store", "pages"),
    [
        pytest.param(
            _SlowStore(workers=250, piece_pause_s=0.1),
            ["", "servers/i-0099", "servers/i-0199"],
            id="pages-take-longer-than-a-call",
        ),
        pytest.param(
            _SlowStore(workers=250, broken_pages=["servers/i-0099"]),
            ["", "servers/i-0099", "servers/i-0099", "servers/i-0199"],
            id="connection-is-reset",
        ),
        pytest.param(
            _SlowStore(workers=250, stalled_pages=["servers/i-0199"]),
            [
                "",
                "servers/i-0099",
                "servers/i-0199",
                "servers/i-0199",
            ],
            id="connection-goes-silent",
        ),
    ],
)
def test_a_takeover_keeps_the_pages_that_arrived(
    store: _SlowStore, pages: list[str]
) -> None:
    """Guards against owners that read the store from the start for ever."""

    async def scenario(session: _session.Session) -> None:
        owner = await _take_over(session)
        assert len(owner.pool.workers) == store.workers
        assert store.pages == pages

    _run(store, scenario)


def test_a_page_without_bytes_ends_within_the_timeout_of_a_call() -> None:
    """Guards against calls that wait on connections that went silent."""
    store = _SlowStore(workers=250, stalled_pages=[""])

    async def scenario(session: _session.Session) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(errors.StoreUnavailableError):
            await platform.read_all(session.store, "servers/")
        assert loop.time() - started_at < 2.0

    _run(store, scenario)


def _make_former_job() -> workloads.Job:
    """Return a job with a run, as its former owner knows it."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    _pool_fixtures.start_all(pool)
    return job


def _learn_of_job(
    owner: _ownership.Ownership, job: workloads.Job, way: str
) -> None:
    record = workloads.encode_job(job.spec)
    if way == "watch":
        key = _keys.job(SERVICE, job.spec.id)
        item = platform.Item(key=key, value=record, revision=21)
        _updates.apply_work_items(owner, (item,))
        return
    _updates.apply_job_notice(
        owner,
        _messages.JobNotice(
            service=SERVICE,
            job_id=job.spec.id,
            value=record,
            stored=way == "stored",
        ),
    )


@pytest.mark.parametrize("way", ["watch", "stored", "announced"])
def test_a_job_that_is_stored_after_the_listing_keeps_its_runs(
    way: str,
) -> None:
    """Guards against tasks that start beside runs of the former owner.

    The former owner has stored the job's progress before the job was stored,
    and may send its starts until its authority ends.
    """
    former = _make_former_job()

    async def scenario(session: _session.Session) -> None:
        owner = _make_owner(session)
        _updates.record_former_owner(owner)
        progress = platform.Item(
            key=_keys.progress(SERVICE, former.spec.id),
            value=workloads.encode_progress(former),
            revision=20,
        )
        await _takeover._apply(owner, [], [], [progress])
        owner.ready = True
        owner.confirmed_at = _clock.now()
        _learn_of_job(owner, former, way)
        job = owner.pool.jobs[former.spec.id]
        assert job.progress_revision == 20
        (unit,) = job.units.values()
        assert [run.key for run in unit.runs] == [
            run.key for unit in former.units.values() for run in unit.runs
        ]
        assert not workloads.make_plan(owner.pool, now=_clock.now()).runs
        job.accepted_at -= 2 * _owner.ANNOUNCED_JOB_LIMIT_S
        _owner._drop_unstored_jobs(owner, _clock.now())
        assert owner.pool.jobs[former.spec.id] is job
        assert not owner.obsolete_keys

    _run(_SlowStore(), scenario)
