"""A runner's state: its slots and the evidence of what it was asked."""

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
    """One runner.

    Attributes
    ----------
    runner_id : str
        Its instance id.
    slots : int
        Requests that it may run at once.
    connections : int
        Connections that it may have open.
    busy : int
        Requests at work.
    peak_busy, peak_connections : int
        Highest numbers so far.
    slot_overruns, connection_overruns : int
        Requests and connections above the limits.
    runs : int
        Requests that began to run.
    finished : int
        Requests that ran to their end.
    seen : Counter
        Requests that began to run, by id.
    once : set of str
        Ids whose payload says ``"idempotent": false``.
    leaving_since : float
        Time of the leaving mark, in time.time(); 0 without one.
    runs_after_leaving : int
        Requests that began to run after the mark.
    refused_leaving : int
        Requests that were refused because of the mark.
    last_new_request : float
        Time at which the last request began to run, in time.time().
    epochs : set of int
        Epochs that the requests carried.
    stale_runs : int
        Requests that began to run with a lower epoch than one before them; a
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
    once: set[str] = attrs.Factory(set)
    leaving_since: float = 0.0
    runs_after_leaving: int = 0
    refused_leaving: int = 0
    last_new_request: float = 0.0
    epochs: set[int] = attrs.Factory(set)
    stale_runs: int = 0


def begin(
    state: State,
    request_id: str,
    epoch: int,
    payload: dict[str, typing.Any],
    wall: float,
) -> None:
    """Take a slot for a request; one above the limit runs all the same."""
    state.busy += 1
    state.runs += 1
    state.peak_busy = max(state.peak_busy, state.busy)
    if state.busy > state.slots:
        state.slot_overruns += 1
    state.seen[request_id] += 1
    if payload.get("idempotent") is False:
        state.once.add(request_id)
    if state.epochs and epoch < max(state.epochs):
        state.stale_runs += 1
    state.epochs.add(epoch)
    state.last_new_request = wall
    if state.leaving_since:
        state.runs_after_leaving += 1


def end(state: State, finished: bool) -> None:
    """Free the slot of a request."""
    state.busy -= 1
    state.finished += finished


def connected(state: State, open_connections: int) -> None:
    """Note the number of open connections after a new one."""
    state.peak_connections = max(state.peak_connections, open_connections)
    if open_connections > state.connections:
        state.connection_overruns += 1


def make_answer(
    state: State, request_id: str, attempt: int, size: int
) -> bytes:
    """Return the body of an answer with `size` bytes that follow from the id.

    `check_answer` finds an answer that belongs to another request and one
    that is not complete.
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


def check_answer(body: bytes, request_id: str, size: int) -> str:
    """Return what is wrong with an answer; empty when it is whole.

    Parameters
    ----------
    body : bytes
        Body of the answer.
    request_id : str
        Id of the request that it should answer.
    size : int
        Size that the request asked for.
    """
    try:
        fields = json.loads(body)
        if fields["request_id"] != request_id:
            return f"it answers {fields['request_id']}"
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
    """Return counts, overruns and repeated ids."""
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
            name: n for name, n in repeated.items() if name in state.once
        },
        "leaving_since": state.leaving_since,
        "runs_after_leaving": state.runs_after_leaving,
        "refused_leaving": state.refused_leaving,
        "last_new_request": state.last_new_request,
        "epochs": sorted(state.epochs),
        "stale_runs": state.stale_runs,
        **_ids(state, with_ids),
    }


def find_doubled_requests(
    evidences: collections.abc.Iterable[dict[str, typing.Any]],
) -> dict[str, int]:
    """Return the non-idempotent ids that ran more than once anywhere.

    Parameters
    ----------
    evidences : iterable of dict
        Answers of ``GET /control?ids=1`` of all runners.

    Returns
    -------
    dict of str to int
        Number of runs of each such id.
    """
    runs: collections.Counter[str] = collections.Counter()
    once: set[str] = set()
    for item in evidences:
        runs.update(item["seen"])
        once.update(item["once"])
    return {name: runs[name] for name in sorted(once) if runs[name] > 1}


def _ids(state: State, with_ids: bool) -> dict[str, typing.Any]:
    if not with_ids:
        return {}
    return {"seen": dict(state.seen), "once": sorted(state.once)}


def _make_content(request_id: str, size: int) -> str:
    seed = _hash(request_id)
    return (seed * (size // len(seed) + 1))[:size]


def _hash(text: str) -> str:
    return xxhash.xxh64_hexdigest(text.encode())
