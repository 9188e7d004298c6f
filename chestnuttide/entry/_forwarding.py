"""Forwards calls to the owners of shards and retries until the deadline.

A call that may have reached an owner whose connection closed is resent with
the same id to the shard's new owner. The new owner's ledger decides whether a
non-idempotent request may still run.
"""

import asyncio
import collections.abc
import json
import time

import attrs

from chestnuttide import coordination
from chestnuttide.entry import _owners
from chestnuttide.entry import _state
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import routing
from chestnuttide import telemetry

# The owner replies by the deadline; the reply may arrive this much later.
REPLY_MARGIN_S = 0.25
# Delay before a retry to a shard whose owner refused or is unknown; a change
# of owner ends the delay early.
RETRY_DELAY_S = 0.1
# Timeout of all calls to a shard except forwarded requests.
CALL_TIMEOUT_S = 10.0
# Timeout of reading a response from the former owners of a shard.
FORMER_OWNER_TIMEOUT_S = 1.0

# States of a request in the ledger in which no dispatch is in progress.
_SETTLED_STATES = frozenset(
    (
        coordination.RequestState.ANSWERED.value,
        coordination.RequestState.OUTCOME_UNKNOWN.value,
    )
)

# Refusals after which the call is retried at the owner then known.
_NOT_OWNER_REASONS = frozenset(
    (errors.Reason.NOT_OWNER.value, errors.Reason.LEASE_LOST.value)
)


async def forward_request(
    state: _state.EntryState, request: model.Request, shard: str
) -> mesh.RequestReply:
    """Return the owner's reply to a request, or a refusal in its place.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    request : Request
        The request.
    shard : str
        Shard responsible for the request.
    """
    maybe_sent = False
    while True:
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return _make_refusal(
                request,
                errors.Reason.DEADLINE_EXCEEDED,
                f"Shard {shard} did not answer in time.",
                maybe_sent,
            )
        owner = _owners.find_owner(state.owners, shard)
        if owner is None:
            telemetry.count_retry(state.metrics, errors.RetryReason.NO_OWNER)
            await _owners.wait_for_change(
                state.owners, min(remaining_s, RETRY_DELAY_S)
            )
            continue
        try:
            reply = await _call_owner(
                state, owner, request, shard, remaining_s, maybe_sent
            )
        except _QueueFullError:
            return _make_refusal(
                request,
                errors.Reason.MESH_QUEUE_FULL,
                f"The mesh queue to {owner.peer.sender} is full.",
                maybe_sent,
            )
        except errors.MeshError:
            maybe_sent = True
            telemetry.count_retry(
                state.metrics, errors.RetryReason.CONNECTION_LOST
            )
            continue
        except TimeoutError:
            maybe_sent = True
            continue
        if reply.reason in _NOT_OWNER_REASONS:
            if reply.run_state != errors.RunState.NOT_RUN.value:
                maybe_sent = True
            telemetry.count_retry(state.metrics, errors.RetryReason.NOT_OWNER)
            await _owners.wait_for_change(
                state.owners, min(remaining_s, RETRY_DELAY_S)
            )
            continue
        return _correct_run_state(request, reply, maybe_sent)


async def call_shard(
    state: _state.EntryState,
    shard: str,
    make_message: collections.abc.Callable[[int], object],
) -> mesh.Reply | mesh.RequestReply:
    """Return the reply of a shard's owner to a call that is safe to repeat.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    shard : str
        The shard.
    make_message : function
        Returns the message for a call id.

    Raises
    ------
    errors.RefusedError
        With `NO_OWNER` if no owner answered within `CALL_TIMEOUT_S`.
    """
    deadline = time.monotonic() + CALL_TIMEOUT_S
    while True:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise errors.RefusedError(
                reason=errors.Reason.NO_OWNER,
                message=f"No owner of shard {shard} answered in time.",
                remedy="Check the state of your call before you try again.",
                run_state=errors.RunState.UNKNOWN,
            )
        owner = _owners.find_owner(state.owners, shard)
        reply = None
        if owner is not None:
            if mesh.is_full(owner):
                raise _queue_full_refusal(owner)
            reply = await try_call(state, owner, make_message, remaining_s)
        if reply is not None and reply.reason not in _NOT_OWNER_REASONS:
            return reply
        telemetry.count_retry(
            state.metrics,
            errors.RetryReason.NO_OWNER
            if owner is None
            else errors.RetryReason.NOT_OWNER,
        )
        await _owners.wait_for_change(
            state.owners, min(remaining_s, RETRY_DELAY_S)
        )


