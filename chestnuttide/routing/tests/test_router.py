import attrs
import pytest

from chestnuttide import config
from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import model
from chestnuttide import routing

_POLICY = config.ServiceConfig(request_limit_s=5.0, queue_limit=4)
_OK = routing.TargetResult(status=200, content_type="x", body=b"done")
_ERROR = routing.TargetResult(status=500, content_type="x", body=b"failed")
_LEAVING = routing.TargetResult(
    status=503, content_type="x", body=b"", leaving=True
)


def _target(number: int, slots: int = 1) -> model.Instance:
    return model.Instance(
        instance_id=f"t{number}",
        kind=model.InstanceKind.TARGET,
        state=model.InstanceState.LIVE,
        data_centre="d",
        address=f"127.0.0.1:{number}",
        service="layout",
        slots=slots,
        connections=64,
    )


@attrs.define(slots=False)
class _RouterHarness:
    """A router with a controlled clock that collects the outputs."""

    policy: config.ServiceConfig = _POLICY
    targets: int = 1
    slots: int = 1
    clean: bool = True
    now: float = 100.0

    def __attrs_post_init__(self) -> None:
        self.state = routing.RouterState(
            shard="requests/layout/0",
            policy=self.policy,
            teams={"a": config.TeamConfig(), "b": config.TeamConfig()},
            ledger=coordination.LedgerState(),
            store_grace_s=1.0,
            unaccounted_until=0.0 if self.clean else self.now + 5.0,
        )
        self.run = routing.make_router_filter(state=self.state)
        self.dispatches: list[routing.Dispatch] = []
        self.answers: dict[int, model.Answer] = {}
        self.intents: list[routing.RecordIntent] = []
        self.outcomes: list[routing.RecordOutcome] = []
        self.others: list[object] = []
        instances = tuple(
            _target(each, self.slots) for each in range(self.targets)
        )
        self.feed(routing.TargetsChanged(instances=instances))

    def feed(self, message: object) -> None:
        for output in self.run(message, self.now):
            match output:
                case routing.Dispatch():
                    self.dispatches.append(output)
                case routing.AnswerCall():
                    assert output.call not in self.answers
                    self.answers[output.call] = output.answer
                case routing.RecordIntent():
                    self.intents.append(output)
                case routing.RecordOutcome():
                    self.outcomes.append(output)
                case _:
                    self.others.append(output)

    def submit(
        self,
        call: int,
        *,
        idempotent: bool = True,
        urgent: bool = False,
        request_id: str = "",
        timeout_s: float = 60.0,
        resend: bool = False,
        team: str = "a",
    ) -> None:
        request = model.Request(
            request_id=request_id or f"r{call}",
            service="layout",
            team=team,
            urgent=urgent,
            idempotent=idempotent,
            deadline=self.now + timeout_s,
            payload=b"{}",
        )
        self.feed(routing.Submit(call=call, request=request, resend=resend))

    def record(self, number: int = 0) -> None:
        intent = self.intents[number]
        coordination.make_intent_event(
            self.state.ledger, [intent.request_id], intent.call
        )
        self.feed(routing.IntentRecorded(call=intent.call, token=intent.call))

    def end(
        self,
        number: int,
        result: routing.TargetResult | None = None,
        *,
        sent: bool = True,
        lease_lost: bool = False,
    ) -> None:
        self.feed(
            routing.DispatchEnded(
                dispatch_id=self.dispatches[number].dispatch_id,
                result=result,
                sent=sent,
                lease_lost=lease_lost,
            )
        )

    def tick(self, after_s: float = 0.0) -> None:
        self.now += after_s
        self.feed(routing.Tick())

    def reason(self, call: int) -> errors.Reason | None:
        return self.answers[call].reason

    def run_state(self, call: int) -> errors.RunState:
        return self.answers[call].run_state


def test_slots_are_never_overrun() -> None:
    harness = _RouterHarness(targets=2, slots=2, policy=config.ServiceConfig())
    for call in range(10):
        harness.submit(call)
    assert len(harness.dispatches) == 4
    used = [each.target_id for each in harness.dispatches]
    assert sorted(used) == ["t0", "t0", "t1", "t1"]
    harness.end(0, _OK)
    assert len(harness.dispatches) == 5


