"""What single tasks wait for, as operators see it."""

import collections.abc

import attrs
import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

ADVICE = workloads.Advice(decide_s=0.02, per_worker_s=0.001, validity_s=2.0)
NOW = 10.0
WORKERS = ("w0@1", "w1@1")
JOB = "0" * 15 + "a"
OTHER = "0" * 15 + "b"

_Setup = collections.abc.Callable[[workloads.Pool, workloads.Job], None]


def _unit(job: workloads.Job) -> workloads.Unit:
    return job.units[(0, 0, 0)]


def _fill(pool: workloads.Pool, *keys: str) -> None:
    """Leave no room on workers, on all by default."""
    for key in keys or WORKERS:
        worker = pool.workers[key]
        worker.used = worker.report.capacity


def _silence(pool: workloads.Pool, *keys: str) -> None:
    for key in keys:
        pool.workers[key].failed_polls = 1


def _advise(
    job: workloads.Job,
    *,
    allowed: dict[str, bool] | None = None,
    ticket_until: float = 0.0,
    in_flight: tuple[str, ...] = (),
    retry_at: float = 0.0,
) -> None:
    job.advice[(0, 0)] = workloads.StepAdvice(
        allowed=allowed or {},
        tickets={
            key: ("t", ticket_until)
            for key, good in (allowed or {}).items()
            if good and ticket_until
        },
        in_flight=set(in_flight),
        retry_at=retry_at,
    )


def _crash(job: workloads.Job, *suspects: int) -> None:
    for number, count in enumerate(suspects, start=1):
        _unit(job).crashes[number] = workloads.Crash(
            worker_key=f"gone@{number}", index=0, suspects=count
        )


def _reserve(pool: workloads.Pool, holder: str) -> None:
    for key in WORKERS:
        worker = pool.workers[key]
        pool.rounds.reserved[key] = worker.report.capacity
        pool.rounds.holders[key] = {holder}


def _keep_free(pool: workloads.Pool) -> None:
    for key in WORKERS:
        pool.workers[key].kept_free_until = NOW + 1.0


def _plan(pool: workloads.Pool) -> workloads.Run:
    (run,) = workloads.make_plan(pool, now=0.1).runs
    return run


def _start(pool: workloads.Pool, phase: workloads.Phase) -> None:
    run = _plan(pool)
    run.recorded, run.phase, run.start_sent_at = True, phase, 9.0
    worker = pool.workers[run.worker_key]
    worker.failed_polls, worker.last_reply_at = 1, 4.0
    worker.lease_until = 12.5


def _set_aside(pool: workloads.Pool, job: workloads.Job) -> None:
    del pool.active[job.spec.id]


def _own_cap(pool: workloads.Pool, job: workloads.Job, name: str) -> None:
    job.spec = attrs.evolve(job.spec, workspace=name)
    pool.capped_units = {_unit(job)}


def _share(pool: workloads.Pool, job: workloads.Job) -> None:
    job.spec = attrs.evolve(job.spec, workspace="free")
    pool.over_share = {"free"}
    _fill(pool)


def _change_step(job: workloads.Job, **fields: object) -> None:
    step = attrs.evolve(job.spec.steps[0], **fields)
    job.spec = attrs.evolve(job.spec, steps=(step,))


def _become_ordinary(job: workloads.Job) -> None:
    """Make a job of the least urgent queue, whose task does not last."""
    _change_step(job, lasting=False)
    queue = attrs.evolve(job.spec.queue, priority=9)
    job.spec = attrs.evolve(job.spec, queue=queue)


def _become_gang(job: workloads.Job, count: int) -> None:
    _change_step(job, gang=True, count=count)
    job.units[(0, 0, 0)].indexes = tuple(range(count))


CAPS = {
    "lent": workloads.CapWait(silent="s2 has 750/750/750, heard never"),
    "free": workloads.CapWait(
        head_key=(OTHER, (0, 0, 0)), parts="250/250/250"
    ),
}

