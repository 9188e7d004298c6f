"""Summary of the demonstration, from evidence recorded by the stand-ins."""

import statistics
import typing

from demo import _callers
from standins import cell as cell_module
from standins import runner
from standins import worker_agent


def count_evidence(cell: cell_module.Cell) -> dict[str, typing.Any]:
    """Return counts from the evidence of runners and workers.

    Returns
    -------
    dict
        ``doubled``: non-idempotent requests that ran twice, and tasks with
        concurrent runs; ``overruns`` of slots, connections and capacity;
        ``tasks_placed``; and ``runs`` of requests.
    """
    runners = cell_module.runner_evidence(cell)
    workers = cell_module.worker_evidence(cell)
    duplicate_requests = runner.find_duplicate_requests(runners)
    double_runs = worker_agent.find_double_runs(workers)
    overruns = sum(
        each["slot_overruns"] + each["connection_overruns"] for each in runners
    ) + sum(each["overruns"] for each in workers)
    return {
        "doubled": len(duplicate_requests) + len(double_runs),
        "overruns": overruns,
        "tasks_placed": sum(len(each["history"]) for each in workers),
        "runs": sum(each["runs"] for each in runners),
    }


def summarize(
    tally: _callers.Tally,
    evidence: dict[str, typing.Any],
    *,
    config_version: int,
    jobs_ok: bool,
) -> dict[str, typing.Any]:
    """Return the JSON object for the last line of output."""
    lost = tally.outcomes["lost"] + tally.wrong
    summary = {
        "requests": tally.sent,
        "answered": tally.outcomes["answered"],
        "refused": tally.outcomes["refused"],
        "unknown": tally.outcomes["unknown"],
        "lost": lost,
        "doubled": evidence["doubled"],
        "overruns": evidence["overruns"],
        "tasks_placed": evidence["tasks_placed"],
        "config_version": config_version,
    }
    bad = lost + evidence["doubled"] + evidence["overruns"]
    summary["ok"] = bad == 0 and jobs_ok
    return summary


def describe_latencies(tally: _callers.Tally) -> str:
    """Format median, p99 and maximum latency of the answered requests."""
    if len(tally.latencies_s) < 2:
        return "no latencies"
    ordered = sorted(tally.latencies_s)
    p99 = ordered[int(len(ordered) * 0.99)]
    return (
        f"median {statistics.median(ordered) * 1000:.0f} ms,"
        f" p99 {p99 * 1000:.0f} ms, longest {ordered[-1] * 1000:.0f} ms"
    )
