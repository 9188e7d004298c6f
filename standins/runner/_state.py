"""State of a runner: its slots and the requests it has observed."""

import collections
import collections.abc
import json
import typing

import attrs
import xxhash

SLOTS: typing.Final[int] = 8
CONNECTIONS: typing.Final[int] = 64


@attrs.define(kw_only=True)
class State:
    """State of one runner.

    Attributes
    ----------
    runner_id : str
        Instance id of the runner.
    slots : int
        Limit on concurrent requests.
    connections : int
        Limit on open connections.
    busy : int
        Requests in progress.
    peak_busy, peak_connections : int
        Highest number of concurrent requests and open connections so far.
    slot_overruns, connection_overruns : int
        Number of requests and connections above the limits.
    runs : int
        Number of requests started.
    finished : int
        Number of requests that ran to completion.
    seen : Counter
        Number of runs by request id.
    non_idempotent_ids : set of str
        Ids of requests with ``"idempotent": false`` in the payload.
    leaving_since : float
        Time at which the runner was marked as leaving, in time.time(); 0 if
        it is not.
    runs_after_leaving : int
        Number of requests started while marked as leaving.
    refused_leaving : int
        Number of requests refused because the runner is leaving.
    last_new_request : float
        Start time of the last request, in time.time().
    epochs : set of int
        Epochs seen in requests.
    stale_runs : int
        Number of requests started with a lower epoch than an earlier one. A
        target belongs to one shard, so a former owner has sent them.
    """

    runner_id: str
    slots: int = SLOTS
    connections: int = CONNECTIONS
    busy: int = 0
    peak_busy: int = 0
    peak_connections: int = 0
    slot_overruns: int = 0
    connection_overruns: int = 0
    runs: int = 0
    finished: int = 0
    seen: collections.Counter[str] = attrs.Factory(collections.Counter)
    non_idempotent_ids: set[str] = attrs.Factory(set)
    leaving_since: float = 0.0
    runs_after_leaving: int = 0
    refused_leaving: int = 0
    last_new_request: float = 0.0
    epochs: set[int] = attrs.Factory(set)
    stale_runs: int = 0


def start_request(
    state: State,
    request_id: str,
    epoch: int,
    payload: dict[str, typing.Any],
    wall_time_s: float,
) -> None:
    """Take a slot for a request; requests above the limit run as well."""
    state.busy += 1
    state.runs += 1
    state.peak_busy = max(state.peak_busy, state.busy)
    if state.busy > state.slots:
        state.slot_overruns += 1
    state.seen[request_id] += 1
    if payload.get("idempotent") is False:
        state.non_idempotent_ids.add(request_id)
    if state.epochs and epoch < max(state.epochs):
        state.stale_runs += 1
    state.epochs.add(epoch)
    state.last_new_request = wall_time_s
    if state.leaving_since:
        state.runs_after_leaving += 1


def finish_request(state: State, finished: bool) -> None:
    """Release the slot of a request."""
    state.busy -= 1
    state.finished += finished


def record_connections(state: State, open_connections: int) -> None:
    """Record the number of open connections after a new one."""
    state.peak_connections = max(state.peak_connections, open_connections)
    if open_connections > state.connections:
        state.connection_overruns += 1


def make_response(
    state: State, request_id: str, attempt: int, size: int
) -> bytes:
    """Return a response body with `size` bytes derived from the request id.

    `check_response` detects a response to another request and an incomplete
    one.
    """
    content = _make_content(request_id, size)
    return json.dumps(
        {
            "request_id": request_id,
            "attempt": attempt,
            "runner": state.runner_id,
            "size": size,
            "checksum": _hash(content),
            "content": content,
        }
    ).encode()


def check_response(body: bytes, request_id: str, size: int) -> str:
    """Return the fault of a response, or an empty string if it is intact.

    Parameters
    ----------
    body : bytes
        Body of the response.
    request_id : str
        Id of the request.
    size : int
        Content size that was requested.
    """
    try:
        fields = json.loads(body)
        if fields["request_id"] != request_id:
            return f"it is the response to {fields['request_id']}"
        content = fields["content"]
        if fields["size"] != size or content != _make_content(
            request_id, size
        ):
            return f"its content is not the {size} bytes of the request"
        if fields["checksum"] != _hash(content):
            return "its checksum is wrong"
    except (ValueError, KeyError, TypeError) as error:
        return f"it cannot be decoded: {error}"
    return ""


def evidence(
    state: State, open_connections: int, *, with_ids: bool
) -> dict[str, typing.Any]:
    """Return counts, overruns and repeated request ids."""
    repeated = {name: n for name, n in state.seen.items() if n > 1}
    return {
        "runner_id": state.runner_id,
        "slots": state.slots,
        "busy": state.busy,
        "peak_busy": state.peak_busy,
        "slot_overruns": state.slot_overruns,
        "open_connections": open_connections,
        "peak_connections": state.peak_connections,
        "connection_overruns": state.connection_overruns,
        "runs": state.runs,
        "finished": state.finished,
        "repeated": repeated,
        "doubled": {
            name: n
            for name, n in repeated.items()
            if name in state.non_idempotent_ids
        },
        "leaving_since": state.leaving_since,
        "runs_after_leaving": state.runs_after_leaving,
        "refused_leaving": state.refused_leaving,
        "last_new_request": state.last_new_request,
        "epochs": sorted(state.epochs),
        "stale_runs": state.stale_runs,
        **_list_ids(state, with_ids),
    }


def find_duplicate_requests(
    runner_evidence: collections.abc.Iterable[dict[str, typing.Any]],
) -> dict[str, int]:
    """Return non-idempotent requests that ran more than once on any runners.

    Parameters
    ----------
    runner_evidence : iterable of dict
        Responses of all runners to ``GET /control?ids=1``.

    Returns
    -------
    dict of str to int
        Number of runs of each such request id.
    """
    runs: collections.Counter[str] = collections.Counter()
    non_idempotent_ids: set[str] = set()
    for item in runner_evidence:
        runs.update(item["seen"])
        non_idempotent_ids.update(item["once"])
    return {
        name: runs[name]
        for name in sorted(non_idempotent_ids)
        if runs[name] > 1
    }


def _list_ids(state: State, with_ids: bool) -> dict[str, typing.Any]:
    if not with_ids:
        return {}
    return {"seen": dict(state.seen), "once": sorted(state.non_idempotent_ids)}


def _make_content(request_id: str, size: int) -> str:
    seed = _hash(request_id)
    return (seed * (size // len(seed) + 1))[:size]


def _hash(text: str) -> str:
    return xxhash.xxh64_hexdigest(text.encode())
