"""Checks over the evidence of several workers."""

import collections
import collections.abc
import math
import typing


def find_double_runs(
    histories: collections.abc.Iterable[dict[str, typing.Any]],
    *,
    tolerance_s: float = 0.0,
) -> list[dict[str, typing.Any]]:
    """Return the tasks that ran in two places at once.

    Parameters
    ----------
    histories : iterable of dict
        Answers of ``GET /control`` of workers.
    tolerance_s : float
        Overlaps up to this many seconds do not count. Workers on one machine
        share its clock and need none.

    Returns
    -------
    list of dict
        One for each overlap: ``job_id``, ``index``, ``overlap_s`` (None while
        both run), and the two runs as ``first`` and ``second``.
    """
    runs = collections.defaultdict(list)
    for history in histories:
        for record in history["history"]:
            run = {**record, "worker_id": history["worker_id"]}
            runs[(record["job_id"], record["index"])].append(run)
    found = []
    for (job_id, index), task_runs in sorted(runs.items()):
        task_runs.sort(key=lambda run: run["start"])
        last = task_runs[0]
        for run in task_runs[1:]:
            overlap_s = min(_end(last), _end(run)) - run["start"]
            if overlap_s > tolerance_s:
                found.append(
                    {
                        "job_id": job_id,
                        "index": index,
                        "overlap_s": None
                        if overlap_s == math.inf
                        else overlap_s,
                        "first": last,
                        "second": run,
                    }
                )
            last = max(last, run, key=_end)
    return found


def _end(run: dict[str, typing.Any]) -> float:
    return math.inf if run["end"] is None else run["end"]
