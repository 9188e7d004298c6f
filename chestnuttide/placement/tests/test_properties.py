"""Random event sequences, compared with brute-force recomputations.

The tests guard against reservations beyond capacity, indexes that differ from
the actual free amounts of the workers, results that a full scan contradicts,
partial gangs, and too many ejected workers.
"""

import collections
import math
import random
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies

from chestnuttide import config
from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement import _ranking
from chestnuttide.placement.tests import _builders as builders
from chestnuttide.placement.tests import _checks as checks

_POOL = config.PoolConfig(eject_failures=2, eject_s=5.0, eject_share=0.3)
_CAPACITIES = (
    builders.amounts(4_000, 4_000),
    builders.amounts(4_000, 12_000),
    builders.amounts(8_000, 4_000, 2),
    builders.amounts(6_000, 9_000, 4),
)
_STATES = (
    model.InstanceState.LIVE,
    model.InstanceState.LIVE,
    model.InstanceState.LEAVING,
    model.InstanceState.GONE,
)


@attrs.define(kw_only=True)
class _Simulation:
    """A cell, a random generator, and workers that may be over capacity."""

    cell: placement.Cell
    rng: random.Random
    now: float = 0.0
    started: int = 0
    may_exceed_capacity: set[str] = attrs.field(factory=set)


def _draw_need(simulation: _Simulation) -> model.Resources:
    rng = simulation.rng
    return builders.amounts(
        rng.choice((0, 250, 1_000, 1_500, 4_000)),
        rng.choice((0, 300, 1_000, 2_000, 7_000)),
        rng.choice((0, 0, 0, 1, 2)),
    )


def _draw_worker(simulation: _Simulation) -> str:
    return f"w{simulation.rng.randrange(8)}"


def _options(simulation: _Simulation) -> dict[str, object]:
    rng = simulation.rng
    return {
        "attempt": model.Attempt(
            job_id=f"j{simulation.started % 7}",
            index=simulation.started,
            number=1,
        ),
        "priority": rng.randrange(4),
        "preemptible": rng.random() < 0.6,
        "checkpoint": rng.random() < 0.5,
        "throttle": rng.random() < 0.5,
        "urgent": rng.random() < 0.2,
        "expected_end": rng.choice(
            (
                math.inf,
                *(simulation.now + rng.uniform(0.0, 20.0) for _ in range(3)),
            )
        ),
    }


def _upsert(simulation: _Simulation) -> None:
    worker_id = _draw_worker(simulation)
    rng = simulation.rng
    if worker_id in simulation.cell.workers:
        simulation.may_exceed_capacity.add(worker_id)
    placement.upsert_worker(
        simulation.cell,
        builders.instance(
            worker_id,
            rng.choice(_CAPACITIES),
            state=rng.choice(_STATES),
            place=rng.choice(("a/1", "a/2", "b/1", "c/1", "c/2")),
        ),
        simulation.now,
    )


def _add_live_worker(simulation: _Simulation) -> None:
    """Add a live worker unless its id is in use."""
    worker_id = _draw_worker(simulation)
    if worker_id not in simulation.cell.workers:
        capacity = simulation.rng.choice(_CAPACITIES)
        placement.upsert_worker(
            simulation.cell,
            builders.instance(
                worker_id,
                capacity,
                place=simulation.rng.choice(("a/1", "b/1")),
            ),
            simulation.now,
        )


def _remove(simulation: _Simulation) -> None:
    worker_id = _draw_worker(simulation)
    placement.remove_worker(simulation.cell, worker_id)
    simulation.may_exceed_capacity.discard(worker_id)


def _check_spread(
    simulation: _Simulation,
    chosen: str,
    fitting: list[str],
    counts: placement.SpreadCounts,
) -> None:
    """Compare a spread choice with the minimum over all fitting workers."""
    workers = simulation.cell.workers

    def tasks_in_centre(worker_id: str) -> int:
        return counts.data_centres.get(workers[worker_id].data_centre, 0)

    def rank(worker_id: str) -> tuple[bool, int, int]:
        worker = workers[worker_id]
        return (
            worker.capacity.accelerators > 0,
            counts.racks.get((worker.data_centre, worker.rack), 0),
            counts.workers.get(worker_id, 0),
        )

    assert tasks_in_centre(chosen) == min(map(tasks_in_centre, fitting))
    centre = workers[chosen].data_centre
    assert rank(chosen) == min(
        rank(worker_id)
        for worker_id in fitting
        if workers[worker_id].data_centre == centre
    )


