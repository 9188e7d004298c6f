"""References rendered from the attrs classes."""

import collections.abc
import inspect
import json
import re
import typing

import attrs

from chestnuttide import config
from chestnuttide import settings
from docs_tools import _pages

# Sections of the config document that hold objects by name, with the word
# that stands for the name.
_NAMED: typing.Final = {
    "services": "service",
    "teams": "team",
    "workload_classes": "class",
}


def render_settings() -> str:
    """Return the settings reference without its title."""
    title, _, rest = settings.render_reference().partition("\n\n")
    if not title.startswith("# "):
        raise ValueError("The settings reference has no title.")
    return rest


def render_config() -> str:
    """Return the reference of the config document."""
    lines: list[str] = []
    for section in attrs.fields(config.CellConfig):
        cls = section.type
        path = section.name
        if typing.get_origin(cls) is dict:
            cls = typing.get_args(cls)[1]
            path = f"{section.name}.<{_NAMED[section.name]}>"
        lines += _render_class(cls, path)
    return "\n".join(lines).lstrip("\n") + "\n"


def _render_class(cls: type, path: str) -> list[str]:
    doc = inspect.getdoc(cls) or ""
    meanings = _parse_attributes(doc)
    lines = ["", f"## `{path}`", "", doc.splitlines()[0], ""]
    lines += ["| field | default | allowed | meaning |", "|---|---|---|---|"]
    lines += [
        f"| `{field.name}` | `{json.dumps(field.default)}`"
        f" | {config.describe_allowed(field)} | {meanings[field.name]} |"
        for field in attrs.fields(cls)
    ]
    return lines


def _parse_attributes(doc: str) -> dict[str, str]:
    """Return the descriptions in the Attributes section of a docstring."""
    _, _, section = doc.partition("Attributes\n----------\n")
    found: dict[str, list[str]] = {}
    words: list[str] = []
    for line in section.splitlines():
        header = re.match(r"(\w+) : ", line)
        if header:
            words = found.setdefault(header[1], [])
        elif line.strip():
            words.append(line.strip())
    return {name: " ".join(each) for name, each in found.items()}


# Page and the function that renders its generated part.
REFERENCES: typing.Final[dict[str, collections.abc.Callable[[], str]]] = {
    "settings.md": render_settings,
    "config.md": render_config,
}


def renew() -> list[str]:
    """Write the generated parts that are out of date.

    Returns
    -------
    list of str
        Names of the pages that changed.
    """
    changed = []
    for name, render in REFERENCES.items():
        old = _pages.read_page(name)
        new = _pages.replace_generated(old, render())
        if new != old:
            (_pages.DOCS / name).write_text(new, encoding="utf-8")
            changed.append(name)
    return changed
