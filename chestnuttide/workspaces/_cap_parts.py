"""Parts of each workspace's cap by service, and who gives what to whom.

One record of the store says which part of a cap each service holds. A service
that is not named holds nothing. Only the owner of a service gives part
of what it holds to others, and only what its runs do not use.
"""

import collections.abc
import typing

import attrs
import cbor2

from chestnuttide import model
from chestnuttide.workspaces import _caps

_FORMAT_VERSION = 1
_MAX_ROWS = 10_000
_THOUSANDTHS: typing.Final = _caps.WHOLE // _caps.THOUSANDTH

# While owners want more of a cap than there is, parts smaller than this are
# moved only if the receiver's most urgent unit waits for them.
LEAST_CONTESTED_GIFT: typing.Final = 20 * _caps.THOUSANDTH

# While owners want more of a cap than there is, a unit that has waited for it
# this long gets what it needs before the rest is split.
FIRST_AFTER_S: typing.Final = 1.0

_DIMENSIONS: typing.Final = range(3)

Row: typing.TypeAlias = dict[str, _caps.Parts]


@attrs.frozen(kw_only=True, slots=True)
class CapParts:
    """Which parts of each cap the services hold.

    Attributes
    ----------
    revision : int
        Store revision; 0 if it has not been written yet.
    rows : dict of str to dict of str to (int, int, int)
        Parts of the cap's processors, memory and accelerators, by workspace
        and service.
    """

    revision: int = 0
    rows: dict[str, Row] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class Demand:
    """What a service does with a workspace's cap, in parts of it.

    Attributes
    ----------
    use : (int, int, int)
        What its runs use.
    head : (int, int, int)
        Need of its most urgent unit that waits for the cap.
    waiting : (int, int, int)
        Need of all units that wait for the cap.
    waiting_s : float
        How long the most urgent one has waited.
    """

    use: _caps.Parts = _caps.NOTHING
    head: _caps.Parts = _caps.NOTHING
    waiting: _caps.Parts = _caps.NOTHING
    waiting_s: float = 0.0


_Demands: typing.TypeAlias = collections.abc.Mapping[str, Demand]


@attrs.frozen(kw_only=True, slots=True)
class Decision:
    """What a service's owner gives away of one cap, and what it keeps free.

    Attributes
    ----------
    gifts : dict of str to (int, int, int)
        Parts to give, by service.
    bound : (int, int, int)
        Parts up to which the owner itself starts runs, so that what
        becomes free can be given; all of the cap where nobody waits for it.
    """

    gifts: Row
    bound: _caps.Parts


def encode(parts: CapParts) -> bytes:
    """Encode the value of the record's key.

    A former release reads the thousandths alone. It allows less then, and its
    writes leave out the rest.
    """
    rows = [
        [
            workspace,
            [
                [
                    service,
                    *_caps.thousandths(held),
                    [part % _caps.THOUSANDTH for part in held],
                ]
                for service, held in sorted(row.items())
            ],
        ]
        for workspace, row in sorted(parts.rows.items())
    ]
    return cbor2.dumps([_FORMAT_VERSION, rows])


def decode(value: bytes, revision: int) -> CapParts:
    """Decode the value of the record's key, for use in `decoding`.

    A later release may append fields.
    """
    _, rows, *_ = cbor2.loads(value)
    if len(rows) > _MAX_ROWS:
        raise ValueError("there are too many workspaces")
    return CapParts(
        revision=revision,
        rows={str(name): _decode_row(held) for name, held in rows},
    )


def _decode_row(held: collections.abc.Sequence[object]) -> Row:
    if len(held) > _caps.MAX_SERVICES:
        raise ValueError("there are too many services")
    row: Row = {}
    for service, *values in held:
        rest = values[3] if len(values) > 3 else _caps.NOTHING
        cpu, memory, accelerators = (
            _decode_part(*each) for each in zip(values[:3], rest, strict=True)
        )
        row[str(service)] = (cpu, memory, accelerators)
    if any(
        sum(each) > _caps.WHOLE for each in zip(*row.values(), strict=True)
    ):
        raise ValueError("services hold more than a whole cap")
    return row


