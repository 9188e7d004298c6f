"""What an owner holds of jobs that state, or have done, far more than runs."""

import collections.abc

import attrs
import cbor2
import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

UNIX_S = _pool_fixtures.UNIX_S
DAY_S = 86_400

SMALL = _pool_fixtures.make_step(
    need=model.Resources(cpu_millis=1000, memory_mb=100)
)
WIDE = attrs.evolve(SMALL, count=20_000)

# Units, steps and bytes of which an owner may hold no more for one job while
# nothing of it runs.
MAX_IDLE_UNITS = 300
MAX_IDLE_STEPS = 2 * 256
MAX_RECORD_BYTES = 10_000


def _make_schedule(
    *steps: workloads.StepSpec,
    occurrences: int,
    first_unix_s: float = UNIX_S - 3 * DAY_S,
    interval_s: float = 1.0,
    job_id: str = "00000000000000aa",
) -> workloads.JobSpec:
    return attrs.evolve(
        _pool_fixtures.make_spec(
            *steps, job_id=job_id, occurrences=occurrences
        ),
        first_due_unix_s=first_unix_s,
        interval_s=interval_s,
    )


def _add(
    pool: workloads.Pool, spec: workloads.JobSpec, *, now: float = 0.0
) -> workloads.Job:
    job = workloads.add_job(pool, spec, now=now, now_unix_s=UNIX_S + now)
    job.accepted = True
    return job


def _work(
    pool: workloads.Pool, rounds: int, *, first: int = 0
) -> collections.abc.Iterator[list[workloads.Run]]:
    """Release, plan and complete runs, a second for each round."""
    for number in range(first, first + rounds):
        now = 1.0 + number
        for job in list(pool.active.values()):
            workloads.release_due_occurrences(pool, job, UNIX_S + now, now)
        runs = _pool_fixtures.start_all(pool, now=now)
        yield runs
        for run in runs:
            workloads.end_run(
                pool, run, "done", "", now=now + 0.5, now_unix_s=UNIX_S + now
            )


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(
            _make_schedule(SMALL, occurrences=259_200), id="since-three-days"
        ),
        pytest.param(
            _make_schedule(
                SMALL, occurrences=10**9, first_unix_s=0.0, interval_s=0.001
            ),
            id="a-billion-since-1970",
        ),
        pytest.param(
            _make_schedule(SMALL, occurrences=10**9, interval_s=0.0),
            id="a-billion-at-once",
        ),
        pytest.param(
            _make_schedule(WIDE, occurrences=10**9, interval_s=0.0),
            id="a-billion-times-20000-tasks",
        ),
        pytest.param(
            _make_schedule(
                *(attrs.evolve(SMALL, count=78) for _ in range(256)),
                occurrences=10**9,
            ),
            id="a-billion-times-256-steps",
        ),
        pytest.param(_pool_fixtures.make_spec(WIDE), id="20000-tasks"),
        pytest.param(
            _pool_fixtures.make_spec(attrs.evolve(WIDE, gang=True)),
            id="a-gang-of-20000",
        ),
    ],
)
def test_an_idle_job_costs_no_more_than_its_next_tasks(
    spec: workloads.JobSpec,
) -> None:
    """Guards against owners that one accepted job stalls or kills."""
    pool = _pool_fixtures.make_pool(0)
    job = _add(pool, spec)
    for now in range(10):
        workloads.release_due_occurrences(pool, job, UNIX_S + now, now)
        workloads.make_plan(pool, now=float(now))
        workloads.list_waiting_tasks(pool, [job], now=float(now))
        workloads.count_waiting_tasks(pool, now=float(now))
    assert 0 < len(job.units) <= MAX_IDLE_UNITS
    assert len(job.steps) <= MAX_IDLE_STEPS
    assert workloads.estimate_progress_bytes(job) <= MAX_RECORD_BYTES
    waiting = workloads.count_waiting_tasks(pool, now=10.0)
    tasks = sum(step.count for step in spec.steps)
    due = min(spec.occurrences, job.occurrences_due + job.occurrences_held)
    assert sum(waiting.values()) == max(1, due) * tasks
    workloads.cancel_job(pool, job, UNIX_S)
    assert job.state == workloads.JobState.CANCELLED
    assert not pool.active


