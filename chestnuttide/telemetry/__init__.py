"""JSON logging and Prometheus metrics."""

from chestnuttide.telemetry import _logs
from chestnuttide.telemetry import _metrics

Metrics = _metrics.Metrics
configure_bounded_logging = _logs.configure_bounded_logging
configure_logging = _logs.configure_logging
count_refusal = _metrics.count_refusal
count_retry = _metrics.count_retry
count_store_call = _metrics.count_store_call
make_logger = _logs.make_logger
make_metrics = _metrics.make_metrics
observe_wait = _metrics.observe_wait
render = _metrics.render

__all__ = [
    "Metrics",
    "configure_bounded_logging",
    "configure_logging",
    "count_refusal",
    "count_retry",
    "count_store_call",
    "make_logger",
    "make_metrics",
    "observe_wait",
    "render",
]
