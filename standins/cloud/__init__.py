"""Stand-ins for the platform's store, workers and advisor."""

from standins.cloud import _advisor
from standins.cloud import _http
from standins.cloud import _store
from standins.cloud import _worker

Advisor = _advisor.Advisor
Run = _worker.Run
Store = _store.Store
Worker = _worker.Worker
answer_advice = _advisor.answer_advice
answer_store = _store.answer_store
answer_worker = _worker.answer_worker
encode_entry = _worker.encode_entry
end_due_runs = _worker.end_due_runs
expire_leases = _store.expire_leases
put = _store.put
serve = _http.serve

__all__ = [
    "Advisor",
    "Run",
    "Store",
    "Worker",
    "answer_advice",
    "answer_store",
    "answer_worker",
    "encode_entry",
    "end_due_runs",
    "expire_leases",
    "put",
    "serve",
]
