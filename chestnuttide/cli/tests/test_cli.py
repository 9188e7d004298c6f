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
    """An entry that plays back answers and notes the calls.

    `answers` holds lists of status and body for each method and path; the
    last one of a list is repeated. A body of None means no answer.
    """

    address: str = ""
    answers: dict[str, list[tuple[int, object]]] = attrs.field(factory=dict)
    calls: list[tuple[str, typing.Any]] = attrs.field(factory=list)


class _Handler(web.RequestHandler):
    def initialize(self, entry: _FakeEntry) -> None:
        self._entry = entry

    async def prepare(self) -> None:
        name = f"{self.request.method} {self.request.uri}"
        body = self.request.body
        self._entry.calls.append((name, json.loads(body) if body else None))
        answers = self._entry.answers.get(name)
        if not answers:
            self.set_status(404)
            self.finish("no such page")
            return
        status, answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is None:
            await asyncio.sleep(1.0)
        self.set_status(status)
        self.finish(answer if isinstance(answer, str) else json.dumps(answer))


@pytest.fixture
def entry(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[_FakeEntry]:
    # The command runs its own event loop, so the fake entry needs another
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
    monkeypatch.setattr(_commands, "POLL_S", 0.01)
    yield fake
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)


def _write(path: pathlib.Path, text: str) -> str:
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("arguments", "call", "answer", "shown"),
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
            id="old_version_not_asked_for",
        ),
        pytest.param(
            ["config", "patch", "FILE", "--base", "6", "--author", "ann"],
            (
                "POST /v1/config/patches",
                {"base": 6, "patch": {"id": "j/1"}, "author": "ann"},
            ),
            {"version": 7},
            ["accepted as version 7"],
            id="patch_without_base_or_author",
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
            id="drain_not_asked_for",
        ),
    ],
)
def test_command(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    arguments: list[str],
    call: tuple[str, object],
    answer: object,
    shown: list[str],
) -> None:
    file = _write(tmp_path / "input.jsonc", '{"id": "j/1"} // a job')
    arguments = [file if part == "FILE" else part for part in arguments]
    entry.answers[call[0]] = [(200, answer)]
    assert cli.main(arguments) == cli.EXIT_OK
    text = capsys.readouterr().out
    for part in shown:
        assert part in text
    assert cli.main([*arguments, "--json"]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)
    assert entry.calls == [call, call]


def test_status_of_one_section(
    entry: _FakeEntry, capsys: pytest.CaptureFixture
) -> None:
    entry.answers["GET /v1/status"] = [(200, _STATUS)]
    assert cli.main(["status", "queues"]) == cli.EXIT_OK
    assert "instances" not in capsys.readouterr().out
    cli.main(["status", "queues", "--json"])
    found = json.loads(capsys.readouterr().out)
    assert found == {"queues": _STATUS["queues"]}


@pytest.mark.parametrize(
    ("arguments", "answers", "code", "shown"),
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
            "not that of an entry",
            id="foreign_server_raises",
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
            "did not answer within 0.2 s",
            id="silent_entry_blocks",
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
            id="bad_address_reaches_client",
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
            id="nearest_command_not_named",
        ),
        pytest.param(
            ["drain"], [], cli.EXIT_USAGE, "instance", id="missing_argument"
        ),
        pytest.param(
            ["status", "--frob"], [], cli.EXIT_USAGE, "frob", id="bad_option"
        ),
    ],
)
def test_failure(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    arguments: list[str],
    answers: list,
    code: int,
    shown: str,
) -> None:
    entry.answers["GET /v1/config"] = answers
    assert cli.main(arguments) == code
    captured = capsys.readouterr()
    assert shown in captured.err
    assert captured.out == ""
    assert cli.main([*arguments, "--json"]) == code
    assert json.loads(capsys.readouterr().out)["error"]["code"]
    if code == cli.EXIT_USAGE:
        assert entry.calls == []


def test_next_entry_is_asked_if_the_first_is_down(entry: _FakeEntry) -> None:
    entry.answers["GET /v1/status"] = [(200, _STATUS)]
    entries = f"127.0.0.1:1,{entry.address}"
    assert cli.main(["--entry", entries, "status"]) == cli.EXIT_OK


def test_call_that_may_have_run_is_not_sent_to_the_next_entry(
    entry: _FakeEntry,
) -> None:
    entry.answers["POST /v1/instances/a-1/drain"] = [(200, None)]
    entries = f"{entry.address},{entry.address}"
    arguments = ["drain", "a-1", "--entry", entries, "--timeout", "0.2"]
    assert cli.main(arguments) == cli.EXIT_TIMEOUT
    assert len(entry.calls) == 1


@pytest.mark.parametrize(
    ("arguments", "answers", "code", "progress", "shown"),
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
            id="wait_ends_early_or_at_a_restart",
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
def test_wait(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    arguments: list[str],
    answers: dict,
    code: int,
    progress: list[str],
    shown: str,
) -> None:
    file = _write(tmp_path / "job.json", json.dumps(_JOB))
    entry.answers.update({name: list(item) for name, item in answers.items()})
    arguments = [file if part == "FILE" else part for part in arguments]
    assert cli.main(arguments) == code
    captured = capsys.readouterr()
    assert shown in captured.out
    for part in progress:
        assert part in captured.err


@pytest.mark.parametrize(
    ("status", "answer", "code", "out"),
    [
        pytest.param(200, {"a": 1}, cli.EXIT_OK, '{"a": 1}', id="changed"),
        pytest.param(
            500, "oops", cli.EXIT_REFUSED, "oops", id="target_error_hidden"
        ),
        pytest.param(
            503,
            {"error": {"code": "queue_full", "message": "Full."}},
            cli.EXIT_REFUSED,
            "",
            id="refusal_printed_as_answer",
        ),
    ],
)
def test_request(
    entry: _FakeEntry,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
    status: int,
    answer: object,
    code: int,
    out: str,
) -> None:
    name = "POST /v1/services/casting/requests"
    entry.answers[name] = [(status, answer)]
    file = _write(tmp_path / "payload.json", '{"x": 1}')
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
        pytest.param([], id="bare_command"),
        pytest.param(["--help"], id="help"),
        pytest.param(["job", "submit", "--help"], id="help_of_command"),
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
