"""Tasks that crash the workers that start them, and the work beside them."""

import collections
import itertools
import random

import attrs
import cbor2
import pytest

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _crash_simulation
from chestnuttide.workloads.tests import _pool_fixtures

# The users' rule: after three workers have crashed under a task, it is not
# started three times more.
MAX_STARTS = 5


def _play(
    *,
    seed: int,
    keeps_id: bool = False,
    owner_changes: bool = False,
    other_crashes: bool = False,
    crash_delay_s: float = 0.01,
) -> _crash_simulation.Simulation:
    """Submit jobs for 10 s, every tenth with a deadly task; wait for all."""
    simulation = _crash_simulation.make_simulation(
        machines=16, seed=seed, keeps_id=keeps_id
    )
    rng = simulation.rng
    for number in itertools.count(1):
        if simulation.now > 10.0:
            break
        deadly_index = rng.randrange(6) if number % 10 == 5 else None
        _crash_simulation.submit(
            simulation,
            f"{number:016x}",
            _pool_fixtures.make_step(
                count=6, need=model.Resources(cpu_millis=1500, memory_mb=500)
            ),
            deadly_index=deadly_index,
            crash_delay_s=crash_delay_s,
        )
        _crash_simulation.advance(simulation, rng.uniform(0.1, 0.3))
        if other_crashes and rng.random() < 0.1:
            _crash_simulation.crash(
                simulation, rng.choice(simulation.machines)
            )
        if owner_changes and rng.random() < 0.06:
            _crash_simulation.change_owner(simulation)
    _crash_simulation.advance(simulation, 50.0)
    return simulation


@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param({}, id="new-id"),
        pytest.param({"keeps_id": True}, id="same-id"),
        pytest.param({"other_crashes": True}, id="other-crashes"),
        pytest.param({"owner_changes": True}, id="owner-changes"),
        pytest.param(
            {"owner_changes": True, "other_crashes": True, "keeps_id": True},
            id="all",
        ),
    ],
)
def test_a_task_that_crashes_its_workers_is_given_up_and_others_complete(
    trouble: dict[str, bool],
) -> None:
    """Guards against one task that takes down one worker after another."""
    for seed in range(4):
        simulation = _play(seed=seed, **trouble)
        deadly_jobs = {task.split(".")[0] for task in simulation.deadly}
        for task in simulation.deadly:
            assert len(simulation.starts[task]) <= MAX_STARTS, (seed, task)
        states = collections.Counter(
            (job_id in deadly_jobs, state)
            for job_id, state in simulation.states.items()
        )
        assert set(states) == {
            (True, workloads.JobState.FAILED),
            (False, workloads.JobState.COMPLETE),
        }, (seed, states)


def _crash_under_all(pool: workloads.Pool, *, now: float) -> None:
    """End all workers that have runs, as a crash and a restart show them."""
    for worker in list(pool.workers.values()):
        if worker.runs:
            workloads.end_incarnation(
                pool, worker, now=now, now_unix_s=_pool_fixtures.UNIX_S
            )


def _fall_silent(
    pool: workloads.Pool, worker: workloads.Worker, *, now: float
) -> None:
    """Let a worker's lease expire without a reply."""
    worker.failed_polls = 1
    worker.lease_until = now
    workloads.expire_worker_lease(
        pool, worker, now=now, now_unix_s=_pool_fixtures.UNIX_S
    )


def _settle(pool: workloads.Pool, *, now: float) -> int:
    """Return how many units are given up."""
    return len(
        workloads.settle_crashes(
            pool, now=now, now_unix_s=_pool_fixtures.UNIX_S
        )
    )


@pytest.mark.parametrize(
    "step",
    [
        pytest.param({"count": 1}, id="task"),
        pytest.param({"count": 3, "gang": True}, id="gang"),
        pytest.param({"count": 1, "lasting": True}, id="long-running"),
    ],
)
def test_a_task_alone_under_two_crashes_is_given_up(
    step: dict[str, object],
) -> None:
    """Guards against a kind of task that is started without end."""
    pool = _pool_fixtures.make_pool(8)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step(**step))
    for number in (1, 2):
        assert _pool_fixtures.start_all(pool, now=10.0 * number)
        _crash_under_all(pool, now=10.0 * number + 0.01)
        assert _settle(pool, now=10.0 * number + 3.0) == number - 1
    assert job.state == workloads.JobState.FAILED
    assert not workloads.make_plan(pool, now=99.0).runs


