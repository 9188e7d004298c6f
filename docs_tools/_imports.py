"""The import direction: what library and product code may import."""

import ast
import collections.abc
import pathlib
import typing

# Packages that others can embed: no I/O, no event loop, no daemon.
LIBRARY_PACKAGES: typing.Final = (
    "errors",
    "model",
    "pipes",
    "config",
    "coordination",
    "queueing",
    "placement",
    "jobs",
    "routing",
)

_IO_MODULES: typing.Final = ("tornado", "pycurl", "websockets", "asyncio")
_DAEMON_PACKAGES: typing.Final = (
    "entry",
    "scheduler",
    "cli",
    "daemon",
    "mesh",
    "platform",
    "settings",
    "telemetry",
)
# Code that runs, measures or shows the product, but is no part of it.
_TOOL_MODULES: typing.Final = (
    "standins",
    "bench",
    "demo",
    "features",
    "docs_tools",
)


def forbidden_imports(product: pathlib.Path) -> list[str]:
    """Return the imports that go in the wrong direction.

    Parameters
    ----------
    product : Path
        Directory of the product's package; its tests are passed over.

    Returns
    -------
    list of str
        One line of the form ``<file>:<line> imports <module>`` for each.
    """
    library = _TOOL_MODULES + _IO_MODULES
    library += tuple(f"{product.name}.{each}" for each in _DAEMON_PACKAGES)
    found = []
    for path in sorted(product.rglob("*.py")):
        parts = path.relative_to(product).parts
        if "tests" in parts:
            continue
        barred = library if parts[0] in LIBRARY_PACKAGES else _TOOL_MODULES
        package = ".".join((product.name, *parts[:-1]))
        for line, module in _imported(path, package):
            if any(
                module == each or module.startswith(f"{each}.")
                for each in barred
            ):
                found.append(
                    f"{path.relative_to(product.parent)}:{line}"
                    f" imports {module}"
                )
    return found


def _imported(
    path: pathlib.Path, package: str
) -> collections.abc.Iterator[tuple[int, str]]:
    """Yield line and full name of each import, wherever it stands."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                parents = package.split(".")
                kept = parents[: len(parents) - node.level + 1]
                base = ".".join((*kept, base)).rstrip(".")
            for alias in node.names:
                yield node.lineno, f"{base}.{alias.name}"