# Without advice: what is set up, the reason, and a part of the detail.
WITHOUT_ADVICE: dict[str, tuple[_Setup, str, str]] = {
    "too-large-for-what-is-free": (
        lambda pool, job: _fill(pool),
        "capacity",
        "2 are suited, none has room",
    ),
    "room-on-silent-workers-only": (
        lambda pool, job: (_fill(pool, "w0@1"), _silence(pool, "w1@1")),
        "worker",
        "room on unusable workers: 1 silent",
    ),
    "room-on-a-quarantined-worker": (
        lambda pool, job: (
            _fill(pool, "w0@1"),
            setattr(pool.workers["w1@1"], "quarantined_until", NOW + 1),
        ),
        "worker",
        "1 quarantined",
    ),
    "no-worker-is-usable": (
        lambda pool, job: _silence(pool, *WORKERS),
        "worker",
        "none is usable: 2 silent",
    ),
    "room-reserved-for-another": (
        lambda pool, job: _reserve(pool, OTHER),
        "reserved",
        f"is reserved for {OTHER}",
    ),
    "room-reserved-for-itself": (
        lambda pool, job: _reserve(pool, JOB),
        "turn",
        "2 workers have room",
    ),
    "room-kept-for-trials": (
        lambda pool, job: _keep_free(pool),
        "reserved",
        "kept for trials",
    ),
    "room-and-no-cause": (
        lambda pool, job: None,
        "turn",
        "last round 10.00 s ago",
    ),
    "room-kept-for-urgent-work": (
        lambda pool, job: (
            _become_ordinary(job),
            setattr(pool.rounds, "spare_cpu_millis", 500),
        ),
        "reserved",
        "kept for urgent work",
    ),
    "room-for-a-part-of-a-gang": (
        lambda pool, job: _become_gang(job, 9),
        "capacity",
        "room for 8 of 9 members",
    ),
    "own-delay": (
        lambda pool, job: setattr(_unit(job), "not_before", NOW + 0.2),
        "delay",
        "for 0.20 s",
    ),
    "suspected": (
        lambda pool, job: (_crash(job, 2), _fill(pool)),
        "trial",
        "risk 0.50 after 1 crashes; capacity",
    ),
    "to-be-given-up": (
        lambda pool, job: _crash(job, 1, 1),
        "verdict",
        "2 crashes",
    ),
    "cap": (
        lambda pool, job: _own_cap(pool, job, "free"),
        "cap",
        "may use 250/250/250 thousandths; behind",
    ),
    "part-of-the-cap-with-a-silent-owner": (
        lambda pool, job: _own_cap(pool, job, "lent"),
        "lent",
        "s2 has 750/750/750, heard never",
    ),
    "share": (_share, "share", "free is over its share"),
    "job-set-aside": (_set_aside, "set_aside", "after a fault"),
    "job-not-stored": (
        lambda pool, job: (setattr(job, "accepted", False), _plan(pool)),
        "record",
        "its job is not stored",
    ),
    "run-not-stored": (
        lambda pool, job: _plan(pool),
        "record",
        "its record is not stored",
    ),
    "start-not-sent": (
        lambda pool, job: setattr(_plan(pool), "recorded", True),
        "start",
        "recorded, start not sent",
    ),
    "start-not-answered": (
        lambda pool, job: _start(pool, workloads.Phase.UNCERTAIN),
        "uncertain",
        "start sent 1.00 s ago, no answer; last reply 6.00 s ago;"
        " its lease runs for 2.50 s",
    ),
    "running-on-a-silent-worker": (
        lambda pool, job: _start(pool, workloads.Phase.RUNNING),
        "uncertain",
        "worker silent",
    ),
    "active-without-a-run": (
        lambda pool, job: workloads.drop_run(pool, _plan(pool)),
        "no_run",
        "active without a run",
    ),
}

# The same with advice.
WITH_ADVICE: dict[str, tuple[_Setup, str, str]] = {
    "not-asked": (
        lambda pool, job: None,
        "advice",
        "of 2 suited workers; no query in flight, 0 workers assessed",
    ),
    "query-in-flight": (
        lambda pool, job: _advise(job, in_flight=WORKERS),
        "advice",
        "query about 2 workers in flight",
    ),
    "query-failed": (
        lambda pool, job: _advise(job, retry_at=NOW + 0.5),
        "advice",
        "query failed, next in 0.50 s",
    ),
    "none-allowed": (
        lambda pool, job: _advise(job, allowed=dict.fromkeys(WORKERS, False)),
        "advice",
        "none is allowed; no query in flight, 2 workers assessed",
    ),
    "ticket-expired": (
        lambda pool, job: _advise(job, allowed={"w0@1": True}, ticket_until=9),
        "ticket",
        "1 workers have room",
    ),
    "allowed-worker-is-full": (
        lambda pool, job: (
            _advise(job, allowed={"w0@1": True}, ticket_until=9),
            _fill(pool, "w0@1"),
        ),
        "capacity",
        "1 workers allowed",
    ),
    "allowed-worker-is-silent": (
        lambda pool, job: (
            _advise(job, allowed={"w0@1": True}, ticket_until=NOW + 1),
            _silence(pool, "w0@1"),
        ),
        "worker",
        "1 silent",
    ),
    "worker-with-a-ticket-is-full": (
        lambda pool, job: (
            _advise(job, allowed={"w0@1": True}, ticket_until=NOW + 1),
            _fill(pool, "w0@1"),
        ),
        "capacity",
        "1 workers with a ticket",
    ),
}


