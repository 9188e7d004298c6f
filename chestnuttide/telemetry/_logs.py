"""Logs as JSON lines on standard error."""

import collections.abc
import logging
import os
import sys
import typing

from pythonjsonlogger import core
from pythonjsonlogger import json as json_formatter

_LOGGER_ROOT: typing.Final = "chestnuttide"

# Arguments of the standard logging calls; all others are fields.
_CALL_ARGUMENTS: typing.Final = frozenset(
    ("exc_info", "stack_info", "stacklevel", "extra")
)

# Names that logging refuses as fields, and those of the fixed fields.
_TAKEN_NAMES: typing.Final = frozenset(core.RESERVED_ATTRS) | {
    "message",
    "level",
    "logger",
    "timestamp",
    "instance_id",
    "daemon",
}

# At level info these libraries log each connection or request.
_CHATTY_LIBRARIES: typing.Final = ("tornado.access", "websockets")


class _PartLogger(logging.LoggerAdapter):
    """A logger that sets the prefix of its part and takes fields.

    Parameters
    ----------
    part : str
        Name of the part, for example ``mesh``.
    """

    def __init__(self, part: str) -> None:
        super().__init__(logging.getLogger(f"{_LOGGER_ROOT}.{part}"))
        self._prefix = f"{part}: "

    def process(
        self,
        msg: object,
        kwargs: collections.abc.MutableMapping[str, typing.Any],
    ) -> tuple[str, dict[str, typing.Any]]:
        """Add the prefix, and make fields of all further arguments."""
        call = {
            name: value
            for name, value in kwargs.items()
            if name in _CALL_ARGUMENTS
        }
        fields = dict(call.get("extra") or {})
        fields.update(
            (name, value)
            for name, value in kwargs.items()
            if name not in _CALL_ARGUMENTS
        )
        call["extra"] = {
            f"{name}_" if name in _TAKEN_NAMES else name: value
            for name, value in fields.items()
        }
        return f"{self._prefix}{msg}", call


class _DroppingHandler(logging.StreamHandler):
    """A handler that drops a line rather than wait for its stream.

    Parameters
    ----------
    stream : text stream
        Where the lines go.
    lines_per_s : int
        Most lines a second.
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
        self._second = 0
        self._lines = 0
        os.set_blocking(stream.fileno(), False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line unless the second's lines are used up."""
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > self._lines_per_s:
            self._on_drop()
            return
        super().emit(record)

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Count a line that the stream did not take."""
        self._on_drop()


def configure_bounded_logging(
    level: str,
    instance_id: str,
    daemon: str,
    *,
    lines_per_s: int,
    on_drop: collections.abc.Callable[[], None],
) -> None:
    """Send logs to standard output, bounded and without ever blocking.

    Parameters
    ----------
    level, instance_id, daemon : str
        See `configure_logging`.
    lines_per_s : int
        Most lines a second; further ones are dropped.
    on_drop : function
        Called for each dropped line, to count it.
    """
    handler = _DroppingHandler(sys.stdout, lines_per_s, on_drop)
    _install(handler, level, instance_id, daemon)


def configure_logging(
    level: str,
    instance_id: str,
    daemon: str,
    stream: typing.TextIO | None = None,
) -> None:
    """Send all logs of the process as JSON lines to one stream.

    Parameters
    ----------
    level : str
        Least severity that is logged: ``debug``, ``info``, ``warning`` or
        ``error``.
    instance_id : str
        Instance, a field of each line.
    daemon : str
        ``entry`` or ``scheduler``, a field of each line.
    stream : text stream, optional
        Where the lines go; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    _install(handler, level, instance_id, daemon)


def _install(
    handler: logging.Handler, level: str, instance_id: str, daemon: str
) -> None:
    handler.setFormatter(
        json_formatter.JsonFormatter(
            ["levelname", "name", "message"],
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"instance_id": instance_id, "daemon": daemon},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in _CHATTY_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)


def make_logger(part: str) -> logging.LoggerAdapter:
    """Return the logger of a part.

    Parameters
    ----------
    part : str
        Name of the part; each message begins with it and a colon.

    Returns
    -------
    LoggerAdapter
        ``log.info("shard %s taken over", shard, epoch=3)`` logs the message
        ``<part>: shard ... taken over`` with the field ``epoch``. A field
        whose name logging itself uses gets an underscore at its end.
    """
    return _PartLogger(part)
