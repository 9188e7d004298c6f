"""Keys that come and go, at an instance that may not know it."""

import asyncio
import collections.abc
import contextlib
import functools
import json

import attrs
import pytest
from tornado import httputil

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _configuration
from chestnuttide.node import _dispatch
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _packing
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide.node import _watches
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import platform
from chestnuttide import workloads
from standins import cloud
from standins import node_cell

JOB = "00000000000000aa"
LIMIT_S = 4.5
BODY = node_cell.make_job()


@attrs.define(kw_only=True)
class Bed:
    """An instance beside a store stand-in, at a time that the test sets.

    Attributes
    ----------
    store : Store
        The stand-in.
    context : ApiContext
        Context of the instance's request handlers.
    now : float
        Time of the instance's clock.
    """

    store: cloud.Store
    context: _responses.ApiContext
    now: float = 1000.0

    @property
    def session(self) -> _session.Session:
        return self.context.session


@contextlib.asynccontextmanager
async def _open_bed(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.AsyncIterator[Bed]:
    store = cloud.Store()
    address, server = cloud.serve(
        functools.partial(cloud.handle_store_request, store)
    )
    session = _session_fixtures.make_session(
        address, timeout_s=5.0, count=lambda kind, outcome: None
    )
    session.confirmation_limit_s = LIMIT_S
    bed = Bed(
        store=store,
        context=_responses.ApiContext(
            session=session, owned={}, metrics=_metrics.make_metrics()
        ),
    )
    monkeypatch.setattr(_clock, "now", lambda: bed.now)
    try:
        yield bed
    finally:
        server.stop()


def _run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: collections.abc.Callable[[Bed], collections.abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with _open_bed(monkeypatch) as bed:
            await scenario(bed)

    asyncio.run(main())


def _document(version: int, **keys: list[str]) -> bytes:
    return node_cell.make_config(version, workspaces=keys, open_prefix="/o/")


def _adopt(bed: Bed, version: int, **keys: list[str]) -> None:
    _configuration.adopt_config(
        bed.session, _document(version, **keys), source="store"
    )


async def _call(
    bed: Bed,
    method: str,
    key: str = "",
    *,
    prefix: str = "/layout/",
    job: str = JOB,
) -> tuple[int, str]:
    """Return the status and the reason of a call."""
    headers = {"Host": node_cell.HOST}
    if key:
        headers["X-Api-Key"] = key
    response = await _dispatch._dispatch(
        bed.context,
        httputil.HTTPServerRequest(
            start_line=httputil.RequestStartLine(
                method, prefix + job, "HTTP/1.1"
            ),
            headers=httputil.HTTPHeaders(headers),
            body=BODY,
            connection=_Connection(),
        ),
    )
    return response.status, response.reason


class _Connection:
    """What a request asks of its connection."""

    context = None

    def set_close_callback(self, callback: object) -> None:
        """Take no note of the end of the connection."""


@pytest.mark.parametrize(
    ("key", "prefix", "post", "get", "delete"),
    [
        pytest.param("ka", "/layout/", 200, 200, 200, id="own"),
        pytest.param("kb", "/layout/", 403, 403, 403, id="other-workspace"),
        pytest.param("kx", "/layout/", 401, 401, 401, id="unknown-key"),
        pytest.param("", "/layout/", 401, 401, 401, id="no-key"),
        pytest.param("", "/o/", 403, 410, 403, id="public-queue"),
    ],
)
def test_calls_for_a_job_of_a_workspace(
    key: str,
    prefix: str,
    post: int,
    get: int,
    delete: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against jobs that others see, cancel or take for their own."""

    async def scenario(bed: Bed) -> None:
        _adopt(bed, 1, a=["ka"], b=["kb"])
        _configuration.confirm_config(bed.session, bed.now)
        assert await _call(bed, "POST", "ka") == (200, "")
        stored = dict(bed.store.keys)
        for method, status in (
            ("POST", post),
            ("GET", get),
            ("DELETE", delete),
        ):
            assert (await _call(bed, method, key, prefix=prefix))[0] == status
        if delete != 200:
            assert bed.store.keys == stored
        spec = workloads.decode_job(stored[_keys.job("layout", JOB)].value)
        assert spec.workspace == "a"

    _run(monkeypatch, scenario)


def test_a_public_queue_needs_no_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refused calls of callers that have no key."""

    async def scenario(bed: Bed) -> None:
        _adopt(bed, 1, a=["ka"])
        assert await _call(bed, "POST", prefix="/o/") == (200, "")
        assert await _call(bed, "GET", prefix="/o/") == (200, "")
        record = bed.store.keys[_keys.job("layout", JOB)].value
        assert workloads.decode_job(record).workspace == ""

    _run(monkeypatch, scenario)


def test_jobs_of_a_former_release_stay_readable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against jobs that are lost when the workspaces come."""

    async def scenario(bed: Bed) -> None:
        _configuration.adopt_config(
            bed.session, node_cell.make_config(1), source="store"
        )
        assert await _call(bed, "POST") == (200, "")
        _adopt(bed, 2, a=["ka"])
        _configuration.confirm_config(bed.session, bed.now)
        assert await _call(bed, "GET", "ka") == (200, "")
        assert await _call(bed, "POST", "ka") == (200, "")
        assert await _call(bed, "GET") == (401, "no_key")

    _run(monkeypatch, scenario)


def test_a_cut_off_instance_stops_before_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a withdrawn key that runs at an instance cut off.

    Readiness follows, so that callers go to instances that serve them.
    """

    async def scenario(bed: Bed) -> None:
        _adopt(bed, 1, a=["ka"])
        assert await _call(bed, "GET", "ka") == (503, "config_unconfirmed")
        assert not _configuration.is_ready(bed.session)
        _configuration.confirm_config(bed.session, bed.now)
        bed.now += LIMIT_S - 0.01
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        assert _configuration.is_ready(bed.session)
        bed.now += 0.02
        assert await _call(bed, "POST", "ka") == (503, "config_unconfirmed")
        assert not bed.store.keys
        assert not _configuration.is_ready(bed.session)
        # A peer in touch knows that nothing is newer.
        _tell(bed, version=1, age_s=0.5)
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        # One that was cut off at the same time does not help for longer.
        bed.now += LIMIT_S - 0.4
        _tell(bed, version=1, age_s=LIMIT_S + 0.1)
        assert await _call(bed, "GET", "ka") == (503, "config_unconfirmed")

    _run(monkeypatch, scenario)


def _tell(
    bed: Bed, *, version: int, age_s: float, document: bytes = b""
) -> None:
    _configuration.apply_peers_config(
        bed.session,
        _messages.CellReply(
            call_id=1,
            document=b"",
            owners=(),
            config_version=version,
            confirmed_age_s=age_s,
            packed_document=_packing.pack(document) if document else b"",
        ),
        sent_at=bed.now,
        source="peer",
    )


async def _pass_time(bed: Bed, seconds: float) -> None:
    """Let the watch answer twice, the second time as sent after a time."""
    for elapsed_s in (seconds, 0.0):
        bed.now += elapsed_s
        cloud.put(bed.store, "op/other", b"")
        await asyncio.sleep(0.2)


def test_an_unreadable_config_ends_the_confirmations(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys in force that a version may have withdrawn.

    The store shows a newer document, so the former one is not the newest.
    """

    async def scenario(bed: Bed) -> None:
        session = bed.session
        cloud.put(bed.store, _keys.CONFIG, _document(1, a=["ka"]))
        task = asyncio.create_task(_configuration.follow_config(session))
        await asyncio.sleep(0.2)
        await _pass_time(bed, LIMIT_S)
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        cloud.put(bed.store, _keys.CONFIG, b"{")
        await asyncio.sleep(0.2)
        assert session.config.version == 1
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        await _pass_time(bed, LIMIT_S)
        assert await _call(bed, "GET", "ka") == (503, "config_unconfirmed")
        # The same document again is the newest one.
        cloud.put(bed.store, _keys.CONFIG, _document(1, a=["ka"]))
        await _pass_time(bed, 0.0)
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        cloud.put(bed.store, _keys.CONFIG, b"{")
        await asyncio.sleep(0.2)
        await _pass_time(bed, LIMIT_S)
        assert await _call(bed, "GET", "ka") == (503, "config_unconfirmed")
        cloud.put(bed.store, _keys.CONFIG, _document(2, a=["kb"]))
        await _pass_time(bed, 0.0)
        assert await _call(bed, "GET", "kb") == (410, "unknown_job")
        assert await _call(bed, "GET", "ka") == (401, "unknown_key")
        task.cancel()
        await asyncio.wait([task])

    _run(monkeypatch, scenario)


def test_a_peer_with_an_older_version_brings_no_key_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a withdrawn key that returns with a restart.

    The first configuration comes from a peer that is behind; the age of its
    confirmation decides.
    """

    async def scenario(bed: Bed) -> None:
        former = _document(3, a=["ka", "kold"])
        _tell(bed, version=3, age_s=LIMIT_S + 1, document=former)
        assert bed.session.config.version == 3
        assert await _call(bed, "GET", "kold") == (503, "config_unconfirmed")
        _adopt(bed, 4, a=["ka"])
        _configuration.confirm_config(bed.session, bed.now)
        _tell(bed, version=3, age_s=0.0, document=former)
        assert bed.session.config.version == 4
        assert await _call(bed, "GET", "kold") == (401, "unknown_key")
        # It confirms nothing either.
        bed.now += LIMIT_S
        _tell(bed, version=3, age_s=0.0)
        assert await _call(bed, "GET", "ka") == (503, "config_unconfirmed")

    _run(monkeypatch, scenario)


def test_two_versions_within_a_second_take_a_key_and_give_it_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a key that stays refused, or an older version."""

    async def scenario(bed: Bed) -> None:
        for version, keys, expected in (
            (1, ["ka"], (410, "unknown_job")),
            (5, [], (401, "unknown_key")),
            (9, ["ka"], (410, "unknown_job")),
            (5, [], (410, "unknown_job")),
        ):
            _adopt(bed, version, a=keys)
            _configuration.confirm_config(bed.session, bed.now)
            assert await _call(bed, "GET", "ka") == expected
            bed.now += 0.3
        assert bed.session.config.version == 9

    _run(monkeypatch, scenario)


def test_a_paused_process_serves_no_key_until_it_has_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that trusts its keys after a suspension.

    The answer to a watch that was sent before tells nothing of the time since.
    """

    async def scenario(bed: Bed) -> None:
        cloud.put(bed.store, _keys.CONFIG, _document(1, a=["ka", "kold"]))
        follow = asyncio.ensure_future(
            _configuration.follow_config(bed.session)
        )
        await _wait(lambda: bed.session.config is not None)
        assert await _call(bed, "GET", "kold") == (410, "unknown_job")
        # The watch is on its way when the process is suspended.
        await asyncio.sleep(0.1)
        bed.now += 60.0
        assert await _call(bed, "GET", "kold") == (503, "config_unconfirmed")
        cloud.put(bed.store, _keys.CONFIG, _document(2, a=["ka"]))
        await _wait(lambda: bed.session.config.version == 2)
        await _wait(lambda: _configuration.serves_keys(bed.session))
        assert await _call(bed, "GET", "kold") == (401, "unknown_key")
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        follow.cancel()
        await asyncio.gather(follow, return_exceptions=True)

    _run(monkeypatch, scenario)


def test_a_late_answer_after_a_failure_confirms_its_own_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a confirmation of a time that the store did not wait.

    The watch that follows a failure waits for a moment only.
    """

    async def scenario(bed: Bed) -> None:
        cloud.put(bed.store, _keys.CONFIG, _document(1, a=["ka"]))
        watch_keys = platform.watch_keys
        sent: list[float] = []

        async def watch(
            store: platform.KvStore, prefix: str, **options: object
        ) -> object:
            sent.append(bed.now)
            if len(sent) == 1:
                bed.now += 1.0
                raise errors.StoreUnavailableError(
                    message="No answer.", remedy="Retry later."
                )
            changes = await watch_keys(store, prefix, **options)
            bed.now += 3.0
            return changes

        monkeypatch.setattr(platform, "watch_keys", watch)
        follow = asyncio.ensure_future(
            _configuration.follow_config(bed.session)
        )
        await _wait(lambda: len(sent) == 3)
        assert (
            bed.session.config_confirmed_at - sent[1]
            <= _watches.CATCH_UP_WAIT_S
        )
        assert bed.session.config_confirmed_at >= sent[1]
        follow.cancel()
        await asyncio.gather(follow, return_exceptions=True)

    _run(monkeypatch, scenario)


async def _wait(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(10 * _watches.WATCH_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_an_invalid_version_keeps_the_former_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys lost to a configuration that is refused."""

    async def scenario(bed: Bed) -> None:
        counted: list[str] = []
        bed.session.count_unreadable = counted.append
        _adopt(bed, 1, a=["ka"])
        _configuration.confirm_config(bed.session, bed.now)
        _adopt(bed, 2, a=["ka"], b=["ka"])
        assert counted == ["config"]
        assert await _call(bed, "GET", "ka") == (410, "unknown_job")
        assert bed.session.config.version == 1

    _run(monkeypatch, scenario)


@pytest.mark.parametrize("accepts_packed", [True, False])
def test_a_peer_behind_gets_the_configuration(
    accepts_packed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a large document that a former release cannot read."""

    async def scenario(bed: Bed) -> None:
        _adopt(bed, 4, a=["ka"])
        _configuration.confirm_config(bed.session, bed.now - 2.0)
        reply = _configuration.answer_cell(
            bed.session,
            _messages.CellRead(
                call_id=1, known_version=3, accepts_packed=accepts_packed
            ),
        )
        document = reply.document
        if accepts_packed:
            assert not document
            document = _packing.unpack(reply.packed_document)
        assert platform.decode_config(document).version == 4
        assert (reply.config_version, reply.confirmed_age_s) == (4, 2.0)
        reply = _configuration.answer_cell(
            bed.session, _messages.CellRead(call_id=1, known_version=4)
        )
        assert not reply.document and not reply.packed_document

    _run(monkeypatch, scenario)


def test_operators_read_the_page_of_workspaces(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a page that fails on an instance without confirmation."""

    async def scenario(bed: Bed) -> None:
        assert _configuration.list_workspaces(bed.session) == []
        _adopt(bed, 4, a=["ka"])
        (row,) = json.loads(
            json.dumps(_configuration.list_workspaces(bed.session))
        )
        assert (row["workspace"], row["confirmed_age_s"]) == ("a", None)

    _run(monkeypatch, scenario)
