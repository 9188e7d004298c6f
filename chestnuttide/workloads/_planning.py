"""Assigns waiting units to workers and selects advisor queries.

Steps are planned in order of urgency. A step that does not fit anywhere
reserves the workers it waits for against less urgent steps, so that small
tasks cannot starve large ones.
"""

import collections
import collections.abc
import functools
import heapq
import math
import operator
import typing

import attrs

from chestnuttide.workloads import _advisor_queries
from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _ordering
from chestnuttide.workloads import _poll_replies
from chestnuttide.workloads import _records
from chestnuttide.workloads import _round_history
from chestnuttide.workloads import _state
from chestnuttide.workloads import _trials
from chestnuttide.workloads import _units
from chestnuttide import workspaces

# Least share of the named workers that the advisor is expected to allow. A
# higher share in earlier answers about the step takes its place.
EXPECTED_ALLOWED_SHARE = 0.3

# On a service that is not busy, a full worker is reserved against less urgent
# work for this long at most: the platform treats work that waits for 3 s
# although there is free capacity as lost.
IDLE_RESERVATION_S = 2.0

# Full workers are reserved for a gang only after it has waited for this long.
# Until then, capacity that it waits for is used by others, as it becomes free
# on many workers at once and not on the reserved ones alone.
GANG_RESERVATION_DELAY_S = 10.0

# A worker is used while fewer polls than this have had no answer in time
# because the owner itself was late.
MAX_LATE_POLLS = 3

# Units of a step that wait for a cap, beyond which planning creates no more.
# What they need together tells other services which part of the cap is wanted.
MAX_CAPPED_UNITS = 64

# No further unit of a job is created once its progress record has this share
# of the largest value that the store takes. Its size follows from the tasks
# that run. Records of jobs with fewer units than LARGE_JOB_UNITS are small.
MAX_RECORD_SHARE = 0.7
LARGE_JOB_UNITS = 100

# How long before the end of a silent worker's lease the tickets for its tasks
# should be there.
TICKET_LEAD_S = 0.2

# Workers with free capacity for a task of a step: score and worker, by key.
_ScoredWorkers: typing.TypeAlias = dict[str, tuple[float, _state.Worker]]

_score_of = operator.itemgetter(0)


@attrs.frozen(kw_only=True, slots=True)
class Plan:
    """Result of one planning round.

    Attributes
    ----------
    runs : tuple of Run
        Planned runs; each starts once its job's record is stored.
    queries : tuple of AdvisorQuery
        Advisor queries, most urgent first.
    failed : tuple of (Job, Exception)
        Jobs that could not be planned, and why.
    put_off : Counter of str
        Starts that this round has put off first, by reason: ``cap``,
        ``share`` for workspaces that are over their share, and ``record``
        for jobs whose record is full.
    """

    runs: tuple[_state.Run, ...]
    queries: tuple[_advisor_queries.AdvisorQuery, ...]
    failed: tuple[tuple[_state.Job, Exception], ...] = ()
    put_off: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _WaitingStep:
    """A step with units that are ready to start.

    Attributes
    ----------
    job : Job
        Job that the step belongs to.
    key : (int, int)
        Occurrence and step.
    demand : Demand
        Requirements of each of its tasks.
    waiting : list of Unit
        Units that are ready to start; those that placing them creates are
        added.
    risks : dict of Unit to float
        Risks of those that start on trial.
    uncreated : bool
        Whether units may be created for its other tasks.
    """

    job: _state.Job
    key: tuple[int, int]
    demand: _free_capacity.Demand
    waiting: list[_state.Unit]
    risks: dict[_state.Unit, float]
    uncreated: bool


