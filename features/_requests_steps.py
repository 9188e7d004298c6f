"""Steps about requests; each outcome is counted at the runners."""

import itertools
import time
import typing

import attrs
import cbor2
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from features import _callers
from standins import cell as cell_module
from standins import harness as harness_module
from standins import runner

# Requests of one service are spread over two shards, so that a cell has more
# than one owner at work.
SERVICES: typing.Final[dict[str, dict[str, object]]] = {
    "layout": {
        "shards": 2,
        "status_path": "/v1/status",
        "request_limit_s": 3.0,
    },
    "render": {"request_limit_s": 2.5},
}
SHARDS: typing.Final = (
    "requests/layout/0",
    "requests/layout/1",
    "requests/render/0",
)
INSTANCES: typing.Final = ("entry-1", "entry-2", "entry-3", "entry-4")
PROCESSES: typing.Final = {
    "scheduler": slice(0, 1),
    "entry": slice(1, 2),
    "whole instance": slice(0, 2),
}

_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class World:
    """What the steps of one scenario share.

    Attributes
    ----------
    cell : Cell
        The cell.
    loads : list of Load
        Callers at work.
    outcomes : list of Outcome
        What callers got.
    earlier : list of Outcome
        Checked outcomes of ids that were sent again since.
    shard : str
        The shard whose owner a step singled out.
    epoch : int
        Epoch of that owner.
    paused : list of Process
        Paused processes.
    """

    cell: cell_module.Cell
    loads: list[_callers.Load] = attrs.Factory(list)
    outcomes: list[_callers.Outcome] = attrs.Factory(list)
    earlier: list[_callers.Outcome] = attrs.Factory(list)
    shard: str = ""
    epoch: int = 0
    paused: list[harness_module.Process] = attrs.Factory(list)


def make_cell(
    harness: harness_module.Harness,
    *,
    settings: dict[str, typing.Any] | None = None,
    instances: typing.Sequence[str] = INSTANCES,
    services: dict[str, dict[str, object]] | None = None,
    targets: int = 4,
) -> cell_module.Cell:
    """Start a cell of instances and of runners of two services."""
    group = cell_module.Group
    cell = cell_module.make_cell(
        harness,
        groups=[
            group(name="bench", count=targets, service="layout"),
            group(name="gpu", count=2, service="render"),
        ],
    )
    for instance_id in instances:
        cell_module.add_instance(cell, instance_id, settings=settings)
    cell_module.wait_for(
        cell,
        lambda: (
            cell_module.call(cell, instances[0], "GET", "/v1/config")[0] == 200
        ),
        "an entry that reads the config",
    )
    cell_module.patch_config(
        cell,
        instances[0],
        {
            "services": services or SERVICES,
            "teams": {"makers": {"weight": 1.0}},
        },
    )
    settle(cell)
    return cell


def live_instances(cell: cell_module.Cell) -> list[str]:
    """Return the instances whose daemons both run."""
    return [
        each
        for each in cell.http_ports
        if all(
            process.popen.poll() is None
            for process in cell_module.daemons(cell, each)
        )
    ]


def settle(cell: cell_module.Cell) -> None:
    """Wait until all instances are ready and each shard has an owner."""
    for instance_id in cell.http_ports:
        for process in cell_module.daemons(cell, instance_id):
            if process.popen.poll() is not None:
                harness_module.restart(cell.harness, process.name)
        scheduler, _ = cell_module.daemons(cell, instance_id)
        port = cell.metrics_ports[instance_id]
        harness_module.wait_for_http(scheduler, port, "/healthz")
    cell_module.wait_until_ready(cell, list(cell.http_ports))
    # A first voter that dies alone can only be replaced once the list says
    # that it is gone.
    cell_module.wait_for(
        cell,
        lambda: set(_read_voters(cell)) == set(cell.http_ports),
        "all instances are voters",
    )
    for instance_id in cell.http_ports:
        cell_module.wait_for_owners(cell, instance_id, SHARDS)


def _read_voters(cell: cell_module.Cell) -> list[str]:
    key = cbor2.dumps({"key": "cell/voters"})
    port = next(iter(cell.store.ports.values()))
    _, answer = harness_module.call(port, "POST", "/v1/get", key)
    entry = cbor2.loads(answer)["entry"]
    return [] if entry is None else cbor2.loads(entry["value"])[1]


def reset_faults(cell: cell_module.Cell) -> None:
    """Lift all faults of store, list and runners."""
    harness_module.control(cell.store, {"reset": True})
    harness_module.control(cell.instance_list, {"reset": True, "lag_s": 0.2})
    control_runners(cell, {"reset": True})


