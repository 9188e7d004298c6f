"""Entry point of the stand-in process."""

from standins import runner

runner.main()
