"""Parses and validates the bodies that callers and operators send.

All functions are pure. They raise `errors.RefusedError` with a remedy before
anything is sent to a scheduler.
"""

import collections.abc
import difflib
import json

import attrs

from chestnuttide import errors
from chestnuttide import model

# Ids become parts of store keys and of header lines.
MAX_ID_CHARACTERS = 128
# Maximum time until the deadline of a request; later deadlines are moved up.
MAX_TIMEOUT_S = 3600.0
# Maximum number of tasks in a job; the queue of a pool holds no more.
MAX_TASKS = 100_000
# Maximum amount of a resource; larger amounts are certainly mistakes.
MAX_AMOUNT = 10**9
MAX_RUN_S = 10.0**8


@attrs.frozen(kw_only=True, slots=True)
class PatchBody:
    """A configuration patch as sent by an operator.

    Attributes
    ----------
    base : int
        Configuration version that the patch is based on.
    patch : dict
        JSON merge patch.
    author : str
        Author of the patch.
    """

    base: int
    patch: dict[str, object]
    author: str


def parse_object(body: bytes, allowed: frozenset[str]) -> dict[str, object]:
    """Parse a body that must be a JSON object.

    Parameters
    ----------
    body : bytes
        The body.
    allowed : frozenset of str
        Names of the allowed fields.

    Raises
    ------
    errors.RefusedError
        With `MALFORMED` or `UNKNOWN_FIELD`.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _make_refusal(
            errors.Reason.MALFORMED,
            f"The body is not valid JSON: {error}.",
            "Send one JSON object.",
        ) from error
    if not isinstance(document, dict):
        raise _make_refusal(
            errors.Reason.MALFORMED,
            "The body is not a JSON object.",
            "Send one JSON object.",
        )
    for name in document:
        if name not in allowed:
            matches = difflib.get_close_matches(name, allowed, n=1)
            hint = f"Use {matches[0]}." if matches else "Leave it out."
            raise _make_refusal(
                errors.Reason.UNKNOWN_FIELD,
                f"There is no field {name[:MAX_ID_CHARACTERS]}.",
                hint,
            )
    return document


REQUEST_FIELDS = frozenset(
    (
        "id",
        "team",
        "urgent",
        "idempotent",
        "deadline_unix_ms",
        "payload",
    )
)


def parse_request(
    service: str, body: bytes, *, wall_now: float, now: float
) -> model.Request:
    """Parse a request.

    Parameters
    ----------
    service : str
        Service from the path.
    body : bytes
        The JSON body.
    wall_now : float
        Current time in seconds since the epoch, against which the deadline is
        checked.
    now : float
        Current monotonic time in seconds.

    Raises
    ------
    errors.RefusedError
        For the first error found.
    """
    document = parse_object(body, REQUEST_FIELDS)
    deadline_ms = _read_number(document, "deadline_unix_ms", 0, 10.0**14)
    timeout_s = deadline_ms / 1000 - wall_now
    if timeout_s <= 0:
        raise _make_refusal(
            errors.Reason.DEADLINE_EXCEEDED,
            "deadline_unix_ms is in the past.",
            "Give a time in the future, in ms since the epoch.",
        )
    return model.Request(
        request_id=parse_id(document.get("id"), "id"),
        service=service,
        team=parse_id(document.get("team"), "team"),
        urgent=_read_boolean(document, "urgent", False),
        idempotent=_read_boolean(document, "idempotent", False),
        deadline=now + min(timeout_s, MAX_TIMEOUT_S),
        payload=json.dumps(document.get("payload")).encode(),
    )


JOB_FIELDS = frozenset(
    (
        "id",
        "kind",
        "team",
        "workload_class",
        "tasks",
        "resources",
        "urgent",
        "declared_run_s",
        "wait_limit_s",
        "payload",
    )
)
RESOURCE_FIELDS = frozenset(("cpu_millis", "memory_mb", "accelerators"))


def parse_job(body: bytes) -> model.Job:
    """Parse a job.

    Raises
    ------
    errors.RefusedError
        For the first error found.
    """
    document = parse_object(body, JOB_FIELDS)
    kind = document.get("kind")
    if kind not in tuple(model.JobKind):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "kind is unknown.",
            f"Use one of {', '.join(model.JobKind)}.",
        )
    payload = document.get("payload", {})
    if not isinstance(payload, dict):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "payload is not a JSON object.",
            "Give the JSON object that the worker agent runs.",
        )
    return model.Job(
        job_id=parse_id(document.get("id"), "id"),
        kind=model.JobKind(kind),
        team=parse_id(document.get("team"), "team"),
        workload_class=parse_id(
            document.get("workload_class"), "workload_class"
        ),
        tasks=_read_integer(document, "tasks", 1, MAX_TASKS, default=1),
        resources=_read_resources(document.get("resources")),
        urgent=_read_boolean(document, "urgent", False),
        declared_run_s=_read_number(
            document, "declared_run_s", 0, MAX_RUN_S, default=0.0
        ),
        wait_limit_s=_read_number(
            document, "wait_limit_s", 0, MAX_RUN_S, default=0.0
        ),
        payload=json.dumps(payload).encode(),
    )


PATCH_FIELDS = frozenset(("base", "patch", "author"))


def parse_patch(body: bytes) -> PatchBody:
    """Parse a configuration patch.

    Raises
    ------
    errors.RefusedError
        For the first error found.
    """
    document = parse_object(body, PATCH_FIELDS)
    patch = document.get("patch")
    if not isinstance(patch, dict):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "patch is not a JSON object.",
            "Give a JSON merge patch (RFC 7396).",
        )
    author = document.get("author", "")
    if not isinstance(author, str) or len(author) > MAX_ID_CHARACTERS:
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "author is not a string or is too long.",
            f"Give at most {MAX_ID_CHARACTERS} characters.",
        )
    return PatchBody(
        base=_read_integer(document, "base", 0, 2**53),
        patch=patch,
        author=author,
    )


def parse_id(value: object, name: str) -> str:
    """Return an id or name after validation.

    Raises
    ------
    errors.RefusedError
        With `INVALID_VALUE`.
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= MAX_ID_CHARACTERS
        or not value.isascii()
        or not value.isprintable()
        or "/" in value
    ):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            f"{name} is missing or invalid.",
            f"Give 1 to {MAX_ID_CHARACTERS} printable ASCII characters"
            " without a slash.",
        )
    return value


