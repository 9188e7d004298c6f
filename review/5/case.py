"""A queue that moves to another service shows none of its waiting jobs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import bed  # noqa: E402

OTHER = "render"
SERVICES = (bed.SERVICE, OTHER)
FILLING = "00000000000000e0"
WAITING = 10
RUN_S = 60.0

# visible_ms + 2 s, and the time in which a version comes into force.
SHOWN_S = 3.0 + 2.0
APPLY_S = 2.0


async def run(record: bed.Record, trouble: bool) -> list[str]:
    """Move a queue with waiting jobs, and ask for their number."""
    async with bed.open_bed(record) as cell:
        bed.put_config(cell.store, 2, [bed.queue()], services=SERVICES)
        for number, service in enumerate(SERVICES):
            await cell.add_runner(
                bed.Runner(
                    f"runner-{number}",
                    record,
                    capacity={"cpu": 4000, "memMb": 32768, "gpu": 0},
                    run_s=lambda task: RUN_S,
                    service=service,
                )
            )
        await asyncio.sleep(3.0)
        step = {"count": 4, "cpu": 1000, "memMb": 256, "estRuntimeMs": 60_000}
        body = {"spec": "dial", "steps": [step]}
        if not await bed.submit(cell, FILLING, body):
            raise bed.NotReadyError("the first job was not accepted")
        await bed.until(lambda: len(cell.runners[0].running) == 4, 10.0)
        for number in range(WAITING):
            if not await bed.submit(cell, f"{number + 1:016x}", body):
                raise bed.NotReadyError("a job was not accepted")
        await asyncio.sleep(SHOWN_S)
        if trouble:
            routes = [bed.queue(service=OTHER)]
            bed.put_config(cell.store, 5, routes, services=SERVICES)
            record.add(f"version 5 sends the queue to {OTHER}")
        await asyncio.sleep(APPLY_S + 1.0)
        begun = {
            task.split(".")[0]
            for runner in cell.runners
            for _, what, task, _, _ in runner.log
            if what.startswith("start")
        } - {FILLING}
        broken = []
        for daemon in cell.daemons:
            status, answer = await bed.call(daemon.front, "GET", bed.PREFIX)
            record.add(f"{daemon.name} answers {status} {answer}")
            waiting = WAITING - len(begun)
            if status == 200 and answer["pending"] < waiting / 2:
                broken.append(
                    f"MIXED: {daemon.name} gives {answer['pending']} jobs as "
                    f"pending; {waiting} were accepted over {SHOWN_S:.0f} s "
                    "before and haven't begun"
                )
        return broken


if __name__ == "__main__":
    sys.exit(bed.main(run, FOLDER))
