"""Entry point of the stand-in process."""

from standins import worker_agent

worker_agent.main()
