"""Orders to workers: start, stop, hold and pace a run."""

import collections.abc
import json

import attrs

from chestnuttide import errors
from chestnuttide.platform import _http


@attrs.frozen(kw_only=True, slots=True)
class RunRow:
    """A run that a worker lists as running.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    checkpoint : str
        Newest saved progress; empty if there is none.
    percent : float
        Progress; of a lasting task 100 when it serves.
    measure : float
        Tail latency in ms of a serving task, else cpu in use, over the last
        half second.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    measure: float


@attrs.frozen(kw_only=True, slots=True)
class EndRow:
    """A run that a worker lists as ended.

    Attributes
    ----------
    number : int
        Number of the end in this lifetime of the worker, from 1.
    task : str
        Name of the task.
    run : int
        Number of the run.
    how : str
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or
        ``alone``.
    checkpoint : str
        Saved progress; empty if there is none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@attrs.frozen(kw_only=True, slots=True)
class Look:
    """A worker's lists of runs.

    Attributes
    ----------
    clock_ms : int
        The worker's own steady clock.
    born_ms : int
        Start of its lifetime.
    running : tuple of RunRow
        All that runs.
    ended : tuple of EndRow
        Ends that were not yet acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]


@attrs.frozen(kw_only=True, slots=True)
class OrderReply:
    """A worker's answer to a start, stop or pace.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Why the order was rejected, with status 409.
    clock_ms : int or None
        The worker's steady clock, if it was told.
    """

    status: int
    reason: str = ""
    clock_ms: int | None = None


@attrs.frozen(kw_only=True, slots=True)
class WorkerAddress:
    """Where a lifetime of a worker is reached.

    Attributes
    ----------
    id : str
        Id that the worker must still have.
    address : str
        ``ip:port``.
    """

    id: str
    address: str


async def hold(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    fence: int,
    acknowledged_end: int,
    deadline_ms: int | None,
    wait_s: float,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> Look | OrderReply:
    """Extend the lease of all runs and return the worker's lists.

    Parameters
    ----------
    http : HttpClient
        Client of the calls.
    worker : WorkerAddress
        The worker.
    fence : int
        Fencing token of the caller.
    acknowledged_end : int
        Ends up to this number are stored, and forgotten by the worker.
    deadline_ms : int or None
        New end of the lease on the worker's clock.
    wait_s : float
        Time that the worker waits for an end, at most 2 s.
    timeout_s : float
        Limit of the call in addition to `wait_s`.
    may_send : function
        Checked right before the request is sent.

    Returns
    -------
    Look or OrderReply
        An `OrderReply` if the worker rejected the call.

    Raises
    ------
    errors.PlatformError
        If no complete answer came.
    """
    # "seenUpto" acknowledges ends for good; it is no read position.
    body: dict[str, object] = {"fence": fence, "seenUpto": acknowledged_end}
    if deadline_ms is not None:
        body["deadlineMs"] = deadline_ms
    if wait_s > 0:
        body["waitMs"] = int(wait_s * 1000)
    reply = await _post(
        http, worker, "/v1/hold", body, timeout_s + wait_s, may_send
    )
    if reply.status != 200:
        return _order_reply(reply)
    try:
        document = json.loads(reply.body)
        return Look(
            clock_ms=int(document["clockMs"]),
            born_ms=int(document.get("born", 0)),
            running=tuple(_run_row(row) for row in document["running"]),
            ended=tuple(
                EndRow(
                    number=row[0],
                    task=row[1],
                    run=row[2],
                    how=row[3],
                    checkpoint=row[4] if len(row) > 4 else "",
                )
                for row in document["ended"]
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise errors.PlatformError(
            message=f"The lists of worker {worker.id} are unreadable.",
            remedy="Compare the answer with the worker's page.",
            sent=True,
        ) from error


async def start(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    payload: str,
    deadline_ms: int,
    fence: int,
    checkpoint: str,
    ticket: str,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> OrderReply:
    """Order a run; see `hold` for the parameters and errors."""
    body: dict[str, object] = {
        "task": task,
        "run": run,
        "spec": payload,
        "deadlineMs": deadline_ms,
        "fence": fence,
    }
    if checkpoint:
        body["checkpointed"] = checkpoint
    if ticket:
        body["ticket"] = ticket
    return _order_reply(
        await _post(http, worker, "/v1/run-start", body, timeout_s, may_send)
    )


async def stop(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    fence: int,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> OrderReply:
    """End a run, or reject it if it begins later; see `hold`."""
    body = {"task": task, "run": run, "fence": fence}
    return _order_reply(
        await _post(http, worker, "/v1/run-stop", body, timeout_s, may_send)
    )


async def pace(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    percent: int,
    fence: int,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> OrderReply:
    """Let a run work at a share of its speed; see `hold`."""
    body = {"task": task, "run": run, "percent": percent, "fence": fence}
    return _order_reply(
        await _post(http, worker, "/v1/pace", body, timeout_s, may_send)
    )


def _run_row(row: list[object]) -> RunRow:
    return RunRow(
        task=row[0],
        run=row[1],
        checkpoint=row[2],
        percent=row[3],
        measure=row[4] if len(row) > 4 else 0,
    )


def _order_reply(reply: _http.Reply) -> OrderReply:
    try:
        document = json.loads(reply.body) if reply.body else {}
    except ValueError:
        # The status alone decides; a body that is no JSON adds nothing.
        document = {}
    return OrderReply(
        status=reply.status,
        reason=document.get("reason", ""),
        clock_ms=document.get("clockMs"),
    )


async def _post(
    http: _http.HttpClient,
    worker: WorkerAddress,
    path: str,
    body: dict[str, object],
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> _http.Reply:
    return await _http.fetch(
        http,
        url=f"http://{worker.address}{path}",
        timeout_s=timeout_s,
        body=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Expect-Instance": worker.id,
        },
        may_send=may_send,
    )
