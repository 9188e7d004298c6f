import asyncio
import collections.abc
import contextlib
import typing

import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import platform
from chestnuttide.platform import _http
from standins import _serving
from standins import instance_list


def _instance_fields(name: str, **fields: typing.Any) -> dict[str, typing.Any]:
    return {
        "instance_id": name,
        "kind": "entry",
        "state": "live",
        "data_centre": "dc-1",
        "address": "127.0.0.1:1",
        **fields,
    }


@contextlib.asynccontextmanager
async def _serve_list() -> collections.abc.AsyncIterator[
    tuple[instance_list.Endpoint, platform.InstanceList]
]:
    endpoint = instance_list.Endpoint()
    served = instance_list.listen(port=0, endpoint=endpoint)
    client = _http.make_client(max_clients=4)
    try:
        yield (
            endpoint,
            platform.make_instance_list(
                address=f"127.0.0.1:{served.port}",
                timeout_s=0.3,
                http_client=client,
            ),
        )
    finally:
        _http.close(client)
        await _serving.close(served)


# Each case: successive changes to the list, the arguments of the call, and the
# instance ids and revision that it must return.
_CALLS = [
    pytest.param([], (0, ""), [], 0, id="empty_list_fails"),
    pytest.param(
        [[_instance_fields("a"), _instance_fields("b")]],
        (0, ""),
        ["a", "b"],
        2,
        id="instance_missing_from_full_list",
    ),
    pytest.param(
        [
            [_instance_fields("a"), _instance_fields("b")],
            [_instance_fields("a", state="gone")],
        ],
        (2, ""),
        ["a"],
        3,
        id="change_after_revision_missing",
    ),
    pytest.param(
        [[_instance_fields("a")], [_instance_fields("a")]],
        (1, ""),
        [],
        1,
        id="unchanged_instance_listed_as_change",
    ),
    pytest.param(
        [[_instance_fields("a"), _instance_fields("w", kind="worker")]],
        (0, "worker"),
        ["w"],
        2,
        id="kind_filter_ignored",
    ),
    pytest.param(
        [[_instance_fields("a")]],
        (9, ""),
        ["a"],
        1,
        id="restarted_list_hides_all",
    ),
]


@pytest.mark.parametrize(("changes", "call", "names", "revision"), _CALLS)
def test_changes(
    changes: list[list[dict[str, typing.Any]]],
    call: tuple[int, str],
    names: list[str],
    revision: int,
) -> None:
    """Guards against lost changes, repeated ones and an ignored kind."""

    async def scenario() -> None:
        async with _serve_list() as (endpoint, instances):
            for change in changes:
                instance_list.control(endpoint, {"set": change})
            result = await instances.changes(*call)
            found = [instance.instance_id for instance in result.instances]
            assert (found, result.revision) == (names, revision)

    asyncio.run(scenario())


def test_instance_fields_are_preserved() -> None:
    """Guards against lost fields: work on a wrong rack or beyond capacity."""
    capacity = model.Resources(cpu_millis=1, memory_mb=2, accelerators=3)
    instance = model.Instance(
        instance_id="r-1",
        kind=model.InstanceKind.TARGET,
        state=model.InstanceState.LEAVING,
        data_centre="dc-2",
        rack="k",
        address="127.0.0.1:2",
        service="render",
        slots=8,
        connections=64,
        capacity=capacity,
    )

    async def scenario() -> None:
        async with _serve_list() as (endpoint, instances):
            instance_list.put(endpoint.state, [instance], 0.0)
            assert (await instances.changes(0, "")).instances == (instance,)

    asyncio.run(scenario())


def test_change_is_listed_after_lag() -> None:
    async def scenario() -> None:
        async with _serve_list() as (endpoint, instances):
            instance_list.control(
                endpoint, {"lag_s": 0.15, "set": [_instance_fields("a")]}
            )
            assert (await instances.changes(0, "")).revision == 0
            assert instance_list.evidence(endpoint)["pending"] == 1
            await asyncio.sleep(0.2)
            assert (await instances.changes(0, "")).revision == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "switches",
    [
        pytest.param({"down": True}, id="refused_call_read_as_empty_list"),
        pytest.param({"silent": True}, id="unanswered_call_blocks_forever"),
        pytest.param({"drop_answers": 9}, id="lost_answer_blocks_forever"),
        pytest.param({"slow_s": 1.0}, id="slow_answer_blocks_caller"),
    ],
)
def test_faults_raise_platform_error(switches: dict[str, typing.Any]) -> None:
    """Guards against blocking calls and refusals read as an empty list."""

    async def scenario() -> None:
        async with _serve_list() as (endpoint, instances):
            instance_list.control(endpoint, switches)
            with pytest.raises(errors.PlatformError):
                await instances.changes(0, "")
            instance_list.control(endpoint, {"reset": True})
            assert (await instances.changes(0, "")).revision == 0

    asyncio.run(scenario())
