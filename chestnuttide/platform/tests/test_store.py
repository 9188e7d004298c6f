"""Tests of the store, run with the HTTP client and the in-memory store."""

import asyncio
import collections.abc
import contextlib
import time
import typing

import attrs
import pytest

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _http
from standins import _serving
from standins import store

_IMPLEMENTATIONS = ("http", "memory")
_TIMEOUT_S = 0.3

_Conflict = errors.RevisionConflictError
_Expired = errors.LeaseExpiredError
_Unavailable = errors.StoreUnavailableError


@attrs.define(kw_only=True)
class _Harness:
    """A store under test with a manual clock."""

    now: float = 1000.0
    endpoint: store.Endpoint | None = None
    counts: dict[str, int] = attrs.Factory(dict)
    connect: collections.abc.Callable[[str], platform.Store] | None = None


@contextlib.asynccontextmanager
async def _serve_store(
    implementation: str,
    clock: collections.abc.Callable[[], float] | None = None,
) -> collections.abc.AsyncIterator[_Harness]:
    harness = _Harness()
    harness.endpoint = store.make_endpoint(
        store.State(), clock or (lambda: harness.now)
    )
    if implementation == "memory":
        harness.connect = lambda client_id: store.make_in_memory_store(
            harness.endpoint.state,
            harness.endpoint.clock,
            client_id=client_id,
            timeout_s=_TIMEOUT_S,
            endpoint=harness.endpoint,
        )
        yield harness
        return
    served = store.listen(port=0, endpoint=harness.endpoint)
    client = _http.make_client(max_clients=32)
    harness.connect = lambda client_id: platform.make_store(
        address=f"127.0.0.1:{served.port}",
        timeout_s=_TIMEOUT_S,
        call_counts=harness.counts,
        client_id=client_id,
        http_client=client,
    )
    try:
        yield harness
    finally:
        _http.close(client)
        await _serving.close(served)


def _entry(
    key: str, value: bytes | None, revision: int, write_id: str = "w"
) -> platform.Entry:
    return platform.Entry(
        key=key, value=value, revision=revision, write_id=write_id
    )


def _changes(revision: int, *entries: platform.Entry) -> platform.WatchResult:
    return platform.WatchResult(revision=revision, entries=entries)


