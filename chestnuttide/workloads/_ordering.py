"""Order in which a planning round considers waiting jobs."""

import collections
import collections.abc
import functools
import heapq

from chestnuttide import model
from chestnuttide.workloads import _free_capacity
from chestnuttide.workloads import _state
from chestnuttide import workspaces

# Level from which a workspace has its share: just under 1, so that one that
# uses exactly its share does not come before one that uses less.
FULL_LEVEL = 0.999

# Parts of `urgency` that come before the workspace's share: trials come last,
# and long-running tasks first.
_BEFORE_SHARE = 2


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
        _waits_since(job) + (job.objective_s or queue.latency_objective_s),
    )


def _waits_since(job: _state.Job) -> float:
    """Return the time from which a job's place in its queue counts.

    That of a schedule counts from the release of what waits. Its acceptance
    may be weeks ago, and would put a backlog before all other jobs.
    """
    if not job.spec.occurrences:
        return job.accepted_at
    return min(
        (each.idle_since for each in job.steps.values() if each.waiting),
        default=job.accepted_at,
    )


def in_turn(
    view: _free_capacity.CapacityView,
    jobs: collections.abc.Iterable[_state.Job],
) -> collections.abc.Iterator[_state.Job]:
    """Yield jobs in the order in which they are planned.

    Jobs of workspaces that use more than their share of all capacity come
    after those of the others, and among themselves by how far they are over
    it. The level of a workspace rises while its jobs are placed, so that a
    round that finds much room does not give it to one workspace. While there
    is room for all, the order decides nothing.
    """
    ordered = sorted(jobs, key=functools.partial(urgency, view))
    if view.caps is None or view.caps.shares is None:
        yield from ordered
        return
    waiting: dict[str, collections.deque[tuple[int, _state.Job]]] = {}
    for turn, job in enumerate(ordered):
        if any(step.waiting for step in job.steps.values()):
            jobs_of = waiting.setdefault(
                job.spec.workspace, collections.deque()
            )
            jobs_of.append((turn, job))
    # Keys of the heap are unique, because turns are.
    heap = [_key(view, name, jobs_of[0]) for name, jobs_of in waiting.items()]
    heapq.heapify(heap)
    while heap:
        *_, name = heap[0]
        _, job = waiting[name].popleft()
        yield job
        if waiting[name]:
            heapq.heapreplace(heap, _key(view, name, waiting[name][0]))
        else:
            heapq.heappop(heap)


def over_share(view: _free_capacity.CapacityView) -> set[str]:
    """Return the workspaces that use more than their share."""
    if view.caps is None or view.caps.shares is None:
        return set()
    return {
        name
        for name in view.caps.usage.used
        if _level(view, name) > FULL_LEVEL
    }


def _key(
    view: _free_capacity.CapacityView,
    workspace: str,
    head: tuple[int, _state.Job],
) -> tuple[object, ...]:
    turn, job = head
    level = _level(view, workspace)
    return (
        *urgency(view, job)[:_BEFORE_SHARE],
        max(0.0, level - FULL_LEVEL),
        turn,
        workspace,
    )


def _level(view: _free_capacity.CapacityView, workspace: str) -> float:
    used = view.caps.usage.used.get(workspace, model.ZERO)
    return workspaces.level(view.caps.shares, workspace, used)
