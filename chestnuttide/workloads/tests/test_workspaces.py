"""Caps and shares of workspaces in planning rounds."""

import attrs
import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from chestnuttide import workspaces

CORE = model.Resources(cpu_millis=1000, memory_mb=100)
STEP_S = 0.1


def _submit(
    pool: workloads.Pool,
    number: int,
    workspace: str,
    *steps: workloads.StepSpec,
    now: float = 0.0,
    **queue: object,
) -> workloads.Job:
    job = _pool_fixtures.submit(
        pool, *steps, job_id=f"{number:016x}", now=now, **queue
    )
    job.spec = attrs.evolve(job.spec, workspace=workspace)
    return job


def _make_round(
    pool: workloads.Pool,
    weights: dict[str, float],
    *,
    caps: dict[str, model.Resources] | None = None,
    history: dict[str, float] | None = None,
) -> workspaces.Round:
    used = workloads.requested_by_workspace(pool)
    active = {*used, *(each.spec.workspace for each in pool.active.values())}
    return workspaces.Round(
        allowances={
            name: workspaces.Allowance(cap=cap, limit=cap)
            for name, cap in (caps or {}).items()
        },
        usage=workspaces.QuotaState(used=used),
        shares=workspaces.FairShares(
            capacity=workloads.listed_capacity(pool),
            entitled=workspaces.entitle(weights, active - {""}),
            history={} if history is None else history,
        ),
    )


@pytest.mark.parametrize("phase", list(workloads.Phase))
@pytest.mark.parametrize("stopping", [False, True])
def test_every_run_that_may_run_counts(
    phase: workloads.Phase, stopping: bool
) -> None:
    """A cap must hold whatever is known about a run; fillers count too."""
    pool = _pool_fixtures.make_pool(1)
    _submit(
        pool, 1, "w", _pool_fixtures.make_step(count=2, filler=True, need=CORE)
    )
    for run in workloads.make_plan(pool, now=0.1).runs:
        run.phase, run.stopping = phase, stopping
    used = workloads.requested_by_workspace(pool)
    assert used == {"w": workspaces.scale(CORE, 2)}
    round_ = _make_round(pool, {}, caps={"w": workspaces.scale(CORE, 2)})
    _submit(pool, 2, "w", _pool_fixtures.make_step(need=CORE))
    plan = workloads.make_plan(pool, now=0.2, caps=round_)
    assert not plan.runs
    assert plan.put_off["cap"] == 1
    counts = workloads.count_by_workspace(pool, now=0.2)
    assert counts == {("w", workloads.WaitReason.CAP): 1}


@pytest.mark.parametrize(
    ("cores", "started"),
    [pytest.param(5, 1, id="both"), pytest.param(4, 0, id="none")],
)
def test_gangs_start_as_a_whole_under_a_cap(cores: int, started: int) -> None:
    """A part of a gang must not start and wait for room under the cap."""
    pool = _pool_fixtures.make_pool(4)
    _submit(pool, 1, "w", _pool_fixtures.make_step(count=3, need=CORE))
    _pool_fixtures.start_all(pool)
    gang = _pool_fixtures.make_step(count=2, gang=True, need=CORE)
    _submit(pool, 2, "w", gang)
    _submit(pool, 3, "", _pool_fixtures.make_step(need=CORE))
    round_ = _make_round(pool, {}, caps={"w": workspaces.scale(CORE, cores)})
    plan = workloads.make_plan(pool, now=0.2, caps=round_)
    names = [run.job.spec.workspace for run in plan.runs]
    assert names == ["w"] * 2 * started + [""]


def test_a_cap_holds_no_room_of_the_workers() -> None:
    """What waits for its cap must not reserve workers against others."""
    pool = _pool_fixtures.make_pool(1)
    _submit(pool, 1, "w", _pool_fixtures.make_step(count=9, need=CORE))
    _submit(pool, 2, "v", _pool_fixtures.make_step(count=3, need=CORE), now=9)
    round_ = _make_round(pool, {}, caps={"w": CORE})
    plan = workloads.make_plan(pool, now=9.1, caps=round_)
    names = [run.job.spec.workspace for run in plan.runs]
    assert sorted(names) == ["v", "v", "v", "w"]


def test_nothing_waits_for_a_cap_without_workspaces() -> None:
    """A version that drops all workspaces must leave no reason to wait."""
    pool = _pool_fixtures.make_pool(1)
    _submit(pool, 1, "w", _pool_fixtures.make_step(count=9, need=CORE))
    round_ = _make_round(pool, {}, caps={"w": CORE})
    workloads.make_plan(pool, now=0.1, caps=round_)
    assert pool.capped_units
    workloads.make_plan(pool, now=0.2)
    assert not pool.capped_units


def test_without_workspaces_the_order_is_as_before() -> None:
    """A deployment without workspaces must be planned as before."""
    plans = []
    for caps in (None, workspaces.Round()):
        pool = _pool_fixtures.make_pool(2)
        for number in range(12):
            _submit(
                pool,
                number,
                "",
                _pool_fixtures.make_step(need=CORE),
                priority=number % 3,
            )
        plan = workloads.make_plan(pool, now=0.1, caps=caps)
        plans.append([run.task for run in plan.runs])
    assert plans[0] == plans[1]


