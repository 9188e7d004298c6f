"""One unreadable entry under servers/ ends all work of a service."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed  # noqa: E402

BEFORE, AFTER = "00000000000000b1", "00000000000000b2"
STEP = {"count": 4, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000}
RUN_S = 1.0
# Not JSON: 5,000 brackets that are never closed.
UNREADABLE = b"[" * 5000

FINISH_S = 14.0
IDLE_S = 3.0


async def run(record: bed.Record, trouble: bool) -> list[str]:
    """Write the entry between two jobs, and see whether the second runs."""
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
        if not await bed.submit(cell, BEFORE, body):
            raise bed.NotReadyError("the first job was not accepted")
        await asyncio.sleep(5.0)
        if await bed.state(cell, BEFORE) != "complete":
            raise bed.NotReadyError("the first job did not end")
        if trouble:
            cell.store.put("servers/ghost", UNREADABLE)
            record.add("another writer writes an unreadable servers/ghost")
        await asyncio.sleep(1.0)
        if not await bed.submit(cell, AFTER, body):
            raise bed.NotReadyError("the second job was not accepted")
        await asyncio.sleep(FINISH_S)
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < IDLE_S:
            if any(runner.running for runner in cell.runners):
                break
            await asyncio.sleep(0.05)
        idle_s = time.monotonic() - idle_since
        state = await bed.state(cell, AFTER)
        record.add(f"{AFTER} is {state}; nothing ran for {idle_s:.1f} s")
        if state == "complete" or idle_s < IDLE_S:
            return []
        return [
            f"LOST: accepted job {AFTER} is {state or 'not answered'}; "
            f"{FINISH_S:.0f} s after the last request nothing has run for "
            f"{idle_s:.1f} s, on three empty runners"
        ]


if __name__ == "__main__":
    sys.exit(bed.main(run, FOLDER))
