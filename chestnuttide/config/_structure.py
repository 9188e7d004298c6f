"""Strict structuring of JSON values into attrs classes.

Settings files and the configuration document both use it. By default, cattrs
turns ``"5"`` into 5 and ``1.5`` into 1, and its error for a failed validator
does not name the field.
"""

import collections.abc
import difflib
import functools
import typing

import attrs
import cattrs

_TYPE_DESCRIPTIONS: typing.Final[dict[type, str]] = {
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a string",
    dict: "an object",
}

# Largest whole number that every JSON implementation represents exactly. The
# check also rejects NaN and infinities, which JSON cannot represent.
_MAX_NUMBER: typing.Final = 2**53 - 1


class FieldError(Exception):
    """A value of a document cannot be used.

    Parameters
    ----------
    path : tuple of str
        Names of the fields from the root of the document to the value.
    value : object
        The value; None if it is missing.
    problem : str
        Description of the error that reads on from the name of the field,
        for example ``is missing``.
    allowed : str
        Description of the allowed values; empty for an unknown field.
    nearest : str
        Known field name closest to an unknown one; empty if none is close.
    """

    def __init__(
        self,
        *,
        path: tuple[str, ...],
        value: object,
        problem: str,
        allowed: str = "",
        nearest: str = "",
    ) -> None:
        super().__init__(f"{'.'.join(path)} {problem}")
        self.path = path
        self.value = value
        self.problem = problem
        self.allowed = allowed
        self.nearest = nearest


def describe_allowed(attribute: attrs.Attribute) -> str:
    """Return a description of the allowed values of a field.

    Parameters
    ----------
    attribute : attrs.Attribute
        A field of an attrs class.

    Returns
    -------
    str
        For example ``a whole number >= 1 and <= 64``.
    """
    kind = typing.get_origin(attribute.type) or attribute.type
    words = _TYPE_DESCRIPTIONS.get(kind, "an object")
    limits = _describe_validator(attribute.validator)
    return f"{words} {limits}" if limits else words


def structure_strictly(
    cls: type, document: object, path: tuple[str, ...] = ()
) -> typing.Any:
    """Build an attrs class from a JSON value without any coercion.

    A whole number is accepted for a float field; any other mismatch of types
    is an error.

    Parameters
    ----------
    cls : type
        The attrs class; the types of its fields are int, float, bool, str,
        other attrs classes, or dicts of str to one of these.
    document : object
        The JSON value.
    path : tuple of str
        Path of `document`, for error messages.

    Raises
    ------
    FieldError
        The first value that cannot be used.
    """
    current_path, converter = _shared_converter()
    current_path[:] = path
    return converter.structure(document, cls)


def _describe_validator(validator: object) -> str:
    """Return a description of the limits set by an attrs validator."""
    if validator is None:
        return ""
    parts = getattr(validator, "_validators", None)
    if parts is not None:
        return " and ".join(
            words for words in map(_describe_validator, parts) if words
        )
    if hasattr(validator, "compare_op"):
        return f"{validator.compare_op} {validator.bound}"
    if hasattr(validator, "options"):
        return "out of " + ", ".join(str(item) for item in validator.options)
    if hasattr(validator, "min_length"):
        return f"of at least {validator.min_length} characters"
    if hasattr(validator, "max_length"):
        return f"of at most {validator.max_length} characters"
    return getattr(validator, "allowed", "")


def _find_nearest(name: str, known: collections.abc.Iterable[str]) -> str:
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.5)
    return matches[0] if matches else ""


@functools.cache
def _shared_converter() -> tuple[list[str], cattrs.Converter]:
    """Return the shared converter and its list for the current path.

    Creating a converter takes a millisecond, so all calls share one. Its hooks
    update the path in place because cattrs does not pass them one. Structuring
    never awaits, so two documents never use the converter at the same time.
    """
    path: list[str] = []
    return path, _make_converter(path)


def _make_converter(path: list[str]) -> cattrs.Converter:
    """Return a converter whose errors include the path of the value.

    Parameters
    ----------
    path : list of str
        Path of the root; the hooks update it while they descend.
    """

    def fail(problem: str, value: object, **more: str) -> FieldError:
        return FieldError(
            path=tuple(path), value=value, problem=problem, **more
        )

    def require_object(value: object) -> None:
        if not isinstance(value, dict):
            raise fail(
                "has the wrong type", value, allowed=_TYPE_DESCRIPTIONS[dict]
            )

    def structure_scalar(value: object, kind: type) -> object:
        is_whole = type(value) is int
        if type(value) is not kind and not (kind is float and is_whole):
            raise fail(
                "has the wrong type", value, allowed=_TYPE_DESCRIPTIONS[kind]
            )
        if kind in (int, float) and not abs(value) <= _MAX_NUMBER:
            raise fail(
                "is out of range", value, allowed=_TYPE_DESCRIPTIONS[kind]
            )
        return float(value) if kind is float else value

    def structure_mapping(value: object, kind: object) -> dict[str, object]:
        require_object(value)
        _, item_kind = typing.get_args(kind)
        items = {}
        for name, item in value.items():
            path.append(name)
            items[name] = converter.structure(item, item_kind)
            path.pop()
        return items

    def structure_field(value: object, attribute: attrs.Attribute) -> object:
        allowed = describe_allowed(attribute)
        field_path = tuple(path)
        try:
            item = converter.structure(value, attribute.type)
        except FieldError as error:
            # The field's limits are more specific than its type alone.
            if error.path == field_path and error.allowed:
                error.allowed = allowed
            raise
        if attribute.validator is not None:
            try:
                attribute.validator(None, attribute, item)
            except (ValueError, TypeError) as error:
                raise fail(
                    "is out of range", value, allowed=allowed
                ) from error
        return item

    def structure_class(value: object, cls: type) -> object:
        require_object(value)
        fields = attrs.fields_dict(cls)
        for name in value:
            if name not in fields:
                path.append(name)
                raise fail(
                    "is not a known field",
                    value[name],
                    nearest=_find_nearest(name, fields),
                )
        found = {}
        for name, attribute in fields.items():
            path.append(name)
            if name in value:
                found[name] = structure_field(value[name], attribute)
            elif attribute.default is attrs.NOTHING:
                raise fail(
                    "is missing", None, allowed=describe_allowed(attribute)
                )
            path.pop()
        return cls(**found)

    converter = cattrs.Converter(detailed_validation=False)
    for kind in (int, float, bool, str):
        converter.register_structure_hook(kind, structure_scalar)
    converter.register_structure_hook_func(attrs.has, structure_class)
    converter.register_structure_hook_func(
        lambda kind: typing.get_origin(kind) is dict, structure_mapping
    )
    return converter
