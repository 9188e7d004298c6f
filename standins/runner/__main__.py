"""Runs the stand-in."""

from standins import runner

runner.main()
