"""Start commands for recorded runs, and recovery if one is unanswered."""

import asyncio
import contextlib

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _start_window
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# A start that fails after this time was too late, and was not refused.
TIMED_OUT_S = 0.9 * _commands.COMMAND_TIMEOUT_S

# Answers of an unhealthy worker, which has done nothing then.
REFUSALS = (429, 503)

# An owner that is behind waits for this long for the polls in progress to list
# a run whose start was not answered. It is less than the time after which a
# stop is sent again, so that the supervision sends none of its own.
SETTLE_S = 0.45


def start_recorded_runs(
    owner: _ownership.Ownership, job: workloads.Job
) -> None:
    """Start the planned runs of an accepted job whose record is stored."""
    if not job.accepted:
        return
    now = _clock.now()
    for unit in job.units.values():
        for run in unit.runs:
            if run.recorded and workloads.is_unsent(run):
                _start_window.add(owner.starts, run, now=now)
    send_waiting_starts(owner)


def send_waiting_starts(owner: _ownership.Ownership) -> None:
    """Send the starts that the window has room for, most urgent first."""
    now = _clock.now()
    window = owner.starts
    while not owner.deposed.is_set():
        start = _start_window.take_next(window)
        if start is None:
            break
        try:
            _send_or_plan_anew(owner, start, now)
        except Exception as error:
            # The run has left the window, so nothing else would end it.
            with contextlib.suppress(Exception):
                _commands.end_run(owner, start.run, "never")
            _ownership.set_job_aside(owner, start.run.job, error)
    put_off = _start_window.count_put_off(window)
    if put_off:
        owner.metrics.put_off.add({"reason": "window"}, put_off)


def _send_or_plan_anew(
    owner: _ownership.Ownership,
    start: _start_window.WaitingStart,
    now: float,
) -> None:
    run = start.run
    # Dropped with its job, or with another member of its gang.
    if not workloads.is_unsent(run):
        return
    reason = _reason_against(owner, start, now)
    if reason:
        _plan_anew(owner, run, reason)
        return
    if workloads.needs_confirmation(owner.pool, run, now=now):
        owner.starts.confirming.add(run)
        _ownership.start_command(owner, _confirm_worker(owner, run))
        return
    worker = workloads.begin_start(owner.pool, run, now=now)
    if worker is None:
        _commands.end_run(owner, run, "never")
        return
    _start_window.record_sent(owner.starts, worker.key)
    _ownership.start_command(owner, _start(owner, worker, run))


async def _confirm_worker(
    owner: _ownership.Ownership, run: workloads.Run
) -> None:
    """Poll a run's worker, and let the start wait again if it replies."""
    worker = owner.pool.workers.get(run.worker_key)
    outcome = _polls.Outcome.FAULT
    try:
        if worker is not None:
            outcome = await _polls.poll_worker(owner, worker, wait_s=0.0)
    except Exception:
        owner.set_aside.count("poll")
        LOG.exception("Poll has failed.", worker=run.worker_key)
    finally:
        owner.starts.confirming.discard(run)
    if owner.deposed.is_set() or not workloads.is_unsent(run):
        return
    if outcome == _polls.Outcome.REPLY:
        _start_window.add(owner.starts, run, now=_clock.now())
        send_waiting_starts(owner)
        return
    if outcome in (_polls.Outcome.SILENT, _polls.Outcome.BROKEN):
        _polls.count_failure(worker)
    _plan_anew(owner, run, "unconfirmed_worker")
    owner.plan_requested.set()


def supervise(owner: _ownership.Ownership) -> None:
    """Plan the starts anew that can no longer be sent, and send others."""
    now = _clock.now()
    window = owner.starts
    unsendable = _start_window.take_unsendable(
        window, lambda start: _reason_against(owner, start, now)
    )
    for run, reason in unsendable:
        if workloads.is_unsent(run):
            _plan_anew(owner, run, reason)
    send_waiting_starts(owner)
    owner.metrics.start_window.set(
        {"service": owner.service}, int(window.size)
    )


def _reason_against(
    owner: _ownership.Ownership,
    start: _start_window.WaitingStart,
    now: float,
) -> str:
    """Return why a start is not to be sent, or ""."""
    run = start.run
    if not workloads.is_unsent(run):
        return "dropped"
    if not _arrives_with_ticket(owner, run, now):
        return "expired_ticket"
    if now - start.since < _start_window.SHORT_WAIT_S:
        return ""
    worker = owner.pool.workers.get(run.worker_key)
    if worker is None or not workloads.is_usable(worker, now):
        return "unusable_worker"
    # A gang of which a member was sent would be stopped and start over.
    if now - start.since > _start_window.MAX_WAIT_S and all(
        map(workloads.is_unsent, run.unit.runs)
    ):
        return "waited"
    return ""


def _arrives_with_ticket(
    owner: _ownership.Ownership, run: workloads.Run, now: float
) -> bool:
    return workloads.has_valid_ticket(
        run, arrives_at=now + owner.starts.latency_s
    )


