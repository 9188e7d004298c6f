"""The policy advisor, which says which workers may run a step."""

import json

import attrs

from chestnuttide import errors
from chestnuttide.platform import _http

# The advisor takes at most this many workers in one call.
MAX_WORKERS_PER_CALL = 100


@attrs.frozen(kw_only=True, slots=True)
class Tickets:
    """Tickets of the workers that may run a step.

    Attributes
    ----------
    by_worker : dict of str to str
        Ticket by worker id; workers that may not run the step are absent.
    """

    by_worker: dict[str, str]


async def ask(
    http: _http.HttpClient,
    address: str,
    *,
    step: str,
    workers: tuple[str, ...],
    timeout_s: float,
) -> Tickets:
    """Return the tickets for a step.

    Raises
    ------
    errors.PlatformError
        If the advisor refused the call or did not answer.
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
            message=f"The advisor refused a call with {reply.status}.",
            remedy="Ask again later or from another instance.",
            sent=True,
        )
    try:
        rows = json.loads(reply.body)["good"]
        return Tickets(by_worker={row[0]: row[1] for row in rows})
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise errors.PlatformError(
            message=f"The advisor's answer is unreadable: {error!r}.",
            remedy="Compare the answer with the advisor's page.",
            sent=True,
        ) from error
