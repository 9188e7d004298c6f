"""Failover time of the worker pool, and propagation time of config patches."""

import pathlib
import time
import typing

from bench import _figures
from bench import _processes
from standins import cell as cell_module
from standins import harness as harness_module

SIZES = (3, 8)
FAILOVERS = 4
PATCHES = 10
POOL = "workers/0"
TIMEOUT_S = 20.0
POLL_S = 0.01
# Delay until all voters of a new or restarted cell take part: a voter neither
# promises nor consents during one promise time after its start.
SETTLE_S = 7.0
# Delay between two failovers, so that the restarted voter responds again.
RETRY_S = 4.0
COMMAND = "python -m bench takeovers"


def measure(directory: pathlib.Path) -> list[_figures.Figure]:
    """Measure failovers and the propagation of config patches."""
    figures = []
    for size in SIZES:
        with harness_module.running(directory / str(size)) as harness:
            cell = cell_module.make_cell(
                harness,
                groups=[
                    cell_module.Group(name="worker", count=20),
                    cell_module.Group(
                        name="bench", count=20, service="layout"
                    ),
                ],
            )
            ids = _processes.start_instances(cell, size)
            time.sleep(SETTLE_S)
            if size == SIZES[-1]:
                patch_times_s = [
                    _measure_patch(cell, ids, n) for n in range(PATCHES)
                ]
                figures.append(
                    _figures.from_samples(
                        f"config_in_force_s_{size}",
                        patch_times_s,
                        "s",
                        target=1.0,
                        command=COMMAND,
                        note="patch accepted until the metrics of the last"
                        " of all daemons show it",
                    )
                )
            kill_times_s = [
                _measure_failover(cell, ids, f"kill{n}", pause=False)
                for n in range(FAILOVERS)
            ]
            pause_times_s = [
                _measure_failover(cell, ids, f"pause{n}", pause=True)
                for n in range(FAILOVERS // 2)
            ]
        suffix = "" if size == SIZES[-1] else f"_{size}"
        figures += [
            _figures.from_samples(
                f"failover{suffix}_s",
                kill_times_s,
                "s",
                target=3.0,
                command=COMMAND,
                note=f"{size} instances; owner killed until a job submitted"
                " then has a task on a worker; worst"
                f" {max(kill_times_s):.2f}",
            ),
            _figures.from_samples(
                f"failover_paused{suffix}_s",
                pause_times_s,
                "s",
                target=3.0,
                command=COMMAND,
                note=f"{size} instances; owner paused with SIGSTOP",
            ),
        ]
    return figures


def _measure_failover(
    cell: cell_module.Cell, ids: list[str], job_id: str, *, pause: bool
) -> float:
    owner = cell_module.owner_of(cell, ids[0], POOL)
    survivor = next(each for each in ids if each != owner)
    daemons = cell_module.daemons(cell, owner)
    started = time.monotonic()
    for process in daemons:
        (harness_module.pause if pause else harness_module.kill)(process)
    try:
        _submit_until_running(cell, survivor, job_id, started)
        return time.monotonic() - started
    finally:
        for process in daemons:
            if pause:
                harness_module.resume(process)
            else:
                harness_module.restart(cell.harness, process.name)
        cell_module.wait_until_ready(cell, ids, 60.0)
        cell_module.wait_for_owners(cell, ids[0], _processes.SHARDS, 60.0)
        time.sleep(RETRY_S)


def _submit_until_running(
    cell: cell_module.Cell, instance_id: str, job_id: str, started: float
) -> None:
    """Submit a job, with retries, and wait until it runs."""
    body: dict[str, typing.Any] = {
        "id": job_id,
        "kind": "batch",
        "team": "makers",
        "workload_class": "preview",
        "tasks": 1,
        "resources": {"cpu_millis": 500, "memory_mb": 100},
        "payload": {"run_s": 0.5},
    }
    accepted = False
    while time.monotonic() - started < TIMEOUT_S:
        if not accepted:
            status, answer = cell_module.call(
                cell, instance_id, "POST", "/v1/jobs", body
            )
            code = answer.get("error", {}).get("code", "")
            accepted = status < 300 or code == "duplicate_id"
        else:
            status, answer = cell_module.call(
                cell, instance_id, "GET", f"/v1/jobs/{job_id}"
            )
            if status == 200 and (
                answer["tasks_running"] or answer["tasks_succeeded"]
            ):
                return
        time.sleep(POLL_S)
    raise TimeoutError(
        f"{job_id} is not running after {TIMEOUT_S} s: {answer}"
    )


def _measure_patch(
    cell: cell_module.Cell, ids: list[str], number: int
) -> float:
    """Return the seconds until all daemons have adopted a config patch."""
    version = cell_module.patch_config(
        cell,
        ids[number % len(ids)],
        {"teams": {"makers": {"weight": 1.0 + (number + 1) / 100}}},
    )
    accepted = time.monotonic()
    for instance_id in ids:
        for port in _processes.metrics_ports(cell, instance_id).values():
            while _config_version(port) < version:
                if time.monotonic() - accepted > TIMEOUT_S:
                    raise TimeoutError(
                        f"version {version} is not in force at {instance_id}"
                    )
                time.sleep(POLL_S)
    return time.monotonic() - accepted


def _config_version(port: int) -> float:
    samples = _processes.read_metrics(port)
    return samples["chestnuttide_config_version", ""]