def test_work_that_ran_before_is_not_suspected_of_a_crash() -> None:
    """Guards against sound work that is given up beside the cause."""
    pool = _pool_fixtures.make_pool(1)
    sound = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    _pool_fixtures.apply_reply(
        pool,
        run.worker_key,
        running=(_pool_fixtures.RunReport(task=run.task, run=1),),
    )
    cause = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), job_id="00000000000000b1"
    )
    _pool_fixtures.start_all(pool, now=2.0)
    _crash_under_all(pool, now=2.1)
    crashes = [
        job.units[(0, 0, 0)].crashes[1].suspects for job in (sound, cause)
    ]
    assert crashes == [0, 1]


@pytest.mark.parametrize(
    ("answers", "still_listed", "given_up"),
    [
        pytest.param(True, True, 0, id="answers-again"),
        pytest.param(False, True, 0, id="cut-off-but-alive"),
        pytest.param(False, False, 1, id="gone"),
    ],
)
def test_a_silent_worker_has_not_crashed_if_it_lives(
    answers: bool, still_listed: bool, given_up: int
) -> None:
    """Guards against work that is given up because workers were cut off."""
    pool = _pool_fixtures.make_pool(3)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    for now in (1.0, 2.0):
        (run,) = _pool_fixtures.start_all(pool, now=now)
        _fall_silent(pool, pool.workers[run.worker_key], now=now + 0.1)
    assert _settle(pool, now=3.0) == 0
    assert not workloads.make_plan(pool, now=3.0).runs
    for worker in pool.workers.values():
        if worker.failed_polls and answers:
            _pool_fixtures.apply_reply(pool, worker.key, sent_at=4.0)
            worker.failed_polls = 0
        worker.listed = still_listed
    assert _settle(pool, now=20.0) == given_up
    assert bool(job.units[(0, 0, 0)].crashes) == bool(given_up)
    assert len(workloads.make_plan(pool, now=20.0).runs) == 1 - given_up


def test_a_worker_that_was_draining_has_left() -> None:
    """Guards against suspicion of the last work on a worker that leaves."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    _pool_fixtures.start_all(pool)
    (worker,) = pool.workers.values()
    worker.report = attrs.evolve(worker.report, draining=True)
    _crash_under_all(pool, now=1.0)
    assert not job.units[(0, 0, 0)].crashes


def test_a_start_that_reached_the_next_incarnation_crashed_none() -> None:
    """Guards against suspicion of a run that a restarted worker executes."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    (worker,) = pool.workers.values()
    workloads.start_incarnation(pool, worker, 2)
    unit = job.units[(0, 0, 0)]
    assert unit.crashes[1].suspects == 1
    _pool_fixtures.apply_reply(
        pool,
        "w0@2",
        running=(_pool_fixtures.RunReport(task=run.task, run=1),),
    )
    assert not unit.crashes


def test_a_suspected_task_starts_where_a_crash_has_no_other_suspect() -> None:
    """Guards against blame that falls on work beside a suspected task."""
    pool = _pool_fixtures.make_pool(2, cpu=8000)
    suspected = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(), priority=0
    )
    (run,) = _pool_fixtures.start_all(pool)
    _crash_under_all(pool, now=0.2)
    _pool_fixtures.add_worker(pool, "w9", cpu=8000)
    other = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=2), job_id="00000000000000b1"
    )
    # An unproven run on each worker keeps the suspected task waiting.
    suspected.units[(0, 0, 0)].not_before = 2.0
    assert len(_pool_fixtures.start_all(pool, now=1.0)) == 2
    assert not workloads.make_plan(pool, now=2.0).runs
    runs = [each for unit in other.units.values() for each in unit.runs]
    _pool_fixtures.apply_reply(
        pool,
        runs[0].worker_key,
        running=tuple(
            _pool_fixtures.RunReport(task=each.task, run=each.number)
            for each in runs
            if each.worker_key == runs[0].worker_key
        ),
        sent_at=2.0,
    )
    (trial,) = _pool_fixtures.start_all(pool, now=2.1)
    assert trial.job is suspected
    assert trial.worker_key == runs[0].worker_key
    # Nothing else starts there until the suspected task is proven.
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=9), job_id="00000000000000b2"
    )
    keys = {
        each.worker_key for each in workloads.make_plan(pool, now=2.2).runs
    }
    assert trial.worker_key not in keys
    assert keys


