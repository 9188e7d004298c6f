"""Ports to the platform and their clients."""

from chestnuttide.platform import _instance_list_client
from chestnuttide.platform import _ports
from chestnuttide.platform import _store_client
from chestnuttide.platform import _target_client
from chestnuttide.platform import _worker_agent_client

Entry = _ports.Entry
InstanceChanges = _ports.InstanceChanges
InstanceList = _ports.InstanceList
StartOutcome = _ports.StartOutcome
Store = _ports.Store
SyncResult = _ports.SyncResult
TargetAnswer = _ports.TargetAnswer
Targets = _ports.Targets
TaskStart = _ports.TaskStart
WatchResult = _ports.WatchResult
WorkerAgent = _ports.WorkerAgent
make_instance_list = _instance_list_client.make_instance_list
make_store = _store_client.make_store
make_targets = _target_client.make_targets
make_worker_agent = _worker_agent_client.make_worker_agent

__all__ = [
    "Entry",
    "InstanceChanges",
    "InstanceList",
    "StartOutcome",
    "Store",
    "SyncResult",
    "TargetAnswer",
    "Targets",
    "TaskStart",
    "WatchResult",
    "WorkerAgent",
    "make_instance_list",
    "make_store",
    "make_targets",
    "make_worker_agent",
]
