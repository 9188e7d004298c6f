"""Instances, as listed by the platform."""

import enum

import attrs

from chestnuttide.model import _resources


class InstanceKind(enum.StrEnum):
    """Role of an instance."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True, slots=True)
class Instance:
    """An entry of the platform's instance list.

    Attributes
    ----------
    instance_id : str
        Stable name, unique in the cell.
    kind : InstanceKind
        Role: entry instance, worker or target.
    state : InstanceState
        Whether it accepts work, is leaving, or is gone permanently.
    data_centre : str
        Data centre in which it runs.
    rack : str
        Rack in which it runs; empty if unknown.
    address : str
        Address as ``ip:port``: the scheduler's mesh address for an entry
        instance, otherwise the HTTP address of the agent or the runner.
    service : str
        Service of a target; empty for other kinds.
    slots : int
        Requests that a target runs concurrently; 0 for other kinds.
    connections : int
        Connections that a target accepts; 0 for other kinds.
    capacity : Resources
        Total resources of a worker; zero for other kinds.
    """

    instance_id: str
    kind: InstanceKind
    state: InstanceState
    data_centre: str
    address: str
    rack: str = ""
    service: str = ""
    slots: int = 0
    connections: int = 0
    capacity: _resources.Resources = _resources.ZERO
