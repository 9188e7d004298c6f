"""Time of decisions on one core: the bare cell, and the whole pool filter.

The pool filter includes queue, quotas, estimates, attempts and the journal's
events, but no I/O. Each measured call reports one ended task, which makes room
for one of the tasks that wait.
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

# Workers of both deployments today, and of the goal.
CELL_SIZES = (28, 500, 2_500)
LARGEST = CELL_SIZES[-1]
TASKS_PER_WORKER = 24
# Tasks of one job in the pool's filling, and how many jobs wait behind.
TASKS_PER_JOB = 100
WAITING_JOBS = 60
TURNOVERS = 2_000
TEAMS = 6
SEED = 20
NS_PER_MS = 1e6
COMMAND = "python -m bench decisions"


@attrs.frozen(kw_only=True)
class Rate:
    """Decisions of one size.

    Attributes
    ----------
    workers, running : int
        Size of the cell.
    per_s : float
        Placements per second.
    p50_ms, p99_ms : float
        Time of a decision.
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
    places: list[tuple[str, model.Attempt]] = attrs.Factory(list)
    now: float = 0.0
    starts: int = 0


def measure(_directory: pathlib.Path) -> list[_figures.Figure]:
    """Return the figures of decisions."""
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
    """Return rate, latency and growth of cells of ascending size."""
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
    """Measure the pool filter in a full pool in which tasks end."""
    rng = random.Random(SEED)
    document = config.CellConfig(
        teams={f"team-{n}": config.TeamConfig() for n in range(TEAMS)},
        workload_classes={"usual": config.ClassConfig()},
        # The pool is filled in no time, so no lease is to end meanwhile.
        pool=config.PoolConfig(task_lease_s=100_000.0, long_share=1.0),
    )
    state = jobs.PoolState(document=document, rng=random.Random(SEED))
    run = jobs.make_pool_filter(state=state)
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
    _run_all(pool, run, inbox)
    submitted = 0
    wanted = workers * TASKS_PER_WORKER
    while len(pool.places) < wanted and submitted < 2 * wanted:
        submitted += _submit(pool, run, inbox, rng, submitted)
        _run_all(pool, run, inbox)
    for _ in range(WAITING_JOBS):
        submitted += _submit(pool, run, inbox, rng, submitted)
    _run_all(pool, run, inbox)
    running = len(pool.places)
    before = pool.starts
    total_ns = 0
    decisions_ms: list[float] = []
    for _ in range(TURNOVERS):
        report = _end_one(pool, rng)
        inbox.append(report)
        placed = pool.starts
        taken_ns = _run_all(pool, run, inbox)
        total_ns += taken_ns
        placed = pool.starts - placed
        if placed:
            decisions_ms.append(taken_ns / placed / NS_PER_MS)
        if not state.queue.items:
            _submit(pool, run, inbox, rng, submitted)
            _run_all(pool, run, inbox)
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
    run: object,
    inbox: collections.deque[object],
    rng: random.Random,
    number: int,
) -> int:
    """Queue a job; return its number of tasks."""
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


def _end_one(pool: _Pool, rng: random.Random) -> jobs.SyncReport:
    """Return the report of a worker on which a random task has ended."""
    position = rng.randrange(len(pool.places))
    worker_id, ended = pool.places[position]
    pool.places[position] = pool.places[-1]
    pool.places.pop()
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


def _run_all(
    pool: _Pool, run: object, inbox: collections.deque[object]
) -> int:
    """Run the filter until nothing follows; return its nanoseconds."""
    taken_ns = 0
    while True:
        if not inbox:
            if not jobs.is_busy(pool.state, pool.now):
                return taken_ns
            inbox.append(jobs.Tick())
        message = inbox.popleft()
        begin = time.perf_counter_ns()
        outputs = run(message, pool.now)
        taken_ns += time.perf_counter_ns() - begin
        durable = []
        for output in outputs:
            match output:
                case jobs.AppendEvent():
                    durable.append(output.token)
                case jobs.StartTask():
                    pool.starts += 1
                    running = pool.running[output.worker_id]
                    running[output.attempt] = output.resources
                    pool.places.append((output.worker_id, output.attempt))
                    inbox.append(
                        jobs.StartResult(
                            worker_id=output.worker_id,
                            attempt=output.attempt,
                            outcome=jobs.StartOutcome.STARTED,
                            sent_at=pool.now,
                        )
                    )
        if durable:
            inbox.append(jobs.JournalDurable(tokens=tuple(durable)))
