"""Scenarios: a planned stop cuts off nothing."""

import json
import socket
import subprocess
import time
import typing

import attrs
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
from standins import runner

pytest_plugins = ["features._requests_steps"]

scenarios("requests_planned_stop.feature")

# A stop waits for the readiness notice and for requests in flight, which end
# within their 3 s limit; the rest is for a busy machine.
STOP_S = 10.0
# Larger than what the kernel's buffers of a loopback connection hold.
LARGE = 12_000_000
BODY = 600_000
# Enough for the load of either shard, whose shares of targets differ.
TARGETS = 10


@attrs.define(kw_only=True)
class Caller:
    """A caller that sends or reads slowly.

    Attributes
    ----------
    request_id : str
        Id of its request.
    size : int
        Bytes of the answer.
    connection : socket
        Its connection.
    rest : bytes
        What it has not sent yet.
    got : bytes
        What it has read.
    """

    request_id: str
    size: int
    connection: socket.socket
    rest: bytes = b""
    got: bytes = b""


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        yield _requests_steps.make_cell(
            harness,
            settings={"mesh": {"mesh_queue_bytes": 64_000_000}},
            targets=TARGETS,
        )


@pytest.fixture
def stopping() -> list[harness_module.Process]:
    """Provide the list of the daemons that were asked to stop."""
    return []


def _terminate(
    world: _requests_steps.World,
    instance_id: str,
    stopping: list[harness_module.Process],
) -> None:
    for process in cell_module.daemons(world.cell, instance_id):
        process.popen.terminate()
        stopping.append(process)


def _victims(world: _requests_steps.World) -> list[str]:
    """Return the instances, owners of request shards first."""
    cell = world.cell
    asked = next(iter(cell.http_ports))
    owners = [
        cell_module.wait_for_row(cell, asked, shard)["owner"]
        for shard in _requests_steps.SHARDS
    ]
    return list(dict.fromkeys([*owners, *cell.http_ports]))