@pytest.mark.parametrize(
    ("busy", "trial_workers"),
    [pytest.param(True, 4, id="busy"), pytest.param(False, 8, id="idle")],
)
def test_trials_leave_most_workers_to_other_work(
    busy: bool, trial_workers: int
) -> None:
    """Guards against a wave of suspected tasks that stops all other work."""
    pool = _pool_fixtures.make_pool(16)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=40))
    _pool_fixtures.start_all(pool)
    _crash_under_all(pool, now=0.2)
    for worker in pool.workers.values():
        worker.listed = False
    need = model.Resources(cpu_millis=2000 if busy else 0, memory_mb=100)
    for number in range(16):
        _pool_fixtures.add_worker(pool, f"x{number}")
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=16, need=need, spread_limit=1),
        job_id="00000000000000b0",
        priority=-1,
    )
    for key in {run.worker_key for run in _start_sound(pool, now=0.5)}:
        _prove_runs(pool, key, now=0.9)
    trials = workloads.make_plan(pool, now=1.5).runs
    assert {run.on_trial for run in trials} == {True}
    assert len({run.worker_key for run in trials}) == trial_workers
    _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=24), job_id="00000000000000b1"
    )
    others = workloads.make_plan(pool, now=1.6).runs
    assert len(others) == 24


def _start_sound(pool: workloads.Pool, *, now: float) -> list[workloads.Run]:
    """Start only the work that is not suspected."""
    for _, unit in pool.crashed_units.values():
        unit.not_before = now + 0.5
    return _pool_fixtures.start_all(pool, now=now)


def _prove_runs(pool: workloads.Pool, key: str, *, now: float) -> None:
    """Have a worker list all its runs."""
    _pool_fixtures.apply_reply(
        pool,
        key,
        running=tuple(
            _pool_fixtures.RunReport(task=run.task, run=run.number)
            for run in pool.workers[key].runs.values()
        ),
        sent_at=now,
    )


def _submit_suspects(
    pool: workloads.Pool,
    suspects: list[int],
    *,
    job_id: str = "00000000000000aa",
    **queue: int,
) -> workloads.Job:
    """Submit tasks, each after crashes with so many suspects."""
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=len(suspects)),
        job_id=job_id,
        **queue,
    )
    for unit, count in zip(job.units.values(), suspects, strict=True):
        unit.last_run = 1
        unit.crashes[1] = workloads.Crash(
            worker_key="gone@1", index=unit.key[2], suspects=count
        )
        pool.crashed_units[(job_id, unit.key)] = (job, unit)
    return job


@pytest.mark.parametrize(
    ("suspects", "groups"),
    [
        pytest.param([1, 1], [1, 1], id="only-suspects"),
        pytest.param([2, 2], [1, 1], id="one-of-two"),
        pytest.param([4, 4, 4, 4], [3, 1], id="one-of-four"),
        pytest.param([8] * 8, [6, 2], id="one-of-eight"),
    ],
)
def test_unlikely_causes_share_a_trial(
    suspects: list[int], groups: list[int]
) -> None:
    """Guards against sound work that waits for a worker of its own each."""
    pool = _pool_fixtures.make_pool(8, cpu=16000)
    _submit_suspects(pool, suspects)
    counts = collections.Counter(
        run.worker_key for run in workloads.make_plan(pool, now=1.0).runs
    )
    assert sorted(counts.values(), reverse=True) == groups


