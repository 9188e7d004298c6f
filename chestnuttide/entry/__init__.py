"""The daemon that serves the HTTP interface for callers and operators."""

from chestnuttide import daemon
from chestnuttide.entry import _daemon

main = daemon.make_main("entry", _daemon.run)
run = _daemon.run

__all__ = ["main", "run"]
