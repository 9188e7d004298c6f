"""A whole cell on loopback: the product's daemons and the stand-ins.

Used by the demonstration, the scenarios and the bench. The functions of
`standins.harness` inject faults into the processes.
"""

import json
import pathlib
import time
import typing
import urllib.parse

import attrs

from standins import harness as harness_module

# Time that a request in transit needs to reach its destination.
SETTLE_S: typing.Final[float] = 0.2
READY_TIMEOUT_S: typing.Final[float] = 20.0


@attrs.frozen(kw_only=True)
class Group:
    """Workers or runners of one kind.

    Attributes
    ----------
    name : str
        Prefix of their ids.
    count : int
        Number of instances.
    service : str
        Service of the runners; empty for workers.
    cpu_millis, memory_mb, accelerators : int
        Capacity of each worker.
    per_rack : int
        Number of instances in a rack.
    """

    name: str
    count: int
    service: str = ""
    cpu_millis: int = 16_000
    memory_mb: int = 32_000
    accelerators: int = 0
    per_rack: int = 4


@attrs.define(kw_only=True)
class Cell:
    """A running cell.

    Attributes
    ----------
    harness : Harness
        Harness that holds its processes.
    directory : Path
        Directory of settings files and logs.
    data_centres : tuple of str
        Data centres over which instances are spread round robin.
    store, instance_list : Process
        Stand-ins for the store and the instance list.
    workers, runners : dict of str to Process
        Process that serves each worker or runner, by id.
    instances : dict of str to dict
        Entries of the instance list by instance id.
    http_ports : dict of str to int
        HTTP port of each entry daemon, by instance id.
    metrics_ports : dict of str to int
        Metrics port of each scheduler, by instance id.
    """

    harness: harness_module.Harness
    directory: pathlib.Path
    data_centres: tuple[str, ...] = ("dc-1", "dc-2", "dc-3")
    store: harness_module.Process
    instance_list: harness_module.Process
    workers: dict[str, harness_module.Process] = attrs.Factory(dict)
    runners: dict[str, harness_module.Process] = attrs.Factory(dict)
    instances: dict[str, dict[str, typing.Any]] = attrs.Factory(dict)
    http_ports: dict[str, int] = attrs.Factory(dict)
    metrics_ports: dict[str, int] = attrs.Factory(dict)


def make_cell(
    harness: harness_module.Harness,
    *,
    groups: typing.Sequence[Group] = (),
    list_lag_s: float = 0.2,
) -> Cell:
    """Start the stand-ins for the platform.

    Parameters
    ----------
    harness : Harness
        Harness that holds the processes.
    groups : sequence of Group
        Workers and runners; each group runs in one process.
    list_lag_s : float
        Lag of the instance list in seconds.
    """
    cell = Cell(
        harness=harness,
        directory=harness.directory,
        store=harness_module.start_standin(harness, "store"),
        instance_list=harness_module.start_standin(harness, "instance_list"),
    )
    harness_module.control(cell.instance_list, {"lag_s": list_lag_s})
    for group in groups:
        add_group(cell, group)
    return cell


def add_group(cell: Cell, group: Group) -> None:
    """Start workers or runners and add them to the instance list."""
    kind = "runner" if group.service else "worker_agent"
    arguments = []
    if not group.service:
        arguments = [
            "--cpu-millis",
            str(group.cpu_millis),
            "--memory-mb",
            str(group.memory_mb),
            "--accelerators",
            str(group.accelerators),
        ]
    process = harness_module.start_standin(
        cell.harness,
        kind,
        name=group.name,
        count=group.count,
        first_id=f"{group.name}-1",
        arguments=arguments,
    )
    entries = []
    for number, (name, port) in enumerate(process.ports.items()):
        (cell.runners if group.service else cell.workers)[name] = process
        entries.append(_make_list_entry(cell, group, number, name, port))
    set_instances(cell, entries)


