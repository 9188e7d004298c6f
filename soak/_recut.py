"""Restarts of many workers at once that are cut off soon, in a series.

The times are those of days on which tasks ran twice: a silence of 0.6 s, and
a cut of 9 s that begins two seconds after the return, while long tasks run.
"""

import asyncio
import random
import time

from soak import _faults
from soak import _proxy
from standins import cloud
from standins import node_cell

PERIOD_S = 14.0
SILENT_S = 0.6
CUT_AFTER_S = 2.0
CUT_S = 9.0

# Durations of the runs of the workers that restart.
LONG_RUNS_S = (6.0, 9.0, 12.0)

# Share of the restarts after which the owner is killed before the cut, and of
# those during which calls reach the next incarnation.
KILL_SHARE = 0.5
HELD_SHARE = 0.7

# Least and longest share of the calls that are executed late.
LATE_SHARES = (0.0, 0.1)


async def inject(
    testbed: _faults.Testbed, rng: random.Random, *, duration_s: float
) -> None:
    """Restart and cut half of the workers every `PERIOD_S`."""
    started_at_s = time.monotonic()
    await asyncio.sleep(2.0)
    while time.monotonic() - started_at_s < duration_s:
        await _restart_and_cut(testbed, rng)
    for node in testbed.cell.nodes:
        _faults.restart_if_ended(testbed, node)
    for proxy in testbed.worker_proxies:
        _proxy.clear_faults(proxy)


async def _restart_and_cut(
    testbed: _faults.Testbed, rng: random.Random
) -> None:
    numbers = _choose_group(testbed, rng)
    workers = [testbed.cell.workers[number] for number in numbers]
    proxies = [testbed.worker_proxies[number] for number in numbers]
    held = rng.random() < HELD_SHARE
    killed = rng.random() < KILL_SHARE
    late_share = rng.choice(LATE_SHARES)
    _note(testbed, f"long runs on {numbers}, late calls {late_share}")
    for worker in workers:
        worker.run_s = rng.choice(LONG_RUNS_S)
        worker.late_share = late_share
        worker.late_rng = random.Random(rng.random())
    await asyncio.sleep(1.0)
    _note(testbed, f"restart of {numbers}, calls {held=}")
    await _restart(testbed, numbers, rng, held=held)
    await asyncio.sleep(CUT_AFTER_S / 2)
    if killed:
        _note(testbed, "owner is killed")
        asyncio.ensure_future(_faults.kill_owner(testbed, rng))
    await asyncio.sleep(CUT_AFTER_S / 2)
    _note(testbed, f"cut of {numbers}")
    for proxy in proxies:
        proxy.silent = rng.random() < 0.5
        proxy.deaf = not proxy.silent
    await asyncio.sleep(CUT_S)
    for worker, proxy in zip(workers, proxies, strict=True):
        _proxy.clear_faults(proxy)
        worker.late_rng = None
        worker.run_s = _faults.RUN_S
    _note(testbed, f"end of the cut of {numbers}")
    await asyncio.sleep(PERIOD_S - 1.0 - SILENT_S - CUT_AFTER_S - CUT_S)


def _note(testbed: _faults.Testbed, text: str) -> None:
    testbed.ledger.faults.append(f"{time.monotonic():.3f} {text}")


def _choose_group(testbed: _faults.Testbed, rng: random.Random) -> list[int]:
    """Return the numbers of half of the workers of each service."""
    workers = testbed.cell.workers
    numbers = []
    for service in _faults.SERVICES:
        members = [
            number
            for number, worker in enumerate(workers)
            if worker.service == service
        ]
        numbers += rng.sample(members, len(members) // 2)
    return numbers


async def _restart(
    testbed: _faults.Testbed,
    numbers: list[int],
    rng: random.Random,
    *,
    held: bool,
) -> None:
    """Restart workers; calls in their silence are held back or get lost."""
    proxies = [testbed.worker_proxies[number] for number in numbers]
    for number, proxy in zip(numbers, proxies, strict=True):
        worker = testbed.cell.workers[number]
        if held:
            proxy.silent = True
        else:
            proxy.refuse = True
            _proxy.reset_connections(proxy, rng)
        if not worker.silent:
            cloud.restart(
                worker, clock_origin_s=rng.choice(_faults.CLOCK_ORIGINS_S)
            )
    await asyncio.sleep(SILENT_S)
    for number, proxy in zip(numbers, proxies, strict=True):
        if not testbed.cell.workers[number].silent:
            node_cell.register_worker(testbed.cell, number)
        _proxy.clear_faults(proxy)
