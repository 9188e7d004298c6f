"""Clients for polls of workers and for commands to them."""

import attrs

from chestnuttide.node import _poll_pacing
from chestnuttide.node import _settings
from chestnuttide import platform

# Concurrent commands to workers. Polls have a client of their own, so that no
# command waits behind them.
MAX_COMMAND_TRANSFERS = 512

# Connections of a client to one worker.
CONNECTIONS_PER_WORKER = 4


@attrs.define(kw_only=True, slots=True, eq=False)
class WorkerClients:
    """An instance's clients for workers, which take several MB.

    Attributes
    ----------
    pacing : Pacing
        Which workers it polls now, and how late its loop is.
    commands, polls : HttpClient or None
        The clients; None before the first ownership.
    """

    pacing: _poll_pacing.Pacing
    commands: platform.HttpClient | None = None
    polls: platform.HttpClient | None = None


def make_worker_clients(settings: _settings.NodeSettings) -> WorkerClients:
    limits = _poll_pacing.make_limits(settings.capacity, settings.intake)
    return WorkerClients(pacing=_poll_pacing.Pacing(limits=limits))


def open_clients(clients: WorkerClients) -> None:
    """Create the clients, unless they exist."""
    if clients.commands is None:
        clients.commands = platform.make_client(
            max_clients=MAX_COMMAND_TRANSFERS,
            max_host_connections=CONNECTIONS_PER_WORKER,
        )
        clients.polls = platform.make_client(
            max_clients=_poll_pacing.max_polls(clients.pacing),
            max_host_connections=CONNECTIONS_PER_WORKER,
        )
