"""The inventory of inputs against the code that decodes them."""

import typing

import attrs
import pytest

from chestnuttide.node import _messages
from chestnuttide.node import _settings
from docs_tools import _inputs

SECTIONS: typing.Final = _inputs.read_sections(
    _inputs.PAGE.read_text(encoding="utf-8")
)


@pytest.mark.parametrize(
    "section", [pytest.param(each, id=each.title) for each in SECTIONS]
)
def test_a_section_lists_the_fields_that_its_code_reads(
    section: _inputs.Section,
) -> None:
    """Guards against a field that nobody bounds, as it is not listed."""
    assert section.fields == _inputs.fields_of(section)


def test_each_decoder_is_in_a_section() -> None:
    """Guards against a new decoder that the inventory leaves out."""
    named = {name for each in SECTIONS for name in each.functions}
    assert named == _inputs.decoders().keys()


def test_each_message_and_each_part_of_the_settings_is_in_a_section() -> None:
    """Guards against a new message or setting that nobody bounds."""
    named = {name for each in SECTIONS for name in each.classes}
    expected = {
        f"node._messages:{each.__name__}"
        for each in _messages.MESSAGE_CLASSES
        if each.__module__ == _messages.__name__
    }
    expected |= {
        f"node._settings:{each.type.__name__}"
        for each in attrs.fields(_settings.NodeSettings)
        if attrs.has(each.type)
    }
    assert expected <= named


@pytest.mark.parametrize(
    ("source", "fields"),
    [
        pytest.param("d.get('a')", {"a"}, id="get"),
        pytest.param("m.read_text(d, 'a', default='b')", {"a"}, id="reader"),
        pytest.param("_read_counter(d, 'a')", {"a"}, id="own-reader"),
        pytest.param(
            "[read_integer(d, n) for f, n in (('x', 'a'), ('y', 'b'))]",
            {"a", "b"},
            id="loop",
        ),
        pytest.param("other(d, 'a')", set(), id="no-reader"),
    ],
)
def test_reads_of_fields_are_found(source: str, fields: set[str]) -> None:
    """Guards against a comparison that finds no fields and always passes."""
    assert _inputs.read_fields(source) == fields
