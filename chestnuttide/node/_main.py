"""Start of the instance's daemon."""

import asyncio
import sys

from chestnuttide import errors
from chestnuttide.node import _daemon
from chestnuttide.node import _settings
from chestnuttide import telemetry

LOG = telemetry.make_logger("main")

# Exit status when the settings cannot be used.
BAD_SETTINGS = 2


def main() -> int:
    """Serve until SIGTERM; return the exit status."""
    try:
        settings = _settings.load_settings()
    except errors.SettingsError as error:
        telemetry.configure_logging("info", "", "node", sys.stdout)
        LOG.error("Settings are unusable.", error=str(error))
        return BAD_SETTINGS
    telemetry.configure_logging(
        settings.log_level, settings.instance, "node", sys.stdout
    )
    asyncio.run(_daemon.run(settings))
    return 0
