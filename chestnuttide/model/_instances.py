"""Instances, as the platform lists them."""

import enum

import attrs

from chestnuttide.model import _resources


class InstanceKind(enum.StrEnum):
    """What an instance is there for."""

    ENTRY = "entry"
    WORKER = "worker"
    TARGET = "target"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True, slots=True)
class Instance:
    """One instance of the platform's list.

    Attributes
    ----------
    instance_id : str
        Stable name, unique in the cell.
    kind : InstanceKind
        Entry instance, worker or target.
    state : InstanceState
        Whether it takes work, is leaving, or is gone for good.
    data_centre : str
        Data centre that houses it.
    rack : str
        Rack that houses it; empty when unknown.
    address : str
        ``ip:port``: the scheduler's mesh address for an entry instance, the
        HTTP address of the agent or of the runner otherwise.
    service : str
        Service of a target; empty for other kinds.
    slots : int
        Requests that a target runs at once; 0 for other kinds.
    connections : int
        Connections that a target accepts; 0 for other kinds.
    capacity : Resources
        What a worker offers; zero for other kinds.
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
