"""One error for whatever a parser raises on input it cannot read."""

import collections.abc
import contextlib

from chestnuttide.errors import _exceptions

# Errors quote at most this much of the failure, which may quote the input.
_MAX_QUOTED = 200


@contextlib.contextmanager
def decoding(
    what: str,
    remedy: str,
    make_error: collections.abc.Callable[
        ..., _exceptions.SchedulerError
    ] = _exceptions.ProtocolError,
) -> collections.abc.Iterator[None]:
    """Turn any failure of the block into one error with a short message.

    Input may be nested thousands of levels deep, hold numbers beyond a type's
    range, or have fields of another type. Parsers and conversions raise
    errors of many classes for it, RecursionError and OverflowError among
    them.

    Parameters
    ----------
    what : str
        What is decoded, as the subject of the message.
    remedy : str
        Remedy of the error.
    make_error : function
        ``make_error(message, remedy)`` returns the error to raise, a
        `ProtocolError` unless given.
    """
    try:
        yield
    except Exception as error:
        cause = (str(error) or type(error).__name__).rstrip(".")
        raise make_error(
            message=f"{what} cannot be read: {cause[:_MAX_QUOTED]}.",
            remedy=remedy,
        ) from error
