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
class _Bench:
    """A router with a given clock, and what it has decided."""

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
    bench = _Bench(targets=2, slots=2, policy=config.ServiceConfig())
    for call in range(10):
        bench.submit(call)
    assert len(bench.dispatches) == 4
    used = [each.target_id for each in bench.dispatches]
    assert sorted(used) == ["t0", "t0", "t1", "t1"]
    bench.end(0, _OK)
    assert len(bench.dispatches) == 5


def test_urgent_requests_go_first() -> None:
    bench = _Bench()
    bench.submit(1)
    bench.submit(2)
    bench.submit(3, urgent=True)
    bench.end(0, _OK)
    assert bench.dispatches[1].request_id == "r3"


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
def test_end_of_dispatch(
    idempotent: bool,
    result: routing.TargetResult | None,
    sent: bool,
    dispatches: int,
    reason: errors.Reason | str | None,
    run_state: errors.RunState | None,
) -> None:
    bench = _Bench(targets=2)
    bench.submit(1, idempotent=idempotent)
    if not idempotent:
        assert not bench.dispatches
        bench.record()
    bench.end(0, result, sent=sent)
    assert len(bench.dispatches) == dispatches
    if reason == "retry":
        assert 1 not in bench.answers
        first, second = bench.dispatches
        assert first.target_id != second.target_id
        return
    assert bench.reason(1) == reason
    assert bench.run_state(1) == run_state


@pytest.mark.parametrize(
    ("idempotent", "deadline_after_s", "state"),
    [
        pytest.param(
            True, 1.0, errors.RunState.NOT_RUN, id="queued_claims_to_have_run"
        ),
        pytest.param(
            False, 0.5, errors.RunState.NOT_RUN, id="unrecorded_intent"
        ),
    ],
)
def test_deadline_of_unsent_request(
    idempotent: bool, deadline_after_s: float, state: errors.RunState
) -> None:
    bench = _Bench(targets=0)
    bench.submit(1, idempotent=idempotent, timeout_s=deadline_after_s)
    bench.tick(deadline_after_s)
    assert bench.reason(1) is errors.Reason.DEADLINE_EXCEEDED
    assert bench.run_state(1) is state


def test_deadline_of_sent_request_is_not_called_not_run() -> None:
    bench = _Bench()
    bench.submit(1, timeout_s=1.0)
    bench.tick(1.0)
    assert bench.run_state(1) is errors.RunState.UNKNOWN
    # The slot stays in use until the target's answer.
    bench.submit(2)
    assert len(bench.dispatches) == 1
    bench.end(0, _OK)
    assert len(bench.dispatches) == 2


def test_intent_that_is_late_does_not_start_a_refused_request() -> None:
    bench = _Bench()
    bench.submit(1, idempotent=False)
    bench.tick(1.0)
    assert bench.reason(1) is errors.Reason.STORE_UNAVAILABLE
    assert bench.run_state(1) is errors.RunState.NOT_RUN
    bench.feed(routing.IntentRecorded(call=1, token=1))
    assert not bench.dispatches


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
    bench = _Bench(targets=2)
    bench.submit(1, idempotent=False, request_id="bill")
    if stage != "recording":
        bench.record()
    if stage == "answered":
        bench.end(0, _OK)
    bench.submit(2, idempotent=False, request_id="bill")
    assert bench.reason(2) is reason
    assert bench.run_state(2) is run_state
    assert len(bench.intents) == 1


def test_resent_request_gets_the_answer_of_its_first_run() -> None:
    bench = _Bench(targets=2)
    bench.submit(1, idempotent=False, request_id="bill")
    bench.record()
    bench.submit(2, idempotent=False, request_id="bill", resend=True)
    bench.end(0, _OK)
    assert bench.answers[2].body == b"done"
    bench.submit(3, idempotent=False, request_id="bill", resend=True)
    assert bench.answers[3].body == b"done"
    assert len(bench.dispatches) == 1


def test_resent_request_of_a_former_owner_is_unknown() -> None:
    bench = _Bench()
    event = coordination.make_outcome_event([("paid", 200)])
    ledger = coordination.LedgerState()
    coordination.begin_request(ledger, "bill", 1.0)
    intent = coordination.make_intent_event(ledger, ["bill"], 1)
    bench.state.ledger = coordination.recover_ledger(
        None, [intent, event], bench.now
    )
    bench.submit(1, idempotent=False, request_id="bill", resend=True)
    assert bench.reason(1) is errors.Reason.OUTCOME_UNKNOWN
    bench.submit(2, idempotent=False, request_id="paid")
    assert bench.run_state(2) is errors.RunState.RAN
    assert not bench.intents


def test_leaving_target_gets_nothing_new() -> None:
    bench = _Bench(targets=2, slots=4)
    bench.feed(routing.TargetLeaving(target_id="t0"))
    # The list lags and still calls it live.
    bench.feed(routing.TargetsChanged(instances=(_target(0, 4),)))
    for call in range(4):
        bench.submit(call)
    assert {each.target_id for each in bench.dispatches} == {"t1"}


def test_unclean_takeover_waits_for_slots_of_the_former_owner() -> None:
    bench = _Bench(clean=False, slots=2)
    bench.submit(1)
    assert not bench.dispatches
    bench.tick(4.9)
    assert not bench.dispatches
    bench.tick(0.2)
    assert len(bench.dispatches) == 1


