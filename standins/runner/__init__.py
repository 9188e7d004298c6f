"""Stand-in for runners, the targets of services."""

from standins.runner import _server
from standins.runner import _state

Desk = _server.Desk
STATUS_PATH = _server.STATUS_PATH
State = _state.State
check_answer = _state.check_answer
control = _server.control
evidence = _server.evidence
find_doubled_requests = _state.find_doubled_requests
listen = _server.listen
main = _server.main
make_desk = _server.make_desk

__all__ = [
    "Desk",
    "STATUS_PATH",
    "State",
    "check_answer",
    "control",
    "evidence",
    "find_doubled_requests",
    "listen",
    "main",
    "make_desk",
]
