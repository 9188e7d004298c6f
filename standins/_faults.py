"""Faults that a stand-in brings about on purpose."""

import collections.abc
import random
import typing

import attrs

from chestnuttide import errors


@attrs.define(kw_only=True)
class Faults:
    """The faults in force for some calls.

    Attributes
    ----------
    down : bool
        Calls are refused with 503.
    silent : bool
        Calls are held without an answer, and closed once this is lifted.
    slow_s : float
        Seconds before a call takes effect.
    drop_answers : float
        Answers that are lost after their call took effect: a whole number
        counts down, a fraction below 1 is a probability.
    for_prefix : str
        Calls whose key begins with it; empty for all calls.
    drop_kinds : list of str
        Kinds of calls whose answers `drop_answers` loses.
    """

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    drop_answers: float = 0.0
    for_prefix: str = ""
    drop_kinds: list[str] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class Verdict:
    """What happens to one call.

    Attributes
    ----------
    refuse : bool
        Answer with 503, without effect.
    hold : bool
        Keep the caller waiting, without effect.
    delay_s : float
        Seconds to wait before the call takes effect.
    drop : bool
        Close the connection in place of an answer.
    """

    refuse: bool = False
    hold: bool = False
    delay_s: float = 0.0
    drop: bool = False


_CLEAN: typing.Final = Verdict()


def update(faults: Faults, changes: dict[str, object]) -> None:
    """Set the named faults.

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


def judge(faults: Faults, kind: str, key: str, rng: random.Random) -> Verdict:
    """Return what happens to a call, and count down `drop_answers`.

    An empty kind stands for a call that is waiting, whose answer is not
    counted yet.
    """
    if not key.startswith(faults.for_prefix):
        return _CLEAN
    if faults.silent:
        return Verdict(hold=True)
    if faults.down:
        return Verdict(refuse=True, delay_s=faults.slow_s)
    return Verdict(delay_s=faults.slow_s, drop=_drops(faults, kind, rng))


def join(verdicts: collections.abc.Iterable[Verdict]) -> Verdict:
    """Return a verdict with every fault of the given ones."""
    every = list(verdicts)
    return Verdict(
        refuse=any(verdict.refuse for verdict in every),
        hold=any(verdict.hold for verdict in every),
        delay_s=max((verdict.delay_s for verdict in every), default=0.0),
        drop=any(verdict.drop for verdict in every),
    )


def _drops(faults: Faults, kind: str, rng: random.Random) -> bool:
    if not kind or (faults.drop_kinds and kind not in faults.drop_kinds):
        return False
    if faults.drop_answers >= 1:
        faults.drop_answers -= 1
        return True
    return faults.drop_answers > 0 and rng.random() < faults.drop_answers
