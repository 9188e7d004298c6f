"""A running cell and what its stand-ins have seen, for scenarios."""

import collections
import contextlib
import http.client
import json
import threading
import time
import typing

import attrs

from chestnuttide import coordination
from chestnuttide.platform import _store_wire
from standins import cell as cell_module
from standins import harness as harness_module
from standins import worker_agent

# Bounds of the design page.
FAILOVER_S = 3.0
CONFIG_S = 5.0
# A started voter consents to no claim for one promise time and its margin.
PROMISE_S = 3.0 * 1.1
TASK_LEASE_S = 4.0
LEASE_MARGIN = 1.1
STORE_REFUSAL_S = 2.0
HEALTH_S = 1.0
# Longest wait for work that is sure to end.
SETTLE_S = 25.0

WORKERS = "workers/0"
CONFIG: dict[str, typing.Any] = {
    "services": {
        "layout": {"status_path": "/v1/status", "request_limit_s": 3.0}
    },
    "teams": {"makers": {}},
    "workload_classes": {
        "tools": {},
        "prints": {"throttle": True, "preemptible": True},
    },
    "pool": {"task_lease_s": TASK_LEASE_S, "eject_s": 5.0},
}
SETTINGS = {"coordination": {"worker_sync_s": 1.0}}


@attrs.define(kw_only=True)
class World:
    """A cell and what the scenario does to it.

    Attributes
    ----------
    cell : Cell
        The running cell.
    down : set of str
        Instances that are killed or paused.
    jobs : list of str
        Ids of the scenario's jobs.
    tasks : dict of str to int
        Tasks of each job.
    lost : list of dict
        Evidence of workers that were killed.
    marks : dict
        What a step keeps for a later one.
    """

    cell: cell_module.Cell
    down: set[str] = attrs.Factory(set)
    jobs: list[str] = attrs.Factory(list)
    tasks: dict[str, int] = attrs.Factory(dict)
    lost: list[dict[str, typing.Any]] = attrs.Factory(list)
    marks: dict[str, typing.Any] = attrs.Factory(dict)


@contextlib.contextmanager
def running_cell(
    directory: typing.Any,
    *,
    instances: int = 3,
    racks: int = 2,
    per_rack: int = 3,
    runners: int = 3,
) -> typing.Iterator[World]:
    """Provide a cell whose shards all have owners."""
    group = cell_module.Group
    groups = [
        group(name=f"rack{number}", count=per_rack, per_rack=per_rack)
        for number in range(1, racks + 1)
    ]
    groups.append(group(name="bench", count=runners, service="layout"))
    with harness_module.running(directory) as harness:
        cell = cell_module.make_cell(harness, groups=groups)
        names = [f"entry-{number + 1}" for number in range(instances)]
        for name in names:
            cell_module.add_instance(cell, name, settings=SETTINGS)
        cell_module.wait_for(
            cell,
            lambda: (
                cell_module.call(cell, names[0], "GET", "/v1/config")[0] == 200
            ),
            "the config",
        )
        cell_module.patch_config(cell, names[0], CONFIG)
        cell_module.wait_until_ready(cell, names)
        shards = ["requests/layout/0", WORKERS]
        cell_module.wait_for_owners(cell, names[0], shards)
        world = World(cell=cell)
        wait_for_voters(world)
        yield world


def wait_for_voters(world: World) -> None:
    """Wait until all instances are voters and may consent to claims."""
    started = time.monotonic()
    wait_for(
        world,
        lambda: set(_read_voters(world)) == set(world.cell.http_ports),
        "all instances are voters",
    )
    time.sleep(max(0.0, started + PROMISE_S - time.monotonic()))


def live(world: World) -> list[str]:
    """Return the instances that are neither killed nor paused."""
    return [each for each in world.cell.http_ports if each not in world.down]


def call(
    world: World, method: str, path: str, body: object | None = None
) -> tuple[int, typing.Any]:
    """Call the first live entry that answers."""
    for name in live(world):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return cell_module.call(world.cell, name, method, path, body)
    raise OSError("no entry answers")


def wait_for(
    world: World,
    condition: typing.Callable[[], bool],
    what: str,
    timeout_s: float = SETTLE_S,
) -> float:
    """Wait until a condition holds; returns the seconds that it took."""
    return cell_module.wait_for(world.cell, condition, what, timeout_s)


def owner(world: World, shard: str = WORKERS) -> str:
    """Return the owner of a shard."""
    found = ""

    def is_found() -> bool:
        nonlocal found
        found = cell_module.owner_of(world.cell, live(world)[0], shard)
        return bool(found) and found not in world.down

    wait_for(world, is_found, f"an owner of {shard}")
    return found


