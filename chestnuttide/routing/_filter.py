"""The filter that makes the routing decisions of one shard."""

from chestnuttide import pipes
from chestnuttide.routing import _admission
from chestnuttide.routing import _dispatching
from chestnuttide.routing import _maintenance
from chestnuttide.routing import _messages
from chestnuttide.routing import _state
from chestnuttide.routing import _targets


def make_router_filter(*, state: _state.RouterState) -> pipes.Filter:
    """Return the filter that routes the requests of one shard.

    Parameters
    ----------
    state : RouterState
        The shard's state; only this filter changes it.

    Returns
    -------
    Filter
        Takes the input messages of `chestnuttide.routing` and returns the
        output messages.
    """

    def decide(message: object, now: float) -> list[object]:
        outputs = _handle(state, message, now)
        return outputs + _dispatching.dispatch_waiting(state, now)

    return decide


def _handle(
    state: _state.RouterState, message: object, now: float
) -> list[object]:
    match message:
        case _messages.Submit():
            return _admission.handle_submit(state, message, now)
        case _messages.DispatchEnded():
            return _dispatching.handle_dispatch_ended(state, message, now)
        case _messages.IntentRecorded():
            return _admission.handle_intent_recorded(state, message, now)
        case _messages.Tick():
            return _maintenance.handle_tick(state, now) + _dispatching.hedge(
                state, now
            )
        case _messages.CancelCall():
            return _admission.handle_cancel(state, message, now)
        case _messages.TargetsChanged():
            return _maintenance.handle_targets_changed(state, message, now)
        case _messages.TargetLeaving():
            _targets.mark_leaving(state.pool, message.target_id)
        case _messages.BusyReported():
            return _maintenance.handle_busy_reported(state, message, now)
        case _messages.SlotsFreed():
            _targets.free_unaccounted(
                state.pool, message.target_id, count=message.count
            )
        case _messages.PolicyChanged():
            return _maintenance.handle_policy_changed(state, message)
        case _messages.HandOver():
            return _maintenance.handle_hand_over(state, now)
        case _:
            raise TypeError(f"unsupported message {type(message).__name__}")
    return []
