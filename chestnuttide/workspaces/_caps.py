"""Caps of workspaces, as one planning round of a service's owner keeps them.

A workspace's cap holds over all services. Each service holds a part of it, and
its owner starts a run only if the workspace's runs here stay within that part.
Parts and amounts are integers, and what all services may use is the cap at
most.
"""

import typing

import attrs

from chestnuttide import model
from chestnuttide.workspaces import _fair_share
from chestnuttide.workspaces import _quota

# A part of a cap is a number of these, for each resource. The record has
# thousandths, which former releases know, and the rest beside them.
THOUSANDTH: typing.Final = 10**12
WHOLE: typing.Final = 1000 * THOUSANDTH

# Services that share a cap, at most.
MAX_SERVICES: typing.Final = 1_000

# Added to what a part allows, so that parts which are rounded down for an
# amount allow it. Over all services it is less than one unit of the resource.
# It exceeds the rounding of caps of up to 10^9 of them by far.
_ROUNDING: typing.Final = WHOLE // (MAX_SERVICES + 1)

# While at least this share of a cap is in use, what becomes free is kept for
# the workspace's most urgent unit that does not fit, in a window of each
# period of its wait. Outside the window others use it, so that a gang that
# never fits holds nothing idle for ever.
KEEPING_SHARE: typing.Final = 0.5
KEEPING_PERIOD_S: typing.Final = 20.0
KEEPING_FROM_S: typing.Final = 2.0
KEEPING_UNTIL_S: typing.Final = 12.0

# Share of a cap by which a unit that starts alone may exceed it.
ALONE_OVERSHOOT: typing.Final = 0.1

Parts: typing.TypeAlias = tuple[int, int, int]

NOTHING: typing.Final[Parts] = (0, 0, 0)


@attrs.frozen(kw_only=True, slots=True)
class Allowance:
    """What the runs of a workspace may use in one service.

    Attributes
    ----------
    cap : Resources
        Cap of the workspace over all services; 0 means no limit.
    limit : Resources
        What its runs in this service may use; counts where `cap` is not 0.
    keeping : bool
        Whether free room is kept for the first unit that does not fit.
    """

    cap: model.Resources
    limit: model.Resources
    keeping: bool = False


@attrs.define(kw_only=True, slots=True)
class PutOff:
    """Units of a workspace that wait for its cap in this service.

    Attributes
    ----------
    tasks : int
        Number of their tasks.
    amount : Resources
        What they need together.
    head : Resources
        Need of the first of them, the most urgent one.
    head_key : object
        Identifies the first of them between rounds.
    """

    tasks: int = 0
    amount: model.Resources = model.ZERO
    head: model.Resources = model.ZERO
    head_key: object = None


@attrs.define(kw_only=True, slots=True)
class Round:
    """Caps and shares in one planning round.

    Attributes
    ----------
    allowances : dict of str to Allowance
        Allowance of each workspace that has a cap.
    usage : QuotaState
        What the runs of each workspace use in this service.
    put_off : dict of str to PutOff
        Units that wait for their workspace's cap, by workspace.
    shares : FairShares or None
        Shares of the workspaces; None if none are configured.
    """

    allowances: dict[str, Allowance] = attrs.field(factory=dict)
    usage: _quota.QuotaState = attrs.field(factory=_quota.QuotaState)
    put_off: dict[str, PutOff] = attrs.field(factory=dict)
    shares: _fair_share.FairShares | None = None


def scale(need: model.Resources, count: int) -> model.Resources:
    """Return the need of several equal tasks together."""
    if count == 1:
        return need
    return model.Resources(
        cpu_millis=need.cpu_millis * count,
        memory_mb=need.memory_mb * count,
        accelerators=need.accelerators * count,
    )


def amounts(resources: model.Resources) -> tuple[int, int, int]:
    """Return the amounts by resource, in the order of `Parts`."""
    return (
        resources.cpu_millis,
        resources.memory_mb,
        resources.accelerators,
    )