def _decode_part(value: object, rest: object) -> int:
    if type(value) is not int or not 0 <= value <= _THOUSANDTHS:
        raise ValueError("a part is not a number of thousandths")
    if type(rest) is not int or not 0 <= rest < _caps.THOUSANDTH:
        raise ValueError("a part has no rest below a thousandth")
    return value * _caps.THOUSANDTH + rest


def held_by(parts: CapParts, workspace: str, service: str) -> _caps.Parts:
    """Return what a service holds of a workspace's cap."""
    return parts.rows.get(workspace, {}).get(service, _caps.NOTHING)


def create_rows(
    parts: CapParts,
    workspaces: collections.abc.Iterable[str],
    services: collections.abc.Iterable[str],
) -> CapParts:
    """Return a record in which missing workspaces are split evenly.

    Parameters
    ----------
    parts : CapParts
        The record; its rows stay as they are. A row is created once, by one
        conditional write, because runs may use any part of it afterwards.
    workspaces : iterable of str
        Workspaces that have a cap.
    services : iterable of str
        Configured services.
    """
    names = sorted(set(services))
    if not names:
        return parts
    # Whole thousandths, which former releases read without loss.
    share = _caps.WHOLE // len(names)
    share -= share % _caps.THOUSANDTH
    row: Row = {name: (share, share, share) for name in names}
    row[names[0]] = (_caps.WHOLE - share * (len(names) - 1),) * 3
    missing = {name: row for name in workspaces if name not in parts.rows}
    return attrs.evolve(parts, rows={**parts.rows, **missing})


def give(
    parts: CapParts,
    service: str,
    gifts: collections.abc.Mapping[str, Row],
) -> CapParts:
    """Return the record after a service has given parts to others.

    Parameters
    ----------
    parts : CapParts
        The record.
    service : str
        The service that gives.
    gifts : mapping of str to dict of str to (int, int, int)
        Parts to give, by workspace and receiving service.
    """
    rows = dict(parts.rows)
    for workspace, received in gifts.items():
        row = dict(rows[workspace])
        for name, amount in received.items():
            row[service] = subtract(row[service], amount)
            row[name] = _add(row.get(name, _caps.NOTHING), amount)
        if row.get(service) == _caps.NOTHING:
            del row[service]
        rows[workspace] = row
    return attrs.evolve(parts, rows=rows)


def demand_of(
    cap: model.Resources,
    *,
    use: model.Resources,
    head: model.Resources,
    waiting: model.Resources,
    waiting_s: float,
) -> Demand:
    """Return a demand in parts of a cap from amounts."""
    return Demand(
        use=_caps.parts_for(cap, use),
        head=_caps.parts_for(cap, head),
        waiting=_caps.parts_for(cap, waiting),
        waiting_s=waiting_s,
    )


def decide(service: str, row: Row, demands: _Demands) -> Decision:
    """Return what a service's owner gives of one cap.

    Parameters
    ----------
    service : str
        The owner's service.
    row : dict of str to (int, int, int)
        What each service holds.
    demands : mapping of str to Demand
        Demand of each service, also of this one. A service that holds a part
        and has no demand here is not known at present, and counts as using
        what it holds.
    """
    held = row.get(service, _caps.NOTHING)
    known = dict(demands)
    for name, parts in row.items():
        known.setdefault(name, Demand(use=parts))
    targets = _compute_targets(known)
    own = targets[service]
    use = known[service].use
    left = [max(0, held[d] - max(own[d], use[d])) for d in _DIMENSIONS]
    bound = [_caps.WHOLE] * 3
    gifts: Row = {}
    receivers = sorted(
        (name for name in demands if name != service),
        key=lambda name: (-demands[name].waiting_s, name),
    )
    for name in receivers:
        has = row.get(name, _caps.NOTHING)
        amount = [0, 0, 0]
        for d in _DIMENSIONS:
            demand = demands[name]
            if min(targets[name][d], _wanted(demand, d)) <= has[d]:
                continue
            missing = targets[name][d] - has[d]
            if _is_contested(known, d):
                waits = demand.use[d] + demand.head[d] > has[d]
                if missing < LEAST_CONTESTED_GIFT and not waits:
                    continue
                bound[d] = min(bound[d], own[d])
            amount[d] = min(missing, left[d])
            left[d] -= amount[d]
        if any(amount):
            gifts[name] = (amount[0], amount[1], amount[2])
    return Decision(gifts=gifts, bound=(bound[0], bound[1], bound[2]))


