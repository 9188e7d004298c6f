"""Loading and validation of settings files."""

import json
import pathlib
import typing

import jsonc

from chestnuttide import config
from chestnuttide import errors
from chestnuttide.settings import _fields

# Characters before a syntax error that the error message quotes.
_ERROR_CONTEXT_CHARS: typing.Final = 30


def load(path: str | pathlib.Path) -> _fields.Settings:
    """Load and validate a settings file.

    Parameters
    ----------
    path : str or Path
        A JSON file with comments.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read, is not JSON, or has an invalid field.
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
    """Parse and validate the text of a settings file.

    Parameters
    ----------
    text : str
        JSON with comments.
    name : str
        Name of the file, for error messages.

    Raises
    ------
    SettingsError
        The text is not JSON, or has an invalid field.
    """
    settings = _structure(_decode(text, name), name)
    _check_cross_field_rules(settings, name)
    return settings


def _decode(text: str, name: str) -> object:
    def reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict:
        members = dict(pairs)
        if len(members) < len(pairs):
            keys = [key for key, _ in pairs]
            duplicate = next(key for key in keys if keys.count(key) > 1)
            raise errors.SettingsError(
                message=f"{name}: {duplicate} is defined twice.",
                remedy="Remove one of the two definitions.",
            )
        return members

    try:
        return jsonc.loads(text, object_pairs_hook=reject_duplicate_keys)
    except json.JSONDecodeError as error:
        # The position refers to the text without comments, so a line number
        # would be wrong; the message quotes the preceding text instead.
        context = error.doc[
            max(0, error.pos - _ERROR_CONTEXT_CHARS) : error.pos
        ]
        raise errors.SettingsError(
            message=f"{name}: not JSON after {context!r}: {error.msg}.",
            remedy="Correct the syntax at this place.",
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


def _check_cross_field_rules(settings: _fields.Settings, name: str) -> None:
    """Check the rules that span several fields."""
    coordination = settings.coordination
    max_renew_s = coordination.lease_ttl_s / 2
    if coordination.lease_renew_s >= max_renew_s:
        raise errors.SettingsError(
            message=(
                f"{name}: coordination.lease_renew_s is out of range (value"
                f" {coordination.lease_renew_s}): the lease would expire after"
                " one lost renewal."
            ),
            remedy=(
                f"Set it below {max_renew_s}, half of coordination.lease_ttl_s"
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
                    f"{name}: {field} (value {port}) is the same port as"
                    f" {first_use[port]}."
                ),
                remedy="Set the four ports to different numbers.",
            )
        first_use[port] = field