def make_plan(
    pool: _state.Pool,
    *,
    now: float,
    query_limit: _advisor_queries.QueryLimit | None = None,
    caps: workspaces.Round | None = None,
    max_runs: int | None = None,
) -> Plan:
    """Place waiting units on workers and select advisor queries.

    Parameters
    ----------
    pool : Pool
        The pool.
    now : float
        Monotonic time.
    query_limit : QueryLimit or None
        How many queries can be sent before the next plan; None for no limit.
        Selecting the workers of queries takes most of the time of a round.
    caps : Round or None
        Caps and shares of workspaces, whose record of what is put off the
        round fills; None if there are no workspaces.
    max_runs : int or None
        How many runs may be planned while starts wait, less than 0 by those
        planned beyond it; None for no limit. Urgent work may take a few more.
    """
    runs: list[_state.Run] = []
    queries: list[_advisor_queries.AdvisorQuery] = []
    usable = [
        worker
        for worker in pool.workers.values()
        if is_usable(worker, now) and worker.key not in pool.unknown_runs
    ]
    if not usable:
        return Plan(runs=(), queries=())
    view = _free_capacity.make_view(pool, usable, now=now, caps=caps)
    if max_runs is not None:
        view.starts_left = max_runs
    failed: list[tuple[_state.Job, Exception]] = []
    for job in _ordering.in_turn(view, pool.active.values()):
        if not _free_capacity.may_plan_starts(view, job):
            # Its advice would expire while other starts are sent.
            continue
        try:
            for step in _waiting_steps(job, view):
                planned, query = _plan_step(
                    view, step, query_limit=query_limit
                )
                runs.extend(planned)
                if query is not None:
                    queries.append(query)
        except Exception as error:
            # The caller sets the job aside; the others are planned.
            failed.append((job, error))
    for step, end in _lapsing_steps(view):
        try:
            query = _query_ahead(view, step, end, query_limit=query_limit)
        except Exception as error:
            failed.append((step.job, error))
            continue
        if query is not None:
            queries.append(query)
    put_off = _record_put_off(pool, view)
    put_off["record"] = len(view.full_records - pool.full_records)
    pool.full_records = view.full_records
    _record_round(pool, view, runs)
    return Plan(
        runs=tuple(runs),
        queries=tuple(queries),
        failed=tuple(failed),
        put_off=put_off,
    )


def _record_round(
    pool: _state.Pool,
    view: _free_capacity.CapacityView,
    runs: list[_state.Run],
) -> None:
    """Record what reports of waiting tasks need of this round."""
    pool.rounds.planned_at = view.now
    used, capacity = _free_capacity.cpu_use(pool)
    pool.rounds.busy = used >= _free_capacity.BUSY_SHARE * capacity
    pool.rounds.reserved = view.reserved
    pool.rounds.holders = view.holders
    pool.rounds.spare_cpu_millis = view.spare_cpu_millis
    _round_history.record_starts(
        pool.rounds,
        (run.job.spec.accepted_unix_s for run in runs),
        now=view.now,
    )


def _record_put_off(
    pool: _state.Pool, view: _free_capacity.CapacityView
) -> collections.Counter[str]:
    """Record what waits for a cap or a share; return what newly does."""
    put_off: collections.Counter[str] = collections.Counter()
    if view.caps is None:
        pool.capped_units, pool.over_share = set(), set()
        return put_off
    put_off["cap"] = sum(
        len(unit.indexes) for unit in view.capped_units - pool.capped_units
    )
    pool.capped_units = view.capped_units
    over_share = _ordering.over_share(view)
    put_off["share"] = len(over_share - pool.over_share)
    pool.over_share = over_share
    return put_off


def is_usable(worker: _state.Worker, now: float) -> bool:
    """Return whether new runs may be placed on a worker."""
    return (
        worker.listed
        and not worker.report.draining
        and worker.last_reply_at > 0
        and worker.failed_polls == 0
        and worker.late_polls < MAX_LATE_POLLS
        # Its runs have lapsed in silence, and it has not answered since.
        and not worker.lost_at
        and now >= worker.quarantined_until
        and now >= worker.refuses_until
    )


