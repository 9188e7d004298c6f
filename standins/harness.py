"""Starts and stops processes for tests, demonstrations and scenarios.

Every process runs in its own process group and is killed when the harness
closes, when Python exits, or when the process of the harness dies. The product
itself starts no processes.
"""

import atexit
import collections.abc
import contextlib
import ctypes
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import attrs

HOST: typing.Final[str] = "127.0.0.1"

# Below the kernel's ephemeral port range, so that no outgoing connection takes
# a port between its selection and its use.
PORT_RANGE: typing.Final[tuple[int, int]] = (12_000, 30_000)

# Time limit for a started process to become ready, even on a busy machine.
READY_TIMEOUT_S: typing.Final[float] = 15.0

# Time limit of a graceful stop.
STOP_TIMEOUT_S: typing.Final[float] = 15.0

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_CONDITION_POLL_S: typing.Final[float] = 0.02
_STOPPED_POLL_S: typing.Final[float] = 0.001
_CONTROL_TIMEOUT_S: typing.Final[float] = 10.0
_READY_MESSAGE: typing.Final[str] = '"stand-in: ready"'
_PR_SET_PDEATHSIG: typing.Final[int] = 1
_LIBC: typing.Final = ctypes.CDLL(None)


@attrs.define(kw_only=True)
class Process:
    """A started process.

    Attributes
    ----------
    name : str
        Name in the harness and in the names of log files.
    command : list of str
        Command line.
    popen : Popen
        The operating system process.
    log_path : Path
        File with its standard output.
    error_path : Path
        File with its standard error.
    control_port : int
        Port of ``/control/<name>`` of a stand-in; 0 for a daemon.
    ports : dict of str to int
        Ports of the stand-ins in the process, by name.
    """

    name: str
    command: list[str]
    popen: subprocess.Popen[bytes]
    log_path: pathlib.Path
    error_path: pathlib.Path
    control_port: int = 0
    ports: dict[str, int] = attrs.Factory(dict)


@attrs.define(kw_only=True)
class Harness:
    """All processes of one test.

    Attributes
    ----------
    directory : Path
        Directory of the logs.
    processes : dict of str to Process
        Processes by name, including ended ones.
    allocated_ports : set of int
        Ports handed out so far.
    rng : Random
        Picks ports.
    """

    directory: pathlib.Path
    processes: dict[str, Process] = attrs.Factory(dict)
    allocated_ports: set[int] = attrs.Factory(set)
    rng: random.Random = attrs.Factory(random.Random)


def make_harness(directory: str | os.PathLike[str]) -> Harness:
    """Return a harness that logs to a directory and closes at exit."""
    harness = Harness(directory=pathlib.Path(directory))
    harness.directory.mkdir(parents=True, exist_ok=True)
    atexit.register(close, harness)
    return harness


@contextlib.contextmanager
def running(
    directory: str | os.PathLike[str],
) -> collections.abc.Iterator[Harness]:
    """Provide a harness and close it afterwards."""
    harness = make_harness(directory)
    try:
        yield harness
    finally:
        close(harness)


def find_ports(harness: Harness, count: int = 1) -> int:
    """Return the first of `count` consecutive free loopback ports."""
    first_port, end_port = PORT_RANGE
    while True:
        first = harness.rng.randrange(first_port, end_port - count)
        ports = range(first, first + count)
        if harness.allocated_ports.isdisjoint(ports) and all(
            map(_is_free, ports)
        ):
            harness.allocated_ports.update(ports)
            return first


def start(
    harness: Harness,
    name: str,
    command: collections.abc.Sequence[str],
    *,
    control_port: int = 0,
    ports: dict[str, int] | None = None,
) -> Process:
    """Start a command; an earlier process of the same name must have ended.

    The new process appends to the log files of the earlier one.
    """
    previous = harness.processes.get(name)
    if previous is not None and previous.popen.poll() is None:
        raise ValueError(f"{name} is already running")
    log_path = harness.directory / f"{name}.log"
    error_path = harness.directory / f"{name}.err"
    environment = {**os.environ, "PYTHONPATH": str(_ROOT)}
    with log_path.open("ab") as log, error_path.open("ab") as error:
        popen = subprocess.Popen(
            list(command),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=error,
            cwd=_ROOT,
            env=environment,
            start_new_session=True,
            preexec_fn=kill_on_parent_exit,
        )
    process = Process(
        name=name,
        command=list(command),
        popen=popen,
        log_path=log_path,
        error_path=error_path,
        control_port=control_port,
        ports=ports or {},
    )
    harness.processes[name] = process
    return process


def start_standin(
    harness: Harness,
    kind: str,
    *,
    name: str = "",
    count: int = 0,
    first_id: str = "",
    arguments: collections.abc.Sequence[str] = (),
    timeout_s: float = READY_TIMEOUT_S,
) -> Process:
    """Start a stand-in and wait until it is ready.

    Parameters
    ----------
    harness : Harness
        The harness.
    kind : str
        ``store``, ``instance_list``, ``worker_agent`` or ``runner``.
    name : str
        Name of the process; defaults to the kind.
    count : int
        Number of workers or runners in the process; 0 for the other kinds.
    first_id : str
        Id ``<name>-<number>`` of the first worker or runner.
    arguments : sequence of str
        Further command line arguments.
    timeout_s : float
        Time limit for it to become ready, in seconds.

    Returns
    -------
    Process
        The process, with the ports of its stand-ins.
    """
    port = find_ports(harness, max(1, count))
    control_port = find_ports(harness)
    command = [sys.executable, "-m", f"standins.{kind}"]
    command += ["--port", str(port), "--control-port", str(control_port)]
    if count:
        command += ["--count", str(count)]
    if first_id:
        command += ["--first-id", first_id]
    process = start(
        harness,
        name or kind,
        [*command, *arguments],
        control_port=control_port,
    )
    wait_until_ready(process, timeout_s=timeout_s)
    return process


