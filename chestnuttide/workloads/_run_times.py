"""Run times and worker speeds learned from ended runs.

A run's sample is the logarithm of its actual by its estimated time, without
the part that its worker's speed explains. Each prediction is a mix of three
experts: the estimate as it is, what the kind of task has shown, and what the
job's own tasks have shown. Experts weigh by their recent errors, so that
learning costs little where estimates are better.
"""

import collections
import math
import statistics
import typing

import attrs

from chestnuttide import histograms

# Workspace, queue and number of the step; "" and `ANY_STEP` for all of them.
KindKey: typing.TypeAlias = tuple[str, str, int]
ANY_STEP: typing.Final = -1

# Limit of a correction of an estimate, as a factor either way.
MAX_CORRECTION: typing.Final = 16.0

# Limit of a worker's speed, as a factor either way.
MAX_SLOWNESS: typing.Final = 4.0

# A kind with this many samples weighs as much as the wider kind. Tasks of one
# step share the weight of one sample, as they depend on each other.
PRIOR_SAMPLES: typing.Final = 4.0

# The same for the ended tasks of a job against its kind.
JOB_PRIOR_SAMPLES: typing.Final = 0.5

# Samples from which quantiles of a kind are used by themselves.
MIN_KIND_SAMPLES: typing.Final = 8.0

# Time after which the samples of a kind count half.
HALF_LIFE_S: typing.Final = 600.0

# Weight of an expert's former errors with each sample, and how fast weights
# follow errors.
LOSS_DECAY: typing.Final = 0.98
LOSS_RATE: typing.Final = 1.0

# Kinds and jobs kept; the ones used longest ago are dropped.
MAX_KINDS: typing.Final = 512
MAX_JOBS: typing.Final = 2000
MAX_MACHINES: typing.Final = 2000

# Ended runs kept for a job's step, and for a worker.
JOB_RUNS: typing.Final = 15
WORKER_RUNS: typing.Final = 24

# Runs within this time show a worker's present speed, in seconds.
WINDOW_S: typing.Final = 6.0

# Weight of a worker's long-run speed beside its samples in the window.
SPEED_PRIOR_WEIGHT: typing.Final = 1.5

# Weight of a comparison with the kind instead of tasks of the same step.
KIND_COMPARISON_WEIGHT: typing.Final = 0.15

# Least rate at which a long-run speed follows a sample, and the largest
# difference that counts, so that a slow spell of seconds moves it little.
SPEED_RATE: typing.Final = 0.05
SPEED_CLIP: typing.Final = 0.7

# Assumed factor of a task off its data's rack until some have been seen.
FAR_FACTOR: typing.Final = 2.0

_MAX_LOG: typing.Final = math.log(MAX_CORRECTION)
_MAX_SLOW_LOG: typing.Final = math.log(MAX_SLOWNESS)


@attrs.define(kw_only=True, slots=True)
class Kind:
    """What ended runs of a kind of task have shown.

    Attributes
    ----------
    ratios : Histogram
        Actual by estimated time on a worker of speed 1.
    under_way : tuple of (float, float)
        Lower bounds of runs under way: ratio so far and weight.
    losses : list of float
        Decayed sum of each expert's absolute errors, as logarithms: the
        estimate, the kind, the job.
    runs : int
        Number of ended runs.
    updated_at : float
        Monotonic time of the last sample.
    log_median : float
        Logarithm of the median ratio at the last refresh.
    overdue_weight : float
        Weight of the runs under way that have taken longer than estimated.
    """

    ratios: histograms.Histogram = attrs.field(factory=histograms.Histogram)
    under_way: tuple[tuple[float, float], ...] = ()
    losses: list[float] = attrs.field(factory=lambda: [0.0, 0.0, 0.0])
    runs: int = 0
    updated_at: float = 0.0
    log_median: float = 0.0
    overdue_weight: float = 0.0


