"""Value types shared by all packages of the scheduler."""

from chestnuttide.model import _addresses
from chestnuttide.model import _instances
from chestnuttide.model import _jobs
from chestnuttide.model import _requests
from chestnuttide.model import _resources
from chestnuttide.model import _shards

Answer = _requests.Answer
Attempt = _jobs.Attempt
AttemptReport = _jobs.AttemptReport
CLOCK_SKEW_S = _jobs.CLOCK_SKEW_S
Instance = _instances.Instance
InstanceKind = _instances.InstanceKind
InstanceState = _instances.InstanceState
Job = _jobs.Job
JobKind = _jobs.JobKind
JobState = _jobs.JobState
MAX_PORT = _addresses.MAX_PORT
Request = _requests.Request
Resources = _resources.Resources
START_VALID_S = _jobs.START_VALID_S
TaskState = _jobs.TaskState
ZERO = _resources.ZERO
add = _resources.add
fits = _resources.fits
is_address = _addresses.is_address
is_ip = _addresses.is_ip
is_pool = _shards.is_pool
pool_shard = _shards.pool_shard
pool_shards = _shards.pool_shards
request_shard = _shards.request_shard
service_of = _shards.service_of
service_shards = _shards.service_shards
subtract = _resources.subtract
target_shard = _shards.target_shard

__all__ = [
    "Answer",
    "Attempt",
    "AttemptReport",
    "CLOCK_SKEW_S",
    "Instance",
    "InstanceKind",
    "InstanceState",
    "Job",
    "JobKind",
    "JobState",
    "MAX_PORT",
    "Request",
    "Resources",
    "START_VALID_S",
    "TaskState",
    "ZERO",
    "add",
    "fits",
    "is_address",
    "is_ip",
    "is_pool",
    "pool_shard",
    "pool_shards",
    "request_shard",
    "service_of",
    "service_shards",
    "subtract",
    "target_shard",
]
