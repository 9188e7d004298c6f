"""Calls about jobs whose queue a later configuration sends elsewhere."""

import asyncio
import collections
import collections.abc
import pathlib
import time

import pytest

from standins import cloud
from standins import node_cell

OTHER = "render"
SERVICES = (node_cell.SERVICE, OTHER)
FILLING, CANCELLED, *OTHERS = (f"{number:016x}" for number in range(6))
WAITING = [CANCELLED, *OTHERS]
JOBS = [f"{number:016x}" for number in range(12)]

# An owner goes on for 5 s without the store.
OUTAGE_S = 3.0

# A configuration is in force 2 s after its acknowledgement.
APPLY_S = 2.0

Check = collections.abc.Callable[
    [node_cell.Cell], collections.abc.Awaitable[None]
]


async def _check_pending(cell: node_cell.Cell) -> None:
    for node in cell.nodes:
        answer = await node_cell.fetch(node_cell.url(node))
        assert answer == (200, {"pending": len(WAITING)})


async def _check_listing(cell: node_cell.Cell) -> None:
    owner = node_cell.owner_of(cell)
    for node in cell.nodes:
        url = f"http://127.0.0.1:{node.caller_port + 3}/directory"
        row = {
            "service": node_cell.SERVICE,
            "queue": "q1",
            "configured": False,
            "owner": owner.name,
        }
        assert await node_cell.fetch(url) == (200, [row])


async def _check_state(cell: node_cell.Cell) -> None:
    for node in cell.nodes:
        answer = await node_cell.fetch(node_cell.url(node, WAITING[0]))
        assert answer == (200, {"state": "queued"})


async def _check_state_without_store(cell: node_cell.Cell) -> None:
    """Ask until the owner answers, which it does while its lease holds.

    It shows no states in the milliseconds in which it asks peers to release
    it, which it does every 0.1 s of an outage.
    """
    cell.store.refusal_status = 503
    deadline_s = time.monotonic() + OUTAGE_S
    for node in cell.nodes:
        status = 503
        while status == 503 and time.monotonic() < deadline_s:
            status, answer = await node_cell.fetch(
                node_cell.url(node, WAITING[0])
            )
        assert (status, answer) == (200, {"state": "queued"})
    cell.store.refusal_status = 0


async def _check_repeat(cell: node_cell.Cell) -> None:
    for node in cell.nodes:
        for job_id in WAITING:
            assert await node_cell.submit(node, job_id) == 200
    await _check_pending(cell)


async def _check_cancel(cell: node_cell.Cell) -> None:
    url = node_cell.url(cell.nodes[0], CANCELLED)
    assert await node_cell.call(url, method="DELETE") == 200
    for node in cell.nodes:
        await node_cell.wait_until_state(node, CANCELLED, "canceled")


@pytest.mark.parametrize(
    "services",
    [
        pytest.param(SERVICES, id="service-stays"),
        pytest.param((OTHER,), id="service-leaves"),
    ],
)
@pytest.mark.parametrize(
    "check",
    [
        pytest.param(_check_pending, id="pending"),
        pytest.param(_check_state, id="state"),
        pytest.param(_check_state_without_store, id="state-without-store"),
        pytest.param(_check_repeat, id="repeat"),
        pytest.param(_check_cancel, id="cancel"),
        pytest.param(_check_listing, id="listing-for-operators"),
    ],
)
def test_jobs_stay_known_after_their_queue_moves_to_another_service(
    check: Check, services: tuple[str, ...], tmp_path: pathlib.Path
) -> None:
    """Guards against calls that ask only the service that a queue names now.

    Such a call finds none of the jobs that were accepted before.
    """

    async def scenario(cell: node_cell.Cell) -> None:
        await _start_other_service(cell)
        (worker,) = cell.workers
        worker.run_s = 60.0
        assert await node_cell.submit(cell.nodes[0], FILLING, count=16) == 200
        await node_cell.wait_until(lambda: len(worker.runs) == 16)
        worker.run_s = 0.2
        for job_id in WAITING:
            assert await node_cell.submit(cell.nodes[0], job_id) == 200
        _move_queue(cell, services)
        await asyncio.sleep(APPLY_S)
        await check(cell)
        filling = node_cell.url(cell.nodes[0], FILLING)
        assert await node_cell.call(filling, method="DELETE") == 200
        for job_id in OTHERS:
            await node_cell.wait_until_state(cell.nodes[1], job_id, "complete")
        starts = collections.Counter(task for task, _ in worker.starts)
        assert set(starts.values()) == {1}

    async def main() -> None:
        async with node_cell.run_cell(tmp_path, workers=1) as cell:
            await scenario(cell)

    asyncio.run(main())


async def _start_other_service(cell: node_cell.Cell) -> None:
    config = node_cell.make_config(2, services=SERVICES)
    cloud.put(cell.store, "op/config", config)
    await node_cell.wait_until(
        lambda: f"cell/owners/{OTHER}" in cell.store.keys
    )


def _move_queue(cell: node_cell.Cell, services: tuple[str, ...]) -> None:
    config = node_cell.make_config(3, service=OTHER, services=services)
    cloud.put(cell.store, "op/config", config)


async def _disturb_nothing(cell: node_cell.Cell, folder: pathlib.Path) -> None:
    pass


async def _kill_owner(cell: node_cell.Cell, folder: pathlib.Path) -> None:
    owner = node_cell.owner_of(cell)
    owner.process.kill()
    cell.nodes.remove(owner)


async def _restart_all(cell: node_cell.Cell, folder: pathlib.Path) -> None:
    for node in cell.nodes:
        node.process.kill()
        node.process.wait()
    for node in cell.nodes:
        node.process = node_cell.spawn(folder, node.name, node.settings)
    for node in cell.nodes:
        await node_cell.wait_until_ready(node)


@pytest.mark.parametrize(
    "disturb",
    [
        pytest.param(_disturb_nothing, id="calm"),
        pytest.param(_kill_owner, id="owner-dies"),
        pytest.param(_restart_all, id="all-instances-restart"),
    ],
)
def test_jobs_end_once_after_their_service_leaves_the_configuration(
    disturb: collections.abc.Callable[
        [node_cell.Cell, pathlib.Path], collections.abc.Awaitable[None]
    ],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against jobs that nobody owns, and ids that run again."""
    done: collections.Counter[str] = collections.Counter()

    def on_completion(task: str, run: int, outcome: str) -> None:
        done[task] += outcome == "done"

    async def scenario(cell: node_cell.Cell) -> None:
        await _start_other_service(cell)
        for worker in cell.workers:
            worker.run_s = 2.0
            worker.capacity["cpu"] = 1000
            worker.on_completion = on_completion
        for number in range(len(cell.workers)):
            node_cell.register_worker(cell, number)
        for job_id in JOBS:
            assert await node_cell.submit(cell.nodes[0], job_id) == 200
        _move_queue(cell, (OTHER,))
        await asyncio.sleep(APPLY_S)
        await disturb(cell, tmp_path)
        for job_id in JOBS:
            status = 503
            while status in (503, 504):
                status = await node_cell.submit(cell.nodes[-1], job_id)
            assert status == 200
        for job_id in JOBS:
            await node_cell.wait_until_state(
                cell.nodes[0], job_id, "complete", limit_s=60.0
            )
        assert set(done.values()) == {1}
        assert len(done) == 2 * len(JOBS)

    async def main() -> None:
        async with node_cell.run_cell(tmp_path) as cell:
            await scenario(cell)

    asyncio.run(main())
