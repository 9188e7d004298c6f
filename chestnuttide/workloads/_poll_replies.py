"""Applies the poll replies of workers, and keeps track of their leases."""

import math
import typing

import attrs

from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _worker_index

# Lowest rate of a worker's clock, as a share of real time. The clock may run
# 2% slow, and a lease on it then lasts longer.
MIN_CLOCK_RATE = 0.98

# Added to the computed expiry of a lease, to cover rounding.
EXPIRY_MARGIN_S = 0.1

# Longest time between the sending of a call and its execution by a worker,
# unless its answer is lost.
CALL_S = 0.4

# Longest time after which a call whose answer was lost is executed; the
# platform says "seconds".
LATE_CALL_S = 15.0

# A run that is listed for this long gets into its job's record as one whose
# lease is known. Most runs are shorter and cost no further write; those of
# tasks that last are not, and get into it at once.
LEASE_RECORD_S = 4.0


class RunReport(typing.Protocol):
    """A run that a worker lists as running; see ``platform.RunReport``."""

    task: str
    run: int
    checkpoint: str
    percent: float
    latency_ms_or_cpu: float


class Completion(typing.Protocol):
    """A completion that a worker lists; see ``platform.Completion``."""

    number: int
    task: str
    run: int
    result: str
    checkpoint: str


@attrs.frozen(kw_only=True, slots=True)
class PollReply:
    """A worker's reply to a poll, with the times of the call.

    Attributes
    ----------
    clock_ms : int
        The worker's clock when it replied.
    running : tuple of RunReport
        All runs that the worker is executing.
    ended : tuple of Completion
        Completions that are not yet acknowledged, oldest first.
    sent_at, received_at : float
        Monotonic times of the request and the reply.
    more_ended : bool
        Whether there may be further completions than those in `ended`.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[Completion, ...]
    sent_at: float
    received_at: float
    more_ended: bool = False


def record_clock(
    worker: _state.Worker, clock_ms: int, received_at: float
) -> None:
    """Record a reading of a worker's clock, unless a newer one is known."""
    if clock_ms >= worker.clock_ms:
        worker.clock_ms = clock_ms
        worker.clock_at = received_at


def lease_deadline_ms(
    worker: _state.Worker, *, now: float, lease_s: float
) -> int | None:
    """Return the expiry of a new lease on the worker's clock.

    Returns
    -------
    int or None
        Milliseconds of the worker's clock; None before its first reading.
    """
    if worker.clock_at is None:
        return None
    return worker.clock_ms + int((now - worker.clock_at + lease_s) * 1000)


def poll_lease_deadline_ms(
    worker: _state.Worker, *, now: float, lease_s: float
) -> int | None:
    """Return the lease expiry that a poll requests, or None for no lease.

    An unanswered poll may still have renewed the lease. Polls of an
    unresponsive worker therefore request none, so that the lease expires and
    its runs can be restarted elsewhere.
    """
    if not worker.runs or worker.failed_polls or worker.late_polls:
        return None
    return lease_deadline_ms(worker, now=now, lease_s=lease_s)


def update_stored_completion(worker: _state.Worker) -> None:
    """Update the number of the last completion that is stored.

    A completion is stored once its job's record contains it. Completions are
    acknowledged in sequence, so one that is not stored holds back the rest.
    """
    unstored = worker.unstored
    while unstored and unstored[0].job.stored_change >= unstored[0].change:
        unstored.popleft()
    worker.stored_completion = (
        unstored[0].number - 1 if unstored else worker.last_completion
    )


def is_removable(worker: _state.Worker) -> bool:
    """Return whether a worker can be removed from the pool.

    The store may lose the entry of a live worker and list it again later. A
    worker with unstored completions is kept, because the next poll would
    otherwise not find their runs and would acknowledge them.
    """
    return not worker.listed and not worker.runs and not worker.unstored


def acknowledged_completion(worker: _state.Worker) -> int:
    """Return the number up to which a poll may acknowledge completions.

    The worker may have restarted, and a new incarnation numbers its
    completions from 1. The number stored for the former incarnation does not
    apply to them. Nothing is acknowledged to a worker that failed to answer,
    nor while a start may have reached a new incarnation.
    """
    if worker.failed_polls or worker.late_polls:
        return 0
    # The completion that settles a start may be behind a full list.
    if not worker.more_completions and any(
        not run.located and run.phase != _state.Phase.PLANNED
        for run in worker.runs.values()
    ):
        return 0
    return worker.stored_completion