@attrs.define(kw_only=True, slots=True)
class JobRuns:
    """Ended runs of a job's step.

    Attributes
    ----------
    logs : deque of float
        Logarithms of the last ratios on a worker of speed 1.
    log_median : float
        Their median.
    log_bound : float or None
        Logarithm of the ratio that half of its runs under way have passed,
        while none has ended.
    """

    logs: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=JOB_RUNS)
    )
    log_median: float = 0.0
    log_bound: float | None = None


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


@attrs.define(kw_only=True, slots=True, eq=False)
class RunTimes:
    """Learned run times of a service.

    Attributes
    ----------
    kinds : dict of KindKey to Kind
        Kinds of tasks, the one used longest ago first.
    jobs : dict of (str, int) to JobRuns
        Ended runs by job and step.
    machines : dict of str to Speed
        Long-run speeds by id of the machine.
    labels : dict of str to float
        Log slowness of the machines of a label at the last refresh.
    workers : dict of str to Pace
        Recent runs by worker incarnation.
    far : Speed
        Log slowness of tasks off their data's rack.
    predictions : dict of (str, int) to float
        Predictions since the last refresh, by job and step.
    typical_log_slowness : float
        Mean over the measured workers at the last refresh.
    samples : int
        Number of ended runs that were learned from, by this owner.
    counts : Counter of str
        Ended runs since the last report: ``learned``, or why not.
    """

    kinds: dict[KindKey, Kind] = attrs.field(factory=dict)
    jobs: dict[tuple[str, int], JobRuns] = attrs.field(factory=dict)
    machines: dict[str, Speed] = attrs.field(factory=dict)
    labels: dict[str, float] = attrs.field(factory=dict)
    workers: dict[str, Pace] = attrs.field(factory=dict)
    far: Speed = attrs.field(
        factory=lambda: Speed(log_slowness=math.log(FAR_FACTOR))
    )
    predictions: dict[tuple[str, int], float] = attrs.field(factory=dict)
    typical_log_slowness: float = 0.0
    samples: int = 0
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)


def levels(key: KindKey) -> tuple[KindKey, ...]:
    """Return the kinds that a task belongs to, widest first."""
    workspace, queue, step = key
    wider = (
        ("", "", ANY_STEP),
        ("", queue, ANY_STEP),
        ("", queue, step),
    )
    return (*wider, key) if workspace else wider


def weight_of(kind: Kind, now: float) -> float:
    """Return how many samples a kind counts for, old ones fading."""
    age_s = max(0.0, now - kind.updated_at)
    ended = kind.ratios.samples * 0.5 ** (age_s / HALF_LIFE_S)
    return ended + kind.overdue_weight


def predict_log(
    times: RunTimes, key: KindKey, job_id: str, *, now: float
) -> float:
    """Return the logarithm of the expected ratio on a worker of speed 1.

    Parameters
    ----------
    times : RunTimes
        What was learned.
    key : KindKey
        Kind of the task.
    job_id : str
        Its job.
    now : float
        Monotonic time.
    """
    known = times.predictions.get((job_id, key[2]))
    if known is not None:
        return known
    experts = _experts(times, key, job_id, now)
    mixed = _mix(experts, _losses(times, key))
    runs = times.jobs.get((job_id, key[2]))
    if runs is not None and runs.log_bound is not None:
        mixed = max(mixed, runs.log_bound)
    predicted = clamp(mixed, _MAX_LOG)
    times.predictions[(job_id, key[2])] = predicted
    _trim(times.predictions, MAX_JOBS)
    return predicted


def _experts(
    times: RunTimes, key: KindKey, job_id: str, now: float
) -> tuple[float, float, float]:
    of_kind = 0.0
    for level in levels(key):
        kind = times.kinds.get(level)
        if kind is not None:
            weight = weight_of(kind, now)
            of_kind = (weight * kind.log_median + PRIOR_SAMPLES * of_kind) / (
                weight + PRIOR_SAMPLES
            )
    of_job = of_kind
    runs = times.jobs.get((job_id, key[2]))
    if runs is not None and runs.logs:
        count = len(runs.logs)
        of_job = (count * runs.log_median + JOB_PRIOR_SAMPLES * of_kind) / (
            count + JOB_PRIOR_SAMPLES
        )
    return (0.0, of_kind, of_job)


