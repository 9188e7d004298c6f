"""Workers on which suspected units start, apart from other work.

A trial starts on a quiet worker: one that has proven all its other runs. If a
crash follows, only units on trial there can have caused it. Units that are
unlikely to be the cause share a trial, so that sound work that was suspected
beside a cause is cleared quickly.
"""

import attrs

from chestnuttide.workloads import _crashes
from chestnuttide.workloads import _state

# Share of the usable workers that hold trials, or are kept free for them, at a
# time while the service is busy, and while it is not. Nothing else starts on
# these workers meanwhile.
TRIAL_WORKER_SHARE = 0.25
IDLE_TRIAL_WORKER_SHARE = 0.5

# Share of these workers that is reserved for units that share no trial. The
# others go first, because one worker clears several of them at a time.
LONE_TRIAL_SHARE = 0.25

# Highest expected number of causes among the units that share a trial.
MAX_TRIAL_RISK = 0.75

# A worker is kept free for a waiting trial for this long. Each planning round
# in which the trial still waits extends it.
KEPT_FREE_S = 1.0


@attrs.define(kw_only=True, slots=True)
class TrialView:
    """Workers for trials as one planning round sees them.

    Attributes
    ----------
    now : float
        Time of the round.
    lone_jobs : set of str
        Ids of the jobs with a unit that shares no trial and is not proven.
    slots : int
        Number of further workers that may hold trials or be kept free.
    reserved_slots : int
        Number of these that are reserved for units that share no trial.
    claims : dict of str to float
        Risk of the units that wait for a worker, by worker.
    opened : set of str
        Workers that the unit that is being placed may use although they
        hold trials or are kept free.
    """

    now: float
    lone_jobs: set[str]
    slots: int
    reserved_slots: int
    claims: dict[str, float] = attrs.field(factory=dict)
    opened: set[str] = attrs.field(factory=set)


def make_trial_view(
    pool: _state.Pool,
    workers: list[_state.Worker],
    *,
    busy: bool,
    now: float,
) -> TrialView:
    """Return the state of trials at the start of a planning round.

    `workers` are the usable ones.
    """
    share = TRIAL_WORKER_SHARE if busy else IDLE_TRIAL_WORKER_SHARE
    limit = max(1, int(share * len(workers)))
    lone = [
        (job, unit)
        for job, unit in pool.crashed_units.values()
        if _needs_lone_trial(unit)
    ]
    on_trial = sum(bool(unit.runs) for _, unit in lone)
    reserved = 0
    if limit > 1 and on_trial < len(lone):
        reserved = max(1, int(LONE_TRIAL_SHARE * limit)) - on_trial
    return TrialView(
        now=now,
        lone_jobs={job.spec.id for job, _ in lone},
        slots=limit - sum(is_taken(each, now) for each in workers),
        reserved_slots=max(0, reserved),
    )


def _needs_lone_trial(unit: _state.Unit) -> bool:
    """Return whether a unit shares no trial and is not proven since."""
    return _crashes.risk(unit) >= 1.0 and (
        unit.state == _state.UnitState.WAITING
        or any(not run.proven for run in unit.runs)
    )


def is_taken(worker: _state.Worker, now: float) -> bool:
    """Return whether a worker holds a trial or is kept free for one."""
    return worker.trials > 0 or worker.kept_free_until > now


def is_closed(view: TrialView, worker: _state.Worker) -> bool:
    """Return whether a worker takes no new runs because of trials."""
    return is_taken(worker, view.now) and worker.key not in view.opened


def may_host(view: TrialView, worker: _state.Worker, risk: float) -> bool:
    """Return whether a unit with a risk may start on a worker now."""
    if worker.unproven_runs > worker.trials:
        return False
    if not is_taken(worker, view.now):
        return _may_take_worker(view, risk)
    others_risk = sum(_crashes.risk(run.unit) for run in _trial_runs(worker))
    return _may_share(others_risk, risk)


def _may_take_worker(view: TrialView, risk: float) -> bool:
    reserved = 0 if risk >= 1.0 else view.reserved_slots
    return view.slots > reserved


def _may_share(others_risk: float, risk: float) -> bool:
    return not others_risk or others_risk + risk <= MAX_TRIAL_RISK


def _trial_runs(worker: _state.Worker) -> list[_state.Run]:
    return [
        run for run in worker.runs.values() if run.on_trial and not run.proven
    ]


def score(view: TrialView, worker: _state.Worker) -> float:
    """Return a worker's placement score for a trial; the lowest wins.

    Shared trials come first, because they take no further worker. Among the
    others, workers with few runs come first, because they lose the least.
    """
    if worker.trials:
        return -2.0
    if worker.kept_free_until > view.now:
        return -1.0
    return float(len(worker.runs))


def record_trial(view: TrialView, risk: float, new_workers: set[str]) -> None:
    """Count a new trial on workers that were not taken before."""
    view.slots -= len(new_workers)
    if risk >= 1.0:
        view.reserved_slots = max(0, view.reserved_slots - 1)


def keep_worker_free(
    view: TrialView,
    unit: _state.Unit,
    risk: float,
    workers: list[_state.Worker],
) -> None:
    """Start nothing else on a worker that a waiting unit needs.

    `workers` have capacity for the unit. Units that may share a trial wait
    for the same worker.
    """
    wanted = len(unit.indexes)
    workers = sorted(
        (worker for worker in workers if not worker.trials),
        key=lambda worker: (
            not is_taken(worker, view.now),
            worker.unproven_runs,
        ),
    )
    for worker in workers:
        taken = is_taken(worker, view.now)
        claimed = view.claims.get(worker.key, 0.0)
        if not _may_share(claimed, risk):
            continue
        if not taken and not _may_take_worker(view, risk):
            continue
        view.slots -= not taken
        view.claims[worker.key] = claimed + risk
        worker.kept_free_until = view.now + KEPT_FREE_S
        wanted -= 1
        if not wanted:
            return
