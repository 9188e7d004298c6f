"""Crashes of workers: which task caused them, and when it is given up.

A task may crash every worker that starts it. All runs of the worker are lost,
and most of them belong to sound tasks. Those that were only just started are
suspected, and next start on trial (see ``_trials``): apart from other work
and, after a second crash, each alone. A crash then has one suspect. A task
that was the only suspect twice, or once after two crashes, is given up.
"""

import collections.abc
import math

from chestnuttide.workloads import _lifecycle
from chestnuttide.workloads import _state

# A task that crashes its worker as it starts does so within this time of the
# start, as the owner sees both. If the time of a crash is known, runs that
# were started so shortly before it are much more likely causes than others.
STARTUP_CRASH_S = 0.1

# Risk up to which a unit is started like any other. A unit that was suspected
# once beside more likely causes is about as often sound as one never started;
# one that was there twice is not.
NEGLIGIBLE_RISK = 1.5 / _state.UNLIKELY_SUSPECTS

# Crashes with a unit as their only suspect after which it is given up. A sound
# unit could get there only if its worker crashed for another reason while it
# was on trial.
MAX_SOLE_CRASHES = 2

# Crashes after which a unit may be given up if its run is known to have
# started before each. A start that was not answered may not have taken effect,
# so without these the unit has to be the only suspect once more.
MIN_STARTED_CRASHES = 2
MAX_UNANSWERED_CRASHES = 3

# Crashes under suspicion after which a unit is given up if it was the only
# suspect of one of them.
MAX_SUSPECTED_CRASHES = 3

# Crashes after which a unit that was suspected repeatedly is given up although
# none of them can be attributed, for example because its owner changed each
# time. The users allow five starts.
MAX_CRASHES = 5

# Crashes after which a unit is suspected even if its runs had been proven. It
# may crash workers only after a while, so its trials take longer.
SUSPICIOUS_CRASHES = 3
LONG_TRIAL_S = 5.0

# Likelihood that a unit is the cause of so many crashes of workers that had
# proven it each time.
BYSTANDER_RISK = 0.2


def is_suspect(unit: _state.Unit) -> bool:
    """Return whether a unit's next run is on trial."""
    return trial_risk(unit) > 0.0


def trial_risk(unit: _state.Unit) -> float:
    """Return the risk of a unit whose next run is on trial, else 0."""
    unit_risk = risk(unit) if unit.crashes else 0.0
    return unit_risk if unit_risk > NEGLIGIBLE_RISK else 0.0


def trial_s(unit: _state.Unit) -> float:
    """Return for how long a run has to be listed until it is proven."""
    if len(unit.crashes) >= SUSPICIOUS_CRASHES:
        return LONG_TRIAL_S
    return _state.PROVEN_RUN_S


def risk(unit: _state.Unit) -> float:
    """Return how likely a suspected unit is the cause of its crashes.

    It is 1 for units that share no trial: after a second crash under
    suspicion, and for gangs, which use several workers. It is 0 once all
    crashes are refuted.
    """
    suspected = _count_suspected(unit.crashes.values())
    many = len(unit.crashes) >= SUSPICIOUS_CRASHES
    if suspected and (many or suspected > 1 or len(unit.indexes) > 1):
        return 1.0
    innocence = math.prod(
        1.0 - 1.0 / crash.suspects
        for crash in unit.crashes.values()
        if crash.suspects
    )
    return max(1.0 - innocence, BYSTANDER_RISK if many else 0.0)


def _count_suspected(
    crashes: collections.abc.Iterable[_state.Crash],
) -> int:
    """Return the number of crashes for which no other cause was likelier."""
    return sum(
        0 < crash.suspects < _state.UNLIKELY_SUSPECTS for crash in crashes
    )


def may_start(unit: _state.Unit) -> bool:
    """Return whether a unit may be started again after its crashes.

    A unit with too many of them waits until `settle_crashes` gives it up or
    finds that some of the workers had only been silent.
    """
    return not unit.crashes or not _is_given_up(unit.crashes.values())


def _is_given_up(crashes: collections.abc.Collection[_state.Crash]) -> bool:
    sole = sum(crash.suspects == 1 for crash in crashes)
    if sum(crash.started for crash in crashes) < MIN_STARTED_CRASHES:
        return sole >= MAX_UNANSWERED_CRASHES
    suspected = _count_suspected(crashes)
    return (
        sole >= MAX_SOLE_CRASHES
        or (sole > 0 and suspected >= MAX_SUSPECTED_CRASHES)
        or (suspected > 1 and len(crashes) >= MAX_CRASHES)
    )