def rest_of(row: Row, demands: _Demands | None = None) -> _caps.Parts:
    """Return what no service holds of a cap, nor uses beyond what it holds.

    The owners of one release leave no rest. Writes of a former one lose what
    a part has below a thousandth, which may be in use.

    Parameters
    ----------
    row : dict of str to (int, int, int)
        What each service holds.
    demands : mapping of str to Demand, optional
        Demand of each service.
    """
    taken = [0, 0, 0]
    for name in {*row, *(demands or {})}:
        held = row.get(name, _caps.NOTHING)
        use = demands[name].use if demands else held
        for d in _DIMENSIONS:
            taken[d] += max(held[d], use[d])
    cpu, memory, accelerators = (max(0, _caps.WHOLE - each) for each in taken)
    return cpu, memory, accelerators


def take_rest(
    parts: CapParts, workspace: str, service: str, rest: _caps.Parts
) -> CapParts:
    """Return the record after a service has taken what nobody held."""
    row = dict(parts.rows[workspace])
    row[service] = _add(row.get(service, _caps.NOTHING), rest)
    return attrs.evolve(parts, rows={**parts.rows, workspace: row})


def subtract(left: _caps.Parts, right: _caps.Parts) -> _caps.Parts:
    """Return the difference of two parts, by resource."""
    return left[0] - right[0], left[1] - right[1], left[2] - right[2]


def _add(left: _caps.Parts, right: _caps.Parts) -> _caps.Parts:
    return left[0] + right[0], left[1] + right[1], left[2] + right[2]


def _wanted(demand: Demand, dimension: int) -> int:
    return min(_caps.WHOLE, demand.use[dimension] + demand.waiting[dimension])


def _is_contested(demands: _Demands, dimension: int) -> bool:
    total = sum(_wanted(each, dimension) for each in demands.values())
    return total > _caps.WHOLE


def _compute_targets(
    demands: _Demands,
) -> dict[str, list[int]]:
    """Return what each service should hold at least.

    Where services want less than there is, the rest is split in proportion,
    so that work that follows finds room. Where they want more, units that have
    waited for long get what they need first, and the rest is split.
    """
    oldest_first = sorted(
        (name for name, each in demands.items() if _is_first(each)),
        key=lambda name: (-demands[name].waiting_s, name),
    )
    targets: dict[str, list[int]] = {name: [0, 0, 0] for name in demands}
    for d in _DIMENSIONS:
        wanted = {name: _wanted(each, d) for name, each in demands.items()}
        least = dict.fromkeys(demands, 0)
        if sum(wanted.values()) > _caps.WHOLE:
            left = _caps.WHOLE
            for name in oldest_first:
                each = demands[name]
                needed = min(wanted[name], each.use[d] + each.head[d])
                if needed <= left:
                    least[name] = needed
                    left -= needed
        else:
            least = wanted
            left = _caps.WHOLE - sum(wanted.values())
        more = {name: wanted[name] - least[name] for name in demands}
        if not any(more.values()):
            more = wanted
        total = max(1, sum(more.values()))
        for name, value in more.items():
            targets[name][d] = least[name] + left * value // total
    return targets


def _is_first(demand: Demand) -> bool:
    """Return whether a unit has waited so long that its need comes first.

    It does in a window of each period of its wait. Outside the window others
    use what has been kept for it.
    """
    phase_s = demand.waiting_s % _caps.KEEPING_PERIOD_S
    return any(demand.head) and FIRST_AFTER_S <= phase_s < (
        _caps.KEEPING_UNTIL_S
    )
