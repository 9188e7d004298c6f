"""Processes for tests, demonstrations and scenarios.

The product starts no processes; this scaffolding does. Every process gets a
process group of its own and is killed when the harness closes, when Python
exits, or when the process of the harness dies.
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

# Ports below the kernel's range for outgoing connections, so that no
# connection takes a port between its choice and its use.
PORT_RANGE: typing.Final[tuple[int, int]] = (12_000, 30_000)

# Seconds until a started process must be ready, on a busy machine.
READY_TIMEOUT_S: typing.Final[float] = 15.0

# Seconds that a planned stop may take.
STOP_TIMEOUT_S: typing.Final[float] = 15.0

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_POLL_S: typing.Final[float] = 0.02
_PAUSE_POLL_S: typing.Final[float] = 0.001
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
        Its name in the harness and in log files.
    command : list of str
        Its command line.
    popen : Popen
        The process.
    log_path : Path
        File with its standard output.
    error_path : Path
        File with its standard error.
    control_port : int
        Port of ``/control/<name>`` of a stand-in; 0 for a daemon.
    ports : dict of str to int
        Ports of the stand-ins in the process, by their names.
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
        The processes by name, also those that have ended.
    taken : set of int
        Ports given out so far.
    rng : Random
        Draws ports.
    """

    directory: pathlib.Path
    processes: dict[str, Process] = attrs.Factory(dict)
    taken: set[int] = attrs.Factory(set)
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
    low, high = PORT_RANGE
    while True:
        first = harness.rng.randrange(low, high - count)
        ports = range(first, first + count)
        if harness.taken.isdisjoint(ports) and all(map(_is_free, ports)):
            harness.taken.update(ports)
            return first


def start(
    harness: Harness,
    name: str,
    command: collections.abc.Sequence[str],
    *,
    control_port: int = 0,
    ports: dict[str, int] | None = None,
) -> Process:
    """Start a command; a process of the same name must have ended.

    The logs of an earlier process of that name are continued.
    """
    earlier = harness.processes.get(name)
    if earlier is not None and earlier.popen.poll() is None:
        raise ValueError(f"{name} is running already")
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
            preexec_fn=die_with_parent,
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
        Name of the process; the kind when empty.
    count : int
        Workers or runners in the process; 0 for the other kinds.
    first_id : str
        ``<name>-<number>`` of the first worker or runner.
    arguments : sequence of str
        Further arguments.
    timeout_s : float
        Seconds until it must be ready.

    Returns
    -------
    Process
        Its `ports` are by the names of the stand-ins.
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
    """Start a daemon of the product; see `wait_for_http` for its readiness.

    Parameters
    ----------
    harness : Harness
        The harness.
    program : str
        ``entry`` or ``scheduler``.
    settings_path : str or path
        Its settings file.
    name : str
        Name of the process; the program when empty.
    """
    command = [sys.executable, "-m", f"chestnuttide.{program}"]
    command += ["--settings", str(settings_path)]
    return start(harness, name or program, command)


def restart(
    harness: Harness, name: str, *, timeout_s: float = READY_TIMEOUT_S
) -> Process:
    """Start an ended process again with the same command line."""
    earlier = harness.processes[name]
    process = start(
        harness,
        name,
        earlier.command,
        control_port=earlier.control_port,
    )
    if process.control_port:
        wait_until_ready(process, timeout_s=timeout_s)
    return process


def wait_until_ready(
    process: Process, *, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait for a stand-in's ready line and fill in its ports.

    Raises
    ------
    TimeoutError
        It is not ready in time.
    RuntimeError
        It has ended; the message has its standard error.
    """

    def find_ready() -> bool:
        # After a restart the log holds lines of earlier processes, so the
        # control port is asked, too.
        lines = [
            line
            for line in process.log_path.read_text().splitlines()
            if _READY_MESSAGE in line
        ]
        if not lines or not _connects(process.control_port):
            return False
        process.ports = json.loads(lines[-1])["ports"]
        return True

    wait_for(process, find_ready, timeout_s=timeout_s)


def wait_for_http(
    process: Process,
    port: int,
    path: str,
    *,
    status: int = 200,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until a daemon answers a GET with a status.

    Raises
    ------
    TimeoutError, RuntimeError
        See `wait_until_ready`.
    """

    def answers() -> bool:
        try:
            return call(port, "GET", path)[0] == status
        except (OSError, http.client.HTTPException):
            return False

    wait_for(process, answers, timeout_s=timeout_s)


def wait_for(
    process: Process,
    condition: collections.abc.Callable[[], bool],
    *,
    timeout_s: float,
) -> None:
    """Wait until a condition holds while a process runs.

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
        time.sleep(_POLL_S)


def kill(process: Process) -> None:
    """Crash a process with SIGKILL."""
    _signal(process, signal.SIGKILL)
    process.popen.wait()


def pause(process: Process) -> None:
    """Pause a process with SIGSTOP and wait until it stands still."""
    _signal(process, signal.SIGSTOP)
    # The kernel stops a process some time after the signal was sent. WSTOPPED
    # alone leaves the exit status to Popen.
    options = os.WSTOPPED | os.WNOHANG
    while process.popen.poll() is None:
        if os.waitid(os.P_PID, process.popen.pid, options) is not None:
            return
        time.sleep(_PAUSE_POLL_S)


def resume(process: Process) -> None:
    """Continue a paused process with SIGCONT."""
    _signal(process, signal.SIGCONT)


def terminate(process: Process, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Stop a process with SIGTERM and return its exit status.

    Raises
    ------
    subprocess.TimeoutExpired
        It is still running after the timeout.
    """
    _signal(process, signal.SIGTERM)
    return process.popen.wait(timeout=timeout_s)


def close(harness: Harness) -> None:
    """Kill every process that is still running."""
    for process in harness.processes.values():
        kill(process)


def control(
    process: Process, fields: dict[str, typing.Any], *, name: str = ""
) -> dict[str, typing.Any]:
    """Set faults of a stand-in; `name` selects one of several.

    Raises
    ------
    RuntimeError
        The stand-in refused the fields.
    """
    return _control(process, "POST", name, "", json.dumps(fields).encode())


def evidence(
    process: Process, *, name: str = "", query: str = ""
) -> dict[str, typing.Any]:
    """Return the evidence of a stand-in; `name` selects one of several."""
    return _control(process, "GET", name, query and f"?{query}", None)


def call(
    port: int, method: str, path: str, body: bytes | None = None
) -> tuple[int, bytes]:
    """Make one HTTP call to a loopback port; return status and body."""
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
    chosen = name or next(iter(process.ports))
    status, answer = call(
        process.control_port, method, f"/control/{chosen}{query}", body
    )
    if status != 200:
        raise RuntimeError(f"{chosen} answered {status}: {answer!r}")
    return json.loads(answer)


def _signal(process: Process, number: int) -> None:
    if process.popen.poll() is None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.popen.pid, number)


def _is_free(port: int) -> bool:
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind((HOST, port))
        except OSError:
            return False
    return True


def _connects(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=1.0).close()
    except OSError:
        return False
    return True


def die_with_parent() -> None:
    """Have the kernel kill this process when the harness's process ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
