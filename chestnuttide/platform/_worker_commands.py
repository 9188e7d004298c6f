"""Calls to workers: poll them, and start, stop and throttle runs."""

import collections.abc
import functools
import json
import typing

import attrs

from chestnuttide import errors
from chestnuttide.platform import _documents
from chestnuttide.platform import _http

# A worker lists at most this many completions in one reply, oldest first.
MAX_LISTED_COMPLETIONS: typing.Final = 500


@attrs.frozen(kw_only=True, slots=True)
class RunReport:
    """An active run, as its worker reports it.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    percent : float
        Progress in percent; a long-running task reports 100 once it serves
        requests.
    latency_ms_or_cpu : float
        Over the last half second: tail latency in ms if the task serves
        requests, else its CPU usage.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    latency_ms_or_cpu: float


@attrs.frozen(kw_only=True, slots=True)
class Completion:
    """A completed run, as its worker reports it.

    Attributes
    ----------
    number : int
        Completion number, counted from 1 in each incarnation of the worker.
    task : str
        Name of the task.
    run : int
        Number of the run.
    result : str
        Result of the run: ``done``, ``failed``, ``stopped``, ``lapsed``,
        ``broken`` or ``alone``.
    checkpoint : str
        Last checkpoint; empty if there is none.
    """

    number: int
    task: str
    run: int
    result: str
    checkpoint: str


@attrs.frozen(kw_only=True, slots=True)
class PollReply:
    """A worker's reply to a poll.

    Attributes
    ----------
    clock_ms : int
        Monotonic clock of the worker.
    born_ms : int
        Start time of the worker's incarnation.
    running : tuple of RunReport
        All runs that are running.
    ended : tuple of Completion
        Completions that have not been acknowledged yet, oldest first.
    more_ended : bool
        Whether there may be further completions, which are listed once these
        are acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[Completion, ...]
    more_ended: bool = False


@attrs.frozen(kw_only=True, slots=True)
class CommandReply:
    """A worker's reply to a start, stop or throttle command.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Why the command was rejected; set with status 409.
    clock_ms : int or None
        Monotonic clock of the worker, if the reply contains it.
    """

    status: int
    reason: str = ""
    clock_ms: int | None = None


@attrs.frozen(kw_only=True, slots=True)
class WorkerAddress:
    """Address of one incarnation of a worker.

    Attributes
    ----------
    id : str
        Expected worker id, sent in the ``Expect-Instance`` header.
    address : str
        ``ip:port``.
    """

    id: str
    address: str


