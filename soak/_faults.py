"""Faults that are injected from outside the daemons."""

import asyncio
import collections.abc
import random
import signal
import time

import attrs

from soak import _checks
from soak import _proxy
from standins import cloud
from standins import node_cell


@attrs.define(kw_only=True)
class World:
    """A running cell and the places where faults are injected.

    Attributes
    ----------
    cell : Cell
        Daemons and stand-ins.
    folder : Path
        Settings and logs.
    ledger : Ledger
        What callers and workers have seen.
    store_proxies : dict of str to Proxy
        Path of each daemon to the store, by name.
    worker_proxies : list of Proxy
        Path of all daemons to each worker.
    advisor_proxy : Proxy
        Path to the advisor.
    version : int
        Version of the newest configuration.
    """

    cell: node_cell.Cell
    folder: object
    ledger: _checks.Ledger
    store_proxies: dict[str, _proxy.Proxy]
    worker_proxies: list[_proxy.Proxy]
    advisor_proxy: _proxy.Proxy
    version: int = 1


Fault = collections.abc.Callable[
    [World, random.Random], collections.abc.Awaitable[None]
]


def _pick(world: World, rng: random.Random) -> node_cell.Node:
    """Return the owner half of the time, else any daemon."""
    if rng.random() < 0.5:
        owner = world.cell.store.keys.get(f"cell/owners/{node_cell.SERVICE}")
        for node in world.cell.nodes:
            if owner is not None and node.name.encode() in owner.value:
                return node
    return rng.choice(world.cell.nodes)


def _start_again(world: World, node: node_cell.Node) -> None:
    """Start a daemon that has ended, unless another fault has done so."""
    if node.process.poll() is None:
        return
    node.process = node_cell.spawn(world.folder, node.name, node.settings)


async def kill(world: World, rng: random.Random) -> None:
    """Kill a daemon and start it again."""
    node = _pick(world, rng)
    node.process.kill()
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    _start_again(world, node)


async def kill_all(world: World, rng: random.Random) -> None:
    """Kill all daemons at once and start them again."""
    for node in world.cell.nodes:
        node.process.kill()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    for node in world.cell.nodes:
        _start_again(world, node)


async def pause(world: World, rng: random.Random) -> None:
    """Suspend a daemon for up to six seconds, beyond its leases."""
    node = _pick(world, rng)
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 6.0))
    node.process.send_signal(signal.SIGCONT)


async def stop(world: World, rng: random.Random) -> None:
    """Stop a daemon as planned, at times with a reload, and start it."""
    node = _pick(world, rng)
    if rng.random() < 0.3:
        node.process.send_signal(signal.SIGHUP)
    node.process.send_signal(signal.SIGTERM)
    process = node.process
    for _ in range(120):
        await asyncio.sleep(0.1)
        if process.poll() is not None:
            break
    if node.process is process and process.poll() is not None:
        if process.returncode > 0:
            _checks.break_promise(
                world.ledger,
                f"{node.name} stopped with {process.returncode}",
            )
        _start_again(world, node)


async def cut_from_store(world: World, rng: random.Random) -> None:
    """Cut a daemon from the store in one of four ways."""
    proxy = world.store_proxies[_pick(world, rng).name]
    way = rng.choice(("silent", "deaf", "refuse", "delay"))
    if way == "delay":
        proxy.delay_s = rng.uniform(0.05, 0.4)
    else:
        setattr(proxy, way, True)
    if way != "delay" and rng.random() < 0.5:
        _proxy.reset(proxy, rng)
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    _proxy.heal(proxy)


async def store_away(world: World, rng: random.Random) -> None:
    """Let the store refuse all calls, or stay silent."""
    world.cell.store.refusal = rng.choice((503, 429, -1))
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    world.cell.store.refusal = 0