def submit(
    world: World,
    *,
    tasks: int,
    run_s: float = 0.0,
    kind: str = "batch",
    cpu_millis: int = 4000,
    workload_class: str = "tools",
    **payload: object,
) -> str:
    """Submit a job until it is accepted; returns its id.

    A run time of 0 is that of a service, which runs until it is stopped.
    """
    world.marks["number"] = world.marks.get("number", 0) + 1
    job_id = f"job-{world.marks['number']}"
    body = {
        "id": job_id,
        "kind": kind,
        "team": "makers",
        "workload_class": workload_class,
        "tasks": tasks,
        "resources": {"cpu_millis": cpu_millis, "memory_mb": 1000},
        "payload": {"run_s": run_s, **payload},
    }
    seen: list[object] = []

    def is_accepted() -> bool:
        status, answer = call(world, "POST", "/v1/jobs", body)
        seen[:] = [status, answer]
        return status == 202 or "duplicate" in json.dumps(answer)

    wait_for(world, is_accepted, f"{job_id} accepted: {seen}")
    world.jobs.append(job_id)
    world.tasks[job_id] = tasks
    return job_id


def evidence(world: World) -> list[dict[str, typing.Any]]:
    """Return the evidence of all workers, also of killed ones."""
    found = [
        harness_module.evidence(process, name=name)
        for name, process in world.cell.workers.items()
        if process.popen.poll() is None
    ]
    return found + world.lost


def runs_of(world: World, job_id: str) -> list[dict[str, typing.Any]]:
    """Return the runs of a job's tasks at the workers."""
    return [
        {**record, "worker_id": each["worker_id"]}
        for each in evidence(world)
        for record in each["history"]
        if record["job_id"] == job_id
    ]


def running_tasks(world: World, job_id: str) -> set[int]:
    """Return the indexes of a job's tasks that run."""
    return {
        each["index"] for each in runs_of(world, job_id) if each["end"] is None
    }


def wait_until_running(
    world: World, job_id: str, timeout_s: float = SETTLE_S
) -> None:
    """Wait until all tasks of a job run at once."""
    wait_for(
        world,
        lambda: len(running_tasks(world, job_id)) == world.tasks[job_id],
        f"all tasks of {job_id} run",
        timeout_s,
    )


def succeeded(world: World, job_id: str) -> set[int]:
    """Return the indexes of a job's tasks that succeeded at a worker."""
    return {
        each["index"]
        for each in runs_of(world, job_id)
        if each["state"] == "succeeded"
    }


def wait_until_done(
    world: World, job_id: str, timeout_s: float = SETTLE_S
) -> None:
    """Wait until all tasks of a job have succeeded and callers know it."""
    wait_for(
        world,
        lambda: len(succeeded(world, job_id)) == world.tasks[job_id],
        f"all tasks of {job_id} succeed",
        timeout_s,
    )
    wait_for(
        world,
        lambda: (
            call(world, "GET", f"/v1/jobs/{job_id}")[1].get("state")
            == "succeeded"
        ),
        f"{job_id} is known as succeeded",
    )


def finish_jobs(world: World) -> None:
    """Cancel the scenario's jobs and wait until nothing of them runs."""
    for job_id in world.jobs:
        wait_for(
            world,
            lambda job_id=job_id: (
                call(world, "DELETE", f"/v1/jobs/{job_id}")[0] in (200, 404)
            ),
            f"{job_id} is cancelled",
        )
    wait_for(
        world,
        lambda: not any(running_tasks(world, each) for each in world.jobs),
        "no task runs",
    )
    world.jobs.clear()


def worker_epoch(world: World) -> int:
    """Return the highest epoch that a worker has seen."""
    return max(each["epoch"] for each in evidence(world))


def stale_calls(world: World) -> int:
    """Return the calls with an old epoch that workers have received."""
    return sum(each["stale_calls"] for each in evidence(world))


def find_faults(world: World) -> list[object]:
    """Return double runs, overruns and other faults that workers saw."""
    every = evidence(world)
    found: list[object] = list(worker_agent.find_double_runs(every))
    for each in every:
        found += each["faults"]
    for each in cell_module.runner_evidence(world.cell):
        if each["slot_overruns"] or each["connection_overruns"]:
            found.append(each)
    return found


def pause(world: World, instance_id: str) -> None:
    """Pause both daemons of an instance."""
    world.down.add(instance_id)
    for process in cell_module.daemons(world.cell, instance_id):
        harness_module.pause(process)


def resume(world: World, instance_id: str) -> None:
    """Continue both daemons of an instance."""
    for process in cell_module.daemons(world.cell, instance_id):
        harness_module.resume(process)
    world.down.discard(instance_id)


def kill(world: World, instance_id: str) -> None:
    """Crash both daemons of an instance."""
    world.down.add(instance_id)
    cell_module.kill_instance(world.cell, instance_id)


def kill_rack(world: World, worker_id: str) -> None:
    """Crash the process of a rack's workers and keep their evidence."""
    process = world.cell.workers[worker_id]
    seen = [
        harness_module.evidence(process, name=name) for name in process.ports
    ]
    killed_at = time.time()
    harness_module.kill(process)
    for each in seen:
        for record in each["history"]:
            if record["end"] is None:
                record["end"] = killed_at
    world.lost += seen


