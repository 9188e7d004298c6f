"""Reading and checking of settings files."""

import json
import pathlib
import typing

import jsonc

from chestnuttide import config
from chestnuttide import errors
from chestnuttide.settings import _fields

# Characters of the file quoted in an error about its syntax.
_QUOTE_CHARS: typing.Final = 30


def load(path: str | pathlib.Path) -> _fields.Settings:
    """Read a settings file.

    Parameters
    ----------
    path : str or Path
        A JSON file with comments.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsError
        The file cannot be read, is no JSON, or a field cannot be used.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            message=f"{path}: the file cannot be read: {error}.",
            remedy="Give the path of a readable UTF-8 settings file.",
        ) from error
    return parse(text, str(path))


def parse(text: str, name: str) -> _fields.Settings:
    """Check the text of a settings file.

    Parameters
    ----------
    text : str
        JSON with comments.
    name : str
        Name of the file, for errors.

    Raises
    ------
    SettingsError
        The text is no JSON, or a field cannot be used.
    """
    settings = _structure(_decode(text, name), name)
    _check_fields_together(settings, name)
    return settings


def _decode(text: str, name: str) -> object:
    def refuse_duplicates(pairs: list[tuple[str, object]]) -> dict:
        found = dict(pairs)
        if len(found) < len(pairs):
            names = [key for key, _ in pairs]
            twice = next(key for key in names if names.count(key) > 1)
            raise errors.SettingsError(
                message=f"{name}: {twice} is given twice.",
                remedy="Remove one of the two.",
            )
        return found

    try:
        return jsonc.loads(text, object_pairs_hook=refuse_duplicates)
    except json.JSONDecodeError as error:
        # The position is that in the text without comments, so the error
        # quotes the text instead of the line number.
        before = error.doc[max(0, error.pos - _QUOTE_CHARS) : error.pos]
        raise errors.SettingsError(
            message=f"{name}: not JSON after {before!r}: {error.msg}.",
            remedy="Correct the syntax there.",
        ) from error


def _structure(document: object, name: str) -> _fields.Settings:
    try:
        return config.structure_strictly(_fields.Settings, document)
    except config.FieldError as error:
        field = ".".join(error.path) or "the file"
        value = "" if error.value is None else f" (value {error.value!r})"
        if error.allowed:
            remedy = f"Set {field} to {error.allowed}."
        elif error.nearest:
            nearest = ".".join((*error.path[:-1], error.nearest))
            remedy = f"Did you mean {nearest}?"
        else:
            remedy = "Remove it."
        raise errors.SettingsError(
            message=f"{name}: {field} {error.problem}{value}.", remedy=remedy
        ) from error


def _check_fields_together(settings: _fields.Settings, name: str) -> None:
    """Check the limits that hold between fields."""
    coordination = settings.coordination
    limit_s = coordination.lease_ttl_s / 2
    if coordination.lease_renew_s >= limit_s:
        raise errors.SettingsError(
            message=(
                f"{name}: coordination.lease_renew_s is out of range (value"
                f" {coordination.lease_renew_s}), because one lost renewal"
                " would end the lease."
            ),
            remedy=(
                f"Set it below {limit_s}, half of coordination.lease_ttl_s"
                f" ({coordination.lease_ttl_s})."
            ),
        )
    ports = (
        ("entry.http_port", settings.entry.http_port),
        ("entry.metrics_port", settings.entry.metrics_port),
        ("scheduler.mesh_port", settings.scheduler.mesh_port),
        ("scheduler.metrics_port", settings.scheduler.metrics_port),
    )
    first_use: dict[int, str] = {}
    for field, port in ports:
        if port in first_use:
            raise errors.SettingsError(
                message=(
                    f"{name}: {field} (value {port}) is also"
                    f" {first_use[port]}."
                ),
                remedy="Give each of the four ports a different number.",
            )
        first_use[port] = field
