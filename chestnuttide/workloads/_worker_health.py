"""Workers that slow down or fail part of their work, found by comparison.

Answers loads under which a few workers turn slow for seconds or fail some of
their tasks while they report good health. Such a worker gets a penalty of its
placement score by degrees. It is used again once its evidence is older than
the window, and at once where nothing else has room. Consecutive failures and
stalls of one worker lead to its quarantine as before; see ``_lifecycle``.
"""

import collections.abc
import math
import statistics
import typing

import attrs

from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _worker_speeds

# At most this share of a service's workers, or one worker, has a penalty,
# whatever is measured; a service of fewer than MIN_WORKERS has none with one.
MAX_SHARE: typing.Final = 0.2
MIN_WORKERS: typing.Final = 3

# Failed runs, of at least two jobs, and the excess over the share of failed
# runs on the other workers from which a worker has a penalty.
MIN_FAILURES: typing.Final = 2
MIN_EXCESS: typing.Final = 0.15

# Weight of the assumed share of failures, in runs: of the service's, and of a
# worker's towards the service's.
ASSUMED_FAILURE_SHARE: typing.Final = 0.02
SERVICE_PRIOR_RUNS: typing.Final = 10.0
WORKER_PRIOR_RUNS: typing.Final = 3.0

# Slowdown against a worker's own speed and against its like, and the weight
# of its samples, from which it has a penalty.
MIN_SLOWDOWN: typing.Final = 2.0
MIN_WEIGHT: typing.Final = 2.0

# Weight of a run under way that has taken longer than expected.
OVERDUE_WEIGHT: typing.Final = 0.5

# Penalties in units of the placement score, a worker's whole capacity: of a
# worker that fails all its runs, and for each doubling of the run time.
FAILURE_PENALTY: typing.Final = 3.0
SLOW_PENALTY: typing.Final = 0.75
MAX_PENALTY: typing.Final = 3.0


@attrs.frozen(kw_only=True, slots=True)
class Finding:
    """A worker that differs from its like.

    Attributes
    ----------
    worker_key : str
        The worker incarnation.
    cause : str
        ``fails`` or ``slow``.
    penalty : float
        Penalty of its placement score.
    """

    worker_key: str
    cause: str
    penalty: float


def record_end(
    pace: _worker_speeds.Pace, job_id: str, *, failed: bool, now: float
) -> None:
    """Record an ended, failed or stalled run of a worker."""
    pace.ends.append((now, job_id, failed))


def find(
    times: _run_times.RunTimes,
    *,
    overdue: collections.abc.Mapping[str, list[float]],
    usable: int,
    now: float,
) -> list[Finding]:
    """Return the workers that get a penalty, the worst first.

    Parameters
    ----------
    times : RunTimes
        Recent runs of the workers.
    overdue : mapping of str to list of float
        Logarithms of the slowness so far of runs under way that have taken
        longer than expected, by worker incarnation.
    usable : int
        Number of usable workers of the service.
    now : float
        Monotonic time.
    """
    if usable < MIN_WORKERS:
        return []
    found = [
        *_find_failing(times, now),
        *_find_slow(times, overdue, now),
    ]
    worst: dict[str, Finding] = {}
    for each in sorted(found, key=lambda each: -each.penalty):
        worst.setdefault(each.worker_key, each)
    limit = max(1, int(MAX_SHARE * usable))
    return list(worst.values())[:limit]


def _find_failing(
    times: _run_times.RunTimes, now: float
) -> collections.abc.Iterator[Finding]:
    windows = {
        key: [
            end for end in pace.ends if now - end[0] <= _worker_speeds.WINDOW_S
        ]
        for key, pace in times.speeds.workers.items()
    }
    runs = sum(map(len, windows.values()))
    failures = sum(end[2] for ends in windows.values() for end in ends)
    for key, ends in windows.items():
        failed = [end for end in ends if end[2]]
        if len({job for _, job, _ in failed}) < MIN_FAILURES:
            continue
        others = SERVICE_PRIOR_RUNS + runs - len(ends)
        like = (
            ASSUMED_FAILURE_SHARE * SERVICE_PRIOR_RUNS + failures - len(failed)
        ) / others
        own = (len(failed) + WORKER_PRIOR_RUNS * like) / (
            len(ends) + WORKER_PRIOR_RUNS
        )
        if own - like >= MIN_EXCESS:
            penalty = FAILURE_PENALTY * (own - like)
            yield _make_finding(key, "fails", penalty, now - failed[-1][0])


def _find_slow(
    times: _run_times.RunTimes,
    overdue: collections.abc.Mapping[str, list[float]],
    now: float,
) -> collections.abc.Iterator[Finding]:
    slowdowns: dict[str, tuple[float, float, float]] = {}
    for key, pace in times.speeds.workers.items():
        recent = [
            sample
            for sample in pace.samples
            if now - sample[0] <= _worker_speeds.WINDOW_S
        ]
        late = [
            (now, slowness, OVERDUE_WEIGHT)
            for slowness in overdue.get(key, ())
        ]
        # Ended runs lag behind a slowdown, so overdue ones take their place.
        rows = recent[len(late) :] + late
        weight = sum(row[2] for row in rows)
        if not rows or weight < MIN_WEIGHT / 2:
            continue
        speed = times.speeds.machines.get(pace.machine)
        usual = speed.log_slowness if speed is not None else 0.0
        slowdown = statistics.median(row[1] for row in rows) - usual
        slowdowns[key] = (slowdown, weight, now - rows[-1][0])
    if not slowdowns:
        return
    like = statistics.median(row[0] for row in slowdowns.values())
    for key, (slowdown, weight, age_s) in slowdowns.items():
        excess = min(slowdown, slowdown - like)
        if weight >= MIN_WEIGHT and excess >= math.log(MIN_SLOWDOWN):
            penalty = SLOW_PENALTY * excess / math.log(2.0)
            yield _make_finding(key, "slow", penalty, age_s)


def _make_finding(
    key: str, cause: str, penalty: float, age_s: float
) -> Finding:
    """Return a finding whose penalty fades with the age of its evidence."""
    left = max(0.0, 1.0 - age_s / _worker_speeds.WINDOW_S)
    return Finding(
        worker_key=key, cause=cause, penalty=min(MAX_PENALTY, penalty) * left
    )
