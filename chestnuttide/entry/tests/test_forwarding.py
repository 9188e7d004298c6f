import asyncio
import json
import time

import pytest

from chestnuttide.entry import _daemon
from chestnuttide.entry import _forwarding
from chestnuttide.entry import _owners
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import routing
from chestnuttide import settings

_SETTINGS = settings.parse(
    json.dumps(
        {
            "instance_id": "e",
            "data_centre": "d",
            "advertise_ip": "127.0.0.1",
            "platform": {
                "store_address": "127.0.0.1:1",
                "instance_list_address": "127.0.0.1:2",
            },
        }
    ),
    "test",
)


class _Owner:
    """A connection to an owner that acts as scripted, call by call."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.calls: list[mesh.RequestCall] = []
        self.peer = mesh.Hello(
            sender="o", kind="scheduler", incarnation="1", data_centre="d"
        )


def _reply(call: mesh.RequestCall, reason: errors.Reason | None) -> object:
    if reason is None:
        return mesh.RequestReply(
            call_id=call.call_id,
            request_id=call.request_id,
            status=200,
            content_type="x",
            body=b"done",
            reason="",
            run_state="ran",
            target="t",
        )
    error = routing.make_error(reason, "refused")
    return mesh.RequestReply(
        call_id=call.call_id,
        request_id=call.request_id,
        status=errors.HTTP_STATUS[reason],
        content_type="x",
        body=routing.encode_error(error),
        reason=reason.value,
        run_state=error.run_state.value,
        target="",
    )


def _act(state: object, owner: _Owner, call: mesh.RequestCall) -> None:
    owner.calls.append(call)
    step = owner.script.pop(0)
    match step:
        case "answer":
            mesh.resolve(state.calls, owner, _reply(call, None))
        case "cut":
            mesh.fail_connection(state.calls, owner)
        case "silent":
            pass
        case _:
            reply = _reply(call, errors.Reason(step))
            mesh.resolve(state.calls, owner, reply)


@pytest.mark.parametrize(
    ("idempotent", "script", "status", "run_state", "resends"),
    [
        pytest.param(True, ["answer"], 200, "ran", [False], id="no_answer"),
        pytest.param(
            True,
            ["not_owner", "answer"],
            200,
            "ran",
            [False, False],
            id="refusal_by_former_owner_reaches_caller",
        ),
        pytest.param(
            True,
            ["cut", "answer"],
            200,
            "ran",
            [False, True],
            id="cut_connection_loses_request",
        ),
        pytest.param(
            True,
            ["cut", "queue_full"],
            503,
            "unknown",
            [False, True],
            id="not_run_claimed_after_a_cut",
        ),
        pytest.param(
            False,
            ["cut", "queue_full"],
            503,
            "not_run",
            [False, True],
            id="ledger_knows_that_it_did_not_run",
        ),
        pytest.param(
            True, ["silent"], 504, "unknown", [False], id="silent_owner_hangs"
        ),
    ],
)
def test_forwarding(
    monkeypatch: pytest.MonkeyPatch,
    idempotent: bool,
    script: list[str],
    status: int,
    run_state: str,
    resends: list[bool],
) -> None:
    monkeypatch.setattr(_forwarding, "OWNER_PAUSE_S", 0.01)
    monkeypatch.setattr(_forwarding, "REPLY_MARGIN_S", 0.05)
    owner = _Owner(list(script))

    async def scenario() -> mesh.RequestReply:
        state = _daemon.make_state(_SETTINGS)
        shards = mesh.OwnedShards(shards=(("s", 1),), draining=False)
        _owners.take_owned(state.owners, owner, shards)
        loop = asyncio.get_running_loop()

        def send(connection: object, message: object) -> None:
            loop.call_soon(_act, state, connection, message)

        monkeypatch.setattr(mesh, "send", send)
        request = model.Request(
            request_id="r",
            service="layout",
            team="a",
            urgent=False,
            idempotent=idempotent,
            deadline=time.monotonic() + 0.3,
            payload=b"{}",
        )
        return await _forwarding.forward_request(state, request, "s")

    reply = asyncio.run(scenario())
    assert reply.status == status
    assert reply.run_state == run_state
    assert [call.resend for call in owner.calls] == resends


@pytest.mark.parametrize(
    ("idempotent", "run_state"),
    [
        pytest.param(True, "not_run", id="unsent_request_called_unknown"),
        pytest.param(
            False, "unknown", id="id_that_may_have_run_before_called_not_run"
        ),
    ],
)
def test_request_without_owner_is_refused_at_its_deadline(
    idempotent: bool, run_state: str
) -> None:
    async def scenario() -> mesh.RequestReply:
        state = _daemon.make_state(_SETTINGS)
        request = model.Request(
            request_id="r",
            service="layout",
            team="a",
            urgent=False,
            idempotent=idempotent,
            deadline=time.monotonic() + 0.1,
            payload=b"{}",
        )
        return await _forwarding.forward_request(state, request, "s")

    reply = asyncio.run(scenario())
    assert reply.reason == errors.Reason.DEADLINE_EXCEEDED.value
    assert reply.run_state == run_state


def _state_reply(state: str) -> mesh.Reply:
    body = json.dumps({"id": "r", "state": state, "status": 0}).encode()
    return mesh.Reply(call_id=1, status=200, reason="", body=body)


_NOT_OWNER = mesh.Reply(call_id=1, status=503, reason="not_owner", body=b"{}")
_ANSWER = mesh.RequestReply(
    call_id=1,
    request_id="r",
    status=200,
    content_type="x",
    body=b"done",
    reason="",
    run_state="ran",
    target="t",
)


@pytest.mark.parametrize(
    ("owner", "others", "expected"),
    [
        pytest.param(_ANSWER, [], _ANSWER, id="owners_answer_is_lost"),
        pytest.param(
            _state_reply("outcome_unknown"),
            [_NOT_OWNER, _ANSWER],
            _ANSWER,
            id="former_owners_answer_is_lost",
        ),
        pytest.param(
            _state_reply("outcome_unknown"),
            [None, _state_reply("sent")],
            _state_reply("sent"),
            id="unknown_though_it_is_still_running",
        ),
        pytest.param(
            _state_reply("answered"),
            [_NOT_OWNER, None],
            _state_reply("answered"),
            id="state_lost_without_former_owner",
        ),
        pytest.param(
            _state_reply("sent"),
            [_ANSWER],
            _state_reply("sent"),
            id="former_owner_asked_while_the_owner_waits",
        ),
    ],
)
def test_answer_is_read_from_a_former_owner(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    others: list[object],
    expected: object,
) -> None:
    """Guards a caller whose entry and whose shard's owner both changed."""

    async def call_shard(*arguments: object) -> object:
        return owner

    async def try_call(state: object, peer: object, *rest: object) -> object:
        return peer

    monkeypatch.setattr(_forwarding, "call_shard", call_shard)
    monkeypatch.setattr(_forwarding, "try_call", try_call)
    monkeypatch.setattr(mesh, "schedulers", lambda network: others)

    async def scenario() -> object:
        state = _daemon.make_state(_SETTINGS)
        return await _forwarding.read_answer(state, "s", "r")

    assert asyncio.run(scenario()) == expected
