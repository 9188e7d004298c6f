"""Resource use of the daemons of an idle cell, at three sizes.

The cell has workers, a service with runners and a config, but runs no tasks.
CPU and memory are those of the daemon that uses most. Bytes are those of the
kind of daemon that uses more: the payload sent and received according to the
mesh counters, plus its share of the HTTP bytes to and from the store and the
instance list, which relays in front of them count. Calls to workers and
runners are not counted.
"""

import pathlib
import statistics
import time
import typing

import attrs

from bench import _figures
from bench import _processes
from bench import _relay
from standins import cell as cell_module
from standins import harness as harness_module

SIZES = (3, 8, 24)
WINDOW_S = 10.0
# Delay until the takeovers and the initial message exchanges are complete.
SETTLE_S = 3.0
KINDS = ("scheduler", "entry")
COMMAND = "python -m bench control_cost"


@attrs.frozen(kw_only=True)
class Cost:
    """Resource use of a cell of one size.

    Attributes
    ----------
    instances : int
        Number of instances, with two daemons each.
    cpu_percent : dict of str to float
        Mean CPU use per daemon, by kind, in percent of a core.
    cpu_percent_max : float
        CPU use of the daemon that uses most.
    rss_mb : float
        Resident memory of the daemon that uses most.
    mesh_bytes_per_s : dict of str to float
        Mean mesh bytes per daemon, by kind.
    store_bytes_per_s : float
        HTTP bytes to and from the store, per scheduler.
    list_bytes_per_s : float
        HTTP bytes to and from the instance list, per daemon.
    store_calls_per_s : dict of str to float
        Store calls of all instances together, by kind.
    load : float
        Load average of the machine.
    """

    instances: int
    cpu_percent: dict[str, float]
    cpu_percent_max: float
    rss_mb: float
    mesh_bytes_per_s: dict[str, float]
    store_bytes_per_s: float
    list_bytes_per_s: float
    store_calls_per_s: dict[str, float]
    load: float


def measure(directory: pathlib.Path) -> list[_figures.Figure]:
    """Measure the control cost at all sizes."""
    return make_figures(
        [_measure_size(directory / str(size), size) for size in SIZES]
    )


def bytes_per_s(cost: Cost, kind: str) -> float:
    """Return the bytes per second of a daemon of a kind."""
    platform = cost.list_bytes_per_s
    if kind == "scheduler":
        platform += cost.store_bytes_per_s
    return cost.mesh_bytes_per_s[kind] + platform


def make_figures(costs: list[Cost]) -> list[_figures.Figure]:
    """Return the figures of the largest size, and their slopes."""
    last = costs[-1]
    size = last.instances
    figures = []

    def add(
        name: str,
        value: typing.Callable[[Cost], float],
        target: float,
        unit: str,
        note: str,
    ) -> None:
        points = [(each.instances, value(each)) for each in costs]
        figures.append(
            _figures.Figure(
                name=f"{name}_{size}",
                ours=points[-1][1],
                baselines={f"{n} instances": y for n, y in points[:-1]},
                target=target,
                unit=unit,
                command=COMMAND,
                points=[[x, round(y, 3)] for x, y in points],
                load=last.load,
                note=note,
            )
        )
        if len(points) > 1:
            figures.append(
                _figures.Figure(
                    name=f"{name}_slope",
                    ours=_figures.slope(points),
                    unit=f"{unit}/inst",
                    command=COMMAND,
                    load=last.load,
                )
            )

    add(
        "control_cpu_percent",
        lambda cost: cost.cpu_percent_max,
        3.7,
        "%",
        "the daemon that uses most; means: "
        + _format_values(last.cpu_percent),
    )
    add(
        "control_rss_mb",
        lambda cost: cost.rss_mb,
        128,
        "MB",
        "largest of all daemons",
    )
    add(
        "control_bytes_per_s",
        lambda cost: max(bytes_per_s(cost, kind) for kind in KINDS),
        9000,
        "B/s",
        "mesh "
        + _format_values(last.mesh_bytes_per_s)
        + f"; store per scheduler {last.store_bytes_per_s:.0f}"
        + f"; instance list per daemon {last.list_bytes_per_s:.0f}",
    )
    add(
        "store_calls_per_s",
        lambda cost: sum(cost.store_calls_per_s.values()),
        100,
        "1/s",
        _format_values(last.store_calls_per_s)
        + "; watches that wait for longer than the window are not in it",
    )
    return figures


