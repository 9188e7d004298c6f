"""Histograms with logarithmic buckets and decaying weights.

Their quantiles are robust against stragglers that run many times longer than
the rest. Libraries of sketches and histograms keep each sample for ever.
"""

import collections.abc
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
    samples : float
        Number of samples added; a sample of weight 0.5 counts as half of one.
    """

    weights: dict[int, float] = attrs.field(factory=dict)
    next_weight: float = 1.0
    samples: float = 0


def add_sample(
    histogram: Histogram, value: float, *, weight: float = 1
) -> None:
    """Add a sample and decay the weights of earlier ones.

    Parameters
    ----------
    histogram : Histogram
        The histogram.
    value : float
        The sample.
    weight : float
        Its weight, above 0 and at most 1; samples that depend on each other
        share the weight of one.
    """
    bucket = _bucket(value)
    weights = histogram.weights
    weights[bucket] = weights.get(bucket, 0.0) + histogram.next_weight * weight
    histogram.next_weight /= WEIGHT_DECAY**weight
    histogram.samples += weight
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
    histogram: Histogram,
    shares: tuple[float, ...],
    *,
    lower_bounds: collections.abc.Iterable[tuple[float, float]] = (),
) -> tuple[float, ...]:
    """Return the quantiles at the given shares of the total weight.

    Parameters
    ----------
    histogram : Histogram
        A histogram with at least one sample, unless there are lower bounds.
    shares : tuple of float
        Shares from 0 to 1, ascending.
    lower_bounds : iterable of (float, float)
        Values that samples to come will exceed, and the weight of each
        relative to a sample that is added now. Their weight counts towards
        the samples above them, as in a product-limit estimate.

    Returns
    -------
    tuple of float
        One value for each share. Where the lower bounds leave it open, the
        largest sample, or their own quantile if that is larger.
    """
    censored: dict[int, float] = {}
    for value, weight in lower_bounds:
        bucket = _bucket(value)
        scaled = weight * histogram.next_weight
        censored[bucket] = censored.get(bucket, 0.0) + scaled
    at_risk = sum(histogram.weights.values()) + sum(censored.values())
    above = 1.0
    values_at = []
    bucket = 0
    buckets = iter(sorted(histogram.weights.keys() | censored.keys()))
    for share in shares:
        while 1.0 - above < share - 1e-9:
            next_bucket = next(buckets, None)
            if next_bucket is None:
                bucket = _open_bucket(histogram, censored, share)
                break
            bucket = next_bucket
            ended = histogram.weights.get(bucket, 0.0)
            if ended:
                # Rounding may leave less at risk than ends here.
                above *= 1.0 - ended / at_risk if at_risk > ended else 0.0
            at_risk -= ended + censored.get(bucket, 0.0)
        values_at.append(math.exp(bucket * _LOG_RATIO))
    return tuple(values_at)


def _open_bucket(
    histogram: Histogram, censored: dict[int, float], share: float
) -> int:
    """Return the bucket of a quantile that the lower bounds leave open."""
    largest = max(histogram.weights, default=None)
    left = share * sum(censored.values())
    for bucket, weight in sorted(censored.items()):
        left -= weight
        if left <= 1e-9:
            return bucket if largest is None else max(bucket, largest)
    return 0 if largest is None else largest


def _bucket(value: float) -> int:
    return round(math.log(max(value, MIN_VALUE)) / _LOG_RATIO)


def dump_histogram(histogram: Histogram) -> list:
    """Return a histogram as plain values, with the next weight scaled to 1."""
    scale = 1.0 / histogram.next_weight
    return [
        histogram.samples,
        {
            bucket: weight * scale
            for bucket, weight in histogram.weights.items()
        },
    ]


def load_histogram(values: list) -> Histogram:
    """Return the histogram from its plain values."""
    return Histogram(samples=values[0], weights=dict(values[1]))
