"""Ownership of a service: takeover, and the loops that carry it."""

import asyncio
import collections.abc
import contextlib
import time

from chestnuttide import errors
from chestnuttide.node import _advice_calls
from chestnuttide.node import _clock
from chestnuttide.node import _commits
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide.node import _worker_calls
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Supervision looks at all runs at this rate.
TICK_S = 0.1

# An owner that stores nothing asks the store at this rate whether it still
# is the owner.
CONFIRM_S = 1.0

TAKEOVER_RETRY_S = 0.1

# An owner that the store refuses for this long has a peer end its ownership,
# so that an instance that reaches the store takes over at once.
RELEASE_AFTER_S = 0.3

# A peer that has had no good answer of the store for this long is cut off as
# well; instances renew their leases more often than that.
REACHES_STORE_S = 0.35

# Ended jobs are kept for this long beyond the time that callers may ask.
STATUS_MARGIN_S = 30.0

# A job that was announced and not stored within this time is forgotten; its
# caller got no answer, or a refusal.
ANNOUNCED_S = 5.0

# Jobs and cancellations are told by their instances; the watch makes good
# what was lost, and may gather changes for this long.
GATHER_S = 0.3

# Steps of a job that its log line describes.
LOGGED_STEPS = 4

# The worker's clock may be 2% slow.
_CLOCK_DRIFT = 0.98


