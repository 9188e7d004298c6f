"""Scenarios: slots, connections and send queues are never overrun."""

import threading
import typing

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from features import _callers
from features import _requests_steps
from standins import cell as cell_module
from standins import harness as harness_module

pytest_plugins = ["features._requests_steps"]

scenarios("requests_limits.feature")

# A queue of some bodies, so that a paused scheduler fills it soon. What the
# kernel and the websocket buffer comes on top.
MESH_QUEUE_BYTES = 1_000_000
# Longer than a failover, so that the work of a killed owner outlasts it.
REQUEST_LIMIT_S = 7.0


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    services = {
        name: {**policy, "request_limit_s": REQUEST_LIMIT_S}
        for name, policy in _requests_steps.SERVICES.items()
    }
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        yield _requests_steps.make_cell(
            harness,
            services=services,
            settings={"mesh": {"mesh_queue_bytes": MESH_QUEUE_BYTES}},
        )


def _owner_process(
    world: _requests_steps.World, shard: str
) -> harness_module.Process:
    owner = _requests_steps.note_owner(world, shard)
    return cell_module.daemons(world.cell, owner)[0]


@given("each runner goes on with its work when its caller is gone")
def keep_working(world: _requests_steps.World) -> None:
    _requests_steps.control_runners(world.cell, {"keep_working": True})


@given(parsers.re(r"the scheduler of the owner of (?P<shard>\S+) is paused$"))
def pause_owner(world: _requests_steps.World, shard: str) -> None:
    _requests_steps.pause(world, _owner_process(world, shard))


@when(
    parsers.parse(
        "the scheduler of the owner of {shard} is paused for {seconds:g} s"
    )
)
def pause_for(
    world: _requests_steps.World, shard: str, seconds: float
) -> None:
    process = _owner_process(world, shard)
    _requests_steps.pause(world, process)
    threading.Timer(seconds, harness_module.resume, [process]).start()


@when(
    parsers.parse(
        "the scheduler of the owner of {shard} is cut off the store and paused"
        " for {seconds:g} s"
    )
)
def cut_off_and_pause(
    world: _requests_steps.World, shard: str, seconds: float
) -> None:
    owner = _requests_steps.note_owner(world, shard)
    pause_for(world, shard, seconds)
    # When it goes on, only its own clock tells it that its lease is over.
    harness_module.control(
        world.cell.store, {"silent": True, "for_client": owner}
    )


@when(parsers.parse("the runners of {service} work on {count:d} requests"))
def wait_runners(
    world: _requests_steps.World, service: str, count: int
) -> None:
    prefix = {"layout": "bench", "render": "gpu"}[service]
    _requests_steps.wait_until_runs(world.cell, count, prefix)


@when(
    parsers.parse(
        "callers send {rate:d} requests per second for {seconds:d} s to"
        " {service}"
    )
)
def steady_load(
    world: _requests_steps.World, rate: int, seconds: int, service: str
) -> None:
    for idempotent in (True, False):
        requests = _requests_steps.make_requests(
            world,
            rate * seconds // 2,
            service=service,
            rate=rate / 2,
            idempotent=idempotent,
            run_ms=400.0,
        )
        world.loads.append(_callers.start(requests))


@when(
    parsers.parse(
        "callers with deadlines of {seconds:g} s send {count:d} requests with"
        " bodies of {size:d} KB to {service}"
    )
)
def send_large(
    world: _requests_steps.World,
    seconds: float,
    count: int,
    size: int,
    service: str,
) -> None:
    requests = _requests_steps.make_requests(
        world,
        count,
        service=service,
        deadline_s=seconds,
        padding=size * 1000,
    )
    world.loads.append(_callers.start(requests))


@then(parsers.parse("later requests to {service} are answered"))
def later_requests(world: _requests_steps.World, service: str) -> None:
    requests = _requests_steps.make_requests(world, 8, service=service)
    codes = _callers.count_codes(_callers.send(requests))
    assert dict(codes) == {"answered": 8}
