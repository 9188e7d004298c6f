"""Paths and field names of the HTTP API for callers and operators.

The commands take all names in requests and responses from this module.
"""

import typing
import urllib.parse

CONFIG_PATH: typing.Final = "/v1/config"
CONFIG_HISTORY_PATH: typing.Final = "/v1/config/history"
CONFIG_PATCHES_PATH: typing.Final = "/v1/config/patches"
JOBS_PATH: typing.Final = "/v1/jobs"
STATUS_PATH: typing.Final = "/v1/status"

# Refusals, as HTTP error responses:
# {"error": {"code", "message", "remedy", "run_state", "details"}}.
ERROR: typing.Final = "error"
CODE: typing.Final = "code"
MESSAGE: typing.Final = "message"
REMEDY: typing.Final = "remedy"
RUN_STATE: typing.Final = "run_state"
DETAILS: typing.Final = "details"

# Configuration: {"version", "document"} and {"head", "patches": [...]}.
VERSION: typing.Final = "version"
DOCUMENT: typing.Final = "document"
PATCHES: typing.Final = "patches"
BASE: typing.Final = "base"
PATCH: typing.Final = "patch"
AUTHOR: typing.Final = "author"

# Jobs: {"jobs": [...]}; each job is an object with at least id and state.
JOBS: typing.Final = "jobs"
ID: typing.Final = "id"
STATE: typing.Final = "state"
TEAM: typing.Final = "team"
TASKS: typing.Final = "tasks"
TASKS_SUCCEEDED: typing.Final = "tasks_succeeded"
JOB_COLUMNS: typing.Final = (
    ID,
    "kind",
    TEAM,
    STATE,
    TASKS,
    "tasks_waiting",
    "tasks_running",
    TASKS_SUCCEEDED,
)
SUCCEEDED_STATE: typing.Final = "succeeded"
FINAL_JOB_STATES: typing.Final = (SUCCEEDED_STATE, "failed", "cancelled")

# Requests to services.
URGENT: typing.Final = "urgent"
IDEMPOTENT: typing.Final = "idempotent"
DEADLINE_UNIX_MS: typing.Final = "deadline_unix_ms"
PAYLOAD: typing.Final = "payload"

# Status: each section is a list of objects, shown as a table with these
# columns. "shards" and "queues" have one object per shard.
INSTANCES: typing.Final = "instances"
INSTANCE_ID: typing.Final = "instance_id"
STATUS_COLUMNS: typing.Final[dict[str, tuple[str, ...]]] = {
    INSTANCES: (INSTANCE_ID, "data_centre", STATE, "config_version"),
    "shards": ("shard", "owner", "epoch"),
    "workers": (
        "worker_id",
        STATE,
        "ejected",
        "cpu_millis",
        "cpu_millis_reserved",
        "memory_mb",
        "memory_mb_reserved",
        "accelerators",
        "accelerators_reserved",
    ),
    "queues": ("shard", "waiting", "running"),
}
DRAINED_STATES: typing.Final = ("gone", "stopped")


def job_path(job_id: str) -> str:
    """Return the path of a job."""
    return f"{JOBS_PATH}/{_quote(job_id)}"


def requests_path(service: str) -> str:
    """Return the path for posting requests to a service."""
    return f"/v1/services/{_quote(service)}/requests"


def drain_path(instance_id: str) -> str:
    """Return the path for draining an instance."""
    return f"/v1/instances/{_quote(instance_id)}/drain"


def _quote(segment: str) -> str:
    return urllib.parse.quote(segment, safe="")