def _losses(times: RunTimes, key: KindKey) -> list[float]:
    for level in reversed(levels(key)):
        kind = times.kinds.get(level)
        if kind is not None and kind.ratios.samples >= PRIOR_SAMPLES:
            return kind.losses
    return [0.0, 0.0, 0.0]


def _mix(experts: tuple[float, ...], losses: list[float]) -> float:
    least = min(losses)
    weights = [math.exp(LOSS_RATE * (least - loss)) for loss in losses]
    total = sum(weights)
    return sum(w * e for w, e in zip(weights, experts, strict=True)) / total


def prior_log_slowness(
    times: RunTimes, machine: str, labels: frozenset[str]
) -> float:
    """Return the slowness of a machine, shrunk towards that of its labels."""
    known = [times.labels[each] for each in labels if each in times.labels]
    like = statistics.fmean(known) if known else 0.0
    speed = times.machines.get(machine)
    if speed is None:
        return like
    total = speed.weight + SPEED_PRIOR_WEIGHT
    return (
        speed.weight * speed.log_slowness + SPEED_PRIOR_WEIGHT * like
    ) / total


@attrs.frozen(kw_only=True, slots=True)
class Sample:
    """An ended run.

    Attributes
    ----------
    key : KindKey
        Kind of its task.
    job_id : str
        Its job.
    ratio : float
        Actual by estimated time.
    width : int
        Number of tasks of its step that end on their own.
    worker_key, machine : str
        Worker incarnation, and its machine; empty for a gang.
    labels : frozenset of str
        Labels of the worker that may tell its kind.
    log_slowness : float
        Slowness of the worker as it was known, of a gang's slowest member.
    far : bool
        Whether it ran off its data's rack.
    now : float
        Monotonic time of the end.
    """

    key: KindKey
    job_id: str
    ratio: float
    width: int
    worker_key: str
    machine: str
    labels: frozenset[str]
    log_slowness: float
    far: bool
    now: float


def record_sample(times: RunTimes, sample: Sample) -> None:
    """Learn from an ended run."""
    far = times.far.log_slowness if sample.far else 0.0
    ratio_log = clamp(math.log(max(1e-6, sample.ratio)), 2 * _MAX_LOG)
    normal = ratio_log - sample.log_slowness - far
    experts = _experts(times, sample.key, sample.job_id, sample.now)
    weight = 1.0 / max(1, sample.width)
    _record_pace(times, sample, ratio_log, experts[1])
    runs = times.jobs.setdefault((sample.job_id, sample.key[2]), JobRuns())
    runs.logs.append(normal)
    runs.log_median = statistics.median(runs.logs)
    runs.log_bound = None
    times.predictions.pop((sample.job_id, sample.key[2]), None)
    _trim(times.jobs, MAX_JOBS)
    for level in levels(sample.key):
        kind = times.kinds.pop(level, None) or Kind()
        times.kinds[level] = kind
        fade = 0.5 ** (max(0.0, sample.now - kind.updated_at) / HALF_LIFE_S)
        kind.ratios.samples *= fade
        histograms.add_sample(kind.ratios, math.exp(normal), weight=weight)
        kind.losses = [
            loss * LOSS_DECAY**weight
            + weight * min(_MAX_LOG, abs(normal - expert))
            for loss, expert in zip(kind.losses, experts, strict=True)
        ]
        kind.runs += 1
        kind.updated_at = sample.now
    _trim(times.kinds, MAX_KINDS)
    times.samples += 1
    times.counts["learned"] += 1


