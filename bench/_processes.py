"""Resource use of processes from /proc, and cells to be measured."""

import os
import pathlib
import re
import typing

from standins import cell as cell_module
from standins import harness as harness_module

# Default config of the measured cells.
CONFIG: typing.Final[dict[str, typing.Any]] = {
    "services": {
        "layout": {
            "shards": 1,
            "status_path": "/v1/status",
            "request_limit_s": 5.0,
        }
    },
    "teams": {"makers": {"weight": 1.0}},
    "workload_classes": {"preview": {}},
}
SHARDS: typing.Final = ("requests/layout/0", "workers/0")

_TICKS_PER_S: typing.Final = os.sysconf("SC_CLK_TCK")
_KB_PER_MB: typing.Final = 1024
_SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")


def cpu_s(pid: int) -> float:
    """Return the user and system CPU seconds used by a process."""
    return parse_cpu_s(pathlib.Path(f"/proc/{pid}/stat").read_text())


def parse_cpu_s(stat: str) -> float:
    """Parse the CPU seconds from the text of /proc/<pid>/stat."""
    # The command name in parentheses may contain spaces and parentheses.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


def parse_metrics(text: str) -> dict[tuple[str, str], float]:
    """Parse the Prometheus text format; keys are name and labels."""
    samples = {}
    for line in text.splitlines():
        match = _SAMPLE.match(line)
        if match is not None:
            samples[match[1], match[2] or ""] = float(match[3])
    return samples


def read_metrics(port: int) -> dict[tuple[str, str], float]:
    """Read the samples from the metrics port of a daemon."""
    _status, body = harness_module.call(port, "GET", "/metrics")
    return parse_metrics(body.decode())


def metrics_ports(cell: cell_module.Cell, instance_id: str) -> dict[str, int]:
    """Return the metrics ports of an instance by kind of daemon."""
    return {
        "scheduler": cell.metrics_ports[instance_id],
        "entry": cell.http_ports[instance_id] + 1,
    }


def start_instances(
    cell: cell_module.Cell,
    count: int,
    config: dict[str, typing.Any] | None = None,
    shards: typing.Collection[str] = SHARDS,
) -> list[str]:
    """Start instances with the poll interval of the design, and a config.

    Returns
    -------
    list of str
        Instance ids; all instances are ready and all shards have owners.
    """
    ids = [f"entry-{number + 1:02d}" for number in range(count)]
    for instance_id in ids:
        cell_module.add_instance(
            cell,
            instance_id,
            settings={"platform": {"instance_list_poll_s": 1.0}},
        )
    cell_module.wait_for(
        cell,
        lambda: cell_module.call(cell, ids[0], "GET", "/v1/config")[0] == 200,
        "an entry that reads the config",
        60.0,
    )
    cell_module.patch_config(cell, ids[0], config or CONFIG)
    cell_module.wait_until_ready(cell, ids, 60.0)
    cell_module.wait_for_owners(cell, ids[0], shards, 60.0)
    return ids
