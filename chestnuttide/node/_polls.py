"""Poll loops of an owner: worker leases, run lists and restarts."""

import asyncio
import enum
import functools

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _fencing
from chestnuttide.node import _ownership
from chestnuttide.node import _poll_pacing
from chestnuttide.node import _poll_turns
from chestnuttide.node import _set_aside
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("worker")

# A worker answers at once while completions are not acknowledged, which they
# are once stored. A slow store delays the next poll by this time at most.
COMPLETION_COMMIT_WAIT_S = 0.1

# Pause before the next poll of a worker whose completions may not be
# acknowledged before a start is settled.
WITHHELD_PAUSE_S = 0.05


class Outcome(enum.StrEnum):
    """How a poll has ended.

    A SILENT worker did not answer in time; a LATE poll did not either, but
    the owner's own loop was late meanwhile. WITHHELD is one that the owner may
    no longer send or apply, FAULT one whose reply could not be applied.
    """

    REPLY = "reply"
    REJECTED = "rejected"
    RESTARTED = "restarted"
    BROKEN = "broken"
    SILENT = "silent"
    LATE = "late"
    WITHHELD = "withheld"
    FAULT = "fault"


def ensure_poll_loop(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Start polling a worker in the background unless it is being polled."""
    task = owner.poll_loops.get(worker.key)
    if task is None or task.done():
        owner.poll_loops[worker.key] = asyncio.ensure_future(
            _set_aside.run_loop(
                owner.set_aside,
                f"poll {worker.key}",
                functools.partial(_poll_loop, owner, worker),
            )
        )


async def _poll_loop(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    late_since = 0.0
    while not owner.deposed.is_set():
        if workloads.is_removable(worker):
            _remove(owner, worker)
            return
        if worker.stored_completion < worker.last_completion:
            await _wait_for_commit(owner)
        elif workloads.withholds_acknowledgement(worker):
            await asyncio.sleep(WITHHELD_PAUSE_S)
        if not worker.report.address or not _ownership.may_send_commands(
            owner
        ):
            await asyncio.sleep(_commands.WORKER_RETRY_PAUSE_S)
            _expire_runs(owner, worker)
            continue
        if not await _fencing.ensure_token(owner, worker):
            _expire_runs(owner, worker)
            continue
        outcome = await _try_poll(owner, worker)
        now = _clock.now()
        if outcome == Outcome.REPLY:
            late_since = 0.0
            _record_reply(owner, worker)
        elif outcome == Outcome.LATE and not worker.failed_polls:
            late_since = late_since or now
            worker.late_polls += 1
            if now - late_since >= _poll_pacing.EXCUSE_S:
                await _record_failure(owner, worker)
        elif outcome != Outcome.WITHHELD:
            await _record_failure(owner, worker)
        _expire_runs(owner, worker)


def _remove(owner: _ownership.Ownership, worker: workloads.Worker) -> None:
    workloads.remove_worker(owner.pool, worker)
    owner.pool.unknown_runs.pop(worker.key, None)
    LOG.info("Worker is no longer polled.", worker=worker.key)


def _record_reply(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    worker.late_polls = 0
    if worker.failed_polls:
        LOG.info("Worker responds again.", worker=worker.key)
        worker.failed_polls = 0
        owner.plan_requested.set()


async def _record_failure(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Count a failed poll, and pause before the next one."""
    count_failure(worker)
    await asyncio.sleep(_poll_pacing.retry_pause_s(worker.failed_polls))


def count_failure(worker: workloads.Worker) -> None:
    """Count a failed poll; the worker gets no new runs until it replies."""
    worker.failed_polls += 1
    if worker.failed_polls == 1:
        LOG.warning(
            "Worker is unresponsive.",
            worker=worker.key,
            runs=len(worker.runs),
        )


async def _try_poll(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> Outcome:
    """Poll a worker; one whose reply cannot be applied counts as silent.

    It then gets no new runs, and those that it has are started elsewhere
    once its lease has expired.
    """
    wait_s = _poll_wait_s(owner, worker)
    withheld = workloads.withholds_acknowledgement(worker)
    waits_there = _poll_pacing.may_wait(owner.pacing, busy=bool(worker.runs))
    try:
        outcome = await poll_worker(
            owner, worker, wait_s=wait_s if waits_there else 0.0
        )
    except Exception:
        owner.set_aside.count("poll")
        LOG.exception("Poll has failed.", worker=worker.key)
        return Outcome.FAULT
    if outcome == Outcome.REPLY and not waits_there:
        # The poll has renewed the lease, so the wait may follow it. It has
        # also listed the start that kept completions unacknowledged.
        await asyncio.sleep(0.0 if withheld else wait_s)
    return outcome


async def _wait_for_commit(owner: _ownership.Ownership) -> None:
    try:
        async with asyncio.timeout(COMPLETION_COMMIT_WAIT_S):
            await owner.committed.wait()
    except TimeoutError:
        LOG.debug("Completions are not stored yet.", service=owner.service)


def _poll_wait_s(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> float:
    if not worker.last_reply_at or worker.failed_polls or worker.late_polls:
        return 0.0
    if worker.runs:
        return _poll_pacing.busy_wait_s(owner.pacing)
    return _poll_pacing.IDLE_POLL_WAIT_S


async def poll_worker(
    owner: _ownership.Ownership, worker: workloads.Worker, *, wait_s: float
) -> Outcome:
    """Renew the leases of a worker's runs and apply its reported lists.

    A poll without a wait is sent once the owner's pacing admits it.
    """
    async with _poll_turns.take_turn(owner.pacing, worker, wait_s=wait_s):
        outcome = await _poll(owner, worker, wait_s=wait_s)
    owner.metrics.polls.inc({"outcome": outcome})
    return outcome


async def _poll(
    owner: _ownership.Ownership, worker: workloads.Worker, *, wait_s: float
) -> Outcome:
    address, fence = _commands.worker_address(worker), worker.fencing_token
    if not fence or not _ownership.may_send_commands(owner):
        return Outcome.WITHHELD
    sent_at = _clock.now()
    deadline_ms = workloads.poll_lease_deadline_ms(
        worker, now=sent_at, lease_s=owner.pool.limits.lease_s
    )
    if deadline_ms is not None:
        workloads.record_lease(worker, deadline_ms, now=sent_at)
    first = not worker.last_reply_at
    acknowledged = workloads.acknowledged_completion(worker)
    try:
        reply = await platform.poll_worker(
            owner.polls_http or owner.workers_http,
            address,
            fencing_token=fence,
            acknowledged_completion=acknowledged,
            deadline_ms=deadline_ms,
            wait_s=wait_s,
            timeout_s=_poll_pacing.POLL_TIMEOUT_S,
            may_send=functools.partial(
                _commands.may_send,
                owner,
                worker,
                fence,
                renews_lease=deadline_ms is not None,
            ),
        )
    except errors.PlatformError as error:
        LOG.debug("Poll failed.", worker=worker.key, error=str(error))
        now = _clock.now()
        if worker.fencing_token != fence or not _ownership.may_send_commands(
            owner
        ):
            return Outcome.WITHHELD
        if now - sent_at < wait_s + _poll_pacing.POLL_TIMEOUT_S:
            workloads.record_broken_connection(worker, now=now)
            return Outcome.BROKEN
        if _poll_pacing.was_late(owner.pacing, sent_at=sent_at, now=now):
            return Outcome.LATE
        return Outcome.SILENT
    if owner.deposed.is_set():
        return Outcome.WITHHELD
    if isinstance(reply, platform.CommandReply):
        _commands.handle_rejection(
            owner, worker, reply, "hold", address=address, fence=fence
        )
        return Outcome.REJECTED
    if sent_at < worker.ended_at:
        # A reply of a later incarnation has overtaken this one.
        return Outcome.WITHHELD
    if worker.fencing_token != fence:
        # Calls for another incarnation may have taken effect after it.
        return Outcome.WITHHELD
    if reply.born_ms != worker.report.born_ms:
        LOG.warning(
            "Poll was answered by another incarnation.",
            worker=worker.key,
            born_ms=reply.born_ms,
            fence=fence,
            deadline_ms=deadline_ms,
            acknowledged=acknowledged,
            clock_ms=reply.clock_ms,
            known_clock_ms=worker.clock_ms,
            running=len(reply.running),
            ended=len(reply.ended),
            took_s=round(_clock.now() - sent_at, 3),
        )
        replace_incarnation(owner, worker, reply.born_ms)
        return Outcome.RESTARTED
    for other in workloads.ended_incarnations(
        owner.pool, worker, polled_at=sent_at
    ):
        replace_incarnation(owner, other, reply.born_ms)
    poll_reply = workloads.PollReply(
        clock_ms=reply.clock_ms,
        running=reply.running,
        ended=reply.ended,
        more_ended=reply.more_ended,
        sent_at=sent_at,
        received_at=_clock.now(),
    )
    completions = workloads.apply_poll_reply(
        owner.pool,
        worker,
        poll_reply,
        now_unix_s=_clock.unix_time(),
    )
    for run, outcome in completions:
        _commands.log_completion(owner, run, outcome)
    if first:
        LOG.info(
            "Worker incarnation has answered.",
            worker=worker.key,
            fence=fence,
            clock_ms=reply.clock_ms,
            running=len(reply.running),
            ended=len(reply.ended),
            first_completion=reply.ended[0].number if reply.ended else 0,
        )
        _stop_unanswered_starts(owner, worker)
    if completions or first:
        _handle_completions(owner, [run for run, _ in completions])
    _reconcile_runs(owner, worker)
    return Outcome.REPLY


def _stop_unanswered_starts(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    """Stop starts that were sent to former incarnations of a worker.

    A new incarnation might still execute a start that was never answered.
    """
    starts = owner.pool.unanswered_starts.pop(worker.report.id, set())
    for task, number in starts:
        _ownership.start_command(
            owner, _commands.stop_unknown_run(owner, worker, task, number)
        )


def _handle_completions(
    owner: _ownership.Ownership, runs: list[workloads.Run]
) -> None:
    """Request a plan and a commit after completions.

    The commit is urgent if a job has ended, because a caller waits for that.
    """
    owner.plan_requested.set()
    _ownership.request_commit(
        owner,
        urgent=any(run.job.state in workloads.TERMINAL_STATES for run in runs),
    )


def _reconcile_runs(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    if worker.stored_completion < worker.last_completion:
        _ownership.request_commit(owner, urgent=False)
    for task, number in owner.pool.unknown_runs.get(worker.key, ()):
        LOG.warning(
            "Worker reports a run of no known job; stopping it.",
            worker=worker.key,
            task=task,
            run=number,
        )
        _ownership.start_command(
            owner, _commands.stop_unknown_run(owner, worker, task, number)
        )
    for run in workloads.throttle_fillers(worker):
        _ownership.start_command(
            owner, _commands.throttle_run(owner, worker, run)
        )
    _commands.send_due_stops(owner, worker)


def expire_silent_leases(owner: _ownership.Ownership) -> None:
    """End the runs of silent workers whose leases have expired.

    The poll loop of such a worker gets there only after a timeout and a pause.
    """
    for worker in list(owner.pool.workers.values()):
        if worker.failed_polls:
            _expire_runs(owner, worker)


def _expire_runs(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> None:
    expired = workloads.expire_worker_lease(
        owner.pool,
        worker,
        now=_clock.now(),
        now_unix_s=_clock.unix_time(),
    )
    for run in expired:
        _commands.log_completion(owner, run, "lapsed in silence")
    if expired:
        now = _clock.now()
        LOG.warning(
            "Lease of a silent worker has expired.",
            worker=worker.key,
            runs=len(expired),
            unanswered=sum(run.unanswered for run in expired),
            silent_s=round(now - worker.last_reply_at, 3),
            expired_s=round(now - worker.lease_until, 3),
            clock_ms=worker.clock_ms,
        )
        owner.plan_requested.set()
        _ownership.request_commit(owner, urgent=False)


def replace_incarnation(
    owner: _ownership.Ownership, worker: workloads.Worker, born_ms: int
) -> None:
    """Replace a worker that has restarted under the same id."""
    reassigned = workloads.start_incarnation(owner.pool, worker, born_ms)
    for run in reassigned:
        LOG.warning(
            "Start may have reached a new incarnation.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
        )
    for successor in workloads.list_incarnations(owner.pool, worker.report.id):
        if successor.report.born_ms == born_ms:
            ensure_poll_loop(owner, successor)
    _commands.end_incarnation(owner, worker, "restarted")
