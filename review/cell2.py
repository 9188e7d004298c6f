"""A cell of real daemons on loopback with stand-ins, for the cases from 6 on.

The daemons are processes of their own, started with the command of the deploy
file. The store, the advisor and the runners are the project's stand-ins, in
the process of the case. The runners take run times from the job's text, show
lasting tasks at work after a short startup, and may be unhealthy.
"""

import asyncio
import collections.abc
import contextlib
import functools
import json
import os
import pathlib
import sys
import tempfile
import time
import typing

import attrs
from tornado import httpclient
from tornado import httputil

from standins import cloud
from standins import harness
from standins import node_cell

# Whether the case's disruption is to happen.
TROUBLE: typing.Final = os.environ.get("TROUBLE", "1") != "0"

SERVICE: typing.Final = node_cell.SERVICE

# A lasting task is at work this long after its start.
STARTUP_S: typing.Final = 0.5

# Stands for the run time of a task that lasts.
LASTING_S: typing.Final = 1e6

# Ports for callers, readiness, mesh and metrics.
PORTS_PER_NODE: typing.Final = 4

# Time in which a daemon has to be ready. One whose port another process has
# taken meanwhile ends and is started on other ports.
READY_TIMEOUT_S: typing.Final = 25.0

# Longest lease of a runner on `gnomon-coop`; 6 s on `voicecast`.
LONGEST_LEASE_S: typing.Final = 10.0

# Other bounds of `gnomon-coop`, under the names of the daemon's settings.
BOUNDS: typing.Final[dict[str, object]] = {
    "stop_ms": 900,
    "status_s": 120,
    "grace_s": 6,
    "worker_heartbeat_ms": 1500,
}
CAPACITY: typing.Final[dict[str, float]] = {
    "core_share": 0.537,
    "core_speed": 2,
    "link_mbps": 1000.0,
    "memory_mb": 300,
    "max_files": 4100,
}


@attrs.define(kw_only=True)
class Bed:
    """A running cell and what its clients and runners have seen.

    Attributes
    ----------
    started_s : float
        Monotonic time at which the case began.
    lines : list of str
        The record.
    store : Store
        The store.
    workers : list of Worker
        The runners.
    addresses : list of str
        Address of each runner.
    nodes : list of Node
        The daemons.
    unhealthy : set of str
        Ids of the runners that answer each start with 503.
    cut : set of str
        Ids of the runners that no call reaches.
    intercept : function
        Called with a runner, the request and the body of each call that
        reaches it; the call gets no answer if it returns True.
    refusals : list of (float, str, str)
        Time, runner and task of each such answer.
    starts : list of (float, str, str, int)
        Time, runner, task and run of each start.
    ends : dict of str to float
        Time at which each task has ended as done.
    """

    started_s: float = attrs.field(factory=time.monotonic)
    lines: list[str] = attrs.field(factory=list)
    store: cloud.Store = attrs.field(factory=cloud.Store)
    workers: list[cloud.Worker] = attrs.field(factory=list)
    addresses: list[str] = attrs.field(factory=list)
    nodes: list[node_cell.Node] = attrs.field(factory=list)
    unhealthy: set[str] = attrs.field(factory=set)
    cut: set[str] = attrs.field(factory=set)
    intercept: collections.abc.Callable[
        [cloud.Worker, httputil.HTTPServerRequest, dict[str, typing.Any]], bool
    ] = lambda worker, request, body: False
    refusals: list[tuple[float, str, str]] = attrs.field(factory=list)
    starts: list[tuple[float, str, str, int]] = attrs.field(factory=list)
    ends: dict[str, float] = attrs.field(factory=dict)


def now_s(bed: Bed) -> float:
    """Return the time since the case began."""
    return time.monotonic() - bed.started_s


def note(bed: Bed, text: str) -> None:
    """Add a line to the record."""
    bed.lines.append(f"{now_s(bed):8.3f} {text}")


def make_queue(
    name: str, priority: int, *, advised: bool
) -> dict[str, object]:
    """Return a route with a policy like those of the sites.

    `advised` tells whether its starts need a ticket.
    """
    advice = {"decideMs": 22.0, "eachMs": 0.32, "validityMs": 2000}
    return {
        "name": name,
        "host": node_cell.HOST,
        "prefix": f"/{name}/",
        "service": SERVICE,
        "priority": priority,
        "maxAttempts": 3,
        "stretch": 1.5,
        "targetLatencyMs": 250,
        **({"advice": advice} if advised else {}),
    }


