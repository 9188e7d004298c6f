"""Values that every part of the system shares."""

from chestnuttide.model import _instances
from chestnuttide.model import _jobs
from chestnuttide.model import _requests
from chestnuttide.model import _resources

Answer = _requests.Answer
Attempt = _jobs.Attempt
AttemptReport = _jobs.AttemptReport
Instance = _instances.Instance
InstanceKind = _instances.InstanceKind
InstanceState = _instances.InstanceState
Job = _jobs.Job
JobKind = _jobs.JobKind
JobState = _jobs.JobState
Request = _requests.Request
Resources = _resources.Resources
TaskState = _jobs.TaskState
ZERO = _resources.ZERO
add = _resources.add
fits = _resources.fits
subtract = _resources.subtract

__all__ = [
    "Answer",
    "Attempt",
    "AttemptReport",
    "Instance",
    "InstanceKind",
    "InstanceState",
    "Job",
    "JobKind",
    "JobState",
    "Request",
    "Resources",
    "TaskState",
    "ZERO",
    "add",
    "fits",
    "subtract",
]
