"""Workers that restart under their id: fencing tokens, leases and records."""

import math

import attrs
import cbor2
import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

UNIX_S = _pool_fixtures.UNIX_S
LONGEST_S = 10.0

# The longest lease on a clock that runs 2% slow, and the margin for rounding.
LONGEST_BOUND_S = LONGEST_S / 0.98 + 0.1


def _restart(pool: workloads.Pool, born_ms: int) -> workloads.Worker:
    """List the next incarnation of worker w0."""
    (*_, former) = workloads.list_incarnations(pool, "w0")
    report = attrs.evolve(former.report, born_ms=born_ms)
    return workloads.update_worker(pool, report, now=1.0, lease_until=0.0)


def _start_run(pool: workloads.Pool, *, listed: bool) -> workloads.Run:
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = _pool_fixtures.start_all(pool)
    if listed:
        row = _pool_fixtures.RunReport(task=run.task, run=run.number)
        _pool_fixtures.apply_reply(pool, run.worker_key, running=(row,))
    return run


@pytest.mark.parametrize(
    ("newest", "token"),
    [
        pytest.param(7, 0, id="no-transaction-since"),
        pytest.param(8, 8, id="after-a-transaction"),
    ],
)
def test_each_incarnation_gets_a_higher_fencing_token(
    newest: int, token: int
) -> None:
    """Guards against calls for an incarnation that the next one accepts."""
    pool = _pool_fixtures.make_pool(1)
    (former,) = pool.workers.values()
    assert workloads.assign_fencing_token(pool, former, 7)
    successor = _restart(pool, 2)
    assigned = workloads.assign_fencing_token(pool, successor, newest)
    assert (assigned, successor.fencing_token) == (bool(token), token)
    assert workloads.assign_fencing_token(pool, former, 9)
    assert former.fencing_token == 7
    assert workloads.is_outdated_token(pool, former, 7) == bool(token)


def test_a_worker_that_was_forgotten_gets_a_higher_fencing_token() -> None:
    """Guards against a token that an earlier incarnation was called with."""
    pool = _pool_fixtures.make_pool(2)
    former, _ = pool.workers.values()
    workloads.assign_fencing_token(pool, former, 7)
    workloads.remove_worker(pool, former)
    assert workloads.is_outdated_token(pool, former, 7)
    again = workloads.update_worker(
        pool, former.report, now=1.0, lease_until=0.0
    )
    assert not workloads.assign_fencing_token(pool, again, 7)
    assert workloads.assign_fencing_token(pool, again, 8)


def test_a_former_incarnation_that_answers_again_gets_a_new_token() -> None:
    """Guards against an owner that a late entry keeps off a live worker."""
    pool = _pool_fixtures.make_pool(1)
    (living,) = pool.workers.values()
    workloads.assign_fencing_token(pool, living, 7)
    late = _restart(pool, 2)
    workloads.assign_fencing_token(pool, late, 8)
    workloads.start_incarnation(pool, late, living.report.born_ms)
    assert living.fencing_token == 0
    assert workloads.assign_fencing_token(pool, living, 9)


@pytest.mark.parametrize(
    ("known_since", "ended"),
    [
        pytest.param(0.5, True, id="known-when-the-poll-was-sent"),
        pytest.param(1.5, False, id="learned-of-since"),
    ],
)
@pytest.mark.parametrize(
    "born_ms",
    [pytest.param(2, id="born-later"), pytest.param(0, id="clock-jumped")],
)
def test_a_poll_reply_decides_which_incarnation_lives(
    known_since: float, ended: bool, born_ms: int
) -> None:
    """Guards against an order by the time of day, which may jump back."""
    pool = _pool_fixtures.make_pool(1)
    (other,) = pool.workers.values()
    other.known_since = known_since
    living = _restart(pool, born_ms)
    other.listed = True
    found = workloads.ended_incarnations(pool, living, polled_at=1.0)
    assert found == ([other] if ended else [])


@pytest.mark.parametrize(
    ("listed", "now", "expired"),
    [
        pytest.param(True, 3.0, False, id="listed-before-its-lease-ends"),
        pytest.param(True, 3.3, True, id="listed-after-its-lease"),
        pytest.param(False, 3.3, False, id="may-run-in-a-later-incarnation"),
        pytest.param(False, 10.8, False, id="within-the-longest-lease"),
        pytest.param(False, 10.9, True, id="after-the-longest-lease"),
    ],
)
def test_a_run_that_no_reply_has_listed_may_hold_the_longest_lease(
    listed: bool, now: float, expired: bool
) -> None:
    """Guards against a second run while a restarted worker runs the first.

    The deadline of a call for the former incarnation lies far ahead of the
    new one's clock, which grants its longest lease.
    """
    pool = _pool_fixtures.make_pool(1)
    run = _start_run(pool, listed=listed)
    worker = pool.workers[run.worker_key]
    worker.lease_until = 3.25
    workloads.record_sent_lease(pool, worker, now=0.1)
    ended = workloads.expire_worker_lease(
        pool, worker, now=now, now_unix_s=UNIX_S
    )
    assert bool(ended) == expired


