"""Replies of workers that do not have the specified form."""

import asyncio
import json

import pytest

from chestnuttide import errors
from chestnuttide import platform
from chestnuttide.platform import _http

WORKER = platform.WorkerAddress(id="w", address="127.0.0.1:1")


def _answer_with(
    monkeypatch: pytest.MonkeyPatch, status: int, body: bytes
) -> None:
    async def fetch(client: object, **request: object) -> _http.Reply:
        return _http.Reply(status=status, headers={}, body=body)

    monkeypatch.setattr(_http, "fetch", fetch)


def _poll() -> platform.PollReply:
    return asyncio.run(
        platform.poll_worker(
            None,
            WORKER,
            fencing_token=1,
            acknowledged_completion=0,
            deadline_ms=None,
            wait_s=0.0,
            timeout_s=1.0,
            may_send=lambda: True,
        )
    )


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b'{"clockMs":5,"running":[],"ended":[]}', id="no-born"),
        pytest.param(b"[]", id="a-list"),
        pytest.param(b"{", id="not-json"),
        pytest.param(
            b'{"clockMs":5,"born":1,"running":[1],"ended":[]}', id="odd-row"
        ),
        pytest.param(b"[" * 5000, id="too-deep"),
        pytest.param(
            b'{"clockMs":1e999,"born":1,"running":[],"ended":[]}',
            id="infinite-clock",
        ),
        *(
            pytest.param(
                b'{"clockMs":5,"born":1,"running":[' + row + b'],"ended":[]}',
                id=name,
            )
            for name, row in (
                ("task-as-list", b'[["t"],1,"",41]'),
                ("run-as-text", b'["t","1","",41]'),
                ("percent-as-text", b'["t",1,"","41"]'),
                ("nan-percent", b'["t",1,"",NaN]'),
                ("latency-as-object", b'["t",1,"",41,{}]'),
            )
        ),
        *(
            pytest.param(
                b'{"clockMs":5,"born":1,"running":[],"ended":[' + row + b"]}",
                id=name,
            )
            for name, row in (
                ("number-as-text", b'["1","t",1,"done",""]'),
                ("infinite-number", b'[1e999,"t",1,"done",""]'),
                ("result-as-list", b'[1,"t",1,["done"],""]'),
                ("short-row", b'[1,"t"]'),
            )
        ),
    ],
)
def test_a_malformed_poll_reply_is_no_answer(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """Guards against runs of a live worker that are started elsewhere.

    A reply without the worker's start time counted as one of another
    incarnation, and all runs of the worker as lost. A percentage of another
    type ended the supervision of all runs.
    """
    _answer_with(monkeypatch, 200, body)
    with pytest.raises(errors.PlatformError):
        _poll()


@pytest.mark.parametrize(
    ("count", "more"),
    [
        pytest.param(0, False, id="none"),
        pytest.param(499, False, id="room-for-one"),
        pytest.param(500, True, id="full"),
    ],
)
def test_a_full_list_of_completions_may_go_on(
    monkeypatch: pytest.MonkeyPatch, count: int, more: bool
) -> None:
    """Guards against a part of a worker's completions taken for all."""
    ended = [[number + 1, "t", 1, "done", ""] for number in range(count)]
    document = {"clockMs": 5, "born": 1, "running": [], "ended": ended}
    _answer_with(monkeypatch, 200, json.dumps(document).encode())
    reply = _poll()
    assert (len(reply.ended), reply.more_ended) == (count, more)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[]", id="a-list"),
        pytest.param(b"7", id="a-number"),
        pytest.param(b"\xff", id="not-json"),
        pytest.param(b"", id="empty"),
        pytest.param(b"[" * 5000, id="too-deep"),
        pytest.param(b'{"clockMs":"soon"}', id="clock-as-text"),
        pytest.param(b'{"clockMs":1e999}', id="infinite-clock"),
        pytest.param(b'{"reason":["fence"]}', id="reason-as-list"),
    ],
)
def test_the_status_of_a_command_counts_without_a_readable_body(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """Guards against a run that stays unanswered after an odd reply."""
    _answer_with(monkeypatch, 200, body)
    reply = asyncio.run(
        platform.stop_run(
            None,
            WORKER,
            task="t",
            run=1,
            fencing_token=1,
            timeout_s=1.0,
            may_send=lambda: True,
        )
    )
    assert reply == platform.CommandReply(status=200)
