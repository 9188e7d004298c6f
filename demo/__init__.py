"""Demonstration of a complete cell on loopback."""
