"""A cell of real daemons on loopback, with stand-ins for the platform."""

import asyncio
import collections.abc
import contextlib
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs
from tornado import httpclient

from standins import cloud
from standins import harness

SERVICE = "layout"
HOST = "dials.example"
ROOT = pathlib.Path(__file__).parents[1]

# The store removes the entry of a worker after this time of silence.
ENTRY_EXPIRY_S = 4.5

# Ports for callers, readiness, mesh and metrics.
PORTS_PER_NODE = 4


@attrs.define(kw_only=True)
class Node:
    """A daemon and its process.

    Attributes
    ----------
    name : str
        Name of the instance.
    caller_port, readiness_port : int
        Ports for callers and for readiness.
    settings : Path
        Path of its settings file.
    process : Popen
        Its process.
    """

    name: str
    caller_port: int
    readiness_port: int
    settings: pathlib.Path
    process: subprocess.Popen


@attrs.define(kw_only=True)
class Cell:
    """A cell: the daemons and the stand-ins.

    Attributes
    ----------
    store, advisor : Store, Advisor
        Stand-ins for the store and the advisor.
    workers : list of Worker
        Workers of the only service.
    worker_addresses : list of str
        Address of each worker, as the daemons reach it.
    nodes : list of Node
        The daemons.
    """

    store: cloud.Store
    advisor: cloud.Advisor
    workers: list[cloud.Worker]
    worker_addresses: list[str] = attrs.field(factory=list)
    nodes: list[Node] = attrs.field(factory=list)


def make_config(
    version: int,
    *,
    prefix: str = "/layout/",
    service: str = SERVICE,
    services: tuple[str, ...] = (SERVICE,),
    workspaces: dict[str, list[str]] | None = None,
    caps: dict[str, int] | None = None,
    open_prefix: str = "",
    max_body_bytes: int = 65536,
    advised: bool = True,
) -> bytes:
    """Return a configuration with a queue and a version probe.

    The second route has the version in its path, so a request to it shows
    whether a daemon has applied this version. It needs no key.

    Parameters
    ----------
    version : int
        Version of the configuration.
    prefix : str
        Path prefix of the queue.
    service : str
        Service that runs the jobs of both routes.
    services : tuple of str
        All services.
    workspaces : dict of str to list of str, or None
        Keys of each workspace; None for a deployment without workspaces.
    caps : dict of str to int, or None
        Cap of workspaces on processors, in thousandths of a core.
    open_prefix : str
        Path prefix of a queue that needs no key; empty for none.
    max_body_bytes : int
        Largest body of a caller's request.
    advised : bool
        Whether the advisor decides which workers may run the queue's steps.
    """
    advice = {"advice": {"decideMs": 20.0, "eachMs": 0.3, "validityMs": 2000}}
    paths = [("q1", prefix), ("v", f"/v{version}/")]
    if open_prefix:
        paths.append(("open", open_prefix))
    tenants = {}
    if workspaces is not None:
        tenants["tenants"] = [
            {
                "name": name,
                "apiKeys": keys,
                "weight": 1.0,
                "cap": {"cpu": (caps or {}).get(name, 0)},
            }
            for name, keys in workspaces.items()
        ]
    return json.dumps(
        {
            **tenants,
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "prefix": path,
                    "service": service,
                    "priority": 0,
                    "maxAttempts": 2,
                    "stretch": 1.5,
                    "targetLatencyMs": 250,
                    "public": path != prefix,
                    **(advice if advised else {}),
                }
                for name, path in paths
            ],
            "services": [{"name": each} for each in services],
            "limits": {"maxBodyBytes": max_body_bytes},
        }
    ).encode()


@contextlib.asynccontextmanager
async def run_cell(
    folder: pathlib.Path,
    *,
    nodes: int = 3,
    workers: int = 3,
    capacity: dict[str, float] | None = None,
    max_body_bytes: int = 65536,
) -> collections.abc.AsyncIterator[Cell]:
    """Run a cell until the block ends.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    nodes, workers : int
        Number of daemons and of workers.
    capacity : dict of str to float or None
        The daemons' settings of the same name.
    max_body_bytes : int
        Largest body of a caller's request.
    """
    cell = Cell(
        store=cloud.Store(),
        advisor=cloud.Advisor(),
        workers=[
            cloud.Worker(
                id=f"i-{number}",
                service=SERVICE,
                capacity={"cpu": 8000, "memMb": 8000, "gpu": 0},
            )
            for number in range(workers)
        ],
    )
    servers = []

    def serve(handler: object, state: object) -> str:
        address, server = cloud.serve(functools.partial(handler, state))
        servers.append(server)
        return address

    store = serve(cloud.handle_store_request, cell.store)
    advisor = serve(cloud.handle_advisor_request, cell.advisor)
    for worker in cell.workers:
        address = serve(cloud.handle_worker_request, worker)
        cell.worker_addresses.append(address)
        entry = cloud.encode_entry(worker, address)
        cloud.put(cell.store, f"servers/{worker.id}", entry)
    config = make_config(1, max_body_bytes=max_body_bytes)
    cloud.put(cell.store, "op/config", config)
    ports = harness.make_harness(folder)
    try:
        for number in range(nodes):
            # An outgoing connection could take a port of the ephemeral range
            # before the daemon binds it, so the harness picks lower ports.
            caller_port = harness.find_ports(ports, PORTS_PER_NODE)
            cell.nodes.append(
                start_node(
                    folder,
                    f"n{number}",
                    store,
                    advisor,
                    caller_port,
                    capacity=capacity,
                )
            )
        for node in cell.nodes:
            await wait_until_ready(node)
        await wait_until(lambda: f"cell/owners/{SERVICE}" in cell.store.keys)
        yield cell
    finally:
        for node in cell.nodes:
            node.process.send_signal(signal.SIGCONT)
            node.process.kill()
            node.process.wait()
        for server in servers:
            server.stop()


