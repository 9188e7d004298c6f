"""Command line of the entry daemon."""

import argparse
import asyncio
import sys

from chestnuttide.entry import _daemon
from chestnuttide import errors
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Run the daemon; returns the exit code.

    Returns
    -------
    int
        0 after a planned stop, 2 if the settings cannot be used.
    """
    parser = argparse.ArgumentParser(
        prog="chestnuttide-entry",
        description="Answers callers and operators over HTTP.",
    )
    parser.add_argument("--settings", required=True, help="settings file")
    arguments = parser.parse_args()
    try:
        settings = settings_module.load(arguments.settings)
    except errors.SettingsError as error:
        print(f"chestnuttide-entry: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    telemetry.configure_logging(
        settings.logging.log_level, settings.instance_id, "entry"
    )
    asyncio.run(_daemon.run(settings))
    return EXIT_OK
