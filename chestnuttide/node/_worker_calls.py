"""Calls of an owner to its workers."""

import asyncio

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# A worker answers within milliseconds; beyond this time the order is
# uncertain, and the worker's lists decide.
ORDER_TIMEOUT_S = 0.3

# A look returns after this time when nothing ends. Progress, latency and
# silence are seen at this rate on workers that run something.
BUSY_LOOK_S = 0.5
IDLE_LOOK_S = 2.0

# Limit of a look beyond its wait.
LOOK_TIMEOUT_S = 0.4

# Lease of a start. Its end also ends the doubt about an unanswered start.
START_LEASE_S = 2.5

# Ends that are not stored yet would be returned again at once. A slow store
# holds the look at further ends back by no more than this.
UNSTORED_PAUSE_S = 0.1

SILENT_PAUSE_S = 0.25
STOP_REPEAT_S = 0.5


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
            await asyncio.sleep(SILENT_PAUSE_S)


def _address(worker: workloads.Worker) -> platform.WorkerAddress:
    return platform.WorkerAddress(
        id=worker.report.id, address=worker.report.address
    )


def _may_order(owner: _ownership.Ownership) -> bool:
    return _ownership.may_order(owner)


async def _hold_loop(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    while not owner.deposed.is_set():
        if not worker.listed and not worker.runs:
            break
        if worker.stored_end < worker.highest_end:
            await _wait_for_commit(owner)
        if not worker.report.address or not _may_order(owner):
            await asyncio.sleep(SILENT_PAUSE_S)
        elif not await _look(owner, worker, wait_s=_look_wait_s(worker)):
            worker.failed_looks += 1
            if worker.failed_looks == 1:
                LOG.warning(
                    "Worker does not answer.",
                    worker=worker.key,
                    runs=len(worker.runs),
                )
            await asyncio.sleep(SILENT_PAUSE_S)
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


async def _look(
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
            _address(worker),
            fence=owner.fence,
            acknowledged_end=workloads.acknowledged_end(worker),
            deadline_ms=deadline_ms,
            wait_s=wait_s,
            timeout_s=LOOK_TIMEOUT_S,
            may_send=lambda: _may_order(owner),
        )
    except errors.PlatformError as error:
        LOG.debug("Look failed.", worker=worker.key, error=str(error))
        return False
    if owner.deposed.is_set():
        return False
    if isinstance(reply, platform.OrderReply):
        _note_rejection(owner, worker, reply, "hold")
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
        _log_end(owner, run, how)
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
            owner, _stop_unknown(owner, worker, task, number)
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
            owner, _stop_unknown(owner, worker, task, number)
        )
    for run in workloads.pace_fillers(worker):
        _ownership.start_order(owner, _order_pace(owner, worker, run))
    send_stops(owner, worker)


def send_stops(owner: _ownership.Ownership, worker: workloads.Worker) -> None:
    """Send, and repeat, the stops that are wanted on a worker."""
    now = _clock.now()
    for run in worker.runs.values():
        uncertain = run.phase == workloads.Phase.UNCERTAIN
        if not run.stopping and not (uncertain and run.deadline_ms > 0):
            continue
        if run.phase == workloads.Phase.PLANNED:
            continue
        if now - run.stop_sent_at >= STOP_REPEAT_S:
            run.stop_sent_at = now
            _ownership.start_order(owner, _order_stop(owner, worker, run))


def _log_end(
    owner: _ownership.Ownership, run: workloads.Run, how: str
) -> None:
    owner.metrics.run_ends.inc({"how": how})
    LOG.info(
        "Run has ended.",
        job=run.job.spec.id,
        task=run.task,
        run=run.number,
        how=how,
        worker=run.worker_key,
        percent=run.percent,
        failures=run.unit.failures,
    )


