"""Input and output messages of the configuration filter."""

import attrs

from chestnuttide.config import _document
from chestnuttide.config import _history
from chestnuttide import errors


@attrs.frozen(kw_only=True, slots=True)
class SubmitPatch:
    """Input: an operator submits a patch.

    Attributes
    ----------
    token : str
        Identifies the submission in the result.
    base : int
        Version that the operator had read.
    patch : object
        JSON merge patch.
    author : str
        Name of the submitter.
    write_id : str
        Id of the write, unique to the submission.
    """

    token: str
    base: int
    patch: object
    author: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteSucceeded:
    """Input: the store created the key.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of the write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteConflict:
    """Input: the store refused a write because the key already existed.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of the write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WriteUnanswered:
    """Input: the store did not answer; the write may have taken effect.

    Attributes
    ----------
    key : str
        The key.
    write_id : str
        Id of the write.
    """

    key: str
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class ReadBack:
    """Input: the store answered a read.

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
    """Input: the store did not answer a read.

    Attributes
    ----------
    key : str
        The key.
    """

    key: str


@attrs.frozen(kw_only=True, slots=True)
class PatchesReceived:
    """Input: accepted patches arrived from a peer or the store.

    Attributes
    ----------
    entries : tuple of PatchEntry
        The patches.
    from_store : bool
        Whether they come from a watch or range read of the store; those are
        broadcast to the peers, which have no watch.
    """

    entries: tuple[_history.PatchEntry, ...]
    from_store: bool = False


@attrs.frozen(kw_only=True, slots=True)
class SnapshotReceived:
    """Input: a whole document arrived from a peer or the store.

    Attributes
    ----------
    snapshot : Snapshot
        The document with its version.
    """

    snapshot: _history.Snapshot


@attrs.frozen(kw_only=True, slots=True)
class VersionSeen:
    """Input: a peer's heartbeat reported its version.

    Attributes
    ----------
    version : int
        The peer's head.
    """

    version: int


@attrs.frozen(kw_only=True, slots=True)
class Tick:
    """Input: time has passed."""


@attrs.frozen(kw_only=True, slots=True)
class ReadKey:
    """Output: read a key and feed `ReadBack` or `ReadUnanswered`.

    Attributes
    ----------
    key : str
        The key.
    """

    key: str


@attrs.frozen(kw_only=True, slots=True)
class WritePatch:
    """Output: create a key that must be absent and feed the result.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value.
    write_id : str
        Id of the write.
    """

    key: str
    value: bytes
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class PatchAccepted:
    """Output: a submitted patch has become a version.

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
    """Output: a submitted patch is refused.

    Attributes
    ----------
    token : str
        Token of the submission.
    error : RefusedError
        The refusal. If its `run_state` is ``not_run``, the patch never takes
        effect; if it is ``unknown``, the patch may take effect or not.
    """

    token: str
    error: errors.RefusedError


@attrs.frozen(kw_only=True, slots=True)
class ConfigAdopted:
    """Output: a newer version is in force.

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
    """Output: a version exists but this program cannot use it.

    A newer software version may have written fields that are unknown to this
    one. The last usable configuration stays in force.

    Attributes
    ----------
    version : int
        The version.
    error : SchedulerError
        Reason why it cannot be used.
    """

    version: int
    error: errors.SchedulerError


@attrs.frozen(kw_only=True, slots=True)
class FetchMissing:
    """Output: ask a peer, or else the store, for later patches or a snapshot.

    Attributes
    ----------
    after_version : int
        Head of this instance.
    """

    after_version: int


@attrs.frozen(kw_only=True, slots=True)
class Broadcast:
    """Output: send accepted patches to all peers.

    Attributes
    ----------
    entries : tuple of PatchEntry
        The patches.
    """

    entries: tuple[_history.PatchEntry, ...]


@attrs.frozen(kw_only=True, slots=True)
class WriteSnapshot:
    """Output: store a snapshot unless the stored one is newer.

    Write the chunks, then the manifest by compare-and-swap against the
    revision that held an older version, then delete the keys that start with
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
