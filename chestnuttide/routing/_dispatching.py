"""Dispatch of queued requests to free slots, and handling of the results."""

import heapq

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide.routing import _answering
from chestnuttide.routing import _messages
from chestnuttide.routing import _state
from chestnuttide.routing import _targets

# Lowest HTTP status that counts as a failure of the target.
MIN_SERVER_ERROR_STATUS = 500


def dispatch_waiting(state: _state.RouterState, now: float) -> list[object]:
    """Dispatch queued requests while slots are free."""
    outputs: list[object] = []
    while state.pool.free_slots > 0:
        item = queueing.peek(state.queue)
        if item is None:
            break
        call = state.calls[int(item.key)]
        target = _targets.acquire_slot(state.pool, excluded=call.tried)
        if target is None:
            target = _targets.acquire_slot(state.pool)
        if target is None:
            break
        queueing.pop(state.queue, item.key)
        outputs += _dispatch_to(state, call, target, now)
    return outputs


def dispatch_immediately(
    state: _state.RouterState, call: _state.Call, now: float
) -> list[object]:
    """Dispatch a call without queueing it; only for use with an empty queue.

    This saves the cost of a push and a pop when there is nothing to order.

    Returns
    -------
    list of object
        The dispatch; empty if no slot is free.
    """
    if state.pool.free_slots <= 0:
        return []
    target = _targets.acquire_slot(state.pool)
    if target is None:
        return []
    return _dispatch_to(state, call, target, now)


def _dispatch_to(
    state: _state.RouterState,
    call: _state.Call,
    target: _targets.Target,
    now: float,
) -> list[object]:
    request = call.request
    if not request.idempotent and not coordination.mark_sent(
        state.ledger, request.request_id, now
    ):
        # The ledger is the authority on whether an id may be sent.
        _targets.release_slot(state.pool, target.target_id)
        return _answering.refuse_call(
            state,
            call,
            errors.Reason.INTERNAL,
            "The ledger does not allow the request to be sent.",
            now,
        )
    dispatch = _dispatch(state, call, target, now)
    if call.attempts > 1:
        return [dispatch]
    waited = _messages.Waited(
        seconds=now - call.entered_at, urgent=call.request.urgent
    )
    return [waited, dispatch]


def handle_dispatch_ended(
    state: _state.RouterState,
    message: _messages.DispatchEnded,
    now: float,
) -> list[object]:
    """Answer, retry or refuse the call of a dispatch that has ended."""
    record = state.dispatches.pop(message.dispatch_id, None)
    if record is None:
        return []
    call = record.call
    call.dispatches_in_flight -= 1
    outputs = _update_slot(state, record, message, now)
    result = message.result
    if message.sent and not (result is not None and result.leaving):
        call.may_have_run = True
    elif not call.request.idempotent:
        coordination.mark_unsent(state.ledger, call.request.request_id, now)
    if call.state is _state.CallState.ANSWERED:
        return outputs + _record_late_answer(state, record, result, now)
    if result is not None and not result.leaving:
        return outputs + _handle_result(state, record, result, now)
    return outputs + _handle_failure(state, call, message, now)


def hedge(state: _state.RouterState, now: float) -> list[object]:
    """Hedge slow idempotent requests by sending them to a second target."""
    outputs: list[object] = []
    while state.hedge_timers and state.hedge_timers[0][0] <= now:
        _, number = heapq.heappop(state.hedge_timers)
        call = state.calls.get(number)
        if (
            call is None
            or call.dispatches_in_flight != 1
            or state.handing_over
            or len(state.queue.items) > 0
            or not queueing.take_retry(state.budget, now)
        ):
            continue
        target = _targets.acquire_slot(state.pool, excluded=call.tried)
        if target is not None:
            outputs.append(_messages.Retried(reason=errors.RetryReason.HEDGE))
            outputs.append(_dispatch(state, call, target, now))
    return outputs


def _dispatch(
    state: _state.RouterState,
    call: _state.Call,
    target: _targets.Target,
    now: float,
) -> _messages.Dispatch:
    request = call.request
    dispatch_id = state.next_dispatch
    state.next_dispatch += 1
    call.state = _state.CallState.DISPATCHED
    call.attempts += 1
    call.dispatches_in_flight += 1
    call.tried |= {target.target_id}
    state.dispatches[dispatch_id] = _state.DispatchRecord(
        call=call, target_id=target.target_id
    )
    hedged = request.idempotent and state.policy.hedge_after_s
    if hedged and call.attempts == 1:
        heapq.heappush(
            state.hedge_timers, (now + state.policy.hedge_after_s, call.call)
        )
    return _messages.Dispatch(
        dispatch_id=dispatch_id,
        target_id=target.target_id,
        address=target.address,
        request_id=request.request_id,
        attempt=call.attempts,
        idempotent=request.idempotent,
        payload=request.payload,
        limit_s=state.policy.request_limit_s,
    )


