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
    """Everything that the handlers share.

    Attributes
    ----------
    settings : Settings
        The instance's settings.
    metrics : Metrics
        The daemon's metrics.
    network : Network
        Mesh connections to all schedulers.
    config_filter : Filter
        Takes config versions into `config`.
    config : ConfigState
        The config in force.
    calls : Calls
        Calls that wait for their replies.
    owners : Owners
        Owners of shards.
    in_flight : int
        HTTP calls being answered.
    stopping : bool
        Whether a planned stop has begun.
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
    """Return whether the balancer may send calls here."""
    return (
        not state.stopping
        and state.config.history.version > 0
        and bool(state.owners.by_shard)
        and state.settings.instance_id not in state.owners.draining
    )
