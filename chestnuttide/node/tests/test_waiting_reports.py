"""When an owner reports what waits, and how long its rounds take."""

import asyncio
import contextlib

import pytest

from chestnuttide import model
from chestnuttide.node import _cap_pages
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _waiting_reports
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import telemetry
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from chestnuttide import workspaces

JOB = "0" * 15 + "a"
START_S = 1000.0


def _make_owner(*, lasting: bool, workers: int = 0) -> _ownership.Ownership:
    """Return the owner of a service with one task that waits."""
    session = _session_fixtures.make_session(
        "127.0.0.1:1", timeout_s=0.1, count=lambda kind, outcome: None
    )
    pool = _pool_fixtures.make_pool(workers)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(lasting=lasting),
        job_id=JOB,
        now=START_S,
    )
    return _ownership.Ownership(
        service="workshop",
        fencing_token=1,
        session=session,
        store=session.store,
        workers_http=None,
        pool=pool,
        metrics=_metrics.make_metrics(),
        confirmed_at=_clock.now(),
        waiting_reported_at=START_S,
    )


@pytest.mark.parametrize(
    ("lasting", "reported_s"),
    [
        pytest.param(True, [3.0, 5.0, 7.0, 9.0], id="task-that-lasts"),
        pytest.param(False, [5.0, 10.0], id="other-task"),
    ],
)
def test_a_long_wait_of_a_lasting_task_is_reported_soon(
    lasting: bool, reported_s: list[float], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against lost work that ends before the next report."""
    owner = _make_owner(lasting=lasting)
    reports = []
    with caplog.at_level("INFO"):
        for tenths in range(105):
            caplog.clear()
            _waiting_reports.report(owner, START_S + tenths / 10)
            reports += [(tenths / 10, line) for line in caplog.records]
    times = [seconds for seconds, _ in reports]
    assert times == pytest.approx(reported_s, abs=0.35)
    _, line = reports[-1]
    (task,) = line.lasting if lasting else line.others
    assert task[0] == f"{JOB}.0.0.0"
    assert task[2] == workloads.WaitReason.WORKER
    assert line.always


@pytest.mark.parametrize(
    ("heard_s", "reason", "detail"),
    [
        pytest.param(None, "lent", "s2 has 750/750/750, heard never"),
        pytest.param(4.0, "lent", "s2 has 750/750/750, heard 4.0 s ago"),
        pytest.param(0.5, "cap", "may use 250/250/250 thousandths"),
    ],
    ids=["never-heard", "silent", "heard"],
)
def test_a_part_of_a_silent_owner_is_told_for_each_task(
    heard_s: float | None,
    reason: str,
    detail: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cap that waits for an owner that nothing names."""
    owner = _make_owner(lasting=True, workers=1)
    job = owner.pool.jobs[JOB]
    owner.pool.capped_units = {job.units[(0, 0, 0)]}
    board, parts = owner.session.caps, (750, 750, 750)
    board.parts = workspaces.CapParts(
        rows={"": {"workshop": (250, 250, 250), "s2": parts}}
    )
    owner.caps.loaded = True
    owner.caps.put_off = {"": workspaces.PutOff()}
    if heard_s is not None:
        board.reports["s2"] = _cap_state.UseReport(
            fencing_token=1,
            received_at=START_S - heard_s,
            capacity=model.ZERO,
            rows={},
        )
    monkeypatch.setattr(_clock, "now", lambda: START_S)
    (row,) = _cap_pages.explain_wait({"workshop": owner}, JOB)
    assert row["waiting"] == {"cap": 1}
    (task,) = row["tasks"]
    assert (task["reason"], task["detail"]) == (reason, detail)


def test_planning_rounds_are_measured() -> None:
    """Guards against a slow owner whose rounds nothing shows."""

    async def main() -> _ownership.Ownership:
        owner = _make_owner(lasting=True, workers=1)
        owner.plan_requested.set()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(_owner._plan_loop(owner), timeout=0.1)
        return owner

    content, _ = telemetry.render(asyncio.run(main()).metrics.registry)
    line = 'chestnuttide_plan_seconds_count{service="workshop"} 1.0'
    assert line in content.decode().splitlines()
