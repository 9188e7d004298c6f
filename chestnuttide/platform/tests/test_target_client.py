import asyncio
import collections.abc
import contextlib
import os
import random
import socket
import typing

import attrs
import pytest

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _http
from chestnuttide.platform import _target_client
from chestnuttide.platform import _target_wire
from standins import _serving
from standins import runner

_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
_TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ndone"
_TRUNCATED_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
)
_LEAVING = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Leaving: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
_TIMEOUT_S = 5.0
_SHORT_TIMEOUT_S = 0.3


@attrs.define(kw_only=True)
class _ScriptedServer:
    """A raw TCP server that follows a script and records its requests.

    Each item of the script lists the actions for the successive requests on
    one connection, which is closed after the last action.
    """

    script: list[list[bytes | str]]
    address: str = ""
    connections: int = 0
    ids: list[str] = attrs.Factory(list)
    bytes_in: int = 0


async def _serve(
    server: _ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    actions = server.script[min(server.connections, len(server.script) - 1)]
    server.connections += 1
    try:
        for action in actions:
            if action == "close_unread":
                # Waits until the request is in the socket's receive buffer, so
                # that closing the socket resets the connection.
                await asyncio.sleep(0.05)
                break
            head = await reader.readuntil(b"\r\n\r\n")
            server.bytes_in += len(head)
            fields = dict(
                line.split(": ", 1)
                for line in head.decode().split("\r\n")[1:]
                if line
            )
            server.ids.append(fields["X-Request-Id"])
            await reader.readexactly(int(fields["Content-Length"]))
            if action == "hang":
                await asyncio.sleep(2 * _SHORT_TIMEOUT_S)
            elif isinstance(action, bytes):
                writer.write(action)
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()


@contextlib.asynccontextmanager
async def _run_script(
    script: list[list[bytes | str]],
) -> collections.abc.AsyncIterator[tuple[_ScriptedServer, platform.Targets]]:
    server = _ScriptedServer(script=script)
    listener = await asyncio.start_server(
        lambda reader, writer: _serve(server, reader, writer), "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
    server.address = f"127.0.0.1:{port}"
    async with _make_targets() as targets:
        yield server, targets
    listener.close()


@contextlib.asynccontextmanager
async def _make_targets() -> collections.abc.AsyncIterator[platform.Targets]:
    work = _http.make_client(
        max_clients=64,
        max_host_connections=_target_client.MAX_TARGET_CONNECTIONS,
    )
    status = _http.make_client(max_clients=4)
    try:
        yield platform.make_targets(http_client=work, status_client=status)
    finally:
        _http.close(work)
        _http.close(status)


async def _send(
    targets: platform.Targets,
    address: str,
    request_id: str,
    may_send: collections.abc.Callable[[], bool] = lambda: True,
    payload: bytes = b"{}",
    timeout_s: float = _TIMEOUT_S,
) -> bytes | bool:
    """Return the response body, or whether a failed request was sent."""
    try:
        response = await targets.work(
            address, request_id, 1, 7, payload, timeout_s, may_send
        )
    except errors.PlatformError as error:
        return error.sent
    return response.body


# Each case: the script, the results of the successive requests a, b, and the
# request ids that the server must have read.
_SCRIPTS = [
    pytest.param(
        [["close_after_read"]], [True], ["a"], id="first_request_repeated"
    ),
    pytest.param(
        [[_RESPONSE, "close_after_read"], [_RESPONSE]],
        [b"done", True],
        ["a", "b"],
        id="request_on_reused_connection_repeated",
    ),
    pytest.param(
        [[_RESPONSE, "close_unread"], [_RESPONSE]],
        [b"done", True],
        ["a"],
        id="request_on_reset_reused_connection_repeated",
    ),
    pytest.param(
        [["close_unread"], [_RESPONSE]],
        [True],
        [],
        id="request_on_reset_connection_reported_unsent",
    ),
    pytest.param(
        [[_RESPONSE], [_RESPONSE]],
        [b"done", b"done"],
        ["a", "b"],
        id="closed_idle_connection_fails_request",
    ),
    pytest.param(
        [[_TRUNCATED]], [True], ["a"], id="truncated_response_accepted"
    ),
    pytest.param(
        [[_TRUNCATED_CHUNKED]],
        [True],
        ["a"],
        id="truncated_chunked_response_accepted",
    ),
    pytest.param([["hang"]], [True], ["a"], id="timeout_reported_as_unsent"),
    pytest.param(
        [[_LEAVING], [_RESPONSE]],
        [b"", b"done"],
        ["a", "b"],
        id="leaving_response_breaks_next_request",
    ),
    pytest.param(
        [[b"no http at all"]], [True], ["a"], id="invalid_response_accepted"
    ),
]


@pytest.mark.parametrize(("script", "results", "ids"), _SCRIPTS)
def test_failed_request_reports_whether_sent(
    script: list[list[bytes | str]],
    results: list[bytes | bool],
    ids: list[str],
) -> None:
    """Guards against resent requests and a wrong `sent` after a failure."""

    async def scenario() -> None:
        async with _run_script(script) as (server, targets):
            timeout_s = _SHORT_TIMEOUT_S if ["hang"] in script else _TIMEOUT_S
            for number, expected in enumerate(results):
                result = await _send(
                    targets,
                    server.address,
                    "ab"[number],
                    timeout_s=timeout_s,
                )
                assert result == expected
                # Allows the close of an idle connection to arrive.
                await asyncio.sleep(0.02)
            # Allows an erroneous resend to arrive.
            await asyncio.sleep(0.1)
            assert server.ids == ids

    asyncio.run(scenario())


def test_connection_is_reused_without_delay() -> None:
    """Guards against requests slowed by new connections or by Nagle."""

    async def scenario() -> None:
        async with _run_script([[_RESPONSE] * 9]) as (server, _targets):
            client = _http.make_client(max_clients=4)
            targets = platform.make_targets(
                http_client=client, status_client=client
            )
            for number in range(9):
                assert await _send(targets, server.address, str(number))
            assert server.connections == 1
            (descriptor,) = client.sockets.values()
            with socket.socket(fileno=os.dup(descriptor)) as used:
                assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            _http.close(client)

    asyncio.run(scenario())


def test_refused_connection_reports_unsent() -> None:
    """Guards against a refused request that cannot be retried elsewhere."""

    async def scenario() -> None:
        checks: list[bool] = []
        async with _make_targets() as targets:
            result = await _send(
                targets,
                "127.0.0.1:1",
                "a",
                lambda: checks.append(True) or True,
            )
        assert result is False
        assert not checks

    asyncio.run(scenario())


@pytest.mark.parametrize("reused", [False, True])
def test_withheld_request_sends_no_byte(reused: bool) -> None:
    """Guards against sends by a process that lost its shard while paused."""

    async def scenario() -> None:
        async with _run_script([[_RESPONSE, _RESPONSE], []]) as (
            server,
            targets,
        ):
            if reused:
                await _send(targets, server.address, "a")
            before = server.bytes_in
            result = await _send(targets, server.address, "b", lambda: False)
            assert result is False
            await asyncio.sleep(0.05)
            assert server.bytes_in == before
            assert "b" not in server.ids

    asyncio.run(scenario())


def test_error_in_may_send_withholds_request() -> None:
    """Guards against a failing check that permits the request."""

    def fail() -> bool:
        raise ZeroDivisionError

    async def scenario() -> None:
        async with _run_script([[_RESPONSE]]) as (server, targets):
            assert await _send(targets, server.address, "a", fail) is False
            assert not server.ids

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "request_id",
    [
        pytest.param("a b%20", id="percent_decoded_twice"),
        pytest.param("a\r\nX-Epoch: 9", id="line_break_adds_header"),
        pytest.param("Ω/😀", id="id_outside_latin_1_rejected"),
        pytest.param(" a ", id="outer_spaces_stripped"),
    ],
)
def test_request_id_header(request_id: str) -> None:
    """Guards against header injection, double decoding and lost spaces."""
    headers = _target_wire.encode_headers(request_id, 1, 2)
    header = headers[_target_wire.REQUEST_ID_HEADER]
    assert header.isascii() and header.isprintable()
    assert header == header.strip()
    assert _target_wire.decode_request_id(header) == request_id


@pytest.mark.parametrize(
    ("status", "headers", "leaving"),
    [
        (503, {"X-Leaving": "1", "Connection": "close"}, True),
        (503, {"X-Leaving": "1", "Connection": "Close"}, True),
        (503, {"X-Leaving": "1"}, False),
        (503, {"Connection": "close"}, False),
        (500, {"X-Leaving": "1", "Connection": "close"}, False),
    ],
)
def test_is_leaving(
    status: int, headers: dict[str, str], leaving: bool
) -> None:
    """Guards against retrying a failed request as if it had not run."""
    assert _target_wire.is_leaving(status, headers) == leaving


@contextlib.asynccontextmanager
async def _serve_runner() -> collections.abc.AsyncIterator[
    tuple[runner.Endpoint, str, platform.Targets]
]:
    endpoint = runner.make_endpoint("runner-1")
    served = runner.listen(port=0, endpoint=endpoint)
    async with _make_targets() as targets:
        yield endpoint, f"127.0.0.1:{served.port}", targets
    await _serving.close(served)


@pytest.mark.parametrize(
    ("payload", "status", "size"),
    [
        pytest.param(b"{}", 200, 0, id="empty_response"),
        pytest.param(b'{"size":3000000}', 200, 3_000_000, id="large_response"),
        pytest.param(b'{"fail":true,"size":9}', 500, 9, id="error_response"),
    ],
)
def test_complete_response(payload: bytes, status: int, size: int) -> None:
    async def scenario() -> None:
        async with _serve_runner() as (_endpoint, address, targets):
            response = await targets.work(
                address, "a\n1", 1, 7, payload, 5.0, lambda: True
            )
            assert response.status == status
            assert response.content_type == "application/json"
            assert runner.check_response(response.body, "a\n1", size) == ""
            assert not response.leaving

    asyncio.run(scenario())


def test_large_payload_arrives() -> None:
    """Guards against truncating a payload larger than the socket buffer."""

    async def scenario() -> None:
        payload = b'{"size":5,"text":"' + b"x" * 3_000_000 + b'"}'
        async with _serve_runner() as (_endpoint, address, targets):
            body = await _send(targets, address, "a", payload=payload)
            assert runner.check_response(body, "a", 5) == ""

    asyncio.run(scenario())


def test_leaving_target_runs_nothing() -> None:
    async def scenario() -> None:
        async with _serve_runner() as (endpoint, address, targets):
            runner.control(endpoint, {"leaving": True})
            response = await targets.work(
                address, "a", 1, 7, b"{}", 1.0, lambda: True
            )
            assert response.leaving
            assert endpoint.state.runs == 0

    asyncio.run(scenario())


def test_connections_stay_within_limit() -> None:
    """Guards against a burst that uses up the target's connections."""

    async def scenario() -> None:
        async with _serve_runner() as (endpoint, address, targets):
            payload = b'{"run_ms":20}'
            bodies = await asyncio.gather(
                *(
                    _send(targets, address, f"r{n}", payload=payload)
                    for n in range(40)
                )
            )
            for number, body in enumerate(bodies):
                assert runner.check_response(body, f"r{number}", 0) == ""
            assert await targets.busy_slots(address, runner.STATUS_PATH) == 0
            limit = _target_client.MAX_TARGET_CONNECTIONS
            assert endpoint.state.peak_busy == limit
            assert endpoint.state.peak_connections <= limit + 1
            assert endpoint.state.slot_overruns == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("action", ["withdraw", "cancel"])
def test_request_withdrawn_while_queued(action: str) -> None:
    """Guards against running a request withdrawn while it was queued."""

    async def scenario() -> None:
        async with _serve_runner() as (endpoint, address, targets):
            allowed = [True]
            limit = _target_client.MAX_TARGET_CONNECTIONS
            first = [
                asyncio.create_task(
                    _send(targets, address, f"r{n}", payload=b'{"run_ms":100}')
                )
                for n in range(limit)
            ]
            await asyncio.sleep(0.03)
            waiting = asyncio.create_task(
                _send(targets, address, "late", lambda: allowed[0])
            )
            await asyncio.sleep(0.03)
            if action == "withdraw":
                allowed[0] = False
                assert await waiting is False
            else:
                waiting.cancel()
            await asyncio.gather(*first)
            await asyncio.sleep(0.05)
            assert "late" not in endpoint.state.seen
            assert endpoint.state.runs == limit

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "result"),
    [
        pytest.param(runner.STATUS_PATH, 2, id="busy_slots_miscounted"),
        pytest.param("/v1/none", None, id="error_status_read_as_slots"),
    ],
)
def test_busy_slots(path: str, result: int | None) -> None:
    """Guards against miscounted slots and an error read as a count."""

    async def scenario() -> None:
        async with _serve_runner() as (_endpoint, address, targets):
            running = [
                asyncio.create_task(
                    _send(targets, address, f"r{n}", payload=b'{"run_ms":80}')
                )
                for n in range(2)
            ]
            await asyncio.sleep(0.03)
            if result is None:
                with pytest.raises(errors.PlatformError):
                    await targets.busy_slots(address, path)
            else:
                assert await targets.busy_slots(address, path) == result
            await asyncio.gather(*running)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"busy":true}', b'{"busy":-1}', b'{"busy":"1"}'],
)
def test_malformed_status_is_rejected(body: bytes) -> None:
    """Guards against a malformed status that is read as free slots."""
    with pytest.raises(errors.ProtocolError):
        _target_wire.decode_busy(body)