def control_runners(
    cell: cell_module.Cell,
    fields: dict[str, typing.Any],
    prefix: str = "",
) -> None:
    """Set faults of the runners whose ids begin with a prefix."""
    for name, process in cell.runners.items():
        if name.startswith(prefix):
            harness_module.control(process, fields, name=name)


def pause(world: World, process: harness_module.Process) -> None:
    """Pause a process until the scenario ends or resumes it."""
    if process not in world.paused:
        harness_module.pause(process)
        world.paused.append(process)


def resume_all(world: World) -> None:
    """Resume what the scenario paused."""
    for process in world.paused:
        harness_module.resume(process)
    world.paused.clear()


def make_requests(
    world: World,
    count: int,
    *,
    service: str = "layout",
    rate: float = 0.0,
    **fields: typing.Any,
) -> list[_callers.Wanted]:
    """Return requests with new ids; each asks the entries in another order.

    Parameters
    ----------
    world : World
        The scenario.
    count : int
        Number of requests.
    service : str
        Their service.
    rate : float
        Requests sent per second; 0 for all at once.
    fields : dict
        Fields of `Wanted`.
    """
    ports = [world.cell.http_ports[n] for n in live_instances(world.cell)]
    requests = []
    for position in range(count):
        number = next(_numbers)
        turn = number % len(ports)
        requests.append(
            _callers.Wanted(
                **{
                    "request_id": f"request-{number}",
                    "service": service,
                    "ports": tuple(ports[turn:] + ports[:turn]),
                    "delay_s": position / rate if rate else 0.0,
                    **fields,
                }
            )
        )
    return requests


def wait_for_callers(world: World) -> None:
    """Wait until all callers have their outcomes."""
    for load in world.loads:
        world.outcomes += _callers.wait(load)
    world.loads.clear()


def wait_until_runs(
    cell: cell_module.Cell, count: int, prefix: str = ""
) -> None:
    """Wait until the runners work on a number of requests."""

    def is_busy() -> bool:
        busy = sum(
            each["busy"]
            for each in cell_module.runner_evidence(cell)
            if each["runner_id"].startswith(prefix)
        )
        return busy >= count

    cell_module.wait_for(cell, is_busy, f"{count} requests at the runners")


@pytest.fixture
def world(
    cell: cell_module.Cell,
) -> typing.Iterator[World]:
    """Provide a cell without faults whose instances are all there."""
    settle(cell)
    world = World(cell=cell)
    yield world
    resume_all(world)
    reset_faults(cell)
    for load in world.loads:
        _callers.wait(load)


@given(parsers.parse("each runner cuts {count:d} connections after reading"))
def cut_connections(world: World, count: int) -> None:
    control_runners(world.cell, {"close_after_read": count})


@given("the runners close idle connections without notice")
def close_idle(world: World) -> None:
    control_runners(world.cell, {"close_idle": True})


@given(
    parsers.parse(
        "the store loses {percent:d}% of its answers to journal writes"
    )
)
def lose_answers(world: World, percent: int) -> None:
    harness_module.control(
        world.cell.store,
        {"drop_answers": percent / 100, "drop_kinds": ["write"]},
    )


@given(parsers.parse("the store takes {seconds:g} s for a journal write"))
def slow_journal(world: World, seconds: float) -> None:
    harness_module.control(
        world.cell.store, {"slow_s": seconds, "for_prefix": "journal/"}
    )


@given("the store is down")
@when("the store goes down")
def store_down(world: World) -> None:
    harness_module.control(world.cell.store, {"down": True})


@when("the store is back")
def store_back(world: World) -> None:
    harness_module.control(world.cell.store, {"reset": True})


@when(
    parsers.parse(
        "callers send {count:d} {kind} requests of {run_ms:d} ms to {service}"
    )
)
def start_callers(
    world: World, count: int, kind: str, run_ms: int, service: str
) -> None:
    requests = make_requests(
        world,
        count,
        service=service,
        idempotent=kind == "idempotent",
        run_ms=run_ms,
    )
    world.loads.append(_callers.start(requests))


@when(
    parsers.parse(
        "callers with deadlines of {seconds:g} s send {count:d} {kind}"
        " requests of {run_ms:d} ms to {service}"
    )
)
def start_hasty_callers(
    world: World,
    seconds: float,
    count: int,
    kind: str,
    run_ms: int,
    service: str,
) -> None:
    requests = make_requests(
        world,
        count,
        service=service,
        idempotent=kind == "idempotent",
        run_ms=run_ms,
        deadline_s=seconds,
    )
    world.loads.append(_callers.start(requests))


