"""Claims of services without an owner."""

import collections

import cbor2
import xxhash

from chestnuttide import errors
from chestnuttide.node import _keys
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("session")

# Extra wait per rank before an instance claims a service, so that usually only
# one instance writes a claim.
CLAIM_STAGGER_S = 0.25

# An instance that has just joined may not know larger ones that are starting
# at the same time. All instances start within 0.3 s. One with half a core
# waits longer than that, one with two cores hardly waits. The wait is given in
# core-seconds and divided by the instance's cores.
NEW_MEMBER_PERIOD_S = 1.0
NEW_MEMBER_WAIT_CORE_S = 0.2


def owns_service(session: _session.Session, service: str) -> bool:
    """Return whether this incarnation of the daemon owns a service."""
    owner = session.owners.get(service)
    return owner is not None and owner.incarnation == session.incarnation


def should_claim(session: _session.Session, service: str, now: float) -> bool:
    """Return whether it is this instance's turn to claim a service."""
    if session.stopping or not session.lease or not session.cell_known:
        return False
    if service in session.owners:
        session.ownerless_since.pop(service, None)
        return False
    since = session.ownerless_since.setdefault(service, now)
    ranked = rank_members(session, service)
    if session.settings.instance not in ranked:
        return False
    wait_s = ranked.index(session.settings.instance) * CLAIM_STAGGER_S
    if now - session.joined_at < NEW_MEMBER_PERIOD_S:
        wait_s += NEW_MEMBER_WAIT_CORE_S / session.settings.capacity.cores
    return now - since >= wait_s


def rank_members(session: _session.Session, service: str) -> list[str]:
    """Return the members in the order in which they should claim a service.

    An owner's load grows with its service, so larger instances come first, and
    among those of equal size the ones that own fewer services. The former
    owner comes last, as it is stopping, dead or disconnected; the present one
    counts as such, so the first is the one that a release makes the owner.
    """
    former_owner = session.owners.get(service) or session.former_owners.get(
        service
    )
    former = former_owner.instance if former_owner else ""
    owned = count_owned(session)

    def rank_key(name: str) -> tuple[bool, float, float, int, int]:
        member = session.members[name]
        return (
            name == former,
            -member.cores,
            -member.link_mbps,
            owned[name],
            xxhash.xxh64_intdigest(f"{service}/{name}".encode()),
        )

    return sorted(session.members, key=rank_key)


def count_owned(session: _session.Session) -> collections.Counter[str]:
    """Return the number of services that each instance owns."""
    return collections.Counter(
        owner.instance for owner in session.owners.values()
    )


def has_former_owner_stopped(session: _session.Session, service: str) -> bool:
    """Return whether the last known owner of a service has released it."""
    return _find_release(session, service) is not None


def _find_release(
    session: _session.Session, service: str
) -> _session.ReleaseRecord | None:
    former = session.former_owners.get(service)
    release = session.released.get(service)
    if former is None or release is None:
        return None
    return release if release.fencing_token == former.fencing_token else None


def release_before(
    session: _session.Session, service: str, fencing_token: int
) -> _session.ReleaseRecord | None:
    """Return the release that a claim of this instance has followed at once.

    Parameters
    ----------
    session : Session
        The session.
    service : str
        The service.
    fencing_token : int
        Fencing token of the claimed ownership.
    """
    claimed, release = session.claimed_after_release.get(service, (0, None))
    return release if claimed == fencing_token else None


async def claim(
    session: _session.Session, service: str, *, replaced: int = 0
) -> None:
    """Try to become the owner of a service.

    If the answer is lost, the watch of the cell shows the outcome.

    A claim removes the record of the release before it. One that expects the
    record therefore follows the release at once, also if the watch is behind.

    Parameters
    ----------
    session : _session.Session
        The session.
    service : str
        The service.
    replaced : int
        Fencing token of this instance's failed ownership that the claim
        replaces; 0 if the service has no owner.
    """
    key = _keys.owner(service)
    value = cbor2.dumps([session.settings.instance, session.incarnation])
    lease = session.lease
    expect, released = {key: replaced}, _keys.released(service)
    release = None if replaced else _find_release(session, service)
    if release is not None:
        expect[released] = release.revision
    try:
        revision = await platform.commit(
            session.store,
            platform.Transaction(
                expect=expect,
                put_leased={key: value},
                remove=(released,),
                lease=lease,
            ),
        )
    except errors.LeaseExpiredError:
        LOG.warning(
            "Claim failed: the lease has expired.",
            service=service,
            lease=lease,
        )
        # The answer may be late, and the instance has joined anew since.
        if session.lease == lease:
            session.lease = 0
    except platform.ConditionError as error:
        LOG.info("Claim failed.", service=service, error=str(error))
        stored = {item.key: item.revision for item in error.items}
        if release is not None and stored.get(released) != release.revision:
            session.released.pop(service, None)
        _session.adopt_conflicting_owner(session, service, error.items)
    except errors.SchedulerError as error:
        # If only the answer was lost, the watch shows the claim.
        LOG.info("Claim failed.", service=service, error=str(error))
    else:
        if release is not None:
            session.claimed_after_release[service] = (revision, release)
        _session.apply_cell_item(
            session,
            platform.Item(key=key, value=value, revision=revision),
        )
        session.changed.set()
