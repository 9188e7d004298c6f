"""Pool filter with simulated worker reports, for tests of single cases."""

import random

import attrs

from chestnuttide import config
from chestnuttide import jobs
from chestnuttide.jobs.tests import _simulation
from chestnuttide import model

CAPACITY = model.Resources(cpu_millis=4000, memory_mb=8000, accelerators=2)

DOCUMENT = config.CellConfig(
    teams={
        "a": config.TeamConfig(),
        "q": config.TeamConfig(cpu_millis=2000),
    },
    workload_classes={
        "soft": config.ClassConfig(preemptible=True, checkpoint=True),
        "web": config.ClassConfig(preemptible=True, minimum_up=2),
    },
    pool=config.PoolConfig(long_run_s=60.0, queue_limit=1000),
)


@attrs.define(kw_only=True, eq=False)
class Pool:
    """A pool filter with its clock, all its outputs and unread starts."""

    state: jobs.PoolState
    run: object
    now: float = 100.0
    outputs: list[object] = attrs.field(factory=list)
    starts: list[jobs.StartTask] = attrs.field(factory=list)


def make_pool(
    workers: int = 2,
    document: config.CellConfig = DOCUMENT,
    events: tuple[bytes, ...] = (),
    snapshot: bytes = b"",
    reported: bool = True,
) -> Pool:
    state = jobs.PoolState(document=document, rng=random.Random(1))
    pool = Pool(state=state, run=jobs.make_pool_filter(state=state))
    send(pool, jobs.Recovered(snapshot=snapshot, events=events))
    send(
        pool,
        jobs.WorkersChanged(
            instances=tuple(
                _simulation.make_instance(f"w{number}", CAPACITY)
                for number in range(workers)
            )
        ),
    )
    if reported:
        for number in range(workers):
            sync(pool, f"w{number}")
    return pool


def send(pool: Pool, message: object, durable: bool = True) -> list[object]:
    outputs = list(pool.run(message, pool.now))
    tokens = tuple(
        output.token
        for output in outputs
        if isinstance(output, jobs.AppendEvent)
    )
    pool.outputs.extend(outputs)
    pool.starts.extend(
        output for output in outputs if isinstance(output, jobs.StartTask)
    )
    if tokens and durable:
        outputs.extend(send(pool, jobs.JournalDurable(tokens=tokens)))
    return outputs


def advance(pool: Pool, seconds: float) -> list[object]:
    """Advance the clock in ticks."""
    outputs = []
    until = pool.now + seconds
    while pool.now < until - 1e-9:
        pool.now = min(until, pool.now + 0.1)
        outputs.extend(send(pool, jobs.Tick()))
    return outputs


def make_job(job_id: str, **changes: object) -> model.Job:
    fields: dict[str, object] = {
        "job_id": job_id,
        "kind": model.JobKind.BATCH,
        "team": "a",
        "workload_class": "plain",
        "tasks": 1,
        "resources": model.Resources(cpu_millis=1000, memory_mb=1000),
        "declared_run_s": 5.0,
    } | changes
    return model.Job(**fields)


def submit(pool: Pool, job_id: str, **changes: object) -> list[object]:
    job = make_job(job_id, **changes)
    return send(pool, jobs.SubmitJob(token=job_id, job=job))


def take_starts(pool: Pool) -> list[jobs.StartTask]:
    starts, pool.starts = pool.starts, []
    return starts


def answer_start(
    pool: Pool,
    start: jobs.StartTask,
    outcome: jobs.StartOutcome = jobs.StartOutcome.STARTED,
) -> list[object]:
    return send(
        pool,
        jobs.StartResult(
            worker_id=start.worker_id,
            attempt=start.attempt,
            outcome=outcome,
            sent_at=pool.now,
        ),
    )


def confirm_starts(pool: Pool) -> list[jobs.StartTask]:
    """Confirm all starts that were sent."""
    starts = take_starts(pool)
    for start in starts:
        answer_start(pool, start)
    return starts


def report(
    attempt: model.Attempt,
    state: model.TaskState = model.TaskState.RUNNING,
    resources: model.Resources | None = None,
) -> model.AttemptReport:
    return model.AttemptReport(
        attempt=attempt,
        state=state,
        resources=resources
        or model.Resources(cpu_millis=1000, memory_mb=1000),
        run_s=1.0,
    )


def sync(
    pool: Pool,
    worker_id: str,
    *reports: model.AttemptReport,
    durable: bool = True,
) -> list[object]:
    return send(
        pool,
        jobs.SyncReport(
            worker_id=worker_id, reports=reports, sent_at=pool.now
        ),
        durable,
    )


def filter_by_type(outputs: list[object], kind: type) -> list:
    return [output for output in outputs if isinstance(output, kind)]
