"""Restarts of many workers at once that are cut off soon, in a series.

The times are those of days on which tasks ran twice: a silence of 0.6 s, and
a cut of 9 s that begins two seconds after the return, while long tasks run.
"""

import asyncio
import random
import time

import attrs

from soak import _faults
from soak import _proxy
from standins import cloud
from standins import node_cell

# Time from the end of a cut to the next round.
PAUSE_S = 1.4
CUT_AFTER_S = 2.0

# Durations of the runs of the workers that restart.
LONG_RUNS_S = (6.0, 9.0, 12.0)

# Share of the restarts after which the owner is killed before the cut, and of
# those during which calls reach the next incarnation.
KILL_SHARE = 0.5
HELD_SHARE = 0.7

# Shares of the calls that are executed late, of which each round takes one.
LATE_SHARES = (0.0, 0.1)


@attrs.frozen(kw_only=True)
class Series:
    """What a series of restarts does; None leaves it to chance.

    Attributes
    ----------
    silent_s : float
        Time for which a worker is silent while it restarts.
    entry_delay_s : float
        Time from a worker's return to its entry in the store.
    cut_s : float
        Length of a cut.
    latency_s : float
        Time that a call to a worker, and its answer, take on the network.
    held : bool or None
        Whether calls during a silence are held back and reach the next
        incarnation, or get lost.
    killed : bool or None
        Whether the owner is killed before the cut.
    kill_after_s : float
        Time from the return of the workers to that kill.
    owner_stops : bool
        Whether the owner stops gracefully instead.
    late_share : float or None
        Share of the calls that are executed late.
    """

    silent_s: float = 0.6
    entry_delay_s: float = 0.0
    cut_s: float = 9.0
    latency_s: float = 0.0
    held: bool | None = None
    killed: bool | None = None
    kill_after_s: float = CUT_AFTER_S / 2
    owner_stops: bool = False
    late_share: float | None = None


async def inject(
    testbed: _faults.Testbed,
    rng: random.Random,
    *,
    duration_s: float,
    series: Series,
) -> None:
    """Restart and cut half of the workers, round after round."""
    started_at_s = time.monotonic()
    for proxy in testbed.worker_proxies:
        proxy.delay_s = series.latency_s
    await asyncio.sleep(2.0)
    while time.monotonic() - started_at_s < duration_s:
        await _restart_and_cut(testbed, rng, _draw(series, rng))
    for node in testbed.cell.nodes:
        _faults.restart_if_ended(testbed, node)
    for proxy in testbed.worker_proxies:
        _proxy.clear_faults(proxy)


def _draw(series: Series, rng: random.Random) -> Series:
    """Return the series with chance decided for one round."""
    drawn = {
        "held": rng.random() < HELD_SHARE,
        "killed": rng.random() < KILL_SHARE,
        "late_share": rng.choice(LATE_SHARES),
    }
    return attrs.evolve(
        series,
        **{
            name: value
            for name, value in drawn.items()
            if getattr(series, name) is None
        },
    )


async def _restart_and_cut(
    testbed: _faults.Testbed, rng: random.Random, series: Series
) -> None:
    numbers = _choose_group(testbed, rng)
    workers = [testbed.cell.workers[number] for number in numbers]
    proxies = [testbed.worker_proxies[number] for number in numbers]
    _note(testbed, f"long runs on {numbers}, late calls {series.late_share}")
    for worker in workers:
        worker.run_s = rng.choice(LONG_RUNS_S)
        worker.late_share = series.late_share
        worker.late_rng = random.Random(rng.random())
    await asyncio.sleep(1.0)
    _note(testbed, f"restart of {numbers}, calls held={series.held}")
    await _restart(testbed, numbers, rng, series)
    await asyncio.sleep(series.kill_after_s)
    owner_ends = asyncio.ensure_future(
        _end_owner(testbed, random.Random(rng.random()), series)
    )
    await asyncio.sleep(CUT_AFTER_S - series.kill_after_s)
    _note(testbed, f"cut of {numbers}")
    for proxy in proxies:
        proxy.silent = rng.random() < 0.5
        proxy.deaf = not proxy.silent
    await asyncio.sleep(series.cut_s)
    for worker, proxy in zip(workers, proxies, strict=True):
        _reconnect(proxy, series)
        worker.late_rng = None
        worker.run_s = _faults.RUN_S
    _note(testbed, f"end of the cut of {numbers}")
    await asyncio.sleep(PAUSE_S)
    await owner_ends


async def _end_owner(
    testbed: _faults.Testbed, rng: random.Random, series: Series
) -> None:
    if not series.killed:
        return
    if series.owner_stops:
        _note(testbed, "owner is stopped")
        await _faults.stop_owner(testbed)
    else:
        _note(testbed, "owner is killed")
        await _faults.kill_owner(testbed, rng)


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
    series: Series,
) -> None:
    """Restart workers; calls in their silence are held back or get lost."""
    proxies = [testbed.worker_proxies[number] for number in numbers]
    for number, proxy in zip(numbers, proxies, strict=True):
        worker = testbed.cell.workers[number]
        if series.held:
            proxy.silent = True
        else:
            proxy.refuse = True
            _proxy.reset_connections(proxy, rng)
        if not worker.silent:
            cloud.restart(
                worker, clock_origin_s=rng.choice(_faults.CLOCK_ORIGINS_S)
            )
    await asyncio.sleep(series.silent_s)
    if not series.entry_delay_s:
        _register(testbed, numbers)
    for proxy in proxies:
        _reconnect(proxy, series)
    if series.entry_delay_s:
        asyncio.get_running_loop().call_later(
            series.entry_delay_s, _register, testbed, numbers
        )


def _reconnect(proxy: _proxy.Proxy, series: Series) -> None:
    _proxy.clear_faults(proxy)
    proxy.delay_s = series.latency_s


def _register(testbed: _faults.Testbed, numbers: list[int]) -> None:
    """Write the entries of workers that have not crashed meanwhile."""
    for number in numbers:
        if not testbed.cell.workers[number].silent:
            node_cell.register_worker(testbed.cell, number)
