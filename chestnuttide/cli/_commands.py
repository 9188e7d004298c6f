"""The commands that call an entry instance."""

import asyncio
import collections.abc
import json
import os
import pathlib
import sys
import time
import typing
import uuid

from cleo.commands import command
from cleo.formatters import formatter
from cleo import helpers
from cleo.io.outputs import output
import jsonc

from chestnuttide.cli import _api
from chestnuttide.cli import _client
from chestnuttide.cli import _exits
from chestnuttide import config
from chestnuttide import model

ENTRY_VARIABLE: typing.Final = "CHESTNUTTIDE_ENTRY"
AUTHOR_VARIABLE: typing.Final = "USER"
CALL_TIMEOUT_S: typing.Final = 10.0
WAIT_TIMEOUT_S: typing.Final = 600.0

POLL_INTERVAL_S: typing.Final = 0.5
# A poll with less time left would time out, and its error would replace the
# last known state in the message.
MIN_POLL_TIMEOUT_S: typing.Final = 0.05

# Added to the client's timeout, so that the entry's error for a missed
# deadline arrives before the client gives up.
DEADLINE_MARGIN_S: typing.Final = 2.0

_MS_PER_S: typing.Final = 1_000
_FIRST_ERROR_STATUS: typing.Final = 400
_STDIN: typing.Final = "-"


class _EntryCommand(command.Command):
    """Base class of commands that call an entry in `run_calls`."""

    help = _exits.EXIT_HELP

    def handle(self) -> int:
        """Run the command's calls and return the exit code."""
        try:
            return asyncio.run(self.run_calls())
        except KeyboardInterrupt:
            # cleo would exit with 1, which means a refusal here.
            return _exits.EXIT_INTERRUPTED

    async def run_calls(self) -> int:
        """Make the calls, print the result and return the exit code."""
        raise NotImplementedError

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float | None = None,
    ) -> typing.Any:
        """Call an entry and return the JSON object of its response."""
        reply = await _client.call(
            self.entry_addresses(),
            method,
            path,
            self.parse_timeout_s(CALL_TIMEOUT_S)
            if timeout_s is None
            else timeout_s,
            body,
        )
        return _client.decode(reply)

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the entries."""
        text = self.option("entry") or os.environ.get(ENTRY_VARIABLE, "")
        addresses = tuple(
            part.strip() for part in text.split(",") if part.strip()
        )
        for address in addresses:
            if not model.is_address(address):
                raise _exits.usage_error(
                    f"{address!r} is not an address.",
                    "Give --entry as ip:port, for example 10.0.0.7:8080.",
                )
        if not addresses:
            raise _exits.usage_error(
                "No entry address is given.",
                f"Set --entry ip:port or {ENTRY_VARIABLE}.",
            )
        return addresses

    def parse_timeout_s(self, default: float) -> float:
        """Return the timeout of the command in seconds."""
        text = self.option("timeout")
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if not 0 < value < float("inf"):
            raise _exits.usage_error(
                f"The timeout {text!r} is not a number above 0.",
                "Give --timeout in seconds.",
            )
        return value

    def parse_whole_number(self, name: str, text: str) -> int:
        """Return the non-negative whole number in a text."""
        if not (text.isascii() and text.isdigit()):
            raise _exits.usage_error(
                f"The {name} {text!r} is not a whole number.",
                f"Give the {name} as digits.",
            )
        return int(text)

    def print_text(self, text: str) -> None:
        """Print a line without interpreting cleo's markup."""
        self.io.write_line(text, type=output.Type.RAW)

    def print_json(self, value: object) -> None:
        """Print a value as JSON, on one line if --json is set."""
        indent = None if self.option("json") else 2
        self.print_text(json.dumps(value, indent=indent))

    def print_table(
        self,
        columns: collections.abc.Sequence[str],
        rows: collections.abc.Iterable[collections.abc.Mapping],
    ) -> None:
        """Print objects as a table."""
        table = self.table(style="compact")
        table.set_headers([name.upper() for name in columns])
        table.set_rows(
            [
                [
                    formatter.Formatter.escape(_format_cell(row.get(name)))
                    for name in columns
                ]
                for row in rows
            ]
        )
        table.render()

    async def wait_until(
        self,
        subject: str,
        poll: collections.abc.Callable[
            [float], collections.abc.Awaitable[tuple[bool, str, typing.Any]]
        ],
    ) -> typing.Any:
        """Poll until done and show progress on standard error.

        Parameters
        ----------
        subject : str
            Name of the operation, for the progress line.
        poll : function
            ``poll(timeout_s)`` returns whether the operation is done, a text
            for the progress line, and the result.
        """
        started = time.monotonic()
        limit_s = self.parse_timeout_s(WAIT_TIMEOUT_S)
        show_progress = _make_progress_printer(sys.stderr)
        progress = "no response yet"
        try:
            while True:
                remaining_s = limit_s - (time.monotonic() - started)
                if remaining_s <= MIN_POLL_TIMEOUT_S:
                    raise _exits.timeout_error(
                        f"{subject} was not done within {limit_s:g} s"
                        f" ({progress}).",
                        "Wait again with a longer --timeout.",
                    )
                try:
                    done, progress, result = await poll(
                        min(CALL_TIMEOUT_S, remaining_s)
                    )
                except _exits.CommandError as error:
                    if error.exit_code == _exits.EXIT_REFUSED:
                        raise
                    # An entry may be restarted or replaced during a long wait.
                    progress = error.message
                else:
                    if done:
                        return result
                show_progress(
                    f"{subject}: {progress}", time.monotonic() - started
                )
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            show_progress("", 0.0)


