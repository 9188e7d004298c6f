"""Randomized faults on real daemons, against stand-ins of the platform."""
