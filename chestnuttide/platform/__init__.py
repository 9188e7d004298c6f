"""Ports to the platform and their clients."""

from chestnuttide.platform import _ports

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
]