def _make_progress_printer(
    stream: typing.TextIO,
) -> collections.abc.Callable[[str, float], None]:
    """Return a function that shows a progress line.

    On a terminal the line is redrawn on each call. Otherwise a line is
    written only when its text changes.
    """
    last_progress = ""

    def show_progress(progress: str, elapsed_s: float) -> None:
        nonlocal last_progress
        if stream.isatty():
            line = f"{progress} ({elapsed_s:.0f} s)" if progress else ""
            stream.write(f"\r\x1b[K{line}")
        elif progress and progress != last_progress:
            stream.write(f"{progress}\n")
        last_progress = progress
        stream.flush()

    return show_progress


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)


def _read_json(path: str) -> typing.Any:
    """Return the JSON value in a file or in standard input.

    The JSON may have comments.
    """
    try:
        if path == _STDIN:
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text(encoding="utf-8")
        return jsonc.loads(text)
    except (OSError, ValueError) as error:
        raise _exits.usage_error(
            f"{path} cannot be read as JSON: {error}.",
            "Give a file with JSON, or - for standard input.",
        ) from error


def _read_object(path: str) -> dict[str, typing.Any]:
    value = _read_json(path)
    if not isinstance(value, dict):
        raise _exits.usage_error(
            f"{path} does not contain a JSON object.",
            "Put the fields into an object.",
        )
    return value


