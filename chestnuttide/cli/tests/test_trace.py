"""Tests of tracing an id through log files."""

import json

import pytest

from chestnuttide.cli import _trace


def _line(timestamp: str, message: str, **fields: str) -> str:
    return json.dumps(
        {"timestamp": timestamp, "instance_id": "n1", "message": message}
        | fields
    )


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        pytest.param(
            [_line("2", "b", job="j1"), _line("1", "a", job="j1")],
            ["1 n1 a job=j1", "2 n1 b job=j1"],
            id="sorted-by-time",
        ),
        pytest.param([_line("1", "a", job="j2")], [], id="other-job"),
        pytest.param(
            ["11.5 host " + _line("1", "a", task="j1.0.0.3")],
            ["1 n1 a task=j1.0.0.3"],
            id="collector-prefix",
        ),
        pytest.param(['{"job": "j1"', "j1"], [], id="truncated-lines"),
    ],
)
def test_trace_lines(lines: list[str], expected: list[str]) -> None:
    """Guards against traces that omit log lines or have them unsorted."""
    assert _trace.trace_lines("j1", lines) == expected
