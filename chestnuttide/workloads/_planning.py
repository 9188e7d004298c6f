"""Choice of the workers for waiting units, and of questions to the advisor.

Steps are planned in order of urgency. A step that finds no room keeps the
workers that it waits for from less urgent steps, so that large tasks are not
overtaken for ever by small ones.
"""

import collections.abc
import math
import operator
import typing

import attrs

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _questions
from chestnuttide.workloads import _rooms
from chestnuttide.workloads import _state

# A start takes a store write and a call, so a ticket must be valid for longer.
TICKET_MARGIN_S = 0.15

# The first question about a step names as many workers as add this share to
# the time of a call; the answer does not change for the step.
NAMED_SHARE = 0.5

# Share of the named workers that the advisor is expected to allow, until
# answers about the step show it.
EXPECTED_GOOD_SHARE = 0.3

# On a service that is not busy, a full worker is kept from less urgent work
# for this long at most: the platform takes work that waits for 3 s beside
# free room as lost.
KEEP_IDLE_S = 2.0

# Workers with room for a task of a step, and their scores, by key.
_Places: typing.TypeAlias = dict[str, tuple[float, _state.Worker]]

_score_of = operator.itemgetter(0)


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
    questions: tuple[_questions.Question, ...]


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Step:
    """A step with units that wait.

    Attributes
    ----------
    job : Job
        The job.
    key : (int, int)
        Occurrence and step.
    demand : Demand
        What each of its tasks asks of a worker.
    waiting : list of Unit
        Units that could start.
    """

    job: _state.Job
    key: tuple[int, int]
    demand: _rooms.Demand
    waiting: list[_state.Unit]


def make_plan(pool: _state.Pool, *, now: float) -> Plan:
    """Place what can be placed, and say what the advisor is asked."""
    runs: list[_state.Run] = []
    questions: list[_questions.Question] = []
    usable = [
        worker
        for worker in pool.workers.values()
        if is_usable(worker, now) and worker.key not in pool.unknown_runs
    ]
    if not usable:
        return Plan(runs=(), questions=())
    rooms = _rooms.make_rooms(pool, usable, now=now)
    for step in _waiting_steps(pool, rooms):
        planned, question = _plan_step(rooms, step)
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


def _urgency(job: _state.Job) -> tuple[bool, int, float]:
    """Return the order of a job; lasting tasks come before all others.

    They are few, and a lasting task that is away is missed all the time that
    it waits, however full the service is.
    """
    queue = job.spec.queue
    return (
        not job.is_lasting,
        queue.priority,
        job.accepted_at + queue.latency_objective_s,
    )


def _waiting_steps(
    pool: _state.Pool, rooms: _rooms.Rooms
) -> collections.abc.Iterator[_Step]:
    for job in sorted(pool.active.values(), key=_urgency):
        for key, progress in job.steps.items():
            if not progress.waiting:
                continue
            if not _lifecycle.is_step_ready(job, *key):
                continue
            waiting = [
                unit
                for unit in _lifecycle.step_units(job, *key)
                if unit.state == _state.UnitState.WAITING
                and rooms.now >= unit.not_before
            ]
            if waiting:
                yield _Step(
                    job=job,
                    key=key,
                    demand=_rooms.make_demand(rooms, job, key),
                    waiting=waiting,
                )


def _plan_step(
    rooms: _rooms.Rooms, step: _Step
) -> tuple[list[_state.Run], _questions.Question | None]:
    if step.job.spec.queue.advice is None:
        eligible = _eligible(rooms, step, rooms.workers.values())
        runs, left = _place_units(rooms, step, eligible, None)
        if left:
            _wait_for_workers(rooms, step, eligible, left)
        return runs, None
    advice = step.job.advice.setdefault(step.key, _state.StepAdvice())
    candidates = [
        rooms.workers[key]
        for key, (_, until) in advice.good.items()
        if key in rooms.workers and until > rooms.now + TICKET_MARGIN_S
    ]
    runs, left = _place_units(rooms, step, candidates, advice)
    if not left:
        return runs, None
    return runs, _wait_for_tickets(rooms, step, advice, left)


def _eligible(
    rooms: _rooms.Rooms,
    step: _Step,
    workers: collections.abc.Iterable[_state.Worker],
) -> list[_state.Worker]:
    """Return the workers that could ever run tasks of a step."""
    return [
        worker
        for worker in workers
        if _rooms.may_ever_run(worker, step.demand)
    ]


