import asyncio
import random

import pytest

from chestnuttide import errors
from chestnuttide import mesh

_DEADLINE_S = 5.0


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


async def _until(condition: object) -> None:
    async with asyncio.timeout(_DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_messages_arrive_once_and_in_order() -> None:
    async def scenario() -> list[object]:
        received: list[object] = []
        server = _make_network("a", received)
        client = _make_network("b", [])
        port = await mesh.listen(server, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _until(lambda: mesh.schedulers(client))
        for version in range(1000):
            mesh.send(
                mesh.schedulers(client)[0],
                mesh.Heartbeat(config_version=version),
            )
        await _until(lambda: len(received) >= 1000)
        await mesh.close(client)
        await mesh.close(server)
        return received

    received = asyncio.run(scenario())
    assert [each.config_version for each in received] == list(range(1000))


def test_peer_is_dialled_again_after_its_restart() -> None:
    async def scenario() -> None:
        client = _make_network("b", [])
        first = _make_network("a", [])
        port = await mesh.listen(first, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _until(lambda: mesh.schedulers(client))
        await mesh.close(first)
        await _until(lambda: not mesh.schedulers(client))
        second = _make_network("a", [])
        await mesh.listen(second, ip="127.0.0.1", port=port)
        await _until(lambda: mesh.schedulers(client))
        await mesh.close(client)
        await mesh.close(second)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "limits",
    [
        pytest.param(
            mesh.Limits(queue_messages=2), id="unbounded_message_count"
        ),
        pytest.param(mesh.Limits(queue_bytes=25), id="unbounded_bytes"),
    ],
)
def test_full_queue_refuses(limits: mesh.Limits) -> None:
    async def scenario() -> int:
        server = _make_network("a", [])
        client = _make_network("b", [], limits)
        port = await mesh.listen(server, ip="127.0.0.1", port=0)
        mesh.set_addresses(client, [f"127.0.0.1:{port}"])
        await _until(lambda: mesh.schedulers(client))
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
        pytest.param([1, 1], 1, id="doubled_reply_is_taken_twice"),
        pytest.param([2, 1], 1, id="foreign_reply_is_taken"),
    ],
)
def test_replies_are_matched(replies: list[int], unmatched: int) -> None:
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
