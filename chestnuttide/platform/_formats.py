"""Decoding of the JSON documents of callers, operators and workers."""

import collections.abc
import functools
import hashlib
import re
import typing

import attrs

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.platform import _documents
from chestnuttide import workloads

# The rack of a worker is one of its labels, for example "r1-2".
_RACK_LABEL = re.compile(r"r\d+-\d+")

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_MAX_PAYLOAD_BYTES = 4000
_MAX_STEPS = 256
_MAX_TASKS = 20_000

# A worker's id is sent as a header, so it has no spaces or control characters.
_WORKER_ID = re.compile(r"[!-~]{1,200}")

# Header of callers' requests that holds the key of their workspace.
KEY_HEADER = "X-Api-Key"

# A queue index: by host, the lengths of its prefixes, longest first, and the
# queue of each prefix.
_QueueIndex: typing.TypeAlias = dict[
    str, tuple[tuple[int, ...], dict[str, workloads.Queue]]
]


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
    workspaces : tuple of Workspace or None
        The workspaces; None if the deployment has none, and then no call
        needs a key.
    keys : dict of bytes to str
        Workspace of each key in force, by `digest_key`.
    index : dict
        The queues by host and prefix, for `find_queue`.
    """

    version: int
    queues: tuple[workloads.Queue, ...]
    services: tuple[str, ...]
    max_body_bytes: int = 262_144
    workspaces: tuple[workloads.Workspace, ...] | None = None
    keys: dict[bytes, str] = attrs.field(factory=dict, repr=False)
    index: _QueueIndex = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(
            lambda config: _index_queues(config.queues), takes_self=True
        ),
    )


def _index_queues(
    queues: collections.abc.Iterable[workloads.Queue],
) -> _QueueIndex:
    by_host: dict[str, dict[str, workloads.Queue]] = {}
    for queue in queues:
        by_host.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
    return {
        host: (tuple(sorted(set(map(len, prefixes)), reverse=True)), prefixes)
        for host, prefixes in by_host.items()
    }


def find_queue(
    config: ClusterConfig, host: str, path: str
) -> workloads.Queue | None:
    """Return the queue with this host and the longest matching prefix.

    The work grows with the number of different lengths of prefixes, not with
    the number of queues.
    """
    name = host.rpartition(":")[0] if ":" in host else host
    lengths, prefixes = config.index.get(name.lower(), ((), {}))
    for length in lengths:
        queue = prefixes.get(path[:length])
        if queue is not None:
            return queue
    return None


def digest_key(key: str) -> bytes:
    """Return the digest under which a configuration lists a key.

    A table of digests may be searched with ordinary comparisons: how long they
    take depends on the digest, which a caller can't choose byte by byte.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


def decode_config(
    value: bytes, *, known_version: int = -1
) -> ClusterConfig | None:
    """Return the configuration stored under the key ``op/config``.

    Parameters
    ----------
    value : bytes
        The document.
    known_version : int
        Version that is known already; None is returned for a document that
        is not newer, and the rest of it is not read.

    Raises
    ------
    errors.ProtocolError
        If the document is invalid.
    """
    with errors.decoding(
        "The configuration",
        "Compare op/config with the operator documentation.",
    ):
        document = _documents.parse_object(value)
        version = _documents.read_integer(
            document, "version", low=0, high=_documents.MAX_COUNTER
        )
        if version <= known_version:
            return None
        limits = _documents.as_object(document.get("limits") or {}, "limits")
        workspaces, keys = _decode_workspaces(document)
        queues = [
            _decode_queue(_documents.as_object(route, "a route"))
            for route in _documents.read_list(document, "routes")
        ]
        return ClusterConfig(
            version=version,
            queues=tuple(sorted(queues, key=lambda queue: -len(queue.prefix))),
            services=tuple(
                _documents.read_text(
                    _documents.as_object(service, "a service"), "name"
                )
                for service in _documents.read_list(document, "services")
            ),
            max_body_bytes=_documents.read_integer(
                limits,
                "maxBodyBytes",
                low=0,
                high=_documents.MAX_AMOUNT,
                default=262_144,
            ),
            workspaces=workspaces,
            keys=keys,
        )


