"""Stand-ins for the platform's store, workers and advisor."""

from standins.cloud import _advisor
from standins.cloud import _http
from standins.cloud import _store
from standins.cloud import _worker

Advisor = _advisor.Advisor
Run = _worker.Run
Store = _store.Store
Worker = _worker.Worker
crash = _worker.crash
encode_entry = _worker.encode_entry
end_due_runs = _worker.end_due_runs
expire_leases = _store.expire_leases
handle_advisor_request = _advisor.handle_advisor_request
handle_store_request = _store.handle_store_request
handle_worker_request = _worker.handle_worker_request
put = _store.put
remove = _store.remove
restart = _worker.restart
serve = _http.serve

__all__ = [
    "Advisor",
    "Run",
    "Store",
    "Worker",
    "crash",
    "encode_entry",
    "end_due_runs",
    "expire_leases",
    "handle_advisor_request",
    "handle_store_request",
    "handle_worker_request",
    "put",
    "remove",
    "restart",
    "serve",
]
