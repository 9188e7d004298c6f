"""Entry point of ``python -m chestnuttide.cli``."""

import sys

from chestnuttide import cli

sys.exit(cli.main())
