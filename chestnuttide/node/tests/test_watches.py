"""Watches whose calls fail, and what the store is asked for afterwards."""

import asyncio
import collections.abc
import contextlib
import time

import attrs
import cbor2
import pytest

from chestnuttide import errors
from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _session
from chestnuttide.node import _updates
from chestnuttide.node import _watches
from chestnuttide.node.tests import _failing_store
from chestnuttide import platform
from chestnuttide import workloads

WAIT_S = 0.3
PREFIX = "p/"
MEMBER = cbor2.dumps(["127.0.0.1:9", "1", 1.0, 10.0])


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


@attrs.define(kw_only=True)
class _Seen:
    """What a watch has reported.

    Attributes
    ----------
    keys : set of str
        Keys of items and changes.
    listings : int
        Number of listings.
    working : list of bool
        Whether calls succeeded.
    answers : list of (bool, float)
        Whether each answer was empty, and the wait that it may have had.
    draws : int
        Number of pauses drawn.
    """

    keys: set[str] = attrs.field(factory=set)
    listings: int = 0
    working: list[bool] = attrs.field(factory=list)
    answers: list[tuple[bool, float]] = attrs.field(factory=list)
    draws: int = 0


@contextlib.asynccontextmanager
async def _running(
    work: collections.abc.Coroutine[None, None, None],
) -> collections.abc.AsyncIterator[None]:
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


def _follow(
    session: _session.Session, seen: _Seen, *, wait_s: float = WAIT_S
) -> contextlib.AbstractAsyncContextManager[None]:
    async def on_list(items: tuple[platform.Item, ...]) -> None:
        seen.listings += 1
        seen.keys.update(item.key for item in items)

    def draw() -> float:
        seen.draws += 1
        return 0.0

    return _running(
        _watches.watch_prefix(
            session.store,
            PREFIX,
            on_list=on_list,
            on_item=lambda item: seen.keys.add(item.key),
            on_working=seen.working.append,
            on_answer=lambda sent_at, empty, waited_s: seen.answers.append(
                (empty, waited_s)
            ),
            wait_s=wait_s,
            draw=draw,
        )
    )


@pytest.mark.parametrize(
    ("failure", "lists"),
    [
        pytest.param("reset", 1, id="connection-is-reset"),
        pytest.param("silent", 1, id="no-answer"),
        pytest.param("cut", 1, id="answer-is-cut-off"),
        pytest.param("429", 1, id="too-many-calls"),
        pytest.param("503", 1, id="refused"),
        pytest.param("410", 2, id="history-is-lost"),
        pytest.param("unreadable", 2, id="unreadable-answer"),
    ],
)
def test_a_failed_watch_goes_on_where_it_was(failure: str, lists: int) -> None:
    """Guards against failures that have all instances list the prefix.

    What is written meanwhile must arrive, and the work goes on.
    """
    store = _failing_store.Store(
        failures=[failure] * 3, changes_at_failure=["p/b"]
    )
    _failing_store.put(store, "p/a")

    async def scenario(session: _session.Session) -> None:
        seen = _Seen()
        async with _follow(session, seen):
            await _until(lambda: len(store.waits) > 3 and seen.working[-1])
        assert seen.keys == {"p/a", "p/b"}
        if lists == 1:
            assert seen.listings == store.calls.count("list") == 1
            assert store.calls[:4] == ["list"] + ["watch 1"] * 3
            assert seen.working[:2] == [True, False]
        else:
            assert seen.listings == store.calls.count("list") == 4
        assert seen.draws == 3

    _failing_store.run(store, scenario)


def test_a_watch_works_again_as_soon_as_the_store_answers() -> None:
    """Guards against claims that are blocked for the wait of a watch."""
    store = _failing_store.Store(failures=["503"])
    _failing_store.put(store, "p/a")

    async def scenario(session: _session.Session) -> None:
        seen = _Seen()
        async with _follow(session, seen, wait_s=5.0):
            async with asyncio.timeout(2.0):
                await _until(lambda: len(store.waits) == 3)
        assert seen.working == [True, False, True]
        assert store.waits == [
            5000,
            int(_watches.CATCH_UP_WAIT_S * 1000),
            5000,
        ]
        # The end of the first wait would confirm too much.
        assert seen.answers == [
            (False, 0.0),
            (True, _watches.CATCH_UP_WAIT_S),
        ]

    _failing_store.run(store, scenario)


