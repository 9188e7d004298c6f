"""Faults injected from outside the daemons."""

import asyncio
import collections.abc
import random
import signal
import time

import attrs

from soak import _caps
from soak import _checks
from soak import _keys
from soak import _proxy
from standins import cloud
from standins import node_cell

# Duration of the workers' runs, and the share of the calls to a worker that
# are executed late around its restart.
RUN_S = 0.2
LATE_SHARE = 0.1

# Readings of a clock at the start of an incarnation.
CLOCK_ORIGINS_S = (0.0, 1e7)

# Services between which configurations move the queue.
SERVICES = (node_cell.SERVICE, "render")


@attrs.define(kw_only=True)
class Testbed:
    """A running cell with its fault injection points.

    Attributes
    ----------
    cell : Cell
        Daemons and stand-ins.
    folder : Path
        Directory of settings and logs.
    ledger : Ledger
        Record of what callers and workers observe.
    store_proxies : dict of str to Proxy
        Proxy between each daemon and the store, by daemon name.
    worker_proxies : list of Proxy
        Proxies between the daemons and each worker.
    advisor_proxy : Proxy
        Proxy between the daemons and the advisor.
    keys : Keys
        Keys of the newest configuration, and withdrawn ones.
    version : int
        Version of the newest configuration.
    advised : bool
        Whether starts of the queue need a ticket.
    """

    cell: node_cell.Cell
    folder: object
    ledger: _checks.Ledger
    store_proxies: dict[str, _proxy.Proxy]
    worker_proxies: list[_proxy.Proxy]
    advisor_proxy: _proxy.Proxy
    keys: _keys.Keys = attrs.field(factory=_keys.Keys)
    version: int = 1
    advised: bool = True


Fault = collections.abc.Callable[
    [Testbed, random.Random], collections.abc.Awaitable[None]
]


def _pick_node(testbed: Testbed, rng: random.Random) -> node_cell.Node:
    """Return the owner with probability 0.5, else any daemon."""
    owner = _find_owner(testbed) if rng.random() < 0.5 else None
    return owner or rng.choice(testbed.cell.nodes)


def _find_owner(testbed: Testbed) -> node_cell.Node | None:
    owner = testbed.cell.store.keys.get(f"cell/owners/{node_cell.SERVICE}")
    for node in testbed.cell.nodes:
        if owner is not None and node.name.encode() in owner.value:
            return node
    return None


def restart_if_ended(testbed: Testbed, node: node_cell.Node) -> None:
    """Restart an ended daemon unless another fault already has."""
    if node.process.poll() is None:
        return
    node.process = node_cell.spawn(testbed.folder, node.name, node.settings)


async def kill(testbed: Testbed, rng: random.Random) -> None:
    """Kill a daemon and restart it."""
    await _kill_and_restart(testbed, _pick_node(testbed, rng), rng)


async def kill_owner(testbed: Testbed, rng: random.Random) -> None:
    """Kill the owner of the queue's first service, and restart it."""
    node = _find_owner(testbed)
    if node is not None:
        await _kill_and_restart(testbed, node, rng)


async def _kill_and_restart(
    testbed: Testbed, node: node_cell.Node, rng: random.Random
) -> None:
    node.process.kill()
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    restart_if_ended(testbed, node)


async def kill_all(testbed: Testbed, rng: random.Random) -> None:
    """Kill all daemons at once and restart them."""
    for node in testbed.cell.nodes:
        node.process.kill()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    for node in testbed.cell.nodes:
        restart_if_ended(testbed, node)


async def pause(testbed: Testbed, rng: random.Random) -> None:
    """Suspend a daemon for up to six seconds, longer than its leases."""
    node = _pick_node(testbed, rng)
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 6.0))
    node.process.send_signal(signal.SIGCONT)


async def stop(testbed: Testbed, rng: random.Random) -> None:
    """Stop a daemon gracefully, at times after a reload; restart it."""
    node = _pick_node(testbed, rng)
    if rng.random() < 0.3:
        node.process.send_signal(signal.SIGHUP)
    await _stop_and_restart(testbed, node)


