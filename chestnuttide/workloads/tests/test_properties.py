"""Invariants of a pool over random sequences of events."""

import collections
import random

import attrs
import hypothesis
from hypothesis import strategies

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

COMPLETIONS = ("done", "done", "done", "failed", "stopped", "lapsed")

STEPS = strategies.lists(
    strategies.builds(
        lambda count, cpu, gang, filler, limit: {
            "count": count,
            "need": model.Resources(cpu_millis=cpu, memory_mb=500),
            "gang": gang,
            "filler": filler,
            "spread_limit": limit,
        },
        # The units of larger steps are created and dropped while they run.
        strategies.sampled_from((1, 2, 3, 4, 150)),
        strategies.sampled_from((500, 1500, 4000)),
        strategies.booleans(),
        strategies.booleans(),
        strategies.integers(0, 2),
    ),
    min_size=1,
    max_size=3,
)


def _check_counts(pool: workloads.Pool) -> None:
    for job in pool.jobs.values():
        for key, progress in job.steps.items():
            states = collections.Counter(
                unit.state
                for unit in job.units.values()
                if unit.key[:2] == key
            )
            uncreated = progress.total - progress.created
            dropped = progress.finished.bit_count()
            waiting = states[workloads.UnitState.WAITING] + uncreated
            assert progress.waiting == waiting
            assert progress.done == states[workloads.UnitState.DONE] + dropped
            assert progress.total == states.total() + uncreated + dropped
        for occurrence, left in job.open_occurrences.items():
            assert left == sum(
                progress.total - progress.done
                for key, progress in job.steps.items()
                if key[0] == occurrence
            )
    for worker in pool.workers.values():
        runs = list(worker.runs.values())
        steps = [workloads.step_of(run.unit, run.job) for run in runs]
        assert worker.fillers == sum(step.filler for step in steps)
        assert worker.requested_cpu_millis == sum(
            step.need.cpu_millis for step in steps
        )
        assert worker.used.cpu_millis == sum(
            run.need.cpu_millis for run in runs
        )
        per_step = collections.Counter(
            (run.job.spec.id, *run.unit.key[:2]) for run in runs
        )
        assert worker.step_runs == per_step
        unproven = [run for run in runs if not run.proven]
        assert worker.unproven_runs == len(unproven)
        assert worker.trials == sum(run.on_trial for run in unproven)


def _check_invariants(pool: workloads.Pool) -> None:
    for worker in pool.workers.values():
        assert model.fits(worker.used, worker.report.capacity)
    for job in pool.jobs.values():
        for unit in job.units.values():
            numbers = {run.number for run in unit.runs}
            assert len(numbers) <= 1, "two runs of one task"
            assert unit.failures <= job.spec.queue.attempt_limit
            step = workloads.step_of(unit, job)
            if unit.runs:
                assert all(
                    job.steps[(unit.key[0], earlier)].done
                    == job.steps[(unit.key[0], earlier)].total
                    for earlier in step.after
                ), "a step started before its predecessors were done"
        if job.cancelled:
            assert all(
                run.stopping
                for unit in job.units.values()
                for run in unit.runs
            ), "a run of a cancelled job is not being stopped"


def _list_runs(pool: workloads.Pool, rng: random.Random, now: float) -> None:
    """Have a worker list its runs, and answer again if it was silent."""
    worker = rng.choice(list(pool.workers.values()))
    _pool_fixtures.apply_reply(
        pool,
        worker.key,
        running=tuple(
            _pool_fixtures.RunReport(task=run.task, run=run.number, percent=9)
            for run in worker.runs.values()
        ),
        sent_at=now,
    )
    worker.failed_polls = 0


def _lose_worker(pool: workloads.Pool, rng: random.Random, now: float) -> None:
    """Have a worker fall silent, or crash and restart under its id."""
    worker = rng.choice(list(pool.workers.values()))
    if rng.random() < 0.5:
        worker.failed_polls = 1
        worker.lease_until = now
        workloads.expire_worker_lease(
            pool, worker, now=now, now_unix_s=_pool_fixtures.UNIX_S
        )
    elif worker.listed:
        born_ms = worker.report.born_ms + 1
        workloads.start_incarnation(pool, worker, born_ms)
        workloads.end_incarnation(
            pool, worker, now=now, now_unix_s=_pool_fixtures.UNIX_S
        )
        successor = workloads.update_worker(
            pool,
            attrs.evolve(worker.report, born_ms=born_ms),
            now=now,
            lease_until=now,
        )
        successor.last_reply_at = now
        workloads.record_clock(successor, 1000, now)
    workloads.settle_crashes(pool, now=now, now_unix_s=_pool_fixtures.UNIX_S)


@hypothesis.given(
    strategies.lists(STEPS, min_size=1, max_size=4),
    strategies.integers(0, 2**32),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_counts_and_invariants_hold_after_each_event(
    jobs: list[list[dict[str, object]]], seed: int
) -> None:
    """Guards against violated capacity, dependencies, attempts and counts."""
    rng = random.Random(seed)
    pool = _pool_fixtures.make_pool(3)
    for number, steps in enumerate(jobs):
        _pool_fixtures.submit(
            pool,
            *(
                _pool_fixtures.make_step(
                    **fields, after=(index - 1,) if index else ()
                )
                for index, fields in enumerate(steps)
            ),
            job_id=f"{number:016x}",
            priority=number % 3,
        )
    now = 1.0
    for _ in range(30):
        now += 1.0
        event = rng.choice(
            ("plan", "plan", "end", "end", "end", "cancel", "list", "lose")
        )
        if event == "plan":
            _pool_fixtures.start_all(pool, now=now)
        elif event == "end":
            runs = [
                run
                for worker in pool.workers.values()
                for run in worker.runs.values()
            ]
            if runs:
                run = rng.choice(runs)
                result = "stopped" if run.stopping else rng.choice(COMPLETIONS)
                _pool_fixtures.complete_run(pool, run, result)
        elif event == "list":
            _list_runs(pool, rng, now=now)
        elif event == "lose":
            _lose_worker(pool, rng, now=now)
        elif rng.random() < 0.3:
            job = rng.choice(list(pool.jobs.values()))
            workloads.cancel_job(pool, job, _pool_fixtures.UNIX_S)
        _check_counts(pool)
        _check_invariants(pool)