@pytest.mark.parametrize(
    ("page_failures", "calls"),
    [
        pytest.param([], ["list", "list p/b", "list p/d"], id="no-failure"),
        pytest.param(
            ["reset"],
            ["list", "list p/b", "list p/d"],
            id="first-page-is-not-answered",
        ),
        pytest.param(
            ["fine", "cut", "429"],
            ["list", "list p/b", "list p/b", "list p/d"],
            id="second-page-fails-twice",
        ),
    ],
)
def test_a_listing_keeps_the_pages_that_arrived(
    page_failures: list[str], calls: list[str]
) -> None:
    """Guards against listings that start over until all pages arrive.

    The watch goes on from the first page, as later ones may show less.
    """
    store = _failing_store.Store(page_failures=page_failures)
    for letter in "abcde":
        _failing_store.put(store, f"p/{letter}")

    async def scenario(session: _session.Session) -> None:
        seen = _Seen()
        failures = len([each for each in page_failures if each != "fine"])
        async with _follow(session, seen):
            await _until(lambda: len(store.waits) == 1)
            assert store.calls == [*calls, "watch 5"]
            assert seen.working == [False] * failures + [True]
            assert (seen.listings, len(seen.keys)) == (1, 5)

    _failing_store.run(store, scenario)


@pytest.mark.parametrize(
    ("watch", "prefix", "function"),
    [
        pytest.param(
            _owner._watch_workers,
            _keys.WORKERS,
            "apply_worker_entry",
            id="workers",
        ),
        pytest.param(
            _owner._watch_work, _keys.job("s", ""), "apply_job", id="jobs"
        ),
    ],
)
def test_the_loop_runs_while_a_listing_is_applied(
    watch: collections.abc.Callable[
        ..., collections.abc.Coroutine[None, None, None]
    ],
    prefix: str,
    function: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls and leases that time out behind a listing."""
    store = _failing_store.Store(failures=["410"])
    for number in range(60):
        _failing_store.put(store, f"{prefix}{number:02d}")
    applied: list[str] = []

    def apply(owner: _ownership.Ownership, item: platform.Item) -> None:
        applied.append(item.key)
        time.sleep(0.01)

    async def scenario(session: _session.Session) -> None:
        monkeypatch.setattr(_updates, function, apply)
        owner = _make_owner(session)
        loop = asyncio.get_running_loop()
        async with _running(watch(owner, revision=0)):
            longest_s, turn_at = 0.0, loop.time()
            while len(store.waits) < 2:
                await asyncio.sleep(0.001)
                longest_s = max(longest_s, loop.time() - turn_at)
                turn_at = loop.time()
        assert set(applied) == set(store.items)
        assert longest_s < 0.3

    _failing_store.run(store, scenario)


def _make_owner(session: _session.Session) -> _ownership.Ownership:
    return _ownership.Ownership(
        service="s",
        fencing_token=1,
        session=session,
        store=session.store,
        workers_http=session.store.http,
        pool=workloads.Pool(
            service="s",
            limits=workloads.TimeLimits(
                lease_s=2.5, early_s=0.0, stop_s=0.5, entry_expiry_s=6.0
            ),
        ),
        metrics=_metrics.make_metrics(),
    )


@pytest.mark.parametrize(
    ("retry_s", "drawn", "expected"),
    [
        pytest.param(0.1, 0.0, 0.05, id="shortest"),
        pytest.param(0.1, 1.0, 0.1, id="longest"),
        pytest.param(0.5, 0.5, 0.375, id="between"),
    ],
)
def test_pauses_differ_between_instances(
    retry_s: float, drawn: float, expected: float
) -> None:
    """Guards against instances that repeat a refused call at once."""
    assert _watches.retry_pause_s(retry_s, drawn) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("fencing_token", "adopted"),
    [
        pytest.param(5, False, id="removed-one"),
        pytest.param(7, False, id="one-before-the-removal"),
        pytest.param(9, True, id="newer-one"),
    ],
)
@pytest.mark.parametrize("listed", [False, True])
def test_a_peer_brings_no_removed_owner_back(
    fencing_token: int, adopted: bool, listed: bool
) -> None:
    """Guards against owners that a peer behind names and no listing ends."""

    async def scenario(session: _session.Session) -> None:
        owner = _session.Owner(
            instance="b", incarnation="1", fencing_token=fencing_token
        )
        session.owners["s"] = attrs.evolve(
            owner, fencing_token=7 if listed else 5
        )
        if listed:
            async with _running(_session.follow_cell(session)):
                await _until(lambda: session.cell_known)
        else:
            _session.apply_cell_item(
                session,
                platform.Item(
                    key=_keys.OWNERS + "s", revision=8, removed=True
                ),
            )
        assert not session.owners
        _session.adopt_peers_owner(session, "s", owner)
        assert (session.owners.get("s") == owner) is adopted
        # What the store says is never behind.
        _session.adopt_owner(session, "s", owner)
        assert session.owners["s"] == owner

    _failing_store.run(_failing_store.Store(), scenario)


@pytest.mark.parametrize(
    ("fencing_token", "adopted"),
    [
        pytest.param(5, False, id="ended-before"),
        pytest.param(6, False, id="last-before"),
        pytest.param(7, True, id="newer-one"),
    ],
)
@pytest.mark.parametrize(
    "watched",
    [pytest.param(False, id="listed"), pytest.param(True, id="watched")],
)
def test_a_peer_brings_no_owner_that_has_never_been_known(
    watched: bool, fencing_token: int, adopted: bool
) -> None:
    """Guards against an owner that ended before the instance's listing.

    An instance that is back under its name has seen no removal, and would
    never claim the service.
    """
    store = _failing_store.Store(revision=2 if watched else 6)

    async def scenario(session: _session.Session) -> None:
        async with _running(_session.follow_cell(session)):
            await _until(lambda: session.cell_known)
            if watched:
                store.revision = 5
                _failing_store.put(store, _keys.member("c"), MEMBER)
                await _until(lambda: "c" in session.members)
        owner = _session.Owner(
            instance="b", incarnation="1", fencing_token=fencing_token
        )
        _session.adopt_peers_owner(session, "s", owner)
        assert (session.owners.get("s") == owner) is adopted

    _failing_store.run(store, scenario)


def test_a_large_answer_arrives_over_a_slow_connection() -> None:
    """Guards against watches that are cut off while their bytes arrive."""
    store = _failing_store.Store(piece_pause_s=0.1)
    _failing_store.put(store, "p/a", b"v" * 10_000)

    async def scenario(session: _session.Session) -> None:
        changes = await platform.watch_keys(
            session.store, PREFIX, after_revision=0, wait_s=WAIT_S
        )
        assert [item.value for item in changes.items] == [b"v" * 10_000]

    _failing_store.run(store, scenario)


@pytest.mark.parametrize(
    "piece_pause_s",
    [
        pytest.param(0.0, id="no-answer"),
        pytest.param(2.0, id="answer-that-stops"),
    ],
)
def test_a_silent_connection_ends_in_time(piece_pause_s: float) -> None:
    """Guards against watches that wait on connections that went silent."""
    store = _failing_store.Store(
        failures=["fine" if piece_pause_s else "silent"],
        piece_pause_s=piece_pause_s,
    )
    _failing_store.put(store, "p/a")

    async def scenario(session: _session.Session) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(errors.StoreUnavailableError):
            await platform.watch_keys(
                session.store, PREFIX, after_revision=0, wait_s=WAIT_S
            )
        assert loop.time() - started_at < 2 * (
            WAIT_S + _failing_store.STORE_TIMEOUT_S
        )

    _failing_store.run(store, scenario)