def _waiting_steps(
    job: _state.Job, view: _free_capacity.CapacityView
) -> collections.abc.Iterator[_WaitingStep]:
    record_full = _is_record_full(view.pool, job)
    if record_full:
        view.full_records.add(job.spec.id)
    for key, progress in job.steps.items():
        if not progress.waiting:
            continue
        if not _units.is_step_ready(job, *key):
            continue
        waiting = [
            unit
            for unit in _units.step_units(job, *key)
            if unit.state == _state.UnitState.WAITING
            and view.now >= unit.not_before
            and _crashes.may_start(unit)
        ]
        uncreated = progress.created < progress.total and not record_full
        if waiting or uncreated:
            yield _WaitingStep(
                job=job,
                key=key,
                demand=_free_capacity.make_demand(view, job, key),
                waiting=waiting,
                risks={
                    unit: risk
                    for unit in waiting
                    if unit.crashes and (risk := _crashes.trial_risk(unit))
                },
                uncreated=uncreated,
            )


def _is_record_full(pool: _state.Pool, job: _state.Job) -> bool:
    """Return whether a job's record leaves no room for further units."""
    if len(job.units) < LARGE_JOB_UNITS:
        return False
    size = _records.estimate_progress_bytes(job)
    return size > MAX_RECORD_SHARE * pool.value_bytes


def _count_uncreated_tasks(step: _WaitingStep) -> int:
    if not step.uncreated:
        return 0
    return _units.count_uncreated_tasks(step.job, *step.key)


def _plan_step(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    *,
    query_limit: _advisor_queries.QueryLimit | None,
) -> tuple[list[_state.Run], _advisor_queries.AdvisorQuery | None]:
    if step.job.spec.queue.advice is None:
        eligible = _eligible_workers(view, step, view.workers.values())
        runs, unplaced = _place_units(view, step, eligible, None)
        if unplaced:
            _reserve_workers(view, step, eligible, unplaced)
        return runs, None
    advice = step.job.advice.setdefault(step.key, _state.StepAdvice())
    candidates = [
        view.workers[key]
        for key, (_, until) in advice.tickets.items()
        if key in view.workers and until > view.now
    ]
    runs, unplaced = _place_units(view, step, candidates, advice)
    if not unplaced:
        return runs, None
    suspects = {
        unit: risk
        for unit, risk in step.risks.items()
        if unit.state == _state.UnitState.WAITING
        and unit not in view.capped_units
    }
    others = sum(
        len(unit.indexes)
        for unit in step.waiting
        if unit.state == _state.UnitState.WAITING
        and unit not in suspects
        and unit not in view.capped_units
    )
    if others or not view.capped_units.intersection(step.waiting):
        others += _count_uncreated_tasks(step)
    query = None
    allowed = None
    if others:
        allowed = _reserve_allowed_workers(view, step, advice, others)
    if advice.in_flight or view.now < advice.retry_at:
        return runs, None
    policy = step.job.spec.queue.advice
    if _advisor_queries.may_query(query_limit, policy):
        if allowed is not None:
            query = _query_for_tasks(view, step, advice, others, allowed)
        else:
            query = _query_for_trial(view, step, advice, suspects)
    if query is not None:
        _advisor_queries.count_query(query_limit, policy)
    return runs, query


def _lapsing_steps(
    view: _free_capacity.CapacityView,
) -> collections.abc.Iterator[tuple[_WaitingStep, float]]:
    """Yield steps that last with runs whose silent worker's lease ends soon.

    Yields
    ------
    _WaitingStep, float
        The step with the units of these runs, and the monotonic time at which
        the first of them may start again.
    """
    units: dict[tuple[str, int, int], list[_state.Unit]] = {}
    ends: dict[tuple[str, int, int], float] = {}
    for worker in view.pool.workers.values():
        if not worker.failed_polls:
            continue
        for run in worker.runs.values():
            policy = run.job.spec.queue.advice
            if (
                policy is None
                or run.phase == _state.Phase.PLANNED
                or run.stopping
                or not _lifecycle.step_of(run.unit, run.job).lasting
                or not _crashes.may_start(run.unit)
            ):
                continue
            query_s = _advisor_queries.call_duration_s(
                policy, _advisor_queries.max_workers(policy)
            )
            end = _poll_replies.lease_end(worker, run)
            if end - view.now <= query_s + TICKET_LEAD_S:
                key = (run.job.spec.id, *run.unit.key[:2])
                units.setdefault(key, []).append(run.unit)
                ends[key] = min(end, ends.get(key, math.inf))
    for (job_id, *step_key), lapsing in units.items():
        job = lapsing[0].runs[0].job
        key = tuple(step_key)
        yield (
            _WaitingStep(
                job=job,
                key=key,
                demand=_free_capacity.make_demand(view, job, key),
                waiting=lapsing,
                risks={},
                uncreated=False,
            ),
            ends[(job_id, *key)],
        )