def _start_uncertain_run(
    pool: workloads.Pool, advice: workloads.Advice | None
) -> workloads.Run:
    """Start a run whose start is not answered."""
    job = _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = workloads.make_plan(pool, now=0.1).runs
    # It was planned without advice, for which it would have waited.
    queue = attrs.evolve(job.spec.queue, advice=advice)
    job.spec = attrs.evolve(job.spec, queue=queue)
    workloads.begin_start(pool, run, now=0.1)
    workloads.record_unanswered_start(run)
    return run


@pytest.mark.parametrize(
    ("validity_s", "late_s"),
    [
        pytest.param(None, 15.0, id="queue-without-advice"),
        pytest.param(2.0, 2.0 / 0.98, id="ticket-that-expires"),
        pytest.param(60.0, 15.0, id="ticket-that-outlasts-the-call"),
    ],
)
@pytest.mark.parametrize(
    "way",
    [
        pytest.param("silent", id="its-worker-is-silent"),
        pytest.param("moved", id="its-worker-has-restarted"),
        pytest.param("restored", id="its-owner-has-changed"),
    ],
)
def test_an_unanswered_start_may_be_executed_late(
    way: str, validity_s: float | None, late_s: float
) -> None:
    """Guards against a second run before the first one has even begun."""
    advice = None
    if validity_s is not None:
        advice = workloads.Advice(
            decide_s=0.02, per_worker_s=0.0, validity_s=validity_s
        )
    pool = _pool_fixtures.make_pool(1)
    run = _start_uncertain_run(pool, advice)
    worker = pool.workers[run.worker_key]
    workloads.record_sent_lease(pool, worker, now=0.1)
    until = 0.1 + workloads.CALL_S + LONGEST_BOUND_S + late_s
    if way == "moved":
        workloads.start_incarnation(pool, worker, 2)
    elif way == "restored":
        pool, run = _restore(run.job, workloads.encode_progress(run.job))
        until = 30.0 + late_s
    silent = pool.workers[run.worker_key]
    for now in (until - 0.05, until + 0.05):
        ended = workloads.expire_worker_lease(
            pool, silent, now=now, now_unix_s=UNIX_S
        )
        assert ended == ([run] if now > until else [])


def test_the_owner_after_the_next_knows_of_an_unanswered_start() -> None:
    """Guards against a record that the next owner stores without it."""
    pool = _pool_fixtures.make_pool(1)
    run = _start_uncertain_run(pool, None)
    for _ in range(2):
        pool, run = _restore(run.job, workloads.encode_progress(run.job))
    assert run.unanswered
    (silent,) = pool.workers.values()
    until = 30.0 + 15.0
    for now in (until - 0.05, until + 0.05):
        ended = workloads.expire_worker_lease(
            pool, silent, now=now, now_unix_s=UNIX_S
        )
        assert ended == ([run] if now > until else [])


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param("listed", id="listed-by-a-poll"),
        pytest.param("never", id="stop-answered"),
    ],
)
def test_an_unanswered_start_that_is_settled_costs_no_wait(
    answer: str,
) -> None:
    """Guards against tasks that wait for starts that cannot be late."""
    pool = _pool_fixtures.make_pool(1)
    run = _start_uncertain_run(pool, None)
    worker = pool.workers[run.worker_key]
    workloads.record_sent_lease(pool, worker, now=0.1)
    running = ()
    if answer == "listed":
        running = (_pool_fixtures.RunReport(task=run.task, run=run.number),)
    else:
        workloads.record_stop_answer(run, worker, now=0.5)
    completions = _pool_fixtures.apply_reply(pool, worker.key, running=running)
    assert [result for _, result in completions] == (
        [] if answer == "listed" else ["never"]
    )
    assert not workloads.expire_worker_lease(
        pool, worker, now=worker.lease_until - 0.01, now_unix_s=UNIX_S
    )
    workloads.expire_worker_lease(
        pool, worker, now=worker.lease_until, now_unix_s=UNIX_S
    )
    assert not run.unit.runs
    assert worker.lease_until < 3.0


