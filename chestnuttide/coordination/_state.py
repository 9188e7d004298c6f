"""State of shard ownership on one scheduler instance."""

import typing

import attrs

from chestnuttide.coordination import _lease
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _rendezvous

# Renewal is overdue once less than this share of the TTL is left. With a TTL
# of 2 s and renewals every 0.6 s, this tolerates one failed renewal.
OVERDUE_SHARE: typing.Final = 0.35


@attrs.frozen(kw_only=True, slots=True)
class OwnershipSettings:
    """Times and limits of ownership; equal on all instances.

    Attributes
    ----------
    promise_s : float
        Promise time in seconds.
    pause_s : float
        Seconds without a tick after which this instance counts as paused.
    backlog_s : float
        Seconds after a pause within which queued messages are processed.
    max_voters : int
        Maximum number of voters.
    max_moves : int
        Maximum number of shards released at the same time.
    move_retry_s : float
        Seconds after which the release of a shard is requested again.
    min_hold_s : float
        Seconds for which a shard is owned before it may move again.
    claim_step_s : float
        Claim delay in seconds per rank of a less preferred member.
    request_retry_s : float
        Seconds after which an unanswered message is sent again.
    write_retry_s : float
        Seconds before a failed write of a key is retried.
    voters_step_s : float
        Seconds before a change of voters is proposed, and additional delay
        in seconds per rank of a less preferred member.
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
class KnownRecord:
    """The newest known record of a shard.

    Attributes
    ----------
    record : ShardRecord
        The newest record seen.
    revision : int
        Its store revision.
    seen_at : float
        Monotonic time, in seconds, at which it was first seen.
    previous : ShardRecord or None
        The newest record of a lower epoch, if one was seen.
    """

    record: _messages.ShardRecord
    revision: int
    seen_at: float
    previous: _messages.ShardRecord | None = None


@attrs.define(kw_only=True)
class HeldShard:
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
        Monotonic time, in seconds, at which it was acquired.
    promised_until : float
        End of the unbroken period promised by a majority of the voters. The
        period starts while the lease is valid.
    promises : dict of str to float
        Time until which the last promise of each voter is usable.
    releasing : bool
        Whether the shard is being released.
    residual : dict of str to tuple of float
        See `ShardRecord`.
    release_requested_at : float
        Monotonic time, in seconds, of the last `ShouldRelease`.
    """

    epoch: int
    revision: int
    session: int
    acquired_at: float
    promised_until: float = float("-inf")
    promises: dict[str, float] = attrs.field(factory=dict)
    releasing: bool = False
    residual: dict[str, tuple[float, ...]] = attrs.field(factory=dict)
    release_requested_at: float = float("-inf")


