"""Checks on the recorded histories of several workers."""

import collections
import collections.abc
import math
import typing


def find_double_runs(
    histories: collections.abc.Iterable[dict[str, typing.Any]],
    *,
    tolerance_s: float = 0.0,
) -> list[dict[str, typing.Any]]:
    """Return pairs of runs of the same task that overlapped in time.

    Parameters
    ----------
    histories : iterable of dict
        Answers of ``GET /control`` of workers.
    tolerance_s : float
        Overlaps up to this many seconds are ignored. Workers on one machine
        share a clock and need no tolerance.

    Returns
    -------
    list of dict
        One entry for each overlap, with ``job_id``, ``index``, ``overlap_s``
        (None while both run) and the two runs as ``first`` and ``second``.
    """
    runs = collections.defaultdict(list)
    for history in histories:
        for record in history["history"]:
            run = {**record, "worker_id": history["worker_id"]}
            runs[(record["job_id"], record["index"])].append(run)
    overlaps = []
    for (job_id, index), task_runs in sorted(runs.items()):
        task_runs.sort(key=lambda run: run["start"])
        latest = task_runs[0]
        for run in task_runs[1:]:
            overlap_s = min(_end_time(latest), _end_time(run)) - run["start"]
            if overlap_s > tolerance_s:
                overlaps.append(
                    {
                        "job_id": job_id,
                        "index": index,
                        "overlap_s": None
                        if overlap_s == math.inf
                        else overlap_s,
                        "first": latest,
                        "second": run,
                    }
                )
            latest = max(latest, run, key=_end_time)
    return overlaps


def _end_time(run: dict[str, typing.Any]) -> float:
    return math.inf if run["end"] is None else run["end"]