def test_likely_causes_leave_trials_to_the_other_suspects() -> None:
    """Guards against sound suspects that wait behind deadly tasks."""
    pool = _pool_fixtures.make_pool(8)
    _submit_suspects(pool, [1] * 20, priority=0)
    _submit_suspects(pool, [3] * 4, job_id="00000000000000b1", priority=2)
    trials = collections.Counter(
        run.job.spec.id for run in workloads.make_plan(pool, now=1.0).runs
    )
    assert trials == {"00000000000000aa": 2, "00000000000000b1": 4}


def test_urgent_work_does_not_keep_a_suspected_task_from_a_trial() -> None:
    """Guards against a suspect that waits while others keep starting."""
    pool = _pool_fixtures.make_pool(4)
    suspect = _submit_suspects(pool, [3], priority=2)
    (unit,) = suspect.units.values()
    unit.not_before = 0.25
    for number in range(20):
        now = 0.1 * (number + 1)
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(count=4),
            job_id=f"{number:016x}",
            now=now,
            priority=0,
        )
        _pool_fixtures.start_all(pool, now=now)
        for worker in pool.workers.values():
            _prove_runs(pool, worker.key, now=now)
            for run in list(worker.runs.values()):
                if run.proven and run.unit is not unit:
                    workloads.end_run(
                        pool,
                        run,
                        "done",
                        "",
                        now=now,
                        now_unix_s=_pool_fixtures.UNIX_S,
                    )
    assert unit.state != "waiting"


def test_suspects_wait_for_no_worker_that_holds_a_long_trial() -> None:
    """Guards against a suspect that waits for one worker until the day ends.

    Advice named only the worker of a long trial, over and over.
    """
    pool = _pool_fixtures.make_pool(4)
    _submit_suspects(pool, [1])
    (long_trial,) = _pool_fixtures.start_all(pool)
    held = pool.workers[long_trial.worker_key]
    advice = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=60)
    suspect = _submit_suspects(
        pool, [2], job_id="00000000000000b1", advice=advice
    )
    step = suspect.advice.setdefault((0, 0), workloads.StepAdvice())
    step.allowed = dict.fromkeys(pool.workers, True)
    step.tickets = {held.key: ("t", 1.5)}
    assert not workloads.make_plan(pool, now=1.0).runs
    (query,) = workloads.make_plan(pool, now=1.6).queries
    assert held not in query.workers


def test_a_step_whose_trial_cannot_start_does_not_query_the_advisor() -> None:
    """Guards against suspects that keep the advisor from all other steps.

    They renewed their tickets every 2 s while they waited for a worker, and
    570 tasks of another queue were never assessed.
    """
    pool = _pool_fixtures.make_pool(3)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=2))
    runs = _pool_fixtures.start_all(pool)
    advice = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=2)
    _submit_suspects(pool, [2], job_id="00000000000000b1", advice=advice)
    (query,) = workloads.make_plan(pool, now=0.2).queries
    workloads.record_query(query)
    workloads.record_query_result(query, {}, now=0.25, retry_s=0.2)
    # The other workers have unproven runs and may not host a trial.
    assert {worker.key for worker in query.workers} == (
        pool.workers.keys() - {run.worker_key for run in runs}
    )
    assert not workloads.make_plan(pool, now=0.3).queries
    for run in runs:
        _prove_runs(pool, run.worker_key, now=0.5)
    (query,) = workloads.make_plan(pool, now=0.6).queries
    assert len(query.workers) == len({run.worker_key for run in runs})


def test_a_step_queries_for_its_other_tasks_while_some_wait_for_trials() -> (
    None
):
    """Guards against a task that never starts beside suspects of its step."""
    pool = _pool_fixtures.make_pool(2)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(count=2))
    _pool_fixtures.start_all(pool)
    advice = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=2)
    job = _submit_suspects(pool, [2, 2, 2, 0], advice=advice, job_id="b" * 16)
    kept, other = pool.workers.values()
    step = job.advice.setdefault((0, 0), workloads.StepAdvice())
    step.allowed = {kept.key: True}
    step.tickets = {kept.key: ("t", 2.0)}
    job.units[(0, 0, 3)].not_before = 0.3
    # The suspects wait until the worker has proven its run.
    assert not workloads.make_plan(pool, now=0.2).runs
    (query,) = workloads.make_plan(pool, now=0.4).queries
    assert query.workers == (other,)


