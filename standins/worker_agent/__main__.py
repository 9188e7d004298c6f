"""Runs the stand-in."""

from standins import worker_agent

worker_agent.main()
