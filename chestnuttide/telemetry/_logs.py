"""Logs as JSON lines on standard error."""

import collections.abc
import logging
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
