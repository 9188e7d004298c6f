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

# Share of these workers for units that were the only suspect of a crash. They
# are most likely the cause, and sound suspects must not wait behind them.
REPEATED_TRIAL_SHARE = 0.5

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
    slots : int
        Number of further workers that may hold trials or be kept free.
    repeated_slots : int
        Number of further trials of units that were an only suspect.
    claims : dict of str to float
        Risk of the units that wait for a worker, by worker.
    opened : set of str
        Workers that the unit that is being placed may use although they
        hold trials or are kept free.
    """

    now: float
    slots: int
    repeated_slots: int
    claims: dict[str, float] = attrs.field(factory=dict)
    opened: set[str] = attrs.field(factory=set)


def make_trial_view(
    workers: list[_state.Worker], *, busy: bool, now: float
) -> TrialView:
    """Return the state of trials at the start of a planning round."""
    share = TRIAL_WORKER_SHARE if busy else IDLE_TRIAL_WORKER_SHARE
    limit = max(1, int(share * len(workers)))
    repeated = sum(
        any(_crashes.was_only_suspect(run.unit) for run in _trial_runs(each))
        for each in workers
        if each.trials
    )
    return TrialView(
        now=now,
        slots=limit - sum(is_taken(each, now) for each in workers),
        repeated_slots=max(1, int(REPEATED_TRIAL_SHARE * limit)) - repeated,
    )


def is_taken(worker: _state.Worker, now: float) -> bool:
    """Return whether a worker holds a trial or is kept free for one."""
    return worker.trials > 0 or worker.kept_free_until > now


def is_closed(view: TrialView, worker: _state.Worker) -> bool:
    """Return whether a worker takes no new runs because of trials."""
    return is_taken(worker, view.now) and worker.key not in view.opened


def may_host(
    view: TrialView, worker: _state.Worker, unit: _state.Unit
) -> bool:
    """Return whether a suspected unit may start on a worker now."""
    if worker.unproven_runs > worker.trials:
        return False
    if _crashes.was_only_suspect(unit) and view.repeated_slots <= 0:
        return False
    if not is_taken(worker, view.now):
        return view.slots > 0
    risk = sum(_crashes.risk(run.unit) for run in _trial_runs(worker))
    return _may_share(risk, unit)


def _may_share(risk: float, unit: _state.Unit) -> bool:
    return not risk or risk + _crashes.risk(unit) <= MAX_TRIAL_RISK


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


def record_trial(
    view: TrialView, unit: _state.Unit, new_workers: set[str]
) -> None:
    """Count a new trial and the workers that held none before."""
    view.slots -= len(new_workers)
    view.repeated_slots -= _crashes.was_only_suspect(unit)


def keep_worker_free(
    view: TrialView, unit: _state.Unit, workers: list[_state.Worker]
) -> None:
    """Start nothing else on a worker that a waiting unit needs.

    `workers` have capacity for the unit. Units that may share a trial wait
    for the same worker.
    """
    if _crashes.was_only_suspect(unit) and view.repeated_slots <= 0:
        return
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
        if not _may_share(claimed, unit) or (not taken and view.slots <= 0):
            continue
        view.slots -= not taken
        view.claims[worker.key] = claimed + _crashes.risk(unit)
        worker.kept_free_until = view.now + KEPT_FREE_S
        wanted -= 1
        if not wanted:
            return