class ConfigGet(_EntryCommand):
    """Print the configuration."""

    name = "config get"
    description = "Print the configuration document."
    arguments: typing.ClassVar = [
        helpers.argument("number", "Version; default: the newest.", True)
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        path = _api.CONFIG_PATH
        number = self.argument("number")
        if number is not None:
            path = (
                f"{path}?version={self.parse_whole_number('version', number)}"
            )
        response = await self.call("GET", path)
        if not self.option("json"):
            self.print_text(f"// version {response.get(_api.VERSION)}")
            response = response.get(_api.DOCUMENT)
        self.print_json(response)
        return _exits.EXIT_OK


class ConfigPatch(_EntryCommand):
    """Submit a patch to the configuration."""

    name = "config patch"
    description = "Submit a JSON merge patch to the configuration."
    arguments: typing.ClassVar = [
        helpers.argument("file", "File with the patch; - for standard input.")
    ]
    options: typing.ClassVar = [
        helpers.option(
            "base", None, "Version that the patch is based on.", flag=False
        ),
        helpers.option(
            "author",
            None,
            f"Author of the patch; default: ${AUTHOR_VARIABLE}.",
            flag=False,
        ),
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        base = self.option("base")
        if base is None:
            # Defaulting to the newest version would hide conflicts if the
            # operator prepared the patch from an older one.
            raise _exits.usage_error(
                "The base version is missing.",
                "Give --base with the version printed by config get.",
            )
        author = self.option("author") or os.environ.get(AUTHOR_VARIABLE)
        if not author:
            raise _exits.usage_error(
                "The author is missing.", "Give --author with your name."
            )
        response = await self.call(
            "POST",
            _api.CONFIG_PATCHES_PATH,
            {
                _api.BASE: self.parse_whole_number("base", base),
                _api.PATCH: _read_object(self.argument("file")),
                _api.AUTHOR: author,
            },
        )
        if self.option("json"):
            self.print_json(response)
        else:
            self.print_text(
                f"accepted as version {response.get(_api.VERSION)}"
            )
        return _exits.EXIT_OK


class ConfigHistory(_EntryCommand):
    """List the patches to the configuration."""

    name = "config history"
    description = "List the recent patches, oldest first."

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        response = await self.call("GET", _api.CONFIG_HISTORY_PATH)
        if self.option("json"):
            self.print_json(response)
            return _exits.EXIT_OK
        rows = [
            {
                **record,
                "changed": ", ".join(
                    ".".join(path)
                    for path in config.changed_paths(
                        record.get(_api.PATCH) or {}
                    )
                ),
            }
            for record in response.get(_api.PATCHES, [])
        ]
        columns = (_api.VERSION, _api.BASE, _api.AUTHOR, "changed")
        self.print_table(columns, rows)
        return _exits.EXIT_OK


class Status(_EntryCommand):
    """Show the state of the cell."""

    name = "status"
    description = "Show instances, shards, workers and queues."
    arguments: typing.ClassVar = [
        helpers.argument(
            "section",
            f"One of {', '.join(_api.STATUS_COLUMNS)}; default: all.",
            True,
        )
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        section = self.argument("section")
        if section is not None and section not in _api.STATUS_COLUMNS:
            raise _exits.usage_error(
                f"There is no section {section!r}.",
                f"Give one of {', '.join(_api.STATUS_COLUMNS)}.",
            )
        response = await self.call("GET", _api.STATUS_PATH)
        sections = [section] if section else list(_api.STATUS_COLUMNS)
        if self.option("json"):
            self.print_json(
                {name: response.get(name, []) for name in sections}
                if section
                else response
            )
            return _exits.EXIT_OK
        for name in sections:
            rows = response.get(name, [])
            self.print_text(f"{name} ({len(rows)})")
            self.print_table(_api.STATUS_COLUMNS[name], rows)
        return _exits.EXIT_OK


class _JobCommand(_EntryCommand):
    """A command that shows one job."""

    def print_job(self, job: collections.abc.Mapping) -> None:
        """Print one job."""
        if self.option("json"):
            self.print_json(job)
        else:
            self.print_table(_api.JOB_COLUMNS, [job])


class JobSubmit(_JobCommand):
    """Submit a job."""

    name = "job submit"
    description = "Submit a job; resubmitting the same id is safe."
    arguments: typing.ClassVar = [
        helpers.argument("file", "File with the job; - for standard input.")
    ]
    options: typing.ClassVar = [
        helpers.option("wait", None, "Wait until the job has finished.")
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        job = _read_object(self.argument("file"))
        job_id = job.get(_api.ID)
        if not isinstance(job_id, str) or not job_id:
            raise _exits.usage_error(
                "The job has no id.", 'Add a unique string "id" to it.'
            )
        response = await self.call(
            "POST", _api.JOBS_PATH, job, timeout_s=self._call_timeout_s()
        )
        if not self.option("wait"):
            self.print_job({**job, **response})
            return _exits.EXIT_OK

        async def poll(timeout_s: float) -> tuple[bool, str, typing.Any]:
            current = await self.call(
                "GET", _api.job_path(job_id), timeout_s=timeout_s
            )
            state = current.get(_api.STATE)
            progress = (
                f"{state}, {current.get(_api.TASKS_SUCCEEDED, 0)} of"
                f" {current.get(_api.TASKS, '?')} tasks succeeded"
            )
            return state in _api.FINAL_JOB_STATES, progress, current

        final_job = await self.wait_until(f"job {job_id}", poll)
        self.print_job(final_job)
        if final_job.get(_api.STATE) == _api.SUCCEEDED_STATE:
            return _exits.EXIT_OK
        return _exits.EXIT_REFUSED

    def _call_timeout_s(self) -> float:
        return min(CALL_TIMEOUT_S, self.parse_timeout_s(CALL_TIMEOUT_S))


class JobList(_EntryCommand):
    """List jobs."""

    name = "job list"
    description = "List the jobs."
    options: typing.ClassVar = [
        helpers.option("team", None, "Only this team's jobs.", flag=False),
        helpers.option("state", None, "Only jobs in this state.", flag=False),
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        response = await self.call("GET", _api.JOBS_PATH)
        jobs = [
            job
            for job in response.get(_api.JOBS, [])
            if self.option("team") in (None, job.get(_api.TEAM))
            and self.option("state") in (None, job.get(_api.STATE))
        ]
        if self.option("json"):
            self.print_json({_api.JOBS: jobs})
        else:
            self.print_table(_api.JOB_COLUMNS, jobs)
        return _exits.EXIT_OK


class JobRead(_JobCommand):
    """Show one job."""

    name = "job read"
    description = "Show one job."
    arguments: typing.ClassVar = [helpers.argument("id", "Id of the job.")]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        path = _api.job_path(self.argument("id"))
        self.print_job(await self.call("GET", path))
        return _exits.EXIT_OK


class JobCancel(_JobCommand):
    """Cancel a job."""

    name = "job cancel"
    description = "Cancel a job; its running tasks are stopped."
    arguments: typing.ClassVar = [helpers.argument("id", "Id of the job.")]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        path = _api.job_path(self.argument("id"))
        self.print_job(await self.call("DELETE", path))
        return _exits.EXIT_OK


class RequestSend(_EntryCommand):
    """Send a request to a service."""

    name = "request send"
    description = "Send a request to a service and print the response."
    arguments: typing.ClassVar = [
        helpers.argument("service", "Name of the service."),
        helpers.argument(
            "file", "File with the JSON payload; - for standard input.", True
        ),
    ]
    options: typing.ClassVar = [
        helpers.option(
            "team", None, "Team to charge for the request.", flag=False
        ),
        helpers.option(
            "id", None, "Request id; generated by default.", flag=False
        ),
        helpers.option("urgent", None, "Schedule before non-urgent work."),
        helpers.option(
            "idempotent", None, "The request may be run more than once."
        ),
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        team = self.option("team")
        if not team:
            raise _exits.usage_error(
                "The team is missing.", "Give --team with the team's name."
            )
        path = self.argument("file")
        request_id = self.option("id") or uuid.uuid4().hex
        timeout_s = self.parse_timeout_s(CALL_TIMEOUT_S)
        reply = await _client.call(
            self.entry_addresses(),
            "POST",
            _api.requests_path(self.argument("service")),
            timeout_s + DEADLINE_MARGIN_S,
            {
                _api.ID: request_id,
                _api.TEAM: team,
                _api.URGENT: bool(self.option("urgent")),
                _api.IDEMPOTENT: bool(self.option("idempotent")),
                _api.DEADLINE_UNIX_MS: round(
                    (time.time() + timeout_s) * _MS_PER_S
                ),
                _api.PAYLOAD: {} if path is None else _read_json(path),
            },
        )
        _client.raise_refusal(reply)
        text = reply.body.decode("utf-8", "replace")
        if self.option("json"):
            self.print_json(
                {
                    _api.ID: request_id,
                    "status": reply.status,
                    "content_type": reply.content_type,
                    "body": text,
                }
            )
        else:
            self.print_text(text)
        if reply.status >= _FIRST_ERROR_STATUS:
            return _exits.EXIT_REFUSED
        return _exits.EXIT_OK


class Drain(_EntryCommand):
    """Stop an instance gracefully."""

    name = "drain"
    description = "Stop the daemons of an instance gracefully."
    arguments: typing.ClassVar = [
        helpers.argument("instance", "Id of the instance.")
    ]
    options: typing.ClassVar = [
        helpers.option("wait", None, "Wait until its daemons have stopped.")
    ]

    async def run_calls(self) -> int:
        """See `_EntryCommand`."""
        instance_id = self.argument("instance")
        response = await self.call(
            "POST",
            _api.drain_path(instance_id),
            {},
            timeout_s=min(
                CALL_TIMEOUT_S, self.parse_timeout_s(CALL_TIMEOUT_S)
            ),
        )
        if self.option("wait"):

            async def poll(timeout_s: float) -> tuple[bool, str, typing.Any]:
                status = await self.call(
                    "GET", _api.STATUS_PATH, timeout_s=timeout_s
                )
                instance = _find_instance(status, instance_id)
                state = instance.get(_api.STATE)
                return state in _api.DRAINED_STATES, str(state), instance

            response = await self.wait_until(f"drain of {instance_id}", poll)
        if self.option("json"):
            self.print_json(response)
        else:
            self.print_text(
                f"{instance_id}: {response.get(_api.STATE, 'draining')}"
            )
        return _exits.EXIT_OK


def _find_instance(
    status: collections.abc.Mapping, instance_id: str
) -> dict[str, typing.Any]:
    """Return an instance from a status; an unlisted instance is gone."""
    for instance in status.get(_api.INSTANCES, []):
        if instance.get(_api.INSTANCE_ID) == instance_id:
            return instance
    return {_api.INSTANCE_ID: instance_id, _api.STATE: _api.DRAINED_STATES[0]}


COMMANDS: typing.Final = (
    ConfigGet,
    ConfigPatch,
    ConfigHistory,
    Status,
    JobSubmit,
    JobList,
    JobRead,
    JobCancel,
    RequestSend,
    Drain,
)
