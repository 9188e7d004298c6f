"""Admission over the mesh and its failures."""

import asyncio
import types

import pytest

from chestnuttide.node import _admission
from chestnuttide.node import _clock
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

SERVICE = "workshop"
SPEC = _pool_fixtures.make_spec(_pool_fixtures.make_step(estimate_s=1.0))
RECORD = workloads.encode_job(SPEC)


def _make_context(*, waiting: int = 0) -> _responses.ApiContext:
    """Return the context of an owner with jobs that wait for its workers."""
    metrics = _metrics.make_metrics()
    pool = _pool_fixtures.make_pool(1)
    pool.policy = workloads.LoadPolicy(objective_order=True, admission=True)
    now = _clock.now()
    for worker in pool.workers.values():
        worker.last_reply_at = now
    for number in range(waiting):
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(count=40, estimate_s=1.0),
            job_id=f"{number:016x}",
            now=now,
            stretch=2.0,
            priority=-1,
        )
    session = _session.Session(
        settings=None,
        store=None,
        peers=_peers.make_peers(instance="a", data_centre="d"),
        count_unreadable=lambda kind: None,
        incarnation="i",
    )
    session.owners[SERVICE] = types.SimpleNamespace(
        instance="a", incarnation="i"
    )
    owner = _ownership.Ownership(
        service=SERVICE,
        fencing_token=1,
        session=session,
        store=None,
        workers_http=None,
        pool=pool,
        metrics=metrics,
        confirmed_at=now,
        ready=True,
    )
    return _responses.ApiContext(
        session=session, owned={SERVICE: owner}, metrics=metrics
    )


def _ask(
    context: _responses.ApiContext,
) -> _messages.AdmissionReply | None:
    return asyncio.run(_admission.ask_owner(context, SPEC, RECORD))


def test_an_admitted_job_is_announced_and_a_refused_one_is_not() -> None:
    """Guards against a refused job that its owner plans all the same."""
    calm = _make_context()
    assert _ask(calm).admitted
    assert SPEC.id in calm.owned[SERVICE].pool.jobs
    full = _make_context(waiting=4)
    reply = _ask(full)
    assert not reply.admitted
    assert SPEC.id not in full.owned[SERVICE].pool.jobs
    response = _admission.refusal(reply, SPEC.id)
    assert (response.status, response.reason) == (503, "no_room_in_time")
    assert response.retry_after_s == reply.retry_after_s >= 1
    rows = _admission.list_rows(full.owned)
    assert [row["refused"] for row in rows] == [1]


@pytest.mark.parametrize("fault", ["deposed", "taking-over", "no-owner"])
def test_without_an_owner_jobs_pass(fault: str) -> None:
    """Guards against refusals by an instance that knows no queue."""
    context = _make_context(waiting=4)
    owner = context.owned[SERVICE]
    if fault == "deposed":
        owner.deposed.set()
    elif fault == "taking-over":
        owner.ready = False
    else:
        context.session.owners.clear()
    assert _ask(context) is None


def test_a_fault_of_admission_costs_no_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a submission that fails with its admission."""

    def fail(*_: object, **__: object) -> None:
        raise ValueError("fault")

    monkeypatch.setattr(workloads, "decide_admission", fail)
    context = _make_context(waiting=4)
    reply = _ask(context)
    assert (reply.admitted, reply.reason) == (True, "fault")
    assert SPEC.id in context.owned[SERVICE].pool.jobs


def test_a_slow_owner_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against submissions that wait for an owner that is stuck."""

    async def call(*_: object, **__: object) -> object:
        await asyncio.sleep(5.0)
        raise AssertionError

    monkeypatch.setattr(_peers, "call", call)
    context = _make_context()
    context.session.owners[SERVICE] = types.SimpleNamespace(
        instance="b", incarnation="j"
    )

    async def main() -> float:
        started_at = _clock.now()
        assert await _admission.ask_owner(context, SPEC, RECORD) is None
        return _clock.now() - started_at

    assert asyncio.run(main()) < 10 * _admission.ANSWER_LIMIT_S


def test_a_turn_is_reported_once_and_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each refused job, and none at the end."""
    lines: list[str] = []
    monkeypatch.setattr(
        _admission,
        "LOG",
        types.SimpleNamespace(
            warning=lambda text, **_: lines.append(text),
            info=lambda text, **_: lines.append(text),
        ),
    )
    context = _make_context(waiting=4)
    owner = context.owned[SERVICE]
    for _ in range(3):
        _ask(context)
    _admission.observe(owner)
    assert len(lines) == 1
    owner.admission.refused_at -= 2 * _admission.CALM_S
    for _ in range(2):
        _admission.observe(owner)
    assert len(lines) == 2
    assert owner.admission.refusing_since == 0.0
