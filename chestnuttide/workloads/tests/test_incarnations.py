"""Workers that restart under their id: fencing tokens, leases and records."""

import attrs
import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

UNIX_S = _pool_fixtures.UNIX_S


def _restart(pool: workloads.Pool, born_ms: int) -> workloads.Worker:
    """List the next incarnation of worker w0."""
    (*_, former) = workloads.list_incarnations(pool, "w0")
    report = attrs.evolve(former.report, born_ms=born_ms)
    return workloads.update_worker(pool, report, now=1.0, lease_until=0.0)


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