def start_daemon(
    harness: Harness,
    program: str,
    settings_path: str | os.PathLike[str],
    *,
    name: str = "",
) -> Process:
    """Start a daemon of the product without waiting until it is ready.

    `wait_for_http` waits for its readiness.

    Parameters
    ----------
    harness : Harness
        The harness.
    program : str
        ``entry`` or ``scheduler``.
    settings_path : str or path
        Path of its settings file.
    name : str
        Name of the process; defaults to the program.
    """
    command = [sys.executable, "-m", f"chestnuttide.{program}"]
    command += ["--settings", str(settings_path)]
    return start(harness, name or program, command)


def restart(
    harness: Harness, name: str, *, timeout_s: float = READY_TIMEOUT_S
) -> Process:
    """Restart an ended process with the same command line."""
    previous = harness.processes[name]
    process = start(
        harness,
        name,
        previous.command,
        control_port=previous.control_port,
    )
    if process.control_port:
        wait_until_ready(process, timeout_s=timeout_s)
    return process


def wait_until_ready(
    process: Process, *, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait for a stand-in's ready line and store the ports it lists.

    Raises
    ------
    TimeoutError
        The stand-in is not ready in time.
    RuntimeError
        The stand-in has ended; the message includes its standard error.
    """

    def is_ready() -> bool:
        # After a restart the log still holds the ready lines of earlier
        # processes, so the control port must accept connections as well.
        lines = [
            line
            for line in process.log_path.read_text().splitlines()
            if _READY_MESSAGE in line
        ]
        if not lines or not _accepts_connections(process.control_port):
            return False
        process.ports = json.loads(lines[-1])["ports"]
        return True

    wait_for(process, is_ready, timeout_s=timeout_s)


def wait_for_http(
    process: Process,
    port: int,
    path: str,
    *,
    status: int = 200,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until a daemon responds to a GET with the given status.

    Raises
    ------
    TimeoutError, RuntimeError
        See `wait_until_ready`.
    """

    def has_status() -> bool:
        try:
            return call(port, "GET", path)[0] == status
        except (OSError, http.client.HTTPException):
            return False

    wait_for(process, has_status, timeout_s=timeout_s)


def wait_for(
    process: Process,
    condition: collections.abc.Callable[[], bool],
    *,
    timeout_s: float,
) -> None:
    """Wait until a condition holds; fail if the process ends first.

    Raises
    ------
    TimeoutError, RuntimeError
        See `wait_until_ready`.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if process.popen.poll() is not None:
            raise RuntimeError(
                f"{process.name} ended with {process.popen.returncode}:"
                f" {process.error_path.read_text()[-2000:]}"
            )
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"{process.name} is not ready after {timeout_s} s:"
                f" {process.error_path.read_text()[-2000:]}"
            )
        time.sleep(_CONDITION_POLL_S)


def kill(process: Process) -> None:
    """Kill a process group with SIGKILL and wait for its end."""
    _send_signal(process, signal.SIGKILL)
    process.popen.wait()


def pause(process: Process) -> None:
    """Pause a process with SIGSTOP and wait until it has stopped."""
    _send_signal(process, signal.SIGSTOP)
    # The kernel stops a process some time after the signal was sent. Without
    # WEXITED, waitid leaves the exit status to Popen.
    options = os.WSTOPPED | os.WNOHANG
    while process.popen.poll() is None:
        if os.waitid(os.P_PID, process.popen.pid, options) is not None:
            return
        time.sleep(_STOPPED_POLL_S)


def resume(process: Process) -> None:
    """Resume a paused process with SIGCONT."""
    _send_signal(process, signal.SIGCONT)


def terminate(process: Process, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Stop a process with SIGTERM and return its exit status.

    Raises
    ------
    subprocess.TimeoutExpired
        The process is still running after the timeout.
    """
    _send_signal(process, signal.SIGTERM)
    return process.popen.wait(timeout=timeout_s)


def close(harness: Harness) -> None:
    """Kill every process that is still running."""
    for process in harness.processes.values():
        kill(process)


def control(
    process: Process, fields: dict[str, typing.Any], *, name: str = ""
) -> dict[str, typing.Any]:
    """Set faults of a stand-in; `name` selects one of several in a process.

    Raises
    ------
    RuntimeError
        The stand-in rejected the fields.
    """
    return _control(process, "POST", name, "", json.dumps(fields).encode())


def evidence(
    process: Process, *, name: str = "", query: str = ""
) -> dict[str, typing.Any]:
    """Return a stand-in's observations; `name` selects one of several."""
    return _control(process, "GET", name, query and f"?{query}", None)


def call(
    port: int, method: str, path: str, body: bytes | None = None
) -> tuple[int, bytes]:
    """Make an HTTP request to a loopback port; return status and body."""
    connection = http.client.HTTPConnection(
        HOST, port, timeout=_CONTROL_TIMEOUT_S
    )
    try:
        connection.request(method, path, body=body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _control(
    process: Process, method: str, name: str, query: str, body: bytes | None
) -> dict[str, typing.Any]:
    standin_name = name or next(iter(process.ports))
    status, answer = call(
        process.control_port, method, f"/control/{standin_name}{query}", body
    )
    if status != 200:
        raise RuntimeError(
            f"{standin_name} responded with {status}: {answer!r}"
        )
    return json.loads(answer)


def _send_signal(process: Process, signal_number: int) -> None:
    if process.popen.poll() is None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.popen.pid, signal_number)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _accepts_connections(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=1.0).close()
    except OSError:
        return False
    return True


def kill_on_parent_exit() -> None:
    """Have the kernel kill this process when its parent dies."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
