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
