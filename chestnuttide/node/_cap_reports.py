"""What owners tell each other about the use of workspaces."""

import collections.abc

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.node import _cap_state
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide import telemetry
from chestnuttide import workspaces

LOG = telemetry.make_logger("owner")

# Reports are sent this often while something waits for a cap, and otherwise
# this often while a workspace uses anything.
URGENT_PERIOD_S = 0.25
REPORT_PERIOD_S = 1.0

# A report counts for the shares for this long.
REPORT_AGE_S = 3.0

# Bounds of a peer's message.
_MAX_ROWS = 10_000
_MAX_AMOUNT = 1 << 50

_AMOUNTS = 3


def own_rows(
    owner: _ownership.Ownership, now: float
) -> dict[str, _cap_state.WorkspaceUse]:
    """Return use and demand of this owner's service by workspace."""
    caps = owner.caps
    rows = {}
    for name in {*caps.used, *caps.put_off}:
        waiting = caps.put_off.get(name, workspaces.PutOff())
        _, since = caps.waiting_since.get(name, (None, now))
        rows[name] = _cap_state.WorkspaceUse(
            use=caps.used.get(name, model.ZERO),
            head=waiting.head,
            waiting=waiting.amount,
            waiting_s=now - since,
        )
    return rows


def announce(owner: _ownership.Ownership, now: float) -> None:
    """Tell the owners of other services what workspaces use here."""
    session, caps = owner.session, owner.caps
    rows = own_rows(owner, now)
    report = _cap_state.UseReport(
        fencing_token=owner.fencing_token,
        received_at=now,
        capacity=caps.capacity,
        rows=rows,
    )
    session.caps.reports[owner.service] = report
    urgent = any(row.waiting != model.ZERO for row in rows.values()) or any(
        row.waiting != model.ZERO for row in caps.announced.values()
    )
    age_s = now - caps.announced_at
    if age_s < (URGENT_PERIOD_S if urgent else REPORT_PERIOD_S):
        return
    if not rows and not caps.announced:
        return
    caps.announced, caps.announced_at = rows, now
    message = _messages.CapUse(
        service=owner.service,
        fencing_token=owner.fencing_token,
        capacity=_values(caps.capacity),
        rows=tuple(
            (
                name,
                *_values(row.use),
                *_values(row.head),
                *_values(row.waiting),
                int(row.waiting_s * 1000),
            )
            for name, row in sorted(rows.items())
        ),
    )
    for name in list_other_owners(owner):
        _peers.notify(session.peers, name, message)


def list_other_owners(owner: _ownership.Ownership) -> list[str]:
    """Return the other instances that own a service."""
    session = owner.session
    names = {
        each.instance
        for service, each in session.owners.items()
        if service != owner.service
    }
    return sorted(names - {session.peers.instance})


def receive(
    board: _cap_state.CapBoard, message: _messages.CapUse, now: float
) -> None:
    """Keep the report of another service's owner.

    Raises
    ------
    errors.ProtocolError
        If it cannot be read.
    """
    with errors.decoding(
        "The report of an owner", "Run the same release on all instances."
    ):
        report = _cap_state.UseReport(
            fencing_token=int(message.fencing_token),
            received_at=now,
            capacity=_resources(message.capacity),
            rows=dict(map(_decode_row, message.rows[:_MAX_ROWS])),
        )
    known = board.reports.get(message.service)
    if known is None or known.fencing_token <= report.fencing_token:
        board.reports[message.service] = report


def sum_elsewhere(
    board: _cap_state.CapBoard, service: str, now: float
) -> dict[str, model.Resources]:
    """Return what workspaces use in other services, as last reported."""
    totals: dict[str, model.Resources] = {}
    for name, report in board.reports.items():
        if name == service or now - report.received_at > REPORT_AGE_S:
            continue
        for workspace, row in report.rows.items():
            totals[workspace] = model.add(
                totals.get(workspace, model.ZERO), row.use
            )
    return totals


def list_waiting(
    board: _cap_state.CapBoard, now: float, *, max_age_s: float
) -> set[str]:
    """Return the workspaces that wait for their caps in any service."""
    return {
        name
        for report in board.reports.values()
        if now - report.received_at <= max_age_s
        for name, row in report.rows.items()
        if row.waiting != model.ZERO
    }