def _place(simulation: _Simulation) -> None:
    cell = simulation.cell
    rng = simulation.rng
    need = _draw_need(simulation)
    spread = rng.random() < 0.4
    counts = placement.count_spread(
        cell, [_draw_worker(simulation) for _ in range(rng.randrange(8))]
    )
    excluded = {_draw_worker(simulation) for _ in range(rng.randrange(3))}
    run_s = rng.choice((None, 1.0, 30.0))
    chosen = builders.choose(
        cell,
        need,
        spread=spread,
        spread_counts=counts,
        excluded=excluded,
        now=simulation.now,
        expected_run_s=run_s,
    )
    backfill = (
        cell.gang_reservation is not None
        and run_s is not None
        and simulation.now + run_s <= cell.gang_reservation.starts_at
    )
    fitting = [
        worker.worker_id
        for worker in cell.workers.values()
        if checks.fits_on(worker, need)
        and worker.worker_id not in excluded
        and (backfill or not worker.reserved_for_gang)
    ]
    unreserved = [
        item for item in fitting if not cell.workers[item].reserved_for_gang
    ]
    if chosen is None:
        assert not fitting
        return
    assert chosen in (unreserved or fitting)
    if spread:
        _check_spread(simulation, chosen, unreserved or fitting, counts)
    elif need.accelerators == 0 and cell.workers[chosen].capacity.accelerators:
        assert all(
            cell.workers[item].capacity.accelerators
            for item in unreserved or fitting
        )
    builders.reserve(cell, chosen, "", need, **_options(simulation))
    simulation.started += 1


def _reserve_at_random(simulation: _Simulation) -> None:
    """Reserve on a random worker; the cell must refuse what does not fit."""
    cell = simulation.cell
    worker_id = _draw_worker(simulation)
    need = _draw_need(simulation)
    worker = cell.workers.get(worker_id)
    fits = worker is not None and checks.fits_on(worker, need)
    try:
        builders.reserve(cell, worker_id, "", need, **_options(simulation))
    except (placement.CapacityError, placement.WorkerUnavailableError):
        assert not fits
    else:
        assert fits
        simulation.started += 1


def _adopt(simulation: _Simulation) -> None:
    worker_id = _draw_worker(simulation)
    simulation.may_exceed_capacity.add(worker_id)
    placement.adopt(
        simulation.cell,
        worker_id=worker_id,
        need=_draw_need(simulation),
        started=simulation.now,
        **_options(simulation),
    )
    simulation.started += 1


def _release(simulation: _Simulation) -> None:
    attempts = list(simulation.cell.reservations)
    if attempts:
        attempt = simulation.rng.choice(attempts)
        placement.release(simulation.cell, attempt)
        if simulation.rng.random() < 0.7:
            _record(simulation, attempt)


def _record(simulation: _Simulation, attempt: model.Attempt) -> None:
    placement.record_outcome(
        simulation.cell,
        worker_id=_draw_worker(simulation),
        task=(attempt.job_id, attempt.index),
        succeeded=simulation.rng.random() < 0.3,
        now=simulation.now,
    )


def _report_usage(simulation: _Simulation) -> None:
    reservations = list(simulation.cell.reservations.values())
    for item in simulation.rng.sample(reservations, min(len(reservations), 6)):
        share = simulation.rng.choice((0.05, 0.2, 0.5, 1.3))
        for _ in range(simulation.rng.choice((1, 6))):
            placement.record_usage(
                simulation.cell,
                item.attempt,
                builders.amounts(
                    int(item.need.cpu_millis * share),
                    int(item.need.memory_mb * share),
                ),
                simulation.now,
            )


