"""Advisor queries that are needed, and the results of answered ones."""

import collections.abc
import typing

import attrs

from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# The advisor assesses at most this many workers in one query.
MAX_QUERY_WORKERS: typing.Final = 100

# A ticket must stay valid for the store write and the call of a start. One of
# a very short validity is used for half of it, as its job would never start
# otherwise.
TICKET_MARGIN_S: typing.Final = 0.15

# A query names so many workers that they lengthen the call by this share at
# most. Whether a worker may run a step never changes, so naming many at once
# saves later calls.
QUERY_TIME_SHARE: typing.Final = 0.5


@attrs.frozen(kw_only=True, slots=True, eq=False)
class AdvisorQuery:
    """An advisor query that should be sent.

    Attributes
    ----------
    job : Job
        Job that the step belongs to.
    occurrence, step : int
        The step that the query is about.
    workers : tuple of Worker
        Workers that the advisor has to assess for the step.
    """

    job: _state.Job
    occurrence: int
    step: int
    workers: tuple[_state.Worker, ...]

    @property
    def duration_s(self) -> float:
        """Expected duration of the call, in seconds."""
        return call_duration_s(self.job.spec.queue.advice, len(self.workers))


@attrs.define(kw_only=True, slots=True)
class QueryLimit:
    """How many more queries can be sent before the next planning round.

    Attributes
    ----------
    long_from_s : float
        Duration from which a query counts as long, in seconds.
    short, long : int
        Number of short and of long queries.
    """

    long_from_s: float
    short: int
    long: int


def may_query(limit: QueryLimit | None, advice: _specs.Advice) -> bool:
    """Return whether a further query under a policy can be sent."""
    if limit is None:
        return True
    return (limit.long if _is_long(limit, advice) else limit.short) > 0


def count_query(limit: QueryLimit | None, advice: _specs.Advice) -> None:
    """Count a query that a planning round has selected."""
    if limit is None:
        return
    if _is_long(limit, advice):
        limit.long -= 1
    else:
        limit.short -= 1


def _is_long(limit: QueryLimit, advice: _specs.Advice) -> bool:
    duration_s = call_duration_s(advice, max_workers(advice))
    return duration_s > limit.long_from_s


def call_duration_s(advice: _specs.Advice, workers: int) -> float:
    """Return the expected duration of a query, in seconds.

    Parameters
    ----------
    advice : Advice
        Advisor policy of the queue.
    workers : int
        Number of workers that the query names.
    """
    return advice.decide_s + advice.per_worker_s * workers


def max_workers(advice: _specs.Advice) -> int:
    """Return how many workers a query names at most, at least one.

    Workers may add no time to a query: `per_worker_s` may be 0.
    """
    extra_s = QUERY_TIME_SHARE * advice.decide_s
    if extra_s >= MAX_QUERY_WORKERS * advice.per_worker_s:
        return MAX_QUERY_WORKERS
    return max(1, int(extra_s / advice.per_worker_s))


def ticket_margin_s(advice: _specs.Advice) -> float:
    """Return how long before its expiry a ticket is planned with last."""
    return min(TICKET_MARGIN_S, advice.validity_s / 2)


def is_open(query: AdvisorQuery) -> bool:
    """Return whether a query's step may still need its result."""
    return (query.occurrence, query.step) in query.job.steps


def record_query(query: AdvisorQuery) -> None:
    """Record that an advisor query is in flight."""
    advice = query.job.advice[(query.occurrence, query.step)]
    advice.in_flight = {worker.key for worker in query.workers}


def record_query_result(
    query: AdvisorQuery,
    tickets: collections.abc.Mapping[str, str] | None,
    *,
    now: float,
    retry_s: float,
    received_at: float | None = None,
) -> None:
    """Record the result of an advisor query.

    Parameters
    ----------
    query : AdvisorQuery
        The query.
    tickets : mapping of str to str, or None
        Ticket of each allowed worker by worker id; None if the query failed.
    now : float
        Monotonic time of the result; tickets are valid from then on.
    retry_s : float
        Delay after a failure before the step is queried again, in seconds.
    received_at : float or None
        Monotonic time at which the tickets had certainly been issued; None
        for `now`.
    """
    if not is_open(query):
        return
    advice = query.job.advice.setdefault(
        (query.occurrence, query.step), _state.StepAdvice()
    )
    advice.in_flight = set()
    if tickets is None:
        advice.retry_at = now + retry_s
        return
    validity_s = query.job.spec.queue.advice.validity_s
    usable_until = (
        now + validity_s - ticket_margin_s(query.job.spec.queue.advice)
    )
    for worker in query.workers:
        ticket = tickets.get(worker.report.id)
        advice.allowed[worker.key] = ticket is not None
        if ticket is not None:
            advice.tickets[worker.key] = (ticket, usable_until)
            advice.received_at[worker.key] = (
                now if received_at is None else received_at
            )
