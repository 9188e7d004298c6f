"""Run times learned by class of work.

Run times and their ratio to the declared ones are kept as histograms with
logarithmic buckets whose weights decay with each sample. Quantiles of these
are hardly moved by stragglers that run many times longer than the rest.
"""

import math

import attrs

# Each bucket is 10% wider than the one before, so a quantile is at most 5%
# off.
BUCKET_RATIO = 1.1

# Smallest value that is told apart: 1 ms, or a ratio of 0.001.
SMALLEST = 0.001

# Weight of a sample relative to the one after it. The last 100 samples carry
# 63% of the weight, so a class whose run time changes is learned anew soon.
DECAY = 0.99

# Weights are scaled down before they exceed the range of a float.
RESCALE_WEIGHT = 1e100

# Samples after which learned run times replace declared ones.
MIN_SAMPLES = 8

# Samples of the ratio after which declared run times are corrected.
MIN_RATIO_SAMPLES = 3

# Expected run time in seconds when nothing is declared or learned.
DEFAULT_RUN_S = 10.0

# Ratio of p90 to the median before it is learned.
DEFAULT_SPREAD = 2.0

_LOG_RATIO = math.log(BUCKET_RATIO)


@attrs.define(kw_only=True)
class Histogram:
    """A decaying histogram with logarithmic buckets.

    Attributes
    ----------
    weights : dict of int to float
        Weight by bucket.
    next_weight : float
        Weight of the next sample; grows instead of letting all others shrink.
    samples : int
        Samples seen.
    """

    weights: dict[int, float] = attrs.field(factory=dict)
    next_weight: float = 1.0
    samples: int = 0


@attrs.define(kw_only=True)
class ClassEstimate:
    """What is learned about one class.

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
        By class of work.
    """

    classes: dict[str, ClassEstimate] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class Expectation:
    """Expected run time of a piece of work.

    Attributes
    ----------
    median_s, p90_s : float
        Seconds that half, or nine tenths, of such work takes at most.
    learned : bool
        Whether it comes from observed run times.
    """

    median_s: float
    p90_s: float
    learned: bool


def observe(
    estimates: Estimates,
    workload_class: str,
    run_s: float,
    declared_s: float = 0.0,
) -> None:
    """Learn from one run that succeeded.

    Parameters
    ----------
    estimates : Estimates
        Learned run times.
    workload_class : str
        Class of the work.
    run_s : float
        Observed run time in seconds.
    declared_s : float
        Declared run time in seconds; 0 when not declared.
    """
    learned = estimates.classes.get(workload_class)
    if learned is None:
        learned = estimates.classes[workload_class] = ClassEstimate()
    add_sample(learned.runs, run_s)
    learned.median_s, learned.p90_s = quantiles(learned.runs, (0.5, 0.9))
    if declared_s > 0:
        add_sample(learned.ratios, run_s / declared_s)
        (learned.ratio,) = quantiles(learned.ratios, (0.5,))


def expect(
    estimates: Estimates, workload_class: str, declared_s: float = 0.0
) -> Expectation:
    """Return the expected run time of work of a class.

    Before enough runs were observed, this is the declared run time corrected
    by the class's learned ratio.
    """
    learned = estimates.classes.get(workload_class)
    if learned is not None and learned.runs.samples >= MIN_SAMPLES:
        return Expectation(
            median_s=learned.median_s, p90_s=learned.p90_s, learned=True
        )
    median_s = declared_s if declared_s > 0 else DEFAULT_RUN_S
    if learned is not None:
        if declared_s > 0 and learned.ratios.samples >= MIN_RATIO_SAMPLES:
            median_s = declared_s * learned.ratio
        elif declared_s <= 0 and learned.runs.samples:
            median_s = learned.median_s
    return Expectation(
        median_s=median_s, p90_s=median_s * DEFAULT_SPREAD, learned=False
    )


def add_sample(histogram: Histogram, value: float) -> None:
    """Add a sample and let the older ones decay."""
    bucket = round(math.log(max(value, SMALLEST)) / _LOG_RATIO)
    weights = histogram.weights
    weights[bucket] = weights.get(bucket, 0.0) + histogram.next_weight
    histogram.next_weight /= DECAY
    histogram.samples += 1
    if histogram.next_weight > RESCALE_WEIGHT:
        scale = 1.0 / histogram.next_weight
        # A weight that underflows to 0 carries no information any more.
        histogram.weights = {
            key: weight * scale
            for key, weight in weights.items()
            if weight * scale > 0.0
        }
        histogram.next_weight = 1.0


def quantiles(
    histogram: Histogram, shares: tuple[float, ...]
) -> tuple[float, ...]:
    """Return the values below which the given shares of weight lie.

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
    found = []
    below = 0.0
    bucket = 0
    buckets = iter(sorted(histogram.weights.items()))
    for share in shares:
        while below < share * total:
            following = next(buckets, None)
            if following is None:
                break
            bucket, weight = following
            below += weight
        found.append(math.exp(bucket * _LOG_RATIO))
    return tuple(found)


def dump_estimates(estimates: Estimates) -> dict[str, list]:
    """Return the learned run times as plain values."""
    return {
        name: [
            _dump_histogram(learned.runs),
            _dump_histogram(learned.ratios),
        ]
        for name, learned in estimates.classes.items()
    }


def load_estimates(values: dict[str, list]) -> Estimates:
    """Return the learned run times of their plain values."""
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
    """Return a histogram as plain values, scaled to small numbers."""
    scale = 1.0 / histogram.next_weight
    return [
        histogram.samples,
        {
            bucket: weight * scale
            for bucket, weight in histogram.weights.items()
        },
    ]


def _load_histogram(values: list) -> Histogram:
    """Return the histogram of its plain values."""
    return Histogram(samples=values[0], weights=dict(values[1]))
