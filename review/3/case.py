"""A task runs again because only 500 ends are returned at a time."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed  # noqa: E402
import rules  # noqa: E402

JOB = "00000000000000a1"
TASKS = 1200
RUN_S = 6.0


async def run(record: bed.Record, trouble: bool) -> list[str]:
    """Hand in one job of many small tasks, and kill the owner."""
    async with bed.open_bed(record) as cell:
        for number in range(2):
            await cell.add_runner(
                bed.Runner(
                    f"runner-{number}",
                    record,
                    capacity={"cpu": 16000, "memMb": 32768, "gpu": 0},
                    run_s=lambda task: RUN_S,
                    labels=("ab"[number], "r1-1"),
                )
            )
        await asyncio.sleep(2.0)
        step = {
            "count": TASKS,
            "cpu": 10,
            "memMb": 16,
            "constraints": "b",
            "estRuntimeMs": int(RUN_S * 1000),
        }
        if not await bed.submit(cell, JOB, {"spec": "dial", "steps": [step]}):
            raise bed.NotReadyError("the job was not accepted")

        def count(what: str) -> int:
            return sum(
                text.startswith(what)
                for runner in cell.runners
                for _, text, _, _, _ in runner.log
            )

        await bed.until(lambda: count("end done") >= 20, 30.0)
        record.add(f"{count('start')} starts so far")
        if trouble:
            owner = cell.owner()
            owner.send(signal.SIGKILL)
            await asyncio.sleep(3.5)
            owner.start()
        limit = time.monotonic() + 40.0
        while time.monotonic() < limit:
            if await bed.state(cell, JOB) == "complete":
                break
            await asyncio.sleep(0.5)
        record.add(f"state: {await bed.state(cell, JOB)}")
        return rules.find_twice(cell.runners)


if __name__ == "__main__":
    sys.exit(bed.main(run, FOLDER))
