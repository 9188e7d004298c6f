import pathlib
import subprocess
import sys
import time

import pytest

from standins import harness


def test_process_lifecycle(tmp_path: pathlib.Path) -> None:
    """Guards against a harness that starts, pauses or stops wrongly."""
    with harness.running(tmp_path) as processes:
        runners = harness.start_standin(
            processes, "runner", count=2, first_id="casting-5"
        )
        store = harness.start_standin(processes, "store")
        assert list(runners.ports) == ["casting-5", "casting-6"]
        assert runners.ports["casting-6"] == runners.ports["casting-5"] + 1

        harness.control(runners, {"refuse_connects": True}, name="casting-6")
        with pytest.raises(ConnectionRefusedError):
            harness.call(runners.ports["casting-6"], "GET", "/v1/status")
        harness.control(runners, {"reset": True}, name="casting-6")
        status, _body = harness.call(
            runners.ports["casting-6"], "GET", "/v1/status"
        )
        assert status == 200
        with pytest.raises(RuntimeError, match="Unknown control fields"):
            harness.control(store, {"dwon": True})

        harness.pause(store)
        state = pathlib.Path(f"/proc/{store.popen.pid}/stat").read_text()
        assert state.split()[2] == "T"
        harness.resume(store)
        assert harness.evidence(store)["revision"] == 0

        harness.kill(store)
        restarted = harness.restart(processes, "store")
        assert restarted.ports == store.ports
        assert harness.terminate(restarted) == 0
        assert runners.popen.poll() is None
    assert runners.popen.poll() is not None


def test_failed_start_reports_the_reason(tmp_path: pathlib.Path) -> None:
    """Guards against a failed start that looks like a slow one."""
    with harness.running(tmp_path) as processes:
        with pytest.raises(RuntimeError, match="unrecognized arguments"):
            harness.start_standin(
                processes, "store", arguments=["--no-such-argument"]
            )


def test_processes_end_with_the_harness(tmp_path: pathlib.Path) -> None:
    """Guards against processes left behind by a killed test run."""
    script = (
        "import os, signal, sys\n"
        "from standins import harness\n"
        "processes = harness.make_harness(sys.argv[1])\n"
        "store = harness.start_standin(processes, 'store')\n"
        "print(store.popen.pid, flush=True)\n"
        "os.kill(os.getpid(), signal.SIGKILL)\n"
    )
    root = pathlib.Path(harness.__file__).parent.parent
    ended = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path)],
        cwd=root,
        capture_output=True,
        timeout=30,
    )
    pid = int(ended.stdout)
    for _ in range(200):
        try:
            stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
        except FileNotFoundError:
            return
        if stat.split()[2] == "Z":
            return
        time.sleep(0.02)
    pytest.fail(f"process {pid} is still running: {stat}")
