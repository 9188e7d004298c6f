"""Questions to the policy advisor, and what its answers say."""

import collections.abc

import attrs

from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Question:
    """A call to the advisor that should be made.

    Attributes
    ----------
    job : Job
        The job.
    occurrence, step : int
        The step that is asked for.
    workers : tuple of Worker
        Workers that are named.
    """

    job: _state.Job
    occurrence: int
    step: int
    workers: tuple[_state.Worker, ...]

    @property
    def cost_s(self) -> float:
        """Seconds that the advisor takes."""
        return cost_s(self.job.spec.queue.advice, len(self.workers))


def cost_s(advice: _specs.Advice, workers: int) -> float:
    """Return the seconds that a call takes which names some workers."""
    return advice.decide_s + advice.per_worker_s * workers


def note_question(question: Question) -> None:
    """Note that a question is under way."""
    advice = question.job.advice[(question.occurrence, question.step)]
    advice.asking = {each.key for each in question.workers}


def note_advice(
    question: Question,
    tickets: collections.abc.Mapping[str, str] | None,
    *,
    now: float,
    retry_s: float,
) -> None:
    """Take over the advisor's answer, or its failure as None."""
    advice = question.job.advice.setdefault(
        (question.occurrence, question.step), _state.StepAdvice()
    )
    advice.asking = set()
    if tickets is None:
        advice.retry_at = now + retry_s
        return
    validity_s = question.job.spec.queue.advice.validity_s
    for worker in question.workers:
        ticket = tickets.get(worker.report.id)
        advice.allowed[worker.key] = ticket is not None
        if ticket is not None:
            advice.good[worker.key] = (ticket, now + validity_s)
