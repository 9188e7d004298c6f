"""Messages of shard ownership and the records that are kept in the store.

The six classes from `PromiseRequest` to `VotersAck` are sent between
instances. They therefore contain only strings, numbers, booleans and tuples,
and durations instead of points in time.
"""

import attrs

HELD = "held"
RELEASED = "released"

LOST_DEPOSED = "deposed"
LOST_RELEASED = "released"


@attrs.frozen(kw_only=True, slots=True)
class ShardRecord:
    """Value of the store key of a shard.

    Attributes
    ----------
    owner : str
        Instance id of the owner.
    incarnation : str
        Incarnation of the owner.
    session : int
        Id of the store lease under which the owner wrote the record.
    epoch : int
        Number of the ownership period, counted from 1.
    state : str
        ``held`` or ``released``.
    residual : dict of str to tuple of float
        For a released shard, the seconds after the release for which each
        occupied slot may remain occupied, by target. A successor counts them
        from when it reads the record, which is later.
    """

    owner: str
    incarnation: str
    session: int
    epoch: int
    state: str = HELD
    residual: dict[str, tuple[float, ...]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class ReadRecord:
    """A shard record as it was read.

    Attributes
    ----------
    shard : str
        Name of the shard.
    record : ShardRecord
        The record.
    revision : int
        Store revision of the record.
    """

    shard: str
    record: ShardRecord
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class Member:
    """A member key of the store.

    Attributes
    ----------
    instance_id : str
        Id of the instance.
    incarnation : str
        Incarnation of the instance that created the key.
    leaving : bool
        Whether the instance accepts no more shards.
    """

    instance_id: str
    incarnation: str
    leaving: bool = False


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """Time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class LeaseRenewed:
    """The lease was granted or renewed and the member key is attached to it.

    Attributes
    ----------
    sent_at : float
        Monotonic time, in seconds, before the call was sent.
    ttl_s : float
        Time to live in seconds.
    lease_id : int
        Id of the lease.
    """

    sent_at: float
    ttl_s: float
    lease_id: int


@attrs.frozen(kw_only=True, slots=True)
class LeaseLost:
    """The store answered that the lease no longer exists."""


@attrs.frozen(kw_only=True, slots=True)
class StoreReachable:
    """Whether the last store calls of this instance were answered.

    Attributes
    ----------
    reachable : bool
        Whether they were answered.
    """

    reachable: bool


@attrs.frozen(kw_only=True, slots=True)
class ShardRecordsRead:
    """Shard records were read.

    Attributes
    ----------
    records : tuple of ReadRecord
        All records, or some of them.
    """

    records: tuple[ReadRecord, ...]


@attrs.frozen(kw_only=True, slots=True)
class MembersRead:
    """All member keys were read.

    Attributes
    ----------
    members : tuple of Member
        The member keys.
    sent_at : float
        Monotonic time, in seconds, before the read was sent.
    """

    members: tuple[Member, ...]
    sent_at: float


@attrs.frozen(kw_only=True, slots=True)
class VotersRead:
    """The voters key was read.

    Attributes
    ----------
    version : int
        Version of the voters; 0 if there is no key.
    ids : tuple of str
        Instance ids of the voters.
    revision : int
        Store revision of the key; 0 if there is no key.
    next_ids : tuple of str
        Voters of the proposed version; empty if none is proposed.
    """

    version: int
    ids: tuple[str, ...]
    revision: int
    next_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True, slots=True)
class DesiredShards:
    """The shards that should have owners.

    Attributes
    ----------
    shards : frozenset of str
        Names of all these shards.
    """

    shards: frozenset[str]


@attrs.frozen(kw_only=True, slots=True)
class InstancesGone:
    """The platform's list was read.

    Attributes
    ----------
    ids : frozenset of str
        Ids of all instances listed as gone; replaces the previous set.
    """

    ids: frozenset[str]


@attrs.frozen(kw_only=True, slots=True)
class PeersConnected:
    """The mesh connections have changed.

    Attributes
    ----------
    ids : frozenset of str
        Ids of all connected instances; replaces the previous set.
    """

    ids: frozenset[str]


@attrs.frozen(kw_only=True, slots=True)
class ClaimResult:
    """A write of a shard record has completed.

    If the answer to the write is lost, the driver reads the key back until a
    read is answered; `ok` then tells whether the key has the write id.

    Attributes
    ----------
    shard : str
        Name of the shard.
    ok : bool
        Whether this write is the last one of the key.
    record : ShardRecord or None
        The record that the key now contains; None if there is no key.
    revision : int
        Store revision of the key; 0 if there is no key.
    write_id : str
        Id of the write.
    """

    shard: str
    ok: bool
    record: ShardRecord | None
    revision: int
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ReleaseRequested:
    """The shard is stopped and flushed and may be released.

    Attributes
    ----------
    shard : str
        Name of the shard.
    residual : dict of str to tuple of float
        See `ShardRecord`.
    """

    shard: str
    residual: dict[str, tuple[float, ...]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class Drain:
    """Claim no more shards and release all that are owned."""


@attrs.frozen(kw_only=True, slots=True)
class PromiseRequest:
    """An owner asks a voter not to consent to claims on its shards.

    Attributes
    ----------
    request_id : int
        Number that the reply repeats.
    owner : str
        Instance id of the owner.
    incarnation : str
        Incarnation of the owner.
    version : int
        Version of the voters that the owner knows.
    promise_s : float
        Requested duration in seconds.
    shards : tuple of (str, int)
        Name and record revision of each shard.
    """

    request_id: int
    owner: str
    incarnation: str
    version: int
    promise_s: float
    shards: tuple[tuple[str, int], ...]


@attrs.frozen(kw_only=True, slots=True)
class PromiseReply:
    """A voter answers a `PromiseRequest`.

    Attributes
    ----------
    request_id : int
        Number of the request.
    incarnation : str
        Incarnation of the owner that asked.
    voter : str
        Instance id of the voter.
    version : int
        Version of the voters under which it promises.
    promise_s : float
        Promised duration in seconds, from the receipt of the request.
    shards : tuple of str
        Names of the shards that it promises; empty for a refusal.
    """

    request_id: int
    incarnation: str
    voter: str
    version: int
    promise_s: float
    shards: tuple[str, ...]


@attrs.frozen(kw_only=True, slots=True)
class ConsentRequest:
    """A claimant asks a voter to consent to claims on an owner's shards.

    Attributes
    ----------
    request_id : int
        Number that the reply repeats.
    claimant : str
        Instance id of the claimant.
    claimant_incarnation : str
        Incarnation of the claimant.
    owner : str
        Instance id of the owner whose member key is gone.
    incarnation : str
        Incarnation of that owner.
    version : int
        Version of the voters that the claimant knows.
    shards : tuple of (str, int)
        Name and record revision of each shard.
    """

    request_id: int
    claimant: str
    claimant_incarnation: str
    owner: str
    incarnation: str
    version: int
    shards: tuple[tuple[str, int], ...]


@attrs.frozen(kw_only=True, slots=True)
class ConsentReply:
    """A voter answers a `ConsentRequest`.

    Attributes
    ----------
    request_id : int
        Number of the request.
    claimant_incarnation : str
        Incarnation of the claimant that asked.
    voter : str
        Instance id of the voter.
    version : int
        Version of the voters under which it consents.
    valid_s : float
        Seconds for which the consent survives a restart of the voter.
    shards : tuple of str
        Names of the shards that it consents to; empty for a refusal.
    """

    request_id: int
    claimant_incarnation: str
    voter: str
    version: int
    valid_s: float
    shards: tuple[str, ...]


@attrs.frozen(kw_only=True, slots=True)
class VotersProposal:
    """A proposer asks a voter to give up the current version of the voters.

    Attributes
    ----------
    proposer : str
        Instance id of the proposer.
    proposer_incarnation : str
        Incarnation of the proposer.
    version : int
        The new version.
    revision : int
        Store revision of the voters key that holds the proposal.
    """

    proposer: str
    proposer_incarnation: str
    version: int
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class VotersAck:
    """A voter acknowledges a `VotersProposal`.

    Attributes
    ----------
    proposer_incarnation : str
        Incarnation of the proposer that asked.
    voter : str
        Instance id of the voter.
    version : int
        The new version.
    revision : int
        Store revision of the proposal.
    """

    proposer_incarnation: str
    voter: str
    version: int
    revision: int


@attrs.frozen(kw_only=True, slots=True)
class WriteShardRecord:
    """Write the key of a shard by CAS and report a `ClaimResult`.

    Attributes
    ----------
    shard : str
        Name of the shard.
    expected_revision : int
        Revision that the key must have; 0 if it must be absent.
    record : ShardRecord
        The new record.
    write_id : str
        Id of the write.
    """

    shard: str
    expected_revision: int
    record: ShardRecord
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteVoters:
    """Write the voters key by CAS, then read it and report `VotersRead`.

    Attributes
    ----------
    expected_revision : int
        Revision that the key must have; 0 if it must be absent.
    version : int
        Version of the voters.
    ids : tuple of str
        Instance ids of the voters.
    next_ids : tuple of str
        Voters of the proposed version; empty if none is proposed.
    write_id : str
        Id of the write.
    """

    expected_revision: int
    version: int
    ids: tuple[str, ...]
    next_ids: tuple[str, ...]
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class Send:
    """Send a message to an instance over the mesh.

    Attributes
    ----------
    to : str
        Id of the instance.
    message : object
        One of the six messages between instances.
    """

    to: str
    message: object


@attrs.frozen(kw_only=True, slots=True)
class ShardAcquired:
    """The shard is now owned by this instance.

    Attributes
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    previous : ShardRecord or None
        Record of the former owner; None if there was none.
    clean : bool
        Whether the former owner released the shard or there was none.
    """

    shard: str
    epoch: int
    previous: ShardRecord | None
    clean: bool


@attrs.frozen(kw_only=True, slots=True)
class ShardLost:
    """The shard is no longer owned by this instance.

    Attributes
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership that ended.
    reason : str
        ``deposed`` or ``released``.
    """

    shard: str
    epoch: int
    reason: str


@attrs.frozen(kw_only=True, slots=True)
class ShouldRelease:
    """The shard should move; stop it, flush it and report `ReleaseRequested`.

    Attributes
    ----------
    shard : str
        Name of the shard.
    to : str
        Id of the instance that should own it; empty if none is known.
    """

    shard: str
    to: str
