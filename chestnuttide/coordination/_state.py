"""State of shard ownership on one scheduler instance."""

import typing

import attrs

from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _rendezvous

# Until a lease is this close to its end, its renewal is not yet called
# overdue; with a TTL of 2 s and renewals every 0.6 s, one may fail.
OVERDUE_SHARE: typing.Final = 0.35


@attrs.frozen(kw_only=True, slots=True)
class OwnershipSettings:
    """Times and limits of ownership; equal on all instances.

    Attributes
    ----------
    promise_s : float
        Promise time in seconds.
    pause_s : float
        Seconds without a tick after which this instance was paused.
    backlog_s : float
        Seconds that it takes after a pause to read what has piled up.
    max_voters : int
        Most voters.
    max_moves : int
        Most shards that are given up at a time.
    move_retry_s : float
        Seconds after which a shard that was not given up is named again.
    min_hold_s : float
        Seconds that a shard stays before it may move again.
    claim_step_s : float
        Seconds that each less preferred member waits longer to claim.
    request_retry_s : float
        Seconds after which an unanswered message is sent again.
    write_retry_s : float
        Seconds between two writes of one key that do not succeed.
    voters_step_s : float
        Seconds that a change of voters waits, and that each less preferred
        member waits longer to propose it.
    """

    promise_s: float = 3.0
    pause_s: float = 1.0
    backlog_s: float = 0.3
    max_voters: int = 9
    max_moves: int = 4
    move_retry_s: float = 10.0
    min_hold_s: float = 5.0
    claim_step_s: float = 1.0
    request_retry_s: float = 0.3
    write_retry_s: float = 0.2
    voters_step_s: float = 1.0


@attrs.define(kw_only=True)
class Known:
    """What is known of a shard's record.

    Attributes
    ----------
    record : ShardRecord
        The newest record seen.
    revision : int
        Its store revision.
    learned_at : float
        Monotonic time, in seconds, when it was seen.
    previous : ShardRecord or None
        The newest record of a lower epoch, if one was seen.
    """

    record: _messages.ShardRecord
    revision: int
    learned_at: float
    previous: _messages.ShardRecord | None = None


@attrs.define(kw_only=True)
class Held:
    """A shard that this instance owns.

    Attributes
    ----------
    epoch : int
        Epoch of the ownership.
    revision : int
        Store revision of the record.
    session : int
        Id of the lease under which the record was written.
    acquired_at : float
        Monotonic time, in seconds, when it was acquired.
    promised_until : float
        End of the uninterrupted time for which a majority of the voters
        promised, beginning while the lease was valid.
    promises : dict of str to float
        Until when each voter's last promise may be relied on.
    releasing : bool
        Whether the shard is being given up.
    residual : dict of str to tuple of float
        See `ShardRecord`.
    move_asked_at : float
        When `ShouldRelease` was last sent.
    """

    epoch: int
    revision: int
    session: int
    acquired_at: float
    promised_until: float = float("-inf")
    promises: dict[str, float] = attrs.field(factory=dict)
    releasing: bool = False
    residual: dict[str, tuple[float, ...]] = attrs.field(factory=dict)
    move_asked_at: float = float("-inf")


@attrs.define(kw_only=True)
class Given:
    """A promise that this voter has given for one shard.

    Attributes
    ----------
    owner : str
        Instance id of the owner.
    incarnation : str
        Incarnation of the owner.
    until : float
        Monotonic time, in seconds, at which the promise ends.
    """

    owner: str
    incarnation: str
    until: float


@attrs.define(kw_only=True)
class Claim:
    """A claim that this instance pursues.

    Attributes
    ----------
    revision : int
        Store revision of the record to replace; 0 when there is none.
    since : float
        Monotonic time, in seconds, since when the shard can be claimed.
    consents : dict of str to float
        Until when the consent of each voter counts.
    """

    revision: int
    since: float
    consents: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class Asked:
    """A request to a voter that may still be answered.

    Attributes
    ----------
    sent_at : float
        Monotonic time, in seconds, when it was handed out for sending.
    version : int
        Version of the voters that it named.
    shards : dict of str to int
        Record revision that it named for each shard.
    """

    sent_at: float
    version: int
    shards: dict[str, int]


