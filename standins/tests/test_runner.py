import asyncio
import collections.abc
import contextlib
import json
import typing

import pytest

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _http
from standins import _serving
from standins import runner
from standins.runner import _state


@contextlib.asynccontextmanager
async def _open_runner() -> collections.abc.AsyncIterator[
    tuple[runner.Endpoint, collections.abc.Callable[..., typing.Any]]
]:
    endpoint = runner.make_endpoint("runner-1")
    served = runner.listen(port=0, endpoint=endpoint)
    # No limit per target, so that a test can overload the runner.
    client = _http.make_client(max_clients=128)
    targets = platform.make_targets(http_client=client, status_client=client)

    async def work(
        request_id: str, timeout_s: float = 1.0, **payload: typing.Any
    ) -> platform.TargetAnswer:
        return await targets.work(
            f"127.0.0.1:{served.port}",
            request_id,
            1,
            3,
            json.dumps(payload).encode(),
            timeout_s,
            lambda: True,
        )

    try:
        yield endpoint, work
    finally:
        _http.close(client)
        await _serving.close(served)


@pytest.mark.parametrize(
    ("requests", "slot_overruns", "connection_overruns"),
    [
        pytest.param(8, 0, 0, id="full_runner_counted_as_overrun"),
        pytest.param(9, 1, 0, id="slot_overrun_missed"),
        pytest.param(66, 58, 2, id="connection_overrun_missed"),
    ],
)
def test_overruns(
    requests: int, slot_overruns: int, connection_overruns: int
) -> None:
    async def scenario() -> None:
        async with _open_runner() as (endpoint, work):
            await asyncio.gather(
                *(work(f"r{n}", run_ms=150) for n in range(requests))
            )
            evidence = runner.evidence(endpoint, {})
            assert evidence["slot_overruns"] == slot_overruns
            assert evidence["connection_overruns"] == connection_overruns
            assert evidence["peak_busy"] == requests
            assert evidence["peak_connections"] == requests
            assert evidence["busy"] == 0
            assert evidence["finished"] == requests

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("say_leaving", "runs"),
    [
        pytest.param(True, 0, id="refusal_counted_as_run"),
        pytest.param(False, 1, id="run_while_leaving_missed"),
    ],
)
def test_leaving(say_leaving: bool, runs: int) -> None:
    async def scenario() -> None:
        async with _open_runner() as (endpoint, work):
            await work("before")
            runner.control(
                endpoint, {"leaving": True, "say_leaving": say_leaving}
            )
            answer = await work("after")
            assert answer.leaving == say_leaving
            evidence = runner.evidence(endpoint, {})
            assert evidence["runs_after_leaving"] == runs
            assert evidence["refused_leaving"] == 1 - runs
            late = evidence["last_new_request"] > evidence["leaving_since"]
            assert late == bool(runs)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("keep_working", "finished"),
    [
        pytest.param(True, 1, id="run_ends_with_its_caller"),
        pytest.param(False, 0, id="run_outlives_its_caller"),
    ],
)
def test_caller_disconnects(keep_working: bool, finished: int) -> None:
    async def scenario() -> None:
        async with _open_runner() as (endpoint, work):
            runner.control(endpoint, {"keep_working": keep_working})
            with pytest.raises(errors.PlatformError):
                await work("a", 0.05, run_ms=150)
            await asyncio.sleep(0.2)
            evidence = runner.evidence(endpoint, {})
            assert (evidence["finished"], evidence["busy"]) == (finished, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("switches", "fails"),
    [
        pytest.param(
            {"close_after_read": 1}, True, id="connection_not_closed"
        ),
        pytest.param({"refuse_connects": True}, True, id="port_not_closed"),
        pytest.param({"delay_s": 0.5}, True, id="response_not_delayed"),
        pytest.param({"close_idle": True}, False, id="response_truncated"),
        pytest.param({"fail": True}, False, id="failure_without_response"),
    ],
)
def test_faults(switches: dict[str, typing.Any], fails: bool) -> None:
    async def scenario() -> None:
        async with _open_runner() as (endpoint, work):
            runner.control(endpoint, switches)
            if fails:
                with pytest.raises(errors.PlatformError):
                    await work("a", 0.2)
            else:
                answer = await work("a", 0.2)
                assert answer.status == (500 if "fail" in switches else 200)
            runner.control(endpoint, {"reset": True})
            await asyncio.sleep(0.05)
            answer = await work("b")
            assert runner.check_response(answer.body, "b", 0) == ""

    asyncio.run(scenario())


def test_open_connections_are_closed() -> None:
    """Guards against a failed runner that still answers on old connections."""

    async def scenario() -> None:
        async with _open_runner() as (endpoint, work):
            await work("a")
            runner.control(
                endpoint, {"refuse_connects": True, "close_connections": True}
            )
            await asyncio.sleep(0.05)
            with pytest.raises(errors.PlatformError) as caught:
                await work("b")
            assert not caught.value.sent
            assert runner.evidence(endpoint, {})["open_connections"] == 0

    asyncio.run(scenario())


def test_doubled_requests() -> None:
    """Guards against a non-idempotent request that runs twice undetected."""

    async def scenario() -> None:
        evidences = []
        for _ in range(2):
            async with _open_runner() as (endpoint, work):
                await work("once", idempotent=False)
                await work("again")
                await work("again")
                await work(f"other{len(evidences)}", idempotent=False)
                evidence = runner.evidence(endpoint, {"ids": "1"})
                assert evidence["repeated"] == {"again": 2}
                assert evidence["doubled"] == {}
                evidences.append(evidence)
        assert runner.find_duplicate_requests(evidences) == {"once": 2}

    asyncio.run(scenario())


def _answer(**changes: object) -> bytes:
    state = runner.State(runner_id="runner-1")
    fields = json.loads(_state.make_response(state, "a", 1, 20))
    return json.dumps({**fields, **changes}).encode()


@pytest.mark.parametrize(
    ("body", "is_intact"),
    [
        pytest.param(_answer(), True, id="intact_response_rejected"),
        pytest.param(
            _answer(request_id="b"),
            False,
            id="response_to_other_request_accepted",
        ),
        pytest.param(
            _answer(content="x" * 20), False, id="other_content_accepted"
        ),
        pytest.param(_answer(size=19), False, id="wrong_size_accepted"),
        pytest.param(
            _answer(checksum="0"), False, id="wrong_checksum_accepted"
        ),
        pytest.param(_answer()[:-5], False, id="truncated_response_accepted"),
        pytest.param(b"[]", False, id="response_without_fields_accepted"),
    ],
)
def test_check_answer(body: bytes, is_intact: bool) -> None:
    assert (runner.check_response(body, "a", 20) == "") == is_intact
