"""Lookups of job states and queue lengths, in their owner or the store."""

import asyncio
import collections.abc
import math
import typing

import attrs

from chestnuttide import errors
from chestnuttide.node import _access
from chestnuttide.node import _clock
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")

# Lifetime of a cached queue length, and the age up to which it is used if the
# owner does not answer. Callers may be shown one 2 s old.
PENDING_CACHE_S = 1.0
MAX_PENDING_AGE_S = 2.0

_Read = typing.TypeVar("_Read", _messages.StateRead, _messages.PendingRead)
_Reply = typing.TypeVar("_Reply", _messages.StateReply, _messages.PendingReply)


async def get_state(
    context: _responses.ApiContext,
    queue: workloads.Queue,
    job_id: str,
    *,
    workspace: str = "",
) -> _responses.Response:
    """Return a job's state if the caller's workspace may see it."""
    reply = await _fetch_owners_state(context, queue, job_id)
    if reply is not None:
        if reply.queue != queue.name:
            return _responses.unknown_job("state", job_id)
        if not _access.may_see(workspace, reply.workspace):
            return _responses.refuse_access(
                "state", "other_workspace", job=job_id
            )
        return _responses.Response(
            status=200,
            body={"state": _API_STATES[reply.state]},
            call="state",
            job=job_id,
            inputs={"state": reply.state},
        )
    try:
        state, holder = await _read_state(context, queue, job_id)
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
    if not _access.may_see(workspace, holder):
        return _responses.refuse_access("state", "other_workspace", job=job_id)
    return _responses.Response(
        status=200,
        body={"state": _API_STATES[state]},
        call="state",
        job=job_id,
        inputs={"state": state, "source": "store"},
    )


def _list_services(
    context: _responses.ApiContext, queue: workloads.Queue
) -> list[str]:
    """Return the services that may hold jobs of a queue, likeliest first.

    A job stays with the service that its queue named when it was accepted,
    and a later configuration may name another one.
    """
    listed = _directory.list_services_of(context.session.directory, queue.name)
    return [queue.service, *sorted(listed - {queue.service})]


def list_all_services(
    context: _responses.ApiContext, queue: workloads.Queue
) -> list[str]:
    """Return all services whose records may have a job, likeliest first.

    A former release may have stored jobs that the directory does not list.
    """
    likeliest = _list_services(context, queue)
    others = _session.known_services(context.session) - set(likeliest)
    return [*likeliest, *sorted(others)]


async def _fetch_owners_state(
    context: _responses.ApiContext, queue: workloads.Queue, job_id: str
) -> _messages.StateReply | None:
    """Return a job's state from the owner that knows it, or None.

    The owners of other services are asked only if the first does not know
    the job.
    """

    async def fetch(service: str) -> _messages.StateReply | None:
        message = _messages.StateRead(
            call_id=0, service=service, job_id=job_id
        )
        reply = await _ask_owner(context, message, answer_state)
        return reply if reply is not None and reply.state else None

    first, *others = _list_services(context, queue)
    reply = await fetch(first)
    if reply is not None:
        return reply
    replies = await asyncio.gather(*map(fetch, others))
    return next((reply for reply in replies if reply is not None), None)


async def _ask_owner(
    context: _responses.ApiContext,
    message: _Read,
    answer: collections.abc.Callable[[_responses.ApiContext, _Read], _Reply],
) -> _Reply | None:
    """Return the reply of the owner of a message's service, or None."""
    owner = context.session.owners.get(message.service)
    if owner is None:
        return None
    if owner.incarnation == context.session.incarnation:
        reply = answer(context, message)
    else:
        try:
            reply = await _peers.call(
                context.session.peers,
                owner.instance,
                lambda call_id: attrs.evolve(message, call_id=call_id),
            )
        except errors.MeshError as error:
            LOG.info(
                "Owner did not answer.",
                service=message.service,
                error=str(error),
            )
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
    state = queue = workspace = ""
    if job is not None and job.accepted:
        queue = job.spec.queue.name
        workspace = job.spec.workspace
        state = str(job.shown_state)
        if job.shown_state not in workloads.TERMINAL_STATES:
            state = "running" if job.started else "queued"
    return _messages.StateReply(
        call_id=message.call_id,
        owned=owned,
        state=state,
        queue=queue,
        workspace=workspace,
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
) -> tuple[str, str]:
    """Return a job's state and workspace from the store.

    The state is empty if there is no such job.
    """
    for service in list_all_services(context, queue):
        item = await platform.read_key(
            context.session.store, _keys.job(service, job_id)
        )
        if item is None:
            continue
        record = workloads.decode_job(item.value)
        if isinstance(record, workloads.EndedJob):
            if record.queue != queue.name:
                return "", ""
            return record.state, record.workspace
        if record.queue.name != queue.name:
            return "", ""
        progress = await platform.read_key(
            context.session.store, _keys.progress(service, job_id)
        )
        state = "queued" if progress is None else "running"
        return state, record.workspace
    return "", ""


async def count_pending(
    context: _responses.ApiContext, queue: workloads.Queue
) -> _responses.Response:
    services = _list_services(context, queue)
    counts = await asyncio.gather(
        *(_count_in_service(context, service, queue) for service in services)
    )
    if None in counts:
        return _responses.make_refusal(
            "pending",
            503,
            "no_owner",
            "An owner of the queue's jobs does not answer. Come back later.",
            retry_after_s=_responses.RETRY_AFTER_S,
        )
    return _responses.Response(
        status=200, body={"pending": sum(counts)}, call="pending"
    )


async def _count_in_service(
    context: _responses.ApiContext, service: str, queue: workloads.Queue
) -> int | None:
    """Return how many jobs of a queue wait in a service, or None."""
    key = (service, queue.name)
    counted_at, count = context.pending.get(key, (-math.inf, 0))
    if _clock.now() - counted_at <= PENDING_CACHE_S:
        return count
    message = _messages.PendingRead(
        call_id=0, service=service, queue=queue.name
    )
    reply = await _ask_owner(context, message, answer_pending)
    if reply is not None:
        context.pending[key] = (_clock.now(), reply.count)
        return reply.count
    if _clock.now() - counted_at <= MAX_PENDING_AGE_S:
        return count
    return None


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
            for job in _ownership.list_live_jobs(owner)
            if job.spec.queue.name == message.queue
            and job.accepted
            and not job.started
        )
    return _messages.PendingReply(
        call_id=message.call_id, owned=owned, count=count
    )
