"""Waits of tasks that last, beside much room and after a single fault."""

import asyncio
import collections.abc
import typing

import pytest

from chestnuttide.node.tests import _restart_bed
from chestnuttide.node.tests import _restarting_worker
from chestnuttide import workloads

# The platform counts a task that lasts as lost if it does not run for 3 s,
# after 4 s more without any disturbance.
CALM_S = 4.0
LOST_S = 3.0

# Figures of the deployment with the slowest advisor. It allows three workers
# of ten.
ADVICE = workloads.Advice(decide_s=0.728, per_worker_s=0.0104, validity_s=2.0)
ALLOWED_OF_TEN = 3
LONGEST_LEASE_S = 6.0

# Workers of a service with 3.3 of them an instance.
WORKERS = pytest.mark.parametrize(
    "workers",
    [
        pytest.param(33, id="10-instances"),
        pytest.param(330, id="100-instances"),
        pytest.param(1000, id="300-instances"),
        pytest.param(3300, id="1000-instances"),
    ],
)

NEVER_ENDS_S = 10_000.0


def _planned_worker(bed: _restart_bed.Bed) -> _restarting_worker.Worker | None:
    """Return the worker that the owner has chosen for a run."""
    for worker in bed.owner.pool.workers.values():
        if worker.runs:
            return bed.world.workers[worker.report.id]
    return None


async def _lose_before_start(bed: _restart_bed.Bed, task: str) -> None:
    assert await _restart_bed.until(lambda: _planned_worker(bed), 5.0)
    assert not _restart_bed.runs_of(bed, task)
    _restarting_worker.crash(bed.world, _planned_worker(bed))


async def _lose_before_answer(bed: _restart_bed.Bed, task: str) -> None:
    assert await _restart_bed.until(
        lambda: _restart_bed.runs_of(bed, task), 5.0
    )
    _restarting_worker.crash(bed.world, _planned_worker(bed))


async def _lose_later(bed: _restart_bed.Bed, task: str) -> None:
    assert await _restart_bed.until(
        lambda: _restart_bed.runs_of(bed, task), 5.0
    )
    await asyncio.sleep(6.0)
    _restarting_worker.crash(bed.world, _planned_worker(bed))


async def _lose_with_owner(bed: _restart_bed.Bed, task: str) -> None:
    await _lose_later(bed, task)
    await _restart_bed.take_over(bed, stopped=False)


async def _refuse_starts(bed: _restart_bed.Bed, task: str) -> None:
    assert await _restart_bed.until(lambda: _planned_worker(bed), 5.0)
    refusing = _planned_worker(bed)

    def fate(
        kind: str,
        worker: _restarting_worker.Worker,
        call: dict[str, object],
    ) -> _restarting_worker.Fate:
        if kind == "start" and worker is refusing:
            return _restarting_worker.Fate(status=503)
        return _restarting_worker.ANSWERED

    bed.world.fate = fate


@WORKERS
@pytest.mark.parametrize(
    "inject",
    [
        pytest.param(_lose_before_start, id="lost-before-the-start"),
        pytest.param(_lose_before_answer, id="lost-before-the-answer"),
        pytest.param(_lose_later, id="lost-while-it-runs"),
        pytest.param(_lose_with_owner, id="lost-with-the-owner"),
        pytest.param(_refuse_starts, id="refuses-starts"),
    ],
)
def test_a_task_that_lasts_runs_within_the_rule(
    monkeypatch: pytest.MonkeyPatch,
    workers: int,
    inject: collections.abc.Callable[
        [_restart_bed.Bed, str], typing.Awaitable[None]
    ],
) -> None:
    """Guards against a task that waits although there is room twice over."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        for number, worker in enumerate(bed.world.workers.values()):
            if number % 10 >= ALLOWED_OF_TEN:
                bed.disallowed.add(worker.id)
            _restart_bed.list_worker(bed, worker)
        await asyncio.sleep(3.0)
        task = _restart_bed.submit(
            bed, 1, NEVER_ENDS_S, advice=ADVICE, lasting=True
        )
        await inject(bed, task)
        injected_at = bed.world.loop.time()
        assert await _restart_bed.until(
            lambda: any(
                run.started_at >= injected_at
                for run in _restart_bed.runs_of(bed, task)
            ),
            CALM_S + LOST_S,
        )

    _restart_bed.run(
        monkeypatch,
        scenario,
        to_the_end=False,
        longest_lease_s=LONGEST_LEASE_S,
        count=workers,
    )