async def stop_owner(testbed: Testbed) -> None:
    """Stop the owner of the queue's first service, and restart it."""
    node = _find_owner(testbed)
    if node is not None:
        await _stop_and_restart(testbed, node)


async def _stop_and_restart(testbed: Testbed, node: node_cell.Node) -> None:
    node.process.send_signal(signal.SIGTERM)
    process = node.process
    for _ in range(120):
        await asyncio.sleep(0.1)
        if process.poll() is not None:
            break
    if node.process is process and process.poll() is not None:
        if process.returncode > 0:
            _checks.record_violation(
                testbed.ledger,
                f"{node.name} exited with status {process.returncode}",
            )
        restart_if_ended(testbed, node)


async def partition_from_store(testbed: Testbed, rng: random.Random) -> None:
    """Disturb a daemon's connection to the store in one of four ways."""
    proxy = testbed.store_proxies[_pick_node(testbed, rng).name]
    mode = rng.choice(("silent", "deaf", "refuse", "delay"))
    if mode == "delay":
        proxy.delay_s = rng.uniform(0.05, 0.4)
    else:
        setattr(proxy, mode, True)
    if mode != "delay" and rng.random() < 0.5:
        _proxy.reset_connections(proxy, rng)
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    _proxy.clear_faults(proxy)


async def make_store_unavailable(testbed: Testbed, rng: random.Random) -> None:
    """Have the store refuse all requests or leave them unanswered."""
    testbed.cell.store.refusal_status = rng.choice((503, 429, -1))
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    testbed.cell.store.refusal_status = 0


async def lose_answers(testbed: Testbed, rng: random.Random) -> None:
    """Lose responses to writes, which take effect at once or late."""
    testbed.cell.store.commit_delay_s = rng.choice(
        (0.0, rng.uniform(1.0, 4.0))
    )
    testbed.cell.store.dropped_responses = rng.randint(1, 6)
    await asyncio.sleep(1.0)


async def compact_history(testbed: Testbed, rng: random.Random) -> None:
    """Compact the store's history up to its current revision."""
    testbed.cell.store.compacted_revision = testbed.cell.store.revision
    await asyncio.sleep(rng.uniform(0.0, 0.5))


async def expire_leases(testbed: Testbed, rng: random.Random) -> None:
    """Expire some store leases without notice to their holders."""
    for lease, (_, ttl_s) in list(testbed.cell.store.leases.items()):
        if rng.random() < 0.4:
            testbed.cell.store.leases[lease] = (0.0, ttl_s)
    cloud.expire_leases(testbed.cell.store)
    await asyncio.sleep(0.1)


async def partition_worker(testbed: Testbed, rng: random.Random) -> None:
    """Block a worker's connections; held requests arrive after newer ones."""
    await _cut_worker(rng.choice(testbed.worker_proxies), rng)


async def _cut_worker(proxy: _proxy.Proxy, rng: random.Random) -> None:
    proxy.silent = rng.random() < 0.5
    proxy.deaf = not proxy.silent
    await asyncio.sleep(rng.uniform(0.5, 7.0))
    _proxy.clear_faults(proxy)


async def reset_connections(testbed: Testbed, rng: random.Random) -> None:
    """Reset connections to workers and the store."""
    for proxy in [*testbed.worker_proxies, *testbed.store_proxies.values()]:
        _proxy.reset_connections(proxy, rng, share=0.5)
    await asyncio.sleep(0.1)


async def crash_worker(testbed: Testbed, rng: random.Random) -> None:
    """Restart a worker under its id with all its state lost."""
    index = rng.randrange(len(testbed.cell.workers))
    cloud.restart(testbed.cell.workers[index])
    node_cell.register_worker(testbed.cell, index)
    await asyncio.sleep(0.1)


