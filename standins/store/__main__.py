"""Entry point of the stand-in process."""

from standins import store

store.main()