def _decode_workspaces(
    document: _documents.Document,
) -> tuple[tuple[workloads.Workspace, ...] | None, dict[bytes, str]]:
    """Return the workspaces and their keys; None for a document without.

    No message of an error contains a key.
    """
    if document.get("tenants") is None:
        return None, {}
    workspaces: dict[str, workloads.Workspace] = {}
    keys: dict[bytes, str] = {}
    for row in _documents.read_list(document, "tenants"):
        row = _documents.as_object(row, "a tenant")
        name = _documents.read_text(row, "name")
        if name in workspaces:
            raise ValueError(f"two tenants have the name {name!r}")
        workspaces[name] = workloads.Workspace(
            name=name,
            weight=_documents.read_number(row, "weight", default=1.0),
            cap=_decode_resources(
                _documents.as_object(row.get("cap") or {}, "cap")
            ),
        )
        for key in _documents.read_list(row, "apiKeys"):
            _documents.check_text(key, "a key", max_length=_documents.MAX_TEXT)
            if not key:
                raise ValueError(f"a key of {name!r} is empty")
            holder = keys.setdefault(digest_key(key), name)
            if holder != name:
                raise ValueError(f"{holder!r} and {name!r} have one key")
    return tuple(workspaces.values()), keys


def _decode_queue(document: _documents.Document) -> workloads.Queue:
    advice = document.get("advice")
    return workloads.Queue(
        name=_documents.read_text(document, "name"),
        host=_documents.read_text(document, "host"),
        prefix=_documents.read_text(document, "prefix"),
        service=_documents.read_text(document, "service"),
        priority=_documents.read_integer(
            document,
            "priority",
            low=-_documents.MAX_AMOUNT,
            high=_documents.MAX_AMOUNT,
            default=0,
        ),
        attempt_limit=_documents.read_integer(
            document,
            "maxAttempts",
            low=0,
            high=_documents.MAX_AMOUNT,
            default=1,
        ),
        stretch=_documents.read_number(document, "stretch", default=1.0),
        # The document calls it a target latency. The scheduler uses it as the
        # time that a job's objective allows in addition to its work.
        latency_objective_s=_documents.read_number(
            document, "targetLatencyMs", default=0
        )
        / 1000,
        advice=_decode_advice(_documents.as_object(advice, "advice"))
        if advice
        else None,
        public=bool(document.get("public")),
    )


def _decode_advice(document: _documents.Document) -> workloads.Advice:
    return workloads.Advice(
        decide_s=_documents.read_number(document, "decideMs") / 1000,
        per_worker_s=_documents.read_number(document, "eachMs") / 1000,
        validity_s=_documents.read_number(document, "validityMs") / 1000,
    )