@pytest.mark.parametrize(
    ("advice", "set_up", "reason", "detail"),
    [
        pytest.param(advice, *case, id=name)
        for advice, cases in ((None, WITHOUT_ADVICE), (ADVICE, WITH_ADVICE))
        for name, case in cases.items()
    ],
)
def test_each_task_is_listed_with_what_it_waits_for(
    advice: workloads.Advice | None, set_up: _Setup, reason: str, detail: str
) -> None:
    """Guards against lost work whose cause the logs cannot show."""
    pool = _pool_fixtures.make_pool(2)
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(lasting=True),
        job_id=JOB,
        advice=advice,
    )
    set_up(pool, job)
    tasks = workloads.list_waiting_tasks(pool, [job], now=NOW, caps=CAPS)
    (task,) = (*tasks.lasting, *tasks.others)
    assert (task.task, task.reason) == (f"{JOB}.0.0.0", reason)
    assert detail in task.detail


@pytest.mark.parametrize(
    ("phase", "confirmed_at", "seconds"),
    [
        pytest.param("running", 3.0, 2.0, id="ran-until-8-s"),
        pytest.param("ordered", 0.0, 10.0, id="start-was-rejected"),
    ],
)
def test_a_wait_begins_with_the_end_of_the_last_confirmed_run(
    phase: str, confirmed_at: float, seconds: float
) -> None:
    """Guards against waits that seem short because starts fail."""
    pool = _pool_fixtures.make_pool(2)
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step(lasting=True))
    run = _plan(pool)
    run.phase, run.confirmed_at = workloads.Phase(phase), confirmed_at
    assert workloads.longest_lasting_wait_s(pool, [job], now=8.0) == (
        0.0 if confirmed_at else 8.0
    )
    workloads.end_run(pool, run, "lost", "", now=8.0, now_unix_s=0.0)
    (task,) = workloads.list_waiting_tasks(pool, [job], now=NOW).lasting
    assert task.seconds == seconds
    assert (
        workloads.longest_lasting_wait_s(pool, [job], now=NOW) == task.seconds
    )


def test_a_report_is_bounded_and_begins_with_the_longest_waits() -> None:
    """Guards against a report that grows with the backlog."""
    pool = _pool_fixtures.make_pool(0)
    jobs = [
        _pool_fixtures.submit(
            pool,
            _pool_fixtures.make_step(count=50, lasting=number % 2 == 0),
            _pool_fixtures.make_step(after=(0,)),
            job_id=f"{number:016x}",
            now=float(number),
        )
        for number in range(10)
    ]
    tasks = workloads.list_waiting_tasks(pool, jobs, now=NOW)
    assert [each.seconds for each in tasks.lasting] == [10.0] * 20
    assert [each.seconds for each in tasks.others] == [9.0] * 20
    late = workloads.list_waiting_tasks(pool, jobs[8:], now=NOW)
    assert (len(late.lasting), len(late.others)) == (20, 0)


def test_a_step_waits_from_the_end_of_those_before_it() -> None:
    """Guards against waits that include the run time of earlier steps."""
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(),
        _pool_fixtures.make_step(after=(0,), lasting=True),
    )
    (run,) = _pool_fixtures.start_all(pool)
    workloads.end_run(pool, run, "done", "", now=8.0, now_unix_s=0.0)
    (task,) = workloads.list_waiting_tasks(pool, [job], now=NOW).lasting
    assert task.seconds == 2.0


@pytest.mark.parametrize(
    ("accepted_unix_s", "planned_at", "later_starts"),
    [
        pytest.param(105.0, 8.0, 3, id="later-job-starts-first"),
        pytest.param(95.0, 8.0, 0, id="earlier-job"),
        pytest.param(105.0, 4.0, 0, id="before-the-wait"),
    ],
)
def test_starts_of_later_jobs_are_counted(
    accepted_unix_s: float, planned_at: float, later_starts: int
) -> None:
    """Guards against later work that unseen starts before a waiting task."""
    pool = _pool_fixtures.make_pool(1)
    first = _pool_fixtures.submit(
        pool,
        _pool_fixtures.make_step(lasting=True, label="elsewhere"),
        job_id=JOB,
        now=6.0,
    )
    first.spec = attrs.evolve(first.spec, accepted_unix_s=100.0)
    second = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=3), job_id=OTHER
    )
    second.spec = attrs.evolve(second.spec, accepted_unix_s=accepted_unix_s)
    assert len(workloads.make_plan(pool, now=planned_at).runs) == 3
    (task,) = workloads.list_waiting_tasks(pool, [first], now=NOW).lasting
    assert task.later_starts == later_starts
