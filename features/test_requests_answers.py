"""Scenarios: whole own answers, and truthful refusals."""

import random
import typing

import attrs
import pytest
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from features import _callers
from features import _requests_steps
from standins import cell as cell_module
from standins import harness as harness_module

pytest_plugins = ["features._requests_steps"]

scenarios("requests_answers.feature")

SEED = 4
# Hedging makes a second answer to a slow idempotent request.
HEDGE_AFTER_S = 0.15


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    services = {
        **_requests_steps.SERVICES,
        "layout": {
            **_requests_steps.SERVICES["layout"],
            "hedge_after_s": HEDGE_AFTER_S,
        },
    }
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        yield _requests_steps.make_cell(harness, services=services)


@when(
    parsers.parse(
        "callers send {count:d} requests of mixed run times and sizes to"
        " {service}"
    )
)
def send_mixed(world: _requests_steps.World, count: int, service: str) -> None:
    rng = random.Random(SEED)
    requests = _requests_steps.make_requests(world, count, service=service)
    world.loads.append(
        _callers.start(
            [
                attrs.evolve(
                    each,
                    run_ms=rng.uniform(1, 600),
                    size=rng.randrange(64, 65_536),
                    idempotent=rng.random() < 0.5,
                )
                for each in requests
            ]
        )
    )


@when(
    parsers.parse(
        "callers send {count:d} requests with bodies of {size:d} KB to"
        " {service}"
    )
)
def send_large(
    world: _requests_steps.World, count: int, size: int, service: str
) -> None:
    requests = _requests_steps.make_requests(
        world,
        count,
        service=service,
        run_ms=500.0,
        size=size * 1000,
        padding=size * 1000,
    )
    world.loads.append(_callers.start(requests))


@when(
    parsers.parse(
        "callers with deadlines around {seconds:g} s send {count:d} {kind}"
        " requests of {run_ms:d} ms to {service}"
    )
)
def send_around(
    world: _requests_steps.World,
    seconds: float,
    count: int,
    kind: str,
    run_ms: int,
    service: str,
) -> None:
    rng = random.Random(SEED)
    requests = _requests_steps.make_requests(
        world,
        count,
        service=service,
        idempotent=kind == "idempotent",
        run_ms=run_ms,
    )
    world.loads.append(
        _callers.start(
            [
                attrs.evolve(each, deadline_s=rng.uniform(0.6, 1.4) * seconds)
                for each in requests
            ]
        )
    )


@when(parsers.parse("the runners of {service} are paused"))
def pause_runners(world: _requests_steps.World, service: str) -> None:
    cell = world.cell
    for name, process in cell.runners.items():
        if cell.instances[name]["service"] == service:
            _requests_steps.pause(world, process)


@when("a later non-idempotent request is answered")
def later_request(world: _requests_steps.World) -> None:
    requests = _requests_steps.make_requests(world, 8, idempotent=False)
    codes = _callers.count_codes(_callers.send(requests))
    assert dict(codes) == {"answered": 8}


@then("some callers asked another entry")
def asked_another(world: _requests_steps.World) -> None:
    assert any(each.retried for each in world.outcomes)