def _query_ahead(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    end: float,
    *,
    query_limit: _advisor_queries.QueryLimit | None,
) -> _advisor_queries.AdvisorQuery | None:
    """Return a query for units that can start again soon, on trial.

    They would wait for it once the lease of their worker has ended.
    """
    advice = step.job.advice.setdefault(step.key, _state.StepAdvice())
    policy = step.job.spec.queue.advice
    if (
        advice.in_flight
        or view.now < advice.retry_at
        or not _advisor_queries.may_query(query_limit, policy)
        or any(
            _has_ticket(advice, each, end) for each in view.workers.values()
        )
    ):
        return None
    query = _query_for_trial(
        view, step, advice, dict.fromkeys(step.waiting, 1.0)
    )
    if query is not None:
        _advisor_queries.count_query(query_limit, policy)
    return query


def _eligible_workers(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    workers: collections.abc.Iterable[_state.Worker],
) -> list[_state.Worker]:
    """Return the workers that could run a task of a step when empty."""
    return [
        worker
        for worker in workers
        if _free_capacity.can_ever_run(worker, step.demand)
    ]


def _has_ticket(
    advice: _state.StepAdvice, worker: _state.Worker, now: float
) -> bool:
    _, until = advice.tickets.get(worker.key, ("", 0.0))
    return until > now


def _reserve_workers(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    workers: collections.abc.Sequence[_state.Worker],
    wanted: int,
) -> list[tuple[_state.Worker, float]]:
    """Reserve the workers that are expected to fit the waiting tasks first.

    Returns
    -------
    list of (Worker, float)
        The workers, and the expected seconds until each has free capacity.
    """
    need = _state.allocated_need(step.demand.spec)
    chosen: list[tuple[_state.Worker, float]] = []
    if step.demand.spec.gang and not _could_fit_gang(workers, step.demand):
        # The reserved capacity would stay idle for as long as the job exists.
        return chosen
    fitting_workers = _fitting_workers(view, step, workers)
    fitting_workers.sort(
        key=lambda pair: _free_capacity.score(pair[0], step.demand)
    )
    for worker, fitting in fitting_workers:
        if wanted <= 0:
            return chosen
        for _ in range(min(fitting, wanted)):
            _free_capacity.reserve_capacity(
                view, worker, need, step.job.spec.id
            )
        wanted -= fitting
        chosen.append((worker, 0.0))
    if wanted <= 0 or not _may_reserve_full_workers(view, step):
        return chosen
    taken = {worker.key for worker, _ in chosen} | view.reserved.keys()
    full = [
        (worker, _free_capacity.expected_wait_s(view, worker, step.demand))
        for worker in workers
        if worker.key not in taken
    ]
    full.sort(key=lambda pair: pair[1])
    for worker, wait_s in full[:wanted]:
        if math.isinf(wait_s):
            break
        _free_capacity.reserve_worker(view, worker, step.job.spec.id)
        chosen.append((worker, wait_s))
    return chosen


