"""Time of one planning round, with and without caps and shares.

A service of 176 workers is nearly full, and 1,000 jobs of 20 workspaces wait.
Both rounds plan the same state, in turns, so that the machine's load falls on
both.
"""

import pathlib
import random
import statistics
import time

from bench import _figures
from chestnuttide import model
from chestnuttide import workloads
from chestnuttide import workspaces

WORKERS = 176
WAITING_JOBS = 1_000
WORKSPACES = 20
ROUNDS = 40
USED_SHARE = 0.97
SEED = 36
NS_PER_MS = 1e6
COMMAND = "python -m bench plan_round"

# The round with workspaces may take this much of the one without.
MAX_RATIO = 1.1


def measure(directory: pathlib.Path) -> list[_figures.Figure]:
    """Return the median time of a round with workspaces, and without."""
    del directory
    times: dict[bool, list[float]] = {True: [], False: []}
    for number in range(ROUNDS):
        order = (True, False) if number % 2 else (False, True)
        for with_workspaces in order:
            times[with_workspaces].append(_time_round(with_workspaces))
    without = statistics.median(times[False])
    with_them = statistics.median(times[True])
    return [
        _figures.Figure(
            name="planning round with 20 workspaces",
            ours=round(with_them / without, 3),
            unit="x of a round without",
            target=MAX_RATIO,
            command=COMMAND,
            spread=[
                round(min(times[True]) / without, 3),
                round(max(times[True]) / without, 3),
            ],
            note=(
                f"{with_them:.1f} ms and {without:.1f} ms, medians of"
                f" {ROUNDS} rounds each"
            ),
        )
    ]


def _time_round(with_workspaces: bool) -> float:
    """Return the time of a round in ms."""
    pool, now = _make_pool(random.Random(SEED)), 1.0
    round_ = None
    started_ns = time.perf_counter_ns()
    if with_workspaces:
        round_ = _make_round(pool)
    workloads.make_plan(
        pool,
        now=now,
        query_limit=workloads.QueryLimit(long_from_s=0.15, short=4, long=4),
        caps=round_,
    )
    return (time.perf_counter_ns() - started_ns) / NS_PER_MS


def _make_round(pool: workloads.Pool) -> workspaces.Round:
    """Return the caps and shares, as the owner builds them for each round."""
    used = workloads.requested_by_workspace(pool)
    active = {*used, *(each.spec.workspace for each in pool.active.values())}
    capacity = workloads.listed_capacity(pool)
    cap = model.Resources(
        cpu_millis=capacity.cpu_millis // 10,
        memory_mb=capacity.memory_mb // 10,
    )
    return workspaces.Round(
        allowances={
            name: workspaces.Allowance(
                cap=cap,
                limit=workspaces.limit_of(
                    cap, (700 * workspaces.THOUSANDTH,) * 3
                ),
                keeping=workspaces.keeps_room(cap, use, 1.0),
            )
            for name, use in used.items()
        },
        usage=workspaces.QuotaState(used=used),
        shares=workspaces.FairShares(
            capacity=capacity,
            elsewhere=dict.fromkeys(used, cap),
            entitled=workspaces.entitle({}, active),
            history=dict.fromkeys(active, 0.05),
        ),
    )


def _make_pool(rng: random.Random) -> workloads.Pool:
    pool = workloads.Pool(
        service="workshop", limits=workloads.TimeLimits(lease_s=2.5)
    )
    for number in range(WORKERS):
        rack = f"r1-{number % 12}"
        report = workloads.WorkerReport(
            id=f"w{number}",
            born_ms=1,
            service="workshop",
            address="127.0.0.1:1",
            data_centre="a",
            capacity=model.Resources(cpu_millis=32_000, memory_mb=128_000),
            labels=frozenset({rack}),
            rack=rack,
        )
        worker = workloads.update_worker(
            pool, report, now=0.0, lease_until=9.0
        )
        worker.last_reply_at = 0.001
        workloads.record_clock(worker, 1000, 0.0)
    used, number = 0, 0
    while used < USED_SHARE * WORKERS * 32_000:
        number += 1
        job = _submit(pool, rng, number)
        before = used
        for run in workloads.make_plan(pool, now=0.1).runs:
            used += run.need.cpu_millis
        if used == before:
            del pool.active[job.spec.id]
            break
    for job_id in list(pool.active):
        # What runs stays on the workers; the rest makes room for new jobs.
        if all(
            unit.state != workloads.UnitState.WAITING
            for unit in pool.active[job_id].units.values()
        ):
            del pool.active[job_id]
    for _ in range(WAITING_JOBS - len(pool.active)):
        number += 1
        _submit(pool, rng, number)
    return pool


def _submit(
    pool: workloads.Pool, rng: random.Random, number: int
) -> workloads.Job:
    gang = rng.random() < 0.1
    step = workloads.StepSpec(
        count=rng.randint(1, 20),
        need=model.Resources(
            cpu_millis=rng.randrange(1_000, 10_000), memory_mb=2_000
        ),
        estimate_s=1.0,
        gang=gang,
    )
    job = workloads.add_job(
        pool,
        workloads.JobSpec(
            id=f"{number:016x}",
            queue=workloads.Queue(
                name=f"q{number % 4}",
                host="h",
                prefix="/p/",
                service="workshop",
                priority=number % 3,
            ),
            payload="",
            steps=(step,),
            workspace=f"team-{rng.randrange(WORKSPACES)}",
        ),
        now=number / 1e4,
        now_unix_s=1e6,
    )
    job.accepted = True
    return job