async def poll_worker(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    fencing_token: int,
    acknowledged_completion: int,
    deadline_ms: int | None,
    wait_s: float,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> PollReply | CommandReply:
    """Renew the lease of a worker's runs and return their state.

    Parameters
    ----------
    http : HttpClient
        Client that sends the request.
    worker : WorkerAddress
        The worker.
    fencing_token : int
        Fencing token of the owner.
    acknowledged_completion : int
        Acknowledges all completions up to this number, which must be stored;
        the worker then forgets them.
    deadline_ms : int or None
        New expiry of the lease on the worker's clock; None leaves it.
    wait_s : float
        How long the worker waits for a completion before it replies, at most
        2 s.
    timeout_s : float
        Timeout of the call, in addition to `wait_s`.
    may_send : function
        Called right before the request is sent; it is not sent if the result
        is False.

    Returns
    -------
    PollReply or CommandReply
        A `CommandReply` if the worker rejected the call.

    Raises
    ------
    errors.PlatformError
        If no complete reply arrived.
    """
    # "seenUpto" acknowledges completions permanently: they are not returned
    # again, so it cannot be used as a read position.
    body: dict[str, object] = {
        "fence": fencing_token,
        "seenUpto": acknowledged_completion,
    }
    if deadline_ms is not None:
        body["deadlineMs"] = deadline_ms
    if wait_s > 0:
        body["waitMs"] = int(wait_s * 1000)
    reply = await _post(
        http, worker, "/v1/hold", body, timeout_s + wait_s, may_send
    )
    if reply.status != 200:
        return _decode_command_reply(reply)
    with errors.decoding(
        f"The poll reply of worker {worker.id}",
        "Compare the reply with the worker's specification.",
        functools.partial(errors.PlatformError, sent=True),
    ):
        document = _documents.parse_object(reply.body)
        ended = tuple(
            _decode_completion(row)
            for row in _documents.read_list(document, "ended")
        )
        return PollReply(
            clock_ms=_read_milliseconds(document, "clockMs"),
            # Without it, a live worker would seem to have restarted.
            born_ms=_read_milliseconds(document, "born"),
            running=tuple(
                _decode_run(row)
                for row in _documents.read_list(document, "running")
            ),
            ended=ended,
            more_ended=len(ended) >= MAX_LISTED_COMPLETIONS,
        )


async def start_run(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    payload: str,
    deadline_ms: int,
    fencing_token: int,
    checkpoint: str,
    ticket: str,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> CommandReply:
    """Start a run; parameters and errors are those of `poll_worker`."""
    body: dict[str, object] = {
        "task": task,
        "run": run,
        "spec": payload,
        "deadlineMs": deadline_ms,
        "fence": fencing_token,
    }
    if checkpoint:
        body["checkpointed"] = checkpoint
    if ticket:
        body["ticket"] = ticket
    return _decode_command_reply(
        await _post(http, worker, "/v1/run-start", body, timeout_s, may_send)
    )


async def stop_run(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    fencing_token: int,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> CommandReply:
    """Stop a run, or prevent it from starting later; see `poll_worker`."""
    body = {"task": task, "run": run, "fence": fencing_token}
    return _decode_command_reply(
        await _post(http, worker, "/v1/run-stop", body, timeout_s, may_send)
    )


async def throttle_run(
    http: _http.HttpClient,
    worker: WorkerAddress,
    *,
    task: str,
    run: int,
    percent: int,
    fencing_token: int,
    timeout_s: float,
    may_send: collections.abc.Callable[[], bool],
) -> CommandReply:
    """Limit a run to a percentage of its speed; see `poll_worker`."""
    body = {
        "task": task,
        "run": run,
        "percent": percent,
        "fence": fencing_token,
    }
    return _decode_command_reply(
        await _post(http, worker, "/v1/pace", body, timeout_s, may_send)
    )


def _read_milliseconds(document: _documents.Document, name: str) -> int:
    return _documents.read_integer(
        document, name, low=0, high=_documents.MAX_MILLISECONDS
    )


# Types of the entries of a row, which may lack the last one. Comparing all of
# them at once takes a third of the time of a check for each.
_RUN_ROW_TYPES: typing.Final = frozenset(
    (str, int, str, percent_type, *rest)
    for percent_type in (int, float)
    for rest in ((), (int,), (float,))
)
_COMPLETION_ROW_TYPES: typing.Final = frozenset(
    (int, str, int, str, *rest) for rest in ((), (str,))
)


def _check_row(
    row: list[object], allowed: frozenset[tuple[type, ...]]
) -> None:
    if tuple(map(type, row)) not in allowed:
        raise TypeError("a row does not have the specified types")
    for value in row:
        if type(value) is str:
            if len(value) > _documents.MAX_TEXT or not value.isascii():
                raise ValueError("a text of a row is too long or not ASCII")
        elif not abs(value) <= _documents.MAX_COUNTER:
            raise ValueError("a number of a row is out of range")


def _decode_run(row: list[object]) -> RunReport:
    _check_row(row, _RUN_ROW_TYPES)
    return RunReport(
        task=row[0],
        run=row[1],
        checkpoint=row[2],
        percent=row[3],
        latency_ms_or_cpu=row[4] if len(row) > 4 else 0,
    )


def _decode_completion(row: list[object]) -> Completion:
    _check_row(row, _COMPLETION_ROW_TYPES)
    return Completion(
        number=row[0],
        task=row[1],
        run=row[2],
        result=row[3],
        checkpoint=row[4] if len(row) > 4 else "",
    )


def _decode_command_reply(reply: _http.Reply) -> CommandReply:
    # The status decides; a body that cannot be read is left out.
    try:
        with errors.decoding("The reply to a command", "Use its status."):
            document = _documents.parse_object(reply.body or b"{}")
            reason = _documents.read_text(document, "reason", default="")
            clock_ms = None
            if document.get("clockMs") is not None:
                clock_ms = _read_milliseconds(document, "clockMs")
    except errors.ProtocolError:
        return CommandReply(status=reply.status)
    return CommandReply(status=reply.status, reason=reason, clock_ms=clock_ms)


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
