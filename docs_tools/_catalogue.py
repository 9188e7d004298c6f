"""What the code can show an operator: metrics, exit codes, log prefixes."""

import ast
import collections.abc
import pathlib

import attrs

from chestnuttide import telemetry
from docs_tools import _pages

_PRODUCT = _pages.ROOT / "chestnuttide"
# The entry point that both daemons share, and the daemons' own modules.
_DAEMONS = {
    "chestnuttide-entry": "entry",
    "chestnuttide-scheduler": "scheduler",
}


def metric_names() -> list[str]:
    """Return the full names of the daemons' metrics."""
    metrics = telemetry.make_metrics()
    return [
        getattr(metrics, field.name).name
        for field in attrs.fields(telemetry.Metrics)
        if field.name != "registry"
    ]


def label_values(field: str) -> list[str]:
    """Return the label values that a counter has from the start.

    Parameters
    ----------
    field : str
        Field of `telemetry.Metrics`.
    """
    counter = getattr(telemetry.make_metrics(), field)
    return [
        value for labels, _ in counter.get_all() for value in labels.values()
    ]


def log_prefixes() -> list[str]:
    """Return the prefixes of the log messages, without the colon."""
    return sorted(
        {
            call.args[0].value
            for path in _modules(_PRODUCT)
            for call in _calls(path)
            if _name(call.func) == "make_logger" and call.args
            if isinstance(call.args[0], ast.Constant)
        }
    )


def exit_codes() -> set[tuple[str, int]]:
    """Return the programs' exit codes that the code names.

    These are the constants ``EXIT_...`` and the numbers in calls of
    ``sys.exit``.
    """
    found = {("chestnuttide", code) for code in _codes("cli")}
    for program, package in _DAEMONS.items():
        codes = _codes("daemon") | _codes(package)
        found |= {(program, code) for code in codes}
    return found


def _codes(package: str) -> set[int]:
    codes = set()
    for path in _modules(_PRODUCT / package):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            match node:
                case (
                    ast.Assign(
                        targets=[ast.Name(id=name)],
                        value=ast.Constant(value=int(code)),
                    )
                    | ast.AnnAssign(
                        target=ast.Name(id=name),
                        value=ast.Constant(value=int(code)),
                    )
                ) if name.startswith("EXIT_"):
                    codes.add(code)
                case ast.Call(
                    func=ast.Attribute(value=ast.Name(id="sys"), attr="exit"),
                    args=[ast.Constant(value=int(code))],
                ):
                    codes.add(code)
    return codes


def _modules(directory: pathlib.Path) -> list[pathlib.Path]:
    return [
        path
        for path in sorted(directory.rglob("*.py"))
        if "tests" not in path.relative_to(directory).parts
    ]


def _calls(path: pathlib.Path) -> collections.abc.Iterator[ast.Call]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Call):
            yield node


def _name(function: ast.expr) -> str:
    if isinstance(function, ast.Attribute):
        return function.attr
    return function.id if isinstance(function, ast.Name) else ""
