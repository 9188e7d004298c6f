"""Settings of an instance, read from a file of JSON with comments."""

import difflib
import os
import pathlib
import typing

import attrs
import cattrs
import jsonc

from chestnuttide import errors

SETTINGS_VARIABLE: typing.Final = "CHESTNUTTIDE_CONFIG"

# A shorter bound could not be kept across one slow answer of the store.
MIN_REVOKE_MS: typing.Final = 1000.0


@attrs.frozen(kw_only=True, slots=True)
class Listen:
    """Addresses that an instance listens on, each ``ip:port``.

    Attributes
    ----------
    callers : str
        Address for callers' requests.
    readiness : str
        Address for the balancer's readiness check.
    """

    callers: str
    readiness: str


@attrs.frozen(kw_only=True, slots=True)
class StoreSettings:
    """The platform's metadata store.

    Attributes
    ----------
    address : str
        ``ip:port``.
    min_lease_ms : int
        Shortest lease that the store grants, in milliseconds.
    """

    address: str
    min_lease_ms: int = 1000


@attrs.frozen(kw_only=True, slots=True)
class BoundSettings:
    """Time limits set by the deployment.

    Attributes
    ----------
    worker_lease_max_ms : float
        Longest lease of a run on a worker, in milliseconds.
    stop_ms : float
        Longest time that a run takes to stop, in milliseconds.
    status_s : float
        Time for which callers can query an ended job's state, in seconds.
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    worker_heartbeat_ms : float
        Interval at which a worker writes its entry, in milliseconds.
    strict_revoke : bool
        Whether an instance that cannot confirm its configuration stops
        serving calls with keys.
    revoke_ms : float
        Time after a withdrawal's acknowledgement in which a key may still be
        accepted, in milliseconds.
    """

    worker_lease_max_ms: float = 6000.0
    stop_ms: float = 900.0
    status_s: float = 120.0
    grace_s: float = 6.0
    worker_heartbeat_ms: float = 1500.0
    # The template gives null where the deployment has no such bound.
    strict_revoke: bool | None = attrs.field(
        default=False, converter=attrs.converters.default_if_none(False)
    )
    revoke_ms: float | None = attrs.field(
        default=5000.0, converter=attrs.converters.default_if_none(5000.0)
    )


@attrs.frozen(kw_only=True, slots=True)
class CapacitySettings:
    """What the instance may use of its machine.

    Attributes
    ----------
    core_share : float
        Share of one core's time.
    core_speed : float
        Speed of the core; 1 is the platform's reference core.
    link_mbps : float
        Bandwidth of the network link, in megabits per second.
    """

    core_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0

    @property
    def cores(self) -> float:
        """Processor time of the instance, in reference cores."""
        return self.core_share * self.core_speed


@attrs.frozen(kw_only=True, slots=True)
class NodeSettings:
    """All settings of an instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    data_centre : str
        Data centre of the instance.
    ip : str
        IP address of the instance.
    listen : Listen
        Addresses that it listens on.
    mesh_ports : tuple of (int, int)
        First and last port for connections between instances.
    store : StoreSettings
        The metadata store.
    advisor : str or None
        Address of the policy advisor.
    bounds : BoundSettings
        Time limits set by the deployment.
    capacity : CapacitySettings
        What the instance may use of its machine.
    metrics_port : int
        Port of the metrics page.
    log_level : str
        Lowest severity that is logged.
    log_lines_per_s : int
        Maximum log lines per second; further lines are counted and dropped.
    """

    instance: str
    data_centre: str
    ip: str
    listen: Listen
    mesh_ports: tuple[int, int]
    store: StoreSettings
    advisor: str | None = None
    bounds: BoundSettings = BoundSettings()
    capacity: CapacitySettings = CapacitySettings()
    metrics_port: int = 9464
    log_level: str = "info"
    log_lines_per_s: int = 400


def load_settings(path: str | None = None) -> NodeSettings:
    """Load the settings from a file, by default `SETTINGS_VARIABLE`'s.

    Raises
    ------
    errors.SettingsError
        If the file cannot be read, names an unknown field or has a value out
        of range. The message names the file, the field and a remedy.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = jsonc.loads(text)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            message=f"The settings file {path!r} cannot be read: {error}.",
            remedy=f"Set {SETTINGS_VARIABLE} to a file of JSON with comments.",
        ) from error
    _check_names(path, "", document, NodeSettings)
    try:
        settings = cattrs.Converter(forbid_extra_keys=True).structure(
            document, NodeSettings
        )
    except Exception as error:
        details = "; ".join(cattrs.transform_error(error))
        raise errors.SettingsError(
            message=f"{path}: {details}.",
            remedy="Correct the named field; see docs/platform.md.",
        ) from error
    _check_ranges(path, settings)
    return settings


def _check_names(path: str, prefix: str, document: object, kind: type) -> None:
    if not isinstance(document, dict):
        return
    known = {field.name: field.type for field in attrs.fields(kind)}
    for name, value in document.items():
        if name not in known:
            near = difflib.get_close_matches(name, known, 1)
            hint = f" Did you mean {near[0]!r}?" if near else ""
            raise errors.SettingsError(
                message=f"{path}: unknown field {prefix}{name}.{hint}",
                remedy="Remove or correct the field.",
            )
        if attrs.has(known[name]):
            _check_names(path, f"{prefix}{name}.", value, known[name])


def _check_ranges(path: str, settings: NodeSettings) -> None:
    checks = {
        "mesh_ports": 0
        < settings.mesh_ports[0]
        <= settings.mesh_ports[1]
        < 65536,
        "bounds.worker_lease_max_ms": settings.bounds.worker_lease_max_ms
        >= 1000,
        "bounds.grace_s": settings.bounds.grace_s > 0,
        "bounds.revoke_ms": settings.bounds.revoke_ms >= MIN_REVOKE_MS,
        "bounds.worker_heartbeat_ms": settings.bounds.worker_heartbeat_ms > 0,
        "capacity.core_share": settings.capacity.core_share > 0,
        "capacity.core_speed": settings.capacity.core_speed > 0,
        "capacity.link_mbps": settings.capacity.link_mbps > 0,
        "store.min_lease_ms": settings.store.min_lease_ms > 0,
        "log_lines_per_s": settings.log_lines_per_s > 0,
        "log_level": settings.log_level
        in ("debug", "info", "warning", "error"),
    }
    for name, valid in checks.items():
        if not valid:
            raise errors.SettingsError(
                message=f"{path}: {name} is out of range.",
                remedy="Compare the value with docs/platform.md.",
            )


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into the IP address and the port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
