"""Updates of an owner's workers and jobs from the store and from peers."""

import collections.abc
import functools

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _set_aside
from chestnuttide.node import _starts
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Number of steps whose needs are logged when a job is queued.
LOGGED_STEPS = 4


def record_former_owner(owner: _ownership.Ownership) -> None:
    """Record until when a former owner may have sent calls to workers.

    One that has not stopped may send them until its authority ends.
    """
    owner.pool.former_calls_until = (
        _clock.now() + _ownership.former_authority_s(owner)
    )


def _former_lease_expiry(owner: _ownership.Ownership) -> float:
    """Return when all leases that the former owner knew have expired."""
    lease_s = workloads.lease_bound_s(owner.pool.limits.lease_s)
    return owner.pool.former_calls_until + lease_s


def _longest_lease_expiry(owner: _ownership.Ownership) -> float:
    """Return when all leases granted for the former owner have expired.

    A worker that has restarted takes a deadline of its former incarnation for
    one that is far ahead.
    """
    longest_s = workloads.longest_lease_s(owner.pool.limits)
    return owner.pool.former_calls_until + workloads.CALL_S + longest_s


def apply_worker_entry(
    owner: _ownership.Ownership, item: platform.Item
) -> None:
    """Apply a worker's entry, and poll the worker if it may be used.

    An entry that cannot be read or applied costs this worker only.
    """
    worker_id = item.key.removeprefix(_keys.WORKERS)
    applied = _set_aside.attempt(
        owner.set_aside,
        _set_aside.Kind.WORKER,
        worker_id,
        lambda: _apply_worker_entry(owner, worker_id, item),
    )
    if not applied:
        _unlist(owner, worker_id)


def _unlist(owner: _ownership.Ownership, worker_id: str) -> None:
    for worker in workloads.list_incarnations(owner.pool, worker_id):
        worker.listed = False


def _apply_worker_entry(
    owner: _ownership.Ownership, worker_id: str, item: platform.Item
) -> None:
    if workloads.is_old_entry(owner.pool, worker_id, item.revision):
        LOG.info("Worker entry has been superseded.", worker=worker_id)
        return
    workloads.record_entry(owner.pool, worker_id, item.revision)
    if item.removed:
        _set_aside.remove(owner.set_aside, _set_aside.Kind.ENTRY, worker_id)
        _unlist(owner, worker_id)
        return
    try:
        report = platform.decode_worker(worker_id, item.value)
    except errors.ProtocolError as error:
        LOG.warning("Worker entry is ignored.", error=str(error))
        owner.metrics.unreadable.inc({"kind": "worker"})
        _set_aside.add_unreadable(
            owner.set_aside, _set_aside.Kind.ENTRY, worker_id, error
        )
        _unlist(owner, worker_id)
        return
    _set_aside.remove(owner.set_aside, _set_aside.Kind.ENTRY, worker_id)
    if report.service != owner.service:
        _unlist(owner, worker_id)
        return
    key = workloads.worker_key(report)
    known = owner.pool.workers.get(key)
    draining = known is not None and known.report.draining
    worker = workloads.update_worker(
        owner.pool,
        report,
        now=_clock.now(),
        lease_until=_former_lease_expiry(owner),
    )
    workloads.record_entry(owner.pool, worker_id, item.revision)
    # A takeover's lines would use up the limit of log lines.
    if owner.ready and (known is None or draining != report.draining):
        LOG.info(
            "Worker has reported.",
            worker=key,
            address=report.address,
            draining=report.draining,
            remaining_s=report.remaining_s,
            replaces=[
                each.key
                for each in owner.pool.workers.values()
                if each is not worker and each.report.address == report.address
            ],
        )
    owner.plan_requested.set()
    if owner.ready:
        _polls.ensure_poll_loop(owner, worker)


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
    if _set_aside.is_set_aside(
        owner.set_aside, _set_aside.Kind.RECORD, job_id
    ):
        return
    try:
        _apply_record(owner, job_id, workloads.decode_job(item.value))
    except Exception as error:
        _leave_out_record(owner, item.key, job_id, error)


def _apply_record(
    owner: _ownership.Ownership,
    job_id: str,
    record: workloads.JobSpec | workloads.EndedJob,
) -> None:
    if isinstance(record, workloads.EndedJob):
        owner.pool.awaited_progress.pop(job_id, None)
        job = _make_ended_job(job_id, owner.service, record)
        owner.pool.jobs[job_id] = job
    else:
        _accept(owner, _add_job(owner, record))


