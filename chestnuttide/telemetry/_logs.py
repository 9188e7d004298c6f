"""Logging as JSON lines."""

import collections.abc
import logging
import os
import sys
import typing

from pythonjsonlogger import core
from pythonjsonlogger import json as json_formatter

_LOGGER_ROOT: typing.Final = "chestnuttide"

# Keyword arguments of the standard logging methods; all others become fields.
_CALL_ARGUMENTS: typing.Final = frozenset(
    ("exc_info", "stack_info", "stacklevel", "extra")
)

# Attributes of log records, which logging rejects as extra fields, and the
# names of the fields that every line has.
_RESERVED_NAMES: typing.Final = frozenset(core.RESERVED_ATTRS) | {
    "message",
    "level",
    "logger",
    "timestamp",
    "instance_id",
    "daemon",
}

# Field of a line that reports a change of state. It is not written itself.
_ALWAYS: typing.Final = "always"

# Share of the limit of lines a second that is added for warnings, and as much
# again for lines with the field `always`.
_IMPORTANT_SHARE: typing.Final = 0.25

# These libraries log each connection or request at level info.
_VERBOSE_LIBRARIES: typing.Final = ("tornado.access", "websockets")


class _ComponentLogger(logging.LoggerAdapter):
    """A logger that adds a component prefix and accepts extra fields.

    Parameters
    ----------
    component : str
        Name of the component, for example ``mesh``.
    """

    def __init__(self, component: str) -> None:
        super().__init__(logging.getLogger(f"{_LOGGER_ROOT}.{component}"))
        self._prefix = f"{component}: "

    def process(
        self,
        msg: object,
        kwargs: collections.abc.MutableMapping[str, typing.Any],
    ) -> tuple[str, dict[str, typing.Any]]:
        """Add the prefix and turn non-standard arguments into fields."""
        arguments = {
            name: value
            for name, value in kwargs.items()
            if name in _CALL_ARGUMENTS
        }
        fields = dict(arguments.get("extra") or {})
        fields.update(
            (name, value)
            for name, value in kwargs.items()
            if name not in _CALL_ARGUMENTS
        )
        arguments["extra"] = {
            f"{name}_" if name in _RESERVED_NAMES else name: value
            for name, value in fields.items()
        }
        return f"{self._prefix}{msg}", arguments


class _RateLimitedHandler(logging.StreamHandler):
    """A rate-limited handler that drops lines instead of blocking.

    Warnings, and lines with the field ``always``, have limits of their own
    beyond the common one, so that a flood of other lines does not hide them.

    Parameters
    ----------
    stream : text stream
        Destination of the lines; it is made non-blocking.
    lines_per_s : int
        Maximum number of lines written per second, without the lines that
        the two further limits let pass.
    on_drop : function
        Called for each dropped line.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        lines_per_s: int,
        on_drop: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(stream)
        self._lines_per_s = lines_per_s
        self._on_drop = on_drop
        self._important_per_s = max(1, int(_IMPORTANT_SHARE * lines_per_s))
        self._current_second = 0
        self._line_count = 0
        self._important_counts = {False: 0, True: 0}
        os.set_blocking(stream.fileno(), False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line unless the limit for the current second is reached."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second, self._line_count = second, 0
            self._important_counts = {False: 0, True: 0}
        if self._line_count < self._lines_per_s:
            self._line_count += 1
        elif not self._is_within_important_limit(record):
            self._on_drop()
            return
        super().emit(record)

    def _is_within_important_limit(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes beyond the common limit; count it."""
        always = bool(getattr(record, _ALWAYS, False))
        if not always and record.levelno < logging.WARNING:
            return False
        self._important_counts[always] += 1
        return self._important_counts[always] <= self._important_per_s

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Report a line that could not be written as dropped."""
        self._on_drop()


def configure_bounded_logging(
    level: str,
    instance_id: str,
    daemon: str,
    *,
    lines_per_s: int,
    on_drop: collections.abc.Callable[[], None],
) -> None:
    """Send logs to standard output, rate-limited and without blocking.

    Parameters
    ----------
    level, instance_id, daemon : str
        See `configure_logging`.
    lines_per_s : int
        Maximum number of lines written per second; further lines are dropped,
        but for a quarter more of warnings and a quarter more of lines with
        the field ``always``.
    on_drop : function
        Called for each dropped line, to count it.
    """
    handler = _RateLimitedHandler(sys.stdout, lines_per_s, on_drop)
    _install_handler(handler, level, instance_id, daemon)


def configure_logging(
    level: str,
    instance_id: str,
    daemon: str,
    stream: typing.TextIO | None = None,
) -> None:
    """Send all logs of the process to one stream as JSON lines.

    Parameters
    ----------
    level : str
        Minimum severity of logged messages: ``debug``, ``info``, ``warning``
        or ``error``.
    instance_id : str
        Id of the instance, a field of each line.
    daemon : str
        ``entry`` or ``scheduler``, a field of each line.
    stream : text stream, optional
        Destination of the lines; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    _install_handler(handler, level, instance_id, daemon)


def _install_handler(
    handler: logging.Handler, level: str, instance_id: str, daemon: str
) -> None:
    handler.setFormatter(
        json_formatter.JsonFormatter(
            ["levelname", "name", "message"],
            reserved_attrs=(*core.RESERVED_ATTRS, _ALWAYS),
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"instance_id": instance_id, "daemon": daemon},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in _VERBOSE_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)


def make_logger(component: str) -> logging.LoggerAdapter:
    """Return the logger of a component.

    Parameters
    ----------
    component : str
        Name of the component; it prefixes each message, followed by a colon.

    Returns
    -------
    LoggerAdapter
        ``log.info("shard %s taken over", shard, epoch=3)`` logs the message
        ``<component>: shard ... taken over`` with the field ``epoch``. A
        field with a reserved name gets a trailing underscore. The argument
        ``always=True`` marks a change of state that must not be lost among
        other lines; see `configure_bounded_logging`.
    """
    return _ComponentLogger(component)
