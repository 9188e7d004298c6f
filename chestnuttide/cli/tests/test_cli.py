import asyncio
import collections.abc
import json
import pathlib
import threading
import typing

import attrs
import pytest
from tornado import httpserver
from tornado import netutil
from tornado import web

from chestnuttide import cli
from chestnuttide.cli import _commands

_STATUS = {
    "instances": [
        {
            "instance_id": "a-1",
            "data_centre": "dc-1",
            "state": "live",
            "config_version": 7,
        },
        {
            "instance_id": "a-<2>",
            "data_centre": "dc-2",
            "state": "leaving",
            "config_version": 6,
        },
    ],
    "shards": [{"shard": "workers/main", "owner": "a-1", "epoch": 3}],
    "workers": [
        {
            "worker_id": "w-1",
            "state": "live",
            "ejected": False,
            "cpu_millis": 16_000,
            "cpu_millis_reserved": 4_000,
        }
    ],
    "queues": [{"shard": "workers/main", "waiting": 12, "running": 34}],
}
_JOB = {"id": "j/1", "kind": "batch", "team": "mill", "tasks": 4}
_REFUSAL = {
    "error": {
        "code": "config_conflict",
        "message": "Changed since version 3 by others: teams.mill.",
        "remedy": "Read version 7.",
        "run_state": "not_run",
        "details": {"paths": ["teams.mill"]},
    }
}


@attrs.define(kw_only=True)
class _FakeEntry:
    """A fake entry that sends preset responses and records the calls.

    `responses` maps each method and path to a list of statuses and bodies;
    the last one of a list is repeated. With a body of None the response is
    delayed.
    """

    address: str = ""
    responses: dict[str, list[tuple[int, object]]] = attrs.field(factory=dict)
    calls: list[tuple[str, typing.Any]] = attrs.field(factory=list)


class _Handler(web.RequestHandler):
    def initialize(self, entry: _FakeEntry) -> None:
        self._entry = entry

    async def prepare(self) -> None:
        name = f"{self.request.method} {self.request.uri}"
        body = self.request.body
        self._entry.calls.append((name, json.loads(body) if body else None))
        responses = self._entry.responses.get(name)
        if not responses:
            self.set_status(404)
            self.finish("not found")
            return
        status, response = (
            responses.pop(0) if len(responses) > 1 else responses[0]
        )
        if response is None:
            await asyncio.sleep(1.0)
        self.set_status(status)
        self.finish(
            response if isinstance(response, str) else json.dumps(response)
        )


@pytest.fixture
def entry(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[_FakeEntry]:
    # The command runs its own event loop, so the fake entry runs in another
    # thread.
    fake = _FakeEntry()
    started = threading.Event()
    loop = asyncio.new_event_loop()

    async def serve() -> None:
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server = httpserver.HTTPServer(
            web.Application([("/.*", _Handler, {"entry": fake})])
        )
        server.add_sockets(sockets)
        fake.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        started.set()

    def run() -> None:
        asyncio.set_event_loop(loop)
        loop.run_until_complete(serve())
        loop.run_forever()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    assert started.wait(5)
    monkeypatch.setenv(_commands.ENTRY_VARIABLE, fake.address)
    monkeypatch.setattr(_commands, "POLL_INTERVAL_S", 0.01)
    yield fake
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)


