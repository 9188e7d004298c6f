"""What the runs of a pool show about run times and workers."""

import collections
import collections.abc
import math
import statistics
import typing

from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _specs
from chestnuttide.workloads import _state
from chestnuttide.workloads import _worker_health
from chestnuttide.workloads import _worker_speeds

# A run under way is a lower bound from this ratio of its time so far by the
# estimate. Earlier ones say nothing.
MIN_BOUND_RATIO: typing.Final = 0.25

_Bounds: typing.TypeAlias = dict[_run_times.KindKey, list[tuple[float, float]]]


def kind_of(run: _state.Run) -> _run_times.KindKey:
    """Return the kind of a run's task."""
    spec = run.job.spec
    return (spec.workspace, spec.queue.name, run.unit.key[1])


def is_far(step: _specs.StepSpec, worker: _state.Worker) -> bool:
    """Return whether a worker is off the rack of a step's data."""
    return bool(step.data_rack) and step.data_rack != worker.report.rack


def slowness_of(times: _run_times.RunTimes, worker: _state.Worker) -> float:
    """Return the logarithm of a worker's slowness."""
    pace = times.speeds.workers.get(worker.key)
    if pace is not None:
        return pace.log_slowness
    return _worker_speeds.prior_log_slowness(
        times.speeds,
        machine=worker.report.id,
        labels=_kind_labels(worker),
    )


def _kind_labels(worker: _state.Worker) -> frozenset[str]:
    """Return the labels that may tell a worker's kind, without its rack."""
    return worker.report.labels - {worker.report.rack}


def _pace_of(
    times: _run_times.RunTimes, worker: _state.Worker
) -> _worker_speeds.Pace:
    pace = times.speeds.workers.get(worker.key)
    if pace is None:
        pace = _worker_speeds.add_worker(
            times.speeds, worker.key, worker.report.id, _kind_labels(worker)
        )
    return pace


def record_end(
    pool: _state.Pool, run: _state.Run, result: str, *, now: float
) -> None:
    """Learn from the end of a run, before its unit changes.

    A fault in learning is counted and does not keep the run from ending.
    """
    if pool.run_times is None:
        return
    try:
        _record_end(pool, pool.run_times, run, result, now)
    except Exception:
        pool.run_times.counts["fault"] += 1


def _record_end(
    pool: _state.Pool,
    times: _run_times.RunTimes,
    run: _state.Run,
    result: str,
    now: float,
) -> None:
    """Learn from the end of a run.

    A run that resumed from a checkpoint, one whose start this owner did not
    see, and one without an end of its own are no full samples.
    """
    worker = pool.workers.get(run.worker_key)
    if worker is None:
        return
    step = run.job.spec.steps[run.unit.key[1]]
    if result in ("done", "failed") and not step.lasting:
        _worker_health.record_end(
            _pace_of(times, worker),
            run.job.spec.id,
            failed=result == "failed",
            now=now,
        )
    reason = _skip_reason(run, step, result)
    if reason:
        times.counts[reason] += 1
    elif step.gang and step.count > 1:
        _record_gang(pool, times, run, step, now)
    else:
        _run_times.record_sample(
            times,
            _run_times.Sample(
                key=kind_of(run),
                job_id=run.job.spec.id,
                ratio=(now - run.confirmed_at) / step.estimate_s,
                width=step.count,
                worker_key=worker.key,
                machine=worker.report.id,
                labels=_kind_labels(worker),
                log_slowness=slowness_of(times, worker),
                far=is_far(step, worker),
                now=now,
            ),
        )


def record_stall(
    pool: _state.Pool,
    run: _state.Run,
    worker: _state.Worker,
    *,
    now: float,
) -> None:
    """Count a stalled run as a failure of its worker in the comparison."""
    if pool.run_times is not None:
        _worker_health.record_end(
            _pace_of(pool.run_times, worker),
            run.job.spec.id,
            failed=True,
            now=now,
        )


def _skip_reason(run: _state.Run, step: _specs.StepSpec, result: str) -> str:
    """Return why a run is no full sample; "" if it is one."""
    if result != "done":
        return "not_done"
    if not _has_run_time(step):
        return "no_run_time"
    if run.stopping or run.speed_percent < 100:
        return "stopped"
    if run.unit.checkpoint:
        return "resumed"
    if not _start_seen(run):
        return "start_not_seen"
    return ""


def _has_run_time(step: _specs.StepSpec) -> bool:
    return not step.lasting and not step.filler and step.estimate_s > 0


def _start_seen(run: _state.Run) -> bool:
    """Return whether this owner has sent and seen the start of a run."""
    return run.start_sent_at > 0 and run.confirmed_at > 0