def set_instances(cell: Cell, instances: list[dict[str, typing.Any]]) -> None:
    """Add or change entries of the instance list."""
    for each in instances:
        cell.instances[each["instance_id"]] = each
    harness_module.control(cell.instance_list, {"set": instances})


def set_state(cell: Cell, instance_id: str, state: str) -> None:
    """Mark an instance as live, leaving or gone in the instance list."""
    changed = {**cell.instances[instance_id], "state": state}
    set_instances(cell, [changed])


def add_instance(
    cell: Cell,
    instance_id: str,
    *,
    settings: dict[str, typing.Any] | None = None,
) -> None:
    """Start the two daemons of an entry instance and add it to the list.

    Parameters
    ----------
    cell : Cell
        The cell.
    instance_id : str
        Id of the instance.
    settings : dict, optional
        Settings that override or extend the defaults, by section.
    """
    data_centre = cell.data_centres[
        len(cell.http_ports) % len(cell.data_centres)
    ]
    first = harness_module.find_ports(cell.harness, 4)
    document: dict[str, typing.Any] = {
        "instance_id": instance_id,
        "data_centre": data_centre,
        "advertise_ip": harness_module.HOST,
        "entry": {"http_port": first, "metrics_port": first + 1},
        "scheduler": {"mesh_port": first + 2, "metrics_port": first + 3},
        "platform": {
            "store_address": _address(cell.store),
            "instance_list_address": _address(cell.instance_list),
            "instance_list_poll_s": 0.5,
        },
    }
    for section, values in (settings or {}).items():
        document[section] = {**document.get(section, {}), **values}
    path = cell.directory / f"{instance_id}.jsonc"
    path.write_text(json.dumps(document, indent=2))
    cell.http_ports[instance_id] = document["entry"]["http_port"]
    cell.metrics_ports[instance_id] = document["scheduler"]["metrics_port"]
    for program in ("scheduler", "entry"):
        harness_module.start_daemon(
            cell.harness, program, path, name=f"{program}-{instance_id}"
        )
    set_instances(
        cell,
        [
            {
                "instance_id": instance_id,
                "kind": "entry",
                "state": "live",
                "data_centre": data_centre,
                "address": f"{harness_module.HOST}:{first + 2}",
            }
        ],
    )


def daemons(cell: Cell, instance_id: str) -> list[harness_module.Process]:
    """Return the scheduler and the entry daemon of an instance."""
    return [
        cell.harness.processes[f"{program}-{instance_id}"]
        for program in ("scheduler", "entry")
    ]


def kill_instance(cell: Cell, instance_id: str) -> None:
    """Kill both daemons of an instance; the instance list is unchanged."""
    for process in daemons(cell, instance_id):
        harness_module.kill(process)


def restart_instance(cell: Cell, instance_id: str) -> None:
    """Restart both daemons of an instance."""
    for process in daemons(cell, instance_id):
        harness_module.restart(cell.harness, process.name)


def call(
    cell: Cell,
    instance_id: str,
    method: str,
    path: str,
    body: object | None = None,
) -> tuple[int, typing.Any]:
    """Call an entry daemon; return the status and the decoded JSON body."""
    encoded = None if body is None else json.dumps(body).encode()
    status, answer = harness_module.call(
        cell.http_ports[instance_id], method, path, encoded
    )
    try:
        return status, json.loads(answer)
    except ValueError:
        return status, answer


