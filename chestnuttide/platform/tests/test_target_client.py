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

_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
_PARTIAL = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ndone"
_ENDLESS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
)
_LEAVING = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Leaving: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
_TIMEOUT_S = 5.0
_SHORT_TIMEOUT_S = 0.3


@attrs.define(kw_only=True)
class _Peer:
    """A raw server that plays a script and records what arrived.

    Each item of the script is for one connection: a list of what to do with
    the requests on it, in order. The connection is closed after the last.
    """

    script: list[list[bytes | str]]
    address: str = ""
    connections: int = 0
    ids: list[str] = attrs.Factory(list)
    bytes_in: int = 0


async def _serve(
    peer: _Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    actions = peer.script[min(peer.connections, len(peer.script) - 1)]
    peer.connections += 1
    try:
        for action in actions:
            if action == "close_unread":
                # Waits until the request lies in the socket's buffer, so that
                # the close resets the connection.
                await asyncio.sleep(0.05)
                break
            head = await reader.readuntil(b"\r\n\r\n")
            peer.bytes_in += len(head)
            fields = dict(
                line.split(": ", 1)
                for line in head.decode().split("\r\n")[1:]
                if line
            )
            peer.ids.append(fields["X-Request-Id"])
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
async def _playing(
    script: list[list[bytes | str]],
) -> collections.abc.AsyncIterator[tuple[_Peer, platform.Targets]]:
    peer = _Peer(script=script)
    server = await asyncio.start_server(
        lambda reader, writer: _serve(peer, reader, writer), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    peer.address = f"127.0.0.1:{port}"
    async with _connected() as targets:
        yield peer, targets
    server.close()


@contextlib.asynccontextmanager
async def _connected() -> collections.abc.AsyncIterator[platform.Targets]:
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


async def _work(
    targets: platform.Targets,
    address: str,
    request_id: str,
    may_send: collections.abc.Callable[[], bool] = lambda: True,
    payload: bytes = b"{}",
    timeout_s: float = _TIMEOUT_S,
) -> bytes | bool:
    """Return the body of the answer, or whether a failed call was sent."""
    try:
        answer = await targets.work(
            address, request_id, 1, 7, payload, timeout_s, may_send
        )
    except errors.PlatformError as error:
        return error.sent
    return answer.body


# What the requests a, b... one after the other come to, and the ids that the
# peer has read.
_SCRIPTS = [
    pytest.param(
        [["close_after_read"]], [True], ["a"], id="first_request_repeated"
    ),
    pytest.param(
        [[_ANSWER, "close_after_read"], [_ANSWER]],
        [b"done", True],
        ["a", "b"],
        id="request_on_reused_connection_repeated",
    ),
    pytest.param(
        [[_ANSWER, "close_unread"], [_ANSWER]],
        [b"done", True],
        ["a"],
        id="request_on_reset_reused_connection_repeated",
    ),
    pytest.param(
        [["close_unread"], [_ANSWER]],
        [True],
        [],
        id="request_on_reset_connection_called_unsent",
    ),
    pytest.param(
        [[_ANSWER], [_ANSWER]],
        [b"done", b"done"],
        ["a", "b"],
        id="closed_idle_connection_fails_request",
    ),
    pytest.param([[_PARTIAL]], [True], ["a"], id="cut_answer_taken_for_whole"),
    pytest.param(
        [[_ENDLESS]], [True], ["a"], id="cut_chunked_answer_taken_for_whole"
    ),
    pytest.param([["hang"]], [True], ["a"], id="timeout_called_unsent"),
    pytest.param(
        [[_LEAVING], [_ANSWER]],
        [b"", b"done"],
        ["a", "b"],
        id="leaving_answer_breaks_next_request",
    ),
    pytest.param(
        [[b"no http at all"]], [True], ["a"], id="garbage_taken_for_answer"
    ),
]


@pytest.mark.parametrize(("script", "results", "ids"), _SCRIPTS)
def test_sent_state(
    script: list[list[bytes | str]],
    results: list[bytes | bool],
    ids: list[str],
) -> None:
    async def scenario() -> None:
        async with _playing(script) as (peer, targets):
            timeout_s = _SHORT_TIMEOUT_S if ["hang"] in script else _TIMEOUT_S
            for number, expected in enumerate(results):
                result = await _work(
                    targets,
                    peer.address,
                    "ab"[number],
                    timeout_s=timeout_s,
                )
                assert result == expected
                # Lets the close of an idle connection arrive.
                await asyncio.sleep(0.02)
            # Lets a wrong repetition arrive.
            await asyncio.sleep(0.1)
            assert peer.ids == ids

    asyncio.run(scenario())


def test_connection_is_reused_without_delay() -> None:
    """New connections or Nagle's algorithm would slow down every request."""

    async def scenario() -> None:
        async with _playing([[_ANSWER] * 9]) as (peer, _targets):
            client = _http.make_client(max_clients=4)
            targets = platform.make_targets(
                http_client=client, status_client=client
            )
            for number in range(9):
                assert await _work(targets, peer.address, str(number))
            assert peer.connections == 1
            (descriptor,) = client.sockets.values()
            with socket.socket(fileno=os.dup(descriptor)) as used:
                assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            _http.close(client)

    asyncio.run(scenario())


def test_refused_connect_is_unsent() -> None:
    """A request to a dead target could not be retried elsewhere."""

    async def scenario() -> None:
        asked: list[bool] = []
        async with _connected() as targets:
            result = await _work(
                targets, "127.0.0.1:1", "a", lambda: asked.append(True) or True
            )
        assert result is False
        assert not asked

    asyncio.run(scenario())


@pytest.mark.parametrize("reused", [False, True])
def test_withheld_request_sends_no_byte(reused: bool) -> None:
    """A process that lost its shard while paused would still send."""

    async def scenario() -> None:
        async with _playing([[_ANSWER, _ANSWER], []]) as (peer, targets):
            if reused:
                await _work(targets, peer.address, "a")
            before = peer.bytes_in
            result = await _work(targets, peer.address, "b", lambda: False)
            assert result is False
            await asyncio.sleep(0.05)
            assert peer.bytes_in == before
            assert "b" not in peer.ids

    asyncio.run(scenario())


def test_error_in_may_send_withholds() -> None:
    """A fault of the check would let the request through."""

    def fail() -> bool:
        raise ZeroDivisionError

    async def scenario() -> None:
        async with _playing([[_ANSWER]]) as (peer, targets):
            assert await _work(targets, peer.address, "a", fail) is False
            assert not peer.ids

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "request_id",
    [
        pytest.param("a b%20", id="percent_is_decoded_twice"),
        pytest.param("a\r\nX-Epoch: 9", id="line_end_adds_header"),
        pytest.param("Ω/😀", id="id_outside_latin_1_is_refused"),
        pytest.param(" a ", id="spaces_are_stripped"),
    ],
)
def test_request_id_header(request_id: str) -> None:
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
def test_leaving_sign(
    status: int, headers: dict[str, str], leaving: bool
) -> None:
    """A failed request would be run again as if it had been refused."""
    assert _target_wire.is_leaving(status, headers) == leaving


@contextlib.asynccontextmanager
async def _runner() -> collections.abc.AsyncIterator[
    tuple[runner.Endpoint, str, platform.Targets]
]:
    endpoint = runner.make_endpoint("runner-1")
    served = runner.listen(port=0, endpoint=endpoint)
    async with _connected() as targets:
        yield endpoint, f"127.0.0.1:{served.port}", targets
    await _serving.close(served)


@pytest.mark.parametrize(
    ("payload", "status", "size"),
    [
        pytest.param(b"{}", 200, 0, id="empty_answer"),
        pytest.param(b'{"size":3000000}', 200, 3_000_000, id="large_answer"),
        pytest.param(b'{"fail":true,"size":9}', 500, 9, id="failed_answer"),
    ],
)
def test_whole_answer(payload: bytes, status: int, size: int) -> None:
    async def scenario() -> None:
        async with _runner() as (_endpoint, address, targets):
            answer = await targets.work(
                address, "a\n1", 1, 7, payload, 5.0, lambda: True
            )
            assert answer.status == status
            assert answer.content_type == "application/json"
            assert runner.check_answer(answer.body, "a\n1", size) == ""
            assert not answer.leaving

    asyncio.run(scenario())


def test_large_payload_arrives() -> None:
    """A payload beyond the socket's buffer would be cut."""

    async def scenario() -> None:
        payload = b'{"size":5,"text":"' + b"x" * 3_000_000 + b'"}'
        async with _runner() as (_endpoint, address, targets):
            body = await _work(targets, address, "a", payload=payload)
            assert runner.check_answer(body, "a", 5) == ""

    asyncio.run(scenario())


def test_leaving_target() -> None:
    async def scenario() -> None:
        async with _runner() as (endpoint, address, targets):
            runner.control(endpoint, {"leaving": True})
            answer = await targets.work(
                address, "a", 1, 7, b"{}", 1.0, lambda: True
            )
            assert answer.leaving
            assert endpoint.state.runs == 0

    asyncio.run(scenario())


def test_connections_stay_within_bounds() -> None:
    """A burst above the slots would use up the target's connections."""

    async def scenario() -> None:
        async with _runner() as (endpoint, address, targets):
            payload = b'{"run_ms":20}'
            bodies = await asyncio.gather(
                *(
                    _work(targets, address, f"r{n}", payload=payload)
                    for n in range(40)
                )
            )
            for number, body in enumerate(bodies):
                assert runner.check_answer(body, f"r{number}", 0) == ""
            assert await targets.busy_slots(address, runner.STATUS_PATH) == 0
            limit = _target_client.MAX_TARGET_CONNECTIONS
            assert endpoint.state.peak_busy == limit
            assert endpoint.state.peak_connections <= limit + 1
            assert endpoint.state.slot_overruns == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ["withdrawn", "cancelled"])
