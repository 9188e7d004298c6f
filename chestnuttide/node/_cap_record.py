"""Adoption of the record of the caps' parts, and of its loss."""

from chestnuttide import errors
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workspaces

LOG = telemetry.make_logger("owner")


def adopt_item(session: _session.Session, item: platform.Item) -> None:
    """Adopt the record of the parts if it is newer than the known one.

    While the record cannot be read, owners keep to what they have read last:
    only they themselves give away parts of theirs. An owner that has not read
    any since it took over starts no run of a workspace with a cap.
    """
    board = session.caps
    if item.key != _keys.CAPS or item.revision <= newest_revision(session):
        return
    if item.removed:
        LOG.error("Parts of caps were removed.", revision=item.revision)
        _note_loss(board, item.revision, expects=0)
        return
    try:
        with errors.decoding(
            "The record of the caps' parts",
            "Run the same release on all instances.",
        ):
            parts = workspaces.decode_parts(item.value, item.revision)
    except errors.ProtocolError as error:
        LOG.error("Parts of caps cannot be read.", error=str(error))
        session.count_unreadable("caps")
        _note_loss(board, item.revision, expects=item.revision)
        return
    _cap_state.adopt_parts(board, parts, _clock.now())


def _note_loss(
    board: _cap_state.CapBoard, revision: int, *, expects: int
) -> None:
    if not board.lost_revision:
        board.lost_since = _clock.now()
    board.lost_revision = revision
    board.lost_expects = expects


def adopt_record(
    session: _session.Session, message: _messages.CapRecord
) -> None:
    """Adopt the record of the parts from a peer's message."""
    adopt_item(
        session,
        platform.Item(
            key=_keys.CAPS, value=message.value, revision=message.revision
        ),
    )


def newest_revision(session: _session.Session) -> int:
    """Return the newest known revision of the record; 0 for none."""
    board = session.caps
    return max(board.parts.revision, board.lost_revision)


def note_missing(session: _session.Session, known: int) -> None:
    """Note that the record was removed, which the watch has missed.

    Parameters
    ----------
    session : Session
        The instance's session.
    known : int
        Newest known revision before the call which shows that there is none.
    """
    board = session.caps
    newer = known != newest_revision(session)
    if not known or newer or (board.lost_revision and not board.lost_expects):
        return
    LOG.error("Parts of caps were removed.", after_revision=known)
    # The removal has this revision or a later one; a new record a still later.
    _note_loss(board, known + 1, expects=0)
