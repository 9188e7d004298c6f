"""HTTP server for a daemon's metrics and health check."""

import tornado.httpserver
import tornado.web

from chestnuttide import telemetry


class _MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics."""

    def initialize(self, metrics: telemetry.Metrics) -> None:
        """Store the daemon's metrics; called by tornado."""
        self._metrics = metrics

    def get(self) -> None:
        """Respond in the Prometheus text format."""
        body, content_type = telemetry.render(self._metrics.registry)
        self.set_header("Content-Type", content_type)
        self.finish(body)


class _HealthHandler(tornado.web.RequestHandler):
    """Reports that the process responds."""

    def get(self) -> None:
        """Respond with status 200."""
        self.finish({"healthy": True})


def serve_metrics(
    metrics: telemetry.Metrics, *, ip: str, port: int
) -> tornado.httpserver.HTTPServer:
    """Serve ``/metrics`` and ``/healthz``.

    Parameters
    ----------
    metrics : Metrics
        The daemon's metrics.
    ip : str
        Address to listen on.
    port : int
        TCP port.

    Returns
    -------
    HTTPServer
        The running server.
    """
    application = tornado.web.Application(
        [
            ("/metrics", _MetricsHandler, {"metrics": metrics}),
            ("/healthz", _HealthHandler),
        ],
        log_function=lambda handler: None,
    )
    server = tornado.httpserver.HTTPServer(application)
    server.listen(port, address=ip)
    return server