def _lapse(owner: _ownership.Ownership, worker: workloads.Worker) -> None:
    lapsed = workloads.lapse_silent_worker(
        owner.pool,
        worker,
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    for run in lapsed:
        _log_end(owner, run, "lapsed in silence")
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
    _lose_lifetime(owner, worker, "born again")


def _lose_lifetime(
    owner: _ownership.Ownership, worker: workloads.Worker, why: str
) -> None:
    """End all runs of a lifetime that is provably over."""
    LOG.warning(
        "Worker's lifetime is over.",
        worker=worker.key,
        why=why,
        runs=len(worker.runs),
    )
    lost = workloads.end_lifetime(
        owner.pool,
        worker,
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    for run in lost:
        _log_end(owner, run, "lost")
    owner.plan_wanted.set()
    _ownership.want_commit(owner, urgent=False)


def _note_rejection(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    reply: platform.OrderReply,
    kind: str,
) -> None:
    owner.metrics.orders.inc(
        {"kind": kind, "outcome": f"{reply.status} {reply.reason}".strip()}
    )
    if reply.status == 409 and reply.reason == "fence":
        LOG.warning(
            "Deposed by a worker's fence.",
            service=owner.service,
            worker=worker.key,
            fence=owner.fence,
        )
        owner.deposed.set()
    elif reply.status == 421:
        _lose_lifetime(owner, worker, "another lifetime has its address")
    else:
        LOG.info(
            "Order was rejected.",
            kind=kind,
            worker=worker.key,
            status=reply.status,
            reason=reply.reason,
        )


async def order_start(owner: _ownership.Ownership, run: workloads.Run) -> None:
    """Send a stored run's start to its worker."""
    worker = owner.pool.workers.get(run.worker_key)
    if worker is None or not worker.listed:
        # It has left, or has started again since the run was planned.
        _end(owner, run, "never")
        return
    now = _clock.now()
    deadline_ms = workloads.lease_deadline_ms(
        worker, now=now, lease_s=START_LEASE_S
    )
    run.deadline_ms = deadline_ms
    workloads.note_grant(worker, deadline_ms, now=now)
    try:
        reply = await platform.start_run(
            owner.workers_http,
            _address(worker),
            task=run.task,
            run=run.number,
            payload=run.job.spec.payload,
            deadline_ms=deadline_ms,
            fence=owner.fence,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=lambda: _may_order(owner) and not run.stopping,
        )
    except errors.PlatformError as error:
        if error.sent:
            if run.phase == workloads.Phase.ORDERED:
                run.phase = workloads.Phase.UNCERTAIN
            owner.metrics.retries.inc({"reason": "start_unanswered"})
        LOG.warning(
            "Start was not answered.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            sent=error.sent,
        )
        if not error.sent:
            _end(owner, run, "never")
        else:
            await _resolve_doubt(owner, worker, run)
        return
    if owner.deposed.is_set() or run not in run.unit.runs:
        return
    _note_start_reply(owner, worker, run, reply)


async def _resolve_doubt(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    """Find out soon whether an unanswered start has begun, or never will.

    A worker that does not list the run may still execute its start, until it
    has answered a stop for it.
    """
    await _look(owner, worker, wait_s=0.0)
    if run.phase != workloads.Phase.UNCERTAIN or not _may_order(owner):
        return
    run.stop_sent_at = _clock.now()
    await _order_stop(owner, worker, run)
    if run.stop_acknowledged_at and run in run.unit.runs:
        await _look(owner, worker, wait_s=0.0)


def _note_start_reply(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
    reply: platform.OrderReply,
) -> None:
    now = _clock.now()
    if reply.clock_ms is not None:
        workloads.note_clock(worker, reply.clock_ms, now)
    if reply.status == 200:
        first = not run.job.started
        workloads.confirm_start(run, now=now)
        owner.metrics.orders.inc({"kind": "start", "outcome": "200"})
        LOG.info(
            "Run has started.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            fence=owner.fence,
            resumed=bool(run.checkpoint),
            age_s=round(now - run.job.accepted_at, 3),
        )
        if first:
            owner.metrics.start_wait_seconds.observe(
                {"queue": run.job.spec.queue.name},
                now - run.job.accepted_at,
            )
        return
    _note_rejection(owner, worker, reply, "start")
    if reply.reason == "ticket":
        step = run.job.advice.get(run.unit.key[:2])
        if step is not None:
            step.good.pop(worker.key, None)
    if reply.reason == "room":
        run.unit.avoided.add(worker.key)
    if reply.reason != "fence":
        _end(owner, run, "never")


def _end(owner: _ownership.Ownership, run: workloads.Run, how: str) -> None:
    if run not in run.unit.runs:
        return
    run.unit.not_before = _clock.now() + SILENT_PAUSE_S
    workloads.end_run(
        owner.pool,
        run,
        how,
        "",
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    _log_end(owner, run, how)
    owner.plan_wanted.set()
    _ownership.want_commit(owner, urgent=False)


async def _order_stop(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    if await _send_stop(owner, worker, run.task, run.number):
        run.stop_acknowledged_at = _clock.now()


async def _send_stop(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    task: str,
    number: int,
) -> bool:
    """Stop a run; return whether the worker has answered that it will."""
    try:
        reply = await platform.stop_run(
            owner.workers_http,
            _address(worker),
            task=task,
            run=number,
            fence=owner.fence,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=lambda: _may_order(owner),
        )
    except errors.PlatformError as error:
        # The next look lists the run again, and the stop is repeated.
        LOG.info(
            "Stop was not answered.",
            task=task,
            run=number,
            worker=worker.key,
            error=str(error),
        )
        return False
    if reply.status != 200:
        _note_rejection(owner, worker, reply, "stop")
        return False
    owner.metrics.orders.inc({"kind": "stop", "outcome": "200"})
    return True


async def _stop_unknown(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    task: str,
    number: int,
) -> None:
    await _send_stop(owner, worker, task, number)


async def _order_pace(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    percent = run.pace_percent
    run.paced_percent = percent
    try:
        reply = await platform.pace_run(
            owner.workers_http,
            _address(worker),
            task=run.task,
            run=run.number,
            percent=percent,
            fence=owner.fence,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=lambda: _may_order(owner),
        )
    except errors.PlatformError as error:
        # Sent again after the next look.
        run.paced_percent = -1
        LOG.info("Pace was not answered.", task=run.task, error=str(error))
        return
    LOG.info(
        "Run is paced.",
        task=run.task,
        percent=percent,
        worker=worker.key,
        status=reply.status,
    )
    if reply.status != 200:
        run.paced_percent = -1
        _note_rejection(owner, worker, reply, "pace")
