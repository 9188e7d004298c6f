"""The generated parts of the pages are up to date."""

import pytest

import docs_tools


@pytest.mark.parametrize("name", docs_tools.REFERENCES)
def test_reference_is_up_to_date(name: str) -> None:
    """Guards against a reference that lacks a field of the code."""
    page = docs_tools.read_page(name)
    expected = docs_tools.replace_generated(
        page, docs_tools.REFERENCES[name]()
    )
    assert page == expected, (
        f"docs/{name} is out of date; renew it by: python -m docs_tools"
    )


def test_page_without_markers_is_refused() -> None:
    """Guards against a renewal that silently changes nothing."""
    with pytest.raises(ValueError, match="no generated part"):
        docs_tools.replace_generated("# A page\n", "new\n")
