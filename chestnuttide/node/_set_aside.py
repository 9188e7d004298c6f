"""Items that an owner leaves out for a time, because handling them failed.

A fault in the handling of one job, worker or part of the supervision must not
end the work of a service: the next owner would meet the same item. The item
is set aside, with a line in the log, and tried again after a growing pause.
See docs/decisions/containment.md.
"""

import asyncio
import collections.abc
import enum
import typing

import attrs

from chestnuttide.node import _clock
from chestnuttide import telemetry

LOG = telemetry.make_logger("owner")

# Pause before an item is tried again, doubled with each failure.
RETRY_MINIMUM_S: typing.Final = 1.0
RETRY_MAXIMUM_S: typing.Final = 60.0

# Pause before a failed loop is started again, doubled with each failure within
# LOOP_MEMORY_S.
LOOP_RETRY_MINIMUM_S: typing.Final = 0.1
LOOP_RETRY_MAXIMUM_S: typing.Final = 2.0
LOOP_MEMORY_S: typing.Final = 10.0

# Causes are shown to operators up to this length.
MAX_CAUSE: typing.Final = 300

Action: typing.TypeAlias = collections.abc.Callable[[], None]


class Kind(enum.StrEnum):
    """What is set aside.

    A RECORD is a job, one of whose stored records cannot be used; an ENTRY is
    a worker's entry that cannot be read. A JOB is one whose planning or
    storing failed, a CANCELLATION one that could not be applied, a WORKER one
    whose entry could not be applied, and a PART is a part of the supervision.
    """

    ENTRY = "entry"
    RECORD = "record"
    JOB = "job"
    CANCELLATION = "cancellation"
    WORKER = "worker"
    PART = "part"


ItemKey: typing.TypeAlias = tuple[Kind, str]


@attrs.frozen(kw_only=True, slots=True)
class Item:
    """An item that is set aside.

    Attributes
    ----------
    cause : str
        The error that was raised.
    since : float
        Monotonic time of that error.
    retry_at : float or None
        Monotonic time at which the item is tried again; None for only when
        the store has a new value of it, or when the owner changes.
    retry : function or None
        Tries it again.
    """

    cause: str
    since: float
    retry_at: float | None = None
    retry: Action | None = None


@attrs.define(kw_only=True, slots=True, eq=False)
class Register:
    """The items that an owner has set aside.

    Attributes
    ----------
    service : str
        Service of the owner.
    count : function
        ``count(kind)`` counts each time that an item is set aside.
    items : dict of (Kind, str) to Item
        The items, by kind and name.
    failures : dict of (Kind, str) to int
        How often each item has been set aside by this owner.
    """

    service: str
    count: collections.abc.Callable[[str], None]
    items: dict[ItemKey, Item] = attrs.field(factory=dict)
    failures: dict[ItemKey, int] = attrs.field(factory=dict)


def add_unreadable(
    register: Register, kind: Kind, name: str, error: Exception
) -> None:
    """Note that an item is left out; the caller logs it."""
    register.items[(kind, name)] = Item(
        cause=str(error)[:MAX_CAUSE], since=_clock.now()
    )


def add(
    register: Register, kind: Kind, name: str, error: Exception, retry: Action
) -> None:
    """Set an item aside after a fault, to be tried again after a pause."""
    key = (kind, name)
    failures = register.failures.get(key, 0) + 1
    register.failures[key] = failures
    now = _clock.now()
    pause_s = min(
        RETRY_MAXIMUM_S, RETRY_MINIMUM_S * 2 ** min(failures - 1, 10)
    )
    register.items[key] = Item(
        cause=repr(error)[:MAX_CAUSE],
        since=now,
        retry_at=now + pause_s,
        retry=retry,
    )
    register.count(kind)
    LOG.error(
        "Item is set aside.",
        service=register.service,
        kind=str(kind),
        item=name,
        failures=failures,
        retry_s=pause_s,
        exc_info=error,
    )


def attempt(register: Register, kind: Kind, name: str, action: Action) -> bool:
    """Handle an item; set it aside if that fails, to be tried again.

    Returns
    -------
    bool
        Whether it was handled.
    """
    try:
        action()
    except Exception as error:
        add(register, kind, name, error, action)
        return False
    remove(register, kind, name)
    return True


def remove(register: Register, kind: Kind, name: str) -> None:
    """Note that an item is no longer set aside."""
    if register.items.pop((kind, name), None) is not None:
        LOG.info(
            "Item is used again.",
            service=register.service,
            kind=str(kind),
            item=name,
        )


def is_set_aside(register: Register, kind: Kind, name: str) -> bool:
    """Return whether an item is set aside."""
    return (kind, name) in register.items


def retry_due(register: Register) -> None:
    """Try the items again whose pause is over."""
    if not register.items:
        return
    now = _clock.now()
    for (kind, name), item in list(register.items.items()):
        if item.retry_at is not None and now >= item.retry_at:
            attempt(register, kind, name, item.retry)


def list_items(register: Register) -> list[dict[str, object]]:
    """Return what is set aside and why, for operators."""
    now = _clock.now()
    return [
        {
            "service": register.service,
            "kind": str(kind),
            "item": name,
            "cause": item.cause,
            "failures": register.failures.get((kind, name), 0),
            "since_s": round(now - item.since, 1),
            "retry_in_s": None
            if item.retry_at is None
            else round(item.retry_at - now, 1),
        }
        for (kind, name), item in sorted(register.items.items())
    ]


async def run_loop(
    register: Register,
    name: str,
    make_loop: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Run a loop until it returns; start it again if it fails."""
    failures = 0
    while True:
        started_at = _clock.now()
        try:
            await make_loop()
            return
        except Exception as error:
            if _clock.now() - started_at > LOOP_MEMORY_S:
                failures = 0
            pause_s = min(
                LOOP_RETRY_MAXIMUM_S,
                LOOP_RETRY_MINIMUM_S * 2 ** min(failures, 10),
            )
            failures += 1
            register.count("loop")
            LOG.error(
                "Owner's loop has failed; starting it again.",
                service=register.service,
                loop=name,
                failures=failures,
                retry_s=pause_s,
                exc_info=error,
            )
        await asyncio.sleep(pause_s)
