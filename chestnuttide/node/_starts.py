"""Start commands for recorded runs, and recovery if one is unanswered."""

import asyncio

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")


def start_recorded_runs(
    owner: _ownership.Ownership, job: workloads.Job
) -> None:
    """Start the planned runs of an accepted job whose record is stored."""
    if not job.accepted:
        return
    recorded = [
        run
        for unit in job.units.values()
        for run in unit.runs
        if run.phase == workloads.Phase.PLANNED
        and run.recorded
        and not run.stopping
    ]
    for run in recorded:
        if run not in run.unit.runs:
            # Dropped with another member of its gang.
            continue
        worker = workloads.begin_start(owner.pool, run, now=_clock.now())
        if worker is None:
            _commands.end_run(owner, run, "never")
        else:
            _ownership.start_command(owner, _start(owner, worker, run))


async def _start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    try:
        await _send_start(owner, worker, run)
    except Exception:
        # Polls find out whether the start took effect.
        if run.phase == workloads.Phase.START_SENT:
            run.phase = workloads.Phase.UNCERTAIN
        raise


async def _send_start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    try:
        reply = await platform.start_run(
            owner.workers_http,
            _commands.worker_address(worker),
            task=run.task,
            run=run.number,
            payload=run.job.spec.payload,
            deadline_ms=run.deadline_ms,
            fencing_token=owner.fencing_token,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
            timeout_s=_commands.COMMAND_TIMEOUT_S,
            may_send=lambda: (
                _ownership.may_send_commands(owner)
                and workloads.may_send_start(run)
            ),
        )
    except errors.PlatformError as error:
        if error.sent:
            if run.phase == workloads.Phase.START_SENT:
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
            _commands.end_run(owner, run, "never")
        else:
            await _resolve_unanswered_start(owner, worker, run)
        return
    if owner.deposed.is_set() or run not in run.unit.runs:
        return
    _handle_start_reply(owner, worker, run, reply)


async def _resolve_unanswered_start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    """Find out promptly whether an unanswered start took effect.

    A worker that does not list the run may still execute the start until it
    has acknowledged a stop for that run.
    """
    await _polls.poll_worker(owner, worker, wait_s=0.0)
    if (
        run.phase != workloads.Phase.UNCERTAIN
        or not _ownership.may_send_commands(owner)
    ):
        return
    run.stop_sent_at = _clock.now()
    await _commands.stop_run_on_worker(owner, worker, run)
    if run.stop_acknowledged_at and run in run.unit.runs:
        await _polls.poll_worker(owner, worker, wait_s=0.0)


async def _end_trial(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    """Poll a worker as soon as a run on trial there can be proven.

    Nothing else starts on the worker until then, and the poll in progress may
    wait for longer.
    """
    await asyncio.sleep(workloads.PROVEN_RUN_S)
    if run in run.unit.runs and not run.proven:
        await _polls.poll_worker(owner, worker, wait_s=0.0)


def _handle_start_reply(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
    reply: platform.CommandReply,
) -> None:
    now = _clock.now()
    if reply.clock_ms is not None:
        workloads.record_clock(worker, reply.clock_ms, now)
    if reply.status == 200:
        first = not run.job.started
        workloads.confirm_start(run, now=now)
        if run.on_trial:
            _ownership.start_command(owner, _end_trial(owner, worker, run))
        owner.metrics.commands.inc({"kind": "start", "outcome": "200"})
        LOG.info(
            "Run has started.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            fence=owner.fencing_token,
            resumed=bool(run.checkpoint),
            on_trial=run.on_trial,
            age_s=round(now - run.job.accepted_at, 3),
        )
        if first:
            owner.metrics.start_wait_seconds.observe(
                {"queue": run.job.spec.queue.name},
                now - run.job.accepted_at,
            )
        return
    _commands.handle_rejection(owner, worker, reply, "start")
    if reply.reason == "ticket":
        step = run.job.advice.get(run.unit.key[:2])
        if step is not None:
            step.tickets.pop(worker.key, None)
    if reply.reason == "room":
        run.unit.avoided.add(worker.key)
    if reply.reason != "fence":
        _commands.end_run(owner, run, "never")