def _may_reserve_full_workers(
    view: _free_capacity.CapacityView, step: _WaitingStep
) -> bool:
    """Return whether full workers may be reserved for a step.

    Only the most urgent waiting step of a queue reserves them. If all did,
    a queue of gangs would hold most workers half empty, and none of the gangs
    would start sooner.
    """
    if step.demand.spec.gang:
        waiting_s = view.now - step.job.accepted_at
        if view.busy and waiting_s < GANG_RESERVATION_DELAY_S:
            return False
    priority = step.job.spec.queue.priority
    if priority in view.reserving_priorities:
        return False
    view.reserving_priorities.add(priority)
    if view.busy:
        return True
    progress = step.job.steps[step.key]
    progress.reserved_since = progress.reserved_since or view.now
    return view.now - progress.reserved_since < IDLE_RESERVATION_S


def _could_fit_gang(
    workers: collections.abc.Iterable[_state.Worker],
    demand: _free_capacity.Demand,
) -> bool:
    """Return whether a whole gang would fit if all workers were empty."""
    members = sum(
        _free_capacity.count_fitting_tasks_if_empty(worker, demand)
        for worker in workers
    )
    return members >= demand.spec.count


def _fitting_workers(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    workers: collections.abc.Iterable[_state.Worker],
) -> list[tuple[_state.Worker, int]]:
    """Return the workers that fit tasks of a step now, and how many."""
    return [
        (worker, fitting)
        for worker in workers
        if (
            fitting := _free_capacity.count_fitting_tasks(
                view, worker, step.demand
            )
        )
    ]


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _AllowedWorkers:
    """The workers that the advisor has allowed for a step.

    Attributes
    ----------
    workers : list of Worker
        All of them that are usable.
    fitting : int
        Number of tasks for which they have free capacity.
    chosen : list of (Worker, float)
        Those that are reserved, and the expected seconds until each has free
        capacity.
    """

    workers: list[_state.Worker]
    fitting: int
    chosen: list[tuple[_state.Worker, float]]


def _reserve_allowed_workers(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    advice: _state.StepAdvice,
    wanted: int,
) -> _AllowedWorkers:
    workers = [
        view.workers[key]
        for key, allowed in advice.allowed.items()
        if allowed and key in view.workers
    ]
    fitting = sum(
        fitting for _, fitting in _fitting_workers(view, step, workers)
    )
    return _AllowedWorkers(
        workers=workers,
        fitting=fitting,
        chosen=_reserve_workers(view, step, workers, wanted),
    )


def _query_for_tasks(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    advice: _state.StepAdvice,
    wanted: int,
    allowed: _AllowedWorkers,
) -> _advisor_queries.AdvisorQuery | None:
    policy = step.job.spec.queue.advice
    # Query only workers that are expected to have free capacity by the time
    # of the answer.
    duration_s = _advisor_queries.call_duration_s(policy, len(allowed.chosen))
    named = [
        worker
        for worker, wait_s in allowed.chosen
        if wait_s <= duration_s
        and not _has_ticket(advice, worker, view.now + duration_s)
    ]
    if not allowed.workers or allowed.fitting < wanted:
        missing = wanted - allowed.fitting
        named += _choose_unassessed(view, step, advice, missing)
    return _make_query(step, named)


def _query_for_trial(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    advice: _state.StepAdvice,
    suspects: dict[_state.Unit, float],
) -> _advisor_queries.AdvisorQuery | None:
    """Return a query about the workers on which a trial may start now.

    A step may wait long for such a worker. Queries about others would keep
    the advisor from steps that could start.
    """
    risk = min(suspects.values())
    workers = [
        worker
        for worker in view.workers.values()
        if advice.allowed.get(worker.key, True)
        and _trials.may_host(view.trials, worker, risk)
        and not _has_ticket(advice, worker, view.now)
    ]
    view.trials.opened.update(worker.key for worker in workers)
    hosts = [
        worker
        for worker, _ in _fitting_workers(
            view, step, _eligible_workers(view, step, workers)
        )
    ]
    view.trials.opened.clear()
    hosts.sort(key=functools.partial(_trials.score, view.trials))
    return _make_query(step, hosts)


