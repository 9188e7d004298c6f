"""Decision latency on one core: the cell alone, and the whole pool filter.

The pool filter includes queue, quotas, estimates, attempts and journal events,
but no I/O. Every measured call reports one finished task, which frees capacity
for a waiting task.
"""

import collections
import pathlib
import random
import time

import attrs

from bench import _figures
from bench import _placement_rate
from chestnuttide import config
from chestnuttide import jobs
from chestnuttide import model

# Numbers of workers: both deployments today (28), an intermediate size and
# the size to be supported.
CELL_SIZES = (28, 500, 2_500)
LARGEST = CELL_SIZES[-1]
TASKS_PER_WORKER = 24
# Tasks per job that fills the pool, and number of jobs that wait after it is
# full.
TASKS_PER_JOB = 100
WAITING_JOBS = 60
FINISHED_TASKS = 2_000
TEAMS = 6
SEED = 20
NS_PER_MS = 1e6
COMMAND = "python -m bench decisions"


@attrs.frozen(kw_only=True)
class Rate:
    """Decision rate and latency at one cell size.

    Attributes
    ----------
    workers, running : int
        Number of workers and of running tasks.
    per_s : float
        Placements per second.
    p50_ms, p99_ms : float
        Latency of a decision.
    """

    workers: int
    running: int
    per_s: float
    p50_ms: float
    p99_ms: float


@attrs.define(kw_only=True, eq=False)
class _Pool:
    state: jobs.PoolState
    running: dict[str, dict[model.Attempt, model.Resources]]
    placements: list[tuple[str, model.Attempt]] = attrs.Factory(list)
    now: float = 0.0
    starts: int = 0


def measure(_directory: pathlib.Path) -> list[_figures.Figure]:
    """Measure the decision figures at all cell sizes."""
    cells = [_measure_cell(each) for each in CELL_SIZES]
    pools = [measure_pool(each) for each in CELL_SIZES]
    return [
        *make_figures("", cells, 10_000.0, 1.0, "bare cell, full, packed"),
        *make_figures(
            "pool_", pools, None, None, "whole pool filter, full, no I/O"
        ),
    ]


def make_figures(
    prefix: str,
    rates: list[Rate],
    per_s_target: float | None,
    p99_target: float | None,
    note: str,
) -> list[_figures.Figure]:
    """Return rate, latency and growth for rates of ascending cell size."""
    last = rates[-1]
    others = rates[:-1]
    return [
        _figures.Figure(
            name=f"{prefix}placements_per_s_{last.workers}",
            ours=last.per_s,
            baselines={
                f"{each.workers} workers": each.per_s for each in others
            },
            target=per_s_target,
            unit="1/s",
            higher_is_better=True,
            command=COMMAND,
            points=[[each.workers, round(each.per_s)] for each in rates],
            note=f"{note}; {last.running} tasks running",
        ),
        _figures.Figure(
            name=f"{prefix}decision_p99_ms_{last.workers}",
            ours=last.p99_ms,
            baselines={
                f"{each.workers} workers": each.p99_ms for each in others
            },
            target=p99_target,
            unit="ms",
            command=COMMAND,
            points=[[each.workers, round(each.p99_ms, 4)] for each in rates],
            note="p50 "
            + ", ".join(f"{each.p50_ms:.3f}" for each in rates)
            + " ms",
        ),
        _figures.Figure(
            name=f"{prefix}decision_growth",
            ours=_figures.growth(
                [(each.workers, 1 / each.per_s) for each in rates]
            ),
            unit="exponent",
            command=COMMAND,
            note="of the time per placement over the number of workers",
        ),
    ]


def measure_pool(workers: int) -> Rate:
    """Measure the pool filter in a full pool while tasks finish."""
    rng = random.Random(SEED)
    document = config.CellConfig(
        teams={f"team-{n}": config.TeamConfig() for n in range(TEAMS)},
        workload_classes={"usual": config.ClassConfig()},
        # The clock stands still while the pool fills, so no lease may expire.
        pool=config.PoolConfig(task_lease_s=100_000.0, long_share=1.0),
    )
    state = jobs.PoolState(document=document, rng=random.Random(SEED))
    pool_filter = jobs.make_pool_filter(state=state)
    instances = [_make_worker(number, rng) for number in range(workers)]
    pool = _Pool(
        state=state,
        running={each.instance_id: {} for each in instances},
    )
    inbox: collections.deque[object] = collections.deque()
    inbox.append(jobs.WorkersChanged(instances=tuple(instances)))
    for each in instances:
        inbox.append(
            jobs.SyncSent(worker_id=each.instance_id, lease_s=100_000.0)
        )
        inbox.append(
            jobs.SyncReport(
                worker_id=each.instance_id, reports=(), sent_at=0.0
            )
        )
    _run_until_idle(pool, pool_filter, inbox)
    submitted = 0
    wanted = workers * TASKS_PER_WORKER
    while len(pool.placements) < wanted and submitted < 2 * wanted:
        submitted += _submit(pool, pool_filter, inbox, rng, submitted)
        _run_until_idle(pool, pool_filter, inbox)
    for _ in range(WAITING_JOBS):
        submitted += _submit(pool, pool_filter, inbox, rng, submitted)
    _run_until_idle(pool, pool_filter, inbox)
    running = len(pool.placements)
    before = pool.starts
    total_ns = 0
    decisions_ms: list[float] = []
    for _ in range(FINISHED_TASKS):
        report = _finish_random_task(pool, rng)
        inbox.append(report)
        placed = pool.starts
        elapsed_ns = _run_until_idle(pool, pool_filter, inbox)
        total_ns += elapsed_ns
        placed = pool.starts - placed
        if placed:
            decisions_ms.append(elapsed_ns / placed / NS_PER_MS)
        if not state.queue.items:
            _submit(pool, pool_filter, inbox, rng, submitted)
            _run_until_idle(pool, pool_filter, inbox)
    return Rate(
        workers=workers,
        running=running,
        per_s=(pool.starts - before) * 1e9 / total_ns,
        p50_ms=_figures.percentile(decisions_ms, 50),
        p99_ms=_figures.percentile(decisions_ms, 99),
    )


