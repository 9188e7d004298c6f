"""State of the instance list, whose changes become visible after a lag."""

import typing

import attrs

from chestnuttide import model
from chestnuttide import platform


@attrs.define(kw_only=True)
class PendingChange:
    """A change that is not visible yet.

    Attributes
    ----------
    visible_at_s : float
        Time at which it becomes visible.
    instances : list of Instance
        The changed instances.
    """

    visible_at_s: float
    instances: list[model.Instance]


@attrs.define(kw_only=True)
class State:
    """State of the list.

    Attributes
    ----------
    revision : int
        Revision of the last visible change.
    instances : dict of str to Instance
        Visible instances by id.
    revisions : dict of str to int
        Revision of the last change of each instance.
    pending : list of PendingChange
        Changes that are not visible yet, oldest first.
    lag_s : float
        Delay until a change becomes visible, in seconds.
    """

    revision: int = 0
    instances: dict[str, model.Instance] = attrs.Factory(dict)
    revisions: dict[str, int] = attrs.Factory(dict)
    pending: list[PendingChange] = attrs.Factory(list)
    lag_s: float = 0.0


def put(state: State, instances: list[model.Instance], now: float) -> None:
    """Change or add instances; the change becomes visible after the lag."""
    state.pending.append(
        PendingChange(
            visible_at_s=now + state.lag_s, instances=list(instances)
        )
    )
    apply_due_changes(state, now)


def apply_due_changes(state: State, now: float) -> None:
    """Apply the pending changes whose lag has passed.

    Changes become visible in the order in which they were made, even if the
    lag was shortened in between.
    """
    while state.pending and state.pending[0].visible_at_s <= now:
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

    A revision above that of the list dates from before a restart of the list,
    so all instances are returned.
    """
    apply_due_changes(state, now)
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
    """Return the visible instances and the number of pending changes."""
    apply_due_changes(state, now)
    return {
        "revision": state.revision,
        "instances": list(state.instances.values()),
        "pending": len(state.pending),
        "lag_s": state.lag_s,
    }
