"""Versions of the configuration document and the rules for the next one.

Version n exists if the store key of version n does; version 0 is the empty
document. A key is created once and never changed or deleted, because a stale
instance could otherwise create an old version a second time.
"""

import collections.abc
import json
import re
import typing

import attrs
import xxhash

from chestnuttide.config import _document
from chestnuttide.config import _patches
from chestnuttide.config import _structure
from chestnuttide import errors

PATCH_KEY_PREFIX: typing.Final = "config/patch/"
SNAPSHOT_KEY: typing.Final = "config/snapshot"
VERSION_DIGITS: typing.Final = 12

# A range read over all but the last two digits of a version returns at most
# 100 patches, which covers the distance between two snapshots.
_RANGE_PREFIX_DIGITS: typing.Final = 10

# Largest stored patch in bytes; the store allows values of up to 1 MB.
MAX_PATCH_BYTES: typing.Final = 262_144

# Most levels of nested objects in a patch; the document has three. Deeper
# patches are refused before they reach a recursive function.
MAX_PATCH_DEPTH: typing.Final = 16

# Limits of the patches kept in memory: 1,024 cover five hours at 4,500 changes
# a day, and the size limit bounds memory when patches are large.
MAX_KEPT_PATCHES: typing.Final = 1_024
MAX_KEPT_BYTES: typing.Final = 4_194_304

# Largest chunk of a snapshot in bytes; the design allows 512 KB.
SNAPSHOT_CHUNK_BYTES: typing.Final = 500_000

# Names become parts of store keys, where "/" is the separator.
_NAME_PATTERN: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_DESCRIPTION: typing.Final = (
    "a name of 1 to 63 letters, digits, '.', '_' and '-'"
)


@attrs.frozen(kw_only=True, slots=True)
class PatchEntry:
    """One accepted patch.

    Attributes
    ----------
    version : int
        Version that the patch created.
    base : int
        Version that its author had read.
    patch : dict
        JSON merge patch.
    author : str
        Name of the submitter.
    write_id : str
        Id of the write that created the version.
    size_bytes : int
        Size of the stored value.
    """

    version: int
    base: int
    patch: dict[str, typing.Any]
    author: str
    write_id: str
    size_bytes: int = attrs.field(default=0, eq=False)


@attrs.frozen(kw_only=True, slots=True)
class History:
    """The newest known version and the patches that led to it.

    Attributes
    ----------
    version : int
        The head, the newest known version.
    document : dict
        JSON document of the head.
    recent : tuple of PatchEntry
        Newest patches, oldest first, without gaps up to the head.
    oldest_document : dict
        JSON document before the first patch of `recent`.
    """

    version: int = 0
    document: dict[str, typing.Any] = attrs.field(factory=dict)
    recent: tuple[PatchEntry, ...] = ()
    oldest_document: dict[str, typing.Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, slots=True)
class PlannedWrite:
    """The write that creates the next version.

    Attributes
    ----------
    version : int
        The version that it creates.
    key : str
        Store key, which must be absent.
    value : bytes
        The encoded patch.
    """

    version: int
    key: str
    value: bytes


@attrs.frozen(kw_only=True, slots=True)
class Snapshot:
    """A whole document.

    Attributes
    ----------
    version : int
        Version of the document.
    document : dict
        JSON document.
    """

    version: int
    document: dict[str, typing.Any]


@attrs.frozen(kw_only=True, slots=True)
class EncodedSnapshot:
    """A snapshot as it is stored.

    Attributes
    ----------
    version : int
        Version of the document.
    chunks : tuple of (str, bytes)
        Keys and values to write first.
    manifest_key : str
        Key to write last.
    manifest : bytes
        Its value, with the version, number of chunks and checksum.
    """

    version: int
    chunks: tuple[tuple[str, bytes], ...]
    manifest_key: str
    manifest: bytes


def structure(document: object) -> _document.CellConfig:
    """Return the typed form of a configuration document.

    Raises
    ------
    RefusedError
        Reason ``config_invalid``; `details` has ``path`` and, where they
        apply, ``value``, ``allowed`` and ``nearest``.
    """
    try:
        cell = _structure.structure_strictly(_document.CellConfig, document)
        for group, names in (
            ("services", cell.services),
            ("teams", cell.teams),
            ("workload_classes", cell.workload_classes),
        ):
            for name in names:
                if not _NAME_PATTERN.fullmatch(name):
                    raise _structure.FieldError(
                        path=(group, name),
                        value=name,
                        problem="has an invalid name",
                        allowed=_NAME_DESCRIPTION,
                    )
    except _structure.FieldError as error:
        raise _make_refusal(error) from error
    return cell