def _write_file(path: pathlib.Path, text: str) -> str:
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("arguments", "call", "response", "expected"),
    [
        pytest.param(
            ["config", "get"],
            ("GET /v1/config", None),
            {"version": 7, "document": {"pool": {}}},
            ["// version 7", '"pool": {}'],
            id="config_not_shown",
        ),
        pytest.param(
            ["config", "get", "3"],
            ("GET /v1/config?version=3", None),
            {"version": 3, "document": {}},
            ["// version 3"],
            id="requested_version_not_sent",
        ),
        pytest.param(
            ["config", "patch", "FILE", "--base", "6", "--author", "ann"],
            (
                "POST /v1/config/patches",
                {"base": 6, "patch": {"id": "j/1"}, "author": "ann"},
            ),
            {"version": 7},
            ["accepted as version 7"],
            id="patch_sent_without_base_or_author",
        ),
        pytest.param(
            ["config", "history"],
            ("GET /v1/config/history", None),
            {
                "head": 7,
                "patches": [
                    {
                        "version": 7,
                        "base": 5,
                        "author": "ann",
                        "patch": {"teams": {"mill": None}},
                    }
                ],
            },
            ["VERSION", "ann", "teams.mill"],
            id="changed_paths_not_shown",
        ),
        pytest.param(
            ["status"],
            ("GET /v1/status", None),
            _STATUS,
            ["instances (2)", "a-<2>", "workers/main", "CPU_MILLIS", "34"],
            id="markup_in_name_or_section_lost",
        ),
        pytest.param(
            ["job", "submit", "FILE"],
            ("POST /v1/jobs", {"id": "j/1"}),
            {"id": "j/1", "state": "queued"},
            ["j/1", "queued"],
            id="job_not_submitted",
        ),
        pytest.param(
            ["job", "list", "--team", "mill"],
            ("GET /v1/jobs", None),
            {"jobs": [{**_JOB, "state": "running"}]},
            ["j/1", "running"],
            id="jobs_not_listed",
        ),
        pytest.param(
            ["job", "read", "j/1"],
            ("GET /v1/jobs/j%2F1", None),
            {**_JOB, "state": "running"},
            ["j/1", "running"],
            id="slash_in_id_splits_path",
        ),
        pytest.param(
            ["job", "cancel", "j/1"],
            ("DELETE /v1/jobs/j%2F1", None),
            {**_JOB, "state": "cancelled"},
            ["cancelled"],
            id="job_not_cancelled",
        ),
        pytest.param(
            ["drain", "a-1"],
            ("POST /v1/instances/a-1/drain", {}),
            {"instance_id": "a-1", "state": "leaving"},
            ["a-1: leaving"],
            id="drain_not_requested",
        ),
    ],
)
def test_command_calls_entry_and_prints_response(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    arguments: list[str],
    call: tuple[str, object],
    response: object,
    expected: list[str],
) -> None:
    file = _write_file(tmp_path / "input.jsonc", '{"id": "j/1"} // a job')
    arguments = [file if part == "FILE" else part for part in arguments]
    entry.responses[call[0]] = [(200, response)]
    assert cli.main(arguments) == cli.EXIT_OK
    text = capsys.readouterr().out
    for part in expected:
        assert part in text
    assert cli.main([*arguments, "--json"]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)
    assert entry.calls == [call, call]


def test_status_prints_only_the_requested_section(
    entry: _FakeEntry, capsys: pytest.CaptureFixture
) -> None:
    entry.responses["GET /v1/status"] = [(200, _STATUS)]
    assert cli.main(["status", "queues"]) == cli.EXIT_OK
    assert "instances" not in capsys.readouterr().out
    cli.main(["status", "queues", "--json"])
    printed = json.loads(capsys.readouterr().out)
    assert printed == {"queues": _STATUS["queues"]}


