"""Callers of the demonstration.

They retry at another entry, as they would behind the load balancer of the
platform.
"""

import asyncio
import collections
import json
import time

import attrs
from tornado import curl_httpclient
from tornado import httpclient

REQUEST_TIMEOUT_S = 8.0
# Delay before a caller whose entry does not answer retries at another entry.
RETRY_S = 0.1
CALL_LIMIT_S = 10.0


@attrs.define(kw_only=True)
class Tally:
    """Outcomes of the requests.

    Attributes
    ----------
    sent : int
        Requests that callers sent, not counting retries.
    outcomes : Counter
        Number of requests ``answered``, ``refused``, ``unknown`` or ``lost``.
    reasons : Counter
        Number of refused or unknown requests by error code.
    wrong : int
        Number of answers that belong to another request.
    latencies_s : list of float
        Seconds from first attempt to answer, of the answered requests.
    """

    sent: int = 0
    outcomes: collections.Counter[str] = attrs.Factory(collections.Counter)
    reasons: collections.Counter[str] = attrs.Factory(collections.Counter)
    wrong: int = 0
    latencies_s: list[float] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request to be sent by a caller.

    Attributes
    ----------
    request_id : str
        Id of the request.
    service : str
        Service that answers the request.
    idempotent : bool
        Whether the request may run more than once.
    urgent : bool
        Whether the request is served before others.
    run_ms : float
        Run time at the target in milliseconds.
    """

    request_id: str
    service: str
    idempotent: bool
    urgent: bool
    run_ms: float


def make_client() -> curl_httpclient.CurlAsyncHTTPClient:
    """Return the HTTP client that all callers share."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=200
    )


async def run_request(
    client: curl_httpclient.CurlAsyncHTTPClient,
    ports: list[int],
    request: CallerRequest,
    tally: Tally,
) -> None:
    """Send a request, with retries, until it is decided or times out.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        The HTTP client.
    ports : list of int
        Ports of the entries, the preferred one first.
    request : CallerRequest
        The request.
    tally : Tally
        Records the outcome.
    """
    tally.sent += 1
    started = time.monotonic()
    deadline_ms = int((time.time() + REQUEST_TIMEOUT_S) * 1000)
    body = json.dumps(
        {
            "id": request.request_id,
            "team": "makers",
            "urgent": request.urgent,
            "idempotent": request.idempotent,
            "deadline_unix_ms": deadline_ms,
            "payload": {
                "run_ms": request.run_ms,
                "size": 64,
                "idempotent": request.idempotent,
            },
        }
    )
    attempts = 0
    while time.monotonic() - started < CALL_LIMIT_S:
        port = ports[attempts % len(ports)]
        attempts += 1
        url = f"http://127.0.0.1:{port}/v1/services/{request.service}/requests"
        response = await _fetch(client, url, body)
        if response is None:
            await asyncio.sleep(RETRY_S)
            continue
        if response.code == 200:
            _record_answer(request, response, tally, started)
            return
        code, run_state = _read_error(response)
        if code == "duplicate_id" and attempts > 1:
            # An earlier entry failed after it had forwarded the request.
            if await _fetch_answer(client, port, request, tally, started):
                return
            continue
        tally.reasons[code] += 1
        tally.outcomes["unknown" if run_state != "not_run" else "refused"] += 1
        return
    tally.outcomes["lost"] += 1


async def _fetch(
    client: curl_httpclient.CurlAsyncHTTPClient, url: str, body: str | None
) -> httpclient.HTTPResponse | None:
    """Return the response, or None if the entry did not answer."""
    try:
        return await client.fetch(
            url,
            method="GET" if body is None else "POST",
            body=body,
            request_timeout=CALL_LIMIT_S,
            connect_timeout=1.0,
            raise_error=False,
        )
    except httpclient.HTTPError:
        return None


async def _fetch_answer(
    client: curl_httpclient.CurlAsyncHTTPClient,
    port: int,
    request: CallerRequest,
    tally: Tally,
    started: float,
) -> bool:
    url = (
        f"http://127.0.0.1:{port}/v1/services/{request.service}"
        f"/requests/{request.request_id}/answer"
    )
    response = await _fetch(client, url, None)
    if response is None or response.code != 200:
        await asyncio.sleep(RETRY_S)
        return False
    document = json.loads(response.body)
    if "request_id" in document:
        _record_answer(request, response, tally, started)
        return True
    if document.get("state") == "outcome_unknown":
        tally.outcomes["unknown"] += 1
        tally.reasons["outcome_unknown"] += 1
        return True
    await asyncio.sleep(RETRY_S)
    return False


def _record_answer(
    request: CallerRequest,
    response: httpclient.HTTPResponse,
    tally: Tally,
    started: float,
) -> None:
    answer = json.loads(response.body)
    if answer["request_id"] != request.request_id:
        tally.wrong += 1
    tally.outcomes["answered"] += 1
    tally.latencies_s.append(time.monotonic() - started)


def _read_error(
    response: httpclient.HTTPResponse,
) -> tuple[str, str]:
    try:
        error = json.loads(response.body)["error"]
    except (ValueError, KeyError, TypeError):
        return f"status_{response.code}", "unknown"
    return error["code"], error["run_state"]