def test_many_wide_jobs_cost_no_more_than_their_next_tasks() -> None:
    """Guards against many middling jobs whose sum is as large."""
    pool = _pool_fixtures.make_pool(4)
    jobs = [
        _add(
            pool,
            _pool_fixtures.make_spec(
                attrs.evolve(SMALL, count=1_000), job_id=f"{number:016x}"
            ),
        )
        for number in range(500)
    ]
    for runs in _work(pool, 20):
        assert len(runs) == 16, "the service has room for 16 tasks"
    units = sum(len(job.units) for job in jobs)
    assert units <= len(jobs) * MAX_IDLE_UNITS / 5


@pytest.mark.parametrize(
    ("steps", "occurrences"),
    [
        pytest.param((SMALL,), 500, id="one-task"),
        pytest.param(
            (attrs.evolve(SMALL, count=3), attrs.evolve(SMALL, after=(0,))),
            100,
            id="steps-in-turn",
        ),
        pytest.param((attrs.evolve(SMALL, count=300),), 3, id="wide"),
        pytest.param(
            (attrs.evolve(SMALL, count=4, gang=True),), 50, id="gangs"
        ),
    ],
)
def test_an_overdue_schedule_is_worked_off_in_order_and_once(
    steps: tuple[workloads.StepSpec, ...], occurrences: int
) -> None:
    """Guards against occurrences that are left out, repeated or reordered."""
    pool = _pool_fixtures.make_pool(4)
    job = _add(pool, _make_schedule(*steps, occurrences=occurrences))
    started: list[str] = []
    first_starts: dict[int, int] = {}
    for number, runs in enumerate(_work(pool, 1_000)):
        started += [run.task for run in runs]
        for run in runs:
            first_starts.setdefault(run.unit.key[0], number)
        if not job.units:
            break
    tasks = occurrences * sum(step.count for step in steps)
    assert len(started) == len(set(started)) == tasks
    assert job.state == workloads.JobState.COMPLETE
    assert list(first_starts) == sorted(first_starts)
    assert not job.steps
    assert not job.advice


def test_a_backlog_does_not_hold_up_later_jobs() -> None:
    """Guards against a schedule whose lateness delays other callers' jobs."""
    pool = _pool_fixtures.make_pool(4)
    schedule = _add(pool, _make_schedule(SMALL, occurrences=259_200))
    waits = []
    later: list[tuple[float, workloads.Job]] = []
    for number, _ in enumerate(_work(pool, 60)):
        waits += [number - at for at, job in later if job.started]
        later = [pair for pair in later if not pair[1].started]
        later.append(
            (
                number,
                _add(
                    pool,
                    _pool_fixtures.make_spec(
                        SMALL, job_id=f"{number + 1:016x}"
                    ),
                    now=1.0 + number,
                ),
            )
        )
    # The tasks that were ready before it go first, four rounds of them.
    assert max(waits) <= 6
    # While the service is busy, at most eight of its tasks run at once.
    assert schedule.occurrences_due >= 60 * 7


def test_a_backlog_of_long_tasks_leaves_half_of_the_service() -> None:
    """Guards against overdue occurrences that take all workers for long."""
    pool = _pool_fixtures.make_pool(10)
    job = _add(pool, _make_schedule(SMALL, occurrences=259_200))
    for number in range(30):
        now = 1.0 + number
        workloads.release_due_occurrences(pool, job, UNIX_S + now, now)
        _pool_fixtures.start_all(pool, now=now)
    used = sum(each.used.cpu_millis for each in pool.workers.values())
    # The last release before the service is busy may be of 16 tasks.
    assert 20_000 <= used <= 20_000 + 16_000
    other = _add(pool, _pool_fixtures.make_spec(SMALL, job_id="b" * 16))
    workloads.make_plan(pool, now=100.0)
    runs = [run for unit in other.units.values() for run in unit.runs]
    assert runs


