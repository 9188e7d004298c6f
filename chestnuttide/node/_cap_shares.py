"""Caps and shares of workspaces, as the owners of services keep them.

See docs/design/caps.md and docs/design/shares.md.
"""

import asyncio
import collections.abc

import attrs

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.node import _cap_record
from chestnuttide.node import _cap_reports
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide.node import _watches
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads
from chestnuttide import workspaces

LOG = telemetry.make_logger("owner")

SHARE_PERIOD_S = 0.1

ALL = (workspaces.WHOLE,) * 3

# Each owner writes the record at most this often, and as soon as another
# service waits for a part if it has not written for this long.
WRITE_PERIOD_S = 0.5

# An owner whose write has an unknown outcome writes the record again after
# this long. A new revision makes sure that the former write cannot succeed.
SETTLE_S = 1.0

# A record that cannot be read or was removed is replaced after this long, so
# that all owners have seen what came before.
REPAIR_AFTER_S = 3.0

# A part is given to a service only if its owner has reported within this time.
DEMAND_AGE_S = 1.5

# A workspace that waits for its cap is logged at most this often.
WAIT_LOG_PERIOD_S = 5.0


def list_capped(
    session: _session.Session,
) -> dict[str, workloads.Workspace]:
    """Return the configured workspaces that have a cap, by name."""
    config = session.config
    if config is None or config.workspaces is None:
        return {}
    return {
        each.name: each for each in config.workspaces if each.cap != model.ZERO
    }


def make_round(
    owner: _ownership.Ownership, now: float
) -> workspaces.Round | None:
    """Return caps and shares for a planning round; None without workspaces."""
    session, caps = owner.session, owner.caps
    if session.config is None or session.config.workspaces is None:
        return None
    used = workloads.requested_by_workspace(owner.pool)
    elsewhere = _cap_reports.sum_elsewhere(session.caps, owner.service, now)
    allowances = {}
    for name, workspace in list_capped(session).items():
        parts = _cap_state.own_parts(session.caps, caps, owner.service, name)
        _, since = caps.waiting_since.get(name, (None, now))
        others = elsewhere.get(name, model.ZERO)
        total = model.add(used.get(name, model.ZERO), others)
        allowances[name] = workspaces.Allowance(
            cap=workspace.cap,
            # Others use more than their parts after a cap was lowered.
            limit=workspaces.within_rest(
                workspaces.limit_of(workspace.cap, parts),
                workspace.cap,
                others,
            ),
            keeping=workspaces.keeps_room(workspace.cap, total, now - since),
        )
    active = {*used, *elsewhere}
    active.update(job.spec.workspace for job in owner.pool.active.values())
    active.discard("")
    weights = {each.name: each.weight for each in session.config.workspaces}
    return workspaces.Round(
        allowances=allowances,
        usage=workspaces.QuotaState(used=used),
        shares=workspaces.FairShares(
            capacity=_cap_reports.sum_capacity(owner),
            elsewhere=elsewhere,
            entitled=workspaces.entitle(weights, active),
            history=caps.history,
        ),
    )


def record_round(
    owner: _ownership.Ownership,
    round_: workspaces.Round | None,
    plan: workloads.Plan,
    now: float,
) -> None:
    """Record what a planning round has put off."""
    if round_ is None:
        return
    caps = owner.caps
    caps.put_off = round_.put_off
    for name in caps.waiting_since.keys() - round_.put_off.keys():
        del caps.waiting_since[name]
    for name, waiting in round_.put_off.items():
        key, _ = caps.waiting_since.get(name, (None, now))
        if key is None or key != waiting.head_key:
            caps.waiting_since[name] = (waiting.head_key, now)
            _log_wait(owner, name, waiting, now)
    for reason, count in plan.put_off.items():
        if count:
            owner.metrics.put_off.add({"reason": reason}, count)


def _log_wait(
    owner: _ownership.Ownership,
    workspace: str,
    waiting: workspaces.PutOff,
    now: float,
) -> None:
    caps = owner.caps
    if now - caps.logged_at.get(workspace, -WAIT_LOG_PERIOD_S) < (
        WAIT_LOG_PERIOD_S
    ):
        return
    caps.logged_at[workspace] = now
    LOG.info(
        "Workspace waits for its cap.",
        service=owner.service,
        workspace=workspace,
        tasks=waiting.tasks,
        parts=workspaces.thousandths(
            _cap_state.own_parts(
                owner.session.caps, caps, owner.service, workspace
            )
        ),
    )


