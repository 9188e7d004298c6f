"""Stand-in for worker agents."""

from standins.worker_agent import _checks
from standins.worker_agent import _server
from standins.worker_agent import _state

Endpoint = _server.Endpoint
State = _state.State
control = _server.control
evidence = _server.evidence
find_double_runs = _checks.find_double_runs
listen = _server.listen
main = _server.main
make_endpoint = _server.make_endpoint

__all__ = [
    "Endpoint",
    "State",
    "control",
    "evidence",
    "find_double_runs",
    "listen",
    "main",
    "make_endpoint",
]
