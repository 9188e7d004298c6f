"""Invariants checked against what callers and workers observe."""

import collections
import collections.abc
import time

import attrs

from standins import cloud

# Time after the acknowledgement of a cancel from which no task of the job may
# start.
CANCEL_LIMIT_S = 3.0

# Time after its acknowledgement from which every daemon must know a job.
VISIBILITY_LIMIT_S = 3.0

# Starts after which a task that crashes its workers has to be given up: three
# more after three crashes are too many.
MAX_DEADLY_STARTS = 5

# A capacity that has shrunk is in force after the contact time and one
# heartbeat.
CAPACITY_LIMIT_S = 4.5

TERMINAL = ("complete", "failed", "canceled")


@attrs.define(kw_only=True)
class Job:
    """A job from the view of its caller.

    Attributes
    ----------
    id : str
        Job id.
    body : dict of str to object
        Body of the submission.
    accepted_at, cancelled_at : float
        Monotonic times of the acknowledgements; 0 before.
    refused : bool
        Whether every attempt to submit it was refused.
    state : str
        State last reported to the caller.
    """

    id: str
    body: dict[str, object]
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    refused: bool = False
    state: str = ""


@attrs.define(kw_only=True)
class Ledger:
    """Everything that callers and workers have observed.

    Attributes
    ----------
    jobs : dict of str to Job
        Submitted jobs.
    workers : list of Worker
        The workers under test.
    completed_runs : dict of str to set of int
        Runs of each task that ended successfully.
    acknowledged_tasks : set of str
        Tasks whose successful completion was acknowledged to the worker.
    deadly_starts : dict of str to int
        Starts of each task that crashes the workers that start it.
    capacities : list of (float, Worker, int)
        Times at which capacities ended to be in force, with the worker and
        its processors.
    key_tries : Counter
        Answers to calls with withdrawn and unknown keys, by status.
    cap_starts : int
        Starts of workspaces that have a cap.
    faults : list of str
        Injected faults, for the report.
    violations : list of str
        Violated invariants.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: list[cloud.Worker] = attrs.field(factory=list)
    completed_runs: dict[str, set[int]] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    acknowledged_tasks: set[str] = attrs.field(factory=set)
    deadly_starts: dict[str, int] = attrs.field(factory=dict)
    capacities: list[tuple[float, cloud.Worker, int]] = attrs.field(
        factory=list
    )
    key_tries: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    cap_starts: int = 0
    faults: list[str] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


def observe_worker(
    ledger: Ledger,
    worker: cloud.Worker,
    check_cap: collections.abc.Callable[
        [dict[str, object], str], None
    ] = lambda command, label: None,
) -> None:
    """Check each task start on a worker.

    Parameters
    ----------
    ledger : Ledger
        Receives the violations.
    worker : Worker
        The worker.
    check_cap : function
        ``check_cap(command, label)`` checks the cap of a start's workspace.
    """

    def on_start(command: dict[str, object]) -> None:
        _check_start(ledger, worker, command)
        check_cap(command, f"{command['task']} on {worker.id}")

    def on_completion(task: str, run: int, outcome: str) -> None:
        if outcome == "done":
            ledger.completed_runs[task].add(run)

    def on_acknowledged(task: str, run: int, outcome: str) -> None:
        if outcome == "done":
            ledger.acknowledged_tasks.add(task)

    worker.is_deadly = ledger.deadly_starts.__contains__
    worker.on_start = on_start
    worker.on_completion = on_completion
    worker.on_acknowledged = on_acknowledged
    ledger.workers.append(worker)


def record_violation(ledger: Ledger, text: str) -> None:
    """Record a violated invariant."""
    ledger.violations.append(f"{time.monotonic():.3f} {text}")


def _check_start(
    ledger: Ledger, worker: cloud.Worker, command: dict[str, object]
) -> None:
    task = command["task"]
    label = f"{task} run {command['run']} on {worker.id}"
    if task in ledger.deadly_starts:
        ledger.deadly_starts[task] += 1
        if ledger.deadly_starts[task] > MAX_DEADLY_STARTS:
            record_violation(ledger, f"started in spite of crashes: {label}")
    for other in ledger.workers:
        cloud.end_due_runs(other)
        if any(key[0] == task for key in other.runs):
            record_violation(ledger, f"two runs at once: {label}, {other.id}")
    if task in ledger.acknowledged_tasks:
        record_violation(
            ledger, f"started after its acknowledged completion: {label}"
        )
    job_id, _, step, _ = task.split(".")
    job = ledger.jobs.get(job_id)
    if job is None or command["spec"] != job.body["spec"]:
        record_violation(ledger, f"start of a task not submitted: {label}")
        return
    if job.refused:
        record_violation(ledger, f"start of a refused job: {label}")
    # A partition may delay a start until after a cancel, so cancelled jobs
    # are excluded here; CANCEL_LIMIT_S bounds their starts below.
    if job.state in ("complete", "failed"):
        record_violation(
            ledger, f"start of a job reported as {job.state}: {label}"
        )
    arrived_s = command.get("arrived_s", time.monotonic())
    since_cancel_s = arrived_s - job.cancelled_at
    if job.cancelled_at and since_cancel_s > CANCEL_LIMIT_S:
        record_violation(
            ledger, f"start {since_cancel_s:.1f} s after cancel: {label}"
        )
    for predecessor in job.body["steps"][int(step)].get("after", ()):
        for index in range(job.body["steps"][predecessor]["count"]):
            if not ledger.completed_runs[f"{job_id}.0.{predecessor}.{index}"]:
                record_violation(
                    ledger, f"start before its predecessor ended: {label}"
                )
                return
    _check_capacity(ledger, worker, job, int(step), label)


def _check_capacity(
    ledger: Ledger,
    worker: cloud.Worker,
    job: Job,
    step: int,
    label: str,
) -> None:
    used = job.body["steps"][step]["cpu"]
    for task, _ in worker.runs:
        other_id, _, other_step, _ = task.split(".")
        other = ledger.jobs[other_id]
        used += other.body["steps"][int(other_step)]["cpu"]
    now = time.monotonic()
    allowed = max(
        worker.capacity["cpu"],
        *(
            cpu
            for until_s, resized, cpu in ledger.capacities
            if resized is worker and now - until_s < CAPACITY_LIMIT_S
        ),
        0,
    )
    if used > allowed:
        record_violation(ledger, f"over capacity ({used} millicores): {label}")


def update_state(ledger: Ledger, job: Job, status: int, state: str) -> None:
    """Check a response about a job's state, and store the state."""
    now = time.monotonic()
    if (
        status == 410
        and job.accepted_at
        and now - job.accepted_at > VISIBILITY_LIMIT_S
    ):
        record_violation(ledger, f"accepted job is unknown: {job.id}")
    if status != 200:
        return
    if job.state in TERMINAL and state != job.state:
        record_violation(ledger, f"{job.id} went from {job.state} to {state}")
    if state == "failed" and not _is_deadly(ledger, job):
        record_violation(
            ledger, f"{job.id} is reported as failed without cause"
        )
    if state == "complete":
        _check_complete(ledger, job)
    job.state = state


def _is_deadly(ledger: Ledger, job: Job) -> bool:
    return any(task.startswith(f"{job.id}.") for task in ledger.deadly_starts)


def _check_complete(ledger: Ledger, job: Job) -> None:
    for number, step in enumerate(job.body["steps"]):
        for index in range(step["count"]):
            task = f"{job.id}.0.{number}.{index}"
            if not ledger.completed_runs[task]:
                record_violation(
                    ledger, f"job reported as complete without {task}"
                )
                return