async def watch_loop(owner: _ownership.Ownership) -> None:
    """Follow the record of the parts while a workspace has a cap."""
    while not list_capped(owner.session):
        await asyncio.sleep(WRITE_PERIOD_S)

    def on_item(item: platform.Item) -> None:
        _cap_record.adopt_item(owner.session, item)
        owner.plan_requested.set()

    async def on_list(items: tuple[platform.Item, ...]) -> None:
        # A listing may be older than a record that a peer has sent.
        owner.caps.unseen = not items
        for item in items:
            on_item(item)

    await _watches.watch_prefix(
        owner.session.store,
        _keys.CAPS,
        on_list=on_list,
        on_item=on_item,
        on_working=lambda working: None,
    )


async def share_loop(owner: _ownership.Ownership) -> None:
    """Share the caps with the owners of the other services."""
    while True:
        try:
            await share(owner)
        except errors.SchedulerError as error:
            LOG.info(
                "Parts of caps were not stored; trying again.",
                service=owner.service,
                error=str(error),
            )
        await asyncio.sleep(SHARE_PERIOD_S)


async def share(owner: _ownership.Ownership) -> None:
    """Report use and demand, and give away parts that others wait for.

    Raises
    ------
    errors.SchedulerError
        If the store has refused or not answered a call.
    """
    session, now = owner.session, _clock.now()
    if session.config is None or session.config.workspaces is None:
        return
    owner.caps.used = workloads.requested_by_workspace(owner.pool)
    owner.caps.capacity = workloads.listed_capacity(owner.pool)
    _cap_reports.age_history(owner, now)
    _cap_reports.announce(owner, now)
    capped = list_capped(session)
    if not capped or not _ownership.may_send_commands(owner):
        return
    if owner.caps.unseen:
        await _read(owner)
    if session.caps.lost_revision:
        await _repair(owner, now)
        return
    if not owner.caps.loaded:
        await load(owner)
        if not owner.caps.loaded:
            return
    if capped.keys() - session.caps.parts.rows.keys():
        await _create_rows(owner, capped)
    gifts = _decide(owner, capped, now)
    if now - owner.caps.written_at < WRITE_PERIOD_S:
        return
    if await _take_rests(owner, capped, now):
        return
    if gifts:
        await _give(owner, owner.service, gifts)
    elif _must_settle(owner, now):
        await _store(owner, session.caps.parts)
    else:
        await _reclaim(owner)


async def load(owner: _ownership.Ownership) -> None:
    """Read the record anew after a takeover.

    The watch may lag behind what a former owner has given away.
    """
    found = await _read(owner)
    board = owner.session.caps
    if board.lost_revision or (board.parts.revision and not found):
        return
    owner.caps.loaded = True
    owner.plan_requested.set()


async def _read(owner: _ownership.Ownership) -> bool:
    """Read the record, or note that it was removed; return if there is one."""
    known = _cap_record.newest_revision(owner.session)
    item = await platform.read_key(owner.store, _keys.CAPS)
    owner.caps.unseen = False
    if item is None:
        _cap_record.note_missing(owner.session, known)
    else:
        _cap_record.adopt_item(owner.session, item)
    return item is not None


async def _repair(owner: _ownership.Ownership, now: float) -> None:
    """Replace a record that was removed or cannot be read.

    The last one that was read takes its place, if this owner has given
    nothing away since whose outcome is unknown.
    """
    board, caps = owner.session.caps, owner.caps
    uncertain = caps.lowered and caps.lowered_revision >= board.parts.revision
    if (
        not caps.loaded
        or uncertain
        or now - board.lost_since < REPAIR_AFTER_S
        or now - caps.written_at < WRITE_PERIOD_S
    ):
        return
    await _store(owner, attrs.evolve(board.parts, revision=board.lost_expects))
    LOG.info("Parts of caps were repaired.", service=owner.service)


def _decide(
    owner: _ownership.Ownership,
    capped: dict[str, workloads.Workspace],
    now: float,
) -> dict[str, dict[str, workspaces.Parts]]:
    """Return what to give away of each cap, and bound this owner's starts."""
    session, caps = owner.session, owner.caps
    gifts = {}
    bounds = {}
    # The store may have answered a call since the report.
    caps.used = workloads.requested_by_workspace(owner.pool)
    own_use = _cap_reports.own_rows(owner, now)
    waiting = _cap_reports.list_waiting(
        session.caps, now, max_age_s=DEMAND_AGE_S
    )
    for name in waiting & capped.keys() & session.caps.parts.rows.keys():
        workspace = capped[name]
        row = session.caps.parts.rows[name]
        demands = _cap_reports.list_demands(
            session.caps, name, workspace.cap, now, max_age_s=DEMAND_AGE_S
        )
        demands[owner.service] = _cap_reports.as_demand(
            workspace.cap, own_use.get(name, _cap_state.WorkspaceUse()), 0.0
        )
        decision = workspaces.decide(owner.service, row, demands)
        if decision.gifts:
            gifts[name] = decision.gifts
        if decision.bound != ALL:
            bounds[name] = decision.bound
    if caps.bounds != bounds:
        caps.bounds = bounds
        owner.plan_requested.set()
    return gifts