def wait_for(
    cell: Cell,
    condition: typing.Callable[[], bool],
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Wait until a condition holds; return how long it took in seconds.

    Raises
    ------
    TimeoutError
        The condition does not hold in time.
    """
    started = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - started
        except OSError:
            pass
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"not after {timeout_s} s: {what}")
        time.sleep(0.02)


def patch_config(
    cell: Cell, instance_id: str, patch: dict[str, typing.Any]
) -> int:
    """Submit a patch to the newest configuration; return the new version."""
    status, head = call(cell, instance_id, "GET", "/v1/config")
    if status != 200:
        raise RuntimeError(
            f"reading the configuration returned {status}: {head}"
        )
    status, answer = call(
        cell,
        instance_id,
        "POST",
        "/v1/config/patches",
        {"base": head["version"], "patch": patch, "author": "test"},
    )
    if status != 200:
        raise RuntimeError(
            f"patching the configuration returned {status}: {answer}"
        )
    return answer["version"]


def wait_until_ready(
    cell: Cell,
    instance_ids: typing.Sequence[str],
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until entry daemons are ready and desired shards have owners."""

    def is_ready() -> bool:
        return all(
            call(cell, each, "GET", "/readyz")[0] == 200
            for each in instance_ids
        )

    wait_for(cell, is_ready, f"{instance_ids} ready", timeout_s)


def wait_for_owners(
    cell: Cell,
    instance_id: str,
    shards: typing.Collection[str],
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Wait until the status lists an owner for each shard."""

    def is_owned() -> bool:
        status, answer = call(cell, instance_id, "GET", "/v1/status")
        if status != 200:
            return False
        found = {row["shard"] for row in answer["shards"]}
        return set(shards) <= found

    return wait_for(cell, is_owned, f"owners of {shards}", timeout_s)


def owner_of(cell: Cell, instance_id: str, shard: str) -> str:
    """Return the instance that owns a shard, or an empty string."""
    _, answer = call(cell, instance_id, "GET", "/v1/status")
    rows = [row for row in answer["shards"] if row["shard"] == shard]
    rows.sort(key=lambda row: row["epoch"])
    return rows[-1]["owner"] if rows else ""


def wait_for_row(
    cell: Cell, instance_id: str, shard: str
) -> dict[str, typing.Any]:
    """Wait until the status lists a shard, and return its newest row.

    A planned hand-over leaves a shard without an owner for about 30 ms, in
    which the status has no row of it.
    """
    rows: list[dict[str, typing.Any]] = []

    def is_listed() -> bool:
        _, answer = call(cell, instance_id, "GET", "/v1/status")
        rows.extend(row for row in answer["shards"] if row["shard"] == shard)
        return bool(rows)

    wait_for(cell, is_listed, f"a row of {shard}")
    return max(rows, key=lambda row: row["epoch"])


def runner_evidence(cell: Cell) -> list[dict[str, typing.Any]]:
    """Return the observations of all runners, including request ids."""
    return [
        harness_module.evidence(process, name=name, query="ids=1")
        for name, process in cell.runners.items()
    ]


def worker_evidence(cell: Cell) -> list[dict[str, typing.Any]]:
    """Return the observations of all workers."""
    return [
        harness_module.evidence(process, name=name)
        for name, process in cell.workers.items()
    ]


def quote(text: str) -> str:
    """Return text escaped as a path segment."""
    return urllib.parse.quote(text, safe="")


def _address(process: harness_module.Process) -> str:
    return f"{harness_module.HOST}:{next(iter(process.ports.values()))}"


def _make_list_entry(
    cell: Cell, group: Group, number: int, name: str, port: int
) -> dict[str, typing.Any]:
    rack = number // group.per_rack
    data_centre = cell.data_centres[rack % len(cell.data_centres)]
    entry: dict[str, typing.Any] = {
        "instance_id": name,
        "kind": "target" if group.service else "worker",
        "state": "live",
        "data_centre": data_centre,
        "rack": f"{data_centre}-rack-{rack}",
        "address": f"{harness_module.HOST}:{port}",
    }
    if group.service:
        entry |= {"service": group.service, "slots": 8, "connections": 64}
    else:
        entry["capacity"] = {
            "cpu_millis": group.cpu_millis,
            "memory_mb": group.memory_mb,
            "accelerators": group.accelerators,
        }
    return entry