@attrs.define(kw_only=True)
class OwnershipState:
    """Everything that one instance knows about ownership.

    Attributes
    ----------
    instance_id : str
        Id of this instance.
    incarnation : str
        Unique string of this start of the instance.
    started_at : float
        Monotonic time, in seconds, of this start.
    settings : OwnershipSettings
        Times and limits.
    ticked_at : float
        Monotonic time, in seconds, of the last tick; infinite before it.
    backlog_until : float
        Until when messages may be old, because they waited during a pause.
    lease : Lease or None
        The lease; None before the first grant and after its loss.
    store_reachable : bool
        Whether the last store calls were answered.
    draining : bool
        Whether this instance gives all its shards up.
    desired : frozenset of str
        The shards that should have owners.
    records_read : bool
        Whether the shard records were read since the start.
    records : dict of str to Known
        The newest record of each shard.
    held : dict of str to Held
        The shards owned by this instance.
    members : dict of str to Member, or None
        The members; None before they were read.
    members_at : float
        When the last read of the members was sent.
    peers : frozenset of str
        Connected instances.
    gone_since : dict of str to float
        When each instance was first seen as gone in the platform's list.
    voters : VotersRead or None
        The voters; None before they were read.
    bound_version : int
        Promises and consents under lower versions are refused.
    given : dict of str to Given
        Promises given, by shard.
    consented : dict of str to int
        Highest record revision consented to, by shard.
    claims : dict of str to Claim
        Claims that are pursued, by shard.
    writing : dict of str to str
        Id of the write in flight, by shard.
    write_after : dict of str to float
        When the next write of a shard's key may be sent.
    asked : dict of int to Asked
        Requests that may still be answered, by number.
    promise_ask_at : dict of str to float
        When each voter is asked for a promise again.
    consent_ask_at : dict of tuple to float
        When the voters are asked again for consent to claims, by owner and
        incarnation.
    voters_since : float or None
        Since when the voters need a change.
    voters_write_at : float
        When the voters key may be written again.
    acks : set of str
        Voters that acknowledged the proposal in the voters key.
    propose_at : float
        When the proposal is sent again.
    last_number : int
        Last number used in a request or a write id.
    """

    instance_id: str
    incarnation: str
    started_at: float
    settings: OwnershipSettings = attrs.field(factory=OwnershipSettings)
    ticked_at: float = float("inf")
    backlog_until: float = float("-inf")
    lease: _lease.Lease | None = None
    store_reachable: bool = False
    draining: bool = False
    desired: frozenset[str] = frozenset()
    records_read: bool = False
    records: dict[str, Known] = attrs.field(factory=dict)
    held: dict[str, Held] = attrs.field(factory=dict)
    members: dict[str, _messages.Member] | None = None
    members_at: float = float("-inf")
    peers: frozenset[str] = frozenset()
    gone_since: dict[str, float] = attrs.field(factory=dict)
    voters: _messages.VotersRead | None = None
    bound_version: int = 0
    given: dict[str, Given] = attrs.field(factory=dict)
    consented: dict[str, int] = attrs.field(factory=dict)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    writing: dict[str, str] = attrs.field(factory=dict)
    write_after: dict[str, float] = attrs.field(factory=dict)
    asked: dict[int, Asked] = attrs.field(factory=dict)
    promise_ask_at: dict[str, float] = attrs.field(factory=dict)
    consent_ask_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    voters_since: float | None = None
    voters_write_at: float = float("-inf")
    acks: set[str] = attrs.field(factory=set)
    propose_at: float = float("-inf")
    last_number: int = 0


def may_act(state: OwnershipState, shard: str, now: float) -> bool:
    """Return whether this instance may act as the owner of a shard now.

    Parameters
    ----------
    state : OwnershipState
        State of this instance.
    shard : str
        Name of the shard.
    now : float
        Monotonic time, in seconds, read immediately before the action.
    """
    held = state.held.get(shard)
    return (
        held is not None and not held.releasing and covered(state, held, now)
    )


def covered(state: OwnershipState, held: Held, now: float) -> bool:
    """Return whether the lease or promises keep others from claiming."""
    return leased(state, held, now) or now < held.promised_until


def leased(state: OwnershipState, held: Held, now: float) -> bool:
    """Return whether the record is of the current lease, which is valid."""
    return (
        state.lease is not None
        and state.lease.lease_id == held.session
        and _lease.may_act(state.lease, now)
    )


def held_epoch(state: OwnershipState, shard: str) -> int | None:
    """Return the epoch of a shard held by this instance, or None."""
    held = state.held.get(shard)
    return None if held is None else held.epoch


def known_owner(state: OwnershipState, shard: str) -> str | None:
    """Return the owner in the newest record seen; None if released."""
    known = state.records.get(shard)
    if known is None or known.record.state != _messages.HELD:
        return None
    return known.record.owner


def next_number(state: OwnershipState) -> int:
    """Return a number that was not used since the start."""
    state.last_number += 1
    return state.last_number


def next_write_id(state: OwnershipState) -> str:
    """Return a write id that no instance used before."""
    number = next_number(state)
    return f"{state.instance_id}/{state.incarnation}/{number}"


def store_failing(state: OwnershipState, now: float) -> bool:
    """Return whether store calls fail or the lease's renewal is overdue."""
    if not state.store_reachable:
        return True
    lease = state.lease
    return (
        lease is not None
        and lease.valid_until - now < lease.ttl_s * OVERDUE_SHARE
    )


def may_write(state: OwnershipState, now: float) -> bool:
    """Return whether the lease is valid and the store is reachable."""
    return state.store_reachable and _lease.may_act(state.lease, now)


def candidates(state: OwnershipState) -> set[str]:
    """Return the members that take shards."""
    ids = {
        one.instance_id
        for one in (state.members or {}).values()
        if not one.leaving
    }
    ids.discard(state.instance_id)
    if not state.draining:
        ids.add(state.instance_id)
    return ids


def turn(key: str, ids: set[str], instance_id: str) -> int:
    """Return the place of an instance in the ranking for a key, from 0."""
    ranking = _rendezvous.rank(key, ids | {instance_id})
    return ranking.index(instance_id)


def drift_s(state: OwnershipState) -> float:
    """Return the promise time plus the margin for a slower peer's clock."""
    return state.settings.promise_s * (1.0 + _lease.CLOCK_MARGIN)


def counts_as_gone(state: OwnershipState, voter: str, now: float) -> bool:
    """Return whether a voter is gone and its last promise has ended.

    The list may name an instance as gone just after it gave a promise, so one
    promise time must pass first.
    """
    since = state.gone_since.get(voter)
    return (
        since is not None
        and now >= since + drift_s(state)
        and voter != state.instance_id
        and voter not in state.peers
        and voter not in (state.members or {})
    )


def majority(count: int) -> int:
    """Return the smallest number that is more than half of `count`."""
    return count // 2 + 1