async def restart_and_cut_worker(testbed: Testbed, rng: random.Random) -> None:
    """Restart a worker under its id, cut it soon, and delay some calls.

    Calls that are sent during the short silence reach the new incarnation.
    """
    index = rng.randrange(len(testbed.cell.workers))
    worker = testbed.cell.workers[index]
    proxy = testbed.worker_proxies[index]
    worker.run_s = rng.choice((0.2, 2.0, 8.0))
    worker.late_share = LATE_SHARE
    worker.late_rng = random.Random(rng.random())
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    if not worker.silent:
        proxy.silent = True
        cloud.restart(worker, clock_origin_s=rng.choice(CLOCK_ORIGINS_S))
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        node_cell.register_worker(testbed.cell, index)
        _proxy.clear_faults(proxy)
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await _cut_worker(proxy, rng)
    worker.late_rng = None
    worker.run_s = RUN_S


async def resize_worker(testbed: Testbed, rng: random.Random) -> None:
    """Shrink a worker's capacity for some seconds."""
    index = rng.randrange(len(testbed.cell.workers))
    worker = testbed.cell.workers[index]
    former = worker.capacity["cpu"]
    for cpu in (int(former * rng.uniform(0.2, 0.8)), former):
        testbed.ledger.capacities.append(
            (time.monotonic(), worker, worker.capacity["cpu"])
        )
        worker.capacity["cpu"] = cpu
        if not worker.silent:
            node_cell.register_worker(testbed.cell, index)
        await asyncio.sleep(rng.uniform(2.0, 8.0))


async def change_config(testbed: Testbed, rng: random.Random) -> None:
    """Write several configurations in quick succession.

    Each may send the queue to another service, leave its former one out, and
    change the keys.
    """
    for _ in range(rng.randint(1, 4)):
        testbed.version += rng.randint(1, 5)
        service = rng.choice(SERVICES)
        services = rng.choice((SERVICES, (service,)))
        testbed.ledger.faults.append(
            f"{time.monotonic():.3f} version {testbed.version} sends the "
            f"queue to {service} of {services}"
        )
        _keys.change(testbed.keys, rng, testbed.version)
        cloud.put(
            testbed.cell.store,
            "op/config",
            node_cell.make_config(
                testbed.version,
                service=service,
                services=services,
                workspaces=_keys.list_workspaces(testbed.keys),
                caps=_caps.CAPS,
                advised=testbed.advised,
            ),
        )
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def partition_advisor(testbed: Testbed, rng: random.Random) -> None:
    """Block the connections to the advisor."""
    testbed.advisor_proxy.silent = True
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    _proxy.clear_faults(testbed.advisor_proxy)


FAULTS: tuple[Fault, ...] = (
    kill,
    kill,
    kill_all,
    pause,
    pause,
    stop,
    stop,
    partition_from_store,
    partition_from_store,
    make_store_unavailable,
    lose_answers,
    lose_answers,
    compact_history,
    expire_leases,
    partition_worker,
    partition_worker,
    reset_connections,
    crash_worker,
    resize_worker,
    resize_worker,
    change_config,
    change_config,
    partition_advisor,
)


# Injected beside the others, with seeds of their own.
RESTART_FAULTS: tuple[Fault, ...] = (restart_and_cut_worker,)


async def inject(
    testbed: Testbed,
    rng: random.Random,
    *,
    duration_s: float,
    faults: tuple[Fault, ...] = FAULTS,
) -> None:
    """Inject overlapping faults; return when all have ended."""
    started_at_s = time.monotonic()
    running: list[asyncio.Task[None]] = []
    while time.monotonic() - started_at_s < duration_s:
        await asyncio.sleep(rng.expovariate(1.0))
        fault = rng.choice(faults)
        testbed.ledger.faults.append(
            f"{time.monotonic():.3f} {fault.__name__}"
        )
        running.append(asyncio.ensure_future(fault(testbed, rng)))
    await asyncio.gather(*running)
    for node in testbed.cell.nodes:
        node.process.send_signal(signal.SIGCONT)
        restart_if_ended(testbed, node)
    for proxy in [*testbed.worker_proxies, *testbed.store_proxies.values()]:
        _proxy.clear_faults(proxy)
    testbed.cell.store.refusal_status = 0
    testbed.cell.store.dropped_responses = 0
