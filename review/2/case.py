"""A new route whose advice has no time per worker ends a service's work."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed  # noqa: E402

NEW_PREFIX = "/sketch/"
FIRST, NEW, LATER = (f"00000000000000d{number}" for number in (1, 2, 3))
STEP = {"count": 4, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000}
RUN_S = 1.0

FINISH_S = 14.0
IDLE_S = 3.0


async def run(record: bed.Record, trouble: bool) -> list[str]:
    """Add the route, and hand in a job on it and one on the old route."""
    advice = {
        "decideMs": 20.0,
        "eachMs": 0.0 if trouble else 1.0,
        "validityMs": 2000,
    }
    async with bed.open_bed(record) as cell:
        for number in range(3):
            await cell.add_runner(
                bed.Runner(
                    f"runner-{number}",
                    record,
                    capacity={"cpu": 16000, "memMb": 32768, "gpu": 0},
                    run_s=lambda task: RUN_S,
                )
            )
        await asyncio.sleep(2.0)
        body = {"spec": "dial", "steps": [STEP]}
        if not await bed.submit(cell, FIRST, body):
            raise bed.NotReadyError("the first job was not accepted")
        await asyncio.sleep(5.0)
        if await bed.state(cell, FIRST) != "complete":
            raise bed.NotReadyError("the first job did not end")
        cell.advisor.set_policy(advice)
        new = bed.queue(name="q2", prefix=NEW_PREFIX, advice=advice)
        bed.put_config(cell.store, 5, [bed.queue(), new])
        record.add(f"version 5 adds a route with the advice {advice}")
        await asyncio.sleep(3.0)
        for job, prefix in ((NEW, NEW_PREFIX), (LATER, bed.PREFIX)):
            if not await bed.submit(cell, job, body, prefix=prefix):
                raise bed.NotReadyError(f"{job} was not accepted")
            await asyncio.sleep(0.5)
        await asyncio.sleep(FINISH_S)
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < IDLE_S:
            if any(runner.running for runner in cell.runners):
                break
            await asyncio.sleep(0.05)
        idle_s = time.monotonic() - idle_since
        broken = []
        for job, prefix in ((NEW, NEW_PREFIX), (LATER, bed.PREFIX)):
            state = await bed.state(cell, job, prefix=prefix)
            record.add(f"{job} is {state}; nothing ran for {idle_s:.1f} s")
            if state != "complete" and idle_s >= IDLE_S:
                broken.append(
                    f"LOST: accepted job {job} of {prefix} is "
                    f"{state or 'not answered'}; {FINISH_S:.0f} s after the "
                    f"last request nothing has run for {idle_s:.1f} s, on "
                    "three empty runners"
                )
        return broken


if __name__ == "__main__":
    sys.exit(bed.main(run, FOLDER))
