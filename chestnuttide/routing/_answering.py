"""Answers and refusals; each call is answered exactly once."""

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide.routing import _messages
from chestnuttide.routing import _refusals
from chestnuttide.routing import _state


def answer_call(
    state: _state.RouterState,
    call: _state.Call,
    answer: model.Answer,
    now: float,
) -> list[object]:
    """Answer a call and record the outcome of a non-idempotent request."""
    outputs: list[object] = [
        _messages.AnswerCall(call=call.call, answer=answer)
    ]
    was_queued = call.state is _state.CallState.QUEUED
    call.state = _state.CallState.ANSWERED
    state.calls.pop(call.call, None)
    if was_queued:
        queueing.cancel(state.queue, str(call.call))
    request = call.request
    if request.idempotent:
        return outputs
    state.calls_by_id.pop(request.request_id, None)
    return outputs + _record_outcome(state, answer, now)


def _record_outcome(
    state: _state.RouterState, answer: model.Answer, now: float
) -> list[object]:
    """Record the outcome of a non-idempotent request in the ledger."""
    request_id = answer.request_id
    if answer.run_state is errors.RunState.RAN:
        coordination.mark_answered(
            state.ledger, request_id, answer.status, now
        )
        _state.cache_answer(state, answer)
        return [
            _messages.RecordOutcome(
                request_id=request_id, status=answer.status
            )
        ]
    if answer.run_state is errors.RunState.UNKNOWN:
        coordination.mark_unknown(state.ledger, request_id, now)
        return []
    if coordination.refuse_request(state.ledger, request_id):
        return [
            _messages.RecordOutcome(
                request_id=request_id, status=coordination.NOT_RUN_STATUS
            )
        ]
    return []


def refuse_call(
    state: _state.RouterState,
    call: _state.Call,
    reason: errors.Reason,
    message: str,
    now: float,
) -> list[object]:
    """Refuse a call; it counts as not run only if no byte of it was sent."""
    run_state = (
        errors.RunState.UNKNOWN
        if call.may_have_run or call.dispatches_in_flight
        else errors.RunState.NOT_RUN
    )
    error = _refusals.make_error(reason, message, run_state=run_state)
    answer = _refusals.make_answer(call.request.request_id, error)
    return answer_call(state, call, answer, now)