def _update_slot(
    state: _state.RouterState,
    record: _state.DispatchRecord,
    message: _messages.DispatchEnded,
    now: float,
) -> list[object]:
    """Release the slot, unless the target may still be using it.

    Also records the outcome at the target.
    """
    target_id = record.target_id
    result = message.result
    if result is None and message.sent:
        _targets.abandon_slot(
            state.pool, target_id, until=now + state.policy.request_limit_s
        )
    else:
        _targets.release_slot(state.pool, target_id)
    query = state.busy_queries.get(target_id)
    target = state.pool.targets.get(target_id)
    if query is not None and target is not None:
        query.minimum_in_use = min(query.minimum_in_use, target.in_use)
    if message.lease_lost:
        return []
    if result is not None and result.leaving:
        if _targets.mark_leaving(state.pool, target_id):
            return [_messages.LeavingLearned(target_id=target_id)]
        return []
    ejected = _targets.record_outcome(
        state.pool,
        target_id,
        succeeded=result is not None
        and result.status < MIN_SERVER_ERROR_STATUS,
        policy=state.policy,
        now=now,
    )
    return [_messages.Ejected(target_id=target_id)] if ejected else []


def _record_late_answer(
    state: _state.RouterState,
    record: _state.DispatchRecord,
    result: _messages.TargetResult | None,
    now: float,
) -> list[object]:
    """Record a target's answer to a call that was already answered."""
    request = record.call.request
    if request.idempotent or result is None or result.leaving:
        return []
    coordination.mark_answered(
        state.ledger, request.request_id, result.status, now
    )
    _state.cache_answer(state, _make_answer(record, result))
    return [
        _messages.RecordOutcome(
            request_id=request.request_id, status=result.status
        )
    ]


def _make_answer(
    record: _state.DispatchRecord, result: _messages.TargetResult
) -> model.Answer:
    return model.Answer(
        request_id=record.call.request.request_id,
        status=result.status,
        content_type=result.content_type,
        body=result.body,
        target=record.target_id,
    )


def _handle_result(
    state: _state.RouterState,
    record: _state.DispatchRecord,
    result: _messages.TargetResult,
    now: float,
) -> list[object]:
    call = record.call
    if result.status >= MIN_SERVER_ERROR_STATUS and call.request.idempotent:
        if call.dispatches_in_flight:
            # Another attempt at the same request may still succeed.
            return []
        if _may_retry(state, call, now):
            return _retry(state, call, errors.RetryReason.TARGET_ERROR, now)
    answer = _make_answer(record, result)
    return _answering.answer_call(state, call, answer, now)


def _handle_failure(
    state: _state.RouterState,
    call: _state.Call,
    message: _messages.DispatchEnded,
    now: float,
) -> list[object]:
    if call.dispatches_in_flight:
        return []
    if message.lease_lost:
        return _answering.refuse_call(
            state,
            call,
            errors.Reason.LEASE_LOST,
            "The owner's lease ended before the request was sent.",
            now,
        )
    if message.result is not None:
        return _retry(state, call, errors.RetryReason.TARGET_LEAVING, now)
    if not message.sent:
        if call.attempts < state.policy.max_attempts + len(state.pool.targets):
            return _retry(state, call, errors.RetryReason.CONNECT_FAILED, now)
        reason = errors.Reason.TARGET_FAILED
        return _answering.refuse_call(
            state, call, reason, "No target accepted a connection.", now
        )
    if call.request.idempotent and _may_retry(state, call, now):
        return _retry(state, call, errors.RetryReason.CONNECTION_LOST, now)
    return _answering.refuse_call(
        state,
        call,
        errors.Reason.OUTCOME_UNKNOWN,
        "The target did not answer.",
        now,
    )


def _may_retry(
    state: _state.RouterState, call: _state.Call, now: float
) -> bool:
    return (
        call.attempts < state.policy.max_attempts
        and now < call.request.deadline
        and queueing.take_retry(state.budget, now)
    )


def _retry(
    state: _state.RouterState,
    call: _state.Call,
    reason: errors.RetryReason,
    now: float,
) -> list[object]:
    """Queue a call again, in the place given by its time of arrival."""
    if state.handing_over:
        return _answering.refuse_call(
            state,
            call,
            errors.Reason.NOT_OWNER,
            f"Shard {state.shard} is being handed over.",
            now,
        )
    call.state = _state.CallState.QUEUED
    queueing.push(state.queue, _state.make_item(call), forced=True)
    return [_messages.Retried(reason=reason)]