def test_a_schedule_in_time_runs_as_many_occurrences_as_fit() -> None:
    """Guards against a limit on overlapping occurrences that are in time."""
    pool = _pool_fixtures.make_pool(10)
    job = _add(
        pool,
        _make_schedule(SMALL, occurrences=10**9, first_unix_s=UNIX_S),
    )
    for number in range(39):
        now = float(number)
        workloads.release_due_occurrences(pool, job, UNIX_S + now, now)
        _pool_fixtures.start_all(pool, now=now)
        assert job.occurrences_due == number + 1
        assert job.occurrences_held == 0
    assert sum(len(each.runs) for each in pool.workers.values()) == 39


def _restore(job: workloads.Job, record: bytes) -> workloads.Job:
    """Return the job as the next owner restores it from its record."""
    pool = _pool_fixtures.make_pool(4)
    restored = _add(pool, job.spec)
    workloads.apply_progress(
        pool,
        restored,
        record,
        lease_until=10.0,
        now=0.0,
        now_unix_s=UNIX_S + 1_000.0,
    )
    return restored


@pytest.mark.parametrize(
    ("spec", "round_tasks"),
    [
        # A backlog runs eight tasks at once on a service that is busy.
        pytest.param(
            _make_schedule(SMALL, occurrences=10**9), 8, id="schedule"
        ),
        pytest.param(_pool_fixtures.make_spec(WIDE), 16, id="wide"),
    ],
)
def test_a_record_does_not_grow_with_what_is_done(
    spec: workloads.JobSpec, round_tasks: int
) -> None:
    """Guards against a job that outgrows the largest value of the store."""
    pool = _pool_fixtures.make_pool(4)
    job = _add(pool, spec)
    sizes = []
    done: set[str] = set()
    for runs in _work(pool, 1_000):
        done.update(run.task for run in runs)
        sizes.append(workloads.estimate_progress_bytes(job))
    assert len(done) >= 1_000 * round_tasks
    assert max(sizes) <= MAX_RECORD_BYTES
    record = workloads.encode_progress(job)
    assert len(record) <= workloads.estimate_progress_bytes(job)
    restored = _restore(job, record)
    assert len(restored.units) <= MAX_IDLE_UNITS
    again = set()
    pool = _pool_fixtures.make_pool(4)
    pool.jobs[spec.id] = pool.active[spec.id] = restored
    for runs in _work(pool, 10):
        again.update(run.task for run in runs)
    assert len(again) >= 10 * round_tasks
    assert not again & done, "a task that was done has started again"


@pytest.mark.parametrize("keep", [0, 5], ids=["all-done", "some-running"])
def test_the_record_of_a_former_release_is_restored(keep: int) -> None:
    """Guards against the loss of jobs that an earlier release has stored."""
    occurrences = 3_000
    rows = [
        [number, 0, 0, "done", 1, [], "", []]
        for number in range(occurrences - keep)
    ]
    rows += [
        [number, 0, 0, "active", 1, [], "", [[0, 1, "w0@1"]]]
        for number in range(occurrences - keep, occurrences)
    ]
    job = _add(
        _pool_fixtures.make_pool(4),
        _make_schedule(SMALL, occurrences=259_200),
    )
    restored = _restore(job, cbor2.dumps([1, True, rows]))
    assert restored.occurrences_due >= occurrences
    assert len(restored.units) <= MAX_IDLE_UNITS
    runs = [run for unit in restored.units.values() for run in unit.runs]
    assert len(runs) == keep
    assert not any(
        unit.key[0] < occurrences and not unit.runs
        for unit in restored.units.values()
    ), "an occurrence that was done is open again"