def entry_key(version: int) -> str:
    """Return the store key of a version."""
    return f"{PATCH_KEY_PREFIX}{version:0{VERSION_DIGITS}d}"


def entry_prefix(version: int) -> str:
    """Return a key prefix shared by `version` and up to 99 neighbours."""
    digits = f"{version:0{VERSION_DIGITS}d}"
    return f"{PATCH_KEY_PREFIX}{digits[:_RANGE_PREFIX_DIGITS]}"


def version_of_key(key: str) -> int:
    """Return the version that a store key identifies.

    Raises
    ------
    ProtocolError
        The key is not that of a patch.
    """
    digits = key.removeprefix(PATCH_KEY_PREFIX)
    if (
        not key.startswith(PATCH_KEY_PREFIX)
        or len(digits) != VERSION_DIGITS
        or not (digits.isascii() and digits.isdigit())
    ):
        raise errors.ProtocolError(
            message=f"config: {key!r} is not the key of a patch.",
            remedy="Find out which program wrote it.",
        )
    return int(digits)


def encode_entry(entry: PatchEntry) -> bytes:
    """Return the encoded form of a patch, as the store keeps it."""
    return _encode_json(
        {
            "write_id": entry.write_id,
            "base": entry.base,
            "patch": entry.patch,
            "author": entry.author,
        }
    )


def decode_entry(version: int, value: bytes) -> PatchEntry:
    """Return the patch decoded from a stored value.

    Raises
    ------
    ProtocolError
        The value is not an encoded patch.
    """
    try:
        found = json.loads(value)
        entry = PatchEntry(
            version=version,
            base=found["base"],
            patch=found["patch"],
            author=found["author"],
            write_id=found["write_id"],
            size_bytes=len(value),
        )
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise _make_decode_error(f"patch {version}") from error
    if not isinstance(entry.patch, dict):
        raise _make_decode_error(f"patch {version}")
    return entry


def adopt(history: History, entry: PatchEntry) -> History:
    """Return the history with the next version added.

    Parameters
    ----------
    history : History
        The history so far.
    entry : PatchEntry
        The patch of the version after the head.

    Raises
    ------
    ValueError
        The version is not the next one.
    """
    if entry.version != history.version + 1:
        raise ValueError(
            f"version {entry.version} does not follow {history.version}"
        )
    recent = (*history.recent, entry)
    oldest_document = history.oldest_document
    size_bytes = sum(kept.size_bytes for kept in recent)
    dropped = 0
    while (
        len(recent) - dropped > MAX_KEPT_PATCHES or size_bytes > MAX_KEPT_BYTES
    ):
        oldest_document = _patches.apply_patch(
            oldest_document, recent[dropped].patch
        )
        size_bytes -= recent[dropped].size_bytes
        dropped += 1
    return History(
        version=entry.version,
        document=_patches.apply_patch(history.document, entry.patch),
        recent=recent[dropped:],
        oldest_document=oldest_document,
    )


def adopt_snapshot(history: History, snapshot: Snapshot) -> History:
    """Return the history of a snapshot if it is newer, else `history`."""
    if snapshot.version <= history.version:
        return history
    return History(
        version=snapshot.version,
        document=snapshot.document,
        oldest_document=snapshot.document,
    )


def oldest_version(history: History) -> int:
    """Return the oldest version whose document is known."""
    return history.version - len(history.recent)


def entries_after(
    history: History, version: int
) -> tuple[PatchEntry, ...] | None:
    """Return the patches after a version.

    Returns
    -------
    tuple of PatchEntry or None
        Oldest first; None if some are no longer kept, so that a snapshot is
        needed.
    """
    if version < oldest_version(history):
        return None
    return history.recent[max(0, version - oldest_version(history)) :]


def find_entry(history: History, version: int) -> PatchEntry | None:
    """Return the patch that created a version; None if it is not kept."""
    index = version - oldest_version(history) - 1
    return history.recent[index] if 0 <= index < len(history.recent) else None


