import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide import config

_JSON = strategies.recursive(
    strategies.none() | strategies.integers(0, 3),
    lambda inner: strategies.dictionaries(
        strategies.sampled_from("abc"), inner, max_size=3
    ),
    max_leaves=8,
)
_OBJECTS = strategies.dictionaries(
    strategies.sampled_from("abc"), _JSON, max_size=3
)


# Examples from RFC 7396, appendix A.
@pytest.mark.parametrize(
    ("document", "patch", "expected"),
    [
        pytest.param({"a": "b"}, {"a": "c"}, {"a": "c"}, id="replace"),
        pytest.param({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}, id="add"),
        pytest.param({"a": "b"}, {"a": None}, {}, id="remove_last"),
        pytest.param(
            {"a": "b", "b": "c"}, {"a": None}, {"b": "c"}, id="remove_one"
        ),
        pytest.param({"a": ["b"]}, {"a": "c"}, {"a": "c"}, id="list_to_value"),
        pytest.param({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}, id="to_list"),
        pytest.param(
            {"a": {"b": "c"}},
            {"a": {"b": "d", "c": None}},
            {"a": {"b": "d"}},
            id="remove_absent",
        ),
        pytest.param(
            {"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}, id="lists_merged"
        ),
        pytest.param(["a", "b"], ["c", "d"], ["c", "d"], id="root_list"),
        pytest.param({"a": "b"}, ["c"], ["c"], id="root_to_list"),
        pytest.param({"a": "foo"}, None, None, id="root_to_null"),
        pytest.param({"a": "foo"}, "bar", "bar", id="root_to_string"),
        pytest.param(
            {"e": None}, {"a": 1}, {"e": None, "a": 1}, id="null_kept"
        ),
        pytest.param(
            [1, 2], {"a": "b", "c": None}, {"a": "b"}, id="list_to_object"
        ),
        pytest.param(
            {}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}, id="nested"
        ),
    ],
)
def test_apply_patch(
    document: object, patch: object, expected: object
) -> None:
    assert config.apply_patch(document, patch) == expected


@pytest.mark.parametrize(
    ("patch", "expected"),
    [
        pytest.param({}, (), id="empty_patch_has_path"),
        pytest.param(
            {"a": {"b": 1, "c": None}},
            (("a", "b"), ("a", "c")),
            id="removal_not_counted",
        ),
        pytest.param({"a": {}}, (("a",),), id="empty_object_not_counted"),
        pytest.param({"a": [1]}, (("a",),), id="list_descended_into"),
    ],
)
def test_changed_paths(patch: dict, expected: tuple) -> None:
    assert config.changed_paths(patch) == expected


@pytest.mark.parametrize(
    ("ours", "theirs", "collide"),
    [
        pytest.param("a.b", "a.b", True, id="same_path_missed"),
        pytest.param("a.b", "a", True, id="change_below_removal_missed"),
        pytest.param("a", "a.b", True, id="removal_above_change_missed"),
        pytest.param("a.b", "a.c", False, id="siblings_collide"),
        pytest.param("a.b", "a.bc", False, id="name_prefix_collides"),
    ],
)
def test_colliding_paths(ours: str, theirs: str, collide: bool) -> None:
    path = tuple(ours.split("."))
    expected = (path,) if collide else ()
    found = config.colliding_paths([path], [tuple(theirs.split("."))])
    assert found == expected


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(document=_OBJECTS, first=_OBJECTS, second=_OBJECTS)
def test_patches_that_do_not_collide_commute(
    document: dict, first: dict, second: dict
) -> None:
    # Guards against rebasing a patch after one that does not commute with it,
    # which would make the result depend on their order.
    hypothesis.assume(
        not config.colliding_paths(
            config.changed_paths(first), config.changed_paths(second)
        )
    )
    one = config.apply_patch(config.apply_patch(document, first), second)
    two = config.apply_patch(config.apply_patch(document, second), first)
    assert one == two