@pytest.mark.parametrize(
    ("crashes", "given_up"),
    [
        pytest.param([(1, True), (1, True)], 1, id="alone-twice"),
        pytest.param([(1, True), (1, False)], 0, id="once-unanswered"),
        pytest.param([(1, False), (1, False)], 0, id="unanswered-twice"),
        pytest.param([(1, False)] * 3, 1, id="unanswered-thrice"),
        pytest.param([(1, True), (2, True), (2, True)], 1, id="thrice"),
        pytest.param(
            [(1, True), (2, False), (2, False)], 0, id="started-once"
        ),
        pytest.param([(1, True), (20, True), (20, True)], 0, id="unlikely"),
        pytest.param(
            [(9, False), (2, True), (1, True)], 1, id="owner-changed-once"
        ),
    ],
)
def test_a_crash_before_the_start_is_answered_is_no_proof(
    crashes: list[tuple[int, bool]], given_up: int
) -> None:
    """Guards against a job that fails though its task ran at most once."""
    pool = _pool_fixtures.make_pool(1)
    job = _submit_suspects(pool, [1])
    (unit,) = job.units.values()
    for number, (suspects, started) in enumerate(crashes, start=1):
        unit.crashes[number] = workloads.Crash(
            worker_key=f"gone@{number}",
            index=0,
            suspects=suspects,
            started=started,
        )
    successor = _pool_fixtures.make_pool(1)
    restored = _pool_fixtures.submit(successor, _pool_fixtures.make_step())
    workloads.apply_progress(
        successor,
        restored,
        workloads.encode_progress(job),
        lease_until=3.0,
        now=0.5,
        now_unix_s=_pool_fixtures.UNIX_S,
    )
    for each in (pool, successor):
        assert _settle(each, now=20.0) == given_up


@pytest.mark.parametrize(
    ("broken_at", "starts", "suspects"),
    [
        pytest.param(0.0, [0.1, 0.3, 0.31], [3, 3, 3], id="silent"),
        pytest.param(0.35, [0.1, 0.3, 0.31], [20, 2, 2], id="just-started"),
        pytest.param(0.35, [0.1, 0.15, 0.33], [20, 20, 1], id="one-of-them"),
        pytest.param(0.35, [0.1, 0.11, 0.36], [2, 2, 20], id="sent-too-late"),
        pytest.param(0.45, [0.1, 0.2, 0.3], [3, 3, 3], id="none-of-them"),
    ],
)
def test_the_time_of_a_crash_shows_the_likely_causes(
    broken_at: float, starts: list[float], suspects: list[int]
) -> None:
    """Guards against trials of all the work that a deadly task took down.

    Nearly all deadly tasks of the plays crashed their workers within 50 ms of
    the start, and up to ten sound ones beside them were suspected.
    """
    pool = _pool_fixtures.make_pool(1)
    for number, start_s in enumerate(starts):
        _pool_fixtures.submit(
            pool, _pool_fixtures.make_step(), job_id=f"{number:016x}"
        )
        (run,) = workloads.make_plan(pool, now=start_s).runs
        workloads.begin_start(pool, run, now=start_s)
    (worker,) = pool.workers.values()
    if broken_at:
        workloads.record_broken_connection(worker, now=broken_at)
        workloads.record_broken_connection(worker, now=broken_at + 0.3)
    _crash_under_all(pool, now=3.0)
    assert [
        job.units[(0, 0, 0)].crashes[1].suspects for job in pool.jobs.values()
    ] == suspects


