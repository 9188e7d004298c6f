"""Resources that each team holds, against its quota."""

import attrs

from chestnuttide import config
from chestnuttide import model


@attrs.define(kw_only=True)
class QuotaState:
    """What each team holds.

    Attributes
    ----------
    held : dict of str to Resources
        Amount held by team; teams that hold nothing are left out.
    """

    held: dict[str, model.Resources] = attrs.field(factory=dict)


def acquire(quota: QuotaState, team: str, amount: model.Resources) -> None:
    """Add an amount to what a team holds."""
    quota.held[team] = model.add(quota.held.get(team, model.ZERO), amount)


def release(quota: QuotaState, team: str, amount: model.Resources) -> None:
    """Take an amount off what a team holds."""
    left = model.subtract(quota.held.get(team, model.ZERO), amount)
    if left == model.ZERO:
        quota.held.pop(team, None)
    else:
        quota.held[team] = left


def allows(
    quota: QuotaState,
    team: str,
    limits: config.TeamConfig,
    amount: model.Resources,
) -> bool:
    """Return whether a team may hold an amount in addition.

    Parameters
    ----------
    quota : QuotaState
        What each team holds.
    team : str
        The team.
    limits : TeamConfig
        Its limits; 0 in a dimension means no limit.
    amount : Resources
        The amount in addition.

    Returns
    -------
    bool
        Whether the sum is within the limit in every dimension.
    """
    held = quota.held.get(team, model.ZERO)
    return (
        _within(held.cpu_millis + amount.cpu_millis, limits.cpu_millis)
        and _within(held.memory_mb + amount.memory_mb, limits.memory_mb)
        and _within(
            held.accelerators + amount.accelerators, limits.accelerators
        )
    )


def could_ever_allow(
    limits: config.TeamConfig, amount: model.Resources
) -> bool:
    """Return whether an amount is within the quota of an idle team."""
    return allows(QuotaState(), "", limits, amount)


def _within(amount: int, limit: int) -> bool:
    """Return whether an amount is within a limit; 0 means no limit."""
    return limit == 0 or amount <= limit
