"""Errors with stable codes, and the reasons for refusals and retries."""

from chestnuttide.errors import _decoding
from chestnuttide.errors import _exceptions

DeposedError = _exceptions.DeposedError
HTTP_STATUS = _exceptions.HTTP_STATUS
LeaseExpiredError = _exceptions.LeaseExpiredError
MeshError = _exceptions.MeshError
PeerNotConnectedError = _exceptions.PeerNotConnectedError
PlatformError = _exceptions.PlatformError
ProtocolError = _exceptions.ProtocolError
Reason = _exceptions.Reason
RefusedError = _exceptions.RefusedError
RetryReason = _exceptions.RetryReason
RevisionConflictError = _exceptions.RevisionConflictError
RunState = _exceptions.RunState
SchedulerError = _exceptions.SchedulerError
SettingsError = _exceptions.SettingsError
StoreUnavailableError = _exceptions.StoreUnavailableError
decoding = _decoding.decoding

__all__ = [
    "DeposedError",
    "HTTP_STATUS",
    "LeaseExpiredError",
    "MeshError",
    "PeerNotConnectedError",
    "PlatformError",
    "ProtocolError",
    "Reason",
    "RefusedError",
    "RetryReason",
    "RevisionConflictError",
    "RunState",
    "SchedulerError",
    "SettingsError",
    "StoreUnavailableError",
    "decoding",
]
