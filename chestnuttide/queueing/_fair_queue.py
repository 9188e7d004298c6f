"""A queue with urgency, weighted fair shares, deadlines and backfill.

Order: urgent items first; then the team with the lowest virtual time (cost
served divided by weight); within a team, short expected runs first, with
ageing. Items are also split into lanes, chosen by the caller, so that one lane
that cannot proceed does not hide the others.
"""

import collections.abc
import heapq
import math

import attrs
import sortedcontainers

from chestnuttide import errors

# An item may be overtaken only by items that entered at most this many
# seconds later, so long work cannot starve.
MAX_AGEING_S = 120.0

# Seconds of ageing per second of expected run time.
AGEING_RATIO = 1.0

# Tombstones kept in a heap before it is rebuilt, so that small heaps are not
# rebuilt all the time.
MIN_TOMBSTONES = 64

# Heap nodes that a walk visits for each item it may return; bounds the work
# when many tombstones lie between live items.
VISITS_PER_ITEM = 8


@attrs.frozen(kw_only=True, slots=True)
class QueueItem:
    """Something that waits.

    Attributes
    ----------
    key : str
        Unique key of the item.
    team : str
        Team that is charged.
    urgent : bool
        Whether it goes before all that is not urgent.
    cost : float
        Charge on the team's virtual time when it is served; above 0.
    workload_class : str
        Class of work, for counting.
    expected_s : float
        Expected run time in seconds.
    entered_at : float
        Time at which it began to wait, in seconds.
    deadline : float
        Time at which the wait ends; infinity for none.
    lane : str
        Group of items that proceed or are held together.
    """

    key: str
    team: str
    urgent: bool = False
    cost: float = 1.0
    workload_class: str = ""
    expected_s: float = 0.0
    entered_at: float = 0.0
    deadline: float = math.inf
    lane: str = ""


_Entry = tuple[float, int, str]
_BandKey = tuple[bool, str]


@attrs.define(kw_only=True)
class _Line:
    """Items of one team in one band.

    Attributes
    ----------
    heap : list
        Entries by score; may contain tombstones.
    live : int
        Entries that are no tombstones.
    """

    heap: list[_Entry] = attrs.field(factory=list)
    live: int = 0


@attrs.define(kw_only=True)
class _Band:
    """Lines of all teams with one urgency and one lane.

    Attributes
    ----------
    lines : dict of str to _Line
        Lines by team; only teams with live items.
    order : SortedList
        ``(virtual time, team)`` of the teams that may proceed.
    """

    lines: dict[str, _Line] = attrs.field(factory=dict)
    order: sortedcontainers.SortedList = attrs.field(
        factory=sortedcontainers.SortedList
    )


@attrs.define(kw_only=True)
class _Team:
    """Share of one team.

    Attributes
    ----------
    virtual_time : float
        Cost served divided by weight.
    weight : float
        Share against other teams.
    waiting : int
        Live items of the team.
    blocked : bool
        Whether the team is left out.
    """

    virtual_time: float = 0.0
    weight: float = 1.0
    waiting: int = 0
    blocked: bool = False


@attrs.define(kw_only=True)
class FairQueue:
    """State of a fair queue.

    Attributes
    ----------
    limit : int
        Most items that may wait.
    items : dict
        Live items by key, with their sequence numbers.
    bands : dict
        Bands by urgency and lane.
    teams : dict
        Shares by team.
    deadlines : list
        Heap of ``(deadline, sequence, key)``; may contain tombstones.
    class_counts : dict
        Live items by workload class.
    lane_counts : dict
        Live items by urgency and lane.
    virtual_time : float
        Virtual time of the team served last; a team that was idle starts
        there, so that it cannot save up a claim.
    sequence : int
        Number of the next item.
    """

    limit: int
    items: dict[str, tuple[QueueItem, int]] = attrs.field(factory=dict)
    bands: dict[_BandKey, _Band] = attrs.field(factory=dict)
    teams: dict[str, _Team] = attrs.field(factory=dict)
    deadlines: list[_Entry] = attrs.field(factory=list)
    class_counts: dict[str, int] = attrs.field(factory=dict)
    lane_counts: dict[_BandKey, int] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    sequence: int = 0