@pytest.mark.parametrize(
    "summary",
    [
        pytest.param([-1, [], []], id="released-below-0"),
        pytest.param([7, [], []], id="more-released-than-stated"),
        pytest.param([2, [2], []], id="open-but-not-released"),
        pytest.param([2, [0], [[1, 0, b"\x01"]]], id="finished-not-open"),
        pytest.param([2, [0], [[0, 0, b"\x04"]]], id="no-such-unit"),
        pytest.param([2, [0], [[0, 1, b"\x01"]]], id="no-such-step"),
        pytest.param([2, [0]], id="part-missing"),
        pytest.param([2, "x", []], id="wrong-type"),
        pytest.param([2, [1], []], id="unit-of-a-closed-occurrence"),
        pytest.param([2, [0], [[0, 0, b"\x01"]]], id="unit-is-finished"),
    ],
)
def test_a_summary_that_does_not_fit_its_job_is_refused(
    summary: list[object],
) -> None:
    """Guards against tasks that start again under a damaged record."""
    row = [0, 0, 0, "waiting", 1, [], "", []]
    job = _add(
        _pool_fixtures.make_pool(1),
        _make_schedule(attrs.evolve(SMALL, count=2), occurrences=5),
    )
    with pytest.raises(errors.ProtocolError):
        _restore(job, cbor2.dumps([2, True, [row], summary]))


def test_a_full_record_puts_off_further_tasks_of_its_job_alone() -> None:
    """Guards against a record that the store refuses for ever."""
    pool = _pool_fixtures.make_pool(100)
    pool.value_bytes = 20_000
    wide = _add(pool, _pool_fixtures.make_spec(WIDE))
    now = 1.0
    put_off = 0
    for number in range(40):
        plan = workloads.make_plan(pool, now=now + number, max_runs=20)
        put_off += plan.put_off["record"]
        for run in plan.runs:
            run.phase = workloads.Phase.START_SENT
            workloads.confirm_start(run, now=now + number)
    running = [run for unit in wide.units.values() for run in unit.runs]
    assert 100 < len(running) < 400
    assert len(workloads.encode_progress(wide)) <= pool.value_bytes
    assert put_off == 1
    reasons = workloads.explain_wait(pool, wide, now=now)
    assert reasons[workloads.WaitReason.BACKLOG] == 20_000 - len(wide.units)
    other = _add(pool, _pool_fixtures.make_spec(SMALL, job_id="b" * 16))
    workloads.make_plan(pool, now=50.0)
    assert other.units[(0, 0, 0)].runs
    for run in running:
        workloads.end_run(pool, run, "done", "", now=51.0, now_unix_s=UNIX_S)
    assert workloads.make_plan(pool, now=52.0).runs


def test_failures_of_a_task_that_lasts_do_not_add_up() -> None:
    """Guards against a record that grows for as long as a task fails."""
    pool = _pool_fixtures.make_pool(2)
    job = _add(
        pool, _pool_fixtures.make_spec(attrs.evolve(SMALL, lasting=True))
    )
    sizes = []
    for number in range(2_000):
        (run,) = _pool_fixtures.start_all(pool, now=float(number))
        workloads.end_run(
            pool, run, "failed", "", now=number + 0.5, now_unix_s=UNIX_S
        )
        for worker in pool.workers.values():
            worker.quarantined_until = 0.0
        sizes.append(len(workloads.encode_progress(job)))
    assert job.units[(0, 0, 0)].failures == 2_000
    assert max(sizes) <= 60


def test_a_late_answer_about_a_closed_occurrence_is_dropped() -> None:
    """Guards against advice that is kept for occurrences that are done."""
    pool = _pool_fixtures.make_pool(1)
    advice = workloads.Advice(decide_s=0.1, per_worker_s=0.0, validity_s=9.0)
    spec = _make_schedule(SMALL, occurrences=100)
    job = _add(
        pool,
        attrs.evolve(spec, queue=attrs.evolve(spec.queue, advice=advice)),
    )
    (query, *_) = workloads.make_plan(pool, now=1.0).queries
    workloads.record_query(query)
    tickets = {worker.report.id: "t" for worker in query.workers}
    workloads.record_query_result(query, tickets, now=1.1, retry_s=0.2)
    (run, *_) = _pool_fixtures.start_all(pool, now=1.2)
    assert run.unit.key[0] == query.occurrence
    workloads.end_run(pool, run, "done", "", now=2.0, now_unix_s=UNIX_S)
    assert not workloads.is_query_open(query)
    workloads.record_query_result(query, tickets, now=2.1, retry_s=0.2)
    assert query.occurrence not in {key[0] for key in job.advice}
