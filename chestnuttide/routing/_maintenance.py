"""Deadlines and timers, changes of targets and policy, and handover."""

import heapq

from chestnuttide import errors
from chestnuttide import queueing
from chestnuttide.routing import _answering
from chestnuttide.routing import _messages
from chestnuttide.routing import _state
from chestnuttide.routing import _targets

# Seconds between queries to a target that has unaccounted slots.
BUSY_QUERY_INTERVAL_S = 0.2
# Timers of ended calls tolerated in a heap before it is rebuilt.
MIN_ENDED_TIMERS = 1024


def handle_tick(state: _state.RouterState, now: float) -> list[object]:
    """Refuse calls whose time has run out and update the targets' slots."""
    outputs: list[object] = []
    for item in queueing.expire(state.queue, now):
        call = state.calls[int(item.key)]
        outputs += _expire_call(state, call, now)
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        call = state.calls.get(number)
        if call is not None:
            outputs += _expire_call(state, call, now)
    while state.intent_deadlines and state.intent_deadlines[0][0] <= now:
        _, number = heapq.heappop(state.intent_deadlines)
        call = state.calls.get(number)
        if call is not None and call.state is _state.CallState.RECORDING:
            outputs += _answering.refuse_call(
                state,
                call,
                errors.Reason.STORE_UNAVAILABLE,
                "The intent to run the request could not be recorded.",
                now,
            )
    for timers in (
        state.deadlines,
        state.intent_deadlines,
        state.hedge_timers,
    ):
        _remove_ended_timers(state, timers)
    _targets.expire(state.pool, now)
    return outputs + _query_busy(state, now)


def handle_targets_changed(
    state: _state.RouterState,
    message: _messages.TargetsChanged,
    now: float,
) -> list[object]:
    """Apply changes of the instance list."""
    for instance in message.instances:
        is_new = _targets.update_target(
            state.pool,
            instance,
            unaccounted_until=state.unaccounted_until,
            now=now,
        )
        if is_new and instance.instance_id in state.residual:
            _targets.set_unaccounted(
                state.pool,
                instance.instance_id,
                times=state.residual.pop(instance.instance_id),
            )
    return _query_busy(state, now)


def handle_busy_reported(
    state: _state.RouterState,
    message: _messages.BusyReported,
    now: float,
) -> list[object]:
    """Free unaccounted slots that the target does not report as busy."""
    query = state.busy_queries.get(message.target_id)
    target = state.pool.targets.get(message.target_id)
    if query is None or target is None:
        return []
    query.waiting = False
    others = max(0, message.busy - query.minimum_in_use)
    if others < len(target.unaccounted):
        _targets.free_unaccounted(
            state.pool,
            message.target_id,
            count=len(target.unaccounted) - others,
        )
    return []


def handle_policy_changed(
    state: _state.RouterState, message: _messages.PolicyChanged
) -> list[object]:
    """Apply a new config version."""
    state.policy = message.service
    state.teams = message.teams
    state.queue.limit = message.service.queue_limit
    state.budget.ratio = message.service.retry_ratio
    queueing.set_weights(
        state.queue,
        {name: team.weight for name, team in message.teams.items()},
    )
    return []


def handle_hand_over(state: _state.RouterState, now: float) -> list[object]:
    """Stop dispatching and refuse all calls with no dispatch in flight."""
    state.handing_over = True
    outputs: list[object] = []
    for call in list(state.calls.values()):
        if call.dispatches_in_flight == 0:
            outputs += _answering.refuse_call(
                state,
                call,
                errors.Reason.NOT_OWNER,
                f"Shard {state.shard} is being handed over.",
                now,
            )
    return outputs


def _remove_ended_timers(
    state: _state.RouterState, timers: list[tuple[float, int]]
) -> None:
    """Remove timers of ended calls once they are the majority.

    A caller may set a deadline an hour away; without this, the timer would
    stay in memory for that hour.
    """
    if len(timers) > 2 * len(state.calls) + MIN_ENDED_TIMERS:
        timers[:] = [each for each in timers if each[1] in state.calls]
        heapq.heapify(timers)


def _expire_call(
    state: _state.RouterState, call: _state.Call, now: float
) -> list[object]:
    if call.request.deadline > now:
        return []
    return _answering.refuse_call(
        state,
        call,
        errors.Reason.DEADLINE_EXCEEDED,
        "The deadline passed before an answer arrived.",
        now,
    )


def _query_busy(state: _state.RouterState, now: float) -> list[object]:
    path = state.policy.status_path
    if not path:
        return []
    outputs: list[object] = []
    for target in state.pool.targets.values():
        if not target.unaccounted:
            state.busy_queries.pop(target.target_id, None)
            continue
        query = state.busy_queries.setdefault(
            target.target_id, _state.BusyQuery()
        )
        if now < query.next_at:
            continue
        query.next_at = now + BUSY_QUERY_INTERVAL_S
        query.waiting = True
        query.minimum_in_use = target.in_use
        outputs.append(
            _messages.QueryBusy(
                target_id=target.target_id,
                address=target.address,
                path=path,
            )
        )
    return outputs
