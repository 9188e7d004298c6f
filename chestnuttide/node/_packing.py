"""Compressed configurations in messages between instances.

A configuration of 1,400 routes has some 400 KB. A link of 5 Mbit/s carries
that in 0.65 s, longer than a call to a peer may take.
"""

import typing
import zlib

from chestnuttide import errors

# Fast: a document of 400 KB takes some milliseconds and shrinks several times.
LEVEL: typing.Final = 1

# A larger document is no configuration; the store takes at most 1 MiB a value.
MAX_DOCUMENT_BYTES: typing.Final = 4 * 1024 * 1024


def pack(document: bytes) -> bytes:
    """Return a document in compressed form."""
    return zlib.compress(document, LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the document in a compressed form.

    Raises
    ------
    errors.ProtocolError
        If it cannot be read or is too large.
    """
    with errors.decoding(
        "A peer's configuration", "Run the same release on all instances."
    ):
        decompressor = zlib.decompressobj()
        document = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            raise ValueError("the document is incomplete or too large")
        return document
