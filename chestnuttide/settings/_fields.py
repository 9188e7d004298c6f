"""The fields of a settings file with their units and ranges."""

import collections.abc
import ipaddress
import re
import typing

import attrs

MAX_PORT: typing.Final = 65_535
LOG_LEVELS: typing.Final = ("debug", "info", "warning", "error")

# Instance ids become parts of store keys, in which "/" separates the parts.
_NAME_PATTERN: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


_Validator: typing.TypeAlias = collections.abc.Callable[
    [object, attrs.Attribute, typing.Any], None
]


def _make_check(
    allowed: str, accepts: collections.abc.Callable[[typing.Any], bool]
) -> _Validator:
    """Return an attrs validator that can describe the values it allows.

    Parameters
    ----------
    allowed : str
        The allowed values in words, which errors and the reference read from
        the attribute `allowed` of the validator.
    accepts : function
        ``accepts(value)`` returns whether the value is allowed.
    """

    def validate(
        instance: object, attribute: attrs.Attribute, value: typing.Any
    ) -> None:
        if not accepts(value):
            raise ValueError(f"{attribute.name} must be {allowed}")

    validate.allowed = allowed
    return validate


def _is_ip(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def is_address(value: str) -> bool:
    """Return whether a value is an address of the form ``ip:port``."""
    host, _, port = value.rpartition(":")
    return (
        _is_ip(host.removeprefix("[").removesuffix("]"))
        and port.isascii()
        and port.isdigit()
        and 1 <= int(port) <= MAX_PORT
    )


def _is_name(value: str) -> bool:
    return _NAME_PATTERN.fullmatch(value) is not None


_NAME: typing.Final = _make_check(
    allowed="of 1 to 63 letters, digits, '.', '_' and '-'",
    accepts=_is_name,
)
_NAME_OR_EMPTY: typing.Final = _make_check(
    allowed="of up to 63 letters, digits, '.', '_' and '-'",
    accepts=lambda value: not value or _is_name(value),
)
_IP: typing.Final = _make_check(
    allowed="that is an IP address, for example 10.0.0.7", accepts=_is_ip
)
_ADDRESS: typing.Final = _make_check(
    allowed="of the form ip:port, for example 10.0.0.7:2379",
    accepts=is_address,
)


def _between(low: float, high: float) -> typing.Any:
    return [attrs.validators.ge(low), attrs.validators.le(high)]


def _port(default: int) -> typing.Any:
    return attrs.field(default=default, validator=_between(1, MAX_PORT))


@attrs.frozen(kw_only=True, slots=True)
class EntrySettings:
    """The daemon that callers and operators talk to.

    Attributes
    ----------
    http_port : int
        TCP port of the HTTP interface for callers and operators.
    metrics_port : int
        TCP port at which the entry daemon serves its metrics.
    max_body_bytes : int
        Largest body of a call, in bytes; larger ones are refused as
        `too_large`.
    """

    http_port: int = _port(8080)
    metrics_port: int = _port(9101)
    max_body_bytes: int = attrs.field(
        default=1_048_576, validator=_between(1_024, 67_108_864)
    )


@attrs.frozen(kw_only=True, slots=True)
class SchedulerSettings:
    """The daemon that owns shards.

    Attributes
    ----------
    mesh_port : int
        TCP port at which other daemons reach this scheduler.
    metrics_port : int
        TCP port at which the scheduler daemon serves its metrics.
    """

    mesh_port: int = _port(7070)
    metrics_port: int = _port(9102)


@attrs.frozen(kw_only=True, slots=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes
    ----------
    store_address : str
        Address of the key-value store.
    instance_list_address : str
        Address of the instance list.
    store_timeout_s : float
        Seconds after which a store call counts as unanswered.
    instance_list_poll_s : float
        Seconds between two polls of the instance list.
    """

    store_address: str = attrs.field(validator=_ADDRESS)
    instance_list_address: str = attrs.field(validator=_ADDRESS)
    store_timeout_s: float = attrs.field(
        default=1.0, validator=_between(0.05, 60.0)
    )
    instance_list_poll_s: float = attrs.field(
        default=1.0, validator=_between(0.1, 60.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class MeshSettings:
    """Messages between the daemons.

    Attributes
    ----------
    mesh_queue_messages : int
        Messages that may wait on one connection; further ones are refused as
        `mesh_queue_full`.
    mesh_queue_bytes : int
        Bytes that may wait on one connection.
    heartbeat_s : float
        Seconds between two heartbeats on a connection.
    """

    mesh_queue_messages: int = attrs.field(
        default=10_000, validator=_between(16, 1_000_000)
    )
    mesh_queue_bytes: int = attrs.field(
        default=16_777_216, validator=_between(65_536, 1_073_741_824)
    )
    heartbeat_s: float = attrs.field(
        default=1.0, validator=_between(0.05, 10.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class CoordinationSettings:
    """Leases, promises and the journal.

    Attributes
    ----------
    lease_ttl_s : float
        Seconds for which a scheduler's lease in the store holds after a
        renewal.
    lease_renew_s : float
        Seconds between two renewals; below half of `lease_ttl_s`, so that
        one lost renewal does not end the lease.
    promise_s : float
        Seconds for which a voter promises not to consent to a claim.
    journal_writes_per_s : float
        Journal writes per second that the instance may send to the store.
    worker_sync_s : float
        Seconds between two renewals of the task leases on a worker.
    store_grace_s : float
        Seconds for which non-idempotent requests wait for the journal while
        the store is down, before they are refused as `store_unavailable`.
    stop_grace_s : float
        Seconds that a planned stop may take to finish work in flight.
    """

    lease_ttl_s: float = attrs.field(
        default=2.0, validator=_between(0.2, 60.0)
    )
    lease_renew_s: float = attrs.field(
        default=0.6, validator=_between(0.05, 30.0)
    )
    promise_s: float = attrs.field(default=3.0, validator=_between(0.2, 60.0))
    journal_writes_per_s: float = attrs.field(
        default=20.0, validator=_between(0.1, 1_000.0)
    )
    worker_sync_s: float = attrs.field(
        default=2.0, validator=_between(0.05, 30.0)
    )
    store_grace_s: float = attrs.field(
        default=1.0, validator=_between(0.0, 60.0)
    )
    stop_grace_s: float = attrs.field(
        default=30.0, validator=_between(0.0, 3_600.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class LoggingSettings:
    """What is logged.

    Attributes
    ----------
    log_level : str
        Least severity of the messages that are logged.
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
        Name of the instance, unique in the cell.
    data_centre : str
        Data centre that houses it.
    rack : str
        Rack that houses it; empty when unknown.
    advertise_ip : str
        IP address at which the other instances reach this one.
    entry : EntrySettings
        The entry daemon.
    scheduler : SchedulerSettings
        The scheduler daemon.
    platform : PlatformSettings
        The platform's services.
    mesh : MeshSettings
        The mesh.
    coordination : CoordinationSettings
        Leases, promises and the journal.
    logging : LoggingSettings
        Logs.
    """

    instance_id: str = attrs.field(validator=_NAME)
    data_centre: str = attrs.field(validator=_NAME)
    rack: str = attrs.field(default="", validator=_NAME_OR_EMPTY)
    advertise_ip: str = attrs.field(validator=_IP)
    entry: EntrySettings = attrs.field(factory=EntrySettings)
    scheduler: SchedulerSettings = attrs.field(factory=SchedulerSettings)
    platform: PlatformSettings
    mesh: MeshSettings = attrs.field(factory=MeshSettings)
    coordination: CoordinationSettings = attrs.field(
        factory=CoordinationSettings
    )
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
