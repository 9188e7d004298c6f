"""Resources in use by workspaces or teams, checked against their limits.

The former daemons call a workspace a team.
"""

import typing

import attrs

from chestnuttide import model


class Limits(typing.Protocol):
    """Most of each resource that may be in use; 0 means no limit."""

    @property
    def cpu_millis(self) -> int:
        """Processor time, in thousandths of a core."""

    @property
    def memory_mb(self) -> int:
        """Memory, in megabytes."""

    @property
    def accelerators(self) -> int:
        """Number of accelerators."""


@attrs.define(kw_only=True)
class QuotaState:
    """Resources in use by team.

    Attributes
    ----------
    used : dict of str to Resources
        Amount in use by team, without teams that use nothing.
    """

    used: dict[str, model.Resources] = attrs.field(factory=dict)


def acquire(quota: QuotaState, team: str, amount: model.Resources) -> None:
    """Add an amount to the usage of a team."""
    quota.used[team] = model.add(quota.used.get(team, model.ZERO), amount)


def release(quota: QuotaState, team: str, amount: model.Resources) -> None:
    """Subtract an amount from the usage of a team."""
    left = model.subtract(quota.used.get(team, model.ZERO), amount)
    if left == model.ZERO:
        quota.used.pop(team, None)
    else:
        quota.used[team] = left


def allows(
    quota: QuotaState,
    team: str,
    limits: Limits,
    amount: model.Resources,
) -> bool:
    """Return whether a team may use an additional amount.

    Parameters
    ----------
    quota : QuotaState
        Resources in use by team.
    team : str
        The team.
    limits : Limits
        Limits of the team; 0 in a dimension means no limit.
    amount : Resources
        The additional amount.

    Returns
    -------
    bool
        Whether the sum is within the limit in each dimension.
    """
    used = quota.used.get(team, model.ZERO)
    return (
        _within_limit(used.cpu_millis + amount.cpu_millis, limits.cpu_millis)
        and _within_limit(used.memory_mb + amount.memory_mb, limits.memory_mb)
        and _within_limit(
            used.accelerators + amount.accelerators, limits.accelerators
        )
    )


def could_ever_allow(limits: Limits, amount: model.Resources) -> bool:
    """Return whether an amount is within the quota of a team without usage."""
    return allows(QuotaState(), "", limits, amount)


def _within_limit(amount: int, limit: int) -> bool:
    """Return whether an amount is within a limit; 0 means no limit."""
    return limit == 0 or amount <= limit
