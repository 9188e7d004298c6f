"""One run of the soak: starts a cell, injects faults, checks invariants."""

import asyncio
import collections.abc
import contextlib
import functools
import json
import pathlib
import random
import time

from soak import _callers
from soak import _caps
from soak import _checks
from soak import _faults
from soak import _keys
from soak import _proxy
from soak import _recut
from standins import cloud
from standins import harness
from standins import node_cell

WORKERS_PER_SERVICE = 4
WORKER_CPU_MILLIS = 8000
JOBS_PER_S = 4.0

# Time for which a worker is down after a task has crashed it.
CRASH_DOWN_S = 3.0

# Time after the last fault within which all accepted jobs must end.
FINISH_LIMIT_S = 40.0

# After the last fault a daemon must reconnect within the first limit, and
# apply the newest configuration within the second after that.
RECONNECT_LIMIT_S = 3.0
CONFIG_LIMIT_S = 2.0

# Longest lease that the workers grant.
LONGEST_LEASE_S = 10.0

# Rates of the workers' clocks, which may run up to 2% slow.
CLOCK_RATES = (1.0, 0.98, 0.99, 1.0)


async def run_seed(
    folder: pathlib.Path,
    seed: int,
    *,
    nodes: int,
    duration_s: float,
    restart_seed: int | None = None,
    series: _recut.Series | None = None,
    advised: bool = True,
    longest_lease_s: float = LONGEST_LEASE_S,
) -> _checks.Ledger:
    """Run one seed and return the observations.

    Parameters
    ----------
    folder : Path
        Directory of settings and logs.
    seed : int
        Seed of the random jobs and faults.
    nodes : int
        Number of daemons.
    duration_s : float
        Seconds during which faults are injected.
    restart_seed : int or None
        Seed of restarts of workers that are cut soon; None for none.
    series : Series or None
        Restarts and cuts of half of the workers, instead of the faults at
        random; None for these.
    advised : bool
        Whether the advisor decides which workers may run the queue's steps.
    longest_lease_s : float
        Longest lease that the workers grant, which the daemons are set to.
    """
    rng = random.Random(seed)
    async with _run_testbed(
        folder, nodes=nodes, advised=advised, longest_lease_s=longest_lease_s
    ) as testbed:
        callers = _callers.Callers(
            ledger=testbed.ledger,
            nodes=testbed.cell.nodes,
            rng=random.Random(rng.random()),
        )
        stop = asyncio.Event()
        jobs: set[asyncio.Task[None]] = set()
        arrivals = asyncio.ensure_future(
            _submit_jobs(callers, jobs, stop, random.Random(rng.random()))
        )
        tries = asyncio.ensure_future(
            _keys.try_keys(
                testbed.ledger,
                testbed.keys,
                testbed.cell.nodes,
                random.Random(rng.random()),
            )
        )
        inject = _faults.inject
        if series is not None:
            inject = functools.partial(_recut.inject, series=series)
        injections = [inject(testbed, rng, duration_s=duration_s)]
        if restart_seed is not None:
            injections.append(
                _faults.inject(
                    testbed,
                    random.Random(restart_seed),
                    duration_s=duration_s,
                    faults=_faults.RESTART_FAULTS,
                )
            )
        await asyncio.gather(*injections)
        stop.set()
        await arrivals
        await _finish_jobs(testbed, callers, jobs)
        tries.cancel()
    return testbed.ledger


@contextlib.asynccontextmanager
async def _run_testbed(
    folder: pathlib.Path,
    *,
    nodes: int,
    advised: bool,
    longest_lease_s: float,
) -> collections.abc.AsyncIterator[_faults.Testbed]:
    ledger = _checks.Ledger()
    closers: list[collections.abc.Callable[[], None]] = []
    store = cloud.Store()
    workers = [
        cloud.Worker(
            id=f"i-{number}",
            service=service,
            capacity={"cpu": WORKER_CPU_MILLIS, "memMb": 8000, "gpu": 0},
            clock_rate=CLOCK_RATES[number % len(CLOCK_RATES)],
            run_s=_faults.RUN_S,
            longest_lease_s=longest_lease_s,
            on_call=functools.partial(_log_call, folder / "calls.log"),
        )
        for number, service in enumerate(
            _faults.SERVICES * WORKERS_PER_SERVICE
        )
    ]

    advisor = cloud.Advisor(workers=workers)

    async def serve(handler: object, state: object) -> _proxy.Proxy:
        address, server = cloud.serve(functools.partial(handler, state))
        closers.append(server.stop)
        return _proxy.Proxy(target=address)

    async def listen(proxy: _proxy.Proxy) -> str:
        address, server = await _proxy.serve(proxy)
        closers.append(server.close)
        return address

    store_proxy = await serve(cloud.handle_store_request, store)
    advisor_proxy = await serve(cloud.handle_advisor_request, advisor)
    advisor_address = await listen(advisor_proxy)
    cell = node_cell.Cell(store=store, advisor=advisor, workers=workers)
    testbed = _faults.Testbed(
        cell=cell,
        folder=folder,
        ledger=ledger,
        store_proxies={},
        worker_proxies=[],
        advisor_proxy=advisor_proxy,
        advised=advised,
    )
    for worker in workers:
        _checks.observe_worker(
            ledger, worker, functools.partial(_caps.check_start, ledger)
        )
        proxy = await serve(cloud.handle_worker_request, worker)
        testbed.worker_proxies.append(proxy)
        address = await listen(proxy)
        cell.worker_addresses.append(address)
        entry = cloud.encode_entry(worker, address)
        cloud.put(store, f"servers/{worker.id}", entry)
    cloud.put(
        store,
        "op/config",
        node_cell.make_config(
            1,
            workspaces=_keys.list_workspaces(testbed.keys),
            caps=_caps.CAPS,
            advised=advised,
        ),
    )
    restarts: set[asyncio.Task[None]] = set()
    for number, worker in enumerate(workers):
        worker.on_crash = functools.partial(
            _restart_after_crash, cell, restarts, number
        )
    ports = harness.make_harness(folder)
    try:
        for number in range(nodes):
            name = f"n{number}"
            proxy = _proxy.Proxy(target=store_proxy.target)
            testbed.store_proxies[name] = proxy
            cell.nodes.append(
                node_cell.start_node(
                    folder,
                    name,
                    await listen(proxy),
                    advisor_address,
                    harness.find_ports(ports, node_cell.PORTS_PER_NODE),
                    bounds={
                        **_keys.BOUNDS,
                        "worker_lease_max_ms": longest_lease_s * 1000,
                    },
                )
            )
        for node in cell.nodes:
            await node_cell.wait_until_ready(node)
        yield testbed
    finally:
        for task in restarts:
            task.cancel()
        for node in cell.nodes:
            node.process.kill()
            node.process.wait()
        for proxy in [
            *testbed.store_proxies.values(),
            *testbed.worker_proxies,
            advisor_proxy,
        ]:
            await _proxy.close(proxy)
        for close in closers:
            close()