@attrs.define(kw_only=True)
class _Load:
    """Jobs that a workspace sends each step, and what it got so far."""

    tasks: int
    runs: int
    gang: bool = False
    from_s: float = 0.0
    until_s: float = 1e9
    used: float = 0.0
    late_used: float = 0.0
    waits_s: list[float] = attrs.field(factory=list)


def _play(
    loads: dict[str, _Load], weights: dict[str, float], *, seconds: float
) -> None:
    """Play jobs of a core and 1 s each on 40 cores, for the decisions alone.

    Each step a workspace sends `tasks` jobs, or a gang of that many tasks
    each `runs` steps; `used` sums its core-seconds.
    """
    pool = _pool_fixtures.make_pool(10)
    history: dict[str, float] = {}
    number = 0
    ends: list[tuple[float, workloads.Run]] = []
    for step in range(int(seconds / STEP_S)):
        now = (step + 1) * STEP_S
        for end, run in [each for each in ends if each[0] <= now]:
            ends.remove((end, run))
            workloads.end_run(
                pool,
                run,
                "done",
                "",
                now=now,
                now_unix_s=_pool_fixtures.UNIX_S,
            )
        for name, load in loads.items():
            if not load.from_s <= now < load.until_s or step % load.runs:
                continue
            # A longer backlog changes no decision, and planning it is slow.
            waiting = sum(
                each.state == workloads.JobState.QUEUED and not each.started
                for each in pool.active.values()
                if each.spec.workspace == name
            )
            if waiting > 60:
                continue
            for _ in range(1 if load.gang else load.tasks):
                number += 1
                spec = _pool_fixtures.make_step(
                    count=load.tasks if load.gang else 1,
                    gang=load.gang,
                    need=CORE,
                )
                _submit(pool, number, name, spec, now=now)
        round_ = _make_round(pool, weights, history=history)
        plan = workloads.make_plan(pool, now=now, caps=round_)
        for run in plan.runs:
            workloads.confirm_start(run, now=now)
            run.job.started = True
            ends.append((now + 1.0, run))
            loads[run.job.spec.workspace].waits_s.append(
                now - run.job.accepted_at
            )
        used = workloads.requested_by_workspace(pool)
        capacity = workloads.listed_capacity(pool)
        workspaces.age_history(
            history,
            {
                name: workspaces.dominant_share(use, capacity)
                for name, use in used.items()
            },
            elapsed_s=STEP_S,
        )
        for name, load in loads.items():
            cores = used.get(name, model.ZERO).cpu_millis / 1000
            load.used += cores * STEP_S
            load.late_used += cores * STEP_S * (now > seconds / 2)


@pytest.mark.parametrize(
    ("weights", "calm", "others"),
    [
        pytest.param({"calm": 1, "loud": 1}, 2, 20, id="even-weights"),
        pytest.param({"calm": 1, "loud": 3}, 1, 10, id="a-quarter"),
        pytest.param({"calm": 3, "loud": 1}, 3, 30, id="three-quarters"),
    ],
)
def test_a_workspace_keeps_its_room_beside_a_loud_one(
    weights: dict[str, float], calm: int, others: int
) -> None:
    """One that sends ten times as much must not take another's room."""
    alone = {"calm": _Load(tasks=calm, runs=1)}
    _play(alone, weights, seconds=10)
    loads = {
        "calm": _Load(tasks=calm, runs=1),
        "loud": _Load(tasks=others, runs=1),
    }
    _play(loads, weights, seconds=10)
    assert loads["calm"].used >= 0.95 * alone["calm"].used
    # The rest is used, and by the other one.
    total = loads["calm"].late_used + loads["loud"].late_used
    assert total >= 0.95 * 40 * 5


def test_over_its_share_a_workspace_gets_at_least_its_weight() -> None:
    """Two that both send too much share the service by their weights."""
    loads = {
        "small": _Load(tasks=20, runs=1),
        "large": _Load(tasks=40, runs=1),
    }
    _play(loads, {"small": 1, "large": 3}, seconds=10)
    total = sum(load.late_used for load in loads.values())
    assert loads["small"].late_used >= 0.95 * total / 4
    assert loads["large"].late_used >= 0.95 * total * 3 / 4


def test_an_idle_workspace_that_returns_takes_its_share_only() -> None:
    """The one that was busy must go on with its share of the room."""
    loads = {
        "busy": _Load(tasks=20, runs=1),
        "back": _Load(tasks=20, runs=1, from_s=5.0),
    }
    _play(loads, {"busy": 1, "back": 1}, seconds=10)
    total = loads["busy"].late_used + loads["back"].late_used
    assert loads["busy"].late_used >= 0.4 * total
    assert loads["back"].late_used >= 0.45 * total


def test_gangs_do_not_starve_beside_small_jobs() -> None:
    """Small jobs of a loud workspace must not fill each gap for ever."""
    loads = {
        "gangs": _Load(tasks=10, runs=20, gang=True),
        "loud": _Load(tasks=20, runs=1),
    }
    _play(loads, {"gangs": 1, "loud": 1}, seconds=24)
    assert len(loads["gangs"].waits_s) >= 10 * 9
    assert max(loads["gangs"].waits_s) <= 12.0