def counter_rates(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> dict[str, float]:
    """Return the rates of the counters that changed."""
    return {
        name: (value - before.get(name, 0)) / seconds
        for name, value in after.items()
        if value != before.get(name, 0)
    }


def _format_values(values: dict[str, float]) -> str:
    return ", ".join(
        f"{name} {_format_value(value)}" for name, value in values.items()
    )


def _format_value(value: float) -> str:
    return f"{value:.0f}" if value >= 100 else f"{value:.3g}"


def _measure_size(directory: pathlib.Path, size: int) -> Cost:
    with harness_module.running(directory) as harness:
        cell = cell_module.make_cell(
            harness,
            groups=[
                cell_module.Group(name="worker", count=20),
                cell_module.Group(name="bench", count=20, service="layout"),
            ],
        )
        store_port = next(iter(cell.store.ports.values()))
        list_port = next(iter(cell.instance_list.ports.values()))
        with (
            _relay.relaying(store_port) as store_relay,
            _relay.relaying(list_port) as list_relay,
        ):
            # Daemons started from here on connect to the relays.
            ports = cell.store.ports, cell.instance_list.ports
            cell.store.ports = {next(iter(ports[0])): store_relay.port}
            cell.instance_list.ports = {next(iter(ports[1])): list_relay.port}
            ids = _processes.start_instances(cell, size)
            time.sleep(SETTLE_S)
            return _measure_window(cell, ids, store_relay, list_relay)


def _measure_window(
    cell: cell_module.Cell,
    ids: list[str],
    store_relay: _relay.Relay,
    list_relay: _relay.Relay,
) -> Cost:
    pids = {
        kind: [
            cell.harness.processes[f"{kind}-{each}"].popen.pid for each in ids
        ]
        for kind in KINDS
    }

    def read_bytes() -> dict[str, float]:
        totals = dict.fromkeys(KINDS, 0.0)
        for instance_id in ids:
            ports = _processes.metrics_ports(cell, instance_id)
            for kind, port in ports.items():
                samples = _processes.read_metrics(port)
                totals[kind] += sum(
                    value
                    for (name, _labels), value in samples.items()
                    if name == "chestnuttide_mesh_bytes_total"
                )
        return totals

    # Metrics are read outside the CPU window, because serving them uses CPU
    # time of the daemons.
    mesh_start = time.monotonic()
    mesh_before = read_bytes()
    calls_before = harness_module.evidence(cell.store)["counts"]
    relayed = [store_relay.bytes_up + store_relay.bytes_down]
    relayed.append(list_relay.bytes_up + list_relay.bytes_down)
    cpu_before = {
        kind: [_processes.cpu_s(pid) for pid in pids[kind]] for kind in KINDS
    }
    start = time.monotonic()
    time.sleep(WINDOW_S)
    cpu = {
        kind: [
            _processes.cpu_s(pid) - before
            for pid, before in zip(pids[kind], cpu_before[kind], strict=True)
        ]
        for kind in KINDS
    }
    seconds = time.monotonic() - start
    calls_after = harness_module.evidence(cell.store)["counts"]
    store_bytes = store_relay.bytes_up + store_relay.bytes_down - relayed[0]
    list_bytes = list_relay.bytes_up + list_relay.bytes_down - relayed[1]
    mesh_end = time.monotonic()
    mesh_after = read_bytes()
    count = len(ids)
    return Cost(
        instances=count,
        cpu_percent={
            kind: 100 * statistics.mean(cpu[kind]) / seconds for kind in KINDS
        },
        cpu_percent_max=100 * max(map(max, cpu.values())) / seconds,
        rss_mb=max(
            _processes.rss_mb(pid) for each in pids.values() for pid in each
        ),
        mesh_bytes_per_s={
            kind: (mesh_after[kind] - mesh_before[kind])
            / count
            / (mesh_end - mesh_start)
            for kind in KINDS
        },
        store_bytes_per_s=store_bytes / seconds / count,
        list_bytes_per_s=list_bytes / seconds / (2 * count),
        store_calls_per_s=counter_rates(calls_before, calls_after, seconds),
        load=_figures.Figure(name="", ours=None, unit="").load,
    )
