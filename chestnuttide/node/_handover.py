"""Hand-over of a service to a larger instance."""

import asyncio
import collections.abc

from chestnuttide.node import _claims
from chestnuttide.node import _clock
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _release
from chestnuttide import telemetry

LOG = telemetry.make_logger("owner")

CHECK_PERIOD_S = 0.25

# A takeover pauses the service's starts, so a successor has this many times
# the owner's processor time. It also keeps instances of about the same size
# from handing a service back and forth.
MIN_CORES_FACTOR = 1.5

# Instances that join and leave again, or that lost the service before, get it
# only after they have been members for longer.
MIN_MEMBERSHIP_S = 2.0
FORMER_OWNER_MEMBERSHIP_S = 5.0

MIN_OWNERSHIP_S = 2.0

# An ownership in use is confirmed about once a second.
MAX_CONFIRMATION_AGE_S = 1.5


async def hand_over_loop(owner: _ownership.Ownership) -> None:
    """Hand the service to a larger instance once there is one."""
    ready_since = _clock.now()
    while True:
        await asyncio.sleep(CHECK_PERIOD_S)
        successor = find_successor(
            owner,
            ready_since=ready_since,
            connected=_peers.connected_names(owner.session.peers),
            now=_clock.now(),
        )
        if successor:
            _start(owner, successor)


def _start(owner: _ownership.Ownership, successor: str) -> None:
    session = owner.session
    names = (session.settings.instance, successor)
    LOG.info(
        "Service is handed over to a larger instance.",
        service=owner.service,
        fence=owner.fencing_token,
        successor=successor,
        sizes=[
            [session.members[name].cores, session.members[name].link_mbps]
            for name in names
        ],
    )
    membership = (successor, session.member_since[successor])
    owner.stopping = True
    # The release outlives the loop, which ends with the ownership.
    _ownership.start_command(owner, _hand_over(owner, membership))


def find_successor(
    owner: _ownership.Ownership,
    *,
    ready_since: float,
    connected: collections.abc.Collection[str],
    now: float,
) -> str:
    """Return the instance that the service should go to now, or "".

    Parameters
    ----------
    owner : Ownership
        The ownership.
    ready_since : float
        When its takeover was complete.
    connected : collection of str
        Instances with a connection to this one.
    now : float
        The time.
    """
    session, service = owner.session, owner.service
    own_name = session.settings.instance
    own = session.members.get(own_name)
    if (
        own is None
        or not _is_certain(owner, now)
        or now - ready_since < MIN_OWNERSHIP_S
    ):
        return ""
    # The instance that claims the service first.
    name = _claims.rank_members(session, service)[0]
    member = session.members[name]
    owned = _claims.count_owned(session)
    former = session.former_owners.get(service)
    since, membership_s = session.member_since[name], MIN_MEMBERSHIP_S
    if former is not None and former.instance == name:
        # One that is stopping stays a member for its grace time at most.
        since = max(since, ready_since)
        membership_s = max(
            FORMER_OWNER_MEMBERSHIP_S, session.settings.bounds.grace_s
        )
    if (
        member.cores >= MIN_CORES_FACTOR * own.cores
        and member.link_mbps >= own.link_mbps
        and owned[name] < owned[own_name]
        and now - since >= membership_s
        and name in connected
        # An instance that has not claimed the service would not do it now.
        and session.handed_to.get(service)
        != (name, session.member_since[name])
    ):
        return name
    return ""


def _is_certain(owner: _ownership.Ownership, now: float) -> bool:
    """Return whether the ownership is in use and the store confirms it."""
    session = owner.session
    return (
        owner.ready
        and not owner.stopping
        and not owner.releasing
        and not owner.deposed.is_set()
        and not owner.store.failing_since
        and now - owner.confirmed_at <= MAX_CONFIRMATION_AGE_S
        and not session.stopping
        and session.cell_known
        and bool(session.lease)
        and _claims.owns_service(session, owner.service)
    )


async def _hand_over(
    owner: _ownership.Ownership, membership: tuple[str, float]
) -> None:
    released = await _release.hand_over(owner)
    if released:
        owner.session.handed_to[owner.service] = membership
    outcome = "released" if released else "failed"
    owner.metrics.handovers.inc({"outcome": outcome})
