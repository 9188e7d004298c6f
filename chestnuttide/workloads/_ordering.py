"""Order in which a planning round considers waiting jobs."""

from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads import _state


def urgency(
    view: _free_capacity.CapacityView, job: _state.Job
) -> tuple[bool, bool, bool, int, bool, float]:
    """Return a job's sort key; jobs with long-running tasks come first.

    They are few, and a long-running task is unavailable for as long as it
    waits, however busy the service is. Jobs with a unit that needs a trial
    of its own come last: most of them fail, and each holds a worker.

    When more work waits than the service has room for, jobs that can no
    longer end within their worth go behind all others, and those that can
    only end late behind the others of their priority. Otherwise a backlog
    that nobody waits for any more would make every later job late, too. Both
    start as soon as there is room that no other job takes.
    """
    queue = job.spec.queue
    return (
        job.spec.id in view.trials.lone_jobs,
        not job.is_long_running,
        job.spec.id in view.past_worth,
        queue.priority,
        job.spec.id in view.past_objective,
        job.accepted_at + (job.objective_s or queue.latency_objective_s),
    )
