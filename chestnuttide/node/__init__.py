"""The daemon of an instance on the users' platform."""

from chestnuttide.node import _main

main = _main.main

__all__ = ["main"]
