"""Memory and time that an owner spends on jobs at the bounds of their fields.

Each case runs in a process of its own with a limit on its memory and on its
processor time: without the bounds of `workloads._units`, one of these jobs
takes all memory of a machine.
"""

import collections.abc
import json
import pathlib
import resource
import subprocess
import sys
import time

from bench import _figures
from chestnuttide import model
from chestnuttide import workloads

COMMAND = "python -m bench job_bounds"

UNIX_S = 1_800_000_000.0
DAY_S = 86_400
WORKERS = 8
ROUNDS = 20

MEMORY_LIMIT_BYTES = 2 * 2**30
CPU_LIMIT_S = 30

# A daemon may use 200 to 300 MB and takes 45 to 60 MB without work. Its lease
# is renewed every few hundred milliseconds and lasts 1.2 s.
MAX_MEMORY_MB = 50
MAX_STEP_MS = 200
# A link of 5 Mbit/s sends as much within a tenth of a second.
MAX_RECORD_BYTES = 40_000

NEED = model.Resources(cpu_millis=500, memory_mb=256)


def _make_job(
    number: int = 0,
    *,
    widths: collections.abc.Sequence[int] = (1,),
    occurrences: int = 0,
    first_unix_s: float = UNIX_S - 3 * DAY_S,
    interval_s: float = 1.0,
) -> workloads.JobSpec:
    return workloads.JobSpec(
        id=f"{number:016x}",
        queue=workloads.Queue(
            name="q", host="h", prefix="/p/", service="s", attempt_limit=3
        ),
        payload="",
        steps=tuple(
            workloads.StepSpec(count=width, need=NEED, estimate_s=1.0)
            for width in widths
        ),
        occurrences=occurrences,
        first_due_unix_s=first_unix_s,
        interval_s=interval_s,
    )


def _since_1970() -> list[workloads.JobSpec]:
    job = _make_job(occurrences=10**9, first_unix_s=0.0, interval_s=0.001)
    return [job]


# The jobs of each case, and the number of rounds after which it is measured.
CASES: dict[
    str, tuple[collections.abc.Callable[[], list[workloads.JobSpec]], int]
] = {
    "each second since three days": (
        lambda: [_make_job(occurrences=259_200)],
        ROUNDS,
    ),
    "10^9 occurrences since 1970": (_since_1970, ROUNDS),
    "20,000 tasks": (lambda: [_make_job(widths=(20_000,))], ROUNDS),
    "256 steps of 78 tasks": (lambda: [_make_job(widths=(78,) * 256)], ROUNDS),
    "500 jobs of 1,000 tasks": (
        lambda: [_make_job(number, widths=(1_000,)) for number in range(500)],
        ROUNDS,
    ),
    "200 schedules each minute since a day": (
        lambda: [
            _make_job(
                number,
                occurrences=10**6,
                first_unix_s=UNIX_S - DAY_S,
                interval_s=60.0,
            )
            for number in range(200)
        ],
        ROUNDS,
    ),
    "30,000 occurrences done": (
        lambda: [_make_job(occurrences=10**9, first_unix_s=UNIX_S)],
        30_000,
    ),
}


def measure(directory: pathlib.Path) -> list[_figures.Figure]:
    """Return the cost of each case to the owner of a service."""
    del directory
    figures = []
    for name in CASES:
        found = _run_case(name)
        for unit, target in (
            ("MB", MAX_MEMORY_MB),
            ("ms at most", MAX_STEP_MS),
            ("bytes of record", MAX_RECORD_BYTES),
        ):
            figures.append(
                _figures.Figure(
                    name=name,
                    ours=found.get(unit, float("inf")),
                    unit=unit,
                    target=target,
                    command=COMMAND,
                    note=str(found.get("ended", "")),
                )
            )
    return figures


def _run_case(name: str) -> dict[str, object]:
    """Run a case in a process; return its figures, or how it ended."""
    done = subprocess.run(
        [sys.executable, "-m", "bench._job_bounds", name],
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        error = done.stderr.strip().rpartition("\n")[2][:80]
        return {
            "ended": f"ended by its limits: {error or -done.returncode}",
        }
    return json.loads(done.stdout)


def _make_pool() -> workloads.Pool:
    pool = workloads.Pool(service="s", limits=workloads.TimeLimits())
    for number in range(WORKERS):
        report = workloads.WorkerReport(
            id=f"w{number}",
            born_ms=1,
            service="s",
            address="127.0.0.1:1",
            data_centre="a",
            capacity=model.Resources(cpu_millis=16_000, memory_mb=32_000),
        )
        worker = workloads.update_worker(
            pool, report, now=0.0, lease_until=0.0
        )
        worker.last_reply_at = 0.001
        workloads.record_clock(worker, 1_000, 0.0)
    return pool


def _memory_kb() -> int:
    """Return the most memory that this process has used."""
    status = pathlib.Path("/proc/self/status").read_text(encoding="ascii")
    return int(status.partition("VmHWM:")[2].split()[0])


def _measure_case(name: str) -> dict[str, object]:
    make_jobs, rounds = CASES[name]
    specs = make_jobs()
    before = _memory_kb()
    pool = _make_pool()
    longest_s = 0.0
    for spec in specs:
        started = time.perf_counter()
        job = workloads.add_job(pool, spec, now=0.0, now_unix_s=UNIX_S)
        job.accepted = True
        longest_s = max(longest_s, time.perf_counter() - started)
    for number in range(rounds):
        now = 1.0 + number
        started = time.perf_counter()
        for job in list(pool.active.values()):
            workloads.release_due_occurrences(pool, job, UNIX_S + now, now)
        runs = workloads.make_plan(pool, now=now).runs
        longest_s = max(longest_s, time.perf_counter() - started)
        for run in runs:
            run.phase = workloads.Phase.START_SENT
            workloads.confirm_start(run, now=now)
            workloads.end_run(
                pool, run, "done", "", now=now, now_unix_s=UNIX_S + now
            )
    started = time.perf_counter()
    records = [
        len(workloads.encode_progress(job)) for job in pool.active.values()
    ]
    longest_s = max(longest_s, time.perf_counter() - started)
    return {
        "MB": round((_memory_kb() - before) / 1024, 1),
        "ms at most": round(longest_s * 1000, 1),
        "bytes of record": max(records),
    }


if __name__ == "__main__":
    resource.setrlimit(
        resource.RLIMIT_AS, (MEMORY_LIMIT_BYTES, MEMORY_LIMIT_BYTES)
    )
    resource.setrlimit(resource.RLIMIT_CPU, (CPU_LIMIT_S, CPU_LIMIT_S))
    print(json.dumps(_measure_case(sys.argv[1])))
