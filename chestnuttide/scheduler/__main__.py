"""Runs the scheduler daemon as a module."""

import sys

from chestnuttide import scheduler

sys.exit(scheduler.main())