def _read_resources(value: object) -> model.Resources:
    if not isinstance(value, dict) or not value:
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "resources is missing or not a JSON object.",
            "Give cpu_millis, memory_mb and accelerators.",
        )
    for name in value:
        if name not in RESOURCE_FIELDS:
            raise _make_refusal(
                errors.Reason.UNKNOWN_FIELD,
                f"There is no field resources.{name[:MAX_ID_CHARACTERS]}.",
                "Use cpu_millis, memory_mb and accelerators.",
            )
    amounts = {
        name: _read_integer(value, name, 0, MAX_AMOUNT, default=0)
        for name in sorted(RESOURCE_FIELDS)
    }
    if not any(amounts.values()):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            "resources requests nothing.",
            "Give at least one amount above 0.",
        )
    return model.Resources(**amounts)


def _read_boolean(
    document: collections.abc.Mapping[str, object], name: str, default: bool
) -> bool:
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise _make_refusal(
            errors.Reason.INVALID_VALUE,
            f"{name} is neither true nor false.",
            "Give true or false.",
        )
    return value


def _read_integer(
    document: collections.abc.Mapping[str, object],
    name: str,
    low: int,
    high: int,
    default: int | None = None,
) -> int:
    value = document.get(name, default)
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not low <= value <= high
    ):
        raise _out_of_range_refusal(name, low, high)
    return value


def _read_number(
    document: collections.abc.Mapping[str, object],
    name: str,
    low: float,
    high: float,
    default: float | None = None,
) -> float:
    value = document.get(name, default)
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not low <= value <= high
    ):
        raise _out_of_range_refusal(name, low, high)
    return float(value)


def _out_of_range_refusal(
    name: str, low: float, high: float
) -> errors.RefusedError:
    return _make_refusal(
        errors.Reason.INVALID_VALUE,
        f"{name} is missing or out of range.",
        f"Give a number from {low:g} to {high:g}.",
    )


def _make_refusal(
    reason: errors.Reason, message: str, remedy: str
) -> errors.RefusedError:
    return errors.RefusedError(reason=reason, message=message, remedy=remedy)
