"""Stand-in for the platform's key-value store."""

from standins.store import _calls
from standins.store import _memory
from standins.store import _server
from standins.store import _state

Desk = _calls.Desk
State = _state.State
control = _calls.control
evidence = _calls.evidence
expire = _state.expire
listen = _server.listen
main = _server.main
make_desk = _memory.make_desk
make_in_memory_store = _memory.make_in_memory_store

__all__ = [
    "Desk",
    "State",
    "control",
    "evidence",
    "expire",
    "listen",
    "main",
    "make_desk",
    "make_in_memory_store",
]
