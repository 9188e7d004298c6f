"""The command that follows an id through log files."""

import collections.abc
import json
import typing

from cleo.commands import command
from cleo import helpers

from chestnuttide.cli import _exits

# Fields that each line has, or that the printed line shows in front.
_COMMON: typing.Final = frozenset(
    ("level", "logger", "message", "instance_id", "daemon", "timestamp")
)


class Trace(command.Command):
    """Print the lines of log files that name an id, in order of time."""

    name = "trace"
    description = "Follow the id of a job or a worker through log files."
    help = _exits.EXIT_HELP
    arguments: typing.ClassVar = [
        helpers.argument("id", "Id of a job, a task or a worker."),
        helpers.argument("files", "Log files of all instances.", False, True),
    ]

    def handle(self) -> int:
        """Print the lines and return the exit code."""
        lines: list[str] = []
        for name in self.argument("files"):
            with open(name, encoding="utf-8", errors="replace") as log:
                lines.extend(log)
        traced = trace_lines(self.argument("id"), lines)
        for line in traced:
            self.line(line)
        return _exits.EXIT_OK if traced else _exits.EXIT_REFUSED


def trace_lines(
    wanted: str, lines: collections.abc.Iterable[str]
) -> list[str]:
    """Return the JSON lines with an id as text, in order of time.

    A line may have other text before its JSON object, such as a collector's
    time and host. Lines without an object are passed over.
    """
    found = []
    for line in lines:
        begin = line.find("{")
        if wanted not in line or begin < 0:
            continue
        try:
            document = json.loads(line[begin:])
        except ValueError:
            # A line that was cut off; it holds no complete decision.
            continue
        fields = " ".join(
            f"{name}={value}"
            for name, value in document.items()
            if name not in _COMMON
        )
        found.append(
            (
                document.get("timestamp", ""),
                f"{document.get('timestamp', '')}"
                f" {document.get('instance_id', '')}"
                f" {document.get('message', '')} {fields}",
            )
        )
    return [text for _, text in sorted(found, key=lambda pair: pair[0])]
