"""A weighted fair queue with urgent items, deadlines and backfill.

Urgent items go first, then those of the team with the lowest virtual time
(served cost divided by weight). Within a team, items with short expected run
times go first, with ageing. Items are also divided into lanes, which the user
of the queue chooses, so that a blocked lane does not hide the others.
"""

import collections.abc
import heapq
import math

import attrs
import sortedcontainers

from chestnuttide import errors

# An item can be overtaken only by items of its team that entered at most this
# many seconds later, so long work does not starve.
MAX_AGEING_S = 120.0

# Seconds that an item is moved back per second of expected run time.
AGEING_RATIO = 1.0

# Number of tombstones (entries of removed items) that are always allowed in a
# heap, so that small heaps are not rebuilt all the time.
MIN_TOMBSTONES = 64

# Number of heap nodes that a traversal visits per item it may return; bounds
# the work when there are many tombstones between live items.
VISITS_PER_ITEM = 8


@attrs.frozen(kw_only=True, slots=True)
class QueueItem:
    """An item that waits in a queue.

    Attributes
    ----------
    key : str
        Unique key of the item.
    team : str
        Team that the cost is charged to.
    urgent : bool
        Whether it goes before all items that are not urgent.
    cost : float
        Cost charged to the team when it is served; above 0.
    workload_class : str
        Workload class, for `FairQueue.class_counts`.
    expected_s : float
        Expected run time in seconds.
    entered_at : float
        Time at which it started to wait, in seconds.
    deadline : float
        Time at which the item expires; infinite for none.
    lane : str
        Group of items that may proceed or are blocked together.
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
class _TeamQueue:
    """Items of one team in one band.

    Attributes
    ----------
    heap : list
        Entries by sort key; may contain tombstones.
    live : int
        Number of entries that are not tombstones.
    """

    heap: list[_Entry] = attrs.field(factory=list)
    live: int = 0


@attrs.define(kw_only=True)
class _Band:
    """Items of all teams with one urgency and one lane.

    Attributes
    ----------
    team_queues : dict of str to _TeamQueue
        Items by team, without teams that have no live items.
    order : SortedList
        ``(virtual time, team)`` of the teams that are not blocked.
    """

    team_queues: dict[str, _TeamQueue] = attrs.field(factory=dict)
    order: sortedcontainers.SortedList = attrs.field(
        factory=sortedcontainers.SortedList
    )


@attrs.define(kw_only=True)
class _Team:
    """Fair-share state of one team.

    Attributes
    ----------
    virtual_time : float
        Served cost divided by weight.
    weight : float
        Share relative to other teams.
    waiting : int
        Number of live items of the team.
    blocked : bool
        Whether the team is left out of the order of service.
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
        Maximum number of waiting items.
    items : dict
        Live items by key, with their sequence numbers.
    bands : dict
        Bands by urgency and lane.
    teams : dict
        Fair-share state by team.
    deadlines : list
        Heap of ``(deadline, sequence, key)``; may contain tombstones.
    class_counts : dict
        Number of live items by workload class.
    lane_counts : dict
        Number of live items by urgency and lane.
    virtual_time : float
        Highest virtual time at which a team was served; a team that was idle
        starts there, so that it cannot accumulate a claim.
    sequence : int
        Sequence number of the last item.
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
    """Set the weights of teams; other teams keep theirs."""
    for name, weight in weights.items():
        _get_team(queue, name).weight = weight


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
        The item; its key must not be in the queue yet.
    team_limit : int
        Maximum number of waiting items of the team; 0 for no limit.
    forced : bool
        Whether to ignore the limits, for accepted work that is queued again.

    Raises
    ------
    RefusedError
        With `QUEUE_FULL`, `QUOTA_EXCEEDED` or `DUPLICATE_ID`.
    """
    if item.key in queue.items:
        raise errors.RefusedError(
            reason=errors.Reason.DUPLICATE_ID,
            message=f"{item.key} is already queued.",
            remedy="Use a new id for each piece of work.",
        )
    team = _get_team(queue, item.team)
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
    team_queue = band.team_queues.get(item.team)
    if team_queue is None:
        team_queue = band.team_queues[item.team] = _TeamQueue()
        if not team.blocked:
            band.order.add((team.virtual_time, item.team))
    heapq.heappush(team_queue.heap, (_sort_key(item), sequence, item.key))
    team_queue.live += 1
    if item.deadline != math.inf:
        heapq.heappush(queue.deadlines, (item.deadline, sequence, item.key))
    _update_counts(queue, item, 1)


def cancel(queue: FairQueue, key: str) -> QueueItem | None:
    """Remove an item without charging its team.

    Its heap entry becomes a tombstone, so the cost is amortised O(1).

    Returns
    -------
    QueueItem or None
        The item, or None if it is not in the queue.
    """
    found = queue.items.pop(key, None)
    if found is None:
        return None
    item = found[0]
    team = queue.teams[item.team]
    team.waiting -= 1
    _update_counts(queue, item, -1)
    band = queue.bands[(item.urgent, item.lane)]
    team_queue = band.team_queues[item.team]
    team_queue.live -= 1
    if team_queue.live == 0:
        del band.team_queues[item.team]
        if not team.blocked:
            band.order.remove((team.virtual_time, item.team))
        if not band.team_queues:
            del queue.bands[(item.urgent, item.lane)]
    elif len(team_queue.heap) > 2 * team_queue.live + MIN_TOMBSTONES:
        team_queue.heap = [
            entry for entry in team_queue.heap if _is_live(queue, entry)
        ]
        heapq.heapify(team_queue.heap)
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

    The order is that in which successive calls of `pop` would return them, so
    that the items after the head can be tried when the head does not fit.

    Parameters
    ----------
    queue : FairQueue
        The queue.
    limit : int
        Maximum number of items to return.
    skipped_lanes : set of str
        Lanes to leave out.

    Returns
    -------
    list of QueueItem
        At most `limit` items; fewer if there are many tombstones between
        them.
    """
    found: list[QueueItem] = []
    for urgent in (True, False):
        bands = [
            band
            for (band_urgent, lane), band in queue.bands.items()
            if band_urgent == urgent and lane not in skipped_lanes
        ]
        if limit == 1:
            _append_head(queue, bands, found)
        elif bands:
            _append_in_service_order(queue, bands, limit, found)
        if len(found) >= limit:
            break
    return found