@pytest.mark.parametrize(
    ("marks", "on_trial"),
    [
        pytest.param([20], False, id="once"),
        pytest.param([20, 20], True, id="twice"),
        pytest.param([20, 0], False, id="once-and-proven-once"),
        pytest.param([8], True, id="one-of-eight"),
    ],
)
def test_a_unit_beside_a_likely_cause_is_on_trial_after_the_second_crash(
    marks: list[int], on_trial: bool
) -> None:
    """Guards against sound work that waits for trials, and late crashes."""
    pool = _pool_fixtures.make_pool(2)
    job = _submit_suspects(pool, marks[:1])
    (unit,) = job.units.values()
    for number, suspects in enumerate(marks, start=1):
        unit.crashes[number] = workloads.Crash(
            worker_key=f"gone@{number}", index=0, suspects=suspects
        )
    (run,) = workloads.make_plan(pool, now=1.0).runs
    assert run.on_trial == on_trial


def test_proven_work_beside_a_trial_is_no_suspect() -> None:
    """Guards against a deadly task that is never the only suspect.

    Sound work that had been lost three times was always suspected, so a task
    that crashed its workers alone on trial was started six times.
    """
    pool = _pool_fixtures.make_pool(1)
    bystander = _submit_suspects(pool, [0], job_id="00000000000000b1")
    (unit,) = bystander.units.values()
    for number in (2, 3):
        unit.crashes[number] = workloads.Crash(
            worker_key=f"gone@{number}", index=0, suspects=0
        )
    unit.last_run = 3
    (run,) = _pool_fixtures.start_all(pool)
    _prove_runs(pool, run.worker_key, now=9.0)
    suspect = _submit_suspects(pool, [2])
    (trial,) = _pool_fixtures.start_all(pool, now=9.1)
    _crash_under_all(pool, now=9.2)
    (unit,) = suspect.units.values()
    assert unit.crashes[trial.number].suspects == 1


@pytest.mark.parametrize("limit", [1, 2])
def test_shared_trials_come_before_units_that_need_one_alone(
    limit: int,
) -> None:
    """Guards against 200 sound suspects that wait behind deadly tasks.

    All trial workers of a busy service were held by units that had been
    suspected twice, one each.
    """
    pool = _pool_fixtures.make_pool(4 * limit)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(
            count=4 * limit,
            need=model.Resources(cpu_millis=2000, memory_mb=100),
            spread_limit=1,
        ),
        job_id="00000000000000b0",
    )
    for run in _pool_fixtures.start_all(pool):
        _prove_runs(pool, run.worker_key, now=0.5)
    alone = _submit_suspects(pool, [2] * 4, priority=0)
    for unit in alone.units.values():
        unit.last_run = 2
        unit.crashes[2] = workloads.Crash(
            worker_key="gone@2", index=unit.key[2], suspects=3
        )
    _submit_suspects(pool, [4] * 4, job_id="00000000000000b1", priority=2)
    trials = collections.Counter(
        run.job.spec.id for run in workloads.make_plan(pool, now=1.0).runs
    )
    assert trials == (
        {"00000000000000b1": 2}
        if limit == 1
        else {"00000000000000b1": 2, "00000000000000aa": 1}
    )


def test_jobs_with_a_likely_cause_start_last() -> None:
    """Guards against sound work that waits behind tasks that will fail."""
    pool = _pool_fixtures.make_pool(1)
    _submit_suspects(pool, [1], priority=0)
    _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(count=4),
        job_id="00000000000000b1",
        priority=2,
    )
    runs = workloads.make_plan(pool, now=1.0).runs
    assert {run.job.spec.id for run in runs} == {"00000000000000b1"}


def test_work_that_is_lost_beside_causes_each_time_is_not_given_up() -> None:
    """Guards against sound work that fails because it was there each time."""
    pool = _pool_fixtures.make_pool(9)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (unit,) = job.units.values()
    for number in range(1, 4):
        now = 10.0 * number
        (run,) = _pool_fixtures.start_all(pool, now=now)
        _prove_runs(pool, run.worker_key, now=now + 1.0)
        _crash_under_all(pool, now=now + 2.0)
    assert [crash.suspects for crash in unit.crashes.values()] == [0, 0, 0]
    (run,) = _pool_fixtures.start_all(pool, now=40.0)
    _prove_runs(pool, run.worker_key, now=41.0)
    cause = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=8), job_id="00000000000000b1"
    )
    runs = _pool_fixtures.start_all(pool, now=42.0)
    assert run.worker_key not in {each.worker_key for each in runs}
    assert len(runs) == len(cause.units)
    assert _settle(pool, now=43.0) == 0


