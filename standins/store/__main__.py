"""Runs the stand-in."""

from standins import store

store.main()
