"""Choice of the workers for waiting units, and of questions to the advisor."""

import collections.abc
import math

import attrs

from chestnuttide import model
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state

# A start takes a store write and a call, so a ticket must be valid for longer.
TICKET_MARGIN_S = 0.15

# Weights of a candidate's score; its unit is a worker's whole capacity.
FILLER_BESIDE_SERVING = 4.0
SERVING_BESIDE_FILLER = 2.0
CROWDED_STEP = 0.3
FAR_FROM_DATA = 1.0
RECENT_FAILURE = 0.5
OVERCOMMITTED = 3.0

# Share of each worker's processors that only the most urgent work may take,
# so that it starts at once at the crest.
URGENT_RESERVE = 0.15

# The advisor lets about one worker in three run a step, so it is asked for
# this many times the workers that can hold the step, and a few more.
ASKED_PER_NEEDED = 3
ASKED_IN_ADDITION = 4


@attrs.frozen(kw_only=True, slots=True, eq=False)
class Question:
    """A call to the advisor that should be made.

    Attributes
    ----------
    job : Job
        The job.
    occurrence, step : int
        The step that is asked for.
    workers : tuple of Worker
        Workers that are named.
    """

    job: _state.Job
    occurrence: int
    step: int
    workers: tuple[_state.Worker, ...]

    @property
    def cost_s(self) -> float:
        """Seconds that the advisor takes."""
        advice = self.job.spec.queue.advice
        return advice.decide_s + advice.per_worker_s * len(self.workers)


@attrs.frozen(kw_only=True, slots=True)
class Plan:
    """What to do next.

    Attributes
    ----------
    runs : tuple of Run
        Planned runs; each starts once its job's record is stored.
    questions : tuple of Question
        Calls to the advisor, most urgent first.
    """

    runs: tuple[_state.Run, ...]
    questions: tuple[Question, ...]


def make_plan(pool: _state.Pool, *, now: float) -> Plan:
    """Place what can be placed, and say what the advisor is asked."""
    runs: list[_state.Run] = []
    questions: list[Question] = []
    usable = [
        worker for worker in pool.workers.values() if is_usable(worker, now)
    ]
    if not usable:
        return Plan(runs=(), questions=())
    for job in sorted(pool.active.values(), key=_urgency):
        for occurrence in range(job.occurrences_due):
            for number, step in enumerate(job.spec.steps):
                waiting = _waiting_units(job, occurrence, number, now)
                if not waiting:
                    continue
                planned, question = _plan_step(
                    usable, job, occurrence, number, step, waiting, now
                )
                runs.extend(planned)
                if question is not None:
                    questions.append(question)
    return Plan(runs=tuple(runs), questions=tuple(questions))


def is_usable(worker: _state.Worker, now: float) -> bool:
    """Return whether a worker may get new runs."""
    return (
        worker.listed
        and not worker.report.draining
        and worker.seen_at > 0
        and worker.failed_looks == 0
        and now >= worker.shunned_until
    )


def _urgency(job: _state.Job) -> tuple[int, float]:
    queue = job.spec.queue
    return (queue.priority, job.accepted_at + queue.latency_objective_s)


def _waiting_units(
    job: _state.Job, occurrence: int, number: int, now: float
) -> list[_state.Unit]:
    waiting = [
        unit
        for unit in _lifecycle.step_units(job, occurrence, number)
        if unit.state == _state.UnitState.WAITING and now >= unit.not_before
    ]
    if waiting and not _lifecycle.is_step_ready(job, occurrence, number):
        return []
    return waiting


def _plan_step(
    usable: list[_state.Worker],
    job: _state.Job,
    occurrence: int,
    number: int,
    step: _specs.StepSpec,
    waiting: list[_state.Unit],
    now: float,
) -> tuple[list[_state.Run], Question | None]:
    eligible = [worker for worker in usable if _may_ever_run(worker, step)]
    if job.spec.queue.advice is None:
        advice, candidates = None, eligible
    else:
        advice = job.advice.setdefault(
            (occurrence, number), _state.StepAdvice()
        )
        candidates = [
            worker
            for worker in eligible
            if advice.good.get(worker.key, ("", 0.0))[1]
            > now + TICKET_MARGIN_S
        ]
    runs: list[_state.Run] = []
    left = list(waiting)
    for unit in waiting if job.accepted else ():
        placed = _place_unit(candidates, job, step, unit, advice, now)
        if placed:
            runs.extend(placed)
            left.remove(unit)
    question = None
    known = any(advice.allowed.values()) if advice is not None else False
    if left and advice is not None and (job.accepted or not known):
        question = _make_question(
            eligible, job, occurrence, number, left, advice, now
        )
    return runs, question


