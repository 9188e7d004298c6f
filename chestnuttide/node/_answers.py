"""Answers to callers, and what their handlers need."""

import asyncio
import math

import attrs

from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _session

RETRY_AFTER_S = 1


@attrs.define(kw_only=True, slots=True, eq=False)
class Front:
    """What the callers' handlers need.

    Attributes
    ----------
    session : Session
        The instance's view of the cell.
    owned : dict of str to Ownership
        Services that this instance owns.
    metrics : NodeMetrics
        Counters.
    pending : dict of (str, str) to (float, int)
        Time and value of the last known queue lengths.
    in_flight : int
        Requests that are not answered yet.
    stopping : bool
        Whether answers close their connections.
    answer_by : float
        Monotonic time by which a stopping instance has to have answered.
    tasks : set of Task
        Requests under way.
    """

    session: _session.Session
    owned: dict[str, _ownership.Ownership]
    metrics: _metrics.NodeMetrics
    pending: dict[tuple[str, str], tuple[float, int]] = attrs.field(
        factory=dict
    )
    in_flight: int = 0
    stopping: bool = False
    answer_by: float = math.inf
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


@attrs.frozen(kw_only=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict of str to object
        JSON body.
    call : str
        Kind of the call, for logs and metrics.
    reason : str
        Why a call was refused; empty for others.
    job : str
        Id of the job; empty if there is none.
    retry_after_s : int
        When to come back; 0 if that is pointless.
    inputs : dict of str to object
        What decided, for the log.
    """

    status: int
    body: dict[str, object]
    call: str
    reason: str = ""
    job: str = ""
    retry_after_s: int = 0
    inputs: dict[str, object] = attrs.field(factory=dict)


def refuse(
    call: str,
    status: int,
    reason: str,
    message: str,
    *,
    job: str = "",
    retry_after_s: int = 0,
) -> Answer:
    return Answer(
        status=status,
        body={"error": reason, "message": message},
        call=call,
        reason=reason,
        job=job,
        retry_after_s=retry_after_s,
    )


def unknown_job(call: str, job_id: str) -> Answer:
    return refuse(
        call,
        410,
        "unknown_job",
        "No such job exists. Check its id.",
        job=job_id,
    )
