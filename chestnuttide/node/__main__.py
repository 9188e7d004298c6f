"""Runs the instance's daemon for ``python -m chestnuttide.node``."""

import sys

from chestnuttide import node

sys.exit(node.main())
