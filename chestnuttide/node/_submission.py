"""Submission and cancellation of jobs."""

import asyncio
import itertools
import random

import attrs
from tornado import httputil

from chestnuttide import errors
from chestnuttide.node import _access
from chestnuttide.node import _admission
from chestnuttide.node import _clock
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _lookups
from chestnuttide.node import _messages
from chestnuttide.node import _peers
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide.node import _updates
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")

# Share of a caller's deadline for storing its job. The rest is left for the
# response.
STORE_DEADLINE_SHARE = 0.7
DEFAULT_DEADLINE_S = 3.0
MAX_DEADLINE_S = 3600.0
MAX_DEADLINE_DIGITS = 12

# Number of peers that are asked to write for an instance without access to the
# store. Peers without access refuse within a round trip.
MAX_PEERS_TRIED = 8
WRITE_PAUSE_S = 0.05

# Keys that a write of a job expects to be absent at most. The other entries of
# its transaction are the job, and the directory, expected and maybe written.
MAX_ABSENT_KEYS = platform.MAX_TRANSACTION_ENTRIES - 3

# Attempts of a write that finds another directory than it was built from. One
# changes when a queue gets its first job in a service, and seldom otherwise.
MAX_DIRECTORY_ATTEMPTS = 8

# Attempts of a cancellation whose job changes meanwhile. Its record changes
# when it ends and when it is removed.
MAX_CANCEL_ATTEMPTS = 3

# Outcomes of a write after which no other instance is asked.
CERTAIN_OUTCOMES = ("stored", "exists", "foreign")


async def submit(
    context: _responses.ApiContext,
    queue: workloads.Queue,
    job_id: str,
    request: httputil.HTTPServerRequest,
    *,
    workspace: str = "",
) -> _responses.Response:
    config = context.session.config
    if len(request.body) > config.max_body_bytes:
        return _responses.make_refusal(
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
            workspace=workspace,
        )
    except errors.RefusedError as error:
        return _responses.make_refusal(
            "submit", 400, str(error.reason), str(error), job=job_id
        )
    write = _messages.JobWrite(
        call_id=0,
        absent_keys=tuple(_list_job_keys(context.session, job_id)),
        key=_keys.job(queue.service, job_id),
        value=workloads.encode_job(spec),
        service=queue.service,
        queue=queue.name,
    )
    decision = None
    if context.session.settings.load.admission and not spec.occurrences:
        decision = await _admission.ask_owner(context, spec, write.value)
    if decision is not None and not decision.admitted:
        return _admission.refusal(decision, job_id)
    if decision is None:
        _notify_owner(
            context, queue.service, job_id, write.value, stored=False
        )
    outcome = await store_job(context, write, _deadline_s(request))
    if outcome == "stored":
        _notify_owner(context, queue.service, job_id, write.value, stored=True)
    inputs = {
        "queue": queue.name,
        "outcome": outcome,
        "tasks": sum(step.count for step in spec.steps),
    }
    if outcome in ("stored", "exists"):
        return _responses.Response(
            status=200, body={}, call="submit", job=job_id, inputs=inputs
        )
    if outcome == "foreign":
        response = _responses.refuse_access(
            "submit", "other_workspace", job=job_id
        )
    elif outcome == "refused":
        response = _responses.make_refusal(
            "submit",
            503,
            "store_unavailable",
            "The job was not accepted and never runs. Submit it again.",
            job=job_id,
            retry_after_s=_responses.RETRY_AFTER_S,
        )
    else:
        response = _responses.make_refusal(
            "submit",
            504,
            "outcome_unknown",
            "Whether the job was stored is not known. Send the same id again.",
            job=job_id,
        )
    return attrs.evolve(response, inputs=inputs)


def _list_job_keys(session: _session.Session, job_id: str) -> list[str]:
    """Return the keys under which a job's id may be taken, likeliest first.

    A former release may have stored jobs that the directory does not list.
    """
    listed = _directory.list_services(session.directory)
    others = _session.known_services(session) - listed
    return [
        _keys.job(service, job_id)
        for service in (*sorted(listed), *sorted(others))
    ]


