"""What planning rounds have left behind, for reports of what waits."""

import collections
import collections.abc
import math
import typing

import attrs

from chestnuttide import model

# Planned starts are counted for this long, by whole seconds.
HISTORY_S: typing.Final = 60


@attrs.define(kw_only=True, slots=True, eq=False)
class RoundHistory:
    """Results of planning rounds that no task or worker holds.

    Attributes
    ----------
    planned_at : float
        Monotonic time of the last round; 0 before the first.
    reserved : dict of str to Resources
        Capacity that it reserved, by worker.
    holders : dict of str to set of str
        Jobs for which it reserved that capacity, by worker.
    spare_cpu_millis : float
        Processors that it left to work that is not urgent.
    busy : bool
        Whether the service is busy after it.
    starts : dict of int to Counter of int
        Tasks whose start was planned, by the second of the plan on the
        monotonic clock and the second of the job's acceptance on the wall
        clock.
    """

    planned_at: float = 0.0
    reserved: dict[str, model.Resources] = attrs.field(factory=dict)
    holders: dict[str, set[str]] = attrs.field(factory=dict)
    spare_cpu_millis: float = math.inf
    busy: bool = False
    starts: dict[int, collections.Counter[int]] = attrs.field(factory=dict)


def record_starts(
    history: RoundHistory,
    accepted_unix_s: collections.abc.Iterable[float],
    *,
    now: float,
) -> None:
    """Count planned starts by the acceptance of their jobs."""
    second = int(now)
    counts = history.starts.get(second)
    if counts is None:
        counts = history.starts[second] = collections.Counter()
        for old in [s for s in history.starts if s <= second - HISTORY_S]:
            del history.starts[old]
    counts.update(map(int, accepted_unix_s))


def count_later_starts(
    history: RoundHistory, *, since: float, accepted_unix_s: float
) -> int:
    """Return how many starts of later jobs were planned since a time.

    Only whole seconds after `since` and after the acceptance count, so the
    number may be too low and is never too high.
    """
    return sum(
        tasks
        for second, counts in history.starts.items()
        if second > since
        for accepted, tasks in counts.items()
        if accepted > accepted_unix_s
    )
