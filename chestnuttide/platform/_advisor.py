"""Client of the policy advisor, which decides where a step may run."""

import functools
import json

import attrs

from chestnuttide import errors
from chestnuttide.platform import _documents
from chestnuttide.platform import _http


@attrs.frozen(kw_only=True, slots=True)
class Tickets:
    """Tickets that permit workers to run a step.

    Attributes
    ----------
    by_worker : dict of str to str
        Ticket by worker id, only for workers that may run the step.
    """

    by_worker: dict[str, str]


async def query_advisor(
    http: _http.HttpClient,
    address: str,
    *,
    step: str,
    workers: tuple[str, ...],
    timeout_s: float,
) -> Tickets:
    """Query the advisor for the tickets of a step.

    Raises
    ------
    errors.PlatformError
        If the advisor rejected the query or did not respond.
    """
    reply = await _http.fetch(
        http,
        url=f"http://{address}/v1/advise",
        timeout_s=timeout_s,
        body=json.dumps({"step": step, "workers": list(workers)}).encode(),
        headers={"Content-Type": "application/json"},
    )
    if reply.status != 200:
        raise errors.PlatformError(
            message=f"The advisor returned status {reply.status}.",
            remedy="Retry later or from another instance.",
            sent=True,
        )
    with errors.decoding(
        "The advisor's response",
        "Compare the response with the advisor's specification.",
        functools.partial(errors.PlatformError, sent=True),
    ):
        document = _documents.parse_object(reply.body)
        by_worker = {}
        for worker, ticket in _documents.read_list(document, "good"):
            for value in (worker, ticket):
                _documents.check_text(
                    value, "a row", max_length=_documents.MAX_TEXT
                )
            by_worker[worker] = ticket
        return Tickets(by_worker=by_worker)