def _connect(
    world: _requests_steps.World, *, size: int, run_ms: float, padding: int
) -> tuple[Caller, str]:
    """Return a caller and the id of the instance that it asks."""
    instance_id = _victims(world)[-1]
    (wanted,) = _requests_steps.make_requests(world, 1)
    payload = {"run_ms": run_ms, "size": size, "padding": "x" * padding}
    body = json.dumps(
        {
            "id": wanted.request_id,
            "team": "makers",
            "idempotent": True,
            "deadline_unix_ms": int((time.time() + 8.0) * 1000),
            "payload": payload,
        }
    ).encode()
    head = (
        "POST /v1/services/layout/requests HTTP/1.1\r\n"
        f"Host: entry\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode()
    port = world.cell.http_ports[instance_id]
    caller = Caller(
        request_id=wanted.request_id,
        size=size,
        connection=socket.create_connection(
            (harness_module.HOST, port), timeout=10.0
        ),
        rest=head + body,
    )
    return caller, instance_id


def _send(caller: Caller, count: int) -> None:
    caller.connection.sendall(caller.rest[:count])
    caller.rest = caller.rest[count:]


def _read(caller: Caller) -> None:
    """Read until the entry closes the connection or pauses."""
    while True:
        try:
            data = caller.connection.recv(1_000_000)
        except OSError:
            return
        caller.got += data
        head, separator, body = caller.got.partition(b"\r\n\r\n")
        if not data or (separator and len(body) >= _length(head)):
            return


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


@given(
    parsers.parse(
        "callers send {rate:d} requests per second for {seconds:d} s"
    )
)
def steady_load(world: _requests_steps.World, rate: int, seconds: int) -> None:
    requests = _requests_steps.make_requests(
        world, rate * seconds, rate=rate, run_ms=250.0
    )
    world.loads.append(
        _callers.start(
            [
                attrs.evolve(each, idempotent=number % 4 != 0)
                for number, each in enumerate(requests)
            ]
        )
    )
    _requests_steps.wait_until_runs(world.cell, 16)


@when(parsers.parse("{count:d} instances get SIGTERM"))
def terminate(
    world: _requests_steps.World,
    count: int,
    stopping: list[harness_module.Process],
) -> None:
    for instance_id in _victims(world)[:count]:
        _terminate(world, instance_id, stopping)


@when(parsers.parse("the store is back after {seconds:g} s"))
def back_later(world: _requests_steps.World, seconds: float) -> None:
    time.sleep(seconds)
    harness_module.control(world.cell.store, {"reset": True})


@when("an operator drains the owner of requests/layout/0")
def drain(
    world: _requests_steps.World, stopping: list[harness_module.Process]
) -> None:
    victim = _victims(world)[0]
    asked = next(each for each in world.cell.http_ports if each != victim)
    status, answer = cell_module.call(
        world.cell, asked, "POST", f"/v1/instances/{victim}/drain"
    )
    assert (status, answer["state"]) == (202, "draining")
    stopping.append(cell_module.daemons(world.cell, victim)[0])


@when(
    "a caller has sent half of its body to an entry that gets SIGTERM",
    target_fixture="caller",
)
def half_sent(
    world: _requests_steps.World, stopping: list[harness_module.Process]
) -> Caller:
    caller, instance_id = _connect(world, size=100, run_ms=10.0, padding=BODY)
    _send(caller, BODY // 2)
    time.sleep(cell_module.SETTLE_S)
    _terminate(world, instance_id, stopping)
    return caller


@when(parsers.parse("it sends the other half {seconds:g} s later"))
def other_half_sent(caller: Caller, seconds: float) -> None:
    time.sleep(seconds)
    try:
        _send(caller, len(caller.rest))
    except OSError:
        return
    _read(caller)


@when(
    "a caller has read half of its answer from an entry that gets SIGTERM",
    target_fixture="caller",
)
def half_read(
    world: _requests_steps.World, stopping: list[harness_module.Process]
) -> Caller:
    caller, instance_id = _connect(world, size=LARGE, run_ms=10.0, padding=0)
    _send(caller, len(caller.rest))
    caller.got = caller.connection.recv(1_000)
    _terminate(world, instance_id, stopping)
    return caller


@when(parsers.parse("it reads the other half {seconds:g} s later"))
def other_half_read(caller: Caller, seconds: float) -> None:
    time.sleep(seconds)
    _read(caller)


@when("a caller disconnects while its request runs", target_fixture="asked")
def disconnect(world: _requests_steps.World) -> str:
    caller, instance_id = _connect(world, size=100, run_ms=300.0, padding=0)
    _send(caller, len(caller.rest))
    _requests_steps.wait_until_runs(world.cell, 1)
    caller.connection.close()
    return instance_id


@when("the entry that it asked gets SIGTERM")
def terminate_asked(
    world: _requests_steps.World,
    asked: str,
    stopping: list[harness_module.Process],
) -> None:
    _terminate(world, asked, stopping)


@then("it has its whole own answer")
def caller_has_answer(caller: Caller) -> None:
    head, _, body = caller.got.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head[:200]
    assert runner.check_response(body, caller.request_id, caller.size) == ""


@then("their daemons end with exit code 0")
@then("its scheduler ends with exit code 0")
def ended_well(stopping: list[harness_module.Process]) -> None:
    deadline = time.monotonic() + STOP_S
    codes = {}
    for process in stopping:
        try:
            left_s = max(0.1, deadline - time.monotonic())
            codes[process.name] = process.popen.wait(left_s)
        except subprocess.TimeoutExpired:
            codes[process.name] = None
    assert codes == {process.name: 0 for process in stopping}


@then("every idempotent request is answered")
def idempotent_answered(world: _requests_steps.World) -> None:
    codes = _callers.count_codes(
        each for each in world.outcomes if each.wanted.idempotent
    )
    assert set(codes) == {"answered"}