def _place_reclaimed(simulation: _Simulation) -> None:
    options = _options(simulation)
    need = _draw_need(simulation)
    kind = {name: options[name] for name in ("checkpoint", "throttle")}
    chosen = placement.choose_reclaimed_worker(
        simulation.cell,
        need=need,
        excluded=frozenset(),
        now=simulation.now,
        **kind,
    )
    if chosen is not None:
        reclaimable = placement.reclaimable(simulation.cell, chosen)
        assert model.fits(need, reclaimable)
        assert any(kind.values())
        builders.reserve(
            simulation.cell, chosen, "", need, reclaimed=True, **options
        )
        simulation.started += 1


def _may_be_evicted(item: placement.Reservation) -> bool:
    return item.reclaimed or item.checkpoint or item.preemptible


def _relieve_overcommitted(simulation: _Simulation) -> None:
    """Throttle or evict attempts until usage is within capacity again."""
    cell = simulation.cell
    for _round in range(3):
        for relief in placement.relief_actions(cell):
            reservation = placement.reservation_of(cell, relief.attempt)
            assert reservation.worker_id == relief.worker_id
            assert relief.worker_id in cell.overcommitted
            if relief.action is placement.ReliefAction.EVICT:
                assert _may_be_evicted(reservation)
                placement.release(cell, relief.attempt)
                continue
            assert reservation.throttle
            placement.mark_throttled(cell, relief.attempt, throttled=True)
            usage = builders.amounts(0, reservation.used_memory)
            for _sample in range(2):
                placement.record_usage(
                    cell, relief.attempt, usage, simulation.now
                )
    for worker_id in cell.overcommitted:
        worker = cell.workers[worker_id]
        over_cpu = worker.used_cpu > worker.capacity.cpu_millis
        over_memory = worker.used_memory > worker.capacity.memory_mb
        for item in worker.reservations.values():
            if item.reclaimed or (
                _may_be_evicted(item)
                and (
                    item.used_cpu > item.need.cpu_millis
                    or item.used_memory > item.need.memory_mb
                )
            ):
                assert not (over_cpu and item.used_cpu)
                assert not (over_memory and item.used_memory)


def _place_gang(simulation: _Simulation) -> None:
    cell = simulation.cell
    need = _draw_need(simulation)
    count = simulation.rng.randrange(1, 9)
    use_reservation = simulation.rng.random() < 0.5
    before = placement.reserved_total(cell)
    chosen = placement.choose_gang(
        cell,
        need=need,
        count=count,
        spread=simulation.rng.random() < 0.5,
        excluded=frozenset(),
        now=simulation.now,
        use_reservation=use_reservation,
    )
    assert placement.reserved_total(cell) == before
    free_slots = {
        worker.worker_id: count
        if need == model.ZERO
        else checks.fit_count_on(worker, need, checks.free_of(worker))
        for worker in cell.workers.values()
        if checks.fits_on(worker, need, gang=True)
        and (use_reservation or not worker.reserved_for_gang)
    }
    if chosen is None:
        assert sum(free_slots.values()) < count
        return
    assert len(chosen) == count
    for worker_id, tasks in collections.Counter(chosen).items():
        assert tasks <= free_slots[worker_id]
    for worker_id in chosen:
        builders.reserve(cell, worker_id, "", need, **_options(simulation))
        simulation.started += 1


def _plan_gang(simulation: _Simulation) -> None:
    cell = simulation.cell
    need = attrs.evolve(_draw_need(simulation), cpu_millis=1_500)
    count = simulation.rng.randrange(1, 16)
    limit_s = simulation.rng.choice((5.0, 25.0))
    for _ in range(5):
        if (
            checks.earliest_fit(cell, need, count, simulation.now)
            != simulation.now
        ):
            break
        count += 4
    plan = placement.plan_gang_reservation(
        cell, need=need, count=count, now=simulation.now, limit_s=limit_s
    )
    if not any(item.reclaimed for item in cell.reservations.values()):
        earliest = checks.earliest_fit(cell, need, count, simulation.now)
        if earliest is not None and earliest > simulation.now + limit_s:
            earliest = None
        assert (plan.starts_at if plan else None) == earliest
    if plan is not None and cell.gang_reservation is None:
        assert len(plan.worker_ids) == count
        placement.reserve_for_gang(
            cell, plan=plan, key="gang", now=simulation.now
        )


