"""Versioned configuration of a cell."""

from chestnuttide.config import _document
from chestnuttide.config import _filter
from chestnuttide.config import _history
from chestnuttide.config import _messages
from chestnuttide.config import _patches
from chestnuttide.config import _structure

Broadcast = _messages.Broadcast
CellConfig = _document.CellConfig
ClassConfig = _document.ClassConfig
ConfigAdopted = _messages.ConfigAdopted
ConfigState = _filter.ConfigState
ConfigUnreadable = _messages.ConfigUnreadable
EncodedSnapshot = _history.EncodedSnapshot
FetchMissing = _messages.FetchMissing
FieldError = _structure.FieldError
History = _history.History
PATCH_KEY_PREFIX = _history.PATCH_KEY_PREFIX
PATCH_WAIT_S = _filter.PATCH_WAIT_S
PatchAccepted = _messages.PatchAccepted
PatchEntry = _history.PatchEntry
PatchRefused = _messages.PatchRefused
PatchesReceived = _messages.PatchesReceived
Path = _patches.Path
PlannedWrite = _history.PlannedWrite
PoolConfig = _document.PoolConfig
ReadBack = _messages.ReadBack
ReadKey = _messages.ReadKey
ReadUnanswered = _messages.ReadUnanswered
SNAPSHOT_EVERY = _filter.SNAPSHOT_EVERY
SNAPSHOT_KEY = _history.SNAPSHOT_KEY
ServiceConfig = _document.ServiceConfig
Snapshot = _history.Snapshot
SnapshotReceived = _messages.SnapshotReceived
SubmitPatch = _messages.SubmitPatch
TeamConfig = _document.TeamConfig
Tick = _messages.Tick
VersionSeen = _messages.VersionSeen
WriteConflict = _messages.WriteConflict
WritePatch = _messages.WritePatch
WriteSnapshot = _messages.WriteSnapshot
WriteSucceeded = _messages.WriteSucceeded
WriteUnanswered = _messages.WriteUnanswered
adopt = _history.adopt
adopt_snapshot = _history.adopt_snapshot
apply_patch = _patches.apply_patch
changed_paths = _patches.changed_paths
colliding_paths = _patches.colliding_paths
decode_entry = _history.decode_entry
decode_manifest = _history.decode_manifest
decode_snapshot = _history.decode_snapshot
describe_allowed = _structure.describe_allowed
document_at = _history.document_at
encode_entry = _history.encode_entry
encode_snapshot = _history.encode_snapshot
entries_after = _history.entries_after
entry_key = _history.entry_key
entry_prefix = _history.entry_prefix
find_entry = _history.find_entry
make_config_filter = _filter.make_config_filter
oldest_version = _history.oldest_version
plan_patch = _history.plan_patch
structure = _history.structure
structure_strictly = _structure.structure_strictly
version_of_key = _history.version_of_key

__all__ = [
    "Broadcast",
    "CellConfig",
    "ClassConfig",
    "ConfigAdopted",
    "ConfigState",
    "ConfigUnreadable",
    "EncodedSnapshot",
    "FetchMissing",
    "FieldError",
    "History",
    "PATCH_KEY_PREFIX",
    "PATCH_WAIT_S",
    "PatchAccepted",
    "PatchEntry",
    "PatchRefused",
    "PatchesReceived",
    "Path",
    "PlannedWrite",
    "PoolConfig",
    "ReadBack",
    "ReadKey",
    "ReadUnanswered",
    "SNAPSHOT_EVERY",
    "SNAPSHOT_KEY",
    "ServiceConfig",
    "Snapshot",
    "SnapshotReceived",
    "SubmitPatch",
    "TeamConfig",
    "Tick",
    "VersionSeen",
    "WriteConflict",
    "WritePatch",
    "WriteSnapshot",
    "WriteSucceeded",
    "WriteUnanswered",
    "adopt",
    "adopt_snapshot",
    "apply_patch",
    "changed_paths",
    "colliding_paths",
    "decode_entry",
    "decode_manifest",
    "decode_snapshot",
    "describe_allowed",
    "document_at",
    "encode_entry",
    "encode_snapshot",
    "entries_after",
    "entry_key",
    "entry_prefix",
    "find_entry",
    "make_config_filter",
    "oldest_version",
    "plan_patch",
    "structure",
    "structure_strictly",
    "version_of_key",
]