def withholds_acknowledgement(worker: _state.Worker) -> bool:
    """Return whether the worker lists completions that no poll acknowledges.

    It answers each poll at once then.
    """
    return worker.awaits_job or (
        worker.lists_completions
        and worker.stored_completion > 0
        and not acknowledged_completion(worker)
    )


def record_lease(
    worker: _state.Worker, deadline_ms: int, *, now: float
) -> None:
    """Extend the recorded lease by a command that may have been executed.

    It holds for the incarnation that the command is meant for; see
    `record_sent_lease`.
    """
    remaining_s = (deadline_ms - worker.clock_ms) / 1000
    until = worker.clock_at + lease_bound_s(remaining_s)
    worker.lease_until = max(worker.lease_until, until, now)
    worker.latest_deadline_ms = max(worker.latest_deadline_ms, deadline_ms)


def lease_bound_s(lease_s: float) -> float:
    """Return the longest time that a lease lasts on a worker's clock."""
    return lease_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S


def longest_lease_s(limits: _state.TimeLimits) -> float:
    """Return the longest time for which a worker may hold any lease."""
    return lease_bound_s(limits.longest_lease_s)


def record_sent_lease(
    pool: _state.Pool, worker: _state.Worker, *, now: float
) -> None:
    """Record that a command which renews leases is being sent.

    A later incarnation of the worker may execute it. The deadline is far ahead
    of its clock, which has started anew, so it grants its longest lease.
    """
    worker.unlocated_lease_until = max(
        worker.unlocated_lease_until,
        now + CALL_S + longest_lease_s(pool.limits),
    )
    pool.renewals[worker.report.id] = now


def lease_end(worker: _state.Worker, run: _state.Run) -> float:
    """Return the time by which a run has ended unless its lease is renewed."""
    return _lease_end(worker, run, _unlocated_lease_end(worker))


def _lease_end(
    worker: _state.Worker, run: _state.Run, unlocated_end: float
) -> float:
    if run.located:
        return worker.lease_until
    if not run.answered_at:
        return unlocated_end
    # Whichever incarnation has answered, its lease ends by the latest deadline
    # on the clock that it told, unless other owners, or calls for another
    # incarnation, may have reached it.
    remaining_s = (worker.latest_deadline_ms - run.answer_clock_ms) / 1000
    answered_end = max(
        run.answered_at + lease_bound_s(max(0.0, remaining_s)),
        worker.earlier_leases_until,
    )
    return max(worker.lease_until, min(unlocated_end, answered_end))


def _unlocated_lease_end(worker: _state.Worker) -> float:
    """Return the latest end of runs that a later incarnation may execute."""
    late_s = max(map(_late_start_s, worker.runs.values()), default=0.0)
    return max(worker.lease_until, worker.unlocated_lease_until + late_s)


def _late_start_s(run: _state.Run) -> float:
    """Return how long after it was sent a run's start may be executed.

    A start without an answer may also renew the lease of the other runs of an
    incarnation that the owner does not know of. A worker rejects one whose
    ticket is not valid any more.
    """
    if run.located or not (
        run.unanswered or run.phase == _state.Phase.START_SENT
    ):
        return 0.0
    advice = run.job.spec.queue.advice
    if advice is None:
        return LATE_CALL_S
    return min(LATE_CALL_S, advice.validity_s / MIN_CLOCK_RATE)


def record_unanswered_start(run: _state.Run) -> None:
    """Record that a start was sent and that its outcome is unknown.

    Poll replies find out whether it took effect.
    """
    run.unanswered = True
    if run.phase == _state.Phase.START_SENT:
        run.phase = _state.Phase.UNCERTAIN


def record_broken_connection(worker: _state.Worker, *, now: float) -> None:
    """Record that a worker's connection broke, as it does in a crash.

    The time shows which runs had only just started. Only the first time since
    the worker's last reply counts.
    """
    worker.broken_at = worker.broken_at or now


