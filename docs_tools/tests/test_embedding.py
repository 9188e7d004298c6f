"""The examples of docs/embedding.md run, and imports keep their direction."""

import pathlib

import pytest

import docs_tools

_BLOCKS = docs_tools.code_blocks(
    docs_tools.read_page("embedding.md"), "python"
)
# Lines of an example without imports and blank lines.
_MAX_LINES = 14


@pytest.mark.parametrize("block", _BLOCKS, ids=lambda block: block.heading)
def test_example_runs(block: docs_tools.Block) -> None:
    """Guards against examples that no longer fit the public interface."""
    source = "\n" * (block.line - 1) + block.text
    exec(compile(source, "docs/embedding.md", "exec"), {})


@pytest.mark.parametrize("block", _BLOCKS, ids=lambda block: block.heading)
def test_example_is_short(block: docs_tools.Block) -> None:
    """Guards against examples that grow beyond what is read at a glance."""
    lines = [
        line
        for line in block.text.splitlines()
        if line and not line.startswith(("import ", "from "))
    ]
    assert len(lines) <= _MAX_LINES


def test_each_part_has_an_example() -> None:
    """Guards against a part whose example is not run."""
    assert [block.heading for block in _BLOCKS] == [
        "Ownership with epochs",
        "Group commit journal",
        "At-most-once ledger",
        "Admission queue",
    ]


def test_library_packages_exist() -> None:
    """Guards against a check of packages that were renamed."""
    for name in docs_tools.LIBRARY_PACKAGES:
        assert (docs_tools.ROOT / "chestnuttide" / name).is_dir()


def test_imports_keep_their_direction() -> None:
    """Guards against a library that drags in a daemon or a stand-in."""
    product = docs_tools.ROOT / "chestnuttide"
    assert docs_tools.forbidden_imports(product) == []


@pytest.mark.parametrize(
    ("package", "line", "imported"),
    [
        ("errors", "import tornado.web", "tornado.web"),
        ("model", "from tornado import web", "tornado.web"),
        ("pipes", "import asyncio", "asyncio"),
        ("config", "import pycurl", "pycurl"),
        ("jobs", "import websockets.client", "websockets.client"),
        ("queueing", "from chestnuttide import mesh", "chestnuttide.mesh"),
        (
            "coordination",
            "def f():\n    from chestnuttide.telemetry import x",
            "chestnuttide.telemetry.x",
        ),
        ("placement", "from .. import platform", "chestnuttide.platform"),
        ("routing", "from standins import cell", "standins.cell"),
        ("scheduler", "import standins.store", "standins.store"),
        ("entry", "from bench import replay", "bench.replay"),
        ("cli", "import demo", "demo"),
    ],
)
def test_wrong_import_is_found(
    tmp_path: pathlib.Path, package: str, line: str, imported: str
) -> None:
    """Guards against a check that passes because it sees nothing."""
    directory = tmp_path / "chestnuttide" / package
    directory.mkdir(parents=True)
    (directory / "_part.py").write_text(f"{line}\n")
    found = docs_tools.forbidden_imports(tmp_path / "chestnuttide")
    assert len(found) == 1
    assert found[0].endswith(f" imports {imported}")


@pytest.mark.parametrize(
    ("package", "line"),
    [
        ("scheduler", "import asyncio"),
        ("entry", "import tornado.web"),
        ("routing", "from chestnuttide import errors"),
        ("routing", "import asyncio_like"),
    ],
)
def test_right_import_passes(
    tmp_path: pathlib.Path, package: str, line: str
) -> None:
    """Guards against a check that bars what the daemons need."""
    directory = tmp_path / "chestnuttide" / package
    directory.mkdir(parents=True)
    (directory / "_part.py").write_text(f"{line}\n")
    assert docs_tools.forbidden_imports(tmp_path / "chestnuttide") == []