def make_config(*queues: str, advised: bool = True) -> bytes:
    """Return a configuration with queues, the most urgent one first."""
    return json.dumps(
        {
            "version": 1,
            "routes": [
                make_queue(name, priority, advised=advised)
                for priority, name in enumerate(queues)
            ],
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
    ).encode()


def _run_s(text: str) -> float:
    """Return the run time that a job's text names."""
    return LASTING_S if text == "lasts" else float(text.partition(" ")[0])


async def serve_worker(
    bed: Bed,
    worker: cloud.Worker,
    request: httputil.HTTPServerRequest,
    body: dict[str, typing.Any],
) -> tuple[int, dict[str, typing.Any]] | None:
    """Answer a call to a runner."""
    if worker.id in bed.cut or bed.intercept(worker, request, body):
        return None
    if worker.id in bed.unhealthy and request.path == "/v1/run-start":
        bed.refusals.append((now_s(bed), worker.id, body["task"]))
        note(bed, f"{worker.id}: 503 to start {body['task']} {body['run']}")
        clock_ms = int((time.monotonic() - worker.born_at_s) * 1000)
        return 503, {"clockMs": clock_ms, "born": worker.incarnation_ms}
    answer = await cloud.handle_worker_request(worker, request, body)
    if answer is None or "running" not in answer[1]:
        return answer
    now = time.monotonic()
    for row in answer[1]["running"]:
        run = worker.runs.get((row[0], row[1]))
        if run is not None and run.due_at_s - run.started_at_s > 1e5:
            row[3] = 100 if now - run.started_at_s >= STARTUP_S else 0
    return answer


def _observe(bed: Bed, worker: cloud.Worker) -> None:
    def on_start(command: dict[str, typing.Any]) -> None:
        worker.run_s = _run_s(command["spec"])
        task, run = command["task"], command["run"]
        bed.starts.append((now_s(bed), worker.id, task, run))
        note(bed, f"{worker.id}: started {task} {run}")

    def on_completion(task: str, run: int, outcome: str) -> None:
        note(bed, f"{worker.id}: ended {task} {run} {outcome}")
        if outcome == "done":
            bed.ends.setdefault(task, now_s(bed))

    worker.on_start = on_start
    worker.on_completion = on_completion


@contextlib.asynccontextmanager
async def run_cell(
    *,
    queues: tuple[str, ...],
    worker_cpus: tuple[int, ...],
    nodes: int,
    advised: bool = True,
    longest_lease_s: float = LONGEST_LEASE_S,
) -> collections.abc.AsyncIterator[Bed]:
    """Run a cell until the block ends, then end its processes.

    Parameters
    ----------
    queues : tuple of str
        Names of the queues, the most urgent one first.
    worker_cpus : tuple of int
        Processors of each runner, in thousandths of a core.
    nodes : int
        Number of daemons.
    advised : bool
        Whether the starts of the queues need tickets of the advisor.
    longest_lease_s : float
        Longest lease that the runners grant.
    """
    bed = Bed()
    closers: list[collections.abc.Callable[[], None]] = []

    def serve(handler: object, *state: object) -> str:
        address, server = cloud.serve(functools.partial(handler, *state))
        closers.append(server.stop)
        return address

    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        store = serve(cloud.handle_store_request, bed.store)
        for number, cpu in enumerate(worker_cpus):
            worker = cloud.Worker(
                id=f"i-{number}",
                service=SERVICE,
                capacity={"cpu": cpu, "memMb": 2 * cpu, "gpu": 0},
                incarnation_ms=int(time.time() * 1000),
                born_at_s=time.monotonic(),
                longest_lease_s=longest_lease_s,
            )
            bed.workers.append(worker)
            _observe(bed, worker)
            bed.addresses.append(serve(serve_worker, bed, worker))
            register(bed, number)
        advisor = serve(
            cloud.handle_advisor_request, cloud.Advisor(workers=bed.workers)
        )
        config = make_config(*queues, advised=advised)
        cloud.put(bed.store, "op/config", config)
        ports = harness.make_harness(folder)
        try:

            def start(number: int) -> node_cell.Node:
                return node_cell.start_node(
                    folder,
                    f"front-{number}",
                    store,
                    advisor,
                    harness.find_ports(ports, PORTS_PER_NODE),
                    bounds={
                        **BOUNDS,
                        "worker_lease_max_ms": longest_lease_s * 1000,
                    },
                    capacity=CAPACITY,
                )

            bed.nodes += map(start, range(nodes))
            for number in range(nodes):
                await _wait_until_ready(bed, number, start)
            key = f"cell/owners/{SERVICE}"
            await node_cell.wait_until(lambda: key in bed.store.keys)
            note(bed, f"{nodes} daemons are ready")
            yield bed
        finally:
            for node in bed.nodes:
                node.process.kill()
                node.process.wait()
            for close in closers:
                close()
            harness.close(ports)


async def _wait_until_ready(
    bed: Bed,
    number: int,
    start: collections.abc.Callable[[int], node_cell.Node],
) -> None:
    """Wait for a daemon; start it on other ports if one was taken."""
    until_s = now_s(bed) + READY_TIMEOUT_S
    while now_s(bed) < until_s:
        node = bed.nodes[number]
        if node.process.poll() is not None:
            bed.nodes[number] = start(number)
            continue
        url = f"http://127.0.0.1:{node.readiness_port}/v1/ready"
        with contextlib.suppress(httpclient.HTTPError):
            if await node_cell.call(url) == 200:
                return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"front-{number} is not ready")


