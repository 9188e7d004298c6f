"""Entry point of the instance's daemon."""

import asyncio
import sys

from chestnuttide import errors
from chestnuttide.node import _daemon
from chestnuttide.node import _metrics
from chestnuttide.node import _settings
from chestnuttide import telemetry

LOG = telemetry.make_logger("main")

# Exit status if the settings are invalid.
BAD_SETTINGS_STATUS = 2


def main() -> int:
    """Run the daemon until SIGTERM; return the exit status."""
    try:
        settings = _settings.load_settings()
    except errors.SettingsError as error:
        telemetry.configure_logging("info", "", "node", sys.stdout)
        LOG.error("Settings are invalid.", error=str(error))
        return BAD_SETTINGS_STATUS
    metrics = _metrics.make_metrics()
    telemetry.configure_bounded_logging(
        settings.log_level,
        settings.instance,
        "node",
        lines_per_s=settings.log_lines_per_s,
        on_drop=lambda: metrics.dropped_log_lines.inc({}),
    )
    asyncio.run(_daemon.run(settings, metrics))
    return 0
