"""The operator command line ``chestnuttide``."""

from chestnuttide.cli import _exits
from chestnuttide.cli import _main

EXIT_INTERRUPTED = _exits.EXIT_INTERRUPTED
EXIT_OK = _exits.EXIT_OK
EXIT_REFUSED = _exits.EXIT_REFUSED
EXIT_TIMEOUT = _exits.EXIT_TIMEOUT
EXIT_UNREACHABLE = _exits.EXIT_UNREACHABLE
EXIT_USAGE = _exits.EXIT_USAGE
main = _main.main

__all__ = [
    "EXIT_INTERRUPTED",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_TIMEOUT",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "main",
]
