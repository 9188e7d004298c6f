"""Fault-injection test of real daemons against stand-ins of the platform."""
