import json

import pytest

from chestnuttide.entry import _parsing
from chestnuttide import errors

_WALL = 1_000_000.0
_REQUEST = {
    "id": "order-1",
    "team": "makers",
    "urgent": True,
    "idempotent": True,
    "deadline_unix_ms": (_WALL + 5) * 1000,
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


def _body(document: dict, /, **changes: object) -> bytes:
    return json.dumps({**document, **changes}).encode()


def test_request_is_read_whole() -> None:
    request = _parsing.parse_request(
        "layout", _body(_REQUEST), wall_now=_WALL, now=50.0
    )
    assert request.deadline == pytest.approx(55.0)
    assert request.urgent and request.idempotent
    assert json.loads(request.payload) == {"latitude": -32}


def test_missing_idempotent_means_at_most_once() -> None:
    body = {k: v for k, v in _REQUEST.items() if k != "idempotent"}
    request = _parsing.parse_request(
        "layout", _body(body), wall_now=_WALL, now=50.0
    )
    assert not request.idempotent


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        pytest.param(b"{", errors.Reason.MALFORMED, id="no_json"),
        pytest.param(b"[1]", errors.Reason.MALFORMED, id="no_object"),
        pytest.param(
            b"[" * 100_000, errors.Reason.MALFORMED, id="deep_nesting"
        ),
        pytest.param(b"\xff\xfe", errors.Reason.MALFORMED, id="no_utf8"),
        pytest.param(
            _body(_REQUEST, urgnt=True),
            errors.Reason.UNKNOWN_FIELD,
            id="unknown_field",
        ),
        pytest.param(
            _body(_REQUEST, deadline_unix_ms=1000),
            errors.Reason.DEADLINE_EXCEEDED,
            id="past_deadline",
        ),
        pytest.param(
            _body(_REQUEST, deadline_unix_ms="soon"),
            errors.Reason.INVALID_VALUE,
            id="deadline_is_text",
        ),
        pytest.param(
            _body(_REQUEST, deadline_unix_ms=True),
            errors.Reason.INVALID_VALUE,
            id="deadline_is_true",
        ),
        pytest.param(
            _body(_REQUEST, deadline_unix_ms=float("nan")),
            errors.Reason.INVALID_VALUE,
            id="deadline_is_nan",
        ),
        pytest.param(
            _body(_REQUEST, id=""), errors.Reason.INVALID_VALUE, id="no_id"
        ),
        pytest.param(
            _body(_REQUEST, id="a/b"),
            errors.Reason.INVALID_VALUE,
            id="slash_in_id",
        ),
        pytest.param(
            _body(_REQUEST, id="a\nb"),
            errors.Reason.INVALID_VALUE,
            id="line_break_in_id",
        ),
        pytest.param(
            _body(_REQUEST, id="x" * 129),
            errors.Reason.INVALID_VALUE,
            id="long_id",
        ),
        pytest.param(
            _body(_REQUEST, urgent=1),
            errors.Reason.INVALID_VALUE,
            id="flag_is_number",
        ),
    ],
)
def test_bad_request(body: bytes, reason: errors.Reason) -> None:
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_request("layout", body, wall_now=_WALL, now=50.0)
    assert caught.value.reason is reason
    assert caught.value.run_state is errors.RunState.NOT_RUN
    assert caught.value.remedy


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        pytest.param(
            {"kind": "cron"}, errors.Reason.INVALID_VALUE, id="unknown_kind"
        ),
        pytest.param(
            {"kind": ["batch"]}, errors.Reason.INVALID_VALUE, id="kind_list"
        ),
        pytest.param({"tasks": 0}, errors.Reason.INVALID_VALUE, id="no_tasks"),
        pytest.param(
            {"tasks": 10**9}, errors.Reason.INVALID_VALUE, id="many_tasks"
        ),
        pytest.param(
            {"resources": {"cpu_millis": -1}},
            errors.Reason.INVALID_VALUE,
            id="negative_size",
        ),
        pytest.param(
            {"resources": {"cpu_millis": 0}},
            errors.Reason.INVALID_VALUE,
            id="no_size",
        ),
        pytest.param(
            {"resources": {"gpus": 1}},
            errors.Reason.UNKNOWN_FIELD,
            id="unknown_dimension",
        ),
        pytest.param(
            {"resources": 4}, errors.Reason.INVALID_VALUE, id="size_is_number"
        ),
        pytest.param(
            {"declared_run_s": -1},
            errors.Reason.INVALID_VALUE,
            id="negative_run_time",
        ),
        pytest.param(
            {"payload": "run"}, errors.Reason.INVALID_VALUE, id="payload_text"
        ),
    ],
)
def test_bad_job(changes: dict, reason: errors.Reason) -> None:
    assert _parsing.parse_job(_body(_JOB)).tasks == 3
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_job(_body(_JOB, **changes))
    assert caught.value.reason is reason


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"base": -1}, id="negative_base"),
        pytest.param({"base": "1"}, id="base_is_text"),
        pytest.param({"patch": []}, id="patch_is_list"),
        pytest.param({"author": 3}, id="author_is_number"),
    ],
)
def test_bad_patch(changes: dict) -> None:
    good = {"base": 1, "patch": {}, "author": "me"}
    assert _parsing.parse_patch(_body(good)).base == 1
    with pytest.raises(errors.RefusedError) as caught:
        _parsing.parse_patch(_body(good, **changes))
    assert caught.value.reason is errors.Reason.INVALID_VALUE