def _measure_cell(workers: int) -> Rate:
    found = _placement_rate.measure_turnover(workers, spread=False)
    return Rate(
        workers=workers,
        running=found.running,
        per_s=found.per_s,
        p50_ms=found.p50_ms,
        p99_ms=found.p99_ms,
    )


def _make_worker(number: int, rng: random.Random) -> model.Instance:
    rack = number // _placement_rate.WORKERS_PER_RACK
    shapes = _placement_rate.SHAPES
    return model.Instance(
        instance_id=f"w{number:05d}",
        kind=model.InstanceKind.WORKER,
        state=model.InstanceState.LIVE,
        data_centre=f"dc{rack % _placement_rate.DATA_CENTRES:02d}",
        rack=f"r{rack:04d}",
        address="",
        capacity=rng.choices(
            [shape for _weight, shape in shapes],
            [weight for weight, _shape in shapes],
        )[0],
    )


def _submit(
    pool: _Pool,
    pool_filter: object,
    inbox: collections.deque[object],
    rng: random.Random,
    number: int,
) -> int:
    """Submit a job and return its number of tasks."""
    cpu_millis = rng.choice((250, 500, 1_000, 1_500, 2_000, 4_000))
    job = model.Job(
        job_id=f"job-{number}-{len(pool.state.jobs)}",
        kind=model.JobKind.BATCH,
        team=f"team-{rng.randrange(TEAMS)}",
        workload_class="usual",
        tasks=TASKS_PER_JOB,
        resources=model.Resources(
            cpu_millis=cpu_millis,
            memory_mb=int(cpu_millis * rng.uniform(0.5, 4.0)),
        ),
        declared_run_s=30.0,
    )
    inbox.append(jobs.SubmitJob(token=job.job_id, job=job))
    return TASKS_PER_JOB


def _finish_random_task(pool: _Pool, rng: random.Random) -> jobs.SyncReport:
    """Finish a random task and return the report of its worker."""
    position = rng.randrange(len(pool.placements))
    worker_id, ended = pool.placements[position]
    pool.placements[position] = pool.placements[-1]
    pool.placements.pop()
    running = pool.running[worker_id]
    need = running.pop(ended)
    reports = [
        model.AttemptReport(
            attempt=attempt,
            state=model.TaskState.RUNNING,
            resources=each,
            run_s=1.0,
        )
        for attempt, each in running.items()
    ]
    reports.append(
        model.AttemptReport(
            attempt=ended,
            state=model.TaskState.SUCCEEDED,
            resources=need,
            run_s=30.0,
        )
    )
    pool.now += 0.001
    return jobs.SyncReport(
        worker_id=worker_id, reports=tuple(reports), sent_at=pool.now
    )


def _run_until_idle(
    pool: _Pool, pool_filter: object, inbox: collections.deque[object]
) -> int:
    """Run the filter until it is idle; return the time in ns."""
    elapsed_ns = 0
    while True:
        if not inbox:
            if not jobs.is_busy(pool.state, pool.now):
                return elapsed_ns
            inbox.append(jobs.Tick())
        message = inbox.popleft()
        start_ns = time.perf_counter_ns()
        outputs = pool_filter(message, pool.now)
        elapsed_ns += time.perf_counter_ns() - start_ns
        durable_tokens = []
        for output in outputs:
            match output:
                case jobs.AppendEvent():
                    durable_tokens.append(output.token)
                case jobs.StartTask():
                    pool.starts += 1
                    running = pool.running[output.worker_id]
                    running[output.attempt] = output.resources
                    pool.placements.append((output.worker_id, output.attempt))
                    inbox.append(
                        jobs.StartResult(
                            worker_id=output.worker_id,
                            attempt=output.attempt,
                            outcome=jobs.StartOutcome.STARTED,
                            sent_at=pool.now,
                        )
                    )
        if durable_tokens:
            inbox.append(jobs.JournalDurable(tokens=tuple(durable_tokens)))