def _may_ever_run(worker: _state.Worker, step: _specs.StepSpec) -> bool:
    return (
        not step.label or step.label in worker.report.labels
    ) and model.fits(_state.reserved_need(step), worker.report.capacity)


def has_room(
    worker: _state.Worker, job: _state.Job, step_key: tuple[int, int]
) -> bool:
    """Return whether one more task of a step fits a worker now."""
    step = job.spec.steps[step_key[1]]
    if not model.fits(_state.reserved_need(step), _free(worker, job)):
        return False
    return (
        not step.spread_limit
        or _count_of_step(worker, job, step_key) < step.spread_limit
    )


def _free(worker: _state.Worker, job: _state.Job) -> model.Resources:
    """Return what a job may take of a worker now."""
    free = model.subtract(worker.report.capacity, worker.used)
    if job.spec.queue.priority == 0 or not worker.runs:
        return free
    kept = int(URGENT_RESERVE * worker.report.capacity.cpu_millis)
    return attrs.evolve(free, cpu_millis=max(0, free.cpu_millis - kept))


def _count_of_step(
    worker: _state.Worker, job: _state.Job, step_key: tuple[int, int]
) -> int:
    return sum(
        1
        for run in worker.runs.values()
        if run.job is job and run.unit.key[:2] == step_key
    )


def _place_unit(
    candidates: list[_state.Worker],
    job: _state.Job,
    step: _specs.StepSpec,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
    now: float,
) -> list[_state.Run]:
    groups = [candidates]
    if step.same_rack or (step.gang and len(unit.indexes) > 1):
        racks = sorted({each.report.rack for each in candidates})
        groups = [
            [each for each in candidates if each.report.rack == rack]
            for rack in racks
        ] + groups
        if not step.same_rack:
            groups = [candidates]
    for group in groups:
        placed = _place_members(group, job, step, unit, advice, now)
        if placed:
            return placed
    return []


def _place_members(
    candidates: list[_state.Worker],
    job: _state.Job,
    step: _specs.StepSpec,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
    now: float,
) -> list[_state.Run]:
    """Reserve room for all members of a unit, or for none."""
    step_key = unit.key[:2]
    number = unit.last_run + 1
    placed: list[_state.Run] = []
    for index in unit.indexes:
        open_workers = [
            worker for worker in candidates if has_room(worker, job, step_key)
        ]
        preferred = [
            worker for worker in open_workers if worker.key not in unit.avoided
        ]
        # A worker on which the unit has failed is used again only when
        # nothing else is left.
        open_workers = preferred or open_workers
        if not open_workers:
            for run in placed:
                _release_planned(candidates, run)
            return []
        best = min(
            open_workers,
            key=lambda worker: _score(worker, job, step, step_key),
        )
        run = _state.Run(
            job=job,
            unit=unit,
            index=index,
            number=number,
            worker_key=best.key,
            need=_state.reserved_need(step),
            ticket=advice.good[best.key][0] if advice is not None else "",
            checkpoint=unit.checkpoint,
            planned_at=now,
        )
        _state.occupy(best, run)
        placed.append(run)
    unit.last_run = number
    unit.state = _state.UnitState.ACTIVE
    unit.runs.extend(placed)
    job.dirty = True
    return placed


def _release_planned(
    candidates: collections.abc.Iterable[_state.Worker], run: _state.Run
) -> None:
    for worker in candidates:
        if worker.key == run.worker_key:
            _state.release(worker, run)


