"""Checks of rules on what the runners of a bed have seen."""

import bed


def find_twice(runners: list[bed.Runner]) -> list[str]:
    """Return the breaks of TWICE.

    Two runs of a task at the same time, or a start after a run has ended
    `done` if that end is taken note of then or later, unless the runner's
    lease lapsed between the two.
    """
    events = sorted(
        (
            (when, runner, what, task, run, end)
            for runner in runners
            for when, what, task, run, end in runner.log
        ),
        key=lambda event: event[0],
    )
    noted = {
        (runner.name, end)
        for when, runner, what, _, _, end in events
        if what == "noted done"
        and not any(
            runner.end_times[end] <= at <= when for at in runner.lapses
        )
    }
    broken = []
    at_work: dict[str, set[tuple[str, int]]] = {}
    done: dict[str, list[tuple[str, tuple[int, int]]]] = {}
    for _, runner, what, task, run, end in events:
        runs = at_work.setdefault(task, set())
        if what.startswith("start"):
            broken.extend(
                f"TWICE: {task} run {run} starts on {runner.name} while run "
                f"{other} is at work on {name}"
                for name, other in runs
            )
            broken.extend(
                f"TWICE: {task} run {run} starts on {runner.name} after it "
                f"ended done as end {each[1]} of {name}, taken note of"
                for name, each in done.get(task, [])
                if (name, each) in noted
            )
            runs.add((runner.name, run))
        elif what.startswith("end"):
            runs.discard((runner.name, run))
            if what == "end done":
                done.setdefault(task, []).append((runner.name, end))
    return broken
