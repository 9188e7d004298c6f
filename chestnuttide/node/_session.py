"""An instance's membership and its view of members, owners and config."""

import asyncio
import collections.abc
import math

import attrs
import cbor2

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _peers
from chestnuttide.node import _settings
from chestnuttide.node import _watches
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("session")

# A dead owner is replaced after this time. It is several times the latency of
# a slow store, so that a slow store alone does not cost an owner its lease.
LEASE_TTL_S = 1.2
RENEWALS_PER_TTL = 4

# An instance whose membership has ended is still dialled for this long. It may
# only have lost the store, and then it depends on its peers.
FORMER_MEMBER_DIAL_S = 60.0


@attrs.frozen(kw_only=True, slots=True)
class Member:
    """A live instance.

    Attributes
    ----------
    address : str
        ``ip:port`` for the other instances.
    cores : float
        Its processor time, in reference cores.
    link_mbps : float
        Bandwidth of its link.
    """

    address: str
    cores: float
    link_mbps: float


@attrs.frozen(kw_only=True, slots=True)
class Owner:
    """The owner of a service.

    Attributes
    ----------
    instance, incarnation : str
        Name of the instance, and id of the start of its daemon.
    fencing_token : int
        Store revision at which it became the owner.
    """

    instance: str
    incarnation: str
    fencing_token: int


@attrs.frozen(kw_only=True, slots=True)
class ReleaseRecord:
    """What the store has of a released ownership.

    Attributes
    ----------
    fencing_token : int
        Fencing token of the ownership.
    former_calls_ms : int
        Time after the release for which owners before that one may send
        commands, in milliseconds.
    revision : int
        Store revision of the record.
    """

    fencing_token: int
    former_calls_ms: int
    revision: int


@attrs.define(kw_only=True, slots=True, eq=False)
class Session:
    """An instance's membership and its view of the cell.

    Attributes
    ----------
    settings : NodeSettings
        The instance's settings.
    store : KvStore
        The store.
    peers : Peers
        The other instances.
    count_unreadable : function
        ``count_unreadable(kind)`` counts an item that is left out because it
        cannot be read.
    address : str
        ``ip:port`` for the other instances.
    incarnation : str
        Id of this start of the daemon.
    lease : int
        Id of the instance's lease; 0 if it has none.
    joined_at : float
        When the lease was granted.
    members : dict of str to Member
        Live instances by name.
    member_since : dict of str to float
        When each live instance was seen to join, or listed anew.
    former_members : dict of str to (str, float)
        Address of each instance whose membership has ended, and when.
    owners : dict of str to Owner
        Owner of each service that has one.
    former_owners : dict of str to Owner
        Last known owner of each service whose owner's key was removed.
    cell_revision : int
        Store revision up to which members and owners are known.
    ended_fencing_tokens : dict of str to int
        Fencing token up to which each service's owners are known to have lost
        their key; a peer may still name one of them.
    released : dict of str to ReleaseRecord
        Release of each service's last owner that sent no more commands before
        its key was removed; only releases since the last listing.
    claimed_after_release : dict of str to (int, ReleaseRecord)
        Fencing token of this instance's last claim of each service that is
        certain to have followed a release at once, and that release.
    failed_fencing_tokens : dict of str to int
        Fencing token of this instance's last failed ownership, by service.
    handed_to : dict of str to (str, float)
        The instance that this one last handed each service to, and since when
        that was a member.
    ownerless_since : dict of str to float
        When each service without an owner was first seen so.
    cell_known : bool
        Whether members and owners were read and their watch works.
    config : ClusterConfig or None
        Newest known configuration.
    config_document : bytes
        The configuration as the operator wrote it.
    config_watched : bool
        Whether the watch of the configuration works.
    config_confirmed_at : float
        Latest moment at which the configuration is known to have been the
        newest.
    confirmation_limit_s : float
        Age of the confirmation from which no call with a key is served;
        infinite in a deployment without a strict bound on withdrawn keys.
    keys_withdrawn : int
        Number of keys that the configuration's version has withdrawn.
    keyed_calls_stopped : bool
        Whether the last check found the confirmation too old.
    directory : Directory
        Services that may hold jobs of each queue.
    caps : CapBoard
        Parts of the workspaces' caps, and what owners tell about their use.
    changed : asyncio.Event
        Set when members, owners or config have changed.
    stopping : bool
        Whether the instance is shutting down.
    """

    settings: _settings.NodeSettings
    store: platform.KvStore
    peers: _peers.Peers
    count_unreadable: collections.abc.Callable[[str], None]
    address: str = ""
    incarnation: str = ""
    lease: int = 0
    joined_at: float = 0.0
    members: dict[str, Member] = attrs.field(factory=dict)
    member_since: dict[str, float] = attrs.field(factory=dict)
    former_members: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    owners: dict[str, Owner] = attrs.field(factory=dict)
    former_owners: dict[str, Owner] = attrs.field(factory=dict)
    cell_revision: int = 0
    ended_fencing_tokens: dict[str, int] = attrs.field(factory=dict)
    released: dict[str, ReleaseRecord] = attrs.field(factory=dict)
    claimed_after_release: dict[str, tuple[int, ReleaseRecord]] = attrs.field(
        factory=dict
    )
    failed_fencing_tokens: dict[str, int] = attrs.field(factory=dict)
    handed_to: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    ownerless_since: dict[str, float] = attrs.field(factory=dict)
    cell_known: bool = False
    config: platform.ClusterConfig | None = None
    config_document: bytes = attrs.field(default=b"", repr=False)
    config_watched: bool = False
    config_confirmed_at: float = -math.inf
    confirmation_limit_s: float = math.inf
    keys_withdrawn: int = 0
    keyed_calls_stopped: bool = False
    directory: _directory.Directory = _directory.Directory()
    caps: _cap_state.CapBoard = attrs.field(factory=_cap_state.CapBoard)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    stopping: bool = False


