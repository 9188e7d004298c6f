"""The routing of one shard as a filter."""

from chestnuttide import pipes
from chestnuttide.routing import _admission
from chestnuttide.routing import _dispatching
from chestnuttide.routing import _messages
from chestnuttide.routing import _state
from chestnuttide.routing import _targets
from chestnuttide.routing import _upkeep


def make_router_filter(*, state: _state.RouterState) -> pipes.Filter:
    """Return the filter that decides for one shard.

    Parameters
    ----------
    state : RouterState
        The shard's state; only this filter changes it.

    Returns
    -------
    Filter
        Takes the input messages of `chestnuttide.routing` and returns its
        output messages.
    """

    def decide(message: object, now: float) -> list[object]:
        outputs = _handle(state, message, now)
        return outputs + _dispatching.pump(state, now)

    return decide


def _handle(
    state: _state.RouterState, message: object, now: float
) -> list[object]:
    match message:
        case _messages.Submit():
            return _admission.submit(state, message, now)
        case _messages.DispatchEnded():
            return _dispatching.dispatch_ended(state, message, now)
        case _messages.IntentRecorded():
            return _admission.intent_recorded(state, message, now)
        case _messages.Tick():
            return _upkeep.tick(state, now) + _dispatching.hedge(state, now)
        case _messages.CancelCall():
            return _admission.cancel(state, message, now)
        case _messages.TargetsChanged():
            return _upkeep.targets_changed(state, message, now)
        case _messages.TargetLeaving():
            _targets.mark_leaving(state.pool, message.target_id)
        case _messages.BusyReported():
            return _upkeep.busy_reported(state, message, now)
        case _messages.SlotsFreed():
            _targets.free_unaccounted(
                state.pool, message.target_id, count=message.count
            )
        case _messages.PolicyChanged():
            return _upkeep.policy_changed(state, message)
        case _messages.HandOver():
            return _upkeep.hand_over(state, now)
        case _:
            raise TypeError(f"routing takes no {type(message).__name__}")
    return []