def _plan_anew(
    owner: _ownership.Ownership, run: workloads.Run, reason: str
) -> None:
    """End a run whose start was never sent, so that it is planned anew."""
    owner.metrics.retries.inc({"reason": f"start_{reason}"})
    LOG.info(
        "Start is planned anew.",
        job=run.job.spec.id,
        task=run.task,
        run=run.number,
        worker=run.worker_key,
        reason=reason,
    )
    _commands.end_run(owner, run, "never")


async def _start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    try:
        await _send_start(owner, worker, run)
    except Exception:
        if run.phase != workloads.Phase.RUNNING:
            workloads.record_unanswered_start(run)
        raise


async def _send_start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    address, fence = _commands.worker_address(worker), worker.fencing_token
    try:
        reply = await _call_worker(owner, worker, run, address, fence)
    except errors.PlatformError as error:
        if error.sent:
            workloads.record_unanswered_start(run)
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
    if reply.status != 200:
        _commands.handle_rejection(
            owner, worker, reply, "start", address=address, fence=fence
        )
    _handle_start_reply(owner, worker, run, reply, fence)


async def _call_worker(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
    address: platform.WorkerAddress,
    fence: int,
) -> platform.CommandReply:
    """Send a start, and let the window learn from what became of it."""
    sent_at = _clock.now()
    window = owner.starts
    ticket = run.ticket
    try:
        reply = await platform.start_run(
            owner.workers_http,
            address,
            task=run.task,
            run=run.number,
            payload=run.job.spec.payload,
            deadline_ms=run.deadline_ms,
            fencing_token=fence,
            checkpoint=run.checkpoint,
            ticket=ticket,
            timeout_s=_commands.COMMAND_TIMEOUT_S,
            may_send=lambda: (
                workloads.may_send_start(run)
                and _arrives_with_ticket(owner, run, _clock.now())
                # A newer one is not in the request.
                and run.ticket == ticket
                and _commands.may_send(owner, worker, fence, renews_lease=True)
            ),
        )
    except errors.PlatformError:
        now = _clock.now()
        if now - sent_at >= TIMED_OUT_S:
            _shrink_window(owner, worker.key, sent_at, now)
        raise
    else:
        _start_window.record_answer(window, worker.key, _clock.now() - sent_at)
        return reply
    finally:
        _start_window.record_end(window, worker.key)
        send_waiting_starts(owner)


def _shrink_window(
    owner: _ownership.Ownership, worker_key: str, sent_at: float, now: float
) -> None:
    window = owner.starts
    if not _start_window.record_unanswered(
        window, worker_key, sent_at=sent_at, now=now
    ):
        return
    if _start_window.may_log_shrink(window, now=now):
        LOG.warning(
            "Starts are not answered in time; sending fewer at once.",
            service=owner.service,
            window=int(window.size),
            waiting=len(window.waiting),
            mean_answer_s=round(window.latency_s, 3),
        )


async def _resolve_unanswered_start(
    owner: _ownership.Ownership,
    worker: workloads.Worker,
    run: workloads.Run,
) -> None:
    """Find out promptly whether an unanswered start took effect.

    A worker that does not list the run may still execute the start until it
    has acknowledged a stop for that run. An owner that is behind leaves it to
    the poll loop to list the run: further calls would put it further behind,
    and the stop of a start that is only late throws work away.
    """
    unanswered_at = _clock.now()
    if (
        run.phase == workloads.Phase.UNCERTAIN
        and not run.stopping
        and _start_window.is_behind(owner.starts, now=unanswered_at)
    ):
        run.stop_sent_at = unanswered_at
        await asyncio.sleep(SETTLE_S)
    if (
        run.phase == workloads.Phase.UNCERTAIN
        and worker.last_reply_at <= unanswered_at
    ):
        await _polls.poll_worker(owner, worker, wait_s=0.0)
    if (
        run.phase != workloads.Phase.UNCERTAIN
        # The worker has restarted, and its new incarnation settles the run.
        or run.worker_key != worker.key
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
    fence: int,
) -> None:
    now = _clock.now()
    known_clock_ms = worker.clock_ms
    if reply.clock_ms is not None:
        workloads.record_clock(worker, reply.clock_ms, now)
    if reply.status == 200:
        first = not run.job.started
        worker.refusals = 0
        workloads.confirm_start(run, now=now, clock_ms=reply.clock_ms)
        if run.on_trial:
            _ownership.start_command(owner, _end_trial(owner, worker, run))
        owner.metrics.commands.inc({"kind": "start", "outcome": "200"})
        LOG.info(
            "Run has started.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            fence=fence,
            deadline_ms=run.deadline_ms,
            clock_ms=reply.clock_ms,
            known_clock_ms=known_clock_ms,
            sent_s=round(now - run.start_sent_at, 3),
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
    if reply.reason == "ticket":
        step = run.job.advice.get(run.unit.key[:2])
        known, _ = (
            ("", 0.0)
            if step is None
            else step.tickets.get(worker.key, ("", 0.0))
        )
        if known and known == run.ticket:
            del step.tickets[worker.key]
    if reply.status in REFUSALS:
        workloads.record_refusal(worker, now=now)
    if reply.reason == "room":
        run.unit.avoided.add(worker.key)
    # A new owner settles the run; its own call may have started it.
    if not owner.deposed.is_set():
        _commands.end_run(owner, run, "never")
