"""Replay of recorded traces and measurements of running processes."""