def apply_poll_reply(
    pool: _state.Pool,
    worker: _state.Worker,
    reply: PollReply,
    *,
    now_unix_s: float,
) -> list[tuple[_state.Run, str]]:
    """Apply a poll reply to the pool.

    Returns
    -------
    list of (Run, str)
        Runs that have ended, and how each ended, for the log.
    """
    now = reply.received_at
    record_clock(worker, reply.clock_ms, now)
    if worker.lost_at or not worker.last_reply_at:
        _crashes.refute_crash(pool, worker)
        worker.lost_at = 0.0
    if not worker.last_reply_at:
        _inherit_lease(pool, worker, now)
    worker.last_reply_at = now
    worker.answered_poll_at = max(worker.answered_poll_at, reply.sent_at)
    worker.awaits_job = False
    worker.lists_completions = bool(reply.ended)
    worker.more_completions = reply.more_ended
    worker.broken_at = 0.0
    completions: list[tuple[_state.Run, str]] = []

    def complete(run: _state.Run, result: str, checkpoint: str) -> None:
        if result == "done":
            _lifecycle.record_success(worker)
        completions.append((run, result))
        _lifecycle.end_run(
            pool, run, result, checkpoint, now=now, now_unix_s=now_unix_s
        )

    completed_keys = {(row.task, row.run) for row in reply.ended}
    for row in reply.ended:
        if row.number <= worker.last_completion:
            continue
        run = worker.runs.get((row.task, row.run))
        if run is None and _awaits_job(pool, row, now):
            worker.awaits_job = True
            break
        if run is not None:
            complete(run, row.result, row.checkpoint)
            worker.unstored.append(
                _state.UnstoredCompletion(
                    number=row.number, job=run.job, change=run.job.change
                )
            )
        # Last, so that a completion whose handling fails is not skipped.
        worker.last_completion = row.number
    listed = {(row.task, row.run): row for row in reply.running}
    for key, row in listed.items():
        run = worker.runs.get(key)
        if run is not None:
            _record_running(worker, run, row, now)
    for run in list(worker.runs.values()):
        if run.key in listed or run.key in completed_keys:
            continue
        result = _infer_completion(run, reply)
        if result:
            complete(run, result, "")
    _record_unknown_runs(pool, worker, listed, completed_keys)
    update_stored_completion(worker)
    return completions


def _awaits_job(pool: _state.Pool, row: Completion, now: float) -> bool:
    """Return whether the job of a completion may still become known.

    The completion is neither used nor acknowledged before that. Its run was
    started by a former owner, whose calls end at a known time.
    """
    job_id = row.task.partition(".")[0]
    return (
        job_id in pool.awaited_progress
        and now < pool.former_calls_until + LATE_CALL_S
    )


def _inherit_lease(
    pool: _state.Pool, worker: _state.Worker, now: float
) -> None:
    """Record the lease that a worker may hold at its first reply.

    Until it has seen the fencing token of this reply's poll, it may have
    executed calls for its former incarnation, of this or a former owner, and
    granted any lease. A run whose lease the former owner knew rules that out.
    """
    if any(run.located for run in worker.runs.values()):
        return
    sent_until = max(
        pool.renewals.get(worker.report.id, -math.inf), pool.former_calls_until
    )
    granted_at = min(now, sent_until + LATE_CALL_S)
    inherited = granted_at + longest_lease_s(pool.limits)
    if inherited > now:
        worker.inherited_lease_until = inherited
        worker.lease_until = max(worker.lease_until, inherited)


def _record_running(
    worker: _state.Worker, run: _state.Run, row: RunReport, now: float
) -> None:
    run.listed = run.located = True
    if run.phase != _state.Phase.RUNNING:
        run.phase = _state.Phase.RUNNING
        run.confirmed_at = now
        run.progress_at = now
        run.job.started = True
        run.unit.first_started_at = run.unit.first_started_at or now
        if run.job.state == _state.JobState.QUEUED:
            run.job.state = _state.JobState.RUNNING
    if row.percent != run.percent:
        percent_s = (now - run.progress_at) / max(
            1.0, row.percent - run.percent
        )
        run.slowest_percent_s = max(run.slowest_percent_s, percent_s)
        run.percent = row.percent
        run.progress_at = now
    if run.speed_percent < 100:
        # A throttled run may not get to its next percent for long.
        run.progress_at = now
    run.latency_ms_or_cpu = row.latency_ms_or_cpu
    listed_s = now - run.confirmed_at
    if run.unit.crashes:
        _crashes.refute_by_run(run, settled=listed_s >= _state.PROVEN_RUN_S)
    if listed_s >= _crashes.trial_s(run.unit):
        _state.prove_run(worker, run)
    if row.checkpoint and row.checkpoint != run.checkpoint:
        run.checkpoint = row.checkpoint
    lasting = _lifecycle.step_of(run.unit, run.job).lasting
    if (
        not run.lease_known
        and (lasting or listed_s >= LEASE_RECORD_S)
        and now >= worker.inherited_lease_until
    ):
        run.lease_known = True
        _state.mark_changed(run.job)