@pytest.mark.parametrize(
    ("clock_ms", "earlier_until", "until"),
    [
        pytest.param(1150, 0.0, 0.3 + 2.47 / 0.98 + 0.1, id="known-clock"),
        pytest.param(2_000, 0.0, 0.3 + 1.62 / 0.98 + 0.1, id="higher-clock"),
        pytest.param(-(10**6), 0.0, 10.8, id="lower-clock"),
        pytest.param(1150, 5.0, 5.0, id="others-have-called-the-worker"),
        pytest.param(1150, math.inf, 10.8, id="worker-has-restarted"),
        pytest.param(None, 0.0, 10.8, id="answer-without-a-clock"),
    ],
)
def test_the_clock_of_an_answer_bounds_the_lease_of_its_run(
    clock_ms: int | None, earlier_until: float, until: float
) -> None:
    """Guards against tasks that count as lost beside a lost worker.

    An incarnation that the owner does not know of may have answered; its clock
    tells what the deadlines of the owner's calls mean there.
    """
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = workloads.make_plan(pool, now=0.1).runs
    worker = workloads.begin_start(pool, run, now=0.1)
    workloads.record_sent_lease(pool, worker, now=0.1)
    workloads.record_lease(worker, 3620, now=0.12)
    workloads.confirm_start(run, now=0.3, clock_ms=clock_ms)
    worker.earlier_leases_until = earlier_until
    worker.lease_until = 0.0
    for now in (until - 0.05, until + 0.05):
        ended = workloads.expire_worker_lease(
            pool, worker, now=now, now_unix_s=UNIX_S
        )
        assert ended == ([run] if now > until else [])


@pytest.mark.parametrize(
    ("now", "former_calls_until", "called", "until"),
    [
        pytest.param(50.0, -math.inf, False, 50.0, id="new-worker"),
        pytest.param(50.0, 53.0, False, 53.0, id="former-owner-goes-on"),
        pytest.param(50.0, 53.0, True, math.inf, id="called-before"),
    ],
)
def test_others_may_have_called_a_worker(
    now: float, former_calls_until: float, called: bool, until: float
) -> None:
    """Guards against a lease of which this owner's calls tell nothing."""
    pool = _pool_fixtures.make_pool(1)
    (known,) = pool.workers.values()
    report = attrs.evolve(known.report, id="w9")
    pool.former_calls_until = former_calls_until
    if called:
        pool.renewals["w9"] = 40.0
    worker = workloads.update_worker(pool, report, now=now, lease_until=0.0)
    assert worker.earlier_leases_until == pytest.approx(
        until + 15.0 + LONGEST_BOUND_S
    )
    successor = attrs.evolve(report, born_ms=2)
    later = workloads.update_worker(pool, successor, now=now, lease_until=0.0)
    assert worker.earlier_leases_until == math.inf
    assert later.earlier_leases_until == math.inf


def test_a_start_in_flight_may_be_executed_late() -> None:
    """Guards against an owner that was paused while a start was under way."""
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step())
    (run,) = workloads.make_plan(pool, now=0.1).runs
    worker = workloads.begin_start(pool, run, now=0.1)
    workloads.record_sent_lease(pool, worker, now=0.1)
    until = 0.1 + workloads.CALL_S + LONGEST_BOUND_S + 15.0
    for now in (until - 0.05, until + 0.05):
        ended = workloads.expire_worker_lease(
            pool, worker, now=now, now_unix_s=UNIX_S
        )
        assert ended == ([run] if now > until else [])


@pytest.mark.parametrize(
    ("renewed_at", "former_calls_until", "inherits"),
    [
        pytest.param(None, None, False, id="first-of-its-id"),
        pytest.param(99.0, None, True, id="former-one-was-called"),
        pytest.param(70.0, None, False, id="called-long-ago"),
        pytest.param(None, 99.0, True, id="after-a-takeover"),
        pytest.param(None, 70.0, False, id="long-after-a-takeover"),
    ],
)
@pytest.mark.parametrize(
    "lease_known",
    [pytest.param(True, id="known"), pytest.param(False, id="unknown")],
)
def test_the_first_reply_of_an_incarnation_bounds_an_inherited_lease(
    renewed_at: float | None,
    former_calls_until: float | None,
    inherits: bool,
    lease_known: bool,
) -> None:
    """Guards against a lease reckoned shorter than the worker holds it.

    Before it has seen the new fencing token, an incarnation may execute calls
    for its former one.
    """
    pool = _pool_fixtures.make_pool(1)
    run = _start_run(pool, listed=lease_known)
    worker = pool.workers[run.worker_key]
    worker.last_reply_at = 0.0
    worker.lease_until = 90.0
    if renewed_at is not None:
        pool.renewals["w0"] = renewed_at
    if former_calls_until is not None:
        pool.former_calls_until = former_calls_until
    row = _pool_fixtures.RunReport(task=run.task, run=run.number)
    _pool_fixtures.apply_reply(
        pool, run.worker_key, running=(row,), sent_at=100.0
    )
    until = 90.0
    if inherits and not lease_known:
        until = 100.01 + LONGEST_BOUND_S
    assert worker.lease_until == pytest.approx(until, abs=0.001)


