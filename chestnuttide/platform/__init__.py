"""Interfaces to the external systems of the platform, and their clients."""

from chestnuttide.platform import _advisor
from chestnuttide.platform import _formats
from chestnuttide.platform import _http
from chestnuttide.platform import _instance_list_client
from chestnuttide.platform import _kv_store
from chestnuttide.platform import _ports
from chestnuttide.platform import _store_client
from chestnuttide.platform import _target_client
from chestnuttide.platform import _worker_agent_client
from chestnuttide.platform import _worker_commands

ClusterConfig = _formats.ClusterConfig
CommandReply = _worker_commands.CommandReply
Completion = _worker_commands.Completion
ConditionError = _kv_store.ConditionError
Entry = _ports.Entry
HistoryLostError = _kv_store.HistoryLostError
HttpClient = _http.HttpClient
InstanceChanges = _ports.InstanceChanges
InstanceList = _ports.InstanceList
Item = _kv_store.Item
KEY_HEADER = _formats.KEY_HEADER
KvStore = _kv_store.KvStore
MAX_TRANSACTION_ENTRIES = _kv_store.MAX_TRANSACTION_ENTRIES
PollReply = _worker_commands.PollReply
RunReport = _worker_commands.RunReport
StartOutcome = _ports.StartOutcome
Store = _ports.Store
StoreRefusedError = _kv_store.StoreRefusedError
SyncResult = _ports.SyncResult
TargetAnswer = _ports.TargetAnswer
Targets = _ports.Targets
TaskStart = _ports.TaskStart
Tickets = _advisor.Tickets
Transaction = _kv_store.Transaction
TransactionRejectedError = _kv_store.TransactionRejectedError
UnreadableChangesError = _kv_store.UnreadableChangesError
WatchResult = _ports.WatchResult
WorkerAddress = _worker_commands.WorkerAddress
WorkerAgent = _ports.WorkerAgent
commit = _kv_store.commit
decode_config = _formats.decode_config
decode_job = _formats.decode_job
decode_worker = _formats.decode_worker
digest_key = _formats.digest_key
find_queue = _formats.find_queue
grant_lease = _kv_store.grant_lease
is_job_id = _formats.is_job_id
make_client = _http.make_client
make_instance_list = _instance_list_client.make_instance_list
make_store = _store_client.make_store
make_targets = _target_client.make_targets
make_worker_agent = _worker_agent_client.make_worker_agent
poll_worker = _worker_commands.poll_worker
query_advisor = _advisor.query_advisor
read_all = _kv_store.read_all
read_key = _kv_store.read_key
read_range = _kv_store.read_range
renew_lease = _kv_store.renew_lease
revoke_lease = _kv_store.revoke_lease
start_run = _worker_commands.start_run
stop_run = _worker_commands.stop_run
throttle_run = _worker_commands.throttle_run
watch_keys = _kv_store.watch_keys

__all__ = [
    "ClusterConfig",
    "CommandReply",
    "Completion",
    "ConditionError",
    "Entry",
    "HistoryLostError",
    "HttpClient",
    "InstanceChanges",
    "InstanceList",
    "Item",
    "KEY_HEADER",
    "KvStore",
    "MAX_TRANSACTION_ENTRIES",
    "PollReply",
    "RunReport",
    "StartOutcome",
    "Store",
    "StoreRefusedError",
    "SyncResult",
    "TargetAnswer",
    "Targets",
    "TaskStart",
    "Tickets",
    "Transaction",
    "TransactionRejectedError",
    "UnreadableChangesError",
    "WatchResult",
    "WorkerAddress",
    "WorkerAgent",
    "commit",
    "decode_config",
    "decode_job",
    "decode_worker",
    "digest_key",
    "find_queue",
    "grant_lease",
    "is_job_id",
    "make_client",
    "make_instance_list",
    "make_store",
    "make_targets",
    "make_worker_agent",
    "poll_worker",
    "query_advisor",
    "read_all",
    "read_key",
    "read_range",
    "renew_lease",
    "revoke_lease",
    "start_run",
    "stop_run",
    "throttle_run",
    "watch_keys",
]
