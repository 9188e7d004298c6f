import pytest

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement.tests import _builders as builders

_SIZE = builders.amounts(4_000, 8_000, 1)


@pytest.mark.parametrize(
    ("need", "error"),
    [
        pytest.param(_SIZE, None, id="exact_fit_is_refused"),
        pytest.param(
            builders.amounts(4_001),
            placement.CapacityError,
            id="processors_exceeded",
        ),
        pytest.param(
            builders.amounts(0, 8_001),
            placement.CapacityError,
            id="memory_exceeded",
        ),
        pytest.param(
            builders.amounts(0, 0, 2),
            placement.CapacityError,
            id="accelerators_exceeded",
        ),
    ],
)
def test_reserve_limits(
    need: model.Resources, error: type[Exception] | None
) -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE)})
    if error is None:
        builders.reserve(cell, "w", "j", need)
        assert placement.free_of(cell, "w") == model.ZERO
        assert placement.reserved_total(cell) == need
    else:
        with pytest.raises(error):
            builders.reserve(cell, "w", "j", need)
        assert placement.free_of(cell, "w") == _SIZE


# Guards against two reservations for one attempt, of which only one would be
# released.
def test_reserve_twice() -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE), "v": ("a/1", _SIZE)})
    builders.reserve(cell, "w", "j", builders.amounts(1))
    with pytest.raises(placement.AttemptConflictError):
        builders.reserve(cell, "v", "j", builders.amounts(1))
    assert placement.release(cell, builders.attempt("j")) == "w"
    assert placement.release(cell, builders.attempt("j")) is None
    assert placement.reserved_total(cell) == model.ZERO


@pytest.mark.parametrize(
    ("state", "listed"),
    [
        pytest.param(
            model.InstanceState.LEAVING, True, id="leaving_worker_gets_work"
        ),
        pytest.param(
            model.InstanceState.GONE, True, id="gone_worker_gets_work"
        ),
        pytest.param(
            model.InstanceState.GONE, False, id="unknown_worker_gets_work"
        ),
    ],
)
def test_unavailable_worker(state: model.InstanceState, listed: bool) -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE)})
    attempt = builders.reserve(cell, "w", "old", builders.amounts(1_000))
    if listed:
        placement.upsert_worker(
            cell, builders.instance("w", _SIZE, state=state), 1.0
        )
        assert placement.attempts_on(cell, "w") == [attempt]
        assert placement.worker_ids(cell) == ["w"]
    else:
        assert placement.remove_worker(cell, "w") == [attempt]
        assert placement.reserved_total(cell) == model.ZERO
        assert placement.worker_ids(cell) == []
    assert placement.worker_count(cell) == 0
    assert placement.capacity_total(cell) == model.ZERO
    assert not placement.largest_worker_fits(cell, builders.amounts(1))
    assert builders.choose(cell, builders.amounts(1)) is None
    with pytest.raises(placement.WorkerUnavailableError):
        builders.reserve(cell, "w", "new", builders.amounts(1))


# Guards against placements on a worker while its adopted tasks exceed its
# capacity.
def test_adopt_beyond_capacity() -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE)})

    def adopt(name: str, cpu: int) -> None:
        placement.adopt(
            cell,
            worker_id="w",
            attempt=builders.attempt(name),
            need=builders.amounts(cpu),
            priority=0,
            preemptible=False,
            checkpoint=False,
            throttle=False,
            urgent=False,
            expected_end=9.0,
            started=1.0,
        )

    adopt("a", 3_000)
    adopt("b", 3_000)
    assert placement.free_of(cell, "w").cpu_millis == -2_000
    assert builders.choose(cell, model.ZERO) is None
    # The worker corrects its report.
    adopt("b", 500)
    assert placement.free_of(cell, "w").cpu_millis == 500
    assert builders.choose(cell, builders.amounts(500)) == "w"


# Guards against losing the tasks of a worker that the lagging instance list
# does not name yet, and against one attempt on two workers.
def test_adopt_on_unlisted_worker() -> None:
    cell = builders.cell_of({"v": ("a/1", _SIZE)})
    options = {
        "attempt": builders.attempt("j"),
        "need": builders.amounts(1_000),
        "priority": 0,
        "preemptible": False,
        "checkpoint": False,
        "throttle": False,
        "urgent": False,
        "expected_end": 9.0,
        "started": 1.0,
    }
    placement.adopt(cell, worker_id="w", **options)
    assert placement.worker_count(cell) == 1
    assert builders.choose(cell, model.ZERO, excluded={"v"}) is None
    with pytest.raises(placement.AttemptConflictError):
        placement.adopt(cell, worker_id="v", **options)
    placement.upsert_worker(cell, builders.instance("w", _SIZE), 2.0)
    assert placement.free_of(cell, "w").cpu_millis == 3_000
    assert builders.choose(cell, model.ZERO, excluded={"v"}) == "w"


# Guards against placements that use an outdated capacity.
def test_capacity_shrinks() -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE)})
    builders.reserve(cell, "w", "j", builders.amounts(3_000))
    placement.upsert_worker(
        cell, builders.instance("w", builders.amounts(2_000, 8_000)), 1.0
    )
    assert builders.choose(cell, model.ZERO) is None
    placement.upsert_worker(
        cell, builders.instance("w", builders.amounts(8_000, 8_000)), 2.0
    )
    assert builders.choose(cell, builders.amounts(5_000)) == "w"
    assert builders.choose(cell, builders.amounts(5_001)) is None
