"""Renders the settings reference from the settings classes."""

import inspect
import json
import re

import attrs

from chestnuttide import config
from chestnuttide.settings import _fields


def render_reference() -> str:
    """Return the settings reference as Markdown.

    Returns
    -------
    str
        A section with a table of fields for each object of the file.
    """
    lines = [
        "# Settings",
        "",
        "One JSON file with comments per instance; both daemons read it.",
    ]
    _render_class(_fields.Settings, "", lines)
    return "\n".join(lines) + "\n"


def _render_class(cls: type, name: str, lines: list[str]) -> None:
    summary = inspect.getdoc(cls).splitlines()[0]
    descriptions = _parse_attributes(cls)
    title = f"`{name}`" if name else "Top level"
    lines += ["", f"## {title}", "", summary, ""]
    lines += ["| field | default | allowed | meaning |", "|---|---|---|---|"]
    nested = []
    for field in attrs.fields(cls):
        if attrs.has(field.type):
            nested.append(field)
            continue
        default = (
            "required"
            if field.default is attrs.NOTHING
            else f"`{json.dumps(field.default)}`"
        )
        lines.append(
            f"| `{field.name}` | {default}"
            f" | {config.describe_allowed(field)}"
            f" | {descriptions[field.name]} |"
        )
    for field in nested:
        _render_class(field.type, field.name, lines)


def _parse_attributes(cls: type) -> dict[str, str]:
    """Return the field descriptions from the class docstring."""
    _, _, section = inspect.getdoc(cls).partition("Attributes\n----------\n")
    descriptions: dict[str, list[str]] = {}
    for line in section.splitlines():
        header = re.match(r"(\w+) : ", line)
        if header:
            lines = descriptions.setdefault(header[1], [])
        elif line.strip():
            lines.append(line.strip())
    return {name: " ".join(lines) for name, lines in descriptions.items()}
