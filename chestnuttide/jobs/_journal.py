"""Events on their way to the journal, and what follows when durable."""

from chestnuttide.jobs import _messages
from chestnuttide.jobs import _state


def append(
    state: _state.PoolState,
    event: bytes,
    out: list[object],
    *effect: object,
) -> None:
    """Append an event; `effect` is carried out once it is durable.

    Parameters
    ----------
    state : PoolState
        The pool.
    event : bytes
        The encoded event.
    out : list
        Messages of this call.
    *effect : object
        Name of the effect and its arguments; none for no effect.
    """
    token = state.next_token
    state.next_token += 1
    if effect:
        state.effects[token] = effect
    out.append(_messages.AppendEvent(event=event, token=token))
