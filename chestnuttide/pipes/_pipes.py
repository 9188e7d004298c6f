"""Filters over typed messages.

A filter takes one message and the time and returns the messages that follow
from it. Every decision of the scheduler is a filter, so a recorded sequence of
messages and times always gives the same result.
"""

import collections.abc
import typing

Filter: typing.TypeAlias = collections.abc.Callable[
    [object, float], collections.abc.Sequence[object]
]


def pipe(*filters: Filter) -> Filter:
    """Join filters so that each takes the messages of the one before.

    Parameters
    ----------
    *filters : Filter
        The filters, first to last.

    Returns
    -------
    Filter
        A filter that passes a message through all of them. A filter that
        returns no message ends the pipe for that message.
    """

    def run(message: object, now: float) -> list[object]:
        messages: list[object] = [message]
        for step in filters:
            following: list[object] = []
            for current in messages:
                following.extend(step(current, now))
            messages = following
        return messages

    return run