def _record_pace(
    times: RunTimes, sample: Sample, ratio_log: float, of_kind: float
) -> None:
    """Compare a run with other tasks of its step, or else with its kind."""
    if not sample.worker_key:
        return
    runs = times.jobs.get((sample.job_id, sample.key[2]))
    if runs is not None and runs.logs:
        expected = runs.log_median
        weight = len(runs.logs) / (len(runs.logs) + 1.0)
    else:
        kind = times.kinds.get(("", *sample.key[1:]))
        if kind is None or kind.ratios.samples < MIN_KIND_SAMPLES:
            return
        expected, weight = of_kind, KIND_COMPARISON_WEIGHT
    slowness = clamp(ratio_log - expected, 2 * _MAX_SLOW_LOG)
    if sample.far:
        _follow(times.far, slowness - sample.log_slowness, weight)
        times.far.log_slowness = max(0.0, times.far.log_slowness)
        return
    pace = times.workers.get(sample.worker_key)
    if pace is None:
        pace = add_worker(
            times, sample.worker_key, sample.machine, sample.labels
        )
    pace.samples.append((sample.now, slowness, weight))
    speed = times.machines.pop(sample.machine, None) or Speed()
    times.machines[sample.machine] = speed
    _follow(speed, slowness, weight)
    _trim(times.machines, MAX_MACHINES)


def add_worker(
    times: RunTimes, key: str, machine: str, labels: frozenset[str]
) -> Pace:
    """Add a worker incarnation that is not known yet."""
    pace = times.workers[key] = Pace(
        machine=machine,
        labels=labels,
        log_slowness=prior_log_slowness(times, machine, labels),
    )
    return pace


def _follow(speed: Speed, slowness: float, weight: float) -> None:
    rate = weight * max(SPEED_RATE, 1.0 / (1.0 + speed.weight))
    change = clamp(slowness - speed.log_slowness, SPEED_CLIP)
    speed.log_slowness = clamp(
        speed.log_slowness + rate * change, _MAX_SLOW_LOG
    )
    speed.weight += weight


def refresh(times: RunTimes, *, now: float) -> None:
    """Update medians, speeds and the means of labels."""
    times.predictions.clear()
    _trim(times.kinds, MAX_KINDS)
    for kind in times.kinds.values():
        if kind.ratios.weights or kind.under_way:
            (median,) = histograms.quantiles(
                kind.ratios, (0.5,), lower_bounds=kind.under_way
            )
            kind.log_median = clamp(math.log(median), _MAX_LOG)
        kind.overdue_weight = sum(
            weight for ratio, weight in kind.under_way if ratio > 1.0
        )
    by_label: dict[str, list[float]] = {}
    for pace in times.workers.values():
        speed = times.machines.get(pace.machine)
        if speed is not None:
            for label in pace.labels:
                by_label.setdefault(label, []).append(speed.log_slowness)
    times.labels = {
        # Few machines of a label say little about the next one.
        label: sum(logs) / (len(logs) + PRIOR_SAMPLES)
        for label, logs in by_label.items()
    }
    measured = []
    for pace in times.workers.values():
        prior = prior_log_slowness(times, pace.machine, pace.labels)
        median, weight = recent_slowness(pace, now=now)
        pace.log_slowness = clamp(
            (weight * median + SPEED_PRIOR_WEIGHT * prior)
            / (weight + SPEED_PRIOR_WEIGHT),
            _MAX_SLOW_LOG,
        )
        if pace.machine in times.machines:
            measured.append(pace.log_slowness)
    times.typical_log_slowness = sum(measured) / (
        len(measured) + PRIOR_SAMPLES
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


def upper_ratio(
    times: RunTimes, key: KindKey, share: float, *, now: float
) -> float | None:
    """Return a quantile of actual by estimated time.

    Returns
    -------
    float or None
        The quantile on a worker of speed 1, of the narrowest kind with
        enough samples; None if there is none for the queue.
    """
    for level in reversed(levels(key)[1:]):
        kind = times.kinds.get(level)
        if kind is not None and weight_of(kind, now) >= MIN_KIND_SAMPLES:
            (value,) = histograms.quantiles(
                kind.ratios, (share,), lower_bounds=kind.under_way
            )
            return value
    return None


def clamp(value: float, limit: float) -> float:
    """Return the value within plus or minus a limit."""
    return max(-limit, min(limit, value))


def _trim(items: dict, limit: int) -> None:
    """Drop the items that were added longest ago."""
    while len(items) > limit:
        del items[next(iter(items))]
