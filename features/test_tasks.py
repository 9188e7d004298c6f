"""Scenarios of tasks on workers, counted at the workers."""

import concurrent.futures
import threading
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

# Starts that were sent before a cancellation may arrive this long after it.
IN_FLIGHT_S = 1.0
# Longest time after which a start whose answer was lost may be made up for by
# another attempt: its validity, the clocks' difference and its lease.
START_DOUBT_S = 3.0 + steps.TASK_LEASE_S * steps.LEASE_MARGIN
# The config ejects a worker for 5 s after 3 failures. What is in flight in
# its 4 slots when they are judged, or starts until then, fails as well.
EJECT_FAILURES = 3
EJECT_S = 5.0
SLOTS = 4

pytest_bdd.scenarios("tasks_single_run.feature", "tasks_failures.feature")


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
    world.marks["service_runs"] = steps.runs_of(world, job_id)
    world.marks["service"] = job_id


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


@pytest_bdd.given("a worker answers 0.5 s late")
def slow_worker(world: steps.World) -> None:
    name = next(iter(world.cell.workers))
    harness_module.control(
        world.cell.workers[name], {"delay_s": 0.5}, name=name
    )


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
    steps.wait_until_running(world, world.marks["service"])


@pytest_bdd.then("all tasks of the job succeed")
@pytest_bdd.then("all tasks of the jobs succeed")
def check_done(world: steps.World) -> None:
    for job_id in world.jobs:
        if job_id != world.marks.get("service"):
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


@pytest_bdd.given(
    "1 job of 5000 tasks and 100 jobs of 50 tasks are queued",
    target_fixture="cancelled",
)
def queue_jobs(world: steps.World) -> dict[str, float]:
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        runs = [pool.submit(steps.submit, world, tasks=5000, run_s=60.0)]
        runs += [
            pool.submit(steps.submit, world, tasks=50, run_s=60.0)
            for _ in range(100)
        ]
    return {run.result(): 0.0 for run in runs}


@pytest_bdd.when("these jobs are cancelled at once")
def cancel_jobs(world: steps.World, cancelled: dict[str, float]) -> None:
    stop = threading.Event()
    watcher = threading.Thread(target=_ask_health, args=(world, stop))
    world.marks["health"] = []
    watcher.start()
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        list(pool.map(lambda each: _cancel(world, each, cancelled), cancelled))
    steps.wait_for(
        world,
        lambda: (
            not any(
                record["end"] is None and record["job_id"] in cancelled
                for each in steps.evidence(world)
                for record in each["history"]
            )
        ),
        "no task of a cancelled job runs",
        steps.TASK_LEASE_S * steps.LEASE_MARGIN,
    )
    stop.set()
    watcher.join()


def _cancel(
    world: steps.World, job_id: str, cancelled: dict[str, float]
) -> None:
    status, answer = steps.call(world, "DELETE", f"/v1/jobs/{job_id}")
    assert status == 200, answer
    cancelled[job_id] = time.time()
    world.jobs.remove(job_id)


def _ask_health(world: steps.World, stop: threading.Event) -> None:
    cell = world.cell
    ports = [*cell.http_ports.values(), *cell.metrics_ports.values()]
    while not stop.is_set():
        for port in ports:
            started = time.monotonic()
            status, _ = harness_module.call(port, "GET", "/healthz")
            took_s = time.monotonic() - started
            world.marks["health"].append((status, took_s))


@pytest_bdd.then("health requests during it were answered within 1 s")
def check_health(world: steps.World) -> None:
    assert world.marks["health"]
    assert {status for status, _ in world.marks["health"]} == {200}
    assert max(took for _, took in world.marks["health"]) <= steps.HEALTH_S


