"""Command line of both daemons."""

import asyncio
import collections.abc
import gc
import sys

from cleo import application as cleo_application
from cleo.commands import command as cleo_command
from cleo.helpers import option

from chestnuttide import __version__ as version
from chestnuttide import errors
from chestnuttide import settings as settings_module
from chestnuttide import telemetry

EXIT_OK = 0
EXIT_SETTINGS = 2
# Garbage collector thresholds: allocations before a young collection, young
# before a middle one, middle before a full one. Python's defaults are 700, 10
# and 10.
COLLECTOR_THRESHOLDS = (20_000, 20, 100)

Run = collections.abc.Callable[
    [settings_module.Settings], collections.abc.Awaitable[None]
]


class _ServeCommand(cleo_command.Command):
    """Command that loads the settings and runs the daemon."""

    name = "serve"
    description = "Serves until SIGTERM, then stops gracefully."
    options = [  # noqa: RUF012
        option("settings", None, "Settings file, JSON with comments.", False)
    ]

    def __init__(self, daemon: str, run: Run) -> None:
        super().__init__()
        self._daemon = daemon
        self._run = run

    def handle(self) -> int:
        """Run the daemon and return the exit code."""
        path = self.option("settings")
        try:
            if not path:
                raise errors.SettingsError(
                    message="No settings file is named.",
                    remedy="Give one by --settings FILE.",
                )
            settings = settings_module.load(path)
        except errors.SettingsError as error:
            print(f"chestnuttide-{self._daemon}: {error}", file=sys.stderr)
            return EXIT_SETTINGS
        telemetry.configure_logging(
            settings.logging.log_level, settings.instance_id, self._daemon
        )
        _configure_collector()
        asyncio.run(self._run(settings))
        return EXIT_OK


def _configure_collector() -> None:
    """Make garbage collections of long-lived objects rare.

    With 60,000 running tasks a full collection blocks the event loop for some
    100 ms. The daemons' states contain almost no reference cycles.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def make_main(daemon: str, run: Run) -> collections.abc.Callable[[], int]:
    """Return the main function of a daemon.

    Parameters
    ----------
    daemon : str
        ``entry`` or ``scheduler``.
    run : function
        ``run(settings)`` serves until a signal asks it to stop.

    Returns
    -------
    function
        Returns 0 after a planned stop and 2 if the settings cannot be used.
    """

    def main() -> int:
        application = cleo_application.Application(
            f"chestnuttide-{daemon}", version
        )
        command = _ServeCommand(daemon, run)
        application.add(command)
        application._default_command = command.name  # noqa: SLF001
        application._single_command = True  # noqa: SLF001
        application.auto_exits(False)
        return application.run()

    return main
