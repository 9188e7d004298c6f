"""Prometheus metrics of a daemon."""

import typing

import aioprometheus
from aioprometheus import collectors
import attrs

from chestnuttide import errors

# The p99 target for a placement decision is 1 ms, so the buckets start at
# 50 us.
PLACEMENT_BUCKETS_S: typing.Final = (
    0.00005,
    0.0001,
    0.00025,
    0.0005,
    0.001,
    0.0025,
    0.01,
    0.1,
)

# Waiting and request times range up to the request limits of the services.
REQUEST_BUCKETS_S: typing.Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

STORE_CALL_KINDS: typing.Final = (
    "get",
    "range",
    "write",
    "delete",
    "lease_grant",
    "lease_renew",
    "lease_revoke",
    "watch",
)

MESH_DIRECTIONS: typing.Final = ("sent", "received")
MESH_DROP_REASONS: typing.Final = ("unmatched", "duplicate")


@attrs.frozen(kw_only=True, slots=True)
class Metrics:
    """The metrics of one daemon.

    Attributes
    ----------
    registry : Registry
        Registry of all metrics, for `render`.
    refusals : Counter
        ``chestnuttide_refusals_total{reason}``.
    retries : Counter
        ``chestnuttide_retries_total{reason}``.
    queue_length : Gauge
        ``chestnuttide_queue_length{queue}``, number of waiting entries.
    shards_owned : Gauge
        ``chestnuttide_shards_owned``.
    config_version : Gauge
        ``chestnuttide_config_version``.
    placement_seconds : Histogram
        ``chestnuttide_placement_seconds``, duration of one placement
        decision.
    wait_seconds : Histogram
        ``chestnuttide_wait_seconds{work,urgent}``, time from arrival to the
        first dispatch or start; ``work`` is ``request`` or ``task``.
    request_seconds : Histogram
        ``chestnuttide_request_seconds``, time from a request's arrival to
        its response.
    mesh_bytes : Counter
        ``chestnuttide_mesh_bytes_total{direction}``; ``direction`` is
        ``sent`` or ``received``.
    mesh_dropped : Counter
        ``chestnuttide_mesh_dropped_total{reason}``, dropped messages;
        ``reason`` is ``unmatched`` or ``duplicate``.
    store_calls : Counter
        ``chestnuttide_store_calls_total{kind}``.
    """

    registry: collectors.Registry
    refusals: aioprometheus.Counter
    retries: aioprometheus.Counter
    queue_length: aioprometheus.Gauge
    shards_owned: aioprometheus.Gauge
    config_version: aioprometheus.Gauge
    placement_seconds: aioprometheus.Histogram
    wait_seconds: aioprometheus.Histogram
    request_seconds: aioprometheus.Histogram
    mesh_bytes: aioprometheus.Counter
    mesh_dropped: aioprometheus.Counter
    store_calls: aioprometheus.Counter


def make_metrics() -> Metrics:
    """Return the metrics of a daemon in a new registry.

    The series of all known label values start at 0, so that rates include
    the first event.
    """
    registry = collectors.Registry()

    def counter(
        name: str, doc: str, label: str, values: typing.Iterable[str]
    ) -> aioprometheus.Counter:
        new_counter = aioprometheus.Counter(
            f"chestnuttide_{name}_total", doc, registry=registry
        )
        for value in values:
            new_counter.set({label: str(value)}, 0)
        return new_counter

    def gauge(name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            f"chestnuttide_{name}", doc, registry=registry
        )

    def histogram(
        name: str, doc: str, buckets: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"chestnuttide_{name}", doc, registry=registry, buckets=buckets
        )

    metrics = Metrics(
        registry=registry,
        refusals=counter(
            "refusals",
            "Requests, jobs and patches refused, by reason.",
            "reason",
            errors.Reason,
        ),
        retries=counter(
            "retries",
            "Attempts made again, by reason.",
            "reason",
            errors.RetryReason,
        ),
        queue_length=gauge("queue_length", "Entries that wait, by queue."),
        shards_owned=gauge("shards_owned", "Shards that this daemon owns."),
        config_version=gauge(
            "config_version", "Version of the configuration in force."
        ),
        placement_seconds=histogram(
            "placement_seconds",
            "Seconds that one placement decision takes.",
            PLACEMENT_BUCKETS_S,
        ),
        wait_seconds=histogram(
            "wait_seconds",
            "Seconds from arrival to the first dispatch or start.",
            REQUEST_BUCKETS_S,
        ),
        request_seconds=histogram(
            "request_seconds",
            "Seconds from a request's arrival to its answer.",
            REQUEST_BUCKETS_S,
        ),
        mesh_bytes=counter(
            "mesh_bytes",
            "Bytes on mesh connections, by direction.",
            "direction",
            MESH_DIRECTIONS,
        ),
        mesh_dropped=counter(
            "mesh_dropped",
            "Mesh messages dropped, by reason.",
            "reason",
            MESH_DROP_REASONS,
        ),
        store_calls=counter(
            "store_calls",
            "Calls to the store, by kind.",
            "kind",
            STORE_CALL_KINDS,
        ),
    )
    metrics.shards_owned.set({}, 0)
    metrics.config_version.set({}, 0)
    return metrics


def count_refusal(metrics: Metrics, reason: errors.Reason) -> None:
    """Count one refusal."""
    metrics.refusals.inc({"reason": reason.value})


def count_retry(metrics: Metrics, reason: errors.RetryReason) -> None:
    """Count one retry."""
    metrics.retries.inc({"reason": reason.value})


def observe_wait(
    metrics: Metrics, work: str, seconds: float, *, urgent: bool
) -> None:
    """Record the waiting time of a ``request`` or a ``task``."""
    labels = {"work": work, "urgent": "true" if urgent else "false"}
    metrics.wait_seconds.observe(labels, seconds)


def count_store_call(metrics: Metrics, kind: str) -> None:
    """Count one call to the store; `kind` is one of `STORE_CALL_KINDS`."""
    metrics.store_calls.inc({"kind": kind})


def render(registry: collectors.Registry) -> tuple[bytes, str]:
    """Return the metrics in the Prometheus text format.

    Parameters
    ----------
    registry : Registry
        Registry of the metrics, `Metrics.registry`.

    Returns
    -------
    tuple of bytes and str
        The response body and its content type.
    """
    content, headers = aioprometheus.render(registry, [])
    return content, headers["Content-Type"]
