"""Run time estimates by workload class, learned from successful runs.

Run times and their ratios to the declared ones are stored in histograms with
logarithmic buckets whose weights decay with each sample. Their quantiles are
robust against stragglers that run many times longer than the rest.
"""

import attrs

from chestnuttide import histograms

# Number of samples from which learned run times replace declared ones.
MIN_SAMPLES = 8

# Number of ratio samples from which declared run times are corrected.
MIN_RATIO_SAMPLES = 3

# Expected run time in seconds when none is declared or learned.
DEFAULT_RUN_S = 10.0

# Ratio of p90 to the median that is assumed until both are learned.
DEFAULT_SPREAD = 2.0


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

    runs: histograms.Histogram = attrs.field(factory=histograms.Histogram)
    ratios: histograms.Histogram = attrs.field(factory=histograms.Histogram)
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
    histograms.add_sample(learned.runs, run_s)
    learned.median_s, learned.p90_s = histograms.quantiles(
        learned.runs, (0.5, 0.9)
    )
    if declared_s > 0:
        histograms.add_sample(learned.ratios, run_s / declared_s)
        (learned.ratio,) = histograms.quantiles(learned.ratios, (0.5,))


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


def dump_estimates(estimates: Estimates) -> dict[str, list]:
    """Return the learned run times as a structure of plain values."""
    return {
        name: [
            histograms.dump_histogram(learned.runs),
            histograms.dump_histogram(learned.ratios),
        ]
        for name, learned in estimates.classes.items()
    }


def load_estimates(values: dict[str, list]) -> Estimates:
    """Return the learned run times from a result of `dump_estimates`."""
    estimates = Estimates()
    for name, (runs, ratios) in values.items():
        learned = ClassEstimate(
            runs=histograms.load_histogram(runs),
            ratios=histograms.load_histogram(ratios),
        )
        if learned.runs.samples:
            learned.median_s, learned.p90_s = histograms.quantiles(
                learned.runs, (0.5, 0.9)
            )
        if learned.ratios.samples:
            (learned.ratio,) = histograms.quantiles(learned.ratios, (0.5,))
        estimates.classes[name] = learned
    return estimates
