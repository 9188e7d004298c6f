"""Waits of tasks that last, beside much room and after a single fault."""

import asyncio
import collections.abc
import math
import typing

import pytest

from chestnuttide.node.tests import _advisor_peers
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

_Inject: typing.TypeAlias = collections.abc.Callable[
    [_advisor_peers.Fleet], typing.Awaitable[None]
]


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


STOP_PERIOD_S = 0.82
MAX_STOPS = 17
WORKERS_OF_INSTANCE = 3.3


def _start_series(
    fleet: _advisor_peers.Fleet,
    choose: collections.abc.Callable[[_advisor_peers.Fleet], str],
) -> None:
    async def stop_in_turn() -> None:
        for _ in range(min(MAX_STOPS, len(fleet.instances) // 2)):
            _advisor_peers.stop(fleet, choose(fleet))
            await asyncio.sleep(STOP_PERIOD_S)

    _restart_bed.start_loop(fleet.bed, stop_in_turn())


def _stop_peers(
    end: collections.abc.Callable[[_advisor_peers.Fleet], None],
    choose: collections.abc.Callable[[_advisor_peers.Fleet], str],
) -> _Inject:
    async def stop_peers(fleet: _advisor_peers.Fleet) -> None:
        _start_series(fleet, choose)
        await asyncio.sleep(3.0)
        end(fleet)

    return stop_peers


def _stop_owners(
    end: collections.abc.Callable[[_advisor_peers.Fleet], None],
    *,
    count: int,
    owned_s: float = 0.7,
) -> _Inject:
    async def stop_owners(fleet: _advisor_peers.Fleet) -> None:
        end(fleet)

        async def stop_in_turn() -> None:
            for number in range(1, count + 1):
                await asyncio.sleep(owned_s)
                await _advisor_peers.stop_owner(fleet, f"i{number:03}")

        _restart_bed.start_loop(fleet.bed, stop_in_turn())

    return stop_owners


async def _stop_peers_and_owner(fleet: _advisor_peers.Fleet) -> None:
    _start_series(fleet, _advisor_peers.next_choice)
    await asyncio.sleep(3.0)
    await _stop_owners(_fail, count=1)(fleet)


def _beside_others(inject: _Inject) -> _Inject:
    async def run_beside_others(fleet: _advisor_peers.Fleet) -> None:
        bed = fleet.bed
        tasks = [
            _restart_bed.submit(
                bed, number, NEVER_ENDS_S, advice=ADVICE, lasting=True
            )
            for number in range(2, 2 + min(60, len(bed.world.workers) // 10))
        ]
        assert await _restart_bed.until(
            lambda: all(_restart_bed.runs_of(bed, task) for task in tasks),
            20.0,
        )
        await asyncio.sleep(3.0)
        await inject(fleet)

    return run_beside_others


def _waiting_tasks(bed: _restart_bed.Bed) -> set[str]:
    _restarting_worker.settle_all(bed.world)
    running = {
        run.task for run in bed.world.history if run.ended_at == math.inf
    }
    return bed.world.durations.keys() - running


def _fail(fleet: _advisor_peers.Fleet) -> None:
    for worker in fleet.bed.world.workers.values():
        _restarting_worker.fail_runs(fleet.bed.world, worker)


def _crash(fleet: _advisor_peers.Fleet) -> None:
    worker = _planned_worker(fleet.bed)
    _restarting_worker.crash(fleet.bed.world, worker)


@pytest.mark.parametrize(
    "workers",
    [
        pytest.param(33, id="10-instances"),
        pytest.param(126, id="38-instances"),
        pytest.param(330, id="100-instances"),
    ],
)
@pytest.mark.parametrize(
    "inject",
    [
        pytest.param(
            _stop_peers(_fail, _advisor_peers.next_choice),
            id="fails-as-asked-peers-stop",
        ),
        pytest.param(
            _stop_peers(_fail, _advisor_peers.last_choice),
            id="fails-as-other-peers-stop",
        ),
        pytest.param(
            _stop_peers_and_owner, id="fails-as-its-owner-and-peers-stop"
        ),
        pytest.param(
            _stop_peers(_crash, _advisor_peers.next_choice),
            id="crashes-as-asked-peers-stop",
        ),
        pytest.param(
            _stop_owners(_fail, count=1), id="fails-before-its-owner-stops"
        ),
        pytest.param(
            _stop_owners(_fail, count=3), id="fails-before-three-owners-stop"
        ),
        pytest.param(
            _stop_owners(_fail, count=8), id="fails-before-eight-owners-stop"
        ),
        pytest.param(
            _stop_owners(_fail, count=3, owned_s=2.5),
            id="fails-before-owners-stop-slowly",
        ),
        pytest.param(
            _stop_owners(_crash, count=0), id="crashes-without-stops"
        ),
        pytest.param(
            _stop_owners(_crash, count=3),
            id="crashes-before-three-owners-stop",
        ),
        pytest.param(
            _stop_owners(_crash, count=8),
            id="crashes-before-eight-owners-stop",
        ),
        pytest.param(
            _stop_owners(_crash, count=3, owned_s=2.5),
            id="crashes-before-owners-stop-slowly",
        ),
        pytest.param(
            _beside_others(_stop_owners(_fail, count=0)),
            id="fails-beside-others-without-stops",
        ),
        pytest.param(
            _beside_others(_stop_owners(_fail, count=1)),
            id="fails-beside-others-before-its-owner-stops",
        ),
        pytest.param(
            _beside_others(_stop_owners(_fail, count=3)),
            id="fails-beside-others-before-three-owners-stop",
        ),
        pytest.param(
            _beside_others(_stop_peers(_fail, _advisor_peers.next_choice)),
            id="fails-beside-others-as-asked-peers-stop",
        ),
    ],
)
def test_planned_stops_keep_no_task_that_lasts_waiting(
    monkeypatch: pytest.MonkeyPatch,
    workers: int,
    inject: _Inject,
) -> None:
    """Guards against attempts to start that planned stops cut short."""

    async def scenario(bed: _restart_bed.Bed) -> None:
        fleet = _advisor_peers.install(
            bed,
            monkeypatch,
            count=round(workers / WORKERS_OF_INSTANCE),
            advice=ADVICE,
        )
        for number, worker in enumerate(bed.world.workers.values()):
            if number % 10 >= ALLOWED_OF_TEN:
                bed.disallowed.add(worker.id)
            _restart_bed.list_worker(bed, worker)
        await asyncio.sleep(3.0)
        task = _restart_bed.submit(
            bed, 1, NEVER_ENDS_S, advice=ADVICE, lasting=True
        )
        assert await _restart_bed.until(
            lambda: _restart_bed.runs_of(bed, task), 5.0
        )
        await asyncio.sleep(3.0)
        await inject(fleet)
        assert _waiting_tasks(bed)
        assert await _restart_bed.until(
            lambda: not _waiting_tasks(bed), CALM_S + LOST_S
        ), fleet.queries

    _restart_bed.run(
        monkeypatch,
        scenario,
        to_the_end=False,
        longest_lease_s=LONGEST_LEASE_S,
        count=workers,
    )