def _make_query(
    step: _WaitingStep, workers: list[_state.Worker]
) -> _advisor_queries.AdvisorQuery | None:
    """Return a query about workers, best first, or None for none."""
    if not workers:
        return None
    limit = _advisor_queries.max_workers(step.job.spec.queue.advice)
    return _advisor_queries.AdvisorQuery(
        job=step.job,
        occurrence=step.key[0],
        step=step.key[1],
        workers=tuple(workers[:limit]),
    )


def _choose_unassessed(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    advice: _state.StepAdvice,
    missing: int,
) -> list[_state.Worker]:
    """Return workers that the advisor has not yet assessed, best first.

    Parameters
    ----------
    view : CapacityView
        Free capacity in this planning round.
    step : _WaitingStep
        The step.
    advice : StepAdvice
        Earlier answers of the advisor about the step.
    missing : int
        Tasks for which no allowed worker has free capacity.

    Returns
    -------
    list of Worker
        As many as a query names until the advisor has allowed a worker.
        After that, as many of those with free capacity as are expected to
        include enough allowed workers for the missing tasks.
    """
    unassessed = _eligible_workers(
        view,
        step,
        [
            worker
            for key, worker in view.workers.items()
            if key not in advice.allowed
        ],
    )
    limit = _advisor_queries.max_workers(step.job.spec.queue.advice)
    if not any(advice.allowed.values()):
        return _choose_best(view, step, unassessed, limit)
    share = sum(advice.allowed.values()) / len(advice.allowed)
    count = math.ceil(missing / max(EXPECTED_ALLOWED_SHARE, share))
    unassessed = [
        worker for worker, _ in _fitting_workers(view, step, unassessed)
    ]
    return _choose_best(view, step, unassessed, min(count, limit))


def _choose_best(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    workers: list[_state.Worker],
    count: int,
) -> list[_state.Worker]:
    return heapq.nsmallest(
        count,
        workers,
        key=lambda worker: (
            _free_capacity.count_fitting_tasks(view, worker, step.demand) == 0,
            _free_capacity.score(worker, step.demand),
        ),
    )


def _place_units(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    candidates: list[_state.Worker],
    advice: _state.StepAdvice | None,
) -> tuple[list[_state.Run], int]:
    """Place as many units as fit.

    Returns
    -------
    list of Run, int
        The planned runs, and the number of tasks that were not placed.
    """
    scored = dict(
        (worker.key, (_free_capacity.score(worker, step.demand), worker))
        for worker, _ in _fitting_workers(view, step, candidates)
    )
    runs: list[_state.Run] = []
    unplaced = capped = 0
    placeable = True
    for unit in _units_in_turn(step, lambda: placeable):
        if not _free_capacity.may_plan_starts(view, step.job):
            return runs, unplaced
        if not _free_capacity.is_within_cap(view, step.job, unit, step.demand):
            # It needs neither a reservation nor advice until its turn.
            capped += 1
            placeable = capped < MAX_CAPPED_UNITS
            continue
        waits = False
        if unit in step.risks:
            placed, waits = _place_on_trial(
                view, step, candidates, unit, advice
            )
            for run in placed:
                _update_score(view, step, scored, run.worker_key)
        else:
            placed = _place_unit(view, step, scored, unit, advice)
            placeable = placeable and bool(placed)
        runs.extend(placed)
        unplaced += 0 if placed or waits else len(unit.indexes)
    if not capped:
        unplaced += _count_uncreated_tasks(step)
    return runs, unplaced


def _units_in_turn(
    step: _WaitingStep, may_create: collections.abc.Callable[[], bool]
) -> collections.abc.Iterator[_state.Unit]:
    """Yield the waiting units of a step, and then those that it creates.

    The units of a step are alike, so no more of them are created once one was
    not placed.
    """
    yield from tuple(step.waiting)
    while step.uncreated and may_create():
        unit = _units.create_next_unit(step.job, *step.key)
        if unit is None:
            return
        step.waiting.append(unit)
        yield unit


