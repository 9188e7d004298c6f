"""Runs the demonstration; the last line is a JSON object.

Exit code 0 if nothing was lost, doubled or overrun and all jobs did what
they should, else 1.
"""

import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time
import typing

from demo import _account
from demo import _callers
from standins import cell as cell_module
from standins import harness as harness_module

REQUESTS = 500
# One of so many requests is not idempotent, and one of so many urgent.
NON_IDEMPOTENT_EVERY = 10
URGENT_EVERY = 7
SEND_S = 8.0
KILL_AT_S = 4.0
SEED = 20_261_204
JOB_TIMEOUT_S = 15.0

INSTANCES = ("entry-1", "entry-2", "entry-3")
SHARDS = (
    "requests/layout/0",
    "requests/layout/1",
    "requests/render/0",
    "workers/0",
)
CONFIG: dict[str, typing.Any] = {
    "services": {
        "layout": {
            "shards": 2,
            "status_path": "/v1/status",
            "request_limit_s": 3.0,
        },
        "render": {"status_path": "/v1/status", "request_limit_s": 3.0},
    },
    "teams": {"makers": {"weight": 1.0}},
    "workload_classes": {
        "preview": {"preemptible": True, "checkpoint": True},
        "almanac": {"spread": True, "minimum_up": 1},
        "solver": {},
    },
    "pool": {"task_lease_s": 4.0},
}
JOBS: dict[str, dict[str, typing.Any]] = {
    "previews": {
        "kind": "batch",
        "workload_class": "preview",
        "tasks": 24,
        "resources": {"cpu_millis": 2000, "memory_mb": 1000},
        "payload": {"run_s": 0.8},
    },
    "almanac": {
        "kind": "service",
        "workload_class": "almanac",
        "tasks": 3,
        "resources": {"cpu_millis": 1000, "memory_mb": 500},
        "payload": {"run_s": 0},
    },
    "solver": {
        "kind": "gang",
        "workload_class": "solver",
        "tasks": 4,
        "resources": {"cpu_millis": 4000, "memory_mb": 2000},
        "payload": {"run_s": 1.0},
    },
}


def main() -> int:
    """Run the demonstration and return the exit code."""
    started = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="chestnuttide-demo-") as directory,
        harness_module.running(pathlib.Path(directory)) as harness,
    ):
        summary = _run(harness)
    say(f"done after {time.monotonic() - started:.1f} s")
    print(json.dumps(summary), flush=True)
    return 0 if summary["ok"] else 1


def say(text: str) -> None:
    """Print one line of the account."""
    print(f"  {text}", flush=True)


def _run(harness: harness_module.Harness) -> dict[str, typing.Any]:
    cell = _start(harness)
    version = cell_module.patch_config(cell, INSTANCES[0], CONFIG)
    say(f"config patch accepted as version {version}")
    cell_module.wait_until_ready(cell, INSTANCES)
    cell_module.wait_for_owners(cell, INSTANCES[0], SHARDS)
    victim = cell_module.owner_of(cell, INSTANCES[0], "workers/0")
    say(f"all shards have owners; {victim} owns the workers")
    survivors = [each for each in INSTANCES if each != victim]
    for job_id, job in JOBS.items():
        body = {"id": job_id, "team": "makers", **job}
        status, answer = cell_module.call(
            cell, survivors[0], "POST", "/v1/jobs", body
        )
        say(f"{job['kind']} job {job_id}: {status} {answer['state']}")
    tally = _callers.Tally()
    asyncio.run(_send_requests(cell, victim, tally))
    say(
        f"{tally.outcomes['answered']} of {tally.sent} requests answered:"
        f" {_account.describe_latencies(tally)}"
    )
    for reason, count in sorted(tally.reasons.items()):
        say(f"refused as {reason}: {count}")
    jobs_ok = _await_jobs(cell, survivors[0])
    _, config = cell_module.call(cell, survivors[0], "GET", "/v1/config")
    evidence = _account.count_evidence(cell)
    say(
        f"counted at the stand-ins: {evidence['runs']} requests ran,"
        f" {evidence['tasks_placed']} tasks started,"
        f" {evidence['doubled']} doubled, {evidence['overruns']} overruns"
    )
    for instance_id in survivors:
        for process in cell_module.daemons(cell, instance_id):
            code = harness_module.terminate(process)
            say(f"{process.name} stopped with exit code {code}")
            jobs_ok = jobs_ok and code == 0
    return _account.summarize(
        tally, evidence, config_version=config["version"], jobs_ok=jobs_ok
    )


def _start(harness: harness_module.Harness) -> cell_module.Cell:
    say("starting store, instance list, 6 workers, 8 runners, 3 instances")
    group = cell_module.Group
    cell = cell_module.make_cell(
        harness,
        groups=[
            group(name="worker", count=6),
            group(name="bench", count=5, service="layout"),
            group(name="gpu", count=3, service="render"),
        ],
    )
    for instance_id in INSTANCES:
        cell_module.add_instance(cell, instance_id)
    cell_module.wait_for(
        cell,
        lambda: (
            cell_module.call(cell, INSTANCES[0], "GET", "/v1/config")[0] == 200
        ),
        "an entry that reads the config",
    )
    return cell


async def _send_requests(
    cell: cell_module.Cell, victim: str, tally: _callers.Tally
) -> None:
    rng = random.Random(SEED)
    client = _callers.make_client()
    tasks = []
    killed = False
    started = time.monotonic()
    for number in range(REQUESTS):
        at_s = number * SEND_S / REQUESTS
        if at_s >= KILL_AT_S and not killed:
            killed = True
            cell_module.kill_instance(cell, victim)
            say(f"{victim} killed after {number} requests")
        await asyncio.sleep(max(0.0, started + at_s - time.monotonic()))
        wanted = _callers.Wanted(
            request_id=f"request-{number}",
            service="layout" if number % 3 else "render",
            idempotent=number % NON_IDEMPOTENT_EVERY != 0,
            urgent=number % URGENT_EVERY == 0,
            run_ms=rng.lognormvariate(3.4, 0.5),
        )
        ports = list(cell.http_ports.values())
        rng.shuffle(ports)
        tasks.append(
            asyncio.ensure_future(
                _callers.run_request(client, ports, wanted, tally)
            )
        )
    await asyncio.gather(*tasks)
    client.close()


def _await_jobs(cell: cell_module.Cell, instance_id: str) -> bool:
    """Wait until batch and gang have ended and the service is up."""

    def read(job_id: str) -> dict[str, typing.Any]:
        return cell_module.call(
            cell, instance_id, "GET", f"/v1/jobs/{job_id}"
        )[1]

    def is_done() -> bool:
        service = read("almanac")
        return (
            read("previews").get("state") == "succeeded"
            and read("solver").get("state") == "succeeded"
            and service.get("tasks_running") == service.get("tasks")
        )

    try:
        cell_module.wait_for(cell, is_done, "all jobs", JOB_TIMEOUT_S)
    except TimeoutError as error:
        say(str(error))
    for job_id in JOBS:
        job = read(job_id)
        say(
            f"job {job_id}: {job.get('state')},"
            f" {job.get('tasks_succeeded')} tasks succeeded,"
            f" {job.get('tasks_running')} running"
        )
    return is_done()


if __name__ == "__main__":
    sys.exit(main())