def _deadline_s(request: httputil.HTTPServerRequest) -> float:
    text = request.headers.get("Deadline-Ms", "")
    if not (text.isascii() and text.isdigit()):
        return DEFAULT_DEADLINE_S
    # A text of many digits is too long to convert.
    return min(int(text[:MAX_DEADLINE_DIGITS]) / 1000, MAX_DEADLINE_S)


def _notify_owner(
    context: _responses.ApiContext,
    service: str,
    job_id: str,
    value: bytes,
    *,
    stored: bool,
) -> None:
    owner = context.session.owners.get(service)
    if owner is None:
        return
    message = _messages.JobNotice(
        service=service, job_id=job_id, value=value, stored=stored
    )
    if owner.incarnation == context.session.incarnation:
        _updates.apply_job_notice(context.owned.get(service), message)
    else:
        _peers.notify(context.session.peers, owner.instance, message)


async def store_job(
    context: _responses.ApiContext,
    write: _messages.JobWrite,
    deadline_s: float,
) -> str:
    """Store a job from this instance or through a peer.

    Returns
    -------
    str
        ``stored``, ``exists``, ``foreign`` if another workspace has a job of
        this id, ``refused`` if it certainly never runs, or ``unknown``.
    """
    limit_s = min(
        STORE_DEADLINE_SHARE * deadline_s,
        context.response_deadline - _clock.now(),
    )
    try:
        async with asyncio.timeout(limit_s):
            return await _store_with_retries(context, write)
    except TimeoutError:
        LOG.info(
            "Timed out storing a job.",
            key=write.key,
            limit_s=round(limit_s, 2),
            stopping=context.stopping,
        )
        return "unknown"


async def _store_with_retries(
    context: _responses.ApiContext, write: _messages.JobWrite
) -> str:
    unknown = False
    while True:
        outcomes = [await write_job(context, write)]
        names = _peers.connected_names(context.session.peers)
        for name in random.sample(names, min(MAX_PEERS_TRIED, len(names))):
            if outcomes[-1] in CERTAIN_OUTCOMES:
                break
            outcomes.append(await _write_through_peer(context, name, write))
        if outcomes[-1] in CERTAIN_OUTCOMES:
            return outcomes[-1]
        # A job is not refused while a write of it may still take effect.
        unknown = unknown or "unknown" in outcomes
        if not unknown:
            return "refused"
        await asyncio.sleep(WRITE_PAUSE_S)


async def write_job(
    context: _responses.ApiContext, write: _messages.JobWrite
) -> str:
    """Store a job from this instance; see `store_job`.

    Nothing is sent while the store is unresponsive. An unanswered write may
    still take effect, so its job could not be refused.
    """
    session = context.session
    if session.store.unresponsive:
        return "refused"
    try:
        entry = _entry_of(write)
    except errors.ProtocolError as error:
        LOG.error("Record of a job is refused.", error=str(error))
        return "refused"
    for _ in range(MAX_DIRECTORY_ATTEMPTS):
        transaction, directory = _make_job_transaction(session, write, entry)
        try:
            revision = await platform.commit(session.store, transaction)
        except platform.ConditionError as error:
            taken = [
                item for item in error.items if item.key != _keys.DIRECTORY
            ]
            if taken:
                return _classify_taken(write, taken)
            _session.adopt_conflicting_directory(session, error.items)
            context.metrics.retries.inc({"reason": "directory_changed"})
        except platform.StoreRefusedError as error:
            LOG.info("Job was not written.", key=write.key, error=str(error))
            return "refused"
        except errors.SchedulerError as error:
            LOG.info(
                "Outcome of a write is unknown.",
                key=write.key,
                error=str(error),
            )
            return "unknown"
        else:
            if _keys.DIRECTORY in transaction.put:
                _session.adopt_directory(
                    session, attrs.evolve(directory, revision=revision)
                )
            return "stored"
    LOG.warning("Directory keeps changing; job is refused.", key=write.key)
    return "refused"


