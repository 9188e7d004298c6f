"""Filters over typed messages, and their composition into pipelines."""

from chestnuttide.pipes import _pipes

Filter = _pipes.Filter
pipe = _pipes.pipe

__all__ = ["Filter", "pipe"]
