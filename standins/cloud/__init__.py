"""Stand-ins of the users' platform: store, workers and advisor."""

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
end_leases = _store.end_leases
lapse = _worker.lapse
put = _store.put
serve = _http.serve
write_entry = _worker.write_entry

__all__ = [
    "Advisor",
    "Run",
    "Store",
    "Worker",
    "answer_advice",
    "answer_store",
    "answer_worker",
    "end_leases",
    "lapse",
    "put",
    "serve",
    "write_entry",
]
