import json

import pytest

from chestnuttide.entry import _parsing
from chestnuttide import errors

_WALL_TIME_S = 1_000_000.0
_REQUEST = {
    "id": "order-1",
    "team": "makers",
    "urgent": True,
    "idempotent": True,
    "deadline_unix_ms": (_WALL_TIME_S + 5) * 1000,
    "payload": {"latitude": -32},
}
_JOB = {
    "id": "job-1",
    "kind": "batch",
    "team": "makers",
    "workload_class": "preview",
    "tasks": 3,
    "resources": {"cpu_millis": 100, "memory_mb": 10},
    "payload": {"run_s": 1},
}


def _make_body(document: dict, /, **changes: object) -> bytes:
    return json.dumps({**document, **changes}).encode()


def test_request_is_parsed_completely() -> None:
    """Guards against lost or altered fields of a request."""
    request = _parsing.parse_request(
        "layout", _make_body(_REQUEST), wall_now=_WALL_TIME_S, now=50.0
    )
    assert request.deadline == pytest.approx(55.0)
    assert request.urgent and request.idempotent
    assert json.loads(request.payload) == {"latitude": -32}


def test_request_is_not_idempotent_by_default() -> None:
    """Guards against repeated runs of a request not marked idempotent."""
    body = {k: v for k, v in _REQUEST.items() if k != "idempotent"}
    request = _parsing.parse_request(
        "layout", _make_body(body), wall_now=_WALL_TIME_S, now=50.0
    )
    assert not request.idempotent


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        pytest.param(
            b"{", errors.Reason.MALFORMED, id="invalid_json_accepted"
        ),
        pytest.param(
            b"[1]", errors.Reason.MALFORMED, id="non_object_accepted"
        ),
        pytest.param(
            b"[" * 100_000,
            errors.Reason.MALFORMED,
            id="deep_nesting_crashes_parser",
        ),
        pytest.param(
            b"\xff\xfe", errors.Reason.MALFORMED, id="invalid_utf8_accepted"
        ),
        pytest.param(
            _make_body(_REQUEST, urgnt=True),
            errors.Reason.UNKNOWN_FIELD,
            id="unknown_field_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, deadline_unix_ms=1000),
            errors.Reason.DEADLINE_EXCEEDED,
            id="past_deadline_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, deadline_unix_ms="soon"),
            errors.Reason.INVALID_VALUE,
            id="text_as_deadline_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, deadline_unix_ms=True),
            errors.Reason.INVALID_VALUE,
            id="boolean_as_deadline_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, deadline_unix_ms=float("nan")),
            errors.Reason.INVALID_VALUE,
            id="nan_passes_deadline_range",
        ),
        pytest.param(
            _make_body(_REQUEST, id=""),
            errors.Reason.INVALID_VALUE,
            id="empty_id_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, id="a/b"),
            errors.Reason.INVALID_VALUE,
            id="slash_in_id_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, id="a\nb"),
            errors.Reason.INVALID_VALUE,
            id="line_break_in_id_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, id="x" * 129),
            errors.Reason.INVALID_VALUE,
            id="long_id_accepted",
        ),
        pytest.param(
            _make_body(_REQUEST, urgent=1),
            errors.Reason.INVALID_VALUE,
            id="number_as_boolean_accepted",
        ),
    ],
)
def test_invalid_request_is_refused(
    body: bytes, reason: errors.Reason
) -> None:
    """Guards against invalid requests that reach a scheduler."""
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_request("layout", body, wall_now=_WALL_TIME_S, now=50.0)
    assert caught.value.reason is reason
    assert caught.value.run_state is errors.RunState.NOT_RUN
    assert caught.value.remedy


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        pytest.param(
            {"kind": "cron"},
            errors.Reason.INVALID_VALUE,
            id="unknown_kind_accepted",
        ),
        pytest.param(
            {"kind": ["batch"]},
            errors.Reason.INVALID_VALUE,
            id="list_as_kind_accepted",
        ),
        pytest.param(
            {"tasks": 0},
            errors.Reason.INVALID_VALUE,
            id="job_without_tasks_accepted",
        ),
        pytest.param(
            {"tasks": 10**9},
            errors.Reason.INVALID_VALUE,
            id="too_many_tasks_accepted",
        ),
        pytest.param(
            {"resources": {"cpu_millis": -1}},
            errors.Reason.INVALID_VALUE,
            id="negative_resources_accepted",
        ),
        pytest.param(
            {"resources": {"cpu_millis": 0}},
            errors.Reason.INVALID_VALUE,
            id="zero_resources_accepted",
        ),
        pytest.param(
            {"resources": {"gpus": 1}},
            errors.Reason.UNKNOWN_FIELD,
            id="unknown_resource_accepted",
        ),
        pytest.param(
            {"resources": 4},
            errors.Reason.INVALID_VALUE,
            id="number_as_resources_accepted",
        ),
        pytest.param(
            {"declared_run_s": -1},
            errors.Reason.INVALID_VALUE,
            id="negative_run_time_accepted",
        ),
        pytest.param(
            {"payload": "run"},
            errors.Reason.INVALID_VALUE,
            id="text_as_payload_accepted",
        ),
    ],
)
def test_invalid_job_is_refused(changes: dict, reason: errors.Reason) -> None:
    """Guards against invalid jobs that reach a scheduler."""
    assert _parsing.parse_job(_make_body(_JOB)).tasks == 3
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_job(_make_body(_JOB, **changes))
    assert caught.value.reason is reason


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"base": -1}, id="negative_base_accepted"),
        pytest.param({"base": "1"}, id="text_as_base_accepted"),
        pytest.param({"patch": []}, id="list_as_patch_accepted"),
        pytest.param({"author": 3}, id="number_as_author_accepted"),
    ],
)
def test_invalid_patch_is_refused(changes: dict) -> None:
    """Guards against invalid patches that reach a scheduler."""
    valid = {"base": 1, "patch": {}, "author": "me"}
    assert _parsing.parse_patch(_make_body(valid)).base == 1
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_patch(_make_body(valid, **changes))
    assert caught.value.reason is errors.Reason.INVALID_VALUE