@pytest.mark.parametrize(
    ("arguments", "responses", "code", "expected"),
    [
        pytest.param(
            ["config", "get"],
            [(409, _REFUSAL)],
            cli.EXIT_REFUSED,
            "config_conflict: Changed since version 3",
            id="refusal_looks_like_success",
        ),
        pytest.param(
            ["config", "get"],
            [(200, "<html>")],
            cli.EXIT_UNREACHABLE,
            "is not from an entry",
            id="response_of_other_server_raises",
        ),
        pytest.param(
            ["config", "get"],
            [(502, {"message": "bad gateway"})],
            cli.EXIT_UNREACHABLE,
            "status 502",
            id="error_without_code_looks_like_success",
        ),
        pytest.param(
            ["config", "get", "--timeout", "0.2"],
            [(200, None)],
            cli.EXIT_TIMEOUT,
            "did not respond within 0.2 s",
            id="unresponsive_entry_blocks",
        ),
        pytest.param(
            ["config", "get", "--entry", "127.0.0.1:1"],
            [],
            cli.EXIT_UNREACHABLE,
            "No connection to 127.0.0.1:1",
            id="closed_port_raises",
        ),
        pytest.param(
            ["config", "get", "--entry", "entry.example"],
            [],
            cli.EXIT_USAGE,
            "ip:port",
            id="invalid_address_reaches_client",
        ),
        pytest.param(
            ["config", "get", "x"],
            [],
            cli.EXIT_USAGE,
            "not a whole number",
            id="version_not_checked",
        ),
        pytest.param(
            ["config", "get", "--timeout", "nan"],
            [],
            cli.EXIT_USAGE,
            "above 0",
            id="timeout_not_checked",
        ),
        pytest.param(
            ["config", "patch", "-", "--author", "ann"],
            [],
            cli.EXIT_USAGE,
            "--base",
            id="patch_without_base_sent",
        ),
        pytest.param(
            ["job", "submit", "/nonexistent.json"],
            [],
            cli.EXIT_USAGE,
            "/nonexistent.json",
            id="missing_file_raises",
        ),
        pytest.param(
            ["status", "racks"],
            [],
            cli.EXIT_USAGE,
            "instances, shards, workers, queues",
            id="unknown_section_shows_nothing",
        ),
        pytest.param(
            ["request", "send", "casting"],
            [],
            cli.EXIT_USAGE,
            "--team",
            id="request_without_team_sent",
        ),
        pytest.param(
            ["config", "gte"],
            [],
            cli.EXIT_USAGE,
            "config get",
            id="nearest_command_not_suggested",
        ),
        pytest.param(
            ["drain"], [], cli.EXIT_USAGE, "instance", id="missing_argument"
        ),
        pytest.param(
            ["status", "--frob"],
            [],
            cli.EXIT_USAGE,
            "frob",
            id="unknown_option",
        ),
    ],
)
def test_error_is_printed_with_exit_code(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    arguments: list[str],
    responses: list,
    code: int,
    expected: str,
) -> None:
    entry.responses["GET /v1/config"] = responses
    assert cli.main(arguments) == code
    captured = capsys.readouterr()
    assert expected in captured.err
    assert captured.out == ""
    assert cli.main([*arguments, "--json"]) == code
    assert json.loads(capsys.readouterr().out)["error"]["code"]
    if code == cli.EXIT_USAGE:
        assert entry.calls == []


def test_next_entry_is_called_if_the_first_is_down(entry: _FakeEntry) -> None:
    entry.responses["GET /v1/status"] = [(200, _STATUS)]
    entries = f"127.0.0.1:1,{entry.address}"
    assert cli.main(["--entry", entries, "status"]) == cli.EXIT_OK


def test_call_that_may_have_run_is_not_sent_to_the_next_entry(
    entry: _FakeEntry,
) -> None:
    entry.responses["POST /v1/instances/a-1/drain"] = [(200, None)]
    entries = f"{entry.address},{entry.address}"
    arguments = ["drain", "a-1", "--entry", entries, "--timeout", "0.2"]
    assert cli.main(arguments) == cli.EXIT_TIMEOUT
    assert len(entry.calls) == 1