def _must_settle(owner: _ownership.Ownership, now: float) -> bool:
    """Return whether a write has an unknown outcome for too long."""
    caps = owner.caps
    return (
        bool(caps.lowered)
        and caps.lowered_revision >= owner.session.caps.parts.revision
        and now - caps.written_at >= SETTLE_S
    )


async def _create_rows(
    owner: _ownership.Ownership, capped: dict[str, workloads.Workspace]
) -> None:
    """Split the caps of workspaces that the record lacks."""
    session = owner.session
    created = workspaces.create_rows(
        session.caps.parts, capped, session.config.services
    )
    if created != session.caps.parts:
        await _store(owner, created)


async def _give(
    owner: _ownership.Ownership,
    service: str,
    gifts: dict[str, dict[str, workspaces.Parts]],
    expect: collections.abc.Mapping[str, int] | None = None,
) -> None:
    """Store that a service gives parts to others."""
    parts = owner.session.caps.parts
    given = workspaces.give(parts, service, gifts)
    former = owner.caps.lowered_revision, owner.caps.lowered.copy()
    if service == owner.service:
        # From here on, this owner keeps to the lower parts, whatever becomes
        # of the write.
        _cap_state.lower(
            owner.caps,
            parts.revision,
            {name: workspaces.held_by(given, name, service) for name in gifts},
        )
    try:
        await _store(owner, given, expect)
    except platform.ConditionError:
        # The write had no effect, so it is not settled by a newer revision.
        owner.caps.lowered_revision, owner.caps.lowered = former
        raise
    # Receivers count what they last heard of as used here.
    owner.caps.announced_at = 0.0
    _cap_reports.announce(owner, _clock.now())
    LOG.info(
        "Parts of caps were given.",
        service=service,
        gifts=[
            [name, receiver, *workspaces.thousandths(amount)]
            for name, row in gifts.items()
            for receiver, amount in row.items()
        ],
    )


async def _take_rests(
    owner: _ownership.Ownership,
    capped: dict[str, workloads.Workspace],
    now: float,
) -> bool:
    """Take what no service holds; return whether there was any."""
    if owner.service != min(owner.session.config.services, default=""):
        return False
    taken = _cap_reports.take_rests(
        owner,
        {name: each.cap for name, each in capped.items()},
        now,
        max_age_s=DEMAND_AGE_S,
        seen_after_s=REPAIR_AFTER_S,
    )
    if taken == owner.session.caps.parts:
        return False
    await _store(owner, taken)
    LOG.info("Parts that no service held were taken.", service=owner.service)
    return True


async def _reclaim(owner: _ownership.Ownership) -> None:
    """Take back the parts of services that have left for good.

    They have no owner and no jobs, and the directory shows that none is
    stored meanwhile.
    """
    session = owner.session
    present = _session.known_services(session) | session.owners.keys()
    if owner.service != min(session.config.services, default=""):
        return
    for name, row in session.caps.parts.rows.items():
        for service, held in row.items():
            if service not in present:
                await _give(
                    owner,
                    service,
                    {name: {owner.service: held}},
                    {
                        _keys.owner(service): 0,
                        _keys.DIRECTORY: session.directory.revision,
                    },
                )
                return


async def _store(
    owner: _ownership.Ownership,
    parts: workspaces.CapParts,
    expect: collections.abc.Mapping[str, int] | None = None,
) -> None:
    """Store the record and tell the other owners.

    Raises
    ------
    errors.SchedulerError
        If the record or the owner has changed, or the store has not answered.
    """
    session = owner.session
    value = workspaces.encode_parts(parts)
    owner.caps.written_at = _clock.now()
    outcome = "unknown"
    try:
        revision = await platform.commit(
            owner.store,
            platform.Transaction(
                expect={
                    _keys.owner(owner.service): owner.fencing_token,
                    _keys.CAPS: parts.revision,
                    **(expect or {}),
                },
                put={_keys.CAPS: value},
            ),
            may_send=lambda: _ownership.may_send_commands(owner),
        )
        outcome = "stored"
    except platform.ConditionError as error:
        outcome = "conflict"
        # Another owner was first; this one decides again at once.
        owner.caps.written_at = 0.0
        if all(item.key != _keys.CAPS for item in error.items):
            _cap_record.note_missing(session, parts.revision)
        for item in error.items:
            _cap_record.adopt_item(session, item)
        raise
    except platform.StoreRefusedError:
        outcome = "refused"
        raise
    finally:
        owner.metrics.cap_writes.inc({"outcome": outcome})
    message = _messages.CapRecord(value=value, revision=revision)
    _cap_record.adopt_record(session, message)
    owner.plan_requested.set()
    for name in _cap_reports.list_other_owners(owner):
        _peers.notify(session.peers, name, message)
