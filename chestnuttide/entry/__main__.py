"""Runs the entry daemon as a module."""

import sys

from chestnuttide import entry

sys.exit(entry.main())
