"""Promises that are checked from what callers and workers see."""

import collections
import time

import attrs

from standins import cloud

# A cancelled job's tasks start no more after this time.
CANCEL_S = 3.0

# A job is known everywhere this long after its acknowledgement.
VISIBLE_S = 3.0

TERMINAL = ("complete", "failed", "canceled")


@attrs.define(kw_only=True)
class Job:
    """A job as its caller sees it.

    Attributes
    ----------
    id : str
        Its id.
    body : dict of str to object
        What was submitted.
    accepted_at, cancelled_at : float
        Monotonic times of the acknowledgements; 0 before.
    refused : bool
        Whether each attempt was refused as not run.
    state : str
        State that was shown last.
    """

    id: str
    body: dict[str, object]
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    refused: bool = False
    state: str = ""


@attrs.define(kw_only=True)
class Ledger:
    """All that callers and workers have seen.

    Attributes
    ----------
    jobs : dict of str to Job
        Submitted jobs.
    workers : list of Worker
        All lifetimes of workers.
    done : dict of str to set of int
        Runs of each task that ended as done.
    noted : set of str
        Tasks whose end as done was acknowledged to the worker.
    faults : list of str
        What happened, for the report.
    violations : list of str
        Promises that were broken.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: list[cloud.Worker] = attrs.field(factory=list)
    done: dict[str, set[int]] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    noted: set[str] = attrs.field(factory=set)
    faults: list[str] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


def watch_worker(ledger: Ledger, worker: cloud.Worker) -> None:
    """Check each start of a worker."""

    def on_start(order: dict[str, object]) -> None:
        _check_start(ledger, worker, order)

    def on_end(task: str, run: int, how: str) -> None:
        if how == "done":
            ledger.done[task].add(run)

    def on_acknowledged(task: str, run: int, how: str) -> None:
        if how == "done":
            ledger.noted.add(task)

    worker.on_start = on_start
    worker.on_end = on_end
    worker.on_acknowledged = on_acknowledged
    ledger.workers.append(worker)


def break_promise(ledger: Ledger, text: str) -> None:
    """Note a promise that was broken."""
    ledger.violations.append(f"{time.monotonic():.3f} {text}")


def _check_start(
    ledger: Ledger, worker: cloud.Worker, order: dict[str, object]
) -> None:
    task = order["task"]
    label = f"{task} run {order['run']} on {worker.id}"
    for other in ledger.workers:
        cloud.lapse(other)
        if any(key[0] == task for key in other.runs):
            break_promise(ledger, f"two runs at once: {label}, {other.id}")
    if task in ledger.noted:
        break_promise(ledger, f"started after its noted end: {label}")
    job_id, _, step, _ = task.split(".")
    job = ledger.jobs.get(job_id)
    if job is None or order["spec"] != job.body["spec"]:
        break_promise(ledger, f"start that nobody asked for: {label}")
        return
    if job.refused:
        break_promise(ledger, f"start of a refused job: {label}")
    # A start that a cut held back may arrive after a cancel; the bound above
    # all starts of a cancelled job is checked below.
    if job.state in ("complete", "failed"):
        break_promise(ledger, f"start of a job shown {job.state}: {label}")
    since_s = time.monotonic() - job.cancelled_at
    if job.cancelled_at and since_s > CANCEL_S:
        break_promise(ledger, f"start {since_s:.1f} s after cancel: {label}")
    for earlier in job.body["steps"][int(step)].get("after", ()):
        for index in range(job.body["steps"][earlier]["count"]):
            if not ledger.done[f"{job_id}.0.{earlier}.{index}"]:
                break_promise(ledger, f"before its predecessor: {label}")
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
    if used > worker.capacity["cpu"]:
        break_promise(ledger, f"over capacity ({used} millicores): {label}")


def note_state(ledger: Ledger, job: Job, status: int, state: str) -> None:
    """Check an answer about a job's state."""
    now = time.monotonic()
    if status == 410 and job.accepted_at and now - job.accepted_at > VISIBLE_S:
        break_promise(ledger, f"accepted job is not known: {job.id}")
    if status != 200:
        return
    if job.state in TERMINAL and state != job.state:
        break_promise(ledger, f"{job.id} went from {job.state} to {state}")
    if state == "failed":
        break_promise(ledger, f"{job.id} is shown as failed without cause")
    if state == "complete":
        _check_complete(ledger, job)
    job.state = state


def _check_complete(ledger: Ledger, job: Job) -> None:
    for number, step in enumerate(job.body["steps"]):
        for index in range(step["count"]):
            task = f"{job.id}.0.{number}.{index}"
            if not ledger.done[task]:
                break_promise(ledger, f"shown complete without {task}")
                return
