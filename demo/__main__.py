"""Runs the demonstration; the last line of output is a JSON object.

The exit code is 0 if no request was lost, nothing ran twice, no limit was
exceeded and all jobs reached their expected state, else 1.
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
# Every nth request is not idempotent, and every nth is urgent.
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
    start = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="chestnuttide-demo-") as directory,
        harness_module.running(pathlib.Path(directory)) as harness,
    ):
        summary = _run(harness)
    report(f"done after {time.monotonic() - start:.1f} s")
    print(json.dumps(summary), flush=True)
    return 0 if summary["ok"] else 1


def report(text: str) -> None:
    """Print one line of the progress report."""
    print(f"  {text}", flush=True)


def _run(harness: harness_module.Harness) -> dict[str, typing.Any]:
    cell = _start_cell(harness)
    version = cell_module.patch_config(cell, INSTANCES[0], CONFIG)
    report(f"config patch accepted as version {version}")
    cell_module.wait_until_ready(cell, INSTANCES)
    cell_module.wait_for_owners(cell, INSTANCES[0], SHARDS)
    owner_id = cell_module.owner_of(cell, INSTANCES[0], "workers/0")
    report(f"all shards have owners; {owner_id} owns the workers")
    survivors = [each for each in INSTANCES if each != owner_id]
    for job_id, job in JOBS.items():
        body = {"id": job_id, "team": "makers", **job}
        status, answer = cell_module.call(
            cell, survivors[0], "POST", "/v1/jobs", body
        )
        report(f"{job['kind']} job {job_id}: {status} {answer['state']}")
    tally = _callers.Tally()
    asyncio.run(_send_requests(cell, owner_id, tally))
    report(
        f"{tally.outcomes['answered']} of {tally.sent} requests answered:"
        f" {_account.describe_latencies(tally)}"
    )
    for reason, count in sorted(tally.reasons.items()):
        report(f"refused as {reason}: {count}")
    jobs_ok = _wait_for_jobs(cell, survivors[0])
    _, config = cell_module.call(cell, survivors[0], "GET", "/v1/config")
    evidence = _account.count_evidence(cell)
    report(
        f"counted at the stand-ins: {evidence['runs']} requests ran,"
        f" {evidence['tasks_placed']} tasks started,"
        f" {evidence['doubled']} doubled, {evidence['overruns']} overruns"
    )
    for instance_id in survivors:
        for process in cell_module.daemons(cell, instance_id):
            code = harness_module.terminate(process)
            report(f"{process.name} stopped with exit code {code}")
            jobs_ok = jobs_ok and code == 0
    return _account.summarize(
        tally, evidence, config_version=config["version"], jobs_ok=jobs_ok
    )


def _start_cell(harness: harness_module.Harness) -> cell_module.Cell:
    report("starting store, instance list, 6 workers, 8 runners, 3 instances")
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
    cell: cell_module.Cell, owner_id: str, tally: _callers.Tally
) -> None:
    rng = random.Random(SEED)
    client = _callers.make_client()
    tasks = []
    is_killed = False
    start = time.monotonic()
    for number in range(REQUESTS):
        send_at_s = number * SEND_S / REQUESTS
        if send_at_s >= KILL_AT_S and not is_killed:
            is_killed = True
            cell_module.kill_instance(cell, owner_id)
            report(f"{owner_id} killed after {number} requests")
        await asyncio.sleep(max(0.0, start + send_at_s - time.monotonic()))
        request = _callers.CallerRequest(
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
                _callers.run_request(client, ports, request, tally)
            )
        )
    await asyncio.gather(*tasks)
    client.close()


def _wait_for_jobs(cell: cell_module.Cell, instance_id: str) -> bool:
    """Wait until batch and gang have succeeded and the service runs."""

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
        report(str(error))
    for job_id in JOBS:
        job = read(job_id)
        report(
            f"job {job_id}: {job.get('state')},"
            f" {job.get('tasks_succeeded')} tasks succeeded,"
            f" {job.get('tasks_running')} running"
        )
    return is_done()


if __name__ == "__main__":
    sys.exit(main())