def _classify_taken(
    write: _messages.JobWrite, items: list[platform.Item]
) -> str:
    """Return ``exists``, or ``foreign`` for a job of another workspace."""
    try:
        spec = workloads.decode_job(write.value)
        holders = [workloads.decode_job(item.value) for item in items]
    except errors.ProtocolError as error:
        # The id is taken all the same.
        LOG.info("Record of a job cannot be read.", error=str(error))
        return "exists"
    if all(_may_see(spec.workspace, spec.queue, each) for each in holders):
        return "exists"
    return "foreign"


def _may_see(
    workspace: str,
    queue: workloads.Queue,
    record: workloads.JobSpec | workloads.EndedJob,
) -> bool:
    ended = isinstance(record, workloads.EndedJob)
    name = record.queue if ended else record.queue.name
    return _access.may_see(
        workspace, record.workspace, same_queue=name == queue.name
    )


def _entry_of(write: _messages.JobWrite) -> _directory.Entry:
    if write.service:
        return write.service, write.queue
    # A former release sends the record only.
    queue = workloads.decode_job(write.value).queue
    return queue.service, queue.name


def _make_job_transaction(
    session: _session.Session,
    write: _messages.JobWrite,
    entry: _directory.Entry,
) -> tuple[platform.Transaction, _directory.Directory]:
    """Return the transaction that stores a job, and the directory after it.

    The id may be taken in services that only this instance or only the sender
    knows, so both lists of keys are checked. If there are too many, those of
    services without jobs are left out first.
    """
    directory = session.directory
    job_id = write.key.rpartition("/")[2]
    absent_keys = dict.fromkeys(
        (write.key, *_list_job_keys(session, job_id), *write.absent_keys)
    )
    expect = dict.fromkeys(itertools.islice(absent_keys, MAX_ABSENT_KEYS), 0)
    expect[_keys.DIRECTORY] = directory.revision
    put = {write.key: write.value}
    if not _directory.is_open(directory, entry):
        directory = _directory.open_entries(directory, {entry})
        put[_keys.DIRECTORY] = _directory.encode(directory)
    return platform.Transaction(expect=expect, put=put), directory


async def _write_through_peer(
    context: _responses.ApiContext, name: str, write: _messages.JobWrite
) -> str:
    try:
        reply = await _peers.call(
            context.session.peers,
            name,
            lambda call_id: attrs.evolve(write, call_id=call_id),
        )
    except errors.PeerNotConnectedError as error:
        LOG.info("Peer was not asked.", peer=name, error=str(error))
        return "refused"
    except errors.MeshError as error:
        LOG.info(
            "Peer did not answer the write call.", peer=name, error=str(error)
        )
        return "unknown"
    return reply.outcome


async def cancel(
    context: _responses.ApiContext,
    queue: workloads.Queue,
    job_id: str,
    *,
    workspace: str = "",
) -> _responses.Response:
    """Cancel a job if the caller's workspace may."""
    try:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            response = await _try_cancel(context, queue, job_id, workspace)
            if response is not None:
                return response
        reason = "its record keeps changing"
    except errors.SchedulerError as error:
        reason = str(error)
    return _responses.make_refusal(
        "cancel",
        503,
        "store_unavailable",
        f"The job may go on: {reason}",
        job=job_id,
        retry_after_s=_responses.RETRY_AFTER_S,
    )


async def _try_cancel(
    context: _responses.ApiContext,
    queue: workloads.Queue,
    job_id: str,
    workspace: str,
) -> _responses.Response | None:
    """Cancel a job; return None if its record has changed meanwhile.

    The write expects the record: one that is executed late, after the job was
    removed, would cancel the next job of the same id.
    """
    for service in _lookups.list_all_services(context, queue):
        item = await platform.read_key(
            context.session.store, _keys.job(service, job_id)
        )
        if item is not None:
            break
    else:
        return _responses.unknown_job("cancel", job_id)
    record = workloads.decode_job(item.value)
    if not _may_see(workspace, queue, record):
        return _responses.refuse_access(
            "cancel", "other_workspace", job=job_id
        )
    if not isinstance(record, workloads.EndedJob):
        try:
            await platform.commit(
                context.session.store,
                platform.Transaction(
                    expect={item.key: item.revision},
                    put={_keys.cancel(service, job_id): b""},
                ),
            )
        except platform.ConditionError:
            return None
    return _responses.Response(status=200, body={}, call="cancel", job=job_id)
