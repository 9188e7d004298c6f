"""Admission of requests: validation, at-most-once checks and queueing."""

import heapq

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import queueing
from chestnuttide.routing import _answering
from chestnuttide.routing import _dispatching
from chestnuttide.routing import _messages
from chestnuttide.routing import _refusals
from chestnuttide.routing import _state


def handle_submit(
    state: _state.RouterState, message: _messages.Submit, now: float
) -> list[object]:
    """Admit a request or refuse it."""
    request = message.request
    if not request.idempotent and not message.resend:
        # This check comes first: the others would report a request that ran
        # under this id as not run.
        used = coordination.request_state(
            state.ledger, request.request_id, now
        )
        if used is not None:
            first = state.calls_by_id.get(request.request_id)
            if first is not None:
                first.ignore_cancel = True
            return [_refuse_known_id(message, used.state)]
    error = _validate_request(state, message, now)
    if error is not None:
        answer = _refusals.make_answer(request.request_id, error)
        return [_messages.AnswerCall(call=message.call, answer=answer)]
    call = _state.Call(call=message.call, request=request, entered_at=now)
    if request.idempotent:
        state.calls[call.call] = call
        heapq.heappush(state.deadlines, (request.deadline, call.call))
        return enqueue(state, call, now)
    if message.resend:
        attached = _attach_resend(state, message)
        if attached is not None:
            return attached
    known = coordination.begin_request(state.ledger, request.request_id, now)
    if known is not None:
        return [_refuse_known_id(message, known)]
    state.calls[call.call] = call
    state.calls_by_id[request.request_id] = call
    call.state = _state.CallState.RECORDING
    heapq.heappush(state.deadlines, (request.deadline, call.call))
    heapq.heappush(
        state.intent_deadlines, (now + state.store_grace_s, call.call)
    )
    return [
        _messages.RecordIntent(call=call.call, request_id=request.request_id)
    ]


def handle_intent_recorded(
    state: _state.RouterState,
    message: _messages.IntentRecorded,
    now: float,
) -> list[object]:
    """Queue a request after its intent has become durable.

    An intent that becomes durable after its request was refused has no
    effect: the outcome that follows it in the journal records the refusal.
    """
    call = state.calls.get(message.call)
    if call is None or call.state is not _state.CallState.RECORDING:
        return []
    request_id = call.request.request_id
    if not coordination.record_intent(
        state.ledger, request_id, message.token, now
    ):
        return []
    return enqueue(state, call, now)


def enqueue(
    state: _state.RouterState, call: _state.Call, now: float
) -> list[object]:
    """Dispatch a call if the queue is empty and a slot is free; else queue it.

    A call that does not fit in the queue is refused.
    """
    queueing.record_request(state.budget)
    if not state.queue.items and not state.handing_over:
        outputs = _dispatching.dispatch_immediately(state, call, now)
        if outputs:
            return outputs
    team = state.teams[call.request.team]
    call.state = _state.CallState.QUEUED
    try:
        queueing.push(
            state.queue,
            _state.make_item(call),
            team_limit=team.request_limit,
        )
    except errors.RefusedError as error:
        answer = _refusals.make_answer(call.request.request_id, error)
        return _answering.answer_call(state, call, answer, now)
    return []


def handle_cancel(
    state: _state.RouterState, message: _messages.CancelCall, now: float
) -> list[object]:
    """Refuse a call whose caller has disconnected, unless it is in flight."""
    call = state.calls.get(message.call)
    if call is None or call.dispatches_in_flight or call.ignore_cancel:
        return []
    return _answering.refuse_call(
        state,
        call,
        errors.Reason.CANCELLED,
        "The caller is no longer waiting.",
        now,
    )


def _validate_request(
    state: _state.RouterState, message: _messages.Submit, now: float
) -> errors.RefusedError | None:
    request = message.request
    if state.handing_over:
        return _refusals.make_error(
            errors.Reason.NOT_OWNER,
            f"Shard {state.shard} is being handed over.",
        )
    if request.deadline <= now:
        return _refusals.make_error(
            errors.Reason.DEADLINE_EXCEEDED,
            "The deadline had passed on arrival.",
        )
    if request.team not in state.teams:
        return _refusals.make_error(
            errors.Reason.UNKNOWN_TEAM, f"There is no team {request.team}."
        )
    return None


def _attach_resend(
    state: _state.RouterState, message: _messages.Submit
) -> list[object] | None:
    """Attach a resent request to its first call or its cached answer.

    Returns None if this owner knows neither.
    """
    request_id = message.request.request_id
    call = state.calls_by_id.get(request_id)
    if call is not None:
        state.calls.pop(call.call, None)
        was_queued = queueing.cancel(state.queue, str(call.call)) is not None
        call.call = message.call
        state.calls[call.call] = call
        heapq.heappush(state.deadlines, (call.request.deadline, call.call))
        if was_queued:
            queueing.push(state.queue, _state.make_item(call), forced=True)
        return []
    answer = state.answers.get(request_id)
    if answer is not None:
        return [_messages.AnswerCall(call=message.call, answer=answer)]
    return None


def _refuse_known_id(
    message: _messages.Submit, known: coordination.RequestState
) -> _messages.AnswerCall:
    """Refuse an id that was used before, with the state of its request."""
    unknown = known is coordination.RequestState.OUTCOME_UNKNOWN
    if unknown and message.resend:
        error = _refusals.make_error(
            errors.Reason.OUTCOME_UNKNOWN,
            "The former owner may have run the request.",
            run_state=errors.RunState.UNKNOWN,
        )
    else:
        ran = known is coordination.RequestState.ANSWERED
        error = _refusals.make_error(
            errors.Reason.DUPLICATE_ID,
            f"The id was used before; the request is {known.value}.",
            run_state=errors.RunState.RAN if ran else errors.RunState.UNKNOWN,
            details={"state": known.value},
        )
    answer = _refusals.make_answer(message.request.request_id, error)
    return _messages.AnswerCall(call=message.call, answer=answer)
