import asyncio
import collections.abc
import contextlib
import time
import typing

import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import platform
from chestnuttide.platform import _http
from chestnuttide.platform import _worker_agent_wire
from standins import _serving
from standins import worker_agent

_TIMEOUT_S = 0.3
_CAPACITY = model.Resources(cpu_millis=1000, memory_mb=100)
_HALF_CPU = model.Resources(cpu_millis=500, memory_mb=10)


@contextlib.asynccontextmanager
async def _serve_agent() -> collections.abc.AsyncIterator[
    tuple[worker_agent.Endpoint, str, platform.WorkerAgent]
]:
    endpoint = worker_agent.make_endpoint("worker-1", _CAPACITY)
    served = worker_agent.listen(port=0, endpoint=endpoint)
    client = _http.make_client(max_clients=16)
    agent = platform.make_worker_agent(
        timeout_s=_TIMEOUT_S, sync_client=client, command_client=client
    )
    try:
        yield endpoint, f"127.0.0.1:{served.port}", agent
    finally:
        _http.close(client)
        await _serving.close(served)


def _make_start(number: int = 1, payload: bytes = b"{}") -> platform.TaskStart:
    return platform.TaskStart(
        attempt=model.Attempt(job_id="j/Ω", index=0, number=number),
        resources=_HALF_CPU,
        payload=payload,
    )


async def _start(
    agent: platform.WorkerAgent,
    address: str,
    *tasks: platform.TaskStart,
    epoch: int = 1,
) -> list[str]:
    results = await agent.start(address, epoch, 10.0, tasks)
    assert [result.attempt for result in results] == [
        task.attempt for task in tasks
    ]
    return [result.outcome for result in results]


def test_calls() -> None:
    """Guards against a client and an agent with different wire formats."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            tasks = [
                _make_start(),
                _make_start(),
                _make_start(2),
                _make_start(3),
            ]
            assert await _start(agent, address, *tasks) == [
                "started",
                "running",
                "started",
                "no_capacity",
            ]
            await agent.throttle(address, 1, [_make_start(2).attempt], 0.5)
            assert endpoint.state.running[_make_start(2).attempt].share == 0.5
            await agent.stop(address, 1, [_make_start().attempt], True)
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert result.sequence == 1
            states = {
                report.attempt.number: (report.state, report.resources)
                for report in result.reports
            }
            assert states == {
                1: (model.TaskState.STOPPED, _HALF_CPU),
                2: (model.TaskState.RUNNING, _HALF_CPU),
            }
            result = await agent.sync(
                address, 1, 10.0, [_make_start().attempt], 0.0, 1
            )
            assert len(result.reports) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("switches", "error", "started"),
    [
        pytest.param(
            {"drop_answers": 1},
            errors.PlatformError,
            True,
            id="start_with_lost_answer_has_no_effect",
        ),
        pytest.param(
            {"refuse": True},
            errors.PlatformError,
            False,
            id="refused_start_takes_effect",
        ),
        pytest.param(
            {"partition": True},
            errors.PlatformError,
            False,
            id="start_in_partition_takes_effect",
        ),
        pytest.param(
            {"delay_s": 0.05}, None, True, id="slow_start_within_timeout_fails"
        ),
        pytest.param(
            {"drop_answers": 1, "drop_kinds": ["stop"]},
            None,
            True,
            id="lost_answer_affects_other_kind",
        ),
    ],
)
def test_start_under_faults(
    switches: dict[str, typing.Any],
    error: type[Exception] | None,
    started: bool,
) -> None:
    """Guards against a wrong effect of a start whose call failed."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            worker_agent.control(endpoint, switches)
            if error is None:
                assert await _start(agent, address, _make_start()) == [
                    "started"
                ]
            else:
                with pytest.raises(error) as caught:
                    await _start(agent, address, _make_start())
                assert caught.value.sent
            worker_agent.control(endpoint, {"reset": True})
            assert await _start(agent, address, _make_start()) == [
                "running" if started else "started"
            ]
            assert len(worker_agent.evidence(endpoint)["history"]) == 1

    asyncio.run(scenario())


def test_delayed_start_takes_effect_after_timeout() -> None:
    """A start whose call timed out may still take effect later."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            worker_agent.control(endpoint, {"delay_s": _TIMEOUT_S + 0.1})
            with pytest.raises(errors.PlatformError):
                await _start(agent, address, _make_start())
            assert not endpoint.state.running
            await asyncio.sleep(0.2)
            assert list(endpoint.state.running) == [_make_start().attempt]

    asyncio.run(scenario())


def test_fail_all_and_kill_all() -> None:
    """Guards against failures that go unreported and prevent ejection."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            worker_agent.control(endpoint, {"fail_all": True})
            await _start(agent, address, _make_start())
            result = await agent.sync(address, 1, 10.0, [], 1.0, 0)
            assert result.reports[0].state == model.TaskState.FAILED
            worker_agent.control(endpoint, {"reset": True})
            await _start(agent, address, _make_start(2))
            worker_agent.control(endpoint, {"kill_all": True})
            result = await agent.sync(address, 1, 10.0, [], 1.0, 1)
            assert [report.state for report in result.reports] == [
                model.TaskState.FAILED,
                model.TaskState.FAILED,
            ]

    asyncio.run(scenario())


