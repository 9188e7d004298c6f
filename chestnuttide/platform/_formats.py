"""Decoding of the JSON documents of callers, operators and workers."""

import json
import re

import attrs

from chestnuttide import errors
from chestnuttide import model
from chestnuttide import workloads

# The rack of a worker is one of its labels, for example "r1-2".
_RACK_LABEL = re.compile(r"r\d+-\d+")

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_MAX_PAYLOAD_BYTES = 4000
_MAX_STEPS = 256
_MAX_TASKS = 20_000


@attrs.frozen(kw_only=True, slots=True)
class ClusterConfig:
    """One version of the cluster configuration, written by an operator.

    Attributes
    ----------
    version : int
        Version number; newer versions have higher numbers.
    queues : tuple of Queue
        Queues, those with the longest path prefixes first.
    services : tuple of str
        Names of the services whose workers may be used.
    max_body_bytes : int
        Maximum size of the body of a caller's request.
    """

    version: int
    queues: tuple[workloads.Queue, ...]
    services: tuple[str, ...]
    max_body_bytes: int = 262_144


def decode_config(value: bytes) -> ClusterConfig:
    """Return the configuration stored under the key ``op/config``.

    Raises
    ------
    errors.ProtocolError
        If the document is invalid.
    """
    try:
        document = json.loads(value)
        limits = document.get("limits", {})
        queues = [_decode_queue(route) for route in document.get("routes", [])]
        services = document.get("services", [])
        return ClusterConfig(
            version=int(document["version"]),
            queues=tuple(sorted(queues, key=lambda queue: -len(queue.prefix))),
            services=tuple(service["name"] for service in services),
            max_body_bytes=int(limits.get("maxBodyBytes", 262_144)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.ProtocolError(
            message=f"The configuration is invalid: {error!r}.",
            remedy="Compare op/config with the operator documentation.",
        ) from error


def _decode_queue(document: dict[str, object]) -> workloads.Queue:
    advice = document.get("advice")
    return workloads.Queue(
        name=document["name"],
        host=document["host"],
        prefix=document["prefix"],
        service=document["service"],
        priority=int(document.get("priority", 0)),
        attempt_limit=int(document.get("maxAttempts", 1)),
        stretch=float(document.get("stretch", 1.0)),
        # The document calls it a target latency. The scheduler uses it as the
        # time that a job's objective allows in addition to its work.
        latency_objective_s=float(document.get("targetLatencyMs", 0)) / 1000,
        advice=None
        if not advice
        else workloads.Advice(
            decide_s=float(advice["decideMs"]) / 1000,
            per_worker_s=float(advice["eachMs"]) / 1000,
            validity_s=float(advice["validityMs"]) / 1000,
        ),
    )


def is_job_id(text: str) -> bool:
    """Return whether a text is a well-formed job id."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(
    body: bytes, *, job_id: str, queue: workloads.Queue, now_unix_s: float
) -> workloads.JobSpec:
    """Return the job in a caller's request body.

    Raises
    ------
    errors.RefusedError
        If the body is not a valid job; the message names the field.
    """
    try:
        document = json.loads(body)
        steps = tuple(
            _decode_step(step, number)
            for number, step in enumerate(document["steps"])
        )
        payload = document.get("spec", "")
        if not isinstance(payload, str):
            raise TypeError("spec is not a string")
        if len(payload.encode()) > _MAX_PAYLOAD_BYTES:
            raise ValueError(f"spec exceeds {_MAX_PAYLOAD_BYTES} bytes")
        if not 1 <= len(steps) <= _MAX_STEPS:
            raise ValueError(f"the number of steps must be 1 to {_MAX_STEPS}")
        if sum(step.count for step in steps) > _MAX_TASKS:
            raise ValueError(f"more than {_MAX_TASKS} tasks")
        return workloads.JobSpec(
            id=job_id,
            queue=queue,
            payload=payload,
            steps=steps,
            accepted_unix_s=now_unix_s,
            occurrences=int(document.get("times", 0)),
            first_due_unix_s=float(document.get("firstMs", 0)) / 1000,
            interval_s=float(document.get("intervalMs", 0)) / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.RefusedError(
            reason=errors.Reason.MALFORMED,
            message=f"The job is invalid: {error}.",
            remedy="Correct the named field and submit the job again.",
        ) from error


def _decode_step(
    document: dict[str, object], number: int
) -> workloads.StepSpec:
    count = int(document["count"])
    after = tuple(int(index) for index in document.get("after", ()))
    if count < 1:
        raise ValueError(f"count of step {number} is below 1")
    if any(not 0 <= index < number for index in after):
        raise ValueError(f"after of step {number} must name earlier steps")
    need = model.Resources(
        cpu_millis=int(document.get("cpu", 0)),
        memory_mb=int(document.get("memMb", 0)),
        accelerators=int(document.get("gpu", 0)),
    )
    if min(need.cpu_millis, need.memory_mb, need.accelerators) < 0:
        raise ValueError(
            f"step {number} requests a negative amount of a resource"
        )
    return workloads.StepSpec(
        count=count,
        need=need,
        estimate_s=float(document.get("estRuntimeMs", 0)) / 1000,
        after=after,
        checkpointable=bool(document.get("checkpointable")),
        gang=bool(document.get("gang")),
        speculative=bool(document.get("speculative")),
        lasting=bool(document.get("longRunning")),
        filler=bool(document.get("fills")),
        same_rack=bool(document.get("sameRack")),
        label=str(document.get("constraints") or ""),
        data_rack=str(document.get("affinity") or ""),
        spread_limit=int(document.get("maxPerServer", 0)),
        image=str(document.get("image") or ""),
        latency_target_ms=float(document.get("targetMs", 0)),
        # Absent means no limit; 0 means that no task may be unavailable.
        unavailable_limit=int(document.get("mayMiss", -1)),
    )


def decode_worker(worker_id: str, value: bytes) -> workloads.WorkerReport:
    """Return the report that a worker wrote to the store.

    Raises
    ------
    errors.ProtocolError
        If the entry is malformed or was not written by a worker; it then
        names no usable worker.
    """
    try:
        document = json.loads(value)
        state = document["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        for name in ("service", "addr", "zone"):
            if not isinstance(document[name], str) or not document[name]:
                raise TypeError(f"{name} is not a non-empty string")
        host, _, port = document["addr"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError("addr is not of the form host:port")
        capacity = document["capacity"]
        labels = document.get("labels", [])
        if not all(isinstance(label, str) for label in labels):
            raise TypeError("labels are not strings")
        return workloads.WorkerReport(
            id=worker_id,
            born_ms=int(document.get("born", 0)),
            service=document["service"],
            address=document["addr"],
            data_centre=document["zone"],
            capacity=model.Resources(
                cpu_millis=_decode_amount(capacity, "cpu"),
                memory_mb=_decode_amount(capacity, "memMb"),
                accelerators=_decode_amount(capacity, "gpu"),
            ),
            labels=frozenset(labels),
            rack=next(
                (label for label in labels if _RACK_LABEL.fullmatch(label)), ""
            ),
            draining=state == "draining",
            remaining_s=float(document.get("remainingMs", 0)) / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.ProtocolError(
            message=f"The entry of worker {worker_id} is invalid: {error}.",
            remedy="Ignore the entry until the worker writes it again.",
        ) from error


def _decode_amount(capacity: dict[str, object], name: str) -> int:
    amount = capacity.get(name, 0)
    if isinstance(amount, bool) or not isinstance(amount, int) or amount < 0:
        raise TypeError(f"capacity {name} is not a non-negative integer")
    return amount
