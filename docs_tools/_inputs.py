"""Fields that the inventory of inputs lists, and those that code reads."""

import ast
import importlib
import inspect
import pathlib
import re
import types
import typing

import attrs

PAGE: typing.Final = pathlib.Path(__file__).parents[1] / "docs" / "inputs.md"

# Adapter modules of the deployed daemon that decode documents.
DECODING_MODULES: typing.Final = (
    "platform._advisor",
    "platform._formats",
    "platform._kv_store",
    "platform._worker_commands",
)

_CODE_NAME: typing.Final = re.compile(
    r"`((?:mesh|node|platform|workloads|workspaces)\.\w+:\w+)`"
)

_READERS: typing.Final = re.compile(r"read_\w+|_read_\w+")


@attrs.frozen(kw_only=True)
class Section:
    """A section of the inventory.

    Attributes
    ----------
    title : str
        Its title.
    fields : frozenset of str
        Fields in the first column of its table.
    functions, classes : tuple of str
        The decoders or the classes that it names, as ``module:name``.
    """

    title: str
    fields: frozenset[str]
    functions: tuple[str, ...]
    classes: tuple[str, ...]


def read_sections(page: str) -> list[Section]:
    """Return the sections of the inventory that name code."""
    sections = []
    for text in page.split("\n## ")[1:]:
        title, _, body = text.partition("\n")
        names = _CODE_NAME.findall(body)
        if not names:
            continue
        fields = re.findall(r"^\| `([\w.]+)` \|", body, re.MULTILINE)
        sections.append(
            Section(
                title=title,
                fields=frozenset(fields),
                functions=tuple(each for each in names if _is_function(each)),
                classes=tuple(
                    each for each in names if not _is_function(each)
                ),
            )
        )
    return sections


def fields_of(section: Section) -> frozenset[str]:
    """Return the fields that the code of a section reads."""
    found: set[str] = set()
    for name in section.functions:
        found |= read_fields(inspect.getsource(_load(name)))
    for name in section.classes:
        found |= {field.name for field in attrs.fields(_load(name))}
    return frozenset(found)


def read_fields(source: str) -> set[str]:
    """Return the names of the document's fields that a function reads."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call):
            continue
        function = node.func
        if not isinstance(function, ast.Attribute | ast.Name):
            continue
        name = getattr(function, "attr", getattr(function, "id", ""))
        if name == "get":
            arguments = node.args[:1]
        elif _READERS.fullmatch(name):
            arguments = node.args[1:2]
        else:
            continue
        found |= {
            argument.value
            for argument in arguments
            if isinstance(argument, ast.Constant)
            and isinstance(argument.value, str)
        }
    # Pairs of an attribute and a field, as in a loop over resources.
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.For | ast.comprehension):
            for pair in ast.walk(node.iter):
                if isinstance(pair, ast.Tuple) and len(pair.elts) == 2:
                    last = pair.elts[1]
                    if isinstance(last, ast.Constant):
                        found.add(last.value)
    return found


def decoders() -> dict[str, set[str]]:
    """Return the functions that read fields of documents, and these."""
    found = {}
    for module_name in DECODING_MODULES:
        module = importlib.import_module(f"chestnuttide.{module_name}")
        for name, value in vars(module).items():
            if (
                isinstance(value, types.FunctionType)
                and value.__module__ == module.__name__
            ):
                fields = read_fields(inspect.getsource(value))
                if fields:
                    found[f"{module_name}:{name}"] = fields
    return found


def _load(name: str) -> typing.Any:
    module_name, _, attribute = name.partition(":")
    module = importlib.import_module(f"chestnuttide.{module_name}")
    return getattr(module, attribute)


def _is_function(name: str) -> bool:
    return inspect.isfunction(_load(name))