def replace(world: World, instance_id: str) -> list[int]:
    """Stop an instance as planned and start it again; returns statuses."""
    world.down.add(instance_id)
    processes = cell_module.daemons(world.cell, instance_id)
    statuses = [harness_module.terminate(each) for each in processes]
    cell_module.restart_instance(world.cell, instance_id)
    cell_module.wait_until_ready(world.cell, [instance_id])
    world.down.discard(instance_id)
    return statuses


def restore(world: World) -> None:
    """Start or continue what a scenario stopped, and wait for it."""
    cell = world.cell
    harness_module.control(cell.store, {"reset": True})
    restarted = False
    for instance_id in list(world.down):
        for process in cell_module.daemons(cell, instance_id):
            if process.popen.poll() is None:
                harness_module.resume(process)
            else:
                harness_module.restart(cell.harness, process.name)
                restarted = True
    world.down.clear()
    for name, process in cell.workers.items():
        if process.popen.poll() is None:
            continue
        if cell.harness.processes[process.name] is process:
            harness_module.restart(cell.harness, process.name)
        cell.workers[name] = cell.harness.processes[process.name]
    for name, process in cell.workers.items():
        harness_module.control(process, {"reset": True}, name=name)
    cell_module.wait_until_ready(cell, list(cell.http_ports))
    if restarted:
        wait_for_voters(world)
    finish_jobs(world)


@attrs.define(kw_only=True)
class Load:
    """Callers that send requests at a steady rate, each its own.

    Attributes
    ----------
    world : World
        The cell.
    rate_per_s : float
        Requests per second of all callers together.
    answered : list of float
        Times of the answers, in time.monotonic().
    refusals : Counter
        Codes of refusals, and kinds of broken connections.
    stop : Event
        Ends the callers.
    threads : list of Thread
        The callers.
    """

    world: World
    rate_per_s: float
    answered: list[float] = attrs.Factory(list)
    refusals: collections.Counter[str] = attrs.Factory(collections.Counter)
    stop: threading.Event = attrs.Factory(threading.Event)
    threads: list[threading.Thread] = attrs.Factory(list)


CALLERS = 6


@contextlib.contextmanager
def loaded(
    world: World, rate_per_s: float, run_ms: float = 30.0
) -> typing.Iterator[Load]:
    """Provide callers of idempotent requests until the block ends."""
    load = Load(world=world, rate_per_s=rate_per_s)
    start = world.marks["load"] = world.marks.get("load", 0) + 1
    for number in range(CALLERS):
        thread = threading.Thread(
            target=_send, args=(load, f"load-{start}-{number}", run_ms)
        )
        load.threads.append(thread)
        thread.start()
    try:
        yield load
    finally:
        load.stop.set()
        for thread in load.threads:
            thread.join()


def answered_between(load: Load, start: float, end: float) -> int:
    """Return the answers in a window of time.monotonic()."""
    return sum(start <= each < end for each in load.answered)


def request(
    world: World,
    request_id: str,
    *,
    idempotent: bool,
    run_ms: float = 10.0,
    deadline_s: float = 8.0,
    instance_id: str = "",
) -> tuple[int, typing.Any]:
    """Send one request to a live entry."""
    body = {
        "id": request_id,
        "team": "makers",
        "idempotent": idempotent,
        "deadline_unix_ms": int((time.time() + deadline_s) * 1000),
        "payload": {"run_ms": run_ms, "size": 8, "idempotent": idempotent},
    }
    path = "/v1/services/layout/requests"
    if instance_id:
        return cell_module.call(world.cell, instance_id, "POST", path, body)
    return call(world, "POST", path, body)


def _read_voters(world: World) -> tuple[str, ...]:
    [port] = world.cell.store.ports.values()
    body = _store_wire.encode({"key": "cell/" + coordination.VOTERS_KEY})
    status, answer = harness_module.call(
        port, "POST", _store_wire.PATHS["get"], body
    )
    entry = _store_wire.decode(answer)["entry"] if status == 200 else None
    if entry is None:
        return ()
    voters = coordination.decode_voters(entry["value"], entry["revision"])
    return () if voters.next_ids else voters.ids


def _send(load: Load, prefix: str, run_ms: float) -> None:
    interval_s = CALLERS / load.rate_per_s
    number = 0
    due = time.monotonic()
    while not load.stop.wait(max(0.0, due - time.monotonic())):
        # A caller that was held up does not make up for what it missed.
        due = max(due, time.monotonic() - interval_s) + interval_s
        number += 1
        names = live(load.world)
        try:
            status, answer = request(
                load.world,
                f"{prefix}-{number}",
                idempotent=True,
                run_ms=run_ms,
                instance_id=names[number % len(names)],
            )
        except (OSError, http.client.HTTPException) as error:
            load.refusals[type(error).__name__] += 1
            continue
        if status == 200:
            load.answered.append(time.monotonic())
        else:
            load.refusals[answer["error"]["code"]] += 1
