"""Callers' requests: submission, state, cancellation, and queue length."""

import asyncio
import collections.abc
import json
import random

import attrs
from tornado import httputil

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")

# Share of a caller's deadline that is spent on storing its job; the rest is
# left for the answer.
STORE_SHARE = 0.7
DEFAULT_DEADLINE_S = 3.0

# Peers that are asked to write for an instance that the store refuses. The
# store refuses at most some instances, or all.
PEERS_TRIED = 3
WRITE_PAUSE_S = 0.05
RETRY_AFTER_S = 1

# The queue's length may be 2 s old.
PENDING_AGE_S = 1.0


@attrs.define(kw_only=True, slots=True, eq=False)
class Front:
    """What the callers' handlers need.

    Attributes
    ----------
    session : Session
        The instance's view of the cell.
    owned : dict of str to Ownership
        Services that this instance owns.
    metrics : NodeMetrics
        Counters.
    pending : dict of (str, str) to (float, int)
        Time and value of the last known queue lengths.
    in_flight : int
        Requests that are not answered yet.
    stopping : bool
        Whether answers close their connections.
    tasks : set of Task
        Requests under way.
    """

    session: _session.Session
    owned: dict[str, _ownership.Ownership]
    metrics: _metrics.NodeMetrics
    pending: dict[tuple[str, str], tuple[float, int]] = attrs.field(
        factory=dict
    )
    in_flight: int = 0
    stopping: bool = False
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