def _release_gang_reservation(simulation: _Simulation) -> None:
    placement.release_gang_reservation(simulation.cell)
    assert not any(
        worker.reserved_for_gang for worker in simulation.cell.workers.values()
    )


def _preempt(simulation: _Simulation) -> None:
    cell = simulation.cell
    need = _draw_need(simulation)
    for _ in range(5):
        if not any(
            checks.fits_on(worker, need) for worker in cell.workers.values()
        ):
            break
        need = model.add(need, _draw_need(simulation))
    priority = simulation.rng.randrange(1, 5)
    found = placement.choose_victims(
        cell,
        need=need,
        priority=priority,
        now=simulation.now,
        excluded=frozenset(),
    )

    def fits_without(worker: object, evicted: set[model.Attempt]) -> bool:
        left = {
            name: item
            for name, item in worker.reservations.items()
            if name not in evicted
        }
        return checks.fits_on(attrs.evolve(worker, reservations=left), need)

    if found is None:
        for worker in cell.workers.values():
            evicted = {
                item.attempt
                for item in worker.reservations.values()
                if item.preemptible and item.priority < priority
            }
            if evicted and not worker.reserved_for_gang and not worker.ejected:
                assert not fits_without(worker, evicted)
        return
    worker = cell.workers[found[0]]
    victims = set(found[1])
    assert fits_without(worker, victims)
    for victim in victims:
        item = cell.reservations[victim]
        assert item.preemptible
        assert item.priority < priority
        # No victim is evicted needlessly.
        assert not fits_without(worker, victims - {victim})
        placement.release(cell, victim)


def _advance_time(simulation: _Simulation) -> None:
    simulation.now += simulation.rng.choice((0.5, 3.0, 10.0))


_EVENTS = (
    (_add_live_worker, 3),
    (_upsert, 1),
    (_remove, 1),
    (_place, 16),
    (_reserve_at_random, 3),
    (_adopt, 1),
    (_release, 4),
    (_report_usage, 4),
    (_place_reclaimed, 4),
    (_relieve_overcommitted, 2),
    (_place_gang, 2),
    (_plan_gang, 3),
    (_release_gang_reservation, 1),
    (_preempt, 5),
    (_advance_time, 2),
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000_000),
    size=strategies.integers(0, 10),
    steps=strategies.integers(1, 150),
)
def test_random_events(seed: int, size: int, steps: int) -> None:
    # Short blocks, so that a few workers fill several of them.
    with mock.patch.object(_ranking, "BLOCK_LENGTH", 2):
        _run_events(random.Random(seed), size, steps)


def _run_events(rng: random.Random, size: int, steps: int) -> None:
    simulation = _Simulation(cell=placement.make_cell(_POOL), rng=rng)
    for _ in range(size):
        _add_live_worker(simulation)
    events = [event for event, _weight in _EVENTS]
    weights = [weight for _event, weight in _EVENTS]
    for _ in range(steps):
        rng.choices(events, weights)[0](simulation)
        checks.check_sums(simulation.cell)
        checks.check_index(simulation.cell)
        checks.check_health(simulation.cell)
        for worker in simulation.cell.workers.values():
            if worker.worker_id not in simulation.may_exceed_capacity:
                assert checks.is_within_capacity(worker)


# Guards against ejecting most of a pool when tasks fail everywhere.
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000_000),
    workers=strategies.integers(1, 12),
    failing=strategies.floats(0.0, 1.0),
)
def test_ejected_share(seed: int, workers: int, failing: float) -> None:
    rng = random.Random(seed)
    simulation = _Simulation(cell=placement.make_cell(_POOL), rng=rng)
    for number in range(workers):
        placement.upsert_worker(
            simulation.cell,
            builders.instance(f"w{number}", _CAPACITIES[0]),
            0.0,
        )
    for step in range(150):
        if rng.random() < 0.1:
            rng.choice((_upsert, _remove, _advance_time, _place))(simulation)
        placement.record_outcome(
            simulation.cell,
            worker_id=_draw_worker(simulation),
            task=(f"j{rng.randrange(1 + step)}", rng.randrange(3)),
            succeeded=rng.random() > failing,
            now=simulation.now,
        )
        checks.check_health(simulation.cell)
        checks.check_index(simulation.cell)