@when("the paused processes go on")
def go_on(world: World) -> None:
    resume_all(world)


@when("the runners have ended their work")
def runners_end(world: World) -> None:
    # A request that is under way to a runner would begin within this time.
    time.sleep(cell_module.SETTLE_S)
    cell_module.wait_for(
        world.cell,
        lambda: (
            not any(
                each["busy"]
                for each in cell_module.runner_evidence(world.cell)
            )
        ),
        "idle runners",
    )


@when(parsers.parse("the runners work on {count:d} requests"))
def wait_runners(world: World, count: int) -> None:
    wait_until_runs(world.cell, count)


@when(parsers.parse("the {what} of the owner of {shard} is killed"))
def kill_owner(world: World, what: str, shard: str) -> None:
    kill(world, what, note_owner(world, shard))


def note_owner(world: World, shard: str) -> str:
    """Return the owner of a shard and note its epoch."""
    row = _read_row(world.cell, shard)
    world.shard = shard
    world.epoch = row["epoch"]
    return row["owner"]


def _read_row(cell: cell_module.Cell, shard: str) -> dict[str, typing.Any]:
    return cell_module.wait_for_row(cell, live_instances(cell)[0], shard)


def kill(world: World, what: str, instance_id: str) -> None:
    """Crash processes of an instance."""
    daemons = cell_module.daemons(world.cell, instance_id)
    for process in daemons[PROCESSES[what]]:
        harness_module.kill(process)


@when("all callers have an outcome")
def callers_end(world: World) -> None:
    wait_for_callers(world)


@when("each caller sends its id again through another entry")
def send_again(world: World) -> None:
    # What was truly not run before may run now.
    all_answered(world)
    ports = [world.cell.http_ports[n] for n in live_instances(world.cell)]
    again = []
    for each in world.outcomes:
        first = each.wanted.ports[0]
        others = tuple(port for port in ports if port != first)
        again.append(
            attrs.evolve(each.wanted, ports=others, run_ms=20.0, delay_s=0.0)
        )
    world.earlier += world.outcomes
    world.outcomes = _callers.send(again)


@then("its shard has changed hands")
def changed_hands(world: World) -> None:
    assert _read_row(world.cell, world.shard)["epoch"] > world.epoch


@then("no non-idempotent request ran twice")
def never_twice(world: World) -> None:
    wait_for_callers(world)
    evidence = cell_module.runner_evidence(world.cell)
    assert runner.find_duplicate_requests(evidence) == {}


@then("every caller has its whole own answer or a truthful refusal")
def all_answered(world: World) -> None:
    wait_for_callers(world)
    evidence = cell_module.runner_evidence(world.cell)
    assert world.outcomes
    assert _callers.find_broken(world.outcomes) == []
    assert _callers.find_untruthful(world.outcomes, evidence) == []


@then("every caller has its whole own answer")
def all_whole(world: World) -> None:
    all_answered(world)
    codes = _callers.count_codes(world.outcomes)
    assert dict(codes) == {"answered": len(world.outcomes)}


@then(parsers.re(r"at least (?P<count>\d+) callers got (?P<code>\w+)$"))
def some_got(world: World, count: str, code: str) -> None:
    wait_for_callers(world)
    codes = _callers.count_codes(world.earlier + world.outcomes)
    assert codes[code] >= int(count), dict(codes)


@then(parsers.parse("at least {count:d} callers got {code} as {run_state}"))
def some_got_as(world: World, count: int, code: str, run_state: str) -> None:
    wait_for_callers(world)
    found = sum(
        (each.code, each.run_state) == (code, run_state)
        for each in world.earlier + world.outcomes
    )
    assert found >= count, dict(_callers.count_codes(world.outcomes))


@then("no runner had more work than its slots and connections")
def no_overrun(world: World) -> None:
    wait_for_callers(world)
    for each in cell_module.runner_evidence(world.cell):
        assert each["slot_overruns"] == 0, each
        assert each["connection_overruns"] == 0, each


@then("no former owner sent a request after its successor's first")
def no_stale_runs(world: World) -> None:
    wait_for_callers(world)
    for each in cell_module.runner_evidence(world.cell):
        assert each["stale_runs"] == 0, (each["runner_id"], each["epochs"])


def sleep_until(moment: float) -> None:
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))
