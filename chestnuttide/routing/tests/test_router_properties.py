"""Property test of the router with random events and simulated targets."""

import collections

import hypothesis
from hypothesis import strategies

from chestnuttide import config
from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import model
from chestnuttide import routing

_SLOTS = 2
_TARGETS = 3
_LIMIT_S = 5.0

_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "submit",
                "submit",
                "submit_once",
                "submit_once",
                "reuse_id",
                "durable",
                "answer",
                "answer",
                "error",
                "cut",
                "unsent",
                "leaving",
                "target_done",
                "tick",
                "cancel",
                "hand_over",
            )
        ),
        strategies.integers(min_value=0, max_value=30),
    ),
    min_size=20,
    max_size=80,
)


class _Simulation:
    """The router, simulated targets and the checked invariants."""

    def __init__(self) -> None:
        self.now = 10.0
        self.state = routing.RouterState(
            shard="requests/layout/0",
            policy=config.ServiceConfig(
                request_limit_s=_LIMIT_S, queue_limit=10, hedge_after_s=1.0
            ),
            teams={"a": config.TeamConfig()},
            ledger=coordination.LedgerState(),
            store_grace_s=1.0,
        )
        self.run = routing.make_router_filter(state=self.state)
        self.next_call = 0
        self.submitted: dict[int, model.Request] = {}
        self.answers: dict[int, model.Answer] = {}
        self.intents: list[routing.RecordIntent] = []
        self.open: list[routing.Dispatch] = []
        self.ran: collections.Counter[str] = collections.Counter()
        # Targets of requests that may still be running after their connection
        # broke, with the latest time at which they end.
        self.orphans: list[tuple[str, float]] = []
        self.left: dict[str, float] = {}
        self.handed_over = False
        self.feed(
            routing.TargetsChanged(
                instances=tuple(
                    model.Instance(
                        instance_id=f"t{number}",
                        kind=model.InstanceKind.TARGET,
                        state=model.InstanceState.LIVE,
                        data_centre="d",
                        address="127.0.0.1:1",
                        service="layout",
                        slots=_SLOTS,
                        connections=64,
                    )
                    for number in range(_TARGETS)
                )
            )
        )

    def feed(self, message: object) -> None:
        for output in self.run(message, self.now):
            match output:
                case routing.Dispatch():
                    self.check_dispatch(output)
                case routing.AnswerCall():
                    assert output.call not in self.answers, "answered twice"
                    self.answers[output.call] = output.answer
                case routing.RecordIntent():
                    self.intents.append(output)

    def check_dispatch(self, dispatch: routing.Dispatch) -> None:
        assert not self.handed_over, "dispatched after the handover"
        assert dispatch.target_id not in self.left, "target is leaving"
        self.open.append(dispatch)
        self.orphans = [e for e in self.orphans if e[1] > self.now]
        used = sum(
            each.target_id == dispatch.target_id for each in self.open
        ) + sum(each[0] == dispatch.target_id for each in self.orphans)
        assert used <= _SLOTS, "slots are overrun"

    def submit(self, request_id: str, idempotent: bool) -> None:
        call = self.next_call
        self.next_call += 1
        request = model.Request(
            request_id=request_id,
            service="layout",
            team="a",
            urgent=call % 5 == 0,
            idempotent=idempotent,
            deadline=self.now + 8.0,
            payload=b"{}",
        )
        self.submitted[call] = request
        self.feed(routing.Submit(call=call, request=request))

    def end(self, choice: int, kind: str) -> None:
        if not self.open:
            return
        dispatch = self.open.pop(choice % len(self.open))
        result = None
        sent = kind != "unsent"
        if kind in ("answer", "error"):
            status = 200 if kind == "answer" else 500
            result = routing.TargetResult(
                status=status, content_type="x", body=b""
            )
        if kind == "leaving":
            self.left[dispatch.target_id] = self.now
            result = routing.TargetResult(
                status=503, content_type="x", body=b"", leaving=True
            )
        if kind in ("answer", "error", "cut"):
            self.ran[dispatch.request_id] += 1
        if kind == "cut":
            self.orphans.append((dispatch.target_id, self.now + _LIMIT_S))
        self.feed(
            routing.DispatchEnded(
                dispatch_id=dispatch.dispatch_id, result=result, sent=sent
            )
        )

    def step(self, kind: str, choice: int) -> None:
        match kind:
            case "submit":
                self.submit(f"many-{self.next_call}", True)
            case "submit_once":
                self.submit(f"once-{self.next_call}", False)
            case "reuse_id":
                self.submit(f"once-{choice % 8}", False)
            case "durable":
                if self.intents:
                    self.make_durable(choice)
            case "tick":
                self.now += choice / 10
                self.feed(routing.Tick())
                for call, request in self.submitted.items():
                    if request.deadline <= self.now:
                        assert call in self.answers, "no answer in time"
            case "cancel":
                self.feed(routing.CancelCall(call=choice))
            case "hand_over":
                if choice > 25:
                    self.handed_over = True
                    self.feed(routing.HandOver())
            case "target_done":
                self.now += 0.01
            case _:
                self.end(choice, kind)

    def make_durable(self, choice: int) -> None:
        intent = self.intents.pop(choice % len(self.intents))
        if intent.call in self.state.calls:
            coordination.make_intent_event(
                self.state.ledger, [intent.request_id], intent.call
            )
        self.feed(routing.IntentRecorded(call=intent.call, token=intent.call))

    def check_answers(self) -> None:
        for call, request in self.submitted.items():
            answer = self.answers.get(call)
            if answer is None:
                continue
            assert answer.request_id == request.request_id
            refused_duplicate = answer.reason is errors.Reason.DUPLICATE_ID
            if answer.run_state is errors.RunState.NOT_RUN:
                if request.idempotent:
                    assert not self.ran[request.request_id]
                assert (
                    not any(
                        each.request_id == request.request_id
                        for each in self.open
                    )
                    or not request.idempotent
                )
            if not request.idempotent and not refused_duplicate:
                assert self.ran[request.request_id] <= 1


@hypothesis.settings(
    max_examples=100, derandomize=True, deadline=None, database=None
)
@hypothesis.given(events=_EVENTS)
def test_random_events(
    events: list[tuple[str, int]],
) -> None:
    """Guards slot limits, at-most-once runs, single answers and refusals.

    A failure means that slots were overrun, that a non-idempotent request
    ran twice, that a call got two answers or none, or that an idempotent
    request that ran was reported as not run.
    """
    simulation = _Simulation()
    for kind, choice in events:
        simulation.step(kind, choice)
        simulation.check_answers()
    for request_id, count in simulation.ran.items():
        if request_id.startswith("once-"):
            assert count <= 1, "a non-idempotent request ran twice"
    # All targets answer, then all deadlines pass: every call is answered.
    for _ in range(200):
        if not simulation.open:
            break
        simulation.end(0, "answer")
    simulation.now += 60.0
    simulation.feed(routing.Tick())
    assert set(simulation.answers) == set(simulation.submitted)
