"""Scenarios: bad input over HTTP."""

import json
import re
import time
import typing

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

scenarios("requests_bad_input.feature")

# The default of entry.max_body_bytes.
MAX_BODY_BYTES = 1_048_576
# Time for the daemons to take a refusal into their metrics.
METRICS_S = 2.0
ENTRY = _requests_steps.INSTANCES[0]
REQUESTS = "/v1/services/layout/requests"
JOBS = "/v1/jobs"
PATCHES = "/v1/config/patches"

Call: typing.TypeAlias = tuple[str, str, bytes]


@pytest.fixture(scope="module")
def cell(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[cell_module.Cell]:
    with harness_module.running(tmp_path_factory.mktemp("cell")) as harness:
        cell = _requests_steps.make_cell(harness)
        cell_module.add_group(cell, cell_module.Group(name="worker", count=2))
        yield cell


def _request(**changes: object) -> bytes:
    body = {
        "id": f"bad-{time.monotonic_ns()}",
        "team": "makers",
        "deadline_unix_ms": int((time.time() + 5.0) * 1000),
        "payload": {"size": 10},
        **changes,
    }
    return json.dumps(body).encode()


def _job(**changes: object) -> bytes:
    body = {
        "id": f"bad-{time.monotonic_ns()}",
        "kind": "batch",
        "team": "makers",
        "workload_class": "preview",
        "resources": {"cpu_millis": 100, "memory_mb": 100},
        **changes,
    }
    return json.dumps(body).encode()


def _patch(base: int, patch: dict[str, object]) -> bytes:
    body = {"base": base, "patch": patch, "author": "test"}
    return json.dumps(body).encode()


def _set_team_weight(cell: cell_module.Cell, weight: float) -> int:
    patch = {"teams": {"makers": {"weight": weight}}}
    return cell_module.patch_config(cell, ENTRY, patch)


def _make_call(world: _requests_steps.World, name: str) -> Call:
    """Return method, path and body of a bad call."""
    cell = world.cell
    head = cell_module.call(cell, ENTRY, "GET", "/v1/config")[1]["version"]
    match name:
        case "a malformed body":
            return "POST", REQUESTS, b'{"id": '
        case "a body that is no object":
            return "POST", REQUESTS, b"[1]"
        case "an unknown field":
            return "POST", REQUESTS, _request(urgnt=True)
        case "a body above the limit":
            return "POST", REQUESTS, _request(payload="x" * MAX_BODY_BYTES)
        case "a deadline in the past":
            return "POST", REQUESTS, _request(deadline_unix_ms=1)
        case "no id":
            return "POST", REQUESTS, _request(id=None)
        case "a job of negative size":
            return (
                "POST",
                JOBS,
                _job(resources={"cpu_millis": -1, "memory_mb": 1}),
            )
        case "a job larger than every worker":
            return (
                "POST",
                JOBS,
                _job(resources={"cpu_millis": 10**8, "memory_mb": 1}),
            )
        case "a job of an unknown team":
            return "POST", JOBS, _job(team="nobody")
        case "an id that was used":
            body = _request()
            port = cell.http_ports[ENTRY]
            assert harness_module.call(port, "POST", REQUESTS, body)[0] == 200
            return "POST", REQUESTS, body
        case "a request to an unknown service":
            return "POST", "/v1/services/nothing/requests", _request()
        case "a request of an unknown team":
            return "POST", REQUESTS, _request(team="nobody")
        case "a patch of a stale base":
            weight = 2.0 + head
            _set_team_weight(cell, weight)
            patch = {"teams": {"makers": {"weight": weight + 0.5}}}
            return "POST", PATCHES, _patch(head, patch)
        case "a patch with an unknown field":
            return "POST", PATCHES, _patch(head, {"servces": {}})
        case "a call to an unknown path":
            return "POST", "/v1/nothing", _request()
        case "a call with an unknown method":
            return "PUT", REQUESTS, _request()
    raise ValueError(name)


def _read_metrics(ports: typing.Iterable[int]) -> str:
    return "\n".join(
        harness_module.call(port, "GET", "/metrics")[1].decode()
        for port in ports
    )


def _count(text: str, code: str) -> float:
    pattern = re.compile(
        r'^chestnuttide_refusals_total\{[^}]*reason="'
        + code
        + r'"[^}]*\} ([0-9.e+]+)$',
        re.MULTILINE,
    )
    return sum(float(each) for each in pattern.findall(text))


def _ports(cell: cell_module.Cell, daemon: str) -> list[int]:
    """Return the metrics ports of the daemons that may have refused."""
    if daemon == "entry":
        # The metrics port follows the HTTP port; see `add_instance`.
        return [cell.http_ports[ENTRY] + 1]
    return list(cell.metrics_ports.values())


@when(parsers.parse("a caller sends {name}"), target_fixture="refusal")
def send_bad(world: _requests_steps.World, name: str) -> dict[str, typing.Any]:
    cell = world.cell
    method, path, body = _make_call(world, name)
    before = {
        daemon: _read_metrics(_ports(cell, daemon))
        for daemon in ("entry", "scheduler")
    }
    port = cell.http_ports[ENTRY]
    status, answer = harness_module.call(port, method, path, body)
    return {"before": before, "status": status, "answer": answer}


@then(parsers.parse("it gets status {status:d} and code {code} with a remedy"))
def refused(refusal: dict[str, typing.Any], status: int, code: str) -> None:
    assert refusal["status"] == status, refusal
    error = json.loads(refusal["answer"])["error"]
    assert error["code"] == code
    assert error["message"].endswith(".")
    assert error["remedy"].endswith((".", "?"))


@then(parsers.parse("the refusal counter of {code} increases at the {daemon}"))
def counted(
    world: _requests_steps.World,
    refusal: dict[str, typing.Any],
    code: str,
    daemon: str,
) -> None:
    ports = _ports(world.cell, daemon)
    before = _count(refusal["before"][daemon], code)
    cell_module.wait_for(
        world.cell,
        lambda: _count(_read_metrics(ports), code) > before,
        f"refusals for {code} at the {daemon}",
        METRICS_S,
    )


@then("a following good request is answered")
def good_request(world: _requests_steps.World) -> None:
    ports = (world.cell.http_ports[ENTRY],)
    requests = _requests_steps.make_requests(world, 1, ports=ports)
    codes = _callers.count_codes(_callers.send(requests))
    assert dict(codes) == {"answered": 1}
