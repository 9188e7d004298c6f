"""Histograms whose earlier samples lose weight."""

from chestnuttide.histograms import _decaying

Histogram = _decaying.Histogram
MIN_VALUE = _decaying.MIN_VALUE
WEIGHT_DECAY = _decaying.WEIGHT_DECAY
add_sample = _decaying.add_sample
dump_histogram = _decaying.dump_histogram
load_histogram = _decaying.load_histogram
quantiles = _decaying.quantiles

__all__ = [
    "Histogram",
    "MIN_VALUE",
    "WEIGHT_DECAY",
    "add_sample",
    "dump_histogram",
    "load_histogram",
    "quantiles",
]
