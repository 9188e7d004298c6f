"""A cell of real daemons on loopback with stand-ins of the platform."""

import asyncio
import collections.abc
import functools
import json
import pathlib
import signal

import pytest

from standins import cloud
from standins import node_cell

JOBS = [f"{number:016x}" for number in range(12)]


def run(
    scenario: collections.abc.Callable[
        [node_cell.Cell], collections.abc.Awaitable[None]
    ],
    folder: pathlib.Path,
    **size: int,
) -> None:
    """Run a scenario in a new cell and check its runs afterwards."""

    async def main() -> None:
        async with node_cell.run_cell(folder, **size) as cell:
            await scenario(cell)
            node_cell.check_runs(cell)

    asyncio.run(main())


def test_jobs_run_once_and_every_instance_shows_them(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost and duplicate jobs without any fault."""

    async def scenario(cell: node_cell.Cell) -> None:
        for number, job_id in enumerate(JOBS):
            node = cell.nodes[number % 3]
            assert await node_cell.submit(node, job_id, steps=2) == 200
            other = cell.nodes[(number + 1) % 3]
            assert await node_cell.submit(other, job_id, steps=2) == 200
        for number, job_id in enumerate(JOBS):
            node = cell.nodes[(number + 2) % 3]
            await node_cell.wait_until_state(node, job_id, "complete")
        starts = [start for each in cell.workers for start in each.starts]
        assert len(starts) == len(JOBS) * 4
        _, queue = await node_cell.fetch(node_cell.url(cell.nodes[0]))
        assert queue == {"pending": 0}

    run(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(signal.SIGKILL, id="killed"),
        pytest.param(signal.SIGSTOP, id="paused"),
        pytest.param(signal.SIGTERM, id="terminated"),
    ],
)
def test_work_continues_after_the_owner_fails(
    fault: signal.Signals, tmp_path: pathlib.Path
) -> None:
    """Guards against jobs that are lost with their owner, or run twice."""

    async def scenario(cell: node_cell.Cell) -> None:
        for worker in cell.workers:
            worker.run_s = 1.0
        owner = node_cell.owner_of(cell)
        others = [node for node in cell.nodes if node is not owner]
        for job_id in JOBS:
            assert await node_cell.submit(others[0], job_id, steps=2) == 200
        await asyncio.sleep(0.5)
        owner.process.send_signal(fault)
        for job_id in JOBS:
            await node_cell.wait_until_state(others[1], job_id, "complete")
        if fault == signal.SIGSTOP:
            owner.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
        if fault == signal.SIGTERM:
            assert owner.process.wait(timeout=10) == 0

    run(scenario, tmp_path)


@pytest.mark.parametrize(
    ("keeps_id", "owner_dies"),
    [
        pytest.param(True, False, id="same-id"),
        pytest.param(False, False, id="new-id"),
        pytest.param(False, True, id="owner-dies"),
    ],
)
def test_a_task_that_crashes_workers_is_given_up_beside_other_work(
    keeps_id: bool, owner_dies: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a task that takes down one worker after another."""
    deadly_job, *sound_jobs = JOBS
    deadly_task = f"{deadly_job}.0.0.1"
    tasks: set[asyncio.Task[None]] = set()

    async def scenario(cell: node_cell.Cell) -> None:
        owner = node_cell.owner_of(cell)
        other = next(node for node in cell.nodes if node is not owner)

        def on_crash(number: int) -> None:
            life = len(tasks)
            tasks.add(
                asyncio.ensure_future(
                    node_cell.restart_worker(
                        cell,
                        number,
                        down_s=3.2,
                        new_id="" if keeps_id else f"i-{number}-{life}",
                    )
                )
            )
            if owner_dies and life == 1:
                owner.process.send_signal(signal.SIGKILL)

        for number, worker in enumerate(cell.workers):
            worker.is_deadly = deadly_task.__eq__
            worker.on_crash = functools.partial(on_crash, number)
        for job_id in JOBS:
            assert await node_cell.submit(other, job_id) == 200
            await asyncio.sleep(0.1)
        for job_id in sound_jobs:
            await node_cell.wait_until_state(
                other, job_id, "complete", limit_s=60.0
            )
        await node_cell.wait_until_state(
            other, deadly_job, "failed", limit_s=60.0
        )
        starts = [task for worker in cell.workers for task, _ in worker.starts]
        # Three more starts after three crashes are too many.
        assert 2 <= starts.count(deadly_task) <= 5
        for task in tasks:
            task.cancel()

    run(scenario, tmp_path, workers=6)


def test_a_worker_that_has_shrunk_is_not_filled_over_its_capacity(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an owner that does not follow its workers' capacity."""

    async def scenario(cell: node_cell.Cell) -> None:
        for number, worker in enumerate(cell.workers):
            worker.run_s = 1.0
            worker.capacity["cpu"] = 1000
            node_cell.register_worker(cell, number)
        # The users allow the platform's contact time and one heartbeat.
        await asyncio.sleep(4.5)
        most = 0
        for job_id in JOBS[:4]:
            assert await node_cell.submit(cell.nodes[0], job_id) == 200
        for _ in range(60):
            await asyncio.sleep(0.05)
            most = max(most, *(len(worker.runs) for worker in cell.workers))
        # Each task needs half of what is left of a worker.
        assert most == 2
        for number, worker in enumerate(cell.workers):
            worker.capacity["cpu"] = 8000
            node_cell.register_worker(cell, number)
        for job_id in JOBS[:4]:
            await node_cell.wait_until_state(cell.nodes[1], job_id, "complete")

    run(scenario, tmp_path)


def test_jobs_refused_during_a_store_outage_never_run(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refused jobs that run and an owner that stays idle."""

    async def scenario(cell: node_cell.Cell) -> None:
        cell.store.refusal_status = 503
        statuses = [
            await node_cell.submit(cell.nodes[0], job_id)
            for job_id in JOBS[:3]
        ]
        assert statuses == [503] * 3
        await asyncio.sleep(2.0)
        cell.store.refusal_status = 0
        assert await node_cell.submit(cell.nodes[1], JOBS[5]) in (200, 503)
        await asyncio.sleep(0.5)
        assert await node_cell.submit(cell.nodes[1], JOBS[5]) == 200
        await node_cell.wait_until_state(cell.nodes[2], JOBS[5], "complete")
        started = {
            task.split(".")[0]
            for worker in cell.workers
            for task, _ in worker.starts
        }
        assert not started & set(JOBS[:3])

    run(scenario, tmp_path)


def test_no_job_runs_twice_if_store_answers_are_lost(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against retried writes that had already taken effect."""

    async def scenario(cell: node_cell.Cell) -> None:
        for job_id in JOBS:
            cell.store.dropped_responses = 2
            status = await node_cell.submit(cell.nodes[0], job_id)
            if status != 200:
                assert status == 504
                assert await node_cell.submit(cell.nodes[1], job_id) == 200
        for job_id in JOBS:
            await node_cell.wait_until_state(cell.nodes[0], job_id, "complete")

    run(scenario, tmp_path)


def test_a_cancelled_job_stops_and_stays_cancelled(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against runs that continue after their job was cancelled."""

    async def scenario(cell: node_cell.Cell) -> None:
        for worker in cell.workers:
            worker.run_s = 60.0
        node = cell.nodes[0]
        assert await node_cell.submit(node, JOBS[0], count=6) == 200
        await node_cell.wait_until_state(node, JOBS[0], "running")
        assert (
            await node_cell.call(node_cell.url(node, JOBS[0]), method="DELETE")
            == 200
        )
        await node_cell.wait_until_state(cell.nodes[1], JOBS[0], "canceled")
        await node_cell.wait_until(
            lambda: not any(worker.runs for worker in cell.workers)
        )
        unknown = node_cell.url(node, JOBS[9])
        assert await node_cell.call(unknown, method="DELETE") == 410

    run(scenario, tmp_path)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        pytest.param("POST", JOBS[0], b"{", 400, id="invalid-json"),
        pytest.param("POST", JOBS[0], b'{"steps":[]}', 400, id="no-steps"),
        pytest.param(
            "POST",
            JOBS[0],
            json.dumps({"steps": [{"count": 1, "after": [3]}]}).encode(),
            400,
            id="unknown-predecessor",
        ),
        pytest.param("POST", "xyz", b"{}", 404, id="malformed-id"),
        pytest.param("GET", JOBS[0], None, 410, id="unknown-job"),
        pytest.param("POST", JOBS[0], b"x" * 70_000, 413, id="too-large"),
    ],
)
def test_bad_input_is_refused(
    method: str,
    path: str,
    body: bytes | None,
    status: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against bad input that is accepted or affects other jobs."""

    async def scenario(cell: node_cell.Cell) -> None:
        node = cell.nodes[0]
        cloud.put(cell.store, "servers/odd", b"\xff not an entry")
        answer = await node_cell.call(
            node_cell.url(node, path), method=method, body=body
        )
        assert answer == status
        assert await node_cell.submit(node, JOBS[7]) == 200
        await node_cell.wait_until_state(node, JOBS[7], "complete")

    run(scenario, tmp_path)


def test_a_new_config_takes_effect_in_time(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests served by a configuration that was replaced.

    A path that only the old configuration has is refused after 2 s.
    """

    async def scenario(cell: node_cell.Cell) -> None:
        cloud.put(
            cell.store, "op/config", node_cell.make_config(2, prefix="/new/")
        )
        await asyncio.sleep(2.0)
        for node in cell.nodes:
            assert await node_cell.submit(node, JOBS[0]) == 404

    run(scenario, tmp_path)
