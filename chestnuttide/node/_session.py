"""An instance's membership and its view of members, owners and config."""

import asyncio
import collections.abc
import math

import attrs
import cbor2

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.node import _access
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _packing
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

# An instance that cannot use the store queries a peer for config and owners
# at this rate. A config has to be in force within 2 s of its acknowledgement,
# and callers keep sending requests to the instance meanwhile.
PEER_QUERY_PERIOD_S = 0.2

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
    former_members : dict of str to (str, float)
        Address of each instance whose membership has ended, and when.
    owners : dict of str to Owner
        Owner of each service that has one.
    former_owners : dict of str to Owner
        Last owner of each service whose owner's key was removed.
    released : dict of str to int
        Fencing token of each service's last owner that sent no more commands
        before its key was removed.
    failed_fencing_tokens : dict of str to int
        Fencing token of this instance's last failed ownership, by service.
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
    former_members: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    owners: dict[str, Owner] = attrs.field(factory=dict)
    former_owners: dict[str, Owner] = attrs.field(factory=dict)
    released: dict[str, int] = attrs.field(factory=dict)
    failed_fencing_tokens: dict[str, int] = attrs.field(factory=dict)
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
    await platform.commit(
        session.store,
        platform.Transaction(put_leased={key: value}, lease=lease),
    )
    session.lease = lease
    session.joined_at = _clock.now()
    LOG.info("Joined the cell.", lease=lease, address=session.address)
    session.changed.set()