def set_weights(
    queue: FairQueue, weights: collections.abc.Mapping[str, float]
) -> None:
    """Set the weights of teams; teams that are not named keep theirs."""
    for name, weight in weights.items():
        _team(queue, name).weight = weight


def push(
    queue: FairQueue,
    item: QueueItem,
    *,
    team_limit: int = 0,
    forced: bool = False,
) -> None:
    """Add an item.

    Parameters
    ----------
    queue : FairQueue
        The queue.
    item : QueueItem
        The item; its key must not be in the queue.
    team_limit : int
        Most items of the team that may wait; 0 for no limit.
    forced : bool
        Whether the limits are passed over, for accepted work that waits
        again.

    Raises
    ------
    RefusedError
        With `QUEUE_FULL`, `QUOTA_EXCEEDED` or `DUPLICATE_ID`.
    """
    if item.key in queue.items:
        raise errors.RefusedError(
            reason=errors.Reason.DUPLICATE_ID,
            message=f"{item.key} already waits.",
            remedy="Use a new id for each piece of work.",
        )
    team = _team(queue, item.team)
    if not forced:
        _check_limits(queue, item, team, team_limit)
    queue.sequence += 1
    sequence = queue.sequence
    queue.items[item.key] = (item, sequence)
    if team.waiting == 0 and team.virtual_time < queue.virtual_time:
        team.virtual_time = queue.virtual_time
    team.waiting += 1
    key = (item.urgent, item.lane)
    band = queue.bands.get(key)
    if band is None:
        band = queue.bands[key] = _Band()
    line = band.lines.get(item.team)
    if line is None:
        line = band.lines[item.team] = _Line()
        if not team.blocked:
            band.order.add((team.virtual_time, item.team))
    heapq.heappush(line.heap, (_score(item), sequence, item.key))
    line.live += 1
    if item.deadline != math.inf:
        heapq.heappush(queue.deadlines, (item.deadline, sequence, item.key))
    _count(queue, item, 1)


def cancel(queue: FairQueue, key: str) -> QueueItem | None:
    """Remove an item without charging its team.

    The entry in the heap becomes a tombstone; the cost is amortised O(1).

    Returns
    -------
    QueueItem or None
        The item, or None when it does not wait.
    """
    found = queue.items.pop(key, None)
    if found is None:
        return None
    item = found[0]
    team = queue.teams[item.team]
    team.waiting -= 1
    _count(queue, item, -1)
    band = queue.bands[(item.urgent, item.lane)]
    line = band.lines[item.team]
    line.live -= 1
    if line.live == 0:
        del band.lines[item.team]
        if not team.blocked:
            band.order.remove((team.virtual_time, item.team))
        if not band.lines:
            del queue.bands[(item.urgent, item.lane)]
    elif len(line.heap) > 2 * line.live + MIN_TOMBSTONES:
        line.heap = [entry for entry in line.heap if _is_live(queue, entry)]
        heapq.heapify(line.heap)
    if len(queue.deadlines) > 2 * len(queue.items) + MIN_TOMBSTONES:
        queue.deadlines = [
            entry for entry in queue.deadlines if _is_live(queue, entry)
        ]
        heapq.heapify(queue.deadlines)
    return item


def expire(queue: FairQueue, now: float) -> list[QueueItem]:
    """Remove and return the items whose deadline has passed."""
    expired = []
    while queue.deadlines and queue.deadlines[0][0] <= now:
        entry = heapq.heappop(queue.deadlines)
        if _is_live(queue, entry):
            item = cancel(queue, entry[2])
            if item is not None:
                expired.append(item)
    return expired


