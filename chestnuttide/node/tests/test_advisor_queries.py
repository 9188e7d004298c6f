"""Which instance sends an advisor query, and when."""

import asyncio
import types

import pytest

from chestnuttide.node import _advisor_queries
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

SHORT = workloads.Advice(decide_s=0.01, per_worker_s=0.001, validity_s=2.0)
LONG = workloads.Advice(decide_s=0.6, per_worker_s=0.001, validity_s=2.0)


class _Advisor:
    """Answers the calls of all instances when a test says so."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, asyncio.Future[None]]] = []
        self.busy: set[str] = set()

    async def answer(
        self, name: str, message: _messages.AdvisorQuery
    ) -> _messages.AdvisorReply:
        if name in self.busy and not message.waits:
            return _messages.AdvisorReply(
                call_id=0, answered=False, tickets=(), busy_s=1.0
            )
        future = asyncio.get_running_loop().create_future()
        self.calls.append((name, message.step.partition(".")[0], future))
        await future
        return _messages.AdvisorReply(call_id=0, answered=True, tickets=())

    @property
    def open_calls(self) -> list[tuple[str, str]]:
        """Instances and jobs of the calls that are not answered."""
        return [
            (name, job)
            for name, job, future in self.calls
            if not future.done()
        ]


def _make_owner(
    monkeypatch: pytest.MonkeyPatch, advisor: _Advisor, instances: int
) -> _ownership.Ownership:
    """Return an owner on the first of some connected instances."""
    names = [f"i{number}" for number in range(instances)]

    async def call(
        peers: object, name: str, make_message: object, **limits: float
    ) -> _messages.AdvisorReply:
        return await advisor.answer(name, make_message(0))

    async def answer_own(
        message: _messages.AdvisorQuery,
    ) -> _messages.AdvisorReply:
        return await advisor.answer(names[0], message)

    monkeypatch.setattr(_peers, "call", call)
    monkeypatch.setattr(_peers, "connected_names", lambda peers: names[1:])
    return _ownership.Ownership(
        # Of even hash, so that instances are chosen in the order of names.
        service="layout",
        fencing_token=7,
        session=types.SimpleNamespace(
            settings=types.SimpleNamespace(instance=names[0]),
            peers=types.SimpleNamespace(
                handlers={_messages.AdvisorQuery: answer_own}
            ),
            members=names,
        ),
        store=None,
        workers_http=None,
        pool=_pool_fixtures.make_pool(2),
        metrics=_metrics.make_metrics(),
    )


def _submit(
    owner: _ownership.Ownership, policies: dict[str, workloads.Advice]
) -> None:
    """Submit a job for each name, in the order of their urgency."""
    for number, (name, advice) in enumerate(policies.items()):
        _pool_fixtures.submit(
            owner.pool,
            _pool_fixtures.make_step(),
            job_id=name,
            priority=number,
            advice=advice,
        )


def _plan(owner: _ownership.Ownership) -> None:
    plan = workloads.make_plan(owner.pool, now=1.0)
    _advisor_queries.start_queries(owner, plan.queries)


@pytest.mark.parametrize(
    ("instances", "policies", "expected"),
    [
        pytest.param(
            1,
            {"a": SHORT, "b": LONG},
            [("i0", "a")],
            id="one-call-at-a-time",
        ),
        pytest.param(
            1, {"a": LONG, "b": SHORT}, [("i0", "a")], id="long-call-alone"
        ),
        pytest.param(
            4,
            {"a": SHORT, "b": SHORT, "c": SHORT, "d": SHORT, "e": SHORT},
            [("i0", "a"), ("i1", "b"), ("i2", "c"), ("i3", "d")],
            id="short-calls-use-all",
        ),
        pytest.param(
            4,
            {"a": SHORT, "b": SHORT, "c": SHORT, "d": LONG},
            [("i0", "a"), ("i1", "b"), ("i2", "d")],
            id="but-leave-some-to-long-calls",
        ),
        pytest.param(
            4,
            {"a": LONG, "b": LONG, "c": LONG, "d": SHORT},
            [("i0", "d"), ("i2", "a"), ("i3", "b")],
            id="long-calls-leave-some-to-short-ones",
        ),
    ],
)
def test_each_instance_has_one_query_at_a_time(
    monkeypatch: pytest.MonkeyPatch,
    instances: int,
    policies: dict[str, workloads.Advice],
    expected: list[tuple[str, str]],
) -> None:
    """Guards against urgent steps that wait behind other queries."""

    async def main() -> None:
        advisor = _Advisor()
        owner = _make_owner(monkeypatch, advisor, instances)
        _submit(owner, policies)
        _plan(owner)
        await asyncio.sleep(0)
        assert sorted(advisor.open_calls) == expected
        for task in owner.commands:
            task.cancel()

    asyncio.run(main())


def test_the_next_query_waits_for_no_planning_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an idle advisor while long planning rounds run.

    With hundreds of waiting jobs a round and its pause took 80 ms, and each
    instance sent one query of 12 ms in that time.
    """

    async def main() -> None:
        advisor = _Advisor()
        owner = _make_owner(monkeypatch, advisor, 1)
        _submit(owner, dict.fromkeys("abcd", SHORT))
        _plan(owner)
        workloads.cancel_job(owner.pool, owner.pool.jobs["c"], 0.0)
        for job in "abd":
            await asyncio.sleep(0.01)
            assert advisor.open_calls == [("i0", job)]
            advisor.calls[-1][2].set_result(None)
        await asyncio.sleep(0.01)
        assert not advisor.open_calls

    asyncio.run(main())


