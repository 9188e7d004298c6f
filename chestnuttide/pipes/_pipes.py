"""Filters over typed messages.

A filter takes a message and the current time, and returns the messages that
result. All decisions of the scheduler are made in filters, so replaying a
recorded sequence of messages and times always gives the same result.
"""

import collections.abc
import typing

Filter: typing.TypeAlias = collections.abc.Callable[
    [object, float], collections.abc.Sequence[object]
]


def pipe(*filters: Filter) -> Filter:
    """Compose filters so that each processes the output of the previous one.

    Parameters
    ----------
    *filters : Filter
        Filters in the sequence in which they are applied.

    Returns
    -------
    Filter
        A filter that passes a message through all filters. A message for
        which a filter returns nothing is not passed on.
    """

    def apply(message: object, now: float) -> list[object]:
        messages: list[object] = [message]
        for current_filter in filters:
            results: list[object] = []
            for item in messages:
                results.extend(current_filter(item, now))
            messages = results
        return messages

    return apply