def test_expired_deadline_sends_nothing() -> None:
    """libcurl treats a timeout of 0 as no timeout."""

    async def scenario() -> None:
        async with _run_script([[_RESPONSE]]) as (server, targets):
            for timeout_s in (0.0, -1.0):
                result: typing.Any = await _send(
                    targets, server.address, "a", timeout_s=timeout_s
                )
                assert result is False
            assert server.connections == 0

    asyncio.run(scenario())


def test_no_request_is_sent_twice_under_faults() -> None:
    """Guards against retrying after a lost response or reporting it unsent."""
    rng = random.Random(5)
    requests, callers = 600, 12
    results: dict[str, bytes | bool] = {}

    async def scenario() -> None:
        async with _serve_runner() as (endpoint, address, targets):
            runner.control(
                endpoint, {"close_idle": True, "close_after_read": 0.2}
            )
            waiting = iter(range(requests))

            async def call() -> None:
                for number in waiting:
                    name = f"r{number}"
                    results[name] = await _send(
                        targets,
                        address,
                        name,
                        lambda: rng.random() < 0.8,
                        payload=b'{"run_ms":1,"size":50}',
                    )
                    await asyncio.sleep(rng.random() * 0.02)

            await asyncio.gather(*(call() for _ in range(callers)))
            seen = endpoint.state.seen
        counts = {"answered": 0, "unknown": 0, "unsent": 0}
        for name, result in results.items():
            if isinstance(result, bytes):
                counts["answered"] += 1
                assert runner.check_response(result, name, 50) == ""
                assert seen[name] == 1
            elif result:
                counts["unknown"] += 1
                assert seen[name] <= 1
            else:
                counts["unsent"] += 1
                assert seen[name] == 0
        assert sum(counts.values()) == requests
        assert all(count > requests / 20 for count in counts.values()), counts
        # A fifth of the sent requests lose their response. A few more may fail
        # because their connection is closed at the same time.
        assert counts["unknown"] < requests / 4, counts

    asyncio.run(scenario())
