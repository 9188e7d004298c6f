"""Scheduling decisions of one pool: acceptance, placement and recovery."""

from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _pool
from chestnuttide.jobs import _snapshot
from chestnuttide.jobs import _state
from chestnuttide.jobs import _views

AcknowledgeEnd = _messages.AcknowledgeEnd
AppendEvent = _messages.AppendEvent
CancelJob = _messages.CancelJob
ConfigChanged = _messages.ConfigChanged
Deposed = _messages.Deposed
JobAccepted = _messages.JobAccepted
JobCancelled = _messages.JobCancelled
JobRefused = _messages.JobRefused
JobView = _views.JobView
JournalDurable = _messages.JournalDurable
JournalStalled = _messages.JournalStalled
Placed = _messages.Placed
PoolState = _state.PoolState
PoolView = _views.PoolView
Recovered = _messages.Recovered
Refused = _messages.Refused
Retried = _messages.Retried
StartOutcome = _messages.StartOutcome
StartResult = _messages.StartResult
StartTask = _messages.StartTask
StopTask = _messages.StopTask
Stopping = _messages.Stopping
SubmitJob = _messages.SubmitJob
SyncFailed = _messages.SyncFailed
SyncReport = _messages.SyncReport
SyncSent = _messages.SyncSent
ThrottleTask = _messages.ThrottleTask
Tick = _messages.Tick
WorkersChanged = _messages.WorkersChanged
encode_snapshot = _snapshot.encode_snapshot
is_busy = _pool.is_busy
list_jobs = _views.list_jobs
make_pool_filter = _pool.make_pool_filter
may_sync = _attempts.may_sync
next_due = _pool.next_due
read_job = _views.read_job
read_pool = _views.read_pool
snapshot_parts = _snapshot.snapshot_parts

__all__ = [
    "AcknowledgeEnd",
    "AppendEvent",
    "CancelJob",
    "ConfigChanged",
    "Deposed",
    "JobAccepted",
    "JobCancelled",
    "JobRefused",
    "JobView",
    "JournalDurable",
    "JournalStalled",
    "Placed",
    "PoolState",
    "PoolView",
    "Recovered",
    "Refused",
    "Retried",
    "StartOutcome",
    "StartResult",
    "StartTask",
    "StopTask",
    "Stopping",
    "SubmitJob",
    "SyncFailed",
    "SyncReport",
    "SyncSent",
    "ThrottleTask",
    "Tick",
    "WorkersChanged",
    "encode_snapshot",
    "is_busy",
    "list_jobs",
    "make_pool_filter",
    "may_sync",
    "next_due",
    "read_job",
    "read_pool",
    "snapshot_parts",
]
