"""What the store and the instances say of an owner's workers and jobs."""

import collections.abc

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commits
from chestnuttide.node import _keys
from chestnuttide.node import _looks
from chestnuttide.node import _messages
from chestnuttide.node import _orders
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Steps of a job that its log line describes.
LOGGED_STEPS = 4

# The worker's clock may be 2% slow.
_CLOCK_DRIFT = 0.98


def _former_lease_until(owner: _ownership.Ownership) -> float:
    """Return when all runs of a former owner have ended in silence.

    A former owner that did not stop may extend leases while it has authority.
    """
    until = _clock.now() + owner.pool.bounds.lease_s / _CLOCK_DRIFT
    if not owner.former_stopped:
        until += _ownership.AUTHORITY_S
    return until


def apply_worker(
    owner: _ownership.Ownership, item: platform.Item
) -> workloads.Worker | None:
    """Take over a worker's entry; return its worker if it may be used."""
    worker_id = item.key.removeprefix(_keys.WORKERS)
    current = [
        worker
        for worker in owner.pool.workers.values()
        if worker.report.id == worker_id
    ]
    if item.removed:
        for worker in current:
            worker.listed = False
        return None
    try:
        report = platform.decode_worker(worker_id, item.value)
    except errors.ProtocolError as error:
        LOG.warning("Worker entry is ignored.", error=str(error))
        for worker in current:
            worker.listed = False
        return None
    if report.service != owner.service:
        for worker in current:
            worker.listed = False
        return None
    if any(each.report.born_ms > report.born_ms for each in current):
        LOG.info("Worker entry is older than its lifetime.", worker=worker_id)
        return None
    key = workloads.worker_key(report)
    known = owner.pool.workers.get(key)
    draining = known is not None and known.report.draining
    worker = workloads.update_worker(
        owner.pool,
        report,
        now=_clock.now(),
        lease_until=_former_lease_until(owner),
    )
    end_former_lifetimes(owner, worker)
    if known is None or draining != report.draining:
        LOG.info(
            "Worker has reported.",
            worker=key,
            address=report.address,
            draining=report.draining,
            remaining_s=report.remaining_s,
        )
    owner.plan_wanted.set()
    return worker


def end_former_lifetimes(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Hand over what the former lifetimes of a listed worker still have."""
    for former in workloads.former_lifetimes(owner.pool, worker.report):
        _looks.succeed_lifetime(owner, former, worker.report.born_ms)


def apply_job(owner: _ownership.Ownership, item: platform.Item) -> None:
    prefix = _keys.job(owner.service, "")
    if not item.key.startswith(prefix) or item.removed:
        return
    job_id = item.key.removeprefix(prefix)
    known = owner.pool.jobs.get(job_id)
    if known is not None:
        if not known.accepted:
            _accept(owner, known)
        return
    record = workloads.decode_job(item.value)
    if isinstance(record, workloads.EndedJob):
        job = _make_ended(job_id, owner.service, record)
        owner.pool.jobs[job_id] = job
        return
    _accept(owner, _add_job(owner, record))


def _add_job(
    owner: _ownership.Ownership, record: workloads.JobSpec
) -> workloads.Job:
    return workloads.add_job(
        owner.pool,
        record,
        now=_clock.now(),
        now_unix_s=_clock.unix_time() + owner.pool.bounds.early_s,
    )


def take_notice(
    owner: _ownership.Ownership | None, message: _messages.JobNotice
) -> None:
    """Take over a job that an instance is storing or has stored.

    The advisor is asked and the runs are recorded while the job's write is
    under way. Nothing starts before both writes are acknowledged.
    """
    if owner is None or not owner.ready or owner.deposed.is_set():
        return
    if not message.value:
        _cancel(owner, message.job_id)
        return
    record = workloads.decode_job(message.value)
    job = owner.pool.jobs.get(record.id) or _add_job(owner, record)
    if message.stored and not job.accepted:
        _accept(owner, job)
    owner.plan_wanted.set()


def _accept(owner: _ownership.Ownership, job: workloads.Job) -> None:
    job.accepted = True
    LOG.info(
        "Job is queued.",
        job=job.spec.id,
        queue=job.spec.queue.name,
        priority=job.spec.queue.priority,
        steps=len(job.spec.steps),
        tasks=sum(step.count for step in job.spec.steps),
        tasks_need=[
            [
                step.count,
                step.need.cpu_millis,
                step.need.memory_mb,
                step.need.accelerators,
            ]
            for step in job.spec.steps[:LOGGED_STEPS]
        ],
    )
    _commits.order_recorded(owner, job)
    owner.plan_wanted.set()


def _make_ended(
    job_id: str, service: str, record: workloads.EndedJob
) -> workloads.Job:
    queue = workloads.Queue(
        name=record.queue, host="", prefix="", service=service
    )
    spec = workloads.JobSpec(id=job_id, queue=queue, payload="", steps=())
    state = workloads.JobState(record.state)
    return workloads.Job(
        spec=spec,
        state=state,
        shown_state=state,
        accepted=True,
        ended_unix_s=record.ended_unix_s,
    )


def apply_progress(owner: _ownership.Ownership, item: platform.Item) -> None:
    job_id = item.key.removeprefix(_keys.progress(owner.service))
    job = owner.pool.active.get(job_id)
    if job is None:
        LOG.warning("Progress without a job is ignored.", job=job_id)
        return
    job.progress_revision = item.revision
    workloads.apply_progress(
        owner.pool,
        job,
        item.value,
        lease_until=_former_lease_until(owner),
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )


def _apply_cancel(owner: _ownership.Ownership, item: platform.Item) -> None:
    prefix = _keys.cancel(owner.service, "")
    if not item.key.startswith(prefix) or item.removed:
        return
    _cancel(owner, item.key.removeprefix(prefix))


def _cancel(owner: _ownership.Ownership, job_id: str) -> None:
    job = owner.pool.active.get(job_id)
    if job is None:
        return
    job.accepted = True
    LOG.info(
        "Job is cancelled.",
        job=job.spec.id,
        runs=sum(len(unit.runs) for unit in job.units.values()),
    )
    workloads.cancel_job(owner.pool, job, _clock.unix_time())
    for worker in owner.pool.workers.values():
        _orders.send_stops(owner, worker)
    _ownership.want_commit(owner, urgent=True)


def apply_work(
    owner: _ownership.Ownership,
    items: collections.abc.Iterable[platform.Item],
) -> None:
    """Take over jobs, and then cancellations, which a list has first."""
    items = tuple(items)
    for item in items:
        apply_job(owner, item)
    for item in items:
        _apply_cancel(owner, item)
