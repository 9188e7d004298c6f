"""Requests of callers and the answers to them."""

import attrs

from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class Request:
    """A caller's request to a service.

    Attributes
    ----------
    request_id : str
        The caller's id; the key of at-most-once execution.
    service : str
        Service that answers it.
    team : str
        Team that is charged for it.
    urgent : bool
        Whether it goes before work that is not urgent.
    idempotent : bool
        Whether it may run more than once.
    deadline : float
        Monotonic time, in seconds, after which no answer is of use.
    payload : bytes
        JSON body for the target.
    """

    request_id: str
    service: str
    team: str
    urgent: bool
    idempotent: bool
    deadline: float
    payload: bytes


@attrs.frozen(kw_only=True, slots=True)
class Answer:
    """A target's whole answer, or a refusal.

    Attributes
    ----------
    request_id : str
        Id of the request that is answered.
    status : int
        HTTP status for the caller.
    content_type : str
        Media type of `body`.
    body : bytes
        Body of the target's answer, or the encoded refusal.
    reason : Reason or None
        Reason of a refusal; None for a target's answer.
    run_state : RunState
        What is known about whether the request ran.
    target : str
        Instance id of the target that answered; empty for a refusal.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    reason: errors.Reason | None = None
    run_state: errors.RunState = errors.RunState.RAN
    target: str = ""