def candidates(
    queue: FairQueue,
    limit: int,
    *,
    skipped_lanes: collections.abc.Set[str] = frozenset(),
) -> list[QueueItem]:
    """Return the next items in the order of service without removing them.

    The order is that in which they would be served if each were popped, so a
    caller can try them in turn when the head does not fit.

    Parameters
    ----------
    queue : FairQueue
        The queue.
    limit : int
        Most items to return.
    skipped_lanes : set of str
        Lanes to leave out.

    Returns
    -------
    list of QueueItem
        At most `limit` items; fewer when many tombstones lie between.
    """
    found: list[QueueItem] = []
    for urgent in (True, False):
        bands = [
            band
            for (band_urgent, lane), band in queue.bands.items()
            if band_urgent == urgent and lane not in skipped_lanes
        ]
        if limit == 1:
            _find_head(queue, bands, found)
        elif bands:
            _walk_bands(queue, bands, limit, found)
        if len(found) >= limit:
            break
    return found


def peek(queue: FairQueue) -> QueueItem | None:
    """Return the head of the queue, or None when nothing may proceed."""
    if not queue.items:
        return None
    heads = candidates(queue, 1)
    return heads[0] if heads else None


def pop(queue: FairQueue, key: str | None = None) -> QueueItem | None:
    """Remove an item and charge its team.

    Parameters
    ----------
    queue : FairQueue
        The queue.
    key : str, optional
        Key of the item, for example one of `candidates`; the head if None.

    Returns
    -------
    QueueItem or None
        The item, or None when there is none.
    """
    if key is None:
        head = peek(queue)
        if head is None:
            return None
        key = head.key
    found = queue.items.get(key)
    if found is None:
        return None
    charge(queue, found[0].team, found[0].cost)
    return cancel(queue, key)


def charge(queue: FairQueue, team_name: str, cost: float) -> None:
    """Add a cost to a team's virtual time.

    A negative cost gives back what was charged too much, for example after a
    run that was shorter than expected.
    """
    team = _team(queue, team_name)
    if cost > 0 and team.virtual_time > queue.virtual_time:
        queue.virtual_time = team.virtual_time
    _move(queue, team_name, team, team.virtual_time + cost / team.weight)


def block_team(queue: FairQueue, team_name: str) -> None:
    """Leave a team out of the order, for example at its quota."""
    team = _team(queue, team_name)
    if team.blocked:
        return
    for band in queue.bands.values():
        if team_name in band.lines:
            band.order.remove((team.virtual_time, team_name))
    team.blocked = True


def unblock_team(queue: FairQueue, team_name: str) -> bool:
    """Take a team into the order again; returns whether it was left out."""
    team = _team(queue, team_name)
    if not team.blocked:
        return False
    team.blocked = False
    team.virtual_time = max(team.virtual_time, queue.virtual_time)
    for band in queue.bands.values():
        if team_name in band.lines:
            band.order.add((team.virtual_time, team_name))
    return True


def _check_limits(
    queue: FairQueue, item: QueueItem, team: _Team, team_limit: int
) -> None:
    """Raise the refusal of an item that exceeds a limit."""
    if len(queue.items) >= queue.limit:
        raise errors.RefusedError(
            reason=errors.Reason.QUEUE_FULL,
            message=f"{queue.limit} items already wait.",
            remedy="Try again later, or raise the queue limit.",
        )
    if team_limit and team.waiting >= team_limit:
        raise errors.RefusedError(
            reason=errors.Reason.QUOTA_EXCEEDED,
            message=f"Team {item.team} already has {team_limit} waiting.",
            remedy="Try again later, or raise the team's limit.",
        )


def _team(queue: FairQueue, name: str) -> _Team:
    """Return the share of a team, made when it is new."""
    team = queue.teams.get(name)
    if team is None:
        team = queue.teams[name] = _Team(virtual_time=queue.virtual_time)
    return team


def _move(
    queue: FairQueue, name: str, team: _Team, virtual_time: float
) -> None:
    """Set the virtual time of a team and its place in each band."""
    if not team.blocked:
        for band in queue.bands.values():
            if name in band.lines:
                band.order.remove((team.virtual_time, name))
                band.order.add((virtual_time, name))
    team.virtual_time = virtual_time