def test_urgent_requests_go_first() -> None:
    harness = _RouterHarness()
    harness.submit(1)
    harness.submit(2)
    harness.submit(3, urgent=True)
    harness.end(0, _OK)
    assert harness.dispatches[1].request_id == "r3"


@pytest.mark.parametrize(
    ("idempotent", "result", "sent", "dispatches", "reason", "run_state"),
    [
        pytest.param(
            True, _OK, True, 1, None, errors.RunState.RAN, id="answer_lost"
        ),
        pytest.param(
            True, None, True, 2, "retry", None, id="idempotent_not_retried"
        ),
        pytest.param(
            True, _ERROR, True, 2, "retry", None, id="error_not_retried"
        ),
        pytest.param(
            False,
            None,
            True,
            1,
            errors.Reason.OUTCOME_UNKNOWN,
            errors.RunState.UNKNOWN,
            id="non_idempotent_runs_twice",
        ),
        pytest.param(
            False,
            _ERROR,
            True,
            1,
            None,
            errors.RunState.RAN,
            id="non_idempotent_error_is_retried",
        ),
        pytest.param(
            False, None, False, 2, "retry", None, id="unsent_not_retried"
        ),
        pytest.param(
            False, _LEAVING, True, 2, "retry", None, id="leaving_not_retried"
        ),
    ],
)
def test_result_of_dispatch(
    idempotent: bool,
    result: routing.TargetResult | None,
    sent: bool,
    dispatches: int,
    reason: errors.Reason | str | None,
    run_state: errors.RunState | None,
) -> None:
    harness = _RouterHarness(targets=2)
    harness.submit(1, idempotent=idempotent)
    if not idempotent:
        assert not harness.dispatches
        harness.record()
    harness.end(0, result, sent=sent)
    assert len(harness.dispatches) == dispatches
    if reason == "retry":
        assert 1 not in harness.answers
        first, second = harness.dispatches
        assert first.target_id != second.target_id
        return
    assert harness.reason(1) == reason
    assert harness.run_state(1) == run_state


@pytest.mark.parametrize(
    ("idempotent", "deadline_after_s", "state"),
    [
        pytest.param(
            True, 1.0, errors.RunState.NOT_RUN, id="queued_reported_as_run"
        ),
        pytest.param(
            False,
            0.5,
            errors.RunState.NOT_RUN,
            id="unrecorded_intent_reported_as_run",
        ),
    ],
)
def test_deadline_of_unsent_request(
    idempotent: bool, deadline_after_s: float, state: errors.RunState
) -> None:
    harness = _RouterHarness(targets=0)
    harness.submit(1, idempotent=idempotent, timeout_s=deadline_after_s)
    harness.tick(deadline_after_s)
    assert harness.reason(1) is errors.Reason.DEADLINE_EXCEEDED
    assert harness.run_state(1) is state


def test_sent_request_is_not_reported_as_not_run_at_its_deadline() -> None:
    harness = _RouterHarness()
    harness.submit(1, timeout_s=1.0)
    harness.tick(1.0)
    assert harness.run_state(1) is errors.RunState.UNKNOWN
    # The slot stays in use until the target answers.
    harness.submit(2)
    assert len(harness.dispatches) == 1
    harness.end(0, _OK)
    assert len(harness.dispatches) == 2


def test_late_intent_does_not_start_a_refused_request() -> None:
    harness = _RouterHarness()
    harness.submit(1, idempotent=False)
    harness.tick(1.0)
    assert harness.reason(1) is errors.Reason.STORE_UNAVAILABLE
    assert harness.run_state(1) is errors.RunState.NOT_RUN
    harness.feed(routing.IntentRecorded(call=1, token=1))
    assert not harness.dispatches


@pytest.mark.parametrize(
    ("stage", "reason", "run_state"),
    [
        pytest.param(
            "recording",
            errors.Reason.DUPLICATE_ID,
            errors.RunState.UNKNOWN,
            id="id_reused_before_intent",
        ),
        pytest.param(
            "sent",
            errors.Reason.DUPLICATE_ID,
            errors.RunState.UNKNOWN,
            id="id_reused_while_running",
        ),
        pytest.param(
            "answered",
            errors.Reason.DUPLICATE_ID,
            errors.RunState.RAN,
            id="id_reused_after_answer",
        ),
    ],
)
def test_id_used_twice(
    stage: str, reason: errors.Reason, run_state: errors.RunState
) -> None:
    harness = _RouterHarness(targets=2)
    harness.submit(1, idempotent=False, request_id="bill")
    if stage != "recording":
        harness.record()
    if stage == "answered":
        harness.end(0, _OK)
    harness.submit(2, idempotent=False, request_id="bill")
    assert harness.reason(2) is reason
    assert harness.run_state(2) is run_state
    assert len(harness.intents) == 1