@pytest.mark.parametrize(
    ("listed", "acknowledged"),
    [
        pytest.param(True, 3, id="listed"),
        pytest.param(False, 0, id="may-have-reached-a-new-incarnation"),
    ],
)
def test_nothing_is_acknowledged_while_a_start_is_not_listed(
    listed: bool, acknowledged: int
) -> None:
    """Guards against completions of a new incarnation that nobody has read."""
    pool = _pool_fixtures.make_pool(1)
    run = _start_run(pool, listed=listed)
    worker = pool.workers[run.worker_key]
    worker.stored_completion = 3
    worker.lists_completions = True
    assert workloads.acknowledged_completion(worker) == acknowledged
    assert workloads.withholds_acknowledgement(worker) is not listed


def _restore(
    job: workloads.Job, record: bytes
) -> tuple[workloads.Pool, workloads.Run]:
    pool = _pool_fixtures.make_pool(0)
    restored = workloads.add_job(pool, job.spec, now=0.0, now_unix_s=UNIX_S)
    workloads.apply_progress(
        pool,
        restored,
        record,
        lease_until=20.0,
        unlocated_lease_until=30.0,
        now=5.0,
        now_unix_s=UNIX_S,
    )
    (unit,) = restored.units.values()
    (run,) = unit.runs
    return pool, run


@pytest.mark.parametrize(
    ("listed_s", "inherited_until", "until"),
    [
        pytest.param(None, 0.0, 45.0, id="start-not-listed"),
        pytest.param(1.0, 0.0, 45.0, id="listed-only-just"),
        pytest.param(5.0, 50.0, 45.0, id="worker-inherited-a-lease"),
        pytest.param(5.0, 0.0, 20.0, id="lease-known"),
    ],
)
def test_a_new_owner_waits_for_a_late_start_unless_a_lease_is_known(
    listed_s: float | None, inherited_until: float, until: float
) -> None:
    """Guards against a second run after a change of owner behind a cut.

    The former owner may have ended before a start without an answer, which is
    executed up to 15 s late and granted the longest lease then.
    """
    pool = _pool_fixtures.make_pool(1)
    run = _start_run(pool, listed=False)
    worker = pool.workers[run.worker_key]
    worker.inherited_lease_until = inherited_until
    run.job.dirty = False
    if listed_s is not None:
        row = _pool_fixtures.RunReport(task=run.task, run=run.number)
        _pool_fixtures.apply_reply(
            pool, worker.key, running=(row,), sent_at=0.1 + listed_s
        )
    # The next owner can only tell from the record.
    assert run.job.dirty == (until == 20.0)
    successor, restored = _restore(run.job, workloads.encode_progress(run.job))
    (silent,) = successor.workers.values()
    for now in (until - 0.1, until + 0.1):
        ended = workloads.expire_worker_lease(
            successor, silent, now=now, now_unix_s=UNIX_S
        )
        assert ended == ([restored] if now > until else [])


def test_a_record_without_leases_is_read_as_if_none_were_known() -> None:
    """Guards against records of the former release that cannot be read."""
    pool = _pool_fixtures.make_pool(1)
    run = _start_run(pool, listed=True)
    run.lease_known = True
    version, started, rows = cbor2.loads(workloads.encode_progress(run.job))
    assert len(rows[0]) == 10
    former = cbor2.dumps([version, started, [row[:8] for row in rows]])
    _, restored = _restore(run.job, former)
    assert not restored.located
    assert restored.unanswered


@pytest.mark.parametrize(
    "how",
    [
        pytest.param("moved", id="worker-restarted"),
        pytest.param("restored", id="owner-changed"),
    ],
)
def test_the_speed_of_a_filler_is_sent_anew(how: str) -> None:
    """Guards against fillers that stay throttled and count as stalled.

    A throttle command of a former owner, or for a former incarnation, may
    have taken effect.
    """
    pool = _pool_fixtures.make_pool(1)
    _pool_fixtures.submit(pool, _pool_fixtures.make_step(filler=True))
    (run,) = _pool_fixtures.start_all(pool)
    if how == "moved":
        former = pool.workers[run.worker_key]
        workloads.start_incarnation(pool, former, 2)
    else:
        pool, run = _restore(run.job, workloads.encode_progress(run.job))
    row = _pool_fixtures.RunReport(task=run.task, run=run.number)
    _pool_fixtures.apply_reply(
        pool, run.worker_key, running=(row,), sent_at=6.0
    )
    worker = pool.workers[run.worker_key]
    assert workloads.throttle_fillers(worker) == [run]
