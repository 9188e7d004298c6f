"""States of jobs and lengths of queues, from their owner or the store."""

import attrs

from chestnuttide import errors
from chestnuttide.node import _answers
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")

# The queue's length may be 2 s old.
PENDING_AGE_S = 1.0


async def show(
    front: _answers.Front, queue: workloads.Queue, job_id: str
) -> _answers.Answer:
    reply = await _owner_state(front, queue.service, job_id)
    if reply is not None and reply.state:
        if reply.queue != queue.name:
            return _answers.unknown_job("state", job_id)
        return _answers.Answer(
            status=200,
            body={"state": _SHOWN_STATES[reply.state]},
            call="state",
            job=job_id,
            inputs={"state": reply.state},
        )
    try:
        state = await _read_state(front, queue, job_id)
    except errors.SchedulerError as error:
        return _answers.refuse(
            "state",
            503,
            "store_unavailable",
            f"The state is not known: {error}",
            job=job_id,
            retry_after_s=_answers.RETRY_AFTER_S,
        )
    if not state:
        return _answers.unknown_job("state", job_id)
    return _answers.Answer(
        status=200,
        body={"state": _SHOWN_STATES[state]},
        call="state",
        job=job_id,
        inputs={"state": state, "source": "store"},
    )


async def _owner_state(
    front: _answers.Front, service: str, job_id: str
) -> _messages.StateReply | None:
    """Return what the service's owner knows of a job, or None."""
    owner = front.session.owners.get(service)
    if owner is None:
        return None
    message = _messages.StateRead(call_id=0, service=service, job_id=job_id)
    if owner.incarnation == front.session.incarnation:
        reply = answer_state(front, message)
    else:
        try:
            reply = await _peers.call(
                front.session.peers,
                owner.instance,
                lambda call_id: attrs.evolve(message, call_id=call_id),
            )
        except errors.MeshError as error:
            LOG.info("Owner did not answer.", job=job_id, error=str(error))
            return None
    return reply if reply.owned else None


def answer_state(
    front: _answers.Front, message: _messages.StateRead
) -> _messages.StateReply:
    """Return what this instance knows of a job as its owner."""
    owner = front.owned.get(message.service)
    owned = owner is not None and owner.ready and _ownership.may_order(owner)
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


_SHOWN_STATES = {
    workloads.JobState.QUEUED: "queued",
    workloads.JobState.RUNNING: "running",
    workloads.JobState.COMPLETE: "complete",
    workloads.JobState.FAILED: "failed",
    workloads.JobState.CANCELLED: "canceled",
}


async def _read_state(
    front: _answers.Front, queue: workloads.Queue, job_id: str
) -> str:
    """Return a job's state by the store; empty if there is none."""
    services = [queue.service]
    services += [
        each for each in front.session.config.services if each != queue.service
    ]
    for service in services:
        item = await platform.read_key(
            front.session.store, _keys.job(service, job_id)
        )
        if item is None:
            continue
        record = workloads.decode_job(item.value)
        if isinstance(record, workloads.EndedJob):
            return record.state if record.queue == queue.name else ""
        if record.queue.name != queue.name:
            return ""
        progress = await platform.read_key(
            front.session.store, _keys.progress(service, job_id)
        )
        return "queued" if progress is None else "running"
    return ""


async def count_pending(
    front: _answers.Front, queue: workloads.Queue
) -> _answers.Answer:
    key = (queue.service, queue.name)
    counted_at, count = front.pending.get(key, (-1e9, 0))
    if _clock.now() - counted_at > PENDING_AGE_S:
        fresh = await _owner_pending(front, queue)
        if fresh is None:
            return _answers.refuse(
                "pending",
                503,
                "no_owner",
                "The queue's owner does not answer. Come back later.",
                retry_after_s=_answers.RETRY_AFTER_S,
            )
        count = fresh
        front.pending[key] = (_clock.now(), count)
    return _answers.Answer(status=200, body={"pending": count}, call="pending")


async def _owner_pending(
    front: _answers.Front, queue: workloads.Queue
) -> int | None:
    owner = front.session.owners.get(queue.service)
    if owner is None:
        return None
    message = _messages.PendingRead(
        call_id=0, service=queue.service, queue=queue.name
    )
    if owner.incarnation == front.session.incarnation:
        reply = answer_pending(front, message)
    else:
        try:
            reply = await _peers.call(
                front.session.peers,
                owner.instance,
                lambda call_id: attrs.evolve(message, call_id=call_id),
            )
        except errors.MeshError as error:
            LOG.info("Owner did not answer.", error=str(error))
            return None
    return reply.count if reply.owned else None


def answer_pending(
    front: _answers.Front, message: _messages.PendingRead
) -> _messages.PendingReply:
    """Return the length of a queue that this instance owns."""
    owner = front.owned.get(message.service)
    owned = owner is not None and owner.ready and _ownership.may_order(owner)
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