@pytest.mark.parametrize("call", ["start", "sync", "stop", "throttle"])
def test_stale_epoch_is_rejected(call: str) -> None:
    """Guards against a deposed owner that still controls the worker."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            attempt = _make_start().attempt
            assert await _start(agent, address, _make_start(), epoch=5)
            arguments = {
                "start": (4, 10.0, [_make_start(2)]),
                "sync": (4, 99.0, [], 0.0, 0),
                "stop": (4, [attempt], False),
                "throttle": (4, [attempt], 0.1),
            }[call]
            lease_expires_s = endpoint.state.running[attempt].lease_expires_s
            with pytest.raises(errors.DeposedError):
                await getattr(agent, call)(address, *arguments)
            run = endpoint.state.running[attempt]
            assert list(endpoint.state.running) == [attempt]
            assert (run.share, run.lease_expires_s) == (1.0, lease_expires_s)
            assert endpoint.state.stale_calls == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("action", "limits"),
    [
        pytest.param(
            "complete", (0.1, 0.35), id="completion_does_not_wake_sync"
        ),
        pytest.param("none", (0.6, 0.85), id="sync_ends_without_event"),
        pytest.param("depose", (0.1, 0.35), id="old_sync_survives_new_epoch"),
    ],
)
def test_waiting_sync(action: str, limits: tuple[float, float]) -> None:
    """Guards against a sync that misses its wake-up or ends too early."""

    async def scenario() -> None:
        async with _serve_agent() as (_endpoint, address, agent):
            payload = b'{"run_s":0.1}' if action == "complete" else b"{}"
            await _start(agent, address, _make_start(payload=payload))
            started_at = time.monotonic()
            waiting = asyncio.create_task(
                agent.sync(address, 1, 10.0, [], 0.6, 0)
            )
            await asyncio.sleep(0.1)
            if action == "depose":
                await agent.sync(address, 2, 10.0, [], 0.0, 0)
                with pytest.raises(errors.DeposedError):
                    await waiting
            else:
                result = await waiting
                assert result.sequence == (1 if action == "complete" else 0)
            assert limits[0] <= time.monotonic() - started_at < limits[1]

    asyncio.run(scenario())


def test_lease_expires_without_calls() -> None:
    """Guards against tasks that run forever on an unreachable worker."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            await agent.start(address, 1, 0.1, [_make_start()])
            await asyncio.sleep(0.2)
            assert not endpoint.state.running
            (record,) = endpoint.state.history
            assert record["state"] == model.TaskState.LAPSED
            # Current Unix times as floats have a resolution of 0.24 us.
            lease_s = record["end"] - record["start"]
            assert lease_s == pytest.approx(0.1, abs=1e-6)
            assert abs(record["end"] - time.time()) < 1.0

    asyncio.run(scenario())


def test_partition_leaves_sync_waiting() -> None:
    """Guards against a partition that ends calls at once, like a crash."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            await _start(agent, address, _make_start(payload=b'{"run_s":0.1}'))
            waiting = asyncio.create_task(
                agent.sync(address, 1, 10.0, [], 0.2, 0)
            )
            await asyncio.sleep(0.05)
            worker_agent.control(endpoint, {"partition": True})
            started_at = time.monotonic()
            with pytest.raises(errors.PlatformError):
                await waiting
            assert time.monotonic() - started_at >= _TIMEOUT_S
            worker_agent.control(endpoint, {"reset": True})
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert result.reports[0].state == model.TaskState.SUCCEEDED

    asyncio.run(scenario())


def test_restarted_worker_answers_immediately() -> None:
    """Guards against waiting on a sequence number from before a restart."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            await _start(agent, address, _make_start())
            worker_agent.control(endpoint, {"restart": True})
            result = await agent.sync(address, 1, 10.0, [], 5.0, 7)
            assert (result.sequence, result.reports) == (0, ())

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("decode", "body"),
    [
        (_worker_agent_wire.decode_start, b'{"epoch":1,"lease_s":1}'),
        (_worker_agent_wire.decode_start, b'{"epoch":"x"}'),
        (
            _worker_agent_wire.decode_start,
            b'{"epoch":1,"lease_s":1,"tasks":[{"job_id":"j"}]}',
        ),
        (_worker_agent_wire.decode_sync, b"[]"),
        (_worker_agent_wire.decode_stop, b'{"epoch":1}'),
        (_worker_agent_wire.decode_outcomes, b'{"results":[{}]}'),
        (_worker_agent_wire.decode_outcomes, b'{"results":3}'),
        (_worker_agent_wire.decode_sync_result, b'{"sequence":1}'),
        (
            _worker_agent_wire.decode_sync_result,
            b'{"sequence":1,"reports":[{"attempt":{},"state":"odd"}]}',
        ),
    ],
)
def test_malformed_message_is_rejected(
    decode: collections.abc.Callable[[bytes], object], body: bytes
) -> None:
    """Guards against other errors, which would end the reading task."""
    with pytest.raises(errors.ProtocolError):
        decode(body)


@pytest.mark.parametrize("payload", [b'{"run_s":"x"}', b"[]", b"7"])
def test_task_with_invalid_payload_fails(payload: bytes) -> None:
    """Guards against an invalid payload that blocks other tasks of a call."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            tasks = [_make_start(payload=payload), _make_start(2)]
            assert await _start(agent, address, *tasks) == [
                "started",
                "started",
            ]
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert {
                report.attempt.number: report.state
                for report in result.reports
            } == {1: model.TaskState.FAILED, 2: model.TaskState.RUNNING}
            assert endpoint.state.used == _HALF_CPU

    asyncio.run(scenario())


def test_payload_that_is_not_json_is_not_sent() -> None:
    """Guards against a start call that no worker can decode."""

    async def scenario() -> None:
        async with _serve_agent() as (endpoint, address, agent):
            with pytest.raises(ValueError):
                await _start(agent, address, _make_start(payload=b"{"))
            assert not endpoint.counts

    asyncio.run(scenario())
