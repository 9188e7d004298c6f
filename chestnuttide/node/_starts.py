"""Starts of recorded runs, and what is done when one is not answered."""

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _looks
from chestnuttide.node import _orders
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# Lease of a start. Its end also ends the doubt about an unanswered start.
START_LEASE_S = 2.5


async def order_start(owner: _ownership.Ownership, run: workloads.Run) -> None:
    """Send a stored run's start to its worker."""
    worker = owner.pool.workers.get(run.worker_key)
    if worker is None or not worker.listed:
        # It has left, or has started again since the run was planned.
        _orders.end_run(owner, run, "never")
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
            _orders.address(worker),
            task=run.task,
            run=run.number,
            payload=run.job.spec.payload,
            deadline_ms=deadline_ms,
            fence=owner.fence,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
            timeout_s=_orders.ORDER_TIMEOUT_S,
            may_send=lambda: _ownership.may_order(owner) and not run.stopping,
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
            _orders.end_run(owner, run, "never")
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
    await _looks.look(owner, worker, wait_s=0.0)
    if run.phase != workloads.Phase.UNCERTAIN or not _ownership.may_order(
        owner
    ):
        return
    run.stop_sent_at = _clock.now()
    await _orders.order_stop(owner, worker, run)
    if run.stop_acknowledged_at and run in run.unit.runs:
        await _looks.look(owner, worker, wait_s=0.0)


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
    _orders.note_rejection(owner, worker, reply, "start")
    if reply.reason == "ticket":
        step = run.job.advice.get(run.unit.key[:2])
        if step is not None:
            step.good.pop(worker.key, None)
    if reply.reason == "room":
        run.unit.avoided.add(worker.key)
    if reply.reason != "fence":
        _orders.end_run(owner, run, "never")
