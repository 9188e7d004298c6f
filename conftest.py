"""Passes over the tests that KNOWN-RED.txt lists, and over no others.

An entry is a paragraph whose first line is ``test: <node id>``. A listed test
that passes, or that does not exist, fails the run until its entry is removed.
"""

import pathlib

import pytest

_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_PREFIX = "test: "


def _read_entries() -> list[str]:
    if not _FILE.exists():
        return []
    lines = _FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    ]


def pytest_collection_modifyitems(
    session: pytest.Session,
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Mark the listed tests as expected to fail."""
    found = {item.nodeid: item for item in items}
    for entry in _read_entries():
        if entry in found:
            found[entry].add_marker(
                pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")
            )
        elif not config.args_source.name == "ARGS":
            raise pytest.UsageError(
                f"KNOWN-RED.txt lists {entry}, which does not exist."
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests."""
    for entry in _read_entries():
        terminalreporter.write_line(f"known red: {entry}")
