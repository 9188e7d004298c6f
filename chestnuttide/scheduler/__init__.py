"""The scheduler daemon: owns shards, routes requests, places tasks."""

from chestnuttide import daemon
from chestnuttide.scheduler import _daemon

main = daemon.make_main("scheduler", _daemon.run)
run = _daemon.run

__all__ = ["main", "run"]
