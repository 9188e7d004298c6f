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
# The least that a daemon starts with: about twice what one in a small cell
# uses, and descriptors for the store, some peers and some workers.
MIN_MEMORY_MB: typing.Final = 96
MIN_FILES: typing.Final = 400


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
    value_bytes : int
        Largest value that the store takes.
    """

    address: str
    min_lease_ms: int = 1000
    value_bytes: int = 1_048_576


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
    memory_mb : float
        Memory, in MiB; a process that exceeds it is killed.
    max_files : int
        File descriptors.
    """

    core_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 256.0
    max_files: int = 2048

    @property
    def cores(self) -> float:
        """Processor time of the instance, in reference cores."""
        return self.core_share * self.core_speed


@attrs.frozen(kw_only=True, slots=True)
class IntakeSettings:
    """Bounds on callers' connections and requests.

    The configuration's limits apply where they allow more. Memory and the
    number of connections follow from `CapacitySettings`.

    Attributes
    ----------
    connections_per_peer : int
        Most connections from one address; 0 sets no bound but that for all.
    header_bytes : int
        Largest header of a request.
    body_bytes : int
        Largest body of a request while no configuration is known.
    header_s : float
        Longest time from a header's first byte to its end, in seconds.
    idle_s : float
        Longest time between requests of a connection, in seconds.
    body_grace_s : float
        Time in which a body has no minimum rate, in seconds.
    body_bytes_per_s : float
        Minimum average rate of a body after that.
    answer_s : float
        Longest time in which a caller leaves its answer unread, in seconds.
    """

    connections_per_peer: int = 0
    header_bytes: int = 32_768
    body_bytes: int = 262_144
    header_s: float = 15.0
    idle_s: float = 120.0
    body_grace_s: float = 30.0
    body_bytes_per_s: float = 4096.0
    answer_s: float = 30.0


@attrs.frozen(kw_only=True, slots=True)
class LearningSettings:
    """What is learned from ended runs.

    Attributes
    ----------
    run_times : bool
        Whether run times and worker speeds are learned and used. False takes
        estimates as they are and workers as equally fast.
    """

    run_times: bool = False


@attrs.frozen(kw_only=True, slots=True)
class LoadSettings:
    """Decisions under load; each is off unless it is asked for.

    Attributes
    ----------
    objective_order : bool
        Whether waiting jobs are ordered by their whole latency objective, and
        those that can no longer be of worth come last.
    admission : bool
        Whether a job that cannot end while it is of worth is refused.
    worker_speeds : bool
        Whether work that has no time to spare is kept off slow workers.
    """

    objective_order: bool = False
    admission: bool = False
    worker_speeds: bool = False


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
    intake : IntakeSettings
        Bounds on callers' connections and requests.
    learning : LearningSettings
        What is learned from ended runs.
    load : LoadSettings
        Decisions under load.
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
    intake: IntakeSettings = IntakeSettings()
    learning: LearningSettings = LearningSettings()
    load: LoadSettings = LoadSettings()
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
        converter = cattrs.Converter(forbid_extra_keys=True)
        converter.register_structure_hook(bool, _structure_switch)
        settings = converter.structure(document, NodeSettings)
    except Exception as error:
        details = "; ".join(cattrs.transform_error(error))
        raise errors.SettingsError(
            message=f"{path}: {details}.",
            remedy="Correct the named field; see docs/platform.md.",
        ) from error
    _check_ranges(path, settings)
    return settings


def _structure_switch(value: object, _: type) -> bool:
    # Any text would be true otherwise, also "false".
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


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
        "capacity.memory_mb": settings.capacity.memory_mb >= MIN_MEMORY_MB,
        "capacity.max_files": settings.capacity.max_files >= MIN_FILES,
        "intake.connections_per_peer": settings.intake.connections_per_peer
        >= 0,
        "intake.header_bytes": settings.intake.header_bytes >= 1024,
        "intake.body_bytes": settings.intake.body_bytes > 0,
        "intake.header_s": settings.intake.header_s > 0,
        "intake.idle_s": settings.intake.idle_s > 0,
        "intake.body_grace_s": settings.intake.body_grace_s > 0,
        "intake.body_bytes_per_s": settings.intake.body_bytes_per_s > 0,
        "intake.answer_s": settings.intake.answer_s > 0,
        "store.min_lease_ms": settings.store.min_lease_ms > 0,
        "store.value_bytes": settings.store.value_bytes > 0,
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
