import asyncio
import random

import pytest

from chestnuttide import errors
from chestnuttide import mesh

_WAIT_TIMEOUT_S = 5.0


def _make_network(
    name: str, received: list[object], limits: mesh.Limits | None = None
) -> mesh.Network:
    return mesh.Network(
        hello=mesh.Hello(
            sender=name, kind="scheduler", incarnation="1", data_centre="d"
        ),
        codec=mesh.make_codec(mesh.MESSAGE_CLASSES),
        limits=limits or mesh.Limits(),
        on_message=lambda connection, message: received.append(message),
        on_connected=lambda connection: None,
        on_disconnected=lambda connection: None,
        rng=random.Random(1),
    )


async def _wait_until(condition: object) -> None:
    async with asyncio.timeout(_WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_messages_arrive_once_and_in_order() -> None:
    """Guards against lost, duplicated or reordered messages."""

    async def scenario() -> list[object]:
        received: list[object] = []
        server = _make_network("a", received)
        client = _make_network("b", [])
        port = await mesh.listen(server, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _wait_until(lambda: mesh.schedulers(client))
        for version in range(1000):
            mesh.send(
                mesh.schedulers(client)[0],
                mesh.Heartbeat(config_version=version),
            )
        await _wait_until(lambda: len(received) >= 1000)
        await mesh.close(client)
        await mesh.close(server)
        return received

    received = asyncio.run(scenario())
    assert [each.config_version for each in received] == list(range(1000))


def test_restarted_peer_is_redialled() -> None:
    """Guards against a restarted peer that stays disconnected."""

    async def scenario() -> None:
        client = _make_network("b", [])
        first = _make_network("a", [])
        port = await mesh.listen(first, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _wait_until(lambda: mesh.schedulers(client))
        await mesh.close(first)
        await _wait_until(lambda: not mesh.schedulers(client))
        second = _make_network("a", [])
        await mesh.listen(second, ip="127.0.0.1", port=port)
        await _wait_until(lambda: mesh.schedulers(client))
        await mesh.close(client)
        await mesh.close(second)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "limits",
    [
        pytest.param(
            mesh.Limits(queue_messages=2), id="message_count_is_not_limited"
        ),
        pytest.param(
            mesh.Limits(queue_bytes=25), id="payload_bytes_are_not_limited"
        ),
    ],
)
def test_full_queue_refuses_messages(limits: mesh.Limits) -> None:
    """Guards against a send queue that grows beyond its limits."""

    async def scenario() -> int:
        server = _make_network("a", [])
        client = _make_network("b", [], limits)
        port = await mesh.listen(server, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _wait_until(lambda: mesh.schedulers(client))
        reply = mesh.Reply(call_id=1, status=200, reason="", body=b"x" * 10)
        with pytest.raises(errors.MeshError):
            for _ in range(3):
                mesh.send(mesh.schedulers(client)[0], reply)
        refused = client.traffic.queue_full
        await mesh.close(client)
        await mesh.close(server)
        return refused

    assert asyncio.run(scenario()) == 1


@pytest.mark.parametrize(
    ("replies", "unmatched"),
    [
        pytest.param([1], 0, id="reply_is_lost"),
        pytest.param([1, 1], 1, id="duplicate_reply_is_accepted"),
        pytest.param([2, 1], 1, id="reply_to_another_call_is_accepted"),
    ],
)
def test_replies_are_matched_to_calls(
    replies: list[int], unmatched: int
) -> None:
    """Guards against lost replies and replies that complete a wrong call."""

    async def scenario() -> None:
        calls = mesh.Calls()
        connection = object()
        call_id, future = mesh.open_call(calls, connection)
        assert call_id == 1
        for number in replies:
            reply = mesh.Reply(call_id=number, status=200, reason="", body=b"")
            mesh.resolve(calls, connection, reply)
        assert (await future).call_id == 1
        assert calls.unmatched == unmatched

    asyncio.run(scenario())
