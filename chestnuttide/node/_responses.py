"""Responses to callers, and the context of the request handlers."""

import asyncio
import math

import attrs

from chestnuttide.node import _access
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _session

RETRY_AFTER_S = 1


@attrs.define(kw_only=True, slots=True, eq=False)
class ApiContext:
    """State that the handlers of callers' requests share.

    Attributes
    ----------
    session : Session
        The instance's view of the cell.
    owned : dict of str to Ownership
        Services that this instance owns.
    metrics : NodeMetrics
        Counters and histograms.
    pending : dict of (str, str) to (float, int)
        Time and value of the last known length of each queue, by service
        and queue.
    in_flight : int
        Number of requests without a response.
    stopping : bool
        Whether responses close their connections.
    response_deadline : float
        Monotonic time by which a stopping instance has to respond.
    tasks : set of Task
        Requests in progress.
    """

    session: _session.Session
    owned: dict[str, _ownership.Ownership]
    metrics: _metrics.NodeMetrics
    pending: dict[tuple[str, str], tuple[float, int]] = attrs.field(
        factory=dict
    )
    in_flight: int = 0
    stopping: bool = False
    response_deadline: float = math.inf
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


@attrs.frozen(kw_only=True, slots=True)
class Response:
    """A response to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict of str to object
        JSON body.
    call : str
        Kind of call, for logs and metrics.
    reason : str
        Reason for a refusal; empty otherwise.
    job : str
        Id of the job; empty if there is none.
    retry_after_s : int
        Delay before a retry, in seconds; 0 if a retry is pointless.
    inputs : dict of str to object
        Inputs of the decision, for the log.
    """

    status: int
    body: dict[str, object]
    call: str
    reason: str = ""
    job: str = ""
    retry_after_s: int = 0
    inputs: dict[str, object] = attrs.field(factory=dict)


def make_refusal(
    call: str,
    status: int,
    reason: str,
    message: str,
    *,
    job: str = "",
    retry_after_s: int = 0,
) -> Response:
    return Response(
        status=status,
        body={"error": reason, "message": message},
        call=call,
        reason=reason,
        job=job,
        retry_after_s=retry_after_s,
    )


def refuse_access(call: str, reason: str, *, job: str = "") -> Response:
    """Return the refusal of a call for its key, or for its job's workspace."""
    status, message = _access.REFUSALS[reason]
    return make_refusal(
        call,
        status,
        reason,
        message,
        job=job,
        retry_after_s=RETRY_AFTER_S if status == 503 else 0,
    )


def unknown_job(call: str, job_id: str) -> Response:
    return make_refusal(
        call,
        410,
        "unknown_job",
        "No such job exists. Check its id.",
        job=job_id,
    )