def limit_of(cap: model.Resources, parts: Parts) -> model.Resources:
    """Return what a service may use that holds these parts of a cap.

    The limits of all services together are the cap at most.
    """
    cpu, memory, accelerators = (
        (limit * part + _ROUNDING) // WHOLE
        for limit, part in zip(amounts(cap), parts, strict=True)
    )
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def thousandths(parts: Parts) -> Parts:
    """Return parts in thousandths of a cap, rounded down, for operators."""
    cpu, memory, accelerators = (part // THOUSANDTH for part in parts)
    return cpu, memory, accelerators


def within_rest(
    limit: model.Resources, cap: model.Resources, others: model.Resources
) -> model.Resources:
    """Return a limit that is within what others leave of a cap."""
    cpu, memory, accelerators = (
        min(value, max(0, whole - used))
        for value, whole, used in zip(
            amounts(limit), amounts(cap), amounts(others), strict=True
        )
    )
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def parts_for(cap: model.Resources, amount: model.Resources) -> Parts:
    """Return parts of a cap that allow an amount, and no larger one.

    Those of amounts that fill a cap together are the whole at most.
    """
    cpu, memory, accelerators = (
        value * WHOLE // limit if limit else 0
        for value, limit in zip(amounts(amount), amounts(cap), strict=True)
    )
    return cpu, memory, accelerators


def counted_need(
    cap: model.Resources, need: model.Resources, count: int
) -> model.Resources | None:
    """Return what a unit counts against a cap, or None if it never fits.

    A unit that exceeds the whole cap by less than one task or within the
    overshoot counts as all of it. It starts while its workspace has nothing
    else running, because the platform allows both beyond the cap.
    """
    total = scale(need, count)
    if _within(amounts(total), amounts(cap)):
        return total
    others = scale(need, count - 1)
    if not all(
        not limit or left <= limit or value <= limit * (1 + ALONE_OVERSHOOT)
        for left, value, limit in zip(
            amounts(others), amounts(total), amounts(cap), strict=True
        )
    ):
        return None
    cpu, memory, accelerators = (
        min(value, limit) if limit else value
        for value, limit in zip(amounts(total), amounts(cap), strict=True)
    )
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def may_start(
    round_: Round,
    workspace: str,
    need: model.Resources,
    count: int,
    key: object,
) -> bool:
    """Return whether a unit keeps its workspace within its allowance.

    A unit that does not is recorded in `Round.put_off`.

    Parameters
    ----------
    round_ : Round
        The planning round.
    workspace : str
        Workspace of the unit's job; empty for none.
    need : Resources
        What the platform sees each task request.
    count : int
        Number of its tasks, which start together.
    key : object
        Identifies the unit between rounds.
    """
    allowance = round_.allowances.get(workspace)
    if allowance is None:
        return True
    waiting = round_.put_off.get(workspace)
    counted = counted_need(allowance.cap, need, count)
    if counted is not None:
        kept = waiting is not None and allowance.keeping
        used = round_.usage.used.get(workspace, model.ZERO)
        if not kept and _fits(allowance, used, counted):
            return True
    if waiting is None:
        waiting = round_.put_off[workspace] = PutOff()
    if counted is not None:
        # Parts of the cap are of no use to a unit that never fits.
        if waiting.head_key is None:
            waiting.head, waiting.head_key = counted, key
        waiting.amount = model.add(waiting.amount, counted)
    waiting.tasks += count
    return False


def keeps_room(
    cap: model.Resources, used: model.Resources, waiting_s: float
) -> bool:
    """Return whether free room is kept for a unit that waits for its cap.

    Parameters
    ----------
    cap : Resources
        Cap of the workspace.
    used : Resources
        What it uses over all services.
    waiting_s : float
        How long the unit has waited for the cap.
    """
    phase_s = waiting_s % KEEPING_PERIOD_S
    return KEEPING_FROM_S <= phase_s < KEEPING_UNTIL_S and any(
        limit and value >= KEEPING_SHARE * limit
        for value, limit in zip(amounts(used), amounts(cap), strict=True)
    )


def _fits(
    allowance: Allowance, used: model.Resources, need: model.Resources
) -> bool:
    # A workspace above a cap that a version has lowered starts nothing.
    if not _within(amounts(used), amounts(allowance.cap)):
        return False
    return all(
        not cap or not value or in_use + value <= limit
        for cap, value, in_use, limit in zip(
            amounts(allowance.cap),
            amounts(need),
            amounts(used),
            amounts(allowance.limit),
            strict=True,
        )
    )


def _within(values: tuple[int, ...], limits: tuple[int, ...]) -> bool:
    return all(
        not limit or value <= limit
        for value, limit in zip(values, limits, strict=True)
    )