def _score(item: QueueItem) -> float:
    """Return the place of an item within its team; lower goes first."""
    ageing = min(item.expected_s * AGEING_RATIO, MAX_AGEING_S)
    return item.entered_at + ageing


def _is_live(queue: FairQueue, entry: _Entry) -> bool:
    """Return whether an entry of a heap is no tombstone."""
    found = queue.items.get(entry[2])
    return found is not None and found[1] == entry[1]


def _count(queue: FairQueue, item: QueueItem, change: int) -> None:
    """Add to the counters of the item's class and band."""
    counts = queue.class_counts
    counts[item.workload_class] = counts.get(item.workload_class, 0) + change
    if not counts[item.workload_class]:
        del counts[item.workload_class]
    key = (item.urgent, item.lane)
    queue.lane_counts[key] = queue.lane_counts.get(key, 0) + change
    if not queue.lane_counts[key]:
        del queue.lane_counts[key]


def _walk_line(
    queue: FairQueue, line: _Line, visits: int
) -> collections.abc.Iterator[tuple[float, int, QueueItem]]:
    """Yield score, sequence and item of a line's live entries, in order."""
    heap = line.heap
    while heap and not _is_live(queue, heap[0]):
        heapq.heappop(heap)
    frontier = [(heap[0], 0)] if heap else []
    while frontier and visits > 0:
        visits -= 1
        entry, position = heapq.heappop(frontier)
        for child in (2 * position + 1, 2 * position + 2):
            if child < len(heap):
                heapq.heappush(frontier, (heap[child], child))
        found = queue.items.get(entry[2])
        if found is not None and found[1] == entry[1]:
            yield entry[0], entry[1], found[0]


def _find_head(
    queue: FairQueue, bands: list[_Band], found: list[QueueItem]
) -> None:
    """Append the head of some bands; the same as a walk of length 1."""
    first = min((band.order[0] for band in bands if band.order), default=None)
    if first is None:
        return
    best: _Entry | None = None
    for band in bands:
        line = band.lines.get(first[1])
        if line is None:
            continue
        heap = line.heap
        while not _is_live(queue, heap[0]):
            heapq.heappop(heap)
        if best is None or heap[0] < best:
            best = heap[0]
    if best is not None:
        found.append(queue.items[best[2]][0])


def _team_items(
    queue: FairQueue, bands: list[_Band], name: str, visits: int
) -> collections.abc.Iterator[tuple[float, int, QueueItem]]:
    """Yield a team's live items over some bands, in order."""
    lines = [band.lines[name] for band in bands if name in band.lines]
    if len(lines) == 1:
        return _walk_line(queue, lines[0], visits)
    return heapq.merge(*(_walk_line(queue, line, visits) for line in lines))


def _walk_bands(
    queue: FairQueue, bands: list[_Band], limit: int, found: list[QueueItem]
) -> None:
    """Append the next items of some bands, as if each were served in turn."""
    visits = limit * VISITS_PER_ITEM
    teams = (
        iter(bands[0].order)
        if len(bands) == 1
        else heapq.merge(*(band.order for band in bands))
    )
    following = next(teams, None)
    seen = set()
    # Teams whose next item is known: virtual time, name, items.
    served: list[tuple[float, str, QueueItem, collections.abc.Iterator]] = []
    while len(found) < limit and (served or following is not None):
        if served and (following is None or served[0][:2] < following):
            virtual_time, name, item, items = served[0]
            found.append(item)
            entry = next(items, None)
            if entry is None:
                heapq.heappop(served)
            else:
                virtual_time += item.cost / queue.teams[name].weight
                heapq.heapreplace(
                    served, (virtual_time, name, entry[2], items)
                )
            continue
        virtual_time, name = following
        following = next(teams, None)
        if name in seen:
            continue
        seen.add(name)
        items = _team_items(queue, bands, name, visits)
        entry = next(items, None)
        if entry is not None:
            heapq.heappush(served, (virtual_time, name, entry[2], items))
