"""Stand-in for the policy advisor."""

import attrs
from tornado import httputil

from standins.cloud import _http
from standins.cloud import _worker

VALIDITY_MS = 2000


@attrs.define(kw_only=True)
class Advisor:
    """State of the advisor.

    Attributes
    ----------
    refused : set of str
        Ids of workers for which no ticket is issued.
    calls : int
        Number of queries so far.
    workers : list of Worker
        Workers whose tickets are valid for one incarnation; those of others
        are not checked.
    """

    refused: set[str] = attrs.field(factory=set)
    calls: int = 0
    workers: list[_worker.Worker] = attrs.field(factory=list)


async def handle_advisor_request(
    advisor: Advisor,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> _http.Answer:
    """Return a ticket for each worker that is not refused."""
    advisor.calls += 1
    workers = {worker.id: worker for worker in advisor.workers}
    good = [
        [worker_id, _make_ticket(workers.get(worker_id), worker_id)]
        for worker_id in body["workers"]
        if worker_id not in advisor.refused
    ]
    return 200, {"good": good, "validityMs": VALIDITY_MS}


def _make_ticket(worker: _worker.Worker | None, worker_id: str) -> str:
    if worker is None:
        return f"t-{worker_id}"
    return _worker.issue_ticket(worker, validity_s=VALIDITY_MS / 1000)