def is_job_id(text: str) -> bool:
    """Return whether a text is a well-formed job id."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(
    body: bytes,
    *,
    job_id: str,
    queue: workloads.Queue,
    now_unix_s: float,
    workspace: str = "",
) -> workloads.JobSpec:
    """Return the job in a caller's request body.

    Raises
    ------
    errors.RefusedError
        If the body is not a valid job; the message names the field.
    """
    with errors.decoding(
        "The job",
        "Correct the named field and submit the job again.",
        functools.partial(errors.RefusedError, reason=errors.Reason.MALFORMED),
    ):
        document = _documents.parse_object(body)
        steps = tuple(
            _decode_step(_documents.as_object(step, f"step {number}"), number)
            for number, step in enumerate(
                _documents.read_list(document, "steps")
            )
        )
        if not 1 <= len(steps) <= _MAX_STEPS:
            raise ValueError(f"the number of steps is not 1 to {_MAX_STEPS}")
        if sum(step.count for step in steps) > _MAX_TASKS:
            raise ValueError(f"there are more than {_MAX_TASKS} tasks")
        return workloads.JobSpec(
            id=job_id,
            queue=queue,
            payload=_documents.read_text(
                document, "spec", default="", max_length=_MAX_PAYLOAD_BYTES
            ),
            steps=steps,
            accepted_unix_s=now_unix_s,
            occurrences=_documents.read_integer(
                document,
                "times",
                low=0,
                high=_documents.MAX_AMOUNT,
                default=0,
            ),
            first_due_unix_s=_documents.read_number(
                document, "firstMs", default=0
            )
            / 1000,
            interval_s=_documents.read_number(
                document, "intervalMs", default=0
            )
            / 1000,
            workspace=workspace,
        )


def _decode_step(
    document: _documents.Document, number: int
) -> workloads.StepSpec:
    return workloads.StepSpec(
        count=_documents.read_integer(
            document, "count", low=1, high=_MAX_TASKS
        ),
        need=_decode_resources(document),
        estimate_s=_documents.read_number(document, "estRuntimeMs", default=0)
        / 1000,
        after=tuple(
            _documents.check_integer(
                index, f"after of step {number}", low=0, high=number - 1
            )
            for index in _documents.read_list(document, "after")
        ),
        checkpointable=bool(document.get("checkpointable")),
        gang=bool(document.get("gang")),
        speculative=bool(document.get("speculative")),
        lasting=bool(document.get("longRunning")),
        filler=bool(document.get("fills")),
        same_rack=bool(document.get("sameRack")),
        label=_documents.read_text(document, "constraints", default=""),
        data_rack=_documents.read_text(document, "affinity", default=""),
        spread_limit=_documents.read_integer(
            document, "maxPerServer", low=0, high=_MAX_TASKS, default=0
        ),
        image=_documents.read_text(document, "image", default=""),
        latency_target_ms=_documents.read_number(
            document, "targetMs", default=0
        ),
        # Absent means no limit; 0 means that no task may be unavailable.
        unavailable_limit=_documents.read_integer(
            document,
            "mayMiss",
            low=-1,
            high=_documents.MAX_AMOUNT,
            default=-1,
        ),
    )


def _decode_resources(document: _documents.Document) -> model.Resources:
    amounts = {
        field: _documents.read_integer(
            document, name, low=0, high=_documents.MAX_AMOUNT, default=0
        )
        for field, name in (
            ("cpu_millis", "cpu"),
            ("memory_mb", "memMb"),
            ("accelerators", "gpu"),
        )
    }
    return model.Resources(**amounts)


def decode_worker(worker_id: str, value: bytes) -> workloads.WorkerReport:
    """Return the report that a worker wrote to the store.

    Raises
    ------
    errors.ProtocolError
        If the entry is malformed or was not written by a worker; it then
        names no usable worker.
    """
    with errors.decoding(
        f"The entry of worker {worker_id!r}",
        "Ignore the entry until the worker writes it again.",
    ):
        if not _WORKER_ID.fullmatch(worker_id):
            raise ValueError("the id has characters that no worker's id has")
        document = _documents.parse_object(value)
        state = document.get("state")
        if state not in ("ready", "draining"):
            raise ValueError("state is neither ready nor draining")
        labels = _documents.read_list(document, "labels")
        for label in labels:
            _documents.check_text(
                label, "a label", max_length=_documents.MAX_TEXT
            )
        return workloads.WorkerReport(
            id=worker_id,
            born_ms=_documents.read_integer(
                document,
                "born",
                low=0,
                high=_documents.MAX_MILLISECONDS,
                default=0,
            ),
            service=_documents.read_text(document, "service"),
            address=_documents.read_address(document, "addr"),
            data_centre=_documents.read_text(document, "zone"),
            capacity=_decode_resources(
                _documents.as_object(document.get("capacity"), "capacity")
            ),
            labels=frozenset(labels),
            rack=next(
                (label for label in labels if _RACK_LABEL.fullmatch(label)), ""
            ),
            draining=state == "draining",
            remaining_s=_documents.read_number(
                document, "remainingMs", default=0
            )
            / 1000,
        )