@attrs.define(kw_only=True)
class GivenPromise:
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
    """A claim on a shard that this instance is attempting.

    Attributes
    ----------
    revision : int
        Store revision of the record to replace; 0 when there is none.
    since : float
        Monotonic time, in seconds, from which the shard can be claimed.
    consents : dict of str to float
        Time until which the consent of each voter is valid.
    """

    revision: int
    since: float
    consents: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class PendingRequest:
    """A request to a voter whose reply is still useful.

    Attributes
    ----------
    sent_at : float
        Monotonic time, in seconds, at which it was issued for sending.
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
    """Ownership state of one instance.

    Attributes
    ----------
    instance_id : str
        Id of this instance.
    incarnation : str
        String that is unique to this run of the instance.
    started_at : float
        Monotonic time, in seconds, of this start.
    settings : OwnershipSettings
        Times and limits.
    ticked_at : float
        Monotonic time, in seconds, of the last tick; infinite before one.
    backlog_until : float
        Time until which messages may be stale after being queued in a pause.
    lease : Lease or None
        The lease; None before the first grant and after it is lost.
    store_reachable : bool
        Whether the last store calls were answered.
    draining : bool
        Whether this instance is releasing all its shards.
    desired : frozenset of str
        The shards that should have owners.
    records_read : bool
        Whether the shard records were read since this instance started.
    records : dict of str to KnownRecord
        The newest record of each shard.
    held : dict of str to HeldShard
        The shards owned by this instance.
    members : dict of str to Member, or None
        The members by instance id; None before the first read.
    members_sent_at : float
        Monotonic time, in seconds, at which `members` was requested.
    peers : frozenset of str
        Ids of the connected instances.
    gone_since : dict of str to float
        Time at which the platform first listed each instance as gone.
    voters : VotersRead or None
        The voters; None before the first read.
    min_voters_version : int
        Promises and consents under lower versions are refused.
    given_promises : dict of str to GivenPromise
        Promises of this voter, by shard.
    consented : dict of str to int
        Highest record revision consented to, by shard.
    claims : dict of str to Claim
        Claims being attempted, by shard.
    writing : dict of str to str
        Id of the write in flight, by shard.
    next_write_at : dict of str to float
        Time of the next permitted write, by shard.
    pending_requests : dict of int to PendingRequest
        Requests whose replies are still useful, by request id.
    next_promise_request_at : dict of str to float
        Time of the next promise request to each voter.
    next_consent_request_at : dict of tuple to float
        Time of the next consent request, by owner and incarnation of the
        shards to claim.
    voters_outdated_since : float or None
        Time from which the set of voters has needed a change.
    next_voters_write_at : float
        Time of the next permitted write of the voters key.
    acks : set of str
        Voters that acknowledged the proposal in the voters key.
    next_proposal_at : float
        Time at which the proposal is sent again.
    last_number : int
        Last number used in a request id or a write id.
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
    records: dict[str, KnownRecord] = attrs.field(factory=dict)
    held: dict[str, HeldShard] = attrs.field(factory=dict)
    members: dict[str, _messages.Member] | None = None
    members_sent_at: float = float("-inf")
    peers: frozenset[str] = frozenset()
    gone_since: dict[str, float] = attrs.field(factory=dict)
    voters: _messages.VotersRead | None = None
    min_voters_version: int = 0
    given_promises: dict[str, GivenPromise] = attrs.field(factory=dict)
    consented: dict[str, int] = attrs.field(factory=dict)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    writing: dict[str, str] = attrs.field(factory=dict)
    next_write_at: dict[str, float] = attrs.field(factory=dict)
    pending_requests: dict[int, PendingRequest] = attrs.field(factory=dict)
    next_promise_request_at: dict[str, float] = attrs.field(factory=dict)
    next_consent_request_at: dict[tuple[str, str], float] = attrs.field(
        factory=dict
    )
    voters_outdated_since: float | None = None
    next_voters_write_at: float = float("-inf")
    acks: set[str] = attrs.field(factory=set)
    next_proposal_at: float = float("-inf")
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


def covered(state: OwnershipState, held: HeldShard, now: float) -> bool:
    """Return whether a lease or promises protect a shard from claims."""
    return leased(state, held, now) or now < held.promised_until


def leased(state: OwnershipState, held: HeldShard, now: float) -> bool:
    """Return whether the record belongs to a valid current lease."""
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
    """Return a number that was not used since this instance started."""
    state.last_number += 1
    return state.last_number


def next_write_id(state: OwnershipState) -> str:
    """Return a write id that is unique among all instances."""
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
    """Return the ids of the members that accept shards."""
    ids = {
        one.instance_id
        for one in (state.members or {}).values()
        if not one.leaving
    }
    ids.discard(state.instance_id)
    if not state.draining:
        ids.add(state.instance_id)
    return ids


def rank_of(key: str, ids: set[str], instance_id: str) -> int:
    """Return the rank of an instance for a key, counted from 0."""
    ranking = _rendezvous.rank(key, ids | {instance_id})
    return ranking.index(instance_id)


def promise_wait_s(state: OwnershipState) -> float:
    """Return the promise time plus a margin for a slower peer clock."""
    return state.settings.promise_s * (1.0 + _lease.CLOCK_MARGIN)


def counts_as_gone(state: OwnershipState, voter: str, now: float) -> bool:
    """Return whether a voter is gone and its last promise has ended.

    The platform may list an instance as gone just after the instance gave a
    promise, so one promise time must pass first.
    """
    since = state.gone_since.get(voter)
    return (
        since is not None
        and now >= since + promise_wait_s(state)
        and voter != state.instance_id
        and voter not in state.peers
        and voter not in (state.members or {})
    )


def majority(count: int) -> int:
    """Return the smallest number that is more than half of `count`."""
    return count // 2 + 1