@pytest.mark.parametrize(
    ("members", "busy", "expected"),
    [
        pytest.param("0123", "", "i2", id="first"),
        pytest.param("0123", "2", "i3", id="the-first-is-busy"),
        pytest.param("0123", "23", "i2", id="all-are-busy"),
        pytest.param("013", "", "i1", id="the-first-is-stopping"),
        pytest.param("", "", "i2", id="all-memberships-have-ended"),
    ],
)
def test_a_query_goes_through_an_instance_that_can_answer_it(
    monkeypatch: pytest.MonkeyPatch, members: str, busy: str, expected: str
) -> None:
    """Guards against queries lost with a peer, or late behind others."""

    async def main() -> None:
        advisor = _Advisor()
        advisor.busy = {f"i{number}" for number in busy}
        owner = _make_owner(monkeypatch, advisor, 4)
        owner.session.members = {f"i{number}" for number in members}
        _submit(owner, {"a": LONG})
        _plan(owner)
        await asyncio.sleep(0.01)
        assert advisor.open_calls == [(expected, "a")]
        assert owner.advisor_queries == {expected}
        for task in owner.commands:
            task.cancel()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("waits", "answers"),
    [
        pytest.param([False, False], [True, False], id="rejects-the-second"),
        pytest.param([False, True], [True, True], id="unless-it-may-wait"),
    ],
)
def test_an_instance_rejects_a_query_behind_a_long_one(
    monkeypatch: pytest.MonkeyPatch, waits: list[bool], answers: list[bool]
) -> None:
    """Guards against queries that time out behind a former owner's."""

    async def query_advisor(
        http: object, address: str, **fields: object
    ) -> platform.Tickets:
        await asyncio.sleep(0.01)
        return platform.Tickets(by_worker={})

    async def main() -> None:
        calls = _advisor_queries.AdvisorCalls()
        monkeypatch.setattr(platform, "query_advisor", query_advisor)
        replies = await asyncio.gather(
            *(
                _advisor_queries.answer_query(
                    None,
                    "",
                    _messages.AdvisorQuery(
                        call_id=number,
                        step="a.0.0",
                        workers=("w0",),
                        timeout_s=0.7 + _advisor_queries.TIMEOUT_MARGIN_S,
                        waits=each,
                    ),
                    calls,
                )
                for number, each in enumerate(waits)
            )
        )
        assert [reply.answered for reply in replies] == answers
        assert all(reply.answered or reply.busy_s > 0 for reply in replies)
        assert calls == _advisor_queries.AdvisorCalls()

    asyncio.run(main())