@pytest_bdd.then(
    "the tasks of the cancelled jobs end and are not started again"
)
def check_cancelled(world: steps.World, cancelled: dict[str, float]) -> None:
    def all_runs() -> list[dict[str, typing.Any]]:
        return [
            record
            for each in steps.evidence(world)
            for record in each["history"]
            if record["job_id"] in cancelled
        ]

    steps.wait_for(
        world,
        lambda: all(record["end"] is not None for record in all_runs()),
        "no task of a cancelled job runs",
        steps.TASK_LEASE_S * steps.LEASE_MARGIN,
    )
    # Another attempt of a cancelled task would come within this time.
    time.sleep(START_DOUBT_S)
    runs = all_runs()
    assert runs
    for record in runs:
        assert record["end"] is not None
        assert record["start"] <= cancelled[record["job_id"]] + IN_FLIGHT_S
    tasks = [(record["job_id"], record["index"]) for record in runs]
    assert len(tasks) == len(set(tasks))


@pytest_bdd.given("a worker fails everything that it starts")
def fail_worker(world: steps.World) -> None:
    name = world.marks["worker"] = next(iter(world.cell.workers))
    harness_module.control(
        world.cell.workers[name], {"fail_all": True}, name=name
    )


@pytest_bdd.then(
    "the failing worker gets no work but probes after its ejection"
)
def check_ejected(world: steps.World) -> None:
    def starts() -> list[float]:
        return sorted(
            run["start"]
            for run in steps.runs_of(world, world.jobs[-1])
            if run["worker_id"] == world.marks["worker"]
        )

    steps.wait_until_done(world, world.jobs[-1])
    elapsed_s = time.time() - starts()[0]
    probes = elapsed_s / EJECT_S
    assert EJECT_FAILURES <= len(starts())
    assert len(starts()) <= EJECT_FAILURES + 2 * SLOTS + probes


@pytest_bdd.when("a job is submitted that is larger than every worker")
def submit_too_large(world: steps.World) -> None:
    body = {
        "id": "too-large",
        "kind": "batch",
        "team": "makers",
        "workload_class": "tools",
        "tasks": 1,
        "resources": {"cpu_millis": 16_001, "memory_mb": 1000},
        "payload": {"run_s": 0.1},
    }
    world.marks["answer"] = steps.call(world, "POST", "/v1/jobs", body)


@pytest_bdd.then("it is refused as fits_nowhere and not run")
def check_fits_nowhere(world: steps.World) -> None:
    status, answer = world.marks["answer"]
    assert 400 <= status < 500
    assert answer["error"]["code"] == "fits_nowhere"
    assert answer["error"]["run_state"] == "not_run"
    assert steps.runs_of(world, "too-large") == []


@pytest_bdd.when("a rack of workers is killed")
def kill_rack(world: steps.World) -> None:
    steps.kill_rack(world, list(world.cell.workers)[-1])


@pytest_bdd.then("all tasks of the service run on the other rack")
def check_other_rack(world: steps.World) -> None:
    steps.wait_until_running(
        world, world.marks["service"], 3 * steps.TASK_LEASE_S
    )


@pytest_bdd.when("all instances are replaced one after another under load")
def replace_all(world: steps.World) -> None:
    world.marks["statuses"] = []
    with steps.loaded(world, 60.0) as load:
        for instance_id in list(world.cell.http_ports):
            world.marks["statuses"] += steps.replace(world, instance_id)
    assert load.answered


@pytest_bdd.then("all instances stopped with status 0")
def check_statuses(world: steps.World) -> None:
    assert set(world.marks["statuses"]) == {0}


@pytest_bdd.then("no task of the service was stopped or restarted")
def check_service_runs(world: steps.World) -> None:
    runs = steps.runs_of(world, world.marks["service"])
    assert runs == world.marks["service_runs"]


@pytest_bdd.given("starts take 0.3 s and half of their answers are lost")
def slow_starts(world: steps.World) -> None:
    for name, process in world.cell.workers.items():
        harness_module.control(
            process, {"delay_s": 0.3, "drop_answers": 0.5}, name=name
        )


@pytest_bdd.when(
    "12 jobs of 10 tasks are cancelled while their tasks start",
    target_fixture="cancelled",
)
def race_cancellations(world: steps.World) -> dict[str, float]:
    cancelled: dict[str, float] = {}
    for number in range(12):
        job_id = steps.submit(world, tasks=10, run_s=60.0, cpu_millis=1000)
        # Cancellations fall before, within and after the 0.3 s of a start.
        time.sleep(number * 0.05)
        _cancel(world, job_id, cancelled)
    return cancelled
