"""Order in which a planning round considers waiting jobs."""

from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads import _state


def urgency(
    view: _free_capacity.CapacityView, job: _state.Job
) -> tuple[bool, bool, int, float]:
    """Return a job's sort key; jobs with long-running tasks come first.

    They are few, and a long-running task is unavailable for as long as it
    waits, however busy the service is. Jobs with a unit that needs a trial
    of its own come last: most of them fail, and each holds a worker.
    """
    queue = job.spec.queue
    return (
        job.spec.id in view.trials.lone_jobs,
        not job.is_long_running,
        queue.priority,
        job.accepted_at + queue.latency_objective_s,
    )
