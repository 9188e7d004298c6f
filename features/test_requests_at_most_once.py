"""Scenarios: a non-idempotent request runs at most once."""

import typing

import attrs
import pytest
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import when

from features import _callers
from features import _requests_steps
from standins import cell as cell_module
from standins import harness as harness_module

pytest_plugins = ["features._requests_steps"]

scenarios("requests_at_most_once.feature")


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        yield _requests_steps.make_cell(harness)


@when(
    parsers.parse(
        "each of {count:d} non-idempotent requests goes through two entries"
        " at once"
    )
)
def send_twice(world: _requests_steps.World, count: int) -> None:
    requests = _requests_steps.make_requests(
        world, count, idempotent=False, run_ms=200.0
    )
    for requests_of_one in (
        [attrs.evolve(each, ports=each.ports[:1]) for each in requests],
        [attrs.evolve(each, ports=each.ports[1:2]) for each in requests],
    ):
        world.loads.append(_callers.start(requests_of_one))


@when("a journal write is under way")
def journal_write(world: _requests_steps.World) -> None:
    def has_waited() -> int:
        return harness_module.evidence(world.cell.store)["counts"]["write"]

    before = has_waited()
    cell_module.wait_for(
        world.cell, lambda: has_waited() > before, "a journal write"
    )
