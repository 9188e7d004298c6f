"""The daemon that callers and operators talk to."""

from chestnuttide.entry import _daemon
from chestnuttide.entry import _main

main = _main.main
run = _daemon.run

__all__ = ["main", "run"]
