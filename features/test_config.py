"""Scenarios of the configuration, read at every instance."""

import collections
import concurrent.futures
import contextlib
import http.client
import threading
import time
import typing

import attrs
import pytest
import pytest_bdd
from pytest_bdd import parsers

from features import _cell_steps as steps
from standins import cell as cell_module
from standins import harness as harness_module

POLL_S = 0.02
# Longer than a scheduler's lease of 2 s.
PAUSE_S = 2.5
# Answers of each instance after the last version is in force.
FURTHER_ANSWERS = 40

pytest_bdd.scenarios("config_in_force.feature")


@attrs.define(kw_only=True)
class Monitor:
    """Asks each instance for its version all the time.

    Attributes
    ----------
    versions : dict of (str, str) to list of int
        Versions in the order of the answers, by instance and path.
    stop : Event
        Ends the threads.
    threads : list of Thread
        One for each instance and path.
    """

    versions: dict[tuple[str, str], list[int]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    stop: threading.Event = attrs.Factory(threading.Event)
    threads: list[threading.Thread] = attrs.Factory(list)


@pytest.fixture(scope="module")
def shared(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[steps.World]:
    directory = tmp_path_factory.mktemp("config")
    with steps.running_cell(directory, racks=1, runners=1) as world:
        yield world


@pytest.fixture
def world(shared: steps.World) -> typing.Iterator[steps.World]:
    yield shared
    steps.restore(shared)


@pytest.fixture
def monitor(world: steps.World) -> typing.Iterator[Monitor]:
    monitor = Monitor()
    for name in world.cell.http_ports:
        for path, field in (
            ("/readyz", "config_version"),
            ("/v1/config", "version"),
        ):
            thread = threading.Thread(
                target=_watch, args=(world, monitor, name, path, field)
            )
            monitor.threads.append(thread)
            thread.start()
    yield monitor
    monitor.stop.set()
    for thread in monitor.threads:
        thread.join()


def _watch(
    world: steps.World, monitor: Monitor, name: str, path: str, field: str
) -> None:
    while not monitor.stop.wait(POLL_S):
        with contextlib.suppress(OSError, http.client.HTTPException):
            _, answer = cell_module.call(world.cell, name, "GET", path)
            if field in answer:
                monitor.versions[(name, path)].append(answer[field])


def _head(world: steps.World) -> dict[str, typing.Any]:
    return steps.call(world, "GET", "/v1/config")[1]


def _submit(
    world: steps.World, name: str, base: int, team: str, weight: float
) -> tuple[int, typing.Any]:
    return cell_module.call(
        world.cell,
        name,
        "POST",
        "/v1/config/patches",
        {
            "base": base,
            "patch": {"teams": {team: {"weight": weight}}},
            "author": team,
        },
    )


def _next_weight(world: steps.World) -> float:
    world.marks["weight"] = world.marks.get("weight", 1) + 1
    return float(world.marks["weight"])


@pytest_bdd.given("a cell")
def a_cell(world: steps.World) -> None:
    world.marks["accepted"] = {}


@pytest_bdd.given(
    "all instances are asked for their config version all the time"
)
def watch_versions(monitor: Monitor) -> None:
    assert monitor.threads


@pytest_bdd.given("the store loses the answer to the next write of a patch")
def lose_answer(world: steps.World) -> None:
    faults = {
        "drop_answers": 1,
        "drop_kinds": ["write"],
        "for_prefix": "config/patch/",
    }
    harness_module.control(world.cell.store, faults)
    world.marks["dropped"] = _dropped(world)


def _dropped(world: steps.World) -> int:
    return harness_module.evidence(world.cell.store)["failures"].get(
        "dropped", 0
    )


@pytest_bdd.when(
    parsers.parse(
        "two operators submit {count:d} patches each to paths of their own"
    )
)
def race_apart(world: steps.World, count: int) -> None:
    def operate(name: str, team: str) -> list[tuple[int, typing.Any]]:
        answers = []
        known = base
        for number in range(count):
            answers.append(_submit(world, name, known, team, number + 1.0))
            # An operator knows only the versions of its own patches.
            known = answers[-1][1].get("version", known)
        return answers

    base = _head(world)["version"]
    names = list(world.cell.http_ports)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        runs = [
            pool.submit(operate, name, team)
            for name, team in zip(names, ("joiners", "turners"), strict=False)
        ]
        world.marks["answers"] = [run.result() for run in runs]
    world.marks["base"] = base


@pytest_bdd.then("all patches are accepted, each as a version of its own")
def check_accepted(world: steps.World) -> None:
    answers = [each for run in world.marks["answers"] for each in run]
    assert [status for status, _ in answers] == [200] * len(answers), answers
    versions = sorted(answer["version"] for _, answer in answers)
    first = world.marks["base"] + 1
    assert versions == list(range(first, first + len(answers)))
    world.marks["version"] = versions[-1]
    teams = _head(world)["document"]["teams"]
    last = float(len(world.marks["answers"][0]))
    assert teams["joiners"]["weight"] == last
    assert teams["turners"]["weight"] == last


@pytest_bdd.when(
    parsers.parse(
        "two operators submit {count:d} patches each to one path with a"
        " common base"
    )
)
def race_together(world: steps.World, count: int) -> None:
    names = list(world.cell.http_ports)[:2]
    pairs = []
    with concurrent.futures.ThreadPoolExecutor() as pool:
        for _ in range(count):
            base = _head(world)["version"]
            runs = [
                pool.submit(
                    _submit, world, name, base, "makers", _next_weight(world)
                )
                for name in names
            ]
            pairs.append((base, [run.result() for run in runs]))
            accepted = [
                answer["version"]
                for status, answer in pairs[-1][1]
                if status == 200
            ]
            if accepted:
                _wait_for_head(world, max(accepted))
    world.marks["pairs"] = pairs


def _wait_for_head(world: steps.World, version: int) -> None:
    steps.wait_for(
        world,
        lambda: _head(world)["version"] >= version,
        f"version {version} at the first entry",
        steps.CONFIG_S,
    )


@pytest_bdd.then(
    "of each pair of patches one is accepted and the other is a conflict"
)
def check_pairs(world: steps.World) -> None:
    for base, answers in world.marks["pairs"]:
        statuses = sorted(status for status, _ in answers)
        assert statuses == [200, 409], answers
        for status, answer in answers:
            if status == 200:
                assert answer["version"] == base + 1
                world.marks["version"] = answer["version"]
            else:
                assert answer["error"]["code"] == "config_conflict"


@pytest_bdd.when("a patch is submitted")
def submit_patch(world: steps.World) -> None:
    submit_patches(world, 1)


@pytest_bdd.when(parsers.parse("{count:d} patches are submitted"))
def submit_patches(world: steps.World, count: int) -> None:
    for _ in range(count):
        base = _head(world)["version"]
        weight = _next_weight(world)
        name = steps.live(world)[0]
        status, answer = _submit(world, name, base, "makers", weight)
        assert status == 200, answer
        world.marks |= {"base": base, "version": answer["version"]}


@pytest_bdd.then(
    "it is accepted as the next version, which the history has once"
)
def check_once(world: steps.World) -> None:
    assert _dropped(world) == world.marks["dropped"] + 1
    assert world.marks["version"] == world.marks["base"] + 1
    weight = float(world.marks["weight"])
    _, history = steps.call(world, "GET", "/v1/config/history")
    found = [
        each["version"]
        for each in history["patches"]
        if each["patch"] == {"teams": {"makers": {"weight": weight}}}
    ]
    assert found == [world.marks["version"]]
    assert history["head"] == world.marks["version"]


@pytest_bdd.when("the store goes down")
def store_down(world: steps.World) -> None:
    harness_module.control(world.cell.store, {"down": True})


@pytest_bdd.when("the store is up again")
def store_up(world: steps.World) -> None:
    harness_module.control(world.cell.store, {"down": False})


@pytest_bdd.when(parsers.parse("the {place} instance is paused"))
def pause_instance(world: steps.World, place: str) -> None:
    name = list(world.cell.http_ports)[0 if place == "first" else -1]
    steps.pause(world, name)
    world.marks["paused"] = name


@pytest_bdd.when("the paused instance continues")
def continue_instance(world: steps.World) -> None:
    time.sleep(PAUSE_S)
    steps.resume(world, world.marks["paused"])


@pytest_bdd.then("the last version is in force at all instances within 5 s")
def check_in_force(world: steps.World) -> None:
    version = world.marks["version"]
    ports = world.cell.http_ports

    def is_in_force() -> bool:
        return all(
            cell_module.call(world.cell, name, "GET", "/readyz")[1][
                "config_version"
            ]
            == version
            and cell_module.call(world.cell, name, "GET", "/v1/config")[1][
                "version"
            ]
            == version
            for name in ports
        )

    steps.wait_for(
        world, is_in_force, f"version {version} everywhere", steps.CONFIG_S
    )
    documents = [
        cell_module.call(world.cell, name, "GET", "/v1/config")[1]["document"]
        for name in ports
    ]
    assert all(each == documents[0] for each in documents)


@pytest_bdd.then("no instance has served an older version after a newer one")
def check_monotone(world: steps.World, monitor: Monitor) -> None:
    counts = {key: len(each) for key, each in monitor.versions.items()}
    assert len(counts) == 2 * len(world.cell.http_ports)
    steps.wait_for(
        world,
        lambda: all(
            len(monitor.versions[key]) >= count + FURTHER_ANSWERS
            for key, count in counts.items()
        ),
        "further answers",
    )
    for key, versions in monitor.versions.items():
        assert versions == sorted(versions), key