def _score(
    worker: _state.Worker,
    job: _state.Job,
    step: _specs.StepSpec,
    step_key: tuple[int, int],
) -> float:
    """Return how bad a worker is for a task; the lowest is taken."""
    capacity = worker.report.capacity
    cpu = step.need.cpu_millis
    filler = serving = False
    for run in worker.runs.values():
        other = _lifecycle.step_of(run.unit, run.job)
        cpu += other.need.cpu_millis
        filler = filler or other.filler
        serving = serving or other.latency_target_ms > 0
    share = max(
        cpu / max(1, capacity.cpu_millis),
        (worker.used.memory_mb + step.need.memory_mb)
        / max(1, capacity.memory_mb),
        (worker.used.accelerators + step.need.accelerators)
        / max(1, capacity.accelerators),
    )
    score = share + OVERCOMMITTED * max(0.0, share - 1.0)
    if step.filler and serving:
        score += FILLER_BESIDE_SERVING
    if step.latency_target_ms > 0 and filler:
        score += SERVING_BESIDE_FILLER
    if step.lasting:
        score += CROWDED_STEP * _count_of_step(worker, job, step_key)
    if step.data_rack and step.data_rack != worker.report.rack:
        score += FAR_FROM_DATA
    return score + RECENT_FAILURE * worker.failures_in_row


def _make_question(
    eligible: list[_state.Worker],
    job: _state.Job,
    occurrence: int,
    number: int,
    waiting: list[_state.Unit],
    advice: _state.StepAdvice,
    now: float,
) -> Question | None:
    if advice.asking or now < advice.retry_at:
        return None
    step = job.spec.steps[number]
    step_key = (occurrence, number)
    open_workers = [
        worker
        for worker in eligible
        if advice.allowed.get(worker.key, True)
        and has_room(worker, job, step_key)
    ]
    open_workers.sort(
        key=lambda worker: (
            worker.key not in advice.allowed,
            _score(worker, job, step, step_key),
        )
    )
    known = [each for each in open_workers if each.key in advice.allowed]
    wanted = sum(len(unit.indexes) for unit in waiting)
    if _holds(known, job, step, step_key) >= wanted:
        # Only the tickets have to be renewed.
        chosen = _enough(known, job, step, step_key, wanted)
    else:
        needed = len(_enough(open_workers, job, step, step_key, wanted))
        chosen = open_workers[: ASKED_PER_NEEDED * needed + ASKED_IN_ADDITION]
    if not chosen:
        return None
    return Question(
        job=job, occurrence=occurrence, step=number, workers=tuple(chosen)
    )


def _room_for(
    worker: _state.Worker,
    job: _state.Job,
    step: _specs.StepSpec,
    step_key: tuple[int, int],
) -> int:
    need = _state.reserved_need(step)
    free = _free(worker, job)
    room = min(
        free.cpu_millis // need.cpu_millis if need.cpu_millis else math.inf,
        free.memory_mb // need.memory_mb if need.memory_mb else math.inf,
        free.accelerators // need.accelerators
        if need.accelerators
        else math.inf,
    )
    if step.spread_limit:
        taken = _count_of_step(worker, job, step_key)
        room = min(room, step.spread_limit - taken)
    return int(min(room, step.count))


def _holds(
    workers: list[_state.Worker],
    job: _state.Job,
    step: _specs.StepSpec,
    step_key: tuple[int, int],
) -> int:
    return sum(_room_for(each, job, step, step_key) for each in workers)


def _enough(
    workers: list[_state.Worker],
    job: _state.Job,
    step: _specs.StepSpec,
    step_key: tuple[int, int],
    wanted: int,
) -> list[_state.Worker]:
    chosen = []
    for worker in workers:
        if wanted <= 0:
            break
        chosen.append(worker)
        wanted -= _room_for(worker, job, step, step_key)
    return chosen


def note_question(question: Question) -> None:
    """Note that a question is under way."""
    advice = question.job.advice[(question.occurrence, question.step)]
    advice.asking = {each.key for each in question.workers}


def note_advice(
    question: Question,
    tickets: collections.abc.Mapping[str, str] | None,
    *,
    now: float,
    retry_s: float,
) -> None:
    """Take over the advisor's answer, or its failure as None."""
    advice = question.job.advice.setdefault(
        (question.occurrence, question.step), _state.StepAdvice()
    )
    advice.asking = set()
    if tickets is None:
        advice.retry_at = now + retry_s
        return
    validity_s = question.job.spec.queue.advice.validity_s
    for worker in question.workers:
        ticket = tickets.get(worker.report.id)
        advice.allowed[worker.key] = ticket is not None
        if ticket is not None:
            advice.good[worker.key] = (ticket, now + validity_s)
