"""Requests of callers and the responses to them."""

import attrs

from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class Request:
    """A caller's request to a service.

    Attributes
    ----------
    request_id : str
        Id that the caller chose; the key for at-most-once execution.
    service : str
        Service that handles it.
    team : str
        Team that it is charged to.
    urgent : bool
        Whether it takes precedence over work that is not urgent.
    idempotent : bool
        Whether it may run more than once.
    deadline : float
        Monotonic time in seconds after which a response is useless.
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
    """A target's complete response, or a refusal.

    Attributes
    ----------
    request_id : str
        Id of the request that it answers.
    status : int
        HTTP status for the caller.
    content_type : str
        Media type of `body`.
    body : bytes
        Body of the target's response, or the encoded refusal.
    reason : Reason or None
        Reason for a refusal; None for a target's response.
    run_state : RunState
        Whether the request ran, as far as is known.
    target : str
        Instance id of the target that responded; empty for a refusal.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    reason: errors.Reason | None = None
    run_state: errors.RunState = errors.RunState.RAN
    target: str = ""