@pytest.mark.parametrize(
    ("arguments", "responses", "code", "expected_progress", "expected"),
    [
        pytest.param(
            ["job", "submit", "FILE", "--wait"],
            {
                "POST /v1/jobs": [(200, {"id": "j/1", "state": "queued"})],
                "GET /v1/jobs/j%2F1": [
                    (200, {**_JOB, "state": "queued"}),
                    (502, "restarting"),
                    (200, {**_JOB, "state": "running", "tasks_succeeded": 3}),
                    (200, {**_JOB, "state": "succeeded"}),
                ],
            },
            cli.EXIT_OK,
            ["job j/1: queued", "status 502", "running, 3 of 4 tasks"],
            "succeeded",
            id="wait_ends_early_or_on_entry_restart",
        ),
        pytest.param(
            ["job", "submit", "FILE", "--wait"],
            {
                "POST /v1/jobs": [(200, {"id": "j/1", "state": "queued"})],
                "GET /v1/jobs/j%2F1": [(200, {**_JOB, "state": "failed"})],
            },
            cli.EXIT_REFUSED,
            [],
            "failed",
            id="failed_job_looks_like_success",
        ),
        pytest.param(
            ["job", "submit", "FILE", "--wait", "--timeout", "0.2"],
            {
                "POST /v1/jobs": [(200, {"id": "j/1", "state": "queued"})],
                "GET /v1/jobs/j%2F1": [(200, {**_JOB, "state": "queued"})],
            },
            cli.EXIT_TIMEOUT,
            ["not done within 0.2 s (queued"],
            "",
            id="wait_never_ends",
        ),
        pytest.param(
            ["drain", "a-1", "--wait"],
            {
                "POST /v1/instances/a-1/drain": [(200, {"state": "leaving"})],
                "GET /v1/status": [
                    (200, _STATUS),
                    (200, {"instances": []}),
                ],
            },
            cli.EXIT_OK,
            ["drain of a-1: live"],
            "a-1: gone",
            id="drain_not_awaited",
        ),
    ],
)
def test_wait_polls_until_done(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    arguments: list[str],
    responses: dict,
    code: int,
    expected_progress: list[str],
    expected: str,
) -> None:
    file = _write_file(tmp_path / "job.json", json.dumps(_JOB))
    entry.responses.update(
        {name: list(item) for name, item in responses.items()}
    )
    arguments = [file if part == "FILE" else part for part in arguments]
    assert cli.main(arguments) == code
    captured = capsys.readouterr()
    assert expected in captured.out
    for part in expected_progress:
        assert part in captured.err


@pytest.mark.parametrize(
    ("status", "response", "code", "out"),
    [
        pytest.param(
            200, {"a": 1}, cli.EXIT_OK, '{"a": 1}', id="response_changed"
        ),
        pytest.param(
            500, "oops", cli.EXIT_REFUSED, "oops", id="target_error_hidden"
        ),
        pytest.param(
            503,
            {"error": {"code": "queue_full", "message": "Full."}},
            cli.EXIT_REFUSED,
            "",
            id="refusal_printed_as_response",
        ),
    ],
)
def test_request_send(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    status: int,
    response: object,
    code: int,
    out: str,
) -> None:
    name = "POST /v1/services/casting/requests"
    entry.responses[name] = [(status, response)]
    file = _write_file(tmp_path / "payload.json", '{"x": 1}')
    arguments = ["request", "send", "casting", file, "--team", "mill"]
    assert cli.main([*arguments, "--id", "r-1", "--urgent"]) == code
    assert capsys.readouterr().out.strip() == out
    (called, body) = entry.calls[0]
    assert called == name
    assert body.pop("deadline_unix_ms") > 1_000_000_000_000
    assert body == {
        "id": "r-1",
        "team": "mill",
        "urgent": True,
        "idempotent": False,
        "payload": {"x": 1},
    }


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param([], id="no_command"),
        pytest.param(["--help"], id="help"),
        pytest.param(["job", "submit", "--help"], id="command_help"),
    ],
)
def test_help_lists_exit_codes(
    capsys: pytest.CaptureFixture, arguments: list[str]
) -> None:
    assert cli.main(arguments) == cli.EXIT_OK
    text = capsys.readouterr().out
    for code, words in (
        (cli.EXIT_OK, "done"),
        (cli.EXIT_REFUSED, "refused"),
        (cli.EXIT_USAGE, "command line"),
        (cli.EXIT_UNREACHABLE, "reached"),
        (cli.EXIT_TIMEOUT, "in time"),
    ):
        assert any(
            line.split()[:1] == [str(code)] and words in line
            for line in text.splitlines()
        )
