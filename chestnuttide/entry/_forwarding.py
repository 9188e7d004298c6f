"""Forwarding of calls to the owners of shards, until their deadlines.

A call that may have reached an owner whose connection ended is sent again to
the shard's next owner with the same id. The ledger there decides whether a
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

# The owner answers at the deadline; its answer needs this long to get here.
REPLY_MARGIN_S = 0.25
# Pause before a shard is tried again whose owner has refused or is unknown;
# a new owner ends the pause.
OWNER_PAUSE_S = 0.1
# Calls about jobs and config end after this time.
CALL_TIMEOUT_S = 10.0

# Former owners are asked for an answer for this long.
FORMER_TIMEOUT_S = 1.0

# States of a request in the ledger that tell of no dispatch under way.
_ENDED = frozenset(
    (
        coordination.RequestState.ANSWERED.value,
        coordination.RequestState.OUTCOME_UNKNOWN.value,
    )
)

_ELSEWHERE = frozenset(
    (errors.Reason.NOT_OWNER.value, errors.Reason.LEASE_LOST.value)
)


async def forward_request(
    state: _state.EntryState, request: model.Request, shard: str
) -> mesh.RequestReply:
    """Return the owner's reply to a request, or a refusal in its form.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    request : Request
        The request.
    shard : str
        Shard that decides about it.
    """
    maybe_sent = False
    while True:
        left_s = request.deadline - time.monotonic()
        if left_s <= 0:
            return _refuse(
                request,
                errors.Reason.DEADLINE_EXCEEDED,
                f"Shard {shard} gave no answer in time.",
                maybe_sent,
            )
        owner = _owners.owner_of(state.owners, shard)
        if owner is None:
            telemetry.count_retry(state.metrics, errors.RetryReason.NO_OWNER)
            await _owners.wait_for_change(
                state.owners, min(left_s, OWNER_PAUSE_S)
            )
            continue
        try:
            reply = await _call_owner(
                state, owner, request, shard, left_s, maybe_sent
            )
        except _QueueFullError:
            return _refuse(
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
        if reply.reason in _ELSEWHERE:
            if reply.run_state != errors.RunState.NOT_RUN.value:
                maybe_sent = True
            telemetry.count_retry(state.metrics, errors.RetryReason.NOT_OWNER)
            await _owners.wait_for_change(
                state.owners, min(left_s, OWNER_PAUSE_S)
            )
            continue
        return _correct_run_state(request, reply, maybe_sent)


async def call_shard(
    state: _state.EntryState,
    shard: str,
    make_message: collections.abc.Callable[[int], object],
) -> mesh.Reply | mesh.RequestReply:
    """Return the reply of a shard's owner to a call that may be repeated.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    shard : str
        The shard.
    make_message : function
        Returns the message for a call number.

    Raises
    ------
    errors.RefusedError
        With `NO_OWNER` if no owner answered within `CALL_TIMEOUT_S`.
    """
    deadline = time.monotonic() + CALL_TIMEOUT_S
    while True:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise errors.RefusedError(
                reason=errors.Reason.NO_OWNER,
                message=f"No owner of shard {shard} has answered.",
                remedy="Read the state of your call, then try again.",
                run_state=errors.RunState.UNKNOWN,
            )
        owner = _owners.owner_of(state.owners, shard)
        reply = None
        if owner is not None:
            if mesh.is_full(owner):
                raise _mesh_queue_full(owner)
            reply = await try_call(state, owner, make_message, left_s)
        if reply is not None and reply.reason not in _ELSEWHERE:
            return reply
        telemetry.count_retry(
            state.metrics,
            errors.RetryReason.NO_OWNER
            if owner is None
            else errors.RetryReason.NOT_OWNER,
        )
        await _owners.wait_for_change(state.owners, min(left_s, OWNER_PAUSE_S))


async def read_answer(
    state: _state.EntryState, shard: str, request_id: str
) -> mesh.Reply | mesh.RequestReply:
    """Return the kept answer of a request, or what is known about it.

    The owner is asked first. If it only knows that the request may have run,
    the answer may be at a former owner, which finishes what it had sent.

    Parameters
    ----------
    state : EntryState
        The daemon's state.
    shard : str
        Shard that decides about the request.
    request_id : str
        The caller's id.

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
    if json.loads(reply.body)["state"] not in _ENDED:
        return reply
    others = await asyncio.gather(
        *(
            try_call(state, each, make_message, FORMER_TIMEOUT_S)
            for each in mesh.schedulers(state.network)
            if each is not _owners.owner_of(state.owners, shard)
        )
    )
    for other in others:
        if isinstance(other, mesh.RequestReply):
            return other
    for other in others:
        if other is None or other.reason:
            continue
        if json.loads(other.body)["state"] not in _ENDED:
            return other
    return reply


async def try_call(
    state: _state.EntryState,
    connection: mesh.Connection,
    make_message: collections.abc.Callable[[int], object],
    timeout_s: float,
) -> mesh.Reply | mesh.RequestReply | None:
    """Return the reply to one call, or None if there was none."""
    call_id, future = mesh.open_call(state.calls, connection)
    try:
        mesh.send(connection, make_message(call_id))
        async with asyncio.timeout(timeout_s):
            return await future
    except (errors.MeshError, TimeoutError):
        return None
    finally:
        mesh.close_call(state.calls, call_id)


def _mesh_queue_full(connection: mesh.Connection) -> errors.RefusedError:
    return errors.RefusedError(
        reason=errors.Reason.MESH_QUEUE_FULL,
        message=f"The mesh queue to {connection.peer.sender} is full.",
        remedy="Try again later, or raise mesh.mesh_queue_messages.",
    )


class _QueueFullError(Exception):
    """The send queue to the owner is full; nothing was sent."""


async def _call_owner(
    state: _state.EntryState,
    owner: mesh.Connection,
    request: model.Request,
    shard: str,
    left_s: float,
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
        timeout_s=left_s,
        payload=request.payload,
        resend=resend,
    )
    try:
        try:
            mesh.send(owner, message)
        except errors.MeshError as error:
            raise _QueueFullError from error
        async with asyncio.timeout(left_s + REPLY_MARGIN_S):
            return await future
    except asyncio.CancelledError:
        mesh.send_if_possible(owner, mesh.RequestCancel(call_id=call_id))
        raise
    finally:
        mesh.close_call(state.calls, call_id)


def _refuse(
    request: model.Request,
    reason: errors.Reason,
    message: str,
    maybe_sent: bool,
) -> mesh.RequestReply:
    # The caller may have sent a non-idempotent id before, through an entry
    # that has died; only the ledger of an owner knows.
    open_ = maybe_sent or not request.idempotent
    run_state = errors.RunState.UNKNOWN if open_ else errors.RunState.NOT_RUN
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
    """Withdraw "not run" for a request that a former owner may have sent.

    Only the ledger knows better, and it holds no idempotent requests.
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
