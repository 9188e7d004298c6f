"""A pool of workers whose poll replies are written by the tests."""

import attrs

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads import _units

LEASE_S = 2.5
FENCING_TOKEN = 7
UNIX_S = 1_000_000.0


@attrs.frozen(kw_only=True)
class RunReport:
    """A run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    latency_ms_or_cpu: float = 0.0


@attrs.frozen(kw_only=True)
class Completion:
    """A completion that a worker lists."""

    number: int
    task: str
    run: int
    result: str
    checkpoint: str = ""


def make_pool(count: int = 2, **capacity: int) -> workloads.Pool:
    """Return a pool of workers that have been polled once at time 0."""
    pool = workloads.Pool(
        service="workshop", limits=workloads.TimeLimits(lease_s=LEASE_S)
    )
    for number in range(count):
        add_worker(pool, f"w{number}", **capacity)
    return pool


def add_worker(
    pool: workloads.Pool,
    worker_id: str,
    *,
    cpu: int = 4000,
    rack: str = "r1-1",
    labels: tuple[str, ...] = (),
) -> workloads.Worker:
    """Add a worker that is usable at once."""
    report = workloads.WorkerReport(
        id=worker_id,
        born_ms=1,
        service="workshop",
        address="127.0.0.1:1",
        data_centre="a",
        capacity=model.Resources(
            cpu_millis=cpu, memory_mb=8000, accelerators=8
        ),
        labels=frozenset({rack, *labels}),
        rack=rack,
    )
    worker = workloads.update_worker(
        pool, report, now=0.0, lease_until=LEASE_S
    )
    workloads.assign_fencing_token(pool, worker, FENCING_TOKEN)
    worker.last_reply_at = 0.001
    workloads.record_clock(worker, 1000, 0.0)
    return worker


def make_step(**fields: object) -> workloads.StepSpec:
    """Return a step of one small task, with the given fields changed."""
    fields.setdefault("count", 1)
    fields.setdefault("need", model.Resources(cpu_millis=1000, memory_mb=100))
    return workloads.StepSpec(**fields)


def make_spec(
    *steps: workloads.StepSpec,
    job_id: str = "00000000000000aa",
    occurrences: int = 0,
    **queue: object,
) -> workloads.JobSpec:
    """Return a job of the workshop's queue."""
    queue.setdefault("attempt_limit", 2)
    queue.setdefault("name", "q")
    return workloads.JobSpec(
        id=job_id,
        queue=workloads.Queue(
            host="h", prefix="/p/", service="workshop", **queue
        ),
        payload="",
        steps=steps,
        occurrences=occurrences,
        first_due_unix_s=UNIX_S + 10,
        interval_s=10,
    )


def submit(
    pool: workloads.Pool,
    *steps: workloads.StepSpec,
    now: float = 0.0,
    **fields: object,
) -> workloads.Job:
    """Add an accepted job; for its fields see `make_spec`."""
    job = workloads.add_job(
        pool, make_spec(*steps, **fields), now=now, now_unix_s=UNIX_S
    )
    job.accepted = True
    return job


def create_all_units(job: workloads.Job) -> None:
    """Create the units that planning would only create when it places them."""
    for key in job.steps:
        while _units.create_next_unit(job, *key) is not None:
            pass


def start_all(
    pool: workloads.Pool, *, now: float = 0.1
) -> list[workloads.Run]:
    """Run a planning round and confirm the start of each planned run."""
    runs = list(workloads.make_plan(pool, now=now).runs)
    for run in runs:
        run.phase = workloads.Phase.START_SENT
        run.deadline_ms = 10**9
        workloads.confirm_start(run, now=now)
    return runs


def apply_reply(
    pool: workloads.Pool,
    worker_key: str,
    *,
    running: tuple[RunReport, ...] = (),
    ended: tuple[Completion, ...] = (),
    sent_at: float = 1.0,
    clock_ms: int = 2000,
    more_ended: bool = False,
) -> list[tuple[workloads.Run, str]]:
    """Apply a poll reply of a worker."""
    return workloads.apply_poll_reply(
        pool,
        pool.workers[worker_key],
        workloads.PollReply(
            clock_ms=clock_ms,
            running=running,
            ended=ended,
            more_ended=more_ended,
            sent_at=sent_at,
            received_at=sent_at + 0.01,
        ),
        now_unix_s=UNIX_S,
    )


def complete_run(
    pool: workloads.Pool,
    run: workloads.Run,
    result: str,
    *,
    sent_at: float = 1.0,
    checkpoint: str = "",
) -> None:
    """Apply a poll reply that lists a run as ended, all others as running."""
    worker = pool.workers[run.worker_key]
    others = tuple(
        RunReport(task=other.task, run=other.number)
        for other in worker.runs.values()
        if other is not run
    )
    completion = Completion(
        number=worker.last_completion + 1,
        task=run.task,
        run=run.number,
        result=result,
        checkpoint=checkpoint,
    )
    apply_reply(
        pool, worker.key, running=others, ended=(completion,), sent_at=sent_at
    )
