"""Weighted shares of workspaces, by the resource that each uses most."""

import collections.abc
import math
import typing

import attrs

from chestnuttide import model

# A workspace's level counts its past use with this weight, up to this multiple
# of its share, and the past fades with this time constant. One that was idle
# gets its share and no more; one that had more than its share gets at least
# five sixths of it until its past has faded.
HISTORY_WEIGHT: typing.Final = 0.25
HISTORY_LIMIT: typing.Final = 1.5
HISTORY_DECAY_S: typing.Final = 10.0


@attrs.define(kw_only=True, slots=True)
class FairShares:
    """Shares of the workspaces over all services.

    Attributes
    ----------
    capacity : Resources
        Capacity of all services.
    elsewhere : dict of str to Resources
        What each workspace uses in other services.
    entitled : dict of str to float
        Share of the capacity that each active workspace is entitled to; the
        sum is 1.
    history : dict of str to float
        Share of the capacity that each workspace has used, fading.
    """

    capacity: model.Resources
    elsewhere: dict[str, model.Resources] = attrs.field(factory=dict)
    entitled: dict[str, float] = attrs.field(factory=dict)
    history: dict[str, float] = attrs.field(factory=dict)


def entitle(
    weights: collections.abc.Mapping[str, float],
    active: collections.abc.Iterable[str],
) -> dict[str, float]:
    """Return the share of each active workspace by its weight.

    A workspace that is not configured (any more) has the weight 1.
    """
    chosen = {name: weights.get(name, 1.0) for name in active}
    total = sum(chosen.values())
    return {name: weight / total for name, weight in chosen.items() if total}


def dominant_share(use: model.Resources, capacity: model.Resources) -> float:
    """Return the largest share of a capacity that a use takes."""
    return max(
        use.cpu_millis / max(1, capacity.cpu_millis),
        use.memory_mb / max(1, capacity.memory_mb),
        use.accelerators / max(1, capacity.accelerators),
    )


def level(shares: FairShares, workspace: str, here: model.Resources) -> float:
    """Return a workspace's use relative to its share; over 1 is too much.

    Parameters
    ----------
    shares : FairShares
        The shares.
    workspace : str
        The workspace; one that is empty or unknown is never over its share.
    here : Resources
        What it uses in this service.
    """
    entitled = shares.entitled.get(workspace, 0.0)
    if not workspace or entitled <= 0.0:
        return 0.0
    total = here
    elsewhere = shares.elsewhere.get(workspace)
    if elsewhere is not None:
        total = model.add(here, elsewhere)
    current = dominant_share(total, shares.capacity) / entitled
    past = shares.history.get(workspace, 0.0) / entitled
    past = min(HISTORY_LIMIT, past)
    mixed = (1.0 - HISTORY_WEIGHT) * current + HISTORY_WEIGHT * past
    return max(current, mixed)


def age_history(
    history: dict[str, float],
    current: collections.abc.Mapping[str, float],
    *,
    elapsed_s: float,
) -> None:
    """Let the past fade and add the current use.

    Parameters
    ----------
    history : dict of str to float
        The faded shares, by workspace; changed in place. A workspace that is
        new in it starts with its current use.
    current : mapping of str to float
        Dominant share that each workspace uses now; one that is missing uses
        nothing.
    elapsed_s : float
        Time since the last call.
    """
    kept = math.exp(-elapsed_s / HISTORY_DECAY_S)
    for name in [*history, *(each for each in current if each not in history)]:
        now = current.get(name, 0.0)
        history[name] = now + kept * (history.get(name, now) - now)
        if name not in current and history[name] < 1e-4:
            del history[name]