async def read_answer(
    state: _state.EntryState, shard: str, request_id: str
) -> mesh.Reply | mesh.RequestReply:
    """Return the stored response of a request, or else its state.

    The owner is queried first. If it has no response and no dispatch in
    progress, a former owner may have the response, because former owners
    complete the requests that they dispatched.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    shard : str
        Shard responsible for the request.
    request_id : str
        Request id that the caller chose.

    Raises
    ------
    errors.RefusedError
        See `call_shard`.
    """

    def make_message(call_id: int) -> mesh.RequestRead:
        return mesh.RequestRead(
            call_id=call_id,
            shard=shard,
            request_id=request_id,
            want_answer=True,
        )

    reply = await call_shard(state, shard, make_message)
    if isinstance(reply, mesh.RequestReply) or reply.reason:
        return reply
    if json.loads(reply.body)["state"] not in _SETTLED_STATES:
        return reply
    others = await asyncio.gather(
        *(
            try_call(state, each, make_message, FORMER_OWNER_TIMEOUT_S)
            for each in mesh.schedulers(state.network)
            if each is not _owners.find_owner(state.owners, shard)
        )
    )
    for other in others:
        if isinstance(other, mesh.RequestReply):
            return other
    for other in others:
        if other is None or other.reason:
            continue
        if json.loads(other.body)["state"] not in _SETTLED_STATES:
            return other
    return reply


async def try_call(
    state: _state.EntryState,
    connection: mesh.Connection,
    make_message: collections.abc.Callable[[int], object],
    timeout_s: float,
) -> mesh.Reply | mesh.RequestReply | None:
    """Make one call and return its reply, or None if there was none."""
    call_id, future = mesh.open_call(state.calls, connection)
    try:
        mesh.send(connection, make_message(call_id))
        async with asyncio.timeout(timeout_s):
            return await future
    except (errors.MeshError, TimeoutError):
        return None
    finally:
        mesh.close_call(state.calls, call_id)


def _queue_full_refusal(connection: mesh.Connection) -> errors.RefusedError:
    return errors.RefusedError(
        reason=errors.Reason.MESH_QUEUE_FULL,
        message=f"The mesh queue to {connection.peer.sender} is full.",
        remedy="Try again later, or raise mesh.mesh_queue_messages.",
    )


class _QueueFullError(Exception):
    """The send queue to the owner is full, so nothing was sent."""


async def _call_owner(
    state: _state.EntryState,
    owner: mesh.Connection,
    request: model.Request,
    shard: str,
    remaining_s: float,
    resend: bool,
) -> mesh.RequestReply:
    call_id, future = mesh.open_call(state.calls, owner)
    message = mesh.RequestCall(
        call_id=call_id,
        shard=shard,
        request_id=request.request_id,
        service=request.service,
        team=request.team,
        urgent=request.urgent,
        idempotent=request.idempotent,
        timeout_s=remaining_s,
        payload=request.payload,
        resend=resend,
    )
    try:
        try:
            mesh.send(owner, message)
        except errors.MeshError as error:
            raise _QueueFullError from error
        async with asyncio.timeout(remaining_s + REPLY_MARGIN_S):
            return await future
    except asyncio.CancelledError:
        mesh.send_if_possible(owner, mesh.RequestCancel(call_id=call_id))
        raise
    finally:
        mesh.close_call(state.calls, call_id)


def _make_refusal(
    request: model.Request,
    reason: errors.Reason,
    message: str,
    maybe_sent: bool,
) -> mesh.RequestReply:
    # The caller may already have sent a non-idempotent request with this id
    # through an entry that has failed; only the owner's ledger knows.
    may_have_run = maybe_sent or not request.idempotent
    run_state = (
        errors.RunState.UNKNOWN if may_have_run else errors.RunState.NOT_RUN
    )
    error = routing.make_error(reason, message, run_state=run_state)
    return mesh.RequestReply(
        call_id=0,
        request_id=request.request_id,
        status=errors.HTTP_STATUS[reason],
        content_type=routing.JSON_TYPE,
        body=routing.encode_error(error),
        reason=reason.value,
        run_state=run_state.value,
        target="",
    )


def _correct_run_state(
    request: model.Request, reply: mesh.RequestReply, maybe_sent: bool
) -> mesh.RequestReply:
    """Replace "not run" by "unknown" if a former owner may have dispatched it.

    The ledger could rule that out, but it records no idempotent requests.
    """
    if (
        not maybe_sent
        or not request.idempotent
        or reply.run_state != errors.RunState.NOT_RUN.value
    ):
        return reply
    body = json.loads(reply.body)
    body["error"]["run_state"] = errors.RunState.UNKNOWN.value
    return attrs.evolve(
        reply,
        body=json.dumps(body).encode(),
        run_state=errors.RunState.UNKNOWN.value,
    )