async def lose_answers(world: World, rng: random.Random) -> None:
    """Let writes take effect at once or late, and not be answered."""
    world.cell.store.late_s = rng.choice((0.0, rng.uniform(1.0, 4.0)))
    world.cell.store.lose_answers = rng.randint(1, 6)
    await asyncio.sleep(1.0)


async def forget_history(world: World, rng: random.Random) -> None:
    """Drop the store's history."""
    world.cell.store.oldest = world.cell.store.revision
    await asyncio.sleep(rng.uniform(0.0, 0.5))


async def expire_leases(world: World, rng: random.Random) -> None:
    """Take leases away without a word."""
    for lease, (_, ttl_s) in list(world.cell.store.leases.items()):
        if rng.random() < 0.4:
            world.cell.store.leases[lease] = (0.0, ttl_s)
    cloud.end_leases(world.cell.store)
    await asyncio.sleep(0.1)


async def cut_worker(world: World, rng: random.Random) -> None:
    """Cut a worker off; what was sent arrives late, after newer calls."""
    proxy = rng.choice(world.worker_proxies)
    proxy.silent = rng.random() < 0.5
    proxy.deaf = not proxy.silent
    await asyncio.sleep(rng.uniform(0.5, 7.0))
    _proxy.heal(proxy)


async def reset_connections(world: World, rng: random.Random) -> None:
    """Reset connections to workers and the store."""
    for proxy in [*world.worker_proxies, *world.store_proxies.values()]:
        _proxy.reset(proxy, rng, share=0.5)
    await asyncio.sleep(0.1)


async def crash_worker(world: World, rng: random.Random) -> None:
    """Let a worker start again under its id, knowing nothing."""
    worker = rng.choice(world.cell.workers)
    index = world.cell.workers.index(worker)
    worker.runs.clear()
    worker.rejected.clear()
    worker.ends.clear()
    worker.next_end = 1
    worker.lapsed_end = 0
    worker.fence = 0
    worker.born_ms += 1000
    _announce(world, index)
    await asyncio.sleep(0.1)


def _announce(world: World, index: int) -> None:
    worker = world.cell.workers[index]
    address = world.cell.worker_addresses[index]
    entry = cloud.write_entry(worker, address)
    cloud.put(world.cell.store, f"servers/{worker.id}", entry)


async def change_config(world: World, rng: random.Random) -> None:
    """Write several configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        world.version += rng.randint(1, 5)
        cloud.put(
            world.cell.store,
            "op/config",
            node_cell.make_config(world.version),
        )
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def silence_advisor(world: World, rng: random.Random) -> None:
    """Cut the advisor off."""
    world.advisor_proxy.silent = True
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    _proxy.heal(world.advisor_proxy)


FAULTS: tuple[Fault, ...] = (
    kill,
    kill,
    kill_all,
    pause,
    pause,
    stop,
    stop,
    cut_from_store,
    cut_from_store,
    store_away,
    lose_answers,
    lose_answers,
    forget_history,
    expire_leases,
    cut_worker,
    cut_worker,
    reset_connections,
    crash_worker,
    change_config,
    change_config,
    silence_advisor,
)


async def inject(world: World, rng: random.Random, *, for_s: float) -> None:
    """Start faults that may overlap, and return when all have ended."""
    began = time.monotonic()
    running: list[asyncio.Task[None]] = []
    while time.monotonic() - began < for_s:
        await asyncio.sleep(rng.expovariate(1.0))
        fault = rng.choice(FAULTS)
        world.ledger.faults.append(f"{time.monotonic():.3f} {fault.__name__}")
        running.append(asyncio.ensure_future(fault(world, rng)))
    await asyncio.gather(*running)
    for node in world.cell.nodes:
        node.process.send_signal(signal.SIGCONT)
        _start_again(world, node)
    for proxy in [*world.worker_proxies, *world.store_proxies.values()]:
        _proxy.heal(proxy)
    world.cell.store.refusal = 0
    world.cell.store.lose_answers = 0
