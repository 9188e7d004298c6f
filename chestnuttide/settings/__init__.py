"""Settings of one instance, shared by its entry and scheduler daemons."""

from chestnuttide.settings import _fields
from chestnuttide.settings import _load
from chestnuttide.settings import _reference

CoordinationSettings = _fields.CoordinationSettings
EntrySettings = _fields.EntrySettings
LoggingSettings = _fields.LoggingSettings
MeshSettings = _fields.MeshSettings
PlatformSettings = _fields.PlatformSettings
SchedulerSettings = _fields.SchedulerSettings
Settings = _fields.Settings
load = _load.load
parse = _load.parse
render_reference = _reference.render_reference

__all__ = [
    "CoordinationSettings",
    "EntrySettings",
    "LoggingSettings",
    "MeshSettings",
    "PlatformSettings",
    "SchedulerSettings",
    "Settings",
    "load",
    "parse",
    "render_reference",
]