def _record_gang(
    pool: _state.Pool,
    times: _run_times.RunTimes,
    run: _state.Run,
    step: _specs.StepSpec,
    now: float,
) -> None:
    """Learn from a gang, which is as slow as its slowest member.

    It starts with its last member and says nothing about a single worker.
    """
    runs = {run, *run.unit.runs}
    workers = [
        pool.workers[each.worker_key]
        for each in runs
        if each.worker_key in pool.workers
    ]
    racks = {each.report.rack for each in workers}
    _run_times.record_sample(
        times,
        _run_times.Sample(
            key=kind_of(run),
            job_id=run.job.spec.id,
            ratio=(now - max(each.confirmed_at for each in runs))
            / step.estimate_s,
            width=1,
            worker_key="",
            machine="",
            labels=frozenset(),
            log_slowness=max(slowness_of(times, each) for each in workers),
            far=any(is_far(step, each) for each in workers)
            or (step.same_rack and len(racks) > 1),
            now=now,
        ),
    )


def refresh(pool: _state.Pool, *, now: float) -> list[_worker_health.Finding]:
    """Update what was learned by the runs under way, and the penalties.

    Returns
    -------
    list of Finding
        Workers that have a penalty now.
    """
    times = pool.run_times
    if times is None:
        return []
    # After a fault below no worker keeps a penalty.
    for worker in pool.workers.values():
        worker.penalty = 0.0
    for key in [
        key for key in times.speeds.workers if key not in pool.workers
    ]:
        del times.speeds.workers[key]
    for key in [key for key in times.jobs if key[0] not in pool.active]:
        del times.jobs[key]
    overdue = _refresh_bounds(pool, times, now)
    _run_times.refresh(times, now=now)
    usable = sum(
        worker.listed and not worker.report.draining
        for worker in pool.workers.values()
    )
    findings = _worker_health.find(
        times, overdue=overdue, usable=usable, now=now
    )
    for each in findings:
        pool.workers[each.worker_key].penalty = each.penalty
    return findings


def _refresh_bounds(
    pool: _state.Pool, times: _run_times.RunTimes, now: float
) -> dict[str, list[float]]:
    """Take the runs under way as lower bounds; return the overdue ones."""
    bounds: _Bounds = collections.defaultdict(list)
    steps: dict[tuple[str, int], list[float]] = collections.defaultdict(list)
    overdue: dict[str, list[float]] = collections.defaultdict(list)
    predictions: dict[tuple[str, int], float] = {}
    for run, worker, ratio in _runs_under_way(pool, now):
        step = run.job.spec.steps[run.unit.key[1]]
        key = kind_of(run)
        job_key = (run.job.spec.id, key[2])
        log = math.log(ratio) - slowness_of(times, worker)
        if is_far(step, worker):
            log -= times.speeds.far.log_slowness
        # A caller's estimate may be next to 0.
        log = _worker_speeds.clamp(log, 2 * _run_times.MAX_LOG)
        for level in _run_times.levels(key):
            bounds[level].append((math.exp(log), 1.0 / step.count))
        steps[job_key].append(log)
        expected = predictions.get(job_key)
        if expected is None:
            expected = predictions[job_key] = _run_times.predict_log(
                times, key, job_key[0], now=now
            )
        if log - expected >= math.log(_worker_health.MIN_SLOWDOWN):
            slowness = log - expected + slowness_of(times, worker)
            overdue[worker.key].append(slowness)
    for level, kind in times.kinds.items():
        kind.under_way = tuple(bounds.pop(level, ()))
    for level, rows in bounds.items():
        # Long tasks are learned from before the first of them ends.
        times.kinds[level] = _run_times.Kind(
            under_way=tuple(rows), updated_at=now
        )
    for runs in times.jobs.values():
        runs.log_bound = None
    for job_key, logs in steps.items():
        runs = times.jobs.setdefault(job_key, _run_times.JobRuns())
        if not runs.logs:
            runs.log_bound = statistics.median(logs)
    return overdue


def _runs_under_way(
    pool: _state.Pool, now: float
) -> collections.abc.Iterator[tuple[_state.Run, _state.Worker, float]]:
    """Yield runs of a known start, and their time so far by the estimate."""
    for worker in pool.workers.values():
        if worker.failed_polls:
            # Its runs may have ended.
            continue
        for run in worker.runs.values():
            step = run.job.spec.steps[run.unit.key[1]]
            if (
                run.phase != _state.Phase.RUNNING
                or run.stopping
                or run.unit.checkpoint
                or step.gang
                or not _has_run_time(step)
                or not _start_seen(run)
            ):
                continue
            ratio = (now - run.confirmed_at) / step.estimate_s
            if ratio >= MIN_BOUND_RATIO:
                yield run, worker, ratio
