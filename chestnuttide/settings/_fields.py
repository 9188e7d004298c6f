"""Fields of the settings file, with their units and allowed ranges."""

import collections.abc
import re
import typing

import attrs

from chestnuttide import model

LOG_LEVELS: typing.Final = ("debug", "info", "warning", "error")

# Instance ids become segments of store keys, so "/" is not allowed.
_NAME_PATTERN: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


_Validator: typing.TypeAlias = collections.abc.Callable[
    [object, attrs.Attribute, typing.Any], None
]


def _make_validator(
    allowed: str, is_allowed: collections.abc.Callable[[typing.Any], bool]
) -> _Validator:
    """Return an attrs validator that carries a description of its rule.

    Parameters
    ----------
    allowed : str
        Description of the allowed values. The validator has it as its
        attribute `allowed`, for error messages and the settings reference.
    is_allowed : function
        ``is_allowed(value)`` returns whether the value is allowed.
    """

    def validate(
        instance: object, attribute: attrs.Attribute, value: typing.Any
    ) -> None:
        if not is_allowed(value):
            raise ValueError(f"{attribute.name} must be {allowed}")

    validate.allowed = allowed
    return validate


def _is_name(value: str) -> bool:
    return _NAME_PATTERN.fullmatch(value) is not None


_NAME_VALIDATOR: typing.Final = _make_validator(
    allowed="of 1 to 63 letters, digits, '.', '_' and '-'",
    is_allowed=_is_name,
)
_OPTIONAL_NAME_VALIDATOR: typing.Final = _make_validator(
    allowed="of up to 63 letters, digits, '.', '_' and '-'",
    is_allowed=lambda value: not value or _is_name(value),
)
_IP_VALIDATOR: typing.Final = _make_validator(
    allowed="that is an IP address, for example 10.0.0.7",
    is_allowed=model.is_ip,
)
_ADDRESS_VALIDATOR: typing.Final = _make_validator(
    allowed="of the form ip:port, for example 10.0.0.7:2379",
    is_allowed=model.is_address,
)


def _in_range(low: float, high: float) -> typing.Any:
    return [attrs.validators.ge(low), attrs.validators.le(high)]


def _port_field(default: int) -> typing.Any:
    return attrs.field(default=default, validator=_in_range(1, model.MAX_PORT))


@attrs.frozen(kw_only=True, slots=True)
class EntrySettings:
    """The entry daemon, which serves callers and operators.

    Attributes
    ----------
    http_port : int
        TCP port of the HTTP interface for callers and operators.
    metrics_port : int
        TCP port on which the entry daemon serves its metrics.
    max_body_bytes : int
        Maximum size of a request body in bytes; larger bodies are refused
        with `too_large`.
    """

    http_port: int = _port_field(8080)
    metrics_port: int = _port_field(9101)
    max_body_bytes: int = attrs.field(
        default=1_048_576, validator=_in_range(1_024, 67_108_864)
    )


@attrs.frozen(kw_only=True, slots=True)
class SchedulerSettings:
    """The scheduler daemon, which owns shards.

    Attributes
    ----------
    mesh_port : int
        TCP port on which other daemons connect to this scheduler.
    metrics_port : int
        TCP port on which the scheduler daemon serves its metrics.
    """

    mesh_port: int = _port_field(7070)
    metrics_port: int = _port_field(9102)