def register(bed: Bed, number: int) -> None:
    """Write a runner's entry."""
    worker = bed.workers[number]
    cloud.put(
        bed.store,
        f"servers/{worker.id}",
        cloud.encode_entry(worker, bed.addresses[number]),
    )


def make_job(text: str, *steps: dict[str, object], **fields: object) -> bytes:
    """Return the body of a submission."""
    return json.dumps({"spec": text, "steps": steps, **fields}).encode()


async def call(
    bed: Bed,
    node: int,
    method: str,
    queue: str,
    job: str,
    body: bytes | None = None,
) -> tuple[int, dict[str, typing.Any]]:
    """Send a client's call and record it; 599 stands for no answer."""
    port = bed.nodes[node % len(bed.nodes)].caller_port
    try:
        status, document = await node_cell.fetch(
            f"http://127.0.0.1:{port}/{queue}/{job}", method=method, body=body
        )
    except httpclient.HTTPError as error:
        status, document = error.code, {"error": str(error)}
    note(
        bed,
        f"client: {method} /{queue}/{job} to front-{node % len(bed.nodes)}:"
        f" {status} {document.get('state', document.get('error', ''))}",
    )
    return status, document


def end_due_runs(bed: Bed) -> None:
    """End the runs that are due, as the runners do by themselves."""
    for worker in bed.workers:
        if not worker.silent:
            cloud.end_due_runs(worker)


def is_running(bed: Bed, job: str) -> bool:
    """Return whether any task of a job runs."""
    return any(
        task.startswith(f"{job}.")
        for worker in bed.workers
        for task, _ in worker.runs
    )


def used_cpu(bed: Bed, worker: cloud.Worker, cpu_of: dict[str, int]) -> int:
    """Return the processors in use on a runner.

    `cpu_of` has the need of a task of each step, by ``job.step``.
    """
    total = 0
    for task, _ in worker.runs:
        job, _, step, _ = task.split(".")
        total += cpu_of[f"{job}.{step}"]
    return total


def finish(
    bed: Bed, record: pathlib.Path, broken: list[str], invalid: list[str]
) -> typing.NoReturn:
    """Write the record and exit with the outcome of the case."""
    for text in broken:
        bed.lines.append(f"BROKEN {text}")
    for text in invalid:
        bed.lines.append(f"INVALID {text}")
    record.write_text("\n".join(bed.lines) + "\n", encoding="utf-8")
    for text in (*broken, *invalid):
        print(text)
    if invalid:
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def run_case(
    main: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, typing.NoReturn]
    ],
) -> None:
    """Run a case; one that cannot run exits with 2."""
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