def test_request_waiting_for_connection(end: str) -> None:
    """A request that was taken back while it waited would still run."""

    async def scenario() -> None:
        async with _runner() as (endpoint, address, targets):
            allowed = [True]
            limit = _target_client.MAX_TARGET_CONNECTIONS
            first = [
                asyncio.create_task(
                    _work(targets, address, f"r{n}", payload=b'{"run_ms":100}')
                )
                for n in range(limit)
            ]
            await asyncio.sleep(0.03)
            waiting = asyncio.create_task(
                _work(targets, address, "late", lambda: allowed[0])
            )
            await asyncio.sleep(0.03)
            if end == "withdrawn":
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
        pytest.param("/v1/none", None, id="error_status_taken_for_slots"),
    ],
)
def test_busy_slots(path: str, result: int | None) -> None:
    async def scenario() -> None:
        async with _runner() as (_endpoint, address, targets):
            running = [
                asyncio.create_task(
                    _work(targets, address, f"r{n}", payload=b'{"run_ms":80}')
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
def test_malformed_status(body: bytes) -> None:
    """A wrong number would be taken for free slots."""
    with pytest.raises(errors.ProtocolError):
        _target_wire.decode_busy(body)


def test_expired_deadline_sends_nothing() -> None:
    """libcurl takes a timeout of 0 for none at all."""

    async def scenario() -> None:
        async with _playing([[_ANSWER]]) as (peer, targets):
            for timeout_s in (0.0, -1.0):
                result: typing.Any = await _work(
                    targets, peer.address, "a", timeout_s=timeout_s
                )
                assert result is False
            assert peer.connections == 0

    asyncio.run(scenario())


def test_no_request_is_sent_twice_under_faults() -> None:
    """A lost answer would be retried, or a run called unsent."""
    rng = random.Random(5)
    requests, callers = 600, 12
    results: dict[str, bytes | bool] = {}

    async def scenario() -> None:
        async with _runner() as (endpoint, address, targets):
            runner.control(
                endpoint, {"close_idle": True, "close_after_read": 0.2}
            )
            waiting = iter(range(requests))

            async def call() -> None:
                for number in waiting:
                    name = f"r{number}"
                    results[name] = await _work(
                        targets,
                        address,
                        name,
                        lambda: rng.random() < 0.8,
                        payload=b'{"run_ms":1,"size":50}',
                    )
                    await asyncio.sleep(rng.random() * 0.02)

            await asyncio.gather(*(call() for _ in range(callers)))
            seen = endpoint.state.seen
        kinds = {"answered": 0, "unknown": 0, "unsent": 0}
        for name, result in results.items():
            if isinstance(result, bytes):
                kinds["answered"] += 1
                assert runner.check_answer(result, name, 50) == ""
                assert seen[name] == 1
            elif result:
                kinds["unknown"] += 1
                assert seen[name] <= 1
            else:
                kinds["unsent"] += 1
                assert seen[name] == 0
        assert sum(kinds.values()) == requests
        assert all(count > requests / 20 for count in kinds.values()), kinds
        # A fifth of those that were sent lose their answer; a few more may
        # lose a race with the close of their connection.
        assert kinds["unknown"] < requests / 4, kinds

    asyncio.run(scenario())
