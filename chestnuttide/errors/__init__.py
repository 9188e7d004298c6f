"""Errors with stable codes, and the reasons for refusals and retries."""

from chestnuttide.errors import _kinds

DeposedError = _kinds.DeposedError
HTTP_STATUS = _kinds.HTTP_STATUS
LeaseExpiredError = _kinds.LeaseExpiredError
MeshError = _kinds.MeshError
PeerNotConnectedError = _kinds.PeerNotConnectedError
PlatformError = _kinds.PlatformError
ProtocolError = _kinds.ProtocolError
Reason = _kinds.Reason
RefusedError = _kinds.RefusedError
RetryReason = _kinds.RetryReason
RevisionConflictError = _kinds.RevisionConflictError
RunState = _kinds.RunState
SchedulerError = _kinds.SchedulerError
SettingsError = _kinds.SettingsError
StoreUnavailableError = _kinds.StoreUnavailableError

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
]
