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
from chestnuttide.workloads import _worker_speeds

# Workspace, queue and number of the step; "" and `ANY_STEP` for all of them.
KindKey: typing.TypeAlias = tuple[str, str, int]
ANY_STEP: typing.Final = -1

# Limit of a correction of an estimate, as a factor either way.
MAX_CORRECTION: typing.Final = 16.0

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

# Weight of a comparison with the kind instead of tasks of the same step.
KIND_COMPARISON_WEIGHT: typing.Final = 0.15

# Kinds and jobs kept; the ones used longest ago are dropped.
MAX_KINDS: typing.Final = 512
MAX_JOBS: typing.Final = 2000

# Ended runs kept for a job's step.
JOB_RUNS: typing.Final = 15

MAX_LOG: typing.Final = math.log(MAX_CORRECTION)


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


@attrs.define(kw_only=True, slots=True, eq=False)
class RunTimes:
    """Learned run times of a service.

    Attributes
    ----------
    kinds : dict of KindKey to Kind
        Kinds of tasks, the one used longest ago first.
    jobs : dict of (str, int) to JobRuns
        Ended runs by job and step.
    speeds : Speeds
        Speeds of the workers.
    predictions : dict of (str, int) to float
        Predictions since the last refresh, by job and step.
    kind_logs : dict of KindKey to float
        The same for kinds, without the experts' weights.
    samples : int
        Number of ended runs that were learned from, by this owner.
    counts : Counter of str
        Ended runs since the last report: ``learned``, or why not.
    """

    kinds: dict[KindKey, Kind] = attrs.field(factory=dict)
    jobs: dict[tuple[str, int], JobRuns] = attrs.field(factory=dict)
    speeds: _worker_speeds.Speeds = attrs.field(factory=_worker_speeds.Speeds)
    predictions: dict[tuple[str, int], float] = attrs.field(factory=dict)
    kind_logs: dict[KindKey, float] = attrs.field(factory=dict)
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
    predicted = _worker_speeds.clamp(mixed, MAX_LOG)
    times.predictions[(job_id, key[2])] = predicted
    _trim(times.predictions, MAX_JOBS)
    return predicted


def _experts(
    times: RunTimes, key: KindKey, job_id: str, now: float
) -> tuple[float, float, float]:
    of_kind = times.kind_logs.get(key)
    if of_kind is None:
        of_kind = times.kind_logs[key] = _kind_log(times, key, now)
        _trim(times.kind_logs, MAX_KINDS)
    of_job = of_kind
    runs = times.jobs.get((job_id, key[2]))
    if runs is not None and runs.logs:
        count = len(runs.logs)
        of_job = (count * runs.log_median + JOB_PRIOR_SAMPLES * of_kind) / (
            count + JOB_PRIOR_SAMPLES
        )
    return (0.0, of_kind, of_job)


def _kind_log(times: RunTimes, key: KindKey, now: float) -> float:
    """Return what a kind has shown, shrunk towards the wider kinds."""
    log = 0.0
    for level in levels(key):
        kind = times.kinds.get(level)
        if kind is not None:
            weight = weight_of(kind, now)
            log = (weight * kind.log_median + PRIOR_SAMPLES * log) / (
                weight + PRIOR_SAMPLES
            )
    return log


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
    far = times.speeds.far.log_slowness if sample.far else 0.0
    ratio_log = _worker_speeds.clamp(
        math.log(max(1e-6, sample.ratio)), 2 * MAX_LOG
    )
    normal = ratio_log - sample.log_slowness - far
    experts = _experts(times, sample.key, sample.job_id, sample.now)
    weight = 1.0 / max(1, sample.width)
    _record_speed(times, sample, ratio_log, experts[1])
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
            + weight * min(MAX_LOG, abs(normal - expert))
            for loss, expert in zip(kind.losses, experts, strict=True)
        ]
        kind.runs += 1
        kind.updated_at = sample.now
    _trim(times.kinds, MAX_KINDS)
    times.samples += 1
    times.counts["learned"] += 1


def _record_speed(
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
    slowness = ratio_log - expected
    if sample.far:
        _worker_speeds.record_far_run(
            times.speeds, slowness - sample.log_slowness, weight=weight
        )
        return
    pace = times.speeds.workers.get(sample.worker_key)
    if pace is None:
        pace = _worker_speeds.add_worker(
            times.speeds, sample.worker_key, sample.machine, sample.labels
        )
    _worker_speeds.record_run(
        times.speeds, pace, slowness, weight=weight, now=sample.now
    )


def refresh(times: RunTimes, *, now: float) -> None:
    """Update the medians of kinds and the speeds of workers."""
    times.predictions.clear()
    times.kind_logs.clear()
    _trim(times.kinds, MAX_KINDS)
    for kind in times.kinds.values():
        if kind.ratios.weights or kind.under_way:
            (median,) = histograms.quantiles(
                kind.ratios, (0.5,), lower_bounds=kind.under_way
            )
            kind.log_median = _worker_speeds.clamp(math.log(median), MAX_LOG)
        kind.overdue_weight = sum(
            weight for ratio, weight in kind.under_way if ratio > 1.0
        )
    _worker_speeds.refresh(times.speeds, now=now)


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


def _trim(items: dict, limit: int) -> None:
    """Drop the items that were added longest ago."""
    while len(items) > limit:
        del items[next(iter(items))]
