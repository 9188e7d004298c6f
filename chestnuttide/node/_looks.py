"""Looks of an owner at its workers: leases, lists and lifetimes."""

import asyncio

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _orders
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# A look returns after this time when nothing ends. Progress, latency and
# silence are seen at this rate on workers that run something.
BUSY_LOOK_S = 0.5

IDLE_LOOK_S = 2.0

# Limit of a look beyond its wait.
LOOK_TIMEOUT_S = 0.4

# Ends that are not stored yet would be returned again at once. A slow store
# holds the look at further ends back by no more than this.
UNSTORED_PAUSE_S = 0.1


def ensure_hold_loop(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Look after a worker in the background."""
    task = owner.hold_loops.get(worker.key)
    if task is None or task.done():
        owner.hold_loops[worker.key] = asyncio.ensure_future(
            _keep_looking(owner, worker)
        )


async def _keep_looking(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Look after a worker, and go on after an unexpected error."""
    while not owner.deposed.is_set():
        try:
            await _hold_loop(owner, worker)
            return
        except Exception:
            LOG.exception("Look has failed.", worker=worker.key)
            await asyncio.sleep(_orders.SILENT_PAUSE_S)


async def _hold_loop(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    while not owner.deposed.is_set():
        if workloads.is_finished(worker):
            break
        if worker.stored_end < worker.highest_end:
            await _wait_for_commit(owner)
        if not worker.report.address or not _ownership.may_order(owner):
            await asyncio.sleep(_orders.SILENT_PAUSE_S)
        elif not await look(owner, worker, wait_s=_look_wait_s(worker)):
            worker.failed_looks += 1
            if worker.failed_looks == 1:
                LOG.warning(
                    "Worker does not answer.",
                    worker=worker.key,
                    runs=len(worker.runs),
                )
            await asyncio.sleep(_orders.SILENT_PAUSE_S)
        elif worker.failed_looks:
            LOG.info("Worker answers again.", worker=worker.key)
            worker.failed_looks = 0
            owner.plan_wanted.set()
        _lapse(owner, worker)
    owner.pool.workers.pop(worker.key, None)
    owner.pool.unknown_runs.pop(worker.key, None)
    LOG.info("Worker is no longer looked after.", worker=worker.key)


async def _wait_for_commit(owner: _ownership.Ownership) -> None:
    try:
        async with asyncio.timeout(UNSTORED_PAUSE_S):
            await owner.committed.wait()
    except TimeoutError:
        LOG.debug("Ends are not stored yet.", service=owner.service)


def _look_wait_s(worker: workloads.Worker) -> float:
    if not worker.seen_at or worker.failed_looks:
        return 0.0
    return BUSY_LOOK_S if worker.runs else IDLE_LOOK_S


async def look(
    owner: _ownership.Ownership, worker: workloads.Worker, *, wait_s: float
) -> bool:
    """Extend the worker's lease and take over its lists."""
    sent_at = _clock.now()
    deadline_ms = workloads.hold_deadline_ms(
        worker, now=sent_at, lease_s=owner.pool.bounds.lease_s
    )
    if deadline_ms is not None:
        workloads.note_grant(worker, deadline_ms, now=sent_at)
    first = not worker.seen_at
    try:
        reply = await platform.hold_runs(
            owner.workers_http,
            _orders.address(worker),
            fence=owner.fence,
            acknowledged_end=workloads.acknowledged_end(worker),
            deadline_ms=deadline_ms,
            wait_s=wait_s,
            timeout_s=LOOK_TIMEOUT_S,
            may_send=lambda: _ownership.may_order(owner),
        )
    except errors.PlatformError as error:
        LOG.debug("Look failed.", worker=worker.key, error=str(error))
        return False
    if owner.deposed.is_set():
        return False
    if isinstance(reply, platform.OrderReply):
        _orders.note_rejection(owner, worker, reply, "hold")
        return False
    if reply.born_ms != worker.report.born_ms:
        succeed_lifetime(owner, worker, reply.born_ms)
        return False
    observation = workloads.Observation(
        clock_ms=reply.clock_ms,
        running=reply.running,
        ended=reply.ended,
        sent_at=sent_at,
        received_at=_clock.now(),
    )
    ends = workloads.apply_look(
        owner.pool,
        worker,
        observation,
        now_unix_s=_clock.unix_time(),
    )
    for run, how in ends:
        _orders.log_end(owner, run, how)
    if first:
        _stop_unanswered_starts(owner, worker)
    if ends or first:
        _follow_ends(owner, [run for run, _ in ends])
    _after_look(owner, worker)
    return True


def _stop_unanswered_starts(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Keep a new lifetime from executing starts to the former ones."""
    starts = owner.pool.unanswered_starts.pop(worker.report.id, set())
    for task, number in starts:
        _ownership.start_order(
            owner, _orders.stop_unknown(owner, worker, task, number)
        )


def _follow_ends(
    owner: _ownership.Ownership, runs: list[workloads.Run]
) -> None:
    """Place what can go on, and store the ends; a caller waits for a job's."""
    owner.plan_wanted.set()
    _ownership.want_commit(
        owner,
        urgent=any(run.job.state in workloads.TERMINAL_STATES for run in runs),
    )


def _after_look(owner: _ownership.Ownership, worker: workloads.Worker) -> None:
    if worker.stored_end < worker.highest_end:
        _ownership.want_commit(owner, urgent=False)
    for task, number in owner.pool.unknown_runs.get(worker.key, ()):
        LOG.warning(
            "Worker runs what no job knows; stopping it.",
            worker=worker.key,
            task=task,
            run=number,
        )
        _ownership.start_order(
            owner, _orders.stop_unknown(owner, worker, task, number)
        )
    for run in workloads.pace_fillers(worker):
        _ownership.start_order(owner, _orders.order_pace(owner, worker, run))
    _orders.send_stops(owner, worker)


def _lapse(owner: _ownership.Ownership, worker: workloads.Worker) -> None:
    lapsed = workloads.lapse_silent_worker(
        owner.pool,
        worker,
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    for run in lapsed:
        _orders.log_end(owner, run, "lapsed in silence")
    if lapsed:
        owner.plan_wanted.set()
        _ownership.want_commit(owner, urgent=False)


def succeed_lifetime(
    owner: _ownership.Ownership, worker: workloads.Worker, born_ms: int
) -> None:
    """Follow a worker that has started again under its id."""
    handed = workloads.begin_lifetime(owner.pool, worker, born_ms)
    for run in handed:
        LOG.warning(
            "Start may have reached a new lifetime.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
        )
        ensure_hold_loop(owner, owner.pool.workers[run.worker_key])
    _orders.lose_lifetime(owner, worker, "born again")
