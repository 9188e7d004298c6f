"""Stop and throttle commands to workers, and handling of rejections."""

import functools

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# A worker replies within milliseconds. After this time the command's outcome
# is unknown, and the run list of a later poll settles it.
COMMAND_TIMEOUT_S = 0.3

# Pause before an unavailable worker is polled, or a unit is placed, again.
WORKER_RETRY_PAUSE_S = 0.25


def worker_address(worker: workloads.Worker) -> platform.WorkerAddress:
    return platform.WorkerAddress(
        id=worker.report.id, address=worker.report.address
    )


def log_completion(
    owner: _ownership.Ownership, run: workloads.Run, outcome: str
) -> None:
    owner.metrics.run_ends.inc({"how": outcome})
    _count_lost_run(owner, run)
    worker = owner.pool.workers.get(run.worker_key)
    last_reply_at = worker.last_reply_at if worker is not None else 0.0
    LOG.info(
        "Run has ended.",
        job=run.job.spec.id,
        task=run.task,
        run=run.number,
        how=outcome,
        worker=run.worker_key,
        unanswered=run.unanswered,
        percent=run.percent,
        failures=run.unit.failures,
        crashes=[
            [number, crash.worker_key, crash.suspects]
            for number, crash in run.unit.crashes.items()
        ],
        listed_s=round(max(0.0, last_reply_at - run.confirmed_at), 3)
        if run.listed
        else 0.0,
    )


def _count_lost_run(owner: _ownership.Ownership, run: workloads.Run) -> None:
    crash = run.unit.crashes.get(run.number)
    if crash is None:
        return
    suspects = "none"
    if crash.suspects:
        suspects = "one" if crash.suspects == 1 else "several"
    owner.metrics.lost_runs.inc({"suspects": suspects})


def end_run(
    owner: _ownership.Ownership, run: workloads.Run, outcome: str
) -> None:
    if run not in run.unit.runs:
        return
    run.unit.not_before = _clock.now() + WORKER_RETRY_PAUSE_S
    workloads.end_run(
        owner.pool,
        run,
        outcome,
        "",
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    log_completion(owner, run, outcome)
    owner.plan_requested.set()
    _ownership.request_commit(owner, urgent=False)


def end_incarnation(
    owner: _ownership.Ownership, worker: workloads.Worker, reason: str
) -> None:
    """End all runs of a worker incarnation that has certainly ended."""
    LOG.warning(
        "Worker incarnation has ended.",
        worker=worker.key,
        why=reason,
        runs=len(worker.runs),
    )
    lost = workloads.end_incarnation(
        owner.pool,
        worker,
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    for run in lost:
        log_completion(owner, run, "lost")
    owner.plan_requested.set()
    _ownership.request_commit(owner, urgent=False)


def may_send(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    fence: int,
    *,
    renews_lease: bool = False,
) -> bool:
    """Return whether a call to a worker incarnation may be sent now.

    Called right before it is sent, so that the lease which it may grant is
    reckoned from then on.
    """
    if (
        not fence
        or worker.fencing_token != fence
        or not _ownership.may_send_commands(owner)
    ):
        return False
    if renews_lease:
        workloads.record_sent_lease(owner.pool, worker, now=_clock.now())
    return True


def handle_rejection(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    reply: platform.CommandReply,
    kind: str,
    *,
    address: platform.WorkerAddress,
    fence: int,
) -> None:
    """Act on a rejected call, which was sent to `address` with `fence`."""
    owner.metrics.commands.inc(
        {"kind": kind, "outcome": f"{reply.status} {reply.reason}".strip()}
    )
    if reply.status == 409 and reply.reason == "fence":
        if workloads.is_outdated_token(owner.pool, worker, fence):
            LOG.info(
                "Command was rejected: another incarnation has answered.",
                kind=kind,
                worker=worker.key,
                fence=fence,
            )
            workloads.withdraw_outdated_token(owner.pool, worker)
            return
        LOG.warning(
            "Deposed: a worker has seen a higher fencing token.",
            service=owner.service,
            worker=worker.key,
            fence=fence,
        )
        owner.deposed.set()
    elif reply.status == 421 and address != worker_address(worker):
        LOG.info(
            "Command was rejected at a former address.",
            kind=kind,
            worker=worker.key,
            address=address.address,
        )
    elif reply.status == 421:
        end_incarnation(
            owner, worker, "its address belongs to another incarnation"
        )
    else:
        LOG.info(
            "Command was rejected.",
            kind=kind,
            worker=worker.key,
            status=reply.status,
            reason=reply.reason,
        )


def send_due_stops(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Send the stops that are due on a worker, and resend unanswered ones."""
    for run in workloads.take_due_stops(worker, now=_clock.now()):
        _ownership.start_command(owner, stop_run_on_worker(owner, worker, run))


async def stop_run_on_worker(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    if await _send_stop(owner, worker, run.task, run.number):
        workloads.record_stop_answer(run, worker, now=_clock.now())


async def _send_stop(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    task: str,
    number: int,
) -> bool:
    """Send a stop; return whether the worker has acknowledged it."""
    address, fence = worker_address(worker), worker.fencing_token
    if not fence:
        return False
    try:
        reply = await platform.stop_run(
            owner.workers_http,
            address,
            task=task,
            run=number,
            fencing_token=fence,
            timeout_s=COMMAND_TIMEOUT_S,
            may_send=functools.partial(may_send, owner, worker, fence),
        )
    except errors.PlatformError as error:
        # The next poll lists the run again, and the stop is resent.
        LOG.info(
            "Stop was not answered.",
            task=task,
            run=number,
            worker=worker.key,
            error=str(error),
        )
        return False
    if reply.status != 200:
        handle_rejection(
            owner, worker, reply, "stop", address=address, fence=fence
        )
        return False
    owner.metrics.commands.inc({"kind": "stop", "outcome": "200"})
    return True


async def stop_unknown_run(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    task: str,
    number: int,
) -> None:
    await _send_stop(owner, worker, task, number)


async def throttle_run(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    address, fence = worker_address(worker), worker.fencing_token
    if not fence:
        return
    percent = run.speed_percent
    run.sent_speed_percent = percent
    try:
        reply = await platform.throttle_run(
            owner.workers_http,
            address,
            task=run.task,
            run=run.number,
            percent=percent,
            fencing_token=fence,
            timeout_s=COMMAND_TIMEOUT_S,
            may_send=functools.partial(may_send, owner, worker, fence),
        )
    except errors.PlatformError as error:
        # Resent after the next poll.
        run.sent_speed_percent = -1
        LOG.info(
            "Throttle command was not answered.",
            task=run.task,
            error=str(error),
        )
        return
    LOG.info(
        "Throttle command was answered.",
        task=run.task,
        percent=percent,
        worker=worker.key,
        status=reply.status,
    )
    if reply.status != 200:
        run.sent_speed_percent = -1
        handle_rejection(
            owner, worker, reply, "pace", address=address, fence=fence
        )
