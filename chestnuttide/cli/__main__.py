"""Runs the operator command line as a module."""

import sys

from chestnuttide import cli

sys.exit(cli.main())
