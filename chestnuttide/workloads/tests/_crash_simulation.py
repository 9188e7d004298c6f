"""Simulated workers that crash under some tasks, on a pool in given time."""

import random

import attrs

from chestnuttide import model
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

STEP_S = 0.05
POLL_S = 0.3

# A crashed worker is back after this time. The store removes its entry after
# three heartbeats of silence.
RESTART_S = 3.2
ENTRY_EXPIRY_S = 4.5

CAPACITY = model.Resources(cpu_millis=16000, memory_mb=32000, accelerators=0)


@attrs.define(kw_only=True, eq=False)
class Machine:
    """A simulated machine and the worker on it.

    Attributes
    ----------
    report : WorkerReport
        The worker's entry.
    up_since : float
        Time of the worker's start; its clock counts from there.
    crashed_at : float or None
        Time of the crash while the worker is down.
    cut_until : float
        Time until which the owner does not reach the worker, which runs on.
    runs : dict of (str, int) to float
        Runs in progress, and when each ends.
    lease_ms : int
        Expiry of all runs on the worker's clock.
    ended : list of Completion
        Completions that are not acknowledged.
    next_number : int
        Number of the next completion.
    """

    report: workloads.WorkerReport
    up_since: float
    crashed_at: float | None = None
    cut_until: float = 0.0
    runs: dict[tuple[str, int], float] = attrs.field(factory=dict)
    lease_ms: int = 0
    ended: list[_pool_fixtures.Completion] = attrs.field(factory=list)
    next_number: int = 1


@attrs.define(kw_only=True, eq=False)
class Simulation:
    """A pool and its machines.

    Attributes
    ----------
    pool : Pool
        The current owner's pool.
    machines : list of Machine
        The machines.
    deadly : dict of str to float
        Tasks that crash each worker that starts them, and how long after the
        start.
    rng : random.Random
        Source of the arrivals and the external faults.
    keeps_id : bool
        Whether a restarted worker keeps its id.
    now : float
        Monotonic time, also used as wall time.
    starts : dict of str to list of float
        Times of the starts of each task.
    crashes : int
        Number of crashes of workers.
    states : dict of str to JobState
        Final states of jobs.
    """

    pool: workloads.Pool
    machines: list[Machine]
    deadly: dict[str, float]
    rng: random.Random
    keeps_id: bool
    now: float = 0.0
    starts: dict[str, list[float]] = attrs.field(factory=dict)
    crashes: int = 0
    states: dict[str, workloads.JobState] = attrs.field(factory=dict)


def make_simulation(
    *, machines: int, seed: int, keeps_id: bool = False
) -> Simulation:
    """Return a simulation of idle workers."""
    simulation = Simulation(
        pool=_make_pool(),
        machines=[
            Machine(report=_make_report(f"m{number}", number, 1), up_since=0.0)
            for number in range(machines)
        ],
        deadly={},
        rng=random.Random(seed),
        keeps_id=keeps_id,
    )
    for machine in simulation.machines:
        _list_worker(simulation, machine)
    return simulation


def submit(
    simulation: Simulation,
    job_id: str,
    step: workloads.StepSpec,
    *,
    deadly_index: int | None = None,
    crash_delay_s: float = 0.01,
    **queue: object,
) -> workloads.Job:
    """Submit a job; one of its tasks may crash each worker that starts it."""
    if deadly_index is not None:
        simulation.deadly[f"{job_id}.0.0.{deadly_index}"] = crash_delay_s
    job = _pool_fixtures.submit(
        simulation.pool,
        step,
        job_id=job_id,
        now=simulation.now,
        attempt_limit=3,
        **queue,
    )
    simulation.states[job_id] = job.state
    return job


def advance(simulation: Simulation, seconds: float) -> None:
    """Let time pass."""
    until = simulation.now + seconds
    while simulation.now < until:
        simulation.now += STEP_S
        for machine in simulation.machines:
            _advance_machine(simulation, machine)
        for machine in simulation.machines:
            _poll(simulation, machine)
        for worker in list(simulation.pool.workers.values()):
            workloads.expire_worker_lease(
                simulation.pool,
                worker,
                now=simulation.now,
                now_unix_s=simulation.now,
            )
            if workloads.is_removable(worker):
                workloads.remove_worker(simulation.pool, worker)
        workloads.settle_crashes(
            simulation.pool, now=simulation.now, now_unix_s=simulation.now
        )
        _plan(simulation)
        for job in simulation.pool.jobs.values():
            simulation.states[job.spec.id] = job.state


def crash(simulation: Simulation, machine: Machine) -> None:
    """Crash the worker of a machine, if it is up."""
    if machine.crashed_at is None:
        machine.crashed_at = simulation.now
        machine.runs.clear()
        machine.ended.clear()
        simulation.crashes += 1


def change_owner(simulation: Simulation) -> None:
    """Replace the pool by one that a successor restores from the records."""
    former, pool = simulation.pool, _make_pool()
    simulation.pool = pool
    for machine in simulation.machines:
        if machine.crashed_at is None:
            _list_worker(simulation, machine)
    for job in former.jobs.values():
        if job.state in workloads.TERMINAL_STATES:
            continue
        restored = workloads.add_job(
            pool,
            workloads.decode_job(workloads.encode_job(job.spec)),
            now=simulation.now,
            now_unix_s=_pool_fixtures.UNIX_S,
        )
        restored.accepted = True
        workloads.apply_progress(
            pool,
            restored,
            workloads.encode_progress(job),
            lease_until=simulation.now + _pool_fixtures.LEASE_S,
            now=simulation.now,
            now_unix_s=_pool_fixtures.UNIX_S,
        )


