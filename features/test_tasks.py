"""Scenarios of tasks on workers, counted at the workers."""

import time
import typing

import pytest
import pytest_bdd
from pytest_bdd import parsers

from features import _cell_steps as steps
from standins import cell as cell_module
from standins import harness as harness_module

# The lease of a scheduler in the store is 2 s.
ABOUT_A_LEASE_S = (1.9, 2.3)

pytest_bdd.scenarios("tasks_single_run.feature")


@pytest.fixture(scope="module")
def shared(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[steps.World]:
    # Five instances, so that a majority of voters is left when two are dead.
    directory = tmp_path_factory.mktemp("tasks")
    with steps.running_cell(directory, instances=5) as world:
        yield world


@pytest.fixture
def world(shared: steps.World) -> typing.Iterator[steps.World]:
    yield shared
    steps.restore(shared)


@pytest_bdd.given("a cell")
def a_cell(world: steps.World) -> None:
    assert steps.live(world)


@pytest_bdd.given(parsers.parse("a service of {tasks:d} tasks runs"))
def a_service(world: steps.World, tasks: int) -> None:
    job_id = steps.submit(world, tasks=tasks, kind="service", cpu_millis=2000)
    steps.wait_until_running(world, job_id)


@pytest_bdd.given(
    parsers.parse("a job of {tasks:d} tasks of {run_s:g} s is submitted")
)
@pytest_bdd.when(
    parsers.parse("a job of {tasks:d} tasks of {run_s:g} s is submitted")
)
def submit_job(world: steps.World, tasks: int, run_s: float) -> None:
    steps.submit(world, tasks=tasks, run_s=run_s)


@pytest_bdd.given(
    parsers.parse(
        "a job of {tasks:d} tasks of {run_s:g} s that use {share:g}"
        " of what they declare"
    )
)
def submit_wrong_size(
    world: steps.World, tasks: int, run_s: float, share: float
) -> None:
    steps.submit(
        world,
        tasks=tasks,
        run_s=run_s,
        workload_class="prints",
        usage_share=share,
    )


@pytest_bdd.given("each worker loses the answers to its next 2 starts")
def lose_answers(world: steps.World) -> None:
    for name, process in world.cell.workers.items():
        harness_module.control(process, {"drop_answers": 2}, name=name)


@pytest_bdd.when("the owner of the workers is paused")
def pause_owner(world: steps.World) -> None:
    world.marks |= {
        "owner": steps.owner(world),
        "epoch": steps.worker_epoch(world),
        "stale": steps.stale_calls(world),
    }
    steps.pause(world, world.marks["owner"])
    world.marks["since"] = time.monotonic()


@pytest_bdd.when("the owner of the workers is killed")
def kill_owner(world: steps.World) -> None:
    owner = steps.owner(world)
    world.marks["epoch"] = steps.worker_epoch(world)
    steps.kill(world, owner)
    world.marks["since"] = time.monotonic()


@pytest_bdd.when("a worker restarts")
def restart_worker(world: steps.World) -> None:
    [running] = {
        name
        for name in list(world.cell.workers)[:1]
        if steps.runs_of(world, world.jobs[-1])
    }
    harness_module.control(
        world.cell.workers[running], {"restart": True}, name=running
    )


@pytest_bdd.then(
    "another owner with a higher epoch serves the workers within 3 s"
)
def check_failover(world: steps.World) -> None:
    left_s = world.marks["since"] + steps.FAILOVER_S - time.monotonic()
    steps.wait_for(
        world,
        lambda: steps.worker_epoch(world) > world.marks["epoch"],
        "a higher epoch at the workers",
        left_s,
    )


@pytest_bdd.when("the paused owner continues")
def continue_owner(world: steps.World) -> None:
    steps.resume(world, world.marks["owner"])


@pytest_bdd.when(
    "the owner of the workers is paused about as long as its lease, twice"
)
def race_claims(world: steps.World) -> None:
    for pause_s in ABOUT_A_LEASE_S:
        owner = steps.owner(world)
        steps.pause(world, owner)
        time.sleep(pause_s)
        steps.resume(world, owner)


@pytest_bdd.when("a worker is partitioned")
def partition_worker(world: steps.World) -> None:
    job_id = world.jobs[-1]
    by_worker: dict[str, set[int]] = {}
    for run in steps.runs_of(world, job_id):
        if run["end"] is None:
            by_worker.setdefault(run["worker_id"], set()).add(run["index"])
    chosen = max(by_worker, key=lambda name: len(by_worker[name]))
    harness_module.control(
        world.cell.workers[chosen], {"partition": True}, name=chosen
    )
    world.marks |= {"worker": chosen, "indexes": by_worker[chosen]}


@pytest_bdd.then("its tasks run elsewhere")
def check_moved(world: steps.World) -> None:
    def is_moved() -> bool:
        moved = {
            run["index"]
            for run in steps.runs_of(world, world.jobs[-1])
            if run["end"] is None and run["worker_id"] != world.marks["worker"]
        }
        return world.marks["indexes"] <= moved

    steps.wait_for(world, is_moved, "all its tasks", 3 * steps.TASK_LEASE_S)


@pytest_bdd.when("the partition ends")
def end_partition(world: steps.World) -> None:
    name = world.marks["worker"]
    harness_module.control(
        world.cell.workers[name], {"partition": False}, name=name
    )


@pytest_bdd.then("all tasks of the service run")
def check_service(world: steps.World) -> None:
    steps.wait_until_running(world, world.jobs[-1])


@pytest_bdd.then("all tasks of the job succeed")
@pytest_bdd.then("all tasks of the jobs succeed")
def check_done(world: steps.World) -> None:
    for job_id in world.jobs:
        steps.wait_until_done(world, job_id)


@pytest_bdd.then("each worker has lost answers")
def check_lost_answers(world: steps.World) -> None:
    left = [
        each["switches"]["drop_answers"]
        for each in cell_module.worker_evidence(world.cell)
    ]
    assert all(each < 2 for each in left)


@pytest_bdd.then("no worker hears from the former owner")
def check_silence(world: steps.World) -> None:
    # One renewal of the leases by the new owner has passed.
    counts = [
        each["counts"]["sync"]
        for each in cell_module.worker_evidence(world.cell)
    ]
    steps.wait_for(
        world,
        lambda: all(
            each["counts"]["sync"] > before
            for each, before in zip(
                cell_module.worker_evidence(world.cell), counts, strict=True
            )
        ),
        "a renewal at each worker",
    )
    assert steps.stale_calls(world) == world.marks["stale"]


@pytest_bdd.then("no task ran in two places and no worker was overrun")
def check_faults(world: steps.World) -> None:
    assert steps.find_faults(world) == []
