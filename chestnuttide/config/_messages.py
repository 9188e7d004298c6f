"""Messages into and out of the configuration filter."""

import attrs

from chestnuttide.config import _document
from chestnuttide.config import _history
from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class SubmitPatch:
    """In: an operator submits a patch.

    Attributes
    ----------
    token : str
        Names the call in the answer.
    base : int
        Version that the operator had read.
    patch : object
        JSON merge patch.
    author : str
        Who submits it.
    write_id : str
        Id for the write, unique for each submission.
    """

    token: str
    base: int
    patch: object
    author: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteSucceeded:
    """In: the store created the key for us.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of our write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteConflict:
    """In: the key existed already.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of our write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteUnanswered:
    """In: the store did not answer; the write may have taken effect.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of our write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ReadBack:
    """In: the store answered a read.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        Its value; None if the key is absent.
    """

    key: str
    value: bytes | None


@attrs.frozen(kw_only=True, slots=True)
class ReadUnanswered:
    """In: the store did not answer a read.

    Attributes
    ----------
    key : str
        The key.
    """

    key: str


@attrs.frozen(kw_only=True, slots=True)
class PatchesReceived:
    """In: accepted patches came from a peer or from the store.

    Attributes
    ----------
    entries : tuple of PatchEntry
        The patches.
    from_store : bool
        Whether a watch or a range of the store gave them; those are
        broadcast to the peers, which hold no watch.
    """

    entries: tuple[_history.PatchEntry, ...]
    from_store: bool = False


@attrs.frozen(kw_only=True, slots=True)
class SnapshotReceived:
    """In: a whole document came from a peer or from the store.

    Attributes
    ----------
    snapshot : Snapshot
        The document with its version.
    """

    snapshot: _history.Snapshot


@attrs.frozen(kw_only=True, slots=True)
class VersionSeen:
    """In: a peer's heartbeat names its version.

    Attributes
    ----------
    version : int
        The peer's head.
    """

    version: int


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """In: time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class ReadKey:
    """Out: read a key and feed `ReadBack` or `ReadUnanswered`.

    Attributes
    ----------
    key : str
        The key.
    """

    key: str


@attrs.frozen(kw_only=True, slots=True)
class WritePatch:
    """Out: create a key that must be absent, and feed the result.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value.
    write_id : str
        Id for the write.
    """

    key: str
    value: bytes
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class PatchAccepted:
    """Out: a submitted patch has become a version.

    Attributes
    ----------
    token : str
        Token of the submission.
    version : int
        The version.
    """

    token: str
    version: int


@attrs.frozen(kw_only=True, slots=True)
class PatchRefused:
    """Out: a submitted patch is refused.

    Attributes
    ----------
    token : str
        Token of the submission.
    error : RefusedError
        The refusal. The patch never takes effect if its `run_state` is
        ``not_run``. With ``unknown`` the store left open whether it did.
    """

    token: str
    error: errors.RefusedError


@attrs.frozen(kw_only=True, slots=True)
class ConfigAdopted:
    """Out: a newer version is in force.

    Attributes
    ----------
    version : int
        The version.
    cell_config : CellConfig
        Its typed form.
    """

    version: int
    cell_config: _document.CellConfig


@attrs.frozen(kw_only=True, slots=True)
class ConfigUnreadable:
    """Out: a version exists but this program cannot use it.

    A newer program may have written fields that this one does not know. The
    last usable version stays in force.

    Attributes
    ----------
    version : int
        The version.
    error : SchedulerError
        What is wrong.
    """

    version: int
    error: errors.SchedulerError


@attrs.frozen(kw_only=True, slots=True)
class FetchMissing:
    """Out: ask a peer, or else the store, for later patches or a snapshot.

    Attributes
    ----------
    after_version : int
        Our head.
    """

    after_version: int


@attrs.frozen(kw_only=True, slots=True)
class Broadcast:
    """Out: send accepted patches to all peers.

    Attributes
    ----------
    entries : tuple of PatchEntry
        The patches.
    """

    entries: tuple[_history.PatchEntry, ...]


@attrs.frozen(kw_only=True, slots=True)
class WriteSnapshot:
    """Out: store a snapshot unless the stored one is newer.

    Write the chunks, then the manifest by compare-and-swap against the
    revision that named an older version, then delete the keys below
    `obsolete_prefix`.

    Attributes
    ----------
    snapshot : EncodedSnapshot
        Keys and values.
    obsolete_prefix : str
        Prefix of the chunks of the snapshot before the previous one; empty if
        there is none.
    """

    snapshot: _history.EncodedSnapshot
    obsolete_prefix: str
