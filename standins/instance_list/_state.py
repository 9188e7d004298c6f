"""The instance list's state: instances and changes that show late."""

import typing

import attrs

from chestnuttide import model
from chestnuttide import platform


@attrs.define(kw_only=True)
class Pending:
    """A change that does not show yet.

    Attributes
    ----------
    shows : float
        Time from which it shows.
    instances : list of Instance
        The changed instances.
    """

    shows: float
    instances: list[model.Instance]


@attrs.define(kw_only=True)
class State:
    """The list.

    Attributes
    ----------
    revision : int
        Number of the last change that shows.
    instances : dict of str to Instance
        The instances that show, by id.
    revisions : dict of str to int
        Revision of the last change of each instance.
    pending : list of Pending
        Changes that do not show yet, in order.
    lag_s : float
        Seconds until a change shows.
    """

    revision: int = 0
    instances: dict[str, model.Instance] = attrs.Factory(dict)
    revisions: dict[str, int] = attrs.Factory(dict)
    pending: list[Pending] = attrs.Factory(list)
    lag_s: float = 0.0


def put(state: State, instances: list[model.Instance], now: float) -> None:
    """Change or add instances; the change shows after the lag."""
    state.pending.append(
        Pending(shows=now + state.lag_s, instances=list(instances))
    )
    show(state, now)


def show(state: State, now: float) -> None:
    """Apply the pending changes whose lag is over.

    Changes show in the order in which they were made, also when the lag was
    shortened in between.
    """
    while state.pending and state.pending[0].shows <= now:
        for instance in state.pending.pop(0).instances:
            if state.instances.get(instance.instance_id) == instance:
                continue
            state.revision += 1
            state.instances[instance.instance_id] = instance
            state.revisions[instance.instance_id] = state.revision


def changes(
    state: State, after_revision: int, kind: str, now: float
) -> platform.InstanceChanges:
    """Return the instances that changed after a revision, oldest first.

    A revision above that of the list is one of an earlier run of the list, so
    every instance is returned.
    """
    show(state, now)
    after = 0 if after_revision > state.revision else after_revision
    changed = sorted(
        (revision, name)
        for name, revision in state.revisions.items()
        if revision > after
    )
    return platform.InstanceChanges(
        revision=state.revision,
        instances=tuple(
            state.instances[name]
            for _revision, name in changed
            if not kind or state.instances[name].kind == kind
        ),
    )


def evidence(state: State, now: float) -> dict[str, typing.Any]:
    """Return what shows and how much does not show yet."""
    show(state, now)
    return {
        "revision": state.revision,
        "instances": list(state.instances.values()),
        "pending": len(state.pending),
        "lag_s": state.lag_s,
    }
