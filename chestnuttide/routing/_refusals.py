"""Refusals of requests and their encoding for the caller."""

import json

from chestnuttide import errors
from chestnuttide import model

JSON_TYPE = "application/json"

_REMEDIES = {
    errors.Reason.DEADLINE_EXCEEDED: "Allow more time, or add targets.",
    errors.Reason.CANCELLED: "Send the request again if it is still wanted.",
    errors.Reason.DUPLICATE_ID: "Use a new id for a new request.",
    errors.Reason.NOT_OWNER: "Send the request to the shard's owner.",
    errors.Reason.LEASE_LOST: "Send the request to the shard's next owner.",
    errors.Reason.STORE_UNAVAILABLE: (
        "Send the request again when the store answers."
    ),
    errors.Reason.TARGET_FAILED: "Send the request again later.",
    errors.Reason.OUTCOME_UNKNOWN: (
        "Check with the service whether it ran before sending it under a new"
        " id."
    ),
}


def make_error(
    reason: errors.Reason,
    message: str,
    *,
    run_state: errors.RunState = errors.RunState.NOT_RUN,
    details: dict[str, object] | None = None,
) -> errors.RefusedError:
    """Return a refusal with the remedy for its reason."""
    return errors.RefusedError(
        reason=reason,
        message=message,
        remedy=_REMEDIES.get(reason, "Correct the request and send it again."),
        run_state=run_state,
        details=details,
    )


def encode_error(error: errors.RefusedError) -> bytes:
    """Return the JSON body of a refusal."""
    return json.dumps(
        {
            "error": {
                "code": error.reason.value,
                "message": error.message,
                "remedy": error.remedy,
                "run_state": error.run_state.value,
                "details": error.details,
            }
        }
    ).encode()


def make_answer(request_id: str, error: errors.RefusedError) -> model.Answer:
    """Return the answer that carries a refusal."""
    return model.Answer(
        request_id=request_id,
        status=errors.HTTP_STATUS[error.reason],
        content_type=JSON_TYPE,
        body=encode_error(error),
        reason=error.reason,
        run_state=error.run_state,
    )
