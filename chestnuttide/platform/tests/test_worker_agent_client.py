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
_HALF = model.Resources(cpu_millis=500, memory_mb=10)


@contextlib.asynccontextmanager
async def _opened() -> collections.abc.AsyncIterator[
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


def _task(number: int = 1, payload: bytes = b"{}") -> platform.TaskStart:
    return platform.TaskStart(
        attempt=model.Attempt(job_id="j/Ω", index=0, number=number),
        resources=_HALF,
        payload=payload,
    )


async def _outcomes(
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
    """The client and the agent would disagree on the wire format."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            tasks = [_task(), _task(), _task(2), _task(3)]
            assert await _outcomes(agent, address, *tasks) == [
                "started",
                "running",
                "started",
                "no_capacity",
            ]
            await agent.throttle(address, 1, [_task(2).attempt], 0.5)
            assert endpoint.state.running[_task(2).attempt].share == 0.5
            await agent.stop(address, 1, [_task().attempt], True)
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert result.sequence == 1
            states = {
                report.attempt.number: (report.state, report.resources)
                for report in result.reports
            }
            assert states == {
                1: (model.TaskState.STOPPED, _HALF),
                2: (model.TaskState.RUNNING, _HALF),
            }
            result = await agent.sync(
                address, 1, 10.0, [_task().attempt], 0.0, 1
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
            id="lost_answer_has_no_effect",
        ),
        pytest.param(
            {"refuse": True},
            errors.PlatformError,
            False,
            id="refused_start_runs",
        ),
        pytest.param(
            {"partition": True},
            errors.PlatformError,
            False,
            id="start_in_partition_runs",
        ),
        pytest.param({"delay_s": 0.05}, None, True, id="slow_start_fails"),
        pytest.param(
            {"drop_answers": 1, "drop_kinds": ["stop"]},
            None,
            True,
            id="lost_answer_hits_other_kind",
        ),
    ],
)
def test_faults(
    switches: dict[str, typing.Any],
    error: type[Exception] | None,
    started: bool,
) -> None:
    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            worker_agent.control(endpoint, switches)
            if error is None:
                assert await _outcomes(agent, address, _task()) == ["started"]
            else:
                with pytest.raises(error) as caught:
                    await _outcomes(agent, address, _task())
                assert caught.value.sent
            worker_agent.control(endpoint, {"reset": True})
            assert await _outcomes(agent, address, _task()) == [
                "running" if started else "started"
            ]
            assert len(worker_agent.evidence(endpoint)["history"]) == 1

    asyncio.run(scenario())


def test_delayed_start_lands_after_timeout() -> None:
    """A scheduler must be ready for a start that lands after it gave up."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            worker_agent.control(endpoint, {"delay_s": _TIMEOUT_S + 0.1})
            with pytest.raises(errors.PlatformError):
                await _outcomes(agent, address, _task())
            assert not endpoint.state.running
            await asyncio.sleep(0.2)
            assert list(endpoint.state.running) == [_task().attempt]

    asyncio.run(scenario())


def test_fail_all_and_kill_all() -> None:
    """A worker that fails everything would not be ejected."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            worker_agent.control(endpoint, {"fail_all": True})
            await _outcomes(agent, address, _task())
            result = await agent.sync(address, 1, 10.0, [], 1.0, 0)
            assert result.reports[0].state == model.TaskState.FAILED
            worker_agent.control(endpoint, {"reset": True})
            await _outcomes(agent, address, _task(2))
            worker_agent.control(endpoint, {"kill_all": True})
            result = await agent.sync(address, 1, 10.0, [], 1.0, 1)
            assert [report.state for report in result.reports] == [
                model.TaskState.FAILED,
                model.TaskState.FAILED,
            ]

    asyncio.run(scenario())


@pytest.mark.parametrize("call", ["start", "sync", "stop", "throttle"])
def test_stale_epoch(call: str) -> None:
    """A deposed owner would act on the worker."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            attempt = _task().attempt
            assert await _outcomes(agent, address, _task(), epoch=5)
            arguments = {
                "start": (4, 10.0, [_task(2)]),
                "sync": (4, 99.0, [], 0.0, 0),
                "stop": (4, [attempt], False),
                "throttle": (4, [attempt], 0.1),
            }[call]
            lease_until = endpoint.state.running[attempt].lease_until
            with pytest.raises(errors.DeposedError):
                await getattr(agent, call)(address, *arguments)
            run = endpoint.state.running[attempt]
            assert list(endpoint.state.running) == [attempt]
            assert (run.share, run.lease_until) == (1.0, lease_until)
            assert endpoint.state.stale_calls == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("action", "limits"),
    [
        pytest.param("end", (0.1, 0.35), id="end_wakes_no_sync"),
        pytest.param("none", (0.6, 0.85), id="sync_ends_without_event"),
        pytest.param("depose", (0.1, 0.35), id="old_sync_survives_new_epoch"),
    ],
)
def test_waiting_sync(action: str, limits: tuple[float, float]) -> None:
    async def scenario() -> None:
        async with _opened() as (_endpoint, address, agent):
            payload = b'{"run_s":0.1}' if action == "end" else b"{}"
            await _outcomes(agent, address, _task(payload=payload))
            begun = time.monotonic()
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
                assert result.sequence == (1 if action == "end" else 0)
            assert limits[0] <= time.monotonic() - begun < limits[1]

    asyncio.run(scenario())


def test_lease_lapses_without_calls() -> None:
    """A task of an unreachable worker would run for ever."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            await agent.start(address, 1, 0.1, [_task()])
            await asyncio.sleep(0.2)
            assert not endpoint.state.running
            (record,) = endpoint.state.history
            assert record["state"] == model.TaskState.LAPSED
            # Wall times of this size have steps of 0.24 us.
            lease_s = record["end"] - record["start"]
            assert lease_s == pytest.approx(0.1, abs=1e-6)
            assert abs(record["end"] - time.time()) < 1.0

    asyncio.run(scenario())


def test_partition_holds_waiting_sync() -> None:
    """A partition would look like a crash, which ends calls at once."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            await _outcomes(agent, address, _task(payload=b'{"run_s":0.1}'))
            waiting = asyncio.create_task(
                agent.sync(address, 1, 10.0, [], 0.2, 0)
            )
            await asyncio.sleep(0.05)
            worker_agent.control(endpoint, {"partition": True})
            begun = time.monotonic()
            with pytest.raises(errors.PlatformError):
                await waiting
            assert time.monotonic() - begun >= _TIMEOUT_S
            worker_agent.control(endpoint, {"reset": True})
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert result.reports[0].state == model.TaskState.SUCCEEDED

    asyncio.run(scenario())


def test_restarted_worker_answers_at_once() -> None:
    """A sync after a sequence from before a restart would wait in vain."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            await _outcomes(agent, address, _task())
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
def test_malformed_message(
    decode: collections.abc.Callable[[bytes], object], body: bytes
) -> None:
    """A malformed message would end the task that reads it."""
    with pytest.raises(errors.ProtocolError):
        decode(body)


@pytest.mark.parametrize("payload", [b'{"run_s":"x"}', b"[]", b"7"])
def test_task_with_unusable_payload_fails(payload: bytes) -> None:
    """A worker that refused it would keep back the rest of its start."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            tasks = [_task(payload=payload), _task(2)]
            assert await _outcomes(agent, address, *tasks) == [
                "started",
                "started",
            ]
            result = await agent.sync(address, 1, 10.0, [], 0.0, 0)
            assert {
                report.attempt.number: report.state
                for report in result.reports
            } == {1: model.TaskState.FAILED, 2: model.TaskState.RUNNING}
            assert endpoint.state.used == _HALF

    asyncio.run(scenario())


def test_payload_that_is_no_json_is_not_sent() -> None:
    """The caller would wait for a start that no worker can decode."""

    async def scenario() -> None:
        async with _opened() as (endpoint, address, agent):
            with pytest.raises(ValueError):
                await _outcomes(agent, address, _task(payload=b"{"))
            assert not endpoint.counts

    asyncio.run(scenario())