@attrs.frozen(kw_only=True, slots=True)
class PlatformSettings:
    """Addresses, timeout and poll interval of the platform's services.

    Attributes
    ----------
    store_address : str
        Address of the key-value store.
    instance_list_address : str
        Address of the instance list.
    store_timeout_s : float
        Timeout in seconds of one store call.
    instance_list_poll_s : float
        Seconds between two polls of the instance list.
    """

    store_address: str = attrs.field(validator=_ADDRESS_VALIDATOR)
    instance_list_address: str = attrs.field(validator=_ADDRESS_VALIDATOR)
    store_timeout_s: float = attrs.field(
        default=1.0, validator=_in_range(0.05, 60.0)
    )
    instance_list_poll_s: float = attrs.field(
        default=1.0, validator=_in_range(0.1, 60.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class MeshSettings:
    """Connections that carry messages between the daemons.

    Attributes
    ----------
    mesh_queue_messages : int
        Maximum number of messages queued on one connection; further messages
        are refused with `mesh_queue_full`.
    mesh_queue_bytes : int
        Maximum number of bytes queued on one connection.
    heartbeat_s : float
        Seconds between two heartbeats on a connection.
    """

    mesh_queue_messages: int = attrs.field(
        default=10_000, validator=_in_range(16, 1_000_000)
    )
    mesh_queue_bytes: int = attrs.field(
        default=16_777_216, validator=_in_range(65_536, 1_073_741_824)
    )
    heartbeat_s: float = attrs.field(
        default=1.0, validator=_in_range(0.05, 10.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class CoordinationSettings:
    """Timing of leases, promises and the journal.

    Attributes
    ----------
    lease_ttl_s : float
        Seconds after a renewal at which a scheduler's lease in the store
        expires.
    lease_renew_s : float
        Seconds between two lease renewals; must be below half of
        `lease_ttl_s`, so that the lease survives one lost renewal.
    promise_s : float
        Seconds for which a voter promises to reject claims.
    journal_writes_per_s : float
        Maximum number of journal writes per second from this instance to
        the store.
    worker_sync_s : float
        Seconds between two renewals of a worker's task leases.
    store_grace_s : float
        Seconds for which non-idempotent requests wait for the journal while
        the store is down before they are refused with `store_unavailable`.
    stop_grace_s : float
        Seconds that a graceful shutdown allows for work in flight to finish.
    """

    lease_ttl_s: float = attrs.field(
        default=2.0, validator=_in_range(0.2, 60.0)
    )
    lease_renew_s: float = attrs.field(
        default=0.6, validator=_in_range(0.05, 30.0)
    )
    promise_s: float = attrs.field(default=3.0, validator=_in_range(0.2, 60.0))
    journal_writes_per_s: float = attrs.field(
        default=20.0, validator=_in_range(0.1, 1_000.0)
    )
    worker_sync_s: float = attrs.field(
        default=2.0, validator=_in_range(0.05, 30.0)
    )
    store_grace_s: float = attrs.field(
        default=1.0, validator=_in_range(0.0, 60.0)
    )
    stop_grace_s: float = attrs.field(
        default=30.0, validator=_in_range(0.0, 3_600.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class LoggingSettings:
    """Log output of the daemons.

    Attributes
    ----------
    log_level : str
        Minimum severity of logged messages.
    """

    log_level: str = attrs.field(
        default="info", validator=attrs.validators.in_(LOG_LEVELS)
    )


@attrs.frozen(kw_only=True, slots=True)
class Settings:
    """The settings of one instance.

    Attributes
    ----------
    instance_id : str
        Id of the instance, unique in the cell.
    data_centre : str
        Data centre of the instance.
    rack : str
        Rack of the instance; empty if unknown.
    advertise_ip : str
        IP address that other instances use to connect to this one.
    entry : EntrySettings
        Settings of the entry daemon.
    scheduler : SchedulerSettings
        Settings of the scheduler daemon.
    platform : PlatformSettings
        Addresses and timing of the platform's services.
    mesh : MeshSettings
        Queue limits and heartbeats of mesh connections.
    coordination : CoordinationSettings
        Timing of leases, promises and the journal.
    logging : LoggingSettings
        Log output.
    """

    instance_id: str = attrs.field(validator=_NAME_VALIDATOR)
    data_centre: str = attrs.field(validator=_NAME_VALIDATOR)
    rack: str = attrs.field(default="", validator=_OPTIONAL_NAME_VALIDATOR)
    advertise_ip: str = attrs.field(validator=_IP_VALIDATOR)
    entry: EntrySettings = attrs.field(factory=EntrySettings)
    scheduler: SchedulerSettings = attrs.field(factory=SchedulerSettings)
    platform: PlatformSettings
    mesh: MeshSettings = attrs.field(factory=MeshSettings)
    coordination: CoordinationSettings = attrs.field(
        factory=CoordinationSettings
    )
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