def peek(queue: FairQueue) -> QueueItem | None:
    """Return the head of the queue, or None if no item may proceed."""
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
        The item, or None if there is none.
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

    A negative cost refunds an excess charge, for example after a run that was
    shorter than expected.
    """
    team = _get_team(queue, team_name)
    if cost > 0 and team.virtual_time > queue.virtual_time:
        queue.virtual_time = team.virtual_time
    _set_virtual_time(
        queue, team_name, team, team.virtual_time + cost / team.weight
    )


def block_team(queue: FairQueue, team_name: str) -> None:
    """Leave a team out of the order of service, for example at its quota."""
    team = _get_team(queue, team_name)
    if team.blocked:
        return
    for band in queue.bands.values():
        if team_name in band.team_queues:
            band.order.remove((team.virtual_time, team_name))
    team.blocked = True


def unblock_team(queue: FairQueue, team_name: str) -> bool:
    """Return a team to the order of service; tells whether it was blocked."""
    team = _get_team(queue, team_name)
    if not team.blocked:
        return False
    team.blocked = False
    team.virtual_time = max(team.virtual_time, queue.virtual_time)
    for band in queue.bands.values():
        if team_name in band.team_queues:
            band.order.add((team.virtual_time, team_name))
    return True


def _check_limits(
    queue: FairQueue, item: QueueItem, team: _Team, team_limit: int
) -> None:
    """Raise `RefusedError` if the item would exceed a limit."""
    if len(queue.items) >= queue.limit:
        raise errors.RefusedError(
            reason=errors.Reason.QUEUE_FULL,
            message=f"The queue has reached its limit of {queue.limit} items.",
            remedy="Try again later, or raise the queue limit.",
        )
    if team_limit and team.waiting >= team_limit:
        raise errors.RefusedError(
            reason=errors.Reason.QUOTA_EXCEEDED,
            message=f"Team {item.team} already has {team_limit} items queued.",
            remedy="Try again later, or raise the team's limit.",
        )


def _get_team(queue: FairQueue, name: str) -> _Team:
    """Return the fair-share state of a team, created if it is new."""
    team = queue.teams.get(name)
    if team is None:
        team = queue.teams[name] = _Team(virtual_time=queue.virtual_time)
    return team


def _set_virtual_time(
    queue: FairQueue, name: str, team: _Team, virtual_time: float
) -> None:
    """Set the virtual time of a team and update its position in the bands."""
    if not team.blocked:
        for band in queue.bands.values():
            if name in band.team_queues:
                band.order.remove((team.virtual_time, name))
                band.order.add((virtual_time, name))
    team.virtual_time = virtual_time


def _sort_key(item: QueueItem) -> float:
    """Return the sort key of an item within its team; lowest goes first."""
    ageing = min(item.expected_s * AGEING_RATIO, MAX_AGEING_S)
    return item.entered_at + ageing


def _is_live(queue: FairQueue, entry: _Entry) -> bool:
    """Return whether a heap entry is not a tombstone."""
    found = queue.items.get(entry[2])
    return found is not None and found[1] == entry[1]


def _update_counts(queue: FairQueue, item: QueueItem, change: int) -> None:
    """Change the counts of the class and band of an item."""
    counts = queue.class_counts
    counts[item.workload_class] = counts.get(item.workload_class, 0) + change
    if not counts[item.workload_class]:
        del counts[item.workload_class]
    key = (item.urgent, item.lane)
    queue.lane_counts[key] = queue.lane_counts.get(key, 0) + change
    if not queue.lane_counts[key]:
        del queue.lane_counts[key]


def _iter_team_queue(
    queue: FairQueue, team_queue: _TeamQueue, visits: int
) -> collections.abc.Iterator[tuple[float, int, QueueItem]]:
    """Yield sort key, sequence number and item of live entries, in order."""
    heap = team_queue.heap
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


def _append_head(
    queue: FairQueue, bands: list[_Band], found: list[QueueItem]
) -> None:
    """Append the first item of some bands.

    Equivalent to `_append_in_service_order` with a limit of 1.
    """
    first = min((band.order[0] for band in bands if band.order), default=None)
    if first is None:
        return
    best: _Entry | None = None
    for band in bands:
        team_queue = band.team_queues.get(first[1])
        if team_queue is None:
            continue
        heap = team_queue.heap
        while not _is_live(queue, heap[0]):
            heapq.heappop(heap)
        if best is None or heap[0] < best:
            best = heap[0]
    if best is not None:
        found.append(queue.items[best[2]][0])


def _iter_team_items(
    queue: FairQueue, bands: list[_Band], name: str, visits: int
) -> collections.abc.Iterator[tuple[float, int, QueueItem]]:
    """Yield the live items of a team in some bands, in order."""
    team_queues = [
        band.team_queues[name] for band in bands if name in band.team_queues
    ]
    if len(team_queues) == 1:
        return _iter_team_queue(queue, team_queues[0], visits)
    return heapq.merge(
        *(
            _iter_team_queue(queue, team_queue, visits)
            for team_queue in team_queues
        )
    )


def _append_in_service_order(
    queue: FairQueue, bands: list[_Band], limit: int, found: list[QueueItem]
) -> None:
    """Append the next items of some bands, as if each were served in turn."""
    visits = limit * VISITS_PER_ITEM
    teams = (
        iter(bands[0].order)
        if len(bands) == 1
        else heapq.merge(*(band.order for band in bands))
    )
    next_team = next(teams, None)
    seen_teams = set()
    # Heap of the teams whose next item is known: virtual time, name, next
    # item, later items.
    pending_teams: list[
        tuple[float, str, QueueItem, collections.abc.Iterator]
    ] = []
    while len(found) < limit and (pending_teams or next_team is not None):
        if pending_teams and (
            next_team is None or pending_teams[0][:2] < next_team
        ):
            virtual_time, name, item, items = pending_teams[0]
            found.append(item)
            entry = next(items, None)
            if entry is None:
                heapq.heappop(pending_teams)
            else:
                virtual_time += item.cost / queue.teams[name].weight
                heapq.heapreplace(
                    pending_teams, (virtual_time, name, entry[2], items)
                )
            continue
        virtual_time, name = next_team
        next_team = next(teams, None)
        if name in seen_teams:
            continue
        seen_teams.add(name)
        items = _iter_team_items(queue, bands, name, visits)
        entry = next(items, None)
        if entry is not None:
            heapq.heappush(
                pending_teams, (virtual_time, name, entry[2], items)
            )