def _has_ticket(
    advice: _state.StepAdvice, worker: _state.Worker, now: float
) -> bool:
    _, until = advice.good.get(worker.key, ("", 0.0))
    return until > now + TICKET_MARGIN_S


def _wait_for_workers(
    rooms: _rooms.Rooms,
    step: _Step,
    workers: collections.abc.Sequence[_state.Worker],
    wanted: int,
) -> list[tuple[_state.Worker, float]]:
    """Keep room for the tasks that wait, on the workers with the first room.

    Returns
    -------
    list of (Worker, float)
        The workers, and the seconds until each is expected to have room.
    """
    need = _state.reserved_need(step.demand.spec)
    chosen: list[tuple[_state.Worker, float]] = []
    if step.demand.spec.gang and not _could_hold_gang(workers, step.demand):
        # Kept room would stay empty for as long as the job exists.
        return chosen
    open_workers = _open_workers(rooms, step, workers)
    open_workers.sort(key=lambda pair: _rooms.score(pair[0], step.demand))
    for worker, room in open_workers:
        if wanted <= 0:
            return chosen
        for _ in range(min(room, wanted)):
            _rooms.hold(rooms, worker, need)
        wanted -= room
        chosen.append((worker, 0.0))
    if wanted <= 0 or not _may_keep_workers(rooms, step):
        return chosen
    taken = {worker.key for worker, _ in chosen} | rooms.held.keys()
    full = [
        (worker, _rooms.wait_for_room(rooms, worker, step.demand))
        for worker in workers
        if worker.key not in taken
    ]
    full.sort(key=lambda pair: pair[1])
    for worker, wait_s in full[:wanted]:
        if math.isinf(wait_s):
            break
        _rooms.block(rooms, worker)
        chosen.append((worker, wait_s))
    return chosen


def _may_keep_workers(rooms: _rooms.Rooms, step: _Step) -> bool:
    """Return whether full workers may be kept empty for a step."""
    if rooms.busy:
        return True
    progress = step.job.steps[step.key]
    progress.kept_since = progress.kept_since or rooms.now
    return rooms.now - progress.kept_since < KEEP_IDLE_S


def _could_hold_gang(
    workers: collections.abc.Iterable[_state.Worker], demand: _rooms.Demand
) -> bool:
    """Return whether empty workers would have room for a whole gang."""
    members = sum(_rooms.room_when_empty(worker, demand) for worker in workers)
    return members >= demand.spec.count


def _open_workers(
    rooms: _rooms.Rooms,
    step: _Step,
    workers: collections.abc.Iterable[_state.Worker],
) -> list[tuple[_state.Worker, int]]:
    """Return the workers with room, and for how many tasks of a step."""
    return [
        (worker, room)
        for worker in workers
        if (room := _rooms.room_for(rooms, worker, step.demand))
    ]


def _wait_for_tickets(
    rooms: _rooms.Rooms,
    step: _Step,
    advice: _state.StepAdvice,
    wanted: int,
) -> _questions.Question | None:
    policy = step.job.spec.queue.advice
    good = [
        rooms.workers[key]
        for key, allowed in advice.allowed.items()
        if allowed and key in rooms.workers
    ]
    room = sum(room for _, room in _open_workers(rooms, step, good))
    chosen = _wait_for_workers(rooms, step, good, wanted)
    if advice.asking or rooms.now < advice.retry_at:
        return None
    limit = max(1, int(NAMED_SHARE * policy.decide_s / policy.per_worker_s))
    # A ticket is asked for when the room is expected to be there by the time
    # of the answer.
    cost_s = _questions.cost_s(policy, len(chosen))
    named = [
        worker
        for worker, wait_s in chosen
        if wait_s <= cost_s
        and not _has_ticket(advice, worker, rooms.now + cost_s)
    ]
    if not good or room < wanted:
        named += _name_unknown(rooms, step, advice, wanted - room)
    named = named[:limit]
    if not named:
        return None
    return _questions.Question(
        job=step.job,
        occurrence=step.key[0],
        step=step.key[1],
        workers=tuple(named),
    )


