"""Lookups of job states and queue lengths, in their owner or the store."""

import attrs

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _responses
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")

# Lifetime of a cached queue length. Callers may be shown one 2 s old.
PENDING_CACHE_S = 1.0


async def get_state(
    context: _responses.ApiContext, queue: workloads.Queue, job_id: str
) -> _responses.Response:
    reply = await _fetch_owner_state(context, queue.service, job_id)
    if reply is not None and reply.state:
        if reply.queue != queue.name:
            return _responses.unknown_job("state", job_id)
        return _responses.Response(
            status=200,
            body={"state": _API_STATES[reply.state]},
            call="state",
            job=job_id,
            inputs={"state": reply.state},
        )
    try:
        state = await _read_state(context, queue, job_id)
    except errors.SchedulerError as error:
        return _responses.make_refusal(
            "state",
            503,
            "store_unavailable",
            f"The state is not known: {error}",
            job=job_id,
            retry_after_s=_responses.RETRY_AFTER_S,
        )
    if not state:
        return _responses.unknown_job("state", job_id)
    return _responses.Response(
        status=200,
        body={"state": _API_STATES[state]},
        call="state",
        job=job_id,
        inputs={"state": state, "source": "store"},
    )


async def _fetch_owner_state(
    context: _responses.ApiContext, service: str, job_id: str
) -> _messages.StateReply | None:
    """Return the state of a job from its service's owner, or None."""
    owner = context.session.owners.get(service)
    if owner is None:
        return None
    message = _messages.StateRead(call_id=0, service=service, job_id=job_id)
    if owner.incarnation == context.session.incarnation:
        reply = answer_state(context, message)
    else:
        try:
            reply = await _peers.call(
                context.session.peers,
                owner.instance,
                lambda call_id: attrs.evolve(message, call_id=call_id),
            )
        except errors.MeshError as error:
            LOG.info("Owner did not answer.", job=job_id, error=str(error))
            return None
    return reply if reply.owned else None


def answer_state(
    context: _responses.ApiContext, message: _messages.StateRead
) -> _messages.StateReply:
    """Return a job's state if this instance owns its service."""
    owner = context.owned.get(message.service)
    owned = (
        owner is not None
        and owner.ready
        and _ownership.may_send_commands(owner)
    )
    job = owner.pool.jobs.get(message.job_id) if owned else None
    state = queue = ""
    if job is not None and job.accepted:
        queue = job.spec.queue.name
        state = str(job.shown_state)
        if job.shown_state not in workloads.TERMINAL_STATES:
            state = "running" if job.started else "queued"
    return _messages.StateReply(
        call_id=message.call_id, owned=owned, state=state, queue=queue
    )


_API_STATES = {
    workloads.JobState.QUEUED: "queued",
    workloads.JobState.RUNNING: "running",
    workloads.JobState.COMPLETE: "complete",
    workloads.JobState.FAILED: "failed",
    workloads.JobState.CANCELLED: "canceled",
}


async def _read_state(
    context: _responses.ApiContext, queue: workloads.Queue, job_id: str
) -> str:
    """Return a job's state from the store; empty if there is no such job."""
    services = [queue.service]
    services += [
        each
        for each in context.session.config.services
        if each != queue.service
    ]
    for service in services:
        item = await platform.read_key(
            context.session.store, _keys.job(service, job_id)
        )
        if item is None:
            continue
        record = workloads.decode_job(item.value)
        if isinstance(record, workloads.EndedJob):
            return record.state if record.queue == queue.name else ""
        if record.queue.name != queue.name:
            return ""
        progress = await platform.read_key(
            context.session.store, _keys.progress(service, job_id)
        )
        return "queued" if progress is None else "running"
    return ""


async def count_pending(
    context: _responses.ApiContext, queue: workloads.Queue
) -> _responses.Response:
    key = (queue.service, queue.name)
    counted_at, count = context.pending.get(key, (-1e9, 0))
    if _clock.now() - counted_at > PENDING_CACHE_S:
        fresh = await _fetch_owner_pending(context, queue)
        if fresh is None:
            return _responses.make_refusal(
                "pending",
                503,
                "no_owner",
                "The queue's owner does not answer. Come back later.",
                retry_after_s=_responses.RETRY_AFTER_S,
            )
        count = fresh
        context.pending[key] = (_clock.now(), count)
    return _responses.Response(
        status=200, body={"pending": count}, call="pending"
    )


async def _fetch_owner_pending(
    context: _responses.ApiContext, queue: workloads.Queue
) -> int | None:
    owner = context.session.owners.get(queue.service)
    if owner is None:
        return None
    message = _messages.PendingRead(
        call_id=0, service=queue.service, queue=queue.name
    )
    if owner.incarnation == context.session.incarnation:
        reply = answer_pending(context, message)
    else:
        try:
            reply = await _peers.call(
                context.session.peers,
                owner.instance,
                lambda call_id: attrs.evolve(message, call_id=call_id),
            )
        except errors.MeshError as error:
            LOG.info("Owner did not answer.", error=str(error))
            return None
    return reply.count if reply.owned else None


def answer_pending(
    context: _responses.ApiContext, message: _messages.PendingRead
) -> _messages.PendingReply:
    """Return a queue's length if this instance owns its service."""
    owner = context.owned.get(message.service)
    owned = (
        owner is not None
        and owner.ready
        and _ownership.may_send_commands(owner)
    )
    count = 0
    if owned:
        count = sum(
            1
            for job in owner.pool.active.values()
            if job.spec.queue.name == message.queue
            and job.accepted
            and not job.started
        )
    return _messages.PendingReply(
        call_id=message.call_id, owned=owned, count=count
    )