def list_demands(
    board: _cap_state.CapBoard,
    workspace: str,
    cap: model.Resources,
    now: float,
    *,
    max_age_s: float,
) -> dict[str, workspaces.Demand]:
    """Return each service's demand of a cap, from reports that are new."""
    demands = {}
    for service, report in board.reports.items():
        age_s = now - report.received_at
        if age_s <= max_age_s:
            row = report.rows.get(workspace, _cap_state.WorkspaceUse())
            demands[service] = as_demand(cap, row, age_s)
    return demands


def as_demand(
    cap: model.Resources, row: _cap_state.WorkspaceUse, age_s: float
) -> workspaces.Demand:
    """Return a service's demand in parts of a cap."""
    waits = row.waiting != model.ZERO
    return workspaces.demand_of(
        cap,
        use=row.use,
        head=row.head,
        waiting=row.waiting,
        waiting_s=row.waiting_s + age_s if waits else 0.0,
    )


def take_rests(
    owner: _ownership.Ownership,
    caps: collections.abc.Mapping[str, model.Resources],
    now: float,
    *,
    max_age_s: float,
    seen_after_s: float,
) -> workspaces.CapParts:
    """Return the record after this owner has taken what no service holds.

    Nothing is taken before all owners have seen that nobody holds it, nor
    while a service that holds a part is not heard: its runs may use more.
    """
    board, service = owner.session.caps, owner.service
    parts = board.parts
    own_use = own_rows(owner, now)
    for name, (since, known) in board.rests.items():
        if name not in caps or now - since < seen_after_s:
            continue
        cap, row = caps[name], parts.rows[name]
        demands = list_demands(board, name, cap, now, max_age_s=max_age_s)
        demands[service] = as_demand(
            cap, own_use.get(name, _cap_state.WorkspaceUse()), 0.0
        )
        if row.keys() - demands.keys():
            continue
        rest = workspaces.rest_of(row, demands)
        cpu, memory, accelerators = map(min, known, rest)
        if any((cpu, memory, accelerators)):
            parts = workspaces.take_rest(
                parts, name, service, (cpu, memory, accelerators)
            )
    return parts


def sum_capacity(owner: _ownership.Ownership) -> model.Resources:
    """Return the capacity of all services, as far as it is known."""
    capacity = owner.caps.capacity
    for service, report in owner.session.caps.reports.items():
        if service != owner.service:
            capacity = model.add(capacity, report.capacity)
    return capacity


def age_history(owner: _ownership.Ownership, now: float) -> None:
    """Update the fading shares that the workspaces have used."""
    caps = owner.caps
    totals = sum_elsewhere(owner.session.caps, owner.service, now)
    for name, use in caps.used.items():
        totals[name] = model.add(totals.get(name, model.ZERO), use)
    capacity = sum_capacity(owner)
    workspaces.age_history(
        caps.history,
        {
            name: workspaces.dominant_share(use, capacity)
            for name, use in totals.items()
        },
        elapsed_s=now - caps.aged_at if caps.aged_at else 0.0,
    )
    caps.aged_at = now


def _values(amount: model.Resources) -> tuple[int, int, int]:
    return amount.cpu_millis, amount.memory_mb, amount.accelerators


def _resources(values: tuple[object, ...]) -> model.Resources:
    cpu, memory, accelerators = values
    for value in (cpu, memory, accelerators):
        if type(value) is not int or not 0 <= value <= _MAX_AMOUNT:
            raise ValueError("an amount is out of range")
    return model.Resources(
        cpu_millis=cpu, memory_mb=memory, accelerators=accelerators
    )


def _decode_row(
    row: tuple[object, ...],
) -> tuple[str, _cap_state.WorkspaceUse]:
    name, *values = row
    use, head, waiting = (
        _resources(tuple(values[start : start + _AMOUNTS]))
        for start in range(0, 3 * _AMOUNTS, _AMOUNTS)
    )
    return str(name), _cap_state.WorkspaceUse(
        use=use,
        head=head,
        waiting=waiting,
        waiting_s=max(0, int(values[3 * _AMOUNTS])) / 1000,
    )
