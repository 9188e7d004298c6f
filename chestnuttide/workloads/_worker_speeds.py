"""Speeds of workers, measured against others that run the same work.

Workers of one kind need not have the same speed, and a worker may turn slow
for seconds. Each machine has a long-run speed; the runs of the last seconds
of an incarnation weigh against it.
"""

import collections
import math
import statistics
import typing

import attrs

# Limit of a worker's speed, as a factor either way.
MAX_SLOWNESS: typing.Final = 4.0

# Machines kept; the ones used longest ago are dropped.
MAX_MACHINES: typing.Final = 2000

# Ended runs kept for a worker.
WORKER_RUNS: typing.Final = 24

# Runs within this time show a worker's present speed, in seconds.
WINDOW_S: typing.Final = 6.0

# Weight of a worker's long-run speed beside its samples in the window.
SPEED_PRIOR_WEIGHT: typing.Final = 1.5

# Least rate at which a long-run speed follows a sample, and the largest
# difference that counts, so that a slow spell of seconds moves it little.
SPEED_RATE: typing.Final = 0.05
SPEED_CLIP: typing.Final = 0.7

# Assumed factor of a task off its data's rack until some have been seen.
FAR_FACTOR: typing.Final = 2.0

# A label with this many machines weighs as much as speed 1.
LABEL_PRIOR_MACHINES: typing.Final = 4.0

_MAX_LOG: typing.Final = math.log(MAX_SLOWNESS)


@attrs.define(kw_only=True, slots=True)
class Speed:
    """Long-run speed of a machine, as the logarithm of its slowness.

    Attributes
    ----------
    log_slowness : float
        Logarithm of the run time by that on a machine of speed 1.
    weight : float
        Sum of the weights of its samples.
    """

    log_slowness: float = 0.0
    weight: float = 0.0


@attrs.define(kw_only=True, slots=True)
class Pace:
    """Recent runs of a worker incarnation.

    Attributes
    ----------
    machine : str
        Id of its machine.
    labels : frozenset of str
        Labels that may tell its kind.
    samples : deque of (float, float, float)
        Time, log slowness against the tasks it is compared with, and weight.
    ends : deque of (float, str, bool)
        Time, job, and whether the run failed.
    log_slowness : float
        Slowness at the last refresh.
    penalty : float
        Penalty of its placement score; see ``_worker_health``.
    """

    machine: str
    labels: frozenset[str] = frozenset()
    samples: collections.deque[tuple[float, float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=WORKER_RUNS)
    )
    ends: collections.deque[tuple[float, str, bool]] = attrs.field(
        factory=lambda: collections.deque(maxlen=WORKER_RUNS)
    )
    log_slowness: float = 0.0
    penalty: float = 0.0


@attrs.define(kw_only=True, slots=True)
class Speeds:
    """Speeds of a service's workers.

    Attributes
    ----------
    machines : dict of str to Speed
        Long-run speeds by id of the machine.
    labels : dict of str to float
        Log slowness of the machines of a label at the last refresh.
    workers : dict of str to Pace
        Recent runs by worker incarnation.
    far : Speed
        Log slowness of tasks off their data's rack.
    typical_log_slowness : float
        Mean over the measured workers at the last refresh.
    """

    machines: dict[str, Speed] = attrs.field(factory=dict)
    labels: dict[str, float] = attrs.field(factory=dict)
    workers: dict[str, Pace] = attrs.field(factory=dict)
    far: Speed = attrs.field(
        factory=lambda: Speed(log_slowness=math.log(FAR_FACTOR))
    )
    typical_log_slowness: float = 0.0


def prior_log_slowness(
    speeds: Speeds, machine: str, labels: frozenset[str]
) -> float:
    """Return the slowness of a machine, shrunk towards that of its labels."""
    known = [speeds.labels[each] for each in labels if each in speeds.labels]
    like = statistics.fmean(known) if known else 0.0
    speed = speeds.machines.get(machine)
    if speed is None:
        return like
    total = speed.weight + SPEED_PRIOR_WEIGHT
    return (
        speed.weight * speed.log_slowness + SPEED_PRIOR_WEIGHT * like
    ) / total


def add_worker(
    speeds: Speeds, key: str, machine: str, labels: frozenset[str]
) -> Pace:
    """Add a worker incarnation that is not known yet."""
    pace = speeds.workers[key] = Pace(
        machine=machine,
        labels=labels,
        log_slowness=prior_log_slowness(speeds, machine, labels),
    )
    return pace


def record_run(
    speeds: Speeds, pace: Pace, slowness: float, *, weight: float, now: float
) -> None:
    """Record the log slowness of a run against others of the same work."""
    slowness = clamp(slowness, 2 * _MAX_LOG)
    pace.samples.append((now, slowness, weight))
    speed = speeds.machines.pop(pace.machine, None) or Speed()
    speeds.machines[pace.machine] = speed
    _follow(speed, slowness, weight)
    while len(speeds.machines) > MAX_MACHINES:
        del speeds.machines[next(iter(speeds.machines))]


def record_far_run(speeds: Speeds, slowness: float, *, weight: float) -> None:
    """Record how much slower a run off its data's rack was."""
    _follow(speeds.far, clamp(slowness, 2 * _MAX_LOG), weight)
    speeds.far.log_slowness = max(0.0, speeds.far.log_slowness)


def _follow(speed: Speed, slowness: float, weight: float) -> None:
    rate = weight * max(SPEED_RATE, 1.0 / (1.0 + speed.weight))
    change = clamp(slowness - speed.log_slowness, SPEED_CLIP)
    speed.log_slowness = clamp(speed.log_slowness + rate * change, _MAX_LOG)
    speed.weight += weight


def refresh(speeds: Speeds, *, now: float) -> None:
    """Update the speeds of labels and workers."""
    by_label: dict[str, list[float]] = {}
    for pace in speeds.workers.values():
        speed = speeds.machines.get(pace.machine)
        if speed is not None:
            for label in pace.labels:
                by_label.setdefault(label, []).append(speed.log_slowness)
    speeds.labels = {
        # Few machines of a label say little about the next one.
        label: sum(logs) / (len(logs) + LABEL_PRIOR_MACHINES)
        for label, logs in by_label.items()
    }
    measured = []
    for pace in speeds.workers.values():
        prior = prior_log_slowness(speeds, pace.machine, pace.labels)
        median, weight = recent_slowness(pace, now=now)
        pace.log_slowness = clamp(
            (weight * median + SPEED_PRIOR_WEIGHT * prior)
            / (weight + SPEED_PRIOR_WEIGHT),
            _MAX_LOG,
        )
        if pace.machine in speeds.machines:
            measured.append(pace.log_slowness)
    speeds.typical_log_slowness = sum(measured) / (
        len(measured) + LABEL_PRIOR_MACHINES
    )


def recent_slowness(pace: Pace, *, now: float) -> tuple[float, float]:
    """Return the weighted median of a worker's recent runs, and the weight."""
    recent = sorted(
        (slowness, weight)
        for at, slowness, weight in pace.samples
        if now - at <= WINDOW_S
    )
    total = sum(weight for _, weight in recent)
    below = 0.0
    for slowness, weight in recent:
        below += weight
        if below >= total / 2:
            return slowness, total
    return 0.0, 0.0


def clamp(value: float, limit: float) -> float:
    """Return the value within plus or minus a limit."""
    return max(-limit, min(limit, value))
