"""docs/operations.md names all that the code can show, and nothing else."""

import re

import pytest

from chestnuttide import errors
import docs_tools

_PAGE = docs_tools.read_page("operations.md")


def _rows(header: str) -> list[list[str]]:
    """Return the cells of the first table whose headers begin so."""
    lines = _PAGE.splitlines()
    first = next(
        number
        for number, line in enumerate(lines)
        if line.startswith(f"| {header} |")
    )
    rows = []
    for line in lines[first + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.split("|")[1:-1]])
    return rows


def _section(heading: str) -> str:
    _, _, rest = _PAGE.partition(f"\n## {heading}\n")
    assert rest, f"the page has no section {heading}"
    return rest.partition("\n## ")[0]


def _strip(cells: list[str]) -> list[str]:
    return [cell.strip("`") for cell in cells]


@pytest.mark.parametrize(
    ("heading", "header", "expected"),
    [
        ("Refusals", "reason", [str(each) for each in errors.Reason]),
        ("Retries", "reason", [str(each) for each in errors.RetryReason]),
        ("Metrics", "metric", docs_tools.metric_names()),
        (
            "Logs",
            "prefix",
            [f"{each}:" for each in docs_tools.log_prefixes()],
        ),
    ],
    ids=["refusal", "retry reason", "metric", "log prefix"],
)
def test_table_has_each_name_once(
    heading: str, header: str, expected: list[str]
) -> None:
    """Guards against a name that is missing, gone from the code or doubled."""
    found = docs_tools.first_column(_section(heading), header)
    assert sorted(found) == sorted(expected)


def test_exit_codes_are_those_of_the_code() -> None:
    """Guards against exit codes that are not on the page or not in the code.

    Code 1 of the entry is what cleo returns for a failure of its own or of
    the daemon; no constant names it.
    """
    found = [
        (program.strip("`"), int(code))
        for program, code, *_ in _rows("program")
    ]
    expected = docs_tools.exit_codes() | {("chestnuttide-entry", 1)}
    assert sorted(found) == sorted(expected)


def test_refusals_have_the_status_of_the_code() -> None:
    """Guards against a wrong HTTP status or run state in the table."""
    states = {str(each) for each in errors.RunState}
    rows = _rows("reason | status")
    found = {row[0].strip("`"): int(row[1]) for row in rows}
    assert found == {str(k): v for k, v in errors.HTTP_STATUS.items()}
    for row in rows:
        run_states = _strip(row[2].split(", "))
        assert set(run_states) <= states, row[0]
        assert row[3], f"{row[0]} has no meaning"
        assert row[4] or row[5] or row[0] == "`cancelled`", row[0]


def test_metric_labels_are_those_of_the_code() -> None:
    """Guards against a label value of a counter that the page lacks."""
    table = _section("Metrics")
    for values in (
        docs_tools.label_values("mesh_bytes"),
        docs_tools.label_values("mesh_dropped"),
        docs_tools.label_values("store_calls"),
    ):
        for value in values:
            assert f"`{value}`" in table, value


@pytest.mark.parametrize(
    "failure",
    [
        "process killed",
        "process paused",
        "instance lost",
        "store down",
        "store slow",
        "store answers lost",
        "instance list lagging",
        "worker lost",
        "worker failing everything",
        "target leaving",
        "rack or data centre lost",
        "regions apart",
        "operators racing",
        "cancellation bursts",
    ],
)
def test_failure_is_described(failure: str) -> None:
    """Guards against a failure that an operator on call cannot look up."""
    rows = {row[0]: row for row in _rows("failure")}
    assert failure in rows
    assert all(rows[failure]), f"{failure} has an empty cell"


def test_names_in_the_failure_table_exist() -> None:
    """Guards against a renamed counter, reason or setting in the advice."""
    known = {str(each) for each in errors.Reason}
    known |= {str(each) for each in errors.RetryReason}
    known |= {str(each) for each in errors.RunState}
    known |= {
        name.removeprefix("chestnuttide_")
        for name in docs_tools.metric_names()
    }
    for page in docs_tools.REFERENCES:
        part = docs_tools.generated_part(docs_tools.read_page(page))
        known |= set(docs_tools.first_column(part, "field"))
    section = _section("What an operator on call sees")
    found = set(re.findall(r"`([a-z]+(?:_[a-z]+)+)`", section))
    assert found - known == set()
