"""Admission of jobs by the owner of their service.

The instance that a caller reached asks the owner, which knows what waits and
what runs. The owner takes the job's record with the question, so an admitted
job costs no message more than without admission. If the owner does not answer
in time, the job is admitted: admission saves callers time, and nothing else
depends on it.
"""

import asyncio

import attrs

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _responses
from chestnuttide.node import _updates
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("admission")

# An owner decides from memory. A job waits for it no longer than this.
ANSWER_LIMIT_S = 0.15

# No refusal for this long means that all jobs are admitted again.
CALM_S = 5.0


async def ask_owner(
    context: _responses.ApiContext, spec: workloads.JobSpec, value: bytes
) -> _messages.AdmissionReply | None:
    """Return the owner's decision, or None if it did not answer in time.

    The owner then has to be notified of the job.
    """
    service = spec.queue.service
    owner = context.session.owners.get(service)
    message = _messages.AdmissionRead(
        call_id=0, service=service, job_id=spec.id, value=value
    )
    reply = None
    if owner is not None:
        if owner.incarnation == context.session.incarnation:
            reply = answer(context, message)
        else:
            reply = await _ask_peer(context, owner.instance, message)
    if reply is not None and not reply.owned:
        reply = None
    context.metrics.admissions.inc(
        {"outcome": "no_answer" if reply is None else reply.reason}
    )
    return reply


async def _ask_peer(
    context: _responses.ApiContext,
    name: str,
    message: _messages.AdmissionRead,
) -> _messages.AdmissionReply | None:
    # A call that times out ends its connection. One that is only late here
    # goes on in the background.
    call = asyncio.ensure_future(
        _peers.call(
            context.session.peers,
            name,
            lambda call_id: attrs.evolve(message, call_id=call_id),
        )
    )
    call.add_done_callback(_retrieve)
    done, _ = await asyncio.wait((call,), timeout=ANSWER_LIMIT_S)
    if not done or call.cancelled() or call.exception() is not None:
        return None
    return call.result()


def _retrieve(call: asyncio.Future[object]) -> None:
    """Take note of an error that nobody waits for."""
    error = None if call.cancelled() else call.exception()
    if error is not None and not isinstance(error, errors.SchedulerError):
        LOG.error("Call for admission has failed.", error=repr(error))


def answer(
    context: _responses.ApiContext, message: _messages.AdmissionRead
) -> _messages.AdmissionReply:
    """Decide about a job if this instance owns its service."""
    owner = context.owned.get(message.service)
    if (
        owner is None
        or not owner.ready
        or not _ownership.may_send_commands(owner)
    ):
        return _messages.AdmissionReply(call_id=message.call_id, owned=False)
    verdict = workloads.AdmissionVerdict(admitted=True, reason="off")
    if owner.pool.policy.admission:
        try:
            verdict = _decide(context, owner, message)
        except Exception:
            # A fault here may cost no job.
            LOG.exception("Admission has failed.", job=message.job_id)
            verdict = workloads.AdmissionVerdict(admitted=True, reason="fault")
    if verdict.admitted:
        _updates.apply_job_notice(
            owner,
            _messages.JobNotice(
                service=message.service,
                job_id=message.job_id,
                value=message.value,
                stored=False,
            ),
        )
    return _messages.AdmissionReply(
        call_id=message.call_id,
        owned=True,
        admitted=verdict.admitted,
        reason=verdict.reason,
        wait_s=verdict.wait_s,
        chain_s=verdict.chain_s,
        worth_s=verdict.worth_s,
        retry_after_s=verdict.retry_after_s,
    )


def _decide(
    context: _responses.ApiContext,
    owner: _ownership.Ownership,
    message: _messages.AdmissionRead,
) -> workloads.AdmissionVerdict:
    spec = workloads.decode_job(message.value)
    was_refusing = owner.admission.refusing_since > 0
    verdict = workloads.decide_admission(
        owner.pool,
        owner.admission,
        spec,
        now=_clock.now(),
        advisors=1 + len(_peers.connected_names(context.session.peers)),
    )
    if owner.admission.refusing_since and not was_refusing:
        LOG.warning(
            "Jobs are refused: there is no room for them in time.",
            service=owner.service,
            queue=spec.queue.name,
            wait_s=round(verdict.wait_s, 2),
            chain_s=round(verdict.chain_s, 2),
            worth_s=round(verdict.worth_s, 2),
            correction=round(owner.admission.correction, 2),
        )
    return verdict


def observe(owner: _ownership.Ownership) -> None:
    """Correct the owner's estimates, and report when all are admitted."""
    if not owner.pool.policy.admission:
        return
    now = _clock.now()
    state = owner.admission
    workloads.observe_admissions(owner.pool, state, now)
    if state.refusing_since and now - state.refused_at > CALM_S:
        LOG.info(
            "All jobs are admitted again.",
            service=owner.service,
            seconds=round(state.refused_at - state.refusing_since, 1),
            refused=state.refused,
        )
        state.refusing_since = 0.0


def list_rows(
    owned: dict[str, _ownership.Ownership],
) -> list[dict[str, object]]:
    """Return a row for each owned service, for the operators' page."""
    now = _clock.now()
    return [
        workloads.describe_admission(owner.pool, owner.admission, now)
        for _, owner in sorted(owned.items())
    ]


def refusal(
    reply: _messages.AdmissionReply, job_id: str
) -> _responses.Response:
    """Return the response to the caller of a refused job."""
    response = _responses.make_refusal(
        "submit",
        503,
        reply.reason,
        "The job would end too late. It was not accepted and never runs. "
        "Submit it again after the given delay.",
        job=job_id,
        retry_after_s=reply.retry_after_s,
    )
    return attrs.evolve(
        response,
        inputs={
            "wait_s": round(reply.wait_s, 2),
            "chain_s": round(reply.chain_s, 2),
            "worth_s": round(reply.worth_s, 2),
            "retry_after_s": reply.retry_after_s,
        },
    )
