"""Learned run times as rows for operators."""

import math

from chestnuttide import histograms
from chestnuttide.workloads import _run_times
from chestnuttide.workloads import _state
from chestnuttide.workloads import _worker_speeds

# Rows of a service on the page.
MAX_ROWS = 500


def list_run_times(
    pool: _state.Pool, *, now: float
) -> list[dict[str, object]]:
    """Return what is expected of each kind and of each worker."""
    times = pool.run_times
    if times is None:
        return []
    rows = [
        _kind_row(pool.service, key, kind, now)
        for key, kind in sorted(times.kinds.items())
        if kind.ratios.weights
    ]
    rows += [
        _worker_row(pool, times, key, now)
        for key in sorted(times.speeds.workers)
    ]
    return rows[:MAX_ROWS]


def _kind_row(
    service: str,
    key: _run_times.KindKey,
    kind: _run_times.Kind,
    now: float,
) -> dict[str, object]:
    workspace, queue, step = key
    median, p90 = histograms.quantiles(
        kind.ratios, (0.5, 0.9), lower_bounds=kind.under_way
    )
    return {
        "service": service,
        "workspace": workspace,
        "queue": queue,
        "step": None if step == _run_times.ANY_STEP else step,
        "median_by_estimate": round(median, 3),
        "p90_by_estimate": round(p90, 3),
        "runs": kind.runs,
        "weight": round(_run_times.weight_of(kind, now), 2),
        "under_way": len(kind.under_way),
        "age_s": round(max(0.0, now - kind.updated_at), 1),
        "off_by": _off_by(kind),
    }


def _off_by(kind: _run_times.Kind) -> dict[str, float]:
    """Return the mean factor by which each expert is off."""
    decay = _run_times.LOSS_DECAY
    weight = (1.0 - decay**kind.ratios.samples) / (1.0 - decay)
    return {
        name: round(math.exp(loss / max(1.0, weight)), 3)
        for name, loss in zip(
            ("estimate", "kind", "job"), kind.losses, strict=True
        )
    }


def overall_errors(times: _run_times.RunTimes) -> dict[str, float]:
    """Return the mean factor by which each expert is off for all work."""
    kind = times.kinds.get(("", "", _run_times.ANY_STEP))
    return {} if kind is None else _off_by(kind)


def _worker_row(
    pool: _state.Pool, times: _run_times.RunTimes, key: str, now: float
) -> dict[str, object]:
    pace = times.speeds.workers[key]
    worker = pool.workers.get(key)
    speed = times.speeds.machines.get(pace.machine, _worker_speeds.Speed())
    ends = [
        end for end in pace.ends if now - end[0] <= _worker_speeds.WINDOW_S
    ]
    return {
        "service": pool.service,
        "worker": key,
        "speed": round(math.exp(-pace.log_slowness), 3),
        "usual_speed": round(math.exp(-speed.log_slowness), 3),
        "weight": round(speed.weight, 1),
        "recent_ends": len(ends),
        "recent_failures": sum(end[2] for end in ends),
        "penalty": 0.0 if worker is None else round(worker.penalty, 2),
    }