def test_sound_work_is_finished_soon_after_a_wave_of_deadly_tasks() -> None:
    """Guards against suspects that wait for trials long after the wave.

    A quarter of the jobs of 10 s has a deadly task. The users expect all work
    to be done 14 s after the end of the traffic.
    """
    for seed in range(4):
        simulation = _crash_simulation.make_simulation(machines=16, seed=seed)
        rng = random.Random(seed)
        due = 0.0
        while simulation.now < 10.0:
            while due <= simulation.now:
                deadly = rng.randrange(6) if rng.random() < 0.25 else None
                _crash_simulation.submit(
                    simulation,
                    f"{len(simulation.states) + 1:016x}",
                    _pool_fixtures.make_step(
                        count=6,
                        need=model.Resources(cpu_millis=1500, memory_mb=500),
                    ),
                    deadly_index=deadly,
                )
                due += rng.expovariate(6.0)
            _crash_simulation.advance(simulation, 0.1)
        _crash_simulation.advance(simulation, 14.0)
        deadly_jobs = {task.split(".")[0] for task in simulation.deadly}
        states = {
            state
            for job_id, state in simulation.states.items()
            if job_id not in deadly_jobs
        }
        assert states == {workloads.JobState.COMPLETE}, seed


def test_crashes_survive_a_change_of_owner() -> None:
    """Guards against a count of crashes that is lost with its owner."""
    pool = _pool_fixtures.make_pool(2)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    _pool_fixtures.start_all(pool)
    _crash_under_all(pool, now=0.2)
    successor = _pool_fixtures.make_pool(2)
    restored = _pool_fixtures.submit(successor, _pool_fixtures.make_step())
    workloads.apply_progress(
        successor,
        restored,
        workloads.encode_progress(job),
        lease_until=3.0,
        now=0.5,
        now_unix_s=_pool_fixtures.UNIX_S,
    )
    assert restored.units[(0, 0, 0)].crashes == job.units[(0, 0, 0)].crashes
    (run,) = _pool_fixtures.start_all(successor, now=1.0)
    assert run.on_trial
    _crash_under_all(successor, now=1.1)
    assert _settle(successor, now=2.0) == 1


def test_a_record_without_crashes_has_the_former_format() -> None:
    """Guards against records that an older daemon beside this one rejects."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    _pool_fixtures.start_all(pool)
    _, _, (row,) = cbor2.loads(workloads.encode_progress(job))
    assert len(row) == 8


def test_a_long_running_task_that_serves_is_no_longer_suspected() -> None:
    """Guards against a long-running task that is given up after months."""
    pool = _pool_fixtures.make_pool(6)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step(lasting=True))
    for number in range(1, 5):
        now = 10.0 * number
        (run,) = _pool_fixtures.start_all(pool, now=now)
        _pool_fixtures.apply_reply(
            pool,
            run.worker_key,
            running=(
                _pool_fixtures.RunReport(
                    task=run.task, run=run.number, percent=100.0
                ),
            ),
            sent_at=now + 1.0,
        )
        _crash_under_all(pool, now=now + 2.0)
        assert _settle(pool, now=now + 5.0) == 0
    assert len(job.units[(0, 0, 0)].crashes) == 1


@pytest.mark.parametrize("crash_delay_s", [0.2, 1.0])
def test_a_task_that_crashes_its_worker_late_is_given_up_too(
    crash_delay_s: float,
) -> None:
    """Guards against a deadly task that is proven before it crashes."""
    for seed in range(3):
        simulation = _play(seed=seed, crash_delay_s=crash_delay_s)
        for task in simulation.deadly:
            assert len(simulation.starts[task]) <= MAX_STARTS, (seed, task)
            state = simulation.states[task.split(".")[0]]
            assert state == workloads.JobState.FAILED
        assert sum(
            state != workloads.JobState.COMPLETE
            for state in simulation.states.values()
        ) == len(simulation.deadly)
