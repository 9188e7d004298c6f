"""What the daemons of an idle cell use, at three sizes.

The cell has workers, a service with runners and a config, and no work. CPU
and memory are those of the daemon that uses most. Bytes are those of the kind
of daemon that uses more: the payload that the mesh counters show, sent and
received, plus its share of the HTTP bytes to and from store and instance list,
counted in a relay before them. Calls to workers and runners are left out.
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
# Pause until the takeovers and the first exchanges are over.
SETTLE_S = 3.0
KINDS = ("scheduler", "entry")
COMMAND = "python -m bench control_cost"


@attrs.frozen(kw_only=True)
class Cost:
    """What one size uses.

    Attributes
    ----------
    instances : int
        Number of instances, with two daemons each.
    cpu_percent : dict of str to float
        Mean CPU of a daemon by kind, in percent of a core.
    cpu_percent_max : float
        CPU of the daemon that uses most.
    rss_mb : float
        Largest resident memory of a daemon.
    mesh_bytes_per_s : dict of str to float
        Mean mesh bytes of a daemon by kind.
    store_bytes_per_s : float
        HTTP bytes of the store, per scheduler.
    list_bytes_per_s : float
        HTTP bytes of the instance list, per daemon.
    store_calls_per_s : dict of str to float
        Calls of all instances together, by kind.
    load : float
        Load average.
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
    """Return the figures of the control cost."""
    return make_figures(
        [_measure_size(directory / str(size), size) for size in SIZES]
    )


def bytes_per_s(cost: Cost, kind: str) -> float:
    """Return all bytes of a daemon of a kind."""
    platform = cost.list_bytes_per_s
    if kind == "scheduler":
        platform += cost.store_bytes_per_s
    return cost.mesh_bytes_per_s[kind] + platform


def make_figures(costs: list[Cost]) -> list[_figures.Figure]:
    """Return the figures of the largest size and the slopes."""
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
        "the daemon that uses most; means: " + _join(last.cpu_percent),
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
        + _join(last.mesh_bytes_per_s)
        + f"; store per scheduler {last.store_bytes_per_s:.0f}"
        + f"; instance list per daemon {last.list_bytes_per_s:.0f}",
    )
    add(
        "store_calls_per_s",
        lambda cost: sum(cost.store_calls_per_s.values()),
        100,
        "1/s",
        _join(last.store_calls_per_s)
        + "; watches that wait for longer than the window are not in it",
    )
    return figures


def difference(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> dict[str, float]:
    """Return the rates of counters that grew."""
    return {
        name: (value - before.get(name, 0)) / seconds
        for name, value in after.items()
        if value != before.get(name, 0)
    }


def _join(values: dict[str, float]) -> str:
    return ", ".join(
        f"{name} {_round(value)}" for name, value in values.items()
    )


def _round(value: float) -> str:
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
            _relay.relaying(store_port) as store,
            _relay.relaying(list_port) as listing,
        ):
            # The daemons' settings name the relays.
            ports = cell.store.ports, cell.instance_list.ports
            cell.store.ports = {next(iter(ports[0])): store.port}
            cell.instance_list.ports = {next(iter(ports[1])): listing.port}
            ids = _processes.start_instances(cell, size)
            time.sleep(SETTLE_S)
            return _measure_window(cell, ids, store, listing)


def _measure_window(
    cell: cell_module.Cell,
    ids: list[str],
    store: _relay.Relay,
    listing: _relay.Relay,
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

    # The metrics are read outside of the CPU's window, because reading them
    # uses CPU of the daemons.
    mesh_begin = time.monotonic()
    mesh_before = read_bytes()
    calls_before = harness_module.evidence(cell.store)["counts"]
    relayed = [store.bytes_up + store.bytes_down]
    relayed.append(listing.bytes_up + listing.bytes_down)
    cpu_before = {
        kind: [_processes.cpu_s(pid) for pid in pids[kind]] for kind in KINDS
    }
    begin = time.monotonic()
    time.sleep(WINDOW_S)
    cpu = {
        kind: [
            _processes.cpu_s(pid) - former
            for pid, former in zip(pids[kind], cpu_before[kind], strict=True)
        ]
        for kind in KINDS
    }
    seconds = time.monotonic() - begin
    calls_after = harness_module.evidence(cell.store)["counts"]
    store_bytes = store.bytes_up + store.bytes_down - relayed[0]
    list_bytes = listing.bytes_up + listing.bytes_down - relayed[1]
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
            / (mesh_end - mesh_begin)
            for kind in KINDS
        },
        store_bytes_per_s=store_bytes / seconds / count,
        list_bytes_per_s=list_bytes / seconds / (2 * count),
        store_calls_per_s=difference(calls_before, calls_after, seconds),
        load=_figures.Figure(name="", ours=None, unit="").load,
    )