async def own(owner: _ownership.Ownership) -> None:
    """Own a service until deposed; never raises."""
    loops: list[asyncio.Task[None]] = []
    began = _clock.now()
    LOG.info("Takeover begins.", service=owner.service, fence=owner.fence)
    try:
        if not await _take_over(owner):
            return
        LOG.info(
            "Takeover is complete.",
            service=owner.service,
            fence=owner.fence,
            jobs=len(owner.pool.active),
            workers=len(owner.pool.workers),
            seconds=round(_clock.now() - began, 3),
        )
        loops = [
            asyncio.ensure_future(each)
            for each in (
                _commits.run(owner),
                _plan_loop(owner),
                _tick_loop(owner),
                _follow_work(owner),
                _follow_workers(owner),
                _confirm_loop(owner),
            )
        ]
        deposed = asyncio.ensure_future(owner.deposed.wait())
        loops.append(deposed)
        done, _ = await asyncio.wait(
            loops, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is not None:
                LOG.error(
                    "Owner's loop has failed.",
                    service=owner.service,
                    exc_info=task.exception(),
                )
    except Exception:
        LOG.exception("Ownership has failed.", service=owner.service)
    finally:
        owner.deposed.set()
        # Orders and looks under way end by themselves; none follows them.
        for task in loops:
            task.cancel()
        await asyncio.gather(*loops, return_exceptions=True)
        LOG.info(
            "Ownership has ended.", service=owner.service, fence=owner.fence
        )


async def _take_over(owner: _ownership.Ownership) -> bool:
    """Rebuild the pool from the store; return False if deposed."""
    while not owner.deposed.is_set():
        sent_at = _clock.now()
        try:
            workers, work, progress = await asyncio.gather(
                platform.read_all(owner.store, _keys.WORKERS),
                platform.read_all(owner.store, _keys.work(owner.service)),
                platform.read_all(owner.store, _keys.progress(owner.service)),
            )
        except errors.SchedulerError as error:
            LOG.warning(
                "Takeover cannot read; trying again.",
                service=owner.service,
                error=str(error),
            )
            await asyncio.sleep(TAKEOVER_RETRY_S)
            continue
        owner.confirmed_at = sent_at
        for item in workers.items:
            _apply_worker(owner, item)
        for item in work.items:
            _apply_job(owner, item)
        known = {item.key for item in work.items}
        for item in progress.items:
            job_id = item.key.removeprefix(_keys.progress(owner.service))
            if _keys.job(owner.service, job_id) in known:
                _apply_progress(owner, item)
        apply_work(owner, work.items)
        for worker in list(owner.pool.workers.values()):
            _worker_calls.ensure_hold_loop(owner, worker)
        owner.plan_wanted.set()
        owner.ready = True
        return True
    return False


def _former_lease_until(owner: _ownership.Ownership) -> float:
    """Return when all runs of a former owner have ended in silence.

    A former owner that did not stop may extend leases while it has authority.
    """
    until = _clock.now() + owner.pool.bounds.lease_s / _CLOCK_DRIFT
    if not owner.former_stopped:
        until += _ownership.AUTHORITY_S
    return until


def _apply_worker(owner: _ownership.Ownership, item: platform.Item) -> None:
    worker_id = item.key.removeprefix(_keys.WORKERS)
    current = [
        worker
        for worker in owner.pool.workers.values()
        if worker.report.id == worker_id
    ]
    if item.removed:
        for worker in current:
            worker.listed = False
        return
    try:
        report = platform.decode_worker(worker_id, item.value)
    except errors.ProtocolError as error:
        LOG.warning("Worker entry is ignored.", error=str(error))
        for worker in current:
            worker.listed = False
        return
    if report.service != owner.service:
        for worker in current:
            worker.listed = False
        return
    key = workloads.worker_key(report)
    known = owner.pool.workers.get(key)
    draining = known is not None and known.report.draining
    worker = workloads.update_worker(
        owner.pool,
        report,
        now=_clock.now(),
        lease_until=_former_lease_until(owner),
    )
    for other in current:
        if other.key != key:
            other.listed = False
    if known is None or draining != report.draining:
        LOG.info(
            "Worker has reported.",
            worker=key,
            address=report.address,
            draining=report.draining,
            remaining_s=report.remaining_s,
        )
    owner.plan_wanted.set()


def _apply_job(owner: _ownership.Ownership, item: platform.Item) -> None:
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


def _apply_progress(owner: _ownership.Ownership, item: platform.Item) -> None:
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
        _worker_calls.send_stops(owner, worker)
    _ownership.want_commit(owner, urgent=True)


def apply_work(
    owner: _ownership.Ownership,
    items: collections.abc.Iterable[platform.Item],
) -> None:
    """Take over jobs, and then cancellations, which a list has first."""
    items = tuple(items)
    for item in items:
        _apply_job(owner, item)
    for item in items:
        _apply_cancel(owner, item)


async def _follow_work(owner: _ownership.Ownership) -> None:
    await _session.follow(
        owner.session,
        _keys.work(owner.service),
        on_list=lambda items: apply_work(owner, items),
        on_item=lambda item: apply_work(owner, (item,)),
        on_working=lambda working: None,
        pause_s=GATHER_S,
    )


async def _follow_workers(owner: _ownership.Ownership) -> None:
    def on_item(item: platform.Item) -> None:
        _apply_worker(owner, item)
        for worker in list(owner.pool.workers.values()):
            _worker_calls.ensure_hold_loop(owner, worker)

    def on_list(items: tuple[platform.Item, ...]) -> None:
        names = {item.key.removeprefix(_keys.WORKERS) for item in items}
        for worker in owner.pool.workers.values():
            if worker.report.id not in names:
                worker.listed = False
        for item in items:
            on_item(item)

    await _session.follow(
        owner.session,
        _keys.WORKERS,
        on_list=on_list,
        on_item=on_item,
        on_working=lambda working: None,
    )


async def _plan_loop(owner: _ownership.Ownership) -> None:
    while True:
        await owner.plan_wanted.wait()
        owner.plan_wanted.clear()
        if owner.stopping or not _ownership.may_order(owner):
            await asyncio.sleep(TICK_S)
            continue
        plan = workloads.make_plan(owner.pool, now=_clock.now())
        if plan.runs:
            _ownership.want_commit(owner, urgent=True)
        _advice_calls.ask(owner, plan.questions)
        # Lets the events of one loop iteration share a plan.
        await asyncio.sleep(0)


async def _tick_loop(owner: _ownership.Ownership) -> None:
    while True:
        await asyncio.sleep(TICK_S)
        _supervise(owner)


def _supervise(owner: _ownership.Ownership) -> None:
    now = _clock.now()
    config = owner.session.config
    owner.pool.top_priority = min(
        (
            queue.priority
            for queue in config.queues
            if queue.service == owner.service
        ),
        default=0,
    )
    unix_time = _clock.unix_time()
    bounds = owner.pool.bounds
    for job in list(owner.pool.active.values()):
        workloads.release_due_occurrences(
            owner.pool, job, unix_time + bounds.early_s
        )
    for run in workloads.find_stalled(owner.pool, now=now):
        LOG.warning(
            "Run stands still; stopping it.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            percent=run.percent,
            silent_s=round(now - run.progress_at, 2),
        )
        workloads.stop_stalled(owner.pool, run, now=now)
    moved = workloads.evacuate(owner.pool, now=now, stop_s=bounds.stop_s)
    for run in moved:
        LOG.info(
            "Run leaves a draining worker.",
            job=run.job.spec.id,
            task=run.task,
            worker=run.worker_key,
        )
    for worker in owner.pool.workers.values():
        _worker_calls.send_stops(owner, worker)
    _forget_announced(owner, now)
    _forget_ended(owner, unix_time)
    owner.plan_wanted.set()


def _forget_announced(owner: _ownership.Ownership, now: float) -> None:
    for job in list(owner.pool.active.values()):
        if not job.accepted and now - job.accepted_at > ANNOUNCED_S:
            for unit in job.units.values():
                workloads.stop_runs(owner.pool, unit)
            if job.progress_revision:
                key = _keys.progress(owner.service, job.spec.id)
                owner.removals.append(key)
            del owner.pool.active[job.spec.id]
            del owner.pool.jobs[job.spec.id]
            LOG.info("Announced job was not stored.", job=job.spec.id)


def _forget_ended(owner: _ownership.Ownership, unix_time: float) -> None:
    keep_s = owner.session.settings.bounds.status_s + STATUS_MARGIN_S
    old = [
        job_id
        for job_id, job in owner.pool.jobs.items()
        if job.shown_state in workloads.TERMINAL_STATES
        and not job.dirty
        and unix_time - job.ended_unix_s > keep_s
    ]
    for job_id in old:
        del owner.pool.jobs[job_id]
        owner.removals.append(_keys.job(owner.service, job_id))
        owner.removals.append(_keys.cancel(owner.service, job_id))
    if old:
        _ownership.want_commit(owner, urgent=False)


async def _confirm_loop(owner: _ownership.Ownership) -> None:
    """Ask the store for the ownership when no commit has shown it."""
    while True:
        await asyncio.sleep(CONFIRM_S / 10)
        sent_at = _clock.now()
        limit_s = RELEASE_AFTER_S if owner.store.failing_since else CONFIRM_S
        if sent_at - owner.confirmed_at < limit_s:
            continue
        try:
            item = await platform.read_key(
                owner.store, _keys.owner(owner.service)
            )
        except errors.SchedulerError as error:
            LOG.info(
                "Ownership is not confirmed.",
                service=owner.service,
                age_s=round(sent_at - owner.confirmed_at, 2),
                error=str(error),
            )
            await _release_through_peer(owner)
            continue
        if item is None or item.revision != owner.fence:
            LOG.warning(
                "Deposed: the owner's key has changed.",
                service=owner.service,
                fence=owner.fence,
            )
            owner.deposed.set()
            return
        owner.confirmed_at = max(owner.confirmed_at, sent_at)


async def _release_through_peer(owner: _ownership.Ownership) -> None:
    """Have a peer that reaches the store end this ownership."""
    owner.releasing = True
    for name in _peers.connected_names(owner.session.peers):
        try:
            reply = await _peers.call(
                owner.session.peers,
                name,
                lambda call_id: _messages.Release(
                    call_id=call_id,
                    service=owner.service,
                    fence=owner.fence,
                ),
            )
        except errors.MeshError as error:
            # The peer may still do it, so ordering cannot go on.
            LOG.info("Peer did not release.", peer=name, error=str(error))
            owner.deposed.set()
            return
        if reply.released:
            LOG.warning(
                "Ownership was ended through a peer.",
                service=owner.service,
                fence=owner.fence,
                peer=name,
            )
            owner.deposed.set()
            return
    owner.releasing = False


def _release_transaction(service: str, fence: int) -> platform.Transaction:
    """Return the change that ends an ownership that orders no more."""
    key = _keys.owner(service)
    return platform.Transaction(
        expect={key: fence},
        put={_keys.released(service): str(fence).encode()},
        remove=(key,),
    )


async def release(
    session: _session.Session, message: _messages.Release
) -> _messages.ReleaseReply:
    """End a peer's ownership for it, if it still stands."""
    released = False
    age_s = time.monotonic() - session.store.answered_at
    if not session.store.failing_since and age_s < REACHES_STORE_S:
        try:
            await platform.commit(
                session.store,
                _release_transaction(message.service, message.fence),
            )
            released = True
        except platform.ConditionError:
            released = True
        except platform.StoreRefusedError as error:
            LOG.info("Ownership was not released.", error=str(error))
    return _messages.ReleaseReply(call_id=message.call_id, released=released)


async def hand_over(owner: _ownership.Ownership) -> None:
    """Store what is decided and give the ownership up."""
    owner.stopping = True
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CONFIRM_S):
            await _commits.commit_all(owner)
    owner.deposed.set()
    key = _keys.owner(owner.service)
    try:
        await platform.commit(
            owner.store,
            platform.Transaction(expect={key: owner.fence}, remove=(key,)),
        )
    except errors.SchedulerError as error:
        LOG.warning(
            "Ownership was not handed over; its lease ends it.",
            service=owner.service,
            error=str(error),
        )