def find_write(history: History, write_id: str) -> PatchEntry | None:
    """Return the kept patch with a write id; None if there is none."""
    return next(
        (each for each in history.recent if each.write_id == write_id), None
    )


def document_at(history: History, version: int) -> dict[str, typing.Any]:
    """Return the document of a version.

    Raises
    ------
    RefusedError
        Reason ``unknown_version``.
    """
    _require_known_version(history, version)
    document = history.oldest_document
    for entry in history.recent[: version - oldest_version(history)]:
        document = _patches.apply_patch(document, entry.patch)
    return document


def plan_patch(
    history: History,
    *,
    base: int,
    patch: object,
    author: str,
    write_id: str,
) -> PlannedWrite:
    """Return the write that stores a submitted patch as the next version.

    Parameters
    ----------
    history : History
        The known versions.
    base : int
        Version that the author had read.
    patch : object
        JSON merge patch.
    author : str
        Name of the submitter.
    write_id : str
        Id of the write, unique to the submission.

    Raises
    ------
    RefusedError
        ``config_invalid`` if the patch is not a usable object or the patched
        document is not valid, ``invalid_value`` if the base is not a whole
        number, ``too_large``, ``unknown_version`` if the base is above the
        head or older than the kept history, or ``config_conflict``, whose
        `details` list the colliding paths.
    """
    _check_patch(patch)
    if type(base) is not int:
        raise errors.RefusedError(
            reason=errors.Reason.INVALID_VALUE,
            message=f"The base {base!r} is not a whole number.",
            remedy="Give the version that the patch is based on.",
        )
    _require_known_version(history, base)
    _check_conflicts(history, base, patch)
    following = structure(_patches.apply_patch(history.document, patch))
    _check_fixed_counts(history, following)
    version = history.version + 1
    value = encode_entry(
        PatchEntry(
            version=version,
            base=base,
            patch=patch,
            author=author,
            write_id=write_id,
        )
    )
    if len(value) > MAX_PATCH_BYTES:
        raise errors.RefusedError(
            reason=errors.Reason.TOO_LARGE,
            message=(
                f"The patch has {len(value)} bytes, more than"
                f" {MAX_PATCH_BYTES}."
            ),
            remedy="Submit it in several patches.",
            details={"bytes": len(value), "limit_bytes": MAX_PATCH_BYTES},
        )
    return PlannedWrite(version=version, key=entry_key(version), value=value)


def encode_snapshot(snapshot: Snapshot) -> EncodedSnapshot:
    """Return the stored form of a snapshot, in chunks of less than 512 KB."""
    body = _encode_json(snapshot.document)
    pieces = [
        body[start : start + SNAPSHOT_CHUNK_BYTES]
        for start in range(0, len(body), SNAPSHOT_CHUNK_BYTES)
    ]
    manifest = {
        "version": snapshot.version,
        "chunks": len(pieces),
        "checksum": xxhash.xxh3_64_hexdigest(body),
    }
    return EncodedSnapshot(
        version=snapshot.version,
        chunks=tuple(
            zip(
                snapshot_chunk_keys(snapshot.version, len(pieces)),
                pieces,
                strict=True,
            )
        ),
        manifest_key=SNAPSHOT_KEY,
        manifest=_encode_json(manifest),
    )


def snapshot_chunk_keys(version: int, chunks: int) -> tuple[str, ...]:
    """Return the keys of the chunks of a snapshot."""
    prefix = snapshot_prefix(version)
    return tuple(f"{prefix}{index:04d}" for index in range(chunks))


def snapshot_prefix(version: int) -> str:
    """Return the prefix of the keys of the chunks of a snapshot."""
    return f"{SNAPSHOT_KEY}/{version:0{VERSION_DIGITS}d}/"


def decode_manifest(manifest: bytes) -> tuple[int, tuple[str, ...]]:
    """Return the version of a stored snapshot and the keys of its chunks.

    Raises
    ------
    ProtocolError
        The value is not a manifest.
    """
    try:
        found = json.loads(manifest)
        version, chunks = int(found["version"]), int(found["chunks"])
    except (ValueError, TypeError, KeyError) as error:
        raise _make_decode_error("the snapshot's manifest") from error
    return version, snapshot_chunk_keys(version, chunks)


