"""Routing of requests to the slots of a service's targets."""

from chestnuttide.routing import _filter
from chestnuttide.routing import _messages
from chestnuttide.routing import _refusals
from chestnuttide.routing import _state
from chestnuttide.routing import _targets

AnswerCall = _messages.AnswerCall
BusyReported = _messages.BusyReported
CancelCall = _messages.CancelCall
Dispatch = _messages.Dispatch
DispatchEnded = _messages.DispatchEnded
Ejected = _messages.Ejected
HandOver = _messages.HandOver
IntentRecorded = _messages.IntentRecorded
JSON_TYPE = _refusals.JSON_TYPE
LeavingLearned = _messages.LeavingLearned
PolicyChanged = _messages.PolicyChanged
QueryBusy = _messages.QueryBusy
RecordIntent = _messages.RecordIntent
RecordOutcome = _messages.RecordOutcome
Retried = _messages.Retried
RouterState = _state.RouterState
SlotsFreed = _messages.SlotsFreed
Submit = _messages.Submit
TargetLeaving = _messages.TargetLeaving
TargetPool = _targets.TargetPool
TargetResult = _messages.TargetResult
TargetsChanged = _messages.TargetsChanged
Tick = _messages.Tick
Waited = _messages.Waited
encode_error = _refusals.encode_error
in_flight = _targets.in_flight
make_answer = _refusals.make_answer
make_error = _refusals.make_error
make_router_filter = _filter.make_router_filter
residual = _targets.residual

__all__ = [
    "AnswerCall",
    "BusyReported",
    "CancelCall",
    "Dispatch",
    "DispatchEnded",
    "Ejected",
    "HandOver",
    "IntentRecorded",
    "JSON_TYPE",
    "LeavingLearned",
    "PolicyChanged",
    "QueryBusy",
    "RecordIntent",
    "RecordOutcome",
    "Retried",
    "RouterState",
    "SlotsFreed",
    "Submit",
    "TargetLeaving",
    "TargetPool",
    "TargetResult",
    "TargetsChanged",
    "Tick",
    "Waited",
    "encode_error",
    "in_flight",
    "make_answer",
    "make_error",
    "make_router_filter",
    "residual",
]
