"""Jobs at the bounds of their fields, in real daemons."""

import asyncio
import json
import pathlib
import signal
import time

import pytest

from standins import node_cell

SCHEDULE, BEFORE, AFTER, LAST = (letter * 16 for letter in "0abc")

# The smallest instances have 200 MB; a daemon without work takes 45 MB.
MAX_MEMORY_MB = 150

STEP = {"count": 1, "cpu": 500, "memMb": 100, "estRuntimeMs": 100}


def _memory_mb(node: node_cell.Node) -> int:
    """Return the most memory that a daemon has used."""
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    line = next(
        each for each in status.splitlines() if each.startswith("VmHWM")
    )
    return int(line.split()[1]) // 1024


@pytest.mark.parametrize(
    "job",
    [
        pytest.param(
            {
                "steps": [STEP],
                "times": 259_200,
                "firstMs": (time.time() - 3 * 86_400) * 1000,
                "intervalMs": 1000,
            },
            id="each-second-since-three-days",
        ),
        pytest.param(
            {
                "steps": [STEP],
                "times": 10**9,
                "firstMs": 0,
                "intervalMs": 1,
            },
            id="a-billion-since-1970",
        ),
        pytest.param(
            {
                "steps": [{**STEP, "count": 50}],
                "times": 10**9,
                "firstMs": 0,
                "intervalMs": 0,
            },
            id="a-billion-at-once",
        ),
    ],
)
def test_a_job_of_very_many_tasks_holds_up_no_other(
    tmp_path: pathlib.Path, job: dict[str, object]
) -> None:
    """Guards against owners that one accepted job stalls or kills in turn."""

    async def scenario(cell: node_cell.Cell) -> None:
        owner = node_cell.owner_of(cell)
        other = next(node for node in cell.nodes if node is not owner)
        assert await node_cell.submit(other, BEFORE) == 200
        body = json.dumps({"spec": "0.1", **job}).encode()
        url = node_cell.url(other, SCHEDULE)
        assert await node_cell.call(url, method="POST", body=body) == 200
        await node_cell.wait_until_state(other, SCHEDULE, "running")
        assert await node_cell.submit(other, AFTER) == 200
        await node_cell.wait_until_state(other, BEFORE, "complete")
        await node_cell.wait_until_state(other, AFTER, "complete")
        owner.process.send_signal(signal.SIGKILL)
        assert await node_cell.submit(other, LAST) == 200
        await node_cell.wait_until_state(other, LAST, "complete")
        await node_cell.wait_until_state(other, SCHEDULE, "running")
        assert await node_cell.call(url, method="DELETE") == 200
        await node_cell.wait_until_state(other, SCHEDULE, "canceled")
        living = [node for node in cell.nodes if node is not owner]
        assert all(node.process.poll() is None for node in living)
        assert max(map(_memory_mb, living)) < MAX_MEMORY_MB

    async def main() -> None:
        async with node_cell.run_cell(tmp_path) as cell:
            await scenario(cell)

    asyncio.run(main())
