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


class _ScriptedOwner:
    """Stand-in for an owner that handles each call as scripted."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.calls: list[mesh.RequestCall] = []
        self.peer = mesh.Hello(
            sender="o", kind="scheduler", incarnation="1", data_centre="d"
        )


def _make_reply(
    call: mesh.RequestCall, reason: errors.Reason | None
) -> object:
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


def _run_step(
    state: object, owner: _ScriptedOwner, call: mesh.RequestCall
) -> None:
    owner.calls.append(call)
    step = owner.script.pop(0)
    match step:
        case "respond":
            mesh.resolve(state.calls, owner, _make_reply(call, None))
        case "disconnect":
            mesh.fail_connection(state.calls, owner)
        case "no_reply":
            pass
        case _:
            reply = _make_reply(call, errors.Reason(step))
            mesh.resolve(state.calls, owner, reply)


@pytest.mark.parametrize(
    ("idempotent", "script", "status", "run_state", "resends"),
    [
        pytest.param(
            True, ["respond"], 200, "ran", [False], id="response_is_lost"
        ),
        pytest.param(
            True,
            ["not_owner", "respond"],
            200,
            "ran",
            [False, False],
            id="refusal_of_former_owner_reaches_caller",
        ),
        pytest.param(
            True,
            ["disconnect", "respond"],
            200,
            "ran",
            [False, True],
            id="request_is_lost_with_connection",
        ),
        pytest.param(
            True,
            ["disconnect", "queue_full"],
            503,
            "unknown",
            [False, True],
            id="not_run_reported_after_disconnect",
        ),
        pytest.param(
            False,
            ["disconnect", "queue_full"],
            503,
            "not_run",
            [False, True],
            id="not_run_of_ledger_is_replaced",
        ),
        pytest.param(
            True,
            ["no_reply"],
            504,
            "unknown",
            [False],
            id="unresponsive_owner_blocks_call",
        ),
    ],
)
def test_request_is_forwarded_to_owner(
    monkeypatch: pytest.MonkeyPatch,
    idempotent: bool,
    script: list[str],
    status: int,
    run_state: str,
    resends: list[bool],
) -> None:
    """Guards against lost requests and false claims of "not run"."""
    monkeypatch.setattr(_forwarding, "RETRY_DELAY_S", 0.01)
    monkeypatch.setattr(_forwarding, "REPLY_MARGIN_S", 0.05)
    owner = _ScriptedOwner(list(script))

    async def scenario() -> mesh.RequestReply:
        state = _daemon.make_state(_SETTINGS)
        shards = mesh.OwnedShards(shards=(("s", 1),), draining=False)
        _owners.update_owned_shards(state.owners, owner, shards)
        loop = asyncio.get_running_loop()

        def send(connection: object, message: object) -> None:
            loop.call_soon(_run_step, state, connection, message)

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
        pytest.param(True, "not_run", id="unsent_request_reported_as_unknown"),
        pytest.param(False, "unknown", id="earlier_run_reported_as_not_run"),
    ],
)
def test_request_without_owner_is_refused_at_its_deadline(
    idempotent: bool, run_state: str
) -> None:
    """Guards against a refusal with a wrong run state."""

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


def _make_state_reply(state: str) -> mesh.Reply:
    body = json.dumps({"id": "r", "state": state, "status": 0}).encode()
    return mesh.Reply(call_id=1, status=200, reason="", body=body)


_NOT_OWNER_REPLY = mesh.Reply(
    call_id=1, status=503, reason="not_owner", body=b"{}"
)
_RESPONSE = mesh.RequestReply(
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
        pytest.param(_RESPONSE, [], _RESPONSE, id="response_of_owner_is_lost"),
        pytest.param(
            _make_state_reply("outcome_unknown"),
            [_NOT_OWNER_REPLY, _RESPONSE],
            _RESPONSE,
            id="response_of_former_owner_is_lost",
        ),
        pytest.param(
            _make_state_reply("outcome_unknown"),
            [None, _make_state_reply("sent")],
            _make_state_reply("sent"),
            id="running_request_reported_as_unknown",
        ),
        pytest.param(
            _make_state_reply("answered"),
            [_NOT_OWNER_REPLY, None],
            _make_state_reply("answered"),
            id="state_is_lost_without_former_owner",
        ),
        pytest.param(
            _make_state_reply("sent"),
            [_RESPONSE],
            _make_state_reply("sent"),
            id="former_owner_replaces_state_of_owner",
        ),
    ],
)
def test_response_is_read_from_former_owner(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    others: list[object],
    expected: object,
) -> None:
    """Guards against a lost response after a change of entry and owner.

    A caller that switches to another entry may read the response only after
    the shard has a new owner; the former owner then holds the response.
    """

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
