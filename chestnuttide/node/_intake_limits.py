"""Bounds on what callers may make an instance hold, from its machine."""

import attrs

from chestnuttide.node import _settings

MEBIBYTE = 1024 * 1024

# Memory that the process needs without callers. A daemon in a small cell has
# 48 MiB; the rest is for jobs, workers and one body while it is decoded.
PROCESS_BYTES = 96 * MEBIBYTE

# Share of the other memory that is given to callers. The rest is for the
# kernel's buffers and for memory that is freed but not returned.
CALLERS_SHARE = 0.5

# Share of the callers' memory that is kept for their connections.
CONNECTIONS_SHARE = 0.5

# Memory of a connection: its objects, and bytes that were sent ahead.
CONNECTION_BYTES = 32 * 1024

# Smallest budget for bytes, so that single requests are always served.
MIN_BUDGET_BYTES = 4 * MEBIBYTE

# Descriptors that the platform keeps for files, and the share of the others
# that callers may use. The store, peers and workers need the rest.
FILES_RESERVE = 200
CALLERS_FILES_SHARE = 0.5


@attrs.frozen(kw_only=True, slots=True)
class Limits:
    """Bounds of a port.

    Attributes
    ----------
    budget_bytes : int
        Most bytes that are held for all connections together.
    connections, connections_per_peer : int
        Most connections in all and from one address.
    body_bytes : int
        Largest body of a request.
    header_s, idle_s : float
        Longest time for a header, and between requests, in seconds.
    body_grace_s : float
        Time in which a body has no minimum rate, in seconds.
    body_bytes_per_s : float
        Minimum rate of a body after that, on average.
    answer_s : float
        Longest time in which a caller reads nothing of its answer, in
        seconds.
    linger_s : float
        Longest time for which a refused body is read, in seconds.
    """

    budget_bytes: int
    connections: int
    connections_per_peer: int
    body_bytes: int
    header_s: float
    idle_s: float
    body_grace_s: float
    body_bytes_per_s: float
    answer_s: float
    linger_s: float = 2.0


def make_limits(
    capacity: _settings.CapacitySettings, intake: _settings.IntakeSettings
) -> Limits:
    """Return the bounds of the callers' port.

    The budget and the number of connections follow from the machine's memory
    and descriptors.
    """
    free = capacity.memory_mb * MEBIBYTE - PROCESS_BYTES
    for_callers = max(2 * MIN_BUDGET_BYTES, free * CALLERS_SHARE)
    for_connections = for_callers * CONNECTIONS_SHARE
    sockets = capacity.max_files - FILES_RESERVE
    connections = int(
        min(
            for_connections / CONNECTION_BYTES,
            sockets * CALLERS_FILES_SHARE,
        )
    )
    return Limits(
        budget_bytes=int(for_callers - for_connections),
        connections=connections,
        connections_per_peer=intake.connections_per_peer or connections,
        body_bytes=intake.body_bytes,
        header_s=intake.header_s,
        idle_s=intake.idle_s,
        body_grace_s=intake.body_grace_s,
        body_bytes_per_s=intake.body_bytes_per_s,
        answer_s=intake.answer_s,
    )


def make_side_limits(limits: Limits, *, body_bytes: int) -> Limits:
    """Return the bounds of a port for the platform: few and small requests."""
    return attrs.evolve(
        limits,
        budget_bytes=MIN_BUDGET_BYTES,
        connections=min(64, limits.connections),
        connections_per_peer=min(64, limits.connections),
        body_bytes=body_bytes,
    )