def test_busy_report_frees_slots_of_the_former_owner() -> None:
    policy = config.ServiceConfig(status_path="/s", request_limit_s=5.0)
    bench = _Bench(clean=False, slots=3, policy=policy)
    queries = [o for o in bench.others if isinstance(o, routing.QueryBusy)]
    assert [each.target_id for each in queries] == ["t0"]
    for call in range(4):
        bench.submit(call)
    bench.feed(routing.BusyReported(target_id="t0", busy=2))
    assert len(bench.dispatches) == 1


def test_lost_connection_keeps_its_slot_occupied() -> None:
    bench = _Bench()
    bench.submit(1, idempotent=False)
    bench.record()
    bench.end(0, None, sent=True)
    bench.submit(2)
    assert len(bench.dispatches) == 1
    bench.tick(5.0)
    assert len(bench.dispatches) == 2


def test_handover_sends_back_only_what_was_not_sent() -> None:
    bench = _Bench()
    bench.submit(1)
    bench.submit(2)
    bench.submit(3, idempotent=False)
    bench.feed(routing.HandOver())
    assert 1 not in bench.answers
    for call in (2, 3):
        assert bench.reason(call) is errors.Reason.NOT_OWNER
        assert bench.run_state(call) is errors.RunState.NOT_RUN
    bench.end(0, _OK)
    assert bench.reason(1) is None
    assert len(bench.dispatches) == 1


def test_lost_lease_refuses_as_not_run() -> None:
    bench = _Bench()
    bench.submit(1, idempotent=False)
    bench.record()
    bench.end(0, None, sent=False, lease_lost=True)
    assert bench.reason(1) is errors.Reason.LEASE_LOST
    assert bench.run_state(1) is errors.RunState.NOT_RUN
    assert [each.status for each in bench.outcomes] == [
        coordination.NOT_RUN_STATUS
    ]


def test_failing_target_is_ejected_but_never_too_many() -> None:
    bench = _Bench(targets=5, slots=2, policy=config.ServiceConfig())
    for call in range(80):
        bench.submit(call)
        result = (
            _OK if bench.dispatches[-1].target_id in ("t0", "t1") else _ERROR
        )
        while len(bench.state.dispatches):
            last = next(iter(bench.state.dispatches))
            index = next(
                number
                for number, each in enumerate(bench.dispatches)
                if each.dispatch_id == last
            )
            target_id = bench.dispatches[index].target_id
            result = _OK if target_id in ("t0", "t1") else _ERROR
            bench.end(index, result)
    ejected = [e for e in bench.others if isinstance(e, routing.Ejected)]
    assert len(ejected) == 1
    assert ejected[0].target_id not in ("t0", "t1")


def test_hedge_is_sent_to_another_target() -> None:
    policy = config.ServiceConfig(hedge_after_s=0.5)
    bench = _Bench(targets=2, policy=policy)
    bench.submit(1)
    bench.tick(0.6)
    assert [each.target_id for each in bench.dispatches] == ["t0", "t1"]
    bench.end(1, _OK)
    assert bench.reason(1) is None
    bench.end(0, _OK)
    assert len(bench.answers) == 1


@pytest.mark.parametrize(
    ("submit", "reason"),
    [
        pytest.param(
            {"timeout_s": -1.0},
            errors.Reason.DEADLINE_EXCEEDED,
            id="past_deadline",
        ),
        pytest.param(
            {"team": "nobody"}, errors.Reason.UNKNOWN_TEAM, id="unknown_team"
        ),
    ],
)
def test_refused_on_arrival(
    submit: dict[str, object], reason: errors.Reason
) -> None:
    bench = _Bench()
    bench.submit(1, **submit)
    assert bench.reason(1) is reason
    assert bench.run_state(1) is errors.RunState.NOT_RUN
    assert not bench.dispatches


def test_full_queue_refuses() -> None:
    bench = _Bench(targets=0)
    for call in range(6):
        bench.submit(call)
    assert bench.reason(5) is errors.Reason.QUEUE_FULL
    assert bench.run_state(5) is errors.RunState.NOT_RUN


def test_timers_of_ended_calls_are_dropped() -> None:
    """Guards against memory that grows with the callers' patience."""
    bench = _Bench(targets=1, slots=1, policy=config.ServiceConfig())
    for call in range(3000):
        bench.submit(call, timeout_s=3600.0)
        bench.end(call, _OK)
    bench.tick()
    assert len(bench.state.deadlines) <= 1024
    bench.submit(5000, timeout_s=1.0)
    bench.tick(1.0)
    assert bench.reason(5000) is errors.Reason.DEADLINE_EXCEEDED


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"timeout_s": -1.0}, id="past_deadline_first"),
        pytest.param({"team": "nobody"}, id="unknown_team_first"),
    ],
)
def test_id_that_ran_is_never_called_not_run(changes: dict) -> None:
    bench = _Bench()
    bench.submit(1, idempotent=False, request_id="bill")
    bench.record()
    bench.end(0, _OK)
    bench.submit(2, idempotent=False, request_id="bill", **changes)
    assert bench.reason(2) is errors.Reason.DUPLICATE_ID
    assert bench.run_state(2) is errors.RunState.RAN


def test_call_that_a_second_caller_waits_for_is_not_dropped() -> None:
    """Guards against an id that is first in progress and then unknown.

    A caller whose entry was killed asks another one, before the owner has
    noticed that the first connection is gone.
    """
    bench = _Bench()
    bench.submit(1, idempotent=False, request_id="bill")
    bench.submit(2, idempotent=False, request_id="bill")
    assert bench.reason(2) is errors.Reason.DUPLICATE_ID
    bench.feed(routing.CancelCall(call=1))
    bench.record()
    bench.end(0, _OK)
    assert bench.state.answers["bill"].body == b"done"
