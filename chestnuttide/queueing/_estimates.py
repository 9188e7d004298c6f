"""Run time estimates by workload class, learned from successful runs.

Run times and their ratios to the declared ones are stored in histograms with
logarithmic buckets whose weights decay with each sample. Their quantiles are
robust against stragglers that run many times longer than the rest.
"""

import math

import attrs

# Ratio of adjacent buckets; limits the error of a quantile to 5%.
BUCKET_RATIO = 1.1

# Smallest distinguishable value: 1 ms of run time, or a ratio of 0.001.
MIN_VALUE = 0.001

# Weight of a sample relative to the next one. The last 100 samples have 63% of
# the total weight, so estimates follow a change of run times soon.
WEIGHT_DECAY = 0.99

# Weight above which all weights are scaled down, to stay within the range of a
# float.
RESCALE_WEIGHT = 1e100

# Number of samples from which learned run times replace declared ones.
MIN_SAMPLES = 8

# Number of ratio samples from which declared run times are corrected.
MIN_RATIO_SAMPLES = 3

# Expected run time in seconds when none is declared or learned.
DEFAULT_RUN_S = 10.0

# Ratio of p90 to the median that is assumed until both are learned.
DEFAULT_SPREAD = 2.0

_LOG_RATIO = math.log(BUCKET_RATIO)


@attrs.define(kw_only=True)
class Histogram:
    """A histogram with logarithmic buckets and decaying weights.

    Attributes
    ----------
    weights : dict of int to float
        Weight by bucket.
    next_weight : float
        Weight of the next sample; it grows, so that earlier weights need not
        be reduced.
    samples : int
        Number of samples added.
    """

    weights: dict[int, float] = attrs.field(factory=dict)
    next_weight: float = 1.0
    samples: int = 0


@attrs.define(kw_only=True)
class ClassEstimate:
    """Learned run times of one workload class.

    Attributes
    ----------
    runs : Histogram
        Run times in seconds.
    ratios : Histogram
        Observed run time divided by the declared one.
    median_s, p90_s : float
        Quantiles of the run times after the last sample.
    ratio : float
        Median of the ratios after the last sample.
    """

    runs: Histogram = attrs.field(factory=Histogram)
    ratios: Histogram = attrs.field(factory=Histogram)
    median_s: float = 0.0
    p90_s: float = 0.0
    ratio: float = 1.0


@attrs.define(kw_only=True)
class Estimates:
    """Learned run times.

    Attributes
    ----------
    classes : dict of str to ClassEstimate
        Learned run times by workload class.
    """

    classes: dict[str, ClassEstimate] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class RunTimeEstimate:
    """Expected run time of a task.

    Attributes
    ----------
    median_s, p90_s : float
        Median and 90th percentile of the run time, in seconds.
    learned : bool
        Whether it is based on observed run times.
    """

    median_s: float
    p90_s: float
    learned: bool


def record_run_time(
    estimates: Estimates,
    workload_class: str,
    run_s: float,
    declared_s: float = 0.0,
) -> None:
    """Record the run time of a successful run.

    Parameters
    ----------
    estimates : Estimates
        Learned run times.
    workload_class : str
        Workload class of the run.
    run_s : float
        Observed run time in seconds.
    declared_s : float
        Declared run time in seconds; 0 if none is declared.
    """
    learned = estimates.classes.get(workload_class)
    if learned is None:
        learned = estimates.classes[workload_class] = ClassEstimate()
    add_sample(learned.runs, run_s)
    learned.median_s, learned.p90_s = quantiles(learned.runs, (0.5, 0.9))
    if declared_s > 0:
        add_sample(learned.ratios, run_s / declared_s)
        (learned.ratio,) = quantiles(learned.ratios, (0.5,))


def estimate_run_time(
    estimates: Estimates, workload_class: str, declared_s: float = 0.0
) -> RunTimeEstimate:
    """Return the expected run time of a task of a workload class.

    Until enough runs were observed, this is the declared run time, corrected
    by the learned ratio of the class.
    """
    learned = estimates.classes.get(workload_class)
    if learned is not None and learned.runs.samples >= MIN_SAMPLES:
        return RunTimeEstimate(
            median_s=learned.median_s, p90_s=learned.p90_s, learned=True
        )
    median_s = declared_s if declared_s > 0 else DEFAULT_RUN_S
    if learned is not None:
        if declared_s > 0 and learned.ratios.samples >= MIN_RATIO_SAMPLES:
            median_s = declared_s * learned.ratio
        elif declared_s <= 0 and learned.runs.samples:
            median_s = learned.median_s
    return RunTimeEstimate(
        median_s=median_s, p90_s=median_s * DEFAULT_SPREAD, learned=False
    )


def add_sample(histogram: Histogram, value: float) -> None:
    """Add a sample and decay the weights of earlier ones."""
    bucket = round(math.log(max(value, MIN_VALUE)) / _LOG_RATIO)
    weights = histogram.weights
    weights[bucket] = weights.get(bucket, 0.0) + histogram.next_weight
    histogram.next_weight /= WEIGHT_DECAY
    histogram.samples += 1
    if histogram.next_weight > RESCALE_WEIGHT:
        scale = 1.0 / histogram.next_weight
        # Weights that underflow to 0 are dropped.
        histogram.weights = {
            key: weight * scale
            for key, weight in weights.items()
            if weight * scale > 0.0
        }
        histogram.next_weight = 1.0


def quantiles(
    histogram: Histogram, shares: tuple[float, ...]
) -> tuple[float, ...]:
    """Return the quantiles at the given shares of the total weight.

    Parameters
    ----------
    histogram : Histogram
        A histogram with at least one sample.
    shares : tuple of float
        Shares from 0 to 1, ascending.

    Returns
    -------
    tuple of float
        One value for each share.
    """
    total = sum(histogram.weights.values())
    values_at = []
    below = 0.0
    bucket = 0
    buckets = iter(sorted(histogram.weights.items()))
    for share in shares:
        while below < share * total:
            next_bucket = next(buckets, None)
            if next_bucket is None:
                break
            bucket, weight = next_bucket
            below += weight
        values_at.append(math.exp(bucket * _LOG_RATIO))
    return tuple(values_at)


def dump_estimates(estimates: Estimates) -> dict[str, list]:
    """Return the learned run times as a structure of plain values."""
    return {
        name: [
            _dump_histogram(learned.runs),
            _dump_histogram(learned.ratios),
        ]
        for name, learned in estimates.classes.items()
    }


def load_estimates(values: dict[str, list]) -> Estimates:
    """Return the learned run times from a result of `dump_estimates`."""
    estimates = Estimates()
    for name, (runs, ratios) in values.items():
        learned = ClassEstimate(
            runs=_load_histogram(runs), ratios=_load_histogram(ratios)
        )
        if learned.runs.samples:
            learned.median_s, learned.p90_s = quantiles(
                learned.runs, (0.5, 0.9)
            )
        if learned.ratios.samples:
            (learned.ratio,) = quantiles(learned.ratios, (0.5,))
        estimates.classes[name] = learned
    return estimates


def _dump_histogram(histogram: Histogram) -> list:
    """Return a histogram as plain values, with the next weight scaled to 1."""
    scale = 1.0 / histogram.next_weight
    return [
        histogram.samples,
        {
            bucket: weight * scale
            for bucket, weight in histogram.weights.items()
        },
    ]


def _load_histogram(values: list) -> Histogram:
    """Return the histogram from its plain values."""
    return Histogram(samples=values[0], weights=dict(values[1]))