def _name_unknown(
    rooms: _rooms.Rooms,
    step: _Step,
    advice: _state.StepAdvice,
    missing: int,
) -> list[_state.Worker]:
    """Return workers that the advisor has not judged for a step, best first.

    Parameters
    ----------
    rooms : Rooms
        The round.
    step : _Step
        The step.
    advice : StepAdvice
        What is known of it.
    missing : int
        Tasks for which no allowed worker has room.

    Returns
    -------
    list of Worker
        All of them before the first answer, later as many of those with room
        as should contain the workers that are missing.
    """
    unknown = _eligible(
        rooms,
        step,
        [
            worker
            for key, worker in rooms.workers.items()
            if key not in advice.allowed
        ],
    )
    if not any(advice.allowed.values()):
        return _by_score(rooms, step, unknown)
    share = sum(advice.allowed.values()) / len(advice.allowed)
    count = math.ceil(missing / max(EXPECTED_GOOD_SHARE, share))
    unknown = [worker for worker, _ in _open_workers(rooms, step, unknown)]
    return _by_score(rooms, step, unknown)[:count]


def _by_score(
    rooms: _rooms.Rooms, step: _Step, workers: list[_state.Worker]
) -> list[_state.Worker]:
    return sorted(
        workers,
        key=lambda worker: (
            _rooms.room_for(rooms, worker, step.demand) == 0,
            _rooms.score(worker, step.demand),
        ),
    )


def _place_units(
    rooms: _rooms.Rooms,
    step: _Step,
    candidates: list[_state.Worker],
    advice: _state.StepAdvice | None,
) -> tuple[list[_state.Run], int]:
    """Place as many units as there is room for.

    Returns
    -------
    list of Run, int
        The planned runs, and the tasks that found no room.
    """
    places = dict(
        (worker.key, (_rooms.score(worker, step.demand), worker))
        for worker, _ in _open_workers(rooms, step, candidates)
    )
    runs: list[_state.Run] = []
    left = 0
    for unit in step.waiting:
        placed = _place_unit(rooms, step, places, unit, advice)
        runs.extend(placed)
        left += 0 if placed else len(unit.indexes)
    return runs, left


def _place_unit(
    rooms: _rooms.Rooms,
    step: _Step,
    places: _Places,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
) -> list[_state.Run]:
    if step.demand.spec.same_rack:
        # All members in one rack run faster, if one has the room.
        racks = {worker.report.rack for _, worker in places.values()}
        for rack in sorted(racks):
            group = {
                key: pair
                for key, pair in places.items()
                if pair[1].report.rack == rack
            }
            placed = _place_members(rooms, step, group, unit, advice)
            if placed:
                for run in placed:
                    _update_place(rooms, step, places, run.worker_key)
                return placed
    return _place_members(rooms, step, places, unit, advice)


def _place_members(
    rooms: _rooms.Rooms,
    step: _Step,
    places: _Places,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
) -> list[_state.Run]:
    """Reserve room for all members of a unit, or for none."""
    if not places:
        return []
    job = step.job
    number = unit.last_run + 1
    placed: list[_state.Run] = []
    for index in unit.indexes:
        best = _choose_place(places, unit)
        if best is None:
            for run in placed:
                _state.release(rooms.workers[run.worker_key], run)
                _update_place(rooms, step, places, run.worker_key)
            return []
        run = _state.Run(
            job=job,
            unit=unit,
            index=index,
            number=number,
            worker_key=best.key,
            need=_state.reserved_need(step.demand.spec),
            ticket=advice.good[best.key][0] if advice is not None else "",
            checkpoint=unit.checkpoint,
            planned_at=rooms.now,
        )
        _state.occupy(best, run)
        _update_place(rooms, step, places, best.key)
        placed.append(run)
    unit.last_run = number
    _state.set_unit_state(job, unit, _state.UnitState.ACTIVE)
    unit.runs.extend(placed)
    _state.mark_changed(job)
    return placed


def _update_place(
    rooms: _rooms.Rooms, step: _Step, places: _Places, key: str
) -> None:
    worker = rooms.workers[key]
    if _rooms.room_for(rooms, worker, step.demand):
        places[key] = (_rooms.score(worker, step.demand), worker)
    else:
        places.pop(key, None)


def _choose_place(places: _Places, unit: _state.Unit) -> _state.Worker | None:
    # A worker on which the unit has failed is used again only when nothing
    # else is left.
    pairs = places.values()
    if unit.avoided:
        preferred = [pair for pair in pairs if pair[1].key not in unit.avoided]
        pairs = preferred or pairs
    best = min(pairs, key=_score_of, default=None)
    return None if best is None else best[1]
