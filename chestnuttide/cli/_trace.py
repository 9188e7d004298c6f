"""The command that traces an id through log files."""

import collections.abc
import json
import typing

from cleo.commands import command
from cleo import helpers

from chestnuttide.cli import _exits

# Fields that every line has; some are printed before the other fields.
_COMMON: typing.Final = frozenset(
    ("level", "logger", "message", "instance_id", "daemon", "timestamp")
)


class Trace(command.Command):
    """Print the log lines that contain an id, ordered by time."""

    name = "trace"
    description = "Trace the id of a job or a worker through log files."
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
        matches = trace_lines(self.argument("id"), lines)
        for line in matches:
            self.line(line)
        return _exits.EXIT_OK if matches else _exits.EXIT_REFUSED


def trace_lines(
    searched_id: str, lines: collections.abc.Iterable[str]
) -> list[str]:
    """Return the JSON log lines that contain an id, as text ordered by time.

    A line may have a prefix before its JSON object, such as the time and host
    added by a log collector. Lines without a JSON object are skipped.
    """
    matches = []
    for line in lines:
        start = line.find("{")
        if searched_id not in line or start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            # A truncated line does not hold a complete record.
            continue
        fields = " ".join(
            f"{name}={value}"
            for name, value in document.items()
            if name not in _COMMON
        )
        matches.append(
            (
                document.get("timestamp", ""),
                f"{document.get('timestamp', '')}"
                f" {document.get('instance_id', '')}"
                f" {document.get('message', '')} {fields}",
            )
        )
    return [text for _, text in sorted(matches, key=lambda match: match[0])]
