import pytest

from chestnuttide import config
from chestnuttide import placement
from chestnuttide.placement.tests import _builders as builders

_SIZE = builders.amounts(4_000, 4_000)
_POOL = config.PoolConfig(eject_failures=3, eject_s=30.0, eject_share=0.2)

# Worker, job, task index, whether it succeeded.
_Outcome = tuple[str, str, int, bool]


def _cell(workers: int = 10) -> placement.Cell:
    return builders.cell_of(
        {f"w{number}": ("a/1", _SIZE) for number in range(workers)}, _POOL
    )


def _record(
    cell: placement.Cell, outcomes: list[_Outcome], now: float = 1.0
) -> None:
    for worker_id, job, index, succeeded in outcomes:
        placement.record_outcome(
            cell,
            worker_id=worker_id,
            task=(job, index),
            succeeded=succeeded,
            now=now,
        )


def _ejected(cell: placement.Cell) -> list[str]:
    return [
        worker_id
        for worker_id in placement.worker_ids(cell)
        if placement.is_ejected(cell, worker_id)
    ]


_THREE_FAILURES = [
    ("w0", "x", 0, False),
    ("w0", "y", 0, False),
    ("w0", "z", 0, False),
]


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        pytest.param(
            _THREE_FAILURES, ["w0"], id="failing_worker_is_not_ejected"
        ),
        pytest.param(_THREE_FAILURES[:2], [], id="ejected_too_soon"),
        pytest.param(
            [("w0", "x", 0, False)] * 5, [], id="one_failing_task_ejects"
        ),
        pytest.param(
            [*_THREE_FAILURES[:2], ("w0", "k", 0, True), _THREE_FAILURES[2]],
            [],
            id="success_does_not_reset_failures",
        ),
        pytest.param(
            [("w1", "x", 0, False), ("w2", "y", 0, False), *_THREE_FAILURES],
            [],
            id="jobs_failing_elsewhere_eject",
        ),
        pytest.param(
            [
                *[("w0", "bad", index, False) for index in range(3)],
                ("w1", "bad", 0, False),
            ],
            [],
            id="later_evidence_is_ignored",
        ),
        pytest.param(
            [
                ("w1", "x", 9, True),
                ("w2", "x", 8, False),
                *[("w0", "x", index, False) for index in range(3)],
            ],
            ["w0"],
            id="job_succeeding_elsewhere_excuses_worker",
        ),
        pytest.param(
            [
                *[("w0", "x", index, False) for index in range(2)],
                *[("w1", "x", index, False) for index in range(2)],
                ("w0", "y", 0, False),
                *[("w2", "x", index, True) for index in range(2)],
            ],
            ["w0"],
            id="two_faulty_workers_excuse_each_other",
        ),
    ],
)
def test_ejection(outcomes: list[_Outcome], expected: list[str]) -> None:
    cell = _cell()
    _record(cell, outcomes)
    assert _ejected(cell) == expected
    for worker_id in expected:
        others = set(placement.worker_ids(cell)) - {worker_id}
        assert builders.choose(cell, _SIZE, excluded=others) is None


# Guards against ejecting most of a pool when tasks fail everywhere, also after
# the pool shrank.
def test_ejected_share() -> None:
    cell = _cell(10)
    for number in range(10):
        _record(
            cell, [(f"w{number}", f"j{number}", i, False) for i in range(5)]
        )
    assert _ejected(cell) == ["w0", "w1"]
    placement.remove_worker(cell, "w9")
    assert _ejected(cell) == ["w1"]


@pytest.mark.parametrize(
    ("probe_succeeds", "after"),
    [
        pytest.param(True, True, id="recovered_worker_stays_ejected"),
        pytest.param(False, False, id="failed_probe_readmits_worker"),
    ],
)
def test_probe(probe_succeeds: bool, after: bool) -> None:
    cell = _cell()
    _record(cell, _THREE_FAILURES, now=1.0)
    others = set(placement.worker_ids(cell)) - {"w0"}
    need = builders.amounts(1_000)

    def choose(now: float) -> str | None:
        return builders.choose(cell, need, excluded=others, now=now)

    assert choose(30.9) is None
    assert choose(31.0) == "w0"
    assert (
        placement.choose_gang(
            cell, need=need, count=2, spread=False, excluded=others, now=31.0
        )
        is None
    )
    probe = builders.reserve(cell, "w0", "probe", need)
    assert choose(32.0) is None
    assert placement.is_ejected(cell, "w0")
    # After a cancelled probe another one may start.
    placement.release(cell, probe)
    assert choose(33.0) == "w0"
    builders.reserve(cell, "w0", "probe", need)
    placement.release(cell, probe)
    _record(cell, [("w0", "probe", 0, probe_succeeds)], now=34.0)
    assert (choose(34.0) == "w0") is after
    assert placement.is_ejected(cell, "w0") is not after
    assert choose(64.0) == "w0"
