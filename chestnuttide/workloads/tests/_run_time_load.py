"""Generated runs of one queue with estimates that are off."""

import collections.abc
import math
import random

import attrs

from chestnuttide.workloads import _run_times

# Jobs start at this interval on workers w0, w1, ..., one task on each.
JOB_INTERVAL_S = 0.2


@attrs.frozen(kw_only=True)
class Load:
    """A queue's jobs.

    Attributes
    ----------
    bias : function
        ``bias(job)`` is the actual by the estimated time of a job's tasks.
    job_spread, task_spread : float
        Standard deviations of the logarithms, by job and by task.
    tail_share, tail_factor : float
        Share of the tasks that run many times longer, and how many times.
    slowness : tuple of float
        Run time by that on a worker of speed 1, of each worker.
    slow_spell : function
        ``slow_spell(job, worker)`` is a further factor, 1 for none.
    width : int
        Tasks of a job.
    jobs : int
        Number of jobs.
    """

    bias: collections.abc.Callable[[int], float] = lambda job: 1.0
    job_spread: float = 0.0
    task_spread: float = 0.15
    tail_share: float = 0.03
    tail_factor: float = 7.0
    slowness: tuple[float, ...] = (1.0,) * 20
    slow_spell: collections.abc.Callable[[int, int], float] = (
        lambda job, worker: 1.0
    )
    width: int = 10
    jobs: int = 300


@attrs.define(kw_only=True)
class Errors:
    """Absolute errors of the logarithms of predicted times."""

    estimate: list[float] = attrs.field(factory=list)
    learned: list[float] = attrs.field(factory=list)


def play(times: _run_times.RunTimes, load: Load, seed: int = 1) -> Errors:
    """Learn from a load; return the errors of estimates and predictions.

    Half of a job's tasks are predicted before any of it ends, and half after
    the first half has ended.
    """
    rng = random.Random(seed)
    errors = Errors()
    key = ("", "q", 0)
    for job in range(load.jobs):
        now = job * JOB_INTERVAL_S
        factor = load.bias(job) * math.exp(rng.gauss(0.0, load.job_spread))
        chosen = rng.sample(range(len(load.slowness)), load.width)
        for half in (chosen[: load.width // 2], chosen[load.width // 2 :]):
            log = _run_times.predict_log(times, key, f"j{job}", now=now)
            for worker in half:
                ratio = (
                    factor
                    * math.exp(rng.gauss(0.0, load.task_spread))
                    * load.slowness[worker]
                    * load.slow_spell(job, worker)
                )
                if rng.random() < load.tail_share:
                    ratio *= load.tail_factor
                pace = times.speeds.workers.get(f"w{worker}")
                known = 0.0 if pace is None else pace.log_slowness
                errors.estimate.append(abs(math.log(ratio)))
                errors.learned.append(abs(math.log(ratio) - log - known))
                _run_times.record_sample(
                    times,
                    _run_times.Sample(
                        key=key,
                        job_id=f"j{job}",
                        ratio=ratio,
                        width=load.width,
                        worker_key=f"w{worker}",
                        machine=f"m{worker}",
                        labels=frozenset({"a"}),
                        log_slowness=known,
                        far=False,
                        now=now,
                    ),
                )
        if job % 5 == 0:
            _run_times.refresh(times, now=now)
    return errors
