"""Encoding of mesh messages as CBOR arrays.

A frame is a CBOR array of messages, and a message is an array of its type's
tag and its fields in order of declaration. New fields are appended with a
default, so that a newer instance can talk to an older one.
"""

import collections.abc
import operator
import typing

import attrs
import cbor2

from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class _MessageType:
    """How one class of messages is written and read.

    Attributes
    ----------
    message_class : type
        The attrs class.
    names : tuple of str
        Its fields, in order.
    tuples : tuple of str
        The fields that hold tuples, which CBOR returns as lists.
    values : function
        Returns the values of all fields of a message.
    """

    message_class: type
    names: tuple[str, ...]
    tuples: tuple[str, ...]
    values: collections.abc.Callable[[object], tuple[object, ...]]


@attrs.frozen(kw_only=True, slots=True)
class Codec:
    """Message types of the mesh by tag.

    Attributes
    ----------
    by_tag : tuple of _MessageType
        The types; the index is the tag.
    tags : dict of type to int
        Tag of each message class.
    """

    by_tag: tuple[_MessageType, ...]
    tags: dict[type, int]


def make_codec(classes: collections.abc.Sequence[type]) -> Codec:
    """Return a codec for message classes, whose order gives the tags.

    Parameters
    ----------
    classes : sequence of type
        Frozen attrs classes whose fields are str, int, float, bool, bytes,
        None or (nested) tuples of these.
    """
    types = tuple(_describe(each) for each in classes)
    tags = {each.message_class: tag for tag, each in enumerate(types)}
    return Codec(by_tag=types, tags=tags)


def encode(codec: Codec, messages: collections.abc.Iterable[object]) -> bytes:
    """Return the frame that carries `messages`."""
    by_tag = codec.by_tag
    tags = codec.tags
    items = []
    for message in messages:
        tag = tags[type(message)]
        items.append([tag, *by_tag[tag].values(message)])
    return cbor2.dumps(items)


def decode(codec: Codec, frame: bytes) -> list[object]:
    """Return the messages of a frame.

    Raises
    ------
    errors.ProtocolError
        If the frame is no array of known messages.
    """
    try:
        return [_build(codec, item) for item in cbor2.loads(frame)]
    except (
        cbor2.CBORDecodeError,
        IndexError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.ProtocolError(
            message=f"A mesh frame cannot be decoded: {error}.",
            remedy="Run the same release on all instances.",
        ) from error


def _describe(message_class: type) -> _MessageType:
    fields = attrs.fields(message_class)
    names = tuple(field.name for field in fields)
    tuples = tuple(
        field.name
        for field in fields
        if typing.get_origin(field.type) is tuple
    )
    if len(names) == 1:
        get_one = operator.attrgetter(names[0])

        def values(message: object) -> tuple[object, ...]:
            return (get_one(message),)

    else:
        values = operator.attrgetter(*names)
    return _MessageType(
        message_class=message_class, names=names, tuples=tuples, values=values
    )


def _build(codec: Codec, item: list[object]) -> object:
    message_type = codec.by_tag[item[0]]
    fields = dict(zip(message_type.names, item[1:], strict=False))
    for name in message_type.tuples:
        if name in fields:
            fields[name] = _as_tuple(fields[name])
    return message_type.message_class(**fields)


def _as_tuple(value: object) -> object:
    if isinstance(value, list | tuple):
        return tuple(_as_tuple(each) for each in value)
    return value
