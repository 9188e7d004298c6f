"""Stand-in for the platform's instance list, which lags behind changes."""

from standins.instance_list import _server
from standins.instance_list import _state

Endpoint = _server.Endpoint
State = _state.State
changes = _state.changes
control = _server.control
evidence = _server.evidence
listen = _server.listen
main = _server.main
put = _state.put

__all__ = [
    "Endpoint",
    "State",
    "changes",
    "control",
    "evidence",
    "listen",
    "main",
    "put",
]