async def keep_lease(session: Session) -> None:
    """Keep the lease and the membership until the instance stops."""
    ttl_s = max(LEASE_TTL_S, session.settings.store.min_lease_ms / 1000)
    failed = False
    while not session.stopping:
        try:
            if session.lease:
                await platform.renew_lease(session.store, session.lease)
            else:
                await _join(session, ttl_s)
            if failed:
                LOG.info("Lease renewals succeed again.", lease=session.lease)
            failed = False
        except errors.LeaseExpiredError:
            LOG.warning("Lease has expired.", lease=session.lease)
            session.lease = 0
            continue
        except errors.SchedulerError as error:
            if not failed:
                LOG.warning("Lease renewal failed.", error=str(error))
            failed = True
        await asyncio.sleep(ttl_s / RENEWALS_PER_TTL)


async def _join(session: Session, ttl_s: float) -> None:
    lease, _ = await platform.grant_lease(session.store, ttl_s=ttl_s)
    key = _keys.member(session.settings.instance)
    capacity = session.settings.capacity
    value = cbor2.dumps(
        [
            session.address,
            session.incarnation,
            capacity.cores,
            capacity.link_mbps,
        ]
    )
    await _write_member(session.store, key, value, lease)
    session.lease = lease
    session.joined_at = _clock.now()
    LOG.info("Joined the cell.", lease=lease, address=session.address)
    session.changed.set()


async def _write_member(
    store: platform.KvStore, key: str, value: bytes, lease: int
) -> None:
    """Write the member key under a lease.

    An earlier write may be executed late, and the key would end with the lease
    of that write. Each one therefore expects a revision that it replaces.
    """
    expected = 0
    while True:
        try:
            await platform.commit(
                store,
                platform.Transaction(
                    expect={key: expected},
                    put_leased={key: value},
                    lease=lease,
                ),
            )
        except platform.ConditionError as error:
            stored = {item.key: item.revision for item in error.items}
            if stored.get(key, 0) == expected:
                raise
            expected = stored.get(key, 0)
        else:
            return