def _make_pool() -> workloads.Pool:
    return workloads.Pool(
        service="workshop",
        limits=workloads.TimeLimits(lease_s=_pool_fixtures.LEASE_S),
    )


def _make_report(
    worker_id: str, number: int, born_ms: int
) -> workloads.WorkerReport:
    return workloads.WorkerReport(
        id=worker_id,
        born_ms=born_ms,
        service="workshop",
        address=f"127.0.0.1:{number + 1}",
        data_centre="a",
        capacity=CAPACITY,
    )


def _list_worker(simulation: Simulation, machine: Machine) -> None:
    workloads.update_worker(
        simulation.pool,
        machine.report,
        now=simulation.now,
        lease_until=simulation.now + _pool_fixtures.LEASE_S,
    )


def _clock_ms(simulation: Simulation, machine: Machine) -> int:
    return 1000 + int((simulation.now - machine.up_since) * 1000)


def _advance_machine(simulation: Simulation, machine: Machine) -> None:
    if machine.crashed_at is not None:
        down_s = simulation.now - machine.crashed_at
        if down_s >= RESTART_S:
            _restart(simulation, machine)
        return
    for key, due in list(machine.runs.items()):
        task, _ = key
        if _clock_ms(simulation, machine) > machine.lease_ms:
            _end(machine, key, "lapsed")
        elif simulation.now >= due:
            if task in simulation.deadly:
                crash(simulation, machine)
                return
            _end(machine, key, "done")


def _end(machine: Machine, key: tuple[str, int], result: str) -> None:
    del machine.runs[key]
    machine.ended.append(
        _pool_fixtures.Completion(
            number=machine.next_number, task=key[0], run=key[1], result=result
        )
    )
    machine.next_number += 1


def _restart(simulation: Simulation, machine: Machine) -> None:
    former = machine.report
    name, _, life = former.id.partition("-")
    born_ms = int(simulation.now * 1000)
    worker_id = former.id
    if not simulation.keeps_id:
        worker_id = f"{name}-{int(life or 0) + 1}"
    machine.report = attrs.evolve(former, id=worker_id, born_ms=born_ms)
    machine.up_since = simulation.now
    machine.crashed_at = None
    machine.next_number = 1
    machine.lease_ms = 0
    _list_worker(simulation, machine)


def _end_former(simulation: Simulation, worker: workloads.Worker) -> None:
    """End the incarnations that a poll reply of a later one shows to be."""
    for former in workloads.ended_incarnations(
        simulation.pool, worker, polled_at=simulation.now
    ):
        workloads.start_incarnation(
            simulation.pool, former, worker.report.born_ms
        )
        workloads.end_incarnation(
            simulation.pool,
            former,
            now=simulation.now,
            now_unix_s=simulation.now,
        )


def _poll(simulation: Simulation, machine: Machine) -> None:
    for worker in list(simulation.pool.workers.values()):
        if worker.report.address != machine.report.address:
            continue
        same = worker.report.id == machine.report.id and (
            worker.report.born_ms == machine.report.born_ms
        )
        down = machine.crashed_at is not None
        if not same or down or simulation.now < machine.cut_until:
            worker.failed_polls += 1
            if down:
                workloads.record_broken_connection(
                    worker, now=machine.crashed_at
                )
            silent_s = simulation.now - (machine.crashed_at or 0.0)
            if not same or (down and silent_s > ENTRY_EXPIRY_S):
                worker.listed = False
            continue
        if simulation.now - worker.last_reply_at < POLL_S:
            continue
        deadline_ms = workloads.poll_lease_deadline_ms(
            worker, now=simulation.now, lease_s=_pool_fixtures.LEASE_S
        )
        if deadline_ms is not None:
            workloads.record_lease(worker, deadline_ms, now=simulation.now)
            machine.lease_ms = max(machine.lease_ms, deadline_ms)
        machine.ended = [
            row for row in machine.ended if row.number > worker.last_completion
        ]
        worker.failed_polls = 0
        _end_former(simulation, worker)
        _pool_fixtures.apply_reply(
            simulation.pool,
            worker.key,
            running=tuple(
                _pool_fixtures.RunReport(task=task, run=run, percent=50.0)
                for task, run in machine.runs
            ),
            ended=tuple(machine.ended),
            sent_at=simulation.now,
            clock_ms=_clock_ms(simulation, machine),
        )
        # The records of this simulation are stored at once.
        worker.unstored.clear()


def _plan(simulation: Simulation) -> None:
    machines = {
        f"{each.report.id}@{each.report.born_ms}": each
        for each in simulation.machines
    }
    plan = workloads.make_plan(simulation.pool, now=simulation.now)
    for run in plan.runs:
        workloads.begin_start(simulation.pool, run, now=simulation.now)
        machine = machines[run.worker_key]
        if (
            machine.crashed_at is not None
            or simulation.now < machine.cut_until
        ):
            run.phase = workloads.Phase.UNCERTAIN
            continue
        duration_s = simulation.deadly.get(
            run.task, simulation.rng.uniform(0.4, 3.0)
        )
        machine.runs[run.key] = simulation.now + duration_s
        machine.lease_ms = max(machine.lease_ms, run.deadline_ms)
        simulation.starts.setdefault(run.task, []).append(simulation.now)
        workloads.confirm_start(run, now=simulation.now)