# Each step is a call with its arguments and its expected result or error.
# `advance` advances the clock.
_STEPS = [
    pytest.param(
        [
            ("write", ("k", b"1", 0, "w", 0), 1),
            ("write", ("k", b"2", 0, "x", 0), _Conflict),
            ("get", ("k",), _entry("k", b"1", 1)),
        ],
        id="second_create_overwrites",
    ),
    pytest.param(
        [
            ("write", ("k", b"1", 0, "w", 0), 1),
            ("write", ("k", b"2", 1, "w", 0), 2),
            ("write", ("k", b"3", 1, "w", 0), _Conflict),
            ("write", ("k", b"3", 7, "w", 0), _Conflict),
            ("get", ("k",), _entry("k", b"2", 2)),
        ],
        id="write_at_other_revision_succeeds",
    ),
    pytest.param(
        [
            ("write", ("k", b"1", 5, "w", 0), _Conflict),
            ("get", ("k",), None),
        ],
        id="update_creates_absent_key",
    ),
    pytest.param(
        [
            ("write", ("a", b"1", 0, "w", 0), 1),
            ("write", ("b", b"1", 0, "w", 0), 2),
            ("write", ("a", b"", 1, "w", 0), 3),
            ("get", ("a",), _entry("a", b"", 3)),
        ],
        id="revision_is_per_key_or_empty_value_lost",
    ),
    pytest.param(
        [
            ("write", ("p/b", b"2", 0, "w", 0), 1),
            ("write", ("p/a", b"1", 0, "w", 0), 2),
            ("write", ("p", b"0", 0, "w", 0), 3),
            ("write", ("q", b"0", 0, "w", 0), 4),
            (
                "list_range",
                ("p/",),
                [_entry("p/a", b"1", 2), _entry("p/b", b"2", 1)],
            ),
            ("list_range", ("z",), []),
        ],
        id="range_unsorted_or_beyond_prefix",
    ),
    pytest.param(
        [
            ("write", ("k", b"1", 0, "w", 0), 1),
            ("delete", ("k", 3), _Conflict),
            ("delete", ("k", 1), None),
            ("delete", ("k", 1), _Conflict),
            ("get", ("k",), None),
            ("write", ("k", b"2", 0, "w", 0), 3),
        ],
        id="delete_ignores_revision",
    ),
    pytest.param(
        [
            ("grant_lease", (2.0,), 1),
            ("write", ("m", b"1", 0, "w", 1), 1),
            ("advance", 1.9, None),
            ("renew_lease", (1,), None),
            ("advance", 1.9, None),
            ("get", ("m",), _entry("m", b"1", 1)),
            ("advance", 0.2, None),
            ("get", ("m",), None),
            ("renew_lease", (1,), _Expired),
            ("write", ("m", b"1", 0, "w", 1), _Expired),
        ],
        id="lease_outlives_its_ttl_or_ignores_renewal",
    ),
    pytest.param(
        [
            ("grant_lease", (2.0,), 1),
            ("write", ("m", b"1", 0, "w", 1), 1),
            ("write", ("m", b"2", 1, "w", 0), 2),
            ("advance", 3.0, None),
            ("get", ("m",), _entry("m", b"2", 2)),
        ],
        id="detached_key_deleted_with_old_lease",
    ),
    pytest.param(
        [
            ("grant_lease", (2.0,), 1),
            ("grant_lease", (9.0,), 2),
            ("write", ("m", b"1", 0, "w", 1), 1),
            ("write", ("m", b"1", 1, "w", 2), 2),
            ("revoke_lease", (1,), None),
            ("get", ("m",), _entry("m", b"1", 2)),
            ("revoke_lease", (2,), None),
            ("get", ("m",), None),
            ("revoke_lease", (2,), None),
        ],
        id="moved_key_deleted_with_old_lease",
    ),
    pytest.param(
        [
            ("write", ("p/a", b"1", 0, "w", 0), 1),
            ("write", ("p/b", b"1", 0, "w", 0), 2),
            ("write", ("p/a", b"2", 1, "w", 0), 3),
            ("write", ("q", b"2", 0, "w", 0), 4),
            ("delete", ("p/b", 2), None),
            (
                "watch",
                ("p/", 1, 0.0),
                _changes(
                    5, _entry("p/a", b"2", 3), _entry("p/b", None, 5, "w")
                ),
            ),
            ("watch", ("p/", 5, 0.0), _changes(5)),
        ],
        id="watch_misses_change_or_deletion",
    ),
    pytest.param(
        [
            ("grant_lease", (1.0,), 1),
            ("write", ("m/1", b"1", 0, "w", 1), 1),
            ("advance", 1.0, None),
            ("watch", ("m/", 1, 0.0), _changes(2, _entry("m/1", None, 2))),
        ],
        id="watch_misses_expired_lease",
    ),
    pytest.param(
        [("write", ("k", bytes(1_000_000), 0, "w", 0), 1)],
        id="largest_value_rejected",
    ),
]


@pytest.mark.parametrize("implementation", _IMPLEMENTATIONS)
@pytest.mark.parametrize("steps", _STEPS)
def test_calls(
    implementation: str, steps: list[tuple[str, typing.Any, typing.Any]]
) -> None:
    """Guards against differences between the two implementations."""

    async def scenario() -> None:
        async with _serve_store(implementation) as harness:
            client = harness.connect("i1")
            for name, arguments, expected in steps:
                if name == "advance":
                    harness.now += arguments
                elif isinstance(expected, type):
                    with pytest.raises(expected):
                        await getattr(client, name)(*arguments)
                else:
                    assert (
                        await getattr(client, name)(*arguments) == expected
                    ), name

    asyncio.run(scenario())