async def follow_cell(session: Session) -> None:
    """Keep members and owners up to date until cancelled."""

    async def on_list(items: tuple[platform.Item, ...]) -> None:
        for name in list(session.members):
            _end_membership(session, name)
        former = dict(session.owners)
        session.owners.clear()
        for item in items:
            apply_cell_item(session, item)
        for service, owner in former.items():
            if service not in session.owners:
                _end_owners(session, service, owner.fencing_token)
                session.former_owners[service] = owner
        # A listing does not show whether another owner came after a release.
        session.released.clear()
        _update_peers(session)

    def on_item(item: platform.Item) -> None:
        apply_cell_item(session, item)
        _update_peers(session)

    def on_working(working: bool) -> None:
        if session.cell_known != working:
            LOG.info("Cell watch changed.", working=working)
        session.cell_known = working

    def on_revision(revision: int) -> None:
        session.cell_revision = max(session.cell_revision, revision)

    await _watches.watch_prefix(
        session.store,
        _keys.CELL,
        on_list=on_list,
        on_item=on_item,
        on_working=on_working,
        on_revision=on_revision,
    )


def apply_cell_item(session: Session, item: platform.Item) -> None:
    """Apply a change of a member, an owner, a release or the directory.

    An item that cannot be read is left out. An unreadable directory is
    replaced: submissions expect its revision, and owners list their jobs anew.
    """
    try:
        with errors.decoding(
            f"The item {item.key!r}", "Run the same release on all instances."
        ):
            value = None if item.removed else _decode_cell_item(item)
    except errors.ProtocolError as error:
        LOG.error("Item of the cell is ignored.", error=str(error))
        session.count_unreadable("cell")
        if item.key == _keys.DIRECTORY:
            adopt_directory(
                session, _directory.Directory(revision=item.revision)
            )
        return
    if item.key == _keys.DIRECTORY:
        if value is not None:
            adopt_directory(session, value)
        return
    if item.key.startswith(_keys.MEMBERS):
        name = item.key.removeprefix(_keys.MEMBERS)
        if value is None:
            _end_membership(session, name)
        else:
            session.members[name] = value
            session.member_since[name] = _clock.now()
            session.former_members.pop(name, None)
        return
    if item.key.startswith(_keys.RELEASED):
        service = item.key.removeprefix(_keys.RELEASED)
        if value is None:
            session.released.pop(service, None)
        else:
            session.released[service] = value
        return
    service = item.key.removeprefix(_keys.OWNERS)
    if value is not None:
        adopt_owner(session, service, value)
        return
    _end_owners(session, service, item.revision)
    former = session.owners.get(service)
    if former is not None and former.fencing_token < item.revision:
        del session.owners[service]
        session.former_owners[service] = former
        LOG.info("Service lost its owner.", service=service)


def encode_release(fencing_token: int, *, former_calls_ms: int) -> bytes:
    """Encode the record of a released ownership.

    Older versions of this program cannot read a record with two numbers, and
    take the owner for one that may go on.
    """
    if former_calls_ms:
        return b"%d %d" % (fencing_token, former_calls_ms)
    return b"%d" % fencing_token


def decode_release(item: platform.Item) -> ReleaseRecord:
    """Decode the record of a released ownership."""
    fencing_token, _, former_calls_ms = item.value.partition(b" ")
    return ReleaseRecord(
        fencing_token=int(fencing_token),
        former_calls_ms=int(former_calls_ms or 0),
        revision=item.revision,
    )