def _log_call(path: pathlib.Path, call: dict[str, object]) -> None:
    """Append a call that a worker has executed to a file of JSON lines."""
    with path.open("a", encoding="utf-8") as log:
        log.write(json.dumps(call) + "\n")


def _restart_after_crash(
    cell: node_cell.Cell, restarts: set[asyncio.Task[None]], number: int
) -> None:
    """Restart a worker that a task has crashed, every other time as new."""
    life = len(restarts)
    restarts.add(
        asyncio.ensure_future(
            node_cell.restart_worker(
                cell,
                number,
                down_s=CRASH_DOWN_S,
                new_id=f"i-{number}-{life}" if life % 2 else "",
            )
        )
    )


async def _submit_jobs(
    callers: _callers.Callers,
    jobs: set[asyncio.Task[None]],
    stop: asyncio.Event,
    rng: random.Random,
) -> None:
    while not stop.is_set():
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        job_id = f"{rng.getrandbits(64):016x}"
        jobs.add(asyncio.ensure_future(_callers.run_job(callers, job_id)))


async def _finish_jobs(
    testbed: _faults.Testbed,
    callers: _callers.Callers,
    jobs: set[asyncio.Task[None]],
) -> None:
    """Wait for all jobs without faults, then check the final state."""
    ledger = testbed.ledger
    for node in testbed.cell.nodes:
        await node_cell.wait_until_ready(node)
    await asyncio.sleep(RECONNECT_LIMIT_S + CONFIG_LIMIT_S)
    await _check_config(testbed)
    callers.faults_ended.set()
    started_at_s = time.monotonic()
    done, unfinished = await asyncio.wait(jobs, timeout=FINISH_LIMIT_S)
    for task in done:
        if task.exception() is not None:
            _checks.record_violation(ledger, f"caller: {task.exception()!r}")
    for task in unfinished:
        task.cancel()
    waited_s = time.monotonic() - started_at_s
    for job in ledger.jobs.values():
        if job.accepted_at and job.state not in _checks.TERMINAL:
            _checks.record_violation(
                ledger,
                f"{job.id} is {job.state or 'unknown'} after {waited_s:.0f} s",
            )
        if not job.accepted_at and not job.refused:
            _checks.record_violation(
                ledger, f"{job.id} was neither accepted nor refused"
            )
    for worker in testbed.cell.workers:
        for task, run in worker.runs:
            job = ledger.jobs[task.split(".")[0]]
            if job.state in _checks.TERMINAL:
                _checks.record_violation(
                    ledger, f"{task} run {run} still runs: job is {job.state}"
                )


async def _check_config(testbed: _faults.Testbed) -> None:
    """Check that every daemon has applied the newest configuration."""
    for node in testbed.cell.nodes:
        url = f"http://127.0.0.1:{node.caller_port}/v{testbed.version}/"
        status = await node_cell.call(url)
        if status != 200:
            _checks.record_violation(
                testbed.ledger,
                f"{node.name} returns {status} for version {testbed.version}",
            )


def report(ledger: _checks.Ledger) -> dict[str, object]:
    """Return a summary for the log."""
    return {
        "jobs": len(ledger.jobs),
        "complete": sum(
            job.state == "complete" for job in ledger.jobs.values()
        ),
        "refused": sum(job.refused for job in ledger.jobs.values()),
        "key_tries": dict(ledger.key_tries),
        "cap_starts": ledger.cap_starts,
        "faults": len(ledger.faults),
        "violations": ledger.violations,
    }


def write_ledger(folder: pathlib.Path, ledger: _checks.Ledger) -> None:
    """Write faults and violations beside the daemons' logs."""
    text = json.dumps({**report(ledger), "faults": ledger.faults}, indent=1)
    (folder / "ledger.json").write_text(text, encoding="utf-8")
