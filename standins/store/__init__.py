"""Stand-in for the platform's key-value store, with injectable faults."""

from standins.store import _calls
from standins.store import _memory
from standins.store import _server
from standins.store import _state

Endpoint = _calls.Endpoint
State = _state.State
control = _calls.control
evidence = _calls.evidence
expire = _state.expire
listen = _server.listen
main = _server.main
make_endpoint = _memory.make_endpoint
make_in_memory_store = _memory.make_in_memory_store

__all__ = [
    "Endpoint",
    "State",
    "control",
    "evidence",
    "expire",
    "listen",
    "main",
    "make_endpoint",
    "make_in_memory_store",
]
