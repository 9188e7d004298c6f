"""Encoding of mesh messages as CBOR arrays.

A frame is a CBOR array of messages. A message is an array that holds the tag
of its type followed by its fields in order of declaration. New fields are
appended with a default, so that instances of different releases can exchange
messages.
"""

import collections.abc
import operator
import typing

import attrs
import cbor2

from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class _MessageType:
    """Describes how a message class is encoded and decoded.

    Attributes
    ----------
    message_class : type
        The attrs class.
    field_names : tuple of str
        Names of its fields, in order of declaration.
    tuple_fields : tuple of str
        Names of the fields that hold tuples, which CBOR decodes as lists.
    get_values : function
        Returns the field values of a message, in order.
    """

    message_class: type
    field_names: tuple[str, ...]
    tuple_fields: tuple[str, ...]
    get_values: collections.abc.Callable[[object], tuple[object, ...]]


@attrs.frozen(kw_only=True, slots=True)
class Codec:
    """Message types of the mesh, by tag.

    Attributes
    ----------
    by_tag : tuple of _MessageType
        The message types; the index of each is its tag.
    tags : dict of type to int
        Tag of each message class.
    """

    by_tag: tuple[_MessageType, ...]
    tags: dict[type, int]


def make_codec(classes: collections.abc.Sequence[type]) -> Codec:
    """Return a codec that numbers message classes in the given order.

    Parameters
    ----------
    classes : sequence of type
        Frozen attrs classes whose fields are str, int, float, bool, bytes,
        None or (nested) tuples of these.
    """
    types = tuple(_make_message_type(each) for each in classes)
    tags = {each.message_class: tag for tag, each in enumerate(types)}
    return Codec(by_tag=types, tags=tags)


def encode(codec: Codec, messages: collections.abc.Iterable[object]) -> bytes:
    """Return the frame that carries `messages`."""
    by_tag = codec.by_tag
    tags = codec.tags
    items = []
    for message in messages:
        tag = tags[type(message)]
        items.append([tag, *by_tag[tag].get_values(message)])
    return cbor2.dumps(items)


def decode(codec: Codec, frame: bytes) -> list[object]:
    """Return the messages of a frame.

    Raises
    ------
    errors.ProtocolError
        If the frame is not an array of known messages.
    """
    with errors.decoding(
        "A mesh frame", "Run the same release on all instances."
    ):
        return [_decode_message(codec, item) for item in cbor2.loads(frame)]


def _make_message_type(message_class: type) -> _MessageType:
    fields = attrs.fields(message_class)
    field_names = tuple(field.name for field in fields)
    tuple_fields = tuple(
        field.name
        for field in fields
        if typing.get_origin(field.type) is tuple
    )
    if len(field_names) == 1:
        get_only_value = operator.attrgetter(field_names[0])

        def get_values(message: object) -> tuple[object, ...]:
            return (get_only_value(message),)

    else:
        get_values = operator.attrgetter(*field_names)
    return _MessageType(
        message_class=message_class,
        field_names=field_names,
        tuple_fields=tuple_fields,
        get_values=get_values,
    )


def _decode_message(codec: Codec, item: list[object]) -> object:
    message_type = codec.by_tag[item[0]]
    fields = dict(zip(message_type.field_names, item[1:], strict=False))
    for name in message_type.tuple_fields:
        if name in fields:
            fields[name] = _to_tuple(fields[name])
    return message_type.message_class(**fields)


def _to_tuple(value: object) -> object:
    if isinstance(value, list | tuple):
        return tuple(_to_tuple(each) for each in value)
    return value
