"""Filters over typed messages, and pipes that join them."""

from chestnuttide.pipes import _pipes

Filter = _pipes.Filter
pipe = _pipes.pipe

__all__ = ["Filter", "pipe"]