def record_crash(pool: _state.Pool, worker: _state.Worker) -> None:
    """Record that a worker may have crashed under its runs.

    This comes before the runs are ended. It may be called again for the same
    worker. A worker that was draining has left and not crashed.
    """
    if worker.report.draining:
        return
    lost = [
        run
        for run in worker.runs.values()
        if run.phase != _state.Phase.PLANNED
    ]
    suspects = _count_suspects(worker, lost)
    for run in lost:
        unit = run.unit
        if run.number in unit.crashes:
            continue
        unit.crashes[run.number] = _state.Crash(
            worker_key=worker.key,
            index=run.index,
            suspects=suspects.get(unit, 0),
            started=run.confirmed_at > 0.0,
        )
        _state.mark_changed(run.job)
        index_unit(pool, run.job, unit)


def _count_suspects(
    worker: _state.Worker, lost: collections.abc.Iterable[_state.Run]
) -> dict[_state.Unit, int]:
    """Return the suspects of a crash, and how many are as likely as each.

    Nothing else starts beside a run on trial, so only runs on trial are
    suspected if there are any.
    """
    unproven = [run for run in lost if not run.proven]
    on_trial = [run for run in unproven if run.on_trial]
    possible = on_trial or unproven
    likely = possible
    if worker.broken_at:
        sent_s = {
            run: worker.broken_at - run.start_sent_at for run in possible
        }
        before = [run for run in possible if sent_s[run] >= 0.0] or possible
        likely = [
            run for run in before if sent_s[run] <= STARTUP_CRASH_S
        ] or before
    units = {run.unit for run in likely}
    units.update(
        run.unit
        for run in on_trial or lost
        if len(run.unit.crashes) >= SUSPICIOUS_CRASHES
    )
    unlikely = {run.unit for run in possible} - units
    return dict.fromkeys(units, len(units)) | dict.fromkeys(
        unlikely, _state.UNLIKELY_SUSPECTS
    )


def index_unit(pool: _state.Pool, job: _state.Job, unit: _state.Unit) -> None:
    """Include a unit in the pool's index of units with crashes."""
    if unit.crashes:
        pool.crashed_units[(job.spec.id, unit.key)] = (job, unit)


def clear_crashes(
    job: _state.Job,
    unit: _state.Unit,
    predicate: collections.abc.Callable[[_state.Crash], bool],
) -> bool:
    """Remove the crashes of a unit for which a predicate holds.

    Returns
    -------
    bool
        Whether there were any.
    """
    kept = {
        number: crash
        for number, crash in unit.crashes.items()
        if not predicate(crash)
    }
    if len(kept) == len(unit.crashes):
        return False
    unit.crashes = kept
    _state.mark_changed(job)
    return True


def refute_crash(pool: _state.Pool, worker: _state.Worker) -> None:
    """Remove the crash of a worker that turns out to have been silent."""
    for job, unit in pool.crashed_units.values():
        clear_crashes(job, unit, lambda crash: crash.worker_key == worker.key)


def refute_by_run(run: _state.Run, *, settled: bool) -> None:
    """Remove crashes that a listed run shows not to be its own fault.

    A start that was sent to a worker that crashed may have reached its next
    incarnation instead, and runs there. A long-running task that serves has
    started without crashing its worker; `settled` is whether it has run for
    `PROVEN_RUN_S`.
    """
    unit = run.unit
    crash = unit.crashes.get(run.number)
    if (
        crash is not None
        and crash.index == run.index
        and crash.worker_key != run.worker_key
    ):
        clear_crashes(run.job, unit, lambda each: each is crash)
    lasting = _lifecycle.step_of(unit, run.job).lasting
    if lasting and settled and run.percent >= 100:
        clear_crashes(run.job, unit, lambda each: True)


def settle_crashes(
    pool: _state.Pool, *, now: float, now_unix_s: float
) -> list[tuple[_state.Job, _state.Unit]]:
    """Give up the units that crash their workers.

    A crash is confirmed once the store no longer lists the worker. One that it
    lists for longer than the entry of a dead worker lasts is alive, and only
    out of this owner's reach.

    Returns
    -------
    list of (Job, Unit)
        The units that were given up, for the log.
    """
    given_up = []
    for key, (job, unit) in list(pool.crashed_units.items()):
        if (
            pool.active.get(job.spec.id) is not job
            or unit.state == _state.UnitState.DONE
            or not unit.crashes
        ):
            del pool.crashed_units[key]
            continue
        if may_start(unit):
            continue
        clear_crashes(
            job,
            unit,
            lambda crash: _is_alive(pool, crash.worker_key, now=now),
        )
        confirmed = [
            crash
            for crash in unit.crashes.values()
            if not _is_listed(pool, crash.worker_key)
        ]
        if _is_given_up(confirmed):
            given_up.append((job, unit))
            _lifecycle.fail_unit(pool, job, unit, now_unix_s)
    return given_up


def _is_listed(pool: _state.Pool, worker_key: str) -> bool:
    worker = pool.workers.get(worker_key)
    return worker is not None and worker.listed


def _is_alive(pool: _state.Pool, worker_key: str, *, now: float) -> bool:
    if not _is_listed(pool, worker_key):
        return False
    worker = pool.workers[worker_key]
    silent_s = now - max(worker.lost_at, worker.known_since)
    return silent_s > pool.limits.entry_expiry_s