def _leave_out_record(
    owner: _ownership.Ownership,
    key: str,
    job_id: str,
    error: Exception,
) -> None:
    """Leave out a job, one of whose records cannot be used.

    Without its progress, its tasks might be started beside former runs, so
    it waits for the next owner.
    """
    LOG.error(
        "Job is left out: a record cannot be used.",
        job=job_id,
        key=key,
        error=str(error),
        # A decoder's error names the field; of others, the place helps.
        exc_info=None if isinstance(error, errors.ProtocolError) else error,
    )
    owner.metrics.unreadable.inc({"kind": "record"})
    _set_aside.add_unreadable(
        owner.set_aside, _set_aside.Kind.RECORD, job_id, error
    )
    owner.pool.awaited_progress.pop(job_id, None)
    owner.pool.active.pop(job_id, None)
    job = owner.pool.jobs.pop(job_id, None)
    if job is not None:
        for unit in list(job.units.values()):
            for run in list(unit.runs):
                workloads.drop_run(owner.pool, run)


def _add_job(
    owner: _ownership.Ownership, record: workloads.JobSpec
) -> workloads.Job:
    job = workloads.add_job(
        owner.pool,
        record,
        now=_clock.now(),
        now_unix_s=_clock.unix_time() + owner.pool.limits.early_s,
    )
    # The takeover has read it before the job was stored.
    progress = owner.pool.awaited_progress.pop(record.id, None)
    if progress is not None:
        _restore_progress(owner, record.id, *progress)
    return job


def apply_job_notice(
    owner: _ownership.Ownership | None, message: _messages.JobNotice
) -> None:
    """Add a job that an instance is storing or has stored, or cancel one.

    The advisor is queried and runs are recorded while the job's own write is
    still in progress. Nothing starts before both writes are acknowledged.
    """
    if owner is None or not owner.ready or owner.deposed.is_set():
        return
    job_id = message.job_id
    if not message.value:
        _try_cancel(owner, job_id)
        return
    if _set_aside.is_set_aside(
        owner.set_aside, _set_aside.Kind.RECORD, job_id
    ):
        return
    try:
        record = workloads.decode_job(message.value)
        job = owner.pool.jobs.get(job_id) or _add_job(owner, record)
        if message.stored and not job.accepted:
            _accept(owner, job)
    except Exception as error:
        _leave_out_record(
            owner, _keys.job(owner.service, job_id), job_id, error
        )
    owner.plan_requested.set()


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
    _starts.start_recorded_runs(owner, job)
    owner.plan_requested.set()


def _make_ended_job(
    job_id: str, service: str, record: workloads.EndedJob
) -> workloads.Job:
    queue = workloads.Queue(
        name=record.queue, host="", prefix="", service=service
    )
    spec = workloads.JobSpec(id=job_id, queue=queue, payload="", steps=())
    return workloads.Job(
        spec=spec,
        state=record.state,
        shown_state=record.state,
        accepted=True,
        ended_unix_s=record.ended_unix_s,
    )


def apply_progress(owner: _ownership.Ownership, item: platform.Item) -> None:
    job_id = item.key.removeprefix(_keys.progress(owner.service))
    if job_id in owner.pool.active:
        try:
            _restore_progress(owner, job_id, item.revision, item.value)
        except Exception as error:
            _leave_out_record(owner, item.key, job_id, error)
        return
    if job_id in owner.pool.jobs or _set_aside.is_set_aside(
        owner.set_aside, _set_aside.Kind.RECORD, job_id
    ):
        LOG.warning("Progress record is ignored.", job=job_id)
        return
    LOG.debug("Progress record waits for its job.", job=job_id)
    owner.pool.awaited_progress[job_id] = (item.revision, item.value)


def _restore_progress(
    owner: _ownership.Ownership, job_id: str, revision: int, record: bytes
) -> None:
    job = owner.pool.active[job_id]
    job.progress_revision = revision
    job.restored = True
    workloads.apply_progress(
        owner.pool,
        job,
        record,
        lease_until=_former_lease_expiry(owner),
        unlocated_lease_until=_longest_lease_expiry(owner),
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )


def _apply_cancel(owner: _ownership.Ownership, item: platform.Item) -> None:
    prefix = _keys.cancel(owner.service, "")
    if not item.key.startswith(prefix) or item.removed:
        return
    _try_cancel(owner, item.key.removeprefix(prefix))


def _try_cancel(owner: _ownership.Ownership, job_id: str) -> None:
    _set_aside.attempt(
        owner.set_aside,
        _set_aside.Kind.CANCELLATION,
        job_id,
        functools.partial(_cancel, owner, job_id),
    )


def _cancel(owner: _ownership.Ownership, job_id: str) -> None:
    job = _ownership.find_live_job(owner, job_id)
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
        _commands.send_due_stops(owner, worker)
    _ownership.request_commit(owner, urgent=True)


def apply_work_items(
    owner: _ownership.Ownership,
    items: collections.abc.Iterable[platform.Item],
) -> None:
    """Apply jobs before cancellations, which come first in a listing."""
    items = tuple(items)
    for item in items:
        apply_job(owner, item)
    for item in items:
        _apply_cancel(owner, item)
