"""State of the entry daemon."""

import attrs

from chestnuttide import config as config_module
from chestnuttide.entry import _owners
from chestnuttide import mesh
from chestnuttide import pipes
from chestnuttide import settings as settings_module
from chestnuttide import telemetry


@attrs.define(kw_only=True, slots=True, eq=False)
class EntryState:
    """State shared by the HTTP handlers and the background tasks.

    Attributes
    ----------
    settings : Settings
        Settings of the instance.
    metrics : Metrics
        Metrics of the daemon.
    network : Network
        Mesh connections to all schedulers.
    config_filter : Filter
        Filter that updates `config` with new versions.
    config : ConfigState
        The configuration in force.
    calls : Calls
        Mesh calls that are awaiting a reply.
    owners : Owners
        Known owners of the shards.
    in_flight : int
        Number of HTTP calls in flight.
    stopping : bool
        Whether a graceful stop has started.
    """

    settings: settings_module.Settings
    metrics: telemetry.Metrics
    network: mesh.Network
    config_filter: pipes.Filter
    config: config_module.ConfigState
    calls: mesh.Calls = attrs.field(factory=mesh.Calls)
    owners: _owners.Owners = attrs.field(factory=_owners.Owners)
    in_flight: int = 0
    stopping: bool = False


def is_ready(state: EntryState) -> bool:
    """Return whether the load balancer may route calls to this entry."""
    return (
        not state.stopping
        and state.config.history.version > 0
        and bool(state.owners.by_shard)
        and state.settings.instance_id not in state.owners.draining
    )
