"""A short seeded run of the soak, and tests of its checks."""

import asyncio
import json
import pathlib

import pytest

from soak import _checks
from soak import _recut
from soak import _run
from standins import cloud

# Run in CI; `soak/_seeds.py` lists all seeds that have failed.
SEEDS = (100,)


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_through_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against invariants that overlapping faults violate."""
    ledger = asyncio.run(
        _run.run_seed(tmp_path, seed, nodes=4, duration_s=6.0)
    )
    assert ledger.faults
    assert ledger.violations == []


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_through_restarts_that_are_cut_soon(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against long runs that start again while their worker is cut."""
    series = _recut.Series(
        entry_delay_s=0.3, cut_s=5.0, held=True, killed=False, late_share=0.0
    )
    ledger = asyncio.run(
        _run.run_seed(tmp_path, seed, nodes=4, duration_s=3.0, series=series)
    )
    assert any("cut of" in fault for fault in ledger.faults)
    assert ledger.violations == []


def test_the_ledger_lists_the_faults(tmp_path: pathlib.Path) -> None:
    """Guards against a failed seed whose faults are not known afterwards."""
    ledger = _checks.Ledger(faults=["1.0 kill"])
    _run.write_ledger(tmp_path, ledger)
    written = json.loads((tmp_path / "ledger.json").read_text("utf-8"))
    assert written["faults"] == ["1.0 kill"]


def _make_ledger() -> tuple[_checks.Ledger, list[cloud.Worker]]:
    ledger = _checks.Ledger()
    workers = [
        cloud.Worker(
            id=f"i-{number}",
            service="s",
            capacity={"cpu": 1000},
            lease_expires_s=float("inf"),
            run_s=1000.0,
        )
        for number in range(2)
    ]
    for worker in workers:
        _checks.observe_worker(ledger, worker)
    ledger.jobs["a"] = _checks.Job(
        id="a",
        body={
            "spec": "s",
            "steps": [
                {"count": 2, "cpu": 600},
                {"count": 1, "cpu": 100, "after": [0]},
            ],
        },
    )
    return ledger, workers


def _command(task: str, *, run: int = 1, spec: str = "s") -> dict[str, object]:
    return {"task": task, "run": run, "spec": spec}


@pytest.mark.parametrize(
    ("prepare", "command", "violation"),
    [
        pytest.param({}, _command("a.0.0.0"), "", id="allowed"),
        pytest.param(
            {}, _command("b.0.0.0"), "not submitted", id="unknown-job"
        ),
        pytest.param(
            {},
            _command("a.0.0.0", spec="x"),
            "not submitted",
            id="other-payload",
        ),
        pytest.param({}, _command("a.0.1.0"), "predecessor", id="too-early"),
        pytest.param(
            {"refused": True}, _command("a.0.0.0"), "refused", id="refused"
        ),
        pytest.param(
            {"state": "complete"},
            _command("a.0.0.0"),
            "reported as",
            id="ended",
        ),
        pytest.param(
            {"cancelled_at": 1.0},
            _command("a.0.0.0"),
            "cancel",
            id="cancelled",
        ),
        pytest.param(
            {"cancelled_at": 1.0},
            {**_command("a.0.0.0"), "arrived_s": 0.9},
            "",
            id="late-and-sent-before-the-cancel",
        ),
        pytest.param(
            {"cancelled_at": 1.0},
            {**_command("a.0.0.0"), "arrived_s": 4.1},
            "cancel",
            id="late-and-sent-after-the-cancel",
        ),
    ],
)
def test_forbidden_starts_are_reported(
    prepare: dict[str, object], command: dict[str, object], violation: str
) -> None:
    """Guards against soak checks that cannot fail."""
    ledger, workers = _make_ledger()
    for name, value in prepare.items():
        setattr(ledger.jobs["a"], name, value)
    workers[0].on_start(command)
    if violation:
        assert violation in ledger.violations[0]
    else:
        assert ledger.violations == []


def test_double_runs_and_excess_use_are_reported() -> None:
    """Guards against soak checks that cannot fail."""
    ledger, workers = _make_ledger()
    workers[0].runs[("a.0.0.0", 1)] = cloud.Run(
        started_at_s=0.0, due_at_s=float("inf")
    )
    workers[1].on_start(_command("a.0.0.0", run=2))
    assert "two runs at once" in ledger.violations[0]
    workers[0].on_start(_command("a.0.0.1"))
    assert "over capacity" in ledger.violations[-1]
