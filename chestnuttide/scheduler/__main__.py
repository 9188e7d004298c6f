"""Entry point of ``python -m chestnuttide.scheduler``."""

import sys

from chestnuttide import scheduler

sys.exit(scheduler.main())