def _place_on_trial(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    candidates: list[_state.Worker],
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
) -> tuple[list[_state.Run], bool]:
    """Place a suspected unit where only trials can be blamed for a crash.

    Returns
    -------
    list of Run, bool
        The planned runs, and whether the unit waits for a worker that has
        capacity for it. It then needs no reservation.
    """
    risk = step.risks[unit]
    view.trials.opened.update(worker.key for worker in candidates)
    fitting = [
        worker for worker, _ in _fitting_workers(view, step, candidates)
    ]
    hosts = {
        worker.key: (_trials.score(view.trials, worker), worker)
        for worker in fitting
        if _trials.may_host(view.trials, worker, risk)
    }
    free = {
        key
        for key, (_, worker) in hosts.items()
        if not _trials.is_taken(worker, view.now)
    }
    placed = _place_unit(view, step, hosts, unit, advice)
    view.trials.opened.clear()
    if placed:
        used = {run.worker_key for run in placed}
        _trials.record_trial(view.trials, risk, used & free)
        for key in used:
            view.workers[key].kept_free_until = 0.0
        return placed, False
    _trials.keep_worker_free(view.trials, unit, risk, fitting)
    return [], bool(fitting)


def _place_unit(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    scored: _ScoredWorkers,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
) -> list[_state.Run]:
    if step.demand.spec.same_rack:
        # Members run faster in one rack, so prefer a rack that fits them all.
        racks = {worker.report.rack for _, worker in scored.values()}
        for rack in sorted(racks):
            group = {
                key: pair
                for key, pair in scored.items()
                if pair[1].report.rack == rack
            }
            placed = _place_members(view, step, group, unit, advice)
            if placed:
                for run in placed:
                    _update_score(view, step, scored, run.worker_key)
                return placed
    return _place_members(view, step, scored, unit, advice)


def _place_members(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    scored: _ScoredWorkers,
    unit: _state.Unit,
    advice: _state.StepAdvice | None,
) -> list[_state.Run]:
    """Plan runs for all members of a unit, or for none."""
    if not scored:
        return []
    job = step.job
    number = unit.last_run + 1
    placed: list[_state.Run] = []
    for index in unit.indexes:
        best = None
        if _free_capacity.may_use_processors(view, step.demand):
            best = _choose_worker(scored, unit)
        if best is None:
            for run in placed:
                _free_capacity.deallocate(
                    view, view.workers[run.worker_key], run
                )
                _update_score(view, step, scored, run.worker_key)
            return []
        run = _state.Run(
            job=job,
            unit=unit,
            index=index,
            number=number,
            worker_key=best.key,
            need=_state.allocated_need(step.demand.spec),
            ticket=advice.tickets[best.key][0] if advice is not None else "",
            checkpoint=unit.checkpoint,
            on_trial=unit in step.risks,
        )
        _free_capacity.allocate(view, best, run)
        _update_score(view, step, scored, best.key)
        placed.append(run)
    unit.last_run = number
    _state.set_unit_state(job, unit, _state.UnitState.ACTIVE)
    unit.runs.extend(placed)
    _state.mark_changed(job)
    return placed


def _update_score(
    view: _free_capacity.CapacityView,
    step: _WaitingStep,
    scored: _ScoredWorkers,
    key: str,
) -> None:
    worker = view.workers[key]
    if _free_capacity.count_fitting_tasks(view, worker, step.demand):
        scored[key] = (_free_capacity.score(worker, step.demand), worker)
    else:
        scored.pop(key, None)


def _choose_worker(
    scored: _ScoredWorkers, unit: _state.Unit
) -> _state.Worker | None:
    # A worker on which the unit has failed is chosen only if no other fits.
    pairs = scored.values()
    if unit.avoided:
        preferred = [pair for pair in pairs if pair[1].key not in unit.avoided]
        pairs = preferred or pairs
    best = min(pairs, key=_score_of, default=None)
    return None if best is None else best[1]