def _decode_cell_item(
    item: platform.Item,
) -> Member | Owner | ReleaseRecord | _directory.Directory:
    """Return the decoded value of an item."""
    if item.key == _keys.DIRECTORY:
        return _directory.decode(item.value, item.revision)
    if item.key.startswith(_keys.RELEASED):
        return decode_release(item)
    if item.key.startswith(_keys.MEMBERS):
        address, _, cores, link_mbps = cbor2.loads(item.value)
        if not model.is_address(address):
            raise ValueError("the address is not of the form ip:port")
        return Member(
            address=address, cores=float(cores), link_mbps=float(link_mbps)
        )
    instance, incarnation = cbor2.loads(item.value)
    return Owner(
        instance=str(instance),
        incarnation=str(incarnation),
        fencing_token=item.revision,
    )


def adopt_directory(session: Session, directory: _directory.Directory) -> None:
    """Put a directory in force if it is newer than the known one."""
    known = session.directory
    if directory.revision <= known.revision:
        return
    session.directory = directory
    LOG.info(
        "Directory has changed.",
        revision=directory.revision,
        entries=len(directory.entries),
        added=sorted(directory.entries - known.entries),
        removed=sorted(known.entries - directory.entries),
        closing=sorted(directory.closing),
    )
    session.changed.set()


def adopt_conflicting_directory(
    session: Session, items: tuple[platform.Item, ...]
) -> None:
    """Adopt the directory from the items of a failed condition.

    They hold each expected key that exists, so without it there is none.
    """
    for item in items:
        if item.key == _keys.DIRECTORY:
            apply_cell_item(session, item)
            return
    if session.directory.revision:
        LOG.error("Directory is gone from the store; starting a new one.")
        session.directory = _directory.Directory()


def known_services(session: Session) -> set[str]:
    """Return the configured services and those that may hold jobs."""
    services = _directory.list_services(session.directory)
    if session.config is not None:
        services.update(session.config.services)
    return services


def _end_owners(session: Session, service: str, fencing_token: int) -> None:
    """Record that owners up to a fencing token have lost their key."""
    session.ended_fencing_tokens[service] = max(
        fencing_token, session.ended_fencing_tokens.get(service, 0)
    )


def _end_membership(session: Session, name: str) -> None:
    session.member_since.pop(name, None)
    member = session.members.pop(name, None)
    if member is not None:
        session.former_members[name] = (member.address, _clock.now())


def _update_peers(session: Session) -> None:
    session.changed.set()
    now = _clock.now()
    addresses = {
        name: address
        for name, (address, ended_at) in session.former_members.items()
        if now - ended_at < FORMER_MEMBER_DIAL_S
    }
    for name, member in session.members.items():
        addresses[name] = member.address
    _peers.update_members(session.peers, addresses)


def adopt_owner(session: Session, service: str, owner: Owner) -> None:
    """Record an owner if its fencing token is higher than the known one."""
    known = session.owners.get(service)
    if known is not None and known.fencing_token >= owner.fencing_token:
        return
    session.owners[service] = owner
    LOG.info(
        "Service has an owner.",
        always=True,
        service=service,
        owner=owner.instance,
        fence=owner.fencing_token,
    )
    session.changed.set()


def adopt_peers_owner(session: Session, service: str, owner: Owner) -> None:
    """Record an owner that a peer names, unless it has lost its key.

    No listing follows that would end it: the peer may be behind the watch. An
    owner that was listed or watched is known from there if its key exists.
    """
    ended = session.ended_fencing_tokens.get(service, 0)
    if owner.fencing_token > max(ended, session.cell_revision):
        adopt_owner(session, service, owner)


def adopt_conflicting_owner(
    session: Session, service: str, items: tuple[platform.Item, ...]
) -> None:
    """Adopt the owner of a service from the items of a failed claim."""
    for item in items:
        ended = session.ended_fencing_tokens.get(service, 0)
        if item.key == _keys.owner(service) and item.revision > max(
            ended, session.cell_revision
        ):
            apply_cell_item(session, item)


async def leave(session: Session) -> None:
    """End the lease, so that other instances take over at once."""
    if not session.lease:
        return
    try:
        await platform.revoke_lease(session.store, session.lease)
    except errors.SchedulerError as error:
        LOG.warning("Lease was not ended.", error=str(error))
    LOG.info("Left the cell.")
