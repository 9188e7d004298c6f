"""Stops and speeds that an owner orders, and what rejections show."""

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

SILENT_PAUSE_S = 0.25

STOP_REPEAT_S = 0.5


def address(worker: workloads.Worker) -> platform.WorkerAddress:
    return platform.WorkerAddress(
        id=worker.report.id, address=worker.report.address
    )


def log_end(owner: _ownership.Ownership, run: workloads.Run, how: str) -> None:
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


def end_run(owner: _ownership.Ownership, run: workloads.Run, how: str) -> None:
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
    log_end(owner, run, how)
    owner.plan_wanted.set()
    _ownership.want_commit(owner, urgent=False)


def lose_lifetime(
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
        log_end(owner, run, "lost")
    owner.plan_wanted.set()
    _ownership.want_commit(owner, urgent=False)


def note_rejection(
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
        lose_lifetime(owner, worker, "another lifetime has its address")
    else:
        LOG.info(
            "Order was rejected.",
            kind=kind,
            worker=worker.key,
            status=reply.status,
            reason=reply.reason,
        )


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
            _ownership.start_order(owner, order_stop(owner, worker, run))


async def order_stop(
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
            address(worker),
            task=task,
            run=number,
            fence=owner.fence,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=lambda: _ownership.may_order(owner),
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
        note_rejection(owner, worker, reply, "stop")
        return False
    owner.metrics.orders.inc({"kind": "stop", "outcome": "200"})
    return True


async def stop_unknown(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    task: str,
    number: int,
) -> None:
    await _send_stop(owner, worker, task, number)


async def order_pace(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    percent = run.pace_percent
    run.paced_percent = percent
    try:
        reply = await platform.pace_run(
            owner.workers_http,
            address(worker),
            task=run.task,
            run=run.number,
            percent=percent,
            fence=owner.fence,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=lambda: _ownership.may_order(owner),
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
        note_rejection(owner, worker, reply, "pace")
