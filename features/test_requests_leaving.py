"""Scenarios: a leaving target gets no new request."""

import threading
import time
import typing

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from chestnuttide import model
from features import _callers
from features import _requests_steps
from standins import cell as cell_module
from standins import harness as harness_module

pytest_plugins = ["features._requests_steps"]

scenarios("requests_leaving.feature")

# Design page, guarantee 6.
LEAVING_S = 2.0
# Requests that the other targets must take afterwards, so that silence at the
# leaving one is no accident.
MINIMUM_LATER = 50
# Each scenario takes a target away; some must stay in either shard.
TARGETS = 10


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        yield _requests_steps.make_cell(harness, targets=TARGETS)


def _evidence(
    world: _requests_steps.World, target: str
) -> dict[str, typing.Any]:
    return harness_module.evidence(world.cell.runners[target], name=target)


def _owner(world: _requests_steps.World, target: str) -> str:
    shards = int(_requests_steps.SERVICES["layout"]["shards"])
    shard = model.target_shard("layout", target, shards)
    asked = next(iter(world.cell.http_ports))
    return cell_module.wait_for_row(world.cell, asked, shard)["owner"]


@given(
    parsers.parse(
        "callers send {rate:d} requests per second for {seconds:d} s"
    )
)
def steady_load(world: _requests_steps.World, rate: int, seconds: int) -> None:
    requests = _requests_steps.make_requests(
        world, rate * seconds, rate=rate, run_ms=100.0
    )
    world.loads.append(_callers.start(requests))


@given(parsers.parse("the instance list lags {seconds:g} s"))
def list_lags(world: _requests_steps.World, seconds: float) -> None:
    harness_module.control(world.cell.instance_list, {"lag_s": seconds})


@given("a scheduler that owns no target of layout is paused")
def pause_idle(world: _requests_steps.World) -> None:
    owners = {
        _owner(world, name)
        for name in world.cell.runners
        if name.startswith("bench")
    }
    idle = sorted(set(world.cell.http_ports) - owners)[0]
    scheduler, _ = cell_module.daemons(world.cell, idle)
    _requests_steps.pause(world, scheduler)


@given(parsers.parse("the owner of {target} is paused for {seconds:g} s"))
def pause_owner(
    world: _requests_steps.World, target: str, seconds: float
) -> None:
    scheduler, _ = cell_module.daemons(world.cell, _owner(world, target))
    _requests_steps.pause(world, scheduler)
    threading.Timer(seconds, harness_module.resume, [scheduler]).start()


@when(
    parsers.re(
        r"target (?P<target>\S+) is leaving and (?P<says>says|does not say) so"
    )
)
def leave(world: _requests_steps.World, target: str, says: str) -> None:
    cell_module.wait_for(
        world.cell, lambda: _evidence(world, target)["busy"] > 0, "work"
    )
    harness_module.control(
        world.cell.runners[target],
        {"leaving": True, "say_leaving": says == "says"},
        name=target,
    )
    cell_module.set_state(world.cell, target, "leaving")


@then(parsers.parse("{target} is sent nothing new later than 2 s after that"))
def nothing_later(world: _requests_steps.World, target: str) -> None:
    since = _evidence(world, target)["leaving_since"]
    time.sleep(max(0.0, since + LEAVING_S - time.time()))
    before = cell_module.runner_evidence(world.cell)
    _requests_steps.wait_for_callers(world)
    after = cell_module.runner_evidence(world.cell)
    sent = {
        one["runner_id"]: one["runs"]
        + one["refused_leaving"]
        - other["runs"]
        - other["refused_leaving"]
        for one, other in zip(after, before, strict=True)
    }
    assert sent.pop(target) == 0
    assert sum(sent.values()) >= MINIMUM_LATER