def test_resent_request_gets_the_answer_of_its_first_run() -> None:
    harness = _RouterHarness(targets=2)
    harness.submit(1, idempotent=False, request_id="bill")
    harness.record()
    harness.submit(2, idempotent=False, request_id="bill", resend=True)
    harness.end(0, _OK)
    assert harness.answers[2].body == b"done"
    harness.submit(3, idempotent=False, request_id="bill", resend=True)
    assert harness.answers[3].body == b"done"
    assert len(harness.dispatches) == 1


def test_resent_request_of_a_former_owner_has_unknown_outcome() -> None:
    harness = _RouterHarness()
    event = coordination.make_outcome_event([("paid", 200)])
    ledger = coordination.LedgerState()
    coordination.begin_request(ledger, "bill", 1.0)
    intent = coordination.make_intent_event(ledger, ["bill"], 1)
    harness.state.ledger = coordination.recover_ledger(
        None, [intent, event], harness.now
    )
    harness.submit(1, idempotent=False, request_id="bill", resend=True)
    assert harness.reason(1) is errors.Reason.OUTCOME_UNKNOWN
    harness.submit(2, idempotent=False, request_id="paid")
    assert harness.run_state(2) is errors.RunState.RAN
    assert not harness.intents


def test_leaving_target_gets_no_new_request() -> None:
    harness = _RouterHarness(targets=2, slots=4)
    harness.feed(routing.TargetLeaving(target_id="t0"))
    # The instance list lags and still shows the target as live.
    harness.feed(routing.TargetsChanged(instances=(_target(0, 4),)))
    for call in range(4):
        harness.submit(call)
    assert {each.target_id for each in harness.dispatches} == {"t1"}


def test_unclean_takeover_waits_for_slots_of_the_former_owner() -> None:
    harness = _RouterHarness(clean=False, slots=2)
    harness.submit(1)
    assert not harness.dispatches
    harness.tick(4.9)
    assert not harness.dispatches
    harness.tick(0.2)
    assert len(harness.dispatches) == 1


def test_busy_report_frees_slots_of_the_former_owner() -> None:
    policy = config.ServiceConfig(status_path="/s", request_limit_s=5.0)
    harness = _RouterHarness(clean=False, slots=3, policy=policy)
    queries = [o for o in harness.others if isinstance(o, routing.QueryBusy)]
    assert [each.target_id for each in queries] == ["t0"]
    for call in range(4):
        harness.submit(call)
    harness.feed(routing.BusyReported(target_id="t0", busy=2))
    assert len(harness.dispatches) == 1


def test_lost_connection_keeps_its_slot_occupied() -> None:
    harness = _RouterHarness()
    harness.submit(1, idempotent=False)
    harness.record()
    harness.end(0, None, sent=True)
    harness.submit(2)
    assert len(harness.dispatches) == 1
    harness.tick(5.0)
    assert len(harness.dispatches) == 2


def test_handover_refuses_only_unsent_requests() -> None:
    harness = _RouterHarness()
    harness.submit(1)
    harness.submit(2)
    harness.submit(3, idempotent=False)
    harness.feed(routing.HandOver())
    assert 1 not in harness.answers
    for call in (2, 3):
        assert harness.reason(call) is errors.Reason.NOT_OWNER
        assert harness.run_state(call) is errors.RunState.NOT_RUN
    harness.end(0, _OK)
    assert harness.reason(1) is None
    assert len(harness.dispatches) == 1


def test_lost_lease_refuses_as_not_run() -> None:
    harness = _RouterHarness()
    harness.submit(1, idempotent=False)
    harness.record()
    harness.end(0, None, sent=False, lease_lost=True)
    assert harness.reason(1) is errors.Reason.LEASE_LOST
    assert harness.run_state(1) is errors.RunState.NOT_RUN
    assert [each.status for each in harness.outcomes] == [
        coordination.NOT_RUN_STATUS
    ]