def start_node(
    folder: pathlib.Path,
    name: str,
    store: str,
    advisor: str,
    caller_port: int,
    *,
    bounds: dict[str, object] | None = None,
    capacity: dict[str, float] | None = None,
) -> Node:
    """Write a daemon's settings and start it."""
    readiness_port, mesh_port, metrics_port = (
        caller_port + 1,
        caller_port + 2,
        caller_port + 3,
    )
    settings = folder / f"{name}.jsonc"
    settings.write_text(
        json.dumps(
            {
                "instance": name,
                "data_centre": "a",
                "ip": "127.0.0.1",
                "listen": {
                    "callers": f"127.0.0.1:{caller_port}",
                    "readiness": f"127.0.0.1:{readiness_port}",
                },
                "mesh_ports": [mesh_port, mesh_port],
                "store": {"address": store},
                "advisor": advisor,
                "metrics_port": metrics_port,
                "bounds": bounds or {},
                "capacity": capacity or {},
            }
        )
    )
    return Node(
        name=name,
        caller_port=caller_port,
        readiness_port=readiness_port,
        settings=settings,
        process=spawn(folder, name, settings),
    )


def spawn(
    folder: pathlib.Path, name: str, settings: pathlib.Path
) -> subprocess.Popen:
    """Start a daemon that logs to a file beside its settings."""
    with open(folder / f"{name}.log", "ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "chestnuttide.node"],
            cwd=ROOT,
            env={**os.environ, "CHESTNUTTIDE_CONFIG": str(settings)},
            stdout=log,
            stderr=log,
            preexec_fn=harness.kill_on_parent_exit,
        )


async def wait_until(
    condition: collections.abc.Callable[[], bool], *, limit_s: float = 15.0
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    AssertionError
        The condition did not hold in time.
    """
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            "the condition did not hold in time"
        )
        await asyncio.sleep(0.02)


async def wait_until_ready(node: Node) -> None:
    """Wait until a daemon is ready."""
    deadline_s = time.monotonic() + 15
    while (
        await call(f"http://127.0.0.1:{node.readiness_port}/v1/ready") != 200
    ):
        assert time.monotonic() < deadline_s, f"{node.name} is not ready"
        await asyncio.sleep(0.05)


async def call(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = 5.0,
) -> int:
    """Return the status of a request; 599 if there was no response."""
    status, _ = await fetch(url, method=method, body=body, timeout_s=timeout_s)
    return status


async def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, object]]:
    """Return the status and the decoded body of a response."""
    client = httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(
            httpclient.HTTPRequest(
                url,
                method=method,
                body=body,
                headers={"Host": HOST},
                request_timeout=timeout_s,
                allow_nonstandard_methods=True,
            ),
            raise_error=False,
        )
    except OSError:
        return 599, {}
    if response.code == 599 or not response.body:
        return response.code, {}
    return response.code, json.loads(response.body)


def url(node: Node, job_id: str = "") -> str:
    """Return the URL of a job, or of the queue if no id is given."""
    return f"http://127.0.0.1:{node.caller_port}/layout/{job_id}"


def make_job(*, count: int = 2, steps: int = 1) -> bytes:
    """Return the body of a submission."""
    return json.dumps(
        {
            "spec": "dial",
            "steps": [
                {
                    "count": count,
                    "cpu": 500,
                    "memMb": 100,
                    "estRuntimeMs": 200,
                    "after": [number - 1] if number else [],
                }
                for number in range(steps)
            ],
        }
    ).encode()


async def submit(node: Node, job_id: str, **job: int) -> int:
    """Submit a job and return the status."""
    return await call(url(node, job_id), method="POST", body=make_job(**job))


async def wait_until_state(
    node: Node, job_id: str, state: str, *, limit_s: float = 15.0
) -> None:
    """Wait until a daemon reports a job in the given state."""
    deadline_s = time.monotonic() + limit_s
    while True:
        _, document = await fetch(url(node, job_id))
        if document.get("state") == state:
            return
        assert time.monotonic() < deadline_s, (job_id, document)
        await asyncio.sleep(0.05)


def register_worker(cell: Cell, number: int) -> None:
    """Write the entry of a worker's current incarnation."""
    worker = cell.workers[number]
    cloud.put(
        cell.store,
        f"servers/{worker.id}",
        cloud.encode_entry(worker, cell.worker_addresses[number]),
    )


async def restart_worker(
    cell: Cell, number: int, *, down_s: float, new_id: str = ""
) -> None:
    """Restart a crashed worker, at times under a new id at its address."""
    await asyncio.sleep(down_s)
    worker = cell.workers[number]
    former_id = worker.id
    worker.id = new_id or former_id
    cloud.restart(worker)
    register_worker(cell, number)
    if new_id:
        await asyncio.sleep(max(0.0, ENTRY_EXPIRY_S - down_s))
        cloud.remove(cell.store, f"servers/{former_id}")


def owner_of(cell: Cell) -> Node:
    """Return the daemon that owns the service."""
    value = cell.store.keys[f"cell/owners/{SERVICE}"].value
    return next(node for node in cell.nodes if node.name.encode() in value)


def check_runs(cell: Cell) -> None:
    """Check that runs of a task share no number nor overlap on a worker.

    Overlaps of runs on two workers are not checked.
    """
    for worker in cell.workers:
        assert worker.overlaps == []
    runs_by_task: dict[str, list[int]] = {}
    for worker in cell.workers:
        for task, run in worker.starts:
            runs_by_task.setdefault(task, []).append(run)
    for task, runs in runs_by_task.items():
        assert len(set(runs)) == len(runs), (task, runs)
