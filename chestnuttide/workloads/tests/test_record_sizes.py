"""Estimated sizes of progress records."""

import pytest

from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

UNITS = 100


@pytest.mark.parametrize(
    ("last_run", "runs", "failed", "crashes", "checkpoint"),
    [
        pytest.param(0, 0, 0, 0, "", id="not-started"),
        pytest.param(1, 1, 0, 0, "", id="running"),
        pytest.param(1, 8, 0, 0, "", id="gang"),
        pytest.param(70_000, 1, 3, 0, "c" * 100, id="failures-and-checkpoint"),
        pytest.param(3, 1, 0, 2, "", id="crashes"),
    ],
)
def test_the_estimate_is_close_and_not_too_low(
    last_run: int, runs: int, failed: int, crashes: int, checkpoint: str
) -> None:
    """Guards against transactions with more bytes than a link can send."""
    worker_key = "i-0123456789abcdef@1733500000000"
    pool = _pool_fixtures.make_pool(1)
    job = _pool_fixtures.submit(
        pool, _pool_fixtures.make_step(count=UNITS), job_id="a" * 16
    )
    for unit in job.units.values():
        unit.last_run = last_run
        unit.checkpoint = checkpoint
        unit.failed_runs = set(range(last_run - failed, last_run))
        unit.runs = [
            workloads.Run(
                job=job,
                unit=unit,
                index=index,
                number=last_run,
                worker_key=worker_key,
                need=job.spec.steps[0].need,
            )
            for index in range(runs)
        ]
        unit.crashes = {
            number: workloads.Crash(
                worker_key=worker_key, index=0, suspects=1000
            )
            for number in range(crashes)
        }
    size = len(workloads.encode_progress(job))
    assert size <= workloads.estimate_progress_bytes(job) <= 2 * size + 20
