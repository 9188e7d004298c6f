"""Stand-in for runners, the targets of a service."""

from standins.runner import _server
from standins.runner import _state

Endpoint = _server.Endpoint
STATUS_PATH = _server.STATUS_PATH
State = _state.State
check_response = _state.check_response
control = _server.control
evidence = _server.evidence
find_duplicate_requests = _state.find_duplicate_requests
listen = _server.listen
main = _server.main
make_endpoint = _server.make_endpoint

__all__ = [
    "Endpoint",
    "STATUS_PATH",
    "State",
    "check_response",
    "control",
    "evidence",
    "find_duplicate_requests",
    "listen",
    "main",
    "make_endpoint",
]