async def follow_cell(session: Session) -> None:
    """Keep members and owners up to date until cancelled."""

    def on_list(items: tuple[platform.Item, ...]) -> None:
        for name in list(session.members):
            _end_membership(session, name)
        session.owners.clear()
        for item in items:
            apply_cell_item(session, item)
        _update_peers(session)

    def on_item(item: platform.Item) -> None:
        apply_cell_item(session, item)
        _update_peers(session)

    def on_working(working: bool) -> None:
        if session.cell_known != working:
            LOG.info("Cell watch changed.", working=working)
        session.cell_known = working

    await _watches.watch_prefix(
        session.store,
        _keys.CELL,
        on_list=on_list,
        on_item=on_item,
        on_working=on_working,
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
            session.former_members.pop(name, None)
        return
    if item.key.startswith(_keys.RELEASED):
        if value is not None:
            service = item.key.removeprefix(_keys.RELEASED)
            session.released[service] = value
        return
    service = item.key.removeprefix(_keys.OWNERS)
    if value is not None:
        _adopt_owner(session, service, value)
        return
    former = session.owners.get(service)
    if former is not None and former.fencing_token < item.revision:
        del session.owners[service]
        session.former_owners[service] = former
        LOG.info("Service lost its owner.", service=service)


def _decode_cell_item(
    item: platform.Item,
) -> Member | Owner | _directory.Directory | int:
    """Return the decoded value of an item; an int is a fencing token."""
    if item.key == _keys.DIRECTORY:
        return _directory.decode(item.value, item.revision)
    if item.key.startswith(_keys.RELEASED):
        return int(item.value)
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


def _end_membership(session: Session, name: str) -> None:
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


async def follow_config(session: Session) -> None:
    """Adopt each configuration that the operator writes until cancelled."""

    def on_item(item: platform.Item) -> None:
        if item.key == _keys.CONFIG and not item.removed:
            adopt_config(session, item.value, source="store")

    def on_list(items: tuple[platform.Item, ...]) -> None:
        for item in items:
            on_item(item)

    def on_working(working: bool) -> None:
        if session.config_watched != working:
            LOG.info("Config watch changed.", working=working)
        session.config_watched = working

    wait_s = _access.watch_wait_s(
        _watches.WATCH_WAIT_S, session.confirmation_limit_s
    )

    def on_answer(sent_at: float, empty: bool) -> None:
        confirm_config(
            session,
            _access.confirmed_by_watch(
                sent_at=sent_at,
                answered_at=_clock.now(),
                wait_s=wait_s,
                empty=empty,
            ),
        )

    await _watches.watch_prefix(
        session.store,
        _keys.OPERATOR,
        on_list=on_list,
        on_item=on_item,
        on_working=on_working,
        wait_s=wait_s,
        on_answer=on_answer,
        slow_listings=True,
    )


def adopt_config(session: Session, document: bytes, *, source: str) -> None:
    """Put a configuration in force if it is newer than the current one."""
    if document == session.config_document:
        return
    former = session.config
    try:
        config = platform.decode_config(
            document,
            known_version=-1 if former is None else former.version,
        )
    except errors.ProtocolError as error:
        LOG.error(
            "Invalid config is ignored.", source=source, error=str(error)
        )
        session.count_unreadable("config")
        return
    if config is None:
        return
    session.config = config
    session.config_document = document
    keys_added, session.keys_withdrawn = _access.count_key_changes(
        former, config
    )
    LOG.info(
        "Config is in force.",
        version=config.version,
        queues=len(config.queues),
        workspaces=len(config.workspaces or ()),
        keys_added=keys_added,
        keys_withdrawn=session.keys_withdrawn,
        source=source,
    )
    session.changed.set()


def confirm_config(session: Session, confirmed_at: float) -> None:
    """Record that the configuration was the newest one at a time."""
    session.config_confirmed_at = max(
        session.config_confirmed_at, confirmed_at
    )


def confirmation_age_s(session: Session) -> float:
    """Return the age of the confirmation; infinite if there is none."""
    return _clock.now() - session.config_confirmed_at


def serves_keys(session: Session) -> bool:
    """Return whether a call with a key that arrives now is served.

    One that arrived in time may end later, so it is checked only once.
    """
    return _access.is_confirmed(
        confirmed_at=session.config_confirmed_at,
        limit_s=session.confirmation_limit_s,
        now=_clock.now(),
    )


def is_ready(session: Session) -> bool:
    """Return whether the balancer should send callers to this instance.

    One that serves no call with a key is better left out while others serve
    them.
    """
    if session.config is None or session.stopping:
        return False
    return session.config.workspaces is None or serves_keys(session)


def list_workspaces(session: Session) -> list[dict[str, object]]:
    """Return a row for each workspace for operators, without keys."""
    return _access.list_workspaces(
        session.config,
        keys_withdrawn=session.keys_withdrawn,
        confirmed_age_s=confirmation_age_s(session),
    )


def _report_confirmation(session: Session) -> None:
    """Log when calls with keys stop and when they are served again."""
    if session.config is None or session.config.workspaces is None:
        return
    stopped = not serves_keys(session)
    if stopped == session.keyed_calls_stopped:
        return
    session.keyed_calls_stopped = stopped
    LOG.info(
        "Calls with keys are refused: the config is not confirmed."
        if stopped
        else "Calls with keys are served again.",
        version=session.config.version,
        age_s=round(min(confirmation_age_s(session), 1e6), 2),
        limit_s=session.confirmation_limit_s,
    )


def _needs_peers(session: Session) -> bool:
    """Return whether the store does not keep this instance's view fresh."""
    if not (session.config_watched and session.cell_known):
        return True
    ask_at_s = _access.ASK_SHARE * session.confirmation_limit_s
    return confirmation_age_s(session) > ask_at_s


async def ask_peers(session: Session) -> None:
    """Query peers for config and owners while the store is unavailable."""
    turn = 0
    while True:
        await asyncio.sleep(PEER_QUERY_PERIOD_S)
        _report_confirmation(session)
        names = _peers.connected_names(session.peers)
        if not names or not _needs_peers(session):
            continue
        turn += 1
        name = names[turn % len(names)]
        version = session.config.version if session.config else 0
        sent_at = _clock.now()
        try:
            reply = await _peers.call(
                session.peers,
                name,
                lambda call_id, version=version: _messages.CellRead(
                    call_id=call_id,
                    known_version=version,
                    accepts_packed=True,
                ),
            )
        except errors.MeshError as error:
            LOG.info("Peer did not answer.", peer=name, error=str(error))
            continue
        apply_peers_config(session, reply, sent_at=sent_at, source=name)
        for service, instance, incarnation, fencing_token in reply.owners:
            _adopt_owner(
                session,
                service,
                Owner(
                    instance=instance,
                    incarnation=incarnation,
                    fencing_token=fencing_token,
                ),
            )
        if reply.directory:
            apply_cell_item(
                session,
                platform.Item(
                    key=_keys.DIRECTORY,
                    value=reply.directory,
                    revision=reply.directory_revision,
                ),
            )


def apply_peers_config(
    session: Session,
    reply: _messages.CellReply,
    *,
    sent_at: float,
    source: str,
) -> None:
    """Adopt a peer's configuration if it is newer, and its confirmation."""
    document = reply.document
    if reply.packed_document:
        try:
            document = _packing.unpack(reply.packed_document)
        except errors.ProtocolError as error:
            LOG.error(
                "Invalid config is ignored.", source=source, error=str(error)
            )
            session.count_unreadable("config")
            return
    if document:
        adopt_config(session, document, source=source)
    if session.config is not None:
        confirm_config(
            session,
            _access.confirmed_by_peer(
                sent_at=sent_at,
                age_s=reply.confirmed_age_s,
                peer_version=reply.config_version,
                known_version=session.config.version,
            ),
        )


def _adopt_owner(session: Session, service: str, owner: Owner) -> None:
    """Record an owner if its fencing token is higher than the known one."""
    known = session.owners.get(service)
    if known is not None and known.fencing_token >= owner.fencing_token:
        return
    session.owners[service] = owner
    LOG.info(
        "Service has an owner.",
        service=service,
        owner=owner.instance,
        fence=owner.fencing_token,
    )
    session.changed.set()


def answer_cell(
    session: Session, message: _messages.CellRead
) -> _messages.CellReply:
    """Return owners, the directory, and the configuration if it is newer."""
    directory = session.directory
    version = session.config.version if session.config is not None else 0
    newer = version > message.known_version
    age_s = confirmation_age_s(session)
    document = session.config_document if newer else b""
    packed = (
        _packing.pack(document) if newer and message.accepts_packed else b""
    )
    return _messages.CellReply(
        call_id=message.call_id,
        document=b"" if packed else document,
        owners=tuple(
            (service, owner.instance, owner.incarnation, owner.fencing_token)
            for service, owner in session.owners.items()
        ),
        directory=_directory.encode(directory) if directory.revision else b"",
        directory_revision=directory.revision,
        config_version=version,
        confirmed_age_s=age_s if version and age_s < math.inf else -1.0,
        packed_document=packed,
    )


async def leave(session: Session) -> None:
    """End the lease, so that other instances take over at once."""
    if not session.lease:
        return
    try:
        await platform.revoke_lease(session.store, session.lease)
    except errors.SchedulerError as error:
        LOG.warning("Lease was not ended.", error=str(error))
    LOG.info("Left the cell.")
