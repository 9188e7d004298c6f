"""Random orders of events against plain recomputations of each answer.

The tests guard against reservations beyond capacity, indexes that differ from
the workers' true free amounts, answers that a plain scan contradicts, parts
of gangs, and too many ejected workers.
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
class _World:
    """A cell, the random choices, and workers that may be over capacity."""

    cell: placement.Cell
    rng: random.Random
    now: float = 0.0
    started: int = 0
    tainted: set[str] = attrs.field(factory=set)


def _draw_need(world: _World) -> model.Resources:
    rng = world.rng
    return builders.amounts(
        rng.choice((0, 250, 1_000, 1_500, 4_000)),
        rng.choice((0, 300, 1_000, 2_000, 7_000)),
        rng.choice((0, 0, 0, 1, 2)),
    )


def _draw_worker(world: _World) -> str:
    return f"w{world.rng.randrange(8)}"


def _options(world: _World) -> dict[str, object]:
    rng = world.rng
    return {
        "attempt": model.Attempt(
            job_id=f"j{world.started % 7}", index=world.started, number=1
        ),
        "priority": rng.randrange(4),
        "preemptible": rng.random() < 0.6,
        "checkpoint": rng.random() < 0.5,
        "throttle": rng.random() < 0.5,
        "urgent": rng.random() < 0.2,
        "expected_end": rng.choice(
            (math.inf, *(world.now + rng.uniform(0.0, 20.0) for _ in range(3)))
        ),
    }


def _upsert(world: _World) -> None:
    worker_id = _draw_worker(world)
    rng = world.rng
    if worker_id in world.cell.workers:
        world.tainted.add(worker_id)
    placement.upsert_worker(
        world.cell,
        builders.instance(
            worker_id,
            rng.choice(_CAPACITIES),
            state=rng.choice(_STATES),
            place=rng.choice(("a/1", "a/2", "b/1", "c/1", "c/2")),
        ),
        world.now,
    )


def _grow(world: _World) -> None:
    """Add a live worker if its id is free."""
    worker_id = _draw_worker(world)
    if worker_id not in world.cell.workers:
        capacity = world.rng.choice(_CAPACITIES)
        placement.upsert_worker(
            world.cell,
            builders.instance(
                worker_id, capacity, place=world.rng.choice(("a/1", "b/1"))
            ),
            world.now,
        )


def _remove(world: _World) -> None:
    worker_id = _draw_worker(world)
    placement.remove_worker(world.cell, worker_id)
    world.tainted.discard(worker_id)


def _check_spread(
    world: _World,
    chosen: str,
    fitting: list[str],
    counts: placement.SpreadCounts,
) -> None:
    """Compare a spread choice with the least of all fitting workers."""
    workers = world.cell.workers

    def in_centre(worker_id: str) -> int:
        return counts.data_centres.get(workers[worker_id].data_centre, 0)

    def rank(worker_id: str) -> tuple[bool, int, int]:
        worker = workers[worker_id]
        return (
            worker.capacity.accelerators > 0,
            counts.racks.get((worker.data_centre, worker.rack), 0),
            counts.workers.get(worker_id, 0),
        )

    assert in_centre(chosen) == min(map(in_centre, fitting))
    centre = workers[chosen].data_centre
    assert rank(chosen) == min(
        rank(worker_id)
        for worker_id in fitting
        if workers[worker_id].data_centre == centre
    )


def _place(world: _World) -> None:
    cell = world.cell
    rng = world.rng
    need = _draw_need(world)
    spread = rng.random() < 0.4
    counts = placement.count_spread(
        cell, [_draw_worker(world) for _ in range(rng.randrange(8))]
    )
    excluded = {_draw_worker(world) for _ in range(rng.randrange(3))}
    run_s = rng.choice((None, 1.0, 30.0))
    chosen = builders.choose(
        cell,
        need,
        spread=spread,
        spread_counts=counts,
        excluded=excluded,
        now=world.now,
        expected_run_s=run_s,
    )
    backfill = (
        cell.hold is not None
        and run_s is not None
        and world.now + run_s <= cell.hold.starts_at
    )
    fitting = [
        worker.worker_id
        for worker in cell.workers.values()
        if checks.fits_on(worker, need)
        and worker.worker_id not in excluded
        and (backfill or not worker.held)
    ]
    opened = [item for item in fitting if not cell.workers[item].held]
    if chosen is None:
        assert not fitting
        return
    assert chosen in (opened or fitting)
    if spread:
        _check_spread(world, chosen, opened or fitting, counts)
    elif need.accelerators == 0 and cell.workers[chosen].capacity.accelerators:
        assert all(
            cell.workers[item].capacity.accelerators
            for item in opened or fitting
        )
    builders.reserve(cell, chosen, "", need, **_options(world))
    world.started += 1


def _reserve_blindly(world: _World) -> None:
    """Reserve without asking; the cell refuses what does not fit."""
    cell = world.cell
    worker_id = _draw_worker(world)
    need = _draw_need(world)
    worker = cell.workers.get(worker_id)
    fits = worker is not None and checks.fits_on(worker, need)
    try:
        builders.reserve(cell, worker_id, "", need, **_options(world))
    except (placement.CapacityError, placement.WorkerUnavailableError):
        assert not fits
    else:
        assert fits
        world.started += 1


def _adopt(world: _World) -> None:
    worker_id = _draw_worker(world)
    world.tainted.add(worker_id)
    placement.adopt(
        world.cell,
        worker_id=worker_id,
        need=_draw_need(world),
        started=world.now,
        **_options(world),
    )
    world.started += 1


def _release(world: _World) -> None:
    held = list(world.cell.reservations)
    if held:
        attempt = world.rng.choice(held)
        placement.release(world.cell, attempt)
        if world.rng.random() < 0.7:
            _record(world, attempt)


def _record(world: _World, attempt: model.Attempt) -> None:
    placement.record_outcome(
        world.cell,
        worker_id=_draw_worker(world),
        task=(attempt.job_id, attempt.index),
        succeeded=world.rng.random() < 0.3,
        now=world.now,
    )


def _use(world: _World) -> None:
    held = list(world.cell.reservations.values())
    for item in world.rng.sample(held, min(len(held), 6)):
        share = world.rng.choice((0.05, 0.2, 0.5, 1.3))
        for _ in range(world.rng.choice((1, 6))):
            placement.record_usage(
                world.cell,
                item.attempt,
                builders.amounts(
                    int(item.need.cpu_millis * share),
                    int(item.need.memory_mb * share),
                ),
                world.now,
            )


def _lend(world: _World) -> None:
    options = _options(world)
    need = _draw_need(world)
    kind = {name: options[name] for name in ("checkpoint", "throttle")}
    chosen = placement.choose_reclaimed_worker(
        world.cell, need=need, excluded=frozenset(), now=world.now, **kind
    )
    if chosen is not None:
        lent = placement.reclaimable(world.cell, chosen)
        assert model.fits(need, lent)
        assert any(kind.values())
        builders.reserve(
            world.cell, chosen, "", need, reclaimed=True, **options
        )
        world.started += 1


def _may_yield(item: placement.Reservation) -> bool:
    return item.reclaimed or item.checkpoint or item.preemptible


def _relieve(world: _World) -> None:
    """Act on the named attempts until usage is within capacity again."""
    cell = world.cell
    for _round in range(3):
        for relief in placement.overcommitted(cell):
            reservation = placement.reservation_of(cell, relief.attempt)
            assert reservation.worker_id == relief.worker_id
            assert relief.worker_id in cell.overcommitted
            if relief.action is placement.ReliefAction.EVICT:
                assert _may_yield(reservation)
                placement.release(cell, relief.attempt)
                continue
            assert reservation.throttle
            placement.mark_throttled(cell, relief.attempt, throttled=True)
            usage = builders.amounts(0, reservation.used_memory)
            for _sample in range(2):
                placement.record_usage(cell, relief.attempt, usage, world.now)
    for worker_id in cell.overcommitted:
        worker = cell.workers[worker_id]
        over_cpu = worker.used_cpu > worker.capacity.cpu_millis
        over_memory = worker.used_memory > worker.capacity.memory_mb
        for item in worker.reservations.values():
            if item.reclaimed or (
                _may_yield(item)
                and (
                    item.used_cpu > item.need.cpu_millis
                    or item.used_memory > item.need.memory_mb
                )
            ):
                assert not (over_cpu and item.used_cpu)
                assert not (over_memory and item.used_memory)


def _gang(world: _World) -> None:
    cell = world.cell
    need = _draw_need(world)
    count = world.rng.randrange(1, 9)
    use_hold = world.rng.random() < 0.5
    before = placement.reserved_total(cell)
    chosen = placement.choose_gang(
        cell,
        need=need,
        count=count,
        spread=world.rng.random() < 0.5,
        excluded=frozenset(),
        now=world.now,
        use_hold=use_hold,
    )
    assert placement.reserved_total(cell) == before
    room = {
        worker.worker_id: count
        if need == model.ZERO
        else checks.times_on(worker, need, checks.free_of(worker))
        for worker in cell.workers.values()
        if checks.fits_on(worker, need, gang=True)
        and (use_hold or not worker.held)
    }
    if chosen is None:
        assert sum(room.values()) < count
        return
    assert len(chosen) == count
    for worker_id, tasks in collections.Counter(chosen).items():
        assert tasks <= room[worker_id]
    for worker_id in chosen:
        builders.reserve(cell, worker_id, "", need, **_options(world))
        world.started += 1


def _plan(world: _World) -> None:
    cell = world.cell
    need = attrs.evolve(_draw_need(world), cpu_millis=1_500)
    count = world.rng.randrange(1, 16)
    limit_s = world.rng.choice((5.0, 25.0))
    for _ in range(5):
        if checks.earliest_fit(cell, need, count, world.now) != world.now:
            break
        count += 4
    plan = placement.plan_gang_reservation(
        cell, need=need, count=count, now=world.now, limit_s=limit_s
    )
    if not any(item.reclaimed for item in cell.reservations.values()):
        earliest = checks.earliest_fit(cell, need, count, world.now)
        if earliest is not None and earliest > world.now + limit_s:
            earliest = None
        assert (plan.starts_at if plan else None) == earliest
    if plan is not None and cell.hold is None:
        assert len(plan.worker_ids) == count
        placement.hold(cell, plan=plan, key="gang", now=world.now)


def _release_hold(world: _World) -> None:
    placement.release_hold(world.cell)
    assert not any(worker.held for worker in world.cell.workers.values())


def _preempt(world: _World) -> None:
    cell = world.cell
    need = _draw_need(world)
    for _ in range(5):
        if not any(
            checks.fits_on(worker, need) for worker in cell.workers.values()
        ):
            break
        need = model.add(need, _draw_need(world))
    priority = world.rng.randrange(1, 5)
    found = placement.choose_victims(
        cell,
        need=need,
        priority=priority,
        now=world.now,
        excluded=frozenset(),
    )

    def room_without(worker: object, gone: set[model.Attempt]) -> bool:
        left = {
            name: item
            for name, item in worker.reservations.items()
            if name not in gone
        }
        return checks.fits_on(attrs.evolve(worker, reservations=left), need)

    if found is None:
        for worker in cell.workers.values():
            gone = {
                item.attempt
                for item in worker.reservations.values()
                if item.preemptible and item.priority < priority
            }
            if gone and not worker.held and not worker.ejected:
                assert not room_without(worker, gone)
        return
    worker = cell.workers[found[0]]
    victims = set(found[1])
    assert room_without(worker, victims)
    for victim in victims:
        item = cell.reservations[victim]
        assert item.preemptible
        assert item.priority < priority
        # Each victim is needed.
        assert not room_without(worker, victims - {victim})
        placement.release(cell, victim)


def _advance(world: _World) -> None:
    world.now += world.rng.choice((0.5, 3.0, 10.0))


_EVENTS = (
    (_grow, 3),
    (_upsert, 1),
    (_remove, 1),
    (_place, 16),
    (_reserve_blindly, 3),
    (_adopt, 1),
    (_release, 4),
    (_use, 4),
    (_lend, 4),
    (_relieve, 2),
    (_gang, 2),
    (_plan, 3),
    (_release_hold, 1),
    (_preempt, 5),
    (_advance, 2),
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000_000),
    size=strategies.integers(0, 10),
    steps=strategies.integers(1, 150),
)
def test_random_events(seed: int, size: int, steps: int) -> None:
    # Short blocks, so that few workers fill several of them.
    with mock.patch.object(_ranking, "BLOCK_LENGTH", 2):
        _run_events(random.Random(seed), size, steps)


def _run_events(rng: random.Random, size: int, steps: int) -> None:
    world = _World(cell=placement.make_cell(_POOL), rng=rng)
    for _ in range(size):
        _grow(world)
    events = [event for event, _weight in _EVENTS]
    weights = [weight for _event, weight in _EVENTS]
    for _ in range(steps):
        rng.choices(events, weights)[0](world)
        checks.check_sums(world.cell)
        checks.check_index(world.cell)
        checks.check_health(world.cell)
        for worker in world.cell.workers.values():
            if worker.worker_id not in world.tainted:
                assert checks.is_within_capacity(worker)


# Guards against an empty pool after a day on which everything fails.
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 1_000_000),
    workers=strategies.integers(1, 12),
    failing=strategies.floats(0.0, 1.0),
)
def test_ejected_share(seed: int, workers: int, failing: float) -> None:
    rng = random.Random(seed)
    world = _World(cell=placement.make_cell(_POOL), rng=rng)
    for number in range(workers):
        placement.upsert_worker(
            world.cell,
            builders.instance(f"w{number}", _CAPACITIES[0]),
            0.0,
        )
    for step in range(150):
        if rng.random() < 0.1:
            rng.choice((_upsert, _remove, _advance, _place))(world)
        placement.record_outcome(
            world.cell,
            worker_id=_draw_worker(world),
            task=(f"j{rng.randrange(1 + step)}", rng.randrange(3)),
            succeeded=rng.random() > failing,
            now=world.now,
        )
        checks.check_health(world.cell)
        checks.check_index(world.cell)