@attrs.frozen(kw_only=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict of str to object
        JSON body.
    call : str
        Kind of the call, for logs and metrics.
    reason : str
        Why a call was refused; empty for others.
    job : str
        Id of the job; empty if there is none.
    retry_after_s : int
        When to come back; 0 if that is pointless.
    inputs : dict of str to object
        What decided, for the log.
    """

    status: int
    body: dict[str, object]
    call: str
    reason: str = ""
    job: str = ""
    retry_after_s: int = 0
    inputs: dict[str, object] = attrs.field(factory=dict)


def make_callback(
    front: Front,
) -> collections.abc.Callable[[httputil.HTTPServerRequest], None]:
    """Return the function that the HTTP server calls for each request."""

    def callback(request: httputil.HTTPServerRequest) -> None:
        front.in_flight += 1
        task = asyncio.ensure_future(_serve(front, request))
        front.tasks.add(task)
        task.add_done_callback(front.tasks.discard)

    return callback


async def _serve(front: Front, request: httputil.HTTPServerRequest) -> None:
    began = _clock.now()
    try:
        answer = await _dispatch(front, request)
    except errors.SchedulerError as error:
        answer = _refuse("other", 502, "internal", str(error))
    except Exception as error:
        LOG.exception("Request has failed.", path=request.path)
        answer = _refuse("other", 502, "internal", repr(error))
    finally:
        front.in_flight -= 1
    _note(front, answer, _clock.now() - began)
    body = json.dumps(answer.body).encode()
    headers = httputil.HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )
    if answer.retry_after_s:
        headers["Retry-After"] = str(answer.retry_after_s)
    if front.stopping:
        headers["Connection"] = "close"
    try:
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", answer.status, ""),
            headers,
            body,
        )
        request.connection.finish()
    except (OSError, httputil.HTTPOutputError) as error:
        LOG.info("Caller has left.", job=answer.job, error=str(error))


def _note(front: Front, answer: Answer, seconds: float) -> None:
    front.metrics.answers.inc(
        {"call": answer.call, "status": str(answer.status)}
    )
    if answer.reason:
        front.metrics.refusals.inc({"reason": answer.reason})
    if answer.call == "state" and answer.status == 200:
        return
    version = front.session.config.version if front.session.config else 0
    LOG.info(
        "Call is answered.",
        call=answer.call,
        job=answer.job,
        status=answer.status,
        reason=answer.reason,
        config_version=version,
        seconds=round(seconds, 4),
        **answer.inputs,
    )


def _refuse(
    call: str,
    status: int,
    reason: str,
    message: str,
    *,
    job: str = "",
    retry_after_s: int = 0,
) -> Answer:
    return Answer(
        status=status,
        body={"error": reason, "message": message},
        call=call,
        reason=reason,
        job=job,
        retry_after_s=retry_after_s,
    )


async def _dispatch(
    front: Front, request: httputil.HTTPServerRequest
) -> Answer:
    config = front.session.config
    if config is None:
        return _refuse(
            "other",
            503,
            "no_config",
            "No configuration is known yet. Come back later.",
            retry_after_s=RETRY_AFTER_S,
        )
    queue = find_queue(config, request.host, request.path)
    if queue is None:
        return _refuse(
            "other",
            404,
            "unknown_queue",
            "No queue has this host and path. Check the URL.",
        )
    rest = request.path.removeprefix(queue.prefix)
    if not rest:
        if request.method == "GET":
            return await _count_pending(front, queue)
        return _bad_method(request.method)
    if not platform.is_job_id(rest):
        return _refuse(
            "other",
            404,
            "malformed_id",
            "A job's id has 16 hexadecimal digits. Correct it.",
        )
    if request.method == "POST":
        return await _submit(front, queue, rest, request)
    if request.method == "GET":
        return await _show(front, queue, rest)
    if request.method == "DELETE":
        return await _cancel(front, queue, rest)
    return _bad_method(request.method)


def _bad_method(method: str) -> Answer:
    return _refuse(
        "other", 405, "method", f"{method} is not supported. Use POST or GET."
    )


def find_queue(
    config: platform.ClusterConfig, host: str, path: str
) -> workloads.Queue | None:
    """Return the queue with this host and the longest fitting prefix."""
    name = host.rpartition(":")[0] if ":" in host else host
    for queue in config.queues:
        if queue.host == name.lower() and path.startswith(queue.prefix):
            return queue
    return None


def _deadline_s(request: httputil.HTTPServerRequest) -> float:
    text = request.headers.get("Deadline-Ms", "")
    return int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_S


async def _submit(
    front: Front,
    queue: workloads.Queue,
    job_id: str,
    request: httputil.HTTPServerRequest,
) -> Answer:
    config = front.session.config
    if len(request.body) > config.max_body_bytes:
        return _refuse(
            "submit",
            413,
            "too_large",
            f"The body exceeds {config.max_body_bytes} bytes. Shorten it.",
            job=job_id,
        )
    try:
        spec = platform.decode_job(
            request.body,
            job_id=job_id,
            queue=queue,
            now_unix_s=_clock.unix_time(),
        )
    except errors.RefusedError as error:
        return _refuse(
            "submit", 400, str(error.reason), str(error), job=job_id
        )
    write = _messages.JobWrite(
        call_id=0,
        absent_keys=tuple(
            _keys.job(service, job_id)
            for service in sorted({queue.service, *config.services})
        ),
        key=_keys.job(queue.service, job_id),
        value=workloads.encode_job(spec),
    )
    _notify_owner(front, queue.service, job_id, write.value, stored=False)
    outcome = await _store_job(front, write, _deadline_s(request))
    if outcome == "stored":
        _notify_owner(front, queue.service, job_id, write.value, stored=True)
    inputs = {
        "queue": queue.name,
        "outcome": outcome,
        "tasks": sum(step.count for step in spec.steps),
    }
    if outcome in ("stored", "exists"):
        return Answer(
            status=200, body={}, call="submit", job=job_id, inputs=inputs
        )
    if outcome == "refused":
        answer = _refuse(
            "submit",
            503,
            "store_unavailable",
            "The job was not accepted and never runs. Submit it again.",
            job=job_id,
            retry_after_s=RETRY_AFTER_S,
        )
    else:
        answer = _refuse(
            "submit",
            504,
            "outcome_unknown",
            "Whether the job was stored is not known. Send the same id again.",
            job=job_id,
        )
    return attrs.evolve(answer, inputs=inputs)


def _notify_owner(
    front: Front, service: str, job_id: str, value: bytes, *, stored: bool
) -> None:
    owner = front.session.owners.get(service)
    if owner is None:
        return
    message = _messages.JobNotice(
        service=service, job_id=job_id, value=value, stored=stored
    )
    if owner.incarnation == front.session.incarnation:
        _owner.take_notice(front.owned.get(service), message)
    else:
        _peers.notify(front.session.peers, owner.instance, message)


async def _store_job(
    front: Front, write: _messages.JobWrite, deadline_s: float
) -> str:
    """Store a job here or through a peer.

    Returns
    -------
    str
        ``stored``, ``exists``, ``refused`` if it provably never runs, or
        ``unknown``.
    """
    began = _clock.now()
    unknown = False
    while True:
        outcomes = [await write_job(front, write)]
        names = _peers.connected_names(front.session.peers)
        for name in random.sample(names, min(PEERS_TRIED, len(names))):
            if outcomes[-1] in ("stored", "exists"):
                break
            outcomes.append(await _write_through(front, name, write))
        if outcomes[-1] in ("stored", "exists"):
            return outcomes[-1]
        # A job whose write may still take effect is not refused.
        unknown = unknown or "unknown" in outcomes
        if not unknown:
            return "refused"
        if _clock.now() - began > STORE_SHARE * deadline_s:
            return "unknown"
        await asyncio.sleep(WRITE_PAUSE_S)


async def write_job(front: Front, write: _messages.JobWrite) -> str:
    """Store a job from this instance; see `_store_job`.

    While the store is silent nothing is sent, because a write without an
    answer could not be refused truthfully.
    """
    if front.session.store.silent:
        return "refused"
    try:
        await platform.commit(
            front.session.store,
            platform.Transaction(
                expect=dict.fromkeys(write.absent_keys, 0),
                put={write.key: write.value},
            ),
        )
    except platform.ConditionError:
        return "exists"
    except platform.StoreRefusedError as error:
        LOG.info("Job was not written.", key=write.key, error=str(error))
        return "refused"
    except errors.SchedulerError as error:
        LOG.info("Write is uncertain.", key=write.key, error=str(error))
        return "unknown"
    return "stored"


async def _write_through(
    front: Front, name: str, write: _messages.JobWrite
) -> str:
    try:
        reply = await _peers.call(
            front.session.peers,
            name,
            lambda call_id: attrs.evolve(write, call_id=call_id),
        )
    except errors.MeshError as error:
        LOG.info("Peer did not write.", peer=name, error=str(error))
        return "unknown"
    return reply.outcome


async def _owner_state(
    front: Front, service: str, job_id: str
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
    front: Front, message: _messages.StateRead
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


async def _show(front: Front, queue: workloads.Queue, job_id: str) -> Answer:
    reply = await _owner_state(front, queue.service, job_id)
    if reply is not None and reply.state:
        if reply.queue != queue.name:
            return _unknown_job("state", job_id)
        return Answer(
            status=200,
            body={"state": _SHOWN_STATES[reply.state]},
            call="state",
            job=job_id,
            inputs={"state": reply.state},
        )
    try:
        state = await _read_state(front, queue, job_id)
    except errors.SchedulerError as error:
        return _refuse(
            "state",
            503,
            "store_unavailable",
            f"The state is not known: {error}",
            job=job_id,
            retry_after_s=RETRY_AFTER_S,
        )
    if not state:
        return _unknown_job("state", job_id)
    return Answer(
        status=200,
        body={"state": _SHOWN_STATES[state]},
        call="state",
        job=job_id,
        inputs={"state": state, "source": "store"},
    )


def _unknown_job(call: str, job_id: str) -> Answer:
    return _refuse(
        call,
        410,
        "unknown_job",
        "No such job exists. Check its id.",
        job=job_id,
    )


async def _read_state(
    front: Front, queue: workloads.Queue, job_id: str
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


async def _cancel(front: Front, queue: workloads.Queue, job_id: str) -> Answer:
    try:
        for service in sorted({queue.service, *front.session.config.services}):
            item = await platform.read_key(
                front.session.store, _keys.job(service, job_id)
            )
            if item is not None:
                break
        else:
            return _unknown_job("cancel", job_id)
        record = workloads.decode_job(item.value)
        if not isinstance(record, workloads.EndedJob):
            await platform.commit(
                front.session.store,
                platform.Transaction(put={_keys.cancel(service, job_id): b""}),
            )
    except errors.SchedulerError as error:
        return _refuse(
            "cancel",
            503,
            "store_unavailable",
            f"The job may go on: {error}",
            job=job_id,
            retry_after_s=RETRY_AFTER_S,
        )
    return Answer(status=200, body={}, call="cancel", job=job_id)


async def _count_pending(front: Front, queue: workloads.Queue) -> Answer:
    key = (queue.service, queue.name)
    counted_at, count = front.pending.get(key, (-1e9, 0))
    if _clock.now() - counted_at > PENDING_AGE_S:
        fresh = await _owner_pending(front, queue)
        if fresh is None:
            return _refuse(
                "pending",
                503,
                "no_owner",
                "The queue's owner does not answer. Come back later.",
                retry_after_s=RETRY_AFTER_S,
            )
        count = fresh
        front.pending[key] = (_clock.now(), count)
    return Answer(status=200, body={"pending": count}, call="pending")


async def _owner_pending(front: Front, queue: workloads.Queue) -> int | None:
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
    front: Front, message: _messages.PendingRead
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