def test_ejection_of_failing_targets_is_limited() -> None:
    harness = _RouterHarness(targets=5, slots=2, policy=config.ServiceConfig())
    for call in range(80):
        harness.submit(call)
        result = (
            _OK if harness.dispatches[-1].target_id in ("t0", "t1") else _ERROR
        )
        while len(harness.state.dispatches):
            last = next(iter(harness.state.dispatches))
            index = next(
                number
                for number, each in enumerate(harness.dispatches)
                if each.dispatch_id == last
            )
            target_id = harness.dispatches[index].target_id
            result = _OK if target_id in ("t0", "t1") else _ERROR
            harness.end(index, result)
    ejected = [e for e in harness.others if isinstance(e, routing.Ejected)]
    assert len(ejected) == 1
    assert ejected[0].target_id not in ("t0", "t1")


def test_hedge_is_sent_to_another_target() -> None:
    policy = config.ServiceConfig(hedge_after_s=0.5)
    harness = _RouterHarness(targets=2, policy=policy)
    harness.submit(1)
    harness.tick(0.6)
    assert [each.target_id for each in harness.dispatches] == ["t0", "t1"]
    harness.end(1, _OK)
    assert harness.reason(1) is None
    harness.end(0, _OK)
    assert len(harness.answers) == 1


@pytest.mark.parametrize(
    ("submit", "reason"),
    [
        pytest.param(
            {"timeout_s": -1.0},
            errors.Reason.DEADLINE_EXCEEDED,
            id="past_deadline_accepted",
        ),
        pytest.param(
            {"team": "nobody"},
            errors.Reason.UNKNOWN_TEAM,
            id="unknown_team_accepted",
        ),
    ],
)
def test_refused_on_arrival(
    submit: dict[str, object], reason: errors.Reason
) -> None:
    harness = _RouterHarness()
    harness.submit(1, **submit)
    assert harness.reason(1) is reason
    assert harness.run_state(1) is errors.RunState.NOT_RUN
    assert not harness.dispatches


def test_full_queue_refuses() -> None:
    harness = _RouterHarness(targets=0)
    for call in range(6):
        harness.submit(call)
    assert harness.reason(5) is errors.Reason.QUEUE_FULL
    assert harness.run_state(5) is errors.RunState.NOT_RUN


def test_timers_of_ended_calls_are_dropped() -> None:
    """Guards against memory growth when callers set long deadlines."""
    harness = _RouterHarness(targets=1, slots=1, policy=config.ServiceConfig())
    for call in range(3000):
        harness.submit(call, timeout_s=3600.0)
        harness.end(call, _OK)
    harness.tick()
    assert len(harness.state.deadlines) <= 1024
    harness.submit(5000, timeout_s=1.0)
    harness.tick(1.0)
    assert harness.reason(5000) is errors.Reason.DEADLINE_EXCEEDED


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"timeout_s": -1.0}, id="past_deadline_hides_known_id"),
        pytest.param({"team": "nobody"}, id="unknown_team_hides_known_id"),
    ],
)
def test_known_id_is_never_reported_as_not_run(changes: dict) -> None:
    harness = _RouterHarness()
    harness.submit(1, idempotent=False, request_id="bill")
    harness.record()
    harness.end(0, _OK)
    harness.submit(2, idempotent=False, request_id="bill", **changes)
    assert harness.reason(2) is errors.Reason.DUPLICATE_ID
    assert harness.run_state(2) is errors.RunState.RAN


def test_call_reported_as_in_progress_survives_cancellation() -> None:
    """Guards against dropping a call that was reported as in progress.

    The entry of a caller is killed and the caller retries through another
    entry before the owner notices that the first connection is closed.
    """
    harness = _RouterHarness()
    harness.submit(1, idempotent=False, request_id="bill")
    harness.submit(2, idempotent=False, request_id="bill")
    assert harness.reason(2) is errors.Reason.DUPLICATE_ID
    harness.feed(routing.CancelCall(call=1))
    harness.record()
    harness.end(0, _OK)
    assert harness.state.answers["bill"].body == b"done"