def decode_snapshot(
    manifest: bytes, chunks: collections.abc.Iterable[bytes]
) -> Snapshot:
    """Return the snapshot decoded from its manifest and chunks.

    Raises
    ------
    ProtocolError
        The chunks do not match the manifest.
    """
    version, _ = decode_manifest(manifest)
    body = b"".join(chunks)
    if json.loads(manifest).get("checksum") != xxhash.xxh3_64_hexdigest(body):
        raise _make_decode_error(f"snapshot {version}")
    return Snapshot(version=version, document=json.loads(body))


def _encode_json(value: object) -> bytes:
    return json.dumps(
        value, allow_nan=False, separators=(",", ":"), sort_keys=True
    ).encode()


def _make_decode_error(what: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        message=f"config: {what} cannot be decoded.",
        remedy="Find out which program wrote it.",
    )


def _make_refusal(error: _structure.FieldError) -> errors.RefusedError:
    path = _patches.format_path(error.path) or "the document"
    details: dict[str, object] = {"path": path, "value": error.value}
    if error.allowed:
        remedy = f"Set {path} to {error.allowed}."
        details["allowed"] = error.allowed
    elif error.nearest:
        nearest = _patches.format_path((*error.path[:-1], error.nearest))
        remedy = f"Did you mean {nearest}?"
        details["nearest"] = nearest
    else:
        remedy = "Remove it."
    value = "" if error.value is None else f" (value {error.value!r})"
    return errors.RefusedError(
        reason=errors.Reason.CONFIG_INVALID,
        message=f"{path} {error.problem}{value}.",
        remedy=remedy,
        details=details,
    )


def _check_patch(patch: object) -> None:
    problem = ""
    if not isinstance(patch, dict):
        problem = "The patch is not a JSON object."
    elif not patch:
        problem = "The patch changes nothing."
    elif _patches.nesting_depth(patch, MAX_PATCH_DEPTH) > MAX_PATCH_DEPTH:
        problem = f"The patch is nested deeper than {MAX_PATCH_DEPTH} levels."
    if problem:
        raise errors.RefusedError(
            reason=errors.Reason.CONFIG_INVALID,
            message=problem,
            remedy="Submit an object with the fields to change.",
        )


def _require_known_version(history: History, version: int) -> None:
    oldest = oldest_version(history)
    if oldest <= version <= history.version:
        return
    raise errors.RefusedError(
        reason=errors.Reason.UNKNOWN_VERSION,
        message=(
            f"Version {version} is not known; known versions are {oldest} to"
            f" {history.version}."
        ),
        remedy="Read the current version and use it.",
        details={
            "version": version,
            "oldest": oldest,
            "head": history.version,
        },
    )


def _check_conflicts(
    history: History, base: int, patch: dict[str, typing.Any]
) -> None:
    later = entries_after(history, base) or ()
    ours = _patches.changed_paths(patch)
    collisions = {
        path: entry.version
        for entry in later
        for path in _patches.colliding_paths(
            ours, _patches.changed_paths(entry.patch)
        )
    }
    if not collisions:
        return
    paths = [_patches.format_path(path) for path in sorted(collisions)]
    raise errors.RefusedError(
        reason=errors.Reason.CONFIG_CONFLICT,
        message=(
            f"Changed since version {base} by others: {', '.join(paths)}."
        ),
        remedy=(
            f"Read version {history.version}, check these fields and submit"
            " the patch with that base."
        ),
        details={
            "paths": paths,
            "versions": sorted(set(collisions.values())),
            "head": history.version,
        },
    )


def _check_fixed_counts(
    history: History, following: _document.CellConfig
) -> None:
    """Refuse a change of the number of shards or pools.

    The number determines which shard records a request id or a job id. After
    a change, an id could run a second time in another shard.
    """
    if history.version == 0:
        return
    fixed = {
        ("services", name, "shards"): each.shards
        for name, each in following.services.items()
        if name in history.document.get("services", {})
    }
    fixed["pool", "pools"] = following.pool.pools
    for path, value in fixed.items():
        former: typing.Any = history.document
        for part in path:
            former = former.get(part, {} if part != path[-1] else 1)
        if former != value:
            name = ".".join(path)
            raise errors.RefusedError(
                reason=errors.Reason.CONFIG_INVALID,
                message=f"{name} cannot change from {former} to {value}.",
                remedy="Add a service with the new number and move callers.",
                details={"path": name, "value": value, "allowed": former},
            )
