"""Leases, shard ownership, the shards' journals and the request ledger.

Nothing in this package performs I/O. Filters take messages and a monotonic
time and return messages, which a driver executes. `_ownership` explains why
two instances never act for the same shard at once, and what the driver must
guarantee.

Examples
--------
Shard ownership. The driver executes each output and feeds the result back:

>>> from chestnuttide import coordination
>>> state = coordination.make_ownership_state(
...     instance_id="entry-1", incarnation="a", now=0.0
... )
>>> own = coordination.make_ownership_filter(state=state)
>>> for message in (
...     coordination.LeaseRenewed(sent_at=10.0, ttl_s=2.0, lease_id=7),
...     coordination.DesiredShards(shards=frozenset({"workers/main"})),
...     coordination.ShardRecordsRead(records=()),
... ):
...     assert own(message, 10.0) == []
>>> me = coordination.Member(instance_id="entry-1", incarnation="a")
>>> [write] = own(
...     coordination.MembersRead(members=(me,), sent_at=10.0), 10.0
... )
>>> write.shard, write.expected_revision, write.record.epoch
('workers/main', 0, 1)
>>> result = coordination.ClaimResult(
...     shard=write.shard,
...     ok=True,
...     record=write.record,
...     revision=1,
...     write_id=write.write_id,
... )
>>> [acquired] = own(result, 10.1)
>>> acquired.epoch, acquired.clean
(1, True)
>>> coordination.may_act(state, "workers/main", 11.0)
True
>>> coordination.may_act(state, "workers/main", 11.9)
False

The journal of an acquired shard. The driver reads the shard's keys, fences the
snapshots, seals the journal and then appends events. It answers `BudgetWanted`
when the instance's token bucket has a token:

>>> recovery = coordination.plan_recovery(
...     shard="workers/main", manifest=None, chunks=(), ring=()
... )
>>> number = iter(range(100))
>>> journal = coordination.make_journal_state(
...     shard="workers/main",
...     epoch=1,
...     recovery=recovery,
...     make_write_id=lambda: f"entry-1/a/j{next(number)}",
... )
>>> run = coordination.make_journal_filter(state=journal)
>>> run(coordination.JournalTick(), 10.2)
[BudgetWanted()]
>>> [seal] = run(coordination.WriteBudget(), 10.2)
>>> seal.key
'journal/workers/main/0000'
>>> done = coordination.WriteSucceeded(write_id=seal.write_id, revision=2)
>>> run(done, 10.3)
[Sealed(epoch=1)]
>>> run(coordination.Append(event=b"event", token=1), 10.4)
[BudgetWanted()]
>>> [batch] = run(coordination.WriteBudget(), 10.4)
>>> done = coordination.WriteSucceeded(write_id=batch.write_id, revision=3)
>>> run(done, 10.5)
[Durable(tokens=(1,))]
"""

from chestnuttide.coordination import _cas_writes
from chestnuttide.coordination import _journal
from chestnuttide.coordination import _lease
from chestnuttide.coordination import _ledger
from chestnuttide.coordination import _messages
from chestnuttide.coordination import _ownership
from chestnuttide.coordination import _records
from chestnuttide.coordination import _recovery
from chestnuttide.coordination import _rendezvous
from chestnuttide.coordination import _snapshots
from chestnuttide.coordination import _state
from chestnuttide.coordination import _tokens

