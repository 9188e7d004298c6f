"""Journal appends, and the actions that wait until they are durable."""

from chestnuttide.jobs import _messages
from chestnuttide.jobs import _state


def append(
    state: _state.PoolState,
    event: bytes,
    out: list[object],
    *effect: object,
) -> None:
    """Append an event to the journal.

    Parameters
    ----------
    state : PoolState
        The pool.
    event : bytes
        The encoded event.
    out : list
        Output messages of this call.
    *effect : object
        Name and arguments of the action to carry out once the event is
        durable; nothing for no action.
    """
    token = state.next_token
    state.next_token += 1
    if effect:
        state.effects[token] = effect
    out.append(_messages.AppendEvent(event=event, token=token))
