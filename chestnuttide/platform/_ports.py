"""Interfaces to the platform, as classes whose attributes are functions.

Daemons fill them with real clients, tests with stand-ins or closures.
"""

import collections.abc

import attrs

from chestnuttide import model


@attrs.frozen(kw_only=True, slots=True)
class Entry:
    """A key in the store with its value.

    Attributes
    ----------
    key : str
        Key.
    value : bytes or None
        Value; None in a watch result if the key was deleted.
    revision : int
        Store revision of the last write to the key.
    write_id : str
        Id of the last write, chosen by the writer.
    """

    key: str
    value: bytes | None
    revision: int
    write_id: str


@attrs.frozen(kw_only=True, slots=True)
class WatchResult:
    """Changes to the keys under a prefix.

    Attributes
    ----------
    revision : int
        Store revision up to which the changes are complete.
    entries : tuple of Entry
        Changed keys, oldest change first; empty if the wait timed out.
    """

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen(kw_only=True, slots=True)
class Store:
    """The platform's key-value store.

    Every function raises `errors.StoreUnavailableError` if no response
    arrived, in which case a write may have taken effect.

    Attributes
    ----------
    get : function
        ``get(key)`` returns the entry or None.
    list_range : function
        ``list_range(prefix)`` returns the entries sorted by key.
    write : function
        ``write(key, value, expected_revision, write_id, lease_id)`` returns
        the new revision. `expected_revision` 0 means that the key must not
        exist. `lease_id` 0 means no lease. Raises
        `errors.RevisionConflictError` or `errors.LeaseExpiredError`.
    delete : function
        ``delete(key, expected_revision)``; raises
        `errors.RevisionConflictError`.
    grant_lease : function
        ``grant_lease(ttl_s)`` returns a lease id.
    renew_lease : function
        ``renew_lease(lease_id)``; raises `errors.LeaseExpiredError`.
    revoke_lease : function
        ``revoke_lease(lease_id)`` deletes the keys attached to the lease.
    watch : function
        ``watch(prefix, after_revision, wait_s)`` returns a `WatchResult`.
    """

    get: collections.abc.Callable[
        [str], collections.abc.Awaitable[Entry | None]
    ]
    list_range: collections.abc.Callable[
        [str], collections.abc.Awaitable[list[Entry]]
    ]
    write: collections.abc.Callable[
        [str, bytes, int, str, int], collections.abc.Awaitable[int]
    ]
    delete: collections.abc.Callable[
        [str, int], collections.abc.Awaitable[None]
    ]
    grant_lease: collections.abc.Callable[
        [float], collections.abc.Awaitable[int]
    ]
    renew_lease: collections.abc.Callable[
        [int], collections.abc.Awaitable[None]
    ]
    revoke_lease: collections.abc.Callable[
        [int], collections.abc.Awaitable[None]
    ]
    watch: collections.abc.Callable[
        [str, int, float], collections.abc.Awaitable[WatchResult]
    ]


@attrs.frozen(kw_only=True, slots=True)
class InstanceChanges:
    """Changes to the platform's instance list.

    Attributes
    ----------
    revision : int
        Revision of the list up to which the changes are complete.
    instances : tuple of Instance
        Instances that changed.
    """

    revision: int
    instances: tuple[model.Instance, ...]


@attrs.frozen(kw_only=True, slots=True)
class StartOutcome:
    """A worker's response to the start of one attempt.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    outcome : str
        ``started``, ``running``, ``ended``, ``no_capacity`` or ``expired``;
        an expired start has had no effect and never will.
    """

    attempt: model.Attempt
    outcome: str


@attrs.frozen(kw_only=True, slots=True)
class TaskStart:
    """Request to start one attempt on a worker.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    resources : Resources
        Resources that the worker reserves for the attempt.
    payload : bytes
        JSON object that specifies what to run.
    """

    attempt: model.Attempt
    resources: model.Resources
    payload: bytes


@attrs.frozen(kw_only=True, slots=True)
class SyncResult:
    """A worker's response to a sync.

    Attributes
    ----------
    sequence : int
        Sequence number of the worker's last event.
    reports : tuple of AttemptReport, or None
        Live attempts, and ended attempts that have not been acknowledged;
        None if their digest equals the one that the sync named, because the
        owner then has them already.
    digest : str
        Digest of the reports, to be sent with the next sync.
    """

    sequence: int
    reports: tuple[model.AttemptReport, ...] | None
    digest: str = ""


@attrs.frozen(kw_only=True, slots=True)
class WorkerAgent:
    """Agents of workers; `address` is ``ip:port``.

    Every function raises `errors.PlatformError` if no response arrived and
    `errors.DeposedError` if the worker has seen a higher epoch.

    Attributes
    ----------
    start : function
        ``start(address, epoch, lease_s, starts)`` returns a list of
        `StartOutcome`.
    sync : function
        ``sync(address, epoch, lease_s, acknowledged, wait_s, after, known)``
        returns a `SyncResult`.
    stop : function
        ``stop(address, epoch, attempts, checkpoint)``.
    throttle : function
        ``throttle(address, epoch, attempts, share)`` limits the attempts to
        a share of their CPU time, 0 to 1.
    """

    start: collections.abc.Callable[
        [str, int, float, collections.abc.Sequence[TaskStart]],
        collections.abc.Awaitable[list[StartOutcome]],
    ]
    sync: collections.abc.Callable[
        [
            str,
            int,
            float,
            collections.abc.Sequence[model.Attempt],
            float,
            int,
            str,
        ],
        collections.abc.Awaitable[SyncResult],
    ]
    stop: collections.abc.Callable[
        [str, int, collections.abc.Sequence[model.Attempt], bool],
        collections.abc.Awaitable[None],
    ]
    throttle: collections.abc.Callable[
        [str, int, collections.abc.Sequence[model.Attempt], float],
        collections.abc.Awaitable[None],
    ]


@attrs.frozen(kw_only=True, slots=True)
class TargetAnswer:
    """The complete response of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of `body`.
    body : bytes
        Complete body.
    leaving : bool
        Whether the target signalled that it is leaving and ran nothing.
    """

    status: int
    content_type: str
    body: bytes
    leaving: bool = False


@attrs.frozen(kw_only=True, slots=True)
class Targets:
    """Targets of services; `address` is ``ip:port``.

    Attributes
    ----------
    work : function
        ``work(address, request_id, attempt, epoch, payload, timeout_s,
        may_send)`` returns a `TargetAnswer`. `may_send()` is called
        immediately before the first byte is sent; if it returns False,
        nothing is sent. Raises `errors.PlatformError`, whose `sent` tells
        whether any byte may have reached the target.
    busy_slots : function
        ``busy_slots(address, path)`` returns the number of slots in use.
    """

    work: collections.abc.Callable[
        [
            str,
            str,
            int,
            int,
            bytes,
            float,
            collections.abc.Callable[[], bool],
        ],
        collections.abc.Awaitable[TargetAnswer],
    ]
    busy_slots: collections.abc.Callable[
        [str, str], collections.abc.Awaitable[int]
    ]


@attrs.frozen(kw_only=True, slots=True)
class InstanceList:
    """The platform's list of instances, which lags behind their state.

    Attributes
    ----------
    changes : function
        ``changes(after_revision, kind)`` returns `InstanceChanges`; an empty
        `kind` means all kinds. Raises `errors.PlatformError`.
    """

    changes: collections.abc.Callable[
        [int, str], collections.abc.Awaitable[InstanceChanges]
    ]
