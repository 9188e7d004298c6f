"""Faults that the stand-ins inject into calls."""

import collections.abc
import random
import typing

import attrs

from chestnuttide import errors


@attrs.define(kw_only=True)
class Faults:
    """Active faults, set by ``POST /control``.

    Attributes
    ----------
    down : bool
        Whether calls are refused with 503.
    silent : bool
        Whether calls get no response; their connections are closed once this
        fault is cleared.
    slow_s : float
        Delay before a call takes effect, in seconds.
    drop_answers : float
        Responses to drop after the call took effect. A value of 1 or more
        counts down, one below 1 is a probability.
    for_prefix : str
        Key prefix of the calls to which the faults apply; empty for all.
    drop_kinds : list of str
        Kinds of calls whose responses `drop_answers` drops; empty for all.
    """

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    drop_answers: float = 0.0
    for_prefix: str = ""
    drop_kinds: list[str] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class CallFaults:
    """Faults to apply to one call.

    Attributes
    ----------
    refuse : bool
        Whether it is refused with 503, without effect.
    block : bool
        Whether the caller is kept waiting, without effect.
    delay_s : float
        Delay before the call takes effect, in seconds.
    drop_response : bool
        Whether the connection is closed instead of sending the response.
    """

    refuse: bool = False
    block: bool = False
    delay_s: float = 0.0
    drop_response: bool = False


_NO_FAULTS: typing.Final = CallFaults()


def update(faults: Faults, changes: dict[str, object]) -> None:
    """Set faults by name.

    Raises
    ------
    ProtocolError
        A name is unknown.
    """
    known = {field.name for field in attrs.fields(Faults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise errors.ProtocolError(
            message=f"Unknown control fields: {', '.join(unknown)}.",
            remedy=f"Use some of: {', '.join(sorted(known))}.",
        )
    for name, value in changes.items():
        setattr(faults, name, value)


def draw_call_faults(
    faults: Faults, kind: str, key: str, rng: random.Random
) -> CallFaults:
    """Return the faults to apply to a call, and count down `drop_answers`.

    An empty kind stands for a call that is still waiting, which does not
    count down `drop_answers`.
    """
    if not key.startswith(faults.for_prefix):
        return _NO_FAULTS
    if faults.silent:
        return CallFaults(block=True)
    if faults.down:
        return CallFaults(refuse=True, delay_s=faults.slow_s)
    return CallFaults(
        delay_s=faults.slow_s, drop_response=_draw_drop(faults, kind, rng)
    )


def merge(parts: collections.abc.Iterable[CallFaults]) -> CallFaults:
    """Return the union of the given faults."""
    collected = list(parts)
    return CallFaults(
        refuse=any(each.refuse for each in collected),
        block=any(each.block for each in collected),
        delay_s=max((each.delay_s for each in collected), default=0.0),
        drop_response=any(each.drop_response for each in collected),
    )


def _draw_drop(faults: Faults, kind: str, rng: random.Random) -> bool:
    if not kind or (faults.drop_kinds and kind not in faults.drop_kinds):
        return False
    if faults.drop_answers >= 1:
        faults.drop_answers -= 1
        return True
    return faults.drop_answers > 0 and rng.random() < faults.drop_answers
