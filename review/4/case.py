"""Tasks that take long are stopped every 2.5 s and never end."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed  # noqa: E402

JOB = "00000000000000c1"
TASKS = 4
# Largest work of a plate-check task, and the largest factor of the site file
# for work that takes longer.
WORK_S = 40.0
FACTOR = 6.5

FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 80.0


async def run(record: bed.Record, trouble: bool) -> list[str]:
    """Hand in one job, and look for 3 s in which nothing of it runs."""
    run_s = WORK_S * (FACTOR if trouble else 1.0)
    async with bed.open_bed(record) as cell:
        for number in range(3):
            await cell.add_runner(
                bed.Runner(
                    f"runner-{number}",
                    record,
                    capacity={"cpu": 16000, "memMb": 32768, "gpu": 0},
                    run_s=lambda task: run_s,
                    labels=("aab"[number], "r1-1"),
                )
            )
        await asyncio.sleep(2.0)
        step = {
            "count": TASKS,
            "cpu": 1000,
            "memMb": 256,
            "constraints": "b",
            "estRuntimeMs": int(WORK_S * 1000),
        }
        if not await bed.submit(cell, JOB, {"spec": "dial", "steps": [step]}):
            raise bed.NotReadyError("the job was not accepted")
        await asyncio.sleep(FINISH_S)
        started_at = idle_since = time.monotonic()
        longest_s = 0.0
        while time.monotonic() - started_at < WATCH_S:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = {
                task
                for runner in cell.runners
                for _, what, task, _, _ in runner.log
                if what == "end done"
            }
            at_work = any(runner.running for runner in cell.runners)
            if at_work or len(ended) == TASKS:
                idle_since = now
            longest_s = max(longest_s, now - idle_since)
            if longest_s > IDLE_S + 1.0 or len(ended) == TASKS:
                break
        starts = sum(
            what.startswith("start")
            for runner in cell.runners
            for _, what, _, _, _ in runner.log
        )
        state = await bed.state(cell, JOB)
        record.add(
            f"{JOB} is {state} after {starts} starts of {TASKS} tasks; "
            f"nothing of it ran for up to {longest_s:.1f} s"
        )
        if longest_s < IDLE_S:
            return []
        return [
            f"LOST: accepted job {JOB} is {state}; after {starts} starts of "
            f"its {TASKS} tasks nothing of it ran for {longest_s:.1f} s, on "
            "an empty runner with room for four times as much"
        ]


if __name__ == "__main__":
    sys.exit(bed.main(run, FOLDER))