Append = _journal.Append
BudgetWanted = _journal.BudgetWanted
CLOCK_MARGIN = _lease.CLOCK_MARGIN
ClaimResult = _messages.ClaimResult
ConsentReply = _messages.ConsentReply
ConsentRequest = _messages.ConsentRequest
Deposed = _journal.Deposed
DesiredShards = _messages.DesiredShards
Drain = _messages.Drain
Durable = _journal.Durable
Fenced = _snapshots.Fenced
HELD = _messages.HELD
INTENT_EVENT = _ledger.INTENT_EVENT
InstancesGone = _messages.InstancesGone
JournalState = _journal.JournalState
JournalTick = _journal.JournalTick
LOST_DEPOSED = _messages.LOST_DEPOSED
LOST_RELEASED = _messages.LOST_RELEASED
Lease = _lease.Lease
LeaseLost = _messages.LeaseLost
LeaseRenewed = _messages.LeaseRenewed
LedgerEntry = _ledger.LedgerEntry
LedgerState = _ledger.LedgerState
MAX_BATCH_BYTES = _journal.MAX_BATCH_BYTES
MEMBERS_PREFIX = _records.MEMBERS_PREFIX
Manifest = _snapshots.Manifest
ManifestConflict = _snapshots.ManifestConflict
Member = _messages.Member
MembersRead = _messages.MembersRead
NOT_RUN_STATUS = _ledger.NOT_RUN_STATUS
OUTCOME_EVENT = _ledger.OUTCOME_EVENT
OwnershipSettings = _state.OwnershipSettings
OwnershipState = _state.OwnershipState
PeersConnected = _messages.PeersConnected
PromiseReply = _messages.PromiseReply
PromiseRequest = _messages.PromiseRequest
RELEASED = _messages.RELEASED
REMEMBER_S = _ledger.REMEMBER_S
RING_SIZE = _journal.RING_SIZE
ReadBack = _cas_writes.ReadBack
ReadKey = _cas_writes.ReadKey
ReadRecord = _messages.ReadRecord
Recovery = _recovery.Recovery
ReleaseRequested = _messages.ReleaseRequested
RequestState = _ledger.RequestState
SHARDS_PREFIX = _records.SHARDS_PREFIX
SealConflict = _journal.SealConflict
Sealed = _journal.Sealed
Send = _messages.Send
ShardAcquired = _messages.ShardAcquired
ShardLost = _messages.ShardLost
ShardRecord = _messages.ShardRecord
ShardRecordsRead = _messages.ShardRecordsRead
ShouldRelease = _messages.ShouldRelease
SnapshotDue = _journal.SnapshotDue
SnapshotReady = _journal.SnapshotReady
SnapshotState = _snapshots.SnapshotState
SnapshotTaken = _journal.SnapshotTaken
SnapshotWritten = _journal.SnapshotWritten
StoreReachable = _messages.StoreReachable
StoredEntry = _recovery.StoredEntry
Tick = _messages.Tick
TokenBucket = _tokens.TokenBucket
VOTERS_KEY = _records.VOTERS_KEY
VotersAck = _messages.VotersAck
VotersProposal = _messages.VotersProposal
VotersRead = _messages.VotersRead
WriteBatch = _cas_writes.WriteBatch
WriteBudget = _journal.WriteBudget
WriteConflict = _cas_writes.WriteConflict
WriteShardRecord = _messages.WriteShardRecord
WriteSucceeded = _cas_writes.WriteSucceeded
WriteUnanswered = _cas_writes.WriteUnanswered
WriteVoters = _messages.WriteVoters
begin_request = _ledger.begin
chunk_key = _snapshots.chunk_key
decode_batch = _journal.decode_batch
decode_chunk = _snapshots.decode_chunk
decode_manifest = _snapshots.decode_manifest
decode_member = _records.decode_member
decode_record = _records.decode_record
decode_voters = _records.decode_voters
encode_batch = _journal.encode_batch
encode_chunk = _snapshots.encode_chunk
encode_ledger = _ledger.encode_ledger
encode_manifest = _snapshots.encode_manifest
encode_member = _records.encode_member
encode_record = _records.encode_record
encode_voters = _records.encode_voters
expire_requests = _ledger.expire
held_epoch = _state.held_epoch
known_owner = _state.known_owner
lease_may_act = _lease.may_act
make_intent_event = _ledger.make_intent_event
make_journal_filter = _journal.make_journal_filter
make_journal_state = _recovery.make_journal_state
make_outcome_event = _ledger.make_outcome_event
make_ownership_filter = _ownership.make_ownership_filter
make_ownership_state = _ownership.make_ownership_state
make_snapshot_filter = _snapshots.make_snapshot_filter
make_snapshot_state = _recovery.make_snapshot_state
make_token_bucket = _tokens.make_bucket
manifest_key = _snapshots.manifest_key
mark_answered = _ledger.mark_answered
mark_sent = _ledger.mark_sent
mark_unknown = _ledger.mark_unknown
mark_unsent = _ledger.mark_unsent
may_act = _state.may_act
member_key = _records.member_key
plan_recovery = _recovery.plan_recovery
preferred_member = _rendezvous.preferred
rank_members = _rendezvous.rank
record_intent = _ledger.record_intent
recover_ledger = _ledger.recover_ledger
refuse_request = _ledger.refuse
renew_lease = _lease.renew
request_state = _ledger.state_of
ring_key = _journal.ring_key
ring_prefix = _journal.ring_prefix
shard_key = _records.shard_key
snapshot_prefix = _snapshots.snapshot_prefix
take_tokens = _tokens.take
token_wait_s = _tokens.wait_s
top_members = _rendezvous.top
usable_until = _lease.usable_until

