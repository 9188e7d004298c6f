"""State of caps and shares that an owner and an instance keep in memory."""

import collections.abc

import attrs

from chestnuttide import model
from chestnuttide import workspaces


@attrs.frozen(kw_only=True, slots=True)
class WorkspaceUse:
    """What a service does with the cap of a workspace.

    Attributes
    ----------
    use : Resources
        What its runs use.
    head : Resources
        Need of its most urgent unit that waits for the cap.
    waiting : Resources
        Need of all its units that wait for the cap.
    waiting_s : float
        How long the most urgent one has waited.
    """

    use: model.Resources = model.ZERO
    head: model.Resources = model.ZERO
    waiting: model.Resources = model.ZERO
    waiting_s: float = 0.0


@attrs.frozen(kw_only=True, slots=True)
class UseReport:
    """What a service's owner has told about its workspaces.

    Attributes
    ----------
    fencing_token : int
        Fencing token of the owner.
    received_at : float
        Monotonic time of its arrival.
    capacity : Resources
        Capacity of the service's workers.
    rows : dict of str to WorkspaceUse
        Use and demand by workspace, without those that have neither.
    """

    fencing_token: int
    received_at: float
    capacity: model.Resources
    rows: dict[str, WorkspaceUse]


@attrs.define(kw_only=True, slots=True, eq=False)
class CapBoard:
    """What an instance knows of caps beside the configuration.

    Attributes
    ----------
    parts : CapParts
        Newest known record of the parts that the services hold.
    lost_revision : int
        Revision of a later change that removed the record or made it
        unreadable; 0 if there is none.
    lost_expects : int
        Revision that a write expects which replaces it; 0 for none.
    lost_since : float
        Monotonic time at which that change was seen.
    reports : dict of str to UseReport
        Last report of each service's owner.
    rests : dict of str to (float, (int, int, int))
        What no service holds of each cap, at least, and since when.
    """

    parts: workspaces.CapParts = attrs.field(factory=workspaces.CapParts)
    lost_revision: int = 0
    lost_expects: int = 0
    lost_since: float = 0.0
    reports: dict[str, UseReport] = attrs.field(factory=dict)
    rests: dict[str, tuple[float, workspaces.Parts]] = attrs.field(
        factory=dict
    )


@attrs.define(kw_only=True, slots=True, eq=False)
class CapState:
    """What the owner of a service keeps about caps and shares.

    Attributes
    ----------
    loaded : bool
        Whether the record was read since this ownership began. Before that,
        a former owner may have given away more than is known here.
    unseen : bool
        Whether the last listing had no record.
    lowered : dict of str to (int, int, int)
        Parts that are left if a write succeeds whose outcome is not known.
    lowered_revision : int
        Revision of the record that those writes expect. Once a newer one is
        known, none of them can succeed any more.
    bounds : dict of str to (int, int, int)
        Parts up to which runs start while others wait for some of them.
    used : dict of str to Resources
        What the runs of each workspace used at the last report.
    capacity : Resources
        Capacity of the service's workers then.
    put_off : dict of str to PutOff
        What waits for a cap since the last planning round.
    waiting_since : dict of str to (object, float)
        The most urgent unit that waits for each cap, and since when.
    logged_at : dict of str to float
        When each workspace's wait was last logged.
    history : dict of str to float
        Fading share of the capacity that each workspace has used.
    aged_at : float
        When the history was last updated; 0 before.
    written_at : float
        When this owner last wrote the record.
    announced : dict of str to WorkspaceUse
        Rows of the last report.
    announced_at : float
        When it was sent.
    """

    loaded: bool = False
    unseen: bool = False
    lowered: dict[str, workspaces.Parts] = attrs.field(factory=dict)
    lowered_revision: int = 0
    bounds: dict[str, workspaces.Parts] = attrs.field(factory=dict)
    used: dict[str, model.Resources] = attrs.field(factory=dict)
    capacity: model.Resources = model.ZERO
    put_off: dict[str, workspaces.PutOff] = attrs.field(factory=dict)
    waiting_since: dict[str, tuple[object, float]] = attrs.field(factory=dict)
    logged_at: dict[str, float] = attrs.field(factory=dict)
    history: dict[str, float] = attrs.field(factory=dict)
    aged_at: float = 0.0
    written_at: float = 0.0
    announced: dict[str, WorkspaceUse] = attrs.field(factory=dict)
    announced_at: float = 0.0


def adopt_parts(
    board: CapBoard, parts: workspaces.CapParts, now: float
) -> None:
    """Adopt a newer record."""
    board.parts = parts
    board.lost_revision = 0
    former, board.rests = board.rests, {}
    for name, row in parts.rows.items():
        rest = workspaces.rest_of(row)
        since, known = former.get(name, (now, rest))
        cpu, memory, accelerators = map(min, rest, known)
        if any((cpu, memory, accelerators)):
            board.rests[name] = (since, (cpu, memory, accelerators))
        elif any(rest):
            board.rests[name] = (now, rest)


def own_parts(
    board: CapBoard, caps: CapState, service: str, workspace: str
) -> workspaces.Parts:
    """Return the parts of a cap that an owner may use at present."""
    if not caps.loaded:
        return workspaces.NOTHING
    limits = [workspaces.held_by(board.parts, workspace, service)]
    if caps.lowered_revision >= board.parts.revision:
        limits.append(caps.lowered.get(workspace, limits[0]))
    limits.append(caps.bounds.get(workspace, limits[0]))
    cpu, memory, accelerators = map(min, zip(*limits, strict=True))
    return cpu, memory, accelerators


def lower(
    caps: CapState,
    revision: int,
    parts: collections.abc.Mapping[str, workspaces.Parts],
) -> None:
    """Keep to lower parts before a write that gives the rest away is sent.

    Parameters
    ----------
    caps : CapState
        The owner's state.
    revision : int
        Revision of the record that the write expects.
    parts : mapping of str to (int, int, int)
        What the write leaves, by workspace.
    """
    if caps.lowered_revision != revision:
        caps.lowered = {}
        caps.lowered_revision = revision
    for workspace, left in parts.items():
        known = caps.lowered.get(workspace, left)
        cpu, memory, accelerators = map(min, left, known)
        caps.lowered[workspace] = (cpu, memory, accelerators)
