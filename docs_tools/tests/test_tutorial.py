"""The commands of docs/tutorial.md run end to end with real processes."""

import os
import pathlib
import signal
import subprocess
import sys

import docs_tools
from standins import harness as harness_module

PORTS = 40
TIMEOUT_S = 60.0

# What the page promises, in the order of its sections.
PROMISED = (
    "accepted as version 1",
    "workers/0",
    '"runner": "runner-',
    "previews-1 batch makers succeeded 4",
    "accepted as version 2",
    "accepted as version 3",
    "config_conflict",
    "refused: exit code 1",
    "entry-1: gone",
    '"runner": "runner-',
    "requests/layout/0 entry-2",
    '"message": "entry: stopped"',
    '"message": "scheduler: stopped"',
)


def test_tutorial_runs(tmp_path: pathlib.Path) -> None:
    """Guards against commands that a reader cannot paste."""
    blocks = docs_tools.code_blocks(
        docs_tools.read_page("tutorial.md"), "bash"
    )
    script = "\n".join(["set -euo pipefail", *(b.text for b in blocks)])
    harness = harness_module.make_harness(tmp_path / "harness")
    environment = {
        **os.environ,
        "BASE": str(harness_module.find_ports(harness, PORTS)),
        "PATH": f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}",
        "TMPDIR": str(tmp_path),
    }
    process = subprocess.Popen(
        ["bash", "-c", script],
        cwd=docs_tools.ROOT,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=TIMEOUT_S)
    finally:
        # The background commands are in the process group of the shell.
        _kill_group(process.pid)
        process.wait()
    assert process.returncode == 0, output
    # Tables are padded with spaces.
    rest = " ".join(output.split())
    for text in PROMISED:
        _, found, rest = rest.partition(text)
        assert found, f"{text!r} is missing in:\n{output}"


def _kill_group(group: int) -> None:
    try:
        os.killpg(group, signal.SIGKILL)
    except ProcessLookupError:
        return