# A write under faults: the injected faults, the error that the client must
# raise, and whether the write must have taken effect.
_FAULTS = [
    pytest.param(
        {"down": True},
        _Unavailable,
        False,
        id="write_during_outage_takes_effect",
    ),
    pytest.param(
        {"drop_answers": 1},
        _Unavailable,
        True,
        id="write_with_lost_answer_has_no_effect",
    ),
    pytest.param(
        {"drop_answers": 0.999999},
        _Unavailable,
        True,
        id="share_of_answers_not_lost",
    ),
    pytest.param(
        {"down": True, "for_prefix": "other/"},
        None,
        True,
        id="fault_affects_other_prefix",
    ),
    pytest.param(
        {"down": True, "for_prefix": "k"},
        _Unavailable,
        False,
        id="fault_misses_its_prefix",
    ),
    pytest.param(
        {"down": True, "for_client": "i2"},
        None,
        True,
        id="partition_affects_other_client",
    ),
    pytest.param(
        {"down": True, "for_client": ["i1", "i2"]},
        _Unavailable,
        False,
        id="partition_misses_its_client",
    ),
    pytest.param(
        {"slow_s": 0.05}, None, True, id="slow_store_within_timeout_fails"
    ),
    pytest.param(
        {"drop_answers": 1, "drop_kinds": ["get"]},
        None,
        True,
        id="lost_answer_affects_other_kind",
    ),
]


@pytest.mark.parametrize("implementation", _IMPLEMENTATIONS)
@pytest.mark.parametrize(("switches", "error", "effect"), _FAULTS)
def test_write_under_faults(
    implementation: str,
    switches: dict[str, typing.Any],
    error: type[Exception] | None,
    effect: bool,
) -> None:
    """Guards against injected faults that hit or miss the wrong calls."""

    async def scenario() -> None:
        async with _serve_store(implementation) as harness:
            client = harness.connect("i1")
            store.control(harness.endpoint, switches)
            if error is None:
                await client.write("k", b"1", 0, "w", 0)
            else:
                with pytest.raises(error):
                    await client.write("k", b"1", 0, "w", 0)
            store.control(harness.endpoint, {"reset": True})
            entry = await client.get("k")
            assert (entry is not None) == effect
            evidence = store.evidence(harness.endpoint)
            assert evidence["counts"] == {"write": 1, "get": 1}
            assert evidence["by_client"] == {"i1": {"write": 1, "get": 1}}

    asyncio.run(scenario())


@pytest.mark.parametrize("implementation", _IMPLEMENTATIONS)
@pytest.mark.parametrize(
    ("action", "changed"),
    [
        pytest.param("write", ("m/1", b"1"), id="write_does_not_wake_watch"),
        pytest.param(
            "expire", ("m/0", None), id="lease_expiry_does_not_wake_watch"
        ),
        pytest.param("other", None, id="other_prefix_ends_watch"),
        pytest.param("down", _Unavailable, id="outage_leaves_watch_waiting"),
        pytest.param("silent", TimeoutError, id="partition_ends_watch_early"),
    ],
)
def test_waiting_watch(
    implementation: str, action: str, changed: typing.Any
) -> None:
    """Guards against a watch that misses its wake-up or ends too early."""

    async def scenario() -> None:
        async with _serve_store(implementation, time.monotonic) as harness:
            client = harness.connect("i1")
            lease_id = await client.grant_lease(0.15)
            await client.write("m/0", b"0", 0, "w", lease_id)
            if action != "expire":
                await client.revoke_lease(lease_id)
            start = time.monotonic()
            revision = harness.endpoint.state.revision
            watch = asyncio.create_task(client.watch("m/", revision, 0.5))
            await asyncio.sleep(0.05)
            assert store.evidence(harness.endpoint)["waiting_watches"] == 1
            if action == "write":
                await client.write("m/1", b"1", 0, "w", 0)
            elif action == "other":
                await client.write("n", b"1", 0, "w", 0)
            elif action in ("down", "silent"):
                store.control(
                    harness.endpoint, {action: True, "for_client": "i1"}
                )
            if isinstance(changed, type):
                with pytest.raises(_Unavailable):
                    await watch
            else:
                result = await watch
                seen = [(entry.key, entry.value) for entry in result.entries]
                assert seen == ([changed] if changed else [])
            waited_s = time.monotonic() - start
            assert (waited_s >= 0.5) == (changed in (None, TimeoutError))
            store.control(harness.endpoint, {"reset": True})
            await asyncio.sleep(0.05)
            assert store.evidence(harness.endpoint)["waiting_watches"] == 0

    asyncio.run(scenario())


