"""Runs the instance's daemon as a module."""

import sys

from chestnuttide import node

sys.exit(node.main())
