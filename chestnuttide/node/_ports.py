"""The ports of an instance: callers, readiness and metrics."""

import collections.abc

import attrs
from tornado import httputil

from chestnuttide import mesh
from chestnuttide.node import _configuration
from chestnuttide.node import _dispatch
from chestnuttide.node import _intake
from chestnuttide.node import _intake_http
from chestnuttide.node import _intake_limits
from chestnuttide.node import _metrics
from chestnuttide.node import _responses
from chestnuttide.node import _settings

# Requests of the platform and of operators have no body.
SIDE_BODY_BYTES = 16_384

# Time that a caller may need over the configuration's limits: its bytes may be
# late, and so may this process.
TIMEOUT_MARGIN_S = 5.0

# Share of the descriptors for connections that have not said Hello.
UNKNOWN_PEERS_SHARE = 1 / 8

Handler = collections.abc.Callable[[httputil.HTTPServerRequest], None]


def make_ports(
    context: _responses.ApiContext,
    settings: _settings.NodeSettings,
    show_metrics: Handler,
) -> tuple[_intake_http.Port, _intake_http.Port, _intake_http.Port]:
    """Return the ports for callers, readiness and metrics.

    None of them listens yet.
    """
    limits = _intake_limits.make_limits(settings.capacity, settings.intake)
    side_limits = _intake_limits.make_side_limits(
        limits, body_bytes=SIDE_BODY_BYTES
    )

    def make(
        name: str,
        limits: _intake_limits.Limits,
        handle: Handler,
        refuse: collections.abc.Callable[
            [_intake.Reason], _intake_http.Refusal
        ],
    ) -> _intake_http.Port:
        return _intake_http.make_port(
            name=name,
            intake=_intake.Intake(
                limits=limits,
                count=_metrics.intake_counter(context.metrics, name),
            ),
            header_bytes=settings.intake.header_bytes,
            handle=handle,
            refuse=refuse,
        )

    def is_ready(request: httputil.HTTPServerRequest) -> None:
        ready = _configuration.is_ready(context.session)
        write_response(
            request, 200 if ready else 503, b"{}", "application/json"
        )

    callers = make(
        "callers",
        limits,
        _dispatch.make_callback(context),
        lambda reason: _dispatch.refuse_unread(context, reason),
    )
    follow_config(callers, context, settings.intake)
    return (
        callers,
        make("readiness", side_limits, is_ready, _refuse),
        make("metrics", side_limits, show_metrics, _refuse),
    )


def make_mesh_limits(capacity: _settings.CapacitySettings) -> mesh.Limits:
    """Return the bounds of the mesh port.

    All peers may connect at once when instances start.
    """
    sockets = capacity.max_files - _intake_limits.FILES_RESERVE
    return mesh.Limits(unknown_peers=int(sockets * UNKNOWN_PEERS_SHARE))


def follow_config(
    port: _intake_http.Port,
    context: _responses.ApiContext,
    settings: _settings.IntakeSettings,
) -> None:
    """Make a port's limits follow the configuration.

    Where the configuration gives callers more time or larger headers than the
    settings, it applies; a margin is added to its times.
    """
    applied = None

    def refresh() -> None:
        nonlocal applied
        config = context.session.config
        if config is applied or config is None:
            return
        applied = config
        port.intake.limits = attrs.evolve(
            port.intake.limits,
            body_bytes=config.max_body_bytes,
            header_s=max(
                settings.header_s, config.header_timeout_s + TIMEOUT_MARGIN_S
            ),
            idle_s=max(
                settings.idle_s, config.idle_timeout_s + TIMEOUT_MARGIN_S
            ),
        )
        port.server.conn_params.max_header_size = max(
            settings.header_bytes, config.max_header_bytes
        )

    port.refresh = refresh


def _refuse(reason: _intake.Reason) -> _intake_http.Refusal:
    status = 413 if reason == _intake.Reason.TOO_LARGE else 503
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    return status, headers, b"{}"


def write_response(
    request: httputil.HTTPServerRequest,
    status: int,
    body: bytes,
    content_type: str,
) -> None:
    """Answer a request; with 503 if the answer has no room."""
    if _intake_http.may_answer(request, len(body)) is not None:
        status, body, content_type = 503, b"{}", "application/json"
    request.connection.write_headers(
        httputil.ResponseStartLine("HTTP/1.1", status, ""),
        httputil.HTTPHeaders(
            {
                "Content-Type": content_type,
                "Content-Length": str(len(body)),
            }
        ),
        body,
    )
    request.connection.finish()


def list_rows(
    ports: collections.abc.Iterable[_intake_http.Port],
    network: mesh.Network,
) -> list[dict[str, object]]:
    """Return the rows of the operators' page, one a port."""
    rows = [_intake.describe(port.name, port.intake) for port in ports]
    rows.append(
        {
            "port": "mesh",
            "connections": len(network.connections),
            "without_hello": len(network.unknown),
            "without_hello_limit": network.limits.unknown_peers,
            "reasons": {"connections": network.traffic.unknown_ended},
        }
    )
    return rows
