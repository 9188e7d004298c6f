"""The configuration in force, its confirmation, and what peers tell of it."""

import asyncio
import math

from chestnuttide import errors
from chestnuttide.node import _access
from chestnuttide.node import _clock
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _packing
from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide.node import _watches
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("session")

# An instance that cannot use the store queries a peer for config and owners
# at this rate. A config has to be in force within 2 s of its acknowledgement,
# and callers keep sending requests to the instance meanwhile.
PEER_QUERY_PERIOD_S = 0.2


async def follow_config(session: _session.Session) -> None:
    """Adopt each configuration that the operator writes until cancelled."""
    readable = True

    def on_item(item: platform.Item) -> None:
        nonlocal readable
        if item.key == _keys.CONFIG and not item.removed:
            readable = adopt_config(session, item.value, source="store")

    async def on_list(items: tuple[platform.Item, ...]) -> None:
        for item in items:
            on_item(item)

    def on_working(working: bool) -> None:
        if session.config_watched != working:
            LOG.info("Config watch changed.", working=working)
        session.config_watched = working

    wait_s = _access.watch_wait_s(
        _watches.WATCH_WAIT_S, session.confirmation_limit_s
    )

    def on_answer(sent_at: float, empty: bool, waited_s: float) -> None:
        if not readable:
            # The one in force is not the newest.
            return
        confirm_config(
            session,
            _access.confirmed_by_watch(
                sent_at=sent_at,
                answered_at=_clock.now(),
                wait_s=waited_s,
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
    )


def adopt_config(
    session: _session.Session, document: bytes, *, source: str
) -> bool:
    """Put a configuration in force if it is newer than the current one.

    Returns
    -------
    bool
        False if it cannot be read; the current one stays in force.
    """
    if document == session.config_document:
        return True
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
        return False
    if config is None:
        return True
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
    return True


def confirm_config(session: _session.Session, confirmed_at: float) -> None:
    """Record that the configuration was the newest one at a time."""
    session.config_confirmed_at = max(
        session.config_confirmed_at, confirmed_at
    )


def confirmation_age_s(session: _session.Session) -> float:
    """Return the age of the confirmation; infinite if there is none."""
    return _clock.now() - session.config_confirmed_at


def serves_keys(session: _session.Session) -> bool:
    """Return whether a call with a key that arrives now is served.

    One that arrived in time may end later, so it is checked only once.
    """
    return _access.is_confirmed(
        confirmed_at=session.config_confirmed_at,
        limit_s=session.confirmation_limit_s,
        now=_clock.now(),
    )


def is_ready(session: _session.Session) -> bool:
    """Return whether the balancer should send callers to this instance.

    One that serves no call with a key is better left out while others serve
    them.
    """
    if session.config is None or session.stopping:
        return False
    return session.config.workspaces is None or serves_keys(session)


def list_workspaces(session: _session.Session) -> list[dict[str, object]]:
    """Return a row for each workspace for operators, without keys."""
    return _access.list_workspaces(
        session.config,
        keys_withdrawn=session.keys_withdrawn,
        confirmed_age_s=confirmation_age_s(session),
    )


def _report_confirmation(session: _session.Session) -> None:
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


def _needs_peers(session: _session.Session) -> bool:
    """Return whether the store does not keep this instance's view fresh."""
    if not (session.config_watched and session.cell_known):
        return True
    ask_at_s = _access.ASK_SHARE * session.confirmation_limit_s
    return confirmation_age_s(session) > ask_at_s


async def ask_peers(session: _session.Session) -> None:
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
            _session.adopt_peers_owner(
                session,
                service,
                _session.Owner(
                    instance=instance,
                    incarnation=incarnation,
                    fencing_token=fencing_token,
                ),
            )
        if reply.directory:
            _session.apply_cell_item(
                session,
                platform.Item(
                    key=_keys.DIRECTORY,
                    value=reply.directory,
                    revision=reply.directory_revision,
                ),
            )


def apply_peers_config(
    session: _session.Session,
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


def answer_cell(
    session: _session.Session, message: _messages.CellRead
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
