"""Calls about jobs whose queue a later configuration sends elsewhere."""

import asyncio
import collections
import collections.abc
import pathlib

import pytest

from standins import cloud
from standins import node_cell

OTHER = "render"
SERVICES = (node_cell.SERVICE, OTHER)
FILLING, CANCELLED, *OTHERS = (f"{number:016x}" for number in range(6))
WAITING = [CANCELLED, *OTHERS]

# A configuration is in force 2 s after its acknowledgement.
APPLY_S = 2.0

Check = collections.abc.Callable[
    [node_cell.Cell], collections.abc.Awaitable[None]
]


async def _check_pending(cell: node_cell.Cell) -> None:
    for node in cell.nodes:
        answer = await node_cell.fetch(node_cell.url(node))
        assert answer == (200, {"pending": len(WAITING)})


async def _check_state(cell: node_cell.Cell) -> None:
    for node in cell.nodes:
        answer = await node_cell.fetch(node_cell.url(node, WAITING[0]))
        assert answer == (200, {"state": "queued"})


async def _check_state_without_store(cell: node_cell.Cell) -> None:
    cell.store.refusal_status = 503
    await _check_state(cell)
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
    "check",
    [
        pytest.param(_check_pending, id="pending"),
        pytest.param(_check_state, id="state"),
        pytest.param(_check_state_without_store, id="state-without-store"),
        pytest.param(_check_repeat, id="repeat"),
        pytest.param(_check_cancel, id="cancel"),
    ],
)
def test_jobs_stay_known_after_their_queue_moves_to_another_service(
    check: Check, tmp_path: pathlib.Path
) -> None:
    """Guards against calls that ask only the service that a queue names now.

    Such a call finds none of the jobs that were accepted before.
    """

    async def scenario(cell: node_cell.Cell) -> None:
        config = node_cell.make_config(2, services=SERVICES)
        cloud.put(cell.store, "op/config", config)
        await node_cell.wait_until(
            lambda: f"cell/owners/{OTHER}" in cell.store.keys
        )
        (worker,) = cell.workers
        worker.run_s = 60.0
        assert await node_cell.submit(cell.nodes[0], FILLING, count=16) == 200
        await node_cell.wait_until(lambda: len(worker.runs) == 16)
        worker.run_s = 0.2
        for job_id in WAITING:
            assert await node_cell.submit(cell.nodes[0], job_id) == 200
        config = node_cell.make_config(3, service=OTHER, services=SERVICES)
        cloud.put(cell.store, "op/config", config)
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
