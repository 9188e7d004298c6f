"""The glossary has the code's words, the style page the linter's switches."""

import configparser
import re

import pytest

import docs_tools

_WORDS = docs_tools.first_column(docs_tools.read_page("glossary.md"), "word")


@pytest.mark.parametrize(
    "word",
    [
        "instance",
        "data centre",
        "caller",
        "target",
        "worker",
        "rack",
        "slot",
        "team",
        "shard",
        "pool",
        "epoch",
        "lease",
        "voter",
        "promise",
        "consent",
        "journal",
        "seal",
        "ledger",
        "intent",
        "gang",
        "backfill",
        "hedge",
        "ejection",
        "probe",
        "residual slot",
        "incarnation",
        "mesh",
        "takeover",
        "handover",
    ],
)
def test_word_is_explained_once(word: str) -> None:
    """Guards against a word of the code without a meaning, or with two."""
    assert _WORDS.count(word) == 1


def test_style_page_names_the_linter_exceptions() -> None:
    """Guards against a rule that is switched off without a reason given."""
    parser = configparser.ConfigParser()
    parser.read(docs_tools.ROOT / ".flake8")
    ignored = set(parser["flake8"]["extend-ignore"].split(","))
    named = set(
        re.findall(r"\b[EHW]\d{3}\b", docs_tools.read_page("style.md"))
    )
    assert ignored == named