__all__ = [
    "Append",
    "BudgetWanted",
    "CLOCK_MARGIN",
    "ClaimResult",
    "ConsentReply",
    "ConsentRequest",
    "Deposed",
    "DesiredShards",
    "Drain",
    "Durable",
    "Fenced",
    "HELD",
    "INTENT_EVENT",
    "InstancesGone",
    "JournalState",
    "JournalTick",
    "LOST_DEPOSED",
    "LOST_RELEASED",
    "Lease",
    "LeaseLost",
    "LeaseRenewed",
    "LedgerEntry",
    "LedgerState",
    "MAX_BATCH_BYTES",
    "MEMBERS_PREFIX",
    "Manifest",
    "ManifestConflict",
    "Member",
    "MembersRead",
    "NOT_RUN_STATUS",
    "OUTCOME_EVENT",
    "OwnershipSettings",
    "OwnershipState",
    "PeersConnected",
    "PromiseReply",
    "PromiseRequest",
    "RELEASED",
    "REMEMBER_S",
    "RING_SIZE",
    "ReadBack",
    "ReadKey",
    "ReadRecord",
    "Recovery",
    "ReleaseRequested",
    "RequestState",
    "SHARDS_PREFIX",
    "SealConflict",
    "Sealed",
    "Send",
    "ShardAcquired",
    "ShardLost",
    "ShardRecord",
    "ShardRecordsRead",
    "ShouldRelease",
    "SnapshotDue",
    "SnapshotReady",
    "SnapshotState",
    "SnapshotTaken",
    "SnapshotWritten",
    "StoreReachable",
    "StoredEntry",
    "Tick",
    "TokenBucket",
    "VOTERS_KEY",
    "VotersAck",
    "VotersProposal",
    "VotersRead",
    "WriteBatch",
    "WriteBudget",
    "WriteConflict",
    "WriteShardRecord",
    "WriteSucceeded",
    "WriteUnanswered",
    "WriteVoters",
    "begin_request",
    "chunk_key",
    "decode_batch",
    "decode_chunk",
    "decode_manifest",
    "decode_member",
    "decode_record",
    "decode_voters",
    "encode_batch",
    "encode_chunk",
    "encode_ledger",
    "encode_manifest",
    "encode_member",
    "encode_record",
    "encode_voters",
    "expire_requests",
    "held_epoch",
    "known_owner",
    "lease_may_act",
    "make_intent_event",
    "make_journal_filter",
    "make_journal_state",
    "make_outcome_event",
    "make_ownership_filter",
    "make_ownership_state",
    "make_snapshot_filter",
    "make_snapshot_state",
    "make_token_bucket",
    "manifest_key",
    "mark_answered",
    "mark_sent",
    "mark_unknown",
    "mark_unsent",
    "may_act",
    "member_key",
    "plan_recovery",
    "preferred_member",
    "rank_members",
    "record_intent",
    "recover_ledger",
    "refuse_request",
    "renew_lease",
    "request_state",
    "ring_key",
    "ring_prefix",
    "shard_key",
    "snapshot_prefix",
    "take_tokens",
    "token_wait_s",
    "top_members",
    "usable_until",
]