def _infer_completion(run: _state.Run, reply: PollReply) -> str:
    """Return how a run that the reply does not list ended, or "".

    Nothing can be inferred while the worker has completions that the reply
    had no room for: the run's may be among them. Otherwise, a reply to a poll
    that was sent after the start was confirmed would list the run. An
    unanswered start can no longer take effect once the worker's clock has
    passed the start's lease, or once the worker has seen a new owner's
    fencing token.
    """
    if reply.more_ended:
        return ""
    if run.phase == _state.Phase.RUNNING:
        return "lost" if reply.sent_at > run.confirmed_at else ""
    if run.phase == _state.Phase.UNCERTAIN:
        rejected = 0 < run.stop_acknowledged_at < reply.sent_at
        if rejected or reply.clock_ms > run.deadline_ms:
            return "never"
    return ""


def _record_unknown_runs(
    pool: _state.Pool,
    worker: _state.Worker,
    listed: dict[_state.RunKey, RunReport],
    completed_keys: set[_state.RunKey],
) -> None:
    unknown = {
        key
        for key in listed
        if key not in worker.runs and key not in completed_keys
    }
    if unknown:
        pool.unknown_runs[worker.key] = unknown
    else:
        pool.unknown_runs.pop(worker.key, None)


def confirm_start(
    run: _state.Run, *, now: float, clock_ms: int | None = None
) -> None:
    """Record that the worker has accepted a run's start.

    Parameters
    ----------
    run : Run
        The run.
    now : float
        Monotonic time of the answer.
    clock_ms : int or None
        Reading of the worker's clock in the answer, if it has one.
    """
    if clock_ms is not None:
        run.answer_clock_ms, run.answered_at = clock_ms, now
    if run.phase in (_state.Phase.START_SENT, _state.Phase.UNCERTAIN):
        run.phase = _state.Phase.RUNNING
        run.confirmed_at = now
        run.progress_at = now
        run.job.started = True
        run.unit.first_started_at = run.unit.first_started_at or now
        if run.job.state == _state.JobState.QUEUED:
            run.job.state = _state.JobState.RUNNING


def expire_worker_lease(
    pool: _state.Pool,
    worker: _state.Worker,
    *,
    now: float,
    now_unix_s: float,
) -> list[_state.Run]:
    """End the runs of an unresponsive worker whose lease has expired."""
    if not worker.runs or now < worker.lease_until:
        return []
    unlocated_end = _unlocated_lease_end(worker)
    expired = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED
        and now >= _lease_end(worker, run, unlocated_end)
    ]
    if expired:
        worker.lost_at = now
        _crashes.record_crash(pool, worker)
    for run in expired:
        if run.phase != _state.Phase.RUNNING:
            pool.unanswered_starts.setdefault(worker.report.id, set()).add(
                run.key
            )
        _lifecycle.end_run(
            pool, run, "lost", "", now=now, now_unix_s=now_unix_s
        )
    return expired


def update_worker(
    pool: _state.Pool,
    report: _specs.WorkerReport,
    *,
    now: float,
    lease_until: float,
) -> _state.Worker:
    """Add or update a worker from its entry in the store.

    Each incarnation of a worker is a separate `Worker`.
    """
    key = _state.worker_key(report)
    worker = pool.workers.get(key)
    if worker is None:
        _forget_renewals(pool, now)
        worker = _state.Worker(
            key=key,
            report=report,
            lease_until=lease_until,
            known_since=now,
            earlier_leases_until=_earlier_leases_until(pool, report, now),
        )
        for other in _worker_index.list_incarnations(pool, report.id):
            other.earlier_leases_until = math.inf
        _worker_index.add_worker(pool, worker)
    worker.report = report
    for other in _worker_index.list_incarnations(pool, report.id):
        # The store lists one incarnation at a time. A poll reply tells
        # whether the others have ended.
        other.listed = other is worker
    if not report.draining:
        worker.draining_since = 0.0
    elif not worker.draining_since:
        worker.draining_since = now
    return worker


def _earlier_leases_until(
    pool: _state.Pool, report: _specs.WorkerReport, now: float
) -> float:
    """Return when the leases have expired that other owners' calls granted.

    Owners before this one, and those of other services until now, may have
    called a worker of which this owner learns.
    """
    if report.id in pool.renewals or report.id in pool.incarnations:
        return math.inf
    sent_until = max(now, pool.former_calls_until)
    return sent_until + LATE_CALL_S + longest_lease_s(pool.limits)


def _forget_renewals(pool: _state.Pool, now: float) -> None:
    """Forget calls to workers that have left, which no longer matter."""
    past = now - LATE_CALL_S - longest_lease_s(pool.limits)
    for worker_id in [
        worker_id
        for worker_id, sent_at in pool.renewals.items()
        if sent_at < past and worker_id not in pool.incarnations
    ]:
        del pool.renewals[worker_id]
