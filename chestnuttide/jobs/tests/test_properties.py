import random

import hypothesis
from hypothesis import strategies

from chestnuttide import config
from chestnuttide.jobs.tests import _simulation
from chestnuttide import model

CAPACITY = model.Resources(cpu_millis=4000, memory_mb=8000, accelerators=2)

DOCUMENT = config.CellConfig(
    teams={
        "a": config.TeamConfig(cpu_millis=9000),
        "b": config.TeamConfig(weight=2.0),
    },
    workload_classes={
        "soft": config.ClassConfig(preemptible=True, checkpoint=True),
        "web": config.ClassConfig(spread=True, minimum_up=1),
    },
    pool=config.PoolConfig(
        long_run_s=5.0, gang_reservation_s=10.0, eject_s=3.0
    ),
)

JOBS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 20.0),
        strategies.sampled_from(
            ["batch", "batch", "soft", "gang", "service", "urgent"]
        ),
        strategies.sampled_from(["a", "b"]),
        strategies.integers(1, 6),
        strategies.integers(1, 8),
        strategies.integers(0, 1),
    ),
    min_size=1,
    max_size=10,
)

FAULTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 30.0),
        strategies.sampled_from(
            [
                "cut",
                "long_cut",
                "crash",
                "gone",
                "lose_starts",
                "lose_answers",
                "take_over",
                "owner_crash",
                "snapshot",
                "cancel",
                "fails_all",
            ]
        ),
        strategies.integers(0, 4),
    ),
    max_size=10,
)


def _decide(
    simulation: _simulation.Simulation, attempt: model.Attempt
) -> tuple[float, model.TaskState]:
    job = simulation.submitted[attempt.job_id]
    if job.kind is model.JobKind.SERVICE:
        return 1e9, model.TaskState.SUCCEEDED
    rng = random.Random(f"{attempt.job_id}/{attempt.index}/{attempt.number}")
    if rng.random() < 0.1:
        return rng.uniform(0.1, 2.0), model.TaskState.FAILED
    run_s = rng.choice([0.3, 1.0, 3.0, 12.0])
    return run_s, model.TaskState.SUCCEEDED


def _job(number: int, fields: tuple) -> model.Job:
    _, kind, team, tasks, size, accelerators = fields
    kinds = {
        "gang": model.JobKind.GANG,
        "service": model.JobKind.SERVICE,
    }
    classes = {"soft": "soft", "service": "web"}
    if kind == "gang":
        tasks = min(tasks, 4)
    return model.Job(
        job_id=f"j{number}",
        kind=kinds.get(kind, model.JobKind.BATCH),
        team=team,
        workload_class=classes.get(kind, "plain"),
        tasks=tasks,
        resources=model.Resources(
            cpu_millis=250 * size,
            memory_mb=500 * size,
            accelerators=accelerators,
        ),
        urgent=kind == "urgent",
        declared_run_s=8.0 if size == 8 else 1.0,
    )


def _inject(
    simulation: _simulation.Simulation, kind: str, number: int
) -> None:
    worker_id = f"w{number % len(simulation.workers)}"
    worker = simulation.workers[worker_id]
    if kind == "cut":
        worker.partitioned_until = max(
            worker.partitioned_until, simulation.now + 2.0
        )
    elif kind == "long_cut":
        worker.partitioned_until = max(
            worker.partitioned_until, simulation.now + 15.0
        )
    elif kind == "crash":
        _simulation.crash_worker(simulation, worker_id)
    elif kind == "gone" and number == 0:
        _simulation.remove_worker(simulation, worker_id)
    elif kind == "lose_starts":
        worker.starts_lost_until = simulation.now + 3.0
    elif kind == "lose_answers":
        worker.answers_lost_until = simulation.now + 3.0
    elif kind == "take_over":
        _simulation.take_over(simulation)
    elif kind == "owner_crash":
        simulation.owner.alive = False
        _simulation.call_later(
            simulation, 2.0, lambda: _simulation.take_over(simulation)
        )
    elif kind == "snapshot":
        _simulation.take_snapshot(simulation)
    elif kind == "cancel" and number < 2:
        if f"j{number}" in simulation.submitted:
            _simulation.cancel(simulation, f"j{number}")
    elif kind == "fails_all" and number == 1:
        worker.fails_all = True


@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    # Shrinking would repeat the simulation several hundred times.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    submissions=JOBS, faults=FAULTS, seed=strategies.integers(0, 999)
)
def test_invariants_hold_under_faults(
    submissions: list[tuple], faults: list[tuple], seed: int
) -> None:
    # The simulation asserts at each start that no task runs twice, that no
    # worker exceeds its capacity and that no team exceeds its quota. At each
    # tick, it asserts that no task is lost.
    simulation = _simulation.make_simulation(DOCUMENT, [CAPACITY] * 4, seed)
    simulation.decide = _decide
    for number, fields in enumerate(submissions):
        job = _job(number, fields)
        _simulation.call_later(
            simulation,
            fields[0],
            lambda job=job: _simulation.submit(simulation, job),
        )
    for delay_s, kind, number in faults:
        _simulation.call_later(
            simulation,
            delay_s,
            lambda kind=kind, number=number: _inject(simulation, kind, number),
        )
    _simulation.run_for(simulation, 150.0)
    cancelled = {
        token[1] for token in simulation.answers if isinstance(token, tuple)
    }
    for job_id, job in simulation.submitted.items():
        answer = simulation.answers.get(job_id)
        view = _simulation.read(simulation, job_id)
        if answer is None or not hasattr(answer, "job_id"):
            assert view is None or answer is None
            continue
        assert view is not None, "an accepted job is lost"
        if job_id in cancelled:
            assert view.state != "running"
        elif job.kind is model.JobKind.SERVICE:
            live = {
                attempt.index
                for attempt in _simulation.live_attempts(simulation)
                if attempt.job_id == job_id
            }
            assert live <= set(range(job.tasks))
        elif view.state == "succeeded":
            for index in range(job.tasks):
                assert simulation.succeeded.get((job_id, index)), "never ran"
        elif view.state == "running":
            assert view.waiting + view.running + view.done == job.tasks
    services = any(
        job.kind is model.JobKind.SERVICE
        for job in simulation.submitted.values()
    )
    if not services:
        # Enough time has passed for all work to end.
        for job_id in simulation.submitted:
            view = _simulation.read(simulation, job_id)
            if view is not None and job_id not in cancelled:
                assert view.state in ("succeeded", "failed"), view
        assert not _simulation.live_attempts(simulation)
