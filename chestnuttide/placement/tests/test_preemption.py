import pytest

from chestnuttide import model
from chestnuttide import placement
from chestnuttide.placement.tests import _builders as builders

_A = builders.amounts
_SIZE = _A(4_000, 4_000)

# Worker, job, processors, priority, preemptible, checkpoint, start time.
_Row = tuple[str, str, int, int, bool, bool, float]


@pytest.mark.parametrize(
    ("rows", "cpu", "expected"),
    [
        pytest.param(
            [("w", "x", 4_000, 3, True, True, 0.0)],
            1_000,
            None,
            id="equal_priority_is_evicted",
        ),
        pytest.param(
            [("w", "x", 4_000, 0, False, True, 0.0)],
            1_000,
            None,
            id="non_preemptible_work_is_evicted",
        ),
        pytest.param(
            [
                ("w", "high", 4_000, 2, True, True, 0.0),
                ("v", "low", 4_000, 1, True, True, 0.0),
            ],
            1_000,
            ("v", ["low"]),
            id="higher_of_two_priorities_is_evicted",
        ),
        pytest.param(
            [
                ("w", "two", 2_000, 0, True, True, 0.0),
                ("w", "three", 2_000, 0, True, True, 0.0),
                ("v", "one", 4_000, 0, True, True, 0.0),
            ],
            4_000,
            ("v", ["one"]),
            id="more_attempts_than_needed_are_evicted",
        ),
        pytest.param(
            [
                ("w", "small", 1_000, 0, True, True, 9.0),
                ("w", "large", 3_000, 0, True, True, 0.0),
            ],
            3_000,
            ("w", ["large"]),
            id="attempt_is_evicted_needlessly",
        ),
        pytest.param(
            [
                ("w", "plain", 2_000, 0, True, False, 0.0),
                ("w", "saved", 2_000, 0, True, True, 0.0),
            ],
            2_000,
            ("w", ["saved"]),
            id="work_without_checkpoint_is_evicted",
        ),
        pytest.param(
            [
                ("w", "old", 2_000, 0, True, True, 1.0),
                ("w", "new", 2_000, 0, True, True, 5.0),
            ],
            2_000,
            ("w", ["new"]),
            id="longest_run_is_evicted",
        ),
        pytest.param(
            [
                ("w", "low", 2_000, 0, True, True, 1.0),
                ("w", "mid", 2_000, 1, True, True, 5.0),
            ],
            4_000,
            ("w", ["low", "mid"]),
            id="priorities_are_not_summed",
        ),
    ],
)
def test_choose_victims(
    rows: list[_Row], cpu: int, expected: tuple[str, list[str]] | None
) -> None:
    cell = builders.cell_of({"v": ("a/1", _SIZE), "w": ("a/1", _SIZE)})
    for (
        worker_id,
        job,
        cpu_millis,
        priority,
        preemptible,
        checkpoint,
        started,
    ) in rows:
        builders.reserve(
            cell,
            worker_id,
            job,
            _A(cpu_millis),
            priority=priority,
            preemptible=preemptible,
            checkpoint=checkpoint,
            started=started,
        )
    for worker_id in "vw":
        free = placement.free_of(cell, worker_id)
        if free.cpu_millis:
            builders.reserve(
                cell, worker_id, f"rest-{worker_id}", _A(free.cpu_millis)
            )
    found = placement.choose_victims(
        cell, need=_A(cpu), priority=3, now=10.0, excluded=frozenset()
    )
    if expected is None:
        assert found is None
    else:
        names = sorted(item.job_id for item in found[1])
        assert (found[0], names) == expected


# Guards against evicting replicas below the minimum of a service, and against
# victims on workers that are excluded, leaving or reserved for a gang.
@pytest.mark.parametrize(
    "obstacle", ["protected", "excluded", "leaving", "reserved"]
)
def test_victims_are_spared(obstacle: str) -> None:
    cell = builders.cell_of({"w": ("a/1", _SIZE)})
    running = builders.reserve(
        cell, "w", "j", _SIZE, preemptible=True, expected_end=5.0
    )
    options: dict[str, object] = {"excluded": frozenset()}
    if obstacle == "protected":
        options["protected"] = {running}
    elif obstacle == "excluded":
        options["excluded"] = {"w"}
    elif obstacle == "leaving":
        leaving = builders.instance(
            "w", _SIZE, state=model.InstanceState.LEAVING
        )
        placement.upsert_worker(cell, leaving, 1.0)
    else:
        plan = placement.plan_gang_reservation(
            cell, need=_SIZE, count=1, now=0.0, limit_s=9.0
        )
        placement.reserve_for_gang(cell, plan=plan, key="gang", now=0.0)
    assert (
        placement.choose_victims(
            cell, need=_A(1), priority=1, now=0.0, **options
        )
        is None
    )
