"""Questions to the policy advisor, spread over all instances.

The advisor handles one call at a time for each calling instance, so an owner
has its questions asked by the instance that has the fewest calls under way.
"""

import typing

import xxhash

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("advice")

# Limit beyond the time that a call takes by its queue's policy; another
# owner's call may be before it.
TIMEOUT_MARGIN_S = 1.5
RETRY_S = 0.2

# An instance's calls are answered in turn, so a short question behind a long
# one waits for it. All owners therefore ask long questions only from the
# instances that are not kept for short ones.
LONG_QUESTION_S = 0.15
KEPT_FOR_SHORT: typing.Final = 0.375


def ask(
    owner: _ownership.Ownership,
    questions: tuple[workloads.Question, ...],
) -> None:
    """Start the questions for which an instance is free, in order."""
    for question in questions:
        name = _choose_instance(owner, question)
        if name is None:
            continue
        workloads.note_question(question)
        owner.advisors_busy[name] = owner.advisors_busy.get(name, 0) + 1
        _ownership.start_order(owner, _ask(owner, question, name))


def _choose_instance(
    owner: _ownership.Ownership, question: workloads.Question
) -> str | None:
    own = owner.session.settings.instance
    ordered = sorted({own, *_peers.connected_names(owner.session.peers)})
    kept = max(1, round(KEPT_FOR_SHORT * len(ordered)))
    if question.cost_s <= LONG_QUESTION_S or len(ordered) == 1:
        ordered = ordered[:kept]
    else:
        ordered = ordered[kept:]
    if hash_of(owner.service) % 2:
        # Two owners that begin at different ends seldom meet.
        ordered.reverse()
    name = min(ordered, key=lambda each: owner.advisors_busy.get(each, 0))
    if owner.advisors_busy.get(name, 0):
        return None
    return name


def hash_of(text: str) -> int:
    """Return a number that all instances compute alike."""
    return xxhash.xxh64_intdigest(text.encode())


async def _ask(
    owner: _ownership.Ownership, question: workloads.Question, name: str
) -> None:
    step = f"{question.job.spec.id}.{question.occurrence}.{question.step}"
    workers = tuple(worker.report.id for worker in question.workers)
    message = {
        "step": step,
        "workers": workers[: platform.MAX_WORKERS_PER_CALL],
        "timeout_s": question.cost_s + TIMEOUT_MARGIN_S,
    }
    tickets = None
    age_s = 0.0
    try:
        if name == owner.session.settings.instance:
            answer = owner.session.peers.answers[_messages.AdviceAsk]
            reply = await answer(_messages.AdviceAsk(call_id=0, **message))
        else:
            reply = await _peers.call(
                owner.session.peers,
                name,
                lambda call_id: _messages.AdviceAsk(
                    call_id=call_id, **message
                ),
                timeout_s=message["timeout_s"] + _peers.CALL_TIMEOUT_S,
            )
        if reply.answered:
            tickets = dict(reply.tickets)
            age_s = reply.age_s
    except errors.MeshError as error:
        LOG.info("Peer did not ask.", peer=name, error=str(error))
    finally:
        owner.advisors_busy[name] -= 1
    LOG.info(
        "Advisor was asked.",
        job=question.job.spec.id,
        step=step,
        by=name,
        workers=len(workers),
        good=-1 if tickets is None else len(tickets),
    )
    workloads.note_advice(
        question, tickets, now=_clock.now() - age_s, retry_s=RETRY_S
    )
    owner.plan_wanted.set()


async def answer_ask(
    http: platform.HttpClient,
    address: str,
    message: _messages.AdviceAsk,
) -> _messages.AdviceReply:
    """Ask the advisor for a peer, or for this instance's own owner."""
    try:
        tickets = await platform.ask_advisor(
            http,
            address,
            step=message.step,
            workers=message.workers,
            timeout_s=message.timeout_s,
        )
    except errors.PlatformError as error:
        LOG.warning(
            "Advisor did not answer.", step=message.step, error=str(error)
        )
        return _messages.AdviceReply(
            call_id=message.call_id, answered=False, tickets=()
        )
    return _messages.AdviceReply(
        call_id=message.call_id,
        answered=True,
        tickets=tuple(tickets.by_worker.items()),
    )
