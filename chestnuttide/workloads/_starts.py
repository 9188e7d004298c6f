"""Start commands of runs: their leases, and whether one may still be sent."""

import math

from chestnuttide import model
from chestnuttide.workloads import _advisor_queries
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _poll_replies
from chestnuttide.workloads import _state

# Lease that a start requests. Once it expires, an unanswered start can no
# longer take effect.
START_LEASE_S = 2.5

# Without a ticket, a worker is confirmed by a reply to a poll that was sent
# within this time.
CONFIRMATION_S = 0.5

# Pause of a worker after it has refused a start as unhealthy, doubled with
# each further one. Its task is planned again after half of the first pause,
# and then has to go elsewhere.
REFUSAL_PAUSE_S = 0.5
MAX_REFUSAL_PAUSE_S = 2.0


def begin_start(
    pool: _state.Pool, run: _state.Run, *, now: float
) -> _state.Worker | None:
    """Record the lease of a planned run whose start is about to be sent.

    The run and the lease change together. The lease of an idle worker has
    expired long ago, and a run that had left `Phase.PLANNED` under that lease
    would be ended as expired although its start is yet to be sent.

    Returns
    -------
    Worker or None
        The worker to send the start to; None if it can no longer be started
        there, because the worker has left, has restarted or has less capacity
        than when the run was planned.
    """
    worker = pool.workers.get(run.worker_key)
    if worker is None or not worker.listed or worker.clock_at is None:
        return None
    if not _fits(worker, run.need):
        return None
    run.deadline_ms = _poll_replies.lease_deadline_ms(
        worker, now=now, lease_s=START_LEASE_S
    )
    _poll_replies.record_lease(worker, run.deadline_ms, now=now)
    run.phase = _state.Phase.START_SENT
    run.start_sent_at = now
    # Other tasks would only be tried sooner, on further workers that are about
    # to fall silent, and be given up as the cause of their crashes.
    lasting = _lifecycle.step_of(run.unit, run.job).lasting
    run.located = lasting and _is_ticket_confirmed(worker, run)
    return worker


def needs_confirmation(
    pool: _state.Pool, run: _state.Run, *, now: float
) -> bool:
    """Return whether a run's worker should answer a poll before the start.

    An idle worker may have been silent for as long as a poll waits there. A
    task that lasts would then wait for the time in which its start may still
    be executed, and for the longest lease after that. A ticket that was issued
    before a reply is valid in no later incarnation, which spares most of that
    wait if the worker falls silent after all.
    """
    worker = pool.workers.get(run.worker_key)
    if worker is None or not _lifecycle.step_of(run.unit, run.job).lasting:
        return False
    if run.ticket:
        return not _is_ticket_confirmed(worker, run)
    return now - worker.answered_poll_at > CONFIRMATION_S


def _is_ticket_confirmed(worker: _state.Worker, run: _state.Run) -> bool:
    """Return whether a run's ticket is valid in no later incarnation.

    A ticket is valid in the incarnation that lives when it is issued. One that
    has answered a poll sent after that lived then, or began later.
    """
    advice = run.job.advice.get(run.unit.key[:2])
    if not run.ticket or advice is None:
        return False
    ticket, _ = advice.tickets.get(worker.key, ("", 0.0))
    issued_by = advice.received_at.get(worker.key, math.inf)
    return ticket == run.ticket and worker.answered_poll_at >= issued_by


def _fits(worker: _state.Worker, need: model.Resources) -> bool:
    """Return whether a worker has the capacity allocated for a planned run.

    Its capacity may have shrunk while the run's record was being stored. Only
    the resources that the run needs count.
    """
    capacity, used = worker.report.capacity, worker.used
    return (
        (not need.cpu_millis or used.cpu_millis <= capacity.cpu_millis)
        and (not need.memory_mb or used.memory_mb <= capacity.memory_mb)
        and (
            not need.accelerators or used.accelerators <= capacity.accelerators
        )
    )


def has_valid_ticket(run: _state.Run, *, arrives_at: float) -> bool:
    """Return whether a start's ticket is valid when the start arrives.

    A newer ticket for the same step and worker takes the place of the run's.
    A run that needs no ticket has none.
    """
    advice = run.job.advice.get(run.unit.key[:2])
    if not run.ticket or advice is None:
        return True
    ticket, usable_until = advice.tickets.get(run.worker_key, ("", 0.0))
    policy = run.job.spec.queue.advice
    margin_s = 0.0
    if policy is not None:
        margin_s = _advisor_queries.ticket_margin_s(policy)
    if not ticket or usable_until + margin_s <= arrives_at:
        return False
    run.ticket = ticket
    return True


def record_refusal(worker: _state.Worker, *, now: float) -> None:
    """Pause a worker that has refused a start as unhealthy.

    It stays empty, so that it would get the same task again and again.
    """
    worker.refusals += 1
    # The exponent is bounded, as a worker may refuse starts for days.
    doublings = min(worker.refusals - 1, 10)
    worker.refuses_until = now + min(
        MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2**doublings
    )


def is_unsent(run: _state.Run) -> bool:
    """Return whether a recorded run still exists and was not sent yet.

    A run that is only planned is dropped when its job is cancelled.
    """
    return (
        run in run.unit.runs
        and run.phase == _state.Phase.PLANNED
        and not run.stopping
    )


def count_planned(pool: _state.Pool) -> int:
    """Return how many planned runs were not sent yet."""
    return sum(
        run.phase == _state.Phase.PLANNED
        for worker in pool.workers.values()
        for run in worker.runs.values()
    )


def may_send_start(run: _state.Run) -> bool:
    """Return whether a start that has begun may still be sent.

    A process that was paused since `begin_start` may have ended the run
    meanwhile, and its task may already run elsewhere.
    """
    return (
        run in run.unit.runs
        and run.phase == _state.Phase.START_SENT
        and not run.stopping
    )
