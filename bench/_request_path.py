"""Cost of the request path, against a bare forwarder on the same runners."""

import asyncio
import collections.abc
import itertools
import json
import pathlib
import statistics
import sys
import time

import attrs
from tornado import curl_httpclient

from bench import _figures
from bench import _processes
from standins import cell as cell_module
from standins import harness as harness_module

RUNNERS = 4
CONCURRENCY = 16
REQUESTS = 2_500
WARM_UP = 300
# The order of both sides alternates, so that drift of the machine cancels out.
ROUND_ORDER = ("bare", "ours", "ours", "bare", "bare", "ours", "ours", "bare")
OPEN_LOOP_PER_S = 100
OPEN_LOOP_REQUESTS = 600
COMMAND = "python -m bench request_path"


@attrs.frozen(kw_only=True)
class Round:
    """Results of one round of requests.

    Attributes
    ----------
    per_cpu_s : float
        Requests per CPU second of the forwarding processes.
    per_cpu_s_with_runners : float
        The same, with the CPU time of the runners added.
    latencies_s : list of float
        Latency of each request.
    """

    per_cpu_s: float
    per_cpu_s_with_runners: float
    latencies_s: list[float]


def measure(directory: pathlib.Path) -> list[_figures.Figure]:
    """Measure the figures of the request path."""
    with harness_module.running(directory) as harness:
        cell = cell_module.make_cell(
            harness,
            groups=[
                cell_module.Group(name="worker", count=1),
                cell_module.Group(
                    name="bench", count=RUNNERS, service="layout"
                ),
            ],
        )
        (instance_id,) = _processes.start_instances(cell, 1)
        bare_port = harness_module.find_ports(harness)
        targets = []
        for name in cell.runners:
            targets += ["--target", cell.instances[name]["address"]]
        bare = harness_module.start(
            harness,
            "forwarder",
            [sys.executable, "-m", "bench._forwarder"]
            + ["--port", str(bare_port), *targets],
        )
        harness_module.wait_for_http(bare, bare_port, "/", status=405)
        runner = next(iter(cell.runners.values())).popen.pid
        pids = {
            "bare": [bare.popen.pid],
            "ours": [
                each.popen.pid
                for each in cell_module.daemons(cell, instance_id)
            ],
        }
        ports = {"bare": bare_port, "ours": cell.http_ports[instance_id]}
        return asyncio.run(_run_rounds(ports, pids, runner))


async def _run_rounds(
    ports: dict[str, int], pids: dict[str, list[int]], runner: int
) -> list[_figures.Figure]:
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=CONCURRENCY
    )
    numbers = itertools.count()
    rounds: dict[str, list[Round]] = {"bare": [], "ours": []}
    open_loop_latencies: dict[str, list[float]] = {"bare": [], "ours": []}
    for side in ("bare", "ours"):
        await _closed_loop(client, ports[side], numbers, WARM_UP)
    for side in ROUND_ORDER:
        before = [_processes.cpu_s(pid) for pid in (*pids[side], runner)]
        latencies = await _closed_loop(client, ports[side], numbers, REQUESTS)
        after = [_processes.cpu_s(pid) for pid in (*pids[side], runner)]
        used_s = [
            end - start for start, end in zip(before, after, strict=True)
        ]
        rounds[side].append(
            Round(
                per_cpu_s=REQUESTS / sum(used_s[:-1]),
                per_cpu_s_with_runners=REQUESTS / sum(used_s),
                latencies_s=latencies,
            )
        )
    for side in ("bare", "ours", "bare", "ours"):
        open_loop_latencies[side] += await _open_loop(
            client, ports[side], numbers
        )
    client.close()
    return make_figures(rounds, open_loop_latencies)


def make_figures(
    rounds: dict[str, list[Round]], open_loop_latencies: dict[str, list[float]]
) -> list[_figures.Figure]:
    """Return the figures of paired rounds.

    Parameters
    ----------
    rounds : dict of str to list of Round
        Rounds of ``ours`` and ``bare``, paired by position.
    open_loop_latencies : dict of str to list of float
        Latencies in seconds at a fixed request rate, by side.
    """
    pairs = list(zip(rounds["ours"], rounds["bare"], strict=True))
    figures = [
        _figures.from_samples(
            "request_path_ratio",
            [ours.per_cpu_s / bare.per_cpu_s for ours, bare in pairs],
            "ratio",
            target=0.7,
            higher_is_better=True,
            command=COMMAND,
            note="CPU of entry and scheduler over that of the forwarder,"
            " runners not counted; a profile shows tornado's server in the"
            " entry and curl in the scheduler as the largest parts",
        ),
        _figures.from_samples(
            "request_path_ratio_with_runners",
            [
                ours.per_cpu_s_with_runners / bare.per_cpu_s_with_runners
                for ours, bare in pairs
            ],
            "ratio",
            command=COMMAND,
            note="the runners' CPU counted on both sides",
        ),
        _figures.Figure(
            name="requests_per_cpu_s",
            ours=statistics.median(each.per_cpu_s for each in rounds["ours"]),
            baselines={
                "bare": statistics.median(
                    each.per_cpu_s for each in rounds["bare"]
                )
            },
            unit="1/s",
            higher_is_better=True,
            command=COMMAND,
        ),
    ]
    for q in (50, 99):
        ours = _figures.percentile(open_loop_latencies["ours"], q) * 1000
        bare = _figures.percentile(open_loop_latencies["bare"], q) * 1000
        figures.append(
            _figures.Figure(
                name=f"request_added_p{q}_ms",
                ours=ours - bare,
                baselines={"whole, ours": ours, "whole, bare": bare},
                unit="ms",
                command=COMMAND,
                note=f"at {OPEN_LOOP_PER_S} requests/s",
            )
        )
    return figures


async def _closed_loop(
    client: curl_httpclient.CurlAsyncHTTPClient,
    port: int,
    numbers: collections.abc.Iterator[int],
    count: int,
) -> list[float]:
    latencies: list[float] = []
    remaining = iter(range(count))

    async def call() -> None:
        for _ in remaining:
            latencies.append(await _send(client, port, next(numbers)))

    await asyncio.gather(*(call() for _ in range(CONCURRENCY)))
    return latencies


async def _open_loop(
    client: curl_httpclient.CurlAsyncHTTPClient,
    port: int,
    numbers: collections.abc.Iterator[int],
) -> list[float]:
    started = time.monotonic()
    tasks = []
    for number in range(OPEN_LOOP_REQUESTS // 2):
        due = started + number / OPEN_LOOP_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.ensure_future(_send(client, port, next(numbers))))
    return await asyncio.gather(*tasks)


async def _send(
    client: curl_httpclient.CurlAsyncHTTPClient, port: int, number: int
) -> float:
    started = time.monotonic()
    await client.fetch(
        f"http://127.0.0.1:{port}/v1/services/layout/requests",
        method="POST",
        body=json.dumps(
            {
                "id": f"request-{number}",
                "team": "makers",
                "idempotent": True,
                "deadline_unix_ms": int((time.time() + 5.0) * 1000),
                "payload": {"size": 64},
            }
        ),
    )
    return time.monotonic() - started