def test_calls_are_counted_by_kind() -> None:
    """Guards against miscounts, which hide an exceeded call budget."""

    async def scenario() -> None:
        async with _serve_store("http") as harness:
            client = harness.connect("i1")
            await client.list_range("")
            await client.watch("", 0, 0.0)
            store.control(harness.endpoint, {"down": True})
            for _ in range(2):
                with pytest.raises(_Unavailable):
                    await client.renew_lease(1)
            counts = store.evidence(harness.endpoint)["counts"]
            assert harness.counts == counts
            assert counts == {"range": 1, "watch": 1, "lease_renew": 2}
            seen: list[str] = []
            other = platform.make_store(
                address="127.0.0.1:1",
                timeout_s=_TIMEOUT_S,
                call_counts=seen.append,
            )
            with pytest.raises(_Unavailable):
                await other.get("k")
            assert seen == ["get"]

    asyncio.run(scenario())


@pytest.mark.parametrize("implementation", _IMPLEMENTATIONS)
def test_unresponsive_store_causes_timeout(implementation: str) -> None:
    """Guards against a call that blocks forever without a response."""

    async def scenario() -> None:
        async with _serve_store(implementation) as harness:
            client = harness.connect("i1")
            store.control(harness.endpoint, {"silent": True})
            start = time.monotonic()
            with pytest.raises(_Unavailable):
                await client.get("k")
            assert _TIMEOUT_S <= time.monotonic() - start < 3 * _TIMEOUT_S
            store.control(harness.endpoint, {"reset": True})
            assert await client.get("k") is None

    asyncio.run(scenario())


def test_delayed_write_takes_effect_after_timeout() -> None:
    """A write whose call timed out may still take effect later."""

    async def scenario() -> None:
        async with _serve_store("http") as harness:
            client = harness.connect("i1")
            store.control(harness.endpoint, {"slow_s": _TIMEOUT_S + 0.1})
            with pytest.raises(_Unavailable):
                await client.write("k", b"1", 0, "w", 0)
            store.control(harness.endpoint, {"reset": True})
            assert await client.get("k") is None
            await asyncio.sleep(0.2)
            assert await client.get("k") == _entry("k", b"1", 1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("body", "status"),
    [
        pytest.param(b"\xff", 400, id="invalid_cbor_crashes_store"),
        pytest.param(b"\x01", 400, id="non_map_crashes_store"),
        pytest.param(b"\xa0", 400, id="missing_field_crashes_store"),
    ],
)
def test_malformed_call_is_rejected(body: bytes, status: int) -> None:
    """Guards against a malformed call that crashes the store."""

    async def scenario() -> None:
        served = store.listen(port=0)
        client = _http.make_client(max_clients=1)
        reply = await _http.fetch(
            client,
            url=f"http://127.0.0.1:{served.port}/v1/get",
            timeout_s=1.0,
            body=body,
        )
        assert reply.status == status
        _http.close(client)
        await _serving.close(served)

    asyncio.run(scenario())
