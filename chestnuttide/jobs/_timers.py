"""Timers of a pool shard."""

import heapq

from chestnuttide.jobs import _state

# Timers handled per call, which bounds the duration of a call.
TIMERS_PER_CALL = 256


def schedule(
    state: _state.PoolState, at: float, kind: str, *arguments: object
) -> None:
    """Schedule a timer of the given kind."""
    state.timer_serial += 1
    heapq.heappush(state.timers, (at, state.timer_serial, kind, arguments))


def pop_due(state: _state.PoolState, now: float) -> list[tuple[str, tuple]]:
    """Remove and return due timers, oldest first, up to the limit."""
    due = []
    while (
        state.timers
        and state.timers[0][0] <= now
        and len(due) < TIMERS_PER_CALL
    ):
        _, _, kind, arguments = heapq.heappop(state.timers)
        due.append((kind, arguments))
    return due
