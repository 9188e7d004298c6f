"""Stand-in for the policy advisor."""

import attrs
from tornado import httputil

from standins.cloud import _http


@attrs.define(kw_only=True)
class Advisor:
    """State of the advisor.

    Attributes
    ----------
    refused : set of str
        Ids of workers for which no ticket is issued.
    calls : int
        Number of queries so far.
    """

    refused: set[str] = attrs.field(factory=set)
    calls: int = 0


async def handle_advisor_request(
    advisor: Advisor,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> _http.Answer:
    """Return a ticket for each worker that is not refused."""
    advisor.calls += 1
    good = [
        [worker, f"t-{worker}"]
        for worker in body["workers"]
        if worker not in advisor.refused
    ]
    return 200, {"good": good, "validityMs": 2000}
