"""A schedule whose first time lies in the past blocks each owner in turn."""

import asyncio
import pathlib
import time
import typing

from review import cell2

RECORD: typing.Final = pathlib.Path(__file__).with_name("record.txt")

NODES: typing.Final = 8
WORKER_CPUS: typing.Final = (16_000,) * 8

# A run each second since three days ago.
SCHEDULE_AGE_S: typing.Final = 3 * 86_400
INTERVAL_MS: typing.Final = 1000
SCHEDULE: typing.Final = "5c4ed01e00000001"

# With the schedule there are 25 jobs, of which it is one: a share of 0.04.
JOBS: typing.Final = 24
PAUSE_S: typing.Final = 0.5
FINISH_S: typing.Final = 14.0
WATCH_S: typing.Final = 10.0

# Bound of the rule.
IDLE_S: typing.Final = 3.0

TASK_CPU: typing.Final = 500
WIDTH: typing.Final = 6

# Jobs that come before the schedule.
BEFORE: typing.Final = 6
PERIOD_S: typing.Final = 0.02


def _step(**fields: object) -> dict[str, object]:
    return {"count": 1, "cpu": TASK_CPU, "memMb": 256, **fields}


async def _submit(bed: cell2.Bed) -> list[str]:
    """Send the traffic, whatever the answers; return the accepted jobs."""
    calls: dict[str, asyncio.Task[tuple[int, dict[str, typing.Any]]]] = {}
    for number in range(JOBS):
        job = f"{number:016x}"
        body = cell2.make_job("0.75", _step(count=WIDTH, estRuntimeMs=750))
        calls[job] = asyncio.ensure_future(
            cell2.call(bed, number, "POST", "hourline", job, body)
        )
        if number == BEFORE and cell2.TROUBLE:
            first_ms = int((time.time() - SCHEDULE_AGE_S) * 1000)
            body = cell2.make_job(
                "0.1",
                _step(estRuntimeMs=100),
                times=SCHEDULE_AGE_S,
                firstMs=first_ms,
                intervalMs=INTERVAL_MS,
            )
            await cell2.call(bed, 1, "POST", "plate-check", SCHEDULE, body)
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*calls.values())
    return [
        job
        for job, (status, _) in zip(calls, answers, strict=True)
        if status == 200
    ]


def _idle_jobs(bed: cell2.Bed, jobs: list[str]) -> set[str]:
    """Return the jobs with nothing running although their turn has come.

    Their tasks follow no others, so it has come once they are accepted.
    """
    free = used = 0
    for worker in bed.workers:
        used += TASK_CPU * len(worker.runs)
        free += worker.capacity["cpu"] - TASK_CPU * len(worker.runs)
    if free < 2 * TASK_CPU or used * 2 >= free + used:
        return set()
    return {
        job
        for job in jobs
        if not cell2.is_running(bed, job)
        and any(f"{job}.0.0.{index}" not in bed.ends for index in range(WIDTH))
    }


async def _watch(bed: cell2.Bed, jobs: list[str]) -> dict[str, float]:
    """Return how long each job has had nothing running in a row."""
    idle_since: dict[str, float] = {}
    idle_s: dict[str, float] = {}
    until_s = cell2.now_s(bed) + WATCH_S
    while (now := cell2.now_s(bed)) < until_s:
        cell2.end_due_runs(bed)
        idle = _idle_jobs(bed, jobs)
        for job in idle_since.keys() - idle:
            del idle_since[job]
        for job in idle:
            since = idle_since.setdefault(job, now)
            idle_s[job] = max(idle_s.get(job, 0.0), now - since)
        await asyncio.sleep(PERIOD_S)
    return idle_s


def _memory_mb(bed: cell2.Bed) -> list[int]:
    """Return the most memory that each daemon has used."""
    peaks = []
    for node in bed.nodes:
        status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        line = next(
            each for each in status.splitlines() if each.startswith("VmHWM")
        )
        peaks.append(int(line.split()[1]) // 1024)
    return peaks


async def main() -> typing.NoReturn:
    """Run the case."""
    async with cell2.run_cell(
        queues=("hourline", "plate-check"),
        worker_cpus=WORKER_CPUS,
        nodes=NODES,
    ) as bed:
        await asyncio.sleep(3.0)
        accepted = await _submit(bed)
        cell2.note(bed, "the traffic ends")
        await asyncio.sleep(FINISH_S)
        idle_s = await _watch(bed, accepted)
        await asyncio.gather(
            *(
                cell2.call(bed, number, "GET", "hourline", job)
                for number, job in enumerate(accepted)
            )
        )
        cell2.note(bed, f"peak memory of the daemons, MB: {_memory_mb(bed)}")
        last_s = max(start[0] for start in bed.starts)
        cell2.note(bed, f"the last start was at {last_s:.1f} s")
        invalid = [] if len(accepted) > BEFORE else ["no job was accepted"]
        broken = [
            f"LOST: {job} had nothing running for {seconds:.1f} s in a row"
            for job, seconds in sorted(idle_s.items())
            if seconds > IDLE_S
        ]
    cell2.finish(bed, RECORD, broken, invalid)


if __name__ == "__main__":
    cell2.run_case(main)
